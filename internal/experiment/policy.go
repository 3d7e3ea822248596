package experiment

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// policy is what one entry does with its calls. It acts through its world:
// send, refuse and fail.
type policy interface {
	// arrive takes a new call.
	arrive(now kumquatlug.Millis, c *call)
	// report takes a target's load, late as it is.
	report(now kumquatlug.Millis, r report)
	// event takes what became of a call at its target.
	event(now kumquatlug.Millis, e event)
	// gone takes a call whose caller has hung up.
	gone(now kumquatlug.Millis, c *call)
	// tick is called once a round.
	tick(now kumquatlug.Millis)
}

// PolicyName names a policy.
type PolicyName string

// The policies that are compared.
const (
	// PolicyDecisions is the project's modules, with Kochi's price of a role
	// change.
	PolicyDecisions PolicyName = "kumquatlug"
	// PolicyBogota is the same with Bogota's price.
	PolicyBogota PolicyName = "kumquatlug-bogota"
	// PolicyStatic is the same with the roles as they are at the start.
	PolicyStatic PolicyName = "static-split"
	// PolicyThreshold is the same with a plain threshold in the planner's place.
	PolicyThreshold PolicyName = "threshold"
	// PolicyRoundRobin is first in first out, in turns, without limits.
	PolicyRoundRobin PolicyName = "round-robin"
	// PolicyLeast is first in first out to the target with the fewest
	// connections of this entry, without limits.
	PolicyLeast PolicyName = "least-connections"
)

// Policies returns the policies that a scenario is run under.
func Policies(s Scenario) []PolicyName {
	list := []PolicyName{PolicyDecisions, PolicyRoundRobin, PolicyLeast}
	if s.split() {
		list = append(list, PolicyBogota, PolicyStatic, PolicyThreshold)
	}
	return list
}

func newPolicy(w *world, entry int) policy {
	switch w.config.Policy {
	case PolicyRoundRobin, PolicyLeast:
		return newPlain(w, entry)
	default:
		return newDecisions(w, entry)
	}
}

// plain sends each call at once and holds nothing. It learns of a dead target
// when the connection is refused, and goes on to the next.
type plain struct {
	world   *world
	turn    int
	running []int
	retry   []*call
}

func newPlain(w *world, entry int) *plain {
	return &plain{world: w, turn: entry * engineCount / entryCount, running: make([]int, engineCount)}
}

func (p *plain) arrive(_ kumquatlug.Millis, c *call) {
	if !p.send(c) {
		p.retry = append(p.retry, c)
	}
}

func (p *plain) send(c *call) bool {
	for _, n := range p.order() {
		e := p.world.engines[n]
		if p.fits(e, c) && p.world.send(c, e.name) == sendTaken {
			p.running[n]++
			return true
		}
	}
	return false
}

// fits reports whether an engine does the part that comes next.
func (p *plain) fits(e *engine, c *call) bool {
	switch e.role {
	case kumquatlug.RolePrefill:
		return !c.prefilled
	case kumquatlug.RoleDecode:
		return c.prefilled
	default:
		return true
	}
}

// order returns the targets in the order in which they are tried.
func (p *plain) order() []int {
	list := make([]int, engineCount)
	for n := range list {
		list[n] = (p.turn + n) % engineCount
	}
	p.turn++
	if p.world.config.Policy == PolicyLeast {
		slices.SortStableFunc(list, func(a, b int) int { return p.running[a] - p.running[b] })
	}
	return list
}

func (p *plain) report(kumquatlug.Millis, report) {}

func (p *plain) event(_ kumquatlug.Millis, e event) {
	switch e.name {
	case eventDone:
		p.leave(e.engine)
	case eventPrefilled, eventLost:
		p.leave(e.engine)
		p.retry = append(p.retry, e.call)
	}
}

func (p *plain) leave(e *engine) {
	p.running[slices.Index(p.world.engines, e)]--
}

func (p *plain) gone(_ kumquatlug.Millis, c *call) {
	p.retry = without(p.retry, c)
	if c.at != nil {
		p.leave(c.at)
	}
}

func (p *plain) tick(kumquatlug.Millis) {
	for len(p.retry) > 0 && p.send(p.retry[0]) {
		p.retry = p.retry[1:]
	}
}

// watches reports whether agents watch for requests that crash engines.
func (p PolicyName) watches() bool { return p != PolicyRoundRobin && p != PolicyLeast }
