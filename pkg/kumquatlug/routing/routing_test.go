package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

var chat = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "chat")

// routerWithTargets returns a router in data centre a with n targets in the same one.
func routerWithTargets(n int) *Router {
	r := New(Config{RandomSource: rand.NewPCG(1, 1), Zone: "a"})
	for i := range n {
		r.Set(0, Candidate{Name: targetName(i), Zone: "a", Assignments: []Assignment{{Kind: chat, Role: kumquatlug.RoleBoth}}})
	}
	return r
}

func targetName(i int) string { return fmt.Sprintf("t%04d", i) }

func query(tokens int, prefix ...uint64) Query {
	return Query{Kind: chat, Role: kumquatlug.RoleBoth, PrefillTokens: tokens, DecodeTokens: 100, Prefix: prefix}
}

// sendCalls records n calls with prompts of this many tokens at one target.
func sendCalls(r *Router, name string, n, tokens int) {
	for i := range n {
		r.Sent(0, name, Call{ID: fmt.Sprint(name, i, tokens), PrefillTokens: tokens, DecodeTokens: 100})
	}
}

func pick(t *testing.T, r *Router, q Query) Choice {
	t.Helper()
	c, ok := r.Pick(0, q, nil)
	if !ok {
		t.Fatal("no choice")
	}
	return c
}

func TestQueueIsMeasuredInTokens(t *testing.T) {
	// One engine has a document of 40,000 tokens in flight, the other three short
	// chats. Balanced by call count, the next chat would wait five seconds behind the
	// document.
	r := routerWithTargets(2)
	sendCalls(r, targetName(0), 1, 40000)
	sendCalls(r, targetName(1), 3, 500)
	if c := pick(t, r, query(500)); c.Target() != targetName(1) || c.Wait() > 300 {
		t.Errorf("sent to %s with an expected wait of %d ms", c.Target(), c.Wait())
	}
}

func TestReportedOwnCallsAreNotCountedTwice(t *testing.T) {
	// A report is old when it arrives. Three calls were sent; the report includes two
	// of them and one of another gateway. If own calls were added to the report as
	// well, the target would look twice as full.
	r := routerWithTargets(1)
	state := r.targets[targetName(0)]
	sendCalls(r, state.name, 3, 1000)
	r.Report(300, state.name, Load{Running: 3, TakenAt: 100, Begun: 2, Incarnation: "x"})
	if got := state.callCount(); got != 4 {
		t.Errorf("%v calls at the target, want 4", got)
	}
	r.Finished(310, state.name, fmt.Sprint(state.name, 0, 1000))
	r.Report(320, state.name, Load{Running: 9, TakenAt: 50, Begun: 1, Incarnation: "x"})
	if got := state.callCount(); got != 3 {
		t.Errorf("%v calls after one finished and an older report arrived, want 3", got)
	}
}

func TestRestartClearsCachedPrefixes(t *testing.T) {
	// A target restarts with an empty cache and counts calls from zero. If its prefixes
	// stayed trusted, it would attract the prompts that it used to hold and run them
	// again.
	r := routerWithTargets(2)
	r.Report(0, targetName(0), Load{Incarnation: "x", Begun: 7})
	r.Sent(0, targetName(0), Call{ID: "a", Prefix: []uint64{1, 2}, PrefillTokens: 512})
	r.Finished(10, targetName(0), "a")
	if c := pick(t, r, query(512, 1, 2)); c.Cached() != 512 || c.Reason() != ReasonCached {
		t.Fatalf("before the restart: %d tokens cached, reason %s", c.Cached(), c.Reason())
	}
	r.Report(20, targetName(0), Load{TakenAt: 20, Incarnation: "y"})
	if c := pick(t, r, query(512, 1, 2)); c.Cached() != 0 {
		t.Errorf("after the restart: %d tokens cached, want 0", c.Cached())
	}
}

func TestGapInCacheEventsLowersTrust(t *testing.T) {
	// Lost cache events may include the eviction of the prompt. A call that queues
	// there for the cached prefix would run it anyway; responses restore the trust.
	r := routerWithTargets(2)
	prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for i, key := range prefix {
		r.ApplyCacheEvent(targetName(0), key, int64(i+1), false)
	}
	sendCalls(r, targetName(0), 1, 1500)
	if c := pick(t, r, query(2048, prefix...)); c.Target() != targetName(0) {
		t.Fatalf("before the gap: sent to %s", c.Target())
	}
	r.ApplyCacheEvent(targetName(0), 99, 40, false)
	if c := pick(t, r, query(2048, prefix...)); c.Target() != targetName(1) {
		t.Errorf("after the gap: sent to %s", c.Target())
	}
	for range 20 {
		r.RecordCacheHit(targetName(0), 2048, 2048)
	}
	if c := pick(t, r, query(2048, prefix...)); c.Target() != targetName(0) {
		t.Errorf("after confirming responses: sent to %s", c.Target())
	}
}

func TestEvictedPrefixIsNotCounted(t *testing.T) {
	r := routerWithTargets(3)
	for i, key := range []uint64{1, 2, 3} {
		r.ApplyCacheEvent(targetName(2), key, int64(i+1), false)
	}
	r.ApplyCacheEvent(targetName(2), 2, 4, true)
	if c := pick(t, r, query(768, 1, 2, 3)); c.Cached() != 256 {
		t.Errorf("%d tokens expected in the cache, want the 256 of the first block", c.Cached())
	}
}

func TestGatewaysAgreeOnTargetForNewPrompt(t *testing.T) {
	// Three gateways receive the same new document at the same moment. If each sent it
	// elsewhere, three engines would run and cache it.
	var places []string
	idle := pick(t, routerWithTargets(10), query(4096)).Wait()
	for seed := range uint64(3) {
		r := routerWithTargets(10)
		r.random = rand.New(rand.NewPCG(seed, 5))
		r.SetGateways(3)
		c := pick(t, r, query(4096, 71, 72, 73))
		places = append(places, c.Target())
		if c.Wait() != idle {
			t.Errorf("expected wait %d ms for an uncached prompt, want %d", c.Wait(), idle)
		}
	}
	if places[0] != places[1] || places[1] != places[2] {
		t.Errorf("gateways sent it to different targets: %v", places)
	}
	r := routerWithTargets(10)
	sendCalls(r, places[0], 12, 100)
	if c := pick(t, r, query(4096, 71, 72, 73)); c.Target() == places[0] || c.Reason() != ReasonAffinity {
		t.Errorf("preferred target is overloaded, but sent to %s (%s)", c.Target(), c.Reason())
	}
}

func TestLocalZonePreferredUntilQueued(t *testing.T) {
	// With equal targets in two data centres, an idle call stays local, but a local
	// queue must not hold callers while the other target is idle.
	r := routerWithTargets(1)
	r.Set(0, Candidate{Name: "far", Zone: "b", Assignments: []Assignment{{Kind: chat, Role: kumquatlug.RoleBoth}}})
	if c := pick(t, r, query(500)); c.Target() != targetName(0) {
		t.Errorf("with both idle: sent to %s", c.Target())
	}
	sendCalls(r, targetName(0), 1, 500)
	if c := pick(t, r, query(500)); c.Target() != "far" {
		t.Errorf("with a local queue: sent to %s", c.Target())
	}
}

func TestFullKVMemoryAddsWait(t *testing.T) {
	// An engine has the shorter queue, but no KV memory left for a long prompt, which
	// would wait there until other calls end.
	r := routerWithTargets(2)
	r.Report(0, targetName(0), Load{Running: 10, KVUsed: 99000, KVTotal: 100000})
	r.Report(0, targetName(1), Load{Running: 12, KVUsed: 20000, KVTotal: 100000})
	if c := pick(t, r, query(8000)); c.Target() != targetName(1) {
		t.Errorf("sent to %s", c.Target())
	}
}

// roomAt allows calls only at the listed targets.
type roomAt map[string]bool

func (r roomAt) Room(name string) bool { return r[name] }

func TestIneligibleTargetsAreNotPicked(t *testing.T) {
	decode := []Assignment{{Kind: chat, Role: kumquatlug.RoleDecode}}
	cases := map[string]struct {
		change func(r *Router)
		query  Query
		room   Room
		want   string
	}{
		"excluded":         {query: Query{Kind: chat, Role: kumquatlug.RoleBoth, Exclude: []string{targetName(0), targetName(1)}}, want: targetName(2)},
		"no room":          {query: query(1), room: roomAt{targetName(2): true}, want: targetName(2)},
		"no room anywhere": {query: query(1), room: roomAt{}},
		"other kind":       {query: Query{Kind: kumquatlug.NewKind(kumquatlug.ProtocolEngine, "draft"), Role: kumquatlug.RoleBoth}},
		"both may decode":  {query: Query{Kind: chat, Role: kumquatlug.RoleDecode, Exclude: []string{targetName(1), targetName(2)}}, want: targetName(0)},
		"decode is not both": {
			change: func(r *Router) { r.Set(0, Candidate{Name: targetName(0), Assignments: decode}) },
			query:  Query{Kind: chat, Role: kumquatlug.RoleBoth, Exclude: []string{targetName(1), targetName(2)}},
		},
		"draining": {
			change: func(r *Router) {
				r.Set(0, Candidate{Name: targetName(0), State: StateDraining, Assignments: r.targets[targetName(0)].assignments})
			},
			query: Query{Kind: chat, Role: kumquatlug.RoleBoth, Exclude: []string{targetName(1), targetName(2)}},
		},
		"ejected": {
			change: func(r *Router) { r.SetWeight(targetName(0), 0) },
			query:  Query{Kind: chat, Role: kumquatlug.RoleBoth, Exclude: []string{targetName(1), targetName(2)}},
		},
		"removed": {
			change: func(r *Router) { r.Remove(targetName(0)); r.Remove(targetName(1)) },
			query:  query(1), want: targetName(2),
		},
	}
	for name, c := range cases {
		r := routerWithTargets(3)
		if c.change != nil {
			c.change(r)
		}
		got, ok := r.Pick(0, c.query, c.room)
		if got.Target() != c.want || ok != (c.want != "") {
			t.Errorf("%s: %q %v, want %q", name, got.Target(), ok, c.want)
		}
	}
}

func TestSlowTargetGetsProportionalShare(t *testing.T) {
	// A target has half its speed. With an equal share of the calls, it would be the
	// one where callers wait.
	r := routerWithTargets(1)
	full := pick(t, r, query(1000))
	r.SetWeight(targetName(0), 0.5)
	if half := pick(t, r, query(1000)); half.UnweightedFinish() != full.Finish() || half.Finish() != 2*full.Finish() {
		t.Errorf("at half weight: finish %d ms, %d ms at the reported speed; at full weight %d ms", half.Finish(), half.UnweightedFinish(), full.Finish())
	}
	r = routerWithTargets(4)
	r.SetWeight(targetName(0), 0.5)
	sent := map[string]int{}
	for i := range 700 {
		c := pick(t, r, query(1000))
		sent[c.Target()]++
		r.Sent(0, c.Target(), Call{ID: fmt.Sprint(i), PrefillTokens: 1000, DecodeTokens: 100})
	}
	if n := sent[targetName(0)]; n < 85 || n > 115 {
		t.Errorf("slow target got %d of 700 calls, want about 100", n)
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	r, q := busyRouter(100)
	if n := testing.AllocsPerRun(100, func() { r.Pick(500, q, nil) }); n != 0 {
		t.Errorf("Pick allocates %v times", n)
	}
}

// busyRouter has calls in flight, old reports, eight gateways and a prompt of 16 blocks
// of which half are known.
func busyRouter(n int) (*Router, Query) {
	r := routerWithTargets(n)
	r.SetGateways(8)
	keys := make([]uint64, 16)
	for i := range keys {
		keys[i] = rendezvous.Mix(uint64(i) + 1)
	}
	for i := range 4 * n {
		c := Call{ID: fmt.Sprint(i), Prefix: keys[:i%9], PrefillTokens: 100 * (i % 37), DecodeTokens: 100}
		r.Sent(kumquatlug.Millis(i%500), targetName(i%n), c)
	}
	return r, query(4096, keys...)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			r, q := busyRouter(n)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Pick(500, q, nil); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	r, _ := busyRouter(100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Report(kumquatlug.Millis(i), targetName(i%100), Load{Running: 40, Waiting: 10, Begun: 3, TakenAt: kumquatlug.Millis(i)})
	}
}

func BenchmarkCached(b *testing.B) {
	r := routerWithTargets(100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.ApplyCacheEvent(targetName(i%100), rendezvous.Mix(uint64(i/3)), int64(i/100+1), false)
	}
}

func ExampleRouter_Pick() {
	draft := kumquatlug.NewKind(kumquatlug.ProtocolEngine, "draft")
	r := New(Config{RandomSource: rand.NewPCG(1, 2), Zone: "a"})
	for _, name := range []string{"engine-1", "engine-2"} {
		r.Set(0, Candidate{Name: name, Zone: "a", Assignments: []Assignment{{Kind: draft, Role: kumquatlug.RoleBoth}}})
	}
	r.Sent(0, "engine-1", Call{ID: "document", PrefillTokens: 30000, DecodeTokens: 200})
	c, _ := r.Pick(5, Query{Kind: draft, Role: kumquatlug.RoleBoth, PrefillTokens: 800, DecodeTokens: 100}, nil)
	fmt.Println(c.Target(), c.Wait())
	// Output: engine-2 100
}

func TestEndedStreamsDoNotInflateDecodeRate(t *testing.T) {
	// Nine of ten streams end just before a report, whose tokens are those of the past
	// second. Divided by the one stream left, they make the engine look ten times as
	// fast: every gateway chooses it, and its next callers wait for their first token
	// while other engines are idle.
	r := routerWithTargets(1)
	state := r.targets[targetName(0)]
	streams := func(n float64) float64 { return n * 50 / (1 + 0.02*(n-1)) }
	for i := range 20 {
		at := kumquatlug.Millis(i) * kumquatlug.Second
		r.Report(at, state.name, Load{Running: 10, DecodeRate: streams(10), TakenAt: at, Incarnation: "x"})
	}
	if state.decodeRate < 49 || state.decodeRate > 51 {
		t.Fatalf("ten streams: decode rate of one alone %.0f tokens per second, want 50", state.decodeRate)
	}
	r.Report(20*kumquatlug.Second, state.name, Load{
		Running: 1, DecodeRate: streams(10), TakenAt: 20 * kumquatlug.Second, Incarnation: "x",
	})
	if state.decodeRate > 51 {
		t.Errorf("after nine ended: decode rate of one alone %.0f tokens per second, want 50", state.decodeRate)
	}
}
