// Package scaling decides how many workers a service is to have in one data centre.
//
// It answers a load that grows over seconds to minutes while a worker takes a while to
// start: ordered by what is busy now, each worker comes as much too late as it takes
// to start, and one that is taken away between two waves has to be started again. So
// what is wanted is what will be busy when a worker ordered now has started, and less
// is ordered only when less would have done for a while.
package scaling

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Figures of scaling.
const (
	// maxUtilization is the part of its workers that a service has busy at most: beyond it
	// requests wait for each other.
	maxUtilization = 0.7
	// minHold is for how long less must have been wanted until less is ordered, at
	// least, and holdBootTimes the same in starts of a worker.
	minHold       = 30 * kumquatlug.Second
	holdBootTimes = 2
	// trendSpan is over which span the growth is measured.
	trendSpan = 10 * kumquatlug.Second
	// minOrderInterval is how long after an order more is ordered at the earliest, or half a
	// start of a worker: what was ordered has to show first.
	minOrderInterval = 5 * kumquatlug.Second
	// minTrendSpan is how much of that span must have been seen to speak of growth.
	minTrendSpan = 3 * kumquatlug.Second
)

// View is what is seen of a service in one data centre.
type View struct {
	// Workers is how many take work, Busy how much of them is taken, in workers.
	Workers int
	Busy    float64
}

// sample is a view at a moment and what it made wanted.
type sample struct {
	at     kumquatlug.Millis
	busy   float64
	needed int
}

// Zone decides for one service in one data centre. It is not safe for concurrent use.
type Zone struct {
	bounds  kumquatlug.Scaling
	samples []sample
	// ordered is the number ordered last, zero while none was, orderedAt when.
	ordered   int
	orderedAt kumquatlug.Millis
}

// New returns what decides within bounds and has seen nothing.
func New(bounds kumquatlug.Scaling) *Zone { return &Zone{bounds: bounds} }

// SetBounds takes the bounds of a new config.
func (z *Zone) SetBounds(bounds kumquatlug.Scaling) { z.bounds = bounds }

// Look takes what is seen and returns the number to order, and whether one is to be
// ordered.
func (z *Zone) Look(now kumquatlug.Millis, v View) (int, bool) {
	hold := max(minHold, holdBootTimes*z.bounds.Boot)
	z.samples = slices.DeleteFunc(z.samples, func(s sample) bool { return now-s.at > hold })
	z.samples = append(z.samples, sample{at: now, busy: v.Busy, needed: z.neededWorkers(now, v)})
	peak := slices.MaxFunc(z.samples, func(a, b sample) int { return cmp.Compare(a.needed, b.needed) })
	current := z.ordered
	if current == 0 {
		current = v.Workers
	}
	wanted := z.clamp(peak.needed)
	sinceOrder := now - z.orderedAt
	switch {
	case current > z.bounds.Most || current < z.bounds.Least:
		return wanted, true
	case wanted > current && (z.ordered == 0 || sinceOrder >= max(minOrderInterval, z.bounds.Boot/2)):
		return wanted, true
	case wanted < current && now-z.samples[0].at >= hold-hold/10 && (z.ordered == 0 || sinceOrder >= hold):
		return wanted, true
	}
	return current, false
}

// neededWorkers returns how many workers the load will take when one ordered now has started.
func (z *Zone) neededWorkers(now kumquatlug.Millis, v View) int {
	forecast := v.Busy
	if first, seen := z.oldestSince(now - trendSpan); seen && now-first.at >= minTrendSpan {
		growth := (v.Busy - first.busy) / float64(now-first.at)
		forecast += max(0, growth) * float64(z.bounds.Boot)
	}
	return int(math.Ceil(forecast / maxUtilization))
}

// oldestSince returns the oldest sample from a time on.
func (z *Zone) oldestSince(from kumquatlug.Millis) (sample, bool) {
	at := slices.IndexFunc(z.samples, func(s sample) bool { return s.at >= from })
	if at < 0 {
		return sample{}, false
	}
	return z.samples[at], true
}

func (z *Zone) clamp(n int) int { return min(max(n, z.bounds.Least), z.bounds.Most) }

// Ordered takes that a number was ordered.
func (z *Zone) Ordered(now kumquatlug.Millis, n int) { z.ordered, z.orderedAt = n, now }
