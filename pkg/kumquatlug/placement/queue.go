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
	// maxPrefills is how many prompts an engine may have in hand for all fronts: it reads
	// a piece of several at a time, and a short one is not held up by a long one.
	maxPrefills = 3
	// maxEngineBacklogMs is how much reading an engine may have left when it is given the
	// next prompt, in milliseconds: the way there takes one or two. Each prompt
	// that is there early takes memory from the shared parts.
	maxEngineBacklogMs = 5.0
	// postPrefillMs is how long after its prompt was read a request needs until its
	// first output reaches the client, in milliseconds: the hand-over, a place in
	// the batch and the way.
	postPrefillMs = 25.0
	// promptOverheadTokens is what a prompt costs beside its reading, in tokens.
	promptOverheadTokens = 500.0
	// loadWindowPrompts is how many prompts of this front an engine's load is averaged
	// over, minLoadWindowMs and maxLoadWindowMs bound the span that they take, in
	// milliseconds. Over fewer a single prompt looks like a full engine.
	loadWindowPrompts                = 3.0
	minLoadWindowMs, maxLoadWindowMs = 500.0, 4000.0
	// lateHoldDivisor is the part of a client's patience, as a divisor, for which a prompt
	// waits at most after it turned late. By then the load has not gone down; told
	// so, its client has time for another try.
	lateHoldDivisor = 7
	// minSpareFraction is the part of an engine that late prompts may count on when it
	// is full: what others leave by chance.
	minSpareFraction = 0.15
)

// queuedPrompt is a prompt in the queue of an engine.
type queuedPrompt struct {
	key    uint64
	query  Query
	choice Choice
	// density is its worth for each token that has to be read; see [valueDensity].
	density float64
	// late says that it can't be in time any more, lateAt since when.
	late   bool
	lateAt kumquatlug.Millis
	// maxLateHold is how long it waits at most from then on.
	maxLateHold kumquatlug.Millis
	// skipCoordinator says that no coordinator is to be asked.
	skipCoordinator bool
	// remote names a prompt of another front, which asked for it last at seenAt.
	remote    remoteKey
	renewedAt kumquatlug.Millis
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
	return p.submit(now, &queuedPrompt{key: key, query: q, maxLateHold: q.timeLeft(now) / lateHoldDivisor})
}

// submit brings a prompt to its engine, the engine's queue, or the front that coordinates
// the engine.
func (p *Placer) submit(now kumquatlug.Millis, queued *queuedPrompt) (Entry, Choice, *Ticket) {
	q := queued.query
	c, found := p.Prompt(now, q)
	if !found {
		return EntryNobody, c, nil
	}
	w := p.workers[c.worker.ID()]
	if c.prefillOnly {
		p.averages.prompts++
	}
	queued.choice = c
	if p.coordinates(now, w) {
		// Its wait is known, with the prompts of all fronts in it.
		queued.maxLateHold = q.timeLeft(now)
		if c.prefillOnly {
			p.estimateTokens(w, queued)
			c.uncachedTokens, c.effectiveTokens = queued.choice.uncachedTokens, queued.choice.effectiveTokens
		}
	}
	if coordinator := p.coordinator(now, w); c.prefillOnly && coordinator != "" && !queued.skipCoordinator {
		p.reserve(now, w, c)
		p.requestGrant(now, coordinator, w, queued)
		return EntryWaits, c, nil
	}
	if !c.prefillOnly || len(w.queue) == 0 && p.hasCapacity(now, w) {
		if c.Wait() >= q.timeLeft(now) && !q.Begun {
			if c.prefillOnly {
				p.averages.latePrompts++
			}
			return EntryRefused, c, nil
		}
		if c.prefillOnly {
			p.reserve(now, w, c)
			p.addLoad(now, w, queued)
		}
		return EntrySent, c, p.Begin(now, c, q.Prompt)
	}
	if !p.mayQueue(now, w, queued) {
		return EntryRefused, c, nil
	}
	p.reserve(now, w, c)
	w.enqueue(queued)
	return EntryWaits, c, nil
}

// enqueue puts a prompt into its place in a queue: those that can be in time by
// their density, then the late ones by age. The engine has less time than they need
// together, and by age a prompt of 30,000 tokens would make ten others late.
func (w *worker) enqueue(queued *queuedPrompt) {
	queued.density = valueDensity(queued.query, queued.choice.effectiveTokens)
	at := len(w.queue)
	if !queued.late {
		at = slices.IndexFunc(w.queue, func(other *queuedPrompt) bool { return other.late || other.density < queued.density })
	}
	if at < 0 {
		at = len(w.queue)
	}
	w.queue = slices.Insert(w.queue, at, queued)
}

// timeLeft returns how long a client still waits.
func (q Query) timeLeft(now kumquatlug.Millis) kumquatlug.Millis {
	if q.Until == 0 {
		return math.MaxInt64
	}
	return q.Until - now
}

// hasCapacity reports that an engine may be given one more prompt. Where this front does
// not coordinate it, each other front has some there, too.
func (p *Placer) hasCapacity(now kumquatlug.Millis, w *worker) bool {
	if p.coordinates(now, w) && w.prefills < maxPrefills {
		return true
	}
	return w.prefills == 0 || p.inFlightTokens(now, w)/p.prefillRate()*p.slowdown < maxEngineBacklogMs
}

// inFlightTokens is how many tokens are to be read of what the engine has already.
func (p *Placer) inFlightTokens(now kumquatlug.Millis, w *worker) float64 {
	return w.prefillTokens + p.otherRequestsAt(now, w)*p.meanPrefillTokens
}

// queuedTokens is how many tokens wait for w.
func (w *worker) queuedTokens() float64 {
	sum := w.requestedTokens
	for _, queued := range w.queue {
		sum += queued.choice.effectiveTokens
	}
	return sum
}

// tokensAhead is how many tokens are to be read before a prompt that joins the queue of w:
// those of the prompts in time that go before it, or of the late ones.
func (w *worker) tokensAhead(queued *queuedPrompt) float64 {
	density := valueDensity(queued.query, queued.choice.effectiveTokens)
	sum := 0.0
	for _, other := range w.queue {
		if other.late == queued.late && (queued.late || other.density >= density) {
			sum += other.choice.effectiveTokens
		}
	}
	return sum
}

// willBeLate reports that a prompt can no longer be in time behind so many tokens
// ahead of it. For one whose answer has begun that is past, and it has its turn
// first.
func (p *Placer) willBeLate(now kumquatlug.Millis, w *worker, queued *queuedPrompt, ahead float64) bool {
	if queued.query.Target == 0 || queued.query.Begun {
		return false
	}
	expectedWait := (p.inFlightTokens(now, w) + ahead + queued.choice.effectiveTokens) / p.prefillRate() * p.slowdown
	return float64(queued.query.Target-now) < expectedWait+postPrefillMs
}

// markLate marks a prompt as late.
func (p *Placer) markLate(now kumquatlug.Millis, queued *queuedPrompt) {
	queued.late, queued.lateAt = true, now
	p.averages.latePrompts++
}

// canServeLate reports that a late prompt will have its turn before its client gives
// up: by the late ones ahead of it, and the part of the engine that those in time
// leave to them.
func (p *Placer) canServeLate(now kumquatlug.Millis, w *worker, queued *queuedPrompt, ahead float64) bool {
	if now-queued.lateAt > queued.maxLateHold {
		return false
	}
	wait := (ahead + queued.choice.effectiveTokens) / (p.prefillRate() * p.spareFraction(now, w)) * p.slowdown
	return kumquatlug.Millis(wait+postPrefillMs) < queued.query.timeLeft(now)
}

// mayQueue reports that a new prompt is worth a place in the queue of w.
func (p *Placer) mayQueue(now kumquatlug.Millis, w *worker, queued *queuedPrompt) bool {
	if !p.willBeLate(now, w, queued, w.tokensAhead(queued)) {
		return true
	}
	p.markLate(now, queued)
	return p.canServeLate(now, w, queued, w.tokensAhead(queued))
}

// spareFraction is the part of an engine that this front's load leaves.
func (p *Placer) spareFraction(now kumquatlug.Millis, w *worker) float64 {
	return max(minSpareFraction, 1-p.recentLoad(now, w)*p.slowdown/(p.prefillRate()*p.loadWindowMs()))
}

// recentLoad is how many tokens this front gave the engine to read lately.
func (p *Placer) recentLoad(now kumquatlug.Millis, w *worker) float64 {
	return w.load * math.Exp(-float64(now-w.loadAt)/p.loadWindowMs())
}

// addLoad counts a prompt that the engine was given. Late ones at an engine that is
// coordinated take what the others leave, and don't count in that.
func (p *Placer) addLoad(now kumquatlug.Millis, w *worker, queued *queuedPrompt) {
	if queued.late && p.coordinates(now, w) {
		return
	}
	w.load = p.recentLoad(now, w) + queued.choice.effectiveTokens
	w.loadAt = now
	p.prefillInterval += ewmaWeight * (min(float64(now-p.lastPrefillAt), maxLoadWindowMs) - p.prefillInterval)
	p.lastPrefillAt = now
}

// loadWindowMs is the span over which an engine's load is averaged.
func (p *Placer) loadWindowMs() float64 {
	return min(max(loadWindowPrompts*p.prefillInterval*float64(p.prefillEngines), minLoadWindowMs), maxLoadWindowMs)
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
	due := p.requeueDisplaced(now)
	for _, w := range p.ordered {
		p.expireRemote(now, w)
		due = p.dropLate(now, w, due)
		for len(w.queue) > 0 && p.hasCapacity(now, w) && p.eligible(now, w, Query{}, kumquatlug.RolePrefill) {
			queued := p.dequeue(w)
			if p.coordinates(now, w) {
				// What was read since it came spares it that.
				p.estimateTokens(w, queued)
			}
			if queued.remote.gateway != "" {
				p.grantRemote(now, w, queued)
				continue
			}
			// What it waited in the queue is no part of what the engine takes.
			queued.choice.wait = (p.inFlightTokens(now, w)+queued.choice.effectiveTokens)/p.prefillRate()*p.slowdown + p.handoffMs()
			p.addLoad(now, w, queued)
			due = append(due, Due{key: queued.key, choice: queued.choice, ticket: p.Begin(now, queued.choice, queued.query.Prompt)})
		}
	}
	return due
}

// requeueDisplaced finds other engines for the prompts that waited for one that is
// gone.
func (p *Placer) requeueDisplaced(now kumquatlug.Millis) []Due {
	var due []Due
	displaced := p.displaced
	p.displaced = nil
	for _, queued := range displaced {
		queued.late = false
		entry, c, ticket := p.submit(now, queued)
		if entry != EntryWaits {
			due = append(due, Due{key: queued.key, choice: c, ticket: ticket})
		}
	}
	return due
}

// dropLate marks the prompts of a queue that turn late and gives up those that
// won't have their turn.
func (p *Placer) dropLate(now kumquatlug.Millis, w *worker, due []Due) []Due {
	queue := w.queue
	w.queue = make([]*queuedPrompt, 0, len(queue))
	inTime, late := 0.0, 0.0
	var newlyLate []*queuedPrompt
	for _, queued := range queue {
		switch {
		case !queued.late && !p.willBeLate(now, w, queued, inTime):
			inTime += queued.choice.effectiveTokens
			w.queue = append(w.queue, queued)
			continue
		case !queued.late:
			p.markLate(now, queued)
			newlyLate = append(newlyLate, queued)
			continue
		}
		due = p.keepOrDropLate(now, w, queued, &late, due)
	}
	for _, queued := range newlyLate {
		due = p.keepOrDropLate(now, w, queued, &late, due)
	}
	return due
}

// keepOrDropLate keeps a late prompt at the end of the queue or gives it up; ahead are
// the tokens of those before it.
func (p *Placer) keepOrDropLate(now kumquatlug.Millis, w *worker, queued *queuedPrompt, ahead *float64, due []Due) []Due {
	switch {
	case p.canServeLate(now, w, queued, *ahead):
		*ahead += queued.choice.effectiveTokens
		w.queue = append(w.queue, queued)
	case queued.remote.gateway != "":
		p.refuseRemote(now, w, queued)
	default:
		due = append(due, Due{key: queued.key, choice: queued.choice})
	}
	return due
}

// dequeue takes the prompt to be read next out of a queue.
func (p *Placer) dequeue(w *worker) *queuedPrompt {
	queued := w.queue[0]
	w.queue = slices.Delete(w.queue, 0, 1)
	return queued
}

// valueDensity is a prompt's worth for each token that has to be read. One whose answer
// has begun goes first, as its client sees it stand still.
func valueDensity(q Query, tokens float64) float64 {
	if q.Begun {
		return math.Inf(1)
	}
	return cmp.Or(q.Worth, 1) / (tokens + promptOverheadTokens)
}

// Leave takes a prompt out of the queues; its client left.
func (p *Placer) Leave(key uint64) {
	isLocal := func(queued *queuedPrompt) bool { return queued.key == key && queued.remote.gateway == "" }
	p.displaced = slices.DeleteFunc(p.displaced, isLocal)
	p.cancelRequest(key)
	for _, w := range p.ordered {
		w.queue = slices.DeleteFunc(w.queue, isLocal)
	}
}

// Waiting returns how many prompts wait, those of other fronts counted.
func (p *Placer) Waiting() int {
	n := len(p.displaced) + len(p.grantRequests)
	for _, w := range p.ordered {
		n += len(w.queue)
	}
	return n
}
