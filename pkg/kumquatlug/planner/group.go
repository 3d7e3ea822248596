package planner

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// engine is the planner's state of one engine.
type engine struct {
	name       string
	role       kumquatlug.Role
	reportedAt kumquatlug.Millis
	inFlight   int
	// hadQueue is set if the last report showed a queue.
	hadQueue bool
	// pendingRole is the new role while a change is in progress, otherwise empty.
	pendingRole kumquatlug.Role
	orderedAt   kumquatlug.Millis
	// orderedElsewhere is set if another planner ordered the pending change.
	orderedElsewhere bool
	// roleSince is when the engine was first seen in its role.
	roleSince kumquatlug.Millis
}

// group holds the engines, sorted by name, and the estimated token rates of one engine
// in each role.
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

// report records e. If it shows that a change has completed, report returns the duration
// of the change, else zero. Engines with a role other than prefill or decode are
// ignored.
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
	known.inFlight = e.InFlight
	known.adoptOrder(now, e.PendingRole)
	return known.setRole(now, e.Role)
}

// adoptOrder records a change that another planner ordered. Changes may be in progress
// when the lease on the group passes to another holder; a planner that ignored them
// would exceed the limit on concurrent changes.
func (e *engine) adoptOrder(now kumquatlug.Millis, role kumquatlug.Role) {
	if e.orderedElsewhere || (e.pendingRole == "" && role != "") {
		e.orderedElsewhere = role != ""
		e.pendingRole = role
		e.orderedAt = now
	}
}

// setRole records the role that the engine reports, and returns the duration of the
// change that it completes, else zero. A report from before the order still shows the
// old role and does not affect the pending change.
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

// observe updates the queue state and the rates from a new report. The lease holder
// passes the last report repeatedly until there is a newer one.
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

// updateRates learns the rates of an engine that had a queue in this report and in the
// previous one: the rate of an idle engine reflects its load, not its capacity. A queue
// in a single report may be a call that has just arrived, while the rate covers the time
// before. Learning from such reports lowers the prefill rate to the current load, so that
// prefill appears to need ever more engines and the split runs away: the few engines
// left for decode then have the whole queue.
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

// enoughReports reports whether at least the given share of engines has reported
// recently. Engines with a pending change are not counted, since the change may prevent
// their reports.
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

// split returns the numbers of prefill and decode engines. Engines with a pending change
// count in their new role.
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

// changing returns the number of engines with a pending change.
func (g *group) changing() int {
	n := 0
	for _, e := range g.engines {
		if e.pendingRole != "" {
			n++
		}
	}
	return n
}

// orderChanges orders up to count engines from one role to another, those with the fewest
// calls in flight first. At most limit changes are pending at the same time.
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

// movable returns the engines that may leave a role, sorted by calls in flight.
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
