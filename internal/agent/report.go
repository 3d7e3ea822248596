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

// reports serves entries' heartbeats and orders.
type reports struct {
	agent *Agent
}

// Report answers a heartbeat with the target's state.
func (s *reports) Report(
	_ context.Context, r *connect.Request[peerv1.ReportRequest],
) (*connect.Response[peerv1.ReportResponse], error) {
	a := s.agent
	ask := r.Msg
	a.c.Ring.Witness(ask.GetLogical())
	a.follower.Learned(peer.RoleEntry, ask.GetAddress(), ask.GetRevision(), kumquatlug.Millis(ask.GetHeadAgeMs()))
	a.hand.merge(ask.GetNotices())
	a.watch.heard(a.c.Clock.Now())
	a.hand.with(func(now kumquatlug.Millis) {
		if ask.GetVmState() != "" {
			a.hand.drain.List(kumquatlug.VMState(ask.GetVmState()), now)
		}
		a.hand.drain.Heard(now)
	})
	return connect.NewResponse(s.answer(ask)), nil
}

func (s *reports) answer(ask *peerv1.ReportRequest) *peerv1.ReportResponse {
	a := s.agent
	seen := a.watch.seen()
	answer := &peerv1.ReportResponse{
		Target: a.c.Name, Incarnation: a.incarnation, Revision: int64(a.follower.State().Revision()),
		Protocol: string(a.Protocol()), Zone: a.c.Zone, Role: string(seen.state.Role), State: string(a.hand.state(seen.healthy)),
		ChecksFence: a.c.ChecksFence, HeadAgeMs: int64(a.follower.HeadAge()), Logical: a.c.Ring.Logical(),
	}
	answer.Cache = eventsAfter(seen.events, ask.GetCacheAfter())
	answer.Notices, answer.NoticesVersion = a.hand.known(ask.GetNoticesAfter())
	a.hand.mu.Lock()
	defer a.hand.mu.Unlock()
	answer.Begun = a.hand.begun[ask.GetAddress()]
	answer.Load = loadOf(seen, len(a.hand.pieces))
	answer.Phase = string(a.hand.phase())
	if a.hand.orders != nil {
		answer.Starts, answer.Fence = int64(a.hand.starts), int64(a.hand.orders.Number())
	}
	return answer
}

// eventsAReport bounds the cache events of one report, at 24 bytes each: 32 in
// each report of the pace of twenty targets are 270 bytes a second. An entry
// that misses some sees a gap and trusts its beliefs less.
const eventsAReport = 32

func eventsAfter(events []engine.CacheEvent, after int64) []*peerv1.CacheEvent {
	var wire []*peerv1.CacheEvent
	for _, e := range events {
		if e.Sequence > after {
			wire = append(wire, &peerv1.CacheEvent{Sequence: e.Sequence, Prefix: e.Prefix, Evicted: e.Evicted})
		}
	}
	return wire[max(0, len(wire)-eventsAReport):]
}

func loadOf(seen condition, inHand int) *peerv1.Load {
	load := &peerv1.Load{
		Running: seen.load.Running, Waiting: seen.load.Waiting,
		KvUsedTokens: seen.load.KVUsed, KvTotalTokens: seen.load.KVTotal,
		PrefillTokensPerSecond: seen.load.PrefillTokens, DecodeTokensPerSecond: seen.load.DecodeTokens,
		AgeMs: seen.load.Age,
	}
	if seen.readAt.IsZero() {
		load.Running = int64(inHand)
		return load
	}
	load.AgeMs += time.Since(seen.readAt).Milliseconds()
	return load
}

// Order offers an order to the gate in front of the engine.
func (s *reports) Order(
	_ context.Context, r *connect.Request[peerv1.OrderRequest],
) (*connect.Response[peerv1.OrderResponse], error) {
	id, err := order.ParseID(r.Msg.GetId())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply := s.agent.offer(order.NewOrder(id, order.Verb(r.Msg.GetVerb()), r.Msg.GetArgument()))
	return connect.NewResponse(&peerv1.OrderResponse{
		Verdict: string(reply.Verdict()), Outcome: string(reply.Outcome()), Fence: int64(reply.Number()),
	}), nil
}
