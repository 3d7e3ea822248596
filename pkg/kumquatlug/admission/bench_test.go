package admission

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// BenchmarkTurn is one request's way: offered, found next and taken, with so
// many others of so many callers in the line.
func BenchmarkTurn(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 740} {
		for _, waiting := range []int{100, 1000} {
			b.Run(fmt.Sprintf("callers=%d/waiting=%d", callers, waiting), func(b *testing.B) {
				q, now, requests := loaded(callers, waiting)
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					q.Offer(now, requests[n%len(requests)])
					r, _ := q.Next(draft)
					q.Take(now, r.ID())
				}
			})
		}
	}
}

// BenchmarkFull is an offer to a full line: refused, or in another's place.
func BenchmarkFull(b *testing.B) {
	for _, callers := range []int{10, 740} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			q, now, requests := loaded(callers, DefaultMaxCount)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				q.Offer(now, requests[n%len(requests)])
			}
		})
	}
}

// BenchmarkExpire is one look at all that waits.
func BenchmarkExpire(b *testing.B) {
	for _, callers := range []int{10, 740} {
		b.Run(fmt.Sprintf("callers=%d/waiting=1000", callers), func(b *testing.B) {
			q, now, _ := loaded(callers, 1000)
			b.ReportAllocs()
			for b.Loop() {
				q.lines[draft].tightest = 0
				q.Expire(now)
			}
		})
	}
}

func loaded(callers, waiting int) (*Queue, kumquatlug.Millis, []Request) {
	q, now := drained(Config{}, 100_000)
	make1 := func(id string, n int) Request {
		c := request(id, fmt.Sprint("caller-", n%callers))
		c.Deadline = now + kumquatlug.Minute + kumquatlug.Millis(n%100)
		return NewRequest(c)
	}
	for n := range waiting {
		q.Offer(now, make1(fmt.Sprint("waiting-", n), n))
	}
	requests := make([]Request, 8192)
	for n := range requests {
		requests[n] = make1(fmt.Sprint("new-", n), n)
	}
	return q, now, requests
}
