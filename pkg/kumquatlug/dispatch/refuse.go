package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func newFailure(step, reason string, status int, retryAfter kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: reason, Ran: kumquatlug.RanNot, Status: status, RetryAfter: retryAfter,
	})
}

func noTargetFailure() *kumquatlug.Failure {
	return newFailure("find targets", "no_target", 503, TargetGrace)
}

// refuseUnservable gives up the requests of kinds that have had no target for
// longer than the grace. Waiting for their deadlines would only delay the news.
func (d *Dispatcher) refuseUnservable(now kumquatlug.Millis) {
	for _, kind := range d.kindOrder {
		k := d.kinds[kind]
		if len(k.ready) > 0 || now-k.emptySince <= TargetGrace {
			continue
		}
		d.refuseWaiting(now, kind)
	}
}

// refuseWaiting gives up every request of a kind that is not in hand.
func (d *Dispatcher) refuseWaiting(now kumquatlug.Millis, kind kumquatlug.Kind) {
	for next, waits := d.queue.Next(kind); waits; next, waits = d.queue.Next(kind) {
		d.queue.Cancel(now, next.ID())
		d.giveUp(now, next.ID(), noTargetFailure())
	}
	kept := d.pending[:0]
	for _, r := range d.pending {
		if r.c.Kind != kind {
			kept = append(kept, r)
			continue
		}
		d.giveUp(now, r.c.ID, r.finalFailure("no_target"))
	}
	d.pending = kept
}

// refuse decides the final answer of a request that is not kept.
func (d *Dispatcher) refuse(id string, f *kumquatlug.Failure) {
	d.decisions = append(d.decisions, Decision{id: id, verdict: VerdictRefuse, failure: f})
}

// giveUp ends a request that is kept and not in hand at a target.
func (d *Dispatcher) giveUp(now kumquatlug.Millis, id string, f *kumquatlug.Failure) {
	r, ok := d.requests[id]
	if !ok {
		return
	}
	d.removeRequest(now, r, 0)
	d.refuse(id, r.withEarlierRan(f))
}

// withoutRequest forgets a request; used is what its caller is charged, in tokens.
func (d *Dispatcher) removeRequest(now kumquatlug.Millis, r *request, used int64) {
	delete(d.requests, r.c.ID)
	if r.charged {
		d.callers.End(now, r.c.Caller.Name(), now-r.c.Arrival, r.rateTokens(), used)
	}
}
