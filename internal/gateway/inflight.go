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
	ask     kumquatlug.Ask
	account kumquatlug.Caller
	route   kumquatlug.Route
	service kumquatlug.Service
	// version is the config's.
	version int64
	arrived kumquatlug.Millis
	// until is when the client gives up or the route's timeout ends.
	until kumquatlug.Millis
	// trying is how long the client has been trying before this request.
	trying kumquatlug.Millis
	// worth is what the request is worth beside the mean one of its route.
	worth float64

	exclude []string
	// cacheZone is the data centre of the engine that read the prompt.
	cacheZone string
	// place is what an engine with a limit keeps for the output of the prompt.
	place placement.Place
	// refused is the KV cache of the prompt that a generating engine refused to
	// take on; the next one may have it. reused says that one was given such a cache.
	refused kumquatlug.KVCache
	reused  bool
	// erred says that the last try ended with a worker's own error.
	erred bool
	// counted says that the request was counted as begun.
	counted bool
	// tries counts all tries, runs the workers that may have run the request.
	tries, runs int
	// arrivals counts the sendings that a worker received, but for the first
	// one after which it had read the prompt; read says that there was one.
	arrivals int
	read     bool
	// begun says that the head of the answer was written, last is the number of
	// the last event that the client has.
	begun bool
	last  int64
	// heard is called at the first output of an attempt.
	heard func()
	// times are when each step of the last attempt was done.
	times times
}

// times are when the steps of a request were done, zero for those that were not.
type times struct {
	// entered: its turn at an engine came; read: its prompt was read apart;
	// first: its first output came.
	entered, read, first kumquatlug.Millis
	// passed is when the last events went on, gap the longest pause before any.
	passed, gap kumquatlug.Millis
	// pausedAt is the worker at which that pause was longer than the route allows, and
	// beside what it had in hand besides.
	pausedAt string
	beside   placement.Beside
	// events counts those that went on.
	events int
	// expected is how long reading was expected to take.
	expected kumquatlug.Millis
	reader   string
}

// serve makes attempts until the client has its final answer.
func (f *inflight) serve(ctx context.Context) {
	patience := f.ask.Deadline()
	if patience <= 0 {
		patience = defaultPatience
	}
	f.trying = f.g.scheduler.arrive(f.arrived, f.service.Name(), f.route.Name(), patience)
	f.worth = f.g.scheduler.worth(f.arrived, f.service.Name(), f.route.Name(), f.ask.Account(), f.ask.Prompt())
	f.until = f.arrived + patience
	if timeout := f.route.Timeout(); timeout > 0 {
		f.until = min(f.until, f.arrived+timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, f.left().Duration())
	defer cancel()
	defer func() { f.g.free(f.refused) }()
	for {
		failed := f.attempt(ctx)
		if failed == nil {
			return
		}
		if final := f.next(ctx, failed); final != nil {
			f.finish(ctx, final)
			return
		}
	}
}

// left returns how long the client still waits.
func (f *inflight) left() kumquatlug.Millis { return f.until - f.g.c.Clock.Now() }

// reasonRefused is the reason of an attempt that its worker refused to take on.
const reasonRefused = "worker_refused"

// reasonErred is the reason of an attempt that its worker answered with an error
// of its own.
const reasonErred = "worker_failed"

// tried is how one attempt failed.
type tried struct {
	failure *kumquatlug.Failure
	worker  string
	// whole says that nothing would be gained by another worker.
	whole bool
}

// next decides what follows a failed attempt: nil for another one, or the final
// answer.
func (f *inflight) next(ctx context.Context, t *tried) *kumquatlug.Failure {
	f.tries++
	f.erred = t.failure.Reason() == reasonErred
	if t.worker != "" {
		f.exclude = append(f.exclude, t.worker)
	}
	if t.failure.Ran() != kumquatlug.RanNot {
		f.runs++
	}
	f.log("attempt failed", t)
	switch {
	case ctx.Err() != nil || f.left() <= 0:
		return f.over(ctx, t.failure)
	case t.whole || f.tries >= maxTries:
		return t.failure
	case f.runs > 0 && !f.route.Repeatable():
		return t.failure
	case f.runs >= f.route.Workers():
		return t.failure
	}
	if cut := f.cutShort(); cut != nil {
		return cut.failure
	}
	return nil
}

// pay pays for a sending that is not the first to arrive. It tells what to
// answer when the budget of repeats is used up.
func (f *inflight) pay() *tried {
	if f.arrivals == 0 || f.g.scheduler.repeat(f.g.c.Clock.Now(), f.service.Name()) {
		return nil
	}
	return &tried{whole: true, failure: f.truthful(refusal("repeat", "repeats_used_up", 0, 0), "repeats_used_up")}
}

// truthful gives a failure another reason; it promises that nothing ran only
// where no attempt may have run.
func (f *inflight) truthful(cause *kumquatlug.Failure, reason string) *kumquatlug.Failure {
	if cause.Status() == http.StatusUnauthorized && f.runs == 0 {
		return cause
	}
	c := kumquatlug.FailureConfig{
		Step: cause.Step(), Peer: cause.Peer(), Reason: reason, Ran: kumquatlug.RanUnknown,
		Status: http.StatusBadGateway, Cause: cause,
	}
	if cause.Status() == http.StatusGatewayTimeout {
		c.Status = cause.Status()
	}
	if f.runs == 0 {
		c.Ran, c.Status, c.RetryAfter = kumquatlug.RanNot, http.StatusServiceUnavailable, cause.RetryAfter()
		if c.RetryAfter == 0 {
			c.RetryAfter = f.comeBack(mostRetry)
		}
	}
	return kumquatlug.NewFailure(c)
}

// over is the answer of a request whose time is over, or whose client or front
// is going.
func (f *inflight) over(ctx context.Context, cause *kumquatlug.Failure) *kumquatlug.Failure {
	reason := "deadline"
	switch {
	case !errors.Is(ctx.Err(), context.Canceled):
	case f.g.stopping():
		reason = "stopping"
	default:
		reason = "client_left"
	}
	if f.runs == 0 {
		return refusal("serve", reason, http.StatusServiceUnavailable, 0)
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "serve", Reason: reason, Ran: kumquatlug.RanUnknown, Status: http.StatusGatewayTimeout, Cause: cause,
	})
}

// comeBack bounds when a refused client is asked to come back.
func (f *inflight) comeBack(after kumquatlug.Millis) kumquatlug.Millis {
	after = min(max(after, leastRetry), mostRetry)
	return min(after, max(f.left()/retryPart, 1))
}

// finish gives the client its final answer. Where a part of an answer was sent,
// the connection is broken off: it must not look whole.
func (f *inflight) finish(ctx context.Context, final *kumquatlug.Failure) {
	if f.begun || !errors.Is(ctx.Err(), context.Canceled) {
		f.g.served.note(f.g.c.Clock.Now(), f.ask.Account(), false)
	}
	if f.begun {
		f.g.metrics.answers.WithLabelValues("broken_off").Inc()
		f.log("broken off", &tried{failure: final})
		panic(http.ErrAbortHandler)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		f.g.metrics.answers.WithLabelValues("client_left").Inc()
		return
	}
	f.g.refuse(f.w, f.ask, f.truthful(final, final.Reason()), f.about()...)
}

// about tells of a request what its log lines have in common: the route, the account and the
// version of the config that chose it, and the time taken and left.
func (f *inflight) about() []zap.Field {
	now := f.g.c.Clock.Now()
	return []zap.Field{
		zap.String("route", f.route.Name()), zap.String("account", f.ask.Account()), zap.Int64("config", f.version),
		zap.Int64("took_ms", int64(now-f.arrived)), zap.Int64("left_ms", int64(f.until-now)),
	}
}

// log writes one line on what became of an attempt.
func (f *inflight) log(what string, t *tried) {
	f.g.c.Logger.Info(what, append([]zap.Field{
		zap.String("request", f.ask.ID()), zap.String("worker", t.worker),
		zap.String("step", t.failure.Step()), zap.String("reason", t.failure.Reason()),
		zap.String("ran", string(t.failure.Ran())), zap.Int("tries", f.tries),
		zap.String("cause", t.failure.CauseText()),
	}, f.about()...)...)
}
