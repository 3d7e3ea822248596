package admission

import (
	"container/heap"
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The classes of priority. Five are enough for background work, ordinary work
// and urgent work with a step between; each goes eight to one before the next.
const (
	LowestPriority  = -2
	HighestPriority = 2
	classCount      = HighestPriority - LowestPriority + 1
	// classWeightRatio keeps an eighth of the drain for the class below: it is noticed
	// (not starved), and a class that asks for less than 8/9 waits for nobody.
	classWeightRatio = 8
)

// virtualScale is the resolution of virtual time: one token of the highest
// class (weight 4,096) still moves it by 16. At 100,000 tokens a second of the
// lowest class it takes over forty years to overflow.
const virtualScale = 1 << 16

// item is one waiting request.
type item struct {
	request   Request
	arrival   uint64
	kindQueue *kindQueue
	class     *class
	flow      *flow
	isVictim  bool
	// offeredAt is when it came, predicted the wait that was foreseen then.
	offeredAt     kumquatlug.Millis
	predictedWait kumquatlug.Millis
}

// flowEntry is an item's place in its caller's share; the values that are compared
// lie side by side, so that scans of long lines stay in the cache.
type flowEntry struct {
	deadline kumquatlug.Millis
	arrival  uint64
	cost     int64
	item     *item
}

// flow is one caller's waiting work within a class, earliest deadline first.
// start is the virtual time at which its first request may start.
type flow struct {
	caller    string
	weight    int64
	start     int64
	cost      int64
	share     float64
	entries   []flowEntry
	heapIndex int
	// marked is what victims has chosen so far and not yet removed.
	victimCost  int64
	victimCount int
}

func (f *flow) backlogged() bool { return len(f.entries) > 0 }

// insertIndex returns where an entry of this deadline and arrival stands.
func (f *flow) insertIndex(deadline kumquatlug.Millis, arrival uint64) int {
	n := len(f.entries)
	for n > 0 && sortsAfter(f.entries[n-1], deadline, arrival) {
		n--
	}
	return n
}

func sortsAfter(e flowEntry, deadline kumquatlug.Millis, arrival uint64) bool {
	if e.deadline != deadline {
		return e.deadline > deadline
	}
	return e.arrival > arrival
}

func (f *flow) add(it *item) {
	r := it.request
	n := f.insertIndex(r.deadline, it.arrival)
	f.entries = slices.Insert(f.entries, n, flowEntry{deadline: r.deadline, arrival: it.arrival, cost: r.cost, item: it})
	f.cost += r.cost
}

func (f *flow) remove(it *item) {
	n := 0
	for f.entries[n].item != it {
		n++
	}
	f.entries = slices.Delete(f.entries, n, n+1)
	f.cost -= it.request.cost
}

// costBefore returns the tokens of the flow with this deadline or an earlier one.
func (f *flow) costBefore(deadline kumquatlug.Millis) int64 {
	ahead := f.cost
	for n := len(f.entries) - 1; n >= 0 && f.entries[n].deadline > deadline; n-- {
		ahead -= f.entries[n].cost
	}
	return ahead
}

// newest returns the last arrival that isn't marked, nil if there is none.
func (f *flow) newest() *item {
	var found *item
	var arrival uint64
	for n := range f.entries {
		e := &f.entries[n]
		if e.arrival > arrival && !e.item.isVictim {
			found, arrival = e.item, e.arrival
		}
	}
	return found
}

// flowHeap orders the busy flows by virtual start, then by name.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	return startsBefore(h[i].start, h[i].caller, h[j].start, h[j].caller)
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	*h = (*h)[:last]
	return f
}

func startsBefore(start int64, caller string, otherStart int64, otherCaller string) bool {
	if start != otherStart {
		return start < otherStart
	}
	return strings.Compare(caller, otherCaller) < 0
}

// class is one priority of a line. virtual is the virtual time among its
// callers; start is its own place among the classes.
type class struct {
	weight      int64
	start       int64
	virtualTime int64
	maxStart    int64
	cost        int64
	flows       map[string]*flow
	heap        flowHeap
}

func (c *class) flow(caller string, weight int64) *flow {
	f, ok := c.flows[caller]
	if !ok {
		f = &flow{caller: caller}
		c.flows[caller] = f
	}
	f.weight = weight
	return f
}

// startOf returns f's virtual start: a caller that was idle starts now, with
// neither credit for the time away nor debt from before a quiet spell.
func (c *class) startOf(f *flow) int64 {
	if f.backlogged() {
		return f.start
	}
	return max(f.start, c.virtualTime)
}

func (c *class) add(it *item) {
	f := it.flow
	f.start = c.startOf(f)
	wasBacklogged := f.backlogged()
	f.add(it)
	c.cost += it.request.cost
	if !wasBacklogged {
		heap.Push(&c.heap, f)
	}
}

func (c *class) remove(it *item) {
	f := it.flow
	f.remove(it)
	c.cost -= it.request.cost
	if !f.backlogged() {
		heap.Remove(&c.heap, f.heapIndex)
	}
	if len(c.heap) == 0 {
		c.virtualTime = max(c.virtualTime, c.maxStart)
	}
}

// charge moves f on by what is being served.
func (c *class) charge(f *flow, cost int64) {
	c.virtualTime = max(c.virtualTime, f.start)
	f.start += cost * virtualScale / f.weight
	c.maxStart = max(c.maxStart, f.start)
	heap.Fix(&c.heap, f.heapIndex)
}

// removeIdleFlows drops callers that are away and owe nothing, so that memory is
// bounded by who was served lately.
func (c *class) removeIdleFlows() {
	for caller, f := range c.flows {
		if !f.backlogged() && f.start <= c.virtualTime {
			delete(c.flows, caller)
		}
	}
}
