package placement

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// pressureWindowMs is the span over which pressure is averaged, in milliseconds:
// some tens of prompts, and a part of the seconds that a change of role takes.
const pressureWindowMs = 700.0

// trendWindowMs is the span over which the trend of taken slots is seen, roleChangeMs
// how far it is followed, in milliseconds: until a change of role has effect.
const (
	trendWindowMs = 2000.0
	roleChangeMs  = 3000.0
)

// Pressure is how much is asked of a service's engines, as one front sees it:
// its own work in hand, and what engines say of all other work.
type Pressure struct {
	prefillUtilization    float64
	lateFraction          float64
	decodeEnginesUsed     float64
	decodeEnginesForecast float64
}

// Reading returns the part of the reading engines that have prompts in hand.
func (p Pressure) Reading() float64 { return p.prefillUtilization }

// Late returns the part of the long prompts that were refused or could not be
// read within their target latency.
func (p Pressure) Late() float64 { return p.lateFraction }

// Taken returns how many engines' slots the requests at generating engines take,
// waiting ones counted.
func (p Pressure) Taken() float64 { return p.decodeEnginesUsed }

// Coming returns how many they will take, by the trend, when a change of role
// that is ordered now has effect.
func (p Pressure) Coming() float64 { return p.decodeEnginesForecast }

// Beside is what a worker has in hand, as one front sees it.
type Beside struct {
	tokens, requests int
}

// Tokens returns how many tokens are to be read there for this front.
func (b Beside) Tokens() int { return b.tokens }

// Requests returns how many requests are believed to run there, those of all fronts.
func (b Beside) Requests() int { return b.requests }

// Beside returns what a worker has in hand.
func (p *Placer) Beside(now kumquatlug.Millis, id string) Beside {
	w, known := p.workers[id]
	if !known {
		return Beside{}
	}
	return Beside{tokens: int(w.prefillTokens), requests: w.running + int(math.Round(p.otherRequestsAt(now, w)))}
}

// pressureAverages keeps the averages behind a [Pressure].
type pressureAverages struct {
	prefillUtilization, decodeEnginesUsed float64
	// prompts and late count prompts; both fade.
	prompts, latePrompts float64
	sampledAt            kumquatlug.Millis
	// slowDecodeEnginesUsed is taken over a longer span, for the trend.
	slowDecodeEnginesUsed float64
}

// decay lets older counts weigh less.
func (g *pressureAverages) decay(now kumquatlug.Millis) float64 {
	kept := math.Exp(-float64(now-g.sampledAt) / pressureWindowMs)
	g.prompts *= kept
	g.latePrompts *= kept
	g.sampledAt = now
	return kept
}

// Measure takes a sample; call it each few hundredths of a second.
func (p *Placer) Measure(now kumquatlug.Millis) {
	kept := p.averages.decay(now)
	busy := p.busyPrefillFraction(now)
	taken := 0.0
	for _, w := range p.ordered {
		if w.member.State != kumquatlug.MemberReady {
			continue
		}
		if w.member.Role == kumquatlug.RoleDecode {
			taken += (float64(w.running) + p.otherRequestsAt(now, w)) / float64(max(w.member.Slots, 1))
		}
	}
	p.averages.prefillUtilization = kept*p.averages.prefillUtilization + (1-kept)*busy
	p.averages.decodeEnginesUsed = kept*p.averages.decodeEnginesUsed + (1-kept)*taken
	slow := math.Pow(kept, pressureWindowMs/trendWindowMs)
	p.averages.slowDecodeEnginesUsed = slow*p.averages.slowDecodeEnginesUsed + (1-slow)*taken
}

// busyPrefillFraction is the part of the reading engines that is at work. Of an engine that this
// front coordinates it knows the prompts of all fronts, of the others its own alone;
// which engines it coordinates is a fair sample of all.
func (p *Placer) busyPrefillFraction(now kumquatlug.Millis) float64 {
	known, all, knownBusy, allBusy := 0, 0, 0.0, 0.0
	for _, w := range p.ordered {
		if w.member.State != kumquatlug.MemberReady || w.member.Role != kumquatlug.RolePrefill {
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

// Occupancy is how much of a service's workers in one data centre is taken.
type Occupancy struct {
	workers int
	busy    float64
}

// Workers returns how many workers take work.
func (o Occupancy) Workers() int { return o.workers }

// Busy returns how much of them is taken, in workers; above their number requests wait.
func (o Occupancy) Busy() float64 { return o.busy }

// Occupied returns how much is taken by data centre, by what this front has in hand and
// what the workers said of the others.
func (p *Placer) Occupied(now kumquatlug.Millis) map[string]Occupancy {
	zones := map[string]Occupancy{}
	for _, w := range p.ordered {
		if w.member.State != kumquatlug.MemberReady {
			continue
		}
		o := zones[w.member.Zone]
		o.workers++
		o.busy += p.usedFraction(now, w)
		zones[w.member.Zone] = o
	}
	return zones
}

// usedFraction is the part of a worker that is taken. One that reads prompts apart has as many
// places as prompts it may have in hand.
func (p *Placer) usedFraction(now kumquatlug.Millis, w *worker) float64 {
	places := w.member.Slots
	if w.member.Role == kumquatlug.RolePrefill {
		places = maxPrefills
	}
	return (float64(w.prefills+w.running) + p.otherRequestsAt(now, w)) / float64(max(places, 1))
}
