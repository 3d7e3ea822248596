package planner

import (
	"math"
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// rates are tokens a second.
type rates struct {
	prefill float64
	decode  float64
}

// movingAverage is a moving average over a span that counts only what it has seen:
// before the span has passed it is the plain mean.
type movingAverage struct {
	span   float64
	sum    rates
	weight float64
}

// add takes in a rate that held for some milliseconds.
func (a *movingAverage) add(r rates, millis float64) {
	decay := math.Exp(-millis / a.span)
	a.sum.prefill = a.sum.prefill*decay + r.prefill*(1-decay)
	a.sum.decode = a.sum.decode*decay + r.decode*(1-decay)
	a.weight = a.weight*decay + 1 - decay
}

func (a *movingAverage) mean() rates {
	if a.weight == 0 {
		return rates{}
	}
	return rates{prefill: a.sum.prefill / a.weight, decode: a.sum.decode / a.weight}
}

// frontendDemand is the demand through one entry.
type frontendDemand struct {
	entry string
	fast  movingAverage
	// fastSmoothed is the average of the fast one.
	fastSmoothed movingAverage
	slow         movingAverage
	reportedAt   kumquatlug.Millis
}

// demand adds up the sources. Each has its own averages: if they were averaged
// together, an entry whose report is late would look like a drop in demand.
type demand struct {
	fast    kumquatlug.Millis
	slow    kumquatlug.Millis
	sources []*frontendDemand
	since   kumquatlug.Millis
}

func newDemand(fast, slow kumquatlug.Millis) *demand {
	return &demand{fast: fast, slow: slow}
}

func (d *demand) offered(now kumquatlug.Millis, o kumquatlug.Offer) {
	if o.Span <= 0 {
		return
	}
	s := d.source(now, o.Entry)
	s.reportedAt = now
	seconds := float64(o.Span) / float64(kumquatlug.Second)
	r := rates{prefill: o.PrefillTokens / seconds, decode: o.DecodeTokens / seconds}
	s.fast.add(r, float64(o.Span))
	s.fastSmoothed.add(s.fast.mean(), float64(o.Span))
	s.slow.add(r, float64(o.Span))
}

func (d *demand) source(now kumquatlug.Millis, entry string) *frontendDemand {
	at, ok := slices.BinarySearchFunc(d.sources, entry, func(s *frontendDemand, entry string) int {
		return strings.Compare(s.entry, entry)
	})
	if ok {
		return d.sources[at]
	}
	if len(d.sources) == 0 {
		d.since = now
	}
	s := &frontendDemand{entry: entry, fast: movingAverage{span: float64(d.fast)}, fastSmoothed: movingAverage{span: float64(d.fast)}, slow: movingAverage{span: float64(d.slow)}}
	d.sources = slices.Insert(d.sources, at, s)
	return s
}

// dropSilent drops the entries that have not been heard for a span.
func (d *demand) dropSilent(now, limit kumquatlug.Millis) {
	d.sources = slices.DeleteFunc(d.sources, func(s *frontendDemand) bool { return now-s.reportedAt > limit })
}

// anySilent reports whether an entry has not been heard for a span, or none ever.
func (d *demand) anySilent(now, limit kumquatlug.Millis) bool {
	for _, s := range d.sources {
		if now-s.reportedAt > limit {
			return true
		}
	}
	return len(d.sources) == 0
}

// age returns how long demand has been seen.
func (d *demand) age(now kumquatlug.Millis) kumquatlug.Millis {
	if len(d.sources) == 0 {
		return 0
	}
	return now - d.since
}

// The fast average takes over from the slow one as their distance grows from
// blendStart to blendEnd, as a part of the slow one. Demand that varies by a
// fifth from report to report moves the fast average by 4%: 15% is no noise.
const (
	blendStart = 0.15
	blendEnd   = 0.30
)

// estimate returns the demand of all entries.
func (d *demand) estimate() rates {
	var fast, slow, smooth rates
	for _, s := range d.sources {
		fastMean, slowMean := s.fast.mean(), s.slow.mean()
		fast.prefill += fastMean.prefill
		fast.decode += fastMean.decode
		smoothMean := s.fastSmoothed.mean()
		smooth.prefill += smoothMean.prefill
		smooth.decode += smoothMean.decode
		slow.prefill += slowMean.prefill
		slow.decode += slowMean.decode
	}
	return rates{prefill: blend(fast.prefill, smooth.prefill, slow.prefill), decode: blend(fast.decode, smooth.decode, slow.decode)}
}

// blend returns the slow average, or the demand as it is now as far as the fast
// one departs from it. An average shows a demand that moves steadily as it was
// a span ago, and engines that set out for that arrive later still: the split
// fits the past throughout a turn of the mix. Its own average lags behind it by
// as much, so their distance is added. After a jump that passes the new demand
// by up to 14% of the jump, for some two spans.
func blend(fast, smooth, slow float64) float64 {
	current := max(2*fast-smooth, 0)
	if slow <= 0 {
		return current
	}
	deviation := math.Abs(fast-slow) / slow
	share := (deviation - blendStart) / (blendEnd - blendStart)
	return slow + min(max(share, 0), 1)*(current-slow)
}
