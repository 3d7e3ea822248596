package retry

import (
	"cmp"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SharedBudgetConfig configures a [SharedBudget].
type SharedBudgetConfig struct {
	// Ratio and MinRetries limit what all gateways together send besides the first attempt
	// of each request: in any Window, Ratio times the number of requests, plus MinRetries.
	// The default of Window is 10 seconds; Ratio and MinRetries have none.
	Ratio      float64
	MinRetries int
	Window     kumquatlug.Millis
}

// windowBuckets is the number of buckets in the window of a [SharedBudget]. The window that is
// counted is up to one bucket longer than Window, never shorter.
const windowBuckets = 20

// usableFraction is the fraction of its share that a gateway uses. The rest is for gateways that
// have just started and are not counted yet.
const usableFraction = 0.8

// SharedBudget is one gateway's share of a retry budget that all gateways use without coordination.
//
// When a failure makes all gateways retry at once, each could stay within a budget of its own
// while all together send far more than the workers can take. Each gateway therefore counts
// its retries in a sliding window and stops at its share: Ratio times its own requests,
// plus MinRetries divided by the number of gateways. It is not safe for concurrent use.
type SharedBudget struct {
	config     SharedBudgetConfig
	gateways   int
	buckets    [windowBuckets + 1]bucketCounts
	lastBucket int64
	stats      SharedBudgetStats
}

// SharedBudgetStats describes what a [SharedBudget] has decided.
type SharedBudgetStats struct {
	// Gateways is the number of gateways that share the budget.
	Gateways int
	// Requests, Granted and Denied count the client requests and the retries since the start.
	Requests, Granted, Denied int
}

// Stats returns what the budget has decided.
func (s *SharedBudget) Stats() SharedBudgetStats {
	stats := s.stats
	stats.Gateways = s.gateways
	return stats
}

// bucketCounts counts the events in one bucket of the window.
type bucketCounts struct {
	requests, retries int
}

// NewSharedBudget returns the budget of the only gateway; see [SharedBudget.SetGateways].
func NewSharedBudget(c SharedBudgetConfig) *SharedBudget {
	c.Window = cmp.Or(c.Window, rateWindow)
	return &SharedBudget{config: c, gateways: 1}
}

// SetGateways sets the number of gateways that share the budget.
func (s *SharedBudget) SetGateways(count int) { s.gateways = max(count, 1) }

// advance moves the window to now.
func (s *SharedBudget) advance(now kumquatlug.Millis) {
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

// RecordRequest records a client's request.
func (s *SharedBudget) RecordRequest(now kumquatlug.Millis) {
	s.advance(now)
	s.buckets[s.lastBucket%(windowBuckets+1)].requests++
	s.stats.Requests++
}

// RecordRetry records a retry that was sent without a successful Allow. It counts against
// later ones.
func (s *SharedBudget) RecordRetry(now kumquatlug.Millis) {
	s.advance(now)
	s.buckets[s.lastBucket%(windowBuckets+1)].retries++
}

// Allow charges one retry to the budget, and reports false if the share is used up.
func (s *SharedBudget) Allow(now kumquatlug.Millis) bool {
	s.advance(now)
	var sum bucketCounts
	for _, c := range s.buckets {
		sum.requests += c.requests
		sum.retries += c.retries
	}
	share := s.config.Ratio*float64(sum.requests) + float64(s.config.MinRetries)/float64(s.gateways)
	if float64(sum.retries+1) > usableFraction*share {
		s.stats.Denied++
		return false
	}
	s.RecordRetry(now)
	s.stats.Granted++
	return true
}
