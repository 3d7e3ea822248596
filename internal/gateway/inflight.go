package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// inflight is one request of a client on its way.
type inflight struct {
	g       *Gateway
	w       http.ResponseWriter
	request kumquatlug.Ask
	account kumquatlug.Caller
	route   kumquatlug.Route
	service kumquatlug.Service
	// configVersion is the config's.
	configVersion int64
	arrived       kumquatlug.Millis
	// deadline is when the client gives up or the route's timeout ends.
	deadline kumquatlug.Millis
	// retryingFor is how long the client has been trying before this request.
	retryingFor kumquatlug.Millis
	// value is what the request is worth beside the mean one of its route.
	value float64

	exclude []string
	// cacheZone is the data centre of the engine that read the prompt.
	cacheZone string
	// reservation is what an engine with a limit keeps for the output of the prompt.
	reservation placement.Place
	// refusedCache is the KV cache of the prompt that a generating engine refused to
	// take on; the next one may have it. reused says that one was given such a cache.
	refusedCache kumquatlug.KVCache
	cacheReused  bool
	// workerErrored says that the last try ended with a worker's own error.
	workerErrored bool
	// usageCounted says that the request was counted as begun.
	usageCounted bool
	// attempts counts all tries, runs the workers that may have run the request.
	attempts, possibleRuns int
	// deliveries counts the sendings that a worker received, but for the first
	// one after which it had read the prompt; read says that there was one.
	deliveries int
	prefilled  bool
	// responseStarted says that the head of the answer was written, last is the number of
	// the last event that the client has.
	responseStarted bool
	lastEventID     int64
	// onFirstOutput is called at the first output of an attempt.
	onFirstOutput func()
	// timings are when each step of the last attempt was done.
	timings timings
}

// timings are when the steps of a request were done, zero for those that were not.
type timings struct {
	// permittedAt: its turn at an engine came; read: its prompt was read apart;
	// first: its first output came.
	permittedAt, prefilledAt, firstOutputAt kumquatlug.Millis
	// lastOutputAt is when the last events went on, gap the longest pause before any.
	lastOutputAt, longestPause kumquatlug.Millis
	// pausedWorker is the worker at which that pause was longer than the route allows, and
	// beside what it had in hand besides.
	pausedWorker     string
	pausedWorkerLoad placement.Beside
	// events counts those that went on.
	events int
	// expectedPrefill is how long reading was expected to take.
	expectedPrefill kumquatlug.Millis
	prefillWorker   string
}

// serve makes attempts until the client has its final answer.
func (f *inflight) serve(ctx context.Context) {
	clientTimeout := f.request.Deadline()
	if clientTimeout <= 0 {
		clientTimeout = defaultClientTimeout
	}
	f.retryingFor = f.g.scheduler.recordArrival(f.arrived, f.service.Name(), f.route.Name(), clientTimeout)
	f.value = f.g.scheduler.requestValue(f.arrived, f.service.Name(), f.route.Name(), f.request.Account(), f.request.Prompt())
	f.deadline = f.arrived + clientTimeout
	if timeout := f.route.Timeout(); timeout > 0 {
		f.deadline = min(f.deadline, f.arrived+timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeLeft().Duration())
	defer cancel()
	defer func() { f.g.releaseCache(f.refusedCache) }()
	for {
		failed := f.tryOnce(ctx)
		if failed == nil {
			return
		}
		if final := f.finalFailure(ctx, failed); final != nil {
			f.sendFailure(ctx, final)
			return
		}
	}
}

// timeLeft returns how long the client still waits.
func (f *inflight) timeLeft() kumquatlug.Millis { return f.deadline - f.g.c.Clock.Now() }

// reasonWorkerRefused is the reason of an attempt that its worker refused to take on.
const reasonWorkerRefused = "worker_refused"

// reasonWorkerFailed is the reason of an attempt that its worker answered with an error
// of its own.
const reasonWorkerFailed = "worker_failed"

// attemptFailure is how one attempt failed.
type attemptFailure struct {
	failure *kumquatlug.Failure
	worker  string
	// permanent says that nothing would be gained by another worker.
	permanent bool
}

// finalFailure decides what follows a failed attempt: nil for another one, or the final
// answer.
func (f *inflight) finalFailure(ctx context.Context, t *attemptFailure) *kumquatlug.Failure {
	f.attempts++
	f.workerErrored = t.failure.Reason() == reasonWorkerFailed
	if t.worker != "" {
		f.exclude = append(f.exclude, t.worker)
	}
	if t.failure.Ran() != kumquatlug.RanNot {
		f.possibleRuns++
	}
	f.logFailure("attempt failed", t)
	switch {
	case ctx.Err() != nil || f.timeLeft() <= 0:
		return f.contextFailure(ctx, t.failure)
	case t.permanent || f.attempts >= maxAttempts:
		return t.failure
	case f.possibleRuns > 0 && !f.route.Repeatable():
		return t.failure
	case f.possibleRuns >= f.route.Workers():
		return t.failure
	}
	if stopping := f.stoppingFailure(); stopping != nil {
		return stopping.failure
	}
	return nil
}

// takeRetryBudget pays for a sending that is not the first to arrive. It tells what to
// answer when the budget of repeats is used up.
func (f *inflight) takeRetryBudget() *attemptFailure {
	if f.deliveries == 0 || f.g.scheduler.takeRetry(f.g.c.Clock.Now(), f.service.Name()) {
		return nil
	}
	return &attemptFailure{permanent: true, failure: f.clientFailure(refusal("repeat", "repeats_used_up", 0, 0), "repeats_used_up")}
}

// clientFailure gives a failure another reason; it promises that nothing ran only
// where no attempt may have run.
func (f *inflight) clientFailure(cause *kumquatlug.Failure, reason string) *kumquatlug.Failure {
	if cause.Status() == http.StatusUnauthorized && f.possibleRuns == 0 {
		return cause
	}
	c := kumquatlug.FailureConfig{
		Step: cause.Step(), Peer: cause.Peer(), Reason: reason, Ran: kumquatlug.RanUnknown,
		Status: http.StatusBadGateway, Cause: cause,
	}
	if cause.Status() == http.StatusGatewayTimeout {
		c.Status = cause.Status()
	}
	if f.possibleRuns == 0 {
		c.Ran, c.Status, c.RetryAfter = kumquatlug.RanNot, http.StatusServiceUnavailable, cause.RetryAfter()
		if c.RetryAfter == 0 {
			c.RetryAfter = f.retryAfter(maxRetryAfter)
		}
	}
	return kumquatlug.NewFailure(c)
}

// contextFailure is the answer of a request whose time is over, or whose client or front
// is going.
func (f *inflight) contextFailure(ctx context.Context, cause *kumquatlug.Failure) *kumquatlug.Failure {
	reason := "deadline"
	switch {
	case !errors.Is(ctx.Err(), context.Canceled):
	case f.g.stopping():
		reason = "stopping"
	default:
		reason = "client_left"
	}
	if f.possibleRuns == 0 {
		return refusal("serve", reason, http.StatusServiceUnavailable, 0)
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "serve", Reason: reason, Ran: kumquatlug.RanUnknown, Status: http.StatusGatewayTimeout, Cause: cause,
	})
}

// retryAfter bounds when a refused client is asked to come back.
func (f *inflight) retryAfter(delay kumquatlug.Millis) kumquatlug.Millis {
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return min(delay, max(f.timeLeft()/retryAfterDivisor, 1))
}

// sendFailure gives the client its final answer. Where a part of an answer was sent,
// the connection is broken off: it must not look whole.
func (f *inflight) sendFailure(ctx context.Context, final *kumquatlug.Failure) {
	if f.responseStarted || !errors.Is(ctx.Err(), context.Canceled) {
		f.g.accounts.note(f.g.c.Clock.Now(), f.request.Account(), false)
	}
	if f.responseStarted {
		f.g.metrics.responses.WithLabelValues("broken_off").Inc()
		f.logFailure("broken off", &attemptFailure{failure: final})
		panic(http.ErrAbortHandler)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		f.g.metrics.responses.WithLabelValues("client_left").Inc()
		return
	}
	f.g.refuse(f.w, f.request, f.clientFailure(final, final.Reason()), f.logFields()...)
}

// logFields tells of a request what its log lines have in common: the route, the account and the
// version of the config that chose it, and the time taken and left.
func (f *inflight) logFields() []zap.Field {
	now := f.g.c.Clock.Now()
	return []zap.Field{
		zap.String("route", f.route.Name()), zap.String("account", f.request.Account()), zap.Int64("config", f.configVersion),
		zap.Int64("took_ms", int64(now-f.arrived)), zap.Int64("left_ms", int64(f.deadline-now)),
	}
}

// logFailure writes one line on what became of an attempt.
func (f *inflight) logFailure(message string, t *attemptFailure) {
	f.g.c.Logger.Info(message, append([]zap.Field{
		zap.String("request", f.request.ID()), zap.String("worker", t.worker),
		zap.String("step", t.failure.Step()), zap.String("reason", t.failure.Reason()),
		zap.String("ran", string(t.failure.Ran())), zap.Int("tries", f.attempts),
		zap.String("cause", t.failure.CauseText()),
	}, f.logFields()...)...)
}
