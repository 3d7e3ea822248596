package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The queues handle prompts that arrive, for seconds at a time, faster than the engines
// can prefill them. If all were passed on at once, they would wait in the engines' own
// first-in-first-out queues: after a second every prompt would be prefilled past its
// target latency, and the engines would work at full rate without a single response in
// time. So an engine is given little work in advance, and further prompts wait at the
// gateway, where their order can still be chosen: those that can be in time go first,
// by value per token to prefill; late ones go when there is nothing else; and one that
// can't be served before its client gives up is refused as soon as that is known, not
// at its deadline.

// Constants of the queues.
const (
	// maxPrefills is the number of prompts that an engine may have in flight for all
	// gateways: it prefills chunks of several at a time, so that a long prompt doesn't
	// delay a short one.
	maxPrefills = 3
	// maxEngineBacklogMs is how much prefill an engine may have left when it is given
	// the next prompt, in milliseconds: sending one takes one or two. Each prompt that
	// arrives early takes memory from cached prefixes.
	maxEngineBacklogMs = 5.0
	// postPrefillMs is the time from the end of a prefill until the first output
	// reaches the client, in milliseconds: the transfer, the wait for a slot and the
	// network.
	postPrefillMs = 25.0
	// promptOverheadTokens is the fixed cost of a prompt, in tokens.
	promptOverheadTokens = 500.0
	// loadWindowPrompts is the number of this gateway's prompts over which an engine's
	// load is averaged; minLoadWindowMs and maxLoadWindowMs bound the time that they
	// span, in milliseconds. Over fewer prompts a single one looks like a full engine.
	loadWindowPrompts                = 3.0
	minLoadWindowMs, maxLoadWindowMs = 500.0, 4000.0
	// lateHoldDivisor divides the time left until the client gives up; the quotient is
	// how long a prompt stays queued at most after it has become late. After that long
	// the load has evidently not fallen, and an early refusal leaves the client time to
	// retry.
	lateHoldDivisor = 7
	// minSpareFraction is the fraction of a full engine that late prompts may count on:
	// the gaps that other prompts leave.
	minSpareFraction = 0.15
)

// queuedPrompt is a prompt in the queue of an engine.
type queuedPrompt struct {
	key    uint64
	query  Query
	choice Choice
	// density is its value per token to prefill; see [valueDensity].
	density float64
	// late says that it can't be in time any more, lateAt since when.
	late   bool
	lateAt kumquatlug.Millis
	// maxLateHold is how long it stays queued at most from then on.
	maxLateHold kumquatlug.Millis
	// skipCoordinator says that no permit is requested from a coordinator.
	skipCoordinator bool
	// diversion is how far the prompt has been diverted, divertedFrom its first engine.
	diversion    diversion
	divertedFrom string
	// remote identifies a prompt of another gateway, which last renewed its request at
	// renewedAt.
	remote    remoteKey
	renewedAt kumquatlug.Millis
}

// Submission is the result of submitting a prompt.
type Submission string

// The results of [Placer.Submit].
const (
	// SubmissionSent: the prompt is sent to its engine now.
	SubmissionSent Submission = "sent"
	// SubmissionQueued: the prompt waits in its engine's queue; see [Placer.Due].
	SubmissionQueued Submission = "waits"
	// SubmissionRefused: no engine can prefill the prompt in time.
	SubmissionRefused Submission = "refused"
	// SubmissionNoEngine: no engine is available.
	SubmissionNoEngine Submission = "nobody"
)

// Submit submits a new prompt. The key identifies it among the queued ones. With
// SubmissionSent the attempt has begun; with SubmissionRefused the choice holds the expected
// wait.
func (p *Placer) Submit(now kumquatlug.Millis, key uint64, q Query) (Submission, Choice, *Attempt) {
	return p.submit(now, &queuedPrompt{key: key, query: q, maxLateHold: q.timeLeft(now) / lateHoldDivisor})
}

// submit sends a prompt to its engine, or queues it for the engine, or requests a
// permit from the gateway that coordinates the engine.
func (p *Placer) submit(now kumquatlug.Millis, queued *queuedPrompt) (Submission, Choice, *Attempt) {
	q := queued.query
	c, found := p.ChoosePrompt(now, q)
	if !found {
		return SubmissionNoEngine, c, nil
	}
	w := p.workers[c.worker.ID()]
	if c.prefillOnly {
		p.averages.prompts++
	}
	queued.choice = c
	p.recordDivertible(now, queued)
	if p.coordinates(now, w) {
		// The wait is known, as it includes the prompts of all gateways.
		queued.maxLateHold = q.timeLeft(now)
		if c.prefillOnly {
			p.estimateTokens(w, queued)
			c.uncachedTokens, c.effectiveTokens = queued.choice.uncachedTokens, queued.choice.effectiveTokens
		}
	}
	if coordinator := p.coordinator(now, w); c.prefillOnly && coordinator != "" && !queued.skipCoordinator {
		p.reserve(now, w, c)
		p.requestPermit(now, coordinator, w, queued)
		return SubmissionQueued, c, nil
	}
	if !c.prefillOnly || len(w.queue) == 0 && p.hasCapacity(now, w) {
		return p.submitNow(now, w, queued, c)
	}
	if p.coordinates(now, w) && p.divert(now, w, queued, p.expectedQueueMs(now, w, queued)) {
		return p.submit(now, queued)
	}
	if !p.mayQueue(now, w, queued) {
		return SubmissionRefused, c, nil
	}
	p.reserve(now, w, c)
	w.enqueue(queued)
	return SubmissionQueued, c, nil
}

// submitNow sends a prompt to an engine that has capacity, unless its client would give up
// first.
func (p *Placer) submitNow(now kumquatlug.Millis, w *worker, queued *queuedPrompt, c Choice) (Submission, Choice, *Attempt) {
	if q := queued.query; c.Wait() >= q.timeLeft(now) && !q.ResponseStarted {
		if c.prefillOnly {
			p.averages.latePrompts++
		}
		return SubmissionRefused, c, nil
	}
	if c.prefillOnly {
		p.reserve(now, w, c)
		p.addLoad(now, w, queued)
	}
	return SubmissionSent, c, p.Begin(now, c, queued.query.Prompt)
}

// enqueue inserts a prompt into a queue: those that can be in time by density, then the
// late ones by age. The engine has less time than all of them need, and in order of age
// a prompt of 30,000 tokens would make ten others late.
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

// timeLeft returns the time until the client gives up.
func (q Query) timeLeft(now kumquatlug.Millis) kumquatlug.Millis {
	if q.Deadline == 0 {
		return math.MaxInt64
	}
	return q.Deadline - now
}

// hasCapacity reports whether an engine may be given one more prompt. If this gateway
// does not coordinate the engine, each other gateway has prompts there, too.
func (p *Placer) hasCapacity(now kumquatlug.Millis, w *worker) bool {
	if p.coordinates(now, w) && w.prefills < maxPrefills {
		return true
	}
	return w.prefills == 0 || p.prefillMs(now, w, p.inFlightTokens(now, w)) < maxEngineBacklogMs
}

// inFlightTokens returns the number of tokens to prefill that the engine already has.
func (p *Placer) inFlightTokens(now kumquatlug.Millis, w *worker) float64 {
	return w.prefillTokens + p.otherRequestsAt(now, w)*p.meanPrefillTokens
}

// queuedTokens returns the number of tokens to prefill that wait for w.
func (w *worker) queuedTokens() float64 {
	sum := w.requestedTokens
	for _, queued := range w.queue {
		sum += queued.choice.effectiveTokens
	}
	return sum
}

// tokensAhead returns the number of tokens to prefill before a prompt that joins the
// queue of w: those of the prompts in time that go before it or, for a late one, of the
// other late ones.
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

// willBeLate reports whether a prompt can no longer be in time with so many tokens
// ahead of it. It is false for a prompt whose response has begun: the first output is
// past, and the prompt goes first.
func (p *Placer) willBeLate(now kumquatlug.Millis, w *worker, queued *queuedPrompt, ahead float64) bool {
	if queued.query.FirstOutputDue == 0 || queued.query.ResponseStarted {
		return false
	}
	expectedWait := p.prefillMs(now, w, p.inFlightTokens(now, w)+ahead+queued.choice.effectiveTokens)
	return float64(queued.query.FirstOutputDue-now) < expectedWait+postPrefillMs
}

// markLate marks a prompt as late.
func (p *Placer) markLate(now kumquatlug.Millis, queued *queuedPrompt) {
	queued.late, queued.lateAt = true, now
	p.averages.latePrompts++
}

// canServeLate reports whether a late prompt will be prefilled before its client gives
// up, given the late ones ahead of it and the fraction of the engine that the prompts
// in time leave.
func (p *Placer) canServeLate(now kumquatlug.Millis, w *worker, queued *queuedPrompt, ahead float64) bool {
	if now-queued.lateAt > queued.maxLateHold {
		return false
	}
	wait := p.prefillMs(now, w, ahead+queued.choice.effectiveTokens) / p.spareFraction(now, w)
	return kumquatlug.Millis(wait+postPrefillMs) < queued.query.timeLeft(now)
}

// mayQueue reports whether a new prompt may join the queue of w.
func (p *Placer) mayQueue(now kumquatlug.Millis, w *worker, queued *queuedPrompt) bool {
	if !p.willBeLate(now, w, queued, w.tokensAhead(queued)) {
		return true
	}
	p.markLate(now, queued)
	return p.canServeLate(now, w, queued, w.tokensAhead(queued))
}

// spareFraction returns the fraction of an engine that this gateway's load leaves.
func (p *Placer) spareFraction(now kumquatlug.Millis, w *worker) float64 {
	return max(minSpareFraction, 1-p.prefillMs(now, w, p.recentLoad(now, w))/p.loadWindowMs())
}

// recentLoad returns the decaying sum of tokens that this gateway gave the engine to
// prefill.
func (p *Placer) recentLoad(now kumquatlug.Millis, w *worker) float64 {
	return w.load * math.Exp(-float64(now-w.loadAt)/p.loadWindowMs())
}

// addLoad counts a prompt that the engine was given. Late prompts at an engine that
// this gateway coordinates use only what the others leave, and are not counted as part
// of it.
func (p *Placer) addLoad(now kumquatlug.Millis, w *worker, queued *queuedPrompt) {
	if queued.late && p.coordinates(now, w) {
		return
	}
	w.load = p.recentLoad(now, w) + queued.choice.effectiveTokens
	w.loadAt = now
	p.prefillIntervalMs += ewmaWeight * (min(float64(now-p.lastPrefillAt), maxLoadWindowMs) - p.prefillIntervalMs)
	p.lastPrefillAt = now
}

// loadWindowMs returns the time over which an engine's load is averaged, in
// milliseconds.
func (p *Placer) loadWindowMs() float64 {
	return min(max(loadWindowPrompts*p.prefillIntervalMs*float64(p.prefillEngines), minLoadWindowMs), maxLoadWindowMs)
}

// Due is a prompt that leaves the queue: it is sent, or given up.
type Due struct {
	key     uint64
	choice  Choice
	attempt *Attempt
}

// Key returns the key under which the prompt was submitted.
func (d Due) Key() uint64 { return d.key }

// Choice returns the chosen engine.
func (d Due) Choice() Choice { return d.choice }

// Attempt returns the attempt that has begun, nil for a prompt that is given up.
func (d Due) Attempt() *Attempt { return d.attempt }

// Due returns the prompts to send now and those that can't be served in time any more.
// It has to be called after each event and, while prompts are queued, every few
// hundredths of a second.
func (p *Placer) Due(now kumquatlug.Millis) []Due {
	due := p.requeueDisplaced(now)
	for _, w := range p.ordered {
		p.expireRemote(now, w)
		due = p.dropLate(now, w, due)
		for len(w.queue) > 0 && p.hasCapacity(now, w) && p.accepts(now, w, nil, kumquatlug.RolePrefill) {
			queued := p.dequeue(w)
			if p.coordinates(now, w) {
				// Parts that were prefilled since it was queued are cached now.
				p.estimateTokens(w, queued)
			}
			if queued.remote.gateway != "" {
				p.grantRemote(now, w, queued)
				continue
			}
			// The time in the queue is not part of what the engine takes.
			queued.choice.waitMs = p.prefillMs(now, w, p.inFlightTokens(now, w)+queued.choice.effectiveTokens) + p.handoffMs()
			p.addLoad(now, w, queued)
			due = append(due, Due{key: queued.key, choice: queued.choice, attempt: p.Begin(now, queued.choice, queued.query.Prompt)})
		}
	}
	return due
}

// requeueDisplaced finds other engines for the prompts that were queued for an engine
// that left.
func (p *Placer) requeueDisplaced(now kumquatlug.Millis) []Due {
	var due []Due
	displaced := p.displaced
	p.displaced = nil
	for _, queued := range displaced {
		queued.late = false
		result, c, attempt := p.submit(now, queued)
		if result != SubmissionQueued {
			due = append(due, Due{key: queued.key, choice: c, attempt: attempt})
		}
	}
	return due
}

// dropLate marks the prompts of a queue that have become late and gives up those that
// can't be served before their client gives up.
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

// keepOrDropLate keeps a late prompt at the end of the queue or gives it up; ahead is
// the number of tokens before it.
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

// dequeue removes the prompt to prefill next from a queue.
func (p *Placer) dequeue(w *worker) *queuedPrompt {
	queued := w.queue[0]
	w.queue = slices.Delete(w.queue, 0, 1)
	return queued
}

// valueDensity returns the value of a prompt per token to prefill. One whose response
// has begun goes first, as its client sees a stalled stream.
func valueDensity(q Query, tokens float64) float64 {
	if q.ResponseStarted {
		return math.Inf(1)
	}
	return cmp.Or(q.Value, 1) / (tokens + promptOverheadTokens)
}

// Cancel removes a prompt from the queues after its client has disconnected.
func (p *Placer) Cancel(key uint64) {
	isLocal := func(queued *queuedPrompt) bool { return queued.key == key && queued.remote.gateway == "" }
	p.displaced = slices.DeleteFunc(p.displaced, isLocal)
	p.cancelRequest(key)
	for _, w := range p.ordered {
		w.queue = slices.DeleteFunc(w.queue, isLocal)
	}
}

// Waiting returns the number of queued prompts, including those of other gateways.
func (p *Placer) Waiting() int {
	n := len(p.displaced) + len(p.permitRequests)
	for _, w := range p.ordered {
		n += len(w.queue)
	}
	return n
}
