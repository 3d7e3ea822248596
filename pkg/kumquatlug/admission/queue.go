// Package admission decides whom an entry serves next, who waits and who is
// refused at once.
//
// Load pattern: more work arrives than the targets finish, for seconds (a
// burst) or for hours (overload), often from one caller, and long prompts
// stand among short ones. Without this package every request waits in one
// line: the line grows until each answer is late, so that the targets are busy
// all day and yet nothing is on time; one hot caller's thousand requests stand
// before a quiet caller's single one; and a caller learns after two minutes
// what was known in the first millisecond.
//
// What it does instead:
//
//   - The line of each kind of work is bounded in requests and in tokens.
//   - Callers take turns by start-time fair queueing over estimated tokens: a
//     caller that was idle starts at the current virtual time, so it can
//     neither hoard a share nor pay for having been away. Within a caller's
//     share the earliest deadline goes first.
//   - Priorities are classes that share by weight, eight to one a step. A class
//     below its share goes first at once, and no class can be starved.
//   - A request whose predicted start plus its service time passes its deadline
//     is refused when it is offered. The prediction divides the tokens ahead of
//     it in the fair order by the drain rate measured while work was waiting,
//     and is corrected by how far earlier predictions fell short.
//   - A line that hasn't been empty for 5 s is kept to a second's wait, however
//     distant the deadlines: it only makes answers late.
//   - What waits is looked at again every 50 ms, and when its latest start has
//     passed, and is refused as soon as it is known to be late.
//   - When a line is full, the newest work of the caller furthest above its
//     share makes room, so that a hot caller can't cause a quiet one's refusal.
//   - A refusal says when to come back: refused work is laid end to end at the
//     drain rate, with seeded jitter, so that callers don't return together.
//
// The prediction is as good as the costs and service times that come with the
// requests; an [Estimator] learns them from answers.
//
// A [Queue] is owned by one loop and is not safe for concurrent use, and so is
// an Estimator.
package admission

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// Grounds of the defaults stand at the fields of [Config].
const (
	DefaultMaxCount      = 1024
	DefaultMaxCost       = 4 << 20
	DefaultDrainHorizon  = 10 * kumquatlug.Second
	DefaultCheckEvery    = 50
	DefaultStandingAfter = 5 * kumquatlug.Second
	DefaultStandingWait  = kumquatlug.Second
	DefaultMinRetryAfter = kumquatlug.Second
	DefaultMaxRetryAfter = kumquatlug.Minute
)

const (
	// maxWaitFraction leaves a tenth of the spare time for swings of the drain rate.
	maxWaitFraction = 0.9
)

// Config is what a [Queue] is made of.
type Config struct {
	// MaxCount bounds the requests that wait in one kind's line. Default 1024:
	// with prompts of 32 KB their bodies take 32 MB, a quarter of the 128 MB
	// that a node may spend.
	MaxCount int
	// MaxCost bounds the tokens that wait in one kind's line. Default 4 Mi: at
	// 120,000 tokens a second (12 engines of 10,000) that is 35 s of work, and
	// whoever stands further back is better told so than kept.
	MaxCost int64
	// DrainHorizon is how far back the drain rate looks, in milliseconds.
	// Default 10 s: some request lengths, so that one long answer doesn't move
	// it, and short enough that a lost target shows before deadlines pass.
	DrainHorizon kumquatlug.Millis
	// CheckEvery is the time between two looks at what waits. Default 50 ms:
	// no caller notices it, and a look at 1,024 requests takes a small part.
	CheckEvery kumquatlug.Millis
	// StandingAfter is how long a line may go without being empty before it
	// counts as standing. Default 5 s: bursts that are over by then are taken
	// in whole.
	StandingAfter kumquatlug.Millis
	// StandingWait is how long may be waited in a standing line, whatever the
	// deadline. Default 1 s: it lets in short and long requests in about equal
	// parts, with 0.5 s more long ones; with 2 s five times the load left 0.89
	// of the goodput in place of 0.93 (cmd/kumquatlug-experiment, seeds 1 to 3).
	StandingWait kumquatlug.Millis
	// MinRetryAfter is the least time a refusal names. Default 1 s, the least
	// that the Retry-After header can carry.
	MinRetryAfter kumquatlug.Millis
	// MaxRetryAfter bounds the time a refusal names, before the jitter of up
	// to a half. Default one minute: after that the forecast is worth nothing.
	MaxRetryAfter kumquatlug.Millis
	// Random is the seeded source of the jitter. Default: seeds 1 and 1.
	Random *rand.Rand
}

func (c Config) withDefaults() Config {
	c.MaxCount = standard.Int(c.MaxCount, DefaultMaxCount)
	c.MaxCost = standard.Int64(c.MaxCost, DefaultMaxCost)
	c.DrainHorizon = standard.Millis(c.DrainHorizon, DefaultDrainHorizon)
	c.CheckEvery = standard.Millis(c.CheckEvery, DefaultCheckEvery)
	c.StandingAfter = standard.Millis(c.StandingAfter, DefaultStandingAfter)
	c.StandingWait = standard.Millis(c.StandingWait, DefaultStandingWait)
	c.MinRetryAfter = standard.Millis(c.MinRetryAfter, DefaultMinRetryAfter)
	c.MaxRetryAfter = standard.Millis(c.MaxRetryAfter, DefaultMaxRetryAfter)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

// Queue holds the requests of one entry that wait, a line for each kind.
type Queue struct {
	config     Config
	kindQueues map[kumquatlug.Kind]*kindQueue
	sorted     []*kindQueue
	items      map[string]*item
	free       []*item
	kinds      []kumquatlug.Kind
	refusals   []Refusal
	order      serviceOrder
	arrivals   uint64
	lastCheck  kumquatlug.Millis
}

// New returns an empty queue.
func New(c Config) *Queue {
	return &Queue{
		config:     c.withDefaults(),
		kindQueues: make(map[kumquatlug.Kind]*kindQueue),
		items:      make(map[string]*item),
	}
}

// Offer puts r in its kind's line or refuses it at once. The decision's slices
// are valid until the next call of the queue.
func (q *Queue) Offer(now kumquatlug.Millis, r Request) Decision {
	q.refusals = q.refusals[:0]
	kq := q.kindQueue(r.kind)
	kq.advance(now)
	if reason := q.invalidReason(r); reason != "" {
		return q.refuse(r, reason, 0)
	}
	c, f := kq.flowFor(r)
	predicted := kq.predictWait(c, f, r)
	wait := kq.predictionError.correct(predicted)
	if excess := wait - q.allowedWait(now, kq, r); excess > 0 {
		return q.refuse(r, ReasonDeadline, excess)
	}
	if !q.makeRoom(kq, c, f, r) {
		return q.refuse(r, ReasonFull, 0)
	}
	it := q.enqueue(kq, c, f, r)
	it.offeredAt, it.predictedWait = now, predicted
	if kq.count == 1 {
		q.lastCheck = max(q.lastCheck, now)
	}
	return Decision{verdict: VerdictQueued, wait: wait, displaced: q.refusals}
}

// allowedWait returns how long r may wait: a part of the time that is left when
// its service is taken off, and less in a standing line. A line that hasn't been
// empty for seconds isn't taking in a burst any more; it gives the targets no
// more work than a short one would, and only makes each answer later, until
// each swing of the drain rate makes the tail late after it has waited.
func (q *Queue) allowedWait(now kumquatlug.Millis, kq *kindQueue, r Request) kumquatlug.Millis {
	slack := r.deadline - now - r.service
	if slack < 0 {
		return slack
	}
	allowed := kumquatlug.Millis(maxWaitFraction * float64(slack))
	if now-kq.lastEmptyAt > q.config.StandingAfter {
		return min(allowed, q.config.StandingWait)
	}
	return allowed
}

func (q *Queue) invalidReason(r Request) Reason {
	if _, known := q.items[r.id]; known {
		return ReasonDuplicate
	}
	if r.cost > q.config.MaxCost {
		return ReasonTooLarge
	}
	return ""
}

func (q *Queue) refuse(r Request, reason Reason, excess kumquatlug.Millis) Decision {
	return Decision{verdict: VerdictRefused, refusal: q.refusal(r, reason, excess)}
}

func (q *Queue) refusal(r Request, reason Reason, excess kumquatlug.Millis) Refusal {
	refusal := Refusal{request: r, reason: reason}
	if reason != ReasonTooLarge && reason != ReasonDuplicate {
		refusal.retryAfter = q.kindQueues[r.kind].retryAfter(q.config, r.cost, excess)
	}
	return refusal
}

// makeRoom reports whether r fits, after it has refused the newest work of
// callers that are further above their share than r's caller would be.
func (q *Queue) makeRoom(kq *kindQueue, c *class, f *flow, r Request) bool {
	needCount := kq.count + 1 - q.config.MaxCount
	needCost := kq.cost + r.cost - q.config.MaxCost
	if needCount <= 0 && needCost <= 0 {
		return true
	}
	for _, victim := range kq.victims(c, f, r, needCount, needCost) {
		q.refusals = append(q.refusals, q.refusal(victim.request, ReasonShare, 0))
		q.remove(victim)
	}
	return len(q.refusals) > 0
}

func (q *Queue) enqueue(kq *kindQueue, c *class, f *flow, r Request) *item {
	it := q.newItem()
	q.arrivals++
	it.request, it.arrival, it.kindQueue, it.class, it.flow = r, q.arrivals, kq, c, f
	q.items[r.id] = it
	kq.add(it)
	return it
}

// Kinds returns the kinds with waiting work in name order; the slice is valid
// until the next call.
func (q *Queue) Kinds() []kumquatlug.Kind {
	q.kinds = q.kinds[:0]
	for _, kq := range q.sorted {
		if kq.count > 0 {
			q.kinds = append(q.kinds, kq.kind)
		}
	}
	return q.kinds
}

// Next returns the request of a kind that is to be served next, without
// removing it: when no target has room for it, it keeps its place. Call
// [Queue.Expire] first, so that no late request is served.
func (q *Queue) Next(kind kumquatlug.Kind) (Request, bool) {
	kq, ok := q.kindQueues[kind]
	if !ok || kq.count == 0 {
		return Request{}, false
	}
	return kq.head().request, true
}

// Take removes a request that is now being served and charges its caller's
// share. It reports false when the request doesn't wait.
func (q *Queue) Take(now kumquatlug.Millis, id string) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	it.kindQueue.advance(now)
	it.kindQueue.charge(it)
	it.kindQueue.predictionError.learn(now-it.offeredAt, it.predictedWait)
	q.remove(it)
	return true
}

// Cancel removes a request whose caller has gone; its share isn't charged. It
// reports false when the request doesn't wait.
func (q *Queue) Cancel(now kumquatlug.Millis, id string) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	it.kindQueue.advance(now)
	q.remove(it)
	return true
}

// Served feeds the drain rate: tokens of a kind that targets have finished for
// this entry. Give it portions as they stream in (the prompt at the first
// token, then each piece of output): were a long answer counted only at its
// end, the rate would fall to nothing in between.
func (q *Queue) Served(now kumquatlug.Millis, kind kumquatlug.Kind, tokens int64) {
	kq := q.kindQueue(kind)
	kq.advance(now)
	kq.drain.served(tokens, kq.count > 0)
}

// Expire removes and returns those that can't make their deadline any more.
// The slice is valid until the next call of the queue.
func (q *Queue) Expire(now kumquatlug.Millis) []Refusal {
	q.lastCheck = now
	q.refusals = q.refusals[:0]
	for _, kq := range q.sorted {
		kq.advance(now)
		q.expireKind(now, kq)
		kq.removeIdleFlows()
	}
	return q.refusals
}

func (q *Queue) expireKind(now kumquatlug.Millis, kq *kindQueue) {
	if !kq.mayBeLate(now) {
		return
	}
	for _, it := range q.order.findLate(now, kq) {
		kq.predictionError.learn(now-it.offeredAt, it.predictedWait)
		excess := now + it.request.service - it.request.deadline
		q.refusals = append(q.refusals, q.refusal(it.request, ReasonDeadline, max(excess, 0)))
		q.remove(it)
	}
}

// Wake returns when Expire must be called next, and false when nothing waits:
// at the next look, or before it when the first latest start has passed.
func (q *Queue) Wake() (kumquatlug.Millis, bool) {
	wake := q.lastCheck + q.config.CheckEvery
	for _, kq := range q.sorted {
		if kq.count > 0 {
			wake = min(wake, kq.minLatestStart+1)
		}
	}
	return wake, len(q.items) > 0
}

// Len returns how many requests of a kind wait.
func (q *Queue) Len(kind kumquatlug.Kind) int {
	if kq, ok := q.kindQueues[kind]; ok {
		return kq.count
	}
	return 0
}

// Cost returns the tokens of a kind that wait.
func (q *Queue) Cost(kind kumquatlug.Kind) int64 {
	if kq, ok := q.kindQueues[kind]; ok {
		return kq.cost
	}
	return 0
}

// DrainRate returns the measured tokens a second of a kind, zero when nothing
// is known yet.
func (q *Queue) DrainRate(now kumquatlug.Millis, kind kumquatlug.Kind) float64 {
	kq, ok := q.kindQueues[kind]
	if !ok {
		return 0
	}
	kq.advance(now)
	return kq.drain.rate() * float64(kumquatlug.Second)
}

func (q *Queue) kindQueue(kind kumquatlug.Kind) *kindQueue {
	if kq, ok := q.kindQueues[kind]; ok {
		return kq
	}
	kq := newKindQueue(kind, q.config)
	q.kindQueues[kind] = kq
	q.sorted = append(q.sorted, kq)
	slices.SortFunc(q.sorted, func(a, b *kindQueue) int {
		return strings.Compare(a.kind.String(), b.kind.String())
	})
	return kq
}

func (q *Queue) newItem() *item {
	if last := len(q.free) - 1; last >= 0 {
		it := q.free[last]
		q.free = q.free[:last]
		return it
	}
	return &item{}
}

func (q *Queue) remove(it *item) {
	it.kindQueue.remove(it)
	delete(q.items, it.request.id)
	*it = item{}
	q.free = append(q.free, it)
}
