package load

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest bounds the histograms, in microseconds: twice the longest run.
	longest = int64(30 * time.Minute / time.Microsecond)
	// digits is the histograms' precision.
	digits = 3
	// silent stands for answers without the header that says whether work ran.
	silent = "none"
)

// Report is what came back of a load. The times are those of whole answers.
type Report struct {
	mu         sync.Mutex
	elapsed    time.Duration
	unsent     int
	outcomes   map[string]int
	statuses   map[string]int
	ran        map[string]int
	noRetry    int
	usageWrong int
	tokens     int
	first      *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	ways       wayTimes
}

func newReport() *Report {
	return &Report{
		outcomes: map[string]int{}, statuses: map[string]int{}, ran: map[string]int{},
		first: hdrhistogram.New(1, longest, digits), total: hdrhistogram.New(1, longest, digits), ways: newWayTimes(),
	}
}

func (r *Report) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *Report) add(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[string(x.outcome)]++
	if x.outcome == outcomeFailed {
		return
	}
	r.statuses[strconv.Itoa(x.status)]++
	if x.ran == "" {
		x.ran = silent
	}
	r.ran[x.ran]++
	if x.outcome == outcomeRefused && !x.retryAfter {
		r.noRetry++
	}
	if x.outcome != outcomeWhole {
		return
	}
	if x.usageWrong {
		r.usageWrong++
	}
	r.tokens += x.tokens
	// Times lie within the bounds: a run ends before the longest.
	_ = r.first.RecordValue(max(1, x.first.Microseconds()))
	_ = r.total.RecordValue(max(1, x.total.Microseconds()))
	r.ways.add(x.ways)
}

// merge adds the figures of another run, made after this one.
func (r *Report) merge(other *Report) {
	r.elapsed += other.elapsed
	r.unsent += other.unsent
	r.noRetry += other.noRetry
	r.usageWrong += other.usageWrong
	r.tokens += other.tokens
	addAll(r.outcomes, other.outcomes)
	addAll(r.statuses, other.statuses)
	addAll(r.ran, other.ran)
	r.first.Merge(other.first)
	r.total.Merge(other.total)
	r.ways.merge(other.ways)
}

func addAll(into, from map[string]int) {
	for k, n := range from {
		into[k] += n
	}
}

// Whole returns the number of answers that came whole and right.
func (r *Report) Whole() int { return r.outcomes[string(outcomeWhole)] }

// Broken returns the number of answers that were wrong or cut.
func (r *Report) Broken() int {
	return r.outcomes[string(outcomeWrong)] + r.outcomes[string(outcomeCut)]
}

// Refused returns the number of refusals, whatever their status.
func (r *Report) Refused() int { return r.outcomes[string(outcomeRefused)] }

// Failed returns the number of requests that got no answer or were not sent.
func (r *Report) Failed() int { return r.outcomes[string(outcomeFailed)] + r.unsent }

// Goodput returns the whole answers a second.
func (r *Report) Goodput() float64 { return float64(r.Whole()) / r.elapsed.Seconds() }

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

// MarshalJSON writes all figures.
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
		r.elapsed.Seconds(), r.outcomes, r.unsent, r.statuses, r.ran, r.noRetry, r.usageWrong,
		r.Goodput(), float64(r.tokens) / r.elapsed.Seconds(), quantilesOf(r.first), quantilesOf(r.total),
	})
}
