// Package proof runs stateful property-based tests of the decision modules:
// random sequences of steps on the real module over small fakes, with an oracle
// that is checked after each step. A test provides the system under test, the
// steps and the number of runs. The package fixes the seed, so that CI executes
// the same runs every time, and logs it, so that a failure can be reproduced.
//
// The environment variables KUMQUATLUG_PROOF_RUNS and KUMQUATLUG_PROOF_SEED
// override the number of runs and the seed of every test.
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

// Environment variables that override the seed and the number of runs of every test.
const (
	seedEnv = "KUMQUATLUG_PROOF_SEED"
	runsEnv = "KUMQUATLUG_PROOF_RUNS"
)

// maxSeed is the largest seed of an [Event].
const maxSeed = 1 << 40

// maxChoice is the largest choice of an [Action].
const maxChoice = 9999

// Config describes a property-based test.
type Config struct {
	// Property is the property that must hold; it is printed with the result. Required.
	Property string
	// Seed is the seed of the random number generator.
	Seed int
	// Runs is the number of step sequences to execute.
	Runs int
	// Steps is the number of steps in each sequence.
	Steps int
	// StepGen generates the next step. Required.
	StepGen gopter.Gen
	// NewSystem returns a new system under test for one run. Required.
	NewSystem func() commands.SystemUnderTest
	// Cleanup cleans up the system under test after its run. Optional.
	Cleanup func(system commands.SystemUnderTest)
}

// Run executes the test and fails t if a step violates the property.
func Run(t *testing.T, c Config) {
	t.Helper()
	properties := gopter.NewProperties(newParameters(t, c))
	properties.Property(c.Property, commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc:     func(commands.State) commands.SystemUnderTest { return c.NewSystem() },
		DestroySystemUnderTestFunc: c.Cleanup,
		InitialStateGen:            gen.Const(0),
		GenCommandFunc:             func(commands.State) gopter.Gen { return c.StepGen },
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

// intFromEnv reads an integer from the environment. A value that is not an integer
// fails the test; with the default in its place, the test would appear to have used
// the requested value.
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

// Step implements the parts of commands.Command that all steps share. A step that
// is neither an [Event] nor an [Action] embeds it and adds Run and String. The system
// under test holds the state itself, so a step is valid at any time.
type Step struct{}

// NextState implements commands.Command.
func (Step) NextState(state commands.State) commands.State { return state }

// PreCondition implements commands.Command.
func (Step) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command. A step's Run returns a violation as an
// error or as a string; nil and the empty string mean that there is none.
func (Step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	switch violation := result.(type) {
	case nil:
		return &gopter.PropResult{Status: gopter.PropTrue}
	case error:
		return &gopter.PropResult{Status: gopter.PropError, Error: violation}
	case string:
		if violation == "" {
			return &gopter.PropResult{Status: gopter.PropTrue}
		}
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{violation}}
	default:
		return &gopter.PropResult{Status: gopter.PropError, Error: errors.Newf("a step returned %T, want nil, an error or a string", result)}
	}
}

// Event is one step: its kind, and the seed of the random numbers that determine
// its details.
type Event struct {
	Kind string
	Seed int64
}

// String formats the event for failure messages.
func (e Event) String() string { return fmt.Sprintf("%s(%d)", e.Kind, e.Seed) }

type eventStep struct {
	Step
	Event
	run func(commands.SystemUnderTest, Event) commands.Result
}

// Run implements commands.Command.
func (s eventStep) Run(system commands.SystemUnderTest) commands.Result {
	return s.run(system, s.Event)
}

// Events generates events with a kind from kinds and a random seed. A kind that is
// listed several times is drawn more often in proportion. Run applies the event to
// the system under test and returns a violation as described at
// [Step.PostCondition].
func Events(kinds []string, run func(system commands.SystemUnderTest, e Event) commands.Result) gopter.Gen {
	return gen.Int64Range(0, maxSeed).Map(func(n int64) commands.Command {
		return eventStep{Event: Event{Kind: kinds[n%int64(len(kinds))], Seed: n}, run: run}
	})
}

// Action is one step of one of several actors.
type Action struct {
	Kind string
	// Actor is the index of the acting party.
	Actor int
	// Choice is a random number from 0 to 9999 that determines the details.
	Choice int
}

// String formats the action for failure messages.
func (a Action) String() string { return fmt.Sprintf("%s(%d,%d)", a.Kind, a.Actor, a.Choice) }

type actionStep struct {
	Step
	Action
	run func(commands.SystemUnderTest, Action) commands.Result
}

// Run implements commands.Command.
func (s actionStep) Run(system commands.SystemUnderTest) commands.Result {
	return s.run(system, s.Action)
}

// Actions generates actions with a kind from kinds, the index of one of actors and a
// choice. A kind that is listed several times is drawn more often in proportion.
// Run applies the action to the system under test and returns a violation as described
// at [Step.PostCondition].
func Actions(kinds []string, actors int, run func(system commands.SystemUnderTest, a Action) commands.Result) gopter.Gen {
	return gopter.CombineGens(
		gen.IntRange(0, len(kinds)-1), gen.IntRange(0, actors-1), gen.IntRange(0, maxChoice),
	).Map(func(values []interface{}) commands.Command {
		return actionStep{Action: Action{Kind: kinds[values[0].(int)], Actor: values[1].(int), Choice: values[2].(int)}, run: run}
	}).WithShrinker(gopter.NoShrinker)
}
