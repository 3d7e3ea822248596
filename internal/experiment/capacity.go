package experiment

import (
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// measurementTime is the duration of a capacity measurement. The first third of it is
// warm-up.
const measurementTime = 600 * kumquatlug.Second

// capacity is the fleet's maximum goodput, in engine seconds of work completed on time per
// second. Loads are set relative to the capacity without a prefix cache, goodput is
// reported relative to the capacity with one.
type capacity struct {
	uncached float64
	cached   float64
}

// measureCapacity measures the capacity for a scenario's mix of requests: one engine runs in
// a closed loop at each of several batch sizes, never idle and never overloaded, with
// prompts in the order of their deadlines. The result of the best size, multiplied by the
// number of engines, is the capacity.
//
// With split roles the capacity is the number of engines, as with a split that always fits
// the mix and role changes without cost.
func measureCapacity(s Scenario, seed uint64) capacity {
	if s.splitRoles() {
		return capacity{uncached: engineCount, cached: engineCount}
	}
	c := capacity{uncached: s.maxThroughput(seed, false)}
	c.cached = c.uncached
	if s.sharesPrefixes() {
		c.cached = s.maxThroughput(seed, true)
	}
	return c
}

func (s Scenario) sharesPrefixes() bool {
	for _, src := range s.sources {
		if src.prefixes > 0 {
			return true
		}
	}
	return false
}

// maxThroughput returns the throughput of the fleet at the best batch size.
func (s Scenario) maxThroughput(seed uint64, cached bool) float64 {
	highest := 0.0
	for _, batch := range []int{12, 16, 20, 24, 28, 32, 36, 40, 44, 48, 52, 56, 64} {
		highest = max(highest, s.closedLoop(seed, batch, cached))
	}
	return highest * engineCount
}

// closedLoop returns the throughput of one engine with a constant number of calls, in engine
// seconds of work completed on time per second.
func (s Scenario) closedLoop(seed uint64, batch int, cached bool) float64 {
	calls := s.arrivals(rand.New(rand.NewPCG(seed, 7)), engineCount)
	e := newEngine(0, kumquatlug.RoleBoth)
	completed, next := 0.0, 0
	for now := kumquatlug.Millis(0); now < measurementTime; now += timeStep {
		for len(e.running)+len(e.waiting) < batch {
			c := *calls[next%len(calls)]
			next++
			c.deadline, c.crasher = now+c.deadline-c.arrival, false
			if !cached {
				c.prefixID = 0
			}
			c.enginePriority = -int(c.deadline / kumquatlug.Second)
			e.accept(now, &c)
		}
		for _, ev := range e.step(now) {
			if ev.kind == eventDone && now <= ev.call.deadline && now > measurementTime/3 {
				completed += ev.call.engineSeconds()
			}
		}
	}
	return completed / (float64(measurementTime) / 1000 * 2 / 3)
}
