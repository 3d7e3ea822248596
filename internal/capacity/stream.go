package capacity

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/entry"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	standinengine "github.com/kumquatlug/kumquatlug/internal/standin/engine"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/planner"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

const (
	// concurrentStreams is the number of streams that are measured concurrently.
	concurrentStreams = 24
	// engineTimeScale scales the times of the simulated engine to about 2 ms per
	// token, so that each token is sent separately.
	engineTimeScale = 0.1

	// warmupTokens is the length of the warm-up streams, long enough that all of them
	// are open at once.
	warmupTokens = 16

	// openStreamTokens is the length of streams that are still open when their memory
	// is measured.
	openStreamTokens = 2000

	callerKey = "klug-capacity"
)

// streamPath is a path by which a client reads an engine's stream.
type streamPath struct {
	name    string
	client  *http.Client
	url     string
	header  http.Header
	traffic *connectionTraffic
}

// measureStreams measures the cost of a streamed token from the engine to the caller.
// The same streams are read over three paths: directly from the engine, through its
// agent, and through gateway and agent. The differences are the costs of the agent
// and the gateway.
func measureStreams(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newDeployment(ctx)
	if err != nil {
		return nil, err
	}
	engine := standinengine.New(standinengine.Config{TimeScale: engineTimeScale, MaxBatch: 2 * concurrentStreams})
	engineTraffic := &connectionTraffic{}
	l, err := s.listen(engineTraffic, false)
	if err != nil {
		return nil, err
	}
	s.addServerOn(l, engine.Handler())
	engineURL := "http://" + l.Addr().String()
	agentTraffic := &connectionTraffic{}
	agent, err := s.addAgent("drafting-01234", engineURL, agentTraffic)
	if err != nil {
		return nil, err
	}
	if err := s.commitInitialConfig(ctx); err != nil {
		return nil, err
	}
	gatewayTraffic := &connectionTraffic{}
	gateway, err := s.addGateway("entry-0123", gatewayTraffic)
	if err != nil {
		return nil, err
	}
	defer s.start()()
	dialer := peer.NewDialer(s.gatewayKeys)
	defer dialer.Close()
	plainClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentStreams}}
	defer plainClient.CloseIdleConnections()
	paths := []streamPath{
		{"engine alone", plainClient, engineURL, http.Header{}, engineTraffic},
		{"through the agent", dialer.WorkClient(), dialer.WorkURL(agent, ""), newWorkHeader(), agentTraffic},
		{"through entry and agent", gateway.client, gateway.url, http.Header{"Authorization": {"Bearer " + callerKey}}, gatewayTraffic},
	}
	if err := waitUntil(ctx, func() bool { return paths[2].readOne(ctx, 2) == nil }); err != nil {
		return nil, errors.Wrap(err, "first response")
	}
	return measureStreamPaths(ctx, c, paths, agentTraffic)
}

// newWorkHeader returns the headers of a request that a gateway sends to an agent.
func newWorkHeader() http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	peer.NewWork(peer.WorkConfig{
		Request: "01J9ZZZZZZZZZZZZZZZZZZZZZZ", Attempt: 1, Kind: kumquatlug.NewKind(kumquatlug.ProtocolEngine, "standin"),
		Caller: "portal", Revision: 1, Timeout: kumquatlug.Minute, Fingerprint: string(newFingerprint(0)), SenderAddress: "10.120.30.40:8070",
	}).Write(h)
	return h
}

func measureStreamPaths(ctx context.Context, c Config, paths []streamPath, agentTraffic *connectionTraffic) ([]Slope, error) {
	sizes := []int{c.scaledSize(32, 2), c.scaledSize(182, 6)}
	var slopes []Slope
	for _, p := range paths {
		// The warm-up streams open the connections that the measured ones use.
		if err := p.readAll(ctx, warmupTokens); err != nil {
			return nil, errors.Wrap(err, p.name)
		}
		var bytes, nanos, betweenBytes []Point
		for _, tokens := range sizes {
			before, betweenBefore := p.traffic.snapshot(), agentTraffic.snapshot()
			took, err := minProcessorTime(func() error { return p.readAll(ctx, tokens) })
			if err != nil {
				return nil, errors.Wrap(err, p.name)
			}
			totalTokens := tokens * concurrentStreams
			bytes = append(bytes, NewPoint(totalTokens, float64(p.traffic.snapshot().sub(before).wireBytes())/repetitions))
			betweenBytes = append(betweenBytes, NewPoint(totalTokens, float64(agentTraffic.snapshot().sub(betweenBefore).wireBytes())/repetitions))
			nanos = append(nanos, NewPoint(totalTokens, float64(took.Nanoseconds())))
		}
		configs := []slopeConfig{
			{"stream, " + p.name + ": wire at the client", "token", UnitBytes, bytes},
			{"stream, " + p.name + ": all processes", "token", UnitProcessorNanos, nanos},
		}
		if p.traffic != agentTraffic && p.name != paths[0].name {
			configs = append(configs, slopeConfig{"stream, " + p.name + ": wire between the two, with TLS", "token", UnitBytes, betweenBytes})
		}
		more, err := newSlopes(configs)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, more...)
		openStreams, err := p.measureOpen(ctx, c)
		if err != nil {
			return nil, errors.Wrap(err, p.name)
		}
		slopes = append(slopes, openStreams)
	}
	return slopes, nil
}

// measureOpen measures the memory of open streams in all processes.
func (p streamPath) measureOpen(ctx context.Context, c Config) (Slope, error) {
	openFor := time.Duration(c.scaledSize(500, 50)) * time.Millisecond
	var points []Point
	for _, n := range []int{4, concurrentStreams} {
		streamCtx, cancel := context.WithCancel(ctx)
		var readers sync.WaitGroup
		for range n {
			readers.Go(func() { _ = p.readOne(streamCtx, openStreamTokens) })
		}
		err := sleep(ctx, openFor)
		bytes := heapBytes() + stackBytes()
		cancel()
		readers.Wait()
		if err != nil {
			return Slope{}, err
		}
		points = append(points, NewPoint(n, bytes))
	}
	return NewSlope("stream, "+p.name+": heap and stacks of all processes", "open stream", UnitHeapBytes, points...)
}

// readAll reads concurrentStreams streams of the same length concurrently.
func (p streamPath) readAll(ctx context.Context, tokens int) error {
	results := make(chan error, concurrentStreams)
	var readers sync.WaitGroup
	for range concurrentStreams {
		readers.Go(func() { results <- p.readOne(ctx, tokens) })
	}
	readers.Wait()
	close(results)
	for err := range results {
		if err != nil {
			return err
		}
	}
	return nil
}

// readOne requests a stream and reads it to the end.
func (p streamPath) readOne(ctx context.Context, tokens int) error {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		Stream    bool   `json:"stream"`
		MaxTokens int    `json:"max_tokens"`
	}{"standin", "say what there is", true, tokens})
	if err != nil {
		return errors.Wrap(err, "encode a request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create a request")
	}
	request.Header = p.header.Clone()
	request.Header.Set("Content-Type", "application/json")
	response, err := p.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "request a stream")
	}
	defer response.Body.Close()
	return readStream(response, tokens)
}

func readStream(response *http.Response, tokens int) error {
	chunks, done := 0, false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Text()
		chunks += strings.Count(line, `"choices"`)
		done = done || line == "data: [DONE]"
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read a stream")
	}
	if response.StatusCode != http.StatusOK || !done || chunks < tokens {
		return errors.Newf("incomplete stream: status %d, %d chunks of %d tokens, done: %v", response.StatusCode, chunks, tokens, done)
	}
	return nil
}

// commitInitialConfig commits the first config change: labels, a selector and a client
// account.
func (s *deployment) commitInitialConfig(ctx context.Context) error {
	labels, err := config.NewLabelsSet("drafting-01234", selector.Labels{"pool": "draft"})
	if err != nil {
		return err
	}
	engines, err := config.NewSelectorSet(selector.Config{
		Name: "engines", Protocol: kumquatlug.ProtocolEngine, Kind: "standin", Role: kumquatlug.RoleBoth, Match: "pool=draft",
	})
	if err != nil {
		return err
	}
	text, err := json.Marshal(kumquatlug.CallerConfig{Name: "portal", KeyHash: kumquatlug.HashKey(callerKey)})
	if err != nil {
		return errors.Wrap(err, "encode a client account")
	}
	return s.commitFirst(ctx, []config.Set{labels, engines, config.NewSet(config.PrefixCaller+"portal", text)})
}

// commitFirst commits sets as the first config change of the deployment.
func (s *deployment) commitFirst(ctx context.Context, sets []config.Set) error {
	p, err := config.NewProposal(config.ProposalConfig{ID: "first", Author: "operator", Sets: sets})
	if err != nil {
		return err
	}
	_, err = newConfigStore(s.store).Commit(ctx, p)
	return err
}

// gatewayEndpoint holds the addresses at which callers and peers reach a measured
// gateway, and the traffic of its peer listener.
type gatewayEndpoint struct {
	url         string
	client      *http.Client
	peerAddress string
	peerTraffic *connectionTraffic
}

// addGateway adds a gateway that uses TLS with agents and callers.
func (s *deployment) addGateway(name string, t *connectionTraffic) (gatewayEndpoint, error) {
	callers, err := s.listen(t, true)
	if err != nil {
		return gatewayEndpoint{}, err
	}
	peerTraffic := &connectionTraffic{}
	peers, err := s.listen(peerTraffic, true)
	if err != nil {
		return gatewayEndpoint{}, err
	}
	operators, err := s.listen(&connectionTraffic{}, true)
	if err != nil {
		return gatewayEndpoint{}, err
	}
	public, pool, err := s.newPublicKeys()
	if err != nil {
		return gatewayEndpoint{}, err
	}
	e, err := entry.New(entry.Config{
		Name: name, Zone: zone, CallerListener: callers, PeerListener: peers, OperatorListener: operators, PeerKeys: s.gatewayKeys, CallerTLS: public,
		Table: s.store, Objects: s.store, VMs: s.store, Clock: clock.NewMonotonic(), VMListInterval: 2 * kumquatlug.Second,
		Logger: zap.NewNop(), Registry: prometheus.NewRegistry(), Ring: timeline.NewRing(name, ringSize),
		NewPlanner: func() kumquatlug.RolePlanner { return planner.Static{} },
	})
	if err != nil {
		return gatewayEndpoint{}, err
	}
	s.store.SetVM(kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: name, Role: kumquatlug.VMGateway, Address: peers.Addr().String(), Zone: zone, State: kumquatlug.VMLive,
	}))
	peer.AddTask(s.ctx, &s.group, e.Run)
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: concurrentStreams, TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: peer.RoleGateway.DNSName()},
	}}
	return gatewayEndpoint{"https://" + callers.Addr().String(), client, peers.Addr().String(), peerTraffic}, nil
}
