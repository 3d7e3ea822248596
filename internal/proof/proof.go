// Package proof runs the stateful proofs of the decision modules: random steps
// on the real module over small fakes, with an oracle that is asked after each
// step. A test gives the world, the steps and the figures; this package fixes
// the seed, so that CI plays the same runs every time, and prints it, so that a
// failure can be played again.
//
// KUMQUATLUG_PROOF_RUNS asks for more runs and KUMQUATLUG_PROOF_SEED for
// others, both for every proof.
package proof

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// Environment variables that replace the figures of every proof.
const (
	seedEnv = "KUMQUATLUG_PROOF_SEED"
	runsEnv = "KUMQUATLUG_PROOF_RUNS"
)

// maxSeed bounds the seed of an [Event].
const maxSeed = 1 << 40

// maxChoice bounds the choice of a [Move].
const maxChoice = 9999

// Config is what a proof is made of.
type Config struct {
	// Claim says what must hold; it is printed with the verdict. Required.
	Claim string
	// Seed is where the random numbers start.
	Seed int
	// Runs is how many sequences of steps are played.
	Runs int
	// Steps is the length of each sequence.
	Steps int
	// Command draws the next step. Required.
	Command gopter.Gen
	// World returns a new world for one run. Required.
	World func() commands.SystemUnderTest
	// End is called with the world after its run; nil does nothing.
	End func(world commands.SystemUnderTest)
}

// Run plays the proof and fails t when a step is judged wrong.
func Run(t *testing.T, c Config) {
	t.Helper()
	properties := gopter.NewProperties(newParameters(t, c))
	properties.Property(c.Claim, commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc:     func(commands.State) commands.SystemUnderTest { return c.World() },
		DestroySystemUnderTestFunc: c.End,
		InitialStateGen:            gen.Const(0),
		GenCommandFunc:             func(commands.State) gopter.Gen { return c.Command },
	}))
	properties.TestingRun(t)
}

func newParameters(t *testing.T, c Config) *gopter.TestParameters {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(int64(intFromEnv(t, seedEnv, c.Seed)))
	p.MinSuccessfulTests = intFromEnv(t, runsEnv, c.Runs)
	p.MinSize, p.MaxSize, p.Workers = c.Steps, c.Steps, 1
	t.Logf("seed %d, %d runs of %d steps", p.Seed(), p.MinSuccessfulTests, c.Steps)
	return p
}

// intFromEnv reads a number from the environment. A value that is no number fails
// the test: it would else pass for the run that was asked for.
func intFromEnv(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// Step is the part that all steps share. A step that is neither an [Event] nor
// a [Move] embeds it and adds Run and String. The world keeps the state itself, so a step is possible at any time.
type Step struct{}

// NextState implements commands.Command.
func (Step) NextState(state commands.State) commands.State { return state }

// PreCondition implements commands.Command.
func (Step) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command. A step's Run returns what is
// wrong, as an error or as a text; nil and the empty text mean nothing.
func (Step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	switch wrong := result.(type) {
	case nil:
		return &gopter.PropResult{Status: gopter.PropTrue}
	case error:
		return &gopter.PropResult{Status: gopter.PropError, Error: wrong}
	case string:
		if wrong == "" {
			return &gopter.PropResult{Status: gopter.PropTrue}
		}
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{wrong}}
	default:
		return &gopter.PropResult{Status: gopter.PropError, Error: errors.Newf("a step returned %T", result)}
	}
}

// Event is what happens in a step: its kind, and the seed of the random numbers
// that shape it.
type Event struct {
	Kind string
	Seed int64
}

// String returns the event as a failure shows it.
func (e Event) String() string { return fmt.Sprintf("%s(%d)", e.Kind, e.Seed) }

type eventStep struct {
	Step
	Event
	run func(commands.SystemUnderTest, Event) commands.Result
}

// Run implements commands.Command.
func (s eventStep) Run(world commands.SystemUnderTest) commands.Result {
	return s.run(world, s.Event)
}

// Events draws one of kinds and a seed. A kind comes up as often among the
// others as it is listed. Play makes the event happen and returns what is wrong.
func Events(kinds []string, run func(world commands.SystemUnderTest, e Event) commands.Result) gopter.Gen {
	return gen.Int64Range(0, maxSeed).Map(func(n int64) commands.Command {
		return eventStep{Event: Event{Kind: kinds[n%int64(len(kinds))], Seed: n}, run: run}
	})
}

// Move is what one of several actors does in a step.
type Move struct {
	Kind string
	// Actor is the index of who does it.
	Actor int
	// Choice, from 0 to 9999, shapes it.
	Choice int
}

// String returns the move as a failure shows it.
func (m Move) String() string { return fmt.Sprintf("%s(%d,%d)", m.Kind, m.Actor, m.Choice) }

type moveStep struct {
	Step
	Move
	run func(commands.SystemUnderTest, Move) commands.Result
}

// Run implements commands.Command.
func (s moveStep) Run(world commands.SystemUnderTest) commands.Result {
	return s.run(world, s.Move)
}

// Moves draws one of kinds, one of actors by its index, and a choice. A kind
// comes up as often among the others as it is listed. Play makes the move and
// returns what is wrong.
func Moves(kinds []string, actors int, run func(world commands.SystemUnderTest, m Move) commands.Result) gopter.Gen {
	return gopter.CombineGens(
		gen.IntRange(0, len(kinds)-1), gen.IntRange(0, actors-1), gen.IntRange(0, maxChoice),
	).Map(func(values []interface{}) commands.Command {
		return moveStep{Move: Move{Kind: kinds[values[0].(int)], Actor: values[1].(int), Choice: values[2].(int)}, run: run}
	}).WithShrinker(gopter.NoShrinker)
}
