package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// A worker that sends nothing may have failed, or may go on a second later. The attempt at
// such a suspect stays open while a takeover looks for another worker:
//
//   - Once another worker has accepted the request, the open attempt is canceled.
//   - If the open attempt goes on before that, the takeover is withdrawn.
//   - If no other worker can be had, the request waits for the open attempt, and the takeover
//     tries again whenever it can.
//
// An attempt that was canceled first would lose its request if the retry budget is used up or
// the other workers refuse.
//
// One goroutine at a time owns the state of an [inflight]: that of the attempt, until the attempt
// is suspect while it waits for its worker, then that of the takeover, until the attempt is
// settled.

// Parameters of takeovers.
const (
	// acceptDelay is how long after a stream was sent to another worker it counts as accepted
	// there. A worker refuses at once, and two workers must not work on one stream for longer
	// than 400 ms.
	acceptDelay = 250 * kumquatlug.Millis(1)
	// takeoverInterval is the time between two tries of a takeover that found no worker.
	takeoverInterval = 100 * kumquatlug.Millis(1)
)

// Outcomes of takeovers.
const (
	takeoverAccepted  = "accepted"
	takeoverWithdrawn = "withdrawn"
	takeoverFailed    = "failed"
)

// openAttempt is an attempt that another one may take over. The methods of a nil openAttempt do
// nothing.
type openAttempt struct {
	f *inflight
	// ctx is the context for the attempts of a takeover, cancel cancels this attempt.
	ctx    context.Context
	cancel context.CancelFunc
	// peer is the worker or the gateway that has the request.
	peer string
	// watch asks for a call of suspect when the worker sends nothing for too long.
	watch func()
	// try makes one attempt for a takeover.
	try func(context.Context) *attemptFailure
	// begin counts this attempt as failed before a takeover begins. notRun withdraws the runs that
	// it counted, once it is known that the attempt did not run.
	begin, notRun func()
	// prefill says that the attempt does not run the request.
	prefill bool
	// request is kept for the end of the attempt while a takeover owns the state of the request.
	request kumquatlug.Request

	mu sync.Mutex
	// waiting says that the attempt waits for its worker, suspected that it became suspect while
	// it did not.
	waiting, suspected bool
	takeover           *takeover
}

// takeover looks for another worker for the request of an open attempt.
type takeover struct {
	open *openAttempt
	// parent is the takeover that made the open attempt, nil if there is none.
	parent *takeover
	cancel context.CancelFunc
	// counts and recovery are those of the request before the takeover began, possibleRuns is the
	// number of runs when it did.
	counts       attemptCounts
	recovery     transferRecovery
	possibleRuns int
	// accepted and withdrawn exclude each other. The mutex of open guards them.
	accepted, withdrawn bool
	// ended is closed when the open attempt has ended by itself, done when the takeover has.
	ended, done chan struct{}
	// failed is the failure of the takeover, nil if it served the request; panicked is the
	// value with which it panicked.
	failed   *attemptFailure
	panicked any
}

// attemptState is the part of the state of a request that belongs to its current attempt.
type attemptState struct {
	// cacheZone is the data centre of the engine that ran the prefill.
	cacheZone string
	// reservation is the request reserved for decoding at an engine with a rate limit.
	reservation placement.Reservation
	// slotAsk is the question for the slot in which the prompt is decoded, nil for none.
	slotAsk *placement.SlotAsk
	// onFirstOutput is called at the first output of an attempt.
	onFirstOutput func()
}

// attemptCounts is what a request counts about its attempts.
type attemptCounts struct {
	// exclude are the workers to which the request is not sent.
	exclude []string
	// attempts counts all attempts, possibleRuns the workers that may have run the
	// request.
	attempts, possibleRuns int
	// absentTried counts the attempts to reach workers that have never answered, which attempts does not.
	absentTried int
	// deliveries counts the attempts that a worker received, except the first one that
	// completed a prefill. prefilled is set once a prefill may have completed.
	deliveries int
	prefilled  bool
	// repeatCharged says that the retry budget was charged for a prefill that was accepted
	// as the first one. The next call is then not charged.
	repeatCharged bool
}

// openAttempt makes a an attempt that another one may take over.
func (f *inflight) openAttempt(ctx context.Context, cancel context.CancelFunc, s stage, a *placement.Attempt) *openAttempt {
	o := &openAttempt{f: f, ctx: ctx, cancel: cancel, prefill: s == stagePrefill, request: f.request, try: f.tryElsewhere, peer: a.Worker()}
	o.begin = func() {
		f.attempts++
		f.deliveries++
		if o.prefill {
			// A charge of this prefill does not cover another one.
			f.prefilled, f.repeatCharged = true, false
		} else {
			f.possibleRuns++
		}
		f.exclude = append(f.exclude, a.Worker())
	}
	o.notRun = func() {
		if !o.prefill {
			f.possibleRuns--
		}
	}
	o.watch = func() { f.g.scheduler.onUnresponsive(f.service.Name(), a, o.suspect) }
	o.watch()
	return o
}

// suspect starts a takeover if the attempt waits for its worker.
func (o *openAttempt) suspect() {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.takeover != nil:
	case o.waiting:
		o.startTakeover()
	default:
		o.suspected = true
	}
}

// await precedes each wait for the worker, and settle follows it.
func (o *openAttempt) await() {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting = true
	if o.suspected {
		o.suspected = false
		o.startTakeover()
	}
}

// startTakeover starts a takeover. The caller must hold o.mu.
func (o *openAttempt) startTakeover() {
	ctx, cancel := context.WithCancel(o.ctx)
	t := &takeover{open: o, parent: o.f.takeover, cancel: cancel, ended: make(chan struct{}), done: make(chan struct{})}
	o.takeover = t
	go t.run(ctx)
}

// settle ends a wait for the worker. It returns true if a takeover has replaced the attempt, and
// the failure of that one if it could not serve the request. alive says that the attempt goes on,
// executed whether it may have run. release is called before the wait for a takeover that replaces
// the attempt.
func (o *openAttempt) settle(alive bool, executed kumquatlug.Execution, release func()) (*attemptFailure, bool) {
	if o == nil {
		return nil, false
	}
	o.mu.Lock()
	t, suspected := o.takeover, o.suspected && alive
	o.waiting, o.suspected = false, o.suspected && !alive
	if t == nil {
		o.mu.Unlock()
		if suspected {
			o.watch()
		}
		return nil, false
	}
	t.withdrawn = alive && !t.accepted
	withdrawn := t.withdrawn
	o.mu.Unlock()
	if withdrawn {
		t.cancel()
	} else {
		close(t.ended)
		release()
	}
	<-t.done
	if t.panicked != nil {
		panic(t.panicked)
	}
	o.mu.Lock()
	o.takeover = nil
	o.mu.Unlock()
	if withdrawn {
		o.f.resume(t)
		o.watch()
		return nil, false
	}
	if t.failed != nil && executed == kumquatlug.NotExecuted {
		o.notRun()
	}
	return t.failed, true
}

// resume restores the state of the request after a withdrawn takeover.
func (f *inflight) resume(t *takeover) {
	f.g.metrics.takeovers.WithLabelValues(takeoverWithdrawn).Inc()
	runs, prefilled := f.possibleRuns-t.possibleRuns, f.prefilled
	f.attemptCounts, f.recovery = t.counts, t.recovery
	if !t.open.prefill {
		// The first prefill is free of the retry budget once, also if it was one of the takeover.
		f.prefilled = prefilled
	}
	if f.service.Engine() {
		f.withdrawnRuns += runs
	} else {
		// A plain worker begins at once.
		f.possibleRuns += runs
	}
	if t.open.prefill {
		f.repeatCharged = f.repeatCharged || f.unusedCharge
	} else {
		f.refundUnsentRetries()
	}
}

// run makes attempts until one serves the request.
func (t *takeover) run(ctx context.Context) {
	f, o := t.open.f, t.open
	state, parent := f.attemptState, f.takeover
	defer close(t.done)
	defer t.cancel()
	defer func() {
		t.panicked = recover()
		f.attemptState, f.takeover = state, parent
	}()
	f.attemptState, f.takeover = attemptState{cacheZone: state.cacheZone}, t
	f.g.c.Logger.Info("attempt suspect", zap.String("request", f.request.ID()), zap.String("worker", o.peer), zap.Int("tries", f.attempts+1))
	t.counts, t.recovery = f.attemptCounts, f.recovery.clone()
	o.begin()
	t.possibleRuns = f.possibleRuns
	t.failed = f.serveElsewhere(ctx, t)
	if t.failed != nil && ctx.Err() == nil {
		f.g.metrics.takeovers.WithLabelValues(takeoverFailed).Inc()
	}
}

// serveElsewhere makes attempts for a takeover until one serves the request or none is allowed.
func (f *inflight) serveElsewhere(ctx context.Context, t *takeover) *attemptFailure {
	for {
		prefills := f.recovery.prefills
		failed := t.open.try(ctx)
		if failed == nil {
			return nil
		}
		if f.recovery.prefills > prefills {
			// The prompt was prefilled in vain, which may not go on for as long as the worker is silent.
			f.attempts++
		}
		switch {
		case failed.worker == "" && f.attempts < maxAttempts && failed.failure.Status() != http.StatusUnauthorized && t.waitForWorker(ctx):
			// A retry that was charged and not sent is not charged again.
			f.repeatCharged = f.repeatCharged || f.unusedCharge
			continue
		}
		if final := f.finalFailure(ctx, failed); final != nil {
			return &attemptFailure{permanent: true, counted: true, failure: final, endedBy: f.endedBy}
		}
	}
}

// tryElsewhere makes one attempt if the route permits another worker.
func (f *inflight) tryElsewhere(ctx context.Context) *attemptFailure {
	if f.possibleRuns >= f.maxWorkers() || f.probe {
		return &attemptFailure{permanent: true, failure: refusal("place", "no_worker", http.StatusServiceUnavailable, 0)}
	}
	return f.tryOnce(ctx)
}

// waitForWorker waits until it is worth looking for a worker again. It returns false if the
// takeover ends instead.
func (t *takeover) waitForWorker(ctx context.Context) bool {
	timer := time.NewTimer(takeoverInterval.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ended:
	case <-ctx.Done():
	}
	return false
}

// accept cancels the open attempt, and those that led to it, since another worker has accepted
// the request. It returns false if one of them has continued meanwhile.
func (t *takeover) accept() bool {
	for ; t != nil; t = t.parent {
		o := t.open
		o.mu.Lock()
		withdrawn, first := t.withdrawn, !t.accepted
		t.accepted = !withdrawn
		o.mu.Unlock()
		if withdrawn {
			return false
		}
		if first {
			o.f.g.metrics.takeovers.WithLabelValues(takeoverAccepted).Inc()
			o.cancel()
		}
	}
	return true
}

// pending reports whether an open attempt may still go on in place of the current one.
func (t *takeover) pending() bool {
	if t == nil {
		return false
	}
	t.open.mu.Lock()
	defer t.open.mu.Unlock()
	select {
	case <-t.ended:
		return false
	default:
		return !t.accepted
	}
}

// acceptBeforeRun reports whether the request may be sent to a worker that runs it. A request
// whose open attempt could run it again, although it may not run any more often, is first taken
// over for good.
func (f *inflight) acceptBeforeRun() bool {
	t := f.takeover
	last := !f.route.Repeatable() || f.possibleRuns+1 >= f.route.MaxWorkers()
	for ; t != nil; t = t.parent {
		if t.open.prefill && last {
			return f.takeover.accept()
		}
	}
	return true
}

// withdrawnFailure ends an attempt of a takeover that was withdrawn.
func (f *inflight) withdrawnFailure(a *placement.Attempt, ran kumquatlug.Execution) *attemptFailure {
	f.endAttempt(stageOutput, a, placement.OutcomeNeutral)
	return &attemptFailure{permanent: true, worker: a.Worker(), failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "take over", Peer: a.Worker(), Reason: "withdrawn", Execution: ran, Status: http.StatusServiceUnavailable,
	})}
}
