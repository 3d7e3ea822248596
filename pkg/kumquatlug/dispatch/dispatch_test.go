package dispatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

var (
	draftKind   = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "draft")
	serviceKind = kumquatlug.NewKind(kumquatlug.ProtocolService, "gazette")
)

// harness drives a dispatcher with a manual clock and config.
type harness struct {
	*Dispatcher
	t      *testing.T
	now    kumquatlug.Millis
	state  config.State
	caller kumquatlug.Caller
}

func newHarness(t *testing.T, targets ...string) *harness {
	t.Helper()
	h := &harness{Dispatcher: New(Config{Gateway: "e1", Zone: "a", Seed: 1}), t: t, now: 100_000}
	h.configure(t,
		selectorSet(t, selector.Config{Name: "drafts", Protocol: draftKind.Protocol(), Kind: draftKind.Name(), Role: kumquatlug.RoleBoth, Match: "pool=draft"}),
		selectorSet(t, selector.Config{Name: "gazette", Protocol: serviceKind.Protocol(), Kind: serviceKind.Name(), Role: kumquatlug.RoleServe, Match: "pool=post"}),
	)
	var vms []kumquatlug.VM
	for i, name := range targets {
		pool := "draft"
		if name[0] == 's' {
			pool = "post"
		}
		h.label(name, selector.Labels{"pool": pool})
		vms = append(vms, kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: name, Role: kumquatlug.VMTarget, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", State: kumquatlug.VMLive,
		}))
	}
	h.SetVMs(h.now, vms)
	for _, name := range targets {
		h.heartbeat(name, TargetServing)
	}
	return h
}

func selectorSet(t *testing.T, c selector.Config) config.Set {
	t.Helper()
	set, err := config.NewSelectorSet(c)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func (h *harness) configure(t *testing.T, sets ...config.Set) []Decision {
	t.Helper()
	next, err := h.state.Apply(config.NewChange(h.state.Revision()+1, fmt.Sprint(h.state.Revision()), "ana", sets))
	if err != nil {
		t.Fatal(err)
	}
	h.state = next
	return h.Configure(h.now, next)
}

func (h *harness) label(target string, labels selector.Labels) {
	h.t.Helper()
	h.configure(h.t, labelSet(h.t, target, labels))
}

func labelSet(t *testing.T, target string, labels selector.Labels) config.Set {
	t.Helper()
	set, err := config.NewLabelsSet(target, labels)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func (h *harness) heartbeat(target string, state TargetState) {
	h.HeartbeatAnswered(h.now, target, Report{Incarnation: "i", State: state, SentAt: h.now})
}

// arrive offers a request and returns the decision for it, if there is one.
func (h *harness) arrive(id string, kind kumquatlug.Kind, timeout kumquatlug.Millis) (Decision, bool) {
	c := RequestConfig{
		ID: id, Caller: h.caller, Kind: kind, Role: kumquatlug.RoleBoth, PrefillTokens: 100, DecodeTokens: 20, Arrival: h.now, Deadline: h.now + timeout,
	}
	if kind == serviceKind {
		c.Role, c.RunOnceKey, c.DecodeTokens = kumquatlug.RoleServe, "portal/"+id, 0
	}
	return decisionFor(id, h.Arrive(h.now, c))
}

func decisionFor(id string, decisions []Decision) (Decision, bool) {
	for _, decision := range decisions {
		if decision.ID() == id {
			return decision, true
		}
	}
	return Decision{}, false
}

func (h *harness) mustSend(id string, kind kumquatlug.Kind) Attempt {
	h.t.Helper()
	decision, decided := h.arrive(id, kind, kumquatlug.Minute)
	if !decided || decision.Verdict() != VerdictSend {
		h.t.Fatalf("%s: decided %v, %q", id, decided, decision.Verdict())
	}
	return decision.Attempt()
}

func newTestFailure(ran kumquatlug.Execution, reason string, status int) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "test", Reason: reason, Execution: ran, Status: status})
}

// failAttempt reports a failed attempt and returns the next decision for the
// request, if there is one within duration.
func (h *harness) failAttempt(id string, f AttemptFailure, duration kumquatlug.Millis) (Decision, bool) {
	if decision, decided := decisionFor(id, h.AttemptFailed(h.now, id, f)); decided {
		return decision, true
	}
	return h.tickUntilDecided(id, duration)
}

// tickUntilDecided ticks until there is a decision for id or duration has passed.
func (h *harness) tickUntilDecided(id string, duration kumquatlug.Millis) (Decision, bool) {
	for end := h.now + duration; h.now < end; {
		h.now = h.NextTick(h.now)
		if decision, decided := decisionFor(id, h.Tick(h.now)); decided {
			return decision, true
		}
	}
	return Decision{}, false
}

// A caller reuses a run-once key for another call, and the agent refuses it
// finally. If the request stayed pending until its deadline, the caller would get
// the refusal only after two minutes.
func TestFinalRefusalIsReturnedAtOnce(t *testing.T) {
	h := newHarness(t, "s1")
	h.mustSend("p", serviceKind)
	decision, decided := decisionFor("p", h.AttemptFailed(h.now, "p", AttemptFailure{
		Failure: newTestFailure(kumquatlug.NotExecuted, "key_reused", 422), Refused: true, Permanent: true,
	}))
	if !decided || decision.Verdict() != VerdictRefuse || decision.Failure().Status() != 422 {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// The only agent of a service refuses a call because its dispatch stamp is stale.
// The call must be sent to the same agent again.
func TestOnlyTargetIsRetriedAfterRefusal(t *testing.T) {
	h := newHarness(t, "s1")
	h.mustSend("p", serviceKind)
	decision, decided := h.failAttempt("p", AttemptFailure{Failure: newTestFailure(kumquatlug.NotExecuted, "stale_dispatch", 503), Refused: true}, 10*kumquatlug.Second)
	if !decided || decision.Verdict() != VerdictSend || decision.Attempt().Target() != "s1" {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// A run-once call may have run when its connection broke. A retry at the next
// service could run it twice, and a 503 could make the client's library retry it.
func TestCallThatMayHaveRunIsNotRetried(t *testing.T) {
	h := newHarness(t, "s1", "s2")
	h.mustSend("p", serviceKind)
	decision, decided := decisionFor("p", h.AttemptFailed(h.now, "p", AttemptFailure{Failure: newTestFailure(kumquatlug.ExecutionUnknown, "cut", 502)}))
	if !decided || decision.Verdict() != VerdictRefuse {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
	if f := decision.Failure(); f.Execution() != kumquatlug.ExecutionUnknown || f.Status() != 502 || f.Reason() != "cut" {
		t.Fatalf("failure %v, status %d", f, f.Status())
	}
}

// An operator removes a target's label and sets it again. The agent keeps running,
// so no heartbeat reports a change. If the limits of the target weren't created
// again, requests would wait for capacity until their deadlines.
func TestReselectedTargetTakesWork(t *testing.T) {
	h := newHarness(t, "e1")
	h.label("e1", selector.Labels{"pool": "none"})
	h.label("e1", selector.Labels{"pool": "draft"})
	h.heartbeat("e1", TargetServing)
	h.mustSend("g", draftKind)
}

// A client account has a concurrency limit. If the gateway didn't apply it, a
// runaway client could send any number of requests.
func TestCallerConcurrencyIsEnforced(t *testing.T) {
	h := newHarness(t, "e1")
	c := kumquatlug.CallerConfig{Name: "portal", KeyHash: kumquatlug.HashKey("k"), Concurrency: 1}
	row, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	h.configure(t, config.NewSet(config.PrefixCaller+"portal", row))
	h.caller, err = kumquatlug.NewCaller(c)
	if err != nil {
		t.Fatal(err)
	}
	h.mustSend("first", draftKind)
	if decision, decided := h.arrive("second", draftKind, kumquatlug.Minute); !decided || decision.Failure().Status() != 429 {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// An engine crashes while it streams a response. The rest must come from another
// engine, even after the deadline.
func TestBrokenStreamResumesOnAnotherTarget(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	first := h.mustSend("g", draftKind)
	h.Progress(h.now, "g", 7)
	h.now += 2 * kumquatlug.Minute
	decision, decided := h.failAttempt("g", AttemptFailure{Failure: newTestFailure(kumquatlug.ExecutionUnknown, "cut", 502), Resumable: true}, 10*kumquatlug.Second)
	if !decided || decision.Verdict() != VerdictSend || decision.Attempt().Target() == first.Target() {
		t.Fatalf("decided %v: %+v after %s", decided, decision, first.Target())
	}
}

// An operator removes the last selector of a model while one of its responses streams,
// and the engine then crashes. No later event covers the removed kind, so the request
// would stay pending and its caller would wait for ever.
func TestBrokenStreamOfRemovedKindIsRefused(t *testing.T) {
	h := newHarness(t, "e1")
	h.mustSend("g", draftKind)
	h.Progress(h.now, "g", 7)
	h.configure(t, config.NewDelete(config.PrefixSelector+"drafts"))
	decision, decided := h.failAttempt("g", AttemptFailure{Failure: newTestFailure(kumquatlug.ExecutionUnknown, "cut", 502), Resumable: true}, 10*kumquatlug.Minute)
	if !decided || decision.Verdict() != VerdictRefuse || decision.Failure().Execution() != kumquatlug.ExecutionUnknown {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// All engines are lost. Waiting and new requests must be refused after the grace
// period and not at their deadlines.
func TestRequestsWithoutTargetsFailAfterGrace(t *testing.T) {
	h := newHarness(t, "e1")
	h.heartbeat("e1", TargetDown)
	if decision, decided := h.arrive("g", draftKind, 10*kumquatlug.Minute); decided {
		t.Fatalf("decided at once: %+v", decision)
	}
	start := h.now
	decision, decided := h.tickUntilDecided("g", kumquatlug.Minute)
	if !decided || decision.Verdict() != VerdictRefuse || decision.Failure().Execution() != kumquatlug.NotExecuted {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
	if took := h.now - start; took > 2*NoTargetGrace {
		t.Errorf("refused after %d ms", took)
	}
	if decision, decided := h.arrive("h", draftKind, 10*kumquatlug.Minute); !decided || decision.Failure().RetryAfter() == 0 {
		t.Errorf("new request without targets: decided %v", decided)
	}
}

// A gateway with a config but no answered heartbeat is frozen for six seconds. By
// the clock it then has had no targets for longer than the grace period. If the
// freeze counted, it would refuse all requests just before the first heartbeats
// are answered.
func TestGraceExcludesProcessFreeze(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.now += 100
		h.Tick(h.now)
	}
	h.now += 6 * kumquatlug.Second
	if decision, decided := h.arrive("g", draftKind, kumquatlug.Minute); decided {
		t.Fatalf("decided right after the freeze: %+v", decision)
	}
	start := h.now
	if decision, decided := h.tickUntilDecided("g", kumquatlug.Minute); !decided || decision.Verdict() != VerdictRefuse {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
	if took := h.now - start; took > 2*NoTargetGrace {
		t.Errorf("refused after %d ms", took)
	}
}

// A refusal says that the agent is stopping. If the gateway ignored that, every
// other request could be sent there and refused until the next heartbeat, seconds
// later.
func TestStoppingTargetIsSkippedAfterItsRefusal(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	first := h.mustSend("g", draftKind)
	h.AttemptFailed(h.now, "g", AttemptFailure{Failure: newTestFailure(kumquatlug.NotExecuted, ReasonStopping, 503), Refused: true})
	for i := range 10 {
		if a := h.mustSend(fmt.Sprint(i), draftKind); a.Target() == first.Target() {
			t.Fatalf("request %d went to the stopping target", i)
		}
	}
}

// An engine's VM is replaced and its address is unreachable, while the other engine
// is full. If the request were retried at the unreachable address, it would use up
// its attempts within milliseconds and be refused, although the other engine has
// capacity a moment later. This occurred on a busy machine.
func TestUnreachableTargetDoesNotExhaustAttempts(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	unreachable := ""
	for i := 0; ; i++ {
		id := fmt.Sprint("long", i)
		decision, decided := h.arrive(id, draftKind, 10*kumquatlug.Minute)
		if !decided {
			h.Cancelled(h.now, id)
			break
		}
		if i == 0 {
			unreachable = decision.Attempt().Target()
		}
	}
	decision, decided := h.failAttempt("long0", AttemptFailure{Failure: newTestFailure(kumquatlug.NotExecuted, ReasonUnreachable, 502)}, kumquatlug.Second)
	if decided && decision.Verdict() == VerdictRefuse {
		t.Fatalf("refused: %v", decision.Failure())
	}
	if decided && decision.Attempt().Target() == unreachable {
		t.Fatal("sent to the unreachable target again")
	}
}

// A target is leaving if its label, the VM list or its agent says so; each alone
// must stop new work.
func TestEachLeavingSourceSuffices(t *testing.T) {
	sources := map[string]func(*harness){
		"label": func(h *harness) { h.label("e1", selector.Labels{"pool": "draft", selector.LabelLeaving: "true"}) },
		"agent": func(h *harness) { h.heartbeat("e1", TargetLeaving) },
		"list": func(h *harness) {
			h.SetVMs(h.now, []kumquatlug.VM{
				kumquatlug.NewVM(kumquatlug.VMConfig{Name: "e1", Role: kumquatlug.VMTarget, Address: "10.0.0.0:1", Zone: "a", State: kumquatlug.VMLeaving}),
				kumquatlug.NewVM(kumquatlug.VMConfig{Name: "e2", Role: kumquatlug.VMTarget, Address: "10.0.0.1:1", Zone: "a", State: kumquatlug.VMLive}),
			})
		},
	}
	for source, report := range sources {
		h := newHarness(t, "e1", "e2")
		report(h)
		for i := range 8 {
			if a := h.mustSend(fmt.Sprint(source, i), draftKind); a.Target() == "e1" {
				t.Errorf("%s: request %d went to the leaving target", source, i)
			}
		}
		if e := h.Explain(draftKind)[0]; e.Eligible() || e.Reason() == "" {
			t.Errorf("%s: explanation %+v", source, e)
		}
	}
}

// A larger model takes five times the nominal time per token. If the limits used
// the nominal rates, its engine would be limited to one or two streams for ever,
// and requests would wait while it is nearly idle.
func TestSlowerModelIsNotTakenForOverloaded(t *testing.T) {
	const gap, tokens, wantStreams = 100, 64, 48
	h := newHarness(t, "e1")
	running, next := map[string]int64{}, 0
	for h.now < 400_000 {
		for len(running) < wantStreams {
			id := fmt.Sprint("r", next)
			next++
			if _, sent := h.arrive(id, draftKind, 10*kumquatlug.Minute); !sent {
				h.Cancelled(h.now, id)
				break
			}
			running[id] = 0
		}
		h.now += gap
		for _, id := range slices.Sorted(maps.Keys(running)) {
			running[id]++
			if running[id] == tokens {
				delete(running, id)
				h.Finished(h.now, id, Completion{OutputTokens: tokens})
			} else if running[id]%progressTokens == 1 {
				h.Progress(h.now, id, running[id])
			}
		}
	}
	if len(running) < wantStreams {
		t.Errorf("%d concurrent streams, want %d", len(running), wantStreams)
	}
}

// progressTokens is the number of tokens after the first that a gateway batches
// into one progress event.
const progressTokens = 16
