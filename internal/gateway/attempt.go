package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// tryOnce makes one attempt. It returns nil when the client has its response.
func (f *inflight) tryOnce(ctx context.Context) *attemptFailure {
	if failed := f.resolveVersion(ctx); failed != nil {
		return failed
	}
	if f.service.Engine() {
		return f.generate(ctx)
	}
	attempt, choice, failed := f.choose(ctx, stageWhole)
	if failed != nil {
		return failed
	}
	return f.run(ctx, choice, attempt, kumquatlug.KVCacheRef{})
}

// tokensPerEvent is the number of tokens assumed per streamed event. Engines do not
// report it, and their values differ by a factor of four. An estimate that is too high
// makes a resumed stream look long, so that it is prefilled on an engine where no stream
// is delayed by it.
const tokensPerEvent = 50

// remainingPrompt returns what an engine has to prefill: the client's prompt and the
// output that was generated so far. Without that output, all streams that resume after a
// failure would look short, be prefilled on decode engines and delay every stream there
// by a quarter of a second.
func (f *inflight) remainingPrompt() kumquatlug.Prompt {
	p := f.request.Prompt()
	if f.lastEventID == 0 {
		return p
	}
	return kumquatlug.NewPrompt(p.Parts(), p.Input()+tokensPerEvent*int(f.lastEventID), p.Output())
}

func (f *inflight) placementQuery() placement.Query {
	q := placement.Query{Prompt: f.remainingPrompt(), Exclude: f.exclude, Deadline: f.deadline, CacheZone: f.cacheZone, MaxEventGap: f.route.MaxEventGap(), ResponseStarted: f.responseStarted, Value: f.value, Reservation: f.reservation}
	q.SecondBodyMs = f.g.link.secondBodyMs(f.request.Body().Len())
	q.FirstOutputDue = f.firstOutputDue()
	if f.g.shuttingDown() {
		q.Deadline = f.g.c.Clock.Now() + f.timeToStartOutput()
	}
	q.Version = f.soleVersion
	if f.continues() {
		q.Version = f.version
	} else if f.soleVersion == "" {
		q.Version = f.selectedVersion()
	}
	f.addTransferQuery(&q)
	return q
}

// firstOutputDue returns when the first output is due by the latency target of the route, zero
// if it has none. For a stream that the client has taken up it is the next event.
func (f *inflight) firstOutputDue() kumquatlug.Millis {
	target := f.route.LatencyTarget()
	if target <= 0 {
		return 0
	}
	if f.resumed() {
		return placement.ResumedOutputDue(f.arrived, f.deadline, target)
	}
	return f.arrived - f.retryingFor + target
}

// generate prefills the prompt and decodes the output, on one engine or on two.
func (f *inflight) generate(ctx context.Context) *attemptFailure {
	if cache := f.refusedCache; cache.Handle() != "" {
		f.refusedCache, f.recovery.reused = kumquatlug.KVCacheRef{}, true
		return f.decode(ctx, cache)
	}
	attempt, choice, failed := f.submitPrompt(ctx)
	if failed != nil {
		return failed
	}
	f.timings.permitGrantedAt = f.g.c.Clock.Now()
	if !choice.PrefillOnly() {
		if attempt, choice, failed = f.confirmSlot(ctx, attempt, choice, false); failed != nil {
			return failed
		}
		return f.run(ctx, choice, attempt, kumquatlug.KVCacheRef{})
	}
	f.askSlot(choice)
	defer f.cancelSlot()
	f.timings.expectedPrefill, f.timings.prefillWorker = choice.Wait(), choice.Worker().ID()
	cache, failed, replaced := f.prefill(ctx, choice, attempt)
	if failed != nil || replaced {
		return failed
	}
	f.cacheZone, f.reservation = choice.Zone(), choice.Reservation()
	f.recovery.cache = placement.KVCache{Engine: choice.Worker().ID(), PrefilledTokens: choice.UncachedTokens()}
	return f.decode(ctx, cache)
}

// decode generates the output from a prompt's KV cache. An engine that changes its role
// or is full refuses it, and another engine then takes the same cache: prefilling again
// would delay this prompt and those queued behind it.
func (f *inflight) decode(ctx context.Context, cache kumquatlug.KVCacheRef) *attemptFailure {
	if failed := f.shutdownFailure(); failed != nil {
		f.g.releaseCache(cache)
		return failed
	}
	attempt, choice, failed := f.chooseDecode(ctx)
	f.reservation = placement.Reservation{}
	if failed != nil {
		f.g.releaseCache(cache)
		return failed
	}
	failed = f.run(ctx, choice, attempt, cache)
	switch {
	case failed == nil || failed.counted || failed.failure.Execution() != kumquatlug.NotExecuted:
	case failed.failure.Reason() == reasonWorkerRefused && f.recovery.next != "":
		return f.recoverCache(failed, cache)
	default:
		f.g.releaseCache(cache)
	}
	return failed
}

// choose selects a worker and starts an attempt there. It returns a failure if there is
// no worker.
func (f *inflight) choose(ctx context.Context, s stage) (*placement.Attempt, placement.Choice, *attemptFailure) {
	if failed := f.takeRetryBudget(ctx); failed != nil {
		return nil, placement.Choice{}, failed
	}
	q := f.placementQuery()
	choice, attempt := f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), s, q)
	if attempt == nil && f.workerErrored {
		// All workers have been tried. One that responded with an error may succeed on a
		// second attempt: some workers fail one request in seven, whatever the request.
		q.Exclude = nil
		choice, attempt = f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), s, q)
	}
	if attempt == nil && f.otherVersion(ctx, q) {
		choice, attempt = f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), s, f.placementQuery())
	}
	for attempt == nil && f.awaitVersion(ctx, choice.Delay()) {
		choice, attempt = f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), s, f.placementQuery())
	}
	if attempt == nil {
		return nil, choice, f.noWorkerFailure(choice)
	}
	if s == stageWhole && choice.Wait() >= f.timeToStartOutput() {
		f.endAttempt(s, attempt, placement.OutcomeNeutral)
		return nil, choice, f.overloadFailure(choice)
	}
	return attempt, choice, nil
}

// noWorkerFailure returns the failure of a request for which there is no worker, or none
// that accepts it soon enough, as c.Delay reports.
func (f *inflight) noWorkerFailure(c placement.Choice) *attemptFailure {
	reason, retryAfter := "no_worker", kumquatlug.Millis(0)
	switch {
	case f.foundVersionFull():
		return f.versionFullFailure()
	case c.Delay() > 0:
		reason, retryAfter = "worker_limit", f.retryAfter(c.Delay())
	case f.continues():
		reason, retryAfter = f.versionRefusal()
	}
	return &attemptFailure{permanent: true, failure: refusal("place", reason, http.StatusServiceUnavailable, retryAfter)}
}

// overloadFailure returns the failure of a request that no worker can start in time. A
// retry of it is late in any case, so that Retry-After is as long as clients accept: an
// overload lasts for seconds.
func (f *inflight) overloadFailure(c placement.Choice) *attemptFailure {
	if f.foundVersionFull() {
		return f.versionFullFailure()
	}
	if f.g.shuttingDown() && c.Wait() < f.timeLeft() {
		// It is too long for this gateway only.
		return f.stoppingFailure()
	}
	return &attemptFailure{permanent: true, failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "place", Peer: c.Worker().ID(), Reason: "overload", Execution: kumquatlug.NotExecuted, RetryAfter: f.retryAfter(maxRetryAfter),
		Cause: errors.Newf("expected wait of %d ms at its engine", c.Wait()),
	})}
}

// submitPrompt waits for a permit and returns the engine to which the prompt is sent.
// The attempt may count as a retry: the first prefill on a separate engine does not unless
// another call was refused, all others do. Retries are charged before they are sent.
func (f *inflight) submitPrompt(ctx context.Context) (*placement.Attempt, placement.Choice, *attemptFailure) {
	// After a prefill whose cache reached no engine, only another prefill is a retry.
	charged := f.prefilled && f.deliveries > 0
	if charged {
		if failed := f.takeRetryBudget(ctx); failed != nil {
			return nil, placement.Choice{}, failed
		}
	}
	attempt, choice, failed := f.awaitPermit(ctx)
	if failed != nil || charged {
		return attempt, choice, failed
	}
	s, charge := stageOutput, f.takeRetryBudget
	if choice.PrefillOnly() {
		s, charge = stagePrefill, f.chargeRepeatedPrefill
	}
	if failed = charge(ctx); failed != nil {
		f.endAttempt(s, attempt, placement.OutcomeNeutral)
	}
	return attempt, choice, failed
}

// awaitPermit waits until the prompt may be sent to an engine.
func (f *inflight) awaitPermit(ctx context.Context) (*placement.Attempt, placement.Choice, *attemptFailure) {
	q := f.placementQuery()
	p := f.g.scheduler.submit(f.g.c.Clock.Now(), f.service.Name(), q)
	if (p.submission == placement.SubmissionNoEngine || p.submission == placement.SubmissionRefused) && f.otherVersion(ctx, q) {
		p = f.g.scheduler.submit(f.g.c.Clock.Now(), f.service.Name(), f.placementQuery())
	}
	for f.waitsForVersion(p.submission) && f.awaitVersion(ctx, p.choice.Delay()) {
		p = f.g.scheduler.submit(f.g.c.Clock.Now(), f.service.Name(), f.placementQuery())
	}
	switch p.submission {
	case placement.SubmissionSent:
		return p.attempt, p.choice, nil
	case placement.SubmissionNoEngine:
		return nil, p.choice, f.noWorkerFailure(p.choice)
	case placement.SubmissionRefused:
		return nil, p.choice, f.overloadFailure(p.choice)
	}
	wait := time.NewTimer(f.timeToStartOutput().Duration())
	defer wait.Stop()
	select {
	case <-wait.C:
		f.g.scheduler.cancel(f.g.c.Clock.Now(), f.service.Name(), p)
		return nil, p.choice, f.waitTimeoutFailure()
	case due := <-p.due:
		if due.Attempt() == nil {
			return nil, due.Choice(), f.overloadFailure(due.Choice())
		}
		return due.Attempt(), due.Choice(), nil
	case <-ctx.Done():
		f.g.scheduler.cancel(f.g.c.Clock.Now(), f.service.Name(), p)
		return nil, p.choice, &attemptFailure{permanent: true, failure: refusal("wait", reasonClientLeft, http.StatusServiceUnavailable, 0)}
	}
}

// waitTimeoutFailure returns the failure of a request that received no permit in time.
func (f *inflight) waitTimeoutFailure() *attemptFailure {
	if failed := f.shutdownFailure(); failed != nil {
		return failed
	}
	return &attemptFailure{permanent: true, failure: refusal("wait", "deadline", http.StatusServiceUnavailable, 0)}
}

// Priorities at an engine, 0 is the highest. Requests that can still meet their target
// latency go before those that can't: serving late requests first would make the others
// late as well.
const (
	priorityOnTime = 3
	// priorityDecode is that of all decoding requests where gateways share few slots. With
	// different ones, an engine would preempt one stream for another in mid-output.
	priorityDecode = 3
	priorityLate   = 6
	priorityLowest = 9
)

func (f *inflight) attemptOptions(choice placement.Choice, a *placement.Attempt) kumquatlug.AttemptOptions {
	now := f.g.c.Clock.Now()
	priority := priorityOnTime
	if due := f.firstOutputDue(); due > 0 && now+choice.Wait() > due {
		priority = priorityLate
	}
	priority = min(priority+f.priority(), priorityLowest)
	if !choice.PrefillOnly() && f.g.scheduler.sharesSlots(f.service.Name()) {
		priority = priorityDecode
	}
	withdrawn := func() bool {
		return !f.mayBeSent(choice, a) || f.quarantinedAt(f.assessQuarantine(), choice)
	}
	return kumquatlug.AttemptOptions{Timeout: f.timeLeft(), LastEventID: f.lastEventID, Priority: priority, Withdrawn: withdrawn}
}

// mayBeSent reports whether the worker of an attempt may still be sent the request, although it may have
// started to shut down since it was chosen.
func (f *inflight) mayBeSent(choice placement.Choice, a *placement.Attempt) bool {
	if choice.Returned() {
		return f.g.scheduler.mayReturn(f.service.Name(), a, 0)
	}
	return !f.g.scheduler.draining(f.service.Name(), a)
}

// attemptTimeout returns how long an attempt may take until its first output, in ms, if
// another worker could still respond in time.
func (f *inflight) attemptTimeout(a *placement.Attempt) kumquatlug.Millis {
	return min(f.timeLeft(), f.g.scheduler.attemptTimeout(f.service.Name(), a))
}

// prefill computes the prompt's KV cache on an engine. It returns true if a takeover has replaced
// the prefill, and served the request unless there is a failure.
func (f *inflight) prefill(ctx context.Context, c placement.Choice, a *placement.Attempt) (kumquatlug.KVCacheRef, *attemptFailure, bool) {
	if failed := f.awaitLink(ctx, stagePrefill, c, a, false); failed != nil {
		return kumquatlug.KVCacheRef{}, failed, false
	}
	if failed := f.admitSend(ctx, stagePrefill, c, a); failed != nil {
		return kumquatlug.KVCacheRef{}, failed, false
	}
	call, cancel := context.WithTimeout(ctx, f.timeToStartOutput().Duration())
	defer cancel()
	o := f.openAttempt(ctx, cancel, stagePrefill, a)
	stop := time.AfterFunc(f.attemptTimeout(a).Duration(), o.suspect)
	defer stop.Stop()
	f.unusedCharge = false
	options := f.attemptOptions(c, a)
	// A takeover may begin in await.
	delivery := f.beginDelivery(c.Worker().ID(), stagePrefill)
	o.await()
	cache, response, err := f.g.c.Workers.Prefill(call, c.Worker(), o.request, options)
	f.g.scheduler.endDelivery(delivery, endCauseOf(ctx, call), err)
	prefilled := err == nil && response.Status() == http.StatusOK && cache.Handle() != ""
	failed, replaced := o.settle(prefilled, executionOf(response, err), func() {
		f.g.releaseCache(cache)
		f.endReplaced(stagePrefill, a, endCauseOf(ctx, call), response, err)
	})
	if replaced {
		return kumquatlug.KVCacheRef{}, failed, true
	}
	if err != nil {
		// The prompt may have been prefilled; the next prefill then counts as a retry.
		f.prefilled = f.prefilled || kumquatlug.ExecutionOf(err) != kumquatlug.NotExecuted
		f.repeatCharged = f.repeatCharged && !f.prefilled
		// A prefill does not run the request, whatever its result.
		failed := f.attemptFailed(stagePrefill, c, a, endCauseOf(ctx, call), err)
		failed.failure = failed.failure.WithExecution(kumquatlug.NotExecuted)
		return cache, failed, false
	}
	f.recordWorkerStatus(c, a, response)
	if !prefilled {
		f.repeatCharged = false
		return cache, f.attemptRefused(stagePrefill, c, a, response), false
	}
	if f.prefilled {
		f.deliveries++
	}
	f.prefilled = true
	f.recovery.prefills++
	f.timings.prefilledAt = f.g.c.Clock.Now()
	f.endAttempt(stagePrefill, a, placement.OutcomeServed)
	return cache, nil, false
}

// openRun makes an attempt that runs the request one that may be taken over, if the request may
// run at another worker. It sets what s does once the request is sent, and returns a function that
// stops the timers of the attempt.
func (f *inflight) openRun(
	ctx context.Context, cancel context.CancelFunc, a *placement.Attempt, s *kumquatlug.AttemptOptions,
) (*openAttempt, func()) {
	var accept, overdue *time.Timer
	if t := f.takeover; t != nil && f.route.Stream() {
		// An attempt to connect may take longer and fail.
		s.OnSend = func() { accept = time.AfterFunc(acceptDelay.Duration(), func() { t.accept() }) }
	}
	var o *openAttempt
	if f.route.Repeatable() && f.possibleRuns+1 < f.route.MaxWorkers() {
		o = f.openAttempt(ctx, cancel, stageOutput, a)
		if f.possibleRuns+1 >= f.maxWorkers() {
			o.try = f.reportStalled
		}
		overdue = time.AfterFunc(f.attemptTimeout(a).Duration(), o.suspect)
	}
	stop := func(t *time.Timer) {
		if t != nil {
			t.Stop()
		}
	}
	f.onFirstOutput = func() { stop(overdue) }
	return o, func() {
		stop(accept)
		stop(overdue)
	}
}

// run makes an attempt that runs the request, and relays the response.
func (f *inflight) run(ctx context.Context, c placement.Choice, a *placement.Attempt, cache kumquatlug.KVCacheRef) *attemptFailure {
	if failed := f.awaitWorkerLimit(ctx, c, a); failed != nil {
		return failed
	}
	if failed := f.awaitLink(ctx, stageOutput, c, a, cache.Handle() != ""); failed != nil {
		return failed
	}
	if failed := f.refuseLateReturn(c, a); failed != nil {
		return failed
	}
	if failed := f.admitSend(ctx, stageOutput, c, a); failed != nil {
		return failed
	}
	s := f.attemptOptions(c, a)
	s.Cache = cache
	if !f.acceptBeforeRun() {
		return f.withdrawnFailure(a, kumquatlug.NotExecuted)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	o, stop := f.openRun(ctx, cancel, a, &s)
	defer stop()
	f.unusedCharge = false
	f.recordRunStart(a)
	request := f.request
	delivery := f.beginDelivery(c.Worker().ID(), stageOutput)
	o.await()
	response, err := f.g.c.Workers.Run(call, c.Worker(), request, s)
	f.g.scheduler.endDelivery(delivery, endCauseOf(ctx, call), err)
	alive := err == nil && !response.Refused() && response.Status() < http.StatusInternalServerError
	failed, replaced := o.settle(alive, executionOf(response, err), func() {
		f.endReplaced(stageOutput, a, endCauseOf(ctx, call), response, err)
	})
	if replaced {
		return failed
	}
	if err != nil {
		return f.attemptFailed(stageOutput, c, a, endCauseOf(ctx, call), err)
	}
	f.recordWorkerStatus(c, a, response)
	if response.Refused() {
		f.recordRefusedCache(a, cache, response)
		return f.attemptRefused(stageOutput, c, a, response)
	}
	f.refundUnsentRetries()
	if cache.Handle() == "" {
		f.recovery.prefills++
	}
	f.deliveries++
	if f.route.Stream() && response.Status() == http.StatusOK && !f.takeover.accept() {
		response.Body().Close()
		return f.withdrawnFailure(a, kumquatlug.ExecutionUnknown)
	}
	return f.relay(&relayedAttempt{requestCtx: ctx, attemptCtx: call, choice: c, attempt: a, open: o, response: response})
}
