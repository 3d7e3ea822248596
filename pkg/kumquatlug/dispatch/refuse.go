package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func newFailure(step, reason string, status int, retryAfter kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: reason, Execution: kumquatlug.NotExecuted, Status: status, RetryAfter: retryAfter,
	})
}

func noTargetFailure() *kumquatlug.Failure {
	return newFailure("find targets", "no_target", 503, NoTargetGrace)
}

// refuseUnservable refuses the waiting requests of kinds that have had no ready
// target for longer than NoTargetGrace. Waiting until their deadlines would only
// delay the failure.
func (d *Dispatcher) refuseUnservable(now kumquatlug.Millis) {
	for _, kind := range d.kindOrder {
		k := d.kinds[kind]
		if len(k.ready) > 0 || now-k.emptySince <= NoTargetGrace {
			continue
		}
		d.refuseWaiting(now, kind)
	}
}

// refuseWaiting refuses every request of a kind that is not in flight.
func (d *Dispatcher) refuseWaiting(now kumquatlug.Millis, kind kumquatlug.Kind) {
	for next, waits := d.queue.Peek(kind); waits; next, waits = d.queue.Peek(kind) {
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

// refuse appends the final response of a request that is no longer tracked.
func (d *Dispatcher) refuse(id string, f *kumquatlug.Failure) {
	d.decisions = append(d.decisions, Decision{id: id, verdict: VerdictRefuse, failure: f})
}

// giveUp refuses a request that is tracked and not in flight. A request whose
// suspected attempt is still open is only not continued elsewhere: it stays tracked
// until that attempt ends.
func (d *Dispatcher) giveUp(now kumquatlug.Millis, id string, f *kumquatlug.Failure) {
	r, ok := d.requests[id]
	if !ok {
		return
	}
	if r.open == nil {
		d.removeRequest(now, r, 0)
	}
	d.refuse(id, r.withEarlierExecution(f))
}

// removeRequest removes a request and charges its caller used tokens.
func (d *Dispatcher) removeRequest(now kumquatlug.Millis, r *request, used int64) {
	delete(d.requests, r.c.ID)
	if r.charged {
		d.callers.End(now, r.c.Caller.Name(), now-r.c.Arrival, r.rateTokens(), used)
	}
}
