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
	// heartbeatTick is how often heartbeats that are due are looked for.
	heartbeatTick = 50 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat; peers are a few milliseconds away.
	heartbeatTimeout = time.Second
	// heartbeatsAtOnce bounds those in flight: more wait while peers hang.
	heartbeatsAtOnce = 64
	// snapshotEvery is how often an entry looks whether a snapshot of the
	// config is due, and snapshotChanges after how many changes it is.
	snapshotEvery   = time.Minute
	snapshotChanges = 1000
)

// readList follows the platform's list of VMs.
func (e *Entry) readList(ctx context.Context) error {
	tick := time.NewTicker(e.c.ListEvery.Duration())
	defer tick.Stop()
	for {
		vms, err := e.c.VMs.List(ctx)
		if err != nil {
			// The last list stands: targets that answer heartbeats go on.
			e.c.Logger.Warn("can't read the platform's list of VMs", timeline.ErrorField(err))
		} else {
			e.listed.Store(&vms)
			e.loop.post(vmsListed{vms})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// beat is what the heartbeats to one target remember between two of them.
type beat struct {
	askedAt kumquatlug.Millis
	asking  bool
	// told and heard are the versions of the notices that each side has.
	told  int64
	heard int64
	// cached is the last cache event that was heard.
	cached int64
}

// heartbeats asks each target that the entry speaks to for a report, at the
// pace that membership.Interval sets.
func (e *Entry) heartbeats(ctx context.Context) error {
	beats := map[string]*beat{}
	done := make(chan string, heartbeatsAtOnce)
	tick := time.NewTicker(heartbeatTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case name := <-done:
			beats[name].asking = false
		case <-tick.C:
			e.askDue(ctx, beats, done)
		}
	}
}

func (e *Entry) askDue(ctx context.Context, beats map[string]*beat, done chan<- string) {
	now := e.c.Clock.Now()
	members := e.watched(ctx)
	interval := membership.Interval(len(members))
	asking := 0
	for _, m := range members {
		name := m.VM().Name()
		if beats[name] == nil {
			beats[name] = &beat{askedAt: now - interval + e.phase(name, interval)}
		}
		b := beats[name]
		if b.asking {
			asking++
		}
		if b.asking || now-b.askedAt < interval || asking >= heartbeatsAtOnce {
			continue
		}
		b.askedAt, b.asking = now, true
		asking++
		go func() {
			e.heartbeat(ctx, m, b)
			done <- name
		}()
	}
}

// phase spreads the first heartbeats over an interval. An entry that just
// started would else ask all its targets in one moment, and all entries that
// start together would ask the same one.
func (e *Entry) phase(target string, interval kumquatlug.Millis) kumquatlug.Millis {
	if interval <= membership.MinInterval {
		return 0
	}
	return kumquatlug.Millis(xxhash.Sum64String(e.c.Name+"/"+target) % uint64(interval))
}

// watched returns the targets that the entry speaks to.
func (e *Entry) watched(ctx context.Context) []membership.Member {
	var members []membership.Member
	_ = e.loop.ask(ctx, func(d *dispatch.Dispatcher) {
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
	_ = e.loop.ask(ctx, func(d *dispatch.Dispatcher) { m, known = d.Member(name) })
	return m, known
}

// heartbeat asks one agent for a report, and tells it what it may not know yet:
// the config's head, what the list says of its VM, and requests that were in
// hand at crashes.
func (e *Entry) heartbeat(ctx context.Context, m membership.Member, b *beat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	asked := e.c.Clock.Now()
	var notices []quarantine.Notice
	var version int64
	_ = e.loop.ask(ctx, func(d *dispatch.Dispatcher) { notices, version = d.Known(asked, b.told) })
	answer, err := e.dialer.Agent(m.VM().Address()).Report(ctx, connect.NewRequest(&peerv1.ReportRequest{
		Entry: e.c.Name, Address: e.address, Revision: int64(e.follower.State().Revision()),
		HeadAgeMs: int64(e.follower.HeadAge()), Logical: e.c.Ring.Logical(), VmState: e.listedState(m),
		Notices: peer.NoticesTo(notices), NoticesAfter: b.heard, CacheAfter: b.cached,
	}))
	if err != nil || answer.Msg.GetTarget() != m.VM().Name() {
		// Another agent at the address is as good as none: a VM was replaced
		// and the list does not know it yet.
		e.loop.post(missed{m.VM().Name()})
		return
	}
	if answer.Msg.GetIncarnation() != m.Incarnation() {
		// A new agent knows nothing of what its predecessor was told.
		b.told, version = 0, 0
	}
	if events := answer.Msg.GetCache(); len(events) > 0 {
		b.cached = events[len(events)-1].GetSequence()
	}
	b.told, b.heard = version, answer.Msg.GetNoticesVersion()
	e.c.Ring.Witness(answer.Msg.GetLogical())
	e.follower.Learned(peer.RoleAgent, m.VM().Address(), answer.Msg.GetRevision(), kumquatlug.Millis(answer.Msg.GetHeadAgeMs()))
	e.loop.post(heard{name: m.VM().Name(), report: reportOf(answer.Msg, asked), notices: peer.NoticesFrom(answer.Msg.GetNotices()), cache: answer.Msg.GetCache()})
}

// listedState is what the platform's list says of a target's VM, empty when the
// list does not name it any more.
func (e *Entry) listedState(m membership.Member) string {
	for _, vm := range *e.listed.Load() {
		if vm.Name() == m.VM().Name() {
			return string(vm.State())
		}
	}
	return ""
}

func reportOf(r *peerv1.ReportResponse, asked kumquatlug.Millis) dispatch.Report {
	load := r.GetLoad()
	return dispatch.Report{
		Incarnation: r.GetIncarnation(), State: dispatch.TargetState(r.GetState()),
		Protocol: kumquatlug.Protocol(r.GetProtocol()), Role: kumquatlug.Role(r.GetRole()),
		Revision: config.Revision(r.GetRevision()), Asked: asked, Age: kumquatlug.Millis(load.GetAgeMs()),
		Running: load.GetRunning(), Waiting: load.GetWaiting(), KVUsed: load.GetKvUsedTokens(), KVTotal: load.GetKvTotalTokens(),
		PrefillRate: load.GetPrefillTokensPerSecond(), DecodeRate: load.GetDecodeTokensPerSecond(),
		Begun: r.GetBegun(), Starts: r.GetStarts(), Fence: r.GetFence(), Phase: r.GetPhase(),
	}
}

// first reports whether this entry is the first of all in the order of a duty
// that one entry is enough for.
func (e *Entry) first(ctx context.Context, duty string) bool {
	var entries []string
	_ = e.loop.ask(ctx, func(d *dispatch.Dispatcher) { entries = append(entries, d.Entries()...) })
	order := routing.ServiceOrder(duty, entries)
	return len(order) > 0 && order[0] == e.c.Name
}

// snapshots stores the config as an object after many changes, so that a node
// that starts need not read a long log.
func (e *Entry) snapshots(ctx context.Context) error {
	tick := time.NewTicker(snapshotEvery)
	defer tick.Stop()
	last := config.Revision(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		state := e.follower.State()
		if state.Revision()-last < snapshotChanges || !e.first(ctx, "snapshot") {
			continue
		}
		if err := e.store.Snapshot(ctx, state); err != nil {
			e.c.Logger.Warn("can't store a snapshot of the config", timeline.ErrorField(err))
			continue
		}
		last = state.Revision()
	}
}
