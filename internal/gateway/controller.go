package gateway

import (
	"context"
	"maps"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

// Figures of ordering engines.
const (
	// controlInterval is how often the lease and the roles are looked at.
	controlInterval = 250 * kumquatlug.Millis(1)
	// The lease: taken over within seven seconds of a holder's death, in which
	// requests flow on; renewed by two calls each 1.5 s.
	leaseTTL           = 4500 * kumquatlug.Millis(1)
	leaseMargin        = 700 * kumquatlug.Millis(1)
	leaseRenewInterval = 1500 * kumquatlug.Millis(1)
	leaseRetryDelay    = 500 * kumquatlug.Millis(1)
	// leasePollersPerRenewal is how many fronts watch the lease at each renewal, all together;
	// with more of them each looks more seldom. maxLeasePollers bounds that.
	leasePollersPerRenewal = 3
	maxLeasePollers        = 100
	// handoverMargin is added to the least time between orders of two holders: an
	// order that left last may have been on its way.
	handoverMargin = 1 * kumquatlug.Second
	// orderTimeout bounds one call to an engine.
	orderTimeout = 800 * kumquatlug.Millis(1)
	// minMismatch is how long a split is wrong before an order is given.
	minMismatch = 1 * kumquatlug.Second
	// orderCompletionTimeout is how long an order counts as on its way. Some engines carry
	// orders out twelve seconds late; a second order meanwhile is not wrong, as
	// it names the count of orders that it presumes.
	orderCompletionTimeout = 5 * kumquatlug.Second
	// refusedOrderDelay is how long an engine that refused an order is not asked again:
	// an order that it carries out takes three seconds.
	refusedOrderDelay = 4 * kumquatlug.Second
	// unreachableOrderDelay is the same for one that could not be asked.
	unreachableOrderDelay = 1 * kumquatlug.Second
)

// controller gives orders to engines while this front holds the lease.
type controller struct {
	g      *Gateway
	holder *lease.Holder
	// splits follow the load of each service.
	splits map[string]*planner.Swing
	// leaseNumber is the present lease's fencing number, zero without one.
	leaseNumber lease.Number
	// deferredUntil are engines that refused an order, with the time until which they
	// are not asked again.
	deferredUntil map[string]kumquatlug.Millis
	// announcedRoles are the roles of the last plan, by service.
	announcedRoles map[string]map[string]kumquatlug.Role
	// pendingOrders are the roles ordered and not yet seen, with the time.
	pendingOrders map[string]pendingOrder
	// mismatchSince is since when each service has had another split than wanted.
	mismatchSince map[string]kumquatlug.Millis
}

func newController(g *Gateway, holder *lease.Holder) *controller {
	return &controller{
		g: g, holder: holder, splits: map[string]*planner.Swing{}, deferredUntil: map[string]kumquatlug.Millis{},
		announcedRoles: map[string]map[string]kumquatlug.Role{}, pendingOrders: map[string]pendingOrder{}, mismatchSince: map[string]kumquatlug.Millis{},
	}
}

type pendingOrder struct {
	role kumquatlug.Role
	at   kumquatlug.Millis
}

// engineLeaseGroup names the one group of engines that a site has.
const engineLeaseGroup = "engines"

// runController keeps the lease and the roles of engines.
func (g *Gateway) runController(ctx context.Context) {
	holder, err := lease.New(lease.Config{
		Group: engineLeaseGroup, Me: g.c.VM + "/" + g.c.Incarnation, Predecessors: g.c.VM + "/",
		Turn: g.c.OrderTurn + handoverMargin, TTL: leaseTTL, Margin: leaseMargin,
		Renew: leaseRenewInterval, Retry: leaseRetryDelay, Timeout: storeCallTimeout,
	})
	if err != nil {
		g.c.Logger.Error("no orders will be given", logs.Error(err))
		return
	}
	v := newController(g, holder)
	for sleep(ctx, controlInterval) {
		if g.stopping() {
			// Nobody acts by the lease once it may be given back.
			g.term.Store(nil)
		}
		holder.Want(!g.stopping())
		holder.Watch(leaseRenewInterval * kumquatlug.Millis(min(g.scheduler.gatewayCount(), maxLeasePollers)) / leasePollersPerRenewal)
		v.maintainLease(ctx)
		term := holder.Term(g.c.Awake.Now())
		g.term.Store(&term)
		g.metrics.leaseNumber.Set(float64(term.Number()))
		if holder.MayOrder(g.c.Awake.Now()) {
			v.applySplits(ctx)
		}
	}
}

// maintainLease makes the calls to the store that the lease asks for.
func (v *controller) maintainLease(ctx context.Context) {
	c := v.g.c
	for i := v.holder.Next(c.Awake.Now()); i.Action() != lease.ActionNone; {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		var row kumquatlug.Row
		var err error
		if i.Action() == lease.ActionRead {
			row, err = c.Table.Get(call, i.Key())
		} else {
			err = c.Table.Commit(call, i.Tx())
		}
		cancel()
		i = v.holder.Answered(c.Awake.Now(), i, row, err)
	}
	now := c.Awake.Now()
	fence, held := v.holder.Held(now)
	if !held {
		if v.leaseNumber != 0 {
			c.Logger.Info("lease lost", zap.Int64("fence", int64(v.leaseNumber)))
		}
		v.leaseNumber = 0
		return
	}
	if fence != v.leaseNumber {
		v.leaseNumber = fence
		c.Logger.Info("lease won", zap.Int64("fence", int64(fence)))
	}
}

// applySplits brings the engines of each service to their split.
func (v *controller) applySplits(ctx context.Context) {
	table := v.g.table.Load()
	if table == nil {
		return
	}
	now := v.g.c.Awake.Now()
	set := v.g.members.Load()
	for _, name := range table.Services() {
		if s, _ := table.Service(name); !s.Engine() {
			continue
		}
		engines, workers := v.engines(now, set.byService[name], v.g.scheduler.activities(name))
		changes := planner.KeepSplit(engines, v.prefillShare(now, name, engines))
		if !v.mismatchPersists(now, name, len(changes) > 0) {
			continue
		}
		if announced := v.announceRoles(ctx, name, workers, changes); !announced && hasBothRoles(engines) {
			// Fronts that don't know of a change go on sending there, and what they
			// send is refused for as long as it takes. The split can wait for the
			// store, unless nobody is left on one side.
			v.g.applyPlan(name, rolePlan{Roles: v.announcedRoles[name]})
			continue
		}
		for _, change := range changes {
			if _, pending := v.pendingOrders[change.Target()]; !pending && ctx.Err() == nil {
				v.sendOrder(ctx, workers[change.Target()], change)
			}
		}
		// What took no order works as before.
		v.announceRoles(ctx, name, workers, nil)
	}
}

// hasBothRoles reports whether engines of both roles are there.
func hasBothRoles(engines []planner.SplitEngine) bool {
	roles := map[kumquatlug.Role]bool{}
	for _, e := range engines {
		roles[e.Role] = true
	}
	return roles[kumquatlug.RolePrefill] && roles[kumquatlug.RoleDecode]
}

// announceRoles tells all fronts which of a service's engines are about to change their
// role, and reports whether they know. A plan that was not told is told again with
// the next look.
func (v *controller) announceRoles(
	ctx context.Context, service string, engines map[string]kumquatlug.Worker, changes []kumquatlug.RoleChange,
) bool {
	p := rolePlan{Roles: map[string]kumquatlug.Role{}}
	for id, o := range v.pendingOrders {
		if _, ours := engines[id]; ours {
			p.Roles[id] = o.role
		}
	}
	for _, change := range changes {
		p.Roles[change.Target()] = change.To()
	}
	if maps.Equal(p.Roles, v.announcedRoles[service]) {
		return true
	}
	published := v.g.publishPlan(ctx, service, p)
	if published {
		v.announcedRoles[service] = p.Roles
	}
	return published
}

// prefillShare returns the part of a service's engines that should read prompts.
func (v *controller) prefillShare(now kumquatlug.Millis, service string, engines []planner.SplitEngine) float64 {
	split, known := v.splits[service]
	if !known {
		split = planner.NewSwing(planner.SwingConfig{Part: v.g.c.ReadPart})
		v.splits[service] = split
	}
	p := v.g.scheduler.load(service)
	load := planner.SwingView{Reading: p.Reading(), Taken: p.Taken(), Coming: p.Coming()}
	for _, e := range engines {
		if e.Role == kumquatlug.RolePrefill {
			load.Readers++
		} else {
			load.Writers++
		}
	}
	if load.Readers+load.Writers > 1 && split.Look(now, load) {
		// The swing has seen for how long it lasts.
		v.mismatchSince[service] = now - minMismatch
		v.g.c.Logger.Info("split", zap.String("service", service), zap.Float64("part", split.Part()),
			zap.Int("readers", load.Readers), zap.Int("writers", load.Writers), zap.Float64("reading", load.Reading),
			zap.Float64("late", p.Late()), zap.Float64("taken", load.Taken), zap.Float64("coming", load.Coming))
	}
	return split.Part()
}

// mismatchPersists reports that a split has been wrong for a while. While engines are
// replaced one after the other each moment looks wrong in another way, and an
// engine that was ordered away from its streams is gone for many seconds.
func (v *controller) mismatchPersists(now kumquatlug.Millis, service string, mismatch bool) bool {
	since, known := v.mismatchSince[service]
	switch {
	case !mismatch:
		delete(v.mismatchSince, service)
		return false
	case !known:
		v.mismatchSince[service] = now
		return false
	}
	return now-since >= minMismatch
}

// engines returns the engines that take work, in the roles that they have or
// are on their way to.
func (v *controller) engines(
	now kumquatlug.Millis, members []kumquatlug.Member, use map[string]placement.Use,
) ([]planner.SplitEngine, map[string]kumquatlug.Worker) {
	var engines []planner.SplitEngine
	workers := map[string]kumquatlug.Worker{}
	for _, m := range members {
		if m.State != kumquatlug.MemberReady || m.Role == "" {
			// An engine that names no role takes no orders to change it.
			continue
		}
		id, role := m.Worker.ID(), m.Role
		if o, pending := v.pendingOrders[id]; pending {
			if o.role == role || now-o.at > orderCompletionTimeout {
				delete(v.pendingOrders, id)
			} else {
				role = o.role
			}
		}
		if use[id] == placement.UseSilent {
			continue
		}
		if now >= v.deferredUntil[id] {
			delete(v.deferredUntil, id)
		}
		engines = append(engines, planner.SplitEngine{
			Target: id, Zone: m.Zone, Role: role, Fixed: now < v.deferredUntil[id], Idle: use[id] == placement.UseIdle,
		})
		workers[id] = m.Worker
	}
	return engines, workers
}

// orderAccepted asks an engine whether it took an order whose answer was lost. One that did
// not may carry it out seconds later; it then counts as one more change that the
// split did not want.
func (v *controller) orderAccepted(ctx context.Context, w kumquatlug.Worker, before int64) bool {
	call, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	state, err := v.g.c.Workers.State(call, w)
	return err == nil && (state.Busy || state.Orders > before)
}

// sendOrder gives one order, after asking the engine what it has been ordered so
// far: an order whose answer was lost may have been taken.
func (v *controller) sendOrder(ctx context.Context, w kumquatlug.Worker, change kumquatlug.RoleChange) {
	c := v.g.c
	call, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	state, err := c.Workers.State(call, w)
	now := c.Awake.Now()
	switch {
	case err != nil:
		v.deferredUntil[w.ID()] = now + unreachableOrderDelay
		c.Logger.Info("order put off", zap.String("worker", w.ID()), logs.Error(err))
		return
	case state.Busy, state.Role == change.To():
		// An earlier order is being carried out, most likely the same one: while
		// its streams end an engine says nothing new. With another engine in its
		// place the split would be wrong by two.
		v.pendingOrders[w.ID()] = pendingOrder{role: change.To(), at: now}
		c.Logger.Info("order put off", zap.String("worker", w.ID()), zap.Bool("busy", state.Busy))
		return
	}
	fence, held := v.holder.Held(now)
	if !held || !v.holder.MayOrder(now) {
		return
	}
	accepted, err := c.Workers.Order(call, w, kumquatlug.RoleOrder{
		Role: change.To(), Holder: c.Name, Fence: int64(fence), After: state.Orders,
	})
	outcome := "taken"
	if err != nil {
		outcome = "unanswered"
		accepted = v.orderAccepted(ctx, w, state.Orders)
	}
	switch {
	case accepted:
		v.pendingOrders[w.ID()] = pendingOrder{role: change.To(), at: now}
	default:
		v.deferredUntil[w.ID()] = now + refusedOrderDelay
		if err == nil {
			outcome = "refused"
		}
	}
	v.g.metrics.orders.WithLabelValues(outcome).Inc()
	c.Logger.Info("order", zap.String("worker", w.ID()), zap.String("to", string(change.To())),
		zap.String("reason", change.Reason()), zap.Int64("fence", int64(fence)), zap.Int64("after", state.Orders),
		zap.String("outcome", outcome), logs.Error(err))
}
