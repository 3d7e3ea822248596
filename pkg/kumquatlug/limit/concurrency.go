package limit

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// targetState is the limiter state of one target.
type targetState struct {
	limit   float64
	running int
	// pendingTokens are the tokens sent that the target has not started to respond to,
	// by size class.
	pendingTokens [sizeClassCount]int64
	// latencySum, workSum, tolerableSum and sampleSum decay exponentially. latencySum
	// divided by workSum is the recent latency per unit of work; baseline is its
	// minimum, which rises slowly.
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

// latencyDecayMs is the time constant of the latency average in milliseconds: about
// a hundred chunks of streams, and short compared with the seconds in which a batch
// turns over.
const latencyDecayMs = 2000.0

// baselineRiseMs is the time constant in milliseconds of the slow rise of the
// baseline, so that a target that got slower for good isn't held to its old baseline
// for ever. It is long because a target that is always full never shows its baseline:
// one that follows within minutes makes a crowded batch look normal, and several
// gateways raise it together.
const baselineRiseMs = float64(kumquatlug.Hour)

func (g *targetState) markStarted(k *Ticket) {
	if k.started {
		return
	}
	k.started = true
	g.pendingTokens[k.sizeClass] -= k.cost
}

// addRunning changes the number of requests in flight and updates its recent mean.
func (g *targetState) addRunning(now kumquatlug.Millis, delta int) {
	decay := math.Exp(-float64(now-g.runningUpdatedAt) / max(latencyDecayMs, g.meanLatency()))
	g.meanRunning = decay*g.meanRunning + (1-decay)*float64(g.running)
	g.runningUpdatedAt = now
	g.running += delta
}

func (g *targetState) addSample(now kumquatlug.Millis, latency, work, tolerable float64) {
	elapsedMs := float64(now - g.sampledAt)
	decay := math.Exp(-elapsedMs / latencyDecayMs)
	g.latencySum = decay*g.latencySum + latency
	g.workSum = decay*g.workSum + work
	g.tolerableSum = decay*g.tolerableSum + tolerable
	g.sampleSum = decay*g.sampleSum + 1
	g.updateBaseline(elapsedMs)
	g.sampled, g.sampledAt = true, now
}

func (g *targetState) updateBaseline(elapsedMs float64) {
	g.baseline *= 1 + elapsedMs/baselineRiseMs
	if current := g.latencyPerWork(); g.baseline == 0 || current < g.baseline {
		g.baseline = current
	}
}

// meanLatency returns the mean time until a sample arrives.
func (g *targetState) meanLatency() float64 { return g.latencySum / max(g.sampleSum, 1) }

func (g *targetState) latencyPerWork() float64 {
	return g.latencySum / max(g.workSum, math.SmallestNonzeroFloat64)
}

const (
	// overloadBackoff is the multiplicative decrease on a sign of overload, as in
	// congestion control: the queue inside the target drains within a few windows.
	overloadBackoff = 0.8
	// minGradient bounds the decrease by latency to half per window, since one very
	// long prompt among the others looks like overload for a moment.
	minGradient = 0.5
)

// adjustLimit changes the limit at most once per window: down by a fixed factor on a
// sign of overload, down in proportion to the latency above the tolerated baseline, or
// up by a step if the limit was in use.
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

// increaseStep is the square root of the target's whole batch, divided by the number of
// gateways. It is the same for all gateways, whatever share each has: decreases are
// proportional, so equal steps make the shares converge. If the step grew with a
// gateway's own share, the first to have more would keep it, and callers of another
// gateway would wait in a full queue.
func (t *Targets) increaseStep(g *targetState) float64 {
	gateways := float64(t.config.Gateways)
	batch := max(float64(g.totalRunning), 1)
	if g.totalRunning == 0 {
		batch = g.limit * gateways
	}
	return math.Sqrt(batch) / gateways
}

// nextLimit decreases from the number of requests in flight while latency was high, not
// from the limit itself: latency falls some time after the limit, and repeated
// decreases in between would starve the target.
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
