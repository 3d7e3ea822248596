package planner

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SplitEngine is the input of [MaintainSplit] for one engine.
type SplitEngine struct {
	// Target is the engine's name, Zone its data centre.
	Target string
	Zone   string
	// Version is the version of its software, empty if it is not known.
	Version string
	// Role is the engine's role or, while a change is pending, its new role.
	Role kumquatlug.Role
	// Idle is set if the engine has no calls in flight, for example because it has
	// just started. Idle engines are changed first, since others would have to hand
	// over their calls.
	Idle bool
	// Refused is set if the engine recently refused an order. It is not changed.
	Refused bool
	// RelativeTime is the time that work takes at the engine relative to the mean of its
	// service, zero if it is not known.
	RelativeTime float64
	// Changing is set while a change is pending, ChangedRecently for some time after an
	// exchange; see [ExchangeRoles].
	Changing, ChangedRecently bool
	// Suitable is set if the engine is known to make events within the pause limit of the
	// streams, also while it is slowed down.
	Suitable bool
}

// MaintainSplit returns the changes that bring a group to a fixed share of prefill engines,
// between 0 and 1, and maintain it as engines join and leave. It returns at most 16
// changes.
//
// It is meant for prompts of thousands of tokens with outputs of a few tokens. Prefill
// capacity is then scarce, decode needs slots more than compute, and an engine that
// fails or restarts in another role leaves one side short. Decode engines are spread
// over the data centres, so that gateways find one nearby. At least one engine remains on
// each side. While engines have several versions, each version keeps decode engines; see
// [RestoreVersions].
func MaintainSplit(engines []SplitEngine, share float64) []kumquatlug.RoleChange {
	if len(engines) < 2 {
		return nil
	}
	want := wantedPrefill(len(engines), share)
	s := newVersionSplit(engines, len(engines)-want)
	changes := s.restore(len(engines))
	for excess := countRole(s.engines, kumquatlug.RolePrefill) - want; excess != 0 && len(changes) < maxChangesPerPlan; {
		from, to, step := kumquatlug.RolePrefill, kumquatlug.RoleDecode, 1
		if excess < 0 {
			from, to, step = kumquatlug.RoleDecode, kumquatlug.RolePrefill, -1
		}
		c, found := s.change(from, to, "split", func(SplitEngine) bool { return true })
		if !found {
			break
		}
		changes = append(changes, c)
		excess -= step
	}
	return changes
}

// wantedPrefill returns how many of a group's engines should run prefill.
func wantedPrefill(engines int, share float64) int {
	return min(max(int(math.Round(share*float64(engines))), 1), engines-1)
}

// maxChangesPerPlan limits the changes in one plan. Orders are sent one after the other,
// a few milliseconds each, so the end of a longer list would be outdated; computing it
// for thousands of engines would block the calling loop.
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

// pickFromLargestZone returns the index of an eligible engine with the given role, preferring those that
// were not exchanged recently, then idle ones, then those whose speed suits the other role
// considerably better, and then the data centre with the most engines in that role, or -1 if
// none may be changed.
func pickFromLargestZone(engines []SplitEngine, role kumquatlug.Role, eligible func(SplitEngine) bool) int {
	zones := map[string]int{}
	for _, e := range engines {
		if e.Role == role {
			zones[e.Zone]++
		}
	}
	best := -1
	for i, e := range engines {
		if e.Role != role || e.Refused || !eligible(e) {
			continue
		}
		if best < 0 || changesBefore(e, engines[best], zones) {
			best = i
		}
	}
	return best
}

// changesBefore reports whether engine a is changed rather than b of the same role.
func changesBefore(a, b SplitEngine, zones map[string]int) bool {
	if a.ChangedRecently != b.ChangedRecently {
		return b.ChangedRecently
	}
	if a.Idle != b.Idle {
		return a.Idle
	}
	first, second := a.RelativeTime, b.RelativeTime
	if a.Role == kumquatlug.RolePrefill {
		// The fast engine goes to decode, the slow one to prefill.
		first, second = second, first
	}
	switch {
	case min(first, second) <= 0:
	case second <= (1-minExchangeGain)*first:
		return true
	case first <= (1-minExchangeGain)*second:
		return false
	}
	return zones[a.Zone] > zones[b.Zone]
}
