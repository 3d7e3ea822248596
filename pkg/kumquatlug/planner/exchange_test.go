package planner

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func speedEngines(random *rand.Rand, prefill, decode int) []SplitEngine {
	engines := splitEngines(prefill, decode)
	for i := range engines {
		engines[i].RelativeTime = math.Exp(0.35 * random.NormFloat64())
	}
	return engines
}

// exchangeRanked returns the exchanges where as many engines are suitable for streams as decode,
// the fastest ones.
func exchangeRanked(engines []SplitEngine) []Exchange {
	ranked := slices.Clone(engines)
	ranked = slices.DeleteFunc(ranked, func(e SplitEngine) bool { return e.RelativeTime == 0 })
	slices.SortStableFunc(ranked, func(a, b SplitEngine) int { return cmp.Compare(a.RelativeTime, b.RelativeTime) })
	n := countRole(ranked, kumquatlug.RoleDecode)
	suitable := map[string]bool{}
	for _, e := range ranked[:n] {
		suitable[e.Target] = true
	}
	marked := slices.Clone(engines)
	for i := range marked {
		marked[i].Suitable = suitable[marked[i].Target]
	}
	return ExchangeRoles(marked, countRole(engines, kumquatlug.RoleDecode))
}

func slowestDecode(engines []SplitEngine) float64 {
	slowest := 0.0
	for _, e := range engines {
		if e.Role == kumquatlug.RoleDecode {
			slowest = max(slowest, e.RelativeTime)
		}
	}
	return slowest
}

// Roles were assigned regardless of speed, and half of the streams paused for too long at slow
// engines. With true speeds the exchanges must end with fast decode engines in a few steps, never
// change more than one sixth of a role at a time, and leave the split as it is.
func TestFastEnginesDecodeAfterAFewSteps(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		engines := speedEngines(random, 35, 18)
		steps := 0
		for ; ; steps++ {
			pairs := exchangeRanked(engines)
			if len(pairs) == 0 {
				break
			}
			if len(pairs) > 3 || steps > 8 {
				t.Fatalf("seed %d: %d exchanges in step %d", seed, len(pairs), steps)
			}
			for _, x := range pairs {
				if x.ToDecode().RelativeTime > 0.75*x.ToPrefill().RelativeTime {
					t.Errorf("seed %d: %.2f exchanged for %.2f", seed, x.ToPrefill().RelativeTime, x.ToDecode().RelativeTime)
				}
				applyChanges(engines, x.Changes())
			}
		}
		if n := countRole(engines, kumquatlug.RoleDecode); n != 18 {
			t.Fatalf("seed %d: %d decode engines", seed, n)
		}
		if steps == 0 || slowestDecode(engines) > 1.15 {
			t.Errorf("seed %d: slowest decode engine %.2f after %d steps", seed, slowestDecode(engines), steps)
		}
	}
}

// Speeds are estimated with an error. It must not make engines change roles for ever.
func TestNoisySpeedsSettle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 5))
	engines := speedEngines(random, 35, 18)
	exchanges := 0
	for step := range 60 {
		noisy := make([]SplitEngine, len(engines))
		for i, e := range engines {
			e.RelativeTime *= math.Exp(0.07 * random.NormFloat64())
			noisy[i] = e
		}
		for _, x := range exchangeRanked(noisy) {
			applyChanges(engines, x.Changes())
			if step >= 12 {
				exchanges++
			}
		}
	}
	if exchanges > 4 {
		t.Errorf("%d exchanges after the first 12 steps", exchanges)
	}
}

// Engines that are changing, refused an order, were exchanged a moment ago or whose speed is not
// known must not be exchanged; and with one engine in a role it must not be left without any.
func TestEnginesThatAreNotExchanged(t *testing.T) {
	for name, change := range map[string]func(*SplitEngine){
		"changing": func(e *SplitEngine) { e.Changing = true }, "refused": func(e *SplitEngine) { e.Refused = true },
		"recent": func(e *SplitEngine) { e.ChangedRecently = true }, "unknown": func(e *SplitEngine) { e.RelativeTime = 0 },
	} {
		engines := splitEngines(6, 6)
		for i := range engines {
			engines[i].RelativeTime = 1
		}
		engines[0].RelativeTime, engines[11].RelativeTime = 0.8, 2
		if pairs := exchangeRanked(engines); len(pairs) != 1 {
			t.Fatalf("%d exchanges of a fast prefill engine for a slow decode engine", len(pairs))
		}
		change(&engines[11])
		if pairs := exchangeRanked(engines); len(pairs) != 0 {
			t.Errorf("%s: %v", name, pairs)
		}
	}
	if pairs := exchangeRanked(splitEngines(3, 0)); len(pairs) != 0 {
		t.Errorf("%v without a decode engine", pairs)
	}
}

// An exchange moves the streams of an engine. An idle one that gains as much goes first.
func TestIdleEnginesAreExchangedFirst(t *testing.T) {
	engines := splitEngines(12, 6)
	for i := range engines {
		engines[i].RelativeTime = 1
	}
	engines[0].RelativeTime, engines[1].RelativeTime = 0.4, 0.5
	engines[16].RelativeTime, engines[17].RelativeTime = 2, 1.9
	engines[1].Idle, engines[17].Idle = true, true
	pairs := exchangeRanked(engines)
	if len(pairs) != 1 || pairs[0].ToDecode().Target != "e01" || pairs[0].ToPrefill().Target != "e17" {
		t.Errorf("%v", fmt.Sprint(pairs))
	}
}

// When the split itself changes, the engine that suits the other role goes, or it would be
// exchanged right afterwards.
func TestSplitChangesPreferSuitableEngines(t *testing.T) {
	engines := splitEngines(6, 6)
	for i := range engines {
		engines[i].RelativeTime = 1
	}
	engines[4].RelativeTime = 0.5
	engines[9].RelativeTime = 2
	if changes := MaintainSplit(engines, 5.0/12); len(changes) != 1 || changes[0].Target() != "e04" {
		t.Errorf("to decode: %v", changes)
	}
	if changes := MaintainSplit(engines, 7.0/12); len(changes) != 1 || changes[0].Target() != "e09" {
		t.Errorf("to prefill: %v", changes)
	}
}

// The slow engine of an exchange refuses its order, and the split has to be corrected. If the
// fast engine, which is idle after its change, went back, the two would alternate.
func TestSplitChangesSpareExchangedEngines(t *testing.T) {
	engines := splitEngines(6, 6)
	engines[7].Idle, engines[7].ChangedRecently = true, true
	if changes := MaintainSplit(engines, 7.0/12); len(changes) != 1 || changes[0].Target() == engines[7].Target {
		t.Errorf("to prefill: %v", changes)
	}
}

// Each exchange takes a fast engine and its cached prefixes away from the prompts: with all slow
// decode engines exchanged at once, a quarter of the prefill capacity was lost, and prompts were
// late at the peak. No more engines may be exchanged than streams need, and the slowest of the
// suitable prefill engines goes first.
func TestNoMoreEnginesAreExchangedThanStreamsNeed(t *testing.T) {
	engines := splitEngines(35, 18)
	for i := range engines {
		engines[i].RelativeTime, engines[i].Suitable = 0.8+float64(i%5)*0.02, true
		if engines[i].Role == kumquatlug.RoleDecode {
			engines[i].RelativeTime, engines[i].Suitable = 1.8, false
		}
	}
	exchanged := 0
	for pairs := ExchangeRoles(engines, 8); len(pairs) > 0; pairs = ExchangeRoles(engines, 8) {
		for _, x := range pairs {
			if x.ToDecode().RelativeTime < 0.855 {
				t.Errorf("engine at %.2f is exchanged before the slowest suitable one", x.ToDecode().RelativeTime)
			}
			exchanged++
			applyChanges(engines, x.Changes())
		}
	}
	if exchanged != 8 {
		t.Errorf("%d engines exchanged, streams need 8", exchanged)
	}
}
