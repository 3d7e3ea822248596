package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// kindQueue is the waiting work of one kind.
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
	// minLatestStart is no later than the latest start of anything that waits.
	minLatestStart kumquatlug.Millis
	victimList     []*item
}

func newKindQueue(kind kumquatlug.Kind, c Config) *kindQueue {
	kq := &kindQueue{
		kind: kind, maxCount: float64(c.MaxCount), maxCost: float64(c.MaxCost),
		drain: drainEstimator{horizonMillis: float64(c.DrainHorizon)}, minLatestStart: math.MaxInt64,
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

// charge moves the class and the caller of it on by its cost.
func (kq *kindQueue) charge(it *item) {
	c := it.class
	kq.virtualTime = max(kq.virtualTime, c.start)
	c.start += it.request.cost * virtualScale / c.weight
	kq.maxStart = max(kq.maxStart, c.start)
	c.charge(it.flow, it.request.cost)
}

// head returns what is served next; something must wait.
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

// predictWait returns how long r would wait if it stood in f now; zero while
// the drain rate isn't known.
func (kq *kindQueue) predictWait(c *class, f *flow, r Request) kumquatlug.Millis {
	rate := kq.drain.rate()
	if kq.count == 0 || rate == 0 {
		return 0
	}
	return timeAtRate(rate, float64(kq.tokensAhead(c, f, r)))
}

// tokensAhead returns the tokens that the fair order serves before r: its caller's
// own earlier deadlines, then of every other caller and class what starts
// before it in virtual time.
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

// costStartedBefore returns how much of a share's cost starts before a point of
// virtual time: what its weight earns until then, and half a piece more, since
// the piece under way at that point is served whole.
func costStartedBefore(point, start, weight, cost, requests int64) int64 {
	if point <= start {
		return 0
	}
	earned := (point - start) / virtualScale * weight
	return min(cost, earned+cost/requests/2)
}

// victims returns waiting requests whose removal makes room for r: each time
// the newest of the caller furthest above its share, as long as that caller
// stands further above it than r's would. It returns none if that isn't enough.
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

// markVictim chooses the newest of g; until unmark, g counts without it.
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

// updateShare brings f's share up to date; kept, it makes the search for the caller
// furthest above its share a plain scan.
func (kq *kindQueue) updateShare(c *class, f *flow) {
	f.share = kq.share(c, f, len(f.entries)-f.victimCount, f.cost-f.victimCost)
}

// share returns the part of the line that f holds with so many requests and
// tokens, whichever is more, for each unit of its weight. Counting both keeps a
// caller of many tiny requests from filling the line unseen.
func (kq *kindQueue) share(c *class, f *flow, count int, cost int64) float64 {
	fraction := max(float64(count)/kq.maxCount, float64(cost)/kq.maxCost)
	return fraction / float64(f.weight*c.weight)
}

// retryAfter returns when coming back helps a request of this cost that would
// be late by so much.
func (kq *kindQueue) retryAfter(config Config, cost int64, excess kumquatlug.Millis) kumquatlug.Millis {
	wait := config.MinRetryAfter
	if rate := kq.drain.rate(); rate > 0 {
		wait = max(wait, excess+timeAtRate(rate, kq.drain.retryTokens+float64(cost)))
		kq.drain.retryTokens += float64(cost)
	}
	wait = min(wait, config.MaxRetryAfter)
	return wait + kumquatlug.Millis(config.Random.Int64N(int64(wait)/2+1))
}
