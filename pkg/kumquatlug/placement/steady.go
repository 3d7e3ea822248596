package placement

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/pace"
)

// Streams of several seconds at slow engines exceed the pause limit of their route as soon as
// the engine is slowed down. The functions of this file determine which engines suit such
// streams and how many of them are needed.

// Constants of the demand for engines that suit streams.
const (
	// steadyMargin is the fraction of the pause limit that the expected longest pause of a
	// suitable engine reaches at most: speeds are known to about a tenth.
	steadyMargin = 0.9
	// steadyHeadroom is the number of slots wanted per stream in flight: bursts nearly double
	// the streams within the seconds that an exchange of roles takes.
	steadyHeadroom = 1.5
	// streamWindowMs is the window over which the streams in flight are averaged.
	streamWindowMs = 2000.0
	// measuredPerMs is the number of workers that are measured in a ms on average: with
	// 10,000, a sample of all of them is taken each 500 ms.
	measuredPerMs = 20
	// reservedCostMs is the cost of a slot for a short output at an engine that suits streams,
	// when all other slots of such engines are taken. Below half of them it is free.
	reservedCostMs = 40.0
)

// streamDemand holds the averages behind [Placer.StreamEngines].
type streamDemand struct {
	// streams and decodes are the average numbers of this gateway's streams of several
	// seconds, and of all its requests that decode.
	streams, decodes float64
	measuredAt       kumquatlug.Millis
	// pauseLimit is the shortest pause limit of the streams' routes, zero for none.
	pauseLimit kumquatlug.Millis
	// takenFraction is the fraction of the slots of suitable engines that are taken.
	takenFraction float64
	// suitable are the decode engines that suit streams, as of the last measurement.
	suitable map[string]bool
}

// noteStream records the pause limit of a stream of several seconds.
func (p *Placer) noteStream(q Query) {
	if q.MaxEventGap > 0 && p.usualStreamMs(q.Prompt) >= minStreamMs && (p.demand.pauseLimit == 0 || q.MaxEventGap < p.demand.pauseLimit) {
		p.demand.pauseLimit = q.MaxEventGap
	}
}

// measureStreams updates the averages.
func (p *Placer) measureStreams(now kumquatlug.Millis) {
	if !p.speeds.Active() || p.demand.pauseLimit == 0 {
		return
	}
	d := &p.demand
	if d.suitable != nil && now-d.measuredAt < kumquatlug.Millis(len(p.ordered)/measuredPerMs) {
		return
	}
	streams, decodes, taken, slots := 0.0, 0.0, 0.0, 0.0
	d.suitable = map[string]bool{}
	for _, w := range p.ordered {
		if w.member.Role != kumquatlug.RoleDecode || !w.counts() {
			continue
		}
		decodes += float64(w.running)
		for _, t := range w.attempts {
			if !t.prefillOnly && p.tokenTime.Value()*float64(t.maxOutputTokens) >= minStreamMs {
				streams++
			}
		}
		if p.suitsStreams(now, w) {
			d.suitable[w.member.Worker.ID()] = true
			taken += float64(w.running) + p.otherRequestsAt(now, w)
			slots += float64(w.member.Slots)
		}
	}
	kept := math.Exp(-float64(now-d.measuredAt) / streamWindowMs)
	d.measuredAt = now
	d.streams = kept*d.streams + (1-kept)*streams
	d.decodes = kept*d.decodes + (1-kept)*decodes
	d.takenFraction = min(taken/max(slots, 1), 1)
}

// suitsStreams reports whether an engine is known to keep the pause limit of the streams, also
// while it is slowed down.
func (p *Placer) suitsStreams(now kumquatlug.Millis, w *worker) bool {
	usual, known := p.speeds.UsualMs(pace.KindDecode)
	id := w.member.Worker.ID()
	return known && p.speeds.Known(now, id) &&
		usual*p.speeds.RelativeTime(now, id)*p.speeds.HighFactor() <= steadyMargin*float64(p.demand.pauseLimit)
}

// StreamEngines returns the engines that suit streams of several seconds, in any role, and how
// many of them should decode.
func (p *Placer) StreamEngines(now kumquatlug.Millis) (suitable map[string]bool, wanted int) {
	if !p.speeds.Active() || p.demand.pauseLimit == 0 || p.demand.decodes == 0 {
		return nil, 0
	}
	suitable = map[string]bool{}
	inFlight, slots, engines, suitableTime, decodeTime := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, w := range p.ordered {
		if !w.counts() {
			continue
		}
		relative := p.speeds.RelativeTime(now, w.member.Worker.ID())
		if p.suitsStreams(now, w) {
			suitable[w.member.Worker.ID()] = true
			suitableTime += relative
		}
		if w.member.Role == kumquatlug.RoleDecode {
			inFlight += float64(w.running) + p.otherRequestsAt(now, w)
			slots += float64(w.member.Slots)
			decodeTime += relative
			engines++
		}
	}
	if len(suitable) == 0 || engines == 0 {
		return nil, 0
	}
	// At suitable engines a stream takes a slot for a shorter time.
	shorter := min((suitableTime/float64(len(suitable)))/(decodeTime/engines), 1)
	streams := inFlight * min(p.demand.streams/p.demand.decodes, 1) * shorter
	return suitable, int(math.Ceil(steadyHeadroom * streams / (slots / engines)))
}

// reservedSlotCostMs returns the cost of a slot at w for an output that is no stream of several
// seconds, in ms: most of its slots are left to streams, which suffer more from slow engines.
func (p *Placer) reservedSlotCostMs(w *worker, prompt kumquatlug.Prompt) float64 {
	if !p.demand.suitable[w.member.Worker.ID()] || p.usualStreamMs(prompt) >= minStreamMs {
		return 0
	}
	return reservedCostMs * max(0, 2*p.demand.takenFraction-1)
}
