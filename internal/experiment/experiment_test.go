package experiment

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	s, ok := ScenarioOf(name)
	if !ok {
		t.Fatalf("no scenario %q", name)
	}
	return s
}

// near is about what the fleet can do with the usual mix; measuring it takes
// longer than the run.
var near = capacity{plain: 9, cached: 9}

// byPolicy plays a scenario under some policies with seed 1.
func byPolicy(t *testing.T, name string, policies ...PolicyName) map[PolicyName]Result {
	t.Helper()
	s := scenario(t, name)
	best := capacityOf(s, 1)
	results := make(map[PolicyName]Result)
	for _, p := range policies {
		results[p] = play(Config{Scenario: s, Policy: p, Seed: 1}, best)
	}
	return results
}

func TestSameSeedSameDigits(t *testing.T) {
	for _, name := range []string{"crasher", "mix-half"} {
		s := scenario(t, name)
		s.span = min(s.span, 4*kumquatlug.Minute)
		first := play(Config{Scenario: s, Policy: PolicyDecisions, Seed: 1}, near)
		second := play(Config{Scenario: s, Policy: PolicyDecisions, Seed: 1}, near)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: %+v and %+v", name, first, second)
		}
	}
}

func TestEveryCallHasOneEnd(t *testing.T) {
	// A call that neither ends nor is refused keeps its caller at the counter
	// until it gives up, and nobody sees it in any count.
	for _, name := range []string{"burst", "lost-at-peak", "crasher"} {
		s := scenario(t, name)
		w := newWorld(Config{Scenario: s, Policy: PolicyDecisions, Seed: 2}, near)
		for end := s.span + s.tail(); w.now < end; w.now += round {
			w.step()
		}
		for _, c := range w.arrivals {
			if c.outcome == outcomeOpen {
				t.Fatalf("%s: call %s has no end", name, c.id)
			}
		}
		for _, p := range w.entries {
			d := p.(*decisions)
			if len(d.waiting)+len(d.sent)+len(d.due) > 0 {
				t.Errorf("%s: an entry still holds %d, %d and %d calls", name, len(d.waiting), len(d.sent), len(d.due))
			}
		}
	}
}

func TestOverloadBesideFirstInFirstOut(t *testing.T) {
	// Twice as much work arrives as the fleet can do. Sent on as it comes, it
	// piles up in the engines until every answer is late.
	got := byPolicy(t, "overload-2x", PolicyDecisions, PolicyRoundRobin)
	// The aim is 0.95 over several seeds, which the command judges; this keeps
	// what has been reached.
	if g := got[PolicyDecisions].Goodput; g < 0.93 {
		t.Errorf("goodput %.3f", g)
	}
	if g := got[PolicyRoundRobin].Goodput; g > 0.6 {
		t.Errorf("first in first out reaches %.3f; this load no longer tells the two apart", g)
	}
	told := got[PolicyDecisions].desk(workChat).Told
	if told.P50 > 100 {
		t.Errorf("refusals are told after %v", told)
	}
}

func TestQuietCallersBesideHotOne(t *testing.T) {
	// One caller's program asks for twice what the fleet can do. Twenty others
	// would be late or refused all day for its sake.
	beside := byPolicy(t, "hot-caller", PolicyDecisions)[PolicyDecisions]
	alone := byPolicy(t, "quiet-alone", PolicyDecisions)[PolicyDecisions]
	kept := beside.desk(workChat).onTimePart() / alone.desk(workChat).onTimePart()
	if kept < 0.975 {
		t.Errorf("quiet callers keep %.3f of their on-time answers", kept)
	}
}

func TestCrashingRequestTakesTwoEngines(t *testing.T) {
	// A request crashes each engine that runs it, and its caller sends it again
	// and again through any entry. Retried like any other it walks through the
	// fleet, and takes everybody's calls down with each engine.
	got := byPolicy(t, "crasher", PolicyDecisions)[PolicyDecisions]
	if got.Crashes > 2 || got.Resends < 50 {
		t.Errorf("%d engines crashed, %d times sent again", got.Crashes, got.Resends)
	}
	for _, work := range []workName{workChat, workDoc} {
		if g := got.desk(work); g.Failed > 0 || g.onTimePart() < 0.99 {
			t.Errorf("the others received %+v", g)
		}
	}
}

func TestTableAndPlot(t *testing.T) {
	s := scenario(t, "crasher")
	var results []Result
	for _, p := range Policies(s) {
		results = append(results, play(Config{Scenario: s, Policy: p, Seed: 1}, near))
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
