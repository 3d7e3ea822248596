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

// Parameters of the controller that assigns roles to engines.
const (
	// controlInterval is how often the lease and the roles are checked.
	controlInterval = 250 * kumquatlug.Millis(1)
	// The lease is taken over within seven seconds of a holder's crash, while requests
	// are still served. It is renewed by two calls each 1.5 s.
	leaseTTL           = 4500 * kumquatlug.Millis(1)
	leaseMargin        = 700 * kumquatlug.Millis(1)
	leaseRenewInterval = 1500 * kumquatlug.Millis(1)
	leaseRetryDelay    = 500 * kumquatlug.Millis(1)
	// leasePollersPerRenewal is how many gateways in total read the lease per renewal
	// interval; with more gateways, each polls less often. maxLeasePollers bounds the
	// poll interval.
	leasePollersPerRenewal = 3
	maxLeasePollers        = 100
	// handoverMargin is added to the minimum time between orders of two holders: the
	// last order of the previous holder may still be in transit.
	handoverMargin = 1 * kumquatlug.Second
	// orderTimeout is the timeout of one call to an engine.
	orderTimeout = 800 * kumquatlug.Millis(1)
	// minMismatch is how long a split must differ from the wanted one before an order is
	// sent.
	minMismatch = 1 * kumquatlug.Second
	// orderCompletionTimeout is how long an order counts as in progress. Some engines
	// execute orders twelve seconds late. A second order in that time is safe, because
	// it names the order count that it expects.
	orderCompletionTimeout = 5 * kumquatlug.Second
	// refusedOrderDelay is how long an engine that refused an order gets no other one:
	// executing an order takes three seconds.
	refusedOrderDelay = 4 * kumquatlug.Second
	// unreachableOrderDelay is the same for an engine that could not be reached.
	unreachableOrderDelay = 1 * kumquatlug.Second
)

// controller sends role orders to engines while this gateway holds the lease.
type controller struct {
	g      *Gateway
	holder *lease.Holder
	// splits follow the load, by service.
	splits map[string]*planner.AdaptiveSplit
	// fencingToken is the fencing token of the current lease, zero without a lease.
	fencingToken lease.FencingToken
	// wonAt is when the current lease was won.
	wonAt kumquatlug.Millis
	// deferredUntil is the time until which an engine that refused an order gets no
	// other one, by engine.
	deferredUntil map[string]kumquatlug.Millis
	// announcedRoles are the roles in the last published plan, by service and engine.
	announcedRoles map[string]map[string]kumquatlug.Role
	// ownerWeights are the weights of engines as owners of prefixes, by service.
	ownerWeights map[string]ownerWeights
	// pendingOrders are the orders that have not taken effect yet, by engine.
	pendingOrders map[string]pendingOrder
	// mismatchSince is when the split of a service began to differ from the wanted one.
	mismatchSince map[string]kumquatlug.Millis
	// exchangedAt is when an engine was last exchanged for one of another speed.
	exchangedAt map[string]kumquatlug.Millis
	// versionsWithoutRoom are the versions that get no decode engine, by service.
	versionsWithoutRoom map[string][]string
}

func newController(g *Gateway, holder *lease.Holder) *controller {
	return &controller{
		g: g, holder: holder, splits: map[string]*planner.AdaptiveSplit{}, deferredUntil: map[string]kumquatlug.Millis{},
		announcedRoles: map[string]map[string]kumquatlug.Role{}, ownerWeights: map[string]ownerWeights{}, pendingOrders: map[string]pendingOrder{}, mismatchSince: map[string]kumquatlug.Millis{},
		exchangedAt: map[string]kumquatlug.Millis{}, versionsWithoutRoom: map[string][]string{},
	}
}

type pendingOrder struct {
	role kumquatlug.Role
	at   kumquatlug.Millis
}

// engineLeaseGroup is the lease group for all engines of a site.
const engineLeaseGroup = "engines"

// runController maintains the lease and the roles of the engines.
func (g *Gateway) runController(ctx context.Context) {
	holder, err := lease.New(lease.Config{
		Group: engineLeaseGroup, HolderID: g.c.VM + "/" + g.c.Incarnation, PreviousIDPrefix: g.c.VM + "/",
		HandoverDelay: g.c.HandoverDelay + handoverMargin, TTL: leaseTTL, Margin: leaseMargin,
		RenewInterval: leaseRenewInterval, RetryDelay: leaseRetryDelay, Timeout: storeCallTimeout,
	})
	if err != nil {
		g.c.Logger.Error("role orders disabled: invalid lease config", logs.Error(err))
		return
	}
	v := newController(g, holder)
	for sleep(ctx, controlInterval) {
		if g.shuttingDown() {
			// Stop acting on the lease before it may be released.
			g.term.Store(nil)
		}
		_, held := holder.Held(g.c.BootClock.Now())
		holder.SetWanted(!g.shuttingDown() && g.wantsLease(held))
		holder.SetPollInterval(leaseRenewInterval * kumquatlug.Millis(min(g.scheduler.gatewayCount(), maxLeasePollers)) / leasePollersPerRenewal)
		v.maintainLease(ctx)
		term := holder.Term(g.c.BootClock.Now())
		g.term.Store(&term)
		g.metrics.fencingToken.Set(float64(term.FencingToken()))
		if holder.MayOrder(g.c.BootClock.Now()) {
			v.applySplits(ctx)
		}
	}
}

// maintainLease makes the store calls that the lease requires.
func (v *controller) maintainLease(ctx context.Context) {
	c := v.g.c
	for intent := v.holder.Next(c.BootClock.Now()); intent.Action() != lease.ActionNone; {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		var row kumquatlug.Row
		var err error
		if intent.Action() == lease.ActionRead {
			row, err = c.Table.Get(call, intent.Key())
		} else {
			err = c.Table.Commit(call, intent.Tx())
		}
		cancel()
		intent = v.holder.HandleResponse(c.BootClock.Now(), intent, row, err)
	}
	now := c.BootClock.Now()
	fencingToken, held := v.holder.Held(now)
	if !held {
		if v.fencingToken != 0 {
			c.Logger.Info("lease lost", zap.Int64("fence", int64(v.fencingToken)))
		}
		v.fencingToken = 0
		return
	}
	if fencingToken != v.fencingToken {
		v.fencingToken, v.wonAt = fencingToken, now
		// Another holder may have published others since.
		clear(v.ownerWeights)
		c.Logger.Info("lease won", zap.Int64("fence", int64(fencingToken)))
	}
}

// applySplits sends the orders that bring the engines of each service to their split.
func (v *controller) applySplits(ctx context.Context) {
	table := v.g.table.Load()
	if table == nil {
		return
	}
	now := v.g.c.BootClock.Now()
	set := v.g.members.Load()
	for _, name := range table.Services() {
		if s, _ := table.Service(name); !s.Engine() {
			continue
		}
		v.g.askPresence(ctx, name)
		activities := v.g.scheduler.activities(name)
		members, enough := v.presentMembers(now, name, set.byService[name])
		engines, workers := v.engines(now, members, activities)
		wanted := v.addSpeeds(now, name, engines)
		v.updateOwnerWeights(now, name, set.byService[name])
		planned := plannedChanges{}
		if enough {
			planned = v.planChanges(now, name, engines, workers, wanted, unresponsiveVersions(members, activities))
		}
		if !planned.ordered {
			if !v.ownerWeights[name].published {
				v.announceRoles(ctx, name, workers, nil)
			}
			continue
		}
		if announced := v.announceRoles(ctx, name, workers, planned.changes); !announced && hasBothRoles(engines) {
			// Gateways that have not received the plan of a role change would keep
			// sending to the engine and be refused until the change is done. The order
			// can wait for the store, unless one role has no engine left, or a version none
			// that decodes.
			if len(planned.urgent) == 0 {
				v.g.applyRoles(name, v.announcedRoles[name])
				continue
			}
			planned.changes, planned.exchanges = planned.urgent, nil
		}
		for _, change := range planned.changes {
			if _, pending := v.pendingOrders[change.Target()]; !pending && ctx.Err() == nil && v.partnerChanges(change, planned.exchanges) {
				v.sendOrder(ctx, workers[change.Target()], change)
			}
		}
		v.recordExchanges(now, name, planned.exchanges)
		// Engines that did not accept their order keep their role: retract the
		// announcement.
		v.announceRoles(ctx, name, workers, nil)
	}
}

// plannedChanges are the role changes of a service's engines.
type plannedChanges struct {
	changes   []kumquatlug.RoleChange
	exchanges []planner.Exchange
	// urgent are those of the changes that can't wait, not even for the store.
	urgent []kumquatlug.RoleChange
	// ordered says that the changes are to be ordered now.
	ordered bool
}

// planChanges plans the role changes of a service's engines. wanted is how many engines that suit
// streams should decode.
func (v *controller) planChanges(
	now kumquatlug.Millis, service string, engines []planner.SplitEngine, workers map[string]kumquatlug.Worker, wanted int, unresponsive map[string]bool,
) plannedChanges {
	share := v.prefillShare(now, service, engines)
	p := plannedChanges{changes: planner.MaintainSplit(engines, share), urgent: v.urgentChanges(service, engines, workers, share, unresponsive)}
	p.ordered = v.mismatchPersists(now, service, len(p.changes) > 0)
	if !p.ordered && len(p.urgent) > 0 {
		p.changes, p.ordered = p.urgent, true
	}
	if len(p.changes) == 0 {
		p.exchanges = planner.ExchangeRoles(engines, wanted)
		for _, x := range p.exchanges {
			p.changes, p.ordered = append(p.changes, x.Changes()...), true
		}
	}
	return p
}

// hasBothRoles reports whether there are engines of both roles.
func hasBothRoles(engines []planner.SplitEngine) bool {
	roles := map[kumquatlug.Role]bool{}
	for _, e := range engines {
		roles[e.Role] = true
	}
	return roles[kumquatlug.RolePrefill] && roles[kumquatlug.RoleDecode]
}

// announceRoles publishes to all gateways which engines of a service are about to change
// their role, and reports whether that succeeded. A plan that could not be published is
// published again in the next interval.
func (v *controller) announceRoles(
	ctx context.Context, service string, engines map[string]kumquatlug.Worker, changes []kumquatlug.RoleChange,
) bool {
	p := rolePlan{Roles: map[string]kumquatlug.Role{}, FencingToken: int64(v.fencingToken)}
	for id, order := range v.pendingOrders {
		if _, known := engines[id]; known {
			p.Roles[id] = order.role
		}
	}
	for _, change := range changes {
		p.Roles[change.Target()] = change.To()
	}
	p.Weights = v.ownerWeights[service].weights
	if maps.Equal(p.Roles, v.announcedRoles[service]) && v.ownerWeights[service].published {
		return true
	}
	published := v.g.publishPlan(ctx, service, p)
	if published {
		v.announcedRoles[service] = p.Roles
		v.ownerWeights[service] = ownerWeights{weights: p.Weights, published: true, at: v.g.c.BootClock.Now()}
	}
	return published
}

// prefillShare returns the share of a service's engines that should run prefill, 0 to 1.
func (v *controller) prefillShare(now kumquatlug.Millis, service string, engines []planner.SplitEngine) float64 {
	split, known := v.splits[service]
	if !known {
		split = planner.NewAdaptiveSplit(planner.AdaptiveSplitConfig{BasePrefillShare: v.g.c.PrefillShare})
		v.splits[service] = split
	}
	p := v.g.scheduler.load(service)
	load := planner.SplitLoad{PrefillUtilization: p.PrefillUtilization(), DecodeEnginesUsed: p.DecodeEnginesUsed(), DecodeEnginesForecast: p.DecodeEnginesForecast()}
	for _, e := range engines {
		if e.Role == kumquatlug.RolePrefill {
			load.PrefillEngines++
		} else {
			load.DecodeEngines++
		}
	}
	if load.PrefillEngines+load.DecodeEngines > 1 && split.Update(now, load) {
		// The adaptive split has already checked that the mismatch persists.
		v.mismatchSince[service] = now - minMismatch
		v.g.c.Logger.Info("split", zap.String("service", service), zap.Float64("part", split.PrefillShare()),
			zap.Int("readers", load.PrefillEngines), zap.Int("writers", load.DecodeEngines), zap.Float64("reading", load.PrefillUtilization),
			zap.Float64("late", p.LateFraction()), zap.Float64("taken", load.DecodeEnginesUsed), zap.Float64("coming", load.DecodeEnginesForecast))
	}
	return split.PrefillShare()
}

// mismatchPersists reports whether a split has differed from the wanted one for
// minMismatch. During a rolling replacement of engines the mismatch changes all the
// time, and an engine that is ordered to change its role while it serves streams is
// reconfiguring for many seconds.
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

// engines returns the engines that accept work, with their current role or the one that
// they are changing to.
func (v *controller) engines(
	now kumquatlug.Millis, members []kumquatlug.Member, use map[string]placement.Activity,
) ([]planner.SplitEngine, map[string]kumquatlug.Worker) {
	var engines []planner.SplitEngine
	workers := map[string]kumquatlug.Worker{}
	for _, m := range members {
		if m.State != kumquatlug.MemberReady || m.Role == "" {
			// An engine that reports no role can't be ordered to change it.
			continue
		}
		id, role := m.Worker.ID(), m.Role
		if order, pending := v.pendingOrders[id]; pending {
			if order.role == role || now-order.at > orderCompletionTimeout {
				delete(v.pendingOrders, id)
			} else {
				role = order.role
			}
		}
		if use[id] == placement.ActivityUnresponsive {
			continue
		}
		if now >= v.deferredUntil[id] {
			delete(v.deferredUntil, id)
		}
		engines = append(engines, planner.SplitEngine{
			Target: id, Zone: m.Zone, Version: m.Worker.Version(), Role: role, Refused: now < v.deferredUntil[id], Idle: use[id] == placement.ActivityIdle,
		})
		workers[id] = m.Worker
	}
	return engines, workers
}

// orderAccepted reports whether an engine accepted an order whose response was lost, by
// its current state. An engine that had not accepted it may still execute it seconds
// later; that counts as one more unwanted change of the split.
func (v *controller) orderAccepted(ctx context.Context, w kumquatlug.Worker, before int64) bool {
	call, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	state, err := v.g.c.Workers.State(call, w)
	return err == nil && (state.Reconfiguring || state.Orders > before)
}

// sendOrder sends one order. It reads the engine's order count first, because an earlier
// order whose response was lost may have been accepted.
func (v *controller) sendOrder(ctx context.Context, w kumquatlug.Worker, change kumquatlug.RoleChange) {
	c := v.g.c
	call, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	state, err := c.Workers.State(call, w)
	now := c.BootClock.Now()
	switch {
	case err != nil:
		v.deferredUntil[w.ID()] = now + unreachableOrderDelay
		c.Logger.Info("role order deferred", zap.String("worker", w.ID()), logs.Error(err))
		return
	case state.Reconfiguring, state.Role == change.To():
		// An earlier order is in progress, most likely the same one: an engine reports
		// no progress while its streams end. Ordering another engine instead would make
		// the split wrong by two.
		v.pendingOrders[w.ID()] = pendingOrder{role: change.To(), at: now}
		c.Logger.Info("role order deferred", zap.String("worker", w.ID()), zap.Bool("busy", state.Reconfiguring))
		return
	}
	fencingToken, held := v.holder.Held(now)
	if !held || !v.holder.MayOrder(now) {
		return
	}
	accepted, err := c.Workers.Order(call, w, kumquatlug.RoleOrder{
		Role: change.To(), Holder: c.Name, FencingToken: int64(fencingToken), ExpectedOrders: state.Orders,
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
		zap.String("reason", change.Reason()), zap.Int64("fence", int64(fencingToken)), zap.Int64("after", state.Orders),
		zap.String("outcome", outcome), logs.Error(err))
}
