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

// decisions is one entry that decides by the project's modules. A call goes
// through the queue once; what comes after (the decode part of a split call, a
// retry) was admitted already and goes before the queue.
type decisions struct {
	world    *world
	queue    *admission.Queue
	targets  *limit.Targets
	router   *routing.Router
	health   *health.Group
	retry    *retry.Policy
	waiting  map[string]*call
	sent     map[string]*leg
	due      []due
	estimate *admission.Estimator
	register *quarantine.Register
	entry    int
	lastBeat map[string]kumquatlug.Millis
}

// leg is one stay of a call at a target.
type leg struct {
	call    *call
	target  string
	ticket  limit.Ticket
	choice  routing.Choice
	sentAt  kumquatlug.Millis
	firstAt kumquatlug.Millis
	lastAt  kumquatlug.Millis
	made    int
}

// due is a call that goes on at a time.
type due struct {
	call *call
	at   kumquatlug.Millis
	from string
}

func newDecisions(w *world, entry int) *decisions {
	seed := w.config.Seed*100 + uint64(entry)
	d := &decisions{
		world:   w,
		queue:   admission.New(admission.Config{Random: rand.New(rand.NewPCG(seed, 3))}),
		targets: limit.NewTargets(limit.TargetsConfig{Entries: entryCount, Floor: 1, Random: rand.New(rand.NewPCG(seed, 4))}),
		router:  routing.New(routing.Config{Source: rand.NewPCG(seed, 5), Zone: fmt.Sprintf("zone-%d", entry)}),
		health:  health.New(health.Config{}),
		retry:   retry.New(retry.Config{Source: rand.NewPCG(seed, 6)}),
		waiting: make(map[string]*call), sent: make(map[string]*leg),
		entry:    entry,
		register: quarantine.New(quarantine.Config{}),
		estimate: admission.NewEstimator(admission.EstimatorConfig{}),
		lastBeat: make(map[string]kumquatlug.Millis),
	}
	d.router.SetEntries(entryCount)
	for _, e := range w.engines {
		d.set(0, e.name, e.zone, e.role, true)
		d.targets.Add(e.name)
		d.health.Add(e.name)
	}
	return d
}

func (d *decisions) set(now kumquatlug.Millis, target, zone string, role kumquatlug.Role, ready bool) {
	state := routing.StateReady
	if !ready {
		state = routing.StateDraining
	}
	d.router.Set(now, routing.Candidate{
		Name: target, Zone: zone, State: state, Duties: []routing.Duty{{Kind: model, Role: role}},
	})
}

func (d *decisions) arrive(now kumquatlug.Millis, c *call) {
	prompt := int64(c.prompt)
	d.world.roles.offered(d.entry, float64(c.prompt), float64(d.estimate.Output(now, c.caller, model, prompt)))
	if d.register.Ask(now, c.fingerprint).Refused() {
		d.world.refuse(c, 0)
		return
	}
	d.retry.Accepted(now)
	r := admission.NewRequest(admission.RequestConfig{
		ID: c.id, Caller: c.caller, Kind: model, Arrival: now, Deadline: c.deadline,
		Cost:    admission.Cost(prompt, d.estimate.Output(now, c.caller, model, prompt)),
		Service: d.estimate.Service(now, c.caller, model, prompt),
	})
	answer := d.queue.Offer(now, r)
	d.refuseAll(answer.Displaced())
	if answer.Verdict() == admission.VerdictRefused {
		d.world.refuse(c, answer.Refusal().RetryAfter())
		return
	}
	d.waiting[c.id] = c
}

func (d *decisions) refuseAll(refusals []admission.Refusal) {
	for _, r := range refusals {
		c := d.waiting[r.Request().ID()]
		delete(d.waiting, c.id)
		d.world.refuse(c, r.RetryAfter())
	}
}

func (d *decisions) tick(now kumquatlug.Millis) {
	if wake, ok := d.queue.Wake(); ok && wake <= now {
		d.refuseAll(d.queue.Expire(now))
	}
	d.missBeats(now)
	d.goOn(now)
	for d.dispatch(now) {
	}
}

// goOn sends the calls that were admitted before.
func (d *decisions) goOn(now kumquatlug.Millis) {
	slices.SortStableFunc(d.due, func(a, b due) int { return cmp.Compare(a.call.deadline, b.call.deadline) })
	kept := d.due[:0]
	for _, u := range d.due {
		if u.at > now || d.wait(now, &u) || d.send(now, u.call, u.from) == sendElsewhere {
			kept = append(kept, u)
		}
	}
	d.due = kept
}

// wait asks whether a call that was near a crash has to wait on.
func (d *decisions) wait(now kumquatlug.Millis, u *due) bool {
	opinion := d.register.Ask(now, u.call.fingerprint)
	if opinion.Standing() == quarantine.StandingFree || opinion.Wait() <= 0 {
		return false
	}
	u.at = now + opinion.Wait()
	return true
}

// backlog is how many prompts that were run may wait for an engine to decode
// them before no more are run: a few, so that no decoder waits for a prompt.
// Without it a split with too few decoders would run prompts for nobody.
const backlog = 4

func (d *decisions) dispatch(now kumquatlug.Millis) bool {
	if len(d.due) >= backlog && d.world.config.Scenario.split() {
		return false
	}
	r, ok := d.queue.Next(model)
	if !ok {
		return false
	}
	c := d.waiting[r.ID()]
	u := due{call: c}
	if d.wait(now, &u) {
		d.due = append(d.due, u)
	} else if d.send(now, c, "") == sendElsewhere {
		return false
	}
	d.queue.Take(now, c.id)
	delete(d.waiting, c.id)
	return true
}

// room asks the limits about a target for a call of so many tokens.
type room struct {
	targets *limit.Targets
	cost    int64
}

func (r room) Room(target string) bool { return r.targets.Room(target, r.cost) }

func (d *decisions) send(now kumquatlug.Millis, c *call, except string) sendResult {
	if d.register.Ask(now, c.fingerprint).Refused() {
		d.world.refuse(c, 0)
		return sendRefused
	}
	q := d.query(now, c, except)
	cost := int64(q.PrefillTokens + q.DecodeTokens)
	if c.prefilled {
		cost += int64(c.prompt)
	}
	c.priority = -int(c.deadline / kumquatlug.Second)
	choice, ok := d.router.Pick(now, q, room{targets: d.targets, cost: cost})
	if !ok {
		return sendElsewhere
	}
	switch result := d.world.send(c, choice.Target()); result {
	case sendRefused:
		d.world.refuse(c, 0)
		return result
	case sendElsewhere:
		return result
	}
	if c.sentAt == 0 {
		c.sentAt = now
	}
	target := choice.Target()
	d.router.Sent(now, target, routing.Call{
		ID: c.id, Prefix: q.Prefix, PrefillTokens: max(q.PrefillTokens-choice.Cached(), 0), DecodeTokens: q.DecodeTokens,
	})
	l := &leg{call: c, target: target, ticket: d.targets.Begin(now, target, cost), choice: choice, sentAt: now}
	d.targets.Tolerate(&l.ticket, c.deadline-c.arrival, d.alone(now, c))
	d.sent[c.id] = l
	return sendTaken
}

// alone is how long a call takes on an idle target, with a long output.
func (d *decisions) alone(now kumquatlug.Millis, c *call) kumquatlug.Millis {
	output := d.estimate.HighOutput(now, c.caller, model, int64(c.prompt))
	return kumquatlug.Millis(promptAlone(c.prompt) + outputAlone(int(output)))
}

func (d *decisions) query(now kumquatlug.Millis, c *call, except string) routing.Query {
	q := routing.Query{Kind: model, Role: d.role(c), DecodeTokens: max(int(d.estimate.Output(now, c.caller, model, int64(c.prompt)))-int(c.made), 1)}
	if !c.prefilled {
		q.PrefillTokens = c.prompt + int(c.made)
		q.Prefix = prefixKeys(c)
	}
	if q.Role == kumquatlug.RolePrefill {
		q.DecodeTokens = 1
	}
	if except != "" {
		q.Exclude = []string{except}
	}
	return q
}

func (d *decisions) role(c *call) kumquatlug.Role {
	switch {
	case !d.world.config.Scenario.split():
		return kumquatlug.RoleBoth
	case c.prefilled:
		return kumquatlug.RoleDecode
	default:
		return kumquatlug.RolePrefill
	}
}

// blockTokens is the router's default block of a prefix key.
const blockTokens = 256

// prefixKeys are the keys of the blocks of a shared prefix.
func prefixKeys(c *call) []uint64 {
	if c.prefix == 0 {
		return nil
	}
	keys := make([]uint64, c.shared/blockTokens)
	for n := range keys {
		keys[n] = c.prefix<<16 | uint64(n)
	}
	return keys
}

func (d *decisions) report(now kumquatlug.Millis, r report) {
	if r.alive {
		d.health.Heartbeat(now, r.target)
		d.lastBeat[r.target] = now
	}
	d.world.engine(r.target).agent.gossip(now, d.register)
	d.set(now, r.target, r.zone, r.role, r.ready)
	d.targets.Report(now, r.target, limit.Load{
		Age: now - r.taken, Asked: now, Running: int64(r.running), Waiting: int64(r.waiting), Used: int64(r.kvUsed), Total: kvTokens,
	})
	d.router.Report(now, r.target, routing.Load{
		Running: r.running, Waiting: r.waiting, KVUsed: r.kvUsed, KVTotal: kvTokens, DecodeRate: r.decodes,
		TakenAt: r.taken, Begun: r.begun[d.entry], Incarnation: fmt.Sprint(r.incarnation),
	})
	d.router.SetWeight(r.target, d.health.Weight(now, r.target))
}

// missBeats tells the health group of targets whose report is overdue.
func (d *decisions) missBeats(now kumquatlug.Millis) {
	if now%reportEvery != 0 {
		return
	}
	for _, e := range d.world.engines {
		if now-d.lastBeat[e.name] > reportEvery+reportLag {
			d.health.HeartbeatMissed(now, e.name)
			d.router.SetWeight(e.name, d.health.Weight(now, e.name))
		}
	}
}
