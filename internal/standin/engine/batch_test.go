package engine

import (
	"slices"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// newIdleEngine returns an engine whose loop does not run; the test calls its
// steps.
func newIdleEngine(c Config) *Engine {
	e := New(c)
	e.loopRunning = true
	return e
}

func (e *Engine) enqueuePrompt(prompt string, total, priority int) *sequence {
	s := e.newSequence(prompt, total, 0)
	s.priority = priority
	e.enqueue(s)
	return s
}

func TestWaitingSequencesRunByPriorityThenArrival(t *testing.T) {
	e := newIdleEngine(Config{MaxBatch: 4})
	low := e.enqueuePrompt("low", 1, 0)
	first := e.enqueuePrompt("first", 1, 5)
	high := e.enqueuePrompt("high", 1, 9)
	second := e.enqueuePrompt("second", 1, 5)
	e.admit()
	if want := []*sequence{high, first, second, low}; !slices.Equal(e.running, want) {
		t.Fatalf("the batch is not in order of priority, then arrival")
	}
}

func TestFullKVMemoryBlocksLaterSequences(t *testing.T) {
	e := newIdleEngine(Config{KVTokens: 100})
	admitted := e.enqueuePrompt("held", 79, 0)
	large := e.enqueuePrompt("large", 48, 0)
	small := e.enqueuePrompt("small", 1, 0)
	e.admit()
	if !slices.Equal(e.running, []*sequence{admitted}) || !slices.Equal(e.waiting, []*sequence{large, small}) {
		t.Fatalf("%d running and %d waiting, want 1 and 2", len(e.running), len(e.waiting))
	}
	e.cancel(admitted)
	e.admit()
	if len(e.running) != 2 || e.kvUsed != large.reservedTokens+small.reservedTokens {
		t.Fatalf("%d running with %d tokens reserved after memory was released", len(e.running), e.kvUsed)
	}
}

func TestStepDurationFromPrefillAndBatchSize(t *testing.T) {
	e := newIdleEngine(Config{PrefillRate: 1000, PrefillChunk: 100, DecodeTime: 20, BatchSlope: 0.1})
	// 1,200 bytes are 300 tokens: three chunks, and the third gives a token.
	s := e.enqueuePrompt(strings.Repeat("x", 1200), 3, 0)
	e.admit()
	var durations []float64
	for !s.ended() {
		planned := e.planStep()
		durations = append(durations, planned.durationMs)
		e.applyStep(planned)
	}
	if want := []float64{100, 100, 100, 20, 20}; !slices.Equal(durations, want) {
		t.Fatalf("steps take %v ms, want %v", durations, want)
	}
	for range 11 {
		e.enqueuePrompt("x", 2, 0)
	}
	e.admit()
	e.applyStep(e.planStep())
	if planned := e.planStep(); planned.durationMs != 40 {
		t.Fatalf("a step of eleven sequences takes %v ms, want 40, twice that of one", planned.durationMs)
	}
}

func TestPrefixCacheEventsAreDelayedAndLostBySeed(t *testing.T) {
	newFilledCache := func() *prefixCache {
		c := newPrefixCache(50, 0.2, 7)
		for i := range 100 {
			c.add(PrefixHashes(strings.Repeat(string(rune('!'+i%90)), 64), 16), 5)
		}
		return c
	}
	a, b := newFilledCache(), newFilledCache()
	events := a.eventsAfter(0, 5)
	if !slices.Equal(events, b.eventsAfter(0, 5)) {
		t.Fatal("the same seed lost different events")
	}
	if n := int64(len(events)); n == 0 || n == a.lastSequence {
		t.Fatalf("%d of %d events were published, want some but not all", n, a.lastSequence)
	}
	if early := a.eventsAfter(0, 4); len(early) != 0 {
		t.Fatalf("%d events were published before their time", len(early))
	}
	if a.lru.Len() != 50 || len(a.blocks) != 50 {
		t.Fatalf("the cache holds %d blocks, want 50", a.lru.Len())
	}
}

func TestLoadReportLags(t *testing.T) {
	now := clock.NewManual(5000)
	e := newIdleEngine(Config{LoadLag: 300})
	e.clock = now
	s := e.enqueuePrompt("x", 4, 0)
	e.admit()
	for !s.ended() {
		now.Advance(10)
		e.applyStep(e.planStep())
	}
	if l := e.laggedLoad(); l.waiting+l.running != 0 || l.decodedTokens != 0 {
		t.Fatalf("the report shows work within the lag: %+v", l)
	}
	now.Advance(285)
	if l := e.laggedLoad(); l.running != 1 || l.kvUsed != s.reservedTokens || l.decodedTokens != 2 {
		t.Fatalf("report during the work: %+v", l)
	}
	now.Advance(20)
	if l := e.laggedLoad(); l.running != 0 || l.kvUsed != 0 || l.decodedTokens != 4 {
		t.Fatalf("report after the work: %+v", l)
	}
	now.Advance(rateWindow)
	if l := e.laggedLoad(); l.decodedTokens != 0 {
		t.Fatalf("the rates count work older than the window: %+v", l)
	}
}
