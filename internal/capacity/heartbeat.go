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

// agentStartDelay is the time for a new agent to poll its engine once.
const agentStartDelay = 200 * time.Millisecond

// measureHeartbeats measures the cost of a heartbeat on an established connection:
// over HTTP/1.1, which the processes use, and over HTTP/2, whose header compression
// sends repeated headers as one byte each; with compressed responses, the default of
// the Connect library, and without.
func measureHeartbeats(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newDeployment(ctx)
	if err != nil {
		return nil, err
	}
	url, err := s.addServer(constantEngine())
	if err != nil {
		return nil, err
	}
	t := &connectionTraffic{}
	address, err := s.addAgent("drafting-01234", url, t)
	if err != nil {
		return nil, err
	}
	defer s.start()()
	if err := sleep(ctx, agentStartDelay); err != nil {
		return nil, err
	}
	dialer := peer.NewDialer(s.gatewayKeys)
	defer dialer.Close()
	client := newHTTP2Client(s.gatewayKeys, peer.RoleAgent)
	defer client.CloseIdleConnections()
	noCompression := connect.WithAcceptCompression("gzip", nil, nil)
	variants := []struct {
		protocol string
		client   peerv1connect.AgentServiceClient
	}{
		{"as shipped", dialer.Agent(address)},
		{"HTTP/1.1", peerv1connect.NewAgentServiceClient(dialer.WorkClient(), "https://"+address, noCompression)},
		{"HTTP/2, gzip", peerv1connect.NewAgentServiceClient(client, "https://"+address)},
		{"HTTP/2", peerv1connect.NewAgentServiceClient(client, "https://"+address, noCompression)},
	}
	var slopes []Slope
	for _, v := range variants {
		more, err := measureHeartbeatsOver(ctx, c, v.protocol, t, v.client)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, more...)
	}
	more, err := s.measureConnections(ctx, c, t, address)
	return append(slopes, more...), err
}

// measureConnections measures a heartbeat on a new connection, as sent to each target
// after a start or a failure.
func (s *deployment) measureConnections(ctx context.Context, c Config, t *connectionTraffic, address string) ([]Slope, error) {
	return measureExchanges(exchangeConfig{
		costName: "heartbeat on a new connection", countedObject: "heartbeat", sizes: []int{c.scaledSize(10, 1), c.scaledSize(60, 3)}, traffic: t,
		exchange: func() error {
			dialer := peer.NewDialer(s.gatewayKeys)
			defer dialer.Close()
			_, err := dialer.Agent(address).Report(ctx, connect.NewRequest(&peerv1.ReportRequest{Entry: "entry-0123"}))
			return err
		},
	})
}

// newHTTP2Client returns a client that uses HTTP/2 with peers of a role. The servers of
// package peer support HTTP/2, but its clients don't request it.
func newHTTP2Client(keys *peer.Keys, role peer.Role) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: keys.Client(role), ForceAttemptHTTP2: true, Protocols: protocols, DisableCompression: true,
	}}
}

// sleep waits for duration. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func measureHeartbeatsOver(
	ctx context.Context, c Config, protocol string, t *connectionTraffic, client peerv1connect.AgentServiceClient,
) ([]Slope, error) {
	sendHeartbeat := func() error {
		_, err := client.Report(ctx, connect.NewRequest(&peerv1.ReportRequest{
			Entry: "entry-0123", Address: "10.120.30.40:8070", Revision: 1_402_113, HeadAgeMs: 640, Logical: 81_231_233,
		}))
		return err
	}
	return measureExchanges(exchangeConfig{
		costName: "heartbeat, " + protocol, countedObject: "heartbeat", sizes: []int{c.scaledSize(150, 3), c.scaledSize(950, 9)}, traffic: t, exchange: sendHeartbeat,
	})
}

// exchangeConfig describes a request and its response, which are measured repeatedly.
type exchangeConfig struct {
	costName      string
	countedObject string
	sizes         []int
	traffic       *connectionTraffic
	// noTLS is set if the connection does not use TLS.
	noTLS    bool
	exchange func() error
}

// measureExchanges measures the bytes of a request and its response on the wire, and
// the processor time of both ends together.
func measureExchanges(c exchangeConfig) ([]Slope, error) {
	var wireBytes, plaintextBytes, records, nanos []Point
	for _, size := range c.sizes {
		var counted trafficCount
		took, err := minProcessorTime(func() error {
			before := c.traffic.snapshot()
			for range size {
				if err := c.exchange(); err != nil {
					return err
				}
			}
			counted = c.traffic.snapshot().sub(before)
			return nil
		})
		if err != nil {
			return nil, err
		}
		wireBytes = append(wireBytes, NewPoint(size, float64(counted.wireBytes())))
		plaintextBytes = append(plaintextBytes, NewPoint(size, float64(counted.plaintextBytes())))
		records = append(records, NewPoint(size, float64(counted.recordCount())))
		nanos = append(nanos, NewPoint(size, float64(took.Nanoseconds())))
	}
	configs := []slopeConfig{
		{c.costName + ": wire, both ways, without TLS", c.countedObject, UnitBytes, plaintextBytes},
		{c.costName + ": both ends", c.countedObject, UnitProcessorNanos, nanos},
	}
	if !c.noTLS {
		configs = append(configs,
			slopeConfig{c.costName + ": wire, both ways, with TLS", c.countedObject, UnitBytes, wireBytes},
			slopeConfig{c.costName + ": records, both ways", c.countedObject, UnitTLSRecords, records})
	}
	return newSlopes(configs)
}

// slopeConfig holds the arguments of [NewSlope].
type slopeConfig struct {
	costName      string
	countedObject string
	unit          Unit
	points        []Point
}

func newSlopes(configs []slopeConfig) ([]Slope, error) {
	slopes := make([]Slope, 0, len(configs))
	for _, c := range configs {
		s, err := NewSlope(c.costName, c.countedObject, c.unit, c.points...)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}
