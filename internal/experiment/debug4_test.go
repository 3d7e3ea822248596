package experiment

import "testing"

func TestSlowFirst(t *testing.T) {
	s, _ := ScenarioOf("short-alone")
	w := newWorld(Config{Scenario: s, Policy: PolicyDecisions, Seed: 1}, capacityOf(s, 1))
	for ; w.now < s.span; w.now += round {
		w.step()
	}
	n := 0
	for _, c := range w.arrivals {
		if c.arrival > s.warm && c.first-c.arrival > 600 {
			n++
			if n < 25 {
				t.Logf("%s at %d sent +%d first +%d prompt %d target %v sends %d", c.id, c.arrival, c.sentAt-c.arrival, c.first-c.arrival, c.prompt, c.target, c.sends)
			}
		}
	}
	t.Log(n, len(w.arrivals))
}
