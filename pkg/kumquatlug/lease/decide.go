package lease

import (
	"fmt"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// handleRow handles the current row and returns the write that follows.
func (h *Holder) handleRow(now kumquatlug.Millis, row kumquatlug.Row) Intent {
	record, err := Decode(row)
	if err != nil {
		record = h.unreadableRecord(row)
	}
	if row.Era() > h.era {
		h.enterEra(now, row.Era())
		return Intent{action: ActionNone}
	}
	if row.Version() != h.rowVersion {
		h.rowVersion, h.rowSeenAt = row.Version(), now
	}
	h.highestToken = max(h.highestToken, record.fencingToken)
	h.resolveUnconfirmed(now, record)
	if record.holder != h.config.HolderID || record.fencingToken != h.fencingToken || record.released {
		h.held = false
	}
	if now >= h.expiresAt {
		h.held = false
	}
	return h.nextWrite(now, record)
}

// unreadableHolder is the holder of a row that another writer has overwritten.
const unreadableHolder = "unreadable"

// unreadableRecord returns the record that stands for a row that can't be decoded. The holder before may act for its time
// to live, and its token is unknown. Each acquisition is a transaction, and the version of a row counts all of
// them, so that no token of this era is above it.
func (h *Holder) unreadableRecord(row kumquatlug.Row) Record {
	transactions := FencingToken(row.Version() & (1<<eraBits - 1))
	return Record{holder: unreadableHolder, fencingToken: EraBase(row.Era()) + transactions, ttl: h.config.TTL}
}

// eraBits is the number of low bits of a fencing token that count the acquisitions
// of one era.
const eraBits = 32

// noVersion differs from the version of every row.
const noVersion = -1

// enterEra switches to a new era of the table. Requests and the row of the previous era
// are no longer relevant.
func (h *Holder) enterEra(now kumquatlug.Millis, era int64) {
	h.era, h.priorEraUntil = era, now+h.config.TTL+h.config.Margin
	h.held, h.unconfirmed, h.nextRequestAt = false, Intent{action: ActionNone}, now
	h.rowVersion, h.rowSeenAt = noVersion, now
}

// unacquiredInEra reports whether the table was restored and no process has acquired
// the lease in its current era.
func (h *Holder) unacquiredInEra(record Record) bool { return h.era > 0 && record.fencingToken == 0 }

// nextToken returns the token of the next acquisition. Tokens that a restored table
// has lost must not be assigned again.
func (h *Holder) nextToken(record Record) FencingToken {
	return max(record.fencingToken, h.highestToken, h.config.MinFencingToken, EraBase(h.era)) + 1
}

// resolveUnconfirmed checks whether the row contains the unconfirmed write. A write that
// is absent and can no longer take effect needs no handling: its version condition
// fails. One that takes effect later appears as a row of this process whose lease it
// does not hold, and the lease is then acquired again.
func (h *Holder) resolveUnconfirmed(now kumquatlug.Millis, record Record) {
	if h.unconfirmed.action == ActionNone || record.attempt != h.unconfirmed.record.attempt {
		return
	}
	h.writeCommitted(now, h.unconfirmed)
}

// nextWrite returns the transaction to commit for the given record, or ActionNone.
func (h *Holder) nextWrite(now kumquatlug.Millis, record Record) Intent {
	record.attempt = fmt.Sprintf("%s/%d", h.config.HolderID, h.sequence+1)
	switch {
	case !h.wanted && record.holder == h.config.HolderID && !record.released:
		// From here on another process may acquire the lease at any time, even if
		// the response is lost and this process wants the lease again.
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
			holder: h.config.HolderID, fencingToken: h.nextToken(record), ttl: h.config.TTL, attempt: record.attempt,
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

// acquirable reports whether no other process can be acting under the lease: it was
// released, the row was written by this process or an earlier start of it, or the row
// has stayed unchanged for its time to live plus the margin.
func (h *Holder) acquirable(now kumquatlug.Millis, record Record) bool {
	if h.unacquiredInEra(record) && now < h.priorEraUntil {
		return false
	}
	if record.holder == "" || record.released || h.writtenBySelf(record) {
		return true
	}
	return now >= h.rowExpiresAt(record)
}

// rowExpiresAt returns when the lease can be acquired if the row stays unchanged. A row
// that was found unchanged is read again at that time, since the next regular poll may
// come much later.
func (h *Holder) rowExpiresAt(record Record) kumquatlug.Millis {
	return h.rowSeenAt + record.ttl + h.config.Margin
}

// writtenBySelf reports whether the row was written by this process or an earlier start
// of it.
func (h *Holder) writtenBySelf(record Record) bool {
	return record.holder == h.config.HolderID || h.config.PreviousIDPrefix != "" && strings.HasPrefix(record.holder, h.config.PreviousIDPrefix)
}

// mayOrderAtOnce reports whether no other holder can have sent an order within the
// handover delay: there was no holder yet, or the last one was this process and its
// own handover delay had passed.
func (h *Holder) mayOrderAtOnce(record Record) bool {
	if h.unacquiredInEra(record) {
		return false
	}
	return record.fencingToken == 0 || h.writtenBySelf(record) && record.handoverDone
}

func (h *Holder) commit(now kumquatlug.Millis, action Action, record Record) Intent {
	key := KeyIn(h.config.Group, h.era)
	tx := kumquatlug.NewTx(record.attempt).If(key, h.rowVersion).Put(key, record.encode())
	return h.issue(Intent{action: action, key: key, tx: tx, record: record}, now)
}
