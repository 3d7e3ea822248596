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
	postingKind = kumquatlug.NewKind(kumquatlug.ProtocolService, "gazette")
)

// harness drives a dispatcher by hand.
type harness struct {
	*Dispatcher
	t      *testing.T
	now    kumquatlug.Millis
	state  config.State
	caller kumquatlug.Caller
}

func newHarness(t *testing.T, targets ...string) *harness {
	t.Helper()
	h := &harness{Dispatcher: New(Config{Entry: "e1", Zone: "a", Seed: 1}), t: t, now: 100_000}
	h.configure(t,
		selectorSet(t, selector.Config{Name: "drafts", Protocol: draftKind.Protocol(), Kind: draftKind.Name(), Role: kumquatlug.RoleBoth, Match: "pool=draft"}),
		selectorSet(t, selector.Config{Name: "gazette", Protocol: postingKind.Protocol(), Kind: postingKind.Name(), Role: kumquatlug.RoleServe, Match: "pool=post"}),
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
	h.Listed(h.now, vms)
	for _, name := range targets {
		h.heartbeat(name, TargetServing)
	}
	return h
}

func selectorSet(t *testing.T, c selector.Config) config.Set {
	t.Helper()
	set, err := config.SetSelector(c)
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
	set, err := config.SetLabels(target, labels)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func (h *harness) heartbeat(target string, state TargetState) {
	h.Heard(h.now, target, Report{Incarnation: "i", State: state, Asked: h.now})
}

// arrive offers a request and returns what was decided for it, if anything.
func (h *harness) arrive(id string, kind kumquatlug.Kind, timeout kumquatlug.Millis) (Decision, bool) {
	c := RequestConfig{
		ID: id, Caller: h.caller, Kind: kind, Role: kumquatlug.RoleBoth, PrefillTokens: 100, DecodeTokens: 20, Arrival: h.now, Deadline: h.now + timeout,
	}
	if kind == postingKind {
		c.Role, c.OnceKey, c.DecodeTokens = kumquatlug.RoleServe, "portal/"+id, 0
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

func newTestFailure(ran kumquatlug.Ran, reason string, status int) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "test", Reason: reason, Ran: ran, Status: status})
}

// failAttempt lets an attempt fail and returns what follows, at once or within span.
func (h *harness) failAttempt(id string, f Failed, duration kumquatlug.Millis) (Decision, bool) {
	if decision, decided := decisionFor(id, h.AttemptFailed(h.now, id, f)); decided {
		return decision, true
	}
	return h.tickUntilDecided(id, duration)
}

// tickUntilDecided ticks until something is decided for id or the time is over.
func (h *harness) tickUntilDecided(id string, duration kumquatlug.Millis) (Decision, bool) {
	for end := h.now + duration; h.now < end; {
		h.now = h.Wake(h.now)
		if decision, decided := decisionFor(id, h.Tick(h.now)); decided {
			return decision, true
		}
	}
	return Decision{}, false
}

// A caller sends another posting under a key that it has used. The agent
// refuses it, and no other attempt could fare better. Held until the deadline,
// as seen on the first path between processes, the caller would wait two
// minutes for that answer.
func TestFinalRefusalIsReturnedAtOnce(t *testing.T) {
	h := newHarness(t, "s1")
	h.mustSend("p", postingKind)
	decision, decided := decisionFor("p", h.AttemptFailed(h.now, "p", Failed{
		Failure: newTestFailure(kumquatlug.RanNot, "key_reused", 422), Refused: true, Final: true,
	}))
	if !decided || decision.Verdict() != VerdictRefuse || decision.Failure().Status() != 422 {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// The only agent of a service refuses a posting because its run-once mark is out
// of date. The same agent must be asked again, although it has refused already.
func TestOnlyTargetIsRetriedAfterRefusal(t *testing.T) {
	h := newHarness(t, "s1")
	h.mustSend("p", postingKind)
	decision, decided := h.failAttempt("p", Failed{Failure: newTestFailure(kumquatlug.RanNot, "stale_dispatch", 503), Refused: true}, 10*kumquatlug.Second)
	if !decided || decision.Verdict() != VerdictSend || decision.Attempt().Target() != "s1" {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// A posting may have run when its connection broke. Sent to the next service it
// might stand twice in the gazette, and told as a 503 its sender's library might
// send it again by itself.
func TestCallThatMayHaveRunIsNotRetried(t *testing.T) {
	h := newHarness(t, "s1", "s2")
	h.mustSend("p", postingKind)
	decision, decided := decisionFor("p", h.AttemptFailed(h.now, "p", Failed{Failure: newTestFailure(kumquatlug.RanUnknown, "cut", 502)}))
	if !decided || decision.Verdict() != VerdictRefuse {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
	if f := decision.Failure(); f.Ran() != kumquatlug.RanUnknown || f.Status() != 502 || f.Reason() != "cut" {
		t.Fatalf("told as %v, status %d", f, f.Status())
	}
}

// An operator takes a target's label away and gives it back. Its agent never
// went away, so nothing announces it anew, and callers waited until their
// deadlines for room that the limits had forgotten.
func TestReselectedTargetTakesWork(t *testing.T) {
	h := newHarness(t, "e1")
	h.label("e1", selector.Labels{"pool": "none"})
	h.label("e1", selector.Labels{"pool": "draft"})
	h.heartbeat("e1", TargetServing)
	h.mustSend("g", draftKind)
}

// An account has terms. An entry that never read them lets a client that runs
// away ask for as much as it likes.
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

// An engine crashes in the middle of an answer. Its caller has half of it and
// must get the rest from another engine, whatever its deadline says.
func TestBrokenStreamResumesOnAnotherTarget(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	first := h.mustSend("g", draftKind)
	h.Progress(h.now, "g", 7)
	h.now += 2 * kumquatlug.Minute
	decision, decided := h.failAttempt("g", Failed{Failure: newTestFailure(kumquatlug.RanUnknown, "cut", 502), Resumable: true}, 10*kumquatlug.Second)
	if !decided || decision.Verdict() != VerdictSend || decision.Attempt().Target() == first.Target() {
		t.Fatalf("decided %v: %+v after %s", decided, decision, first.Target())
	}
}

// Every engine is lost. Requests that wait, and those that come, are told so
// within the grace and not at their deadlines.
func TestRequestsWithoutTargetsFailAfterGrace(t *testing.T) {
	h := newHarness(t, "e1")
	h.heartbeat("e1", TargetDown)
	if decision, decided := h.arrive("g", draftKind, 10*kumquatlug.Minute); decided {
		t.Fatalf("decided at once: %+v", decision)
	}
	start := h.now
	decision, decided := h.tickUntilDecided("g", kumquatlug.Minute)
	if !decided || decision.Verdict() != VerdictRefuse || decision.Failure().Ran() != kumquatlug.RanNot {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
	if took := h.now - start; took > 2*TargetGrace {
		t.Errorf("told after %d ms", took)
	}
	if decision, decided := h.arrive("h", draftKind, 10*kumquatlug.Minute); !decided || decision.Failure().RetryAfter() == 0 {
		t.Errorf("a request without any target: decided %v", decided)
	}
}

// An entry has read its config, heard no target yet and is frozen for six
// seconds. On waking it has been without targets for longer than the grace by
// the clock alone; refusing at once, it would send every caller away in the
// moment before its first heartbeats are answered.
func TestGraceExcludesProcessFreeze(t *testing.T) {
	h := newHarness(t)
	for range 3 {
		h.now += 100
		h.Tick(h.now)
	}
	h.now += 6 * kumquatlug.Second
	if decision, decided := h.arrive("g", draftKind, kumquatlug.Minute); decided {
		t.Fatalf("decided on waking: %+v", decision)
	}
	start := h.now
	if decision, decided := h.tickUntilDecided("g", kumquatlug.Minute); !decided || decision.Verdict() != VerdictRefuse {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
	if took := h.now - start; took > 2*TargetGrace {
		t.Errorf("told after %d ms", took)
	}
}

// An agent is stopping and says so in a refusal. The entry's next heartbeat is
// seconds away, and until then every other request would go there and back.
func TestStoppingTargetIsSkippedAfterItsRefusal(t *testing.T) {
	h := newHarness(t, "e1", "e2")
	first := h.mustSend("g", draftKind)
	h.AttemptFailed(h.now, "g", Failed{Failure: newTestFailure(kumquatlug.RanNot, ReasonStopping, 503), Refused: true})
	for i := range 10 {
		if a := h.mustSend(fmt.Sprint(i), draftKind); a.Target() == first.Target() {
			t.Fatalf("request %d went to the stopping target", i)
		}
	}
}

// An engine's VM is replaced and nothing listens at its address, while the other
// engine is full for the moment. Tried again and again at the dead address, as
// seen on a busy machine, a request used up its tries within milliseconds and
// was refused, though the other engine had room a moment later.
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
	decision, decided := h.failAttempt("long0", Failed{Failure: newTestFailure(kumquatlug.RanNot, ReasonUnreachable, 502)}, kumquatlug.Second)
	if decided && decision.Verdict() == VerdictRefuse {
		t.Fatalf("refused: %v", decision.Failure())
	}
	if decided && decision.Attempt().Target() == unreachable {
		t.Fatal("sent to the dead address again")
	}
}

// Either word of leaving is enough: the label's, the list's or the agent's.
func TestEachLeavingSourceSuffices(t *testing.T) {
	sources := map[string]func(*harness){
		"label": func(h *harness) { h.label("e1", selector.Labels{"pool": "draft", selector.LabelLeaving: "true"}) },
		"agent": func(h *harness) { h.heartbeat("e1", TargetLeaving) },
		"list": func(h *harness) {
			h.Listed(h.now, []kumquatlug.VM{
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
			t.Errorf("%s: explained as %+v", source, e)
		}
	}
}

// A larger model takes five times as long for a token as the figures that the
// limits start from. Held to them it would be given a stream or two for ever,
// and its callers would wait before idle engines.
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
				h.Finished(h.now, id, Done{Tokens: tokens})
			} else if running[id]%progressTokens == 1 {
				h.Progress(h.now, id, running[id])
			}
		}
	}
	if len(running) < wantStreams {
		t.Errorf("%d streams run at an engine that takes %d", len(running), wantStreams)
	}
}

// progressTokens is how many tokens an entry gathers before it tells them, after
// the first.
const progressTokens = 16
