package quarantine

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func TestRequestCrashesAtMostTwoTargets(t *testing.T) {
	// Some requests crash each target that runs them, at the start or late in
	// their output, and their callers send them again through any gateway.
	// Without a quarantine the whole group crashes, one target after the other,
	// and all responses are lost; with one that is too broad, their neighbours
	// are refused too.
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(21))
	properties.Property("at most two crashes each, harmless requests complete", prop.ForAll(
		func(seed uint64, early, late, others int) string {
			f := newFleet(seed, 3, 6)
			for range early {
				f.add(crashesEarly)
			}
			for range late {
				f.add(crashesLate)
			}
			for range others {
				f.add(harmless)
			}
			f.run(3 * kumquatlug.Minute)
			return f.firstViolation(early+late > 1)
		},
		gen.UInt64(), gen.IntRange(0, 3), gen.IntRange(0, 1), gen.IntRange(10, 80),
	))
	properties.TestingRun(t)
}

func TestCopiesThroughSeveralGatewaysCrashOneTargetEach(t *testing.T) {
	// A caller sends a request that crashes targets through several gateways,
	// at the same moment or shortly after one another. Gateways that have no
	// notice of the first crash each lose a target to it. Together they must
	// not lose more than one for each copy in flight.
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(23))
	properties.Property("at most one target per copy", prop.ForAll(
		func(seed uint64, delays []int, others int) string {
			f := newFleet(seed, 3, 8)
			first := f.add(crashesEarly)
			for i, d := range delays {
				f.addCopy(first, i%3, kumquatlug.Millis(d)*step)
			}
			for range others {
				f.add(harmless)
			}
			f.run(2 * kumquatlug.Minute)
			if n := len(first.crashes); n > max(2, 1+len(delays)) {
				return fmt.Sprintf("%d copies crashed %v", 1+len(delays), first.crashes)
			}
			return ""
		},
		gen.UInt64(), gen.SliceOfN(1, gen.IntRange(0, 60)).FlatMap(func(one any) gopter.Gen {
			return gen.OneGenOf(gen.Const(one), gen.SliceOfN(2, gen.IntRange(0, 60)))
		}, reflect.TypeOf([]int{})), gen.IntRange(0, 30),
	))
	properties.TestingRun(t)
}

func TestCopiesAfterNoticesCrashAtMostTwoTargets(t *testing.T) {
	// After a crash the gateway retries the interrupted call, while the caller
	// sends it again through the other gateways. All of them know it as a
	// suspect. If each granted it an isolated run, four targets would crash.
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(24))
	properties.Property("at most two targets", prop.ForAll(
		func(seed uint64, delays []int) string {
			f := newFleet(seed, 3, 8)
			first := f.add(crashesEarly)
			for i, d := range delays {
				f.addCopy(first, i, 22*step+kumquatlug.Millis(d)*step)
			}
			f.run(2 * kumquatlug.Minute)
			if len(first.crashes) > 2 {
				return fmt.Sprintf("crashed %v", first.crashes)
			}
			return ""
		},
		gen.UInt64(), gen.SliceOfN(3, gen.IntRange(0, 20)),
	))
	properties.TestingRun(t)
}

func TestGate(t *testing.T) {
	// Two calls were in flight at a crash. If they started together with others
	// at the next target, a second crash would prove nothing about any of them.
	r := New(Config{})
	r.Crashed(0, NewCrash("a", "1"), []InFlightCall{{Fingerprint: "x"}, {Fingerprint: "y"}})
	g := NewGate(r)
	begin := func(id, fingerprint string, claimed, urgent bool) Verdict {
		return g.Begin(1, StartRequest{ID: id, Fingerprint: Fingerprint(fingerprint), Claimed: claimed, Urgent: urgent})
	}
	steps := []struct {
		name string
		got  func() Verdict
		want Verdict
	}{
		{"ordinary call", func() Verdict { return begin("1", "p", false, false) }, VerdictRun},
		{"suspect without claim", func() Verdict { return begin("2", "x", false, false) }, VerdictClaim},
		{"suspect while another call starts", func() Verdict { return begin("2", "x", true, false) }, VerdictWait},
		{"ordinary call while a suspect is pending", func() Verdict { return begin("3", "q", false, false) }, VerdictWait},
		{"suspect with no call starting", func() Verdict { g.Started("1"); return begin("2", "x", true, false) }, VerdictRun},
		{"ordinary call while the suspect starts", func() Verdict { return begin("3", "q", false, false) }, VerdictWait},
		{"ordinary call after the suspect started", func() Verdict { g.Started("2"); return begin("3", "q", false, false) }, VerdictRun},
		{"second suspect", func() Verdict { return begin("4", "y", true, false) }, VerdictElsewhere},
		{"urgent suspect while another call starts", func() Verdict { return begin("4", "y", true, true) }, VerdictWait},
		{"urgent suspect", func() Verdict { g.Started("3"); return begin("4", "y", true, true) }, VerdictRun},
		{"suspect proven to have crashed a target", func() Verdict { g.Crashed(2, NewCrash("b", "1")); return begin("4", "y", true, true) }, VerdictRefuse},
		{"neighbour of the proven suspect", func() Verdict { return begin("2", "x", true, false) }, VerdictRun},
	}
	for _, s := range steps {
		if got := s.got(); got != s.want {
			t.Fatalf("%s: %s, want %s", s.name, got, s.want)
		}
	}
}

func TestFinishedRequestIsFree(t *testing.T) {
	// A caller sends the same harmless request repeatedly, and it is in flight
	// at two unrelated crashes. If the first still counted after the request
	// finished, the second would hold it for an hour.
	r := New(Config{})
	r.Crashed(0, NewCrash("a", "1"), []InFlightCall{{Fingerprint: "x"}, {Fingerprint: "y"}})
	if got := r.Check(1, "x").Standing(); got != StandingSuspect {
		t.Fatalf("after one crash it is %s", got)
	}
	r.Finished(1000, "x")
	r.Crashed(kumquatlug.Minute, NewCrash("b", "1"), []InFlightCall{{Fingerprint: "x"}, {Fingerprint: "z"}})
	if got := r.Check(kumquatlug.Minute, "x").Standing(); got != StandingSuspect {
		t.Errorf("after finishing and a second crash it is %s", got)
	}
	if got := r.Check(kumquatlug.Minute, "y").Standing(); got != StandingSuspect {
		t.Errorf("the request that did not finish is %s", got)
	}
}

func TestCrashSeenTwiceCountsOnce(t *testing.T) {
	// Two gateways lose calls at one crash and notify each other. If crashes
	// were counted by report and not by the target's incarnation, one crash
	// would count twice and hold every call that was in flight.
	r := New(Config{})
	held := []InFlightCall{{Fingerprint: "x", Starting: true}}
	r.Crashed(0, NewCrash("a", "1"), held)
	r.Crashed(10, NewCrash("a", "1"), held)
	if got := r.Check(20, "x"); got.Standing() != StandingSuspect || got.Wait() != 2480 {
		t.Errorf("it is %s with a wait of %d ms", got.Standing(), got.Wait())
	}
	r.ClearCrash(30, NewCrash("a", "1"))
	if got := r.Check(30, "x").Standing(); got != StandingFree {
		t.Errorf("after ClearCrash it is %s", got)
	}
}

func TestResendingExtendsQuarantine(t *testing.T) {
	// Every ten minutes a caller sends a request that is proven to crash
	// targets. If its quarantine expired in between, it would crash two targets
	// each hour.
	r := New(Config{Retention: kumquatlug.Hour})
	r.Crashed(0, NewCrash("a", "1"), []InFlightCall{{Fingerprint: "x", Proven: true}})
	now := kumquatlug.Millis(0)
	for range 100 {
		now += 10 * kumquatlug.Minute
		if got := r.Check(now, "x").Standing(); got != StandingQuarantined {
			t.Fatalf("after %d ms it is %s", now, got)
		}
	}
	if got := r.Check(now+kumquatlug.Hour, "x").Standing(); got != StandingFree {
		t.Errorf("after an hour without requests it is %s", got)
	}
}

func TestRegistryIsBounded(t *testing.T) {
	// Many crashes with many calls in flight must not fill the memory of a
	// small VM, and must not evict the quarantined request.
	r := New(Config{MaxRecords: 50})
	r.Crashed(0, NewCrash("a", "1"), []InFlightCall{{Fingerprint: "proven", Proven: true}})
	for i := range 400 {
		r.Crashed(kumquatlug.Millis(i), NewCrash("b", fmt.Sprint(i)), []InFlightCall{{Fingerprint: Fingerprint(fmt.Sprint(i))}})
	}
	if r.Len() != 50 || !r.Check(400, "proven").Refused() {
		t.Errorf("%d records, proven request is %s", r.Len(), r.Check(400, "proven").Standing())
	}
}

func TestNoticeTextRoundTrip(t *testing.T) {
	r := New(Config{})
	r.Crashed(5, NewCrash("a", "1"), []InFlightCall{{Fingerprint: "x", Starting: true, Proven: true}})
	sent, ok := r.Notice(10, "x")
	text, err := sent.MarshalText()
	if err != nil || !ok {
		t.Fatal(err)
	}
	var got Notice
	if err := got.UnmarshalText(text); err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("%s parsed as %+v, %v", text, got, err)
	}
	if err := got.UnmarshalText([]byte("{}")); err == nil {
		t.Error("a notice without fingerprint was accepted")
	}
}

func BenchmarkCheck(b *testing.B) {
	r := New(Config{})
	for i := range 4000 {
		r.Crashed(0, NewCrash("b", fmt.Sprint(i)), []InFlightCall{{Fingerprint: Fingerprint(fmt.Sprint(i))}})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Check(1, "nobody")
	}
}

func ExampleRegistry() {
	r := New(Config{})
	chat := kumquatlug.NewKind(kumquatlug.ProtocolEngine, "chat")
	f := NewFingerprint("kochi", chat, []byte("a prompt"))
	r.Crashed(0, NewCrash("engine-3", "incarnation-1"), []InFlightCall{{Fingerprint: f}})
	fmt.Println(r.Check(10, f).Standing())
	r.Crashed(20, NewCrash("engine-5", "incarnation-9"), []InFlightCall{{Fingerprint: f, Proven: true}})
	fmt.Println(r.Check(30, f).Standing())
	// Output:
	// suspect
	// quarantined
}

// firstViolation describes the first violated guarantee, or is empty. A request
// that crashes late may crash one more target for each other request that is
// proven to have caused a crash while it was in flight.
func (f *fleet) firstViolation(severalCrashers bool) string {
	for _, r := range f.requests {
		bound := 2
		if r.behaviour == crashesLate && severalCrashers {
			bound = 3
		}
		if len(r.crashes) > bound {
			return fmt.Sprintf("%s (%s) crashed %v", r.id, r.behaviour, r.crashes)
		}
		if r.behaviour == harmless && r.state != "completed" {
			return fmt.Sprintf("%s is %s, record = %+v", r.id, r.state, f.gateways[r.gateway].records[r.fingerprint])
		}
	}
	return ""
}

func TestMergeDoesNotDependOnOrder(t *testing.T) {
	// Gateways receive notices of the same crashes in different orders, some
	// twice. If that mattered, one gateway would refuse a caller that another
	// one serves.
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(22))
	properties.Property("any order and repetition gives the same standings", prop.ForAll(
		func(seed uint64) bool {
			random := rand.New(rand.NewPCG(seed, 1))
			var notices []Notice
			for i := range 4 {
				notices = append(notices, randomNotices(random, i)...)
			}
			a, b := New(Config{}), New(Config{})
			a.Merge(100, notices)
			shuffled := append(append([]Notice{}, notices...), notices...)
			random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			for _, n := range shuffled {
				b.Merge(100, []Notice{n})
			}
			return reflect.DeepEqual(allStandings(a), allStandings(b))
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

// randomNotices returns the notices of a registry after some random events.
func randomNotices(random *rand.Rand, seed int) []Notice {
	r := New(Config{})
	for i := range 6 {
		c := NewCrash(fmt.Sprint("t", random.IntN(3)), "1")
		var held []InFlightCall
		for f := range 5 {
			if random.IntN(2) == 0 {
				held = append(held, InFlightCall{Fingerprint: Fingerprint(fmt.Sprint(f)), Proven: random.IntN(12) == 0})
			}
		}
		r.Crashed(kumquatlug.Millis(i+seed), c, held)
		if random.IntN(3) == 0 {
			r.Finished(kumquatlug.Millis(i+seed), Fingerprint(fmt.Sprint(random.IntN(5))))
		}
	}
	notices, _ := r.NoticesSince(50, 0)
	return notices
}

func allStandings(r *Registry) map[Fingerprint]Standing {
	all := map[Fingerprint]Standing{}
	for f := range r.records {
		all[f] = r.peekStanding(100, f)
	}
	return all
}
