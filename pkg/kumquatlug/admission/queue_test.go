package admission

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

var draftKind = kumquatlug.NewKind(kumquatlug.ProtocolEngine, "draft")

// request is a request of 100 tokens with a minute's time.
func request(id, caller string) RequestConfig {
	return RequestConfig{ID: id, Caller: caller, Kind: draftKind, Cost: 100, Deadline: kumquatlug.Minute}
}

// newQueueWithDrainRate returns a queue whose measured drain rate is tokens a second.
func newQueueWithDrainRate(c Config, tokens int64) (*Queue, kumquatlug.Millis) {
	q := New(c)
	q.Offer(0, NewRequest(RequestConfig{ID: "warm", Caller: "warm", Kind: draftKind, Deadline: kumquatlug.Hour}))
	now := kumquatlug.Millis(0)
	for ; now <= kumquatlug.Minute; now += 100 {
		q.Served(now, draftKind, tokens/10)
	}
	q.Cancel(now, "warm")
	return q, now
}

// serve takes n requests in fair order and returns their ids.
func serve(q *Queue, now kumquatlug.Millis, n int) []string {
	var ids []string
	for range n {
		r, ok := q.Next(draftKind)
		if !ok {
			break
		}
		q.Take(now, r.ID())
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
	// One caller sends a thousand requests in a second and fills the line.
	// Another one that sends a request now and then would be told "queue
	// full" all day, or wait behind the thousand.
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
		t.Fatalf("the quiet caller was refused: %+v", d.Refusal())
	}
	if len(d.Displaced()) != 1 || d.Displaced()[0].Request().ID() != "hot-99" {
		t.Fatalf("displaced %+v, want the hot caller's newest", d.Displaced())
	}
	if ids := serve(q, now, 2); ids[1] != "quiet" {
		t.Fatalf("served %v, want the quiet caller second", ids)
	}
}

func TestUnreachableDeadlineIsRefusedOnOffer(t *testing.T) {
	// Twice as much work arrives as the targets finish. Kept in the line, each
	// request would be answered late; its caller learns so at the deadline.
	q, now := newQueueWithDrainRate(Config{}, 1000)
	deadline := now + 10*kumquatlug.Second
	var refused []Refusal
	for n := range 200 {
		c := request(fmt.Sprint(n), "caller")
		c.Deadline, c.Service = deadline, 2*kumquatlug.Second
		if d := q.Offer(now, NewRequest(c)); d.Verdict() == VerdictRefused {
			refused = append(refused, d.Refusal())
		}
	}
	if n := q.Len(draftKind); n < 70 || n > 80 {
		t.Errorf("%d wait, want the 80 that 8 s at 1000 tokens/s serve, less the margin of a tenth", n)
	}
	distinct := map[kumquatlug.Millis]bool{}
	for _, r := range refused {
		distinct[r.RetryAfter()] = true
		if r.Reason() != ReasonDeadline || r.RetryAfter() < kumquatlug.Second {
			t.Fatalf("refusal %+v", r)
		}
	}
	if len(distinct) < len(refused)*8/10 {
		t.Errorf("%d refused come back at only %d times", len(refused), len(distinct))
	}
}

func TestWaitingRequestsAreRefusedEarlyWhenTargetsFail(t *testing.T) {
	// The targets are lost while callers wait. Nothing more is served, and the
	// callers sit until their deadlines pass though it is known that they are
	// waiting for nothing.
	q, now := newQueueWithDrainRate(Config{}, 1000)
	deadline := now + 30*kumquatlug.Second
	for n := range 200 {
		c := request(fmt.Sprint(n), "caller")
		c.Deadline = deadline
		q.Offer(now, NewRequest(c))
	}
	refused := 0
	for wake, ok := q.Wake(); ok && wake < now+20*kumquatlug.Second; wake, ok = q.Wake() {
		refused += len(q.Expire(wake))
	}
	// With a horizon of 10 s the rate is e^-2 of what it was by then: of the
	// 20,000 tokens no more than 1,700 still seem within reach.
	if refused < 180 {
		t.Errorf("%d of 200 were told within 20 s that 30 s won't do", refused)
	}
}
