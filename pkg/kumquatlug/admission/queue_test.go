package admission

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

var draftKind = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "draft")

// request returns a request of 100 tokens with a deadline of one minute.
func request(id, caller string) RequestConfig {
	return RequestConfig{ID: id, Caller: caller, Kind: draftKind, Cost: 100, Deadline: kumquatlug.Minute}
}

// newQueueWithDrainRate returns an empty queue whose drain rate is the given
// number of tokens per second, and the current time.
func newQueueWithDrainRate(c Config, tokens int64) (*Queue, kumquatlug.Millis) {
	q := New(c)
	q.Offer(0, NewRequest(RequestConfig{ID: "warm", Caller: "warm", Kind: draftKind, Deadline: kumquatlug.Hour}))
	now := kumquatlug.Millis(0)
	for ; now <= kumquatlug.Minute; now += 100 {
		q.RecordServed(now, draftKind, tokens/10)
	}
	q.Cancel(now, "warm")
	return q, now
}

// serve takes up to n requests in service order and returns their ids.
func serve(q *Queue, now kumquatlug.Millis, n int) []string {
	var ids []string
	for range n {
		r, ok := q.Peek(draftKind)
		if !ok {
			break
		}
		q.Dequeue(now, r.ID())
		ids = append(ids, r.ID())
	}
	return ids
}

func ExampleQueue() {
	q := New(Config{})
	for n := range 3 {
		q.Offer(0, NewRequest(request(fmt.Sprint("hot-", n), "hot")))
	}
	q.Offer(0, NewRequest(request("quiet-0", "quiet")))
	fmt.Println(serve(q, 0, 4))
	// Output: [hot-0 quiet-0 hot-1 hot-2]
}

func TestHotCallerIsDisplacedFromFullQueue(t *testing.T) {
	// One caller's thousand requests fill the queue. A request of another caller
	// must neither be refused because the queue is full nor wait behind them.
	q, now := newQueueWithDrainRate(Config{MaxCount: 100}, 10_000)
	for n := range 1000 {
		c := request(fmt.Sprint("hot-", n), "hot")
		c.Deadline = now + kumquatlug.Minute
		q.Offer(now, NewRequest(c))
	}
	c := request("quiet", "quiet")
	c.Deadline = now + kumquatlug.Minute
	d := q.Offer(now, NewRequest(c))
	if d.Verdict() != VerdictQueued {
		t.Fatalf("the other caller's request was refused: %+v", d.Refusal())
	}
	if len(d.Displaced()) != 1 || d.Displaced()[0].Request().ID() != "hot-99" {
		t.Fatalf("displaced %+v, want the newest request of the hot caller", d.Displaced())
	}
	if ids := serve(q, now, 2); ids[1] != "quiet" {
		t.Fatalf("served %v, want the other caller's request second", ids)
	}
}

func TestUnreachableDeadlineIsRefusedOnOffer(t *testing.T) {
	// More work arrives than the targets can finish before its deadline. Without
	// refusals on offer, the callers would learn of it only at the deadline.
	q, now := newQueueWithDrainRate(Config{}, 1000)
	deadline := now + 10*kumquatlug.Second
	var refused []Refusal
	for n := range 200 {
		c := request(fmt.Sprint(n), "caller")
		c.Deadline, c.ServiceTime = deadline, 2*kumquatlug.Second
		if d := q.Offer(now, NewRequest(c)); d.Verdict() == VerdictRefused {
			refused = append(refused, d.Refusal())
		}
	}
	if n := q.Len(draftKind); n < 70 || n > 80 {
		t.Errorf("%d requests wait, want 80 (8 s at 1000 tokens/s) less the margin of a tenth", n)
	}
	distinct := map[kumquatlug.Millis]bool{}
	for _, r := range refused {
		distinct[r.RetryAfter()] = true
		if r.Reason() != ReasonDeadline || r.RetryAfter() < kumquatlug.Second {
			t.Fatalf("refusal %+v", r)
		}
	}
	if len(distinct) < len(refused)*8/10 {
		t.Errorf("%d refusals have only %d distinct retry delays", len(refused), len(distinct))
	}
}

func TestWaitingRequestsAreRefusedEarlyWhenTargetsFail(t *testing.T) {
	// All targets are lost while requests wait. The requests must be refused once
	// the drain rate shows it, not at their deadlines.
	q, now := newQueueWithDrainRate(Config{}, 1000)
	deadline := now + 30*kumquatlug.Second
	for n := range 200 {
		c := request(fmt.Sprint(n), "caller")
		c.Deadline = deadline
		q.Offer(now, NewRequest(c))
	}
	refused := 0
	for wake, ok := q.NextExpiry(); ok && wake < now+20*kumquatlug.Second; wake, ok = q.NextExpiry() {
		refused += len(q.Expire(wake))
	}
	// After 20 s with a horizon of 10 s the drain rate has decayed by e^-2, at
	// which at most 1,700 of the 20,000 tokens can be served in time.
	if refused < 180 {
		t.Errorf("%d of 200 requests were refused within 20 s, want at least 180", refused)
	}
}
