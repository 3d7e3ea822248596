package kvtransfer

import (
	"fmt"
	"math"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func path(source, target int) Path {
	return Path{Source: fmt.Sprint("p", source), SourceZone: "a", Target: fmt.Sprint("d", target), TargetZone: "a"}
}

// observe records one transfer of 9,000 tokens between each pair of n engines.
func observe(e *Estimator, now kumquatlug.Millis, n int, ms func(p Path) float64) {
	for source := range n {
		for target := range n {
			p := path(source, target)
			e.Observe(now, Sample{Path: p, Tokens: 9000, Ms: ms(p), Bound: BoundExact})
		}
	}
}

// failedRecently makes times count, as after failures of other transfers.
func failedRecently(e *Estimator, now kumquatlug.Millis) { e.anyFailed, e.lastFailedAt = true, now }

// At the peak of a load every first output is late, whatever its transfer took. Prompts that
// then run on one engine delay the streams there further, until hardly any is served in time.
// Without failures, late outputs must change nothing.
func TestLateOutputsAloneCostNothing(t *testing.T) {
	e := New(Config{})
	for now := kumquatlug.Millis(0); now < 5000; now += 50 {
		observe(e, now, 3, func(Path) float64 { return 600 })
		if ms := e.Expected(now, path(0, 1), 9000); ms != 0 {
			t.Fatalf("expected %.0f ms at %d", ms, now)
		}
	}
	for range 3 {
		e.Fail(5000, path(0, 1))
	}
	if ms := e.Expected(5000, path(0, 1), 9000); ms != 0 {
		t.Fatalf("expected %.0f ms after three failures among hundreds", ms)
	}
	for range 200 {
		e.Fail(5000, path(0, 1))
	}
	if ms := e.Expected(5000, path(0, 1), 9000); ms < 500 {
		t.Errorf("expected %.0f ms after failures", ms)
	}
}

// Usual transfers, and a single late first output among them, must cost nothing: otherwise
// prompts would leave their owners for no reason.
func TestFastTransfersCostNothing(t *testing.T) {
	e := New(Config{})
	for now := kumquatlug.Millis(0); now < 20_000; now += 100 {
		observe(e, now, 3, func(Path) float64 { return 3 })
		if now%5000 == 0 {
			e.Observe(now, Sample{Path: path(0, 0), Tokens: 9000, Ms: 400, Bound: BoundExact})
		}
		if ms := e.Expected(now, path(0, 1), 9000); ms != 0 {
			t.Fatalf("expected %.0f ms at %d", ms, now)
		}
	}
}

// A slow link within a data centre makes transfers to other data centres slow, too, which
// must be known before the first one is sent there.
func TestUnknownPairIsEstimatedFromOthers(t *testing.T) {
	e := New(Config{})
	failedRecently(e, 0)
	observe(e, 0, 2, func(Path) float64 { return 66 })
	across := Path{Source: "p9", SourceZone: "a", Target: "d9", TargetZone: "b"}
	if ms := e.Expected(100, across, 9000); ms < 120 || ms > 145 {
		t.Errorf("expected %.0f ms between data centres, twice 66 within one", ms)
	}
}

// One engine has a slow link. Only it is avoided; if it made its data centre look slow, no
// prompt would be decoded elsewhere.
func TestSlowEngineAffectsItsOwnPathsOnly(t *testing.T) {
	e := New(Config{})
	failedRecently(e, 0)
	for now := kumquatlug.Millis(0); now < 2000; now += 100 {
		observe(e, now, 5, func(p Path) float64 {
			if p.Target == "d0" {
				return 900
			}
			return 2
		})
	}
	if slow, other := e.Expected(2000, path(1, 0), 9000), e.Expected(2000, path(1, 1), 9000); slow < 800 || other != 0 {
		t.Errorf("expected %.0f ms to the slow engine, %.0f ms to another", slow, other)
	}
}

// A link becomes slow or fails and recovers. While transfers are avoided, one probe per second
// must find that within seconds, or the prefill engines would stay unused; and until then
// there must be no burst of transfers when samples expire.
func TestProbesFindRecovery(t *testing.T) {
	for _, fails := range []bool{false, true} {
		e := New(Config{})
		failedRecently(e, 0)
		e.AddPrefilled(0, 1e9)
		send := func(now kumquatlug.Millis, slow bool) {
			switch {
			case slow && fails:
				e.Fail(now, path(0, 0))
			case slow:
				e.Observe(now, Sample{Path: path(0, 0), Tokens: 9000, Ms: 3300, Bound: BoundExact})
			default:
				e.Observe(now, Sample{Path: path(0, 0), Tokens: 9000, Ms: 2, Bound: BoundExact})
			}
		}
		sent, recoveredAt := 0, kumquatlug.Millis(0)
		const repairedAt = 20_000
		for now := kumquatlug.Millis(0); now < 40_000 && recoveredAt == 0; now += 50 {
			expected := e.Expected(now, path(0, 0), 9000)
			if now >= repairedAt && expected == 0 {
				recoveredAt = now
			}
			if expected == 0 || e.Avoid(now, 9000) {
				sent++
				send(now, now < repairedAt)
			}
		}
		if sent > 2+40 || recoveredAt == 0 || recoveredAt > repairedAt+18_000 {
			t.Errorf("fails %v: %d transfers, recovered at %d", fails, sent, recoveredAt)
		}
		t.Logf("fails %v: recovered after %d ms, %d transfers", fails, recoveredAt-repairedAt, sent)
	}
}

// A first output that waited for a slot, or that a client did not wait for, says little. A
// sample that is no number would make every later estimate invalid.
func TestUncertainSamplesAreIgnored(t *testing.T) {
	e := New(Config{})
	for now := kumquatlug.Millis(0); now < 1000; now += 100 {
		for _, s := range []Sample{
			{Ms: 800, Bound: BoundAtMost, Tokens: 9000},
			{Ms: 10, Bound: BoundAtLeast, Tokens: 9000},
			{Ms: math.NaN(), Bound: BoundExact, Tokens: 9000},
			{Ms: math.Inf(1), Bound: BoundExact, Tokens: 9000},
			{Ms: 800, Bound: BoundExact},
		} {
			s.Path = path(0, 0)
			e.Observe(now, s)
		}
	}
	if ms := e.Expected(1000, path(0, 0), 9000); ms != 0 || e.Stats().Slow != 0 {
		t.Errorf("expected %.0f ms, %+v", ms, e.Stats())
	}
}

// Pending transfers delay the next one at either engine. If they were not counted, all prompts
// would go to the engine that was fast last.
func TestPendingTransfersAreAhead(t *testing.T) {
	e := New(Config{})
	failedRecently(e, 0)
	observe(e, 0, 2, func(Path) float64 { return 66 })
	free := e.Expected(0, path(0, 0), 9000)
	e.Begin(path(1, 0), 9000)
	if ms := e.Expected(0, path(0, 0), 9000); math.Abs(ms-2*free) > 1 {
		t.Errorf("expected %.0f ms behind another transfer, %.0f ms without", ms, free)
	}
	e.End(path(1, 0), 9000)
	if ms := e.Expected(0, path(0, 0), 9000); ms != free || len(e.pending) != 0 {
		t.Errorf("expected %.0f ms after it, pending %v", ms, e.pending)
	}
}

// Wasted tokens above a tenth of the prefilled ones within five seconds exceed the bound;
// older ones do not count any more.
func TestWasteIsBoundedInWindow(t *testing.T) {
	e := New(Config{})
	for range 4 {
		e.Fail(0, path(0, 0))
	}
	e.AddPrefilled(0, 100_000)
	e.AddWasted(0, 9000)
	if e.WasteExceeded(0) {
		t.Error("exceeded by 9%")
	}
	e.AddWasted(100, 2000)
	if !e.WasteExceeded(200) {
		t.Error("not exceeded by 11%")
	}
	if e.Avoid(2000, 9000) {
		t.Error("a probe is sent above the bound")
	}
	if e.WasteExceeded(6000) {
		t.Error("exceeded by tokens of more than five seconds ago")
	}
}

// The operator must see when transfers between two data centres become slow and when they
// recover, once each.
func TestChangesAreReportedOnce(t *testing.T) {
	e := New(Config{})
	failedRecently(e, 0)
	for now := range kumquatlug.Millis(10) {
		observe(e, now, 2, func(Path) float64 { return 66 })
	}
	e.meanTokens = 9000
	if c := e.Changes(10); len(c) != 1 || !c[0].Slow || c[0].Source != "a" || c[0].Target != "a" || c[0].Ms == 0 {
		t.Errorf("slow: %+v", c)
	}
	if c := e.Changes(20); len(c) != 0 {
		t.Errorf("reported again: %+v", c)
	}
	for now := kumquatlug.Millis(1000); now < 15_000; now += 1000 {
		observe(e, now, 2, func(Path) float64 { return 2 })
	}
	if c := e.Changes(15_000); len(c) != 1 || c[0].Slow {
		t.Errorf("recovered: %+v", c)
	}
}
