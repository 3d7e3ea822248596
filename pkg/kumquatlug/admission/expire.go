package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// doubt is how much faster than measured the drain may turn out to be. A
// request that waits is given up only if it would be late even then: with no
// allowance the noise of the measurement would throw out work that makes it.
const doubt = 1.25

// cursor is one caller's place in a walk through the fair order.
type cursor struct {
	flow  *flow
	next  int
	start int64
}

// walk goes through a line in the order in which it will be served. It keeps
// its slices from one walk to the next.
type walk struct {
	cursors [classes][]cursor
	starts  [classes]int64
	found   []*item
}

// mayBeLate reports whether a walk could find anything: if the whole line is
// done before the tightest deadline, nothing is late.
func (l *line) mayBeLate(now kumquatlug.Millis) bool {
	if l.count == 0 {
		return false
	}
	end := now
	if rate := l.drain.rate(); rate > 0 {
		end += spanAt(rate*doubt, float64(l.cost))
	}
	return end > l.tightest
}

// late returns what can't make its deadline. What is given up delays nobody
// behind it.
func (w *walk) late(now kumquatlug.Millis, l *line) []*item {
	w.begin(l)
	tightest := kumquatlug.Millis(math.MaxInt64)
	rate, ahead := l.drain.rate()*doubt, 0.0
	for n := w.class(); n >= 0; n = w.class() {
		it := w.step(n)
		begin := now
		if rate > 0 {
			begin += spanAt(rate, ahead)
		}
		latest := it.request.deadline - it.request.service
		if begin > latest {
			w.found = append(w.found, it)
			w.settle(n)
			continue
		}
		tightest = min(tightest, latest)
		ahead += float64(it.request.cost)
		w.charge(n, l, it.request.cost)
		w.settle(n)
	}
	l.tightest = tightest
	return w.found
}

func (w *walk) begin(l *line) {
	w.found = w.found[:0]
	for n, c := range l.classes {
		w.starts[n] = c.start
		w.cursors[n] = w.cursors[n][:0]
		for _, f := range c.heap {
			w.cursors[n] = append(w.cursors[n], cursor{flow: f, start: f.start})
		}
	}
}

// class returns the class that is served next, -1 at the end.
func (w *walk) class() int {
	best := -1
	for n := range w.cursors {
		if len(w.cursors[n]) > 0 && (best < 0 || w.starts[n] <= w.starts[best]) {
			best = n
		}
	}
	return best
}

// step returns the next request of a class and moves past it.
func (w *walk) step(n int) *item {
	c := &w.cursors[n][0]
	it := c.flow.entries[c.next].item
	c.next++
	return it
}

// charge moves the class and the caller at its top on by cost.
func (w *walk) charge(n int, l *line, cost int64) {
	w.starts[n] += cost * virtualScale / l.classes[n].weight
	c := &w.cursors[n][0]
	c.start += cost * virtualScale / c.flow.weight
}

// settle restores the heap order of a class after its top has moved or ended.
func (w *walk) settle(n int) {
	h := w.cursors[n]
	if h[0].next == len(h[0].flow.entries) {
		last := len(h) - 1
		h[0] = h[last]
		h = h[:last]
		w.cursors[n] = h
	}
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if before(h[child].start, h[child].flow.caller, h[least].start, h[least].flow.caller) {
				least = child
			}
		}
		if least == i {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
