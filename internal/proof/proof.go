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
	seedVariable = "KUMQUATLUG_PROOF_SEED"
	runsVariable = "KUMQUATLUG_PROOF_RUNS"
)

// mostSeed bounds the seed of a step drawn by [Events].
const mostSeed = 1 << 40

// mostChoice bounds the choice of a step drawn by [Moves].
const mostChoice = 9999

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
	properties := gopter.NewProperties(parameters(t, c))
	properties.Property(c.Claim, commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc:     func(commands.State) commands.SystemUnderTest { return c.World() },
		DestroySystemUnderTestFunc: c.End,
		InitialStateGen:            gen.Const(0),
		GenCommandFunc:             func(commands.State) gopter.Gen { return c.Command },
	}))
	properties.TestingRun(t)
}

func parameters(t *testing.T, c Config) *gopter.TestParameters {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(int64(setting(t, seedVariable, c.Seed)))
	p.MinSuccessfulTests = setting(t, runsVariable, c.Runs)
	p.MinSize, p.MaxSize, p.Workers = c.Steps, c.Steps, 1
	t.Logf("seed %d, %d runs of %d steps", p.Seed(), p.MinSuccessfulTests, c.Steps)
	return p
}

// setting reads a number from the environment. A value that is no number fails
// the test: it would else pass for the run that was asked for.
func setting(t *testing.T, name string, usual int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// Step is the part that all steps share. A step embeds it and adds Run and
// String. The world keeps the state itself, so a step is possible at any time.
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

// Events draws one of kinds and a seed for the step's own random numbers. A
// kind comes up as often among the others as it is listed.
func Events(kinds []string, event func(kind string, seed int64) commands.Command) gopter.Gen {
	return gen.Int64Range(0, mostSeed).Map(func(n int64) commands.Command {
		return event(kinds[n%int64(len(kinds))], n)
	})
}

// Moves draws one of kinds, one of actors by its index, and a choice from 0 to
// 9999. A kind comes up as often among the others as it is listed.
func Moves(kinds []string, actors int, move func(kind string, actor, choice int) commands.Command) gopter.Gen {
	return gopter.CombineGens(
		gen.IntRange(0, len(kinds)-1), gen.IntRange(0, actors-1), gen.IntRange(0, mostChoice),
	).Map(func(v []interface{}) commands.Command {
		return move(kinds[v[0].(int)], v[1].(int), v[2].(int))
	}).WithShrinker(gopter.NoShrinker)
}
