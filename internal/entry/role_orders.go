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

func (c *roleController) handleOrderReply(m orderReply) {
	g, known := c.groups[m.group]
	if !known || m.err != nil {
		return
	}
	if result, ended := g.sender.HandleResponse(c.now(), m.target, m.id, m.reply); ended {
		c.orderSettled(g, result)
	}
}

func (c *roleController) orderSettled(g *engineGroup, s order.Result) {
	c.entry.cfg.Logger.Info("order settled", zap.String("group", g.name), zap.String("target", s.Target()),
		zap.String("order", s.Order().ID().String()), zap.String("outcome", string(s.Outcome())))
	if s.Outcome() != order.OutcomeApplied {
		g.planner.OrderRefused(c.now(), s.Target())
	}
}

// syncOrders plans and sends orders while the lease is held.
func (c *roleController) syncOrders(ctx context.Context, g *engineGroup) {
	token, held := g.holder.Held(c.now())
	if held && token != g.fencingToken {
		g.fencingToken = token
		g.sender.LeaseAcquired(c.now(), token)
		c.entry.cfg.Ring.Add(timeline.Record{Name: timeline.LeaseTaken, Peer: g.name, Detail: "number " + itoa(int64(token))})
	}
	if !held && g.fencingToken != 0 {
		g.fencingToken = 0
		c.entry.cfg.Ring.Add(timeline.Record{Name: timeline.LeaseLost, Peer: g.name})
	}
	if held {
		c.issueOrders(g)
	}
	for _, out := range g.sender.Due(c.now(), token, held) {
		c.sendOrder(ctx, g, out)
	}
}

// issueOrders turns the planner's role changes and initial roles into orders.
func (c *roleController) issueOrders(g *engineGroup) {
	for _, change := range append(planner.FirstRoles(g.reports), g.planner.Plan(c.now())...) {
		o, err := g.sender.Issue(change.Target(), order.VerbRole, string(change.To()))
		if err != nil {
			g.planner.OrderRefused(c.now(), change.Target())
			continue
		}
		c.entry.cfg.Ring.Add(timeline.Record{
			Name: timeline.OrderSent, Peer: change.Target(), Detail: o.ID().String() + " role " + o.Argument() + ": " + change.Reason(),
		})
	}
}

func (c *roleController) sendOrder(ctx context.Context, g *engineGroup, out order.Outgoing) {
	address := g.engines[out.Target()].address
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		o := out.Order()
		m := orderReply{group: g.name, target: out.Target(), id: o.ID()}
		response, err := c.entry.dialer.Agent(address).Order(ctx, connect.NewRequest(&peerv1.OrderRequest{
			Id: o.ID().String(), Group: g.name, Holder: c.entry.cfg.Name, Verb: string(o.Verb()), Argument: o.Argument(),
		}))
		if m.err = err; err == nil {
			m.reply = order.NewResponse(order.Verdict(response.Msg.GetVerdict()), order.Outcome(response.Msg.GetOutcome()), lease.FencingToken(response.Msg.GetFence()))
		}
		c.post(m)
	}()
}

// orderedRole returns the role of the engine's outstanding order, or an empty
// role if there is none.
func (c *roleController) orderedRole(g *engineGroup, target string) kumquatlug.Role {
	if o, outstanding := g.sender.Outstanding(target); outstanding {
		return kumquatlug.Role(o.Argument())
	}
	return ""
}
