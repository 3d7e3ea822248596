package experiment

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

func TestPlanners(t *testing.T) {
	s, _ := ScenarioOf("mix-half")
	for seed := range uint64(3) {
		best := capacityOf(s, seed+1)
		for name, pl := range map[string]kumquatlug.RolePlanner{
			"static": planner.Static{}, "kochi": planner.New(planner.Config{}),
			"b4-.9":    planner.New(planner.Config{Price: 4, Enough: 0.9, Dwell: 2 * kumquatlug.Minute}),
			"b4-.85":   planner.New(planner.Config{Price: 4, Enough: 0.85, Dwell: 2 * kumquatlug.Minute}),
			"b8-.9":    planner.New(planner.Config{Price: 8, Enough: 0.9, Dwell: 2 * kumquatlug.Minute}),
			"b4-.9-d3": planner.New(planner.Config{Price: 4, Enough: 0.9, Dwell: 3 * kumquatlug.Minute}),
			"b4-.88":   planner.New(planner.Config{Price: 4, Enough: 0.88, Dwell: 3 * kumquatlug.Minute}),
		} {
			w := newWorld(Config{Scenario: s, Policy: PolicyDecisions, Seed: seed + 1}, best)
			w.roles.planner = pl
			for end := s.span + s.tail(); w.now < end; w.now += round {
				w.step()
			}
			r := w.result()
			t.Logf("seed %d %s goodput %.3f changes %d", seed+1, name, r.Goodput, r.RoleChanges)
		}
	}
}
