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

// handleDemand divides the demand for a kind among its groups in proportion to
// their engines. An operator may have assigned the engines of one kind to
// several groups.
func (c *roleController) handleDemand(m demandReport) {
	engines := 0
	for _, g := range c.groups {
		if g.kind == m.kind {
			engines += len(g.engines)
		}
	}
	for _, g := range c.groups {
		if g.kind != m.kind || engines == 0 {
			continue
		}
		share := m.demand
		share.PrefillTokens *= float64(len(g.engines)) / float64(engines)
		share.DecodeTokens *= float64(len(g.engines)) / float64(engines)
		g.planner.RecordDemand(c.now(), share)
	}
}

// reportDemand sends the demand seen by this gateway to the gateways that may
// hold the leases.
func (c *roleController) reportDemand(ctx context.Context, period kumquatlug.Millis) {
	demand := map[string]dispatch.OfferedWork{}
	var gateways []string
	_ = c.entry.loop.query(ctx, func(d *dispatch.Dispatcher) {
		gateways = append(gateways, d.Gateways()...)
		d.TakeOfferedWork(func(kind kumquatlug.Kind, o dispatch.OfferedWork) { demand[kind.Name()] = o })
	})
	addresses := map[string]string{}
	for _, vm := range c.entry.peerGateways() {
		addresses[vm.Name()] = vm.Address()
	}
	for kind, o := range demand {
		ownDemand := kumquatlug.Demand{
			Gateway: c.entry.cfg.Name, Period: period, PrefillTokens: float64(o.PrefillTokens), DecodeTokens: float64(o.DecodeTokens),
		}
		for i, name := range routing.RunOnceOrder(kind, gateways) {
			if i >= leaseCandidates {
				break
			}
			c.sendDemand(ctx, name, addresses[name], kind, ownDemand)
		}
	}
}

func (c *roleController) sendDemand(ctx context.Context, gateway, address, kind string, o kumquatlug.Demand) {
	if gateway == c.entry.cfg.Name {
		c.post(demandReport{kind, o})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		_, err := c.entry.dialer.Gateway(address).Offer(ctx, connect.NewRequest(&peerv1.OfferRequest{
			Entry: o.Gateway, Kind: kind, SpanMs: int64(o.Period), PrefillTokens: o.PrefillTokens, DecodeTokens: o.DecodeTokens,
		}))
		if err != nil {
			c.entry.cfg.Logger.Debug("failed to report demand", zap.String("peer", gateway), timeline.ErrorField(err))
		}
	}()
}

// demandService serves the demand reports of peer gateways.
type demandService struct {
	controller *roleController
}

// Offer receives the demand seen by a peer gateway.
func (s *demandService) Offer(
	_ context.Context, r *connect.Request[peerv1.OfferRequest],
) (*connect.Response[peerv1.OfferResponse], error) {
	s.controller.post(demandReport{r.Msg.GetKind(), kumquatlug.Demand{
		Gateway: r.Msg.GetEntry(), Period: kumquatlug.Millis(r.Msg.GetSpanMs()),
		PrefillTokens: r.Msg.GetPrefillTokens(), DecodeTokens: r.Msg.GetDecodeTokens(),
	}})
	return connect.NewResponse(&peerv1.OfferResponse{}), nil
}
