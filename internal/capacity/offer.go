package capacity

import (
	"context"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
)

// measureOffers measures the demand report of one gateway to another, which gateways
// send for every kind whose engines change roles.
func measureOffers(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newDeployment(ctx)
	if err != nil {
		return nil, err
	}
	e, err := s.addGateway("entry-0123", &connectionTraffic{})
	if err != nil {
		return nil, err
	}
	defer s.start()()
	dialer := peer.NewDialer(s.gatewayKeys)
	defer dialer.Close()
	client := dialer.Gateway(e.peerAddress)
	return measureExchanges(exchangeConfig{
		costName: "demand told to another entry", countedObject: "offer", sizes: []int{c.scaledSize(200, 3), c.scaledSize(1200, 9)}, traffic: e.peerTraffic,
		exchange: func() error {
			_, err := client.Offer(ctx, connect.NewRequest(&peerv1.OfferRequest{
				Entry: "entry-0456", Kind: "draft", SpanMs: 2000, PrefillTokens: 13_412, DecodeTokens: 10_434,
			}))
			return err
		},
	})
}
