package planner

import (
	"math"
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// rates are demand rates in tokens per second.
type rates struct {
	prefill float64
	decode  float64
}

// movingAverage is an exponentially weighted moving average, normalized by the weight
// of the samples so far: until its time constant has passed it is close to the plain
// mean.
type movingAverage struct {
	span   float64
	sum    rates
	weight float64
}

// add adds a rate that was observed for the given number of milliseconds.
func (a *movingAverage) add(r rates, ms float64) {
	decay := math.Exp(-ms / a.span)
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

// gatewayDemand is the demand through one gateway.
type gatewayDemand struct {
	gateway string
	fast    movingAverage
	// fastSmoothed is the moving average of the fast average.
	fastSmoothed movingAverage
	slow         movingAverage
	reportedAt   kumquatlug.Millis
}

// demand is the total demand of all gateways. Each gateway has its own averages: with
// a common average a late report would look like a drop in demand.
type demand struct {
	fast    kumquatlug.Millis
	slow    kumquatlug.Millis
	sources []*gatewayDemand
	since   kumquatlug.Millis
}

func newDemand(fast, slow kumquatlug.Millis) *demand {
	return &demand{fast: fast, slow: slow}
}

func (d *demand) record(now kumquatlug.Millis, o kumquatlug.Demand) {
	if o.Period <= 0 {
		return
	}
	s := d.source(now, o.Gateway)
	s.reportedAt = now
	seconds := float64(o.Period) / float64(kumquatlug.Second)
	r := rates{prefill: o.PrefillTokens / seconds, decode: o.DecodeTokens / seconds}
	s.fast.add(r, float64(o.Period))
	s.fastSmoothed.add(s.fast.mean(), float64(o.Period))
	s.slow.add(r, float64(o.Period))
}

func (d *demand) source(now kumquatlug.Millis, gateway string) *gatewayDemand {
	at, ok := slices.BinarySearchFunc(d.sources, gateway, func(s *gatewayDemand, gateway string) int {
		return strings.Compare(s.gateway, gateway)
	})
	if ok {
		return d.sources[at]
	}
	if len(d.sources) == 0 {
		d.since = now
	}
	s := &gatewayDemand{gateway: gateway, fast: movingAverage{span: float64(d.fast)}, fastSmoothed: movingAverage{span: float64(d.fast)}, slow: movingAverage{span: float64(d.slow)}}
	d.sources = slices.Insert(d.sources, at, s)
	return s
}

// dropUnresponsive removes the gateways whose last report is older than limit.
func (d *demand) dropUnresponsive(now, limit kumquatlug.Millis) {
	d.sources = slices.DeleteFunc(d.sources, func(s *gatewayDemand) bool { return now-s.reportedAt > limit })
}

// anyUnresponsive reports whether the last report of any gateway is older than limit,
// or no gateway has reported.
func (d *demand) anyUnresponsive(now, limit kumquatlug.Millis) bool {
	for _, s := range d.sources {
		if now-s.reportedAt > limit {
			return true
		}
	}
	return len(d.sources) == 0
}

// age returns the time since the first demand report.
func (d *demand) age(now kumquatlug.Millis) kumquatlug.Millis {
	if len(d.sources) == 0 {
		return 0
	}
	return now - d.since
}

// The estimate shifts from the slow to the fast average as their relative deviation
// grows from blendStart to blendEnd. Demand that varies by 20% between reports moves
// the fast average by 4%, so a deviation of 15% is not noise.
const (
	blendStart = 0.15
	blendEnd   = 0.30
)

// estimate returns the estimated demand of all gateways.
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

// blend returns the slow average if the fast one is close to it, and otherwise shifts
// towards an estimate of the current demand. While the demand changes steadily, the
// fast average lags by its time constant, and engines that change roles for it are
// ready later still, so the split would fit the past throughout a mix shift. The
// average of the fast average lags behind it by the same amount, so their difference
// is added as a correction. After a jump this overshoots the new demand by up to 14% of
// the jump, for about two time constants.
func blend(fast, smooth, slow float64) float64 {
	current := max(2*fast-smooth, 0)
	if slow <= 0 {
		return current
	}
	deviation := math.Abs(fast-slow) / slow
	share := (deviation - blendStart) / (blendEnd - blendStart)
	return slow + min(max(share, 0), 1)*(current-slow)
}
