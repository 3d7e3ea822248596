package gateway

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// Turn takes a message of another front about a turn.
func (g *Gateway) Turn(m kumquatlug.TurnMessage) {
	g.metrics.permits.WithLabelValues("received", string(m.Turn.Step)).Inc()
	g.scheduler.handlePermit(g.c.Clock.Now(), m)
}

// Met takes that another front made itself known.
func (g *Gateway) Met(peer string) { g.scheduler.peerJoined(peer) }

// Left takes that another front stops.
func (g *Gateway) Left(peer string) {
	g.c.Logger.Info("front stops", zap.String("front", peer))
	g.scheduler.peerLeft(peer)
}

// updatePeers takes the rows of all fronts.
func (g *Gateway) updatePeers(rows map[string][]byte) {
	g.scheduler.setGateways(slices.Collect(maps.Keys(rows)))
	if g.c.Fronts == nil {
		return
	}
	reachable, restarted := g.c.Fronts.Meet(rows)
	g.scheduler.setPeers(reachable, restarted)
	g.c.Logger.Info("fronts met", zap.Int("rows", len(rows)), zap.Int("there", len(reachable)))
}

// stopCoordinating leaves the order of prompts to the other fronts.
func (g *Gateway) stopCoordinating() {
	if g.c.Fronts == nil {
		return
	}
	g.scheduler.stopCoordinating()
	g.c.Fronts.Leave()
}

// newCoordinators returns what tells which front coordinates an engine, nil where fronts can't
// speak with each other.
func newCoordinators(c Config) *coordinator.Fronts {
	if c.Fronts == nil {
		return nil
	}
	return coordinator.New(c.Name)
}

// placerCoordinators returns the same as the interface that a placer takes.
func (sc *scheduler) placerCoordinators() kumquatlug.Coordinators {
	if sc.coordinators == nil {
		return nil
	}
	return sc.coordinators
}

// setPeers takes the names of the fronts that can be asked, and which of them started
// anew. One of these may have said that it stops, and nothing to this front since;
// without its row the two would name different coordinators for good.
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
	sc.coordinators.Left(peer)
}

// stopCoordinating sends the prompts of other fronts to their next coordinators.
func (sc *scheduler) stopCoordinating() {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	sc.coordinators.Leave()
	for _, state := range sc.services {
		state.placer.StopCoordinating()
	}
}

// handlePermit takes a message of another front: to this one as a coordinator, or the answer of
// one that coordinates an engine.
func (sc *scheduler) handlePermit(now kumquatlug.Millis, m kumquatlug.TurnMessage) {
	sc.mu.Lock()
	defer sc.unlockAndSend()
	state, known := sc.services[m.Turn.Service]
	if !known {
		return
	}
	switch m.Turn.Step {
	case kumquatlug.TurnAsked, kumquatlug.TurnOver:
		state.placer.Requested(now, m)
	default:
		if grant, ended := state.placer.Answered(now, m); ended {
			state.deliver(grant)
		}
	}
	sc.deliverGrants(now, state)
}

// deliver tells a prompt that waits that its turn has come, or that it is given up.
func (state *serviceState) deliver(grant placement.Due) {
	if waiting, waits := state.waiting[grant.Key()]; waits {
		delete(state.waiting, grant.Key())
		waiting <- grant
	}
}

// unlockAndSend gives the lock back and sends what was to be said to other fronts. It
// sends outside of the lock, as each message is a call to the system.
func (sc *scheduler) unlockAndSend() {
	var out []kumquatlug.TurnMessage
	for name, state := range sc.services {
		for _, m := range state.placer.Outbox() {
			m.Turn.Service = name
			out = append(out, m)
		}
	}
	var events []coordinator.News
	if sc.coordinators != nil {
		events = sc.coordinators.News()
	}
	sc.mu.Unlock()
	for _, m := range out {
		sc.c.Fronts.Send(m)
	}
	for _, e := range events {
		sc.c.Logger.Info(e.What(), zap.String("front", e.Front()), zap.Int("unanswered", e.Misses()))
	}
}
