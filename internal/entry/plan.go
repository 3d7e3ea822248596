package entry

import (
	"context"
	"slices"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/order"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// Figures of the duty that plans roles.
const (
	// planTick is how often leases and orders are looked at; leases are kept by
	// seconds, orders take seconds.
	planTick = 250 * time.Millisecond
	// planLook is how often groups, engines and demand are read.
	planLook = kumquatlug.Second
	// offerEvery is how often an entry tells its demand.
	offerEvery = 2 * kumquatlug.Second
	// candidates is how many entries look after a group's lease: one may be gone
	// and one paused, and the third still takes over.
	candidates = 3
	// planInbox bounds the answers that wait for the planner; what finds it full
	// is repeated by its sender.
	planInbox = 256
	// orderTimeout bounds the sending of one order.
	orderTimeout = 2 * time.Second
)

// groupPlan is what this entry does for one group of engines.
type groupPlan struct {
	name string
	// kind is the model whose prompts and outputs the group shares out.
	kind    string
	holder  *lease.Holder
	sender  *order.Sender
	planner kumquatlug.RolePlanner
	number  lease.Number
	engines map[string]engineView
	// reports are what the registered engines last told, in name order.
	reports []kumquatlug.EngineReport
}

// engineView is one engine of a group as the last heartbeat told it.
type engineView struct {
	address string
	report  dispatch.Report
}

// Messages to the planner's goroutine.
type (
	leaseAnswered struct {
		group  string
		intent lease.Intent
		row    kumquatlug.Row
		err    error
	}
	orderAnswered struct {
		group  string
		target string
		id     order.ID
		reply  order.Reply
		err    error
	}
	offered struct {
		kind  string
		offer kumquatlug.Offer
	}
)

// plans keeps the leases of groups and gives their engines orders. One goroutine
// owns it.
type plans struct {
	entry  *Entry
	inbox  chan any
	groups map[string]*groupPlan
	// known are the groups of targets at a revision of the config.
	known     map[string]string
	knownAt   config.Revision
	watching  []string
	lookedAt  kumquatlug.Millis
	offeredAt kumquatlug.Millis
}

func newPlans(e *Entry) *plans {
	return &plans{entry: e, inbox: make(chan any, planInbox), groups: map[string]*groupPlan{}}
}

func (p *plans) now() kumquatlug.Millis { return p.entry.c.Clock.Now() }

// post hands a message to the planner's goroutine, or drops it when there are
// too many: table and agents are asked again, demand is told again.
func (p *plans) post(message any) {
	select {
	case p.inbox <- message:
	default:
	}
}

// run plans until ctx ends. A stopping entry no longer wants its leases from the
// moment it says that it is not ready (see look), so that the next holder need
// not wait for them to lapse.
func (p *plans) run(ctx context.Context) error {
	tick := time.NewTicker(planTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-p.inbox:
			p.take(ctx, message)
		case <-tick.C:
			p.act(ctx)
		}
	}
}

func (p *plans) take(ctx context.Context, message any) {
	switch m := message.(type) {
	case leaseAnswered:
		if g, known := p.groups[m.group]; known {
			p.ask(ctx, g, g.holder.Answered(p.now(), m.intent, m.row, m.err))
		}
	case orderAnswered:
		p.takeReply(m)
	case offered:
		p.takeOffer(m)
	}
}

// act does what is due.
func (p *plans) act(ctx context.Context) {
	now := p.now()
	if now-p.lookedAt >= planLook {
		p.lookedAt = now
		p.look(ctx, now)
	}
	if now-p.offeredAt >= offerEvery {
		p.tellOffers(ctx, now-p.offeredAt)
		p.offeredAt = now
	}
	for _, g := range p.groups {
		p.ask(ctx, g, g.holder.Next(now))
		p.order(ctx, g)
	}
}

// look reads which groups there are and what their engines reported.
func (p *plans) look(ctx context.Context, now kumquatlug.Millis) {
	state := p.entry.State()
	engines := map[string]map[string]engineView{}
	kinds := map[string]string{}
	var entries, watch []string
	err := p.entry.loop.ask(ctx, func(d *dispatch.Dispatcher) {
		entries = append(entries, d.Entries()...)
		for _, name := range d.Members() {
			group := p.plannedGroup(state, d, name)
			if group == "" {
				continue
			}
			if engines[group] == nil {
				engines[group] = map[string]engineView{}
				kind, _ := d.Flexible(name)
				kinds[group] = kind.Name()
			}
			m, _ := d.Member(name)
			engines[group][name] = engineView{address: m.VM().Address(), report: d.LastReport(name)}
		}
	})
	if err != nil {
		return
	}
	for name, members := range engines {
		g := p.group(name)
		g.kind = kinds[name]
		g.holder.Want(p.candidate(name, entries) && !p.entry.notReady.Load())
		p.report(now, g, members)
		if _, held := g.holder.Held(now); held {
			for target := range members {
				watch = append(watch, target)
			}
		}
	}
	for name, g := range p.groups {
		if engines[name] == nil {
			g.holder.Want(false)
		}
	}
	slices.Sort(watch)
	if slices.Equal(watch, p.watching) {
		return
	}
	p.watching = watch
	_ = p.entry.loop.ask(ctx, func(d *dispatch.Dispatcher) { d.WatchAlso(now, watch) })
}

// plannedGroup returns the group of an engine whose role may change: one that
// selectors give both prompts and outputs.
func (p *plans) plannedGroup(state config.State, d *dispatch.Dispatcher, target string) string {
	if p.knownAt != state.Revision() || p.known == nil {
		// Found anew each second for each of ten thousand targets the groups
		// took a third of a core (docs/CAPACITY.md).
		p.known, p.knownAt = map[string]string{}, state.Revision()
	}
	group, found := p.known[target]
	if !found {
		if _, flexible := d.Flexible(target); flexible {
			group = d.Group(target)
		}
		p.known[target] = group
	}
	return group
}

func (p *plans) candidate(group string, entries []string) bool {
	for i, name := range routing.ServiceOrder(group, entries) {
		if i < candidates && name == p.entry.c.Name {
			return true
		}
	}
	return false
}

func (p *plans) group(name string) *groupPlan {
	if g, known := p.groups[name]; known {
		return g
	}
	holder, err := lease.New(lease.Config{Group: name, Me: p.entry.c.Name + "/" + p.entry.incarnation})
	if err != nil {
		// Only an empty name is refused, and groups have names.
		panic(err)
	}
	g := &groupPlan{
		name: name, holder: holder, sender: order.NewSender(order.SenderConfig{}), planner: p.entry.c.Planner(),
		engines: map[string]engineView{},
	}
	p.groups[name] = g
	return g
}

// report hands what engines told to the sender and the planner.
func (p *plans) report(now kumquatlug.Millis, g *groupPlan, members map[string]engineView) {
	for name := range g.engines {
		if _, still := members[name]; !still {
			g.planner.Remove(now, name)
		}
	}
	g.engines = members
	g.reports = g.reports[:0]
	for _, name := range sortedNames(members) {
		e := members[name]
		settled, ended := g.sender.Heard(order.Report{
			Target: name, Incarnation: order.Incarnation(e.report.Starts), Number: lease.Number(e.report.Fence),
			Phase: order.Phase(e.report.Phase),
		})
		if ended {
			p.settled(g, settled)
		}
		report := kumquatlug.EngineReport{
			Target: name, Role: e.report.Role, Going: p.going(g, name), TakenAt: e.report.Asked - e.report.Age,
			InHand: int(e.report.Running), Waiting: int(e.report.Waiting),
			PrefillRate: e.report.PrefillRate, DecodeRate: e.report.DecodeRate,
		}
		g.planner.Report(now, report)
		if e.report.Starts > 0 {
			// An agent that is not registered yet takes no orders.
			g.reports = append(g.reports, report)
		}
	}
}

// ask sends an intent to the table and brings the answer back.
func (p *plans) ask(ctx context.Context, g *groupPlan, i lease.Intent) {
	if i.Action() == lease.ActionNone {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		m := leaseAnswered{group: g.name, intent: i}
		if i.Action() == lease.ActionRead {
			m.row, m.err = p.entry.c.Table.Get(ctx, i.Key())
		} else {
			m.err = p.entry.c.Table.Commit(ctx, i.Tx())
		}
		select {
		case p.inbox <- m:
		case <-p.entry.loop.stopped:
		}
	}()
}
