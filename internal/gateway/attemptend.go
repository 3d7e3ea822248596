package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// endAttempt records the outcome of an attempt.
func (f *inflight) endAttempt(s stage, a *placement.Attempt, o placement.Outcome) {
	f.g.metrics.attempts.WithLabelValues(string(s), string(o)).Inc()
	f.g.scheduler.endAttempt(f.g.c.Clock.Now(), f.service.Name(), a, o)
	f.g.crashes.attemptEnded(a, s == stageOutput && o == placement.OutcomeServed)
}

// endCause is what ended an attempt.
type endCause string

const (
	// endedByWorker: the worker ended it.
	endedByWorker endCause = "worker"
	// endedByTimeout: this gateway canceled it because the worker sent nothing.
	endedByTimeout endCause = "silence"
	// endedByClient: the client disconnected or the request's deadline passed.
	endedByClient endCause = "client"
)

// endCauseOf returns what ended a failed attempt. ctx is the context of the request,
// call that of the attempt.
func endCauseOf(ctx, call context.Context) endCause {
	switch {
	case ctx.Err() != nil:
		return endedByClient
	case call.Err() != nil:
		return endedByTimeout
	}
	return endedByWorker
}

// executionOf returns whether an attempt with this result ran.
func executionOf(response kumquatlug.WorkerResponse, err error) kumquatlug.Execution {
	switch {
	case err != nil:
		return kumquatlug.ExecutionOf(err)
	case response.Refused():
		return kumquatlug.NotExecuted
	}
	return kumquatlug.ExecutionUnknown
}

// endFailedAttempt records the end of a failed attempt of a request that may have run. Whether the
// worker has crashed is checked only if the worker itself ended the attempt.
// It may be called while a takeover owns the state of the request.
func (f *inflight) endFailedAttempt(s stage, a *placement.Attempt, cause endCause, ran kumquatlug.Execution) {
	if cause == endedByClient {
		f.endAttempt(s, a, placement.OutcomeNeutral)
		return
	}
	if cause == endedByWorker && ran != kumquatlug.NotExecuted {
		f.g.crashes.attemptBroken(a)
	}
	f.endAttempt(s, a, placement.OutcomeFailed)
}

// endReplaced records the end of an attempt whose request a takeover serves, and closes its
// response. It may be called while the takeover owns the state of the request.
func (f *inflight) endReplaced(
	s stage, a *placement.Attempt, cause endCause, response kumquatlug.WorkerResponse, err error,
) {
	if err != nil {
		f.endFailedAttempt(s, a, cause, kumquatlug.ExecutionOf(err))
		return
	}
	response.Body().Close()
	if response.Refused() {
		f.endAttempt(s, a, placement.OutcomeRefused)
		return
	}
	f.endAttempt(s, a, placement.OutcomeFailed)
}

// attemptFailed records an attempt that received no response.
func (f *inflight) attemptFailed(s stage, c placement.Choice, a *placement.Attempt, cause endCause, err error) *attemptFailure {
	failure := kumquatlug.FailureOf(err)
	absent := cause == endedByWorker && errors.Is(err, kumquatlug.ErrUnreachable) && f.g.scheduler.recordUnreachable(f.service.Name(), a)
	f.endFailedAttempt(s, a, cause, failure.Execution())
	if failure.Execution() != kumquatlug.NotExecuted {
		f.deliveries++
		if !f.service.Engine() {
			// An engine starts the request at its first output. A plain worker has most
			// likely started it.
			f.countUsage()
		}
	}
	return &attemptFailure{failure: failure, worker: c.Worker().ID(), endedBy: cause, absent: absent}
}

// attemptRefused records an attempt that the worker refused and closes the response.
func (f *inflight) attemptRefused(s stage, c placement.Choice, a *placement.Attempt, response kumquatlug.WorkerResponse) *attemptFailure {
	response.Body().Close()
	f.deliveries++
	f.endAttempt(s, a, placement.OutcomeRefused)
	return &attemptFailure{worker: c.Worker().ID(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: string(s), Peer: c.Worker().ID(), Reason: reasonWorkerRefused, Execution: kumquatlug.NotExecuted,
		Status: http.StatusServiceUnavailable, RetryAfter: f.retryAfter(minRetryAfter * 2),
	})}
}
