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

func newProperties(t *testing.T) *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 300
	p.MaxSize = 400
	return gopter.NewProperties(p)
}

// queueModel drives a queue and tracks the cost of each waiting request by id.
type queueModel struct {
	q         *Queue
	now       kumquatlug.Millis
	nextID    int
	waiting   map[string]int64
	violation string
}

func (m *queueModel) leave(id string) {
	if _, ok := m.waiting[id]; !ok {
		m.violation = id + " left the queue but was not waiting"
	}
	delete(m.waiting, id)
}

func (m *queueModel) leaveAll(refusals []Refusal) {
	for _, r := range refusals {
		m.leave(r.Request().ID())
		if r.RetryAfter() <= 0 {
			m.violation = "a refusal has no retry delay"
		}
	}
}

func (m *queueModel) step(op uint64) {
	r := rand.New(rand.NewPCG(op, 1))
	m.now += kumquatlug.Millis(r.IntN(200))
	switch r.IntN(8) {
	case 0:
		m.q.RecordServed(m.now, draftKind, int64(r.IntN(3000)))
	case 1:
		m.leaveAll(m.q.Expire(m.now))
	case 2:
		if first, ok := m.q.Peek(draftKind); ok {
			m.q.Dequeue(m.now, first.ID())
			m.leave(first.ID())
		}
	case 3:
		if id := fmt.Sprint(r.IntN(m.nextID + 1)); m.q.Cancel(m.now, id) {
			m.leave(id)
		}
	default:
		m.offer(r)
	}
	m.check()
}

func (m *queueModel) offer(r *rand.Rand) {
	c := RequestConfig{
		ID: fmt.Sprint(m.nextID), Caller: fmt.Sprint(r.IntN(6)), Kind: draftKind,
		Cost: 1 + int64(r.IntN(900)), Priority: r.IntN(5) - 2, Weight: 1 + int64(r.IntN(3)),
		Deadline: m.now + kumquatlug.Millis(r.IntN(20000)), ServiceTime: kumquatlug.Millis(r.IntN(2000)),
	}
	m.nextID++
	d := m.q.Offer(m.now, NewRequest(c))
	m.leaveAll(d.Displaced())
	if d.Verdict() == VerdictQueued {
		m.waiting[c.ID] = c.Cost
	}
}

func (m *queueModel) check() {
	cost := int64(0)
	for _, c := range m.waiting {
		cost += c
	}
	if len(m.waiting) != m.q.Len(draftKind) || cost != m.q.Cost(draftKind) {
		m.violation = fmt.Sprintf("%d requests of %d tokens wait, the queue reports %d of %d",
			len(m.waiting), cost, m.q.Len(draftKind), m.q.Cost(draftKind))
	}
	if len(m.waiting) > 20 || cost > 5000 {
		m.violation = "the queue exceeds its bounds"
	}
}

func TestRequestsLeaveOnceAndQueueIsBounded(t *testing.T) {
	p := newProperties(t)
	p.Property("offers, service, cancellations and expiry in any order", prop.ForAll(func(ops []uint64) string {
		m := &queueModel{q: New(Config{MaxCount: 20, MaxCost: 5000}), waiting: map[string]int64{}}
		for _, op := range ops {
			if m.step(op); m.violation != "" {
				return m.violation
			}
		}
		for first, ok := m.q.Peek(draftKind); ok; first, ok = m.q.Peek(draftKind) {
			m.q.Dequeue(m.now, first.ID())
			m.leave(first.ID())
		}
		return m.violation
	}, gen.SliceOf(gen.UInt64())))
	p.TestingRun(t)
}

func TestBackloggedCallersShareByWeight(t *testing.T) {
	p := newProperties(t)
	p.Property("the service of two callers differs by at most one request of each", prop.ForAll(func(costs []int64, weight int64) string {
		q := New(Config{})
		weights := map[string]int64{"a": 1, "b": weight}
		remaining := map[string]int{}
		for n, cost := range costs {
			caller := []string{"a", "b"}[n%2]
			remaining[caller]++
			q.Offer(0, NewRequest(RequestConfig{
				ID: fmt.Sprint(n), Caller: caller, Kind: draftKind, Cost: cost,
				Weight: weights[caller], Deadline: kumquatlug.Hour,
			}))
		}
		served := map[string]float64{}
		for remaining["a"] > 0 && remaining["b"] > 0 {
			r, _ := q.Peek(draftKind)
			q.Dequeue(0, r.ID())
			remaining[r.Caller()]--
			served[r.Caller()] += float64(r.Cost()) / float64(r.Weight())
			if difference := served["a"] - served["b"]; difference > 1001 || -difference > 1001*(1+1/float64(weight)) {
				return fmt.Sprintf("served %v", served)
			}
		}
		return ""
	}, gen.SliceOf(gen.Int64Range(1, 1000)), gen.Int64Range(1, 5)))
	p.TestingRun(t)
}

// newRandomQueue returns a queue that was offered n requests with random callers,
// costs and priorities and has served a quarter of them.
func newRandomQueue(seed uint64, n int) *Queue {
	r := rand.New(rand.NewPCG(seed, 2))
	q := New(Config{})
	for k := range n {
		q.Offer(0, NewRequest(RequestConfig{
			ID: fmt.Sprint(k), Caller: fmt.Sprint(r.IntN(8)), Kind: draftKind, Cost: 1 + int64(r.IntN(1000)),
			Priority: r.IntN(3), Deadline: kumquatlug.Minute + kumquatlug.Millis(r.IntN(10000)),
		}))
	}
	for range n / 4 {
		first, _ := q.Peek(draftKind)
		q.Dequeue(0, first.ID())
	}
	return q
}

func TestPredictionFollowsServiceOrder(t *testing.T) {
	p := newProperties(t)
	p.Property("serviceOrder visits requests in the order in which they are served", prop.ForAll(func(seed uint64) string {
		q := newRandomQueue(seed, 60)
		kq := q.kindQueues[draftKind]
		q.order.begin(kq)
		var predicted []string
		for n := q.order.nextClass(); n >= 0; n = q.order.nextClass() {
			it := q.order.next(n)
			predicted = append(predicted, it.request.id)
			q.order.charge(n, kq, it.request.cost)
			q.order.fixTop(n)
		}
		if order := serve(q, 0, 60); fmt.Sprint(order) != fmt.Sprint(predicted) {
			return fmt.Sprintf("predicted %v, served %v", predicted, order)
		}
		return ""
	}, gen.UInt64()))
	p.Property("the cost ahead is accurate to one request of each caller and class", prop.ForAll(func(seed uint64) string {
		q := newRandomQueue(seed, 60)
		r := NewRequest(RequestConfig{ID: "new", Caller: "3", Kind: draftKind, Cost: 10, Priority: 1, Deadline: kumquatlug.Minute + 5000})
		kq := q.kindQueues[draftKind]
		c, f := kq.flowFor(r)
		predicted := kq.tokensAhead(c, f, r)
		q.Offer(0, r)
		actual := int64(0)
		for first, _ := q.Peek(draftKind); first.ID() != "new"; first, _ = q.Peek(draftKind) {
			actual += first.Cost()
			q.Dequeue(0, first.ID())
		}
		if difference := predicted - actual; difference > 10_000 || difference < -10_000 {
			return fmt.Sprintf("predicted %d, actual %d", predicted, actual)
		}
		return ""
	}, gen.UInt64()))
	p.TestingRun(t)
}
