// Package admission implements the admission queue of a gateway: which request is
// served next, which wait and which are refused.
//
// It handles load above the capacity of the targets, for seconds (a burst) or
// for hours (overload), often from one caller and with long prompts among short
// ones. In a single unbounded FIFO queue the wait grows until every response is
// late although the targets are busy, one caller's thousand requests delay
// another caller's single one, and callers learn only after minutes of waiting
// that their deadlines can't be met.
//
// Policy:
//
//   - The queue of each kind of work is bounded in requests and in tokens.
//   - Callers share a queue by start-time fair queueing over estimated tokens. A
//     caller that was idle starts at the current virtual time, so it gains no
//     credit and carries no debt. Within a caller's flow the earliest deadline
//     is served first.
//   - Each priority is a class, weighted eight to one against the next lower
//     one. A class below its share is served first, and no class is starved.
//   - A request is refused on offer if its predicted start plus its service time
//     exceeds its deadline. The predicted wait is the cost ahead of the request
//     in service order divided by the drain rate, which is measured while
//     requests wait. It is corrected by the error of earlier predictions.
//   - A standing queue, one that hasn't been empty for 5 s, admits requests only
//     up to a wait of 1 s whatever the deadlines, since longer waits add latency
//     but no throughput.
//   - Waiting requests are checked every 50 ms and when the latest start of one
//     of them has passed. Those that can't meet their deadlines are refused.
//   - When a queue is full, the newest requests of the caller with the largest
//     weighted share are displaced, so that one caller's burst doesn't cause
//     refusals for callers with few requests.
//   - A refusal carries a retry delay. Refused work is scheduled end to end at
//     the drain rate, with seeded jitter, so that callers don't retry together.
//
// Predictions depend on the costs and service times of the requests, which an
// [Estimator] learns from responses.
//
// A [Queue] and an Estimator are not safe for concurrent use. A single event
// loop owns them.
package admission

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// Defaults of [Config]. Its fields document the reasons.
const (
	DefaultMaxCount       = 1024
	DefaultMaxCost        = 4 << 20
	DefaultDrainHorizon   = 10 * kumquatlug.Second
	DefaultExpiryInterval = 50
	DefaultStandingAfter  = 5 * kumquatlug.Second
	DefaultStandingWait   = kumquatlug.Second
	DefaultMinRetryAfter  = kumquatlug.Second
	DefaultMaxRetryAfter  = kumquatlug.Minute
)

const (
	// maxWaitShare is the share of a request's slack that it may wait. The
	// remaining tenth absorbs variations of the drain rate.
	maxWaitShare = 0.9
)

// Config configures a [Queue]. Zero fields take their defaults.
type Config struct {
	// MaxCount is the maximum number of waiting requests per kind. Default 1024:
	// with prompts of 32 KB their bodies take 32 MB, a quarter of the 128 MB
	// memory limit of a node.
	MaxCount int
	// MaxCost is the maximum cost of the waiting requests per kind, in prompt
	// tokens. Default 4 Mi: at 120,000 tokens per second (12 engines at 10,000)
	// that is 35 s of work. Requests beyond that are better refused than queued.
	MaxCost int64
	// DrainHorizon is the time constant of the drain rate. Default 10 s: several
	// request durations, so that one long response doesn't change the rate, and
	// short enough to detect a lost target before deadlines pass.
	DrainHorizon kumquatlug.Millis
	// ExpiryInterval is the interval at which waiting requests are checked for
	// lateness. Default 50 ms: the delay is not noticeable to callers, and a
	// check of 1,024 requests takes a small part of the interval.
	ExpiryInterval kumquatlug.Millis
	// StandingAfter is how long a queue can be non-empty before it counts as
	// standing. Default 5 s: shorter bursts are admitted completely.
	StandingAfter kumquatlug.Millis
	// StandingWait is the longest predicted wait admitted to a standing queue,
	// whatever the deadline. Default 1 s, which admits short and long requests in
	// about equal parts. 0.5 s admits more long ones. 2 s lowers the goodput at
	// five times the capacity from 0.93 to 0.89 (cmd/kumquatlug-experiment, seeds
	// 1 to 3).
	StandingWait kumquatlug.Millis
	// MinRetryAfter is the shortest retry delay of a refusal. Default 1 s, the
	// shortest that the Retry-After header can express.
	MinRetryAfter kumquatlug.Millis
	// MaxRetryAfter is the longest retry delay of a refusal before jitter, which
	// adds up to half. Default one minute: predictions beyond that are unreliable.
	MaxRetryAfter kumquatlug.Millis
	// Random is the source of the jitter. Default: a PCG with seeds 1 and 1.
	Random *rand.Rand
}

func (c Config) withDefaults() Config {
	c.MaxCount = standard.Int(c.MaxCount, DefaultMaxCount)
	c.MaxCost = standard.Int64(c.MaxCost, DefaultMaxCost)
	c.DrainHorizon = standard.Millis(c.DrainHorizon, DefaultDrainHorizon)
	c.ExpiryInterval = standard.Millis(c.ExpiryInterval, DefaultExpiryInterval)
	c.StandingAfter = standard.Millis(c.StandingAfter, DefaultStandingAfter)
	c.StandingWait = standard.Millis(c.StandingWait, DefaultStandingWait)
	c.MinRetryAfter = standard.Millis(c.MinRetryAfter, DefaultMinRetryAfter)
	c.MaxRetryAfter = standard.Millis(c.MaxRetryAfter, DefaultMaxRetryAfter)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

// Queue holds the waiting requests of one gateway, in a separate queue per kind.
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

// Offer queues r or refuses it. The decision's slices are valid until the next
// call of a method of the queue.
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
		return q.refuse(r, ReasonQueueFull, 0)
	}
	it := q.enqueue(kq, c, f, r)
	it.offeredAt, it.predictedWait = now, predicted
	if kq.count == 1 {
		q.lastCheck = max(q.lastCheck, now)
	}
	return Decision{verdict: VerdictQueued, wait: wait, displaced: q.refusals}
}

// allowedWait returns how long r may wait: maxWaitShare of its slack (the time
// to its deadline less its service time), and at most StandingWait in a standing
// queue. A queue that hasn't been empty for seconds no longer absorbs a burst. It
// keeps the targets no busier than a short queue would and only adds latency,
// until every dip of the drain rate makes requests late after a long wait.
func (q *Queue) allowedWait(now kumquatlug.Millis, kq *kindQueue, r Request) kumquatlug.Millis {
	slack := r.deadline - now - r.service
	if slack < 0 {
		return slack
	}
	allowed := kumquatlug.Millis(maxWaitShare * float64(slack))
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

// makeRoom reports whether r fits into kq. If necessary it first displaces the
// newest requests of callers whose weighted share exceeds that of r's caller.
func (q *Queue) makeRoom(kq *kindQueue, c *class, f *flow, r Request) bool {
	needCount := kq.count + 1 - q.config.MaxCount
	needCost := kq.cost + r.cost - q.config.MaxCost
	if needCount <= 0 && needCost <= 0 {
		return true
	}
	for _, victim := range kq.victims(c, f, r, needCount, needCost) {
		q.refusals = append(q.refusals, q.refusal(victim.request, ReasonAboveShare, 0))
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

// Kinds returns the kinds with waiting requests in name order. The slice is valid
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

// Peek returns the request of a kind that is served next without removing it, so
// that it keeps its position if no target has capacity. Call [Queue.Expire]
// first, so that no late request is served.
func (q *Queue) Peek(kind kumquatlug.Kind) (Request, bool) {
	kq, ok := q.kindQueues[kind]
	if !ok || kq.count == 0 {
		return Request{}, false
	}
	return kq.head().request, true
}

// Dequeue removes a request that is being sent and charges its cost to its caller's
// share. It reports whether the request was waiting.
func (q *Queue) Dequeue(now kumquatlug.Millis, id string) bool {
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

// Cancel removes a request without charging its caller's share, for example
// after the caller disconnected. It reports whether the request was waiting.
func (q *Queue) Cancel(now kumquatlug.Millis, id string) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	it.kindQueue.advance(now)
	q.remove(it)
	return true
}

// RecordServed adds work that targets have finished for this gateway, in prompt tokens
// (see [Cost]), to the drain rate of a kind. Call it as output streams in: with
// the prompt at the first token, then with each part of the output. If long
// responses were counted only at their end, the rate would drop to zero in
// between.
func (q *Queue) RecordServed(now kumquatlug.Millis, kind kumquatlug.Kind, tokens int64) {
	kq := q.kindQueue(kind)
	kq.advance(now)
	kq.drain.served(tokens, kq.count > 0)
}

// Expire removes and returns the requests that can no longer meet their
// deadlines. The slice is valid until the next call of a method of the queue.
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

// NextExpiry returns when Expire must be called next: at the next check, or earlier if
// the latest start of a waiting request passes before it. It returns false when
// no request is waiting.
func (q *Queue) NextExpiry() (kumquatlug.Millis, bool) {
	wake := q.lastCheck + q.config.ExpiryInterval
	for _, kq := range q.sorted {
		if kq.count > 0 {
			wake = min(wake, kq.minLatestStart+1)
		}
	}
	return wake, len(q.items) > 0
}

// Len returns the number of waiting requests of a kind.
func (q *Queue) Len(kind kumquatlug.Kind) int {
	if kq, ok := q.kindQueues[kind]; ok {
		return kq.count
	}
	return 0
}

// Cost returns the cost of the waiting requests of a kind, in prompt tokens.
func (q *Queue) Cost(kind kumquatlug.Kind) int64 {
	if kq, ok := q.kindQueues[kind]; ok {
		return kq.cost
	}
	return 0
}

// DrainRate returns the measured drain rate of a kind in prompt tokens per
// second, zero while unknown.
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
