package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func properties(t *testing.T) *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 300
	return gopter.NewProperties(p)
}

func ExampleCallers() {
	c := NewCallers(CallersConfig{})
	c.SetTerms("desk", CallerTerms{Rate: 100, Burst: 1000})
	fmt.Println(c.Begin(0, "desk", 900).Passed())
	fmt.Println(c.Begin(0, "desk", 900).Reason())
	fmt.Println(c.Begin(8*kumquatlug.Second, "desk", 900).Passed())
	// Output:
	// true
	// caller_rate
	// true
}

func TestCallerNeverExceedsItsRate(t *testing.T) {
	p := properties(t)
	p.Property("burst plus rate times time bounds what passes", prop.ForAll(func(ops []uint64) string {
		c := NewCallers(CallersConfig{Default: CallerTerms{Rate: 100, Burst: 1000, Concurrency: 4}})
		now, passed, running := kumquatlug.Millis(0), int64(0), 0
		for _, op := range ops {
			now += kumquatlug.Millis(op % 977)
			if cost := int64(op % 613); op%3 > 0 {
				if v := c.Begin(now, "a", cost); v.Passed() {
					passed, running = passed+cost, running+1
				} else if v.RetryAfter() < kumquatlug.Second || v.Failure().Ran() != kumquatlug.RanNot {
					return "a refusal without a time to come back, or one that claims that something ran"
				}
			} else if running > 0 {
				c.End(now, "a", 100, cost, cost)
				running--
			}
			if passed > 1000+int64(now)/10 || running > 4 || running != c.Running("a") {
				return fmt.Sprintf("%d tokens in %d ms, %d in hand", passed, now, running)
			}
		}
		return ""
	}, gen.SliceOfN(200, gen.UInt64())))
	p.TestingRun(t)
}

func TestRetryAfterIsJittered(t *testing.T) {
	// A hundred clients of one account are refused in one moment. Told the
	// same second, they would all come back in it and be refused again.
	c := NewCallers(CallersConfig{Default: CallerTerms{Concurrency: 1}})
	c.Begin(0, "a", 1)
	seconds := map[kumquatlug.Millis]int{}
	for range 100 {
		seconds[c.Begin(0, "a", 1).RetryAfter()/100]++
	}
	for tenth, n := range seconds {
		if n > 40 {
			t.Errorf("%d of 100 come back in the same tenth of a second (%d)", n, tenth)
		}
	}
}

func TestCallerIsChargedActualTokens(t *testing.T) {
	// A client that asks for little output and takes much would else get many
	// times its rate.
	c := NewCallers(CallersConfig{Default: CallerTerms{Rate: 100, Burst: 1000}})
	c.Begin(0, "a", 10)
	c.End(0, "a", 50, 10, 5000)
	if c.Begin(30*kumquatlug.Second, "a", 10).Passed() {
		t.Error("passed while 5,000 tokens used at 100 a second are not paid off")
	}
	if !c.Begin(41*kumquatlug.Second, "a", 10).Passed() {
		t.Error("refused after they were")
	}
}

// simulatedEngine is a target whose time for a token grows with its batch above a size.
type simulatedEngine struct {
	batch           int
	saturationBatch int
}

func (e simulatedEngine) latency(tokens int64) kumquatlug.Millis {
	perToken := 10.0
	if e.batch > e.saturationBatch {
		perToken *= float64(e.batch) / float64(e.saturationBatch)
	}
	return kumquatlug.Millis(perToken * float64(tokens))
}

// runToSteadyState keeps each entry's limit full against one engine and returns the mean
// batch, and how many times the least entry's part the greatest one is.
func runToSteadyState(e simulatedEngine, gateways int, overloadAt int) (batch, imbalance float64) {
	var all []*Targets
	for n := range gateways {
		l := NewTargets(TargetsConfig{Entries: gateways, Random: rand.New(rand.NewPCG(uint64(n), 1))})
		l.Add("x")
		all = append(all, l)
	}
	type run struct {
		limits *Targets
		ticket Ticket
		end    kumquatlug.Millis
		took   kumquatlug.Millis
	}
	var running []run
	sum, samples := 0.0, 0.0
	shares := make([]float64, gateways)
	for now := kumquatlug.Millis(0); now < 10*kumquatlug.Minute; now += 50 {
		kept := running[:0]
		for _, r := range running {
			if r.end > now {
				kept = append(kept, r)
				continue
			}
			outcome := OutcomeEnded
			if overloadAt > 0 && e.batch > overloadAt {
				outcome = OutcomeOverload
			}
			r.limits.Sample(now, &r.ticket, r.took, 1000)
			r.limits.End(now, r.ticket, outcome)
		}
		running = kept
		for _, l := range all {
			for l.Room("x", 100) {
				e.batch = len(running) + 1
				took := e.latency(100)
				running = append(running, run{limits: l, ticket: l.Begin(now, "x", 100), end: now + took, took: took})
			}
		}
		e.batch = len(running)
		if now > 5*kumquatlug.Minute {
			sum, samples = sum+float64(e.batch), samples+1
			for n, l := range all {
				shares[n] += float64(l.Running("x"))
			}
		}
	}
	return sum / samples, slices.Max(shares) / max(slices.Min(shares), 1)
}

func TestConcurrencyLimitConverges(t *testing.T) {
	// A target is given whatever comes. Past the size of its batch each request
	// only makes all others slower, and every answer on it is late at once.
	for _, gateways := range []int{1, 4} {
		batch, imbalance := runToSteadyState(simulatedEngine{saturationBatch: 20}, gateways, 0)
		if imbalance > 2 {
			t.Errorf("one of %d entries has %.1f times as much as another", gateways, imbalance)
		}
		// 3 times the floor is a batch of 60; the step up holds it the root of
		// its size above, at 67.
		if batch < 60 || batch > 75 {
			t.Errorf("%d entries settle at a batch of %.1f, want about 67", gateways, batch)
		}
		t.Logf("%d entries, knee at 20: batch %.1f", gateways, batch)
	}
	if batch, _ := runToSteadyState(simulatedEngine{saturationBatch: 1000}, 1, 50); batch > 60 {
		t.Errorf("a target that refuses above 50 is given %.1f", batch)
	}
}

func TestShortPatienceLowersTolerance(t *testing.T) {
	// A batch that suits documents is too slow for questions. Held to the same
	// tolerance, the target fills up with answers that come too late.
	l := NewTargets(TargetsConfig{Floor: 1})
	for _, c := range []struct {
		patience kumquatlug.Millis
		want     float64
	}{
		{patience: 3000, want: 1.95},
		{patience: kumquatlug.Minute, want: DefaultTolerance},
		{patience: 100, want: minTolerance},
	} {
		var k Ticket
		l.Tolerate(&k, c.patience, 1000)
		if d := k.tolerance - c.want; d > 0.001 || d < -0.001 {
			t.Errorf("with %d ms for 1000 the tolerance is %.3f, want %.3f", c.patience, k.tolerance, c.want)
		}
	}
}

func TestPendingBoundHoldsBackLongPrompts(t *testing.T) {
	// Prompts sent ahead of time wait inside the engine: they have left the fair
	// order, and a question that comes later stands behind them.
	l := NewTargets(TargetsConfig{MaxPending: 8000})
	l.Add("x")
	first := l.Begin(0, "x", 5000)
	if l.Room("x", 5000) {
		t.Error("a second long prompt may be sent before the first has begun")
	}
	if !l.Room("x", 500) {
		t.Error("a question waits for a long prompt that it goes before")
	}
	l.Sample(100, &first, 100, 100)
	if !l.Room("x", 5000) {
		t.Error("no room though the first has begun")
	}
}

func TestReportedRequestsAreNotCountedTwice(t *testing.T) {
	// The report of a second ago doesn't hold the last second's requests. An
	// entry that ignored them would send a second's work into memory that is
	// already full; one that added all it has in hand would stop at half.
	l := NewTargets(TargetsConfig{HighWater: 1})
	l.Add("x")
	l.Begin(1000, "x", 300)
	l.Begin(2000, "x", 300)
	l.Report(2500, "x", Load{Asked: 2500, Age: 1000, Used: 300, Total: 1000})
	if !l.Room("x", 400) {
		t.Error("300 reported and 300 begun since leave 400 of 1000")
	}
	if l.Room("x", 401) {
		t.Error("there is no room for 401")
	}
	l.Report(2600, "x", Load{Asked: 2600, Age: 2600, Used: 0, Total: 1000})
	if l.Room("x", 401) {
		t.Error("an older report replaced a newer one")
	}
}

func TestGatewaysDoNotOverfillMemoryOnOneReport(t *testing.T) {
	// Ten entries read the same report of a target with some room and send at
	// once. Each believes that the room is its own; together they overfill the
	// memory, and the target throws out half-done answers.
	for _, used := range []int64{0, 4500, 8500} {
		for _, cost := range []int64{50, 700, 3000} {
			sum, excessive := 0.0, 0
			for seed := range uint64(1000) {
				over := sentOnOneReport(used, cost, seed) - (9000 - used)
				sum += float64(over)
				if over > 4*cost {
					excessive++
				}
			}
			if mean := sum / 1000; mean > 0.1*float64(cost) || excessive > 10 {
				t.Errorf("used %d, pieces of %d: %.0f too many in the mean, far too many in %d of 1000", used, cost, mean, excessive)
			}
		}
	}
}

// sentOnOneReport is what ten entries send to one target on the same report.
func sentOnOneReport(used, cost int64, seed uint64) int64 {
	sent := int64(0)
	for n := range uint64(10) {
		l := NewTargets(TargetsConfig{Entries: 10, Random: rand.New(rand.NewPCG(seed, n))})
		l.Add("x")
		l.Report(0, "x", Load{Used: used, Total: 10_000})
		for l.Room("x", cost) {
			l.Begin(1, "x", cost)
			sent += cost
		}
	}
	return sent
}

func TestUnknownAndRemovedTargets(t *testing.T) {
	l := NewTargets(TargetsConfig{})
	if l.Room("x", 1) {
		t.Error("a target that nobody added has room")
	}
	l.Add("x")
	k := l.Begin(0, "x", 1)
	l.Remove("x")
	l.Sample(1, &k, 1, 1)
	l.End(1, k, OutcomeEnded)
	if l.Free("x") != 0 || l.Running("x") != 0 {
		t.Error("a removed target is still counted")
	}
}

func BenchmarkRoom(b *testing.B) {
	l := NewTargets(TargetsConfig{})
	names := make([]string, 100)
	for n := range names {
		names[n] = fmt.Sprint("target-", n)
		l.Add(names[n])
		l.Report(0, names[n], Load{Used: 500, Total: 1000})
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, name := range names {
			l.Room(name, 100)
		}
	}
}

func BenchmarkCallers(b *testing.B) {
	for _, callers := range []int{1, 740} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			c := NewCallers(CallersConfig{Default: CallerTerms{Rate: 1 << 30, Concurrency: 100}})
			names := make([]string, callers)
			for n := range names {
				names[n] = fmt.Sprint("caller-", n)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				name := names[n%callers]
				c.Begin(kumquatlug.Millis(n), name, 100)
				c.End(kumquatlug.Millis(n), name, 10, 100, 100)
			}
		})
	}
}

func BenchmarkBeginEnd(b *testing.B) {
	l := NewTargets(TargetsConfig{})
	l.Add("x")
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		k := l.Begin(kumquatlug.Millis(n), "x", 100)
		l.Sample(kumquatlug.Millis(n), &k, 1000, 100)
		l.End(kumquatlug.Millis(n), k, OutcomeEnded)
	}
}
