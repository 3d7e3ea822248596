package order

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
)

// newReadyGate returns a gate that is ready for orders under number.
func newReadyGate(number lease.Number) *Gate {
	g := NewGate(GateConfig{Incarnation: 1})
	g.Read(g.Next(0), NewState(true))
	g.Fenced(g.Next(0), number)
	return g
}

// A role change is ordered while a decree of several hours is being classified.
// Were the engine taken away after some limit, the whole work would be lost and
// done again by another engine, which may be ordered away in its turn.
func TestDrainHasNoTimeLimit(t *testing.T) {
	g := newReadyGate(1)
	if !g.Begin() {
		t.Fatal("a call was refused at a settled engine")
	}
	o := NewOrder(NewID(1, 1, 1), VerbRole, "decode")
	if v := g.Offer(o).Verdict(); v != VerdictAccepted {
		t.Fatalf("the order is %s", v)
	}
	now := 8 * kumquatlug.Hour
	if s := g.Next(now); s.Action() != StepNone || g.Begin() {
		t.Fatalf("with a call in hand the gate asks for %s, or takes another call", s.Action())
	}
	g.End()
	g.Fenced(g.Next(now), 1)
	if s := g.Next(now); s.Action() != StepRun || s.Order().ID() != o.ID() {
		t.Fatalf("drained, the gate asks for %s", s.Action())
	}
}

// The engine crashes in the middle of a role change and comes back with the old
// role. Were the change taken for done, decode work would be sent to an engine
// that runs prompts, and every call there would fail.
func TestCrashDuringOrderRereadsEngineState(t *testing.T) {
	g := newReadyGate(1)
	o := NewOrder(NewID(1, 1, 1), VerbRole, "decode")
	g.Offer(o)
	run := g.Next(0)
	g.Crashed()
	g.Ran(run, OutcomeApplied)
	if g.Phase() != PhaseUnknown || g.Begin() {
		t.Fatalf("the gate is %s after a crash, or takes calls", g.Phase())
	}
	g.Read(g.Next(0), NewState(false))
	if g.Phase() != PhaseUnknown {
		t.Fatalf("the gate is %s while the engine is not back", g.Phase())
	}
	g.Read(g.Next(0), NewState(true, Fact{VerbRole, "both"}))
	if r := g.Offer(o); r.Verdict() != VerdictSettled || r.Outcome() != OutcomeNotApplied {
		t.Fatalf("the order is %s %s", r.Verdict(), r.Outcome())
	}
}

func FuzzParseID(f *testing.F) {
	f.Add("1/2.3")
	f.Add("1/2.3 ")
	f.Fuzz(func(t *testing.T, text string) {
		if id, err := ParseID(text); err == nil && id.String() != text {
			t.Fatalf("%q was read as %s", text, id)
		}
	})
}

func Example() {
	gate := NewGate(GateConfig{Incarnation: 4})
	sender := NewSender(SenderConfig{})
	sender.Granted(7)

	gate.Read(gate.Next(0), NewState(true, Fact{VerbRole, "both"}))
	gate.Fenced(gate.Next(0), 7)
	sender.Heard(Report{Target: "vm-1", Incarnation: 4, Number: gate.Number(), Phase: gate.Phase()})

	o, _ := sender.Give("vm-1", VerbRole, "decode")
	fmt.Println(o.ID(), gate.Offer(o).Verdict())

	run := gate.Next(0)
	gate.Ran(run, OutcomeApplied)
	ended, _ := sender.Answered("vm-1", o.ID(), gate.Offer(o))
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
		g.Begin()
		g.End()
	}
}

func BenchmarkOrder(b *testing.B) {
	g := newReadyGate(1)
	b.ReportAllocs()
	sequence := int64(0)
	for b.Loop() {
		sequence++
		g.Offer(NewOrder(NewID(1, 1, sequence), VerbRole, "decode"))
		g.Ran(g.Next(0), OutcomeApplied)
	}
}
