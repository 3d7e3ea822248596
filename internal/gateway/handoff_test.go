package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/handoff"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

func (noLink) SendHandoff(string, kumquatlug.Handoff)       {}
func (noLink) HandoffPeers() []kumquatlug.HandoffPeer       { return nil }
func (noLink) Zone(string) string                           { return "" }
func (noLink) HandoffProof(string, []byte) []byte           { return nil }
func (noLink) VerifyHandoffProof([]byte, []byte) bool       { return false }
func (plainIngress) PeerHeader(r *http.Request) http.Header { return r.Header.Clone() }

// handoffLink connects two gateways of a test without a network.
type handoffLink struct {
	noLink
	self string
	peer *testGateway
	// lost drops all messages; answer replaces the peer's answer if it is set.
	lost   atomic.Bool
	answer func(kumquatlug.Handoff)
}

func (l *handoffLink) SendHandoff(_ string, h kumquatlug.Handoff) {
	switch {
	case l.lost.Load():
	case l.answer != nil:
		l.answer(h)
	default:
		go l.peer.g.HandoffReceived(l.self, h)
	}
}

func (l *handoffLink) HandoffProof(_ string, message []byte) []byte { return message }
func (l *handoffLink) VerifyHandoffProof(message, proof []byte) bool {
	return string(message) == string(proof)
}

// handoffPair is a gateway with a low-bandwidth link and its peer.
type handoffPair struct {
	a, b         *testGateway
	linkA, linkB *handoffLink
}

func newHandoffPair(t *testing.T, a, b *fakeWorkers, retries int) *handoffPair {
	t.Helper()
	p := &handoffPair{a: newTestGateway(t, a, retries), b: newTestGateway(t, b, retries)}
	p.linkA, p.linkB = &handoffLink{self: "a", peer: p.b}, &handoffLink{self: "b", peer: p.a}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.b.g.c.Name, p.b.g.c.Peers, p.b.g.c.HandoffListener = "b", p.linkB, l
	server := p.b.g.newHandoffServer()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c := &p.a.g.c
	c.Name, c.Peers, c.LinkBytesPerMs = "a", p.linkA, 1250
	c.PeerClient = peerrequest.NewClient(exchange.New(exchange.Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 4}))
	unregister := p.a.g.handoffs.metrics
	c.Registry.Unregister(unregister.handoffs)
	c.Registry.Unregister(unregister.offerDuration)
	p.a.g.handoffs, p.a.g.link = newHandoffs(*c), newLinkQueue(*c)
	p.a.g.handoffs.setPeers([]kumquatlug.HandoffPeer{{Name: "b", Zone: "z", Address: l.Addr().String(), LinkBytesPerMs: 25_000}}, nil)
	return p
}

func (p *handoffPair) outcomes(g *testGateway, outcome string) float64 {
	return testutil.ToFloat64(g.g.handoffs.metrics.handoffs.WithLabelValues(outcome))
}

func streamWorkers(from, to int) *fakeWorkers {
	return &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		return streamResponse(max(from, int(c.options.LastEventID)+1), to), nil
	}}
}

// Streams of engines are served by the peer and relayed unchanged; plain requests stay.
// Headers that imitate a handed-off request have no effect at the clients' listener.
func TestEngineRequestsAreHandedOff(t *testing.T) {
	p := newHandoffPair(t, respondingWorkers(), streamWorkers(1, 5), manyRetries)
	for _, path := range []string{longRoute, chatRoute} {
		if got := p.a.do(t.Context(), http.MethodPost, path); got.status != 200 || got.body != events(1, 5) || got.header.Get("Stamp") != "s" {
			t.Errorf("%s: %+v", path, got)
		}
	}
	if got := p.a.do(t.Context(), http.MethodPost, postRoute); got.status != 200 || len(p.a.workers.recorded()) != 1 {
		t.Errorf("%+v, %d calls", got, len(p.a.workers.recorded()))
	}
	if p.outcomes(p.a, outcomeHandedOff) != 2 || p.outcomes(p.b, outcomeReceived) != 2 {
		t.Error("the streams were not handed off")
	}
}

// A request without a valid proof, or with an offer that was not accepted or was used before,
// must not run: it may come from a client that reaches the port, or be a copy of a request
// that may run only once.
func TestHandedOffRequestRunsOnceAndWithProofOnly(t *testing.T) {
	p := newHandoffPair(t, streamWorkers(1, 5), streamWorkers(1, 5), manyRetries)
	send := func(key uint64, elapsed kumquatlug.Millis, tamper bool) (kumquatlug.HandoffResponse, error) {
		r := kumquatlug.NewRequest(kumquatlug.RequestConfig{
			ID: "r1", Host: "h", Method: http.MethodPost, Path: "/chat/", Target: "/chat/", Body: kumquatlug.NewBody([]byte("body")), Timeout: 2000,
		})
		proof := peerrequest.ProofMessage("a", key, r)
		if tamper {
			proof[len(proof)-1] ^= 1
		}
		return p.a.g.c.PeerClient.HandOff(t.Context(), kumquatlug.HandoffRequest{
			Address: p.b.g.c.HandoffListener.Addr().String(), From: "a", Key: key, Elapsed: elapsed, Proof: proof, Request: r, Header: http.Header{"Id": {"r1"}},
		})
	}
	p.linkB.answer = func(kumquatlug.Handoff) {}
	for _, key := range []uint64{1, 2, 3} {
		p.b.g.HandoffReceived("a", kumquatlug.Handoff{Step: kumquatlug.HandoffOffered, Key: key, Bytes: 4})
	}
	for _, c := range []struct {
		key     uint64
		elapsed kumquatlug.Millis
		tamper  bool
		reason  string
	}{{1, 0, true, reasonHandoffDenied}, {7, 0, false, reasonHandoffDenied}, {1, 0, false, ""}, {1, 0, false, reasonHandoffDenied}, {2, 60_000, false, "deadline"}} {
		got, err := send(c.key, c.elapsed, c.tamper)
		if err != nil {
			t.Fatal(err)
		}
		got.Response().Body().Close()
		if got.Reason() != c.reason || c.reason != "" && got.Ran() != kumquatlug.NotExecuted {
			t.Errorf("%+v: %q %q", c, got.Reason(), got.Ran())
		}
	}
	if n := len(p.b.workers.recorded()); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
	if got := p.b.do(t.Context(), http.MethodPost, chatRoute); got.body != events(1, 5) {
		t.Errorf("request of a client: %+v", got)
	}
}

// The peer declines, does not answer, or refuses the transferred request because it is
// stopping or has lost its config. The gateway must serve the request itself, within the time
// of two offers.
func TestRequestIsServedHereIfPeerDoesNotTakeIt(t *testing.T) {
	for name, prepare := range map[string]func(p *handoffPair){
		"lost":     func(p *handoffPair) { p.linkA.lost.Store(true) },
		"declined": func(p *handoffPair) { p.b.g.exitAt.Store(1) },
		"stopping": func(p *handoffPair) {
			p.linkA.answer = func(h kumquatlug.Handoff) {
				p.linkB.answer = func(m kumquatlug.Handoff) { go p.a.g.HandoffReceived("b", m) }
				p.b.g.HandoffReceived("a", h)
				p.b.g.exitAt.Store(1)
			}
		},
		"restarted": func(p *handoffPair) {
			p.linkA.answer = func(h kumquatlug.Handoff) {
				go p.a.g.HandoffReceived("b", kumquatlug.Handoff{Step: kumquatlug.HandoffAccepted, Key: h.Key})
			}
		},
	} {
		p := newHandoffPair(t, streamWorkers(1, 5), streamWorkers(1, 5), manyRetries)
		prepare(p)
		got := p.a.do(t.Context(), http.MethodPost, chatRoute)
		if got.body != events(1, 5) || len(p.b.workers.recorded()) != 0 || got.duration > time.Second {
			t.Errorf("%s: %+v, %d runs at the peer", name, got, len(p.b.workers.recorded()))
		}
	}
}

// runs returns the calls that run a request, without prefills.
func runs(w *fakeWorkers) int {
	n := 0
	for _, c := range w.recorded() {
		if !c.prefill {
			n++
		}
	}
	return n
}

// The stream of a worker breaks off at the peer, which leaves the last worker that the route
// permits to the gateway that the client reached. Both together must not use more, also when the
// second worker fails as well; the response is then broken off.
func TestGivenUpStreamContinuesWithinWorkerLimit(t *testing.T) {
	breaks := func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		return truncatedResponse(events(int(c.options.LastEventID)+1, int(c.options.LastEventID)+2), -1), nil
	}
	p := newHandoffPair(t, streamWorkers(1, 5), &fakeWorkers{run: breaks}, manyRetries)
	p.a.workers.run = func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		return streamResponse(int(c.options.LastEventID)+1, 5), nil
	}
	got := p.a.do(t.Context(), http.MethodPost, longRoute)
	if got.err != nil || got.body != events(1, 5) || runs(p.b.workers) != 1 || runs(p.a.workers) != 1 {
		t.Errorf("%+v, %d runs here, %d at the peer", got, runs(p.a.workers), runs(p.b.workers))
	}
	p = newHandoffPair(t, &fakeWorkers{run: breaks}, &fakeWorkers{run: breaks}, manyRetries)
	got = p.a.do(t.Context(), http.MethodPost, longRoute)
	if got.err == nil || !strings.HasPrefix(got.body, events(1, 4)) || runs(p.b.workers) != 1 || runs(p.a.workers) != 1 {
		t.Errorf("%+v, %d runs here, %d at the peer", got, runs(p.a.workers), runs(p.b.workers))
	}
}

// A response that is not a stream breaks off at the peer, whose buffers are full, so that it has
// forwarded a part. The gateway has larger buffers: it must not pass the part off as the complete
// response, nor send an empty one.
func TestGivenUpPlainResponseIsNotComplete(t *testing.T) {
	p := newHandoffPair(t, streamWorkers(1, 5), &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		r := truncatedResponse(strings.Repeat("x", 3*minBufferedBytes), -1)
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{Status: 400, Header: r.Header(), Length: -1, Body: r.Body()}), nil
	}}, manyRetries)
	p.a.g.c.MaxBufferBytes = 1 << 20
	p.b.g.bufferBytes.Store(p.b.g.c.MaxBufferBytes)
	got := p.a.do(t.Context(), http.MethodPost, chatRoute)
	if got.err != nil || got.status != http.StatusBadGateway || got.header.Get("Ran") == string(kumquatlug.NotExecuted) || len(p.a.workers.recorded()) != 0 {
		t.Errorf("status %d, %d bytes, %v, %d runs here", got.status, len(got.body), got.err, len(p.a.workers.recorded()))
	}
}

// The peer is partitioned from the store and refuses what its stale config does not cover. The
// gateway has a confirmed config: clients must not be refused because of the peer.
func TestRequestIsServedHereIfConfigOfPeerIsStale(t *testing.T) {
	for _, c := range []struct {
		failClosed     bool
		key            string
		staleAfter     kumquatlug.HandoffStep
		outcome, meant string
	}{
		{true, "k1", "", string(handoff.ResultDeclined), "keys are stale"},
		{true, "k1", kumquatlug.HandoffAccepted, outcomeReturned, "keys become stale after the offer"},
		{false, "k0", "", outcomeReturned, "key is unknown"},
	} {
		p := newHandoffPair(t, streamWorkers(1, 5), streamWorkers(1, 5), manyRetries)
		keys := []map[string]string{{"k1": "north"}, {c.key: "north"}}
		for i, f := range []*testGateway{p.a, p.b} {
			f.g.table.Store(tableWithKeys(t, 7, keys[i]))
			f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now()))
			f.g.c.FailClosed, f.g.c.MaxRevocationDelay, f.g.c.MaxConfigDelay = c.failClosed, 5000, 3000
		}
		stale := func() { p.b.g.configConfirmedAt.Store(int64(p.b.g.c.BootClock.Now() - 6000)) }
		if c.staleAfter == "" {
			stale()
		}
		p.linkB.answer = func(m kumquatlug.Handoff) {
			if m.Step == c.staleAfter {
				stale()
			}
			go p.a.g.HandoffReceived("b", m)
		}
		if got := p.a.do(t.Context(), http.MethodPost, chatRoute, "k1"); got.body != events(1, 5) {
			t.Errorf("%s: %+v", c.meant, got)
		}
		if n := p.outcomes(p.a, c.outcome); n != 1 || len(p.b.workers.recorded()) != 0 {
			t.Errorf("%s: %v requests %s, %d runs at the peer", c.meant, n, c.outcome, len(p.b.workers.recorded()))
		}
	}
}

// Connecting to the peer takes 300 ms, or the peer is suspended before it reads the request. The
// worker must not be given more time than the client has left, and a stream that would be cut
// off at the peer's exit must be refused by the time at which it starts there.
func TestTimeBeforeTransferCounts(t *testing.T) {
	const wait = 300
	p := newHandoffPair(t, streamWorkers(1, 5), streamWorkers(1, 5), manyRetries)
	p.linkB.answer = func(kumquatlug.Handoff) {}
	p.b.g.HandoffReceived("a", kumquatlug.Handoff{Step: kumquatlug.HandoffOffered, Key: 1, Bytes: 4})
	<-time.After(wait * time.Millisecond)
	r := kumquatlug.NewRequest(kumquatlug.RequestConfig{
		ID: "r1", Host: "h", Method: http.MethodPost, Path: "/chat/", Target: "/chat/", Body: kumquatlug.NewBody([]byte("body")), Timeout: 2000,
	})
	got, err := p.a.g.c.PeerClient.HandOff(t.Context(), kumquatlug.HandoffRequest{
		Address: p.b.g.c.HandoffListener.Addr().String(), From: "a", Key: 1, Proof: peerrequest.ProofMessage("a", 1, r), Request: r, Header: http.Header{"Id": {"r1"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	got.Response().Body().Close()
	if calls := p.b.workers.recorded(); len(calls) != 1 || calls[0].options.Timeout > 1500-wait {
		t.Errorf("%+v", calls)
	}
	service, _ := p.b.g.table.Load().Service("engines")
	f := &inflight{g: p.b.g, service: service, request: r, arrived: 1000}
	exit := kumquatlug.Millis(1)
	for ; f.outlastsShutdown(exit); exit++ {
	}
	if f.elapsed = wait; !f.outlastsShutdown(exit + wait - 1) {
		t.Error("a stream that can't complete is started")
	}
}

// The connection to the peer breaks in mid-stream. A resumable stream must continue here
// after the last event, charged to the retry budget; another one, and one that the budget does not
// allow, must break off.
func TestBrokenTransferResumesHere(t *testing.T) {
	for _, c := range []struct {
		path    string
		retries int
		resumes bool
	}{{longRoute, 2, true}, {longRoute, 0, false}, {chatRoute, 2, false}} {
		path, resumes := c.path, c.resumes
		release := make(chan struct{})
		p := newHandoffPair(t, streamWorkers(1, 5), &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
			r := streamResponse(1, 2)
			return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
				Status: 200, Header: r.Header(), Length: -1, Body: stalledBody{Reader: r.Body(), ctx: ctx, release: release},
			}), nil
		}}, c.retries)
		server := &http.Server{Handler: http.HandlerFunc(p.b.g.serveHandoff), ReadHeaderTimeout: time.Minute}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(l) }()
		p.a.g.handoffs.setPeers([]kumquatlug.HandoffPeer{{Name: "b", Zone: "z", Address: l.Addr().String()}}, nil)
		go func() {
			<-release
			_ = server.Close()
		}()
		got := p.a.do(t.Context(), http.MethodPost, path)
		if resumes && got.body != events(1, 5) || !resumes && (got.err == nil || len(p.a.workers.recorded()) != 0) {
			t.Errorf("%+v: %+v, calls %+v", c, got, p.a.workers.recorded())
		}
		if p.outcomes(p.a, outcomeBroken) != 1 {
			t.Errorf("%s: the broken transfer was not counted", path)
		}
	}
}

// The client disconnects while the peer serves its request: the attempt at the worker must end,
// or abandoned requests would take the engines' slots.
func TestDisconnectedClientCancelsAtPeer(t *testing.T) {
	canceled, started := make(chan struct{}), make(chan struct{})
	p := newHandoffPair(t, respondingWorkers(), &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		close(started)
		<-ctx.Done()
		close(canceled)
		return kumquatlug.WorkerResponse{}, lostConnection()
	}}, manyRetries)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	p.a.do(ctx, http.MethodPost, chatRoute)
	select {
	case <-canceled:
	case <-time.After(time.Second):
		t.Error("the attempt continues")
	}
	if p.outcomes(p.a, outcomeBroken) != 0 {
		t.Error("the peer is blamed for the client")
	}
}

// stalledBody sends its content, then reports that on release and sends nothing until the
// attempt ends.
type stalledBody struct {
	io.Reader
	ctx     context.Context
	release chan struct{}
}

func (b stalledBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	close(b.release)
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (stalledBody) Close() error { return nil }

// silentHandoff sends eight streams through a to b, where they fall silent for a while after the
// event with number after, and returns how many calls a made at its own workers.
func silentHandoff(t *testing.T, retries, after, last int, pause time.Duration, lost bool) int {
	t.Helper()
	w := &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		first := int(c.options.LastEventID) + 1
		return pacedResponse(&silentBody{pacedBody: pacedBody{ctx: ctx, next: first, last: last}, after: after, pause: pause}), nil
	}}
	p := newHandoffPair(t, streamWorkers(1, last), w, retries)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.a.g.probeHandoffs(ctx)
	go p.b.g.runTimers(ctx)
	const clients = 8
	responses := make(chan clientResponse, clients)
	for range clients {
		go func() { responses <- p.a.do(ctx, http.MethodPost, longRoute) }()
	}
	if lost {
		// The messages about offers must have arrived.
		sleep(ctx, 100)
		p.linkA.lost.Store(true)
	}
	for range clients {
		if response := <-responses; response.err != nil || response.body != events(1, last) {
			t.Errorf("%d of %d bytes after %s: %v", len(response.body), len(events(1, last)), response.duration, response.err)
		}
	}
	if n := p.outcomes(p.a, outcomeHandedOff); n != clients {
		t.Errorf("%v streams handed off", n)
	}
	return len(p.a.workers.recorded())
}

// The worker of a peer falls silent for a second and goes on, while this gateway's retry budget is
// used up: the streams that were handed off must not be cut.
func TestHandedOffStreamsOfSilentWorkerGoOnWithoutRetryBudget(t *testing.T) {
	if n := silentHandoff(t, 0, silentAfter, lastEvent, silence, false); n != 0 {
		t.Errorf("%d retries without a budget", n)
	}
}

// The worker of a peer is silent and the peer may not use the last worker that the route permits:
// the gateway that handed the request off continues it.
func TestHandedOffStreamOfSilentWorkerContinuesHere(t *testing.T) {
	if n := silentHandoff(t, manyRetries, silentAfter, lastEvent, silence, false); n == 0 {
		t.Error("no stream was continued here")
	}
}

// A peer answers no messages for a second and goes on, while the retry budget is used up: the
// streams that were handed off to it must not be cut.
func TestStreamsAtSilentPeerGoOnWithoutRetryBudget(t *testing.T) {
	silentHandoff(t, 0, 8, 12, 1150*time.Millisecond, true)
}

// The peer that serves a handed-off stream gets the stop signal, or suspects the engine of the
// stream, which is silent for a moment and goes on. Only the gateway that the client reached may
// continue the stream elsewhere, and its retry budget is used up: the stream must go on where it
// is, not be cut.
func TestPeerKeepsStreamThatItCannotContinue(t *testing.T) {
	for _, c := range []struct{ stops, suspects bool }{{true, false}, {false, true}, {true, true}} {
		var p *handoffPair
		w := &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
			return pacedResponse(&silentBody{pacedBody: pacedBody{ctx: ctx, next: 1, last: 5}, after: 2, pause: 200 * time.Millisecond}), nil
		}}
		p = newHandoffPair(t, streamWorkers(1, 5), w, 0)
		time.AfterFunc(120*time.Millisecond, func() {
			if c.stops {
				p.b.stopped(0)
				p.b.g.scheduler.withSlots("engines", func(placer *placement.Placer) { placer.StopCoordinating() })
				p.a.g.handoffs.peerLeft("b")
			}
			if c.suspects {
				p.b.suspectAll()
			}
		})
		got := p.a.do(t.Context(), http.MethodPost, longRoute)
		if got.err != nil || got.body != events(1, 5) || len(p.a.workers.recorded()) != 0 {
			t.Errorf("%+v: %+v, %d calls here", c, got, len(p.a.workers.recorded()))
		}
	}
}

// suspectAll starts takeovers of the attempts that can resume elsewhere, as if their engines had
// become unresponsive.
func (f *testGateway) suspectAll() {
	sc := f.g.scheduler
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, state := range sc.services {
		state.suspectAttempts(slices.Collect(maps.Keys(state.suspects)))
	}
}
