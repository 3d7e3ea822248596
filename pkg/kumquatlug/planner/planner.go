// Package planner decides how the engines of a group are split between prefill
// (processing prompts) and decode (generating output).
//
// It handles workloads whose mix shifts within minutes between long prompts with
// short outputs and short prompts with long outputs, on a fleet that cannot grow.
// With a static split one side queues while the other is idle. A plain threshold
// follows noise: each change takes an engine offline for seconds, and fluctuations
// are served worse than without changes. A [Goodput] planner therefore
//
//   - estimates the demand by two moving averages: a slow one that is robust to
//     noise, and a fast one, corrected for its lag, that takes over as the two
//     diverge;
//   - compares the expected goodput of the current split with that of other splits
//     over a horizon, and changes roles only if the gain exceeds the cost;
//   - keeps engines in a role for a minimum dwell time, and does not reverse the
//     direction of changes within it;
//   - limits the share of the group that changes roles concurrently, and picks the
//     engines with the fewest calls in flight, which drain soonest;
//   - freezes when reports of engines or gateways are missing: an unresponsive gateway
//     looks like a drop in demand, and acting on it would move engines away from
//     work that still exists.
//
// [Static] and [Threshold] are baselines for comparison.
package planner

import (
	"cmp"
	"fmt"
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Config configures a [Goodput] planner. A zero field selects its default.
type Config struct {
	// ChangeCost is the cost of a role change, as a multiple of the work that the engine
	// would have done while it is offline. Default 1: the lost work alone. A
	// deployment where every change is a risk sets it higher.
	ChangeCost float64
	// SufficientShare is the share of the best split's goodput above which nothing more is
	// changed. Default 1. A deployment where every change is a risk sets it lower:
	// close to the best split the last engines gain little, and a split that is good
	// enough for both extremes of a shifting mix avoids the changes to each.
	SufficientShare float64
	// ChangeTime is the initial estimate of how long a role change takes an engine offline,
	// used until changes have been measured. Default 10 s, for the drain and the
	// change.
	ChangeTime kumquatlug.Millis
	// Horizon is the time over which the gain of a change must exceed its cost.
	// Default 3 min: the mix shifts within minutes, so a gain does not last longer.
	Horizon kumquatlug.Millis
	// MinDwell is the minimum time between two changes of an engine, and between two
	// changes of the group in opposite directions. Default 1 min.
	MinDwell kumquatlug.Millis
	// MinGain is the minimum gain of a change, as a share of the demand, whatever
	// its cost. Default 0.02: the averages of demand that varies by 20% between
	// reports have an error of 1 to 2%.
	MinGain float64
	// MaxChangingShare is the maximum share of the group that changes roles concurrently. One
	// engine is always allowed. Default 0.2: two of twelve.
	MaxChangingShare float64
	// KneeSharpness is the sharpness of the goodput curve of a side where its load reaches its
	// capacity: at that point the side serves 2^(-1/KneeSharpness) of its load. Default
	// 8, which is 92%: some calls then miss their deadlines, and the last engine moved
	// to a side gains less than the first. A planner that expected a side to serve its
	// full load at capacity would stop before reaching it, and one that counted on a
	// fixed share of the capacity would value the last engine as highly as the first.
	KneeSharpness float64
	// FastSpan and SlowSpan are the time constants of the moving averages. Defaults 20 s
	// and 3 min: the fast one detects a shift within half a minute, the slow one is
	// stable for demand that varies by 20% between reports.
	FastSpan kumquatlug.Millis
	SlowSpan kumquatlug.Millis
	// StaleAfter is the age above which a report counts as missing. Default 10 s: ten
	// reports in a row.
	StaleAfter kumquatlug.Millis
	// DropAfter is the time after which an unresponsive gateway is dropped, because its
	// callers use other gateways by then. Default 1 min: the load balancer has moved
	// them long before.
	DropAfter kumquatlug.Millis
	// MinFreshShare is the minimum share of engines with fresh reports. Default 0.75: the
	// planner freezes if one data centre of three is missing.
	MinFreshShare float64
	// PrefillRate and DecodeRate are the initial estimates of the tokens per second
	// that an engine processes in each role, used until they have been learned from
	// engines with a queue. Defaults 8,000 and 1,500.
	PrefillRate float64
	DecodeRate  float64
}

func (c Config) withDefaults() Config {
	c.ChangeCost = cmp.Or(c.ChangeCost, 1)
	c.SufficientShare = cmp.Or(c.SufficientShare, 1)
	c.ChangeTime = cmp.Or(c.ChangeTime, 10*kumquatlug.Second)
	c.Horizon = cmp.Or(c.Horizon, 3*kumquatlug.Minute)
	c.MinDwell = cmp.Or(c.MinDwell, kumquatlug.Minute)
	c.MinGain = cmp.Or(c.MinGain, 0.02)
	c.MaxChangingShare = cmp.Or(c.MaxChangingShare, 0.2)
	c.KneeSharpness = cmp.Or(c.KneeSharpness, 8)
	c.FastSpan = cmp.Or(c.FastSpan, 20*kumquatlug.Second)
	c.SlowSpan = cmp.Or(c.SlowSpan, 3*kumquatlug.Minute)
	c.StaleAfter = cmp.Or(c.StaleAfter, 10*kumquatlug.Second)
	c.DropAfter = cmp.Or(c.DropAfter, kumquatlug.Minute)
	c.MinFreshShare = cmp.Or(c.MinFreshShare, 0.75)
	c.PrefillRate = cmp.Or(c.PrefillRate, 8000)
	c.DecodeRate = cmp.Or(c.DecodeRate, 1500)
	return c
}

// State is the state of a [Goodput] planner after its last plan.
type State string

// States.
const (
	// StateSteady: no change is worth its cost.
	StateSteady State = "steady"
	// StateChanging: role changes are in progress or were just ordered.
	StateChanging State = "changing"
	// StateDwelling: a change is worth its cost, but the dwell time has not passed.
	StateDwelling State = "dwelling"
	// StateWarming: the moving averages do not cover enough time yet.
	StateWarming State = "warming"
	// StateFrozenEngines: too few engines have reported recently.
	StateFrozenEngines State = "frozen-engines"
	// StateFrozenGateways: a gateway has not reported its demand recently.
	StateFrozenGateways State = "frozen-entries"
)

// Goodput is a planner that changes the split when the gain in goodput exceeds the
// cost. It is not safe for concurrent use.
type Goodput struct {
	config Config
	group  *group
	demand *demand
	state  State
	// changedAt and changedTo are the time and the new role of the last change.
	changedAt kumquatlug.Millis
	changedTo kumquatlug.Role
	changeMs  float64
}

var _ kumquatlug.RolePlanner = (*Goodput)(nil)

// New returns a planner without engines or demand.
func New(c Config) *Goodput {
	c = c.withDefaults()
	return &Goodput{
		config: c, group: newGroup(c.PrefillRate, c.DecodeRate), demand: newDemand(c.FastSpan, c.SlowSpan),
		state: StateWarming, changeMs: float64(c.ChangeTime),
	}
}

// RecordDemand implements [kumquatlug.RolePlanner].
func (g *Goodput) RecordDemand(now kumquatlug.Millis, o kumquatlug.Demand) { g.demand.record(now, o) }

// Report implements [kumquatlug.RolePlanner]. A report that shows an engine in its
// new role updates the mean duration of a change.
func (g *Goodput) Report(now kumquatlug.Millis, e kumquatlug.EngineReport) {
	if duration := g.group.report(now, e); duration > 0 {
		g.changeMs += changeMsWeight * (float64(duration) - g.changeMs)
	}
}

// changeMsWeight is the weight of one change in the mean duration of changes.
const changeMsWeight = 0.25

// OrderRefused implements [kumquatlug.RolePlanner].
func (g *Goodput) OrderRefused(_ kumquatlug.Millis, target string) { g.group.refused(target) }

// Remove implements [kumquatlug.RolePlanner].
func (g *Goodput) Remove(_ kumquatlug.Millis, target string) { g.group.remove(target) }

// State returns the planner's state after the last [Goodput.Plan].
func (g *Goodput) State() State { return g.state }

// Plan implements [kumquatlug.RolePlanner].
func (g *Goodput) Plan(now kumquatlug.Millis) []kumquatlug.RoleChange {
	if g.state = g.readiness(now); g.state != StateSteady {
		return nil
	}
	move, gain := g.bestMove()
	if g.group.changing() > 0 {
		g.state = StateChanging
	}
	if move == 0 {
		return nil
	}
	return g.orderMove(now, move, gain)
}

// readiness returns StateSteady if the available reports suffice for a decision, else
// the state that prevents one.
func (g *Goodput) readiness(now kumquatlug.Millis) State {
	g.demand.dropUnresponsive(now, g.config.DropAfter)
	switch {
	case !g.group.enoughReports(now, g.config.StaleAfter, g.config.MinFreshShare):
		return StateFrozenEngines
	case g.demand.anyUnresponsive(now, g.config.StaleAfter):
		return StateFrozenGateways
	case g.demand.age(now) < g.config.FastSpan*2:
		return StateWarming
	default:
		return StateSteady
	}
}

// bestMove returns the number of engines to move to prefill, negative for decode, and
// the gain as a share of the demand. Engines with a pending change count in their new
// role, since they would otherwise be ordered twice.
func (g *Goodput) bestMove() (int, float64) {
	prefill, decode := g.group.split()
	offered := g.demand.estimate()
	load := g.load(offered)
	current := g.goodput(prefill, decode, load)
	sufficient := g.config.SufficientShare * g.bestGoodput(prefill+decode, load)
	best, bestGain, bestNet := 0, 0.0, 0.0
	for move := 1; move < max(prefill, decode) && current < sufficient; move++ {
		reached := false
		for _, signed := range [...]int{move, -move} {
			if prefill+signed < 1 || decode-signed < 1 {
				continue
			}
			next := g.goodput(prefill+signed, decode-signed, load)
			reached = reached || next >= sufficient
			net := (next-current)*load.sum()*float64(g.config.Horizon) - g.moveCost(move)
			if next-current >= g.config.MinGain && net > bestNet {
				best, bestGain, bestNet = signed, next-current, net
			}
		}
		if reached {
			break
		}
	}
	return best, bestGain
}

// bestGoodput returns the goodput of the best split of the given number of engines.
func (g *Goodput) bestGoodput(engines int, l load) float64 {
	best := 0.0
	for prefill := 1; prefill < engines; prefill++ {
		best = max(best, g.goodput(prefill, engines-prefill, l))
	}
	return best
}

// moveCost returns the cost of moving engines, in milliseconds of one engine's work.
func (g *Goodput) moveCost(move int) float64 {
	return g.config.ChangeCost * g.changeMs * float64(move)
}

// load is the demand on each side, in units of one engine's capacity.
type load struct {
	prefill float64
	decode  float64
}

func (l load) sum() float64 { return l.prefill + l.decode }

func (g *Goodput) load(r rates) load {
	return load{
		prefill: r.prefill / g.group.prefillRate,
		decode:  r.decode / g.group.decodeRate,
	}
}

// goodput returns the share of the demand that a split serves. A call needs both
// sides, so the scarcer side determines it.
func (g *Goodput) goodput(prefill, decode int, l load) float64 {
	return min(g.sideGoodput(prefill, l.prefill), g.sideGoodput(decode, l.decode))
}

// sideGoodput returns the share of a side's load that the given engines serve: nearly
// all of it below capacity, nearly the full capacity above it.
func (g *Goodput) sideGoodput(engines int, load float64) float64 {
	if load <= 0 {
		return 1
	}
	headroom := float64(engines) / load
	return headroom / math.Pow(1+math.Pow(headroom, g.config.KneeSharpness), 1/g.config.KneeSharpness)
}

// orderMove selects the engines to change, subject to the dwell time and the limit on
// concurrent changes.
func (g *Goodput) orderMove(now kumquatlug.Millis, move int, gain float64) []kumquatlug.RoleChange {
	from, to := kumquatlug.RoleDecode, kumquatlug.RolePrefill
	if move < 0 {
		from, to, move = to, from, -move
	}
	if g.changedTo != "" && g.changedTo != to && now-g.changedAt < g.config.MinDwell {
		g.state = StateDwelling
		return nil
	}
	reason := fmt.Sprintf("%d to %s wins %.1f%% of the demand", move, to, 100*gain)
	changes := g.group.orderChanges(now, from, to, move, maxConcurrentChanges(g.config.MaxChangingShare, g.group.size()), g.config.MinDwell, reason)
	if len(changes) == 0 {
		if g.state == StateSteady {
			g.state = StateDwelling
		}
		return nil
	}
	g.state = StateChanging
	g.changedAt, g.changedTo = now, to
	return changes
}

// maxConcurrentChanges returns how many of size engines may change roles concurrently.
func maxConcurrentChanges(share float64, size int) int {
	return max(int(share*float64(size)), 1)
}
