package agent

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures of the watch over the target.
const (
	// watchEvery is how often the target is asked for its health and load. It
	// is on the same VM, and an entry asks the agent once a second at most.
	watchEvery = 500 * time.Millisecond
	// watchTimeout bounds one look.
	watchTimeout = 2 * time.Second
	// keptEvents bounds the cache events that are told again to an entry which
	// missed them.
	keptEvents = 256
)

// condition is what the watch last saw of the target.
type condition struct {
	healthy bool
	load    engine.Load
	readAt  time.Time
	state   engine.Condition
	events  []engine.CacheEvent
}

// watch looks at the target and keeps what it saw for entries that ask.
type watch struct {
	agent *Agent

	mu sync.Mutex
	// cursor is the engine's number of the last cache event, base what is added
	// to its numbers: an engine that restarted counts from the start again, and
	// its events would be passed over as old ones.
	cursor  int64
	base    int64
	last    condition
	heardAt kumquatlug.Millis
}

// seen returns what was last seen.
func (w *watch) seen() condition {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// down takes that the target was found gone.
func (w *watch) down() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last.healthy = false
	w.base += w.cursor
	w.cursor = 0
}

// heard takes that an entry spoke.
func (w *watch) heard(now kumquatlug.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = now
}

func (w *watch) lastHeard() kumquatlug.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heardAt
}

// run looks at the target until ctx ends.
func (w *watch) run(ctx context.Context) error {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		w.look(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (w *watch) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	healthy := w.agent.c.Target.Healthy(ctx) == nil
	w.mu.Lock()
	w.last.healthy = healthy
	w.mu.Unlock()
	if healthy && w.agent.c.Engine != nil {
		w.readEngine(ctx)
	}
}

func (w *watch) readEngine(ctx context.Context) {
	load, err := w.agent.c.Engine.ReadLoad(ctx)
	if err != nil {
		w.agent.c.Logger.Debug("can't read load", timeline.ErrorField(err))
		return
	}
	state, err := w.agent.c.Engine.ReadState(ctx)
	if err != nil {
		state = engine.Condition{State: engine.StateUnknown}
	}
	events, err := w.agent.c.Engine.CacheEvents(ctx, w.after())
	if err != nil {
		events = nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last.load, w.last.readAt, w.last.state = load, time.Now(), state
	w.keepEvents(events)
}

func (w *watch) after() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cursor
}

// keepEvents adds events to those that are told. The lock is held.
func (w *watch) keepEvents(events []engine.CacheEvent) {
	if len(events) == 0 {
		return
	}
	w.cursor = events[len(events)-1].Sequence
	all := append([]engine.CacheEvent(nil), w.last.events...)
	for _, e := range events {
		e.Sequence += w.base
		all = append(all, e)
	}
	w.last.events = all[max(0, len(all)-keptEvents):]
}

// askWhenSilent asks the table and the platform's list itself when entries have
// been quiet. An agent that was paused, or has just started, holds news of
// unknown age, and the first entry to reach it may itself be cut off: it takes
// no new work before it has asked.
func (a *Agent) askWhenSilent(ctx context.Context) error {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		if a.hand.silent(a.watch.lastHeard()) {
			a.ask(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (a *Agent) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := a.follower.Refresh(ctx); err != nil {
		a.c.Logger.Warn("can't ask the table for the config", timeline.ErrorField(err))
	}
	vms, err := a.c.VMs.List(ctx)
	if err != nil {
		a.c.Logger.Warn("can't ask the platform for its list", timeline.ErrorField(err))
	}
	a.followConfig(a.follower.State())
	a.hand.with(func(now kumquatlug.Millis) {
		for _, vm := range vms {
			if vm.Name() == a.c.Name {
				a.hand.drain.List(vm.State(), now)
			}
		}
		a.hand.drain.Asked(now)
	})
	a.watch.heard(a.c.Clock.Now())
}
