package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// drainRateMargin is the factor by which the drain rate may exceed the measured
// one. A waiting request expires only if it would be late even at that rate.
// Without the margin, measurement noise would expire requests that can meet
// their deadlines.
const drainRateMargin = 1.25

// cursor is the position within one flow during a traversal in service order.
type cursor struct {
	flow  *flow
	index int
	start int64
}

// serviceOrder traverses a kind's queue in service order without changing it. It
// reuses its slices between traversals.
type serviceOrder struct {
	cursors [classCount][]cursor
	starts  [classCount]int64
	late    []*item
}

// mayBeLate reports whether any waiting request can be late. None is if the
// whole queue drains before the earliest latest start.
func (kq *kindQueue) mayBeLate(now kumquatlug.Millis) bool {
	if kq.count == 0 {
		return false
	}
	end := now
	if rate := kq.drain.rate(); rate > 0 {
		end += timeAtRate(rate*drainRateMargin, float64(kq.cost))
	}
	return end > kq.minLatestStart
}

// findLate returns the requests that can't meet their deadlines. They don't
// count towards the wait of the requests behind them.
func (o *serviceOrder) findLate(now kumquatlug.Millis, kq *kindQueue) []*item {
	o.begin(kq)
	minLatestStart := kumquatlug.Millis(math.MaxInt64)
	rate, ahead := kq.drain.rate()*drainRateMargin, 0.0
	for n := o.nextClass(); n >= 0; n = o.nextClass() {
		it := o.next(n)
		start := now
		if rate > 0 {
			start += timeAtRate(rate, ahead)
		}
		latestStart := it.request.deadline - it.request.service
		if start > latestStart {
			o.late = append(o.late, it)
			o.fixTop(n)
			continue
		}
		minLatestStart = min(minLatestStart, latestStart)
		ahead += float64(it.request.cost)
		o.charge(n, kq, it.request.cost)
		o.fixTop(n)
	}
	kq.minLatestStart = minLatestStart
	return o.late
}

func (o *serviceOrder) begin(kq *kindQueue) {
	o.late = o.late[:0]
	for n, c := range kq.classes {
		o.starts[n] = c.start
		o.cursors[n] = o.cursors[n][:0]
		for _, f := range c.heap {
			o.cursors[n] = append(o.cursors[n], cursor{flow: f, start: f.start})
		}
	}
}

// nextClass returns the index of the class that is served next, -1 at the end.
func (o *serviceOrder) nextClass() int {
	best := -1
	for n := range o.cursors {
		if len(o.cursors[n]) > 0 && (best < 0 || o.starts[n] <= o.starts[best]) {
			best = n
		}
	}
	return best
}

// next returns the next request of class n and advances the cursor.
func (o *serviceOrder) next(n int) *item {
	c := &o.cursors[n][0]
	it := c.flow.entries[c.index].item
	c.index++
	return it
}

// charge adds cost to the virtual start of class n and of the flow at the top of
// its heap.
func (o *serviceOrder) charge(n int, kq *kindQueue, cost int64) {
	o.starts[n] += cost * virtualScale / kq.classes[n].weight
	c := &o.cursors[n][0]
	c.start += cost * virtualScale / c.flow.weight
}

// fixTop restores the heap order of class n after its top was charged or
// exhausted.
func (o *serviceOrder) fixTop(n int) {
	h := o.cursors[n]
	if h[0].index == len(h[0].flow.entries) {
		last := len(h) - 1
		h[0] = h[last]
		h = h[:last]
		o.cursors[n] = h
	}
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if startsBefore(h[child].start, h[child].flow.caller, h[smallest].start, h[smallest].flow.caller) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		h[i], h[smallest] = h[smallest], h[i]
		i = smallest
	}
}
