package planner

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Twelve engines start without roles. Assigning one at a time leaves the group partly
// assigned for a minute; assigning all at once leaves no engine to serve meanwhile.
func TestFirstRolesAreAssignedInBatches(t *testing.T) {
	engines := make([]kumquatlug.EngineReport, 12)
	for i := range engines {
		engines[i] = kumquatlug.EngineReport{Target: fmt.Sprint("e", i), Role: kumquatlug.RoleBoth}
	}
	rounds := 0
	for changes := FirstRoles(engines); len(changes) > 0; changes = FirstRoles(engines) {
		if rounds++; len(changes) > 2 || rounds > 6 {
			t.Fatalf("round %d changes %d engines", rounds, len(changes))
		}
		for _, change := range changes {
			for i := range engines {
				if engines[i].Target == change.Target() {
					engines[i].Role = change.To()
				}
			}
		}
	}
	counts := map[kumquatlug.Role]int{}
	for _, e := range engines {
		counts[e.Role]++
	}
	if counts[kumquatlug.RolePrefill] != 6 || counts[kumquatlug.RoleDecode] != 6 {
		t.Errorf("roles %v", counts)
	}
}

func TestFirstRolesWaitForPendingChanges(t *testing.T) {
	engines := []kumquatlug.EngineReport{
		{Target: "e1", Role: kumquatlug.RoleBoth, PendingRole: kumquatlug.RoleDecode},
		{Target: "e2", Role: kumquatlug.RoleBoth},
	}
	if changes := FirstRoles(engines); len(changes) != 0 {
		t.Errorf("%d more changes ordered", len(changes))
	}
}
