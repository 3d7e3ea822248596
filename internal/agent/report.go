package agent

import (
	"context"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/order"
)

func itoa(n int) string { return strconv.Itoa(n) }

// agentService implements peerv1connect.AgentServiceHandler: heartbeats and orders.
type agentService struct {
	agent *Agent
}

// Report responds to a heartbeat with the state of the target.
func (s *agentService) Report(
	_ context.Context, r *connect.Request[peerv1.ReportRequest],
) (*connect.Response[peerv1.ReportResponse], error) {
	a := s.agent
	request := r.Msg
	a.c.Ring.Witness(request.GetLogical())
	a.follower.ObserveRevision(peer.RoleGateway, request.GetAddress(), request.GetRevision(), kumquatlug.Millis(request.GetHeadAgeMs()))
	a.admission.mergeNotices(request.GetNotices())
	a.monitor.recordHeartbeat(a.c.Clock.Now())
	a.admission.update(func(now kumquatlug.Millis) {
		if request.GetVmState() != "" {
			a.admission.drain.SetVMState(kumquatlug.VMState(request.GetVmState()), now)
		}
		a.admission.drain.HeartbeatReceived(now)
	})
	return connect.NewResponse(s.buildReport(request)), nil
}

func (s *agentService) buildReport(request *peerv1.ReportRequest) *peerv1.ReportResponse {
	a := s.agent
	status := a.monitor.status()
	response := &peerv1.ReportResponse{
		Target: a.c.Name, Incarnation: a.incarnation, Revision: int64(a.follower.State().Revision()),
		Protocol: string(a.Protocol()), Zone: a.c.Zone, State: string(a.admission.targetState(status.healthy)),
		ChecksFence: a.c.ChecksFence, HeadAgeMs: int64(a.follower.HeadAge()), Logical: a.c.Ring.Logical(),
	}
	response.Cache = eventsAfter(status.events, request.GetCacheAfter())
	response.Notices, response.NoticesVersion = a.admission.noticesSince(request.GetNoticesAfter())
	a.admission.mu.Lock()
	defer a.admission.mu.Unlock()
	response.Begun = a.admission.startedByGateway[request.GetAddress()]
	response.Load = reportedLoad(status, len(a.admission.calls))
	response.Phase = string(a.admission.orderPhase())
	// Under the lock of the phase, so that the role is at least as recent as the phase.
	response.Role = string(a.monitor.status().state.Role)
	if a.admission.orderGate != nil {
		response.Starts, response.Fence = int64(a.admission.startCount), int64(a.admission.orderGate.FencingToken())
	}
	return response
}

// maxCacheEventsPerReport bounds the cache events in a report, of 24 bytes each. With
// 32 of them in each report of a gateway that watches twenty targets they are 270
// bytes a second. A gateway that misses events detects the gap and relies less on its
// view of the cache.
const maxCacheEventsPerReport = 32

func eventsAfter(events []engine.CacheEvent, after int64) []*peerv1.CacheEvent {
	var wire []*peerv1.CacheEvent
	for _, e := range events {
		if e.Sequence > after {
			wire = append(wire, &peerv1.CacheEvent{Sequence: e.Sequence, Prefix: e.Prefix, Evicted: e.Evicted})
		}
	}
	return wire[max(0, len(wire)-maxCacheEventsPerReport):]
}

func reportedLoad(status targetStatus, inFlight int) *peerv1.Load {
	load := &peerv1.Load{
		Running: status.load.Running, Waiting: status.load.Waiting,
		KvUsedTokens: status.load.KVUsedTokens, KvTotalTokens: status.load.KVTotalTokens,
		PrefillTokensPerSecond: status.load.PrefillTokensPerSecond, DecodeTokensPerSecond: status.load.DecodeTokensPerSecond,
		AgeMs: status.load.AgeMs,
	}
	if status.readAt.IsZero() {
		load.Running = int64(inFlight)
		return load
	}
	load.AgeMs += time.Since(status.readAt).Milliseconds()
	return load
}

// Order passes an order to the order gate of the engine.
func (s *agentService) Order(
	_ context.Context, r *connect.Request[peerv1.OrderRequest],
) (*connect.Response[peerv1.OrderResponse], error) {
	id, err := order.ParseID(r.Msg.GetId())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply := s.agent.offerOrder(order.NewOrder(id, order.Verb(r.Msg.GetVerb()), r.Msg.GetArgument()))
	return connect.NewResponse(&peerv1.OrderResponse{
		Verdict: string(reply.Verdict()), Outcome: string(reply.Outcome()), Fence: int64(reply.FencingToken()),
	}), nil
}
