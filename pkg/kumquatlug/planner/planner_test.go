package planner

import (
	"fmt"
	"math"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// highCostConfig is for a deployment where role changes are expensive, defaultConfig for
// one where queueing calls are.
var (
	highCostConfig = Config{ChangeCost: 4, SufficientShare: 0.9, MinDwell: 2 * kumquatlug.Minute}
	defaultConfig  = Config{}
)

// runMixShifts simulates about an hour in which the mix shifts within two minutes, stays
// for five minutes and shifts back, at a load that twelve engines can just serve.
func runMixShifts(s *simGroup) *simGroup {
	s.run(300, 3, 7.2)
	for range 4 {
		s.shiftMix(3, 7.2)
		s.run(300, 7.2, 3)
		s.shiftMix(7.2, 3)
		s.run(300, 3, 7.2)
	}
	return s
}

func (s *simGroup) shiftMix(from, to float64) {
	for i := range 4 {
		shifted := float64(i+1) / 4 * (to - from)
		s.run(30, from+shifted, to-shifted)
	}
}

func TestGoodputBeatsStaticSplitAcrossMixShifts(t *testing.T) {
	// Within two minutes the mix shifts from long prompts to long outputs. With a
	// static split half of the engines are idle while callers queue for the others.
	for seed := range uint64(5) {
		adaptive := runMixShifts(newSimGroup(New(defaultConfig), seed, 12, 4))
		static := runMixShifts(newSimGroup(Static{}, seed, 12, 4))
		if gain := adaptive.goodput() / static.goodput(); gain < 1.15 {
			t.Errorf("seed %d: goodput %.3f, %.3f with a static split", seed, adaptive.goodput(), static.goodput())
		}
	}
}

func TestHighChangeCostHalvesRoleChanges(t *testing.T) {
	// If calls cannot be retried safely, each role change is a risk. A planner that
	// follows every shift completely doubles that risk for a few per cent of goodput.
	for seed := range uint64(5) {
		cheap := runMixShifts(newSimGroup(New(defaultConfig), seed, 12, 5))
		costly := runMixShifts(newSimGroup(New(highCostConfig), seed, 12, 5))
		if 2*costly.changes > cheap.changes || costly.goodput() < 0.95*cheap.goodput() {
			t.Errorf("seed %d: %d changes and goodput %.3f, %d and %.3f by default",
				seed, costly.changes, costly.goodput(), cheap.changes, cheap.goodput())
		}
	}
}

func TestDemandNoiseDoesNotCauseFlapping(t *testing.T) {
	// The demand has a constant mean and varies by 20% from second to second. A role
	// change in response would take an engine offline without any gain.
	for prefill := 3.0; prefill <= 7; prefill += 0.25 {
		s := newSimGroup(New(defaultConfig), uint64(prefill*100), 12, 6)
		s.run(600, prefill, 10.2-prefill)
		warmupChanges := s.changes
		s.run(3600, prefill, 10.2-prefill)
		if n := s.changes - warmupChanges; n > 1 {
			t.Errorf("prefill load %.2f: %d changes in an hour", prefill, n)
		}
	}
}

func TestConcurrentChangesStayWithinLimit(t *testing.T) {
	// Reports are lost and delayed, and the mix jumps. If pending changes were
	// forgotten, more and more engines would be changed until none serves.
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(31))
	properties.Property("the limit holds and both sides keep an engine", prop.ForAll(
		func(seed uint64, size int, loss float64, loads []float64) bool {
			s := newSimGroup(New(Config{MinDwell: 5 * kumquatlug.Second}), seed, size, size/2)
			s.reportLoss = loss
			for _, l := range loads {
				s.run(60, l*float64(size), (1-l)*float64(size))
				prefill, decode := s.planner.(*Goodput).group.split()
				if prefill < 1 || decode < 1 {
					return false
				}
			}
			return s.maxChanging <= max(1, size/5)
		},
		gen.UInt64(), gen.IntRange(2, 24), gen.Float64Range(0, 0.5), gen.SliceOfN(10, gen.Float64Range(0.05, 0.95)),
	))
	properties.TestingRun(t)
}

func TestMissingReportsFreezePlanner(t *testing.T) {
	// The reports of a gateway or of some engines are missing for a while, and the
	// remaining ones look like a large shift. Acting on it would remove engines from
	// work that still exists.
	cases := map[string]struct {
		unresponsiveGateway bool
		unresponsiveEngines int
		frozen              State
	}{
		"all reporting":             {},
		"one gateway unresponsive":  {unresponsiveGateway: true, frozen: StateFrozenGateways},
		"four engines unresponsive": {unresponsiveEngines: 4, frozen: StateFrozenEngines},
		"two engines unresponsive":  {unresponsiveEngines: 2},
	}
	for name, c := range cases {
		g := New(defaultConfig)
		newSimGroup(g, 1, 12, 6).run(120, 4, 4)
		s := newSimGroup(&lossyPlanner{Goodput: g, dropDemand: c.unresponsiveGateway, unresponsiveEngines: c.unresponsiveEngines}, 2, 12, 6)
		s.now = 120 * kumquatlug.Second
		s.run(15, 4, 4)
		s.run(40, 9, 1)
		if c.frozen != "" && (g.State() != c.frozen || s.changes != 0) {
			t.Errorf("%s: %s with %d changes, want %s", name, g.State(), s.changes, c.frozen)
		}
		if c.frozen == "" && s.changes == 0 {
			t.Errorf("%s: no change", name)
		}
	}
}

// lossyPlanner drops the demand reports of one gateway and the reports of some engines.
type lossyPlanner struct {
	*Goodput
	dropDemand          bool
	unresponsiveEngines int
}

func (p *lossyPlanner) RecordDemand(now kumquatlug.Millis, o kumquatlug.Demand) {
	if !p.dropDemand || o.Gateway != "entry0" {
		p.Goodput.RecordDemand(now, o)
	}
}

func (p *lossyPlanner) Report(now kumquatlug.Millis, e kumquatlug.EngineReport) {
	if e.Target >= fmt.Sprintf("e%02d", p.unresponsiveEngines) {
		p.Goodput.Report(now, e)
	}
}

func TestLateDemandReportsAreNoDemandDrop(t *testing.T) {
	// The callers with long prompts use one gateway, whose demand reports arrive only
	// every eight seconds. If the estimate dropped in between, the planner would move
	// engines away from prefill and back.
	g := New(defaultConfig)
	s := newSimGroup(&batchingPlanner{Goodput: g}, 3, 12, 6)
	s.run(1800, 5.1, 5.1)
	if s.changes != 0 {
		t.Errorf("%d changes at a constant mix", s.changes)
	}
}

// batchingPlanner attributes all prompts to one gateway and merges eight of its demand
// reports into one.
type batchingPlanner struct {
	*Goodput
	batch kumquatlug.Demand
}

func (p *batchingPlanner) RecordDemand(now kumquatlug.Millis, o kumquatlug.Demand) {
	if o.Gateway != "entry0" {
		o.PrefillTokens = 0
		p.Goodput.RecordDemand(now, o)
		return
	}
	p.batch.Gateway = o.Gateway
	p.batch.Period += o.Period
	p.batch.PrefillTokens += 3 * o.PrefillTokens
	p.batch.DecodeTokens += o.DecodeTokens
	if p.batch.Period >= 8*kumquatlug.Second {
		p.Goodput.RecordDemand(now, p.batch)
		p.batch = kumquatlug.Demand{}
	}
}

func TestNextHolderCountsPendingChanges(t *testing.T) {
	// The planner fails with two changes pending, and another one takes over. If it did
	// not count them, it would order two more at the same time.
	for seed := range uint64(10) {
		s := newSimGroup(New(defaultConfig), seed, 12, 2)
		for s.maxChanging < 2 {
			s.run(1, 9, 1)
		}
		for _, e := range s.engines {
			e.changeDoneAt += kumquatlug.Hour
		}
		s.planner = New(defaultConfig)
		s.run(300, 9, 1)
		if s.maxChanging > 2 {
			t.Errorf("seed %d: %d engines changing at once", seed, s.maxChanging)
		}
	}
}

func TestCostlyChangeIsNotMade(t *testing.T) {
	// The configured cost of a change is more than half a day of an engine's work. A
	// gain that lasts minutes must not outweigh it.
	s := runMixShifts(newSimGroup(New(Config{ChangeCost: 5000}), 7, 12, 4))
	if s.changes != 0 {
		t.Errorf("%d changes", s.changes)
	}
}

func TestRefusedOrderIsNoLongerPending(t *testing.T) {
	// An engine refuses its order because it has seen a newer holder of the group's
	// lease. If the change stayed pending forever, it would block all later changes.
	s := newSimGroup(New(defaultConfig), 5, 12, 2)
	for s.changes == 0 {
		s.run(1, 9, 1)
	}
	for _, e := range s.engines {
		if e.pendingRole != "" {
			e.pendingRole = ""
			s.planner.OrderRefused(s.now, e.name)
		}
	}
	if n := s.planner.(*Goodput).group.changing(); n != 0 {
		t.Fatalf("%d changes still pending", n)
	}
	before := s.changes
	s.run(120, 9, 1)
	if s.changes == before {
		t.Error("no more changes are ordered")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{12, 100, 1000} {
		b.Run(fmt.Sprintf("engines=%d", size), func(b *testing.B) {
			g := New(defaultConfig)
			s := newSimGroup(g, 6, size, size/2)
			s.run(90, 0.45*float64(size), 0.45*float64(size))
			b.ReportAllocs()
			for b.Loop() {
				g.Plan(s.now)
			}
		})
	}
}

func ExampleNew() {
	careful := New(Config{ChangeCost: 4, SufficientShare: 0.9, MinDwell: 2 * kumquatlug.Minute})
	fmt.Println(careful.Plan(0), careful.State())
	// Output: [] frozen-engines
}

func TestRatesAreLearnedOnlyFromLastingQueues(t *testing.T) {
	// A call that has just arrived is reported as waiting at an engine that was nearly
	// idle for the second before. If the rate of that second counted as the engine's
	// capacity, prefill would appear to need ever more engines, and callers with long
	// outputs would queue at the few decode engines left.
	cases := map[string]struct {
		waiting []int
		shown   int
		learned bool
	}{
		"call just arrived":             {waiting: []int{0, 1}, shown: 1},
		"same report repeated":          {waiting: []int{0, 1}, shown: 3},
		"queue gone in the next report": {waiting: []int{4, 0}, shown: 1},
		"lasting queue":                 {waiting: []int{4, 4}, shown: 1, learned: true},
		"queue lasting two of three":    {waiting: []int{0, 4, 4}, shown: 2, learned: true},
	}
	for name, c := range cases {
		for _, role := range []kumquatlug.Role{kumquatlug.RolePrefill, kumquatlug.RoleDecode} {
			g := newGroup(8000, 1500)
			for i := range 20 * c.shown * len(c.waiting) {
				taken := i / c.shown
				g.report(0, kumquatlug.EngineReport{
					Target: "e", Role: role, TakenAt: kumquatlug.Millis(taken), Waiting: c.waiting[taken%len(c.waiting)],
					PrefillRate: 100, DecodeRate: 100,
				})
			}
			rate := map[kumquatlug.Role]float64{kumquatlug.RolePrefill: g.prefillRate / 8000, kumquatlug.RoleDecode: g.decodeRate / 1500}[role]
			if c.learned != (rate < 1) {
				t.Errorf("%s, role %s: %.2f of the initial rate", name, role, rate)
			}
		}
	}
}

func TestDemandEstimateTracksSteadyShift(t *testing.T) {
	// The mix shifts steadily from prompts to outputs over two minutes. A plain average
	// shows the demand of 20 s ago, and engines need as long again to drain and change,
	// so callers queue behind a split that fits the past. After a jump the estimate must
	// not overshoot by so much that engines are moved back and forth.
	d := newDemand(20*kumquatlug.Second, 3*kumquatlug.Minute)
	now := kumquatlug.Millis(0)
	offer := func(prefill, decode float64) {
		now += kumquatlug.Second
		d.record(now, kumquatlug.Demand{Gateway: "entry", Period: kumquatlug.Second, PrefillTokens: prefill, DecodeTokens: decode})
	}
	for range 300 {
		offer(9000, 3000)
	}
	for s := range 120 {
		prefill, decode := 9000-50*float64(s+1), 3000+50*float64(s+1)
		offer(prefill, decode)
		got := d.estimate()
		if s >= 90 && (math.Abs(got.prefill/prefill-1) > 0.06 || math.Abs(got.decode/decode-1) > 0.06) {
			t.Fatalf("%d s into the shift: estimated %.0f and %.0f, actual %.0f and %.0f", s, got.prefill, got.decode, prefill, decode)
		}
	}
	for range 600 {
		offer(3000, 9000)
	}
	for s := range 120 {
		offer(6000, 0)
		if got := d.estimate(); got.prefill > 6000+0.14*3000 || got.decode < 0 {
			t.Fatalf("%d s after the jump: estimated %.0f and %.0f", s, got.prefill, got.decode)
		}
	}
}
