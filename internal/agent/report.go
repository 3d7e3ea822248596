package agent

import (
	"context"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func itoa(n int) string { return strconv.Itoa(n) }

// States that an agent reports of its target.
const (
	stateServing  = "serving"
	stateLeaving  = "leaving"
	stateStopping = "stopping"
	stateDown     = "down"
	stateChanging = "changing"
)

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
	a.work.setVMLeaving(ask.GetVmLeaving())
	seen := a.watch.seen()
	inHand, begun, leaving, stopping := a.work.counts(ask.GetAddress())
	answer := &peerv1.ReportResponse{
		Target: a.c.Name, Incarnation: a.incarnation, Revision: int64(a.follower.State().Revision()),
		Protocol: string(a.Protocol()), Zone: a.c.Zone, Role: string(seen.state.Role), Leaving: leaving || stopping,
		State: stateOf(seen, leaving, stopping), Begun: begun, ChecksFence: a.c.ChecksFence,
		HeadAgeMs: int64(a.follower.HeadAge()), Logical: a.c.Ring.Logical(),
		Load: loadOf(seen, inHand),
	}
	for _, c := range seen.crashes {
		answer.Crashes = append(answer.Crashes, &peerv1.Crash{Id: c.id, Fingerprints: c.fingerprints})
	}
	return connect.NewResponse(answer), nil
}

func stateOf(seen condition, leaving, stopping bool) string {
	switch {
	case stopping:
		return stateStopping
	case leaving:
		return stateLeaving
	case !seen.healthy:
		return stateDown
	case seen.state.State != "" && seen.state.State != "settled":
		return stateChanging
	default:
		return stateServing
	}
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

// Order is refused: no group hands out orders yet.
func (s *reports) Order(
	_ context.Context, _ *connect.Request[peerv1.OrderRequest],
) (*connect.Response[peerv1.OrderResponse], error) {
	return connect.NewResponse(&peerv1.OrderResponse{Outcome: "refused", Reason: "orders are not wired yet"}), nil
}
