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
	// look is how often fronts look at what time makes due.
	look = 20 * kumquatlug.Millis(1)
	// way is how long a message between a front and an engine takes.
	way = 1 * kumquatlug.Millis(1)
	// comeBack is when a refused client comes back.
	comeBack = 500 * kumquatlug.Millis(1)
	// control is how often the split is looked at.
	control = 250 * kumquatlug.Millis(1)
)

// site is the state of a play.
type site struct {
	sheet   Sheet
	engines []*engine
	names   map[string]*engine
	fronts  []*placement.Placer
	turns   []map[uint64]*request
	lastKey uint64
	// later are things to happen, by time.
	later map[kumquatlug.Millis][]func(now kumquatlug.Millis)
	// frontAt is the number of each front by its name.
	frontAt map[string]int
	swing   *planner.Swing
	part    float64
	r       Result
	limits  []Limit
	heard   map[hearing]kumquatlug.Millis
}

// Play plays a load under a policy.
func Play(s Sheet, load []Span, p Policy, seed uint64) Result {
	requests := draw(s, load, seed)
	w := newSite(s, p)
	end := kumquatlug.Millis(len(load))*spanLength + s.StreamDeadline
	next := 0
	for now := kumquatlug.Millis(1); now < end; now++ {
		for next < len(requests) && requests[next].arrives <= now {
			w.arrive(now, requests[next])
			next++
		}
		w.tick(now, p.Follow)
	}
	w.r.Excess = w.excess()
	w.r.sum(requests, len(load))
	return w.r
}

func newSite(s Sheet, p Policy) *site {
	w := &site{
		sheet: s, frontAt: map[string]int{}, names: map[string]*engine{}, later: map[kumquatlug.Millis][]func(kumquatlug.Millis){},
		part: float64(p.Readers) / float64(s.Engines), limits: p.Limits, heard: map[hearing]kumquatlug.Millis{},
	}
	p.Swing.Part = w.part
	w.swing = planner.NewSwing(p.Swing)
	for i := range s.Engines {
		role := kumquatlug.RoleDecode
		if i < p.Readers {
			role = kumquatlug.RolePrefill
		}
		w.engines = append(w.engines, newEngine(s, role))
		w.names[name(i)] = w.engines[i]
	}
	for i := range s.Fronts {
		c := placement.Config{Zone: zone(i, s), Shares: sharesOf(i, s)}
		if s.Coordinators {
			c.Coordinators = w.coordinators(i)
		}
		placer := placement.New(c)
		placer.SetMemory(s.Memory)
		w.fronts = append(w.fronts, placer)
		w.turns = append(w.turns, map[uint64]*request{})
	}
	w.sync(0)
	return w
}

// coordinators returns what a front knows of the others.
func (w *site) coordinators(i int) *coordinator.Fronts {
	known := coordinator.New(frontName(i))
	names := make([]string, w.sheet.Fronts)
	for k := range names {
		names[k] = frontName(k)
		w.frontAt[names[k]] = k
	}
	known.Set(names)
	return known
}

// post takes the messages of a front to the others.
func (w *site) post(now kumquatlug.Millis, from int) {
	for _, m := range w.fronts[from].Outbox() {
		to := w.frontAt[m.Front]
		m.Front = frontName(from)
		w.after(now, func(at kumquatlug.Millis) { w.said(at, to, m) })
	}
}

// said takes a message of another front.
func (w *site) said(now kumquatlug.Millis, to int, m kumquatlug.TurnMessage) {
	p := w.fronts[to]
	switch m.Turn.Step {
	case kumquatlug.TurnAsked, kumquatlug.TurnOver:
		p.Requested(now, m)
	default:
		if due, ended := p.Answered(now, m); ended {
			w.due(now, to, due)
		}
	}
	w.pump(now, to)
}

func frontName(i int) string     { return fmt.Sprintf("f%03d", i) }
func name(i int) string          { return fmt.Sprintf("e%02d", i) }
func zone(i int, s Sheet) string { return fmt.Sprint("zone-", i%s.Zones) }

// sync tells all fronts the engines' roles.
func (w *site) sync(now kumquatlug.Millis) {
	members := make([]kumquatlug.Member, len(w.engines))
	for i, e := range w.engines {
		members[i] = kumquatlug.Member{
			Worker: kumquatlug.NewWorker(name(i), "10.0.0.1:1"), Service: "s", Zone: zone(i, w.sheet),
			State: kumquatlug.MemberReady, Slots: w.sheet.Slots, Role: e.role,
		}
	}
	for _, f := range w.fronts {
		f.Sync(now, members)
	}
}

// tick plays one ms.
func (w *site) tick(now kumquatlug.Millis, follow bool) {
	for _, f := range w.later[now] {
		f(now)
	}
	delete(w.later, now)
	for i, e := range w.engines {
		role := e.role
		first, ended := e.advance(now)
		if e.role != role {
			w.sync(now)
		}
		for _, j := range first {
			w.after(now, func(at kumquatlug.Millis) { w.output(at, j) })
		}
		for _, j := range ended {
			w.after(now, func(at kumquatlug.Millis) { w.ended(at, i, j) })
		}
	}
	if now%look == 0 {
		for i, f := range w.fronts {
			f.Measure(now)
			f.Remind(now)
			w.pump(now, i)
		}
	}
	if follow && now%control == 0 {
		w.steer(now)
	}
}

// after has f happen when a message has arrived.
func (w *site) after(now kumquatlug.Millis, f func(kumquatlug.Millis)) {
	w.later[now+way] = append(w.later[now+way], f)
}

// arrive brings a request to its front.
func (w *site) arrive(now kumquatlug.Millis, r *request) {
	w.lastKey++
	p := w.fronts[r.front]
	entry, c, ticket := p.Enter(now, w.lastKey, r.query())
	switch entry {
	case placement.EntrySent:
		w.send(now, &job{request: r, front: r.front, ticket: ticket, apart: c.Apart(), place: c.Place()}, c)
	case placement.EntryWaits:
		w.turns[r.front][w.lastKey] = r
	default:
		w.refuse(now, r)
	}
	w.pump(now, r.front)
}

// query asks for an engine.
func (r *request) query() placement.Query {
	return placement.Query{Prompt: r.prompt, Target: r.arrives + r.aim, Until: r.arrives + r.until, Worth: r.credit}
}

// refuse sends a client away; it comes back once.
func (w *site) refuse(now kumquatlug.Millis, r *request) {
	if r.again > 0 || now+comeBack > r.arrives+r.until {
		return
	}
	r.again++
	w.later[now+comeBack] = append(w.later[now+comeBack], func(at kumquatlug.Millis) { w.arrive(at, r) })
}

// pump sends the prompts whose turn has come at a front.
func (w *site) pump(now kumquatlug.Millis, front int) {
	for _, due := range w.fronts[front].Due(now) {
		w.due(now, front, due)
	}
	w.post(now, front)
}

// due sends a prompt whose turn has come, or refuses it.
func (w *site) due(now kumquatlug.Millis, front int, due placement.Due) {
	r := w.turns[front][due.Key()]
	delete(w.turns[front], due.Key())
	if due.Ticket() == nil {
		w.refuse(now, r)
		return
	}
	c := due.Choice()
	w.send(now, &job{request: r, front: front, ticket: due.Ticket(), apart: c.Apart(), place: c.Place()}, c)
}

// send brings an attempt to an engine.
func (w *site) send(now kumquatlug.Millis, j *job, c placement.Choice) {
	e := w.names[c.Worker().ID()]
	w.after(now+c.Delay(), func(at kumquatlug.Millis) {
		w.noteArrival(at, e, j)
		if e.take(j) {
			return
		}
		w.fronts[j.front].End(at, j.ticket, placement.OutcomeRefused)
		w.refuse(at, j.request)
	})
}

// output notes the first output of an attempt.
func (w *site) output(now kumquatlug.Millis, j *job) {
	p := w.fronts[j.front]
	w.tellLimit(now, j)
	p.Read(now, j.ticket)
	p.Heard(now, j.ticket)
	if j.request.firstAt == 0 {
		j.request.firstAt = now
	}
}

// ended notes the end of an attempt; a prompt that was read goes on to its output.
func (w *site) ended(now kumquatlug.Millis, at int, j *job) {
	p := w.fronts[j.front]
	p.Report(now, name(at), w.engines[at].load())
	if j.apart {
		w.tellLimit(now, j)
	}
	p.End(now, j.ticket, placement.OutcomeGood)
	if !j.apart {
		j.request.done = !j.request.lost
		w.pump(now, j.front)
		return
	}
	q := j.request.query()
	q.CacheZone, q.Place = zone(at, w.sheet), j.place
	c, found := p.Output(now, q)
	if !found {
		w.r.WasteTokens += j.request.own
		w.refuse(now, j.request)
		return
	}
	w.send(now, &job{request: j.request, front: j.front, ticket: p.Begin(now, c, j.request.prompt), read: true}, c)
	w.pump(now, j.front)
}

// steer lets the first front look at the split, and changes roles.
func (w *site) steer(now kumquatlug.Millis) {
	p := w.fronts[0].Pressure()
	view := planner.SwingView{Reading: p.Reading(), Taken: p.Taken(), Coming: p.Coming()}
	engines := make([]planner.SplitEngine, len(w.engines))
	for i, e := range w.engines {
		role := e.role
		if e.changing != 0 {
			role = e.next
		}
		engines[i] = planner.SplitEngine{Target: name(i), Zone: zone(i, w.sheet), Role: role}
		if role == kumquatlug.RolePrefill {
			view.Readers++
		} else {
			view.Writers++
		}
	}
	if !w.swing.Look(now, view) {
		return
	}
	roles := map[string]kumquatlug.Role{}
	for _, change := range planner.KeepSplit(engines, w.swing.Part()) {
		roles[change.Target()] = change.To()
		w.change(now, w.names[change.Target()], change.To())
		w.r.Changes++
	}
	for _, f := range w.fronts {
		f.Announce(now, roles)
	}
}

// change takes an engine away for a while; its streams go on elsewhere.
func (w *site) change(now kumquatlug.Millis, e *engine, to kumquatlug.Role) {
	e.changing, e.next = now+w.sheet.Change, to
	running := e.running
	moving := append(slices.Clone(running), e.waiting...)
	e.running, e.waiting, e.tokens = nil, nil, 0
	for _, j := range moving {
		p := w.fronts[j.front]
		p.End(now, j.ticket, placement.OutcomeGood)
		c, found := p.Output(now, placement.Query{Prompt: j.request.prompt})
		if !found {
			continue
		}
		j.ticket = p.Begin(now, c, j.request.prompt)
		target := w.names[c.Worker().ID()]
		if slices.Contains(running, j) {
			j.endStep -= e.steps
		}
		target.waiting = append(target.waiting, j)
	}
}

// sum works out what clients received.
func (r *Result) sum(requests []*request, windows int) {
	owed, earned := make([]float64, windows), make([]float64, windows)
	var kindOwed, kindEarned [2]float64
	for _, one := range requests {
		at := int(one.arrives / spanLength)
		kind := 0
		if one.stream {
			kind = 1
		}
		got := one.earned()
		owed[at] += one.worth
		earned[at] += got
		kindOwed[kind] += one.worth
		kindEarned[kind] += got
	}
	for i := range owed {
		r.Windows = append(r.Windows, part01(earned[i], owed[i]))
	}
	r.Documents, r.Streams = part01(kindEarned[0], kindOwed[0]), part01(kindEarned[1], kindOwed[1])
	r.Worth = part01(kindEarned[0]+kindEarned[1], kindOwed[0]+kindOwed[1])
}

// earned is what a request came to.
func (r *request) earned() float64 {
	switch {
	case !r.done || r.firstAt == 0:
		return 0
	case r.firstAt-r.arrives <= r.aim:
		return r.worth
	}
	return r.late
}

func part01(a, of float64) float64 {
	if of == 0 {
		return math.NaN()
	}
	return a / of
}
