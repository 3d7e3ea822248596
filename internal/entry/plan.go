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
	// roleTickInterval is how often leases and orders are looked at; leases are kept by
	// seconds, orders take seconds.
	roleTickInterval = 250 * time.Millisecond
	// groupRefreshInterval is how often groups, engines and demand are read.
	groupRefreshInterval = kumquatlug.Second
	// demandReportInterval is how often an entry tells its demand.
	demandReportInterval = 2 * kumquatlug.Second
	// leaseCandidates is how many entries look after a group's lease: one may be gone
	// and one paused, and the third still takes over.
	leaseCandidates = 3
	// roleInboxSize bounds the answers that wait for the planner; what finds it full
	// is repeated by its sender.
	roleInboxSize = 256
	// controlTimeout bounds the sending of one order.
	controlTimeout = 2 * time.Second
)

// engineGroup is what this entry does for one group of engines.
type engineGroup struct {
	name string
	// kind is the model whose prompts and outputs the group shares out.
	kind        string
	holder      *lease.Holder
	sender      *order.Sender
	planner     kumquatlug.RolePlanner
	leaseNumber lease.Number
	engines     map[string]engineState
	// reports are what the registered engines last told, in name order.
	reports []kumquatlug.EngineReport
}

// engineState is one engine of a group as the last heartbeat told it.
type engineState struct {
	address string
	report  dispatch.Report
}

// Messages to the planner's goroutine.
type (
	leaseReply struct {
		group  string
		intent lease.Intent
		row    kumquatlug.Row
		err    error
	}
	orderReply struct {
		group  string
		target string
		id     order.ID
		reply  order.Reply
		err    error
	}
	demandReport struct {
		kind   string
		demand kumquatlug.Offer
	}
)

// roleController keeps the leases of groups and gives their engines orders. One goroutine
// owns it.
type roleController struct {
	entry  *Entry
	inbox  chan any
	groups map[string]*engineGroup
	// groupByTarget are the groups of targets at a revision of the config.
	groupByTarget    map[string]string
	groupsRevision   config.Revision
	watchedTargets   []string
	refreshedAt      kumquatlug.Millis
	demandReportedAt kumquatlug.Millis
}

func newRoleController(e *Entry) *roleController {
	return &roleController{entry: e, inbox: make(chan any, roleInboxSize), groups: map[string]*engineGroup{}}
}

func (c *roleController) now() kumquatlug.Millis { return c.entry.cfg.Clock.Now() }

// post hands a message to the planner's goroutine, or drops it when there are
// too many: table and agents are asked again, demand is told again.
func (c *roleController) post(message any) {
	select {
	case c.inbox <- message:
	default:
	}
}

// run plans until ctx ends. A stopping entry no longer wants its leases from the
// moment it says that it is not ready (see look), so that the next holder need
// not wait for them to lapse.
func (c *roleController) run(ctx context.Context) error {
	ticker := time.NewTicker(roleTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case message := <-c.inbox:
			c.handle(ctx, message)
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (c *roleController) handle(ctx context.Context, message any) {
	switch m := message.(type) {
	case leaseReply:
		if g, known := c.groups[m.group]; known {
			c.execute(ctx, g, g.holder.Answered(c.now(), m.intent, m.row, m.err))
		}
	case orderReply:
		c.handleOrderReply(m)
	case demandReport:
		c.handleDemand(m)
	}
}

// tick does what is due.
func (c *roleController) tick(ctx context.Context) {
	now := c.now()
	if now-c.refreshedAt >= groupRefreshInterval {
		c.refreshedAt = now
		c.refresh(ctx, now)
	}
	if now-c.demandReportedAt >= demandReportInterval {
		c.reportDemand(ctx, now-c.demandReportedAt)
		c.demandReportedAt = now
	}
	for _, g := range c.groups {
		c.execute(ctx, g, g.holder.Next(now))
		c.syncOrders(ctx, g)
	}
}

// refresh reads which groups there are and what their engines reported.
func (c *roleController) refresh(ctx context.Context, now kumquatlug.Millis) {
	state := c.entry.State()
	engines := map[string]map[string]engineState{}
	kinds := map[string]string{}
	var entries, targets []string
	err := c.entry.loop.query(ctx, func(d *dispatch.Dispatcher) {
		entries = append(entries, d.Entries()...)
		for _, name := range d.Members() {
			group := c.plannedGroup(state, d, name)
			if group == "" {
				continue
			}
			if engines[group] == nil {
				engines[group] = map[string]engineState{}
				kind, _ := d.Flexible(name)
				kinds[group] = kind.Name()
			}
			m, _ := d.Member(name)
			engines[group][name] = engineState{address: m.VM().Address(), report: d.LastReport(name)}
		}
	})
	if err != nil {
		return
	}
	for name, members := range engines {
		g := c.ensureGroup(name)
		g.kind = kinds[name]
		g.holder.Want(c.isLeaseCandidate(name, entries) && !c.entry.draining.Load())
		c.updateEngines(now, g, members)
		if _, held := g.holder.Held(now); held {
			for target := range members {
				targets = append(targets, target)
			}
		}
	}
	for name, g := range c.groups {
		if engines[name] == nil {
			g.holder.Want(false)
		}
	}
	slices.Sort(targets)
	if slices.Equal(targets, c.watchedTargets) {
		return
	}
	c.watchedTargets = targets
	_ = c.entry.loop.query(ctx, func(d *dispatch.Dispatcher) { d.WatchAlso(now, targets) })
}

// plannedGroup returns the group of an engine whose role may change: one that
// selectors give both prompts and outputs.
func (c *roleController) plannedGroup(state config.State, d *dispatch.Dispatcher, target string) string {
	if c.groupsRevision != state.Revision() || c.groupByTarget == nil {
		// Found anew each second for each of ten thousand targets the groups
		// took a third of a core (docs/CAPACITY.md).
		c.groupByTarget, c.groupsRevision = map[string]string{}, state.Revision()
	}
	group, found := c.groupByTarget[target]
	if !found {
		if _, flexible := d.Flexible(target); flexible {
			group = d.Group(target)
		}
		c.groupByTarget[target] = group
	}
	return group
}

func (c *roleController) isLeaseCandidate(group string, entries []string) bool {
	for i, name := range routing.ServiceOrder(group, entries) {
		if i < leaseCandidates && name == c.entry.cfg.Name {
			return true
		}
	}
	return false
}

func (c *roleController) ensureGroup(name string) *engineGroup {
	if g, known := c.groups[name]; known {
		return g
	}
	holder, err := lease.New(lease.Config{Group: name, Me: c.entry.cfg.Name + "/" + c.entry.incarnation})
	if err != nil {
		// Only an empty name is refused, and groups have names.
		panic(err)
	}
	g := &engineGroup{
		name: name, holder: holder, sender: order.NewSender(order.SenderConfig{}), planner: c.entry.cfg.Planner(),
		engines: map[string]engineState{},
	}
	c.groups[name] = g
	return g
}

// updateEngines hands what engines told to the sender and the planner.
func (c *roleController) updateEngines(now kumquatlug.Millis, g *engineGroup, members map[string]engineState) {
	for name := range g.engines {
		if _, present := members[name]; !present {
			g.planner.Remove(now, name)
		}
	}
	g.engines = members
	g.reports = g.reports[:0]
	for _, name := range sortedNames(members) {
		e := members[name]
		settlement, ended := g.sender.Heard(order.Report{
			Target: name, Incarnation: order.Incarnation(e.report.Starts), Number: lease.Number(e.report.Fence),
			Phase: order.Phase(e.report.Phase),
		})
		if ended {
			c.orderSettled(g, settlement)
		}
		report := kumquatlug.EngineReport{
			Target: name, Role: e.report.Role, Going: c.orderedRole(g, name), TakenAt: e.report.Asked - e.report.Age,
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

// execute sends an intent to the table and brings the answer back.
func (c *roleController) execute(ctx context.Context, g *engineGroup, i lease.Intent) {
	if i.Action() == lease.ActionNone {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		m := leaseReply{group: g.name, intent: i}
		if i.Action() == lease.ActionRead {
			m.row, m.err = c.entry.cfg.Table.Get(ctx, i.Key())
		} else {
			m.err = c.entry.cfg.Table.Commit(ctx, i.Tx())
		}
		select {
		case c.inbox <- m:
		case <-c.entry.loop.stopped:
		}
	}()
}
