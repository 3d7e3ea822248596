package engine

import (
	"slices"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// resting returns an engine whose loop a test runs by hand.
func resting(c Config) *Engine {
	e := New(c)
	e.looping = true
	return e
}

func (e *Engine) queue(prompt string, total, priority int) *sequence {
	s := e.newSequence(prompt, total, 0)
	s.priority = priority
	e.submit(s)
	return s
}

func TestWaitingSequencesRunByPriorityThenArrival(t *testing.T) {
	e := resting(Config{MaxBatch: 4})
	low := e.queue("low", 1, 0)
	first := e.queue("first", 1, 5)
	high := e.queue("high", 1, 9)
	second := e.queue("second", 1, 5)
	e.admit()
	if want := []*sequence{high, first, second, low}; !slices.Equal(e.running, want) {
		t.Fatalf("the batch was filled in another order")
	}
}

func TestFullMemoryHoldsBackTheRest(t *testing.T) {
	e := resting(Config{KVTokens: 100})
	held := e.queue("held", 79, 0)
	large := e.queue("large", 48, 0)
	small := e.queue("small", 1, 0)
	e.admit()
	if !slices.Equal(e.running, []*sequence{held}) || !slices.Equal(e.waiting, []*sequence{large, small}) {
		t.Fatalf("%d run and %d wait, not one and two", len(e.running), len(e.waiting))
	}
	e.drop(held)
	e.admit()
	if len(e.running) != 2 || e.kvUsed != large.reserved+small.reserved {
		t.Fatalf("%d run with %d tokens held after memory came free", len(e.running), e.kvUsed)
	}
}

func TestStepCostsPrefillAndBatch(t *testing.T) {
	e := resting(Config{PrefillRate: 1000, PrefillChunk: 100, DecodeTime: 20, BatchSlope: 0.1})
	// 1,200 bytes are 300 tokens: three chunks, and the third gives a token.
	s := e.queue(strings.Repeat("x", 1200), 3, 0)
	e.admit()
	var costs []float64
	for !s.ended() {
		w := e.plan()
		costs = append(costs, w.cost)
		e.apply(w)
	}
	if want := []float64{100, 100, 100, 20, 20}; !slices.Equal(costs, want) {
		t.Fatalf("steps cost %v ms, not %v", costs, want)
	}
	for range 11 {
		e.queue("x", 2, 0)
	}
	e.admit()
	e.apply(e.plan())
	if w := e.plan(); w.cost != 40 {
		t.Fatalf("a step of eleven costs %v ms, not twice that of one", w.cost)
	}
}

func TestPrefixCacheReportsLateAndWithTheSameGaps(t *testing.T) {
	fill := func() *prefixCache {
		c := newPrefixCache(50, 0.2, 7)
		for i := range 100 {
			c.add(Prefixes(strings.Repeat(string(rune('!'+i%90)), 64), 16), 5)
		}
		return c
	}
	a, b := fill(), fill()
	events := a.since(0, 5)
	if !slices.Equal(events, b.since(0, 5)) {
		t.Fatal("the same seed lost other events")
	}
	if n := int64(len(events)); n == 0 || n == a.sequence {
		t.Fatalf("%d of %d events were published", n, a.sequence)
	}
	if early := a.since(0, 4); len(early) != 0 {
		t.Fatalf("%d events were seen before their time", len(early))
	}
	if a.order.Len() != 50 || len(a.blocks) != 50 {
		t.Fatalf("the cache holds %d blocks", a.order.Len())
	}
}

func TestLoadReportLags(t *testing.T) {
	now := clock.NewManual(5000)
	e := resting(Config{LoadLag: 300})
	e.clock = now
	s := e.queue("x", 4, 0)
	e.admit()
	for !s.ended() {
		now.Advance(10)
		e.apply(e.plan())
	}
	if l := e.reported(); l.waiting+l.running != 0 || l.decoded != 0 {
		t.Fatalf("the work shows before the lag: %+v", l)
	}
	now.Advance(285)
	if l := e.reported(); l.running != 1 || l.kvUsed != s.reserved || l.decoded != 2 {
		t.Fatalf("in mid work: %+v", l)
	}
	now.Advance(20)
	if l := e.reported(); l.running != 0 || l.kvUsed != 0 || l.decoded != 4 {
		t.Fatalf("after the work: %+v", l)
	}
	now.Advance(rateWindow)
	if l := e.reported(); l.decoded != 0 {
		t.Fatalf("old work still counts in the rates: %+v", l)
	}
}
