package gateway

import (
	"slices"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// urgentChanges returns the changes that give versions a decode engine that have none left: their
// streams can't go on meanwhile. A version whose decode engines are unresponsive waits for
// minMismatch like any other change, since most of these respond again within a second.
func (v *controller) urgentChanges(
	service string, engines []planner.SplitEngine, workers map[string]kumquatlug.Worker, share float64, unresponsive map[string]bool,
) []kumquatlug.RoleChange {
	without := planner.VersionsWithoutRoom(engines, share)
	if !slices.Equal(without, v.versionsWithoutRoom[service]) {
		v.versionsWithoutRoom[service] = without
		v.g.c.Logger.Warn("versions without decode engine: the split has fewer of them than there are versions",
			zap.String("service", service), zap.Strings("versions", without), zap.Int("engines", len(engines)), zap.Float64("part", share))
	}
	return slices.DeleteFunc(planner.RestoreVersions(engines, share), func(c kumquatlug.RoleChange) bool {
		return unresponsive[workers[c.Target()].Version()]
	})
}

// unresponsiveVersions returns the versions that have an unresponsive decode engine.
func unresponsiveVersions(members []kumquatlug.Member, activities map[string]placement.Activity) map[string]bool {
	versions := map[string]bool{}
	for _, m := range members {
		if m.State == kumquatlug.MemberReady && m.Role == kumquatlug.RoleDecode && activities[m.Worker.ID()] == placement.ActivityUnresponsive {
			versions[m.Worker.Version()] = true
		}
	}
	return versions
}
