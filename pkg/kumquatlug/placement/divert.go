package placement

import (
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A few engines have a queue of hundreds of milliseconds at the peak while most have none: the
// owners of prefixes that are requested more often than others, and those that are slowed down
// at the moment. A prompt that would be late in the queue of its owner is diverted once, to the
// next engine in the rendezvous order of its prefix. All gateways divert the prompts of a prefix
// to the same engine, which prefills the prefix once. If that one would be late as well, the
// load is too high everywhere, and the prompt returns to its owner.

// Constants of diverted prompts.
const (
	// defaultMaxDivertedFraction is the default of [Config.MaxDivertedFraction].
	defaultMaxDivertedFraction = 0.15
	// divertWindowMs is the window of that fraction, in milliseconds.
	divertWindowMs = 2000.0
)

// diversion is how far a prompt has been diverted.
type diversion string

const (
	// diversionNone: the prompt is at its owner.
	diversionNone diversion = ""
	// diversionTried: it is at the next engine in the order.
	diversionTried diversion = "tried"
	// diversionEnded: it is diverted no more.
	diversionEnded diversion = "ended"
)

// divertedLoad holds the decaying sums of the tokens of all prompts and of diverted ones.
type divertedLoad struct {
	all, diverted float64
	at            kumquatlug.Millis
}

func (d *divertedLoad) decay(now kumquatlug.Millis) {
	kept := math.Exp(-float64(now-d.at) / divertWindowMs)
	d.all, d.diverted, d.at = kept*d.all, kept*d.diverted, now
}

// recordDivertible counts the tokens of a prompt that is submitted for the first time.
func (p *Placer) recordDivertible(now kumquatlug.Millis, queued *queuedPrompt) {
	if queued.diversion == diversionNone && p.speeds.Active() {
		p.diverted.decay(now)
		p.diverted.all += queued.choice.effectiveTokens
	}
}

// expectedQueueMs returns the expected time until a prompt in the queue of w is prefilled, in
// milliseconds.
func (p *Placer) expectedQueueMs(now kumquatlug.Millis, w *worker, queued *queuedPrompt) float64 {
	return p.prefillMs(now, w, p.inFlightTokens(now, w)+w.tokensAhead(queued)+queued.choice.effectiveTokens)
}

// divert reports whether a prompt that waits waitMs at w leaves it for another engine, and
// prepares it to be submitted again.
func (p *Placer) divert(now kumquatlug.Millis, w *worker, queued *queuedPrompt, waitMs float64) bool {
	q := queued.query
	due := float64(q.FirstOutputDue - now)
	if !p.speeds.Active() || q.FirstOutputDue == 0 || q.ResponseStarted || waitMs+postPrefillMs <= due {
		return false
	}
	switch queued.diversion {
	case diversionNone:
		p.diverted.decay(now)
		tokens := float64(q.Prompt.Input())
		alone := tokens / p.prefillRate() * p.slowdown
		if p.prefillEngines < 2 || alone+postPrefillMs > due || p.diverted.diverted+tokens > p.config.MaxDivertedFraction*p.diverted.all {
			queued.diversion = diversionEnded
			return false
		}
		p.diverted.diverted += tokens
		queued.diversion = diversionTried
		queued.divertedFrom = w.member.Worker.ID()
		queued.query.Exclude = append(slices.Clone(q.Exclude), queued.divertedFrom)
	case diversionTried:
		queued.diversion = diversionEnded
		queued.query.Exclude = slices.DeleteFunc(slices.Clone(q.Exclude), func(id string) bool { return id == queued.divertedFrom })
	default:
		return false
	}
	queued.late, queued.lateAt = false, 0
	return true
}

// divertRequested diverts a prompt that waits at the coordinator of an engine, given the wait
// that the coordinator expects.
func (p *Placer) divertRequested(now kumquatlug.Millis, a *permitRequest, waitMs float64) bool {
	if waitMs <= 0 || !p.divert(now, a.worker, a.prompt, waitMs) {
		return false
	}
	p.removeRequest(a)
	p.sendRelease(a.coordinator, kumquatlug.Permit{Engine: a.worker.member.Worker.ID(), Key: a.prompt.key})
	p.displaced = append(p.displaced, a.prompt)
	return true
}
