package ledger

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

type event struct {
	kind string
	seed int64
}

var kinds = []string{
	"request", "request", "request", "request", "arrive", "arrive", "arrive", "arrive", "arrive",
	"step", "step", "step", "step", "step", "step", "step", "step", "step", "step", "step", "step",
	"work", "work", "work", "work", "work", "upload", "give-up", "give-up", "give-up", "leave",
	"land", "land", "pass", "pass", "pass", "kill", "replace", "outage", "heal", "heal", "era", "poll", "poll", "settle",
	"request", "request", "arrive", "arrive", "arrive", "step", "step", "step", "step", "step", "step", "step", "step",
}

func (e event) String() string { return fmt.Sprintf("%s(%d)", e.kind, e.seed) }

// Run implements commands.Command.
func (e event) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	r := rand.New(rand.NewSource(e.seed))
	switch e.kind {
	case "request":
		w.request(r)
	case "arrive":
		for range 1 + r.Intn(2) {
			w.arrive(r)
		}
	case "step":
		for range 1 + r.Intn(5) {
			w.step(w.busy(r), r)
		}
	case "work":
		w.work(w.running(r), r)
	case "upload":
		w.uploaded(pick(w.processes(), r, func(p *process) bool { return len(p.upload) > 0 }))
	case "give-up":
		w.giveUp(r)
	case "leave":
		w.leave(pick(w.agents, r, func(p *process) bool { return len(p.asked) > 0 }), r)
	default:
		w.disturb(e.kind, r)
	}
	return w.wrong
}

func (w *world) disturb(kind string, r *rand.Rand) {
	switch kind {
	case "land":
		w.land(r)
	case "pass":
		w.now += kumquatlug.Millis(r.Intn(3000))
	case "kill", "replace":
		w.replace(r, kind == "kill")
	case "outage", "heal":
		w.outage = kind == "outage"
	case "era":
		w.advance()
	case "poll":
		e := w.entries[r.Intn(len(w.entries))]
		e.era = w.era()
	case "settle":
		if r.Intn(3) == 0 {
			w.settle(r)
		}
	}
}

// NextState implements commands.Command.
func (e event) NextState(state commands.State) commands.State { return state }

// PreCondition implements commands.Command.
func (e event) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command.
func (e event) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if text := result.(string); text != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{text}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func TestProofAtMostOnceAndNotRunIsTrue(t *testing.T) {
	// Postings are sent, sent again through another entry, with another body,
	// and routed to another target, while the table loses answers, is down or
	// lets writes land late, agents are killed, paused and replaced between
	// claim and run and end, and eras pass. A user would see a posting twice, a
	// "not run" for one that went out, or another posting's answer.
	counts := map[string]int{}
	properties := gopter.NewProperties(proofParameters(t, 600, 200))
	properties.Property("at most one run, and not-run is true", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newWorld(counts) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.Int64Range(0, 1<<40).Map(func(n int64) commands.Command {
				return event{kind: kinds[n%int64(len(kinds))], seed: n}
			})
		},
	}))
	properties.TestingRun(t)
	t.Logf("%v", counts)
	for _, end := range []string{"run", "answer", "not-run", "unknown", "conflict"} {
		if counts[end] == 0 {
			t.Errorf("no run reached %q", end)
		}
	}
}

// proofParameters fixes the seed and the number of command sequences;
// KUMQUATLUG_PROOF_RUNS asks for more, KUMQUATLUG_PROOF_SEED for others.
func proofParameters(t *testing.T, runs, steps int) *gopter.TestParameters {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(int64(setting(t, "KUMQUATLUG_PROOF_SEED", 5)))
	p.MinSuccessfulTests = setting(t, "KUMQUATLUG_PROOF_RUNS", runs)
	p.MaxSize, p.MinSize, p.Workers = steps, steps, 1
	t.Logf("%d runs of %d steps", p.MinSuccessfulTests, steps)
	return p
}

func setting(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
