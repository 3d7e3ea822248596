package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// Parameters of the background tasks.
const (
	// heartbeatTickInterval is the interval between checks for heartbeats that
	// are due.
	heartbeatTickInterval = 50 * time.Millisecond
	// heartbeatTimeout is the timeout of one heartbeat; the network latency
	// between peers is a few milliseconds.
	heartbeatTimeout = time.Second
	// maxHeartbeatsInFlight limits concurrent heartbeats; more wait while peers
	// hang.
	maxHeartbeatsInFlight = 64
	// snapshotCheckInterval is the interval between checks whether a config
	// snapshot is due, and snapshotMinChanges the number of changes after which
	// it is.
	snapshotCheckInterval = time.Minute
	snapshotMinChanges    = 1000
)

// pollVMs reads the platform's VM list periodically.
func (e *Entry) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(e.cfg.VMListInterval.Duration())
	defer ticker.Stop()
	for {
		vms, err := e.cfg.VMs.List(ctx)
		if err != nil {
			// Keep the last list: targets that answer heartbeats stay in use.
			e.cfg.Logger.Warn("failed to read VM list, keeping the last one", timeline.ErrorField(err))
		} else {
			e.listedVMs.Store(&vms)
			e.loop.post(vmsListed{vms})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// heartbeatState is the state of the heartbeats to one target.
type heartbeatState struct {
	sentAt   kumquatlug.Millis
	inFlight bool
	// noticesSent and noticesReceived are the versions of the crash notices
	// last sent to the target and received from it.
	noticesSent     int64
	noticesReceived int64
	// lastCacheEvent is the sequence number of the last cache event received.
	lastCacheEvent int64
}

// runHeartbeats sends heartbeats to each watched target, at the interval of
// [membership.Interval]. The response is a report of the target's state.
func (e *Entry) runHeartbeats(ctx context.Context) error {
	states := map[string]*heartbeatState{}
	done := make(chan string, maxHeartbeatsInFlight)
	ticker := time.NewTicker(heartbeatTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case name := <-done:
			states[name].inFlight = false
		case <-ticker.C:
			e.sendDueHeartbeats(ctx, states, done)
		}
	}
}

func (e *Entry) sendDueHeartbeats(ctx context.Context, states map[string]*heartbeatState, done chan<- string) {
	now := e.cfg.Clock.Now()
	members := e.watchedMembers(ctx)
	interval := membership.Interval(len(members))
	inFlight := 0
	for _, m := range members {
		name := m.VM().Name()
		if states[name] == nil {
			states[name] = &heartbeatState{sentAt: now - interval + e.initialPhase(name, interval)}
		}
		state := states[name]
		if state.inFlight {
			inFlight++
		}
		if state.inFlight || now-state.sentAt < interval || inFlight >= maxHeartbeatsInFlight {
			continue
		}
		state.sentAt, state.inFlight = now, true
		inFlight++
		go func() {
			e.heartbeat(ctx, m, state)
			done <- name
		}()
	}
}

// initialPhase spreads the first heartbeats over an interval. Otherwise a
// gateway that just started would send a heartbeat to all its targets at once,
// and all gateways that start together would send theirs to the same target at
// the same moment.
func (e *Entry) initialPhase(target string, interval kumquatlug.Millis) kumquatlug.Millis {
	if interval <= membership.MinInterval {
		return 0
	}
	return kumquatlug.Millis(xxhash.Sum64String(e.cfg.Name+"/"+target) % uint64(interval))
}

// watchedMembers returns the targets to which this gateway sends heartbeats.
func (e *Entry) watchedMembers(ctx context.Context) []membership.Member {
	var members []membership.Member
	_ = e.loop.query(ctx, func(d *dispatch.Dispatcher) {
		for _, name := range d.WatchedTargets() {
			if m, known := d.Member(name); known {
				members = append(members, m)
			}
		}
	})
	return members
}

// member returns one target.
func (e *Entry) member(ctx context.Context, name string) (m membership.Member, known bool) {
	_ = e.loop.query(ctx, func(d *dispatch.Dispatcher) { m, known = d.Member(name) })
	return m, known
}

// heartbeat requests a report from one agent. It sends what the agent may not
// know yet: the revision of the config head, the state of its VM in the VM
// list, and notices of requests that were in flight at crashes.
func (e *Entry) heartbeat(ctx context.Context, m membership.Member, state *heartbeatState) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := e.cfg.Clock.Now()
	var notices []quarantine.Notice
	var version int64
	_ = e.loop.query(ctx, func(d *dispatch.Dispatcher) { notices, version = d.NoticesSince(sentAt, state.noticesSent) })
	response, err := e.dialer.Agent(m.VM().Address()).Report(ctx, connect.NewRequest(&peerv1.ReportRequest{
		Entry: e.cfg.Name, Address: e.address, Revision: int64(e.follower.State().Revision()),
		HeadAgeMs: int64(e.follower.HeadAge()), Logical: e.cfg.Ring.Logical(), VmState: e.listedVMState(m),
		Notices: peer.EncodeNotices(notices), NoticesAfter: state.noticesReceived, CacheAfter: state.lastCacheEvent,
	}))
	if err != nil || response.Msg.GetTarget() != m.VM().Name() {
		// A different agent at this address counts as a missed heartbeat: the
		// VM was replaced and the VM list does not show it yet.
		e.loop.post(heartbeatMissed{m.VM().Name()})
		return
	}
	if response.Msg.GetIncarnation() != m.Incarnation() {
		// A new incarnation of the agent has none of the notices that were sent
		// to the previous one.
		state.noticesSent, version = 0, 0
	}
	if events := response.Msg.GetCache(); len(events) > 0 {
		state.lastCacheEvent = events[len(events)-1].GetSequence()
	}
	state.noticesSent, state.noticesReceived = version, response.Msg.GetNoticesVersion()
	e.cfg.Ring.Witness(response.Msg.GetLogical())
	e.follower.ObserveRevision(peer.RoleAgent, m.VM().Address(), response.Msg.GetRevision(), kumquatlug.Millis(response.Msg.GetHeadAgeMs()))
	e.loop.post(heartbeatAnswered{name: m.VM().Name(), report: newReport(response.Msg, sentAt), notices: peer.DecodeNotices(response.Msg.GetNotices()), cache: response.Msg.GetCache()})
}

// listedVMState returns the state of a target's VM in the platform's VM list,
// or an empty string if the VM is no longer listed.
func (e *Entry) listedVMState(m membership.Member) string {
	for _, vm := range *e.listedVMs.Load() {
		if vm.Name() == m.VM().Name() {
			return string(vm.State())
		}
	}
	return ""
}

func newReport(r *peerv1.ReportResponse, sentAt kumquatlug.Millis) dispatch.Report {
	load := r.GetLoad()
	return dispatch.Report{
		Incarnation: r.GetIncarnation(), State: dispatch.TargetState(r.GetState()),
		Protocol: kumquatlug.Protocol(r.GetProtocol()), Role: kumquatlug.Role(r.GetRole()),
		Revision: config.Revision(r.GetRevision()), SentAt: sentAt, LoadAge: kumquatlug.Millis(load.GetAgeMs()),
		Running: load.GetRunning(), Waiting: load.GetWaiting(), KVUsed: load.GetKvUsedTokens(), KVTotal: load.GetKvTotalTokens(),
		PrefillRate: load.GetPrefillTokensPerSecond(), DecodeRate: load.GetDecodeTokensPerSecond(),
		StartedCalls: r.GetBegun(), AgentStarts: r.GetStarts(), FencingToken: r.GetFence(), Phase: r.GetPhase(),
	}
}

// isPrimary reports whether this gateway is the first in the rendezvous order
// of a task that a single gateway performs.
func (e *Entry) isPrimary(ctx context.Context, task string) bool {
	var gateways []string
	_ = e.loop.query(ctx, func(d *dispatch.Dispatcher) { gateways = append(gateways, d.Gateways()...) })
	order := routing.RunOnceOrder(task, gateways)
	return len(order) > 0 && order[0] == e.cfg.Name
}

// runSnapshots stores a config snapshot as an object after many changes, so
// that a node that starts does not have to read a long log.
func (e *Entry) runSnapshots(ctx context.Context) error {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	last := config.Revision(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		state := e.follower.State()
		if state.Revision()-last < snapshotMinChanges || !e.isPrimary(ctx, "snapshot") {
			continue
		}
		if err := e.configStore.Snapshot(ctx, state); err != nil {
			e.cfg.Logger.Warn("failed to store config snapshot", timeline.ErrorField(err))
			continue
		}
		last = state.Revision()
	}
}
