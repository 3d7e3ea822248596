package gateway

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// PermitReceived handles a permit message of a peer gateway.
func (g *Gateway) PermitReceived(m kumquatlug.PermitMessage) {
	g.metrics.permits.WithLabelValues("received", string(m.Permit.Step)).Inc()
	g.scheduler.handlePermit(g.c.Clock.Now(), m)
}

// PeerJoined handles the announcement of a peer gateway.
func (g *Gateway) PeerJoined(peer string, started bool) {
	g.scheduler.peerJoined(peer)
	g.handoffs.peerJoined(peer)
	g.shares.peerJoined(peer)
	// What it needs to know is not sent for each of the messages that carry the announcement.
	g.streamVersions.peerJoined(peer, started)
	if started {
		g.crashes.peerJoined(peer)
	}
}

// PeerLeft handles the shutdown of a peer gateway.
func (g *Gateway) PeerLeft(peer string) {
	g.c.Logger.Info("front stops", zap.String("front", peer))
	g.scheduler.peerLeft(peer)
	g.handoffs.peerLeft(peer)
	g.streamVersions.peerLeft(peer)
	g.shares.peerLeft(peer)
}

// updatePeers applies the rows of all gateways.
func (g *Gateway) updatePeers(rows map[string][]byte) {
	g.scheduler.setGateways(slices.Collect(maps.Keys(rows)))
	if g.c.Peers == nil {
		return
	}
	reachable, restarted := g.c.Peers.UpdatePeers(rows)
	g.peersKnown.Store(true)
	g.scheduler.setPeers(reachable, restarted)
	g.streamVersions.setPeers(reachable, restarted)
	g.crashes.setPeers(reachable, restarted)
	if g.handoffs.active {
		g.handoffs.setPeers(g.c.Peers.HandoffPeers(), restarted)
	}
	g.scheduler.setPreferredPeers(g.preferredGateways())
	g.shares.setGateways(reachable, g.c.Peers.LinkRates(rows))
	g.c.Logger.Info("fronts met", zap.Int("rows", len(rows)), zap.Int("there", len(reachable)))
}

// preferredGateways returns the gateways that do the work for all: those that accept
// handed-off requests and have no low-bandwidth link.
func (g *Gateway) preferredGateways() []string {
	var names []string
	peers := g.c.Peers.HandoffPeers()
	if g.c.HandoffListener != nil {
		peers = append(peers, kumquatlug.HandoffPeer{Name: g.c.Name, LinkBytesPerMs: g.c.LinkBytesPerMs})
	}
	for _, p := range peers {
		if !kumquatlug.LowBandwidth(p.LinkBytesPerMs) {
			names = append(names, p.Name)
		}
	}
	return names
}

// leaseDelay is how long after its start a gateway with a low-bandwidth link leaves the lease to
// others, which start at the same time. Later it reads the lease as often as all others: read
// more seldom, the lease of a failed holder would be free for seconds longer.
const leaseDelay = 600 * kumquatlug.Millis(1)

// wantsLease reports whether this gateway takes the lease for the work of all gateways.
func (g *Gateway) wantsLease(held bool) bool {
	return held || !kumquatlug.LowBandwidth(g.c.LinkBytesPerMs) || g.c.Clock.Now()-g.startedAt >= leaseDelay
}

func (sc *scheduler) setPreferredPeers(names []string) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	sc.coordinators.SetPreferred(names)
}

// stopCoordinating hands the coordination of engines over to the other gateways.
func (g *Gateway) stopCoordinating() {
	if g.c.Peers == nil {
		return
	}
	g.scheduler.stopCoordinating()
	g.streamVersions.handOver()
	g.shares.leave()
	g.c.Peers.AnnounceStop()
}

// newCoordinators returns the assignment of engines to coordinators, nil if gateways do
// not communicate.
func newCoordinators(c Config) *coordinator.Gateways {
	if c.Peers == nil {
		return nil
	}
	return coordinator.New(c.Name)
}

// placerCoordinators returns sc.coordinators as the interface that a placer expects.
func (sc *scheduler) placerCoordinators() kumquatlug.Coordinators {
	if sc.coordinators == nil {
		return nil
	}
	return sc.coordinators
}

// setPeers sets the names of the reachable gateways, and which of them have restarted. A
// restarted gateway may have announced its shutdown before and may have sent nothing to
// this gateway since; without its row the two would disagree about the coordinators
// permanently.
func (sc *scheduler) setPeers(reachable, restarted []string) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	sc.coordinators.Set(reachable)
	for _, peer := range restarted {
		sc.coordinators.Add(peer)
	}
}

func (sc *scheduler) peerJoined(peer string) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	sc.coordinators.Add(peer)
}

func (sc *scheduler) peerLeft(peer string) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	sc.coordinators.PeerLeft(peer)
}

// stopCoordinating sends the prompts of other gateways to their next coordinators.
func (sc *scheduler) stopCoordinating() {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	sc.coordinators.StopCoordinating()
	for _, state := range sc.services {
		state.placer.StopCoordinating()
	}
}

// handlePermit handles a permit message: a request to this gateway as the coordinator of
// an engine, or the response of another coordinator.
func (sc *scheduler) handlePermit(now kumquatlug.Millis, m kumquatlug.PermitMessage) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state, known := sc.services[m.Permit.Service]
	if !known {
		return
	}
	switch m.Permit.Step {
	case kumquatlug.PermitRequested, kumquatlug.PermitReleased:
		state.placer.HandleRequest(now, m)
	default:
		if due, ended := state.placer.HandleResponse(now, m); ended {
			state.deliver(due)
		}
	}
	sc.deliverDue(now, state)
}

// deliver notifies a queued prompt that its permit was granted or refused.
func (state *serviceState) deliver(due placement.Due) {
	if waiting, found := state.waiting[due.Key()]; found {
		delete(state.waiting, due.Key())
		waiting <- due
	}
}

// unlockAndSend releases the lock and sends the pending messages to other gateways. It
// sends without the lock because each message is a system call.
func (sc *scheduler) unlockAndSend() {
	var out []kumquatlug.PermitMessage
	var slots []serviceSlots
	for name, state := range sc.services {
		for _, m := range state.placer.Outbox() {
			m.Permit.Service = name
			out = append(out, m)
		}
		if report := state.placer.SlotReport(); !report.Empty() {
			slots = append(slots, serviceSlots{service: name, report: report})
		}
	}
	var events []coordinator.Change
	if sc.coordinators != nil {
		events = sc.coordinators.Changes()
	}
	sc.mu.Unlock()
	for _, m := range out {
		sc.c.Peers.Send(m)
	}
	sc.sendSlots(slots)
	for _, e := range events {
		sc.c.Logger.Info(e.Event(), zap.String("front", e.Gateway()), zap.Int("unanswered", e.Timeouts()))
	}
}
