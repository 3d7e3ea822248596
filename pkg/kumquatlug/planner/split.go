package planner

import (
	"math"
	"sort"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SplitEngine is an engine as [KeepSplit] sees it.
type SplitEngine struct {
	// Target is its name, Zone its data centre.
	Target string
	Zone   string
	// Role is what it does, or what it was ordered to do.
	Role kumquatlug.Role
	// Idle says that it has nothing in hand, as one that has just started: it is
	// changed before others, which would have to part from their work.
	Idle bool
	// Fixed says that it took no order a moment ago; another one is asked.
	Fixed bool
}

// KeepSplit returns the orders that bring a group to a fixed part of engines
// that read prompts, and keeps it there as engines come and go.
//
// It answers prompts of thousands of tokens with outputs of a few: reading is
// then what is scarce, generating needs places more than time, and an engine
// that is lost or comes back in another role leaves the wrong side short.
// Generating engines are spread over the data centres, so that fronts find one
// near; at least one engine stays on each side.
func KeepSplit(engines []SplitEngine, share float64) []kumquatlug.RoleChange {
	if len(engines) < 2 {
		return nil
	}
	sorted := append([]SplitEngine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Target < sorted[j].Target })
	want := int(math.Round(share * float64(len(sorted))))
	want = min(max(want, 1), len(sorted)-1)
	var changes []kumquatlug.RoleChange
	for excess := countRole(sorted, kumquatlug.RolePrefill) - want; excess != 0 && len(changes) < maxChangesPerPlan; {
		from, to, step := kumquatlug.RolePrefill, kumquatlug.RoleDecode, 1
		if excess < 0 {
			from, to, step = kumquatlug.RoleDecode, kumquatlug.RolePrefill, -1
		}
		at := pickFromLargestZone(sorted, from)
		if at < 0 {
			break
		}
		changes = append(changes, kumquatlug.NewRoleChange(sorted[at].Target, from, to, "split"))
		sorted[at].Role = to
		excess -= step
	}
	return changes
}

// maxChangesPerPlan is how many changes one plan holds. Orders are given one after the
// other, some milliseconds each; a longer list would be out of date at its end,
// and working it out for thousands of engines holds its owner up.
const maxChangesPerPlan = 16

func countRole(engines []SplitEngine, role kumquatlug.Role) int {
	n := 0
	for _, e := range engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// pickFromLargestZone returns the index of an engine with this role, an idle one if there is
// any, in the data centre that has most of them; -1 when none may be changed.
func pickFromLargestZone(engines []SplitEngine, role kumquatlug.Role) int {
	zones := map[string]int{}
	for _, e := range engines {
		if e.Role == role {
			zones[e.Zone]++
		}
	}
	best := -1
	for i, e := range engines {
		if e.Role != role || e.Fixed {
			continue
		}
		if best < 0 || e.Idle != engines[best].Idle && e.Idle ||
			e.Idle == engines[best].Idle && zones[e.Zone] > zones[engines[best].Zone] {
			best = i
		}
	}
	return best
}
