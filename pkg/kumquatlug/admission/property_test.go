package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func properties(t *testing.T) *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 300
	p.MaxSize = 400
	return gopter.NewProperties(p)
}

// oracle knows which requests wait; each leaves once.
type oracle struct {
	q     *Queue
	now   kumquatlug.Millis
	next  int
	waits map[string]int64
	fault string
}

func (o *oracle) leave(id string) {
	if _, ok := o.waits[id]; !ok {
		o.fault = id + " left though it didn't wait"
	}
	delete(o.waits, id)
}

func (o *oracle) leaveAll(refusals []Refusal) {
	for _, r := range refusals {
		o.leave(r.Request().ID())
		if r.RetryAfter() <= 0 {
			o.fault = "no time to come back"
		}
	}
}

func (o *oracle) step(op uint64) {
	r := rand.New(rand.NewPCG(op, 1))
	o.now += kumquatlug.Millis(r.IntN(200))
	switch r.IntN(8) {
	case 0:
		o.q.Served(o.now, draft, int64(r.IntN(3000)))
	case 1:
		o.leaveAll(o.q.Expire(o.now))
	case 2:
		if first, ok := o.q.Next(draft); ok {
			o.q.Take(o.now, first.ID())
			o.leave(first.ID())
		}
	case 3:
		if id := fmt.Sprint(r.IntN(o.next + 1)); o.q.Cancel(o.now, id) {
			o.leave(id)
		}
	default:
		o.offer(r)
	}
	o.check()
}

func (o *oracle) offer(r *rand.Rand) {
	c := RequestConfig{
		ID: fmt.Sprint(o.next), Caller: fmt.Sprint(r.IntN(6)), Kind: draft,
		Cost: 1 + int64(r.IntN(900)), Priority: r.IntN(5) - 2, Weight: 1 + int64(r.IntN(3)),
		Deadline: o.now + kumquatlug.Millis(r.IntN(20000)), Service: kumquatlug.Millis(r.IntN(2000)),
	}
	o.next++
	d := o.q.Offer(o.now, NewRequest(c))
	o.leaveAll(d.Displaced())
	if d.Verdict() == VerdictQueued {
		o.waits[c.ID] = c.Cost
	}
}

func (o *oracle) check() {
	cost := int64(0)
	for _, c := range o.waits {
		cost += c
	}
	if len(o.waits) != o.q.Len(draft) || cost != o.q.Cost(draft) {
		o.fault = fmt.Sprintf("%d requests of %d tokens wait, the queue says %d of %d",
			len(o.waits), cost, o.q.Len(draft), o.q.Cost(draft))
	}
	if len(o.waits) > 20 || cost > 5000 {
		o.fault = "the line is over its bound"
	}
}

func TestEachRequestLeavesOnceAndTheLineIsBounded(t *testing.T) {
	p := properties(t)
	p.Property("offers, services, cancels and expiries in any order", prop.ForAll(func(ops []uint64) string {
		o := &oracle{q: New(Config{MaxCount: 20, MaxCost: 5000}), waits: map[string]int64{}}
		for _, op := range ops {
			if o.step(op); o.fault != "" {
				return o.fault
			}
		}
		for first, ok := o.q.Next(draft); ok; first, ok = o.q.Next(draft) {
			o.q.Take(o.now, first.ID())
			o.leave(first.ID())
		}
		return o.fault
	}, gen.SliceOf(gen.UInt64())))
	p.TestingRun(t)
}

func TestBackloggedCallersShareByWeight(t *testing.T) {
	p := properties(t)
	p.Property("two callers differ by no more than one piece of each", prop.ForAll(func(costs []int64, weight int64) string {
		q := New(Config{})
		weights := map[string]int64{"a": 1, "b": weight}
		left := map[string]int{}
		for n, cost := range costs {
			caller := []string{"a", "b"}[n%2]
			left[caller]++
			q.Offer(0, NewRequest(RequestConfig{
				ID: fmt.Sprint(n), Caller: caller, Kind: draft, Cost: cost,
				Weight: weights[caller], Deadline: kumquatlug.Hour,
			}))
		}
		served := map[string]float64{}
		for left["a"] > 0 && left["b"] > 0 {
			r, _ := q.Next(draft)
			q.Take(0, r.ID())
			left[r.Caller()]--
			served[r.Caller()] += float64(r.Cost()) / float64(r.Weight())
			if gap := served["a"] - served["b"]; gap > 1001 || -gap > 1001*(1+1/float64(weight)) {
				return fmt.Sprintf("served %v", served)
			}
		}
		return ""
	}, gen.SliceOf(gen.Int64Range(1, 1000)), gen.Int64Range(1, 5)))
	p.TestingRun(t)
}

// filled is a queue of requests with random callers, costs and priorities.
func filled(seed uint64, n int) *Queue {
	r := rand.New(rand.NewPCG(seed, 2))
	q := New(Config{})
	for k := range n {
		q.Offer(0, NewRequest(RequestConfig{
			ID: fmt.Sprint(k), Caller: fmt.Sprint(r.IntN(8)), Kind: draft, Cost: 1 + int64(r.IntN(1000)),
			Priority: r.IntN(3), Deadline: kumquatlug.Minute + kumquatlug.Millis(r.IntN(10000)),
		}))
	}
	for range n / 4 {
		first, _ := q.Next(draft)
		q.Take(0, first.ID())
	}
	return q
}

func TestForecastFollowsTheFairOrder(t *testing.T) {
	p := properties(t)
	p.Property("the walk that looks for late work goes in serving order", prop.ForAll(func(seed uint64) string {
		q := filled(seed, 60)
		l := q.lines[draft]
		q.walk.begin(l)
		var walked []string
		for n := q.walk.class(); n >= 0; n = q.walk.class() {
			it := q.walk.step(n)
			walked = append(walked, it.request.id)
			q.walk.charge(n, l, it.request.cost)
			q.walk.settle(n)
		}
		if order := serve(q, 0, 60); fmt.Sprint(order) != fmt.Sprint(walked) {
			return fmt.Sprintf("walked %v, served %v", walked, order)
		}
		return ""
	}, gen.UInt64()))
	p.Property("the tokens ahead are right to one piece of each caller and class", prop.ForAll(func(seed uint64) string {
		q := filled(seed, 60)
		r := NewRequest(RequestConfig{ID: "new", Caller: "3", Kind: draft, Cost: 10, Priority: 1, Deadline: kumquatlug.Minute + 5000})
		l := q.lines[draft]
		c, f := l.place(r)
		predicted := l.ahead(c, f, r)
		q.Offer(0, r)
		actual := int64(0)
		for first, _ := q.Next(draft); first.ID() != "new"; first, _ = q.Next(draft) {
			actual += first.Cost()
			q.Take(0, first.ID())
		}
		if gap := predicted - actual; gap > 10_000 || gap < -10_000 {
			return fmt.Sprintf("predicted %d, actual %d", predicted, actual)
		}
		return ""
	}, gen.UInt64()))
	p.TestingRun(t)
}
