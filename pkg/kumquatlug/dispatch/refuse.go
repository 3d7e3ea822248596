package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func failure(step, reason string, status int, retryAfter kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: reason, Ran: kumquatlug.RanNot, Status: status, RetryAfter: retryAfter,
	})
}

func noTarget() *kumquatlug.Failure {
	return failure("find targets", "no_target", 503, TargetGrace)
}

// refuseStranded gives up the requests of kinds that have had no target for
// longer than the grace. Waiting for their deadlines would only delay the news.
func (d *Dispatcher) refuseStranded(now kumquatlug.Millis) {
	for _, kind := range d.order {
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
		d.giveUp(now, next.ID(), noTarget())
	}
	left := d.due[:0]
	for _, r := range d.due {
		if r.c.Kind != kind {
			left = append(left, r)
			continue
		}
		d.giveUp(now, r.c.ID, r.final("no_target"))
	}
	d.due = left
}

// refuse decides the final answer of a request that is not kept.
func (d *Dispatcher) refuse(id string, f *kumquatlug.Failure) {
	d.out = append(d.out, Decision{id: id, verdict: VerdictRefuse, failure: f})
}

// giveUp ends a request that is kept and not in hand at a target.
func (d *Dispatcher) giveUp(now kumquatlug.Millis, id string, f *kumquatlug.Failure) {
	r, kept := d.requests[id]
	if !kept {
		return
	}
	d.drop(now, r, 0)
	d.refuse(id, r.truthful(f))
}

// drop forgets a request; used is what its caller is charged, in tokens.
func (d *Dispatcher) drop(now kumquatlug.Millis, r *request, used int64) {
	delete(d.requests, r.c.ID)
	if r.charged {
		d.callers.End(now, r.c.Caller.Name(), now-r.c.Arrival, r.size(), used)
	}
}
