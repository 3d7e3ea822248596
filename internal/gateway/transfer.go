package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// transfer is the move of a stream from an engine that changes its role or shuts down to
// another one that continues with a copy of its KV cache. If there is no room for the copy, the
// stream returns to the first engine, which has stopped it and kept its cache.
type transfer struct {
	choice  placement.Choice
	attempt *placement.Attempt
	// done is closed when the move has ended. cache is then what the stream continues with, or
	// none if the stream stays or is lost.
	done  chan struct{}
	cache kumquatlug.KVCacheRef
	// noRoomAt is the engine that had no room, empty if the stream was moved.
	noRoomAt string
	// stopped says that the first engine may have stopped the stream although the move failed.
	stopped bool
}

// moveTimeout is how long moving a stream may take. The copy itself takes one
// millisecond per 9,000 tokens, ten times as long on a slow link.
const moveTimeout = 700 * kumquatlug.Millis(1)

// move moves the stream of an attempt for request to an engine that q selects. The first
// engine then ends the stream, which the goroutine that reads it detects.
func (f *inflight) move(a *relayedAttempt, request kumquatlug.Request, q placement.Query) {
	choice, attempt := f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), stageOutput, q)
	if attempt == nil {
		return
	}
	if choice.Wait() > 0 || a.done.Load() {
		// The stream would pause there until a slot is free, or it has ended.
		f.endAttempt(stageOutput, attempt, placement.OutcomeNeutral)
		return
	}
	t := &transfer{choice: choice, attempt: attempt, done: make(chan struct{})}
	a.transfer.Store(t)
	timeout := moveTimeout
	if !f.route.Repeatable() {
		// Once its engine has stopped the stream, only the copy can continue it.
		timeout = f.timeLeft()
	}
	call, cancel := context.WithTimeout(a.requestCtx, timeout.Duration())
	defer cancel()
	cache, err := f.g.c.Workers.MoveStream(call, a.choice.Worker(), request, choice.Worker())
	switch {
	case err == nil:
		t.cache = cache
	case errors.Is(err, kumquatlug.ErrNoRoom):
		f.endAttempt(stageOutput, attempt, placement.OutcomeNeutral)
		t.choice, t.attempt, t.cache, t.noRoomAt = f.g.scheduler.returnStream(f.service.Name(), a, attempt), a.attempt, cache, choice.Worker().ID()
		f.g.c.Logger.Info("no room for moved stream", zap.String("request", request.ID()), zap.String("worker", a.worker()),
			zap.String("to", choice.Worker().ID()))
	default:
		t.stopped = !errors.Is(err, kumquatlug.ErrNotFound) && kumquatlug.ExecutionOf(err) != kumquatlug.NotExecuted
		f.endAttempt(stageOutput, attempt, placement.OutcomeNeutral)
		f.g.c.Logger.Info("stream not moved", zap.String("request", request.ID()), zap.String("worker", a.worker()),
			zap.String("to", choice.Worker().ID()), logs.Error(err))
	}
	close(t.done)
	if a.done.Load() && a.transfer.CompareAndSwap(t, nil) {
		f.discard(t)
	}
}

// takeTransfer returns the transfer with which the stream of an attempt continues, nil
// if it does not continue. It also returns whether its engine may have stopped it for a transfer.
func (f *inflight) takeTransfer(a *relayedAttempt) (t *transfer, stopped bool) {
	t = a.transfer.Swap(nil)
	if t == nil {
		return nil, false
	}
	<-t.done
	switch {
	case t.cache.Handle() == "":
		return nil, t.stopped
	case a.requestCtx.Err() != nil:
		f.discard(t)
		return nil, true
	}
	return t, true
}

// abandon marks an attempt as ended. It discards a pending transfer: the copied KV cache
// would occupy a slot and memory of the other engine for seconds, and the attempt there
// would count as in flight forever.
func (f *inflight) abandon(a *relayedAttempt) {
	a.done.Store(true)
	if t := a.transfer.Swap(nil); t != nil {
		go func() {
			<-t.done
			f.discard(t)
		}()
	}
}

// discard releases a copy that is not used.
func (f *inflight) discard(t *transfer) {
	if t.cache.Handle() == "" {
		return
	}
	if t.noRoomAt == "" {
		f.endAttempt(stageOutput, t.attempt, placement.OutcomeNeutral)
	}
	f.g.releaseCache(t.cache)
}

// continueStream continues a stream with the cache of a transfer.
func (f *inflight) continueStream(a *relayedAttempt, t *transfer) *attemptFailure {
	if t.noRoomAt == "" {
		f.g.scheduler.markMoved(f.service.Name(), a.attempt)
		f.endAttempt(stageOutput, a.attempt, placement.OutcomeServed)
	} else {
		f.noRoomAt = append(f.noRoomAt, t.noRoomAt)
	}
	f.sameRun = true
	defer func() { f.sameRun = false }()
	failed := f.run(a.requestCtx, t.choice, t.attempt, t.cache)
	if failed != nil && failed.failure.Execution() == kumquatlug.NotExecuted {
		// The run that was to continue has begun.
		failed.failure = failed.failure.WithExecution(kumquatlug.ExecutionUnknown)
		f.g.releaseCache(t.cache)
	}
	return failed
}

// registerMove registers the move of a stream, which may run in another goroutine: what it needs of
// the request is copied. A stream that has returned is moved once more, but not to the engines
// that had no room.
func (f *inflight) registerMove(a *relayedAttempt) {
	version := a.choice.Worker().Version()
	if f.request.Prompt().Output() <= shortOutputTokens || version == "" {
		return
	}
	q := f.placementQuery()
	q.Exclude = slices.Concat(q.Exclude, f.noRoomAt, []string{a.worker()})
	// The cache is copied from the engine of the stream, not from where it was prefilled.
	q.Cache = placement.KVCache{}
	q.Version = version
	request := f.request
	f.g.scheduler.onMove(f.service.Name(), a.attempt, func() { f.move(a, request, q) })
	if tried := len(f.noRoomAt); tried > 0 && tried < maxMoves {
		f.g.scheduler.moveAgain(f.service.Name(), a.attempt)
	}
}

// refuseLateReturn returns the failure of a stream that would come back to its worker too long after
// the worker became known to shut down, and ends its attempt.
func (f *inflight) refuseLateReturn(c placement.Choice, a *placement.Attempt) *attemptFailure {
	if !c.Returned() || f.g.scheduler.mayReturn(f.service.Name(), a, 0) {
		return nil
	}
	f.endAttempt(stageOutput, a, placement.OutcomeNeutral)
	return &attemptFailure{worker: c.Worker().ID(), failure: refusal("return", "worker_gone", http.StatusServiceUnavailable, 0)}
}

// returnStream records that there is no room for the stream of an attempt where it was to be moved,
// and returns the choice of its own engine.
func (sc *scheduler) returnStream(service string, a *relayedAttempt, moved *placement.Attempt) placement.Choice {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	now, placer := sc.c.Clock.Now(), sc.service(service).placer
	placer.NoRoom(now, moved)
	return placer.Return(now, a.choice, a.attempt)
}

// mayReturn reports whether a stream may be sent to the worker of its attempt again after a delay.
func (sc *scheduler) mayReturn(service string, a *placement.Attempt, delay kumquatlug.Millis) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.service(service).placer.MayReturn(sc.c.Clock.Now()+delay, a, sc.c.WorkerGracePeriod*returnUntilPercent/100)
}

// moveAgain moves a stream that returned to its engine once more, as long as it may return again.
func (sc *scheduler) moveAgain(service string, a *placement.Attempt) {
	time.AfterFunc(moveInterval.Duration(), func() {
		if !sc.mayReturn(service, a, moveInterval) {
			return
		}
		sc.mu.Lock()
		defer sc.mu.Unlock()
		sc.service(service).moveStreams([]*placement.Attempt{a})
	})
}

// onMove registers move to be called if the attempt's engine changes its role or shuts
// down.
func (sc *scheduler) onMove(service string, a *placement.Attempt, move func()) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).moves[a] = move
}

// setRoleChanges sets which engines of a service are about to change their role, and
// moves their streams to other engines. It returns the number of streams moved, and
// whether anything changed.
func (sc *scheduler) setRoleChanges(now kumquatlug.Millis, service string, roles map[string]kumquatlug.Role) (int, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	state := sc.service(service)
	streams, changed := state.placer.SetRoleChanges(now, roles)
	moved := state.moveStreams(streams)
	sc.deliverDue(now, state)
	return moved, changed
}

// moveBeforeExit moves the streams of workers that shut down to other engines shortly
// before these workers may exit. Until then they are best served where they are: moved
// at once, they would crowd the remaining engines.
func (sc *scheduler) moveBeforeExit(state *serviceState, streams []*placement.Attempt) {
	if len(streams) == 0 {
		return
	}
	time.AfterFunc((sc.c.WorkerGracePeriod * moveAtPercent / 100).Duration(), func() {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		state.moveStreams(streams)
	})
}

// moveAtPercent is the percentage of WorkerGracePeriod after which the streams of a
// worker that shuts down are moved to other engines: a copy takes milliseconds, and
// gateways learn of the shutdown some milliseconds late.
const moveAtPercent = 80

// Parameters of streams for which there is no room elsewhere.
const (
	// returnUntilPercent is the percentage of WorkerGracePeriod up to which a stream may return to a
	// worker that shuts down.
	returnUntilPercent = 95
	// moveInterval is the time after which a stream that returned is moved once more, maxMoves how
	// many engines are tried.
	moveInterval = 100 * kumquatlug.Millis(1)
	maxMoves     = 3
)

// moveStreams moves streams to other engines and returns how many can be moved.
func (state *serviceState) moveStreams(streams []*placement.Attempt) int {
	moved := 0
	for _, a := range streams {
		if move, can := state.moves[a]; can {
			delete(state.moves, a)
			moved++
			go move()
		}
	}
	return moved
}
