package experiment

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The fake engine: a mid-sized model on one accelerator, in round figures.
const (
	// prefillRate is prompt tokens a second.
	prefillRate = 8000.0
	// decodeRate is tokens a second of a stream alone.
	decodeRate = 50.0
	// batchSlowdown is by how much each more stream slows all.
	batchSlowdown = 0.02
	maxBatch      = 64
	kvTokens      = 120_000
	// cacheTokens is the memory for prompt prefixes.
	cacheTokens = 24_000
	// prefillPart is the part of a round that prompts may take from streams
	// that are under way.
	prefillPart = 0.5
	// handOver is KV tokens a second from a prefill to a decode engine.
	handOver = 200_000.0
)

// decodeRateAt is tokens a second over all streams of a batch.
func decodeRateAt(batch float64) float64 {
	return batch * decodeRate / (1 + batchSlowdown*(batch-1))
}

// eventName is what an engine tells of a call.
type eventName string

const (
	eventFirst     eventName = "first"
	eventProgress  eventName = "progress"
	eventPrefilled eventName = "prefilled"
	eventDone      eventName = "done"
	eventLost      eventName = "lost"
	eventCrash     eventName = "crash"
	// eventTurnedAway: the agent did not let it begin after all.
	eventTurnedAway eventName = "turned-away"
)

// event is something that happened to a call at an engine. tokens is what was
// made since the last one.
type event struct {
	name   eventName
	call   *call
	engine *engine
	tokens int
}

// report is a target's load as it was at a moment.
type report struct {
	target      string
	zone        string
	role        kumquatlug.Role
	ready       bool
	alive       bool
	incarnation int
	taken       kumquatlug.Millis
	begun       [entryCount]int64
	changing    kumquatlug.Role
	running     int
	waiting     int
	kvUsed      int
	prefills    float64
	decodes     float64
	cached      []uint64
}

// engine is a fake of one engine with its agent.
type engine struct {
	name        string
	zone        string
	role        kumquatlug.Role
	speed       float64
	incarnation int
	deadUntil   kumquatlug.Millis
	dead        bool
	agent       *agent
	// changing is the role that it drains for, awayUntil the end of the change.
	changing  kumquatlug.Role
	awayUntil kumquatlug.Millis
	running   []*call
	waiting   []*call
	crashing  *call
	begun     [entryCount]int64
	cache     prefixCache
	events    []event
	prefills  float64
	decodes   float64
	measured  kumquatlug.Millis
}

func newEngine(n int, role kumquatlug.Role) *engine {
	return &engine{
		name: fmt.Sprintf("engine-%02d", n), zone: fmt.Sprintf("zone-%d", n%3), role: role,
		speed: 1, incarnation: 1,
	}
}

func (e *engine) away() bool { return e.awayUntil > 0 }

func (e *engine) accepts() bool { return !e.dead && e.changing == "" && !e.away() }

func (e *engine) accept(now kumquatlug.Millis, c *call) {
	c.imported = now
	if c.prefilled {
		c.imported += kumquatlug.Millis(float64(c.prompt) / handOver * 1000)
	} else {
		c.left = float64(c.prompt) + c.made
	}
	e.waiting = append(e.waiting, c)
}

func (e *engine) drop(c *call) {
	e.running = without(e.running, c)
	e.waiting = without(e.waiting, c)
}

func without(list []*call, c *call) []*call {
	for n := range list {
		if list[n] == c {
			return append(list[:n], list[n+1:]...)
		}
	}
	return list
}

// crash loses all that is in hand and returns it.
func (e *engine) crash(until kumquatlug.Millis) []*call {
	lost := append(append([]*call{}, e.running...), e.waiting...)
	for _, c := range lost {
		c.prefilled = false
	}
	e.running, e.waiting = nil, nil
	e.dead, e.deadUntil = true, until
	e.cache = prefixCache{}
	e.changing = ""
	return lost
}

// change begins a change of role: it drains first and is then away.
func (e *engine) change(role kumquatlug.Role) bool {
	if !e.accepts() || e.role == role {
		return false
	}
	e.changing = role
	return true
}

// run moves the engine by one round and returns what happened, valid until the
// next round.
func (e *engine) run(now kumquatlug.Millis) []event {
	e.events = e.events[:0]
	if e.dead {
		e.restart(now)
		return nil
	}
	e.changeRole(now)
	e.admit(now)
	span := float64(round) / 1000 * e.speed
	used := e.prefill(span)
	e.decode(span * (1 - used))
	e.preempt()
	if e.crashing != nil {
		e.tell(eventCrash, e.crashing, 0)
		e.crashing = nil
	}
	return e.events
}

func (e *engine) restart(now kumquatlug.Millis) {
	if now >= e.deadUntil {
		e.dead = false
		e.incarnation++
		e.begun = [entryCount]int64{}
	}
}

// roleChange is how long a change of role takes an engine away, after it has
// drained.
const roleChange = 6 * kumquatlug.Second

func (e *engine) changeRole(now kumquatlug.Millis) {
	if e.changing != "" && !e.away() && len(e.running)+len(e.waiting) == 0 {
		e.awayUntil = now + roleChange
	}
	if e.away() && now >= e.awayUntil {
		e.role, e.changing, e.awayUntil = e.changing, "", 0
	}
}

// admit takes waiting calls into the batch while there is memory for their
// prompts.
func (e *engine) admit(now kumquatlug.Millis) {
	used := e.kvUsed()
	for len(e.waiting) > 0 && len(e.running) < maxBatch {
		c := e.waiting[0]
		need := float64(c.prompt) + c.made
		if used+need > kvTokens || now < c.imported {
			return
		}
		used += need
		e.waiting = e.waiting[1:]
		e.running = append(e.running, c)
		c.started = now
		if !c.prefilled && c.prefix != 0 && e.cache.has(c.prefix) {
			c.left = max(c.left-float64(c.shared), 1)
		}
	}
}

func (e *engine) kvUsed() float64 {
	used := 0.0
	for _, c := range e.running {
		used += float64(c.prompt) + c.made
	}
	return used
}

// prefill runs prompts in their order and returns the part of the round used.
func (e *engine) prefill(span float64) float64 {
	part := 1.0
	if e.streams() > 0 {
		part = prefillPart
	}
	budget := prefillRate * span * part
	left := budget
	for c := e.nextPrompt(); c != nil && left > 0 && e.crashing == nil; c = e.nextPrompt() {
		done := min(left, c.left)
		left -= done
		c.left -= done
		switch {
		case c.left <= 0 && c.crasher:
			e.crashing = c
		case c.left <= 0:
			e.prompted(c)
		}
	}
	e.prefills += budget - left
	e.settle()
	return part * (budget - left) / budget
}

// nextPrompt returns the prompt of the highest priority, the first of equals.
func (e *engine) nextPrompt() *call {
	var found *call
	for _, c := range e.running {
		if !c.prefilled && (found == nil || c.priority > found.priority) {
			found = c
		}
	}
	return found
}

func (e *engine) prompted(c *call) {
	c.prefilled = true
	if c.prefix != 0 {
		e.cache.put(c.prefix, c.shared)
	}
	if e.role == kumquatlug.RolePrefill {
		e.tell(eventPrefilled, c, c.prompt)
		return
	}
	e.tell(eventFirst, c, c.prompt)
}

// settle takes out calls whose prompts were for another engine's decoding.
func (e *engine) settle() {
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

func (e *engine) streams() int {
	n := 0
	for _, c := range e.running {
		if c.prefilled {
			n++
		}
	}
	return n
}

// decode moves each stream on; one that is done leaves.
func (e *engine) decode(span float64) {
	streams := float64(e.streams())
	if streams == 0 {
		return
	}
	step := decodeRateAt(streams) / streams * span
	kept := e.running[:0]
	for _, c := range e.running {
		if c.prefilled {
			c.made += step
			e.decodes += step
		}
		if c.prefilled && c.made >= float64(c.output) {
			e.tell(eventDone, c, c.output-c.told)
			continue
		}
		if made := int(c.made); c.prefilled && made-c.told >= progressTokens {
			e.tell(eventProgress, c, made-c.told)
			c.told = made
		}
		kept = append(kept, c)
	}
	e.running = kept
}

// progressTokens is how many tokens come in one piece of a stream.
const progressTokens = 10

// preempt throws out the youngest when the memory overflows; what it had is
// computed anew.
func (e *engine) preempt() {
	for e.kvUsed() > kvTokens && len(e.running) > 1 {
		last := len(e.running) - 1
		c := e.running[last]
		e.running = e.running[:last]
		c.prefilled = false
		c.left = float64(c.prompt) + c.made
		e.waiting = append([]*call{c}, e.waiting...)
	}
}

func (e *engine) tell(name eventName, c *call, tokens int) {
	e.events = append(e.events, event{name: name, call: c, engine: e, tokens: tokens})
}

func (e *engine) load(now kumquatlug.Millis) report {
	r := report{
		target: e.name, zone: e.zone, role: e.role, changing: e.changing, ready: e.accepts(), alive: !e.dead, incarnation: e.incarnation,
		taken: now, begun: e.begun, running: len(e.running), waiting: len(e.waiting), kvUsed: int(e.kvUsed()),
		cached: e.cache.keys(),
	}
	if span := float64(now-e.measured) / 1000; span > 0 {
		r.prefills, r.decodes = e.prefills/span, e.decodes/span
	}
	e.prefills, e.decodes, e.measured = 0, 0, now
	return r
}

// prefixCache holds the prefixes used last.
type prefixCache struct {
	held []held
	used int
}

type held struct {
	key    uint64
	tokens int
}

func (p *prefixCache) has(key uint64) bool {
	for n, h := range p.held {
		if h.key == key {
			p.held = append(append(p.held[:n], p.held[n+1:]...), h)
			return true
		}
	}
	return false
}

func (p *prefixCache) put(key uint64, tokens int) {
	if p.has(key) {
		return
	}
	p.held = append(p.held, held{key: key, tokens: tokens})
	p.used += tokens
	for p.used > cacheTokens {
		p.used -= p.held[0].tokens
		p.held = p.held[1:]
	}
}

func (p *prefixCache) keys() []uint64 {
	keys := make([]uint64, 0, len(p.held))
	for _, h := range p.held {
		keys = append(keys, h.key)
	}
	return keys
}
