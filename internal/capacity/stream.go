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
	// streamsAtOnce is how many answers are in the making while they are
	// measured.
	streamsAtOnce = 24
	// streamPace is the part of an engine's usual times that the stand-in
	// takes: a token each 2 ms or so, so that each comes alone.
	streamPace = 0.1

	// warmTokens is the length of the first streams, long enough that all of
	// them are open at once.
	warmTokens = 16

	// longTokens is the length of streams that are still open when they are
	// looked at.
	longTokens = 2000

	callerKey = "klug-capacity"
)

// route is one way to an engine's stream.
type route struct {
	what    string
	client  *http.Client
	url     string
	header  http.Header
	traffic *traffic
}

// streams measures what a streamed token costs on the way from the engine to
// the caller. The same streams are read three times: from the engine itself,
// through its agent, and through entry and agent; the differences are the
// agent's and the entry's.
func streams(ctx context.Context, c Config) ([]Slope, error) {
	s, err := newSite(ctx)
	if err != nil {
		return nil, err
	}
	engine := standinengine.New(standinengine.Config{TimeScale: streamPace, MaxBatch: 2 * streamsAtOnce})
	direct := &traffic{}
	l, err := s.listen(direct, false)
	if err != nil {
		return nil, err
	}
	s.serveOn(l, engine.Handler())
	engineURL := "http://" + l.Addr().String()
	toAgent := &traffic{}
	agent, err := s.addAgent("drafting-01234", engineURL, toAgent)
	if err != nil {
		return nil, err
	}
	if err := s.configure(ctx); err != nil {
		return nil, err
	}
	toEntry := &traffic{}
	e, err := s.addEntry("entry-0123", toEntry)
	if err != nil {
		return nil, err
	}
	defer s.start()()
	dialer := peer.NewDialer(s.entry)
	defer dialer.Close()
	plain := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamsAtOnce}}
	defer plain.CloseIdleConnections()
	routes := []route{
		{"engine alone", plain, engineURL, http.Header{}, direct},
		{"through the agent", dialer.Work(), dialer.WorkURL(agent, ""), workHeader(), toAgent},
		{"through entry and agent", e.client, e.url, http.Header{"Authorization": {"Bearer " + callerKey}}, toEntry},
	}
	if err := until(ctx, func() bool { return routes[2].read(ctx, 2) == nil }); err != nil {
		return nil, errors.Wrap(err, "first answer")
	}
	return streamSlopes(ctx, c, routes, toAgent)
}

// workHeader returns what an entry tells an agent of a request.
func workHeader() http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	peer.NewWork(peer.WorkConfig{
		Request: "01J9ZZZZZZZZZZZZZZZZZZZZZZ", Attempt: 1, Kind: kumquatlug.NewKind(kumquatlug.ProtocolEngine, "standin"),
		Caller: "portal", Revision: 1, Timeout: kumquatlug.Minute, Fingerprint: string(fingerprintOf(0)), From: "10.120.30.40:8070",
	}).Write(h)
	return h
}

func streamSlopes(ctx context.Context, c Config, routes []route, between *traffic) ([]Slope, error) {
	sizes := []int{c.size(32, 2), c.size(182, 6)}
	var slopes []Slope
	for _, r := range routes {
		// The first streams open the connections of the others.
		if err := r.many(ctx, warmTokens); err != nil {
			return nil, errors.Wrap(err, r.what)
		}
		var bytes, nanos, inner []Point
		for _, tokens := range sizes {
			before, beforeInner := r.traffic.read(), between.read()
			took, err := leastSpent(func() error { return r.many(ctx, tokens) })
			if err != nil {
				return nil, errors.Wrap(err, r.what)
			}
			all := tokens * streamsAtOnce
			bytes = append(bytes, NewPoint(all, float64(r.traffic.read().since(before).both())/runs))
			inner = append(inner, NewPoint(all, float64(between.read().since(beforeInner).both())/runs))
			nanos = append(nanos, NewPoint(all, float64(took.Nanoseconds())))
		}
		configs := []slopeConfig{
			{"stream, " + r.what + ": wire at the client", "token", UnitBytes, bytes},
			{"stream, " + r.what + ": all processes", "token", UnitNanos, nanos},
		}
		if r.traffic != between && r.what != routes[0].what {
			configs = append(configs, slopeConfig{"stream, " + r.what + ": wire between the two, with TLS", "token", UnitBytes, inner})
		}
		more, err := slopesOf(configs)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, more...)
		held, err := r.held(ctx, c)
		if err != nil {
			return nil, errors.Wrap(err, r.what)
		}
		slopes = append(slopes, held)
	}
	return slopes, nil
}

// held measures the memory of streams that are open, in all processes.
func (r route) held(ctx context.Context, c Config) (Slope, error) {
	open := time.Duration(c.size(500, 50)) * time.Millisecond
	var points []Point
	for _, n := range []int{4, streamsAtOnce} {
		running, cancel := context.WithCancel(ctx)
		var all sync.WaitGroup
		for range n {
			all.Go(func() { _ = r.read(running, longTokens) })
		}
		err := pause(ctx, open)
		bytes := heap() + stacks()
		cancel()
		all.Wait()
		if err != nil {
			return Slope{}, err
		}
		points = append(points, NewPoint(n, bytes))
	}
	return NewSlope("stream, "+r.what+": heap and stacks of all processes", "open stream", UnitHeap, points...)
}

// many reads streams of the same length side by side.
func (r route) many(ctx context.Context, tokens int) error {
	failed := make(chan error, streamsAtOnce)
	var all sync.WaitGroup
	for range streamsAtOnce {
		all.Go(func() { failed <- r.read(ctx, tokens) })
	}
	all.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// read asks for a stream and reads it to its end.
func (r route) read(ctx context.Context, tokens int) error {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		Stream    bool   `json:"stream"`
		MaxTokens int    `json:"max_tokens"`
	}{"standin", "say what there is", true, tokens})
	if err != nil {
		return errors.Wrap(err, "encode a request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make a request")
	}
	request.Header = r.header.Clone()
	request.Header.Set("Content-Type", "application/json")
	answer, err := r.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask for a stream")
	}
	defer answer.Body.Close()
	return readStream(answer, tokens)
}

func readStream(answer *http.Response, tokens int) error {
	chunks, done := 0, false
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		line := lines.Text()
		chunks += strings.Count(line, `"choices"`)
		done = done || line == "data: [DONE]"
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read a stream")
	}
	if answer.StatusCode != http.StatusOK || !done || chunks < tokens {
		return errors.Newf("status %d, %d chunks of %d tokens, whole: %v", answer.StatusCode, chunks, tokens, done)
	}
	return nil
}

// configure makes the site's first change: labels, a selector and an account.
func (s *site) configure(ctx context.Context) error {
	labels, err := config.SetLabels("drafting-01234", selector.Labels{"pool": "draft"})
	if err != nil {
		return err
	}
	engines, err := config.SetSelector(selector.Config{
		Name: "engines", Protocol: kumquatlug.ProtocolEngine, Kind: "standin", Role: kumquatlug.RoleBoth, Match: "pool=draft",
	})
	if err != nil {
		return err
	}
	text, err := json.Marshal(kumquatlug.CallerConfig{Name: "portal", KeyHash: kumquatlug.HashKey(callerKey)})
	if err != nil {
		return errors.Wrap(err, "encode an account")
	}
	return s.commit(ctx, []config.Set{labels, engines, config.NewSet(config.PrefixCaller+"portal", text)})
}

// commit makes the site's first change.
func (s *site) commit(ctx context.Context, sets []config.Set) error {
	p, err := config.NewProposal(config.ProposalConfig{ID: "first", Author: "operator", Sets: sets})
	if err != nil {
		return err
	}
	_, err = storeOver(s.platform).Commit(ctx, p)
	return err
}

// entryAddress is how callers and peers reach a measured entry, and what passes
// at the peers' listener.
type entryAddress struct {
	url    string
	client *http.Client
	peers  string
	passed *traffic
}

// addEntry adds an entry, with TLS towards agents and callers.
func (s *site) addEntry(name string, t *traffic) (entryAddress, error) {
	callers, err := s.listen(t, true)
	if err != nil {
		return entryAddress{}, err
	}
	passed := &traffic{}
	peers, err := s.listen(passed, true)
	if err != nil {
		return entryAddress{}, err
	}
	operators, err := s.listen(&traffic{}, true)
	if err != nil {
		return entryAddress{}, err
	}
	public, pool, err := s.publicKeys()
	if err != nil {
		return entryAddress{}, err
	}
	e, err := entry.New(entry.Config{
		Name: name, Zone: zone, Callers: callers, Peers: peers, Operators: operators, Keys: s.entry, CallerTLS: public,
		Table: s.platform, Objects: s.platform, VMs: s.platform, Clock: clock.NewMonotonic(), ListEvery: 2 * kumquatlug.Second,
		Logger: zap.NewNop(), Registry: prometheus.NewRegistry(), Ring: timeline.NewRing(name, ringEvents),
		Planner: func() kumquatlug.RolePlanner { return planner.Static{} },
	})
	if err != nil {
		return entryAddress{}, err
	}
	s.platform.SetVM(kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: name, Role: kumquatlug.VMEntry, Address: peers.Addr().String(), Zone: zone, State: kumquatlug.VMLive,
	}))
	peer.AddDuty(s.ctx, &s.group, e.Run)
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: streamsAtOnce, TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: peer.RoleEntry.DNSName()},
	}}
	return entryAddress{"https://" + callers.Addr().String(), client, peers.Addr().String(), passed}, nil
}
