package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A stream goes on only at an engine of the software version that began it, so that each version
// with ready engines keeps some that decode, while prompts may be prefilled at any.
const (
	// redundantDecode is how many decode engines a version keeps if the split has room: a role
	// change takes three seconds, in which the streams of a version that has lost its only decode
	// engine can't go on. A version with fewer than minRedundantEngines engines keeps one.
	redundantDecode     = 2
	minRedundantEngines = 3
	// proportionDivisor divides the number of decode engines that is proportional to the engines of a
	// version; it keeps the quotient at least. Its streams would find no room at fewer, and with more
	// each engine that joins or leaves would cost role changes.
	proportionDivisor = 2
)

// RestoreVersions returns the changes that give each version without a decode engine one, as far as
// the split with this share of prefill engines has room. They are the first changes of
// [MaintainSplit], and can't wait: until they are done, streams of these versions can't go on.
func RestoreVersions(engines []SplitEngine, share float64) []kumquatlug.RoleChange {
	if len(engines) < 2 || sameVersion(engines) {
		return nil
	}
	return newVersionSplit(engines, len(engines)-wantedPrefill(len(engines), share)).restore(1)
}

// VersionsWithoutRoom returns the versions that get no decode engine since the split has fewer of
// them than there are versions.
func VersionsWithoutRoom(engines []SplitEngine, share float64) []string {
	if len(engines) < 2 || sameVersion(engines) {
		return nil
	}
	s := newVersionSplit(engines, len(engines)-wantedPrefill(len(engines), share))
	var without []string
	for version := range s.floors {
		if s.floors[version] == 0 && version != "" {
			without = append(without, version)
		}
	}
	slices.Sort(without)
	return without
}

func sameVersion(engines []SplitEngine) bool {
	return !slices.ContainsFunc(engines, func(e SplitEngine) bool { return e.Version != engines[0].Version })
}

// versionSplit is a copy of the engines to which changes are applied as they are planned.
type versionSplit struct {
	engines []SplitEngine
	// floors are the numbers of decode engines that the versions keep at least, nil if all engines
	// have the same version.
	floors map[string]int
	// decoding are the decode engines by version, settled those of them that are not still changing
	// to that role.
	decoding, settled map[string]int
}

// newVersionSplit returns the engines in the order of their names, with the floors at a number of
// engines that may decode.
func newVersionSplit(engines []SplitEngine, decode int) *versionSplit {
	s := &versionSplit{engines: slices.Clone(engines), decoding: map[string]int{}, settled: map[string]int{}}
	slices.SortFunc(s.engines, func(a, b SplitEngine) int { return cmp.Compare(a.Target, b.Target) })
	if sameVersion(engines) {
		return s
	}
	for _, e := range s.engines {
		s.count(e, 1)
	}
	s.setFloors(decode)
	return s
}

// setFloors shares the engines that may decode among the versions: one each, then a second one for
// those with enough engines, then what their proportion requires. Versions of which a second engine remains if one fails come first, then
// those that have decode engines already, then the larger ones.
func (s *versionSplit) setFloors(decode int) {
	engines, total := map[string]int{}, decode
	for _, e := range s.engines {
		engines[e.Version]++
	}
	s.floors = map[string]int{}
	for version := range engines {
		s.floors[version] = 0
	}
	// Streams that began at an engine without a version can't be taken up.
	delete(engines, "")
	for level := 1; level <= redundantDecode; level++ {
		first := func(version string) int {
			rank := 0
			if engines[version] >= 2 {
				rank += 2
			}
			if s.decoding[version] >= level {
				rank++
			}
			return rank
		}
		order := slices.SortedFunc(maps.Keys(engines), func(a, b string) int {
			return cmp.Or(cmp.Compare(first(b), first(a)), cmp.Compare(engines[b], engines[a]), cmp.Compare(a, b))
		})
		for _, version := range order {
			if decode > 0 && (level == 1 || engines[version] >= minRedundantEngines) {
				s.floors[version]++
				decode--
			}
		}
	}
	for _, version := range slices.Sorted(maps.Keys(engines)) {
		if more := min(total*engines[version]/(proportionDivisor*len(s.engines))-s.floors[version], decode); more > 0 {
			s.floors[version] += more
			decode -= more
		}
	}
}

// count adds n to the counts of an engine.
func (s *versionSplit) count(e SplitEngine, n int) {
	if e.Role != kumquatlug.RoleDecode {
		return
	}
	s.decoding[e.Version] += n
	if !e.Changing {
		s.settled[e.Version] += n
	}
}

// mayChange reports whether an engine may change its role.
func (s *versionSplit) mayChange(e SplitEngine) bool {
	switch {
	case s.floors == nil:
		return true
	case e.Changing:
		return false
	case e.Role != kumquatlug.RoleDecode:
		return true
	}
	return s.mayLeaveDecode(e, 0)
}

// mayLeaveDecode reports whether a decode engine may change its role while other engines of its
// version, added ones, start to decode. One that decodes now has to remain.
func (s *versionSplit) mayLeaveDecode(e SplitEngine, added int) bool {
	floor := s.floors[e.Version]
	return floor == 0 || s.decoding[e.Version]+added > floor && s.settled[e.Version] > 1
}

// mayExchange reports whether a decode and a prefill engine may take each other's role.
func (s *versionSplit) mayExchange(decode, prefill SplitEngine) bool {
	added := 0
	if decode.Version == prefill.Version {
		added = 1
	}
	return s.floors == nil || s.mayLeaveDecode(decode, added)
}

// apply sets the role of an engine that is ordered to change.
func (s *versionSplit) apply(target string, to kumquatlug.Role) {
	for i := range s.engines {
		if e := &s.engines[i]; e.Target == target {
			s.count(*e, -1)
			e.Role, e.Changing = to, true
			s.count(*e, 1)
		}
	}
}

// change plans the change of an engine that may change and has a role, any one or that of a
// version. It reports whether there is one.
func (s *versionSplit) change(from, to kumquatlug.Role, reason string, eligible func(SplitEngine) bool) (kumquatlug.RoleChange, bool) {
	at := pickFromLargestZone(s.engines, from, func(e SplitEngine) bool { return s.mayChange(e) && eligible(e) })
	if at < 0 {
		return kumquatlug.RoleChange{}, false
	}
	target := s.engines[at].Target
	s.apply(target, to)
	return kumquatlug.NewRoleChange(target, from, to, reason), true
}

// restore plans changes to decode until the versions have their floors, or level decode engines each if
// that is less.
func (s *versionSplit) restore(level int) []kumquatlug.RoleChange {
	var changes []kumquatlug.RoleChange
	for _, version := range slices.Sorted(maps.Keys(s.floors)) {
		for s.decoding[version] < min(s.floors[version], level) && len(changes) < maxChangesPerPlan {
			c, found := s.change(kumquatlug.RolePrefill, kumquatlug.RoleDecode, "version", func(e SplitEngine) bool { return e.Version == version })
			if !found {
				break
			}
			changes = append(changes, c)
		}
	}
	return changes
}
