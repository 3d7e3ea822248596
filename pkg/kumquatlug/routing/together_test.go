package routing

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// played runs a simulation of 40 seconds at a load and returns it.
func played(seed uint64, entries, engines, subset int, load float64, choose rule) *sim {
	s := newSim(seed, entries, engines, subset)
	s.run(40*kumquatlug.Second, load, mixed, choose)
	return s
}

func TestEntriesDoNotHerd(t *testing.T) {
	// Sixteen entries decide on reports that are up to a second old. Each sees
	// the same engine idle, all send to it, and until the next report its queue
	// grows while others stand idle. Callers notice waves of slow answers.
	for seed := range uint64(3) {
		ours := played(seed, 16, 24, 24, 0.8, routed)
		for name, choose := range map[string]rule{"least finish": greedy, "round robin": roundRobin, "least connections": leastConnections} {
			other := played(seed, 16, 24, 24, 0.8, choose)
			if ours.wait(0.5) > 0.6*other.wait(0.5) || ours.wait(0.9) > 0.9*other.wait(0.9) {
				t.Errorf("seed %d: half wait %.0f ms and a tenth %.0f, by %s %.0f and %.0f",
					seed, ours.wait(0.5), ours.wait(0.9), name, other.wait(0.5), other.wait(0.9))
			}
		}
	}
}

func TestSharedDocumentsAreRunOnce(t *testing.T) {
	// Counter staff ask about 200 long documents, one of them three times in
	// ten. The engines together can hold them all, each alone one in sixteen;
	// spread evenly, nearly every question runs its whole document. Cache events
	// are lost on the way, up to one in five.
	cases := []struct{ hot, loss, hits float64 }{{0, 0, 0.75}, {0.3, 0, 0.75}, {0, 0.02, 0.75}, {0, 0.2, 0.65}}
	for seed := range uint64(3) {
		for _, c := range cases {
			ours, even := newSim(seed, 4, 24, 24), newSim(seed, 4, 24, 24)
			ours.loss = c.loss
			ours.run(40*kumquatlug.Second, 1.2, documents(200, c.hot), routed)
			even.run(40*kumquatlug.Second, 1.2, documents(200, c.hot), roundRobin)
			if ours.hits < c.hits*ours.tokens || ours.wait(0.9) > 0.5*even.wait(0.9) {
				t.Errorf("seed %d, %+v: %.2f from caches, p90 wait %.0f ms; evenly %.2f and %.0f",
					seed, c, ours.hits/ours.tokens, ours.wait(0.9), even.hits/even.tokens, even.wait(0.9))
			}
		}
	}
}

func TestSubsetIsEnough(t *testing.T) {
	// An entry that speaks to 20 of 100 engines only must not keep its callers
	// waiting while engines that it does not know are idle.
	for seed := range uint64(3) {
		few, all := played(seed, 16, 100, DefaultSubset, 0.9, routed), played(seed, 16, 100, 100, 0.9, routed)
		if few.wait(0.5) > 1.1*all.wait(0.5) || few.wait(0.99) > 1.1*all.wait(0.99) {
			t.Errorf("seed %d: p50 %.0f ms and p99 %.0f, with all known %.0f and %.0f",
				seed, few.wait(0.5), few.wait(0.99), all.wait(0.5), all.wait(0.99))
		}
	}
}
