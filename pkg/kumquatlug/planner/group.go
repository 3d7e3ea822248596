package planner

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// engine is what the planner knows of one engine.
type engine struct {
	name       string
	role       kumquatlug.Role
	reportedAt kumquatlug.Millis
	inFlight   int
	// hadQueue says that the last report showed a queue.
	hadQueue bool
	// pendingRole is the role that it was ordered to take; empty when it was not.
	pendingRole kumquatlug.Role
	orderedAt   kumquatlug.Millis
	// orderedElsewhere says that another planner ordered it.
	orderedElsewhere bool
	// roleSince is when it took its role, as far as is known.
	roleSince kumquatlug.Millis
}

// group is the engines in name order, and what they can do in each role.
type group struct {
	engines     []*engine
	prefillRate float64
	decodeRate  float64
}

func newGroup(prefillRate, decodeRate float64) *group {
	return &group{prefillRate: prefillRate, decodeRate: decodeRate}
}

func (g *group) size() int { return len(g.engines) }

func (g *group) find(name string) (int, bool) {
	return slices.BinarySearchFunc(g.engines, name, func(e *engine, name string) int {
		return cmp.Compare(e.name, name)
	})
}

// report takes in e and returns how long a change took that it shows as done,
// else zero. Engines with another role than prefill or decode are not the
// planner's.
func (g *group) report(now kumquatlug.Millis, e kumquatlug.EngineReport) kumquatlug.Millis {
	if e.Role != kumquatlug.RolePrefill && e.Role != kumquatlug.RoleDecode {
		return 0
	}
	at, ok := g.find(e.Target)
	if !ok {
		g.engines = slices.Insert(g.engines, at, &engine{name: e.Target, role: e.Role, reportedAt: e.TakenAt, roleSince: now})
	}
	known := g.engines[at]
	if e.TakenAt < known.reportedAt {
		return 0
	}
	g.observe(known, e)
	known.reportedAt = e.TakenAt
	known.inFlight = e.InHand
	known.adoptOrder(now, e.Going)
	return known.setRole(now, e.Role)
}

// adoptOrder takes over an order of another planner. When the lease on the group
// changes hands, engines may be on their way; a planner that did not count them
// would send the next ones away on top.
func (e *engine) adoptOrder(now kumquatlug.Millis, role kumquatlug.Role) {
	if e.orderedElsewhere || (e.pendingRole == "" && role != "") {
		e.orderedElsewhere = role != ""
		e.pendingRole = role
		e.orderedAt = now
	}
}

// setRole records the role that the engine says it has. A report from before the
// order still shows the old one, which says nothing about the order.
func (e *engine) setRole(now kumquatlug.Millis, role kumquatlug.Role) kumquatlug.Millis {
	if e.role == role {
		return 0
	}
	e.role = role
	e.roleSince = now
	if e.pendingRole != role {
		return 0
	}
	e.pendingRole = ""
	if e.orderedElsewhere {
		e.orderedElsewhere = false
		return 0
	}
	return max(now-e.orderedAt, 1)
}

// observe learns from a report that was not seen yet; the holder of the group
// shows the last one again until there is a newer.
func (g *group) observe(known *engine, e kumquatlug.EngineReport) {
	if e.TakenAt == known.reportedAt {
		return
	}
	if known.hadQueue && e.Waiting > 0 && known.role == e.Role {
		g.updateRates(e)
	}
	known.hadQueue = e.Waiting > 0
}

// rateWeight is the weight of one report in the rates of the group.
const rateWeight = 0.05

// updateRates takes the rates of an engine that had a queue in this report and in the
// one before: the rate of an idle engine tells how little it was given. A queue
// in one report may be a call that has just arrived, and the rate is that of
// the time before. Learned from such calls, the rate of prompts falls to what
// is asked for, that side seems to need ever more engines, and the split runs
// away; one sees it by a few engines left on the other side with all the queue.
func (g *group) updateRates(e kumquatlug.EngineReport) {
	if e.Role == kumquatlug.RolePrefill && e.PrefillRate > 0 {
		g.prefillRate += rateWeight * (e.PrefillRate - g.prefillRate)
	}
	if e.Role == kumquatlug.RoleDecode && e.DecodeRate > 0 {
		g.decodeRate += rateWeight * (e.DecodeRate - g.decodeRate)
	}
}

func (g *group) refused(name string) {
	if at, ok := g.find(name); ok {
		g.engines[at].pendingRole = ""
		g.engines[at].orderedElsewhere = false
	}
}

func (g *group) remove(name string) {
	if at, ok := g.find(name); ok {
		g.engines = slices.Delete(g.engines, at, at+1)
	}
}

// enoughReports reports whether at least a part of the engines has reported lately.
// Engines that are away need not: a change may keep them silent.
func (g *group) enoughReports(now, stale kumquatlug.Millis, share float64) bool {
	fresh, expected := 0, 0
	for _, e := range g.engines {
		if e.pendingRole != "" {
			continue
		}
		expected++
		if now-e.reportedAt <= stale {
			fresh++
		}
	}
	return expected > 0 && float64(fresh) >= share*float64(expected)
}

// split counts the engines by the role that they have or are going to.
func (g *group) split() (int, int) {
	prefill, decode := 0, 0
	for _, e := range g.engines {
		if cmp.Or(e.pendingRole, e.role) == kumquatlug.RolePrefill {
			prefill++
		} else {
			decode++
		}
	}
	return prefill, decode
}

// changing counts the engines that were ordered and have not arrived.
func (g *group) changing() int {
	n := 0
	for _, e := range g.engines {
		if e.pendingRole != "" {
			n++
		}
	}
	return n
}

// orderChanges orders up to count engines from one role to another, those with the
// least in hand first, with no more than limit away at once.
func (g *group) orderChanges(
	now kumquatlug.Millis, from, to kumquatlug.Role, count, limit int, dwell kumquatlug.Millis, reason string,
) []kumquatlug.RoleChange {
	count = min(count, limit-g.changing())
	var changes []kumquatlug.RoleChange
	for _, e := range g.movable(now, from, dwell) {
		if len(changes) >= count {
			break
		}
		e.pendingRole = to
		e.orderedAt = now
		changes = append(changes, kumquatlug.NewRoleChange(e.name, from, to, reason))
	}
	return changes
}

// movable returns the engines that may leave a role, the least busy first.
func (g *group) movable(now kumquatlug.Millis, from kumquatlug.Role, dwell kumquatlug.Millis) []*engine {
	var movable []*engine
	for _, e := range g.engines {
		if e.role == from && e.pendingRole == "" && now-e.roleSince >= dwell {
			movable = append(movable, e)
		}
	}
	slices.SortStableFunc(movable, func(a, b *engine) int { return cmp.Compare(a.inFlight, b.inFlight) })
	return movable
}
