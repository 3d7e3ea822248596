package kumquatlug

import (
	"strings"
	"testing"
)

// All VMs start in the same moment after a loss of power. Two starts under one name
// would overwrite each other's rows, and one could take the other's claim for its own.
func TestSimultaneousStartsGetDistinctIncarnations(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		for _, vm := range []string{"vm-1", "vm-2"} {
			name := NewIncarnation(vm)
			if seen[name] || !strings.HasPrefix(name, vm+".") {
				t.Fatalf("%s", name)
			}
			seen[name] = true
		}
	}
}
