package agent

import (
	"context"
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Intervals and limits of the target monitor.
const (
	// healthCheckInterval is the interval at which the target's health and load are
	// read. The target is on the same VM, and a gateway sends at most one heartbeat a
	// second.
	healthCheckInterval = 500 * time.Millisecond
	// healthCheckTimeout bounds one check of health and load.
	healthCheckTimeout = 2 * time.Second
	// maxKeptCacheEvents bounds the cache events that are kept for gateways that
	// missed them.
	maxKeptCacheEvents = 256
)

// targetStatus is the status of the target at the last check.
type targetStatus struct {
	healthy bool
	load    engine.Load
	readAt  time.Time
	state   engine.Condition
	events  []engine.CacheEvent
}

// targetMonitor polls the target and keeps its status for heartbeats.
type targetMonitor struct {
	agent *Agent

	mu sync.Mutex
	// lastSequence is the engine's sequence number of the last cache event.
	// sequenceOffset is added to the engine's numbers: after a restart the engine
	// counts from the start again, and its events would be skipped as old ones.
	lastSequence   int64
	sequenceOffset int64
	current        targetStatus
	// stateRequestedAt is when the engine's current state was requested.
	stateRequestedAt time.Time
	lastHeartbeatAt  kumquatlug.Millis
}

// status returns the status at the last check.
func (m *targetMonitor) status() targetStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// markDown records that the target has crashed.
func (m *targetMonitor) markDown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.healthy = false
	m.sequenceOffset += m.lastSequence
	m.lastSequence = 0
}

// recordHeartbeat records a heartbeat.
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

// run polls the target until ctx ends.
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
		m.agent.c.Logger.Debug("failed to read the load", timeline.ErrorField(err))
		return
	}
	m.readState(ctx)
	events, err := m.agent.c.Engine.CacheEvents(ctx, m.eventCursor())
	if err != nil {
		events = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.load, m.current.readAt = load, time.Now()
	m.addEvents(events)
}

// readState reads the engine's state. A failed read keeps the last one: without its role, the
// engine would be taken for one that lost it in a crash and be ordered to change.
func (m *targetMonitor) readState(ctx context.Context) {
	requestedAt := time.Now()
	state, err := m.agent.c.Engine.ReadState(ctx)
	if err != nil {
		m.agent.c.Logger.Debug("failed to read the state", timeline.ErrorField(err))
		return
	}
	m.recordState(requestedAt, state)
}

// recordState replaces the engine's state unless a later request has already returned one.
func (m *targetMonitor) recordState(requestedAt time.Time, state engine.Condition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if requestedAt.Before(m.stateRequestedAt) {
		return
	}
	m.current.state, m.stateRequestedAt = state, requestedAt
}

func (m *targetMonitor) eventCursor() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastSequence
}

// addEvents appends cache events to the kept ones. m.mu must be held.
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

// refreshWhenStale reads the table and the VM list when no heartbeats have arrived for a
// while. The state of an agent that was paused or has just started is of unknown age,
// and the first gateway that reaches it may itself be partitioned. The agent accepts no
// new work before these reads.
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
		a.c.Logger.Warn("failed to read the config from the table", timeline.ErrorField(err))
	}
	vms, err := a.c.VMs.List(ctx)
	if err != nil {
		a.c.Logger.Warn("failed to read the list of VMs", timeline.ErrorField(err))
	}
	a.applyConfig(a.follower.State())
	a.admission.update(func(now kumquatlug.Millis) {
		for _, vm := range vms {
			if vm.Name() == a.c.Name {
				a.admission.drain.SetVMState(vm.State(), now)
			}
		}
		a.admission.drain.Refreshed(now)
	})
	a.monitor.recordHeartbeat(a.c.Clock.Now())
}
