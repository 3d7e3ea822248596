package placement

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/pace"
)

// Streams of several seconds need fast engines, short outputs don't. If short outputs fill the
// fast engines, streams get the slow ones, where a slow span pauses them for too long; and if more
// fast engines decode than the streams need, prompts wait.
func TestFastSlotsAreLeftToStreams(t *testing.T) {
	p := New(Config{Zone: "a"})
	var members []kumquatlug.Member
	for i := range 8 {
		members = append(members, member(fmt.Sprint("g", i), "a", kumquatlug.RoleDecode, 12))
	}
	members = append(members, member("r0", "a", kumquatlug.RolePrefill, 12), member("r1", "a", kumquatlug.RolePrefill, 12))
	p.Sync(0, members)
	speeds := map[string]float64{"g0": 0.5, "g1": 0.5, "r0": 0.5, "r1": 1.2}
	for i := 2; i < 8; i++ {
		speeds[fmt.Sprint("g", i)] = 1.2
	}
	setSpeeds(p, 10_000, speeds)
	for n := range kumquatlug.Millis(40) {
		for id, relative := range speeds {
			p.Speeds().Observe(10_000+10*n, id, pace.KindDecode, 55*relative)
		}
	}
	now := kumquatlug.Millis(10_500)
	begin := func(prompt kumquatlug.Prompt, n int) int {
		atFast := 0
		for range n {
			c, found := p.ChooseDecode(now, Query{Prompt: prompt, MaxEventGap: 150})
			if !found {
				t.Fatal("no engine")
			}
			if p.demand.suitable[c.Worker().ID()] {
				atFast++
			}
			p.Begin(now, c, prompt)
			p.Measure(now)
		}
		return atFast
	}
	begin(chatPrompt(0), 20)
	if p.demand.takenFraction < 0.8 {
		t.Fatalf("%.2f of the fast slots are taken by 20 streams", p.demand.takenFraction)
	}
	if atFast := begin(document(0, 0), 20); atFast > 2 {
		t.Errorf("%d of 20 short outputs took the last fast slots", atFast)
	}
	for range 200 {
		now += 20
		p.Measure(now)
	}
	suitable, wanted := p.StreamEngines(now)
	if len(suitable) != 3 || !suitable["r0"] || suitable["r1"] {
		t.Errorf("suitable engines: %v", suitable)
	}
	// 20 streams at engines of 0.5 in place of 1 on average need 20 slots of 12 an engine.
	if wanted < 2 || wanted > 4 {
		t.Errorf("%d fast engines wanted for 20 streams", wanted)
	}
}
