package placement

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/pace"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// The functions of this file apply the speeds of workers, see package pace, to the expected
// times. All of them have no effect while no worker of the service has reported a time factor.

// Constants of the use of speeds.
const (
	// batchEventFraction is the fraction by which one more request in a batch lengthens the
	// time between two events: batchTokenCostMs for each of about 50 tokens, of some 50 ms.
	batchEventFraction = 0.008
	// decodeTimeCost is the cost of a ms of decoding. A stream takes a slot longer at a slow
	// engine, but waiting for a slot of a fast one makes the first output late. At this cost
	// three more requests in the batch outweigh half the time of a stream of 4 s.
	decodeTimeCost = 0.02
	// plainHerdingCost is the cost of a worker whose slots are all taken, as a fraction of the
	// run time. What other gateways send there becomes known hundreds of ms later; without
	// this cost all of them would fill the fastest worker to its last slot, and beyond.
	plainHerdingCost = 1.0
	// minPrefillMs is the least expected prefill time, without fixed costs, that shows the
	// speed of an engine. A sample is at least minPrefillRatio of the expected time: the fixed
	// cost is known to some ms only.
	minPrefillMs    = 5.0
	minPrefillRatio = 0.1
	// minStreamMs is the duration from which a stream is expected to meet a slow span: one
	// starts every 4 s at each worker.
	minStreamMs = 1000.0
)

// Speeds returns the estimates of the speeds of the workers.
func (p *Placer) Speeds() *pace.Service { return p.speeds }

// workTime returns the expected time of work of a usual duration at w relative to that at a
// worker of the mean speed that is not slowed down; 1 if no speeds are known.
func (p *Placer) workTime(now kumquatlug.Millis, w *worker, usualMs float64) float64 {
	return p.speeds.WorkTime(now, w.member.Worker.ID(), usualMs)
}

// prefillMs returns the expected time to prefill tokens at w under the present load, in ms.
func (p *Placer) prefillMs(now kumquatlug.Millis, w *worker, tokens float64) float64 {
	usual := tokens / p.prefillRate() * p.slowdown
	return usual * p.workTime(now, w, usual)
}

// usualMs returns the usual duration of the work of a choice at w, in ms.
func (p *Placer) usualMs(w *worker, c Choice) float64 {
	if w.member.Role == "" {
		return p.meanPlainMs
	}
	return c.waitMs - c.delayMs
}

// plainSpeedCostMs returns the cost of the time that a plain request takes at a worker with a
// relative time, of which a fraction of the slots is taken, in ms.
func (p *Placer) plainSpeedCostMs(ratio, taken float64) float64 {
	if !p.speeds.Active() {
		return 0
	}
	return p.meanPlainMs * (ratio - 1 + plainHerdingCost*ratio*taken*taken)
}

// decodeCostMs returns the cost of the time that the output of a prompt takes at w compared to
// one of the mean speed, in ms.
func (p *Placer) decodeCostMs(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) float64 {
	if !p.speeds.Active() {
		return 0
	}
	usual := p.usualStreamMs(prompt)
	return decodeTimeCost * usual * (p.workTime(now, w, usual) - 1)
}

// usualStreamMs returns the usual time that the output of a prompt takes, in ms.
func (p *Placer) usualStreamMs(prompt kumquatlug.Prompt) float64 {
	return p.tokenTime.Value() * float64(prompt.Output())
}

// SetOwnerWeights sets the weights of engines as owners of prefixes, which all gateways share;
// an engine without one has the weight 1.
func (p *Placer) SetOwnerWeights(weights map[string]float64) { p.ownerWeights = weights }

// OwnerWeights returns the weights set last.
func (p *Placer) OwnerWeights() map[string]float64 { return p.ownerWeights }

// ownerScore returns the rank of w as the owner of a prefix; the highest one owns it.
func (p *Placer) ownerScore(w *worker, prefix uint64) float64 {
	h := rendezvous.Mix(prefix ^ w.hash)
	if len(p.ownerWeights) == 0 {
		return float64(h)
	}
	weight, known := p.ownerWeights[w.member.Worker.ID()]
	if !known {
		weight = 1
	}
	// The usual score of weighted rendezvous hashing: with equal weights the order is that of
	// the hashes, and a change of one weight moves prefixes to or from that engine alone.
	return -weight / math.Log((float64(h>>11)+0.5)/(1<<53))
}

// longestPauseMs returns the longest expected time between two events of a stream at w, in ms,
// and whether it is known. A long stream will meet a slow span.
func (p *Placer) longestPauseMs(now kumquatlug.Millis, w *worker, prompt kumquatlug.Prompt) (float64, bool) {
	usual, known := p.speeds.UsualMs(pace.KindDecode)
	id := w.member.Worker.ID()
	if !known || !p.speeds.Known(now, id) {
		return 0, false
	}
	factor, stream := p.speeds.HighFactor(), p.usualStreamMs(prompt)
	if stream < minStreamMs {
		factor = p.speeds.ExpectedFactor(now, id, stream)
	}
	others := float64(w.running) + p.otherRequestsAt(now, w)
	return usual * (1 + batchEventFraction*others) * p.speeds.RelativeTime(now, id) * factor, true
}

// exceedsPauseLimit reports whether w is expected to pause for longer than the route of q
// permits.
func (p *Placer) exceedsPauseLimit(now kumquatlug.Millis, w *worker, q *Query) bool {
	pause, known := p.longestPauseMs(now, w, q.Prompt)
	return known && pause > float64(q.MaxEventGap)
}

// keepsPauseLimit reports whether there is an engine that has a slot for the request and is
// expected to keep the pause limit of its route. If so, the engines that exceed the limit are
// left out.
func (p *Placer) keepsPauseLimit(now kumquatlug.Millis, q Query) bool {
	if q.MaxEventGap <= 0 || !p.speeds.Active() {
		return false
	}
	for _, w := range p.ordered {
		if p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) && !p.exceedsPauseLimit(now, w, &q) &&
			p.slotWaitMs(now, w, q.Prompt) == 0 && w.limit.Delay(now) == 0 {
			return true
		}
	}
	return false
}

// observeEvent records the time between two events of a stream. events is the number of events
// that arrived together.
func (p *Placer) observeEvent(now kumquatlug.Millis, w *worker, pauseMs float64, events int) {
	if !p.speeds.Active() || events < 1 {
		return
	}
	others := max(float64(w.running)+p.otherRequestsAt(now, w)-1, 0)
	p.speeds.Observe(now, w.member.Worker.ID(), pace.KindDecode, pauseMs/float64(events)/(1+batchEventFraction*others))
}

// observePrefill records the time of a prefill. Its reference is the model of the service for
// an engine without other prompts, and otherwise the wait that would have been expected at the
// mean speed.
func (p *Placer) observePrefill(now kumquatlug.Millis, t *Attempt, took float64) {
	if !p.speeds.Active() || p.prefillModel.Samples() < minPrefillSamples {
		return
	}
	// The fixed cost is that of the network, and as high at a fast engine.
	kind, fixed, usual := pace.KindPrefill, p.prefillModel.FixedCost(), p.prefillModel.Time(t.uncachedTokens, t.cachedTokens)
	if !t.engineIdle {
		kind, fixed = pace.KindQueuedPrefill, p.handoffMs()
		usual = fixed + (t.expectedWaitMs-fixed)/(t.workTime*t.slowdown)
	}
	if usual-fixed >= minPrefillMs {
		p.speeds.Observe(now, t.id, kind, max((took-fixed)/(usual-fixed), minPrefillRatio))
	}
}

// usualPrefillMs returns how long a prefill would have taken at an engine of the mean speed, in
// ms.
func (p *Placer) usualPrefillMs(t *Attempt, took float64) float64 {
	if t.workTime == 1 {
		return took
	}
	fixed := min(p.prefillModel.FixedCost(), took)
	return fixed + (took-fixed)/t.workTime
}

// observePlain records the run time of a plain request, unless it waited for a slot.
func (p *Placer) observePlain(now kumquatlug.Millis, t *Attempt, took float64) {
	if t.expectedWaitMs == 0 {
		p.speeds.Observe(now, t.id, pace.KindPlain, took)
	}
}

// EngineSpeeds returns the lasting relative times of the workers by name, for those whose speed
// is known.
func (p *Placer) EngineSpeeds(now kumquatlug.Millis) map[string]float64 {
	if !p.speeds.Active() {
		return nil
	}
	speeds := map[string]float64{}
	for id := range p.workers {
		if p.speeds.Known(now, id) {
			speeds[id] = p.speeds.RelativeTime(now, id)
		}
	}
	return speeds
}
