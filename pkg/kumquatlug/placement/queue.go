package placement

import (
	"cmp"
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
	// mostReads is how many prompts an engine may have in hand for all fronts: it reads
	// a piece of several at a time, and a short one is not held up by a long one.
	mostReads = 3
	// aheadSpan is how much reading an engine may have left when it is given the
	// next prompt, in milliseconds: the way there takes one or two. Each prompt
	// that is there early takes memory from the shared parts.
	aheadSpan = 5.0
	// afterRead is how long after its prompt was read a request needs until its
	// first output reaches the client, in milliseconds: the hand-over, a place in
	// the batch and the way.
	afterRead = 25.0
	// baseRead is what a prompt costs beside its reading, in tokens.
	baseRead = 500.0
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
	// density is its worth for each token that has to be read; see [densityOf].
	density float64
	// late says that it can't be in time any more, lateAt since when.
	late   bool
	lateAt kumquatlug.Millis
	// hold is how long it waits at most from then on.
	hold kumquatlug.Millis
	// alone says that no coordinator is to be asked.
	alone bool
	// remote names a prompt of another front, which asked for it last at seenAt.
	remote remoteKey
	seenAt kumquatlug.Millis
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
	return p.enter(now, &waiting{key: key, query: q, hold: q.until(now) / holdPart})
}

// enter brings a prompt to its engine, the engine's queue, or the front that coordinates
// the engine.
func (p *Placer) enter(now kumquatlug.Millis, one *waiting) (Entry, Choice, *Ticket) {
	q := one.query
	c, found := p.Prompt(now, q)
	if !found {
		return EntryNobody, c, nil
	}
	w := p.workers[c.worker.ID()]
	if c.apart {
		p.gauge.entered++
	}
	one.choice = c
	if p.coordinates(now, w) {
		// Its wait is known, with the prompts of all fronts in it.
		one.hold = q.until(now)
		if c.apart {
			p.count(w, one)
			c.fresh, c.tokens = one.choice.fresh, one.choice.tokens
		}
	}
	if coordinator := p.coordinator(now, w); c.apart && coordinator != "" && !one.alone {
		p.keepPlaces(now, w, c)
		p.askFor(now, coordinator, w, one)
		return EntryWaits, c, nil
	}
	if !c.apart || len(w.queue) == 0 && p.room(now, w) {
		if c.Wait() >= q.until(now) && !q.Begun {
			if c.apart {
				p.gauge.late++
			}
			return EntryRefused, c, nil
		}
		if c.apart {
			p.keepPlaces(now, w, c)
			p.addLoad(now, w, one)
		}
		return EntrySent, c, p.Begin(now, c, q.Prompt)
	}
	if !p.mayWait(now, w, one) {
		return EntryRefused, c, nil
	}
	p.keepPlaces(now, w, c)
	w.enqueue(one)
	return EntryWaits, c, nil
}

// enqueue puts a prompt into its place in a queue: those that can be in time by
// their density, then the late ones by age. The engine has less time than they need
// together, and by age a prompt of 30,000 tokens would make ten others late.
func (w *worker) enqueue(one *waiting) {
	one.density = densityOf(one.query, one.choice.tokens)
	at := len(w.queue)
	if !one.late {
		at = slices.IndexFunc(w.queue, func(other *waiting) bool { return other.late || other.density < one.density })
	}
	if at < 0 {
		at = len(w.queue)
	}
	w.queue = slices.Insert(w.queue, at, one)
}

// until returns how long a client still waits.
func (q Query) until(now kumquatlug.Millis) kumquatlug.Millis {
	if q.Until == 0 {
		return math.MaxInt64
	}
	return q.Until - now
}

// room reports that an engine may be given one more prompt. Where this front does
// not coordinate it, each other front has some there, too.
func (p *Placer) room(now kumquatlug.Millis, w *worker) bool {
	if p.coordinates(now, w) && w.reads < mostReads {
		return true
	}
	return w.reads == 0 || p.inHand(now, w)/p.rate()*p.pace < aheadSpan
}

// inHand is how many tokens are to be read of what the engine has already.
func (p *Placer) inHand(now kumquatlug.Millis, w *worker) float64 {
	return w.tokens + p.othersNow(now, w)*p.meanRead
}

// queuedTokens is how many tokens wait for w.
func (w *worker) queuedTokens() float64 {
	sum := w.askedTokens
	for _, one := range w.queue {
		sum += one.choice.tokens
	}
	return sum
}

// ahead is how many tokens are to be read before a prompt that joins the queue of w:
// those of the prompts in time that go before it, or of the late ones.
func (w *worker) ahead(one *waiting) float64 {
	density := densityOf(one.query, one.choice.tokens)
	sum := 0.0
	for _, other := range w.queue {
		if other.late == one.late && (one.late || other.density >= density) {
			sum += other.choice.tokens
		}
	}
	return sum
}

// turnsLate reports that a prompt can no longer be in time behind so many tokens
// ahead of it. For one whose answer has begun that is past, and it has its turn
// first.
func (p *Placer) turnsLate(now kumquatlug.Millis, w *worker, one *waiting, ahead float64) bool {
	if one.query.Target == 0 || one.query.Begun {
		return false
	}
	read := (p.inHand(now, w) + ahead + one.choice.tokens) / p.rate() * p.pace
	return float64(one.query.Target-now) < read+afterRead
}

// turnLate marks a prompt as late.
func (p *Placer) turnLate(now kumquatlug.Millis, one *waiting) {
	one.late, one.lateAt = true, now
	p.gauge.late++
}

// keepLate reports that a late prompt will have its turn before its client gives
// up: by the late ones ahead of it, and the part of the engine that those in time
// leave to them.
func (p *Placer) keepLate(now kumquatlug.Millis, w *worker, one *waiting, ahead float64) bool {
	if now-one.lateAt > one.hold {
		return false
	}
	wait := (ahead + one.choice.tokens) / (p.rate() * p.spare(now, w)) * p.pace
	return kumquatlug.Millis(wait+afterRead) < one.query.until(now)
}

// mayWait reports that a new prompt is worth a place in the queue of w.
func (p *Placer) mayWait(now kumquatlug.Millis, w *worker, one *waiting) bool {
	if !p.turnsLate(now, w, one, w.ahead(one)) {
		return true
	}
	p.turnLate(now, one)
	return p.keepLate(now, w, one, w.ahead(one))
}

// spare is the part of an engine that this front's load leaves.
func (p *Placer) spare(now kumquatlug.Millis, w *worker) float64 {
	return max(leastSpare, 1-p.loadNow(now, w)*p.pace/(p.rate()*p.loadSpan()))
}

// loadNow is how many tokens this front gave the engine to read lately.
func (p *Placer) loadNow(now kumquatlug.Millis, w *worker) float64 {
	return w.load * math.Exp(-float64(now-w.loadAt)/p.loadSpan())
}

// addLoad counts a prompt that the engine was given. Late ones at an engine that is
// coordinated take what the others leave, and don't count in that.
func (p *Placer) addLoad(now kumquatlug.Millis, w *worker, one *waiting) {
	if one.late && p.coordinates(now, w) {
		return
	}
	w.load = p.loadNow(now, w) + one.choice.tokens
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
		p.forgetStale(now, w)
		due = p.dropLate(now, w, due)
		for len(w.queue) > 0 && p.room(now, w) && p.usable(now, w, Query{}, kumquatlug.RolePrefill) {
			one := p.next(w)
			if p.coordinates(now, w) {
				// What was read since it came spares it that.
				p.count(w, one)
			}
			if one.remote.front != "" {
				p.grant(now, w, one)
				continue
			}
			// What it waited in the queue is no part of what the engine takes.
			one.choice.wait = (p.inHand(now, w)+one.choice.tokens)/p.rate()*p.pace + p.handOver()
			p.addLoad(now, w, one)
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
		one.late = false
		entry, c, ticket := p.enter(now, one)
		if entry != EntryWaits {
			due = append(due, Due{key: one.key, choice: c, ticket: ticket})
		}
	}
	return due
}

// dropLate marks the prompts of a queue that turn late and gives up those that
// won't have their turn.
func (p *Placer) dropLate(now kumquatlug.Millis, w *worker, due []Due) []Due {
	queue := w.queue
	w.queue = make([]*waiting, 0, len(queue))
	inTime, late := 0.0, 0.0
	var turned []*waiting
	for _, one := range queue {
		switch {
		case !one.late && !p.turnsLate(now, w, one, inTime):
			inTime += one.choice.tokens
			w.queue = append(w.queue, one)
			continue
		case !one.late:
			p.turnLate(now, one)
			turned = append(turned, one)
			continue
		}
		due = p.judgeLate(now, w, one, &late, due)
	}
	for _, one := range turned {
		due = p.judgeLate(now, w, one, &late, due)
	}
	return due
}

// judgeLate keeps a late prompt at the end of the queue or gives it up; ahead are
// the tokens of those before it.
func (p *Placer) judgeLate(now kumquatlug.Millis, w *worker, one *waiting, ahead *float64, due []Due) []Due {
	switch {
	case p.keepLate(now, w, one, *ahead):
		*ahead += one.choice.tokens
		w.queue = append(w.queue, one)
	case one.remote.front != "":
		p.refuseRemote(now, w, one)
	default:
		due = append(due, Due{key: one.key, choice: one.choice})
	}
	return due
}

// next takes the prompt to be read next out of a queue.
func (p *Placer) next(w *worker) *waiting {
	one := w.queue[0]
	w.queue = slices.Delete(w.queue, 0, 1)
	return one
}

// densityOf is a prompt's worth for each token that has to be read. One whose answer
// has begun goes first, as its client sees it stand still.
func densityOf(q Query, tokens float64) float64 {
	if q.Begun {
		return math.Inf(1)
	}
	return cmp.Or(q.Worth, 1) / (tokens + baseRead)
}

// Leave takes a prompt out of the queues; its client left.
func (p *Placer) Leave(key uint64) {
	ours := func(one *waiting) bool { return one.key == key && one.remote.front == "" }
	p.orphans = slices.DeleteFunc(p.orphans, ours)
	p.leaveAsked(key)
	for _, w := range p.list {
		w.queue = slices.DeleteFunc(w.queue, ours)
	}
}

// Waiting returns how many prompts wait, those of other fronts counted.
func (p *Placer) Waiting() int {
	n := len(p.orphans) + len(p.asked)
	for _, w := range p.list {
		n += len(w.queue)
	}
	return n
}
