package experiment

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// policy decides for one gateway what happens to its calls. It acts through the methods send,
// refuse and fail of [simulation].
type policy interface {
	// arrive handles a new call.
	arrive(now kumquatlug.Millis, c *call)
	// report handles a target's delayed load report.
	report(now kumquatlug.Millis, r loadReport)
	// handleEvent handles an event of a call at its target.
	handleEvent(now kumquatlug.Millis, e callEvent)
	// cancel handles the disconnection of a caller.
	cancel(now kumquatlug.Millis, c *call)
	// tick is called once per time step.
	tick(now kumquatlug.Millis)
}

// PolicyName names a policy.
type PolicyName string

// The policies that are compared.
const (
	// PolicyModules uses the project's modules with the cost of a role change at Kochi.
	PolicyModules PolicyName = "kumquatlug"
	// PolicyBogota is the same with the cost of a role change at Bogota.
	PolicyBogota PolicyName = "kumquatlug-bogota"
	// PolicyStatic is the same with the initial roles throughout.
	PolicyStatic PolicyName = "static-split"
	// PolicyThreshold is the same with a simple threshold instead of the planner.
	PolicyThreshold PolicyName = "threshold"
	// PolicyRoundRobin is FIFO with round-robin routing and without limits.
	PolicyRoundRobin PolicyName = "round-robin"
	// PolicyLeastConnections is FIFO without limits, routed to the target with the fewest
	// connections from this gateway.
	PolicyLeastConnections PolicyName = "least-connections"
)

// Policies returns the policies to compare in a scenario.
func Policies(s Scenario) []PolicyName {
	list := []PolicyName{PolicyModules, PolicyRoundRobin, PolicyLeastConnections}
	if s.splitRoles() {
		list = append(list, PolicyBogota, PolicyStatic, PolicyThreshold)
	}
	return list
}

func newPolicy(sim *simulation, gateway int) policy {
	switch sim.config.Policy {
	case PolicyRoundRobin, PolicyLeastConnections:
		return newBaselinePolicy(sim, gateway)
	default:
		return newModulePolicy(sim, gateway)
	}
}

// baselinePolicy sends each call at once, without queueing or limits. It detects a failed
// target by the refused connection, and tries the next one.
type baselinePolicy struct {
	sim     *simulation
	next    int
	running []int
	retry   []*call
}

func newBaselinePolicy(sim *simulation, gateway int) *baselinePolicy {
	return &baselinePolicy{sim: sim, next: gateway * engineCount / gatewayCount, running: make([]int, engineCount)}
}

func (p *baselinePolicy) arrive(_ kumquatlug.Millis, c *call) {
	if !p.send(c) {
		p.retry = append(p.retry, c)
	}
}

func (p *baselinePolicy) send(c *call) bool {
	for _, n := range p.order() {
		e := p.sim.engines[n]
		if p.canRun(e, c) && p.sim.send(c, e.name) == sendAccepted {
			p.running[n]++
			return true
		}
	}
	return false
}

// canRun reports whether an engine has the role for the next phase of a call.
func (p *baselinePolicy) canRun(e *engine, c *call) bool {
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
func (p *baselinePolicy) order() []int {
	list := make([]int, engineCount)
	for n := range list {
		list[n] = (p.next + n) % engineCount
	}
	p.next++
	if p.sim.config.Policy == PolicyLeastConnections {
		slices.SortStableFunc(list, func(a, b int) int { return p.running[a] - p.running[b] })
	}
	return list
}

func (p *baselinePolicy) report(kumquatlug.Millis, loadReport) {}

func (p *baselinePolicy) handleEvent(_ kumquatlug.Millis, e callEvent) {
	switch e.kind {
	case eventDone:
		p.removeRunning(e.engine)
	case eventPrefilled, eventLost:
		p.removeRunning(e.engine)
		p.retry = append(p.retry, e.call)
	}
}

func (p *baselinePolicy) removeRunning(e *engine) {
	p.running[slices.Index(p.sim.engines, e)]--
}

func (p *baselinePolicy) cancel(_ kumquatlug.Millis, c *call) {
	p.retry = removeCall(p.retry, c)
	if c.engine != nil {
		p.removeRunning(c.engine)
	}
}

func (p *baselinePolicy) tick(kumquatlug.Millis) {
	for len(p.retry) > 0 && p.send(p.retry[0]) {
		p.retry = p.retry[1:]
	}
}

// usesAgents reports whether calls pass through agents, which detect requests that crash
// engines.
func (p PolicyName) usesAgents() bool { return p != PolicyRoundRobin && p != PolicyLeastConnections }
