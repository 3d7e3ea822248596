package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/health"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// modulePolicy is one gateway that uses the project's modules for its decisions. A call
// passes the admission queue once. Later attempts (the decode phase of a call with split
// roles, a retry) are already admitted and are sent before queued calls.
type modulePolicy struct {
	sim           *simulation
	queue         *admission.Queue
	targets       *limit.Targets
	router        *routing.Router
	health        *health.Group
	retry         *retry.Policy
	waiting       map[string]*call
	inFlight      map[string]*attempt
	pending       []pendingCall
	estimator     *admission.Estimator
	crashRegister *quarantine.Registry
	gateway       int
	lastHeartbeat map[string]kumquatlug.Millis
}

// attempt is one attempt of a call at a target.
type attempt struct {
	call         *call
	target       string
	ticket       limit.Ticket
	choice       routing.Choice
	sentAt       kumquatlug.Millis
	firstTokenAt kumquatlug.Millis
	lastOutputAt kumquatlug.Millis
	generated    int
}

// pendingCall is an admitted call that is to be sent at a given time, to any target except
// exclude.
type pendingCall struct {
	call    *call
	at      kumquatlug.Millis
	exclude string
}

func newModulePolicy(sim *simulation, gateway int) *modulePolicy {
	seed := sim.config.Seed*100 + uint64(gateway)
	p := &modulePolicy{
		sim:     sim,
		queue:   admission.New(admission.Config{Random: rand.New(rand.NewPCG(seed, 3))}),
		targets: limit.NewTargets(limit.TargetsConfig{Gateways: gatewayCount, Baseline: 1, Random: rand.New(rand.NewPCG(seed, 4))}),
		router:  routing.New(routing.Config{RandomSource: rand.NewPCG(seed, 5), Zone: fmt.Sprintf("zone-%d", gateway)}),
		health:  health.New(health.Config{}),
		retry:   retry.New(retry.Config{RandomSource: rand.NewPCG(seed, 6)}),
		waiting: make(map[string]*call), inFlight: make(map[string]*attempt),
		gateway:       gateway,
		crashRegister: quarantine.New(quarantine.Config{}),
		estimator:     admission.NewEstimator(admission.EstimatorConfig{}),
		lastHeartbeat: make(map[string]kumquatlug.Millis),
	}
	p.router.SetGateways(gatewayCount)
	for _, e := range sim.engines {
		p.setCandidate(0, e.name, e.zone, e.role, true)
		p.targets.Add(e.name)
		p.health.Add(e.name)
	}
	return p
}

func (p *modulePolicy) setCandidate(now kumquatlug.Millis, target, zone string, role kumquatlug.Role, ready bool) {
	state := routing.StateReady
	if !ready {
		state = routing.StateDraining
	}
	p.router.Set(now, routing.Candidate{
		Name: target, Zone: zone, State: state, Assignments: []routing.Assignment{{Kind: modelKind, Role: role}},
	})
}

func (p *modulePolicy) arrive(now kumquatlug.Millis, c *call) {
	prompt := int64(c.promptTokens)
	p.sim.roles.recordOffered(p.gateway, float64(c.promptTokens), float64(p.estimator.Output(now, c.caller, modelKind, prompt)))
	if p.crashRegister.Check(now, c.fingerprint).Refused() {
		p.sim.refuse(c, 0)
		return
	}
	p.retry.RecordCall(now)
	r := admission.NewRequest(admission.RequestConfig{
		ID: c.id, Caller: c.caller, Kind: modelKind, Arrival: now, Deadline: c.deadline,
		Cost:        admission.Cost(prompt, p.estimator.Output(now, c.caller, modelKind, prompt)),
		ServiceTime: p.estimator.ServiceTime(now, c.caller, modelKind, prompt),
	})
	admitted := p.queue.Offer(now, r)
	p.refuseAll(admitted.Displaced())
	if admitted.Verdict() == admission.VerdictRefused {
		p.sim.refuse(c, admitted.Refusal().RetryAfter())
		return
	}
	p.waiting[c.id] = c
}

func (p *modulePolicy) refuseAll(refusals []admission.Refusal) {
	for _, r := range refusals {
		c := p.waiting[r.Request().ID()]
		delete(p.waiting, c.id)
		p.sim.refuse(c, r.RetryAfter())
	}
}

func (p *modulePolicy) tick(now kumquatlug.Millis) {
	if wake, ok := p.queue.NextExpiry(); ok && wake <= now {
		p.refuseAll(p.queue.Expire(now))
	}
	p.markMissedHeartbeats(now)
	p.sendPending(now)
	for p.dispatch(now) {
	}
}

// sendPending sends the calls that are already admitted, by deadline.
func (p *modulePolicy) sendPending(now kumquatlug.Millis) {
	slices.SortStableFunc(p.pending, func(a, b pendingCall) int { return cmp.Compare(a.call.deadline, b.call.deadline) })
	kept := p.pending[:0]
	for _, item := range p.pending {
		if item.at > now || p.delayIfSuspect(now, &item) || p.send(now, item.call, item.exclude) == sendElsewhere {
			kept = append(kept, item)
		}
	}
	p.pending = kept
}

// delayIfSuspect reports whether a call that was in flight at a crash must wait, and updates
// the time at which it is to be sent.
func (p *modulePolicy) delayIfSuspect(now kumquatlug.Millis, item *pendingCall) bool {
	status := p.crashRegister.Check(now, item.call.fingerprint)
	if status.Standing() == quarantine.StandingFree || status.Wait() <= 0 {
		return false
	}
	item.at = now + status.Wait()
	return true
}

// maxPrefilledPending is the number of prefilled prompts waiting for a decode engine above
// which no more prompts are prefilled. A few must wait, so that no decode engine is idle.
// Without a limit, a split with too few decode engines would prefill prompts in vain.
const maxPrefilledPending = 4

// dispatch sends the next queued call and reports whether the queue advanced.
func (p *modulePolicy) dispatch(now kumquatlug.Millis) bool {
	if len(p.pending) >= maxPrefilledPending && p.sim.config.Scenario.splitRoles() {
		return false
	}
	r, ok := p.queue.Peek(modelKind)
	if !ok {
		return false
	}
	c := p.waiting[r.ID()]
	item := pendingCall{call: c}
	if p.delayIfSuspect(now, &item) {
		p.pending = append(p.pending, item)
	} else if p.send(now, c, "") == sendElsewhere {
		return false
	}
	p.queue.Dequeue(now, c.id)
	delete(p.waiting, c.id)
	return true
}

// limitChecker checks the limits of targets for a call that costs the given number of
// tokens.
type limitChecker struct {
	targets *limit.Targets
	cost    int64
}

func (r limitChecker) Room(target string) bool { return r.targets.Room(target, r.cost) }

func (p *modulePolicy) send(now kumquatlug.Millis, c *call, exclude string) sendResult {
	if p.crashRegister.Check(now, c.fingerprint).Refused() {
		p.sim.refuse(c, 0)
		return sendRefused
	}
	query := p.query(now, c, exclude)
	cost := int64(query.PrefillTokens + query.DecodeTokens)
	if c.prefilled {
		cost += int64(c.promptTokens)
	}
	c.enginePriority = -int(c.deadline / kumquatlug.Second)
	choice, ok := p.router.Pick(now, query, limitChecker{targets: p.targets, cost: cost})
	if !ok {
		return sendElsewhere
	}
	switch result := p.sim.send(c, choice.Target()); result {
	case sendRefused:
		p.sim.refuse(c, 0)
		return result
	case sendElsewhere:
		return result
	}
	if c.sentAt == 0 {
		c.sentAt = now
	}
	target := choice.Target()
	p.router.Sent(now, target, routing.Call{
		ID: c.id, Prefix: query.Prefix, PrefillTokens: max(query.PrefillTokens-choice.Cached(), 0), DecodeTokens: query.DecodeTokens,
	})
	a := &attempt{call: c, target: target, ticket: p.targets.Begin(now, target, cost), choice: choice, sentAt: now}
	p.targets.SetTolerance(&a.ticket, c.deadline-c.arrival, p.idleDuration(now, c))
	p.inFlight[c.id] = a
	return sendAccepted
}

// idleDuration returns the duration of a call with a long output on an idle target.
func (p *modulePolicy) idleDuration(now kumquatlug.Millis, c *call) kumquatlug.Millis {
	output := p.estimator.OutputP90(now, c.caller, modelKind, int64(c.promptTokens))
	return kumquatlug.Millis(idlePrefillMs(c.promptTokens) + idleDecodeMs(int(output)))
}

func (p *modulePolicy) query(now kumquatlug.Millis, c *call, exclude string) routing.Query {
	query := routing.Query{Kind: modelKind, Role: p.roleFor(c), DecodeTokens: max(int(p.estimator.Output(now, c.caller, modelKind, int64(c.promptTokens)))-int(c.generated), 1)}
	if !c.prefilled {
		query.PrefillTokens = c.promptTokens + int(c.generated)
		query.Prefix = prefixKeys(c)
	}
	if query.Role == kumquatlug.RolePrefill {
		query.DecodeTokens = 1
	}
	if exclude != "" {
		query.Exclude = []string{exclude}
	}
	return query
}

func (p *modulePolicy) roleFor(c *call) kumquatlug.Role {
	switch {
	case !p.sim.config.Scenario.splitRoles():
		return kumquatlug.RoleBoth
	case c.prefilled:
		return kumquatlug.RoleDecode
	default:
		return kumquatlug.RolePrefill
	}
}

// prefixBlockTokens is the router's default block size for prefix keys.
const prefixBlockTokens = 256

// prefixKeys returns the keys of the blocks of a call's shared prefix.
func prefixKeys(c *call) []uint64 {
	if c.prefixID == 0 {
		return nil
	}
	keys := make([]uint64, c.prefixTokens/prefixBlockTokens)
	for n := range keys {
		keys[n] = c.prefixID<<16 | uint64(n)
	}
	return keys
}

func (p *modulePolicy) report(now kumquatlug.Millis, r loadReport) {
	if r.alive {
		p.health.HeartbeatAnswered(now, r.target)
		p.lastHeartbeat[r.target] = now
	}
	p.sim.engine(r.target).agent.gossip(now, p.crashRegister)
	p.setCandidate(now, r.target, r.zone, r.role, r.ready)
	p.targets.Report(now, r.target, limit.Load{
		Age: now - r.takenAt, RequestedAt: now, Running: int64(r.running), Waiting: int64(r.waiting), Used: int64(r.kvUsed), Total: kvCapacityTokens,
	})
	p.router.Report(now, r.target, routing.Load{
		Running: r.running, Waiting: r.waiting, KVUsed: r.kvUsed, KVTotal: kvCapacityTokens, DecodeRate: r.decodeRate,
		TakenAt: r.takenAt, Begun: r.startedCalls[p.gateway], Incarnation: fmt.Sprint(r.incarnation),
	})
	p.router.SetWeight(r.target, p.health.Weight(now, r.target))
}

// markMissedHeartbeats records a missed heartbeat of each target whose report is overdue.
func (p *modulePolicy) markMissedHeartbeats(now kumquatlug.Millis) {
	if now%reportInterval != 0 {
		return
	}
	for _, e := range p.sim.engines {
		if now-p.lastHeartbeat[e.name] > reportInterval+reportDelay {
			p.health.HeartbeatMissed(now, e.name)
			p.router.SetWeight(e.name, p.health.Weight(now, e.name))
		}
	}
}
