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

// fanOutTimeout is how long an operator's query waits for peers.
const fanOutTimeout = 2 * time.Second

var _ operator.Backend = (*Entry)(nil)

// Change commits a proposal as the next revision and applies it on this
// gateway.
func (e *Entry) Change(ctx context.Context, p config.Proposal) (config.Change, error) {
	change, err := e.configStore.Commit(ctx, p)
	if err != nil {
		return change, err
	}
	e.cfg.Ring.Add(timeline.Record{Name: timeline.ConfigChanged, Peer: p.Author(), Detail: "revision " + revisionText(change.Revision())})
	e.follower.ObserveHead(change.Revision())
	return change, nil
}

// State returns the config in effect on this gateway.
func (e *Entry) State() config.State { return e.follower.State() }

// Explain returns for each target whether it is eligible for a kind of work,
// and why.
func (e *Entry) Explain(ctx context.Context, kind kumquatlug.Kind) ([]dispatch.Explanation, error) {
	var list []dispatch.Explanation
	err := e.loop.query(ctx, func(d *dispatch.Dispatcher) { list = d.Explain(kind) })
	return list, err
}

// Status returns every node with the config revision in effect there.
func (e *Entry) Status(ctx context.Context) ([]*peerv1.NodeStatus, error) {
	nodes, err := e.targetStatuses(ctx)
	if err != nil {
		return nil, err
	}
	return append(e.gatewayStatuses(ctx), nodes...), nil
}

func (e *Entry) targetStatuses(ctx context.Context) ([]*peerv1.NodeStatus, error) {
	var nodes []*peerv1.NodeStatus
	now := e.cfg.Clock.Now()
	err := e.loop.query(ctx, func(d *dispatch.Dispatcher) {
		for _, name := range d.Members() {
			nodes = append(nodes, targetNodeStatus(d, name, now))
		}
	})
	return nodes, err
}

func targetNodeStatus(d *dispatch.Dispatcher, name string, now kumquatlug.Millis) *peerv1.NodeStatus {
	m, _ := d.Member(name)
	report := d.LastReport(name)
	node := &peerv1.NodeStatus{
		Name: name, Role: string(kumquatlug.VMTarget), Zone: m.VM().Zone(), Address: m.VM().Address(),
		State: targetState(d, name), Revision: int64(report.Revision), Labels: d.Labels(name).String(),
		Running: report.Running, HeartbeatAgeMs: -1, TargetRole: string(report.Role),
	}
	if m.LastAnsweredAt() > 0 {
		node.HeartbeatAgeMs = int64(now - m.LastAnsweredAt())
	}
	return node
}

// targetState returns the state that an agent reports of its target, or its
// membership state if it does not respond.
func targetState(d *dispatch.Dispatcher, name string) string {
	m, _ := d.Member(name)
	if m.State() == membership.StateUp {
		return string(d.LastReport(name).State)
	}
	return string(m.State())
}

// gatewayStatuses queries every gateway in the platform's VM list for its
// revision.
func (e *Entry) gatewayStatuses(ctx context.Context) []*peerv1.NodeStatus {
	var nodes []*peerv1.NodeStatus
	own := &peerv1.NodeStatus{
		Name: e.cfg.Name, Role: string(kumquatlug.VMGateway), Zone: e.cfg.Zone, Address: e.address, State: "up",
		Revision: int64(e.State().Revision()), Running: e.inFlight.Load(),
	}
	nodes = append(nodes, own)
	others := e.peerGateways()
	statuses := make([]*peerv1.NodeStatus, len(others))
	e.fanOut(ctx, len(others), func(ctx context.Context, i int) {
		statuses[i] = e.queryGateway(ctx, others[i])
	})
	return append(nodes, statuses...)
}

func (e *Entry) queryGateway(ctx context.Context, vm kumquatlug.VM) *peerv1.NodeStatus {
	node := &peerv1.NodeStatus{
		Name: vm.Name(), Role: string(kumquatlug.VMGateway), Zone: vm.Zone(), Address: vm.Address(), State: "unreachable", HeartbeatAgeMs: -1,
	}
	response, err := e.dialer.Peer(peer.RoleGateway, vm.Address()).Pull(ctx,
		connect.NewRequest(&peerv1.PullRequest{Since: int64(e.State().Revision()), Node: e.cfg.Name}))
	if err != nil {
		return node
	}
	node.State, node.Revision, node.HeartbeatAgeMs = "up", response.Msg.GetRevision(), 0
	return node
}

// peerGateways returns the peer gateways in the platform's VM list.
func (e *Entry) peerGateways() []kumquatlug.VM {
	var others []kumquatlug.VM
	for _, vm := range *e.listedVMs.Load() {
		if vm.Role() == kumquatlug.VMGateway && vm.Name() != e.cfg.Name {
			others = append(others, vm)
		}
	}
	return others
}

// fanOut calls call for every index concurrently and waits for all, within
// fanOutTimeout.
func (e *Entry) fanOut(ctx context.Context, count int, call func(ctx context.Context, i int)) {
	ctx, cancel := context.WithTimeout(ctx, fanOutTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { call(ctx, i) })
	}
	wg.Wait()
}

// Timeline merges the events of all processes into one timeline, and names the
// processes that could not be reached.
func (e *Entry) Timeline(ctx context.Context, requestID string) (*peerv1.EventsResponse, error) {
	vms := append(e.peerGateways(), e.targetVMs()...)
	responses := make([]*peerv1.EventsResponse, len(vms))
	e.fanOut(ctx, len(vms), func(ctx context.Context, i int) {
		response, err := e.dialer.Peer(peerRole(vms[i]), vms[i].Address()).Events(ctx,
			connect.NewRequest(&peerv1.EventsRequest{RequestId: requestID}))
		if err == nil {
			responses[i] = response.Msg
		}
	})
	own, lost := e.cfg.Ring.After(0, requestID)
	merged := &peerv1.EventsResponse{Lost: lost}
	rings := [][]*peerv1.Event{own}
	for i, response := range responses {
		if response == nil {
			merged.Unreachable = append(merged.Unreachable, vms[i].Name())
			continue
		}
		merged.Lost += response.GetLost()
		rings = append(rings, response.GetEvents())
	}
	merged.Events = timeline.Merge(rings...)
	return merged, nil
}

func (e *Entry) targetVMs() []kumquatlug.VM {
	var targets []kumquatlug.VM
	for _, vm := range *e.listedVMs.Load() {
		if vm.Role() == kumquatlug.VMTarget {
			targets = append(targets, vm)
		}
	}
	return targets
}

func peerRole(vm kumquatlug.VM) peer.Role {
	if vm.Role() == kumquatlug.VMGateway {
		return peer.RoleGateway
	}
	return peer.RoleAgent
}
