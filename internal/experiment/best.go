package experiment

import (
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// bestSpan is how long one engine is watched, after a third of it to warm up.
const bestSpan = 600 * kumquatlug.Second

// capacity is what the fleet can do in a second, in engine seconds of work
// answered on time: without a prefix cache, by which loads are set, and with
// one, by which goodput is judged.
type capacity struct {
	plain  float64
	cached float64
}

// capacityOf measures the capacity for a scenario's mix: one engine is kept at
// each of several batch sizes, never idle and never overfull, with prompts in
// the order of their deadlines, and the best size counts for all engines.
//
// With split roles it is the number of engines: a split that always fits the
// mix, and changes that cost nothing.
func capacityOf(s Scenario, seed uint64) capacity {
	if s.split() {
		return capacity{plain: engineCount, cached: engineCount}
	}
	c := capacity{plain: s.best(seed, false)}
	c.cached = c.plain
	if s.shares() {
		c.cached = s.best(seed, true)
	}
	return c
}

func (s Scenario) shares() bool {
	for _, src := range s.sources {
		if src.prefixes > 0 {
			return true
		}
	}
	return false
}

func (s Scenario) best(seed uint64, cached bool) float64 {
	most := 0.0
	for _, batch := range []int{12, 16, 20, 24, 28, 32, 36, 40, 44, 48, 52, 56, 64} {
		most = max(most, s.closedLoop(seed, batch, cached))
	}
	return most * engineCount
}

func (s Scenario) closedLoop(seed uint64, batch int, cached bool) float64 {
	mix := s.arrivals(rand.New(rand.NewPCG(seed, 7)), engineCount)
	e := newEngine(0, kumquatlug.RoleBoth)
	done, next := 0.0, 0
	for now := kumquatlug.Millis(0); now < bestSpan; now += round {
		for len(e.running)+len(e.waiting) < batch {
			c := *mix[next%len(mix)]
			next++
			c.deadline, c.crasher = now+c.deadline-c.arrival, false
			if !cached {
				c.prefix = 0
			}
			c.priority = -int(c.deadline / kumquatlug.Second)
			e.accept(now, &c)
		}
		for _, ev := range e.run(now) {
			if ev.name == eventDone && now <= ev.call.deadline && now > bestSpan/3 {
				done += ev.call.engineSeconds()
			}
		}
	}
	return done / (float64(bestSpan) / 1000 * 2 / 3)
}
