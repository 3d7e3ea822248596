package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// Figures of serving.
const (
	// maxBody bounds a body until the operator's limit is known, in bytes.
	maxBody = 4 << 20
	// defaultPatience is how long a client that says nothing is taken to wait.
	defaultPatience = 15 * kumquatlug.Second
	// maxTries bounds the tries to reach workers for one request, those included
	// that reached none.
	maxTries = 4
	// retryPart is the part of the time left after which a refused client may be
	// asked to come back: clients honour no longer wait than a third.
	retryPart = 3
	// leastRetry and mostRetry bound that wait: a queue at the engines changes
	// within tenths of a second.
	leastRetry = 100 * kumquatlug.Millis(1)
	mostRetry  = 700 * kumquatlug.Millis(1)
	// stopRetry is when a client that a stopping front refused comes back: at
	// once, as another front can still answer it within its target latency.
	stopRetry = 20 * kumquatlug.Millis(1)
	// startRetry is when a client of a front that knows no config comes back.
	startRetry = 300 * kumquatlug.Millis(1)
)

// flight is one request of a client on its way.
type flight struct {
	g       *Gateway
	w       http.ResponseWriter
	ask     kumquatlug.Ask
	route   kumquatlug.Route
	service kumquatlug.Service
	// version is the config's.
	version int64
	arrived kumquatlug.Millis
	// until is when the client gives up or the route's timeout ends.
	until kumquatlug.Millis
	// trying is how long the client has been trying before this request.
	trying kumquatlug.Millis

	exclude []string
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
	// expected is how long reading was expected to take.
	expected kumquatlug.Millis
	reader   string
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.held.Add(1)
	defer g.held.Add(-1)
	arrived := g.c.Clock.Now()
	table := g.table.Load()
	limit := int64(maxBody)
	if table != nil && table.Limits().BodyBytes > 0 {
		limit = table.Limits().BodyBytes
	}
	if g.bodies.Load()+max(r.ContentLength, 0) > g.c.MaxBodies {
		g.refuse(w, kumquatlug.Ask{}, refusal("read request", "bodies", http.StatusServiceUnavailable, leastRetry))
		return
	}
	ask, err := g.c.Ingress.Decode(r, limit)
	if err != nil {
		g.refuse(w, ask, kumquatlug.FailureOf(err))
		return
	}
	g.bodies.Add(int64(len(ask.Body())))
	defer g.bodies.Add(-int64(len(ask.Body())))
	if table == nil {
		g.refuse(w, ask, refusal("find route", "no_config", http.StatusServiceUnavailable, startRetry))
		return
	}
	route, found := table.Match(ask.Host(), ask.Path())
	if !found {
		g.refuse(w, ask, refusal("find route", "no_route", http.StatusNotFound, 0))
		return
	}
	service, found := table.Service(route.Service(ask.ID()))
	if !found {
		g.refuse(w, ask, refusal("find service", "no_service", http.StatusServiceUnavailable, mostRetry))
		return
	}
	f := &flight{g: g, w: w, ask: ask, route: route, service: service, version: table.Version(), arrived: arrived, last: ask.Resume()}
	if leave := kumquatlug.Millis(g.leaveAt.Load()); leave != 0 {
		// The client's next request comes over a new connection, to a front that
		// stays.
		w.Header().Set("Connection", "close")
		if f.outlasts(leave) {
			g.refuse(w, ask, refusal("stop", "stopping", http.StatusServiceUnavailable, stopRetry))
			return
		}
	}
	if f.suspected() {
		g.refuse(w, ask, refusal("quarantine", "quarantined", http.StatusServiceUnavailable, mostRetry))
		return
	}
	f.serve(r.Context())
}

// Figures of how long a request takes at most places.
const (
	// tokenTime is how long one token of output takes, in milliseconds, at a
	// busy engine.
	tokenTime = 1.2
	// plainTime is how long nearly all other requests take.
	plainTime = 500 * kumquatlug.Millis(1)
)

// outlasts reports that the answer would not be whole when this front leaves.
// Another front can still begin it; here it would be cut off.
func (f *flight) outlasts(leave kumquatlug.Millis) bool {
	takes := plainTime + kumquatlug.Millis(tokenTime*float64(f.ask.Prompt().Output()))
	return f.arrived+takes > leave
}

// refusal returns a final answer for a request that did not run.
func refusal(step, reason string, status int, retry kumquatlug.Millis) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: reason, Ran: kumquatlug.RanNot, Status: status, RetryAfter: retry,
	})
}

// refuse gives a final answer of our own.
func (g *Gateway) refuse(w http.ResponseWriter, ask kumquatlug.Ask, f *kumquatlug.Failure, about ...zap.Field) {
	g.metrics.answers.WithLabelValues(f.Reason()).Inc()
	g.c.Logger.Info("refused", zap.String("request", ask.ID()), zap.String("step", f.Step()),
		zap.String("reason", f.Reason()), zap.String("ran", string(f.Ran())), zap.Int("status", f.Status()),
		zap.Int64("retry_after_ms", int64(f.RetryAfter())), zap.String("cause", f.CauseText()), zap.Inline(fields(about)))
	g.c.Ingress.Refuse(w, ask, f)
}

// serve makes attempts until the client has its final answer.
func (f *flight) serve(ctx context.Context) {
	patience := f.ask.Deadline()
	if patience <= 0 {
		patience = defaultPatience
	}
	f.trying = f.g.desk.arrive(f.arrived, f.service.Name(), f.route.Name(), patience)
	f.until = f.arrived + patience
	if timeout := f.route.Timeout(); timeout > 0 {
		f.until = min(f.until, f.arrived+timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, f.left().Duration())
	defer cancel()
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
func (f *flight) left() kumquatlug.Millis { return f.until - f.g.c.Clock.Now() }

// tried is how one attempt failed.
type tried struct {
	failure *kumquatlug.Failure
	worker  string
	// whole says that nothing would be gained by another worker.
	whole bool
}

// next decides what follows a failed attempt: nil for another one, or the final
// answer.
func (f *flight) next(ctx context.Context, t *tried) *kumquatlug.Failure {
	f.tries++
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
	return nil
}

// pay pays for a sending that is not the first to arrive. It tells what to
// answer when the budget of repeats is used up.
func (f *flight) pay() *tried {
	if f.arrivals == 0 || f.g.desk.repeat(f.g.c.Clock.Now(), f.service.Name()) {
		return nil
	}
	return &tried{whole: true, failure: f.truthful(refusal("repeat", "repeats_used_up", 0, 0), "repeats_used_up")}
}

// truthful gives a failure another reason; it promises that nothing ran only
// where no attempt may have run.
func (f *flight) truthful(cause *kumquatlug.Failure, reason string) *kumquatlug.Failure {
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
func (f *flight) over(ctx context.Context, cause *kumquatlug.Failure) *kumquatlug.Failure {
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
func (f *flight) comeBack(after kumquatlug.Millis) kumquatlug.Millis {
	after = min(max(after, leastRetry), mostRetry)
	return min(after, max(f.left()/retryPart, 1))
}

// finish gives the client its final answer. Where a part of an answer was sent,
// the connection is broken off: it must not look whole.
func (f *flight) finish(ctx context.Context, final *kumquatlug.Failure) {
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

// about tells of a request what its log lines have in common: the route and the
// version of the config that chose it, and the time taken and left.
func (f *flight) about() []zap.Field {
	now := f.g.c.Clock.Now()
	return []zap.Field{
		zap.String("route", f.route.Name()), zap.Int64("config", f.version),
		zap.Int64("took_ms", int64(now-f.arrived)), zap.Int64("left_ms", int64(f.until-now)),
	}
}

// fields are log fields that are written together.
type fields []zap.Field

// MarshalLogObject writes each field.
func (fs fields) MarshalLogObject(e zapcore.ObjectEncoder) error {
	for _, f := range fs {
		f.AddTo(e)
	}
	return nil
}

// attempt makes one attempt; nil means that the client has its answer.
func (f *flight) attempt(ctx context.Context) *tried {
	if f.service.Engine() {
		return f.generate(ctx)
	}
	ticket, choice, failed := f.choose(stageWhole)
	if failed != nil {
		return failed
	}
	return f.run(ctx, choice, ticket, kumquatlug.KVCache{})
}

func (f *flight) query() placement.Query {
	q := placement.Query{Prompt: f.ask.Prompt(), Exclude: f.exclude, Until: f.until}
	if target := f.route.Target(); target > 0 {
		q.Target = f.arrived - f.trying + target
	}
	return q
}

// generate has the prompt read and the output made, at one engine or at two.
func (f *flight) generate(ctx context.Context) *tried {
	ticket, choice, failed := f.enter(ctx)
	if failed != nil {
		return failed
	}
	f.times.entered = f.g.c.Clock.Now()
	if !choice.Apart() {
		return f.run(ctx, choice, ticket, kumquatlug.KVCache{})
	}
	f.times.expected, f.times.reader = choice.Wait(), choice.Worker().ID()
	cache, failed := f.prefill(ctx, choice, ticket)
	if failed != nil {
		return failed
	}
	ticket, choice, failed = f.choose(stageOutput)
	if failed != nil {
		f.g.free(cache)
		return failed
	}
	failed = f.run(ctx, choice, ticket, cache)
	if failed != nil && failed.failure.Ran() == kumquatlug.RanNot {
		f.g.free(cache)
	}
	return failed
}

// choose picks a worker, or tells that there is none.
func (f *flight) choose(s stage) (*placement.Ticket, placement.Choice, *tried) {
	if failed := f.pay(); failed != nil {
		return nil, placement.Choice{}, failed
	}
	choice, ticket := f.g.desk.choose(f.g.c.Clock.Now(), f.service.Name(), s, f.query())
	if ticket == nil {
		return nil, choice, f.nobody()
	}
	if s == stageWhole && choice.Wait() >= f.left() {
		f.end(s, ticket, placement.OutcomeSilent)
		return nil, choice, f.overload(choice)
	}
	return ticket, choice, nil
}

// nobody is the failure of a request for which there is no worker.
func (f *flight) nobody() *tried {
	return &tried{whole: true, failure: f.truthful(refusal("place", "no_worker", 0, 0), "no_worker")}
}

// overload is the failure of a request that no worker can begin in time. It can
// only be late when it comes back, so that it comes as late as clients allow: an
// overload lasts for seconds.
func (f *flight) overload(c placement.Choice) *tried {
	return &tried{whole: true, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "place", Peer: c.Worker().ID(), Reason: "overload", Ran: kumquatlug.RanNot, RetryAfter: f.comeBack(mostRetry),
		Cause: errors.Newf("expected wait of %d ms at its engine", c.Wait()),
	})}
}

// enter brings the prompt to an engine, when its turn has come.
func (f *flight) enter(ctx context.Context) (*placement.Ticket, placement.Choice, *tried) {
	if failed := f.pay(); failed != nil {
		return nil, placement.Choice{}, failed
	}
	t := f.g.desk.enter(f.g.c.Clock.Now(), f.service.Name(), f.query())
	switch t.entry {
	case placement.EntrySent:
		return t.ticket, t.choice, nil
	case placement.EntryNobody:
		return nil, t.choice, f.nobody()
	case placement.EntryRefused:
		return nil, t.choice, f.overload(t.choice)
	}
	select {
	case due := <-t.due:
		if due.Ticket() == nil {
			return nil, due.Choice(), f.overload(due.Choice())
		}
		return due.Ticket(), due.Choice(), nil
	case <-ctx.Done():
		f.g.desk.leave(f.g.c.Clock.Now(), f.service.Name(), t)
		return nil, t.choice, &tried{whole: true, failure: refusal("wait", "client_left", http.StatusServiceUnavailable, 0)}
	}
}

// Urgencies at an engine, 0 first. Requests that can still make their target
// latency go before those that can't: serving the late ones first would make
// the others late, too.
const (
	urgencyInTime = 3
	urgencyLate   = 6
	urgencyLast   = 9
)

func (f *flight) sending(choice placement.Choice) kumquatlug.Sending {
	now := f.g.c.Clock.Now()
	urgency := urgencyInTime
	target := f.route.Target()
	if target > 0 && f.trying+now-f.arrived+choice.Wait() > target {
		urgency = urgencyLate
	}
	return kumquatlug.Sending{
		Left: f.left(), Resume: f.last, Urgency: min(urgency+f.route.Priority(), urgencyLast),
	}
}

// Figures of an attempt that is given up in favour of another worker.
const (
	// leastPatience is far above an answer's usual time, so that only a worker
	// that fell silent or behind reaches it.
	leastPatience = 900 * kumquatlug.Millis(1)
	// patienceFactor is how many times the expected wait is waited.
	patienceFactor = 4
)

// patience is how long an attempt may take until its first output, where
// another worker could still answer in time.
func (f *flight) patience(c placement.Choice) kumquatlug.Millis {
	return min(f.left(), max(leastPatience, patienceFactor*c.Wait()))
}

// prefill has an engine read the prompt.
func (f *flight) prefill(ctx context.Context, c placement.Choice, t *placement.Ticket) (kumquatlug.KVCache, *tried) {
	call, cancel := context.WithTimeout(ctx, f.patience(c).Duration())
	defer cancel()
	cache, reply, err := f.g.c.Workers.Prefill(call, c.Worker(), f.ask, f.sending(c))
	id := c.Worker().ID()
	if err != nil {
		// Reading a prompt runs nothing, whatever became of it.
		failed := f.failed(ctx, stagePrompt, c, t, err)
		failed.failure = failed.failure.WithRan(kumquatlug.RanNot)
		return cache, failed
	}
	f.g.desk.said(f.g.c.Clock.Now(), f.service.Name(), id, reply.Load())
	if reply.Status() != http.StatusOK || cache.Handle() == "" {
		failed := f.turnedDown(stagePrompt, c, t, reply)
		return cache, failed
	}
	if f.read {
		f.arrivals++
	}
	f.read = true
	f.times.read = f.g.c.Clock.Now()
	f.end(stagePrompt, t, placement.OutcomeGood)
	return cache, nil
}

// end records the end of an attempt.
func (f *flight) end(s stage, t *placement.Ticket, o placement.Outcome) {
	f.g.metrics.attempts.WithLabelValues(string(s), string(o)).Inc()
	f.g.desk.end(f.g.c.Clock.Now(), f.service.Name(), t, o)
}

// failed records an attempt that brought no answer.
func (f *flight) failed(ctx context.Context, s stage, c placement.Choice, t *placement.Ticket, err error) *tried {
	outcome := placement.OutcomeFailed
	if ctx.Err() != nil {
		outcome = placement.OutcomeSilent
	}
	f.end(s, t, outcome)
	failure := kumquatlug.FailureOf(err)
	if failure.Ran() != kumquatlug.RanNot {
		f.arrivals++
		if outcome == placement.OutcomeFailed {
			f.crashed(c.Worker().ID())
		}
	}
	return &tried{failure: failure, worker: c.Worker().ID()}
}

// turnedDown records an attempt that the worker refused, and drops its answer.
func (f *flight) turnedDown(s stage, c placement.Choice, t *placement.Ticket, reply kumquatlug.Reply) *tried {
	reply.Body().Close()
	f.arrivals++
	f.end(s, t, placement.OutcomeRefused)
	return &tried{worker: c.Worker().ID(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: string(s), Peer: c.Worker().ID(), Reason: "worker_refused", Ran: kumquatlug.RanNot,
		Status: http.StatusServiceUnavailable, RetryAfter: f.comeBack(leastRetry * 2),
	})}
}

// run makes an attempt that runs the request, and hands the answer on.
func (f *flight) run(ctx context.Context, c placement.Choice, t *placement.Ticket, cache kumquatlug.KVCache) *tried {
	s := f.sending(c)
	s.Cache = cache
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.route.Repeatable() && f.runs+1 < f.route.Workers() {
		// A worker that is silent holds the request until its deadline.
		stop := time.AfterFunc(f.patience(c).Duration(), cancel)
		defer stop.Stop()
		f.heard = func() { stop.Stop() }
	} else {
		f.heard = func() {}
	}
	reply, err := f.g.c.Workers.Run(call, c.Worker(), f.ask, s)
	if err != nil {
		return f.failed(ctx, stageOutput, c, t, err)
	}
	f.g.desk.said(f.g.c.Clock.Now(), f.service.Name(), c.Worker().ID(), reply.Load())
	if reply.Refused() {
		return f.turnedDown(stageOutput, c, t, reply)
	}
	f.arrivals++
	return f.relay(ctx, c, t, reply)
}

// log writes one line on what became of an attempt.
func (f *flight) log(what string, t *tried) {
	f.g.c.Logger.Info(what, zap.String("request", f.ask.ID()), zap.String("worker", t.worker),
		zap.String("step", t.failure.Step()), zap.String("reason", t.failure.Reason()),
		zap.String("ran", string(t.failure.Ran())), zap.Int("tries", f.tries),
		zap.String("cause", t.failure.CauseText()), zap.Inline(fields(f.about())))
}
