package limit

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// targetState is one target's concurrency.
type targetState struct {
	limit   float64
	running int
	// pendingTokens are the tokens sent that it has not begun to answer.
	pendingTokens [sizeClassCount]int64
	// latencySum, work, tolerable work and samples are decayed sums. Latency by work is the recent
	// slowness, and floor the least of it, rising slowly.
	latencySum       float64
	workSum          float64
	tolerableSum     float64
	sampleSum        float64
	baseline         float64
	sampledAt        kumquatlug.Millis
	sampled          bool
	meanRunning      float64
	runningUpdatedAt kumquatlug.Millis
	limitChangedAt   kumquatlug.Millis
	totalRunning     int64
	waiting          int64
	reportDraw       float64
	limitInUse       bool
	overloaded       bool
	memory           kvMemory
}

// latencyDecayMillis is how far back the slowness looks, in milliseconds: some hundred
// pieces of streams, and short beside the seconds in which a batch turns over.
const latencyDecayMillis = 2000.0

// baselineRiseMillis lets the floor rise slowly, so that a target that got slower for
// good isn't held to its old floor for ever. It is slow because a target that
// is always full shows nobody its floor: a floor that follows within minutes
// makes crowding look normal, and several entries raise it together.
const baselineRiseMillis = float64(kumquatlug.Hour)

func (g *targetState) markStarted(k *Ticket) {
	if k.started {
		return
	}
	k.started = true
	g.pendingTokens[k.sizeClass] -= k.cost
}

// addRunning changes the number in hand and keeps its recent mean.
func (g *targetState) addRunning(now kumquatlug.Millis, delta int) {
	decay := math.Exp(-float64(now-g.runningUpdatedAt) / max(latencyDecayMillis, g.meanLatency()))
	g.meanRunning = decay*g.meanRunning + (1-decay)*float64(g.running)
	g.runningUpdatedAt = now
	g.running += delta
}

func (g *targetState) addSample(now kumquatlug.Millis, latency, work, tolerable float64) {
	elapsedMillis := float64(now - g.sampledAt)
	decay := math.Exp(-elapsedMillis / latencyDecayMillis)
	g.latencySum = decay*g.latencySum + latency
	g.workSum = decay*g.workSum + work
	g.tolerableSum = decay*g.tolerableSum + tolerable
	g.sampleSum = decay*g.sampleSum + 1
	g.updateBaseline(elapsedMillis)
	g.sampled, g.sampledAt = true, now
}

func (g *targetState) updateBaseline(elapsedMillis float64) {
	g.baseline *= 1 + elapsedMillis/baselineRiseMillis
	if current := g.latencyPerWork(); g.baseline == 0 || current < g.baseline {
		g.baseline = current
	}
}

// meanLatency is how long a sample takes to come back.
func (g *targetState) meanLatency() float64 { return g.latencySum / max(g.sampleSum, 1) }

func (g *targetState) latencyPerWork() float64 {
	return g.latencySum / max(g.workSum, math.SmallestNonzeroFloat64)
}

const (
	// overloadBackoff is the cut at a sign of overload, as in congestion control: the
	// queue inside the target empties within some windows.
	overloadBackoff = 0.8
	// minGradient bounds a cut by latency to a half a window, since one
	// very long prompt beside the others looks like crowding for a moment.
	minGradient = 0.5
)

// adjustLimit changes the limit once a window: down by a fixed part at a sign of
// overload, down by how far the slowness lies above its tolerated floor, or up
// by a step where the limit was in use.
func (t *Targets) adjustLimit(now kumquatlug.Millis, g *targetState) {
	window := max(t.config.Window, kumquatlug.Millis(g.meanLatency()))
	if now-g.limitChangedAt < window || !g.sampled && !g.overloaded {
		return
	}
	g.addRunning(now, 0)
	if g.overloaded {
		g.limit *= overloadBackoff
	} else {
		g.limit = t.nextLimit(g)
	}
	g.limit = min(max(g.limit, float64(t.config.Min)), t.maxLimit())
	g.limitChangedAt = now
	g.sampled, g.overloaded = false, false
	g.limitInUse = float64(g.running) >= g.limit/2
}

// increaseStep is the root of the target's whole batch, divided among the entries. It
// is the same for all of them, however much each has: cuts are in proportion,
// so with equal steps their parts even out. With steps that grew with an
// entry's own part the first to have more would keep it, and another one's
// callers would wait before a full line.
func (t *Targets) increaseStep(g *targetState) float64 {
	gateways := float64(t.config.Entries)
	batch := max(float64(g.totalRunning), 1)
	if g.totalRunning == 0 {
		batch = g.limit * gateways
	}
	return math.Sqrt(batch) / gateways
}

// nextLimit cuts from the number that was in hand while it was slow, not from
// the limit itself: latency falls only some time after the limit, and cuts on
// cuts in between would starve the target.
func (t *Targets) nextLimit(g *targetState) float64 {
	step := t.increaseStep(g)
	gradient := g.baseline * g.tolerableSum / max(g.latencySum, 1)
	if gradient < 1 {
		return min(g.limit, g.meanRunning*max(gradient, minGradient)+step)
	}
	if g.limitInUse && g.waiting == 0 {
		return g.limit + step
	}
	return g.limit
}
