package gateway

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

// inflight is a client request in progress.
type inflight struct {
	g       *Gateway
	w       http.ResponseWriter
	request kumquatlug.Request
	account kumquatlug.Caller
	route   kumquatlug.Route
	service kumquatlug.Service
	// configVersion is the version of the config that selected the route.
	configVersion int64
	arrived       kumquatlug.Millis
	// handoff says which peer gateway handed the request off to this one, nil for none.
	handoff *peerrequest.Handoff
	// sentToPeer says that a peer gateway may have received the request from this one.
	sentToPeer bool
	// elapsed is how long after its arrival this gateway starts to serve the request itself,
	// if a peer gateway had it before.
	elapsed kumquatlug.Millis
	// deadline is when the client gives up or the route's timeout expires.
	deadline kumquatlug.Millis
	// retryingFor is how long the client has been retrying before this request, in ms.
	retryingFor kumquatlug.Millis
	// value is the value of the request relative to the mean of its route.
	value float64

	attemptState
	attemptCounts
	// takeover is the takeover for which attempts are made, nil for none.
	takeover *takeover
	// refusedCache is the prompt's KV cache that a decode engine refused. The next
	// engine may take it.
	refusedCache kumquatlug.KVCacheRef
	// recovery is what is kept about KV caches that could not be obtained.
	recovery transferRecovery
	// workerErrored is set if the worker responded to the last attempt with an error.
	workerErrored bool
	// endedBy is what ended the last attempt that had been sent.
	endedBy endCause
	// framing and bodyEnd describe the last body of a worker's response that ended, empty for none.
	framing kumquatlug.Framing
	bodyEnd bodyEnd
	// usageCounted is set once the request has been counted as started.
	usageCounted bool
	// withdrawnRuns counts the runs of takeovers that were withdrawn before their workers
	// responded. They hardly ever began, but a refusal must not state so.
	withdrawnRuns int
	// responseStarted is set once the response header has been written. lastEventID is
	// the number of the last event that the client received.
	responseStarted bool
	lastEventID     int64
	// version is the version at which the client's stream began, empty if it is not known.
	version     string
	versionWait versionWait
	// partialEvent says that the client has received a part of an event that was too large to be
	// held back: no other worker may continue the stream until it has the rest.
	partialEvent bool
	// unusedCharge is set while the retry budget was charged for a retry that was not sent.
	unusedCharge bool
	// retries follows the attempts until they have arrived. The mutex of the scheduler guards it.
	retries *retry.Deliveries
	// sameRun says that the next attempt continues a stream that was moved to its worker.
	sameRun bool
	// noRoomAt are the engines that had no room for the stream when it was to be moved there.
	noRoomAt []string
	// ownIdentities are the request's identities once they were needed, guarded by identityMu.
	identityMu    sync.Mutex
	ownIdentities []string
	// probe says that the request is a probe of a quarantine, which has a single attempt.
	// soleVersion is the version of the workers that may run it, empty for any.
	probe       bool
	soleVersion string
	// runStartedAt is when the run of the stream was first sent to a worker, zero if it is not known.
	runStartedAt kumquatlug.Millis
	// timings holds when each step of the last attempt was completed.
	timings timings
}

// timings holds when the steps of a request were completed, zero for those that were
// not.
type timings struct {
	// permitGrantedAt: the prompt got its permit. prefilledAt: a separate engine completed
	// the prefill. firstOutputAt: the first output arrived.
	permitGrantedAt, prefilledAt, firstOutputAt kumquatlug.Millis
	// lastOutputAt is when the last events were forwarded, longestPause the longest
	// pause before any events.
	lastOutputAt, longestPause kumquatlug.Millis
	// pausedWorker is the worker at which that pause exceeded the route's limit,
	// pausedWorkerLoad what else it had in flight.
	pausedWorker     string
	pausedWorkerLoad placement.WorkInFlight
	// events counts the forwarded events.
	events int
	// expectedPrefill is the expected duration of the prefill.
	expectedPrefill kumquatlug.Millis
	prefillWorker   string
}

// serve makes attempts until the client has its final response.
func (f *inflight) serve(ctx context.Context) {
	f.recordArrival()
	ctx, cancel := context.WithTimeout(ctx, f.timeLeft().Duration())
	defer cancel()
	defer func() { f.g.releaseCache(f.refusedCache) }()
	if failed := f.admitToLink(); failed != nil {
		f.sendFailure(ctx, failed.failure)
		return
	}
	for {
		failed := f.tryOnce(ctx)
		if failed == nil {
			f.g.streamVersions.removeRunning(f)
			return
		}
		if final := f.finalFailure(ctx, failed); final != nil {
			f.sendFailure(ctx, final)
			return
		}
	}
}

// recordArrival sets the deadline and records that this gateway serves the request.
func (f *inflight) recordArrival() {
	clientTimeout := f.setDeadline()
	received := f.arrived + f.elapsed
	f.retryingFor = f.g.scheduler.recordArrival(f.service.Name(), f.route.Name(), clientTimeout, f.sentToPeer)
	f.value = f.g.scheduler.requestValue(received, f.service.Name(), f.route.Name(), f.request.Account(), f.request.Prompt())
}

// setDeadline sets the deadline and returns the client's timeout.
func (f *inflight) setDeadline() kumquatlug.Millis {
	clientTimeout := min(f.request.Timeout(), maxClientTimeout)
	if clientTimeout <= 0 {
		clientTimeout = defaultClientTimeout
	}
	f.deadline = f.arrived + clientTimeout
	if timeout := f.route.Timeout(); timeout > 0 {
		f.deadline = min(f.deadline, f.arrived+timeout)
	}
	return clientTimeout
}

// timeLeft returns how long the client still waits, in ms.
func (f *inflight) timeLeft() kumquatlug.Millis { return f.deadline - f.g.c.Clock.Now() }

// reasonWorkerRefused is the failure reason if the worker refused the attempt.
const reasonWorkerRefused = "worker_refused"

// reasonWorkerFailed is the failure reason if the worker responded with an error.
const reasonWorkerFailed = "worker_failed"

// attemptFailure describes a failed attempt.
type attemptFailure struct {
	failure *kumquatlug.Failure
	worker  string
	// permanent is set if an attempt at another worker can't help.
	permanent bool
	// counted is set if a takeover has counted the attempt and made all that are allowed.
	counted bool
	// endedBy is what ended an attempt that had been sent, empty if none had been sent or the
	// worker refused it.
	endedBy endCause
	// absent is set if the worker could not be reached and has never answered.
	absent bool
}

// finalFailure returns the failure to send to the client after a failed attempt, nil if
// another attempt is made.
func (f *inflight) finalFailure(ctx context.Context, failed *attemptFailure) *kumquatlug.Failure {
	if failed.counted {
		if ctx.Err() != nil || f.timeLeft() <= 0 {
			return f.contextFailure(ctx, failed.failure)
		}
		return failed.failure
	}
	f.countAttempt(failed)
	f.logFailure("attempt failed", failed)
	switch {
	case ctx.Err() != nil || f.timeLeft() <= 0:
		return f.contextFailure(ctx, failed.failure)
	case failed.permanent || f.partialEvent || f.attempts >= maxAttempts || f.possibleRuns >= f.runLimit():
		return failed.failure
	}
	if failed := f.shutdownFailure(); failed != nil {
		return failed.failure
	}
	return nil
}

// countAttempt counts a failed attempt.
func (f *inflight) countAttempt(failed *attemptFailure) {
	if failed.absent && f.absentTried < maxAbsentTried {
		// Entries at which nobody answers must not use up the attempts at workers.
		f.absentTried++
	} else {
		f.attempts++
	}
	f.workerErrored = failed.failure.Reason() == reasonWorkerFailed
	if failed.endedBy != "" {
		f.endedBy = failed.endedBy
	}
	if failed.worker != "" {
		f.exclude = append(f.exclude, failed.worker)
		if failed.failure.Reason() == reasonWorkerRefused {
			f.versionWait.refusedBy = append(f.versionWait.refusedBy, failed.worker)
		}
	}
	if failed.failure.Execution() != kumquatlug.NotExecuted {
		f.possibleRuns++
	}
}

// runLimit returns how many workers may have run the request before no other attempt is made.
func (f *inflight) runLimit() int {
	if !f.route.Repeatable() || f.probe {
		return 1
	}
	return f.maxWorkers()
}

// maxWorkers returns how many workers may run the request for this gateway. Of a request that a
// peer handed off, the last one is left to the peer, which continues the request if this gateway
// can't: both together must not exceed what the route permits, also if this one is killed.
func (f *inflight) maxWorkers() int {
	if f.handoff != nil {
		return max(f.route.MaxWorkers()-1, 1)
	}
	return f.route.MaxWorkers()
}

// takeRetryBudget takes one retry from the budget unless this is the first attempt to
// reach a worker. It returns a failure if the budget is exhausted.
func (f *inflight) takeRetryBudget(ctx context.Context) *attemptFailure {
	if f.repeatCharged {
		f.repeatCharged, f.unusedCharge = false, true
		return nil
	}
	if f.deliveries == 0 {
		return nil
	}
	if final := f.chargeRetry(ctx); final != nil {
		return &attemptFailure{permanent: true, failure: final}
	}
	return nil
}

// chargeRetry takes one retry from the budget. It returns a failure if the budget is exhausted: the
// retry did not run, whatever earlier attempts did.
func (f *inflight) chargeRetry(ctx context.Context) *kumquatlug.Failure {
	if f.g.takeRetry(ctx, f.service.Name(), f.retries) {
		f.unusedCharge = true
		return nil
	}
	return refusal("repeat", "repeats_used_up", http.StatusServiceUnavailable, 0)
}

// mayHaveRun reports whether a worker may have run the request.
func (f *inflight) mayHaveRun() bool { return f.possibleRuns+f.withdrawnRuns > 0 }

// clientFailure returns cause with another reason. It states that the request did not
// run only if no attempt may have run.
func (f *inflight) clientFailure(cause *kumquatlug.Failure, reason string) *kumquatlug.Failure {
	if cause.Status() == http.StatusUnauthorized && !f.mayHaveRun() {
		return cause
	}
	c := kumquatlug.FailureConfig{
		Step: cause.Step(), Peer: cause.Peer(), Reason: reason, Execution: kumquatlug.ExecutionUnknown,
		Status: http.StatusBadGateway, Cause: cause,
	}
	if cause.Status() == http.StatusGatewayTimeout {
		c.Status = cause.Status()
	}
	if !f.mayHaveRun() {
		c.Execution, c.Status, c.RetryAfter = kumquatlug.NotExecuted, http.StatusServiceUnavailable, cause.RetryAfter()
		if c.RetryAfter == 0 {
			c.RetryAfter = f.retryAfter(maxRetryAfter)
		}
	}
	return kumquatlug.NewFailure(c)
}

// contextFailure returns the failure of a request whose deadline has passed, whose
// client has disconnected or whose gateway is shutting down.
func (f *inflight) contextFailure(ctx context.Context, cause *kumquatlug.Failure) *kumquatlug.Failure {
	reason := "deadline"
	switch {
	case !errors.Is(ctx.Err(), context.Canceled):
	case f.g.shuttingDown():
		reason = reasonStopping
	default:
		reason = reasonClientLeft
	}
	if !f.mayHaveRun() {
		return refusal("serve", reason, http.StatusServiceUnavailable, 0)
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "serve", Reason: reason, Execution: kumquatlug.ExecutionUnknown, Status: http.StatusGatewayTimeout, Cause: cause,
	})
}

// retryAfter limits the delay after which a refused client should retry.
func (f *inflight) retryAfter(delay kumquatlug.Millis) kumquatlug.Millis {
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return min(delay, max(f.timeLeft()/retryAfterDivisor, 1))
}

// sendFailure sends the client its final response. If a part of a response was sent
// before, it aborts the connection, so that the client can't take that part for the
// complete response.
func (f *inflight) sendFailure(ctx context.Context, final *kumquatlug.Failure) {
	if f.responseStarted || !errors.Is(ctx.Err(), context.Canceled) {
		f.g.accounts.note(f.g.c.Clock.Now(), f.request.Account(), false)
	}
	if f.responseStarted {
		f.g.metrics.responses.WithLabelValues("broken_off").Inc()
		f.logFailure("broken off", &attemptFailure{failure: final, endedBy: f.endedBy})
		panic(http.ErrAbortHandler)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		f.g.metrics.responses.WithLabelValues(reasonClientLeft).Inc()
		return
	}
	f.g.refuse(f.w, f.request, f.clientFailure(final, final.Reason()), f.logFields()...)
}

// logFields returns the fields that the log lines of a request have in common: the
// route, the account, the version of the config that selected them, the time taken, the
// time left, and how the last body ended.
func (f *inflight) logFields() []zap.Field {
	now := f.g.c.Clock.Now()
	fields := []zap.Field{
		zap.String("route", f.route.Name()), zap.String("account", f.request.Account()), zap.Int64("config", f.configVersion),
		zap.Int64("took_ms", int64(now-f.arrived)), zap.Int64("left_ms", int64(f.deadline-now)),
	}
	if f.bodyEnd != "" {
		fields = append(fields, zap.String("framing", string(f.framing)), zap.String("body_end", string(f.bodyEnd)))
	}
	return fields
}

// logFailure logs the failure of an attempt.
func (f *inflight) logFailure(message string, failed *attemptFailure) {
	f.g.c.Logger.Info(message, append([]zap.Field{
		zap.String("request", f.request.ID()), zap.String("worker", failed.worker),
		zap.String("step", failed.failure.Step()), zap.String("reason", failed.failure.Reason()),
		zap.String("ran", string(failed.failure.Execution())), zap.Int("tries", f.attempts),
		zap.String("ended_by", string(failed.endedBy)),
		zap.String("cause", failed.failure.CauseText()),
	}, f.logFields()...)...)
}
