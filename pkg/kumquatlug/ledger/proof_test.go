package ledger

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

type event struct {
	proof.Step
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

func newEvent(kind string, seed int64) commands.Command { return event{kind: kind, seed: seed} }

func TestProofAtMostOnceAndNotRunIsTrue(t *testing.T) {
	// Postings are sent, sent again through another entry, with another body,
	// and routed to another target, while the table loses answers, is down or
	// lets writes land late, agents are killed, paused and replaced between
	// claim and run and end, and eras pass. A user would see a posting twice, a
	// "not run" for one that went out, or another posting's answer.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Claim: "at most one run, and not-run is true",
		Seed:  5, Runs: 600, Steps: 200,
		Command: proof.Events(kinds, newEvent),
		World:   func() commands.SystemUnderTest { return newWorld(counts) },
	})
	t.Logf("%v", counts)
	for _, end := range []string{"run", "answer", "not-run", "unknown", "conflict"} {
		if counts[end] == 0 {
			t.Errorf("no run reached %q", end)
		}
	}
}
