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
	// healthCheckInterval is how often the target is asked for its health and load. It
	// is on the same VM, and an entry asks the agent once a second at most.
	healthCheckInterval = 500 * time.Millisecond
	// healthCheckTimeout bounds one look.
	healthCheckTimeout = 2 * time.Second
	// maxKeptCacheEvents bounds the cache events that are told again to an entry which
	// missed them.
	maxKeptCacheEvents = 256
)

// targetStatus is what the watch last saw of the target.
type targetStatus struct {
	healthy bool
	load    engine.Load
	readAt  time.Time
	state   engine.Condition
	events  []engine.CacheEvent
}

// targetMonitor looks at the target and keeps what it saw for entries that ask.
type targetMonitor struct {
	agent *Agent

	mu sync.Mutex
	// lastSequence is the engine's number of the last cache event, base what is added
	// to its numbers: an engine that restarted counts from the start again, and
	// its events would be passed over as old ones.
	lastSequence    int64
	sequenceOffset  int64
	current         targetStatus
	lastHeartbeatAt kumquatlug.Millis
}

// status returns what was last seen.
func (m *targetMonitor) status() targetStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// markDown takes that the target was found gone.
func (m *targetMonitor) markDown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.healthy = false
	m.sequenceOffset += m.lastSequence
	m.lastSequence = 0
}

// recordHeartbeat takes that an entry spoke.
func (m *targetMonitor) recordHeartbeat(now kumquatlug.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeartbeatAt = now
}

func (m *targetMonitor) lastHeartbeat() kumquatlug.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastHeartbeatAt
}

// run looks at the target until ctx ends.
func (m *targetMonitor) run(ctx context.Context) error {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for {
		m.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (m *targetMonitor) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	healthy := m.agent.c.Target.Healthy(ctx) == nil
	m.mu.Lock()
	m.current.healthy = healthy
	m.mu.Unlock()
	if healthy && m.agent.c.Engine != nil {
		m.readEngine(ctx)
	}
}

func (m *targetMonitor) readEngine(ctx context.Context) {
	load, err := m.agent.c.Engine.ReadLoad(ctx)
	if err != nil {
		m.agent.c.Logger.Debug("can't read load", timeline.ErrorField(err))
		return
	}
	state, err := m.agent.c.Engine.ReadState(ctx)
	if err != nil {
		state = engine.Condition{State: engine.StateUnknown}
	}
	events, err := m.agent.c.Engine.CacheEvents(ctx, m.eventCursor())
	if err != nil {
		events = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.load, m.current.readAt, m.current.state = load, time.Now(), state
	m.addEvents(events)
}

func (m *targetMonitor) eventCursor() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastSequence
}

// addEvents adds events to those that are told. The lock is held.
func (m *targetMonitor) addEvents(events []engine.CacheEvent) {
	if len(events) == 0 {
		return
	}
	m.lastSequence = events[len(events)-1].Sequence
	all := append([]engine.CacheEvent(nil), m.current.events...)
	for _, e := range events {
		e.Sequence += m.sequenceOffset
		all = append(all, e)
	}
	m.current.events = all[max(0, len(all)-maxKeptCacheEvents):]
}

// refreshWhenStale asks the table and the platform's list itself when entries have
// been quiet. An agent that was paused, or has just started, holds news of
// unknown age, and the first entry to reach it may itself be cut off: it takes
// no new work before it has asked.
func (a *Agent) refreshWhenStale(ctx context.Context) error {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for {
		if a.admission.needsRefresh(a.monitor.lastHeartbeat()) {
			a.refresh(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (a *Agent) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := a.follower.Refresh(ctx); err != nil {
		a.c.Logger.Warn("can't ask the table for the config", timeline.ErrorField(err))
	}
	vms, err := a.c.VMs.List(ctx)
	if err != nil {
		a.c.Logger.Warn("can't ask the platform for its list", timeline.ErrorField(err))
	}
	a.applyConfig(a.follower.State())
	a.admission.update(func(now kumquatlug.Millis) {
		for _, vm := range vms {
			if vm.Name() == a.c.Name {
				a.admission.drain.List(vm.State(), now)
			}
		}
		a.admission.drain.Asked(now)
	})
	a.monitor.recordHeartbeat(a.c.Clock.Now())
}
