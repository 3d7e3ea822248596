package experiment

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The simulated engine: a mid-sized model on one accelerator, in round numbers.
const (
	prefillTokensPerSecond = 8000.0
	// decodeTokensPerSecond is the decode rate of a single stream.
	decodeTokensPerSecond = 50.0
	// slowdownPerStream is the fraction by which each additional stream lengthens a decode
	// step.
	slowdownPerStream = 0.02
	maxBatchSize      = 64
	kvCapacityTokens  = 120_000
	// prefixCacheTokens is the capacity of the prefix cache.
	prefixCacheTokens = 24_000
	// maxPrefillFraction is the maximum fraction of a time step that prefill uses while
	// streams are decoding.
	maxPrefillFraction = 0.5
	// kvTransferTokensPerSecond is the rate of KV transfers from a prefill engine to a
	// decode engine.
	kvTransferTokensPerSecond = 200_000.0
)

// batchDecodeRate returns the decode rate of a whole batch, in tokens per second.
func batchDecodeRate(batch float64) float64 {
	return batch * decodeTokensPerSecond / (1 + slowdownPerStream*(batch-1))
}

// eventKind is the kind of a [callEvent].
type eventKind string

const (
	eventFirstToken eventKind = "first"
	eventProgress   eventKind = "progress"
	eventPrefilled  eventKind = "prefilled"
	eventDone       eventKind = "done"
	eventLost       eventKind = "lost"
	eventCrash      eventKind = "crash"
	// eventRejected: the agent rejected a call that had waited at its gate.
	eventRejected eventKind = "turned-away"
)

// callEvent is an event of a call at an engine. tokens is the number of tokens processed
// since the previous event.
type callEvent struct {
	kind   eventKind
	call   *call
	engine *engine
	tokens int
}

// loadReport is a target's state at one time. Rates are in tokens per second.
type loadReport struct {
	target         string
	zone           string
	role           kumquatlug.Role
	ready          bool
	alive          bool
	incarnation    int
	takenAt        kumquatlug.Millis
	startedCalls   [gatewayCount]int64
	nextRole       kumquatlug.Role
	running        int
	waiting        int
	kvUsed         int
	prefillRate    float64
	decodeRate     float64
	cachedPrefixes []uint64
}

// engine simulates one engine and holds its agent.
type engine struct {
	name        string
	zone        string
	role        kumquatlug.Role
	speed       float64
	incarnation int
	downUntil   kumquatlug.Millis
	down        bool
	agent       *agent
	// nextRole is the role to which the engine changes, empty if none. It drains first;
	// offlineUntil is the end of the change after that.
	nextRole      kumquatlug.Role
	offlineUntil  kumquatlug.Millis
	running       []*call
	waiting       []*call
	crashingCall  *call
	startedCalls  [gatewayCount]int64
	cache         prefixCache
	events        []callEvent
	prefillTokens float64
	decodeTokens  float64
	measuredAt    kumquatlug.Millis
}

func newEngine(n int, role kumquatlug.Role) *engine {
	return &engine{
		name: fmt.Sprintf("engine-%02d", n), zone: fmt.Sprintf("zone-%d", n%3), role: role,
		speed: 1, incarnation: 1,
	}
}

func (e *engine) offline() bool { return e.offlineUntil > 0 }

func (e *engine) acceptsCalls() bool { return !e.down && e.nextRole == "" && !e.offline() }

func (e *engine) accept(now kumquatlug.Millis, c *call) {
	c.kvReadyAt = now
	if c.prefilled {
		c.kvReadyAt += kumquatlug.Millis(float64(c.promptTokens) / kvTransferTokensPerSecond * 1000)
	} else {
		c.prefillLeftTokens = float64(c.promptTokens) + c.generated
	}
	e.waiting = append(e.waiting, c)
}

func (e *engine) remove(c *call) {
	e.running = removeCall(e.running, c)
	e.waiting = removeCall(e.waiting, c)
}

func removeCall(list []*call, c *call) []*call {
	for n := range list {
		if list[n] == c {
			return append(list[:n], list[n+1:]...)
		}
	}
	return list
}

// crash stops the engine and returns the calls in flight, which are lost.
func (e *engine) crash(until kumquatlug.Millis) []*call {
	lost := append(append([]*call{}, e.running...), e.waiting...)
	for _, c := range lost {
		c.prefilled = false
	}
	e.running, e.waiting = nil, nil
	e.down, e.downUntil = true, until
	e.cache = prefixCache{}
	e.nextRole = ""
	return lost
}

// startRoleChange begins a role change: the engine drains and is then offline for
// [roleChangeTime]. It returns false if the engine can't change to the role now.
func (e *engine) startRoleChange(role kumquatlug.Role) bool {
	if !e.acceptsCalls() || e.role == role {
		return false
	}
	e.nextRole = role
	return true
}

// step advances the engine by one time step and returns the events, which are valid until
// the next step.
func (e *engine) step(now kumquatlug.Millis) []callEvent {
	e.events = e.events[:0]
	if e.down {
		e.restart(now)
		return nil
	}
	e.advanceRoleChange(now)
	e.admit(now)
	seconds := float64(timeStep) / 1000 * e.speed
	prefillFraction := e.prefill(seconds)
	e.decode(seconds * (1 - prefillFraction))
	e.preempt()
	if e.crashingCall != nil {
		e.emit(eventCrash, e.crashingCall, 0)
		e.crashingCall = nil
	}
	return e.events
}

func (e *engine) restart(now kumquatlug.Millis) {
	if now >= e.downUntil {
		e.down = false
		e.incarnation++
		e.startedCalls = [gatewayCount]int64{}
	}
}

// roleChangeTime is the time during which a role change takes an engine offline after it has
// drained.
const roleChangeTime = 6 * kumquatlug.Second

func (e *engine) advanceRoleChange(now kumquatlug.Millis) {
	if e.nextRole != "" && !e.offline() && len(e.running)+len(e.waiting) == 0 {
		e.offlineUntil = now + roleChangeTime
	}
	if e.offline() && now >= e.offlineUntil {
		e.role, e.nextRole, e.offlineUntil = e.nextRole, "", 0
	}
}

// admit adds waiting calls to the batch while there is memory for their prompts.
func (e *engine) admit(now kumquatlug.Millis) {
	used := e.kvUsed()
	for len(e.waiting) > 0 && len(e.running) < maxBatchSize {
		c := e.waiting[0]
		needed := float64(c.promptTokens) + c.generated
		if used+needed > kvCapacityTokens || now < c.kvReadyAt {
			return
		}
		used += needed
		e.waiting = e.waiting[1:]
		e.running = append(e.running, c)
		c.startedAt = now
		if !c.prefilled && c.prefixID != 0 && e.cache.has(c.prefixID) {
			c.prefillLeftTokens = max(c.prefillLeftTokens-float64(c.prefixTokens), 1)
		}
	}
}

func (e *engine) kvUsed() float64 {
	used := 0.0
	for _, c := range e.running {
		used += float64(c.promptTokens) + c.generated
	}
	return used
}

// prefill runs prefill by priority and returns the fraction of the time step that it used.
func (e *engine) prefill(seconds float64) float64 {
	fraction := 1.0
	if e.decodingCalls() > 0 {
		fraction = maxPrefillFraction
	}
	budget := prefillTokensPerSecond * seconds * fraction
	remaining := budget
	for c := e.nextPrompt(); c != nil && remaining > 0 && e.crashingCall == nil; c = e.nextPrompt() {
		tokens := min(remaining, c.prefillLeftTokens)
		remaining -= tokens
		c.prefillLeftTokens -= tokens
		switch {
		case c.prefillLeftTokens <= 0 && c.crasher:
			e.crashingCall = c
		case c.prefillLeftTokens <= 0:
			e.finishPrefill(c)
		}
	}
	e.prefillTokens += budget - remaining
	e.removePrefilled()
	return fraction * (budget - remaining) / budget
}

// nextPrompt returns the call with the highest priority that is not prefilled, the first one
// if several have the same priority.
func (e *engine) nextPrompt() *call {
	var found *call
	for _, c := range e.running {
		if !c.prefilled && (found == nil || c.enginePriority > found.enginePriority) {
			found = c
		}
	}
	return found
}

func (e *engine) finishPrefill(c *call) {
	c.prefilled = true
	if c.prefixID != 0 {
		e.cache.put(c.prefixID, c.prefixTokens)
	}
	if e.role == kumquatlug.RolePrefill {
		e.emit(eventPrefilled, c, c.promptTokens)
		return
	}
	e.emit(eventFirstToken, c, c.promptTokens)
}

// removePrefilled removes the prefilled calls of a prefill engine, which another engine
// decodes.
func (e *engine) removePrefilled() {
	if e.role != kumquatlug.RolePrefill {
		return
	}
	kept := e.running[:0]
	for _, c := range e.running {
		if !c.prefilled {
			kept = append(kept, c)
		}
	}
	e.running = kept
}

func (e *engine) decodingCalls() int {
	n := 0
	for _, c := range e.running {
		if c.prefilled {
			n++
		}
	}
	return n
}

// decode advances each stream and removes those that are complete.
func (e *engine) decode(seconds float64) {
	batch := float64(e.decodingCalls())
	if batch == 0 {
		return
	}
	tokens := batchDecodeRate(batch) / batch * seconds
	kept := e.running[:0]
	for _, c := range e.running {
		if c.prefilled {
			c.generated += tokens
			e.decodeTokens += tokens
		}
		if c.prefilled && c.generated >= float64(c.outputTokens) {
			e.emit(eventDone, c, c.outputTokens-c.streamed)
			continue
		}
		if generated := int(c.generated); c.prefilled && generated-c.streamed >= progressTokens {
			e.emit(eventProgress, c, generated-c.streamed)
			c.streamed = generated
		}
		kept = append(kept, c)
	}
	e.running = kept
}

// progressTokens is the number of tokens per chunk of a stream.
const progressTokens = 10

// preempt moves the newest calls back to the waiting ones while the KV memory overflows.
// Their KV cache is recomputed.
func (e *engine) preempt() {
	for e.kvUsed() > kvCapacityTokens && len(e.running) > 1 {
		last := len(e.running) - 1
		c := e.running[last]
		e.running = e.running[:last]
		c.prefilled = false
		c.prefillLeftTokens = float64(c.promptTokens) + c.generated
		e.waiting = append([]*call{c}, e.waiting...)
	}
}

func (e *engine) emit(kind eventKind, c *call, tokens int) {
	e.events = append(e.events, callEvent{kind: kind, call: c, engine: e, tokens: tokens})
}

// takeReport returns the current load and restarts the measurement of rates.
func (e *engine) takeReport(now kumquatlug.Millis) loadReport {
	r := loadReport{
		target: e.name, zone: e.zone, role: e.role, nextRole: e.nextRole, ready: e.acceptsCalls(), alive: !e.down, incarnation: e.incarnation,
		takenAt: now, startedCalls: e.startedCalls, running: len(e.running), waiting: len(e.waiting), kvUsed: int(e.kvUsed()),
		cachedPrefixes: e.cache.keys(),
	}
	if seconds := float64(now-e.measuredAt) / 1000; seconds > 0 {
		r.prefillRate, r.decodeRate = e.prefillTokens/seconds, e.decodeTokens/seconds
	}
	e.prefillTokens, e.decodeTokens, e.measuredAt = 0, 0, now
	return r
}

// prefixCache is an LRU cache of prefixes; the last entry is the most recently used.
type prefixCache struct {
	entries []cachedPrefix
	tokens  int
}

type cachedPrefix struct {
	key    uint64
	tokens int
}

func (p *prefixCache) has(key uint64) bool {
	for n, entry := range p.entries {
		if entry.key == key {
			p.entries = append(append(p.entries[:n], p.entries[n+1:]...), entry)
			return true
		}
	}
	return false
}

func (p *prefixCache) put(key uint64, tokens int) {
	if p.has(key) {
		return
	}
	p.entries = append(p.entries, cachedPrefix{key: key, tokens: tokens})
	p.tokens += tokens
	for p.tokens > prefixCacheTokens {
		p.tokens -= p.entries[0].tokens
		p.entries = p.entries[1:]
	}
}

func (p *prefixCache) keys() []uint64 {
	keys := make([]uint64, 0, len(p.entries))
	for _, entry := range p.entries {
		keys = append(keys, entry.key)
	}
	return keys
}
