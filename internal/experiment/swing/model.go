package swing

import (
	"fmt"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// Policy is who decides how many engines read.
type Policy struct {
	// Readers is the number at the start.
	Readers int
	// Follow has the number follow the load.
	Follow bool
	// Swing tunes that.
	Swing planner.SwingConfig
	// Limits are the rates that engines name.
	Limits []Limit
}

// Result is what clients received.
type Result struct {
	// Worth is the part of all worth that was earned, Documents and Streams the
	// same of each kind.
	Worth, Documents, Streams float64
	// Windows are the parts of each two seconds, by arrival.
	Windows []float64
	// Changes counts changes of role.
	Changes int
	// Excess is by how many requests the worst span of an engine with a limit is above
	// what the limit allows, WasteTokens what was read of prompts that were then refused.
	Excess      float64
	WasteTokens int
}

// Figures of the model's fronts.
const (
	// gatewayTick is how often fronts look at what time makes due.
	gatewayTick = 20 * kumquatlug.Millis(1)
	// messageDelay is how long a message between a front and an engine takes.
	messageDelay = 1 * kumquatlug.Millis(1)
	// clientRetryDelay is when a refused client comes back.
	clientRetryDelay = 500 * kumquatlug.Millis(1)
	// splitInterval is how often the split is looked at.
	splitInterval = 250 * kumquatlug.Millis(1)
)

// simulation is the state of a play.
type simulation struct {
	config       Sheet
	engines      []*engine
	engineByName map[string]*engine
	gateways     []*placement.Placer
	queued       []map[uint64]*request
	lastKey      uint64
	// scheduled are things to happen, by time.
	scheduled map[kumquatlug.Millis][]func(now kumquatlug.Millis)
	// gatewayIndex is the number of each front by its name.
	gatewayIndex map[string]int
	split        *planner.Swing
	prefillShare float64
	result       Result
	limits       []Limit
	limitSeenAt  map[gatewayEngine]kumquatlug.Millis
}

// Play plays a load under a policy.
func Play(config Sheet, load []Span, policy Policy, seed uint64) Result {
	requests := generateRequests(config, load, seed)
	sim := newSimulation(config, policy)
	end := kumquatlug.Millis(len(load))*intervalLength + config.StreamDeadline
	next := 0
	for now := kumquatlug.Millis(1); now < end; now++ {
		for next < len(requests) && requests[next].arrivesAt <= now {
			sim.arrive(now, requests[next])
			next++
		}
		sim.tick(now, policy.Follow)
	}
	sim.result.Excess = sim.maxExcess()
	sim.result.summarize(requests, len(load))
	return sim.result
}

func newSimulation(config Sheet, policy Policy) *simulation {
	sim := &simulation{
		config: config, gatewayIndex: map[string]int{}, engineByName: map[string]*engine{}, scheduled: map[kumquatlug.Millis][]func(kumquatlug.Millis){},
		prefillShare: float64(policy.Readers) / float64(config.Engines), limits: policy.Limits, limitSeenAt: map[gatewayEngine]kumquatlug.Millis{},
	}
	policy.Swing.Part = sim.prefillShare
	sim.split = planner.NewSwing(policy.Swing)
	for i := range config.Engines {
		role := kumquatlug.RoleDecode
		if i < policy.Readers {
			role = kumquatlug.RolePrefill
		}
		sim.engines = append(sim.engines, newEngine(config, role))
		sim.engineByName[engineName(i)] = sim.engines[i]
	}
	for i := range config.Fronts {
		gatewayConfig := placement.Config{Zone: zoneName(i, config), Shares: newShares(i, config)}
		if config.Coordinators {
			gatewayConfig.Coordinators = sim.newCoordinators(i)
		}
		placer := placement.New(gatewayConfig)
		placer.SetMemory(config.Memory)
		sim.gateways = append(sim.gateways, placer)
		sim.queued = append(sim.queued, map[uint64]*request{})
	}
	sim.syncRoles(0)
	return sim
}

// newCoordinators returns what a front knows of the others.
func (sim *simulation) newCoordinators(i int) *coordinator.Fronts {
	gateways := coordinator.New(gatewayName(i))
	names := make([]string, sim.config.Fronts)
	for j := range names {
		names[j] = gatewayName(j)
		sim.gatewayIndex[names[j]] = j
	}
	gateways.Set(names)
	return gateways
}

// deliverMessages takes the messages of a front to the others.
func (sim *simulation) deliverMessages(now kumquatlug.Millis, sender int) {
	for _, message := range sim.gateways[sender].Outbox() {
		recipient := sim.gatewayIndex[message.Front]
		message.Front = gatewayName(sender)
		sim.schedule(now, func(at kumquatlug.Millis) { sim.handleMessage(at, recipient, message) })
	}
}

// handleMessage takes a message of another front.
func (sim *simulation) handleMessage(now kumquatlug.Millis, gateway int, message kumquatlug.TurnMessage) {
	placer := sim.gateways[gateway]
	switch message.Turn.Step {
	case kumquatlug.TurnAsked, kumquatlug.TurnOver:
		placer.Requested(now, message)
	default:
		if due, ended := placer.Answered(now, message); ended {
			sim.handleDue(now, gateway, due)
		}
	}
	sim.sendDue(now, gateway)
}

func gatewayName(i int) string            { return fmt.Sprintf("f%03d", i) }
func engineName(i int) string             { return fmt.Sprintf("e%02d", i) }
func zoneName(i int, config Sheet) string { return fmt.Sprint("zone-", i%config.Zones) }

// syncRoles tells all fronts the engines' roles.
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

// tick plays one ms.
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
			gateway.Remind(now)
			sim.sendDue(now, i)
		}
	}
	if adaptive && now%splitInterval == 0 {
		sim.adjustSplit(now)
	}
}

// schedule has f happen when a message has arrived.
func (sim *simulation) schedule(now kumquatlug.Millis, run func(kumquatlug.Millis)) {
	sim.scheduled[now+messageDelay] = append(sim.scheduled[now+messageDelay], run)
}

// arrive brings a request to its front.
func (sim *simulation) arrive(now kumquatlug.Millis, r *request) {
	sim.lastKey++
	placer := sim.gateways[r.gateway]
	admission, choice, ticket := placer.Enter(now, sim.lastKey, r.query())
	switch admission {
	case placement.EntrySent:
		sim.send(now, &attempt{request: r, gateway: r.gateway, ticket: ticket, prefillOnly: choice.Apart(), reservation: choice.Place()}, choice)
	case placement.EntryWaits:
		sim.queued[r.gateway][sim.lastKey] = r
	default:
		sim.refuse(now, r)
	}
	sim.sendDue(now, r.gateway)
}

// query asks for an engine.
func (r *request) query() placement.Query {
	return placement.Query{Prompt: r.prompt, Target: r.arrivesAt + r.ttftTarget, Until: r.arrivesAt + r.timeout, Worth: r.relativeValue}
}

// refuse sends a client away; it comes back once.
func (sim *simulation) refuse(now kumquatlug.Millis, r *request) {
	if r.retries > 0 || now+clientRetryDelay > r.arrivesAt+r.timeout {
		return
	}
	r.retries++
	sim.scheduled[now+clientRetryDelay] = append(sim.scheduled[now+clientRetryDelay], func(at kumquatlug.Millis) { sim.arrive(at, r) })
}

// sendDue sends the prompts whose turn has come at a front.
func (sim *simulation) sendDue(now kumquatlug.Millis, gateway int) {
	for _, due := range sim.gateways[gateway].Due(now) {
		sim.handleDue(now, gateway, due)
	}
	sim.deliverMessages(now, gateway)
}

// handleDue sends a prompt whose turn has come, or refuses it.
func (sim *simulation) handleDue(now kumquatlug.Millis, gateway int, due placement.Due) {
	r := sim.queued[gateway][due.Key()]
	delete(sim.queued[gateway], due.Key())
	if due.Ticket() == nil {
		sim.refuse(now, r)
		return
	}
	choice := due.Choice()
	sim.send(now, &attempt{request: r, gateway: gateway, ticket: due.Ticket(), prefillOnly: choice.Apart(), reservation: choice.Place()}, choice)
}

// send brings an attempt to an engine.
func (sim *simulation) send(now kumquatlug.Millis, a *attempt, choice placement.Choice) {
	e := sim.engineByName[choice.Worker().ID()]
	sim.schedule(now+choice.Delay(), func(at kumquatlug.Millis) {
		sim.recordArrival(at, e, a)
		if e.accept(a) {
			return
		}
		sim.gateways[a.gateway].End(at, a.ticket, placement.OutcomeRefused)
		sim.refuse(at, a.request)
	})
}

// recordFirstOutput notes the first output of an attempt.
func (sim *simulation) recordFirstOutput(now kumquatlug.Millis, a *attempt) {
	placer := sim.gateways[a.gateway]
	sim.recordLimit(now, a)
	placer.Read(now, a.ticket)
	placer.Heard(now, a.ticket)
	if a.request.firstOutputAt == 0 {
		a.request.firstOutputAt = now
	}
}

// recordEnd notes the end of an attempt; a prompt that was read goes on to its output.
func (sim *simulation) recordEnd(now kumquatlug.Millis, engineIndex int, a *attempt) {
	placer := sim.gateways[a.gateway]
	placer.Report(now, engineName(engineIndex), sim.engines[engineIndex].reportedLoad())
	if a.prefillOnly {
		sim.recordLimit(now, a)
	}
	placer.End(now, a.ticket, placement.OutcomeGood)
	if !a.prefillOnly {
		a.request.done = !a.request.abandoned
		sim.sendDue(now, a.gateway)
		return
	}
	query := a.request.query()
	query.CacheZone, query.Place = zoneName(engineIndex, sim.config), a.reservation
	choice, found := placer.Output(now, query)
	if !found {
		sim.result.WasteTokens += a.request.uniqueTokens
		sim.refuse(now, a.request)
		return
	}
	sim.send(now, &attempt{request: a.request, gateway: a.gateway, ticket: placer.Begin(now, choice, a.request.prompt), prefilled: true}, choice)
	sim.sendDue(now, a.gateway)
}

// adjustSplit lets the first front look at the split, and changes roles.
func (sim *simulation) adjustSplit(now kumquatlug.Millis) {
	pressure := sim.gateways[0].Pressure()
	view := planner.SwingView{Reading: pressure.Reading(), Taken: pressure.Taken(), Coming: pressure.Coming()}
	engines := make([]planner.SplitEngine, len(sim.engines))
	for i, e := range sim.engines {
		role := e.role
		if e.roleChangeUntil != 0 {
			role = e.nextRole
		}
		engines[i] = planner.SplitEngine{Target: engineName(i), Zone: zoneName(i, sim.config), Role: role}
		if role == kumquatlug.RolePrefill {
			view.Readers++
		} else {
			view.Writers++
		}
	}
	if !sim.split.Look(now, view) {
		return
	}
	roles := map[string]kumquatlug.Role{}
	for _, change := range planner.KeepSplit(engines, sim.split.Part()) {
		roles[change.Target()] = change.To()
		sim.changeRole(now, sim.engineByName[change.Target()], change.To())
		sim.result.Changes++
	}
	for _, gateway := range sim.gateways {
		gateway.Announce(now, roles)
	}
}

// changeRole takes an engine away for a while; its streams go on elsewhere.
func (sim *simulation) changeRole(now kumquatlug.Millis, e *engine, to kumquatlug.Role) {
	e.roleChangeUntil, e.nextRole = now+sim.config.Change, to
	running := e.running
	displaced := append(slices.Clone(running), e.waiting...)
	e.running, e.waiting, e.runningTokens = nil, nil, 0
	for _, a := range displaced {
		placer := sim.gateways[a.gateway]
		placer.End(now, a.ticket, placement.OutcomeGood)
		choice, found := placer.Output(now, placement.Query{Prompt: a.request.prompt})
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

// summarize works out what clients received.
func (r *Result) summarize(requests []*request, intervals int) {
	offered, earned := make([]float64, intervals), make([]float64, intervals)
	var offeredByKind, earnedByKind [2]float64
	for _, request := range requests {
		interval := int(request.arrivesAt / intervalLength)
		kind := 0
		if request.stream {
			kind = 1
		}
		value := request.earnedValue()
		offered[interval] += request.value
		earned[interval] += value
		offeredByKind[kind] += request.value
		earnedByKind[kind] += value
	}
	for i := range offered {
		r.Windows = append(r.Windows, ratio(earned[i], offered[i]))
	}
	r.Documents, r.Streams = ratio(earnedByKind[0], offeredByKind[0]), ratio(earnedByKind[1], offeredByKind[1])
	r.Worth = ratio(earnedByKind[0]+earnedByKind[1], offeredByKind[0]+offeredByKind[1])
}

// earnedValue is what a request came to.
func (r *request) earnedValue() float64 {
	switch {
	case !r.done || r.firstOutputAt == 0:
		return 0
	case r.firstOutputAt-r.arrivesAt <= r.ttftTarget:
		return r.value
	}
	return r.lateValue
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return math.NaN()
	}
	return part / whole
}
