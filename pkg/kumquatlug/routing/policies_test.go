package routing

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// simulateMixed runs a simulation of 40 seconds with mixed prompts at a fraction load
// of the capacity.
func simulateMixed(seed uint64, gateways, engines, subset int, load float64, choose policy) *simulation {
	s := newSimulation(seed, gateways, engines, subset)
	s.run(40*kumquatlug.Second, load, mixedQuery, choose)
	return s
}

func TestGatewaysDoNotHerd(t *testing.T) {
	// Guards against herding: sixteen gateways decide on reports that are up to a
	// second old. Each sees the same engine idle, all send to it, and until the next
	// report its queue grows while others are idle. Callers see waves of slow
	// responses.
	for seed := range uint64(3) {
		routed := simulateMixed(seed, 16, 24, 24, 0.8, routerPolicy)
		for name, choose := range map[string]policy{"least finish": greedyPolicy, "round robin": roundRobinPolicy, "least connections": leastConnectionsPolicy} {
			baseline := simulateMixed(seed, 16, 24, 24, 0.8, choose)
			if routed.waitPercentile(0.5) > 0.6*baseline.waitPercentile(0.5) || routed.waitPercentile(0.9) > 0.9*baseline.waitPercentile(0.9) {
				t.Errorf("seed %d: wait p50 %.0f ms and p90 %.0f ms, by %s %.0f and %.0f",
					seed, routed.waitPercentile(0.5), routed.waitPercentile(0.9), name, baseline.waitPercentile(0.5), baseline.waitPercentile(0.9))
			}
		}
	}
}

func TestSharedDocumentsAreServedFromCache(t *testing.T) {
	// Callers ask about 200 long documents, one of them in three of ten questions. The
	// engines together can hold all documents, each alone one in sixteen; spread
	// evenly, nearly every question runs its whole document. Up to one in five cache
	// events is lost.
	cases := []struct{ hot, loss, hits float64 }{{0, 0, 0.75}, {0.3, 0, 0.75}, {0, 0.02, 0.75}, {0, 0.2, 0.65}}
	for seed := range uint64(3) {
		for _, c := range cases {
			routed, baseline := newSimulation(seed, 4, 24, 24), newSimulation(seed, 4, 24, 24)
			routed.eventLoss = c.loss
			routed.run(40*kumquatlug.Second, 1.2, documentQueries(200, c.hot), routerPolicy)
			baseline.run(40*kumquatlug.Second, 1.2, documentQueries(200, c.hot), roundRobinPolicy)
			if routed.hitTokens < c.hits*routed.promptTokens || routed.waitPercentile(0.9) > 0.5*baseline.waitPercentile(0.9) {
				t.Errorf("seed %d, %+v: cached fraction %.2f, p90 wait %.0f ms; round robin %.2f and %.0f",
					seed, c, routed.hitTokens/routed.promptTokens, routed.waitPercentile(0.9), baseline.hitTokens/baseline.promptTokens, baseline.waitPercentile(0.9))
			}
		}
	}
}

func TestSubsetDoesNotLengthenWaits(t *testing.T) {
	// A gateway that connects to only 20 of 100 engines must not keep its callers
	// waiting while engines outside its subset are idle.
	for seed := range uint64(3) {
		subset, all := simulateMixed(seed, 16, 100, DefaultSubsetSize, 0.9, routerPolicy), simulateMixed(seed, 16, 100, 100, 0.9, routerPolicy)
		if subset.waitPercentile(0.5) > 1.1*all.waitPercentile(0.5) || subset.waitPercentile(0.99) > 1.1*all.waitPercentile(0.99) {
			t.Errorf("seed %d: wait p50 %.0f ms and p99 %.0f ms, with all engines %.0f and %.0f",
				seed, subset.waitPercentile(0.5), subset.waitPercentile(0.99), all.waitPercentile(0.5), all.waitPercentile(0.99))
		}
	}
}
