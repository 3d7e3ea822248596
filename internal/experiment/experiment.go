// Package experiment compares policies under load: it runs the decision modules and simple
// baselines with the same seeded requests on simulated engines, in simulated time, and
// measures what callers receive. Results are exactly reproducible.
//
// Time advances in steps of 20 ms. In each step callers send and cancel requests, engines
// process a part of their batches, and gateways decide by the load reports received so far,
// which are delayed. The engines are not modelled on a real one: results compare policies
// with each other and with the maximum of the simulated engines, and don't predict the
// performance of a machine.
package experiment

import (
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// timeStep is the step of simulated time. It is no longer than the time per token of a
// single stream (20 ms), and longer than a decision takes.
const timeStep kumquatlug.Millis = 20

// Fleet sizes of both deployments: twelve engines, four in each data centre, and one gateway
// in each data centre.
const (
	engineCount  = 12
	gatewayCount = 3
)

// Gateways receive each target's load once a second, half a second after it was measured.
const (
	reportInterval kumquatlug.Millis = 1000
	reportDelay    kumquatlug.Millis = 500
)

var modelKind = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "assistant")

// Config configures a run.
type Config struct {
	// Scenario is one of [Scenarios].
	Scenario Scenario
	// Policy is one of [Policies].
	Policy PolicyName
	// Seed is the seed of all random numbers. The same seed gives exactly the same result.
	Seed uint64
}

// simulation is the state of one run.
type simulation struct {
	config         Config
	capacity       capacity
	now            kumquatlug.Millis
	engines        []*engine
	gateways       []policy
	arrivals       []*call
	nextArrival    int
	openCalls      []*call
	pendingReports []loadReport
	roles          *roleController
	crashes        int
	roleChanges    int
	random         *rand.Rand
	resends        int
	claims         map[quarantine.Fingerprint]bool
}

// Run simulates the scenario under the policy.
func Run(c Config) Result {
	return simulate(c, measureCapacity(c.Scenario, c.Seed))
}

// RunPolicies simulates the scenario under each of its policies with the same requests.
func RunPolicies(s Scenario, seed uint64) []Result {
	fleetCapacity := measureCapacity(s, seed)
	var list []Result
	for _, p := range Policies(s) {
		list = append(list, simulate(Config{Scenario: s, Policy: p, Seed: seed}, fleetCapacity))
	}
	return list
}

func simulate(c Config, fleetCapacity capacity) Result {
	sim := newSimulation(c, fleetCapacity)
	for end := c.Scenario.duration + c.Scenario.drainTime(); sim.now < end; sim.now += timeStep {
		sim.step()
	}
	return sim.result()
}

func newSimulation(c Config, fleetCapacity capacity) *simulation {
	sim := &simulation{
		config: c, capacity: fleetCapacity, random: rand.New(rand.NewPCG(c.Seed, 1)),
		claims: make(map[quarantine.Fingerprint]bool),
	}
	sim.arrivals = c.Scenario.arrivals(rand.New(rand.NewPCG(c.Seed, 2)), fleetCapacity.uncached)
	for n := range engineCount {
		e := newEngine(n, c.Scenario.roleOf(n))
		e.agent = newAgent(sim, e)
		sim.engines = append(sim.engines, e)
	}
	for n := range gatewayCount {
		sim.gateways = append(sim.gateways, newPolicy(sim, n))
	}
	sim.roles = newRoleController(sim)
	return sim
}

func (sim *simulation) step() {
	sim.submitArrivals()
	sim.expireCalls()
	for _, f := range sim.config.Scenario.faults {
		if f.at == sim.now {
			f.apply(sim)
		}
	}
	sim.runEngines()
	sim.deliverReports()
	sim.roles.tick(sim.now)
	for _, p := range sim.gateways {
		p.tick(sim.now)
	}
}

func (sim *simulation) submitArrivals() {
	for sim.nextArrival < len(sim.arrivals) && sim.arrivals[sim.nextArrival].arrival <= sim.now {
		c := sim.arrivals[sim.nextArrival]
		sim.nextArrival++
		sim.submit(c)
	}
}

// submit sends a call to a random gateway, as a load balancer does.
func (sim *simulation) submit(c *call) {
	c.gateway = sim.random.IntN(gatewayCount)
	sim.openCalls = append(sim.openCalls, c)
	sim.gateways[c.gateway].arrive(sim.now, c)
}

// expireCalls ends the calls whose deadline has passed. Their gateway cancels the attempts in
// flight.
func (sim *simulation) expireCalls() {
	kept := sim.openCalls[:0]
	for _, c := range sim.openCalls {
		if c.outcome == outcomeOpen && sim.now > c.deadline {
			sim.gateways[c.gateway].cancel(sim.now, c)
			sim.cancel(c)
			sim.finish(c, outcomeLate)
		}
		if c.outcome == outcomeOpen {
			kept = append(kept, c)
		}
	}
	sim.openCalls = kept
}

func (sim *simulation) cancel(c *call) {
	if c.engine != nil {
		c.engine.remove(c)
		c.engine.agent.callEnded(sim.now, c, false)
		c.engine = nil
	}
}

func (sim *simulation) finish(c *call, o outcome) {
	c.outcome, c.endedAt = o, sim.now
}

// send sends a call to a target. Under baseline policies it bypasses the agent.
func (sim *simulation) send(c *call, target string) sendResult {
	e := sim.engine(target)
	if e == nil || !e.acceptsCalls() {
		return sendElsewhere
	}
	result := sendAccepted
	if sim.config.Policy.usesAgents() {
		result = e.agent.accept(sim.now, c)
	} else {
		e.accept(sim.now, c)
	}
	if result == sendAccepted {
		c.engine = e
		c.sendCount++
		e.startedCalls[c.gateway]++
	}
	return result
}

func (sim *simulation) refuse(c *call, retryAfter kumquatlug.Millis) {
	c.retryAfter = retryAfter
	sim.finish(c, outcomeRefused)
	sim.resendCrasher(c)
}

// fail ends a call with an error.
func (sim *simulation) fail(c *call) {
	sim.finish(c, outcomeFailed)
	sim.resendCrasher(c)
}

// resendCrasher simulates the caller of a request that crashes targets. The caller doesn't
// know the effect and sends the request again after a second, through any gateway.
func (sim *simulation) resendCrasher(c *call) {
	if !c.crasher || sim.now > sim.config.Scenario.duration {
		return
	}
	resent := c.resend(sim.now + kumquatlug.Second)
	sim.resends++
	index := sim.nextArrival
	for index < len(sim.arrivals) && sim.arrivals[index].arrival <= resent.arrival {
		index++
	}
	sim.arrivals = append(sim.arrivals, nil)
	copy(sim.arrivals[index+1:], sim.arrivals[index:])
	sim.arrivals[index] = resent
}

func (sim *simulation) engine(name string) *engine {
	for _, e := range sim.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// deliverReports takes a load report of each target once a second, at different times, and
// delivers the reports that were taken half a second ago.
func (sim *simulation) deliverReports() {
	for n, e := range sim.engines {
		if (sim.now+kumquatlug.Millis(n)*4*timeStep)%reportInterval == 0 {
			sim.pendingReports = append(sim.pendingReports, e.takeReport(sim.now))
		}
	}
	for len(sim.pendingReports) > 0 && sim.pendingReports[0].takenAt+reportDelay <= sim.now {
		r := sim.pendingReports[0]
		sim.pendingReports = sim.pendingReports[1:]
		sim.roles.report(sim.now, r)
		for _, p := range sim.gateways {
			p.report(sim.now, r)
		}
	}
}

func (sim *simulation) runEngines() {
	for _, e := range sim.engines {
		e.agent.retryWaiting(sim.now)
		for _, ev := range e.step(sim.now) {
			sim.handleEvent(ev)
		}
	}
}

func (sim *simulation) handleEvent(ev callEvent) {
	c := ev.call
	switch ev.kind {
	case eventFirstToken:
		if c.firstTokenAt == 0 {
			c.firstTokenAt = sim.now + timeStep
		}
		ev.engine.agent.gate.Started(c.id)
	case eventDone:
		c.engine = nil
		ev.engine.agent.callEnded(sim.now, c, true)
		sim.finish(c, outcomeOnTime)
		c.endedAt = sim.now + timeStep
		if c.endedAt > c.deadline {
			c.outcome = outcomeLate
		}
	case eventPrefilled:
		c.engine = nil
		ev.engine.agent.callEnded(sim.now, c, true)
		if c.firstTokenAt == 0 {
			c.firstTokenAt = sim.now + timeStep
		}
	case eventCrash:
		sim.crashEngine(ev.engine)
		return
	}
	sim.gateways[c.gateway].handleEvent(sim.now, ev)
}

// restartTime is the time that a crashed engine needs to load its model again.
const restartTime = 30 * kumquatlug.Second

func (sim *simulation) crashEngine(e *engine) {
	sim.crashes++
	sim.failEngine(e, sim.now+restartTime)
}

// failEngine stops an engine; its calls in flight are lost.
func (sim *simulation) failEngine(e *engine, until kumquatlug.Millis) {
	rejected := e.agent.engineCrashed(sim.now)
	for _, c := range e.crash(until) {
		c.engine = nil
		sim.gateways[c.gateway].handleEvent(sim.now, callEvent{kind: eventLost, call: c, engine: e})
	}
	for _, c := range rejected {
		c.engine = nil
		sim.gateways[c.gateway].handleEvent(sim.now, callEvent{kind: eventRejected, call: c, engine: e})
	}
}
