package engine

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// sequence is one request in the batch or waiting for it.
type sequence struct {
	prompt   string
	priority int
	arrival  int64
	// names are the prefix blocks of the prompt.
	names        []string
	promptTokens int
	// reserved is the KV memory the sequence holds while it runs.
	reserved int
	cached   int
	// left is how many tokens must still be prefilled.
	left     int
	resumed  int
	total    int
	produced atomic.Int64
	finished atomic.Bool
	cut      atomic.Bool
	wake     chan struct{}
}

func (s *sequence) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sequence) ended() bool { return s.finished.Load() || s.cut.Load() }

// submit puts s in line, behind those of its priority and above, and starts the
// loop if it rests.
func (e *Engine) submit(s *sequence) {
	e.arrivals++
	s.arrival = e.arrivals
	i := sort.Search(len(e.waiting), func(i int) bool {
		return e.waiting[i].priority < s.priority
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = s
	e.sample()
	if !e.looping {
		e.looping = true
		go e.loop()
	}
}

// drop takes s out, when its caller has left.
func (e *Engine) drop(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ended() {
		return
	}
	s.cut.Store(true)
	e.waiting = without(e.waiting, s)
	e.release(s)
	e.sample()
}

// release takes s out of the batch and frees its memory.
func (e *Engine) release(s *sequence) {
	before := len(e.running)
	e.running = without(e.running, s)
	if len(e.running) < before {
		e.kvUsed -= s.reserved
	}
}

func without(all []*sequence, s *sequence) []*sequence {
	for i, x := range all {
		if x == s {
			return append(all[:i:i], all[i+1:]...)
		}
	}
	return all
}

// loop runs steps until no work is left.
func (e *Engine) loop() {
	for {
		e.mu.Lock()
		e.admit()
		if len(e.running) == 0 {
			e.looping = false
			e.mu.Unlock()
			return
		}
		work := e.plan()
		pause := e.pace(work.cost)
		e.mu.Unlock()
		time.Sleep(pause.Duration())
		e.mu.Lock()
		e.apply(work)
		e.mu.Unlock()
	}
}

// admit moves waiting sequences into the batch, in their order, while the KV
// memory and the batch have room. The first that does not fit holds back the
// rest, so that a long prompt is not overtaken for ever.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		s := e.waiting[0]
		if e.kvUsed+s.reserved > e.config.KVTokens {
			return
		}
		if e.config.CrashMark != "" && strings.Contains(s.prompt, e.config.CrashMark) {
			e.crash(e.clock.Now())
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		e.kvUsed += s.reserved
		s.cached = min(e.cachedTokens(s), s.promptTokens-1)
		s.left = s.promptTokens + s.resumed - s.cached
	}
}

func (e *Engine) cachedTokens(s *sequence) int {
	if handle := handleOf(s.prompt); e.imported[handle] {
		delete(e.imported, handle)
		return s.promptTokens
	}
	return e.cache.hits(s.names) * e.config.BlockTokens
}

// work is what one step of the batch does.
type work struct {
	prefill []chunk
	decode  []*sequence
	// cost is how long the step takes, in milliseconds.
	cost float64
}

type chunk struct {
	sequence *sequence
	tokens   int
}

// plan shares the step's prefill tokens out in order of arrival in the batch
// and gives one token to every sequence whose prompt is done.
func (e *Engine) plan() work {
	var w work
	budget := e.config.PrefillChunk
	for _, s := range e.running {
		if s.left == 0 {
			w.decode = append(w.decode, s)
			continue
		}
		if budget == 0 {
			continue
		}
		n := min(budget, s.left)
		budget -= n
		w.prefill = append(w.prefill, chunk{sequence: s, tokens: n})
	}
	prefilled := e.config.PrefillChunk - budget
	w.cost = float64(prefilled) * float64(kumquatlug.Second) / float64(e.config.PrefillRate)
	if n := len(w.decode); n > 0 {
		w.cost += e.config.DecodeTime * (1 + e.config.BatchSlope*float64(n-1))
	}
	w.cost = max(w.cost, e.config.LeastStep) * e.config.TimeScale
	return w
}

// pace returns how long to wait for a step of the given cost. It counts on
// from when the last step was due, so that late timers don't add up.
func (e *Engine) pace(cost float64) kumquatlug.Millis {
	now := float64(e.clock.Now())
	const behind = 20
	if e.due < now-behind {
		e.due = now
	}
	e.due += cost
	return kumquatlug.Millis(max(0, e.due-now))
}

// apply carries out what a step did.
func (e *Engine) apply(w work) {
	now := e.clock.Now()
	for _, c := range w.prefill {
		if c.sequence.ended() {
			continue
		}
		c.sequence.left -= c.tokens
		e.prefilled += int64(c.tokens)
		if c.sequence.left == 0 {
			e.cache.add(c.sequence.names, now)
			e.produce(c.sequence)
		}
	}
	for _, s := range w.decode {
		if !s.ended() {
			e.produce(s)
		}
	}
	e.sample()
}

// produce gives s its next token, or ends it when it has all.
func (e *Engine) produce(s *sequence) {
	if s.produced.Load() < int64(s.total) {
		s.produced.Add(1)
		e.decoded++
	}
	if s.produced.Load() >= int64(s.total) {
		s.finished.Store(true)
		e.release(s)
	}
	s.signal()
}

// cutAll cuts every connection in hand and returns how many there were.
func (e *Engine) cutAll() int {
	all := append(e.running, e.waiting...)
	e.running, e.waiting, e.kvUsed = nil, nil, 0
	for _, s := range all {
		s.cut.Store(true)
		s.signal()
	}
	e.sample()
	return len(all)
}

// crash loses everything that the engine held. It answers nothing until its
// restart time has passed.
func (e *Engine) crash(now kumquatlug.Millis) {
	e.crashes++
	e.downUntil = now + e.scaled(e.config.RestartTime)
	e.cutAll()
	e.cache.clear()
	e.imported = map[string]bool{}
	e.orders.restart(e.config.Role)
	e.models = append([]string(nil), e.config.Models...)
}

func (e *Engine) scaled(span kumquatlug.Millis) kumquatlug.Millis {
	return kumquatlug.Millis(float64(span) * e.config.TimeScale)
}

// load is what a load report says.
type load struct {
	at        kumquatlug.Millis
	running   int
	waiting   int
	kvUsed    int
	prefilled int64
	decoded   int64
}

// sample notes the load for reports that lag. Only the last in a millisecond
// is kept, and none that no report can need any more.
func (e *Engine) sample() {
	now := e.clock.Now()
	l := load{
		at: now, running: len(e.running), waiting: len(e.waiting), kvUsed: e.kvUsed,
		prefilled: e.prefilled, decoded: e.decoded,
	}
	if n := len(e.samples); n > 0 && e.samples[n-1].at == now {
		e.samples[n-1] = l
		return
	}
	e.samples = append(e.samples, l)
	oldest := now - e.config.LoadLag - rateWindow
	for len(e.samples) > 1 && e.samples[1].at <= oldest {
		e.samples = e.samples[1:]
	}
}

// reported returns the load as it was one lag ago, with the tokens of the rate
// window before that in place of all.
func (e *Engine) reported() load {
	at := e.clock.Now() - e.config.LoadLag
	l := e.loadAt(at)
	before := e.loadAt(at - rateWindow)
	l.prefilled -= before.prefilled
	l.decoded -= before.decoded
	return l
}

// loadAt returns the load as it was at a time.
func (e *Engine) loadAt(at kumquatlug.Millis) load {
	i := sort.Search(len(e.samples), func(i int) bool { return e.samples[i].at > at })
	if i == 0 {
		return load{at: at}
	}
	return e.samples[i-1]
}
