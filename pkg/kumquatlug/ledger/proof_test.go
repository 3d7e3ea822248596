package ledger

import (
	"math/rand"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

var eventKinds = []string{
	"request", "request", "request", "request", "arrive", "arrive", "arrive", "arrive", "arrive",
	"step", "step", "step", "step", "step", "step", "step", "step", "step", "step", "step", "step",
	"work", "work", "work", "work", "work", "upload", "give-up", "give-up", "give-up", "leave",
	"land", "land", "pass", "pass", "pass", "kill", "replace", "outage", "heal", "heal", "era", "poll", "poll", "settle",
	"request", "request", "arrive", "arrive", "arrive", "step", "step", "step", "step", "step", "step", "step", "step",
}

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
	case "step":
		for range 1 + r.Intn(5) {
			s.stepTableOp(s.busyProcess(r), r)
		}
	case "work":
		s.stepJob(s.runningProcess(r), r)
	case "upload":
		s.completeUpload(pickProcess(s.processes(), r, func(p *process) bool { return len(p.uploads) > 0 }))
	case "give-up":
		s.giveUp(r)
	case "leave":
		s.disconnectWaiter(pickProcess(s.agents, r, func(p *process) bool { return len(p.waiting) > 0 }), r)
	default:
		s.applyFault(e.Kind, r)
	}
	return s.violation
}

func (s *simulation) applyFault(kind string, r *rand.Rand) {
	switch kind {
	case "land":
		s.applyDelayedTx(r)
	case "pass":
		s.now += kumquatlug.Millis(r.Intn(3000))
	case "kill", "replace":
		s.restartProcess(r, kind == "kill")
	case "outage", "heal":
		s.tableDown = kind == "outage"
	case "era":
		s.advanceEra()
	case "poll":
		e := s.entries[r.Intn(len(s.entries))]
		e.era = s.era()
	case "settle":
		if r.Intn(3) == 0 {
			s.quiesce(r)
		}
	}
}

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
		Command: proof.Events(eventKinds, applyEvent),
		World:   func() commands.SystemUnderTest { return newSimulation(counts) },
	})
	t.Logf("%v", counts)
	for _, end := range []string{"run", "answer", "not-run", "unknown", "conflict"} {
		if counts[end] == 0 {
			t.Errorf("no run reached %q", end)
		}
	}
}
