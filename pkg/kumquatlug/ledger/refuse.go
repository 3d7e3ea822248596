package ledger

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// out starts a pause in which the table is left alone.
func (b *book) out(now kumquatlug.Millis) {
	b.failing = true
	b.outUntil = now + b.c.Pause
}

func (b *book) refuseAll(now kumquatlug.Millis) {
	for _, it := range append([]*item(nil), b.order...) {
		if it.phase == phaseWrite || it.phase == phaseRead {
			b.refuseWaiting(it, now)
		}
	}
}

// refuseWaiting refuses all questions of an item that the table did not
// answer. A claim whose write may still take effect stays, to be released.
func (b *book) refuseWaiting(it *item, now kumquatlug.Millis) {
	for _, q := range it.waiting {
		b.refuse(q, ReasonTable, now)
	}
	it.waiting = nil
	switch {
	case it.goal == goalStore || it.goal == goalRelease:
	case it.goal == goalClaim && it.doubt:
		b.release(it)
	default:
		b.drop(it)
	}
}

// refuse ends q without a ruling. A claim that was not handed out runs
// nothing, so a Begin is told not-run; a Block learned nothing.
func (b *book) refuse(q question, reason string, now kumquatlug.Millis) {
	ran := kumquatlug.RanNot
	step := "claim"
	if q.block {
		ran = kumquatlug.RanUnknown
		step = "block"
	}
	b.deliveries = append(b.deliveries, delivery{waiter: q.waiter, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Peer: "table", Reason: reason, Ran: ran, Status: http.StatusServiceUnavailable,
		RetryAfter: max(b.c.RetryAfter, b.outUntil-now), Cause: kumquatlug.ErrUnavailable,
	})})
}
