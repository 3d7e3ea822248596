package planner

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// firstRolesDivisor sets how many engines are assigned their first role concurrently:
// one in five, while the others continue to run both phases. It is the same share as
// the default of Config.MaxChangingShare. Assigning one engine at a time took more than a
// minute for twelve engines.
const firstRolesDivisor = 5

// FirstRoles returns the changes that assign a role to engines that run both phases or
// lost their role in a crash. Each gets the role with fewer engines. A planner compares
// splits and needs an initial one: without it, engines that start without a role would
// run both phases forever, and prefill would never be separated from decode.
//
// Callers must pass the engines in the same order on every call.
func FirstRoles(engines []kumquatlug.EngineReport) []kumquatlug.RoleChange {
	counts := map[kumquatlug.Role]int{}
	changing := 0
	for _, e := range engines {
		if e.PendingRole != "" {
			changing++
			counts[e.PendingRole]++
			continue
		}
		counts[e.Role]++
	}
	var changes []kumquatlug.RoleChange
	for _, e := range engines {
		if changing >= max(1, len(engines)/firstRolesDivisor) {
			break
		}
		if e.PendingRole != "" || e.Role == kumquatlug.RolePrefill || e.Role == kumquatlug.RoleDecode {
			continue
		}
		to := kumquatlug.RoleDecode
		if counts[kumquatlug.RolePrefill] < counts[kumquatlug.RoleDecode] {
			to = kumquatlug.RolePrefill
		}
		counts[to]++
		changing++
		changes = append(changes, kumquatlug.NewRoleChange(e.Target, e.Role, to, "first role"))
	}
	return changes
}
