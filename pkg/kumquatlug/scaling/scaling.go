// Package scaling computes the number of workers of a service in one data centre.
//
// Load grows over seconds to minutes, and a worker takes a while to start. If workers were
// ordered for the current load, each would be late by its start time, and workers removed
// between two load peaks would have to be started again. The number of workers is therefore
// based on the load expected when a worker ordered now has started, and is lowered only after
// fewer workers would have sufficed for a while.
package scaling

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of scaling.
const (
	// maxUtilization is the intended fraction of busy workers: above it, requests queue
	// behind each other.
	maxUtilization = 0.7
	// minHold and holdBootTimes define for how long fewer workers must suffice before the
	// number is lowered: the longer of minHold and holdBootTimes boot times.
	minHold       = 30 * kumquatlug.Second
	holdBootTimes = 2
	// trendSpan is the time span in which the growth of the load is measured.
	trendSpan = 10 * kumquatlug.Second
	// minOrderInterval is the shortest time from an order to the next increase, unless half a
	// boot time is longer: the ordered workers must take effect first.
	minOrderInterval = 5 * kumquatlug.Second
	// minTrendSpan is the shortest time span from which a growth is computed.
	minTrendSpan = 3 * kumquatlug.Second
)

// Load is the load of a service in one data centre.
type Load struct {
	// Workers is the number of workers that accept requests, BusyWorkers their load, in workers.
	Workers     int
	BusyWorkers float64
}

// sample is a load and the number of workers needed for it.
type sample struct {
	at     kumquatlug.Millis
	busy   float64
	needed int
}

// Scaler scales one service in one data centre. It is not safe for concurrent use.
type Scaler struct {
	bounds  kumquatlug.Scaling
	samples []sample
	// ordered is the number of workers last ordered at orderedAt, zero before the first order.
	ordered   int
	orderedAt kumquatlug.Millis
}

// New returns a Scaler without samples.
func New(bounds kumquatlug.Scaling) *Scaler { return &Scaler{bounds: bounds} }

// SetBounds sets the bounds after a config change.
func (z *Scaler) SetBounds(bounds kumquatlug.Scaling) { z.bounds = bounds }

// Update records the load and returns the number of workers, and whether it must be ordered.
func (z *Scaler) Update(now kumquatlug.Millis, v Load) (int, bool) {
	hold := max(minHold, holdBootTimes*z.bounds.BootTime)
	z.samples = slices.DeleteFunc(z.samples, func(s sample) bool { return now-s.at > hold })
	z.samples = append(z.samples, sample{at: now, busy: v.BusyWorkers, needed: z.neededWorkers(now, v)})
	peak := slices.MaxFunc(z.samples, func(a, b sample) int { return cmp.Compare(a.needed, b.needed) })
	current := z.ordered
	if current == 0 {
		current = v.Workers
	}
	wanted := z.clamp(peak.needed)
	sinceOrder := now - z.orderedAt
	switch {
	case current > z.bounds.MaxWorkers || current < z.bounds.MinWorkers:
		return wanted, true
	case wanted > current && (z.ordered == 0 || sinceOrder >= max(minOrderInterval, z.bounds.BootTime/2)):
		return wanted, true
	case wanted < current && now-z.samples[0].at >= hold-hold/10 && (z.ordered == 0 || sinceOrder >= hold):
		return wanted, true
	}
	return current, false
}

// neededWorkers returns the number of workers for the load expected when a worker ordered now
// has started.
func (z *Scaler) neededWorkers(now kumquatlug.Millis, v Load) int {
	forecast := v.BusyWorkers
	if first, seen := z.oldestSince(now - trendSpan); seen && now-first.at >= minTrendSpan {
		growth := (v.BusyWorkers - first.busy) / float64(now-first.at)
		forecast += max(0, growth) * float64(z.bounds.BootTime)
	}
	return int(math.Ceil(forecast / maxUtilization))
}

// oldestSince returns the oldest sample taken at or after a time.
func (z *Scaler) oldestSince(from kumquatlug.Millis) (sample, bool) {
	at := slices.IndexFunc(z.samples, func(s sample) bool { return s.at >= from })
	if at < 0 {
		return sample{}, false
	}
	return z.samples[at], true
}

func (z *Scaler) clamp(n int) int { return min(max(n, z.bounds.MinWorkers), z.bounds.MaxWorkers) }

// RecordOrder records that n workers were ordered.
func (z *Scaler) RecordOrder(now kumquatlug.Millis, n int) { z.ordered, z.orderedAt = n, now }
