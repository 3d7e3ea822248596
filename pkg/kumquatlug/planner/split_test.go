package planner

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func splitEngines(prefill, decode int) []SplitEngine {
	var engines []SplitEngine
	for i := range prefill + decode {
		role := kumquatlug.RoleDecode
		if i < prefill {
			role = kumquatlug.RolePrefill
		}
		engines = append(engines, SplitEngine{Target: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint(i % 3), Role: role})
	}
	return engines
}

// applyChanges applies changes to engines.
func applyChanges(engines []SplitEngine, changes []kumquatlug.RoleChange) {
	for _, c := range changes {
		for i := range engines {
			if engines[i].Target == c.Target() {
				engines[i].Role = c.To()
			}
		}
	}
}

// A third of the engines fails, all on one side. Without changes all remaining engines
// would be on the other side, with none to hand their work to.
func TestSplitIsKeptAfterEngineLoss(t *testing.T) {
	for _, have := range [][2]int{{4, 8}, {8, 4}, {8, 0}, {0, 8}, {1, 1}, {0, 2}, {12, 0}} {
		engines := splitEngines(have[0], have[1])
		applyChanges(engines, MaintainSplit(engines, 0.667))
		n := len(engines)
		prefill := countRole(engines, kumquatlug.RolePrefill)
		if prefill < 1 || prefill == n || n >= 6 && (prefill < n*6/10 || prefill > n*7/10) {
			t.Errorf("%v: %d of %d engines run prefill", have, prefill, n)
		}
		if again := MaintainSplit(engines, 0.667); len(again) != 0 {
			t.Errorf("%v: %d more changes of a balanced split", have, len(again))
		}
	}
	if changes := MaintainSplit(splitEngines(0, 1), 0.667); changes != nil {
		t.Error("the only engine is changed")
	}
}

// If all decode engines are in one data centre, the streams of gateways in the other data
// centres cross to it.
func TestDecodeEnginesAreSpreadOverDataCentres(t *testing.T) {
	engines := splitEngines(0, 12)
	applyChanges(engines, MaintainSplit(engines, 0.75))
	zones := map[string]int{}
	for _, e := range engines {
		if e.Role == kumquatlug.RoleDecode {
			zones[e.Zone]++
		}
	}
	if len(zones) != 3 {
		t.Errorf("decode engines by data centre: %v", zones)
	}
}

// An engine has just started in the decode role, as configured, and the group needs one
// more prefill engine. Changing a busy engine instead would move its streams while the
// new engine is idle.
func TestIdleEngineIsChangedFirst(t *testing.T) {
	engines := splitEngines(7, 6)
	engines[12].Idle = true
	changes := MaintainSplit(engines, 0.667)
	if len(changes) != 2 || changes[0].Target() != engines[12].Target {
		t.Errorf("%v", changes)
	}
	for i := range engines {
		engines[i].Refused = true
	}
	if changes := MaintainSplit(engines, 0.667); len(changes) != 0 {
		t.Errorf("engines that refuse orders are changed: %v", changes)
	}
}
