package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// tryOnce makes one attempt; nil means that the client has its answer.
func (f *inflight) tryOnce(ctx context.Context) *attemptFailure {
	if f.service.Engine() {
		return f.generate(ctx)
	}
	attempt, choice, failed := f.choose(stageWhole)
	if failed != nil {
		return failed
	}
	return f.run(ctx, choice, attempt, kumquatlug.KVCache{})
}

// tokensPerEvent is how many tokens an event is taken to hold. Engines don't tell, and
// differ by a factor of four; too many make a stream that goes on look long, which
// has it read where no stream waits for it.
const tokensPerEvent = 50

// remainingPrompt is what an engine has to read: the client's prompt, and what was
// generated of the answer so far. Without the latter all streams that go on after
// a loss look short, are read by the engines that generate, and hold every stream
// there up for a quarter of a second.
func (f *inflight) remainingPrompt() kumquatlug.Prompt {
	p := f.request.Prompt()
	if f.lastEventID == 0 {
		return p
	}
	return kumquatlug.NewPrompt(p.Parts(), p.Input()+tokensPerEvent*int(f.lastEventID), p.Output())
}

func (f *inflight) placementQuery() placement.Query {
	q := placement.Query{Prompt: f.remainingPrompt(), Exclude: f.exclude, Until: f.deadline, CacheZone: f.cacheZone, Begun: f.responseStarted, Worth: f.value, Place: f.reservation}
	if target := f.route.Target(); target > 0 {
		q.Target = f.arrived - f.retryingFor + target
	}
	return q
}

// generate has the prompt read and the output made, at one engine or at two.
func (f *inflight) generate(ctx context.Context) *attemptFailure {
	if cache := f.refusedCache; cache.Handle() != "" {
		f.refusedCache, f.cacheReused = kumquatlug.KVCache{}, true
		return f.decode(ctx, cache)
	}
	attempt, choice, failed := f.submitPrompt(ctx)
	if failed != nil {
		return failed
	}
	f.timings.permittedAt = f.g.c.Clock.Now()
	if !choice.Apart() {
		return f.run(ctx, choice, attempt, kumquatlug.KVCache{})
	}
	f.timings.expectedPrefill, f.timings.prefillWorker = choice.Wait(), choice.Worker().ID()
	cache, failed := f.prefill(ctx, choice, attempt)
	if failed != nil {
		return failed
	}
	f.cacheZone, f.reservation = choice.Zone(), choice.Place()
	return f.decode(ctx, cache)
}

// decode has the answer generated from a prompt's KV cache. An engine that changes
// its role or is full refuses it; another one then takes the same cache. Read
// again, the prompt would be late, and so would those that wait behind it.
func (f *inflight) decode(ctx context.Context, cache kumquatlug.KVCache) *attemptFailure {
	if failed := f.stoppingFailure(); failed != nil {
		f.g.releaseCache(cache)
		return failed
	}
	attempt, choice, failed := f.choose(stageOutput)
	f.reservation = placement.Place{}
	if failed != nil {
		f.g.releaseCache(cache)
		return failed
	}
	failed = f.run(ctx, choice, attempt, cache)
	switch {
	case failed == nil || failed.failure.Ran() != kumquatlug.RanNot:
	case failed.failure.Reason() == reasonWorkerRefused && !f.cacheReused:
		f.refusedCache = cache
	default:
		f.g.releaseCache(cache)
	}
	return failed
}

// choose picks a worker, or tells that there is none.
func (f *inflight) choose(s stage) (*placement.Ticket, placement.Choice, *attemptFailure) {
	if failed := f.takeRetryBudget(); failed != nil {
		return nil, placement.Choice{}, failed
	}
	q := f.placementQuery()
	choice, attempt := f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), s, q)
	if attempt == nil && f.workerErrored {
		// There is nobody but those that were tried. One that answered with an
		// error may do better the second time: some workers fail one request in
		// seven, whatever it is.
		q.Exclude = nil
		choice, attempt = f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), s, q)
	}
	if attempt == nil {
		return nil, choice, f.noWorkerFailure(choice)
	}
	if s == stageWhole && choice.Wait() >= f.timeLeft() {
		f.endAttempt(s, attempt, placement.OutcomeSilent)
		return nil, choice, f.overloadFailure(choice)
	}
	return attempt, choice, nil
}

// noWorkerFailure is the failure of a request for which there is no worker, or none that takes
// it soon enough, as the choice tells.
func (f *inflight) noWorkerFailure(c placement.Choice) *attemptFailure {
	reason, retryAfter := "no_worker", kumquatlug.Millis(0)
	if c.Delay() > 0 {
		reason, retryAfter = "worker_limit", f.retryAfter(c.Delay())
	}
	return &attemptFailure{permanent: true, failure: f.clientFailure(refusal("place", reason, 0, retryAfter), reason)}
}

// overloadFailure is the failure of a request that no worker can begin in time. It can
// only be late when it comes back, so that it comes as late as clients allow: an
// overload lasts for seconds.
func (f *inflight) overloadFailure(c placement.Choice) *attemptFailure {
	return &attemptFailure{permanent: true, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "place", Peer: c.Worker().ID(), Reason: "overload", Ran: kumquatlug.RanNot, RetryAfter: f.retryAfter(maxRetryAfter),
		Cause: errors.Newf("expected wait of %d ms at its engine", c.Wait()),
	})}
}

// submitPrompt brings the prompt to an engine, when its turn has come. What is sent there may
// be a repeat: the first reading of a prompt apart is none, but all others are.
func (f *inflight) submitPrompt(ctx context.Context) (*placement.Ticket, placement.Choice, *attemptFailure) {
	if f.prefilled {
		if failed := f.takeRetryBudget(); failed != nil {
			return nil, placement.Choice{}, failed
		}
	}
	attempt, choice, failed := f.awaitPermit(ctx)
	if failed == nil && !f.prefilled && !choice.Apart() {
		if failed = f.takeRetryBudget(); failed != nil {
			f.endAttempt(stageOutput, attempt, placement.OutcomeSilent)
		}
	}
	return attempt, choice, failed
}

// awaitPermit waits until the prompt has its turn at an engine.
func (f *inflight) awaitPermit(ctx context.Context) (*placement.Ticket, placement.Choice, *attemptFailure) {
	p := f.g.scheduler.submit(f.g.c.Clock.Now(), f.service.Name(), f.placementQuery())
	switch p.admission {
	case placement.EntrySent:
		return p.attempt, p.choice, nil
	case placement.EntryNobody:
		return nil, p.choice, f.noWorkerFailure(p.choice)
	case placement.EntryRefused:
		return nil, p.choice, f.overloadFailure(p.choice)
	}
	wait := time.NewTimer(f.timeToStartOutput().Duration())
	defer wait.Stop()
	select {
	case <-wait.C:
		f.g.scheduler.cancel(f.g.c.Clock.Now(), f.service.Name(), p)
		return nil, p.choice, f.waitTimeoutFailure()
	case grant := <-p.grant:
		if grant.Ticket() == nil {
			return nil, grant.Choice(), f.overloadFailure(grant.Choice())
		}
		return grant.Ticket(), grant.Choice(), nil
	case <-ctx.Done():
		f.g.scheduler.cancel(f.g.c.Clock.Now(), f.service.Name(), p)
		return nil, p.choice, &attemptFailure{permanent: true, failure: refusal("wait", "client_left", http.StatusServiceUnavailable, 0)}
	}
}

// waitTimeoutFailure is the failure of a request whose turn did not come in time.
func (f *inflight) waitTimeoutFailure() *attemptFailure {
	if failed := f.stoppingFailure(); failed != nil {
		return failed
	}
	return &attemptFailure{permanent: true, failure: refusal("wait", "deadline", http.StatusServiceUnavailable, 0)}
}

// Urgencies at an engine, 0 first. Requests that can still make their target
// latency go before those that can't: serving the late ones first would make
// the others late, too.
const (
	priorityOnTime = 3
	priorityLate   = 6
	priorityLowest = 9
)

func (f *inflight) attemptOptions(choice placement.Choice) kumquatlug.Sending {
	now := f.g.c.Clock.Now()
	priority := priorityOnTime
	target := f.route.Target()
	if target > 0 && f.retryingFor+now-f.arrived+choice.Wait() > target {
		priority = priorityLate
	}
	return kumquatlug.Sending{
		Left: f.timeLeft(), Resume: f.lastEventID, Urgency: min(priority+f.priority(), priorityLowest),
	}
}

// attemptTimeout is how long an attempt may take until its first output, where
// another worker could still answer in time.
func (f *inflight) attemptTimeout(a *placement.Ticket) kumquatlug.Millis {
	return min(f.timeLeft(), f.g.scheduler.attemptTimeout(f.service.Name(), a))
}

// prefill has an engine read the prompt.
func (f *inflight) prefill(ctx context.Context, c placement.Choice, a *placement.Ticket) (kumquatlug.KVCache, *attemptFailure) {
	if denied := f.reauthenticate(stagePrefill, a); denied != nil {
		return kumquatlug.KVCache{}, denied
	}
	call, cancel := context.WithTimeout(ctx, min(f.attemptTimeout(a), f.timeToStartOutput()).Duration())
	defer cancel()
	f.g.scheduler.onUnresponsive(f.service.Name(), a, cancel)
	cache, response, err := f.g.c.Workers.Prefill(call, c.Worker(), f.request, f.attemptOptions(c))
	if err != nil {
		// It may have been read; the next reading is then a repeat.
		f.prefilled = f.prefilled || kumquatlug.RanOf(err) != kumquatlug.RanNot
		// Reading a prompt runs nothing, whatever became of it.
		failed := f.attemptFailed(stagePrefill, c, a, endCauseOf(ctx, call), err)
		failed.failure = failed.failure.WithRan(kumquatlug.RanNot)
		return cache, failed
	}
	f.recordWorkerStatus(c, a, response)
	if response.Status() != http.StatusOK || cache.Handle() == "" {
		if !f.prefilled && f.deliveries > 0 {
			// It was sent as a first reading, and is a repeat as it was refused.
			f.g.scheduler.noteRetry(f.g.c.Clock.Now(), f.service.Name())
		}
		failed := f.attemptRefused(stagePrefill, c, a, response)
		return cache, failed
	}
	if f.prefilled {
		f.deliveries++
	}
	f.prefilled = true
	f.timings.prefilledAt = f.g.c.Clock.Now()
	f.endAttempt(stagePrefill, a, placement.OutcomeGood)
	return cache, nil
}

// endAttempt records the end of an attempt.
func (f *inflight) endAttempt(s stage, a *placement.Ticket, o placement.Outcome) {
	f.g.metrics.attempts.WithLabelValues(string(s), string(o)).Inc()
	f.g.scheduler.endAttempt(f.g.c.Clock.Now(), f.service.Name(), a, o)
}

// endCause is whose doing the end of an attempt was.
type endCause string

const (
	// endedByWorker: the worker ended it.
	endedByWorker endCause = "worker"
	// endedByTimeout: this front gave it up, as the worker said nothing.
	endedByTimeout endCause = "silence"
	// endedByClient: the client left, or the time of the request is over.
	endedByClient endCause = "client"
)

// endCauseOf tells whose doing it was that an attempt failed; ctx is the request's
// context, call the attempt's.
func endCauseOf(ctx, call context.Context) endCause {
	switch {
	case ctx.Err() != nil:
		return endedByClient
	case call.Err() != nil:
		return endedByTimeout
	}
	return endedByWorker
}

// endFailedAttempt records the end of an attempt that failed once it may have run. Only an
// end that the worker itself made makes its request suspect of having ended it.
func (f *inflight) endFailedAttempt(s stage, c placement.Choice, a *placement.Ticket, cause endCause, ran kumquatlug.Ran) {
	if cause == endedByClient {
		f.endAttempt(s, a, placement.OutcomeSilent)
		return
	}
	f.endAttempt(s, a, placement.OutcomeFailed)
	if cause == endedByWorker && ran != kumquatlug.RanNot {
		f.recordCrash(c.Worker().ID())
	}
}

// attemptFailed records an attempt that brought no answer.
func (f *inflight) attemptFailed(s stage, c placement.Choice, a *placement.Ticket, cause endCause, err error) *attemptFailure {
	failure := kumquatlug.FailureOf(err)
	f.endFailedAttempt(s, c, a, cause, failure.Ran())
	if failure.Ran() != kumquatlug.RanNot {
		f.deliveries++
		if !f.service.Engine() {
			// An engine begins with its first output; a plain worker most likely began.
			f.countUsage()
		}
	}
	return &attemptFailure{failure: failure, worker: c.Worker().ID()}
}

// attemptRefused records an attempt that the worker refused, and drops its answer.
func (f *inflight) attemptRefused(s stage, c placement.Choice, a *placement.Ticket, response kumquatlug.Reply) *attemptFailure {
	response.Body().Close()
	f.deliveries++
	f.endAttempt(s, a, placement.OutcomeRefused)
	return &attemptFailure{worker: c.Worker().ID(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: string(s), Peer: c.Worker().ID(), Reason: reasonWorkerRefused, Ran: kumquatlug.RanNot,
		Status: http.StatusServiceUnavailable, RetryAfter: f.retryAfter(minRetryAfter * 2),
	})}
}

// run makes an attempt that runs the request, and hands the answer on.
func (f *inflight) run(ctx context.Context, c placement.Choice, a *placement.Ticket, cache kumquatlug.KVCache) *attemptFailure {
	if failed := f.awaitWorkerLimit(ctx, c, a); failed != nil {
		return failed
	}
	if denied := f.reauthenticate(stageOutput, a); denied != nil {
		return denied
	}
	s := f.attemptOptions(c)
	s.Cache = cache
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.route.Repeatable() && f.possibleRuns+1 < f.route.Workers() {
		f.g.scheduler.onUnresponsive(f.service.Name(), a, cancel)
		// A worker that is silent holds the request until its deadline.
		stop := time.AfterFunc(f.attemptTimeout(a).Duration(), cancel)
		defer stop.Stop()
		f.onFirstOutput = func() { stop.Stop() }
	} else {
		f.onFirstOutput = func() {}
	}
	response, err := f.g.c.Workers.Run(call, c.Worker(), f.request, s)
	if err != nil {
		return f.attemptFailed(stageOutput, c, a, endCauseOf(ctx, call), err)
	}
	f.recordWorkerStatus(c, a, response)
	if response.Refused() {
		return f.attemptRefused(stageOutput, c, a, response)
	}
	f.deliveries++
	return f.relay(&relayedAttempt{requestCtx: ctx, attemptCtx: call, choice: c, attempt: a, response: response})
}
