package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// drainRateMargin is how much faster than measured the drain may turn out to be. A
// request that waits is given up only if it would be late even then: with no
// allowance the noise of the measurement would throw out work that makes it.
const drainRateMargin = 1.25

// cursor is one caller's place in a walk through the fair order.
type cursor struct {
	flow  *flow
	index int
	start int64
}

// serviceOrder goes through a line in the order in which it will be served. It keeps
// its slices from one walk to the next.
type serviceOrder struct {
	cursors [classCount][]cursor
	starts  [classCount]int64
	late    []*item
}

// mayBeLate reports whether a walk could find anything: if the whole line is
// done before the tightest deadline, nothing is late.
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

// findLate returns what can't make its deadline. What is given up delays nobody
// behind it.
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

// nextClass returns the class that is served next, -1 at the end.
func (o *serviceOrder) nextClass() int {
	best := -1
	for n := range o.cursors {
		if len(o.cursors[n]) > 0 && (best < 0 || o.starts[n] <= o.starts[best]) {
			best = n
		}
	}
	return best
}

// next returns the next request of a class and moves past it.
func (o *serviceOrder) next(n int) *item {
	c := &o.cursors[n][0]
	it := c.flow.entries[c.index].item
	c.index++
	return it
}

// charge moves the class and the caller at its top on by cost.
func (o *serviceOrder) charge(n int, kq *kindQueue, cost int64) {
	o.starts[n] += cost * virtualScale / kq.classes[n].weight
	c := &o.cursors[n][0]
	c.start += cost * virtualScale / c.flow.weight
}

// fixTop restores the heap order of a class after its top has moved or ended.
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
