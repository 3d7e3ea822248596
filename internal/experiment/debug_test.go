package experiment

import (
	"math/rand/v2"
	"os"
	"testing"
)

func TestDebug(t *testing.T) {
	s, _ := ScenarioOf(os.Getenv("ONLY"))
	best := capacityOf(s, 1)
	for _, b := range []int{8, 16, 24, 32, 40, 48, 64} {
		t.Logf("batch %d: %.2f", b, s.closedLoop(1, b, false)*engineCount)
	}
	w := &world{config: Config{Scenario: s, Policy: PolicyDecisions, Seed: 1}, best: best, random: rand.New(rand.NewPCG(1, 1))}
	w.arrivals = s.arrivals(rand.New(rand.NewPCG(1, 2)), best.plain)
	for n := range engineCount {
		w.engines = append(w.engines, newEngine(n, s.roleOf(n)))
	}
	for n := range entryCount {
		w.entries = append(w.entries, newPolicy(w, n))
	}
	w.planner = newPlanner(w)
	for ; w.now < s.span; w.now += round {
		w.step()
		if w.now%20000 == 0 {
			d := w.entries[0].(*decisions)
			run, wait, pre, kv := 0, 0, 0, 0.0
			for _, e := range w.engines {
				run += len(e.running)
				wait += len(e.waiting)
				pre += len(e.running) - e.streams()
				kv += e.kvUsed()
			}
			free := 0
			for _, e := range w.engines {
				free += d.targets.Free(e.name)
			}
			t.Logf("%d run %.1f (prefill %.1f) wait %.1f kv %.0f | entry0 queue %d sent %d free %d rate %.0f gap %.1f service chat %d doc %d", w.now, float64(run)/12, float64(pre)/12, float64(wait)/12, kv/12,
				d.queue.Len(model), len(d.sent), free, d.queue.DrainRate(w.now, model), d.estimate.Gap(model), d.estimate.Service(w.now, "desk-01", model, 400), d.estimate.Service(w.now, "desk-01", model, 5000))
		}
	}
}
