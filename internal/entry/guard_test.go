package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/caller"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ledger"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

const callerKey = "caller-key"

// agentStub is an agent whose handler serves its calls in the order of their arrival.
type agentStub struct {
	serve func(w http.ResponseWriter, r *http.Request)
	// arrived receives a value for each call, ended one for each that was cancelled.
	arrived, ended chan struct{}
}

func newAgentStub(serve func(w http.ResponseWriter, r *http.Request)) *agentStub {
	return &agentStub{serve: serve, arrived: make(chan struct{}, 16), ended: make(chan struct{}, 16)}
}

func (a *agentStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	a.arrived <- struct{}{}
	a.serve(w, r)
	if r.Context().Err() != nil {
		a.ended <- struct{}{}
	}
}

// writeTokens writes the events of tokens from to to-1 of a response.
func writeTokens(w http.ResponseWriter, from, to int) {
	for i := from; i < to; i++ {
		fmt.Fprintf(w, `data: {"object":"text_completion","choices":[{"index":0,"text":"t%d ","finish_reason":null}],"usage":{"completion_tokens":%d}}`+"\n\n", i, i+1)
	}
	_ = http.NewResponseController(w).Flush()
}

// writeEnd writes the tokens from from to the last one and the end of a response.
func writeEnd(w http.ResponseWriter, from int) {
	writeTokens(w, from, streamTokens)
	fmt.Fprintf(w, `data: {"object":"text_completion","choices":[{"index":0,"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":%d}}`+"\n\ndata: [DONE]\n\n", streamTokens)
	w.Header().Set(peer.TrailerEnd, peer.EndComplete)
}

const streamTokens = 8

func startStream(w http.ResponseWriter) {
	w.Header().Set("Trailer", peer.TrailerEnd)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
}

func writeAnswer(w http.ResponseWriter, body string) {
	w.Header().Set("Trailer", peer.TrailerEnd)
	w.Header().Set(peer.HeaderExecution, string(kumquatlug.Executed))
	_, _ = io.WriteString(w, body)
	w.Header().Set(peer.TrailerEnd, peer.EndComplete)
}

func refuseFull(w http.ResponseWriter, _ *http.Request) {
	peer.WriteFailure(w, kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "call target", Reason: dispatch.ReasonEngineRefused, Execution: kumquatlug.NotExecuted,
	}), 1, 1)
}

// gatewayHarness is a gateway without heartbeats, whose targets answer or miss them as
// the test says.
type gatewayHarness struct {
	*Entry
	t      *testing.T
	url    string
	agents map[string]*agentStub
	// first is the target of the first attempt.
	first string
	// timeoutMs is the timeout that the caller requests, empty for none.
	timeoutMs string
	// leave disconnects the caller.
	leave context.CancelFunc
}

func newGatewayHarness(t *testing.T, agents map[string]*agentStub) *gatewayHarness {
	t.Helper()
	store, now := platform.NewMemory(), clock.NewMonotonic()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e, err := New(Config{
		Name: "entry-1", Zone: "a", PeerListener: listener, Table: store, Objects: store, VMs: store, Clock: now,
		Logger: zap.NewNop(), Registry: prometheus.NewRegistry(), Ring: timeline.NewRing("entry-1", 64),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context) error{e.loop.run, e.ledger.Run, e.eraKeeper.Run} {
		tasks.Go(func() { _ = task(ctx) })
	}
	h := &gatewayHarness{Entry: e, t: t, agents: agents}
	var sets []config.Set
	var vms []kumquatlug.VM
	addSet := func(set config.Set, err error) {
		if err != nil {
			t.Fatal(err)
		}
		sets = append(sets, set)
	}
	addSet(config.NewSelectorSet(selector.Config{Name: "draft", Protocol: kumquatlug.ProtocolEngine, Kind: "draft", Role: kumquatlug.RoleBoth, Match: "pool=all"}))
	addSet(config.NewSelectorSet(selector.Config{Name: "read", Protocol: kumquatlug.ProtocolService, Kind: "read", Role: kumquatlug.RoleServe, Match: "pool=all"}))
	addSet(config.NewCallerSet(kumquatlug.CallerConfig{Name: "portal", KeyHash: kumquatlug.HashKey(callerKey)}))
	for name, agent := range agents {
		server := httptest.NewServer(agent)
		t.Cleanup(server.Close)
		addSet(config.NewLabelsSet(name, selector.Labels{"pool": "all"}))
		vms = append(vms, kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: name, Role: kumquatlug.VMTarget, Address: server.Listener.Addr().String(), Zone: "a", State: kumquatlug.VMLive,
		}))
	}
	state, err := config.State{}.Apply(config.NewChange(1, "1", "ana", sets))
	if err != nil {
		t.Fatal(err)
	}
	e.loop.post(vmsListed{vms})
	e.applyConfig(state)
	for name := range agents {
		e.loop.post(heartbeatAnswered{name: name, report: dispatch.Report{Incarnation: "i", State: dispatch.TargetServing, SentAt: now.Now()}})
	}
	server := httptest.NewServer(caller.New(caller.Config{Backend: e, Logger: zap.NewNop()}))
	h.url = server.URL
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		tasks.Wait()
		e.dialer.Close()
	})
	return h
}

// missHeartbeats makes the target of the first attempt count as down.
func (h *gatewayHarness) missHeartbeats() {
	for range membership.DownAfterMissed {
		h.loop.post(heartbeatMissed{h.first})
	}
	_ = h.loop.query(h.t.Context(), func(*dispatch.Dispatcher) {})
}

type answer struct {
	status int
	body   string
	err    error
}

// request sends a request and waits until the first attempt has arrived.
func (h *gatewayHarness) request(method, path, body string) <-chan answer {
	h.t.Helper()
	answers := make(chan answer, 1)
	ctx, cancel := context.WithCancel(context.Background())
	h.leave = cancel
	h.t.Cleanup(cancel)
	go func() {
		r, err := http.NewRequestWithContext(ctx, method, h.url+path, bytes.NewBufferString(body))
		if err != nil {
			answers <- answer{err: err}
			return
		}
		r.Header.Set("Authorization", "Bearer "+callerKey)
		if h.timeoutMs != "" {
			r.Header.Set(peer.HeaderTimeout, h.timeoutMs)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		answers <- answer{response.StatusCode, string(text), err}
	}()
	for h.first == "" {
		for name, agent := range h.agents {
			select {
			case <-agent.arrived:
				h.first = name
			case a := <-answers:
				h.t.Fatalf("answered before any attempt: %+v", a)
			case <-time.After(time.Millisecond):
			}
		}
	}
	return answers
}

func (h *gatewayHarness) stream() <-chan answer {
	h.t.Helper()
	return h.request(http.MethodPost, "/v1/completions", `{"model":"draft","prompt":"p","stream":true}`)
}

// expectWhole checks that a stream is complete, with each token once.
func (h *gatewayHarness) expectWhole(answers <-chan answer) {
	h.t.Helper()
	a := receive(h.t, answers)
	if n := strings.Count(a.body, `"text":"t`); a.err != nil || a.status != http.StatusOK || n != streamTokens || !strings.Contains(a.body, "[DONE]") {
		h.t.Fatalf("%d of %d tokens, status %d, error %v: %s", n, streamTokens, a.status, a.err, a.body)
	}
}

// awaitSignal waits for a value.
func awaitSignal(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing within 10 s")
	}
}

// receive waits for an answer.
func receive(t *testing.T, c <-chan answer) answer {
	t.Helper()
	select {
	case a := <-c:
		return a
	case <-time.After(10 * time.Second):
		t.Fatal("nothing within 10 s")
		return answer{}
	}
}

// stubs returns two agents: the one that is called first serves with first, the other one
// with second.
func stubs(first, second func(w http.ResponseWriter, r *http.Request)) map[string]*agentStub {
	var once sync.Once
	var firstAgent *agentStub
	agents := map[string]*agentStub{}
	for _, name := range []string{"engine-1", "engine-2"} {
		agent := newAgentStub(nil)
		agent.serve = func(w http.ResponseWriter, r *http.Request) {
			once.Do(func() { firstAgent = agent })
			if firstAgent == agent {
				first(w, r)
				return
			}
			second(w, r)
		}
		agents[name] = agent
	}
	return agents
}

func (h *gatewayHarness) other() *agentStub {
	for name, agent := range h.agents {
		if name != h.first {
			return agent
		}
	}
	return nil
}

// pausingStream sends two tokens, then pauses until resume is closed. After that it sends
// the rest, unless its connection has been closed.
func pausingStream(resume <-chan struct{}) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		startStream(w)
		writeTokens(w, 0, 2)
		select {
		case <-resume:
			writeEnd(w, 2)
		case <-r.Context().Done():
		}
	}
}

// The heartbeats of the only target are missed while it streams, and it goes on later. If
// its attempt were cancelled first, the caller would get a cut stream.
func TestSuspectedStreamGoesOnWithoutOtherTarget(t *testing.T) {
	resume := make(chan struct{})
	h := newGatewayHarness(t, map[string]*agentStub{"engine-1": newAgentStub(pausingStream(resume))})
	answers := h.stream()
	<-time.After(100 * time.Millisecond)
	h.missHeartbeats()
	<-time.After(dispatch.NoTargetGrace.Duration() + 1500*time.Millisecond)
	close(resume)
	h.expectWhole(answers)
}

// The target of a stream is suspect and the other one is full. The caller must get the
// rest from the first.
func TestSuspectedStreamGoesOnWhenOtherTargetRefuses(t *testing.T) {
	resume := make(chan struct{})
	h := newGatewayHarness(t, stubs(pausingStream(resume), refuseFull))
	answers := h.stream()
	<-time.After(100 * time.Millisecond)
	h.missHeartbeats()
	awaitSignal(t, h.other().arrived)
	close(resume)
	h.expectWhole(answers)
}

// The target of a stream is suspect and goes on before the other one has accepted it. The
// continuation must be called off, without a second run or a token twice.
func TestContinuationIsCalledOffWhenStreamGoesOn(t *testing.T) {
	resume := make(chan struct{})
	h := newGatewayHarness(t, stubs(pausingStream(resume), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	answers := h.stream()
	<-time.After(100 * time.Millisecond)
	h.missHeartbeats()
	awaitSignal(t, h.other().arrived)
	close(resume)
	awaitSignal(t, h.other().ended)
	h.expectWhole(answers)
	_ = h.loop.query(t.Context(), func(d *dispatch.Dispatcher) {
		for name := range h.agents {
			if _, _, decisions := d.HeartbeatAnswered(h.cfg.Clock.Now(), name, dispatch.Report{Incarnation: "i", State: dispatch.TargetServing}); len(decisions) > 0 {
				t.Errorf("decisions after the response: %+v", decisions)
			}
		}
	})
}

// The target of a stream stays silent. The other one accepts the request, the first attempt
// must end then, and the caller gets each token once.
func TestSilentStreamContinuesElsewhere(t *testing.T) {
	h := newGatewayHarness(t, stubs(pausingStream(nil), func(w http.ResponseWriter, _ *http.Request) {
		startStream(w)
		writeEnd(w, 2)
	}))
	answers := h.stream()
	<-time.After(100 * time.Millisecond)
	h.missHeartbeats()
	awaitSignal(t, h.agents[h.first].ended)
	h.expectWhole(answers)
}

// The agent of the other target announces that it has admitted the request, which then
// prefills for long. The runs must not overlap by more than 400 ms.
func TestFirstAttemptEndsSoonAfterAdmission(t *testing.T) {
	admitted := make(chan time.Time, 1)
	h := newGatewayHarness(t, stubs(pausingStream(nil), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusProcessing)
		admitted <- time.Now()
		<-time.After(time.Second)
		startStream(w)
		writeEnd(w, 2)
	}))
	answers := h.stream()
	<-time.After(100 * time.Millisecond)
	h.missHeartbeats()
	var at time.Time
	select {
	case at = <-admitted:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was admitted within 10 s")
	}
	awaitSignal(t, h.agents[h.first].ended)
	if overlap := time.Since(at); overlap > 400*time.Millisecond {
		t.Errorf("the runs overlapped by %s", overlap)
	}
	h.expectWhole(answers)
}

// The first connection breaks while a continuation is being secured: the caller must get
// the rest from the other target.
func TestFirstAttemptFailsWhileContinuationIsSecured(t *testing.T) {
	fail, proceed := make(chan struct{}), make(chan struct{})
	h := newGatewayHarness(t, stubs(func(w http.ResponseWriter, _ *http.Request) {
		startStream(w)
		writeTokens(w, 0, 2)
		<-fail
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, _ *http.Request) {
		<-proceed
		startStream(w)
		writeEnd(w, 2)
	}))
	answers := h.stream()
	<-time.After(100 * time.Millisecond)
	h.missHeartbeats()
	awaitSignal(t, h.other().arrived)
	close(fail)
	<-time.After(50 * time.Millisecond)
	close(proceed)
	h.expectWhole(answers)
}

// Heartbeats are lost while tokens arrive, as when only the control connection is broken.
// Such an attempt is alive and must not be sent elsewhere.
func TestFlowingStreamIsNotSuspected(t *testing.T) {
	h := newGatewayHarness(t, stubs(func(w http.ResponseWriter, r *http.Request) {
		startStream(w)
		for i := range streamTokens - 1 {
			writeTokens(w, i, i+1)
			select {
			case <-time.After(50 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		writeEnd(w, streamTokens-1)
	}, refuseFull))
	answers := h.stream()
	for range membership.DownAfterMissed {
		<-time.After(100 * time.Millisecond)
		h.loop.post(heartbeatMissed{h.first})
	}
	h.expectWhole(answers)
	if n := len(h.other().arrived); n > 0 {
		t.Errorf("%d attempts at the other target", n)
	}
}

// The only target of a service call is suspect and answers later.
func TestSuspectedCallIsAnswered(t *testing.T) {
	resume := make(chan struct{})
	h := newGatewayHarness(t, map[string]*agentStub{"service-1": newAgentStub(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-resume:
			writeAnswer(w, "done")
		case <-r.Context().Done():
		}
	})})
	answers := h.request(http.MethodGet, "/services/read/x", "")
	h.missHeartbeats()
	<-time.After(dispatch.NoTargetGrace.Duration() + 1500*time.Millisecond)
	close(resume)
	if a := receive(t, answers); a.status != http.StatusOK || a.body != "done" {
		t.Fatalf("%+v", a)
	}
}

// The target of a service call is suspect after part of a large answer was delivered, which
// no other target can continue. The caller must get the rest.
func TestSuspectedAnswerIsDelivered(t *testing.T) {
	resume := make(chan struct{})
	part := strings.Repeat("x", 2*prefetchBytes)
	h := newGatewayHarness(t, stubs(func(w http.ResponseWriter, r *http.Request) {
		startStream(w)
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-resume:
			_, _ = io.WriteString(w, "end")
			w.Header().Set(peer.TrailerEnd, peer.EndComplete)
		case <-r.Context().Done():
		}
	}, refuseFull))
	answers := h.request(http.MethodGet, "/services/read/x", "")
	<-time.After(200 * time.Millisecond)
	h.missHeartbeats()
	<-time.After(100 * time.Millisecond)
	close(resume)
	if a := receive(t, answers); a.err != nil || a.body != part+"end" {
		t.Fatalf("status %d, %d bytes, error %v", a.status, len(a.body), a.err)
	}
}

// The other target is admitted as the continuation of a call, and refuses it after the first
// attempt was cancelled. The call must be sent once more.
func TestRefusalAfterAdmissionIsRetried(t *testing.T) {
	var calls atomic.Int64
	h := newGatewayHarness(t, stubs(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			writeAnswer(w, "done")
			return
		}
		w.WriteHeader(http.StatusProcessing)
		<-time.After(2 * admittedDelay)
		refuseFull(w, r)
	}))
	answers := h.request(http.MethodGet, "/services/read/x", "")
	h.missHeartbeats()
	awaitSignal(t, h.agents[h.first].ended)
	if a := receive(t, answers); a.status != http.StatusOK || a.body != "done" {
		t.Fatalf("%+v", a)
	}
}

// The only target of a call stays silent. The caller must get an error at its deadline.
func TestSilentCallEndsAtDeadline(t *testing.T) {
	h := newGatewayHarness(t, map[string]*agentStub{"service-1": newAgentStub(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })})
	h.timeoutMs = "2000"
	start := time.Now()
	answers := h.request(http.MethodGet, "/services/read/x", "")
	h.missHeartbeats()
	if a := receive(t, answers); a.status < 500 || time.Since(start) > 4*time.Second {
		t.Fatalf("after %s: %+v", time.Since(start), a)
	}
	awaitSignal(t, h.agents[h.first].ended)
}

// The caller leaves while a continuation is being secured. Both attempts must end.
func TestCallerLeavesWhileContinuationIsSecured(t *testing.T) {
	h := newGatewayHarness(t, stubs(pausingStream(nil), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	h.stream()
	<-time.After(100 * time.Millisecond)
	h.missHeartbeats()
	awaitSignal(t, h.other().arrived)
	h.leave()
	awaitSignal(t, h.other().ended)
	awaitSignal(t, h.agents[h.first].ended)
}

// runOnceAgent is an agent that runs calls under their claims. It reads nothing of the
// claim before beforeClaim returns, and answers when answer returns.
type runOnceAgent struct {
	t                   *testing.T
	ledger              *ledger.Ledger
	beforeClaim, answer func(r *http.Request)
	runs                *atomic.Int64
	// resend, if set, serves the calls that arrive after the first run began. Without it
	// they wait for the outcome of the run and get no answer, as at a paused agent.
	resend func(w http.ResponseWriter, r *http.Request)
}

func (a *runOnceAgent) serve(w http.ResponseWriter, r *http.Request) {
	work, err := peer.ReadWork(r.Header)
	if err != nil {
		a.t.Error(err)
		return
	}
	if a.resend != nil && a.runs.Load() > 0 {
		a.resend(w, r)
		return
	}
	a.beforeClaim(r)
	dispatched, _ := ledger.ParseDispatch(work.Dispatch())
	// A call that was buffered is claimed although its connection has been closed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), 2*time.Second)
	defer cancel()
	decision, err := a.ledger.Begin(ctx, ledger.NewCall(ledger.CallConfig{
		Caller: work.Caller(), Key: work.Key(), Fingerprint: work.Fingerprint(), Dispatch: dispatched,
	}))
	if err != nil || decision.Verdict() == ledger.VerdictStale {
		refuseFull(w, r)
		return
	}
	if decision.Verdict() != ledger.VerdictRun {
		<-r.Context().Done()
		return
	}
	a.runs.Add(1)
	a.answer(r)
	if err := a.ledger.Finish(decision.Ticket(), ledger.NewOutcome(http.StatusOK, http.Header{}, []byte("done"))); err != nil {
		a.t.Error(err)
	}
	writeAnswer(w, "done")
}

// newRunOnceGateway returns a gateway whose services run calls under their claims. The one
// that is called first uses beforeClaim and answer, the others don't wait.
func newRunOnceGateway(t *testing.T, names []string, beforeClaim, answer func(r *http.Request), resend http.HandlerFunc) (*gatewayHarness, *atomic.Int64) {
	t.Helper()
	var runs atomic.Int64
	var first atomic.Pointer[runOnceAgent]
	agents, runOnce := map[string]*agentStub{}, map[string]*runOnceAgent{}
	for _, name := range names {
		a := &runOnceAgent{t: t, runs: &runs, resend: resend}
		only := func(wait func(r *http.Request)) func(r *http.Request) {
			return func(r *http.Request) {
				if first.CompareAndSwap(nil, a); first.Load() == a {
					wait(r)
				}
			}
		}
		a.beforeClaim, a.answer = only(beforeClaim), only(answer)
		agents[name], runOnce[name] = newAgentStub(a.serve), a
	}
	h := newGatewayHarness(t, agents)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() { cancel(); tasks.Wait() })
	for name, a := range runOnce {
		var err error
		a.ledger, err = ledger.New(ledger.Config{Table: h.cfg.Table, Objects: h.cfg.Objects, Clock: h.cfg.Clock, Target: name, Incarnation: "i"})
		if err != nil {
			t.Fatal(err)
		}
		tasks.Go(func() { _ = a.ledger.Run(ctx) })
	}
	for known := false; !known; time.Sleep(10 * time.Millisecond) {
		_, known = h.eraKeeper.Dispatch()
	}
	return h, &runs
}

func waitFor(resume <-chan struct{}) func(r *http.Request) {
	return func(*http.Request) { <-resume }
}

func noWait(*http.Request) {}

// expectOneRun checks that a call that must not be repeated was answered and ran once.
func (h *gatewayHarness) expectOneRun(answers <-chan answer, runs *atomic.Int64) {
	h.t.Helper()
	if a := receive(h.t, answers); a.status != http.StatusOK || a.body != "done" {
		h.t.Errorf("%+v", a)
	}
	if n := runs.Load(); n != 1 {
		h.t.Errorf("%d runs", n)
	}
}

// The agent that holds the claim of a call that must not be repeated is suspect and
// answers later. If the attempt were cancelled, the caller would get an unknown outcome.
func TestSuspectedRunOnceCallIsAnswered(t *testing.T) {
	resume := make(chan struct{})
	h, runs := newRunOnceGateway(t, []string{"service-1", "service-2"}, noWait, waitFor(resume), nil)
	answers := h.request(http.MethodPost, "/services/read/x", "order")
	<-time.After(200 * time.Millisecond)
	h.missHeartbeats()
	<-time.After(300 * time.Millisecond)
	close(resume)
	h.expectOneRun(answers, runs)
}

// The only agent is suspect before it has claimed a call that must not be repeated. If the
// call were revoked, the agent could not run it later, and the caller would be refused.
func TestRunOnceCallIsNotRevokedWithoutOtherTarget(t *testing.T) {
	resume := make(chan struct{})
	h, runs := newRunOnceGateway(t, []string{"service-1"}, waitFor(resume), noWait, nil)
	answers := h.request(http.MethodPost, "/services/read/x", "order")
	h.missHeartbeats()
	<-time.After(300 * time.Millisecond)
	close(resume)
	h.expectOneRun(answers, runs)
}

// An agent is suspect before it has claimed a call that must not be repeated, and another
// one runs the call. When the first goes on, it must not run the call again.
func TestRevokedRunOnceCallRunsElsewhereOnce(t *testing.T) {
	resume := make(chan struct{})
	h, runs := newRunOnceGateway(t, []string{"service-1", "service-2"}, waitFor(resume), noWait, nil)
	answers := h.request(http.MethodPost, "/services/read/x", "order")
	h.missHeartbeats()
	awaitSignal(t, h.other().arrived)
	close(resume)
	h.expectOneRun(answers, runs)
	awaitSignal(t, h.agents[h.first].ended)
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// The connection of a call that must not be repeated is lost, and the agent with its claim
// gives a large answer to a resend, which the gateway sent while the agent was suspect.
func TestLargeAnswerOfClaimHolderIsDelivered(t *testing.T) {
	h, _ := newRunOnceGateway(t, []string{"service-1", "service-2"}, noWait, func(r *http.Request) { <-r.Context().Done() }, writeSlowly)
	answers := h.request(http.MethodPost, "/services/read/x", "order")
	<-time.After(200 * time.Millisecond)
	h.missHeartbeats()
	if a := receive(t, answers); a.err != nil || a.body != largePart+"end" {
		t.Fatalf("status %d, %d bytes, %v", a.status, len(a.body), a.err)
	}
}

// largePart is more than a gateway reads before it delivers an answer.
var largePart = strings.Repeat("x", 2*prefetchBytes)

// writeSlowly writes largePart, and some time later the end of the answer.
func writeSlowly(w http.ResponseWriter, r *http.Request) {
	startStream(w)
	_, _ = io.WriteString(w, largePart)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-time.After(300 * time.Millisecond):
		_, _ = io.WriteString(w, "end")
		w.Header().Set(peer.TrailerEnd, peer.EndComplete)
	case <-r.Context().Done():
	}
}

// The holder of a claim answers a resent call with a large answer that takes longer than
// the wait for its start. The caller must get all of it.
func TestHolderTimeoutEndsWithStartOfAnswer(t *testing.T) {
	h := newGatewayHarness(t, map[string]*agentStub{"service-1": newAgentStub(writeSlowly)})
	member, _ := h.member(t.Context(), "service-1")
	account, err := kumquatlug.NewCaller(kumquatlug.CallerConfig{Name: "portal", KeyHash: kumquatlug.HashKey(callerKey)})
	if err != nil {
		t.Fatal(err)
	}
	r := h.newRequest("r1", account, kumquatlug.NewKind(kumquatlug.ProtocolService, "read"), kumquatlug.Minute)
	holder := dispatch.Attempt{}.WithTarget("service-1", member.VM().Address())
	response, refused := r.sendCallToHolder(t.Context(), holder, agentRequest{method: http.MethodPost, path: "/x"}, 100)
	if refused != nil {
		t.Fatal(refused.failure)
	}
	defer response.Body().Close()
	if body, err := io.ReadAll(response.Body()); err != nil || string(body) != largePart+"end" {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
}
