package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/order"
)

// Intervals and keys for running orders.
const (
	// orderPollInterval is the interval at which the gate's next step is requested.
	orderPollInterval = 100 * time.Millisecond
	// orderRetryDelay is the delay after a failed step, and between reads of the
	// state of a reconfiguring engine.
	orderRetryDelay = 500 * time.Millisecond
	// registerRetryDelay is the delay after a failed attempt to register the start.
	registerRetryDelay = time.Second
	// agentKeyPrefix is the prefix of the keys of agents' registrations.
	agentKeyPrefix = "agent/"
)

// registration is the row that counts the starts of an agent.
type registration struct {
	Starts      order.Incarnation `json:"starts"`
	Incarnation string            `json:"incarnation"`
}

// registerStart counts this start in the table and returns the number of starts. The
// order gate is created only afterwards: until then no order is accepted, but work is
// served.
func (a *Agent) registerStart(ctx context.Context) (order.Incarnation, error) {
	for {
		starts, err := a.tryRegisterStart(ctx)
		if err == nil {
			return starts, nil
		}
		a.c.Logger.Warn("failed to register this start; retrying", timeline.ErrorField(err))
		select {
		case <-time.After(registerRetryDelay):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// tryRegisterStart reads the row first: after a lost response it shows whether this
// start has been counted.
func (a *Agent) tryRegisterStart(ctx context.Context) (order.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	key := agentKeyPrefix + a.c.Name
	row, err := a.c.Table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var r registration
	if row.Exists() {
		if err := json.Unmarshal(row.Value(), &r); err != nil {
			return 0, errors.Wrap(err, "read registration")
		}
	}
	if r.Incarnation == a.incarnation {
		return r.Starts, nil
	}
	r = registration{Starts: r.Starts + 1, Incarnation: a.incarnation}
	text, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "write registration")
	}
	return r.Starts, a.c.Table.Commit(ctx, kumquatlug.NewTx(ulid.Make().String()).If(key, row.Version()).Put(key, text))
}

// runOrders creates the order gate and runs its steps until ctx ends. Services accept
// no orders.
func (a *Agent) runOrders(ctx context.Context) error {
	if a.c.Engine == nil {
		return nil
	}
	starts, err := a.registerStart(ctx)
	if err != nil {
		return err
	}
	a.admission.update(func(kumquatlug.Millis) {
		a.admission.startCount = starts
		a.admission.orderGate = order.NewGate(order.GateConfig{Incarnation: starts})
		for range a.admission.calls {
			// Calls that started before the gate existed count as in flight there,
			// too, since an order must wait for them.
			a.admission.orderGate.BeginCall()
		}
	})
	tick := time.NewTicker(orderPollInterval)
	defer tick.Stop()
	for {
		var step order.Step
		a.admission.updateOrders(func(now kumquatlug.Millis) { step = a.admission.orderGate.Next(now) })
		wait := tick.C
		if step.Action() != order.StepNone && !a.runStep(ctx, step) {
			wait = time.After(orderRetryDelay)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updateOrders runs change on the order gate under the lock and passes to the drain,
// under the same lock, whether an order blocks the target. With a delay in between,
// the drain would refuse work at an engine that has settled.
func (ac *admissionController) updateOrders(change func(now kumquatlug.Millis)) {
	ac.update(func(now kumquatlug.Millis) {
		if ac.orderGate == nil {
			return
		}
		change(now)
		ac.drain.SetUnderOrder(ac.underOrder(), now)
	})
}

// runStep runs one step and reports whether the next one may follow without the
// delay after a failure.
func (a *Agent) runStep(ctx context.Context, s order.Step) bool {
	if s.Action() == order.StepRun {
		// No timeout: after one, the order could still reach the engine when the gate
		// has already read that it was not applied. The request ends with the
		// connection.
		return a.sendOrder(ctx, s)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if s.Action() == order.StepReadState {
		return a.readEngineState(ctx, s)
	}
	return a.readFencingToken(ctx, s)
}

// readEngineState reads the engine's state for the order gate. The monitor gets it first:
// if a report had the phase after an order and the role before it, the lease holder would
// send the order again.
func (a *Agent) readEngineState(ctx context.Context, s order.Step) bool {
	requestedAt := time.Now()
	condition, err := a.c.Engine.ReadState(ctx)
	if err == nil {
		a.monitor.recordState(requestedAt, condition)
	}
	a.admission.updateOrders(func(kumquatlug.Millis) {
		if err != nil {
			a.admission.orderGate.StateReadFailed(s)
			return
		}
		a.admission.orderGate.StateRead(s, orderState(condition))
	})
	return err == nil && condition.State != engine.StateChanging
}

// orderState treats an engine that lost its role in a crash as settled: it is not
// reconfiguring, so the next order may be sent.
func orderState(c engine.Condition) order.State {
	return order.NewState(c.State != engine.StateChanging, order.Property{Verb: order.VerbRole, Argument: string(c.Role)})
}

func (a *Agent) readFencingToken(ctx context.Context, s order.Step) bool {
	group := a.leaseGroup()
	row, err := a.c.Table.Get(ctx, lease.Key(group))
	if err == nil && row.Era() > 0 {
		row, err = a.c.Table.Get(ctx, lease.KeyIn(group, row.Era()))
	}
	var record lease.Record
	if err == nil {
		record, err = lease.Decode(row)
	}
	a.admission.updateOrders(func(kumquatlug.Millis) {
		if err != nil {
			a.admission.orderGate.FencingTokenReadFailed(s)
			return
		}
		a.admission.orderGate.FencingTokenRead(s, max(record.MinFencingToken(), lease.EraBase(row.Era())))
	})
	return err == nil
}

// leaseGroup returns the group whose lease holder sends orders to this target.
func (a *Agent) leaseGroup() string {
	target := a.targetConfig.Load()
	if target.labelsErr != nil {
		return ""
	}
	return config.GroupOf(target.selectors, target.labels)
}

func (a *Agent) sendOrder(ctx context.Context, s order.Step) bool {
	o := s.Order()
	_, err := a.c.Engine.SendOrder(ctx, engine.Order{
		ID: o.ID().String(), Fence: int64(o.ID().FencingToken()), Verb: string(o.Verb()), Argument: o.Argument(),
	})
	// An engine that accepted the order reports by its state when it has settled.
	outcome := order.OutcomeUnknown
	if errors.Is(err, kumquatlug.ErrConflict) {
		outcome = order.OutcomeNotApplied
	}
	a.c.Ring.Add(timeline.Record{Name: timeline.OrderTaken, Detail: string(o.Verb()) + " " + o.Argument()})
	a.admission.updateOrders(func(kumquatlug.Millis) { a.admission.orderGate.RunFinished(s, outcome) })
	return true
}

// offerOrder passes an order from a gateway to the order gate.
func (a *Agent) offerOrder(o order.Order) order.Response {
	reply := order.NewResponse(order.VerdictNotReady, "", 0)
	a.admission.updateOrders(func(kumquatlug.Millis) { reply = a.admission.orderGate.Offer(o) })
	if reply.Verdict() == order.VerdictStale || reply.Verdict() == order.VerdictOtherIncarnation {
		a.c.Ring.Add(timeline.Record{Name: timeline.OrderRefused, Detail: string(reply.Verdict()) + " " + o.ID().String()})
	}
	return reply
}
