package retry

import (
	"cmp"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SharedBudgetConfig configures a [SharedBudget].
type SharedBudgetConfig struct {
	// Ratio and MinRetries limit what all gateways together send besides the first attempt
	// of each request: in any Window, Ratio times the number of requests, plus MinRetries.
	// Requests count in that window or in the one before it. The default of Window is 10
	// seconds; Ratio and MinRetries have none.
	Ratio      float64
	MinRetries int
	Window     kumquatlug.Millis
}

// Parameters of a [SharedBudget].
const (
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 20
	// historyBuckets covers two windows and the current bucket.
	historyBuckets = 2*windowBuckets + 1
	// carriedFraction is the fraction of the credit of one window that may be used in the
	// next one, currentFraction the fraction that may be used in the same window. Together
	// they must not exceed 1; the rest is for retries that reach their worker some time
	// after they were allowed. carriedFraction is the smaller one.
	carriedFraction = 0.4
	currentFraction = 0.5
)

func (c SharedBudgetConfig) withDefaults() SharedBudgetConfig {
	c.Window = cmp.Or(c.Window, rateWindow)
	return c
}

// SharedBudget is what one gateway may use of a retry budget that all gateways share.
//
// When a failure makes all gateways retry at once, each could stay within a budget of its own
// while all together send far more than the workers can take. Each gateway therefore earns
// credit, Ratio for each of its own requests. In a span of up to one window, workers may receive
// currentFraction of the credit that it earned in that span, and carriedFraction of the credit of
// the window before it. This holds for every such span up to now. A retry that was charged and may
// still arrive counts in all of them, see [Deliveries]. What is allowed regardless of the requests is
// claimed from a [Pool].
//
// A process starts without credit. It therefore needs to know nothing of what an earlier process
// of the gateway sent: in the window in which that process ended, both together send
// carriedFraction of the credit before that window and currentFraction of the credit in it,
// however often the gateway starts again. It is not safe for concurrent use.
type SharedBudget struct {
	config     SharedBudgetConfig
	buckets    [historyBuckets]budgetBucket
	lastBucket int64
	claims     []budgetClaim
	// outstanding are the charged retries that may still reach a worker, and abandoned the attempts that were
	// given up and may do so, both in the order of their times.
	outstanding []charge
	abandoned   []abandonedDelivery
	stats       SharedBudgetStats
}

// budgetClaim is a number of retries that were claimed from the pool.
type budgetClaim struct {
	retries int
	until   kumquatlug.Millis
}

// SharedBudgetStats counts the decisions of a [SharedBudget] since its start: the client requests, the
// retries that were claimed from the pool, those that were granted and denied, and the granted ones that
// were refunded or arrived late.
type SharedBudgetStats struct {
	Requests, Claimed, Granted, Denied, Refunded, Late int
	// Uncharged counts the arrivals that needed a retry for which none was charged.
	Uncharged int
	// Outstanding is the number of granted retries that may still reach a worker.
	Outstanding int
	// LongestDelay is the longest time from a charge to the last moment at which the retry may have arrived,
	// in ms, 0 if none was late.
	LongestDelay kumquatlug.Millis
}

// budgetBucket holds what was earned and what arrived in one bucket of time.
type budgetBucket struct {
	credit  float64
	retries int
	// lateClaims counts those among them that arrived after the end of their claim from the pool, and for
	// which no other claim was left unused.
	lateClaims int
}

// NewSharedBudget returns the budget of a gateway that has no credit yet.
func NewSharedBudget(c SharedBudgetConfig) *SharedBudget {
	return &SharedBudget{config: c.withDefaults()}
}

// Stats returns the decisions so far.
func (s *SharedBudget) Stats() SharedBudgetStats {
	stats := s.stats
	stats.Outstanding = len(s.outstanding)
	return stats
}

// RecordRequest records a client's request.
func (s *SharedBudget) RecordRequest(now kumquatlug.Millis) {
	s.advance(now)
	s.expireAbandoned(now)
	s.bucket(0).credit += s.config.Ratio
	s.stats.Requests++
}

// AddClaim adds retries that were claimed from the pool and may be used until a time. As many as arrived
// after the end of their claim within the last window stay unused: other gateways may have claimed what
// those no longer covered.
func (s *SharedBudget) AddClaim(retries int, until kumquatlug.Millis) {
	s.stats.Claimed += retries
	for ago := int64(0); ago <= windowBuckets; ago++ {
		b := s.bucket(ago)
		unused := min(b.lateClaims, retries)
		b.lateClaims -= unused
		retries -= unused
	}
	s.claims = append(s.claims, budgetClaim{retries: retries, until: until})
}

// RecordDenied records that a retry was not sent for lack of credit.
func (s *SharedBudget) RecordDenied() { s.stats.Denied++ }

// Allow charges one retry that arrives at once, and reports false if there is no credit for it.
// [Deliveries] follows those of which only their responses tell that they have arrived.
func (s *SharedBudget) Allow(now kumquatlug.Millis) bool {
	c, allowed := s.charge(now)
	if allowed {
		s.settle(now, c)
	}
	return allowed
}

// useClaim uses one retry of the pool, and returns until when its claim covers an arrival.
func (s *SharedBudget) useClaim(now kumquatlug.Millis) (kumquatlug.Millis, bool) {
	for len(s.claims) > 0 {
		c := &s.claims[0]
		if c.retries > 0 && now < c.until {
			c.retries--
			return c.until, true
		}
		s.claims = s.claims[1:]
	}
	return 0, false
}

// bucket returns the bucket that began this number of buckets before the current one.
func (s *SharedBudget) bucket(ago int64) *budgetBucket {
	return &s.buckets[(s.lastBucket+historyBuckets-ago)%historyBuckets]
}

// outstandingNow returns the number of outstanding retries that would need credit if they arrived now.
func (s *SharedBudget) outstandingNow(now kumquatlug.Millis) int {
	n := 0
	for _, c := range s.outstanding {
		if now >= c.claimedUntil {
			n++
		}
	}
	return n
}

// hasCredit reports whether one more retry is within the limit of each span that ends now. What is
// outstanding may arrive in any of them. Spans that begin within the same bucket are judged together: all
// retries of the bucket are counted, its credit as if it was carried, and a full bucket less of the credit
// that is carried.
func (s *SharedBudget) hasCredit(now kumquatlug.Millis) bool {
	carried := 0.0
	for ago := int64(1); ago < windowBuckets; ago++ {
		carried += s.bucket(ago).credit
	}
	current, retries := 0.0, 1+s.outstandingNow(now)
	for first := int64(0); first <= windowBuckets; first++ {
		retries += s.bucket(first).retries
		if float64(retries) > carriedFraction*(carried+s.bucket(first).credit)+currentFraction*current {
			return false
		}
		current += s.bucket(first).credit
		carried += s.bucket(first+windowBuckets).credit - s.bucket(first+1).credit
	}
	return true
}

// advance moves the window to now.
func (s *SharedBudget) advance(now kumquatlug.Millis) {
	last := int64(now) * windowBuckets / int64(s.config.Window)
	if last-s.lastBucket > historyBuckets {
		s.buckets = [historyBuckets]budgetBucket{}
		s.lastBucket = last
	}
	for s.lastBucket < last {
		s.lastBucket++
		*s.bucket(0) = budgetBucket{}
	}
}
