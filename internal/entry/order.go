package entry

import (
	"context"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/order"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
)

func (p *plans) takeReply(m orderAnswered) {
	g, known := p.groups[m.group]
	if !known || m.err != nil {
		return
	}
	if settled, ended := g.sender.Answered(m.target, m.id, m.reply); ended {
		p.settled(g, settled)
	}
}

func (p *plans) settled(g *groupPlan, s order.Settlement) {
	p.entry.c.Logger.Info("order settled", zap.String("group", g.name), zap.String("target", s.Target()),
		zap.String("order", s.Order().ID().String()), zap.String("outcome", string(s.Outcome())))
	if s.Outcome() != order.OutcomeApplied {
		g.planner.Refused(p.now(), s.Target())
	}
}

// order plans and sends orders while the lease is held.
func (p *plans) order(ctx context.Context, g *groupPlan) {
	number, held := g.holder.Held(p.now())
	if held && number != g.number {
		g.number = number
		g.sender.Granted(number)
		p.entry.c.Ring.Add(timeline.Record{Name: timeline.LeaseTaken, Peer: g.name, Detail: "number " + itoa(int64(number))})
	}
	if !held && g.number != 0 {
		g.number = 0
		p.entry.c.Ring.Add(timeline.Record{Name: timeline.LeaseLost, Peer: g.name})
	}
	if held {
		p.give(g)
	}
	for _, out := range g.sender.Due(p.now(), number, held) {
		p.send(ctx, g, out)
	}
}

// give turns the planner's changes, and first roles, into orders.
func (p *plans) give(g *groupPlan) {
	for _, change := range append(planner.FirstRoles(g.reports), g.planner.Plan(p.now())...) {
		o, err := g.sender.Give(change.Target(), order.VerbRole, string(change.To()))
		if err != nil {
			g.planner.Refused(p.now(), change.Target())
			continue
		}
		p.entry.c.Ring.Add(timeline.Record{
			Name: timeline.OrderSent, Peer: change.Target(), Detail: o.ID().String() + " role " + o.Argument() + ": " + change.Reason(),
		})
	}
}

func (p *plans) send(ctx context.Context, g *groupPlan, out order.Outgoing) {
	address := g.engines[out.Target()].address
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		o := out.Order()
		m := orderAnswered{group: g.name, target: out.Target(), id: o.ID()}
		answer, err := p.entry.dialer.Agent(address).Order(ctx, connect.NewRequest(&peerv1.OrderRequest{
			Id: o.ID().String(), Group: g.name, Holder: p.entry.c.Name, Verb: string(o.Verb()), Argument: o.Argument(),
		}))
		if m.err = err; err == nil {
			m.reply = order.NewReply(order.Verdict(answer.Msg.GetVerdict()), order.Outcome(answer.Msg.GetOutcome()), lease.Number(answer.Msg.GetFence()))
		}
		p.post(m)
	}()
}

// going is the role that an engine was ordered to take, by this holder or, as
// its phase shows, by another.
func (p *plans) going(g *groupPlan, target string) kumquatlug.Role {
	if o, outstanding := g.sender.Outstanding(target); outstanding {
		return kumquatlug.Role(o.Argument())
	}
	return ""
}
