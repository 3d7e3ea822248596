package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// transfer is the move of a stream from an engine that changes its role or shuts down to
// another one that continues with a copy of its KV cache.
type transfer struct {
	choice  placement.Choice
	attempt *placement.Attempt
	// done is closed when the move has ended. cache is then the copy at the other
	// engine, or none if the stream stays.
	done  chan struct{}
	cache kumquatlug.KVCacheRef
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
	if err != nil {
		t.stopped = !errors.Is(err, kumquatlug.ErrNotFound) && kumquatlug.ExecutionOf(err) != kumquatlug.NotExecuted
		f.endAttempt(stageOutput, attempt, placement.OutcomeNeutral)
		f.g.c.Logger.Info("stream not moved", zap.String("request", request.ID()), zap.String("worker", a.worker()),
			zap.String("to", choice.Worker().ID()), logs.Error(err))
	} else {
		t.cache = cache
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
	f.endAttempt(stageOutput, t.attempt, placement.OutcomeNeutral)
	f.g.releaseCache(t.cache)
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
