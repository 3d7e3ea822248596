package admission

import (
	"container/heap"
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The range of priorities. Each of the five priorities is a class: background,
// normal and urgent work with a step between them. A class has eight times the
// weight of the next lower one.
const (
	LowestPriority  = -2
	HighestPriority = 2
	classCount      = HighestPriority - LowestPriority + 1
	// classWeightRatio is the weight of a class relative to the next lower one.
	// At 8 the lower class isn't starved, and a class whose demand is below 8/9
	// of the drain rate isn't delayed by it.
	classWeightRatio = 8
)

// virtualScale is the virtual time of one token at weight 1. One token of the
// highest class (weight 4,096) still advances virtual time by 16. At 100,000
// tokens per second of the lowest class, int64 overflows after more than 40
// years.
const virtualScale = 1 << 16

// item is one waiting request.
type item struct {
	request   Request
	arrival   uint64
	kindQueue *kindQueue
	class     *class
	flow      *flow
	isVictim  bool
	offeredAt kumquatlug.Millis
	// predictedWait is the uncorrected prediction made at offeredAt.
	predictedWait kumquatlug.Millis
}

// flowEntry is one item of a flow. It holds copies of the compared values so
// that scans of long flows read contiguous memory.
type flowEntry struct {
	deadline kumquatlug.Millis
	arrival  uint64
	cost     int64
	item     *item
}

// flow is one caller's waiting work within a class, earliest deadline first.
// start is the virtual start time of its first request.
type flow struct {
	caller    string
	weight    int64
	start     int64
	cost      int64
	share     float64
	entries   []flowEntry
	heapIndex int
	// victimCost and victimCount total the items that victims has selected but
	// not yet removed.
	victimCost  int64
	victimCount int
}

func (f *flow) backlogged() bool { return len(f.entries) > 0 }

// insertIndex returns the index at which to insert an entry with this deadline
// and arrival number.
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

// costBefore returns the cost of the flow's items with this deadline or an
// earlier one.
func (f *flow) costBefore(deadline kumquatlug.Millis) int64 {
	ahead := f.cost
	for n := len(f.entries) - 1; n >= 0 && f.entries[n].deadline > deadline; n-- {
		ahead -= f.entries[n].cost
	}
	return ahead
}

// newest returns the item that arrived last and isn't a victim, nil if there is
// none.
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

// flowHeap orders the backlogged flows by virtual start, then by caller name.
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

// class is one priority of a kind's queue. virtualTime is the virtual time of
// its flows, maxStart the largest virtual start among them, and start the
// class's own virtual start among the classes.
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

// startOf returns f's virtual start. A flow that was idle starts no earlier than
// the current virtual time, so it gets no credit for idle time. It keeps no debt
// from before the class was last empty, since virtual time has passed that debt.
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

// charge adds the cost of a request that is being served to f's virtual start.
func (c *class) charge(f *flow, cost int64) {
	c.virtualTime = max(c.virtualTime, f.start)
	f.start += cost * virtualScale / f.weight
	c.maxStart = max(c.maxStart, f.start)
	heap.Fix(&c.heap, f.heapIndex)
}

// removeIdleFlows removes idle flows without debt, so that memory is bounded by
// the number of recently served callers.
func (c *class) removeIdleFlows() {
	for caller, f := range c.flows {
		if !f.backlogged() && f.start <= c.virtualTime {
			delete(c.flows, caller)
		}
	}
}
