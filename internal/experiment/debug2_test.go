package experiment

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

func TestSplit(t *testing.T) {
	s, _ := ScenarioOf("mix-shift")
	w := newWorld(Config{Scenario: s, Policy: PolicyDecisions, Seed: 1}, capacityOf(s, 1))
	last := 0
	for ; w.now < s.span; w.now += round {
		w.step()
		if w.now%30000 == 0 {
			p, d, a := 0, 0, 0
			for _, e := range w.engines {
				switch {
				case !e.accepts():
					a++
				case e.role == kumquatlug.RolePrefill:
					p++
				default:
					d++
				}
			}
			on, all := map[workName]int{}, map[workName]int{}
			for _, c := range w.arrivals[last:w.next] {
				all[c.work]++
			}
			for _, c := range w.arrivals {
				if c.arrival > w.now-60000 && c.arrival <= w.now-30000 {
					if c.outcome == outcomeOnTime {
						on[c.work]++
					} else if c.outcome == outcomeRefused {
						on[c.work+"R"]++
					} else if c.outcome == outcomeLate {
						on[c.work+"L"]++
					}
				}
			}
			last = w.next
			due := 0
			for _, e := range w.entries {
				due += len(e.(*decisions).due)
			}
			t.Logf("%d P %d D %d away %d state %s due %d offered in %d out %d on %v", w.now/1000, p, d, a, w.roles.planner.(*planner.Goodput).State(), due, all[workInput], all[workWrite], on)
		}
	}
}
