package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// attempt makes one attempt; nil means that the client has its answer.
func (f *inflight) attempt(ctx context.Context) *tried {
	if f.service.Engine() {
		return f.generate(ctx)
	}
	ticket, choice, failed := f.choose(stageWhole)
	if failed != nil {
		return failed
	}
	return f.run(ctx, choice, ticket, kumquatlug.KVCache{})
}

// eventTokens is how many tokens an event is taken to hold. Engines don't tell, and
// differ by a factor of four; too many make a stream that goes on look long, which
// has it read where no stream waits for it.
const eventTokens = 50

// prompt is what an engine has to read: the client's prompt, and what was
// generated of the answer so far. Without the latter all streams that go on after
// a loss look short, are read by the engines that generate, and hold every stream
// there up for a quarter of a second.
func (f *inflight) prompt() kumquatlug.Prompt {
	p := f.ask.Prompt()
	if f.last == 0 {
		return p
	}
	return kumquatlug.NewPrompt(p.Parts(), p.Input()+eventTokens*int(f.last), p.Output())
}

func (f *inflight) query() placement.Query {
	q := placement.Query{Prompt: f.prompt(), Exclude: f.exclude, Until: f.until, CacheZone: f.cacheZone, Begun: f.begun, Worth: f.worth, Place: f.place}
	if target := f.route.Target(); target > 0 {
		q.Target = f.arrived - f.trying + target
	}
	return q
}

// generate has the prompt read and the output made, at one engine or at two.
func (f *inflight) generate(ctx context.Context) *tried {
	if cache := f.refused; cache.Handle() != "" {
		f.refused, f.reused = kumquatlug.KVCache{}, true
		return f.output(ctx, cache)
	}
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
	f.cacheZone, f.place = choice.Zone(), choice.Place()
	return f.output(ctx, cache)
}

// output has the answer generated from a prompt's KV cache. An engine that changes
// its role or is full refuses it; another one then takes the same cache. Read
// again, the prompt would be late, and so would those that wait behind it.
func (f *inflight) output(ctx context.Context, cache kumquatlug.KVCache) *tried {
	if failed := f.cutShort(); failed != nil {
		f.g.free(cache)
		return failed
	}
	ticket, choice, failed := f.choose(stageOutput)
	f.place = placement.Place{}
	if failed != nil {
		f.g.free(cache)
		return failed
	}
	failed = f.run(ctx, choice, ticket, cache)
	switch {
	case failed == nil || failed.failure.Ran() != kumquatlug.RanNot:
	case failed.failure.Reason() == reasonRefused && !f.reused:
		f.refused = cache
	default:
		f.g.free(cache)
	}
	return failed
}

// choose picks a worker, or tells that there is none.
func (f *inflight) choose(s stage) (*placement.Ticket, placement.Choice, *tried) {
	if failed := f.pay(); failed != nil {
		return nil, placement.Choice{}, failed
	}
	q := f.query()
	choice, ticket := f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), s, q)
	if ticket == nil && f.erred {
		// There is nobody but those that were tried. One that answered with an
		// error may do better the second time: some workers fail one request in
		// seven, whatever it is.
		q.Exclude = nil
		choice, ticket = f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), s, q)
	}
	if ticket == nil {
		return nil, choice, f.nobody(choice)
	}
	if s == stageWhole && choice.Wait() >= f.left() {
		f.end(s, ticket, placement.OutcomeSilent)
		return nil, choice, f.overload(choice)
	}
	return ticket, choice, nil
}

// nobody is the failure of a request for which there is no worker, or none that takes
// it soon enough, as the choice tells.
func (f *inflight) nobody(c placement.Choice) *tried {
	reason, after := "no_worker", kumquatlug.Millis(0)
	if c.Delay() > 0 {
		reason, after = "worker_limit", f.comeBack(c.Delay())
	}
	return &tried{whole: true, failure: f.truthful(refusal("place", reason, 0, after), reason)}
}

// overload is the failure of a request that no worker can begin in time. It can
// only be late when it comes back, so that it comes as late as clients allow: an
// overload lasts for seconds.
func (f *inflight) overload(c placement.Choice) *tried {
	return &tried{whole: true, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "place", Peer: c.Worker().ID(), Reason: "overload", Ran: kumquatlug.RanNot, RetryAfter: f.comeBack(mostRetry),
		Cause: errors.Newf("expected wait of %d ms at its engine", c.Wait()),
	})}
}

// enter brings the prompt to an engine, when its turn has come. What is sent there may
// be a repeat: the first reading of a prompt apart is none, but all others are.
func (f *inflight) enter(ctx context.Context) (*placement.Ticket, placement.Choice, *tried) {
	if f.read {
		if failed := f.pay(); failed != nil {
			return nil, placement.Choice{}, failed
		}
	}
	ticket, choice, failed := f.awaitTurn(ctx)
	if failed == nil && !f.read && !choice.Apart() {
		if failed = f.pay(); failed != nil {
			f.end(stageOutput, ticket, placement.OutcomeSilent)
		}
	}
	return ticket, choice, failed
}

// awaitTurn waits until the prompt has its turn at an engine.
func (f *inflight) awaitTurn(ctx context.Context) (*placement.Ticket, placement.Choice, *tried) {
	t := f.g.scheduler.enter(f.g.c.Clock.Now(), f.service.Name(), f.query())
	switch t.entry {
	case placement.EntrySent:
		return t.ticket, t.choice, nil
	case placement.EntryNobody:
		return nil, t.choice, f.nobody(t.choice)
	case placement.EntryRefused:
		return nil, t.choice, f.overload(t.choice)
	}
	wait := time.NewTimer(f.mayRead().Duration())
	defer wait.Stop()
	select {
	case <-wait.C:
		f.g.scheduler.leave(f.g.c.Clock.Now(), f.service.Name(), t)
		return nil, t.choice, f.waitedTooLong()
	case due := <-t.due:
		if due.Ticket() == nil {
			return nil, due.Choice(), f.overload(due.Choice())
		}
		return due.Ticket(), due.Choice(), nil
	case <-ctx.Done():
		f.g.scheduler.leave(f.g.c.Clock.Now(), f.service.Name(), t)
		return nil, t.choice, &tried{whole: true, failure: refusal("wait", "client_left", http.StatusServiceUnavailable, 0)}
	}
}

// waitedTooLong is the failure of a request whose turn did not come in time.
func (f *inflight) waitedTooLong() *tried {
	if failed := f.cutShort(); failed != nil {
		return failed
	}
	return &tried{whole: true, failure: refusal("wait", "deadline", http.StatusServiceUnavailable, 0)}
}

// Urgencies at an engine, 0 first. Requests that can still make their target
// latency go before those that can't: serving the late ones first would make
// the others late, too.
const (
	urgencyInTime = 3
	urgencyLate   = 6
	urgencyLast   = 9
)

func (f *inflight) sending(choice placement.Choice) kumquatlug.Sending {
	now := f.g.c.Clock.Now()
	urgency := urgencyInTime
	target := f.route.Target()
	if target > 0 && f.trying+now-f.arrived+choice.Wait() > target {
		urgency = urgencyLate
	}
	return kumquatlug.Sending{
		Left: f.left(), Resume: f.last, Urgency: min(urgency+f.priority(), urgencyLast),
	}
}

// attemptTimeout is how long an attempt may take until its first output, where
// another worker could still answer in time.
func (f *inflight) attemptTimeout(t *placement.Ticket) kumquatlug.Millis {
	return min(f.left(), f.g.scheduler.patience(f.service.Name(), t))
}

// prefill has an engine read the prompt.
func (f *inflight) prefill(ctx context.Context, c placement.Choice, t *placement.Ticket) (kumquatlug.KVCache, *tried) {
	if denied := f.stillAllowed(stagePrompt, t); denied != nil {
		return kumquatlug.KVCache{}, denied
	}
	call, cancel := context.WithTimeout(ctx, min(f.attemptTimeout(t), f.mayRead()).Duration())
	defer cancel()
	f.g.scheduler.onSilence(f.service.Name(), t, cancel)
	cache, reply, err := f.g.c.Workers.Prefill(call, c.Worker(), f.ask, f.sending(c))
	if err != nil {
		// It may have been read; the next reading is then a repeat.
		f.read = f.read || kumquatlug.RanOf(err) != kumquatlug.RanNot
		// Reading a prompt runs nothing, whatever became of it.
		failed := f.failed(stagePrompt, c, t, blame(ctx, call), err)
		failed.failure = failed.failure.WithRan(kumquatlug.RanNot)
		return cache, failed
	}
	f.said(c, t, reply)
	if reply.Status() != http.StatusOK || cache.Handle() == "" {
		if !f.read && f.arrivals > 0 {
			// It was sent as a first reading, and is a repeat as it was refused.
			f.g.scheduler.noteRepeat(f.g.c.Clock.Now(), f.service.Name())
		}
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
func (f *inflight) end(s stage, t *placement.Ticket, o placement.Outcome) {
	f.g.metrics.attempts.WithLabelValues(string(s), string(o)).Inc()
	f.g.scheduler.end(f.g.c.Clock.Now(), f.service.Name(), t, o)
}

// blamed is whose doing the end of an attempt was.
type blamed string

const (
	// blamedWorker: the worker ended it.
	blamedWorker blamed = "worker"
	// blamedSilence: this front gave it up, as the worker said nothing.
	blamedSilence blamed = "silence"
	// blamedClient: the client left, or the time of the request is over.
	blamedClient blamed = "client"
)

// blame tells whose doing it was that an attempt failed; ctx is the request's
// context, call the attempt's.
func blame(ctx, call context.Context) blamed {
	switch {
	case ctx.Err() != nil:
		return blamedClient
	case call.Err() != nil:
		return blamedSilence
	}
	return blamedWorker
}

// ended records the end of an attempt that failed once it may have run. Only an
// end that the worker itself made makes its request suspect of having ended it.
func (f *inflight) ended(s stage, c placement.Choice, t *placement.Ticket, b blamed, ran kumquatlug.Ran) {
	if b == blamedClient {
		f.end(s, t, placement.OutcomeSilent)
		return
	}
	f.end(s, t, placement.OutcomeFailed)
	if b == blamedWorker && ran != kumquatlug.RanNot {
		f.crashed(c.Worker().ID())
	}
}

// failed records an attempt that brought no answer.
func (f *inflight) failed(s stage, c placement.Choice, t *placement.Ticket, b blamed, err error) *tried {
	failure := kumquatlug.FailureOf(err)
	f.ended(s, c, t, b, failure.Ran())
	if failure.Ran() != kumquatlug.RanNot {
		f.arrivals++
		if !f.service.Engine() {
			// An engine begins with its first output; a plain worker most likely began.
			f.countUsage()
		}
	}
	return &tried{failure: failure, worker: c.Worker().ID()}
}

// turnedDown records an attempt that the worker refused, and drops its answer.
func (f *inflight) turnedDown(s stage, c placement.Choice, t *placement.Ticket, reply kumquatlug.Reply) *tried {
	reply.Body().Close()
	f.arrivals++
	f.end(s, t, placement.OutcomeRefused)
	return &tried{worker: c.Worker().ID(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: string(s), Peer: c.Worker().ID(), Reason: reasonRefused, Ran: kumquatlug.RanNot,
		Status: http.StatusServiceUnavailable, RetryAfter: f.comeBack(leastRetry * 2),
	})}
}

// run makes an attempt that runs the request, and hands the answer on.
func (f *inflight) run(ctx context.Context, c placement.Choice, t *placement.Ticket, cache kumquatlug.KVCache) *tried {
	if failed := f.holdBack(ctx, c, t); failed != nil {
		return failed
	}
	if denied := f.stillAllowed(stageOutput, t); denied != nil {
		return denied
	}
	s := f.sending(c)
	s.Cache = cache
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.route.Repeatable() && f.runs+1 < f.route.Workers() {
		f.g.scheduler.onSilence(f.service.Name(), t, cancel)
		// A worker that is silent holds the request until its deadline.
		stop := time.AfterFunc(f.attemptTimeout(t).Duration(), cancel)
		defer stop.Stop()
		f.heard = func() { stop.Stop() }
	} else {
		f.heard = func() {}
	}
	reply, err := f.g.c.Workers.Run(call, c.Worker(), f.ask, s)
	if err != nil {
		return f.failed(stageOutput, c, t, blame(ctx, call), err)
	}
	f.said(c, t, reply)
	if reply.Refused() {
		return f.turnedDown(stageOutput, c, t, reply)
	}
	f.arrivals++
	return f.relay(&attempt{ctx: ctx, call: call, choice: c, ticket: t, reply: reply})
}
