package dispatch

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
)

// openAttempt is an attempt at a target that does not answer heartbeats. It stays open
// while the request is sent to other targets, since the suspicion may be wrong.
type openAttempt struct {
	number        int
	target        string
	cached        int
	predictedTime kumquatlug.Millis
	sentAt        kumquatlug.Millis
	firstTokenAt  kumquatlug.Millis
	progressAt    kumquatlug.Millis
	failures      int
	refusals      int
	exclude       []string
}

// AttemptSuspected records that the target of the current attempt of a request does not
// answer heartbeats. Another attempt is scheduled as after a failure, but the suspected
// one stays open. If no other attempt is possible, the decision says so, and the request
// ends with the suspected attempt.
func (d *Dispatcher) AttemptSuspected(now kumquatlug.Millis, id string, number int, f AttemptFailure) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok || !r.inFlight || r.number != number || r.open != nil {
		return d.serve(now)
	}
	r.open = &openAttempt{
		number: number, target: r.target, cached: r.cached, predictedTime: r.predictedTime, sentAt: r.sentAt,
		firstTokenAt: r.firstTokenAt, progressAt: r.progressAt, failures: r.failures, refusals: r.refusals, exclude: slices.Clone(r.exclude),
	}
	return d.attemptFailed(now, r, f)
}

// OpenAttemptEnded records that a suspected attempt has failed, or was cancelled because
// another target has accepted the request.
func (d *Dispatcher) OpenAttemptEnded(id string, number int) {
	if r, ok := d.requests[id]; ok && r.open != nil && r.open.number == number {
		r.open = nil
	}
}

// AttemptResumed records that a suspected attempt goes on. Its continuation is cancelled,
// whether it was sent or not.
func (d *Dispatcher) AttemptResumed(now kumquatlug.Millis, id string, number int) []Decision {
	d.begin(now)
	if r, ok := d.requests[id]; ok && r.open != nil && r.open.number == number {
		d.resumeOpen(now, r)
	}
	return d.serve(now)
}

// resumeOpen makes the suspected attempt of a request the current one again, if there is
// one. A suspicion that proved wrong does not count against the request's attempts.
func (d *Dispatcher) resumeOpen(now kumquatlug.Millis, r *request) {
	open := r.open
	if open == nil {
		return
	}
	if r.inFlight {
		d.release(now, r, limit.OutcomeEnded)
	} else if slices.Contains(d.pending, r) {
		if r.retryCharged {
			d.retries.Refund(now)
		}
		d.pending = withoutRequest(d.pending, r)
	}
	r.open = nil
	r.target, r.cached, r.predictedTime = open.target, open.cached, open.predictedTime
	r.sentAt, r.firstTokenAt, r.progressAt = open.sentAt, open.firstTokenAt, open.progressAt
	r.failures, r.refusals, r.exclude = open.failures, open.refusals, open.exclude
	r.number, r.inFlight = open.number, true
	d.account(now, r)
}

// HasOtherTarget reports whether a target other than name takes new work of a kind.
func (d *Dispatcher) HasOtherTarget(kind kumquatlug.Kind, name string) bool {
	for _, ready := range d.ready(kind) {
		if ready != name {
			return true
		}
	}
	return false
}
