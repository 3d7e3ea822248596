package placement

import (
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The queues answer a load of prompts above what the engines can read, for
// seconds. Handed on at once, all of them stand in the engines' own queues, which
// are served in order: after a second every prompt is read when its target
// latency has passed, and the engines work at full rate for nobody who is still
// in time. So an engine is given little ahead, and what it has no room for waits
// at the front, where the order can still be chosen: those that can be in time
// go first, by their worth for the tokens to be read; the late ones go when there
// is nothing else; and who can't be served before its client gives up is refused as
// soon as that shows, not at its deadline.

// Figures of the queues.
const (
	// aheadSpan is how much reading an engine may have left when it is given the
	// next prompt, in milliseconds: the way there takes one or two. Each prompt
	// that is there early takes memory from the shared parts.
	aheadSpan = 5.0
	// afterRead is how long after its prompt was read a request needs until its
	// first output reaches the client, in milliseconds: the hand-over, a place in
	// the batch and the way.
	afterRead = 25.0
	// baseWorth is the size that is worth as much as a request's mere existence,
	// in tokens, and baseRead what one costs beside its reading.
	baseWorth = 4000.0
	baseRead  = 500.0
	// loadPrompts is how many prompts of this front an engine's load is averaged
	// over, leastLoadSpan and mostLoadSpan bound the span that they take, in
	// milliseconds. Over fewer a single prompt looks like a full engine.
	loadPrompts                 = 3.0
	leastLoadSpan, mostLoadSpan = 500.0, 4000.0
	// holdPart is the part of a client's patience, as a divisor, for which a prompt
	// waits at most after it turned late. By then the load has not gone down; told
	// so, its client has time for another try.
	holdPart = 7
	// leastSpare is the part of an engine that late prompts may count on when it
	// is full: what others leave by chance.
	leastSpare = 0.15
)

// waiting is a prompt in the queue of an engine.
type waiting struct {
	key    uint64
	query  Query
	choice Choice
	// late says that it can't be in time any more, lateAt since when.
	late   bool
	lateAt kumquatlug.Millis
	// hold is how long it waits at most from then on.
	hold kumquatlug.Millis
}

// Entry is what became of a prompt that came to the engines.
type Entry string

// The ways in which a prompt enters.
const (
	// EntrySent: it goes to its engine now.
	EntrySent Entry = "sent"
	// EntryWaits: it waits in its engine's queue; see [Placer.Due].
	EntryWaits Entry = "waits"
	// EntryRefused: no engine can read it in time.
	EntryRefused Entry = "refused"
	// EntryNobody: there is no engine for it.
	EntryNobody Entry = "nobody"
)

// Enter takes a new prompt. The key tells it from the others that wait. With
// EntrySent the ticket is begun; with EntryRefused the choice tells the wait that
// was expected.
func (p *Placer) Enter(now kumquatlug.Millis, key uint64, q Query) (Entry, Choice, *Ticket) {
	c, found := p.Prompt(now, q)
	if !found {
		return EntryNobody, c, nil
	}
	w := p.workers[c.worker.ID()]
	if c.apart {
		p.gauge.entered++
	}
	if !c.apart || len(w.queue) == 0 && p.room(now, w) {
		if c.Wait() >= q.until(now) && !q.Begun {
			if c.apart {
				p.gauge.late++
			}
			return EntryRefused, c, nil
		}
		return EntrySent, c, p.Begin(now, c, q.Prompt)
	}
	one := &waiting{key: key, query: q, choice: c, hold: q.until(now) / holdPart}
	if p.turnsLate(now, w, one) && !p.keepLate(now, w, one) {
		return EntryRefused, c, nil
	}
	w.queue = append(w.queue, one)
	return EntryWaits, c, nil
}

// until returns how long a client still waits.
func (q Query) until(now kumquatlug.Millis) kumquatlug.Millis {
	if q.Until == 0 {
		return math.MaxInt64
	}
	return q.Until - now
}

// room reports that an engine may be given one more prompt.
func (p *Placer) room(now kumquatlug.Millis, w *worker) bool {
	return w.reads == 0 || p.inHand(now, w)/p.rate()*p.pace < aheadSpan
}

// inHand is how many tokens are to be read of what the engine has already.
func (p *Placer) inHand(now kumquatlug.Millis, w *worker) float64 {
	return w.tokens + w.othersNow(now)*p.meanRead
}

// queuedTokens is how many tokens wait for w.
func (w *worker) queuedTokens() float64 {
	sum := 0.0
	for _, one := range w.queue {
		sum += one.choice.tokens
	}
	return sum
}

// turnsLate reports that a prompt can no longer be in time when it is sent next.
// For one whose answer has begun that is past, and it has its turn first.
func (p *Placer) turnsLate(now kumquatlug.Millis, w *worker, one *waiting) bool {
	if one.query.Target == 0 || one.query.Begun {
		return false
	}
	read := (p.inHand(now, w) + one.choice.tokens) / p.rate() * p.pace
	return float64(one.query.Target-now) < read+afterRead
}

// keepLate reports that a late prompt will have its turn before its client gives
// up: by the late ones before it, and the part of the engine that those in time
// leave to them.
func (p *Placer) keepLate(now kumquatlug.Millis, w *worker, one *waiting) bool {
	if !one.late {
		one.late, one.lateAt = true, now
		p.gauge.late++
	}
	if now-one.lateAt > one.hold {
		return false
	}
	before := 0.0
	for _, other := range w.queue {
		if other == one {
			break
		}
		if other.late {
			before += other.choice.tokens
		}
	}
	wait := (before + one.choice.tokens) / (p.rate() * p.spare(now, w)) * p.pace
	return kumquatlug.Millis(wait+afterRead) < one.query.until(now)
}

// spare is the part of an engine that this front's load leaves.
func (p *Placer) spare(now kumquatlug.Millis, w *worker) float64 {
	return max(leastSpare, 1-p.loadNow(now, w)*p.pace/(p.rate()*p.loadSpan()))
}

// loadNow is how many tokens this front gave the engine to read lately.
func (p *Placer) loadNow(now kumquatlug.Millis, w *worker) float64 {
	return w.load * math.Exp(-float64(now-w.loadAt)/p.loadSpan())
}

func (p *Placer) addLoad(now kumquatlug.Millis, w *worker, tokens float64) {
	w.load = p.loadNow(now, w) + tokens
	w.loadAt = now
	p.readEvery += meanStep * (min(float64(now-p.readAt), mostLoadSpan) - p.readEvery)
	p.readAt = now
}

// loadSpan is the span over which an engine's load is averaged.
func (p *Placer) loadSpan() float64 {
	return min(max(loadPrompts*p.readEvery*float64(p.readers), leastLoadSpan), mostLoadSpan)
}

// Due is a prompt whose turn has come, or that is given up.
type Due struct {
	key    uint64
	choice Choice
	ticket *Ticket
}

// Key returns the key under which the prompt entered.
func (d Due) Key() uint64 { return d.key }

// Choice returns the engine.
func (d Due) Choice() Choice { return d.choice }

// Ticket returns the attempt that was begun, nil for a prompt that is given up.
func (d Due) Ticket() *Ticket { return d.ticket }

// Due returns the prompts whose turn has come and those that can't be served in
// time any more. Call it after each event and, while somebody waits, each few
// hundredths of a second.
func (p *Placer) Due(now kumquatlug.Millis) []Due {
	due := p.placeOrphans(now)
	for _, w := range p.list {
		due = p.dropLate(now, w, due)
		for len(w.queue) > 0 && p.room(now, w) && p.usable(now, w, Query{}, kumquatlug.RolePrefill) {
			one := p.next(w)
			// What it waited in the queue is no part of what the engine takes.
			one.choice.wait = (p.inHand(now, w)+one.choice.tokens)/p.rate()*p.pace + p.handOver()
			due = append(due, Due{key: one.key, choice: one.choice, ticket: p.Begin(now, one.choice, one.query.Prompt)})
		}
	}
	return due
}

// placeOrphans finds other engines for the prompts that waited for one that is
// gone.
func (p *Placer) placeOrphans(now kumquatlug.Millis) []Due {
	var due []Due
	orphans := p.orphans
	p.orphans = nil
	for _, one := range orphans {
		entry, c, ticket := p.Enter(now, one.key, one.query)
		if entry != EntryWaits {
			due = append(due, Due{key: one.key, choice: c, ticket: ticket})
		}
	}
	return due
}

// dropLate marks the prompts of a queue that turn late and gives up those that
// won't have their turn.
func (p *Placer) dropLate(now kumquatlug.Millis, w *worker, due []Due) []Due {
	w.queue = slices.DeleteFunc(w.queue, func(one *waiting) bool {
		keep := true
		if one.late || p.turnsLate(now, w, one) {
			keep = p.keepLate(now, w, one)
		}
		if !keep {
			due = append(due, Due{key: one.key, choice: one.choice})
		}
		return !keep
	})
	return due
}

// next takes the prompt to be read next out of a queue: one whose answer has
// begun, as its client sees it stand still; then of those that can be in time the
// one with the most worth for its reading, else the oldest late one.
// The engine has less time than they need together, and by age a prompt of
// 30,000 tokens would make ten others late.
func (p *Placer) next(w *worker) *waiting {
	best, at := -1.0, 0
	for i, one := range w.queue {
		if d := one.density(); !one.late && d > best {
			best, at = d, i
		}
	}
	one := w.queue[at]
	w.queue = slices.Delete(w.queue, at, at+1)
	return one
}

// density is a prompt's worth for each token that has to be read. Worth grows
// with a request's size, shared parts counted, but not from nothing.
func (w *waiting) density() float64 {
	if w.query.Begun {
		return math.Inf(1)
	}
	size := float64(w.query.Prompt.Input())
	return (baseWorth + size) / (w.choice.tokens + baseRead)
}

// Leave takes a prompt out of the queues; its client left.
func (p *Placer) Leave(key uint64) {
	p.orphans = slices.DeleteFunc(p.orphans, func(one *waiting) bool { return one.key == key })
	for _, w := range p.list {
		w.queue = slices.DeleteFunc(w.queue, func(one *waiting) bool { return one.key == key })
	}
}

// Waiting returns how many prompts wait.
func (p *Placer) Waiting() int {
	n := len(p.orphans)
	for _, w := range p.list {
		n += len(w.queue)
	}
	return n
}
