package gateway

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// Guards against late streams that a stopping gateway takes and cuts at its exit: the clients of all streams that it
// has seen left after a few events, so that no sample tells how many events a whole stream has.
func TestStoppingGatewayThatSawOnlyLeftStreamsRefusesLateOnes(t *testing.T) {
	f := newLateGateway(t, respondingWorkers(), 0)
	now, p := f.g.c.Clock.Now(), f.g.scheduler.service("engines").placer
	// A whole stream has 40 events for 2,000 tokens and takes 4.4 s and more.
	prompt := kumquatlug.NewPrompt(nil, 10, 2000)
	for range 200 {
		c, _ := p.ChooseDecode(now-1000, placement.Query{Prompt: prompt})
		a := p.Begin(now-1000, c, prompt)
		p.PrefillDone(now-900, a)
		for event := range kumquatlug.Millis(6) {
			p.RecordEvents(now-800+110*event, a, 1)
		}
		p.End(now, a, placement.OutcomeNeutral)
	}
	exit := kumquatlug.Millis(f.g.exitAt.Load())
	service, _ := f.g.table.Load().Service("engines")
	longest := f.g.scheduler.longestRun(service, 2000)
	t.Logf("%d ms until the exit, longest run %d ms", exit-now, longest)
	if got := f.doPatiently(t, "/chat/?tokens=30,2000"); !refusedAtOnce(f, got) {
		t.Errorf("status %d, calls %d, want a refusal", got.status, len(f.workers.recorded()))
	}
}
