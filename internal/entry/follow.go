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

// Figures of the duties beside the loop.
const (
	// heartbeatTickInterval is how often heartbeats that are due are looked for.
	heartbeatTickInterval = 50 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat; peers are a few milliseconds away.
	heartbeatTimeout = time.Second
	// maxHeartbeatsInFlight bounds those in flight: more wait while peers hang.
	maxHeartbeatsInFlight = 64
	// snapshotCheckInterval is how often an entry looks whether a snapshot of the
	// config is due, and snapshotMinChanges after how many changes it is.
	snapshotCheckInterval = time.Minute
	snapshotMinChanges    = 1000
)

// pollVMs follows the platform's list of VMs.
func (e *Entry) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(e.cfg.ListEvery.Duration())
	defer ticker.Stop()
	for {
		vms, err := e.cfg.VMs.List(ctx)
		if err != nil {
			// The last list stands: targets that answer heartbeats go on.
			e.cfg.Logger.Warn("can't read the platform's list of VMs", timeline.ErrorField(err))
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

// heartbeatState is what the heartbeats to one target remember between two of them.
type heartbeatState struct {
	sentAt   kumquatlug.Millis
	inFlight bool
	// noticesSent and heard are the versions of the notices that each side has.
	noticesSent     int64
	noticesReceived int64
	// lastCacheEvent is the last cache event that was heard.
	lastCacheEvent int64
}

// runHeartbeats asks each target that the entry speaks to for a report, at the
// pace that membership.Interval sets.
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

// initialPhase spreads the first heartbeats over an interval. An entry that just
// started would else ask all its targets in one moment, and all entries that
// start together would ask the same one.
func (e *Entry) initialPhase(target string, interval kumquatlug.Millis) kumquatlug.Millis {
	if interval <= membership.MinInterval {
		return 0
	}
	return kumquatlug.Millis(xxhash.Sum64String(e.cfg.Name+"/"+target) % uint64(interval))
}

// watchedMembers returns the targets that the entry speaks to.
func (e *Entry) watchedMembers(ctx context.Context) []membership.Member {
	var members []membership.Member
	_ = e.loop.query(ctx, func(d *dispatch.Dispatcher) {
		for _, name := range d.Watched() {
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

// heartbeat asks one agent for a report, and tells it what it may not know yet:
// the config's head, what the list says of its VM, and requests that were in
// hand at crashes.
func (e *Entry) heartbeat(ctx context.Context, m membership.Member, state *heartbeatState) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := e.cfg.Clock.Now()
	var notices []quarantine.Notice
	var version int64
	_ = e.loop.query(ctx, func(d *dispatch.Dispatcher) { notices, version = d.Known(sentAt, state.noticesSent) })
	response, err := e.dialer.Agent(m.VM().Address()).Report(ctx, connect.NewRequest(&peerv1.ReportRequest{
		Entry: e.cfg.Name, Address: e.address, Revision: int64(e.follower.State().Revision()),
		HeadAgeMs: int64(e.follower.HeadAge()), Logical: e.cfg.Ring.Logical(), VmState: e.listedVMState(m),
		Notices: peer.NoticesTo(notices), NoticesAfter: state.noticesReceived, CacheAfter: state.lastCacheEvent,
	}))
	if err != nil || response.Msg.GetTarget() != m.VM().Name() {
		// Another agent at the address is as good as none: a VM was replaced
		// and the list does not know it yet.
		e.loop.post(heartbeatMissed{m.VM().Name()})
		return
	}
	if response.Msg.GetIncarnation() != m.Incarnation() {
		// A new agent knows nothing of what its predecessor was told.
		state.noticesSent, version = 0, 0
	}
	if events := response.Msg.GetCache(); len(events) > 0 {
		state.lastCacheEvent = events[len(events)-1].GetSequence()
	}
	state.noticesSent, state.noticesReceived = version, response.Msg.GetNoticesVersion()
	e.cfg.Ring.Witness(response.Msg.GetLogical())
	e.follower.Learned(peer.RoleAgent, m.VM().Address(), response.Msg.GetRevision(), kumquatlug.Millis(response.Msg.GetHeadAgeMs()))
	e.loop.post(heartbeatAnswered{name: m.VM().Name(), report: newReport(response.Msg, sentAt), notices: peer.NoticesFrom(response.Msg.GetNotices()), cache: response.Msg.GetCache()})
}

// listedVMState is what the platform's list says of a target's VM, empty when the
// list does not name it any more.
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
		Revision: config.Revision(r.GetRevision()), Asked: sentAt, Age: kumquatlug.Millis(load.GetAgeMs()),
		Running: load.GetRunning(), Waiting: load.GetWaiting(), KVUsed: load.GetKvUsedTokens(), KVTotal: load.GetKvTotalTokens(),
		PrefillRate: load.GetPrefillTokensPerSecond(), DecodeRate: load.GetDecodeTokensPerSecond(),
		Begun: r.GetBegun(), Starts: r.GetStarts(), Fence: r.GetFence(), Phase: r.GetPhase(),
	}
}

// isPrimary reports whether this entry is the first of all in the order of a duty
// that one entry is enough for.
func (e *Entry) isPrimary(ctx context.Context, task string) bool {
	var entries []string
	_ = e.loop.query(ctx, func(d *dispatch.Dispatcher) { entries = append(entries, d.Entries()...) })
	order := routing.ServiceOrder(task, entries)
	return len(order) > 0 && order[0] == e.cfg.Name
}

// runSnapshots stores the config as an object after many changes, so that a node
// that starts need not read a long log.
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
			e.cfg.Logger.Warn("can't store a snapshot of the config", timeline.ErrorField(err))
			continue
		}
		last = state.Revision()
	}
}
