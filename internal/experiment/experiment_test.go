package experiment

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func findScenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, ok := ScenarioByName(name)
	if !ok {
		t.Fatalf("no scenario %q", name)
	}
	return s
}

// approximateCapacity is the approximate capacity for the usual mix. Measuring it would take
// longer than the simulation.
var approximateCapacity = capacity{uncached: 9, cached: 9}

// simulatePolicies simulates a scenario under the given policies with seed 1.
func simulatePolicies(t *testing.T, name string, policies ...PolicyName) map[PolicyName]Result {
	t.Helper()
	s := findScenario(t, name)
	fleetCapacity := measureCapacity(s, 1)
	results := make(map[PolicyName]Result)
	for _, p := range policies {
		results[p] = simulate(Config{Scenario: s, Policy: p, Seed: 1}, fleetCapacity)
	}
	return results
}

func TestSameSeedGivesSameResult(t *testing.T) {
	for _, name := range []string{"crasher", "mix-half"} {
		s := findScenario(t, name)
		s.duration = min(s.duration, 4*kumquatlug.Minute)
		first := simulate(Config{Scenario: s, Policy: PolicyModules, Seed: 1}, approximateCapacity)
		second := simulate(Config{Scenario: s, Policy: PolicyModules, Seed: 1}, approximateCapacity)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: %+v and %+v", name, first, second)
		}
	}
}

func TestEveryCallHasOutcome(t *testing.T) {
	// A call that neither ends nor is refused would keep its caller waiting until the
	// timeout, and no counter would include it.
	for _, name := range []string{"burst", "lost-at-peak", "crasher"} {
		s := findScenario(t, name)
		sim := newSimulation(Config{Scenario: s, Policy: PolicyModules, Seed: 2}, approximateCapacity)
		for end := s.duration + s.drainTime(); sim.now < end; sim.now += timeStep {
			sim.step()
		}
		for _, c := range sim.arrivals {
			if c.outcome == outcomeOpen {
				t.Fatalf("%s: call %s has no outcome", name, c.id)
			}
		}
		for _, p := range sim.gateways {
			m := p.(*modulePolicy)
			if len(m.waiting)+len(m.inFlight)+len(m.pending) > 0 {
				t.Errorf("%s: a gateway still has %d queued, %d in-flight and %d pending calls", name, len(m.waiting), len(m.inFlight), len(m.pending))
			}
		}
	}
}

func TestGoodputUnderOverload(t *testing.T) {
	// The offered load is twice the capacity. If every call were sent on arrival, queues in
	// the engines would grow until every response is late.
	got := simulatePolicies(t, "overload-2x", PolicyModules, PolicyRoundRobin)
	// The goal is 0.95 over several seeds, which the command checks. This lower bound
	// guards against regressions.
	if g := got[PolicyModules].Goodput; g < 0.93 {
		t.Errorf("goodput %.3f", g)
	}
	if g := got[PolicyRoundRobin].Goodput; g > 0.6 {
		t.Errorf("goodput of FIFO is %.3f; this load no longer distinguishes the policies", g)
	}
	refusals := got[PolicyModules].ordinaryCallers(workloadChat).RefusalTime
	if refusals.P50 > 100 {
		t.Errorf("time to refusal (p50/p99 in seconds): %v", refusals)
	}
}

func TestHotCallerDoesNotDelayQuietCallers(t *testing.T) {
	// One caller offers twice the fleet's capacity. Without isolation between callers, the
	// calls of twenty others would be late or refused.
	beside := simulatePolicies(t, "hot-caller", PolicyModules)[PolicyModules]
	alone := simulatePolicies(t, "quiet-alone", PolicyModules)[PolicyModules]
	retained := beside.ordinaryCallers(workloadChat).onTimeFraction() / alone.ordinaryCallers(workloadChat).onTimeFraction()
	if retained < 0.975 {
		t.Errorf("quiet callers keep %.3f of their on-time responses", retained)
	}
}

func TestCrashingRequestCrashesAtMostTwoEngines(t *testing.T) {
	// A request crashes each engine that runs it, and its caller sends it repeatedly through
	// any gateway. If it were retried like other requests, it would crash one engine after
	// the other, and all calls in flight there would be lost.
	got := simulatePolicies(t, "crasher", PolicyModules)[PolicyModules]
	if got.Crashes > 2 || got.Resends < 50 {
		t.Errorf("%d engines crashed, request sent again %d times", got.Crashes, got.Resends)
	}
	for _, work := range []workload{workloadChat, workloadDocument} {
		if g := got.ordinaryCallers(work); g.Failed > 0 || g.onTimeFraction() < 0.99 {
			t.Errorf("other callers are affected: %+v", g)
		}
	}
}

func TestWriteTableAndPlot(t *testing.T) {
	s := findScenario(t, "crasher")
	var results []Result
	for _, p := range Policies(s) {
		results = append(results, simulate(Config{Scenario: s, Policy: p, Seed: 1}, approximateCapacity))
	}
	var table, plot bytes.Buffer
	if err := WriteTable(&table, results); err != nil {
		t.Fatal(err)
	}
	if err := WritePlot(&plot, results); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(table.Bytes(), []byte("engines crashed by one request")) || !bytes.HasSuffix(plot.Bytes(), []byte("</svg>\n")) {
		t.Errorf("table:\n%s\nplot:\n%s", table.String(), plot.String())
	}
}
