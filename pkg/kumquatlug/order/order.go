// Package order decides about orders that change a target: an agent's [Gate]
// says which may reach the engine and when, and a lease holder's [Sender] says
// which is outstanding.
//
// The failures that it answers: a planner that was paused past its lease wakes
// and sends what it had decided; two planners send at once; an answer is lost;
// the engine crashes in the middle of a role change or a load; the agent
// restarts and has forgotten everything; an order takes away an engine that
// still writes a long answer. Without it an engine would get orders from two
// sides, or the next before the last has settled, and callers would see their
// answers cut by a change that was planned.
//
// The rules. An order carries a fencing number, a sequence under that number
// and the incarnation of the agent it is for. A gate takes no order before it
// has read the number from the table, none with a lower number than the
// highest it has seen, none that is not later than the last, none meant for an
// earlier incarnation, and one at a time. Right before an order runs it reads
// the number once more. After a start, a lost answer or a
// crash the engine's state is unknown until the engine itself has told it, and
// no order runs before. An order that takes the engine away waits until all
// work in hand is finished, with no time limit; new work is refused meanwhile.
package order

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
)

// Incarnation counts the starts of the agent beside one target. It rises with
// each start and is kept in the table.
type Incarnation int64

// ID names one order: for which start of the agent, under which fencing
// number, and which one under that number. No two orders to a target share it.
type ID struct {
	incarnation Incarnation
	number      lease.Number
	sequence    int64
}

// NewID returns the id of an order; sequence counts from 1 under each number.
func NewID(incarnation Incarnation, number lease.Number, sequence int64) ID {
	return ID{incarnation: incarnation, number: number, sequence: sequence}
}

// ParseID reads what [ID.String] wrote.
func ParseID(text string) (ID, error) {
	var id ID
	n, err := fmt.Sscanf(text, "%d/%d.%d", &id.incarnation, &id.number, &id.sequence)
	if err != nil || n != 3 || id.String() != text {
		return ID{}, errors.Newf("%q is no order id", text)
	}
	return id, nil
}

// String returns the id as "incarnation/number.sequence".
func (i ID) String() string {
	return fmt.Sprintf("%d/%d.%d", i.incarnation, i.number, i.sequence)
}

// Incarnation returns the start of the agent that the order is for.
func (i ID) Incarnation() Incarnation { return i.incarnation }

// Number returns the fencing number.
func (i ID) Number() lease.Number { return i.number }

// Sequence returns which order it is under its number.
func (i ID) Sequence() int64 { return i.sequence }

// after reports whether the order was given later than the one named o.
func (i ID) after(other ID) bool {
	if i.number != other.number {
		return i.number > other.number
	}
	return i.sequence > other.sequence
}

// Verb is what an order changes.
type Verb string

// The verbs of orders.
const (
	// VerbRole gives an engine a role.
	VerbRole Verb = "role"
	// VerbModel and VerbVersion load other weights.
	VerbModel   Verb = "model"
	VerbVersion Verb = "version"
	// VerbAdapter loads an adapter beside the running model.
	VerbAdapter Verb = "adapter"
)

// Away reports whether the engine does no work while it carries the order out.
func (v Verb) Away() bool { return v != VerbAdapter }

// Order is one change of a target.
type Order struct {
	id       ID
	verb     Verb
	argument string
}

// NewOrder returns the order.
func NewOrder(id ID, verb Verb, argument string) Order {
	return Order{id: id, verb: verb, argument: argument}
}

// ID returns the id, the same each time the order is sent.
func (o Order) ID() ID { return o.id }

// Verb returns what is changed.
func (o Order) Verb() Verb { return o.verb }

// Argument returns to what it is changed: a role, model, version or adapter.
func (o Order) Argument() string { return o.argument }

// Fact is one thing that holds at an engine, as in verb "role", argument
// "decode". Several may share a verb.
type Fact struct {
	Verb     Verb
	Argument string
}

// State is what an engine tells of itself.
type State struct {
	settled bool
	facts   []Fact
}

// NewState returns a state; settled is false while the engine is still busy
// with a change, also one that nobody here remembers.
func NewState(settled bool, facts ...Fact) State {
	return State{settled: settled, facts: facts}
}

// Settled reports that the engine is not in the middle of a change.
func (s State) Settled() bool { return s.settled }

// Holds reports whether what o asks for is so.
func (s State) Holds(o Order) bool {
	for _, f := range s.facts {
		if f.Verb == o.verb && f.Argument == o.argument {
			return true
		}
	}
	return false
}

// Outcome is how an order ended.
type Outcome string

// The outcomes of orders.
const (
	// OutcomeApplied: what the order asks for holds at the engine.
	OutcomeApplied Outcome = "applied"
	// OutcomeNotApplied: the engine refused it, or settled without it.
	OutcomeNotApplied Outcome = "not-applied"
	// OutcomeSuperseded: a higher number came before the engine got it.
	OutcomeSuperseded Outcome = "superseded"
	// OutcomeUnknown: the agent restarted, or knows nothing of the order; the
	// engine's state tells.
	OutcomeUnknown Outcome = "unknown"
)

// Verdict is a gate's answer to an order.
type Verdict string

// The verdicts of a gate.
const (
	// VerdictAccepted: the order is taken, or was before and is not settled.
	VerdictAccepted Verdict = "accepted"
	// VerdictSettled: the order has ended; the outcome tells how.
	VerdictSettled Verdict = "settled"
	// VerdictOld: the order comes from a process that lost its authority, or
	// was overtaken by a later one. Sending it again is of no use.
	VerdictOld Verdict = "old"
	// VerdictOtherIncarnation: the order is for another start of the agent.
	VerdictOtherIncarnation Verdict = "other-incarnation"
	// VerdictBusy: another order is not settled yet.
	VerdictBusy Verdict = "busy"
	// VerdictNotReady: the number has not been read from the table or the
	// engine's state is unknown.
	VerdictNotReady Verdict = "not-ready"
)

// Reply is what a gate answers to an order.
type Reply struct {
	verdict Verdict
	outcome Outcome
	number  lease.Number
}

// NewReply returns a reply, as it is read from a message.
func NewReply(verdict Verdict, outcome Outcome, number lease.Number) Reply {
	return Reply{verdict: verdict, outcome: outcome, number: number}
}

// Verdict returns what became of the order.
func (r Reply) Verdict() Verdict { return r.verdict }

// Outcome returns how the order ended, empty unless it is settled.
func (r Reply) Outcome() Outcome { return r.outcome }

// Number returns the highest fencing number that the gate has seen.
func (r Reply) Number() lease.Number { return r.number }

// Phase is where a target is between orders.
type Phase string

// The phases of a target.
const (
	// PhaseUnknown: the engine has not told its state since the last doubt.
	PhaseUnknown Phase = "unknown"
	// PhaseSettled: nothing is in hand; an order may come.
	PhaseSettled Phase = "settled"
	// PhaseDraining: an order waits for work in hand; the engine knows nothing
	// of it yet.
	PhaseDraining Phase = "draining"
	// PhaseRunning: the engine has the order.
	PhaseRunning Phase = "running"
)
