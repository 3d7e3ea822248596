package capacity

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1/peerv1connect"
)

// settled is how long a new agent is given to look at its engine once.
const settled = 200 * time.Millisecond

// heartbeats measures what one heartbeat costs on a connection that stands:
// over HTTP/1.1, as the processes speak today, and over HTTP/2, which sends
// headers that it sent before as one byte each; with answers compressed, as the
// library does unless told otherwise, and without.
func heartbeats(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newSite(ctx)
	if err != nil {
		return nil, err
	}
	url, err := s.serve(quietEngine())
	if err != nil {
		return nil, err
	}
	t := &traffic{}
	address, err := s.addAgent("drafting-01234", url, t)
	if err != nil {
		return nil, err
	}
	defer s.start()()
	if err := pause(ctx, settled); err != nil {
		return nil, err
	}
	dialer := peer.NewDialer(s.entry)
	defer dialer.Close()
	client := http2Client(s.entry, peer.RoleAgent)
	defer client.CloseIdleConnections()
	plainly := connect.WithAcceptCompression("gzip", nil, nil)
	ways := []struct {
		protocol string
		client   peerv1connect.AgentServiceClient
	}{
		{"as shipped", dialer.Agent(address)},
		{"HTTP/1.1", peerv1connect.NewAgentServiceClient(dialer.Work(), "https://"+address, plainly)},
		{"HTTP/2, gzip", peerv1connect.NewAgentServiceClient(client, "https://"+address)},
		{"HTTP/2", peerv1connect.NewAgentServiceClient(client, "https://"+address, plainly)},
	}
	var slopes []Slope
	for _, w := range ways {
		more, err := heartbeatsOver(ctx, c, w.protocol, t, w.client)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, more...)
	}
	more, err := s.connections(ctx, c, t, address)
	return append(slopes, more...), err
}

// connections measures a heartbeat that needs a new connection, as the first to
// each target after a start and after a failure.
func (s *site) connections(ctx context.Context, c Config, t *traffic, address string) ([]Slope, error) {
	return exchanges(exchangeConfig{
		what: "heartbeat on a new connection", per: "heartbeat", sizes: []int{c.size(10, 1), c.size(60, 3)}, traffic: t,
		once: func() error {
			dialer := peer.NewDialer(s.entry)
			defer dialer.Close()
			_, err := dialer.Agent(address).Report(ctx, connect.NewRequest(&peerv1.ReportRequest{Entry: "entry-0123"}))
			return err
		},
	})
}

// http2Client returns a client that speaks HTTP/2 to peers of a role. Servers
// of package peer offer it; its own clients don't ask for it.
func http2Client(keys *peer.Keys, role peer.Role) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: keys.Client(role), ForceAttemptHTTP2: true, Protocols: protocols, DisableCompression: true,
	}}
}

// pause waits, or ends early with ctx.
func pause(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func heartbeatsOver(
	ctx context.Context, c Config, protocol string, t *traffic, client peerv1connect.AgentServiceClient,
) ([]Slope, error) {
	ask := func() error {
		_, err := client.Report(ctx, connect.NewRequest(&peerv1.ReportRequest{
			Entry: "entry-0123", Address: "10.120.30.40:8070", Revision: 1_402_113, HeadAgeMs: 640, Logical: 81_231_233,
		}))
		return err
	}
	return exchanges(exchangeConfig{
		what: "heartbeat, " + protocol, per: "heartbeat", sizes: []int{c.size(150, 3), c.size(950, 9)}, traffic: t, once: ask,
	})
}

// exchangeConfig is a request and answer that is measured again and again.
type exchangeConfig struct {
	what    string
	per     string
	sizes   []int
	traffic *traffic
	// plain says that the connection has no TLS.
	plain bool
	once  func() error
}

// exchanges measures a request and its answer on the wire and by processor time
// of both ends together.
func exchanges(c exchangeConfig) ([]Slope, error) {
	var whole, plain, records, nanos []Point
	for _, size := range c.sizes {
		var passed count
		took, err := leastSpent(func() error {
			before := c.traffic.read()
			for range size {
				if err := c.once(); err != nil {
					return err
				}
			}
			passed = c.traffic.read().since(before)
			return nil
		})
		if err != nil {
			return nil, err
		}
		whole = append(whole, NewPoint(size, float64(passed.both())))
		plain = append(plain, NewPoint(size, float64(passed.plain())))
		records = append(records, NewPoint(size, float64(passed.records())))
		nanos = append(nanos, NewPoint(size, float64(took.Nanoseconds())))
	}
	configs := []slopeConfig{
		{c.what + ": wire, both ways, without TLS", c.per, UnitBytes, plain},
		{c.what + ": both ends", c.per, UnitNanos, nanos},
	}
	if !c.plain {
		configs = append(configs,
			slopeConfig{c.what + ": wire, both ways, with TLS", c.per, UnitBytes, whole},
			slopeConfig{c.what + ": records, both ways", c.per, UnitRecords, records})
	}
	return slopesOf(configs)
}

// slopeConfig is what one slope is made of.
type slopeConfig struct {
	what   string
	per    string
	unit   Unit
	points []Point
}

func slopesOf(configs []slopeConfig) ([]Slope, error) {
	slopes := make([]Slope, 0, len(configs))
	for _, c := range configs {
		s, err := NewSlope(c.what, c.per, c.unit, c.points...)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}
