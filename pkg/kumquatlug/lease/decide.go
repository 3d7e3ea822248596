package lease

import (
	"fmt"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// handleRow takes the row as it stands and returns the write that follows.
func (h *Holder) handleRow(now kumquatlug.Millis, row kumquatlug.Row) Intent {
	record, err := Decode(row)
	if err != nil {
		h.held = false
		h.nextRequestAt = now + h.config.Renew
		return Intent{action: ActionNone}
	}
	if row.Era() > h.era {
		h.enterEra(now, row.Era())
		return Intent{action: ActionNone}
	}
	if row.Version() != h.rowVersion {
		h.rowVersion, h.rowSeenAt = row.Version(), now
	}
	h.highestNumber = max(h.highestNumber, record.number)
	h.resolveUnconfirmed(now, record)
	if record.holder != h.config.Me || record.number != h.number || record.released {
		h.held = false
	}
	if now >= h.expiresAt {
		h.held = false
	}
	return h.nextWrite(now, record)
}

// eraBits is how many bits of a number count the acquisitions of one era.
const eraBits = 32

// noVersion is no row's version.
const noVersion = -1

// enterEra takes a new era of the table. What was asked of the last one is over: its row
// counts no more.
func (h *Holder) enterEra(now kumquatlug.Millis, era int64) {
	h.era, h.priorEraUntil = era, now+h.config.TTL+h.config.Margin
	h.held, h.unconfirmed, h.nextRequestAt = false, Intent{action: ActionNone}, now
	h.rowVersion, h.rowSeenAt = noVersion, now
}

// unacquiredInEra reports that nobody has acquired the lease in this era of the table.
func (h *Holder) unacquiredInEra(record Record) bool { return h.era > 0 && record.number == 0 }

// nextNumber returns the number of the next acquisition. A table that forgot some numbers
// must not have them given out again.
func (h *Holder) nextNumber(record Record) Number {
	return max(record.number, h.highestNumber, h.config.Floor, Least(h.era)) + 1
}

// resolveUnconfirmed looks for the write in doubt. One that is not there and never will be
// needs no note: it demands a version that has passed. One that may still
// arrive is met as a row of this process's that it does not hold, and the
// lease is acquired anew.
func (h *Holder) resolveUnconfirmed(now kumquatlug.Millis, record Record) {
	if h.unconfirmed.action == ActionNone || record.attempt != h.unconfirmed.record.attempt {
		return
	}
	h.writeCommitted(now, h.unconfirmed)
}

// nextWrite returns the transaction that the row asks for.
func (h *Holder) nextWrite(now kumquatlug.Millis, record Record) Intent {
	record.attempt = fmt.Sprintf("%s/%d", h.config.Me, h.sequence+1)
	switch {
	case !h.wanted && record.holder == h.config.Me && !record.released:
		// From here on another process may take the lease at any moment, also
		// when the answer is lost and the lease is wanted again.
		h.held = false
		record.released = true
		return h.commit(now, ActionRelease, record)
	case !h.wanted:
		h.releaseDue = false
		return Intent{action: ActionNone}
	case h.held:
		record.handoverDone = now >= h.ordersFrom
		return h.commit(now, ActionRenew, record)
	case h.acquirable(now, record):
		record = Record{
			holder: h.config.Me, number: h.nextNumber(record), ttl: h.config.TTL, attempt: record.attempt,
			handoverDone: h.mayOrderAtOnce(record),
		}
		return h.commit(now, ActionAcquire, record)
	default:
		h.nextRequestAt = now + h.pollInterval
		switch {
		case h.unacquiredInEra(record) && now < h.priorEraUntil:
			h.nextRequestAt = min(h.nextRequestAt, h.priorEraUntil)
		case h.rowSeenAt < now:
			h.nextRequestAt = min(h.nextRequestAt, h.rowExpiresAt(record))
		}
		return Intent{action: ActionNone}
	}
}

// acquirable reports that nobody can believe to hold the lease: the row was given
// back, is this process's own, or has stood unchanged for its time to live
// and a margin.
func (h *Holder) acquirable(now kumquatlug.Millis, record Record) bool {
	if h.unacquiredInEra(record) && now < h.priorEraUntil {
		return false
	}
	if record.holder == "" || record.released || h.writtenBySelf(record) {
		return true
	}
	return now >= h.rowExpiresAt(record)
}

// rowExpiresAt returns from when on a row that stands unchanged is free. One that was found
// unchanged is looked at again then: the next usual look may come much later.
func (h *Holder) rowExpiresAt(record Record) kumquatlug.Millis {
	return h.rowSeenAt + record.ttl + h.config.Margin
}

// writtenBySelf reports that the row was written by this process or an earlier start of it.
func (h *Holder) writtenBySelf(record Record) bool {
	return record.holder == h.config.Me || h.config.Predecessors != "" && strings.HasPrefix(record.holder, h.config.Predecessors)
}

// mayOrderAtOnce reports that no other holder can have given an order within a turn:
// there was none yet, or the last one was this process, a turn after the one
// before it.
func (h *Holder) mayOrderAtOnce(record Record) bool {
	if h.unacquiredInEra(record) {
		return false
	}
	return record.number == 0 || h.writtenBySelf(record) && record.handoverDone
}

func (h *Holder) commit(now kumquatlug.Millis, action Action, record Record) Intent {
	key := KeyIn(h.config.Group, h.era)
	tx := kumquatlug.NewTx(record.attempt).If(key, h.rowVersion).Put(key, record.encode())
	return h.issue(Intent{action: action, key: key, tx: tx, record: record}, now)
}
