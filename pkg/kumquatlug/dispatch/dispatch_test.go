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
	drafts   = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "draft")
	postings = kumquatlug.NewKind(kumquatlug.ProtocolService, "gazette")
)

// desk drives a dispatcher by hand.
type desk struct {
	*Dispatcher
	t      *testing.T
	now    kumquatlug.Millis
	state  config.State
	caller kumquatlug.Caller
}

func newDesk(t *testing.T, targets ...string) *desk {
	t.Helper()
	d := &desk{Dispatcher: New(Config{Entry: "e1", Zone: "a", Seed: 1}), t: t, now: 100_000}
	d.configure(t,
		selectorSet(t, selector.Config{Name: "drafts", Protocol: drafts.Protocol(), Kind: drafts.Name(), Role: kumquatlug.RoleBoth, Match: "pool=draft"}),
		selectorSet(t, selector.Config{Name: "gazette", Protocol: postings.Protocol(), Kind: postings.Name(), Role: kumquatlug.RoleServe, Match: "pool=post"}),
	)
	var vms []kumquatlug.VM
	for i, name := range targets {
		pool := "draft"
		if name[0] == 's' {
			pool = "post"
		}
		d.label(name, selector.Labels{"pool": pool})
		vms = append(vms, kumquatlug.NewVM(kumquatlug.VMConfig{
			Name: name, Role: kumquatlug.VMTarget, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", State: kumquatlug.VMLive,
		}))
	}
	d.Listed(d.now, vms)
	for _, name := range targets {
		d.heard(name, TargetServing)
	}
	return d
}

func selectorSet(t *testing.T, c selector.Config) config.Set {
	t.Helper()
	set, err := config.SetSelector(c)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func (d *desk) configure(t *testing.T, sets ...config.Set) []Decision {
	t.Helper()
	next, err := d.state.Apply(config.NewChange(d.state.Revision()+1, fmt.Sprint(d.state.Revision()), "ana", sets))
	if err != nil {
		t.Fatal(err)
	}
	d.state = next
	return d.Configure(d.now, next)
}

func (d *desk) label(target string, labels selector.Labels) {
	d.t.Helper()
	d.configure(d.t, labelSet(d.t, target, labels))
}

func labelSet(t *testing.T, target string, labels selector.Labels) config.Set {
	t.Helper()
	set, err := config.SetLabels(target, labels)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func (d *desk) heard(target string, state TargetState) {
	d.Heard(d.now, target, Report{Incarnation: "i", State: state, Asked: d.now})
}

// arrive offers a request and returns what was decided for it, if anything.
func (d *desk) arrive(id string, kind kumquatlug.Kind, timeout kumquatlug.Millis) (Decision, bool) {
	c := RequestConfig{
		ID: id, Caller: d.caller, Kind: kind, Role: kumquatlug.RoleBoth, PrefillTokens: 100, DecodeTokens: 20, Arrival: d.now, Deadline: d.now + timeout,
	}
	if kind == postings {
		c.Role, c.OnceKey, c.DecodeTokens = kumquatlug.RoleServe, "portal/"+id, 0
	}
	return of(id, d.Arrive(d.now, c))
}

func of(id string, decisions []Decision) (Decision, bool) {
	for _, one := range decisions {
		if one.ID() == id {
			return one, true
		}
	}
	return Decision{}, false
}

func (d *desk) mustSend(id string, kind kumquatlug.Kind) Attempt {
	d.t.Helper()
	decision, decided := d.arrive(id, kind, kumquatlug.Minute)
	if !decided || decision.Verdict() != VerdictSend {
		d.t.Fatalf("%s: decided %v, %q", id, decided, decision.Verdict())
	}
	return decision.Attempt()
}

func failed(ran kumquatlug.Ran, reason string, status int) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "test", Reason: reason, Ran: ran, Status: status})
}

// next lets an attempt fail and returns what follows, at once or within span.
func (d *desk) next(id string, f Failed, span kumquatlug.Millis) (Decision, bool) {
	if decision, decided := of(id, d.AttemptFailed(d.now, id, f)); decided {
		return decision, true
	}
	return d.follow(id, span)
}

// follow ticks until something is decided for id or the time is over.
func (d *desk) follow(id string, span kumquatlug.Millis) (Decision, bool) {
	for end := d.now + span; d.now < end; {
		d.now = d.Wake(d.now)
		if decision, decided := of(id, d.Tick(d.now)); decided {
			return decision, true
		}
	}
	return Decision{}, false
}

// A caller sends another posting under a key that it has used. The agent
// refuses it, and no other attempt could fare better. Held until the deadline,
// as seen on the first path between processes, the caller would wait two
// minutes for that answer.
func TestFinalRefusalIsToldAtOnce(t *testing.T) {
	d := newDesk(t, "s1")
	d.mustSend("p", postings)
	decision, decided := of("p", d.AttemptFailed(d.now, "p", Failed{
		Failure: failed(kumquatlug.RanNot, "key_reused", 422), Refused: true, Final: true,
	}))
	if !decided || decision.Verdict() != VerdictRefuse || decision.Failure().Status() != 422 {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// The only agent of a service refuses a posting because its run-once mark is out
// of date. The same agent must be asked again, although it has refused already.
func TestOnlyAgentIsAskedAgainAfterItsRefusal(t *testing.T) {
	d := newDesk(t, "s1")
	d.mustSend("p", postings)
	decision, decided := d.next("p", Failed{Failure: failed(kumquatlug.RanNot, "stale_dispatch", 503), Refused: true}, 10*kumquatlug.Second)
	if !decided || decision.Verdict() != VerdictSend || decision.Attempt().Target() != "s1" {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// A posting may have run when its connection broke. Sent to the next service it
// might stand twice in the gazette, and told as a 503 its sender's library might
// send it again by itself.
func TestCallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	d := newDesk(t, "s1", "s2")
	d.mustSend("p", postings)
	decision, decided := of("p", d.AttemptFailed(d.now, "p", Failed{Failure: failed(kumquatlug.RanUnknown, "cut", 502)}))
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
func TestTargetThatIsGivenBackTakesWork(t *testing.T) {
	d := newDesk(t, "e1")
	d.label("e1", selector.Labels{"pool": "none"})
	d.label("e1", selector.Labels{"pool": "draft"})
	d.heard("e1", TargetServing)
	d.mustSend("g", drafts)
}

// An account has terms. An entry that never read them lets a client that runs
// away ask for as much as it likes.
func TestTermsOfAnAccountAreKept(t *testing.T) {
	d := newDesk(t, "e1")
	c := kumquatlug.CallerConfig{Name: "portal", KeyHash: kumquatlug.HashKey("k"), Concurrency: 1}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	d.configure(t, config.NewSet(config.PrefixCaller+"portal", text))
	d.caller, err = kumquatlug.NewCaller(c)
	if err != nil {
		t.Fatal(err)
	}
	d.mustSend("first", drafts)
	if decision, decided := d.arrive("second", drafts, kumquatlug.Minute); !decided || decision.Failure().Status() != 429 {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
}

// An engine crashes in the middle of an answer. Its caller has half of it and
// must get the rest from another engine, whatever its deadline says.
func TestCutStreamGoesOnElsewhere(t *testing.T) {
	d := newDesk(t, "e1", "e2")
	first := d.mustSend("g", drafts)
	d.Progress(d.now, "g", 7)
	d.now += 2 * kumquatlug.Minute
	decision, decided := d.next("g", Failed{Failure: failed(kumquatlug.RanUnknown, "cut", 502), Resumable: true}, 10*kumquatlug.Second)
	if !decided || decision.Verdict() != VerdictSend || decision.Attempt().Target() == first.Target() {
		t.Fatalf("decided %v: %+v after %s", decided, decision, first.Target())
	}
}

// Every engine is lost. Requests that wait, and those that come, are told so
// within the grace and not at their deadlines.
func TestNobodyWaitsForTargetsThatAreGone(t *testing.T) {
	d := newDesk(t, "e1")
	d.heard("e1", TargetDown)
	if decision, decided := d.arrive("g", drafts, 10*kumquatlug.Minute); decided {
		t.Fatalf("decided at once: %+v", decision)
	}
	began := d.now
	decision, decided := d.follow("g", kumquatlug.Minute)
	if !decided || decision.Verdict() != VerdictRefuse || decision.Failure().Ran() != kumquatlug.RanNot {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
	if took := d.now - began; took > 2*TargetGrace {
		t.Errorf("told after %d ms", took)
	}
	if decision, decided := d.arrive("h", drafts, 10*kumquatlug.Minute); !decided || decision.Failure().RetryAfter() == 0 {
		t.Errorf("a request without any target: decided %v", decided)
	}
}

// An entry has read its config, heard no target yet and is frozen for six
// seconds. On waking it has been without targets for longer than the grace by
// the clock alone; refusing at once, it would send every caller away in the
// moment before its first heartbeats are answered.
func TestTheGraceDoesNotRunWhileTheEntryIsFrozen(t *testing.T) {
	d := newDesk(t)
	for range 3 {
		d.now += 100
		d.Tick(d.now)
	}
	d.now += 6 * kumquatlug.Second
	if decision, decided := d.arrive("g", drafts, kumquatlug.Minute); decided {
		t.Fatalf("decided on waking: %+v", decision)
	}
	began := d.now
	if decision, decided := d.follow("g", kumquatlug.Minute); !decided || decision.Verdict() != VerdictRefuse {
		t.Fatalf("decided %v: %+v", decided, decision)
	}
	if took := d.now - began; took > 2*TargetGrace {
		t.Errorf("told after %d ms", took)
	}
}

// An agent is stopping and says so in a refusal. The entry's next heartbeat is
// seconds away, and until then every other request would go there and back.
func TestRefusalOfALeavingTargetIsRemembered(t *testing.T) {
	d := newDesk(t, "e1", "e2")
	first := d.mustSend("g", drafts)
	d.AttemptFailed(d.now, "g", Failed{Failure: failed(kumquatlug.RanNot, ReasonStopping, 503), Refused: true})
	for i := range 10 {
		if a := d.mustSend(fmt.Sprint(i), drafts); a.Target() == first.Target() {
			t.Fatalf("request %d went to the stopping target", i)
		}
	}
}

// An engine's VM is replaced and nothing listens at its address, while the other
// engine is full for the moment. Tried again and again at the dead address, as
// seen on a busy machine, a request used up its tries within milliseconds and
// was refused, though the other engine had room a moment later.
func TestDeadAddressDoesNotUseUpTheTries(t *testing.T) {
	d := newDesk(t, "e1", "e2")
	dead := ""
	for i := 0; ; i++ {
		id := fmt.Sprint("long", i)
		decision, decided := d.arrive(id, drafts, 10*kumquatlug.Minute)
		if !decided {
			d.Cancelled(d.now, id)
			break
		}
		if i == 0 {
			dead = decision.Attempt().Target()
		}
	}
	decision, decided := d.next("long0", Failed{Failure: failed(kumquatlug.RanNot, ReasonUnreachable, 502)}, kumquatlug.Second)
	if decided && decision.Verdict() == VerdictRefuse {
		t.Fatalf("refused: %v", decision.Failure())
	}
	if decided && decision.Attempt().Target() == dead {
		t.Fatal("sent to the dead address again")
	}
}

// Either word of leaving is enough: the label's, the list's or the agent's.
func TestEachWordOfLeavingIsEnough(t *testing.T) {
	words := map[string]func(*desk){
		"label": func(d *desk) { d.label("e1", selector.Labels{"pool": "draft", selector.LabelLeaving: "true"}) },
		"agent": func(d *desk) { d.heard("e1", TargetLeaving) },
		"list": func(d *desk) {
			d.Listed(d.now, []kumquatlug.VM{
				kumquatlug.NewVM(kumquatlug.VMConfig{Name: "e1", Role: kumquatlug.VMTarget, Address: "10.0.0.0:1", Zone: "a", State: kumquatlug.VMLeaving}),
				kumquatlug.NewVM(kumquatlug.VMConfig{Name: "e2", Role: kumquatlug.VMTarget, Address: "10.0.0.1:1", Zone: "a", State: kumquatlug.VMLive}),
			})
		},
	}
	for word, say := range words {
		d := newDesk(t, "e1", "e2")
		say(d)
		for i := range 8 {
			if a := d.mustSend(fmt.Sprint(word, i), drafts); a.Target() == "e1" {
				t.Errorf("%s: request %d went to the leaving target", word, i)
			}
		}
		if e := d.Explain(drafts)[0]; e.Eligible() || e.Reason() == "" {
			t.Errorf("%s: explained as %+v", word, e)
		}
	}
}

// A larger model takes five times as long for a token as the figures that the
// limits start from. Held to them it would be given a stream or two for ever,
// and its callers would wait before idle engines.
func TestSlowerModelIsNotTakenForOverloaded(t *testing.T) {
	const gap, tokens, wanted = 100, 64, 48
	d := newDesk(t, "e1")
	running, next := map[string]int64{}, 0
	for d.now < 400_000 {
		for len(running) < wanted {
			id := fmt.Sprint("r", next)
			next++
			if _, sent := d.arrive(id, drafts, 10*kumquatlug.Minute); !sent {
				d.Cancelled(d.now, id)
				break
			}
			running[id] = 0
		}
		d.now += gap
		for _, id := range slices.Sorted(maps.Keys(running)) {
			running[id]++
			if running[id] == tokens {
				delete(running, id)
				d.Finished(d.now, id, Done{Tokens: tokens})
			} else if running[id]%progressTokens == 1 {
				d.Progress(d.now, id, running[id])
			}
		}
	}
	if len(running) < wanted {
		t.Errorf("%d streams run at an engine that takes %d", len(running), wanted)
	}
}

// progressTokens is how many tokens an entry gathers before it tells them, after
// the first.
const progressTokens = 16
