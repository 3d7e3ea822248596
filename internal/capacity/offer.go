package capacity

import (
	"context"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
)

// offers measures the demand that one entry tells another, as each does for
// every kind whose engines change roles.
func offers(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newSite(ctx)
	if err != nil {
		return nil, err
	}
	e, err := s.addEntry("entry-0123", &traffic{})
	if err != nil {
		return nil, err
	}
	defer s.start()()
	dialer := peer.NewDialer(s.entry)
	defer dialer.Close()
	client := dialer.Entry(e.peers)
	return exchanges(exchangeConfig{
		what: "demand told to another entry", per: "offer", sizes: []int{c.size(200, 3), c.size(1200, 9)}, traffic: e.passed,
		once: func() error {
			_, err := client.Offer(ctx, connect.NewRequest(&peerv1.OfferRequest{
				Entry: "entry-0456", Kind: "draft", SpanMs: 2000, PrefillTokens: 13_412, DecodeTokens: 10_434,
			}))
			return err
		},
	})
}
