package entry

import (
	"context"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// takeOffer shares the demand for a kind out over its groups by their engines;
// an operator may have put engines of one kind into several.
func (p *plans) takeOffer(m offered) {
	engines := 0
	for _, g := range p.groups {
		if g.kind == m.kind {
			engines += len(g.engines)
		}
	}
	for _, g := range p.groups {
		if g.kind != m.kind || engines == 0 {
			continue
		}
		share := m.offer
		share.PrefillTokens *= float64(len(g.engines)) / float64(engines)
		share.DecodeTokens *= float64(len(g.engines)) / float64(engines)
		g.planner.Offered(p.now(), share)
	}
}

// tellOffers tells the demand of this entry to those that may hold the leases.
func (p *plans) tellOffers(ctx context.Context, span kumquatlug.Millis) {
	brought := map[string]dispatch.Offered{}
	var entries []string
	_ = p.entry.loop.ask(ctx, func(d *dispatch.Dispatcher) {
		entries = append(entries, d.Entries()...)
		d.TakeOffers(func(kind kumquatlug.Kind, o dispatch.Offered) { brought[kind.Name()] = o })
	})
	addresses := map[string]string{}
	for _, vm := range p.entry.others() {
		addresses[vm.Name()] = vm.Address()
	}
	for group, o := range brought {
		offer := kumquatlug.Offer{
			Entry: p.entry.c.Name, Span: span, PrefillTokens: float64(o.Prefill), DecodeTokens: float64(o.Decode),
		}
		for i, name := range routing.ServiceOrder(group, entries) {
			if i >= candidates {
				break
			}
			p.tell(ctx, name, addresses[name], group, offer)
		}
	}
}

func (p *plans) tell(ctx context.Context, entry, address, kind string, o kumquatlug.Offer) {
	if entry == p.entry.c.Name {
		p.post(offered{kind, o})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		_, err := p.entry.dialer.Entry(address).Offer(ctx, connect.NewRequest(&peerv1.OfferRequest{
			Entry: o.Entry, Kind: kind, SpanMs: int64(o.Span), PrefillTokens: o.PrefillTokens, DecodeTokens: o.DecodeTokens,
		}))
		if err != nil {
			p.entry.c.Logger.Debug("can't tell the demand", zap.String("peer", entry), timeline.ErrorField(err))
		}
	}()
}

// offers serves what other entries tell of their demand.
type offers struct {
	plans *plans
}

// Offer takes the demand of another entry.
func (s *offers) Offer(
	_ context.Context, r *connect.Request[peerv1.OfferRequest],
) (*connect.Response[peerv1.OfferResponse], error) {
	s.plans.post(offered{r.Msg.GetKind(), kumquatlug.Offer{
		Entry: r.Msg.GetEntry(), Span: kumquatlug.Millis(r.Msg.GetSpanMs()),
		PrefillTokens: r.Msg.GetPrefillTokens(), DecodeTokens: r.Msg.GetDecodeTokens(),
	}})
	return connect.NewResponse(&peerv1.OfferResponse{}), nil
}
