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
	g.metrics.turns.WithLabelValues("received", string(m.Turn.Step)).Inc()
	g.scheduler.turn(g.c.Clock.Now(), m)
}

// Met takes that another front made itself known.
func (g *Gateway) Met(front string) { g.scheduler.met(front) }

// Left takes that another front stops.
func (g *Gateway) Left(front string) {
	g.c.Logger.Info("front stops", zap.String("front", front))
	g.scheduler.left(front)
}

// meetFronts takes the rows of all fronts.
func (g *Gateway) meetFronts(rows map[string][]byte) {
	g.scheduler.setFronts(slices.Collect(maps.Keys(rows)))
	if g.c.Fronts == nil {
		return
	}
	there, anew := g.c.Fronts.Meet(rows)
	g.scheduler.meet(there, anew)
	g.c.Logger.Info("fronts met", zap.Int("rows", len(rows)), zap.Int("there", len(there)))
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

// coordinatorsOf returns the same as the interface that a placer takes.
func (sc *scheduler) coordinatorsOf() kumquatlug.Coordinators {
	if sc.coordinators == nil {
		return nil
	}
	return sc.coordinators
}

// meet takes the names of the fronts that can be asked, and which of them started
// anew. One of these may have said that it stops, and nothing to this front since;
// without its row the two would name different coordinators for good.
func (sc *scheduler) meet(there, anew []string) {
	sc.mu.Lock()
	defer sc.unlock()
	sc.coordinators.Set(there)
	for _, front := range anew {
		sc.coordinators.Add(front)
	}
}

func (sc *scheduler) met(front string) {
	sc.mu.Lock()
	defer sc.unlock()
	sc.coordinators.Add(front)
}

func (sc *scheduler) left(front string) {
	sc.mu.Lock()
	defer sc.unlock()
	sc.coordinators.Left(front)
}

// stopCoordinating sends the prompts of other fronts to their next coordinators.
func (sc *scheduler) stopCoordinating() {
	sc.mu.Lock()
	defer sc.unlock()
	sc.coordinators.Leave()
	for _, g := range sc.services {
		g.placer.StopCoordinating()
	}
}

// turn takes a message of another front: to this one as a coordinator, or the answer of
// one that coordinates an engine.
func (sc *scheduler) turn(now kumquatlug.Millis, m kumquatlug.TurnMessage) {
	sc.mu.Lock()
	defer sc.unlock()
	g, known := sc.services[m.Turn.Service]
	if !known {
		return
	}
	switch m.Turn.Step {
	case kumquatlug.TurnAsked, kumquatlug.TurnOver:
		g.placer.Requested(now, m)
	default:
		if due, ended := g.placer.Answered(now, m); ended {
			g.tell(due)
		}
	}
	sc.pump(now, g)
}

// tell tells a prompt that waits that its turn has come, or that it is given up.
func (g *group) tell(due placement.Due) {
	if tell, waits := g.turns[due.Key()]; waits {
		delete(g.turns, due.Key())
		tell <- due
	}
}

// unlock gives the lock back and sends what was to be said to other fronts. It
// sends outside of the lock, as each message is a call to the system.
func (sc *scheduler) unlock() {
	var out []kumquatlug.TurnMessage
	for name, g := range sc.services {
		for _, m := range g.placer.Outbox() {
			m.Turn.Service = name
			out = append(out, m)
		}
	}
	var news []coordinator.News
	if sc.coordinators != nil {
		news = sc.coordinators.News()
	}
	sc.mu.Unlock()
	for _, m := range out {
		sc.c.Fronts.Send(m)
	}
	for _, n := range news {
		sc.c.Logger.Info(n.What(), zap.String("front", n.Front()), zap.Int("unanswered", n.Misses()))
	}
}
