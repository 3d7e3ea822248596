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

// Figures of the duty that carries orders out.
const (
	// orderPollInterval is how often the gate is asked for its next step.
	orderPollInterval = 100 * time.Millisecond
	// orderRetryDelay spaces steps that failed, and looks at an engine in mid change.
	orderRetryDelay = 500 * time.Millisecond
	// registerRetryDelay spaces tries to register the start.
	registerRetryDelay = time.Second
	// agentKeyPrefix starts the keys of the agents' registrations.
	agentKeyPrefix = "agent/"
)

// registration is the row in which the starts of an agent are counted.
type registration struct {
	Starts      order.Incarnation `json:"starts"`
	Incarnation string            `json:"incarnation"`
}

// registerStart counts this start in the table and opens the gate for orders. Until
// it has succeeded no order is taken; work is served all the same.
func (a *Agent) registerStart(ctx context.Context) (order.Incarnation, error) {
	for {
		starts, err := a.tryRegisterStart(ctx)
		if err == nil {
			return starts, nil
		}
		a.c.Logger.Warn("can't register this start yet", timeline.ErrorField(err))
		select {
		case <-time.After(registerRetryDelay):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// tryRegisterStart reads first: after a lost answer the row tells whether this
// start is already counted.
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

// runOrders opens the gate and does what it asks for until ctx ends. Services
// take no orders.
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
			// What began before the gate opened is in hand there, too: an order
			// must wait for it.
			a.admission.orderGate.Begin()
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

// updateOrders runs change on the gate under the lock and tells the drain, in the
// same breath, whether an order takes the target away. Told later, the drain
// would go on refusing work at an engine that has settled.
func (ac *admissionController) updateOrders(change func(now kumquatlug.Millis)) {
	ac.update(func(now kumquatlug.Millis) {
		if ac.orderGate == nil {
			return
		}
		change(now)
		ac.drain.Order(ac.underOrder(), now)
	})
}

// runStep does one step and reports whether it brought an answer.
func (a *Agent) runStep(ctx context.Context, s order.Step) bool {
	if s.Action() == order.StepRun {
		// No time limit: given up here, the order could reach the engine after
		// the gate has read that it was not carried out. It ends with the
		// connection.
		return a.sendOrder(ctx, s)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if s.Action() == order.StepRead {
		return a.readEngineState(ctx, s)
	}
	return a.readFencingNumber(ctx, s)
}

func (a *Agent) readEngineState(ctx context.Context, s order.Step) bool {
	condition, err := a.c.Engine.ReadState(ctx)
	a.admission.updateOrders(func(kumquatlug.Millis) {
		if err != nil {
			a.admission.orderGate.ReadFailed(s)
			return
		}
		a.admission.orderGate.Read(s, orderState(condition))
	})
	return err == nil && condition.State != engine.StateChanging
}

// orderState takes an engine that lost its role in a crash for settled: it
// is not in the middle of anything, and the next order may come.
func orderState(c engine.Condition) order.State {
	return order.NewState(c.State != engine.StateChanging, order.Fact{Verb: order.VerbRole, Argument: string(c.Role)})
}

func (a *Agent) readFencingNumber(ctx context.Context, s order.Step) bool {
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
			a.admission.orderGate.FenceFailed(s)
			return
		}
		a.admission.orderGate.Fenced(s, max(record.Fence(), lease.Least(row.Era())))
	})
	return err == nil
}

// leaseGroup returns the group whose lease holder gives this target its orders.
func (a *Agent) leaseGroup() string {
	target := a.targetConfig.Load()
	if target.labelsErr != nil {
		return ""
	}
	return config.GroupAmong(target.selectors, target.labels)
}

func (a *Agent) sendOrder(ctx context.Context, s order.Step) bool {
	o := s.Order()
	_, err := a.c.Engine.Give(ctx, engine.Order{
		ID: o.ID().String(), Fence: int64(o.ID().Number()), Verb: string(o.Verb()), Argument: o.Argument(),
	})
	// An engine that took the order tells by its state when it has settled.
	outcome := order.OutcomeUnknown
	if errors.Is(err, kumquatlug.ErrConflict) {
		outcome = order.OutcomeNotApplied
	}
	a.c.Ring.Add(timeline.Record{Name: timeline.OrderTaken, Detail: string(o.Verb()) + " " + o.Argument()})
	a.admission.updateOrders(func(kumquatlug.Millis) { a.admission.orderGate.Ran(s, outcome) })
	return true
}

// offerOrder takes an order from an entry.
func (a *Agent) offerOrder(o order.Order) order.Reply {
	reply := order.NewReply(order.VerdictNotReady, "", 0)
	a.admission.updateOrders(func(kumquatlug.Millis) { reply = a.admission.orderGate.Offer(o) })
	if reply.Verdict() == order.VerdictOld || reply.Verdict() == order.VerdictOtherIncarnation {
		a.c.Ring.Add(timeline.Record{Name: timeline.OrderRefused, Detail: string(reply.Verdict()) + " " + o.ID().String()})
	}
	return reply
}
