package engine

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// sequence is a request that is in the batch or waits for it.
type sequence struct {
	prompt   string
	priority int
	arrival  int64
	// blockHashes identify the prefix blocks of the prompt.
	blockHashes  []string
	promptTokens int
	// reservedTokens is the KV memory that the sequence holds while it runs.
	reservedTokens int
	cachedTokens   int
	// prefillLeftTokens is the number of tokens still to prefill.
	prefillLeftTokens int
	resumedTokens     int
	totalTokens       int
	producedTokens    atomic.Int64
	finished          atomic.Bool
	aborted           atomic.Bool
	wake              chan struct{}
}

func (s *sequence) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sequence) ended() bool { return s.finished.Load() || s.aborted.Load() }

// enqueue adds s to the queue, behind all sequences of the same or a higher
// priority, and starts the loop if it isn't running.
func (e *Engine) enqueue(s *sequence) {
	e.arrivals++
	s.arrival = e.arrivals
	i := sort.Search(len(e.waiting), func(i int) bool {
		return e.waiting[i].priority < s.priority
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
	e.recordLoad()
	if !e.loopRunning {
		e.loopRunning = true
		go e.loop()
	}
}

// cancel aborts s and removes it, unless it has ended. It is called when the
// handler of s returns.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ended() {
		return
	}
	s.aborted.Store(true)
	e.waiting = removeSequence(e.waiting, s)
	e.removeFromBatch(s)
	e.recordLoad()
}

// removeFromBatch removes s from the batch and frees its memory.
func (e *Engine) removeFromBatch(s *sequence) {
	before := len(e.running)
	e.running = removeSequence(e.running, s)
	if len(e.running) < before {
		e.kvUsed -= s.reservedTokens
	}
}

func removeSequence(sequences []*sequence, s *sequence) []*sequence {
	for i, x := range sequences {
		if x == s {
			return append(sequences[:i:i], sequences[i+1:]...)
		}
	}
	return sequences
}

// loop runs steps until there is no work left.
func (e *Engine) loop() {
	for {
		e.mu.Lock()
		e.admit()
		if len(e.running) == 0 {
			e.loopRunning = false
			e.mu.Unlock()
			return
		}
		planned := e.planStep()
		delay := e.stepDelay(planned.durationMs)
		e.mu.Unlock()
		time.Sleep(delay.Duration())
		e.mu.Lock()
		e.applyStep(planned)
		e.mu.Unlock()
	}
}

// admit moves waiting sequences into the batch, in queue order, while the batch
// and the KV memory have room. The first that does not fit blocks the rest, so
// that a long prompt cannot starve.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		if e.kvUsed+s.reservedTokens > e.config.KVTokens {
			return
		}
		if e.config.CrashMarker != "" && strings.Contains(s.prompt, e.config.CrashMarker) {
			e.crash(e.clock.Now())
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		e.kvUsed += s.reservedTokens
		s.cachedTokens = min(e.cachedPromptTokens(s), s.promptTokens-1)
		s.prefillLeftTokens = s.promptTokens + s.resumedTokens - s.cachedTokens
	}
}

func (e *Engine) cachedPromptTokens(s *sequence) int {
	if handle := kvHandle(s.prompt); e.imported[handle] {
		delete(e.imported, handle)
		return s.promptTokens
	}
	return e.cache.cachedBlocks(s.blockHashes) * e.config.BlockTokens
}

// step is the work of one step of the batch.
type step struct {
	prefill []prefillChunk
	decode  []*sequence
	// durationMs is the duration of the step in ms.
	durationMs float64
}

type prefillChunk struct {
	sequence *sequence
	tokens   int
}

// planStep distributes the step's prefill tokens in batch order and schedules
// one token for every sequence whose prompt is prefilled.
func (e *Engine) planStep() step {
	var planned step
	budget := e.config.PrefillChunk
	for _, s := range e.running {
		if s.prefillLeftTokens == 0 {
			planned.decode = append(planned.decode, s)
			continue
		}
		if budget == 0 {
			continue
		}
		n := min(budget, s.prefillLeftTokens)
		budget -= n
		planned.prefill = append(planned.prefill, prefillChunk{sequence: s, tokens: n})
	}
	prefilled := e.config.PrefillChunk - budget
	planned.durationMs = float64(prefilled) * float64(kumquatlug.Second) / float64(e.config.PrefillRate)
	if n := len(planned.decode); n > 0 {
		planned.durationMs += e.config.DecodeTime * (1 + e.config.BatchSlope*float64(n-1))
	}
	planned.durationMs = max(planned.durationMs, e.config.MinStepTime) * e.config.TimeScale
	return planned
}

// stepDelay returns how long to wait for a step of durationMs. It counts
// from the scheduled end of the last step, so that late timers do not add up,
// unless the loop is more than maxLagMs behind.
func (e *Engine) stepDelay(durationMs float64) kumquatlug.Millis {
	now := float64(e.clock.Now())
	const maxLagMs = 20
	if e.stepEndMs < now-maxLagMs {
		e.stepEndMs = now
	}
	e.stepEndMs += durationMs
	return kumquatlug.Millis(max(0, e.stepEndMs-now))
}

// applyStep updates the sequences of a completed step.
func (e *Engine) applyStep(planned step) {
	now := e.clock.Now()
	for _, c := range planned.prefill {
		if c.sequence.ended() {
			continue
		}
		c.sequence.prefillLeftTokens -= c.tokens
		e.prefilledTokens += int64(c.tokens)
		if c.sequence.prefillLeftTokens == 0 {
			e.cache.add(c.sequence.blockHashes, now)
			e.emitToken(c.sequence)
		}
	}
	for _, s := range planned.decode {
		if !s.ended() {
			e.emitToken(s)
		}
	}
	e.recordLoad()
}

// emitToken produces the next token of s and finishes s after its last one.
func (e *Engine) emitToken(s *sequence) {
	if s.producedTokens.Load() < int64(s.totalTokens) {
		s.producedTokens.Add(1)
		e.decodedTokens++
	}
	if s.producedTokens.Load() >= int64(s.totalTokens) {
		s.finished.Store(true)
		e.removeFromBatch(s)
	}
	s.notify()
}

// abortAll aborts every request in flight and returns their number.
func (e *Engine) abortAll() int {
	all := append(e.running, e.waiting...)
	e.running, e.waiting, e.kvUsed = nil, nil, 0
	for _, s := range all {
		s.aborted.Store(true)
		s.notify()
	}
	e.recordLoad()
	return len(all)
}

// crash aborts all requests and discards caches and loaded models. The engine
// is down until its restart time has passed.
func (e *Engine) crash(now kumquatlug.Millis) {
	e.crashes++
	e.downUntil = now + e.scaled(e.config.RestartTime)
	e.abortAll()
	e.cache.clear()
	e.imported = map[string]bool{}
	e.orders.restart(e.config.Role)
	e.models = append([]string(nil), e.config.Models...)
}

func (e *Engine) scaled(duration kumquatlug.Millis) kumquatlug.Millis {
	return kumquatlug.Millis(float64(duration) * e.config.TimeScale)
}

// loadSample is the load at a point in time.
type loadSample struct {
	at              kumquatlug.Millis
	running         int
	waiting         int
	kvUsed          int
	prefilledTokens int64
	decodedTokens   int64
}

// recordLoad samples the load for lagging reports. It keeps only the last
// sample of each millisecond and drops those too old for any report.
func (e *Engine) recordLoad() {
	now := e.clock.Now()
	sample := loadSample{
		at: now, running: len(e.running), waiting: len(e.waiting), kvUsed: e.kvUsed,
		prefilledTokens: e.prefilledTokens, decodedTokens: e.decodedTokens,
	}
	if n := len(e.samples); n > 0 && e.samples[n-1].at == now {
		e.samples[n-1] = sample
		return
	}
	e.samples = append(e.samples, sample)
	oldest := now - e.config.LoadLag - rateWindow
	for len(e.samples) > 1 && e.samples[1].at <= oldest {
		e.samples = e.samples[1:]
	}
}

// laggedLoad returns the load as of LoadLag ago. Its token counts cover the
// rate window before that time, not the engine's whole uptime.
func (e *Engine) laggedLoad() loadSample {
	at := e.clock.Now() - e.config.LoadLag
	current := e.loadAt(at)
	previous := e.loadAt(at - rateWindow)
	current.prefilledTokens -= previous.prefilledTokens
	current.decodedTokens -= previous.decodedTokens
	return current
}

// loadAt returns the load at a point in time.
func (e *Engine) loadAt(at kumquatlug.Millis) loadSample {
	i := sort.Search(len(e.samples), func(i int) bool { return e.samples[i].at > at })
	if i == 0 {
		return loadSample{at: at}
	}
	return e.samples[i-1]
}
