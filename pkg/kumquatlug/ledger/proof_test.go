package ledger

import (
	"math/rand"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// eventKinds lists the kinds of events; an event is as likely as it is frequent
// in the list.
var eventKinds = []string{
	"request", "request", "request", "request", "arrive", "arrive", "arrive", "arrive", "arrive",
	"step-table", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table",
	"step-job", "step-job", "step-job", "step-job", "step-job", "upload", "give-up", "give-up", "give-up", "disconnect",
	"delayed-commit", "delayed-commit", "pass-time", "pass-time", "pass-time", "kill", "replace", "outage", "recover", "recover", "era", "poll", "poll", "quiesce",
	"request", "request", "arrive", "arrive", "arrive", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table", "step-table",
}

// applyEvent applies an event to the simulation and returns its first violation,
// if any.
func applyEvent(sut commands.SystemUnderTest, e proof.Event) commands.Result {
	s := sut.(*simulation)
	r := rand.New(rand.NewSource(e.Seed))
	switch e.Kind {
	case "request":
		s.sendRequest(r)
	case "arrive":
		for range 1 + r.Intn(2) {
			s.deliverMessage(r)
		}
	case "step-table":
		for range 1 + r.Intn(5) {
			s.stepTableOp(s.busyProcess(r), r)
		}
	case "step-job":
		s.stepJob(s.runningProcess(r), r)
	case "upload":
		s.completeUpload(pickProcess(s.processes(), r, func(p *process) bool { return len(p.uploads) > 0 }))
	case "give-up":
		s.giveUp(r)
	case "disconnect":
		s.disconnectWaiter(pickProcess(s.agents, r, func(p *process) bool { return len(p.waiting) > 0 }), r)
	default:
		s.applyFault(e.Kind, r)
	}
	return s.violation
}

func (s *simulation) applyFault(kind string, r *rand.Rand) {
	switch kind {
	case "delayed-commit":
		s.applyDelayedTx(r)
	case "pass-time":
		s.now += kumquatlug.Millis(r.Intn(3000))
	case "kill", "replace":
		s.restartProcess(r, kind == "kill")
	case "outage", "recover":
		s.tableDown = kind == "outage"
	case "era":
		s.advanceEra()
	case "poll":
		e := s.gateways[r.Intn(len(s.gateways))]
		e.era = s.era()
	case "quiesce":
		if r.Intn(3) == 0 {
			s.quiesce(r)
		}
	}
}

func TestProofAtMostOnceAndNotRunIsTrue(t *testing.T) {
	// Calls are sent, and sent again through another gateway, with another body,
	// or to another target. Commits lose their responses, fail, or take effect
	// late; agents are killed, paused and replaced between claim, run and end;
	// and eras advance. A fault shows as a call that runs twice, a not-run for
	// a call that ran, or the response of a different call.
	counts := map[string]int{}
	proof.Run(t, proof.Config{
		Property: "at most one run, and not-run is true",
		Seed:     5, Runs: 600, Steps: 200,
		StepGen:   proof.Events(eventKinds, applyEvent),
		NewSystem: func() commands.SystemUnderTest { return newSimulation(counts) },
	})
	t.Logf("%v", counts)
	for _, end := range []string{"run", "answer", "not-run", "unknown", "conflict"} {
		if counts[end] == 0 {
			t.Errorf("no simulation reached %q", end)
		}
	}
}
