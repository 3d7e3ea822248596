package retry

import (
	"cmp"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SharedConfig is what a [Shared] budget is made of.
type SharedConfig struct {
	// Ratio and Floor bound what all fronts together send beyond the first
	// arrival of each request: in any Window, Ratio of the requests and Floor
	// more.
	Ratio  float64
	Floor  int
	Window kumquatlug.Millis
}

// windowBuckets is into how many steps the window of a [Shared] is cut; the count
// is at most one step too high, never too low.
const windowBuckets = 20

// usableShare is the part of its share that a front uses. The rest covers fronts
// that came a moment ago and are not counted yet.
const usableShare = 0.8

// Shared is one front's share of a budget of repeats that all fronts use
// together without asking each other.
//
// It answers the failure that makes every front send again at once: each within
// what would be right alone, all together far above what the workers can take.
// Each front therefore counts the repeats that it sent in the sliding window
// and stops at its share: Ratio of its own requests, and the floor divided by
// the number of fronts.
type Shared struct {
	config     SharedConfig
	gateways   int
	buckets    [windowBuckets + 1]bucketCounts
	lastBucket int64
}

// bucketCounts is what happened in one step of the window.
type bucketCounts struct {
	requests, repeats int
}

// NewShared returns a budget for one front among one.
func NewShared(c SharedConfig) *Shared {
	c.Window = cmp.Or(c.Window, rateWindow)
	return &Shared{config: c, gateways: 1}
}

// SetFronts tells how many fronts share the budget.
func (s *Shared) SetFronts(count int) { s.gateways = max(count, 1) }

// advance moves the window to now.
func (s *Shared) advance(now kumquatlug.Millis) {
	bucket := int64(now) * windowBuckets / int64(s.config.Window)
	if bucket-s.lastBucket > windowBuckets {
		s.buckets = [windowBuckets + 1]bucketCounts{}
		s.lastBucket = bucket
	}
	for s.lastBucket < bucket {
		s.lastBucket++
		s.buckets[s.lastBucket%(windowBuckets+1)] = bucketCounts{}
	}
}

// Request records a request of a client.
func (s *Shared) Request(now kumquatlug.Millis) {
	s.advance(now)
	s.buckets[s.lastBucket%(windowBuckets+1)].requests++
}

// Note records a repeat that was sent without being paid for; later ones are paid for
// with it.
func (s *Shared) Note(now kumquatlug.Millis) {
	s.advance(now)
	s.buckets[s.lastBucket%(windowBuckets+1)].repeats++
}

// Take pays for one more arrival at a worker, and reports false when the share
// is used up.
func (s *Shared) Take(now kumquatlug.Millis) bool {
	s.advance(now)
	var sum bucketCounts
	for _, c := range s.buckets {
		sum.requests += c.requests
		sum.repeats += c.repeats
	}
	share := s.config.Ratio*float64(sum.requests) + float64(s.config.Floor)/float64(s.gateways)
	if float64(sum.repeats+1) > usableShare*share {
		return false
	}
	s.Note(now)
	return true
}
