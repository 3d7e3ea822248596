// Package planner decides how a group of engines is split between running
// prompts (prefill) and generating output (decode).
//
// It answers a mix that swings within minutes between long prompts with short
// outputs and short prompts with long ones, on a fleet that can't grow. With a
// static split one side queues while the other stands idle. With a plain
// threshold the split follows every wave of noise, each change takes an engine
// away for seconds, and the waves are served worse than without. So a [Goodput]
// planner
//
//   - estimates the demand by two moving averages: a slow one that noise does
//     not move, and a fast one, freed of its lag, that takes over as far as the
//     two depart;
//   - compares the goodput expected of the present split with that of the
//     others over a horizon, and changes only when the gain exceeds the price;
//   - keeps engines in a role for a least time, and does not turn back within it;
//   - has at most a part of the group away at once, those with the least work in
//     hand first, as they are drained soonest;
//   - freezes when reports of engines or entries are missing: an entry that is
//     not heard looks like callers who have left, and acting on it would move
//     engines away from work that is still there.
//
// [Static] and [Threshold] are the planners to compare with.
package planner

import (
	"cmp"
	"fmt"
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Config is what a [Goodput] planner is made of. The zero value of each field
// stands for its default.
type Config struct {
	// Price is what a change costs beside the time in which the engine is
	// away, as a multiple of the work that the engine would have done then.
	// Default 1: only the work itself. A site where every change is a risk
	// sets it higher.
	Price float64
	// Enough is the part of the best split's goodput beyond which nothing more
	// is changed. Default 1. A site where every change is a risk sets it lower:
	// near its best a split wins little for the last engines, and one that is
	// good enough for both ends of a swing saves the way to each end.
	Enough float64
	// Away is how long an engine is away for a change until changes have been
	// measured. Default 10 s: seconds for the change and some to drain.
	Away kumquatlug.Millis
	// Horizon is the span over which a change must pay. Default 3 min: the mix
	// swings within minutes, so a longer promise is not kept.
	Horizon kumquatlug.Millis
	// Dwell is the least time between two changes of an engine, and between
	// two changes of the group in opposite directions. Default 1 min.
	Dwell kumquatlug.Millis
	// LeastGain is the least part of the demand that a change must win,
	// whatever the price. Default 0.02: the averages of demand that varies by
	// a fifth from report to report are uncertain by one to two per cent.
	LeastGain float64
	// AwayPart is the greatest part of the group that is away at once; one
	// engine always may be. Default 0.2: two of twelve.
	AwayPart float64
	// Knee is how sharply the goodput of a side bends where its capacity meets
	// its load: at that point a side serves 2^(-1/Knee) of its load. Default 8,
	// thus 92%: some calls then wait past their deadlines, and the last engine
	// moved to a side wins less than the first. A planner that took a side for
	// whole at its capacity would stop short of it, and one that counted on a
	// part of the capacity would pay for the last engine what the first is
	// worth.
	Knee float64
	// Fast and Slow are the spans of the averages. Defaults 20 s and 3 min:
	// the fast one sees a shift within half a minute, the slow one holds
	// against demand that varies by a fifth from report to report.
	Fast kumquatlug.Millis
	Slow kumquatlug.Millis
	// Stale is the age beyond which a report counts as missing. Default 10 s:
	// ten reports in a row.
	Stale kumquatlug.Millis
	// Gone is when an entry that is not heard is taken for gone, its callers
	// now with the others. Default 1 min: the balancer has moved them long
	// before.
	Gone kumquatlug.Millis
	// Quorum is the least part of the engines whose reports are fresh.
	// Default 0.75: one data centre in three may not be missing.
	Quorum float64
	// PrefillRate and DecodeRate are the tokens a second that an engine works
	// off in each role, until engines with a queue have shown theirs. Defaults
	// 8,000 and 1,500.
	PrefillRate float64
	DecodeRate  float64
}

func (c Config) withDefaults() Config {
	c.Price = cmp.Or(c.Price, 1)
	c.Enough = cmp.Or(c.Enough, 1)
	c.Away = cmp.Or(c.Away, 10*kumquatlug.Second)
	c.Horizon = cmp.Or(c.Horizon, 3*kumquatlug.Minute)
	c.Dwell = cmp.Or(c.Dwell, kumquatlug.Minute)
	c.LeastGain = cmp.Or(c.LeastGain, 0.02)
	c.AwayPart = cmp.Or(c.AwayPart, 0.2)
	c.Knee = cmp.Or(c.Knee, 8)
	c.Fast = cmp.Or(c.Fast, 20*kumquatlug.Second)
	c.Slow = cmp.Or(c.Slow, 3*kumquatlug.Minute)
	c.Stale = cmp.Or(c.Stale, 10*kumquatlug.Second)
	c.Gone = cmp.Or(c.Gone, kumquatlug.Minute)
	c.Quorum = cmp.Or(c.Quorum, 0.75)
	c.PrefillRate = cmp.Or(c.PrefillRate, 8000)
	c.DecodeRate = cmp.Or(c.DecodeRate, 1500)
	return c
}

// State says what a planner is doing.
type State string

// The states of a planner.
const (
	// StateSteady: no change pays.
	StateSteady State = "steady"
	// StateChanging: engines are away, or were ordered just now.
	StateChanging State = "changing"
	// StateDwelling: a change would pay, but the last one is too recent.
	StateDwelling State = "dwelling"
	// StateWarming: the averages do not reach back far enough yet.
	StateWarming State = "warming"
	// StateFrozenEngines: too few engines have reported lately.
	StateFrozenEngines State = "frozen-engines"
	// StateFrozenEntries: an entry has not told its demand lately.
	StateFrozenEntries State = "frozen-entries"
)

// Goodput changes the split when the goodput gained exceeds the price.
type Goodput struct {
	config Config
	group  *group
	demand *demand
	state  State
	// changedAt and turnedTo are the last change's time and new role.
	changedAt    kumquatlug.Millis
	changedTo    kumquatlug.Role
	changeMillis float64
}

var _ kumquatlug.RolePlanner = (*Goodput)(nil)

// New returns a planner that knows no engine and no demand.
func New(c Config) *Goodput {
	c = c.withDefaults()
	return &Goodput{
		config: c, group: newGroup(c.PrefillRate, c.DecodeRate), demand: newDemand(c.Fast, c.Slow),
		state: StateWarming, changeMillis: float64(c.Away),
	}
}

// Offered implements [kumquatlug.RolePlanner].
func (g *Goodput) Offered(now kumquatlug.Millis, o kumquatlug.Offer) { g.demand.offered(now, o) }

// Report implements [kumquatlug.RolePlanner]. An engine seen in its new role
// tells how long a change takes.
func (g *Goodput) Report(now kumquatlug.Millis, e kumquatlug.EngineReport) {
	if duration := g.group.report(now, e); duration > 0 {
		g.changeMillis += changeMillisWeight * (float64(duration) - g.changeMillis)
	}
}

// changeMillisWeight is the weight of one change in the mean time that a change takes.
const changeMillisWeight = 0.25

// Refused implements [kumquatlug.RolePlanner].
func (g *Goodput) Refused(_ kumquatlug.Millis, target string) { g.group.refused(target) }

// Remove implements [kumquatlug.RolePlanner].
func (g *Goodput) Remove(_ kumquatlug.Millis, target string) { g.group.remove(target) }

// State returns what the planner decided at the last [Goodput.Plan].
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

// readiness returns StateSteady when what is known suffices to decide.
func (g *Goodput) readiness(now kumquatlug.Millis) State {
	g.demand.dropSilent(now, g.config.Gone)
	switch {
	case !g.group.enoughReports(now, g.config.Stale, g.config.Quorum):
		return StateFrozenEngines
	case g.demand.anySilent(now, g.config.Stale):
		return StateFrozenEntries
	case g.demand.age(now) < g.config.Fast*2:
		return StateWarming
	default:
		return StateSteady
	}
}

// bestMove returns by how many engines the prefill side should grow, negative for
// the decode side, and the part of the demand won. Engines on their way count
// where they are going: they would otherwise be ordered twice.
func (g *Goodput) bestMove() (int, float64) {
	prefill, decode := g.group.split()
	offered := g.demand.estimate()
	load := g.load(offered)
	current := g.goodput(prefill, decode, load)
	sufficient := g.config.Enough * g.bestGoodput(prefill+decode, load)
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
			if next-current >= g.config.LeastGain && net > bestNet {
				best, bestGain, bestNet = signed, next-current, net
			}
		}
		if reached {
			break
		}
	}
	return best, bestGain
}

// bestGoodput returns the goodput of the best split of some engines.
func (g *Goodput) bestGoodput(engines int, l load) float64 {
	best := 0.0
	for prefill := 1; prefill < engines; prefill++ {
		best = max(best, g.goodput(prefill, engines-prefill, l))
	}
	return best
}

// moveCost returns what moving engines costs, in milliseconds of an engine's work.
func (g *Goodput) moveCost(move int) float64 {
	return g.config.Price * g.changeMillis * float64(move)
}

// load is the demand in engines' worth.
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

// goodput returns the part of the demand that a split serves. A call needs both
// sides, so the scarcer one sets it.
func (g *Goodput) goodput(prefill, decode int, l load) float64 {
	return min(g.sideGoodput(prefill, l.prefill), g.sideGoodput(decode, l.decode))
}

// sideGoodput returns the part of a side's load that some engines serve: nearly all
// when they have room, nearly their capacity when they have none.
func (g *Goodput) sideGoodput(engines int, load float64) float64 {
	if load <= 0 {
		return 1
	}
	headroom := float64(engines) / load
	return headroom / math.Pow(1+math.Pow(headroom, g.config.Knee), 1/g.config.Knee)
}

// orderMove picks the engines to change, as far as dwell and bound allow.
func (g *Goodput) orderMove(now kumquatlug.Millis, move int, gain float64) []kumquatlug.RoleChange {
	from, to := kumquatlug.RoleDecode, kumquatlug.RolePrefill
	if move < 0 {
		from, to, move = to, from, -move
	}
	if g.changedTo != "" && g.changedTo != to && now-g.changedAt < g.config.Dwell {
		g.state = StateDwelling
		return nil
	}
	reason := fmt.Sprintf("%d to %s wins %.1f%% of the demand", move, to, 100*gain)
	changes := g.group.orderChanges(now, from, to, move, maxConcurrentChanges(g.config.AwayPart, g.group.size()), g.config.Dwell, reason)
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

// maxConcurrentChanges returns how many of size engines may be away at once.
func maxConcurrentChanges(share float64, size int) int {
	return max(int(share*float64(size)), 1)
}
