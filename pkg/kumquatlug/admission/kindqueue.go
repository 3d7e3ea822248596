package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// kindQueue holds the waiting requests of one kind. virtualTime is the virtual
// time of its classes, maxStart the largest virtual start among them.
type kindQueue struct {
	kind            kumquatlug.Kind
	maxCount        float64
	maxCost         float64
	classes         [classCount]*class
	virtualTime     int64
	maxStart        int64
	cost            int64
	count           int
	drain           drainEstimator
	predictionError waitPredictionError
	lastEmptyAt     kumquatlug.Millis
	// minLatestStart is a lower bound of the latest start (deadline minus service
	// time) of all waiting requests.
	minLatestStart kumquatlug.Millis
	// victimList is the reused result of victims.
	victimList []*item
}

func newKindQueue(kind kumquatlug.Kind, c Config) *kindQueue {
	kq := &kindQueue{
		kind: kind, maxCount: float64(c.MaxCount), maxCost: float64(c.MaxCost),
		drain: drainEstimator{horizonMs: float64(c.DrainHorizon)}, minLatestStart: math.MaxInt64,
	}
	weight := int64(1)
	for n := range kq.classes {
		kq.classes[n] = &class{weight: weight, flows: make(map[string]*flow)}
		weight *= classWeightRatio
	}
	return kq
}

func (kq *kindQueue) advance(now kumquatlug.Millis) {
	kq.drain.advance(now, kq.count > 0)
	if kq.count == 0 {
		kq.lastEmptyAt = now
	}
}

func (kq *kindQueue) flowFor(r Request) (*class, *flow) {
	c := kq.classes[r.priority-LowestPriority]
	return c, c.flow(r.caller, r.weight)
}

func (kq *kindQueue) startOf(c *class) int64 {
	if len(c.heap) > 0 {
		return c.start
	}
	return max(c.start, kq.virtualTime)
}

func (kq *kindQueue) add(it *item) {
	it.class.start = kq.startOf(it.class)
	it.class.add(it)
	kq.updateShare(it.class, it.flow)
	kq.cost += it.request.cost
	kq.count++
	kq.minLatestStart = min(kq.minLatestStart, it.request.deadline-it.request.service)
}

func (kq *kindQueue) remove(it *item) {
	it.class.remove(it)
	kq.updateShare(it.class, it.flow)
	kq.cost -= it.request.cost
	kq.count--
	if kq.count == 0 {
		kq.virtualTime = max(kq.virtualTime, kq.maxStart)
		kq.minLatestStart = math.MaxInt64
	}
}

// charge adds the item's cost to the virtual start of its class and its flow.
func (kq *kindQueue) charge(it *item) {
	c := it.class
	kq.virtualTime = max(kq.virtualTime, c.start)
	c.start += it.request.cost * virtualScale / c.weight
	kq.maxStart = max(kq.maxStart, c.start)
	c.charge(it.flow, it.request.cost)
}

// head returns the item that is served next. The queue must not be empty.
func (kq *kindQueue) head() *item {
	var best *class
	for _, c := range kq.classes {
		if len(c.heap) > 0 && (best == nil || c.start <= best.start) {
			best = c
		}
	}
	return best.heap[0].entries[0].item
}

func (kq *kindQueue) removeIdleFlows() {
	for _, c := range kq.classes {
		c.removeIdleFlows()
	}
}

// predictWait returns the wait of r if it were added to f now, zero while the
// drain rate is unknown.
func (kq *kindQueue) predictWait(c *class, f *flow, r Request) kumquatlug.Millis {
	rate := kq.drain.rate()
	if kq.count == 0 || rate == 0 {
		return 0
	}
	return timeAtRate(rate, float64(kq.tokensAhead(c, f, r)))
}

// tokensAhead returns the cost that is served before r: the earlier deadlines of
// its own flow, and the part of every other flow and class that starts before it
// in virtual time.
func (kq *kindQueue) tokensAhead(c *class, f *flow, r Request) int64 {
	ownTokens := f.costBefore(r.deadline)
	start := c.startOf(f) + ownTokens*virtualScale/f.weight
	ahead := ownTokens
	for _, other := range c.heap {
		if other != f {
			ahead += costStartedBefore(start, other.start, other.weight, other.cost, int64(len(other.entries)))
		}
	}
	start = kq.startOf(c) + ahead*virtualScale/c.weight
	for _, otherClass := range kq.classes {
		if otherClass != c && len(otherClass.heap) > 0 {
			ahead += costStartedBefore(start, otherClass.start, otherClass.weight, otherClass.cost, int64(len(otherClass.heap)))
		}
	}
	return ahead
}

// costStartedBefore returns how much of the cost of a flow or class starts
// before a point in virtual time. It is the service earned by its weight until
// then plus half a mean request, since a request in service at that point is
// served completely.
func costStartedBefore(point, start, weight, cost, requests int64) int64 {
	if point <= start {
		return 0
	}
	earned := (point - start) / virtualScale * weight
	return min(cost, earned+cost/requests/2)
}

// victims returns waiting requests whose removal makes room for r. It repeatedly
// selects the newest request of the flow with the largest weighted share, as
// long as that share exceeds the share of r's flow with r added. It returns none
// if that doesn't free enough. The slice is valid until the next call.
func (kq *kindQueue) victims(c *class, f *flow, r Request, needCount int, needCost int64) []*item {
	kq.victimList = kq.victimList[:0]
	threshold := kq.share(c, f, len(f.entries)+1, f.cost+r.cost)
	for needCount > 0 || needCost > 0 {
		largest := kq.largestShare(threshold, f)
		if largest == nil {
			break
		}
		it := kq.markVictim(largest)
		needCount--
		needCost -= it.request.cost
	}
	kq.unmarkVictims()
	if needCount > 0 || needCost > 0 {
		return nil
	}
	return kq.victimList
}

// markVictim selects the newest item of f. It doesn't count towards f's share
// until unmarkVictims.
func (kq *kindQueue) markVictim(f *flow) *item {
	it := f.newest()
	it.isVictim = true
	f.victimCount++
	f.victimCost += it.request.cost
	kq.updateShare(it.class, f)
	kq.victimList = append(kq.victimList, it)
	return it
}

func (kq *kindQueue) unmarkVictims() {
	for _, it := range kq.victimList {
		it.isVictim = false
		it.flow.victimCount, it.flow.victimCost = 0, 0
		kq.updateShare(it.class, it.flow)
	}
}

func (kq *kindQueue) largestShare(threshold float64, except *flow) *flow {
	var found *flow
	for _, c := range kq.classes {
		for _, other := range c.heap {
			if other.share < threshold || other == except || other.share == threshold && (found == nil || other.caller > found.caller) {
				continue
			}
			found, threshold = other, other.share
		}
	}
	return found
}

// updateShare recomputes f's cached share, which keeps the search for the
// largest share a plain scan.
func (kq *kindQueue) updateShare(c *class, f *flow) {
	f.share = kq.share(c, f, len(f.entries)-f.victimCount, f.cost-f.victimCost)
}

// share returns the share of the queue's bounds that f uses with count
// requests and cost tokens, whichever share is larger, divided by its weight.
// Counting both keeps a caller from filling the queue with many tiny requests.
func (kq *kindQueue) share(c *class, f *flow, count int, cost int64) float64 {
	used := max(float64(count)/kq.maxCount, float64(cost)/kq.maxCost)
	return used / float64(f.weight*c.weight)
}

// retryAfter returns the time after which a retry can succeed for a request of
// this cost that would be late by excess. Refused work is scheduled end to end
// at the drain rate, with jitter of up to half the time.
func (kq *kindQueue) retryAfter(config Config, cost int64, excess kumquatlug.Millis) kumquatlug.Millis {
	wait := config.MinRetryAfter
	if rate := kq.drain.rate(); rate > 0 {
		wait = max(wait, excess+timeAtRate(rate, kq.drain.retryTokens+float64(cost)))
		kq.drain.retryTokens += float64(cost)
	}
	wait = min(wait, config.MaxRetryAfter)
	return wait + kumquatlug.Millis(config.Random.Int64N(int64(wait)/2+1))
}
