package kumquatlug

import (
	"strings"
	"testing"
)

// All VMs start at the same moment after a power failure. Two starts with the same name
// would overwrite each other's rows, and one could take the other's claim for its own.
func TestSimultaneousStartsGetDistinctIncarnations(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		for _, vm := range []string{"vm-1", "vm-2"} {
			name := NewIncarnation(vm)
			if seen[name] || !strings.HasPrefix(name, vm+".") {
				t.Fatalf("incarnation %s is a duplicate or lacks its VM name as a prefix", name)
			}
			seen[name] = true
		}
	}
}
