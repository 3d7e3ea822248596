package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/operator"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
)

// gatherTimeout bounds how long an operator's question waits for peers.
const gatherTimeout = 2 * time.Second

var _ operator.Desk = (*Entry)(nil)

// Change makes a proposal the next revision and brings it into force here.
func (e *Entry) Change(ctx context.Context, p config.Proposal) (config.Change, error) {
	change, err := e.store.Commit(ctx, p)
	if err != nil {
		return change, err
	}
	e.c.Ring.Add(timeline.Record{Name: timeline.ConfigChanged, Peer: p.Author(), Detail: "revision " + revisionText(change.Revision())})
	e.follower.LearnedHead(change.Revision())
	return change, nil
}

// State returns the config in force on this entry.
func (e *Entry) State() config.State { return e.follower.State() }

// Explain says for each target whether it may take a kind of work.
func (e *Entry) Explain(ctx context.Context, kind kumquatlug.Kind) ([]dispatch.Explanation, error) {
	var list []dispatch.Explanation
	err := e.loop.ask(ctx, func(d *dispatch.Dispatcher) { list = d.Explain(kind) })
	return list, err
}

// Status returns every node with the config revision in force there.
func (e *Entry) Status(ctx context.Context) ([]*peerv1.NodeStatus, error) {
	nodes, err := e.targetStatus(ctx)
	if err != nil {
		return nil, err
	}
	return append(e.entryStatus(ctx), nodes...), nil
}

func (e *Entry) targetStatus(ctx context.Context) ([]*peerv1.NodeStatus, error) {
	var nodes []*peerv1.NodeStatus
	now := e.c.Clock.Now()
	err := e.loop.ask(ctx, func(d *dispatch.Dispatcher) {
		for _, name := range d.Members() {
			nodes = append(nodes, targetNode(d, name, now))
		}
	})
	return nodes, err
}

func targetNode(d *dispatch.Dispatcher, name string, now kumquatlug.Millis) *peerv1.NodeStatus {
	m, _ := d.Member(name)
	report := d.LastReport(name)
	node := &peerv1.NodeStatus{
		Name: name, Role: string(kumquatlug.VMTarget), Zone: m.VM().Zone(), Address: m.VM().Address(),
		State: nodeState(d, name), Revision: int64(report.Revision), Labels: d.Labels(name).String(),
		Running: report.Running, HeartbeatAgeMs: -1, TargetRole: string(report.Role),
	}
	if m.HeardAt() > 0 {
		node.HeartbeatAgeMs = int64(now - m.HeardAt())
	}
	return node
}

// nodeState is what an agent says of its target, or why it says nothing.
func nodeState(d *dispatch.Dispatcher, name string) string {
	m, _ := d.Member(name)
	if m.State() == membership.StateUp {
		return string(d.LastReport(name).State)
	}
	return string(m.State())
}

// entryStatus asks every entry in the platform's list for its revision.
func (e *Entry) entryStatus(ctx context.Context) []*peerv1.NodeStatus {
	var nodes []*peerv1.NodeStatus
	own := &peerv1.NodeStatus{
		Name: e.c.Name, Role: string(kumquatlug.VMEntry), Zone: e.c.Zone, Address: e.address, State: "up",
		Revision: int64(e.State().Revision()), Running: e.inHand.Load(),
	}
	nodes = append(nodes, own)
	others := e.others()
	found := make([]*peerv1.NodeStatus, len(others))
	e.gather(ctx, len(others), func(ctx context.Context, i int) {
		found[i] = e.askEntry(ctx, others[i])
	})
	return append(nodes, found...)
}

func (e *Entry) askEntry(ctx context.Context, vm kumquatlug.VM) *peerv1.NodeStatus {
	node := &peerv1.NodeStatus{
		Name: vm.Name(), Role: string(kumquatlug.VMEntry), Zone: vm.Zone(), Address: vm.Address(), State: "unreachable", HeartbeatAgeMs: -1,
	}
	answer, err := e.dialer.Peer(peer.RoleEntry, vm.Address()).Pull(ctx,
		connect.NewRequest(&peerv1.PullRequest{Since: int64(e.State().Revision()), Node: e.c.Name}))
	if err != nil {
		return node
	}
	node.State, node.Revision, node.HeartbeatAgeMs = "up", answer.Msg.GetRevision(), 0
	return node
}

// others returns the entries in the platform's list but this one.
func (e *Entry) others() []kumquatlug.VM {
	var others []kumquatlug.VM
	for _, vm := range *e.listed.Load() {
		if vm.Role() == kumquatlug.VMEntry && vm.Name() != e.c.Name {
			others = append(others, vm)
		}
	}
	return others
}

// gather runs ask for every index at once and waits for all, within a bound.
func (e *Entry) gather(ctx context.Context, count int, ask func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() { ask(ctx, i) })
	}
	all.Wait()
}

// Timeline merges the events of all processes into one line, and names those
// that could not be asked.
func (e *Entry) Timeline(ctx context.Context, requestID string) (*peerv1.EventsResponse, error) {
	vms := append(e.others(), e.targetVMs()...)
	answers := make([]*peerv1.EventsResponse, len(vms))
	e.gather(ctx, len(vms), func(ctx context.Context, i int) {
		answer, err := e.dialer.Peer(roleOf(vms[i]), vms[i].Address()).Events(ctx,
			connect.NewRequest(&peerv1.EventsRequest{RequestId: requestID}))
		if err == nil {
			answers[i] = answer.Msg
		}
	})
	own, lost := e.c.Ring.After(0, requestID)
	merged := &peerv1.EventsResponse{Lost: lost}
	rings := [][]*peerv1.Event{own}
	for i, answer := range answers {
		if answer == nil {
			merged.Unreachable = append(merged.Unreachable, vms[i].Name())
			continue
		}
		merged.Lost += answer.GetLost()
		rings = append(rings, answer.GetEvents())
	}
	merged.Events = timeline.Merge(rings...)
	return merged, nil
}

func (e *Entry) targetVMs() []kumquatlug.VM {
	var targets []kumquatlug.VM
	for _, vm := range *e.listed.Load() {
		if vm.Role() == kumquatlug.VMTarget {
			targets = append(targets, vm)
		}
	}
	return targets
}

func roleOf(vm kumquatlug.VM) peer.Role {
	if vm.Role() == kumquatlug.VMEntry {
		return peer.RoleEntry
	}
	return peer.RoleAgent
}
