package load

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros limits the histograms, in microseconds: twice the
	// longest run.
	maxLatencyMicros = int64(30 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// noRanHeader is the key of the count of responses without the
	// Kumquatlug-Ran header, which says whether the request ran.
	noRanHeader = "none"
)

// Report contains the results of a run. Latencies are those of complete
// responses.
type Report struct {
	mu                sync.Mutex
	elapsed           time.Duration
	unsent            int
	outcomes          map[string]int
	statuses          map[string]int
	ran               map[string]int
	withoutRetryAfter int
	usageWrong        int
	tokens            int
	firstToken        *hdrhistogram.Histogram
	totalTime         *hdrhistogram.Histogram
	transit           transitHistograms
}

func newReport() *Report {
	return &Report{
		outcomes: map[string]int{}, statuses: map[string]int{}, ran: map[string]int{},
		firstToken: hdrhistogram.New(1, maxLatencyMicros, significantDigits), totalTime: hdrhistogram.New(1, maxLatencyMicros, significantDigits), transit: newTransitHistograms(),
	}
}

func (r *Report) addUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *Report) add(got result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[string(got.outcome)]++
	if got.outcome == outcomeFailed {
		return
	}
	r.statuses[strconv.Itoa(got.status)]++
	if got.ran == "" {
		got.ran = noRanHeader
	}
	r.ran[got.ran]++
	if got.outcome == outcomeRefused && !got.retryAfter {
		r.withoutRetryAfter++
	}
	if got.outcome != outcomeComplete {
		return
	}
	if got.usageWrong {
		r.usageWrong++
	}
	r.tokens += got.tokens
	// Times are within the bounds: a run ends before maxLatencyMicros.
	_ = r.firstToken.RecordValue(max(1, got.firstToken.Microseconds()))
	_ = r.totalTime.RecordValue(max(1, got.totalTime.Microseconds()))
	r.transit.add(got.transit)
}

// merge adds the results of a run that was made after this one.
func (r *Report) merge(other *Report) {
	r.elapsed += other.elapsed
	r.unsent += other.unsent
	r.withoutRetryAfter += other.withoutRetryAfter
	r.usageWrong += other.usageWrong
	r.tokens += other.tokens
	addCounts(r.outcomes, other.outcomes)
	addCounts(r.statuses, other.statuses)
	addCounts(r.ran, other.ran)
	r.firstToken.Merge(other.firstToken)
	r.totalTime.Merge(other.totalTime)
	r.transit.merge(other.transit)
}

func addCounts(into, from map[string]int) {
	for k, n := range from {
		into[k] += n
	}
}

// Complete returns the number of complete and correct responses.
func (r *Report) Complete() int { return r.outcomes[string(outcomeComplete)] }

// Invalid returns the number of wrong or truncated responses.
func (r *Report) Invalid() int {
	return r.outcomes[string(outcomeWrong)] + r.outcomes[string(outcomeTruncated)]
}

// Rejected returns the number of rejected requests: those with a status other
// than 200.
func (r *Report) Rejected() int { return r.outcomes[string(outcomeRefused)] }

// Failed returns the number of requests without a response, including those not
// sent.
func (r *Report) Failed() int { return r.outcomes[string(outcomeFailed)] + r.unsent }

// Goodput returns the number of complete responses per second.
func (r *Report) Goodput() float64 { return float64(r.Complete()) / r.elapsed.Seconds() }

// quantiles are in milliseconds.
type quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return quantiles{
		P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// MarshalJSON encodes all results.
func (r *Report) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Elapsed    float64        `json:"elapsed_seconds"`
		Outcomes   map[string]int `json:"outcomes"`
		Unsent     int            `json:"not_sent"`
		Statuses   map[string]int `json:"by_status"`
		Ran        map[string]int `json:"by_ran"`
		NoRetry    int            `json:"refused_without_retry_after"`
		UsageWrong int            `json:"usage_wrong"`
		Goodput    float64        `json:"whole_per_second"`
		TokenRate  float64        `json:"tokens_per_second"`
		First      quantiles      `json:"first_token"`
		Total      quantiles      `json:"total"`
	}{
		r.elapsed.Seconds(), r.outcomes, r.unsent, r.statuses, r.ran, r.withoutRetryAfter, r.usageWrong,
		r.Goodput(), float64(r.tokens) / r.elapsed.Seconds(), quantilesOf(r.firstToken), quantilesOf(r.totalTime),
	})
}
