package order

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
)

// newReadyGate returns a gate that accepts orders under token.
func newReadyGate(token lease.FencingToken) *Gate {
	g := NewGate(GateConfig{Incarnation: 1})
	g.StateRead(g.Next(0), NewState(true))
	g.FencingTokenRead(g.Next(0), token)
	return g
}

// A role change is ordered while the engine runs a call that takes several hours. A
// time limit on the drain would lose the whole call, and repeating it on another
// engine could meet the next role change.
func TestDrainHasNoTimeLimit(t *testing.T) {
	g := newReadyGate(1)
	if !g.BeginCall() {
		t.Fatal("an idle engine refused a call")
	}
	o := NewOrder(NewID(1, 1, 1), VerbRole, "decode")
	if v := g.Offer(o).Verdict(); v != VerdictAccepted {
		t.Fatalf("verdict %s, want accepted", v)
	}
	now := 8 * kumquatlug.Hour
	if s := g.Next(now); s.Action() != StepNone || g.BeginCall() {
		t.Fatalf("with a call in flight the next step is %s or another call is accepted", s.Action())
	}
	g.EndCall()
	g.FencingTokenRead(g.Next(now), 1)
	if s := g.Next(now); s.Action() != StepRun || s.Order().ID() != o.ID() {
		t.Fatalf("after the drain the next step is %s", s.Action())
	}
}

// The engine crashes during a role change and restarts with the old role. If the
// change counted as applied, decode calls would be sent to an engine that runs
// prefill, and every one of them would fail.
func TestCrashDuringOrderRereadsEngineState(t *testing.T) {
	g := newReadyGate(1)
	o := NewOrder(NewID(1, 1, 1), VerbRole, "decode")
	g.Offer(o)
	run := g.Next(0)
	g.Crashed()
	g.RunFinished(run, OutcomeApplied)
	if g.Phase() != PhaseUnknown || g.BeginCall() {
		t.Fatalf("phase %s after a crash, or calls are accepted", g.Phase())
	}
	g.StateRead(g.Next(0), NewState(false))
	if g.Phase() != PhaseUnknown {
		t.Fatalf("phase %s while the engine is still restarting", g.Phase())
	}
	g.StateRead(g.Next(0), NewState(true, Property{VerbRole, "both"}))
	if r := g.Offer(o); r.Verdict() != VerdictCompleted || r.Outcome() != OutcomeNotApplied {
		t.Fatalf("verdict %s, outcome %q, want completed and not-applied", r.Verdict(), r.Outcome())
	}
}

func FuzzParseID(f *testing.F) {
	f.Add("1/2.3")
	f.Add("1/2.3 ")
	f.Fuzz(func(t *testing.T, text string) {
		if id, err := ParseID(text); err == nil && id.String() != text {
			t.Fatalf("%q was parsed as %s", text, id)
		}
	})
}

func Example() {
	gate := NewGate(GateConfig{Incarnation: 4})
	sender := NewSender(SenderConfig{})
	sender.LeaseAcquired(0, 7)

	gate.StateRead(gate.Next(0), NewState(true, Property{VerbRole, "both"}))
	gate.FencingTokenRead(gate.Next(0), 7)
	sender.HandleReport(Report{Target: "vm-1", Incarnation: 4, FencingToken: gate.FencingToken(), Phase: gate.Phase()})

	o, _ := sender.Issue("vm-1", VerbRole, "decode")
	fmt.Println(o.ID(), gate.Offer(o).Verdict())

	run := gate.Next(0)
	gate.RunFinished(run, OutcomeApplied)
	ended, _ := sender.HandleResponse(0, "vm-1", o.ID(), gate.Offer(o))
	fmt.Println(run.Action(), ended.Outcome())

	old := NewOrder(NewID(4, 6, 1), VerbRole, "prefill")
	fmt.Println(gate.Offer(old).Verdict())
	// Output:
	// 4/7.1 accepted
	// run applied
	// old
}

func BenchmarkBegin(b *testing.B) {
	g := newReadyGate(1)
	b.ReportAllocs()
	for b.Loop() {
		g.BeginCall()
		g.EndCall()
	}
}

func BenchmarkOrder(b *testing.B) {
	g := newReadyGate(1)
	b.ReportAllocs()
	sequence := int64(0)
	for b.Loop() {
		sequence++
		g.Offer(NewOrder(NewID(1, 1, sequence), VerbRole, "decode"))
		g.RunFinished(g.Next(0), OutcomeApplied)
	}
}

// An agent reports each second, and its last report is passed to the sender until there
// is a newer one. If a report from before an order ended made the target ready again, the
// order would be issued a second time, and the engine would refuse work while it carries
// that out.
func TestReportFromBeforeAnOrderEndedIsIgnored(t *testing.T) {
	sender := NewSender(SenderConfig{})
	sender.LeaseAcquired(0, 1)
	report := Report{Target: "vm-1", Incarnation: 4, FencingToken: 1, Phase: PhaseIdle, RequestedAt: 100}
	sender.HandleReport(report)
	o, err := sender.Issue("vm-1", VerbRole, "prefill")
	if err != nil {
		t.Fatal(err)
	}
	sender.Due(200, 1, true)
	if _, ended := sender.HandleResponse(400, "vm-1", o.ID(), NewResponse(VerdictCompleted, OutcomeApplied, 1)); !ended {
		t.Fatal("the order has not ended")
	}
	for _, requestedAt := range []kumquatlug.Millis{100, 399} {
		report.RequestedAt = requestedAt
		sender.HandleReport(report)
		if _, err := sender.Issue("vm-1", VerbRole, "prefill"); !errors.Is(err, ErrTargetNotReady) {
			t.Errorf("after a report requested at %d the order is issued again: %v", requestedAt, err)
		}
	}
	report.RequestedAt = 400
	sender.HandleReport(report)
	if _, err := sender.Issue("vm-1", VerbRole, "decode"); err != nil {
		t.Errorf("after a newer report: %v", err)
	}
}

// A lease passes to another holder while the previous holder's order is in progress. The
// report from before that order is passed again until there is a newer one. If it made the
// target ready, the new holder would send the order a second time after the first one.
func TestReportFromBeforeTheLeaseIsIgnored(t *testing.T) {
	sender := NewSender(SenderConfig{})
	old := Report{Target: "vm-1", Incarnation: 4, Phase: PhaseIdle, RequestedAt: 100}
	sender.HandleReport(old)
	sender.LeaseAcquired(200, 2)
	// vm-2 is reported for the first time, vm-3 has restarted since its last report.
	unknown, restarted := old, old
	unknown.Target, unknown.RequestedAt = "vm-2", 199
	restarted.Target = "vm-3"
	sender.HandleReport(restarted)
	restarted.Incarnation = 5
	for _, r := range []Report{old, unknown, restarted} {
		sender.HandleReport(r)
		if _, err := sender.Issue(r.Target, VerbRole, "prefill"); !errors.Is(err, ErrTargetNotReady) {
			t.Errorf("an order to %s is issued after a report requested at %d: %v", r.Target, r.RequestedAt, err)
		}
		r.RequestedAt = 200
		sender.HandleReport(r)
		if _, err := sender.Issue(r.Target, VerbRole, "prefill"); err != nil {
			t.Errorf("%s, after a newer report: %v", r.Target, err)
		}
	}
}
