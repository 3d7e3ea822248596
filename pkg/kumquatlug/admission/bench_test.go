package admission

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// BenchmarkOfferAndDequeue measures Offer, Peek and Dequeue of one request with
// other requests waiting.
func BenchmarkOfferAndDequeue(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 740} {
		for _, waiting := range []int{100, 1000} {
			b.Run(fmt.Sprintf("callers=%d/waiting=%d", callers, waiting), func(b *testing.B) {
				q, now, requests := newLoadedQueue(callers, waiting)
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					q.Offer(now, requests[n%len(requests)])
					r, _ := q.Peek(draftKind)
					q.Dequeue(now, r.ID())
				}
			})
		}
	}
}

// BenchmarkOfferToFullQueue measures an Offer that is refused or displaces another
// request.
func BenchmarkOfferToFullQueue(b *testing.B) {
	for _, callers := range []int{10, 740} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			q, now, requests := newLoadedQueue(callers, DefaultMaxCount)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				q.Offer(now, requests[n%len(requests)])
			}
		})
	}
}

// BenchmarkExpire measures one check of all waiting requests.
func BenchmarkExpire(b *testing.B) {
	for _, callers := range []int{10, 740} {
		b.Run(fmt.Sprintf("callers=%d/waiting=1000", callers), func(b *testing.B) {
			q, now, _ := newLoadedQueue(callers, 1000)
			b.ReportAllocs()
			for b.Loop() {
				q.kindQueues[draftKind].minLatestStart = 0
				q.Expire(now)
			}
		})
	}
}

// newLoadedQueue returns a queue with waiting requests of the given number of
// callers, the current time and requests to offer.
func newLoadedQueue(callers, waiting int) (*Queue, kumquatlug.Millis, []Request) {
	q, now := newQueueWithDrainRate(Config{}, 100_000)
	makeRequest := func(id string, n int) Request {
		c := request(id, fmt.Sprint("caller-", n%callers))
		c.Deadline = now + kumquatlug.Minute + kumquatlug.Millis(n%100)
		return NewRequest(c)
	}
	for n := range waiting {
		q.Offer(now, makeRequest(fmt.Sprint("waiting-", n), n))
	}
	requests := make([]Request, 8192)
	for n := range requests {
		requests[n] = makeRequest(fmt.Sprint("new-", n), n)
	}
	return q, now, requests
}
