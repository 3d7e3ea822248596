package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// line is the waiting work of one kind.
type line struct {
	kind     kumquatlug.Kind
	maxCount float64
	maxCost  float64
	classes  [classes]*class
	virtual  int64
	latest   int64
	cost     int64
	count    int
	drain    drain
	error    forecastError
	emptyAt  kumquatlug.Millis
	// tightest is no later than the latest start of anything that waits.
	tightest kumquatlug.Millis
	marked   []*item
}

func newLine(kind kumquatlug.Kind, c Config) *line {
	l := &line{
		kind: kind, maxCount: float64(c.MaxCount), maxCost: float64(c.MaxCost),
		drain: drain{horizon: float64(c.DrainHorizon)}, tightest: math.MaxInt64,
	}
	weight := int64(1)
	for n := range l.classes {
		l.classes[n] = &class{weight: weight, flows: make(map[string]*flow)}
		weight *= classStep
	}
	return l
}

func (l *line) advance(now kumquatlug.Millis) {
	l.drain.advance(now, l.count > 0)
	if l.count == 0 {
		l.emptyAt = now
	}
}

func (l *line) place(r Request) (*class, *flow) {
	c := l.classes[r.priority-LowestPriority]
	return c, c.flow(r.caller, r.weight)
}

func (l *line) startOf(c *class) int64 {
	if len(c.heap) > 0 {
		return c.start
	}
	return max(c.start, l.virtual)
}

func (l *line) add(it *item) {
	it.class.start = l.startOf(it.class)
	it.class.add(it)
	l.weigh(it.class, it.flow)
	l.cost += it.request.cost
	l.count++
	l.tightest = min(l.tightest, it.request.deadline-it.request.service)
}

func (l *line) remove(it *item) {
	it.class.remove(it)
	l.weigh(it.class, it.flow)
	l.cost -= it.request.cost
	l.count--
	if l.count == 0 {
		l.virtual = max(l.virtual, l.latest)
		l.tightest = math.MaxInt64
	}
}

// charge moves the class and the caller of it on by its cost.
func (l *line) charge(it *item) {
	c := it.class
	l.virtual = max(l.virtual, c.start)
	c.start += it.request.cost * virtualScale / c.weight
	l.latest = max(l.latest, c.start)
	c.charge(it.flow, it.request.cost)
}

// first returns what is served next; something must wait.
func (l *line) first() *item {
	var best *class
	for _, c := range l.classes {
		if len(c.heap) > 0 && (best == nil || c.start <= best.start) {
			best = c
		}
	}
	return best.heap[0].entries[0].item
}

func (l *line) forgetIdle() {
	for _, c := range l.classes {
		c.forgetIdle()
	}
}

// predictWait returns how long r would wait if it stood in f now; zero while
// the drain rate isn't known.
func (l *line) predictWait(c *class, f *flow, r Request) kumquatlug.Millis {
	rate := l.drain.rate()
	if l.count == 0 || rate == 0 {
		return 0
	}
	return spanAt(rate, float64(l.ahead(c, f, r)))
}

// ahead returns the tokens that the fair order serves before r: its caller's
// own earlier deadlines, then of every other caller and class what starts
// before it in virtual time.
func (l *line) ahead(c *class, f *flow, r Request) int64 {
	own := f.costBefore(r.deadline)
	start := c.startOf(f) + own*virtualScale/f.weight
	ahead := own
	for _, g := range c.heap {
		if g != f {
			ahead += startedBefore(start, g.start, g.weight, g.cost, int64(len(g.entries)))
		}
	}
	start = l.startOf(c) + ahead*virtualScale/c.weight
	for _, d := range l.classes {
		if d != c && len(d.heap) > 0 {
			ahead += startedBefore(start, d.start, d.weight, d.cost, int64(len(d.heap)))
		}
	}
	return ahead
}

// startedBefore returns how much of a share's cost starts before a point of
// virtual time: what its weight earns until then, and half a piece more, since
// the piece under way at that point is served whole.
func startedBefore(point, start, weight, cost, pieces int64) int64 {
	if point <= start {
		return 0
	}
	earned := (point - start) / virtualScale * weight
	return min(cost, earned+cost/pieces/2)
}

// victims returns waiting requests whose removal makes room for r: each time
// the newest of the caller furthest above its share, as long as that caller
// stands further above it than r's would. It returns none if that isn't enough.
func (l *line) victims(c *class, f *flow, r Request, needCount int, needCost int64) []*item {
	l.marked = l.marked[:0]
	level := l.share(c, f, len(f.entries)+1, f.cost+r.cost)
	for needCount > 0 || needCost > 0 {
		g := l.furthestAbove(level, f)
		if g == nil {
			break
		}
		it := l.mark(g)
		needCount--
		needCost -= it.request.cost
	}
	l.unmark()
	if needCount > 0 || needCost > 0 {
		return nil
	}
	return l.marked
}

// mark chooses the newest of g; until unmark, g counts without it.
func (l *line) mark(g *flow) *item {
	it := g.newest()
	it.marked = true
	g.markedCount++
	g.markedCost += it.request.cost
	l.weigh(it.class, g)
	l.marked = append(l.marked, it)
	return it
}

func (l *line) unmark() {
	for _, it := range l.marked {
		it.marked = false
		it.flow.markedCount, it.flow.markedCost = 0, 0
		l.weigh(it.class, it.flow)
	}
}

func (l *line) furthestAbove(level float64, except *flow) *flow {
	var found *flow
	for _, c := range l.classes {
		for _, g := range c.heap {
			if g.share < level || g == except || g.share == level && (found == nil || g.caller > found.caller) {
				continue
			}
			found, level = g, g.share
		}
	}
	return found
}

// weigh brings f's share up to date; kept, it makes the search for the caller
// furthest above its share a plain scan.
func (l *line) weigh(c *class, f *flow) {
	f.share = l.share(c, f, len(f.entries)-f.markedCount, f.cost-f.markedCost)
}

// share returns the part of the line that f holds with so many requests and
// tokens, whichever is more, for each unit of its weight. Counting both keeps a
// caller of many tiny requests from filling the line unseen.
func (l *line) share(c *class, f *flow, count int, cost int64) float64 {
	part := max(float64(count)/l.maxCount, float64(cost)/l.maxCost)
	return part / float64(f.weight*c.weight)
}

// retryAfter returns when coming back helps a request of this cost that would
// be late by so much.
func (l *line) retryAfter(config Config, cost int64, late kumquatlug.Millis) kumquatlug.Millis {
	wait := config.MinRetryAfter
	if rate := l.drain.rate(); rate > 0 {
		wait = max(wait, late+spanAt(rate, l.drain.returning+float64(cost)))
		l.drain.returning += float64(cost)
	}
	wait = min(wait, config.MaxRetryAfter)
	return wait + kumquatlug.Millis(config.Random.Int64N(int64(wait)/2+1))
}
