package lease

import (
	"fmt"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// decide takes the row as it stands and returns the write that follows.
func (h *Holder) decide(now kumquatlug.Millis, row kumquatlug.Row) Intent {
	record, err := Decode(row)
	if err != nil {
		h.held = false
		h.due = now + h.c.Renew
		return Intent{action: ActionNone}
	}
	if row.Era() > h.era {
		h.meet(now, row.Era())
		return Intent{action: ActionNone}
	}
	if row.Version() != h.seen {
		h.seen, h.seenAt = row.Version(), now
	}
	h.highest = max(h.highest, record.number)
	h.settle(now, record)
	if record.holder != h.c.Me || record.number != h.number || record.released {
		h.held = false
	}
	if now >= h.until {
		h.held = false
	}
	return h.write(now, record)
}

// eraBits is how many bits of a number count the acquisitions of one era.
const eraBits = 32

// unseen is no row's version.
const unseen = -1

// meet takes a new era of the table. What was asked of the last one is over: its row
// counts no more.
func (h *Holder) meet(now kumquatlug.Millis, era int64) {
	h.era, h.quietUntil = era, now+h.c.TTL+h.c.Margin
	h.held, h.doubt, h.due = false, Intent{action: ActionNone}, now
	h.seen, h.seenAt = unseen, now
}

// fresh reports that nobody has acquired the lease in this era of the table.
func (h *Holder) fresh(record Record) bool { return h.era > 0 && record.number == 0 }

// next returns the number of the next acquisition. A table that forgot some numbers
// must not have them given out again.
func (h *Holder) next(record Record) Number {
	return max(record.number, h.highest, h.c.Floor, Least(h.era)) + 1
}

// settle looks for the write in doubt. One that is not there and never will be
// needs no note: it demands a version that has passed. One that may still
// arrive is met as a row of this process's that it does not hold, and the
// lease is acquired anew.
func (h *Holder) settle(now kumquatlug.Millis, record Record) {
	if h.doubt.action == ActionNone || record.attempt != h.doubt.record.attempt {
		return
	}
	h.won(now, h.doubt)
}

// write returns the transaction that the row asks for.
func (h *Holder) write(now kumquatlug.Millis, record Record) Intent {
	record.attempt = fmt.Sprintf("%s/%d", h.c.Me, h.sequence+1)
	switch {
	case !h.wanted && record.holder == h.c.Me && !record.released:
		// From here on another process may take the lease at any moment, also
		// when the answer is lost and the lease is wanted again.
		h.held = false
		record.released = true
		return h.commit(now, ActionRelease, record)
	case !h.wanted:
		h.owes = false
		return Intent{action: ActionNone}
	case h.held:
		record.settled = now >= h.turnAt
		return h.commit(now, ActionRenew, record)
	case h.free(now, record):
		record = Record{
			holder: h.c.Me, number: h.next(record), ttl: h.c.TTL, attempt: record.attempt,
			settled: h.inherits(record),
		}
		return h.commit(now, ActionAcquire, record)
	default:
		h.due = now + h.watch
		switch {
		case h.fresh(record) && now < h.quietUntil:
			h.due = min(h.due, h.quietUntil)
		case h.seenAt < now:
			h.due = min(h.due, h.freeAt(record))
		}
		return Intent{action: ActionNone}
	}
}

// free reports that nobody can believe to hold the lease: the row was given
// back, is this process's own, or has stood unchanged for its time to live
// and a margin.
func (h *Holder) free(now kumquatlug.Millis, record Record) bool {
	if h.fresh(record) && now < h.quietUntil {
		return false
	}
	if record.holder == "" || record.released || h.own(record) {
		return true
	}
	return now >= h.freeAt(record)
}

// freeAt returns from when on a row that stands unchanged is free. One that was found
// unchanged is looked at again then: the next usual look may come much later.
func (h *Holder) freeAt(record Record) kumquatlug.Millis {
	return h.seenAt + record.ttl + h.c.Margin
}

// own reports that the row was written by this process or an earlier start of it.
func (h *Holder) own(record Record) bool {
	return record.holder == h.c.Me || h.c.Predecessors != "" && strings.HasPrefix(record.holder, h.c.Predecessors)
}

// inherits reports that no other holder can have given an order within a turn:
// there was none yet, or the last one was this process, a turn after the one
// before it.
func (h *Holder) inherits(record Record) bool {
	if h.fresh(record) {
		return false
	}
	return record.number == 0 || h.own(record) && record.settled
}

func (h *Holder) commit(now kumquatlug.Millis, action Action, record Record) Intent {
	key := KeyIn(h.c.Group, h.era)
	tx := kumquatlug.NewTx(record.attempt).If(key, h.seen).Put(key, record.encode())
	return h.send(Intent{action: action, key: key, tx: tx, record: record}, now)
}
