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

// Parameters of role planning.
const (
	// roleTickInterval is the interval between checks of leases and orders.
	// Leases last seconds, and orders take seconds.
	roleTickInterval = 250 * time.Millisecond
	// groupRefreshInterval is the interval between reads of groups, engines and
	// demand.
	groupRefreshInterval = kumquatlug.Second
	// demandReportInterval is the interval between a gateway's demand reports.
	demandReportInterval = 2 * kumquatlug.Second
	// leaseCandidates is the number of gateways that compete for a group's
	// lease: with one down and one paused, the third still takes over.
	leaseCandidates = 3
	// roleInboxSize is the capacity of the controller's inbox; messages that
	// don't fit are dropped and sent again by their senders.
	roleInboxSize = 256
	// controlTimeout is the timeout of one order, demand report or lease
	// operation.
	controlTimeout = 2 * time.Second
)

// engineGroup is the state of one group of engines.
type engineGroup struct {
	name string
	// kind is the model whose prefill and decode work is divided among the
	// engines of the group.
	kind         string
	holder       *lease.Holder
	sender       *order.Sender
	planner      kumquatlug.RolePlanner
	fencingToken lease.FencingToken
	engines      map[string]engineState
	// reports are the last reports of the registered engines, in name order.
	reports []kumquatlug.EngineReport
}

// engineState is one engine of a group as of the last heartbeat.
type engineState struct {
	address string
	report  dispatch.Report
}

// Messages to the controller's goroutine.
type (
	leaseResponse struct {
		group  string
		intent lease.Intent
		row    kumquatlug.Row
		err    error
	}
	orderReply struct {
		group  string
		target string
		id     order.ID
		reply  order.Response
		err    error
	}
	demandReport struct {
		kind   string
		demand kumquatlug.Demand
	}
)

// roleController holds the leases of engine groups and sends role orders to
// their engines. It is owned by one goroutine.
type roleController struct {
	entry  *Entry
	inbox  chan any
	groups map[string]*engineGroup
	// groupByTarget caches the group of each target at the config revision
	// groupsRevision.
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

// post sends a message to the controller's goroutine, or drops it if the inbox
// is full: requests to the table and to agents are repeated, and so are demand
// reports.
func (c *roleController) post(message any) {
	select {
	case c.inbox <- message:
	default:
	}
}

// run handles messages and timer ticks until ctx ends. A gateway that shuts down
// stops renewing its leases as soon as it reports that it is not ready (see
// refresh), so that the next holder need not wait for them to expire.
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
	case leaseResponse:
		if g, known := c.groups[m.group]; known {
			c.execute(ctx, g, g.holder.HandleResponse(c.now(), m.intent, m.row, m.err))
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

// refresh reads the groups and what their engines last reported.
func (c *roleController) refresh(ctx context.Context, now kumquatlug.Millis) {
	state := c.entry.State()
	engines := map[string]map[string]engineState{}
	kinds := map[string]string{}
	var gateways, targets []string
	err := c.entry.loop.query(ctx, func(d *dispatch.Dispatcher) {
		gateways = append(gateways, d.Gateways()...)
		for _, name := range d.Members() {
			group := c.plannedGroup(state, d, name)
			if group == "" {
				continue
			}
			if engines[group] == nil {
				engines[group] = map[string]engineState{}
				kind, _ := d.SwitchableKind(name)
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
		g.holder.SetWanted(c.isLeaseCandidate(name, gateways) && !c.entry.draining.Load())
		c.updateEngines(now, g, members)
		if _, held := g.holder.Held(now); held {
			for target := range members {
				targets = append(targets, target)
			}
		}
	}
	for name, g := range c.groups {
		if engines[name] == nil {
			g.holder.SetWanted(false)
		}
	}
	slices.Sort(targets)
	if slices.Equal(targets, c.watchedTargets) {
		return
	}
	c.watchedTargets = targets
	_ = c.entry.loop.query(ctx, func(d *dispatch.Dispatcher) { d.SetExtraTargets(now, targets) })
}

// plannedGroup returns the group of an engine whose role may change: one that
// selectors assign both prefill and decode. It returns an empty string for any
// other target.
func (c *roleController) plannedGroup(state config.State, d *dispatch.Dispatcher, target string) string {
	if c.groupsRevision != state.Revision() || c.groupByTarget == nil {
		// Without this cache, finding the groups of ten thousand targets each
		// second took a third of a core (docs/CAPACITY.md).
		c.groupByTarget, c.groupsRevision = map[string]string{}, state.Revision()
	}
	group, found := c.groupByTarget[target]
	if !found {
		if _, switchable := d.SwitchableKind(target); switchable {
			group = d.Group(target)
		}
		c.groupByTarget[target] = group
	}
	return group
}

func (c *roleController) isLeaseCandidate(group string, gateways []string) bool {
	for i, name := range routing.RunOnceOrder(group, gateways) {
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
	holder, err := lease.New(lease.Config{Group: name, HolderID: c.entry.cfg.Name + "/" + c.entry.incarnation})
	if err != nil {
		// New refuses only an empty name, and groups have names.
		panic(err)
	}
	g := &engineGroup{
		name: name, holder: holder, sender: order.NewSender(order.SenderConfig{}), planner: c.entry.cfg.NewPlanner(),
		engines: map[string]engineState{},
	}
	c.groups[name] = g
	return g
}

// updateEngines passes the reports of engines to the sender and the planner.
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
		result, ended := g.sender.HandleReport(order.Report{
			Target: name, Incarnation: order.Incarnation(e.report.AgentStarts), FencingToken: lease.FencingToken(e.report.FencingToken),
			Phase: order.Phase(e.report.Phase), RequestedAt: e.report.SentAt,
		})
		if ended {
			c.orderSettled(g, result)
		}
		report := kumquatlug.EngineReport{
			Target: name, Role: e.report.Role, PendingRole: c.orderedRole(g, name), TakenAt: e.report.SentAt - e.report.LoadAge,
			InFlight: int(e.report.Running), Waiting: int(e.report.Waiting),
			PrefillRate: e.report.PrefillRate, DecodeRate: e.report.DecodeRate,
		}
		g.planner.Report(now, report)
		if e.report.AgentStarts > 0 {
			// An agent that is not registered yet accepts no orders.
			g.reports = append(g.reports, report)
		}
	}
}

// execute runs a lease operation against the platform's table and posts the
// result.
func (c *roleController) execute(ctx context.Context, g *engineGroup, i lease.Intent) {
	if i.Action() == lease.ActionNone {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		m := leaseResponse{group: g.name, intent: i}
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
