package planner

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Plans the roles of 10,000 engines, as the controller does every 250 ms.
func BenchmarkRolesOfManyEngines(b *testing.B) {
	for versions := 1; versions <= 2; versions++ {
		engines := make([]SplitEngine, 10_000)
		for i := range engines {
			engines[i] = SplitEngine{Target: fmt.Sprintf("e%05d", i), Zone: fmt.Sprint(i % 3), Version: fmt.Sprint("v", i%versions), Role: kumquatlug.RolePrefill}
			if i%3 == 0 {
				engines[i].Role = kumquatlug.RoleDecode
			}
		}
		b.Run(fmt.Sprintf("versions=%d", versions), func(b *testing.B) {
			for b.Loop() {
				MaintainSplit(engines, 0.666)
				RestoreVersions(engines, 0.666)
				VersionsWithoutRoom(engines, 0.666)
				ExchangeRoles(engines, 0)
			}
		})
	}
}
