package placement

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// pressureWindowMs is the window over which pressure is averaged, in milliseconds: some
// tens of prompts, and a fraction of the seconds that a role change takes.
const pressureWindowMs = 700.0

// trendWindowMs is the window over which the trend of used slots is measured,
// roleChangeMs how far it is extrapolated, in milliseconds: until a role change takes
// effect.
const (
	trendWindowMs = 2000.0
	roleChangeMs  = 3000.0
)

// Pressure is the load of a service's engines as one gateway sees it: its own requests
// in flight, and the load that engines report for all others.
type Pressure struct {
	prefillUtilization    float64
	lateFraction          float64
	decodeEnginesUsed     float64
	decodeEnginesForecast float64
}

// PrefillUtilization returns the fraction of the prefill engines that have prompts in flight.
func (p Pressure) PrefillUtilization() float64 { return p.prefillUtilization }

// LateFraction returns the fraction of the long prompts that were refused or could not be
// prefilled within their target latency.
func (p Pressure) LateFraction() float64 { return p.lateFraction }

// DecodeEnginesUsed returns the number of decode engines whose slots the requests at decode
// engines would fill, including waiting ones.
func (p Pressure) DecodeEnginesUsed() float64 { return p.decodeEnginesUsed }

// DecodeEnginesForecast returns the same number as the trend predicts it for the time when a
// role change that is ordered now takes effect.
func (p Pressure) DecodeEnginesForecast() float64 { return p.decodeEnginesForecast }

// WorkInFlight is the work in flight at a worker, as one gateway sees it.
type WorkInFlight struct {
	tokens, requests int
}

// Tokens returns the number of tokens to prefill there for this gateway.
func (b WorkInFlight) Tokens() int { return b.tokens }

// Requests returns the estimated number of requests of all gateways that run there.
func (b WorkInFlight) Requests() int { return b.requests }

// InFlight returns the work in flight at a worker.
func (p *Placer) InFlight(now kumquatlug.Millis, id string) WorkInFlight {
	w, known := p.workers[id]
	if !known {
		return WorkInFlight{}
	}
	return WorkInFlight{tokens: int(w.prefillTokens), requests: w.running + int(math.Round(p.otherRequestsAt(now, w)))}
}

// pressureAverages holds the averages behind a [Pressure].
type pressureAverages struct {
	prefillUtilization, decodeEnginesUsed float64
	// prompts and latePrompts are decaying counts.
	prompts, latePrompts float64
	sampledAt            kumquatlug.Millis
	// slowDecodeEnginesUsed is averaged over trendWindowMs, for the trend.
	slowDecodeEnginesUsed float64
}

// decay reduces the weight of older counts and returns the factor.
func (g *pressureAverages) decay(now kumquatlug.Millis) float64 {
	kept := math.Exp(-float64(now-g.sampledAt) / pressureWindowMs)
	g.prompts *= kept
	g.latePrompts *= kept
	g.sampledAt = now
	return kept
}

// Measure takes a sample. It has to be called every few hundredths of a second.
func (p *Placer) Measure(now kumquatlug.Millis) {
	kept := p.averages.decay(now)
	busy := p.busyPrefillFraction(now)
	taken := 0.0
	for _, w := range p.ordered {
		if !w.counts() {
			continue
		}
		if w.member.Role == kumquatlug.RoleDecode {
			// Slots that are only held for prompts in prefill take no decode time.
			taken += (float64(w.running) + p.reportedRequestsAt(now, w)) / float64(max(w.member.Slots, 1))
		}
	}
	p.averages.prefillUtilization = kept*p.averages.prefillUtilization + (1-kept)*busy
	p.averages.decodeEnginesUsed = kept*p.averages.decodeEnginesUsed + (1-kept)*taken
	slow := math.Pow(kept, pressureWindowMs/trendWindowMs)
	p.averages.slowDecodeEnginesUsed = slow*p.averages.slowDecodeEnginesUsed + (1-slow)*taken
	p.measureStreams(now)
}

// busyPrefillFraction returns the fraction of the prefill engines that are busy. For an
// engine that this gateway coordinates it counts the prompts of all gateways, for
// others only its own. The engines that it coordinates are a fair sample of all.
func (p *Placer) busyPrefillFraction(now kumquatlug.Millis) float64 {
	known, all, knownBusy, allBusy := 0, 0, 0.0, 0.0
	for _, w := range p.ordered {
		if !w.counts() || w.member.Role != kumquatlug.RolePrefill {
			continue
		}
		busy := min(1, float64(w.prefills)+p.otherRequestsAt(now, w))
		all++
		allBusy += busy
		if p.coordinates(now, w) {
			known++
			knownBusy += busy
		}
	}
	if known > 0 {
		return knownBusy / float64(known)
	}
	return allBusy / float64(max(all, 1))
}

// Pressure returns the averages of the last second.
func (p *Placer) Pressure() Pressure {
	late := 0.0
	if p.averages.prompts >= 1 {
		late = p.averages.latePrompts / p.averages.prompts
	}
	trend := (p.averages.decodeEnginesUsed - p.averages.slowDecodeEnginesUsed) / (trendWindowMs - pressureWindowMs)
	return Pressure{
		prefillUtilization: p.averages.prefillUtilization, lateFraction: late, decodeEnginesUsed: p.averages.decodeEnginesUsed, decodeEnginesForecast: max(0, p.averages.decodeEnginesUsed+trend*roleChangeMs),
	}
}

// Occupancy is how much of a service's workers in one data centre is in use.
type Occupancy struct {
	workers int
	busy    float64
}

// Workers returns the number of workers that accept requests.
func (o Occupancy) Workers() int { return o.workers }

// Busy returns how much of them is in use, in workers; above their number requests
// wait.
func (o Occupancy) Busy() float64 { return o.busy }

// Occupancy returns the occupancy by data centre, from this gateway's requests in flight
// and the load that workers report for the others.
func (p *Placer) Occupancy(now kumquatlug.Millis) map[string]Occupancy {
	zones := map[string]Occupancy{}
	for _, w := range p.ordered {
		if !w.counts() {
			continue
		}
		o := zones[w.member.Zone]
		o.workers++
		o.busy += p.usedFraction(now, w)
		zones[w.member.Zone] = o
	}
	return zones
}

// usedFraction returns the fraction of a worker that is in use. A prefill engine has as
// many slots as prompts it may have in flight.
func (p *Placer) usedFraction(now kumquatlug.Millis, w *worker) float64 {
	places := w.member.Slots
	if w.member.Role == kumquatlug.RolePrefill {
		places = maxPrefills
	}
	return (float64(w.prefills+w.running) + p.otherRequestsAt(now, w)) / float64(max(places, 1))
}
