package swing

import (
	"fmt"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/kvtransfer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// Policy determines how many engines run prefill, and their rate limits.
type Policy struct {
	// PrefillEngines is the initial number of prefill engines.
	PrefillEngines int
	// Adaptive adapts the number of prefill engines to the load.
	Adaptive bool
	// Split configures the adaptation.
	Split planner.AdaptiveSplitConfig
	// Limits are the rate limits that engines advertise.
	Limits []Limit
}

// Result is the outcome of a simulation for its clients.
type Result struct {
	// Value is the fraction of the offered value that was delivered. Documents and Streams
	// are the same for the requests of one kind.
	Value, Documents, Streams float64
	// ValueByInterval are these fractions for the requests that arrived in each two seconds.
	ValueByInterval []float64
	// RoleChanges is the number of role changes.
	RoleChanges int
	// LimitExcess is the maximum number of requests by which an engine with a rate limit
	// received more in a window than the limit allows. WastedPrefillTokens is the number of
	// tokens prefilled for prompts that were refused afterwards.
	LimitExcess         float64
	WastedPrefillTokens int
	// Served is the fraction of the requests that received their whole response.
	Served float64
	// Transfers describes the KV transfers if the site has a transfer rate.
	Transfers TransferResult
}

// Timing of gateways, messages and clients.
const (
	// gatewayTick is the interval at which gateways sample their load and send due
	// prompts.
	gatewayTick = 20 * kumquatlug.Millis(1)
	// messageDelay is the latency of a message between gateways and engines.
	messageDelay = 1 * kumquatlug.Millis(1)
	// clientRetryDelay is the time after which a client retries a refused request.
	clientRetryDelay = 500 * kumquatlug.Millis(1)
	// splitInterval is the interval at which the split between prefill and decode engines
	// is updated.
	splitInterval = 250 * kumquatlug.Millis(1)
)

// simulation is the state of one run.
type simulation struct {
	config       SiteConfig
	engines      []*engine
	engineByName map[string]*engine
	gateways     []*placement.Placer
	queued       []map[uint64]*request
	lastKey      uint64
	// scheduled holds the future events by time.
	scheduled map[kumquatlug.Millis][]func(now kumquatlug.Millis)
	// gatewayIndex maps the name of each gateway to its index.
	gatewayIndex map[string]int
	split        *planner.AdaptiveSplit
	prefillShare float64
	result       Result
	limits       []Limit
	limitSeenAt  map[gatewayEngine]kumquatlug.Millis
	calls        *callLog
}

// Simulate simulates a load under a policy. The same arguments give the same result.
func Simulate(config SiteConfig, load []Arrivals, policy Policy, seed uint64) Result {
	requests := generateRequests(config, load, seed)
	sim := newSimulation(config, load, policy)
	end := kumquatlug.Millis(len(load))*intervalLength + config.StreamTimeout
	next := 0
	for now := kumquatlug.Millis(1); now < end; now++ {
		for next < len(requests) && requests[next].arrivesAt <= now {
			sim.arrive(now, requests[next])
			next++
		}
		sim.tick(now, policy.Adaptive)
	}
	sim.result.LimitExcess = sim.maxExcess()
	sim.result.Transfers = sim.calls.result(kumquatlug.Millis(len(load)) * intervalLength)
	sim.result.summarize(requests, len(load))
	return sim.result
}

func newSimulation(config SiteConfig, load []Arrivals, policy Policy) *simulation {
	sim := &simulation{
		config: config, gatewayIndex: map[string]int{}, engineByName: map[string]*engine{}, scheduled: map[kumquatlug.Millis][]func(kumquatlug.Millis){},
		prefillShare: float64(policy.PrefillEngines) / float64(config.Engines), limits: policy.Limits, limitSeenAt: map[gatewayEngine]kumquatlug.Millis{},
		calls: newCallLog(config, load[0]),
	}
	policy.Split.BasePrefillShare = sim.prefillShare
	sim.split = planner.NewAdaptiveSplit(policy.Split)
	for i := range config.Engines {
		role := kumquatlug.RoleDecode
		if i < policy.PrefillEngines {
			role = kumquatlug.RolePrefill
		}
		sim.engines = append(sim.engines, newEngine(config, role))
		sim.engineByName[engineName(i)] = sim.engines[i]
	}
	for i := range config.Gateways {
		gatewayConfig := placement.Config{Zone: zoneName(i, config), Shares: newShares(i, config)}
		if config.IgnoreTransfers {
			gatewayConfig.Transfers = kvtransfer.Config{SlowMs: math.MaxFloat64, WasteFraction: math.MaxFloat64}
		}
		if config.Coordinated {
			gatewayConfig.Coordinators = sim.newCoordinators(i)
		}
		placer := placement.New(gatewayConfig)
		placer.SetKVCapacity(config.KVCapacityTokens)
		sim.gateways = append(sim.gateways, placer)
		sim.queued = append(sim.queued, map[uint64]*request{})
	}
	sim.syncRoles(0)
	return sim
}

// newCoordinators returns the coordinators as known to gateway i.
func (sim *simulation) newCoordinators(i int) *coordinator.Gateways {
	gateways := coordinator.New(gatewayName(i))
	names := make([]string, sim.config.Gateways)
	for j := range names {
		names[j] = gatewayName(j)
		sim.gatewayIndex[names[j]] = j
	}
	gateways.Set(names)
	return gateways
}

// deliverMessages delivers the outgoing messages of a gateway to its peers.
func (sim *simulation) deliverMessages(now kumquatlug.Millis, sender int) {
	for _, message := range sim.gateways[sender].Outbox() {
		recipient := sim.gatewayIndex[message.Gateway]
		message.Gateway = gatewayName(sender)
		sim.schedule(now, func(at kumquatlug.Millis) { sim.handleMessage(at, recipient, message) })
	}
}

// handleMessage handles a message from a peer gateway.
func (sim *simulation) handleMessage(now kumquatlug.Millis, gateway int, message kumquatlug.PermitMessage) {
	placer := sim.gateways[gateway]
	switch message.Permit.Step {
	case kumquatlug.PermitRequested, kumquatlug.PermitReleased:
		placer.HandleRequest(now, message)
	default:
		if due, ended := placer.HandleResponse(now, message); ended {
			sim.handleDue(now, gateway, due)
		}
	}
	sim.sendDue(now, gateway)
}

func gatewayName(i int) string                 { return fmt.Sprintf("f%03d", i) }
func engineName(i int) string                  { return fmt.Sprintf("e%02d", i) }
func zoneName(i int, config SiteConfig) string { return fmt.Sprint("zone-", i%config.Zones) }

// syncRoles updates the engines' roles at all gateways.
func (sim *simulation) syncRoles(now kumquatlug.Millis) {
	members := make([]kumquatlug.Member, len(sim.engines))
	for i, e := range sim.engines {
		members[i] = kumquatlug.Member{
			Worker: kumquatlug.NewWorker(engineName(i), "10.0.0.1:1"), Service: "s", Zone: zoneName(i, sim.config),
			State: kumquatlug.MemberReady, Slots: sim.config.Slots, Role: e.role,
		}
	}
	for _, gateway := range sim.gateways {
		gateway.Sync(now, members)
	}
}

// tick simulates one ms.
func (sim *simulation) tick(now kumquatlug.Millis, adaptive bool) {
	for _, run := range sim.scheduled[now] {
		run(now)
	}
	delete(sim.scheduled, now)
	for i, e := range sim.engines {
		role := e.role
		first, ended := e.advance(now)
		if e.role != role {
			sim.syncRoles(now)
		}
		for _, a := range first {
			sim.schedule(now, func(at kumquatlug.Millis) { sim.recordFirstOutput(at, a) })
		}
		for _, a := range ended {
			sim.schedule(now, func(at kumquatlug.Millis) { sim.recordEnd(at, i, a) })
		}
	}
	if now%gatewayTick == 0 {
		for i, gateway := range sim.gateways {
			gateway.Measure(now)
			gateway.RetryRequests(now)
			sim.sendDue(now, i)
		}
	}
	if adaptive && now%splitInterval == 0 {
		sim.adjustSplit(now)
	}
}

// schedule calls run after the latency of one message.
func (sim *simulation) schedule(now kumquatlug.Millis, run func(kumquatlug.Millis)) {
	sim.scheduled[now+messageDelay] = append(sim.scheduled[now+messageDelay], run)
}

// arrive submits a request to its gateway.
func (sim *simulation) arrive(now kumquatlug.Millis, r *request) {
	sim.calls.recordArrival(now, r.gateway)
	r.calls, r.prefills, r.excluded = 0, 0, nil
	sim.submit(now, r, r.query())
}

// submit submits a prompt to the engines.
func (sim *simulation) submit(now kumquatlug.Millis, r *request, q placement.Query) {
	sim.lastKey++
	placer := sim.gateways[r.gateway]
	admission, choice, ticket := placer.Submit(now, sim.lastKey, q)
	switch admission {
	case placement.SubmissionSent:
		sim.send(now, &attempt{request: r, gateway: r.gateway, ticket: ticket, prefillOnly: choice.PrefillOnly(), reservation: choice.Reservation()}, choice)
	case placement.SubmissionQueued:
		sim.queued[r.gateway][sim.lastKey] = r
	default:
		sim.refuse(now, r)
	}
	sim.sendDue(now, r.gateway)
}

// query returns the placement query of the request.
func (r *request) query() placement.Query {
	return placement.Query{Prompt: r.prompt, FirstOutputDue: r.arrivesAt + r.ttftTarget, Deadline: r.arrivesAt + r.timeout, Value: r.relativeValue}
}

// refuse refuses a request. Its client retries once, unless it times out before.
func (sim *simulation) refuse(now kumquatlug.Millis, r *request) {
	if r.retries > 0 || now+clientRetryDelay > r.arrivesAt+r.timeout {
		return
	}
	r.retries++
	sim.scheduled[now+clientRetryDelay] = append(sim.scheduled[now+clientRetryDelay], func(at kumquatlug.Millis) { sim.arrive(at, r) })
}

// sendDue sends the prompts of a gateway that are due.
func (sim *simulation) sendDue(now kumquatlug.Millis, gateway int) {
	for _, due := range sim.gateways[gateway].Due(now) {
		sim.handleDue(now, gateway, due)
	}
	sim.deliverMessages(now, gateway)
}

// handleDue sends a due prompt, or refuses it if the gateway has abandoned it.
func (sim *simulation) handleDue(now kumquatlug.Millis, gateway int, due placement.Due) {
	r := sim.queued[gateway][due.Key()]
	delete(sim.queued[gateway], due.Key())
	if due.Attempt() == nil {
		sim.refuse(now, r)
		return
	}
	choice := due.Choice()
	sim.send(now, &attempt{request: r, gateway: gateway, ticket: due.Attempt(), prefillOnly: choice.PrefillOnly(), reservation: choice.Reservation()}, choice)
}

// send sends an attempt to the chosen engine.
func (sim *simulation) send(now kumquatlug.Millis, a *attempt, choice placement.Choice) {
	e := sim.engineByName[choice.Worker().ID()]
	sim.schedule(now+choice.Delay(), func(at kumquatlug.Millis) {
		sim.recordArrival(at, e, a)
		sim.calls.recordCall(at, a)
		if e.accept(a) {
			sim.calls.recordPrefill(at, a)
			sim.startTransfer(at, a, e)
			return
		}
		if a.prefilled && sim.config.TransferTokensPerMs > 0 {
			sim.cacheRefused(at, a, false)
			return
		}
		sim.gateways[a.gateway].End(at, a.ticket, placement.OutcomeRefused)
		sim.refuse(at, a.request)
	})
}

// recordFirstOutput records the first output of an attempt.
func (sim *simulation) recordFirstOutput(now kumquatlug.Millis, a *attempt) {
	placer := sim.gateways[a.gateway]
	sim.recordLimit(now, a)
	if e := sim.engineByName[a.ticket.Worker()]; sim.config.TransferTokensPerMs > 0 {
		placer.ReportLoad(now, a.ticket.Worker(), e.reportedLoad())
	}
	placer.PrefillDone(now, a.ticket)
	placer.RecordOutput(now, a.ticket)
	if a.request.firstOutputAt == 0 {
		a.request.firstOutputAt = now
	}
}

// recordEnd records the end of an attempt. After prefill on a separate engine, it sends the
// request to a decode engine.
func (sim *simulation) recordEnd(now kumquatlug.Millis, engineIndex int, a *attempt) {
	placer := sim.gateways[a.gateway]
	placer.ReportLoad(now, engineName(engineIndex), sim.engines[engineIndex].reportedLoad())
	if a.prefillOnly {
		sim.recordLimit(now, a)
	}
	placer.End(now, a.ticket, placement.OutcomeServed)
	if !a.prefillOnly {
		a.request.done = !a.request.abandoned
		sim.sendDue(now, a.gateway)
		return
	}
	query := a.request.query()
	query.CacheZone, query.Reservation = zoneName(engineIndex, sim.config), a.reservation
	query.Cache = placement.KVCache{Engine: engineName(engineIndex), PrefilledTokens: a.prefillTokens}
	choice, found := placer.ChooseDecode(now, query)
	if !found {
		sim.result.WastedPrefillTokens += a.request.uniqueTokens
		sim.refuse(now, a.request)
		return
	}
	sim.send(now, &attempt{request: a.request, gateway: a.gateway, ticket: placer.Begin(now, choice, a.request.prompt), prefilled: true, source: engineIndex, prefillTokens: a.prefillTokens}, choice)
	sim.sendDue(now, a.gateway)
}

// adjustSplit updates the split by the load of the first gateway, and changes the roles of
// engines accordingly.
func (sim *simulation) adjustSplit(now kumquatlug.Millis) {
	pressure := sim.gateways[0].Pressure()
	view := planner.SplitLoad{PrefillUtilization: pressure.PrefillUtilization(), DecodeEnginesUsed: pressure.DecodeEnginesUsed(), DecodeEnginesForecast: pressure.DecodeEnginesForecast()}
	engines := make([]planner.SplitEngine, len(sim.engines))
	for i, e := range sim.engines {
		role := e.role
		if e.roleChangeUntil != 0 {
			role = e.nextRole
		}
		engines[i] = planner.SplitEngine{Target: engineName(i), Zone: zoneName(i, sim.config), Role: role}
		if role == kumquatlug.RolePrefill {
			view.PrefillEngines++
		} else {
			view.DecodeEngines++
		}
	}
	if !sim.split.Update(now, view) {
		return
	}
	roles := map[string]kumquatlug.Role{}
	for _, change := range planner.MaintainSplit(engines, sim.split.PrefillShare()) {
		roles[change.Target()] = change.To()
		sim.changeRole(now, sim.engineByName[change.Target()], change.To())
		sim.result.RoleChanges++
	}
	for _, gateway := range sim.gateways {
		gateway.SetRoleChanges(now, roles)
	}
}

// changeRole takes an engine offline while it changes its role. Its streams move to other
// engines.
func (sim *simulation) changeRole(now kumquatlug.Millis, e *engine, to kumquatlug.Role) {
	e.roleChangeUntil, e.nextRole = now+sim.config.RoleChangeTime, to
	running := e.running
	displaced := append(slices.Clone(running), e.waiting...)
	e.running, e.waiting, e.runningTokens = nil, nil, 0
	for _, a := range displaced {
		placer := sim.gateways[a.gateway]
		placer.End(now, a.ticket, placement.OutcomeServed)
		choice, found := placer.ChooseDecode(now, placement.Query{Prompt: a.request.prompt})
		if !found {
			continue
		}
		a.ticket = placer.Begin(now, choice, a.request.prompt)
		target := sim.engineByName[choice.Worker().ID()]
		if slices.Contains(running, a) {
			a.endStep -= e.decodeSteps
		}
		target.waiting = append(target.waiting, a)
	}
}
