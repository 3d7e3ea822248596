package experiment

import (
	"os"
	"testing"
)

func TestDebug(t *testing.T) {
	s, _ := ScenarioOf(os.Getenv("ONLY"))
	best := capacityOf(s, 1)
	for _, b := range []int{8, 16, 24, 32, 40, 48, 64} {
		t.Logf("batch %d: %.2f", b, s.closedLoop(1, b, false)*engineCount)
	}
	w := newWorld(Config{Scenario: s, Policy: PolicyDecisions, Seed: 1}, best)
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
			if os.Getenv("ENG") != "" {
				for _, e := range w.engines {
					t.Logf("   %s run %d wait %d held %d pre %d kv %.0f dead %v | free %d run0 %d weight %.2f state %s", e.name, len(e.running), len(e.waiting), len(e.agent.held), len(e.running)-e.streams(), e.kvUsed(), e.dead, d.targets.Free(e.name), d.targets.Running(e.name), d.health.Weight(w.now, e.name), d.health.State(w.now, e.name))
				}
			}
			for _, e := range w.engines {
				free += d.targets.Free(e.name)
			}
			t.Logf("%d run %.1f (prefill %.1f) wait %.1f kv %.0f | entry0 queue %d sent %d free %d rate %.0f service chat %d doc %d", w.now, float64(run)/12, float64(pre)/12, float64(wait)/12, kv/12,
				d.queue.Len(model), len(d.sent), free, d.queue.DrainRate(w.now, model), d.estimate.Service(w.now, "desk-01", model, 400), d.estimate.Service(w.now, "desk-01", model, 5000))
		}
	}
}
