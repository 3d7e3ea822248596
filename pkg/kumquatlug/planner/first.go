package planner

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// firstRolesDivisor is the part of a group, one in five, whose engines are given their
// first role at once; the others go on doing both meanwhile. It is the part that
// a planner may have away (Config.AwayPart). One engine at a time took over a
// minute for twelve.
const firstRolesDivisor = 5

// FirstRoles returns the orders that give engines which do both, or lost their
// role in a crash, the role that fewer have. A planner compares splits and needs
// one to begin with: without this, engines that start without a role would do
// both for ever, and nobody's prompts would run apart from the outputs.
//
// Engines are to come in an order that does not change from call to call.
func FirstRoles(engines []kumquatlug.EngineReport) []kumquatlug.RoleChange {
	counts := map[kumquatlug.Role]int{}
	changing := 0
	for _, e := range engines {
		if e.Going != "" {
			changing++
			counts[e.Going]++
			continue
		}
		counts[e.Role]++
	}
	var changes []kumquatlug.RoleChange
	for _, e := range engines {
		if changing >= max(1, len(engines)/firstRolesDivisor) {
			break
		}
		if e.Going != "" || e.Role == kumquatlug.RolePrefill || e.Role == kumquatlug.RoleDecode {
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
