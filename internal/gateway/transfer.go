package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// transfer is a stream's way from an engine that is to do something else to
// another one that goes on with its memory.
type transfer struct {
	choice  placement.Choice
	attempt *placement.Ticket
	// done is closed when the rest is known: cache is what the other engine
	// goes on with, none when the stream stays where it is.
	done  chan struct{}
	cache kumquatlug.KVCache
}

// moveTimeout is how long moving a stream may take. The copy itself takes a
// millisecond for each 9,000 tokens, ten times as long on a slow link.
const moveTimeout = 700 * kumquatlug.Millis(1)

// move takes the stream of an attempt for ask to another engine, as q asks for it. The
// engine ends it there, which the goroutine that reads it notices.
func (f *inflight) move(a *relayedAttempt, request kumquatlug.Ask, q placement.Query) {
	choice, attempt := f.g.scheduler.choose(f.g.c.Clock.Now(), f.service.Name(), stageOutput, q)
	if attempt == nil {
		return
	}
	if choice.Wait() > 0 || a.done.Load() {
		// It would stand still there until a slot is free, or it has ended.
		f.endAttempt(stageOutput, attempt, placement.OutcomeSilent)
		return
	}
	t := &transfer{choice: choice, attempt: attempt, done: make(chan struct{})}
	a.transfer.Store(t)
	call, cancel := context.WithTimeout(a.requestCtx, moveTimeout.Duration())
	defer cancel()
	cache, err := f.g.c.Workers.Move(call, a.choice.Worker(), request, choice.Worker())
	if err != nil {
		f.endAttempt(stageOutput, attempt, placement.OutcomeSilent)
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

// takeTransfer returns where the stream of an attempt goes on, nil where it does not.
func (f *inflight) takeTransfer(a *relayedAttempt) *transfer {
	t := a.transfer.Swap(nil)
	if t == nil {
		return nil
	}
	<-t.done
	switch {
	case t.cache.Handle() == "":
		return nil
	case a.requestCtx.Err() != nil:
		f.discard(t)
		return nil
	}
	return t
}

// abandon notes that an attempt is over. A copy that was made of its memory would
// hold a slot and its room at the other engine for seconds, and its ticket would
// make that engine look fuller for ever.
func (f *inflight) abandon(a *relayedAttempt) {
	a.done.Store(true)
	if t := a.transfer.Swap(nil); t != nil {
		go func() {
			<-t.done
			f.discard(t)
		}()
	}
}

// discard drops a copy that nobody goes on with.
func (f *inflight) discard(t *transfer) {
	if t.cache.Handle() == "" {
		return
	}
	f.endAttempt(stageOutput, t.attempt, placement.OutcomeSilent)
	f.g.releaseCache(t.cache)
}

// onMove has move called when the attempt's engine is to do something else.
func (sc *scheduler) onMove(service string, a *placement.Ticket, move func()) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).moves[a] = move
}

// setRoleChanges takes which engines of a service are about to change their role, and
// has the streams there moved away. It returns how many, and whether anything was
// new.
func (sc *scheduler) setRoleChanges(now kumquatlug.Millis, service string, roles map[string]kumquatlug.Role) (int, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	state := sc.service(service)
	streams, changed := state.placer.Announce(now, roles)
	moved := state.moveStreams(streams)
	sc.deliverGrants(now, state)
	return moved, changed
}

// moveBeforeExit has the streams of workers that leave moved away shortly before they
// may be gone. Until then they are best served where they are: moved at once
// they crowd the engines that stay.
func (sc *scheduler) moveBeforeExit(state *serviceState, streams []*placement.Ticket) {
	if len(streams) == 0 {
		return
	}
	time.AfterFunc((sc.c.LeaveSpan * moveAtPercent / 100).Duration(), func() {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		state.moveStreams(streams)
	})
}

// moveAtPercent is the part of the span, in hundredths, after which the streams of a
// worker that leaves are moved away: a copy takes milliseconds, and fronts know of
// the leaving some milliseconds late.
const moveAtPercent = 80

// moveStreams has streams moved to other engines and returns how many can be.
func (state *serviceState) moveStreams(streams []*placement.Ticket) int {
	moved := 0
	for _, t := range streams {
		if move, can := state.moves[t]; can {
			delete(state.moves, t)
			moved++
			go move()
		}
	}
	return moved
}
