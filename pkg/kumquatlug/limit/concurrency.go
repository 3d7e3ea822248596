package limit

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// target is one target's concurrency.
type target struct {
	limit   float64
	running int
	// pending are the tokens sent that it has not begun to answer.
	pending [sizes]int64
	// latency, work, tolerable work and samples are decayed sums. Latency by work is the recent
	// slowness, and floor the least of it, rising slowly.
	latency    float64
	work       float64
	tolerable  float64
	samples    float64
	floor      float64
	sampledAt  kumquatlug.Millis
	sampled    bool
	busy       float64
	countedAt  kumquatlug.Millis
	changed    kumquatlug.Millis
	all        int64
	waiting    int64
	coin       float64
	crowded    bool
	overloaded bool
	memory     memory
}

// recentSpan is how far back the slowness looks, in milliseconds: some hundred
// pieces of streams, and short beside the seconds in which a batch turns over.
const recentSpan = 2000.0

// floorDoubles lets the floor rise slowly, so that a target that got slower for
// good isn't held to its old floor for ever. It is slow because a target that
// is always full shows nobody its floor: a floor that follows within minutes
// makes crowding look normal, and several entries raise it together.
const floorDoubles = float64(kumquatlug.Hour)

func (g *target) start(k *Ticket) {
	if k.started {
		return
	}
	k.started = true
	g.pending[k.size] -= k.cost
}

// count changes the number in hand and keeps its recent mean.
func (g *target) count(now kumquatlug.Millis, by int) {
	keep := math.Exp(-float64(now-g.countedAt) / max(recentSpan, g.delay()))
	g.busy = keep*g.busy + (1-keep)*float64(g.running)
	g.countedAt = now
	g.running += by
}

func (g *target) sample(now kumquatlug.Millis, latency, work, tolerable float64) {
	span := float64(now - g.sampledAt)
	keep := math.Exp(-span / recentSpan)
	g.latency = keep*g.latency + latency
	g.work = keep*g.work + work
	g.tolerable = keep*g.tolerable + tolerable
	g.samples = keep*g.samples + 1
	g.learnFloor(span)
	g.sampled, g.sampledAt = true, now
}

func (g *target) learnFloor(span float64) {
	g.floor *= 1 + span/floorDoubles
	if seen := g.slowness(); g.floor == 0 || seen < g.floor {
		g.floor = seen
	}
}

// delay is how long a sample takes to come back.
func (g *target) delay() float64 { return g.latency / max(g.samples, 1) }

func (g *target) slowness() float64 { return g.latency / max(g.work, math.SmallestNonzeroFloat64) }

const (
	// backoff is the cut at a sign of overload, as in congestion control: the
	// queue inside the target empties within some windows.
	backoff = 0.8
	// leastGradient bounds a cut by latency to a half a window, since one
	// very long prompt beside the others looks like crowding for a moment.
	leastGradient = 0.5
)

// adjust changes the limit once a window: down by a fixed part at a sign of
// overload, down by how far the slowness lies above its tolerated floor, or up
// by a step where the limit was in use.
func (t *Targets) adjust(now kumquatlug.Millis, g *target) {
	window := max(t.config.Window, kumquatlug.Millis(g.delay()))
	if now-g.changed < window || !g.sampled && !g.overloaded {
		return
	}
	g.count(now, 0)
	if g.overloaded {
		g.limit *= backoff
	} else {
		g.limit = t.nextLimit(g)
	}
	g.limit = min(max(g.limit, float64(t.config.Min)), t.most())
	g.changed = now
	g.sampled, g.overloaded = false, false
	g.crowded = float64(g.running) >= g.limit/2
}

// step is the root of the target's whole batch, divided among the entries. It
// is the same for all of them, however much each has: cuts are in proportion,
// so with equal steps their parts even out. With steps that grew with an
// entry's own part the first to have more would keep it, and another one's
// callers would wait before a full line.
func (t *Targets) step(g *target) float64 {
	entries := float64(t.config.Entries)
	batch := max(float64(g.all), 1)
	if g.all == 0 {
		batch = g.limit * entries
	}
	return math.Sqrt(batch) / entries
}

// nextLimit cuts from the number that was in hand while it was slow, not from
// the limit itself: latency falls only some time after the limit, and cuts on
// cuts in between would starve the target.
func (t *Targets) nextLimit(g *target) float64 {
	step := t.step(g)
	gradient := g.floor * g.tolerable / max(g.latency, 1)
	if gradient < 1 {
		return min(g.limit, g.busy*max(gradient, leastGradient)+step)
	}
	if g.crowded && g.waiting == 0 {
		return g.limit + step
	}
	return g.limit
}
