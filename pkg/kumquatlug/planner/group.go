package planner

import (
	"cmp"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// engine is what the planner knows of one engine.
type engine struct {
	name    string
	role    kumquatlug.Role
	takenAt kumquatlug.Millis
	inHand  int
	// waited says that the last report showed a queue.
	waited bool
	// going is the role that it was ordered to take; empty when it was not.
	going     kumquatlug.Role
	orderedAt kumquatlug.Millis
	// inherited says that another planner ordered it.
	inherited bool
	// since is when it took its role, as far as is known.
	since kumquatlug.Millis
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
		g.engines = slices.Insert(g.engines, at, &engine{name: e.Target, role: e.Role, takenAt: e.TakenAt, since: now})
	}
	known := g.engines[at]
	if e.TakenAt < known.takenAt {
		return 0
	}
	g.observe(known, e)
	known.takenAt = e.TakenAt
	known.inHand = e.InHand
	known.inherit(now, e.Going)
	return known.take(now, e.Role)
}

// inherit takes over an order of another planner. When the lease on the group
// changes hands, engines may be on their way; a planner that did not count them
// would send the next ones away on top.
func (e *engine) inherit(now kumquatlug.Millis, going kumquatlug.Role) {
	if e.inherited || (e.going == "" && going != "") {
		e.inherited = going != ""
		e.going = going
		e.orderedAt = now
	}
}

// take records the role that the engine says it has. A report from before the
// order still shows the old one, which says nothing about the order.
func (e *engine) take(now kumquatlug.Millis, role kumquatlug.Role) kumquatlug.Millis {
	if e.role == role {
		return 0
	}
	e.role = role
	e.since = now
	if e.going != role {
		return 0
	}
	e.going = ""
	if e.inherited {
		e.inherited = false
		return 0
	}
	return max(now-e.orderedAt, 1)
}

// observe learns from a report that was not seen yet; the holder of the group
// shows the last one again until there is a newer.
func (g *group) observe(known *engine, e kumquatlug.EngineReport) {
	if e.TakenAt == known.takenAt {
		return
	}
	if known.waited && e.Waiting > 0 && known.role == e.Role {
		g.learn(e)
	}
	known.waited = e.Waiting > 0
}

// rateStep is the weight of one report in the rates of the group.
const rateStep = 0.05

// learn takes the rates of an engine that had a queue in this report and in the
// one before: the rate of an idle engine tells how little it was given. A queue
// in one report may be a call that has just arrived, and the rate is that of
// the time before. Learned from such calls, the rate of prompts falls to what
// is asked for, that side seems to need ever more engines, and the split runs
// away; one sees it by a few engines left on the other side with all the queue.
func (g *group) learn(e kumquatlug.EngineReport) {
	if e.Role == kumquatlug.RolePrefill && e.PrefillRate > 0 {
		g.prefillRate += rateStep * (e.PrefillRate - g.prefillRate)
	}
	if e.Role == kumquatlug.RoleDecode && e.DecodeRate > 0 {
		g.decodeRate += rateStep * (e.DecodeRate - g.decodeRate)
	}
}

func (g *group) refused(name string) {
	if at, ok := g.find(name); ok {
		g.engines[at].going = ""
		g.engines[at].inherited = false
	}
}

func (g *group) remove(name string) {
	if at, ok := g.find(name); ok {
		g.engines = slices.Delete(g.engines, at, at+1)
	}
}

// fresh reports whether at least a part of the engines has reported lately.
// Engines that are away need not: a change may keep them silent.
func (g *group) fresh(now, stale kumquatlug.Millis, part float64) bool {
	heard, asked := 0, 0
	for _, e := range g.engines {
		if e.going != "" {
			continue
		}
		asked++
		if now-e.takenAt <= stale {
			heard++
		}
	}
	return asked > 0 && float64(heard) >= part*float64(asked)
}

// split counts the engines by the role that they have or are going to.
func (g *group) split() (int, int) {
	prefill, decode := 0, 0
	for _, e := range g.engines {
		if cmp.Or(e.going, e.role) == kumquatlug.RolePrefill {
			prefill++
		} else {
			decode++
		}
	}
	return prefill, decode
}

// away counts the engines that were ordered and have not arrived.
func (g *group) away() int {
	n := 0
	for _, e := range g.engines {
		if e.going != "" {
			n++
		}
	}
	return n
}

// change orders up to count engines from one role to another, those with the
// least in hand first, with no more than limit away at once.
func (g *group) change(
	now kumquatlug.Millis, from, to kumquatlug.Role, count, limit int, dwell kumquatlug.Millis, reason string,
) []kumquatlug.RoleChange {
	count = min(count, limit-g.away())
	var changes []kumquatlug.RoleChange
	for _, e := range g.movable(now, from, dwell) {
		if len(changes) >= count {
			break
		}
		e.going = to
		e.orderedAt = now
		changes = append(changes, kumquatlug.NewRoleChange(e.name, from, to, reason))
	}
	return changes
}

// movable returns the engines that may leave a role, the least busy first.
func (g *group) movable(now kumquatlug.Millis, from kumquatlug.Role, dwell kumquatlug.Millis) []*engine {
	var list []*engine
	for _, e := range g.engines {
		if e.role == from && e.going == "" && now-e.since >= dwell {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b *engine) int { return cmp.Compare(a.inHand, b.inHand) })
	return list
}
