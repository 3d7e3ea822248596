package placement

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

// Figures of waiting for a worker that names a limit, in milliseconds.
const (
	// maxLimitWaitMs is how long a request waits that can be in time. It is the same for all:
	// the kind that may wait longest would else get all.
	maxLimitWaitMs = 100.0
	// lateLimitWaitMs is how long one waits that can't be in time any more.
	lateLimitWaitMs = 25.0
	// startedLimitWaitMs is how long a stream waits that goes on: its client leaves when it
	// stands still for two seconds.
	startedLimitWaitMs = 1000.0
)

// limitedWorkers notes the workers that take no more requests soon enough.
type limitedWorkers struct{ minDelay float64 }

func newLimitedWorkers() *limitedWorkers { return &limitedWorkers{minDelay: math.Inf(1)} }

// exclude reports that a request must not wait until w takes it, as its first output comes
// rest ms after that.
func (h *limitedWorkers) exclude(now kumquatlug.Millis, w *worker, q Query, rest float64) bool {
	delay := w.limit.Delay(now)
	if delay == 0 || delay <= q.maxLimitWait(now, rest) {
		return false
	}
	h.minDelay = min(h.minDelay, delay)
	return true
}

// maxLimitWait is how long a request may wait until a worker takes it, in milliseconds. Those
// that are late take what the others leave: did they wait as long, all that come after
// them would be late, too.
func (q Query) maxLimitWait(now kumquatlug.Millis, rest float64) float64 {
	longest := lateLimitWaitMs
	switch inTime := float64(q.Target-now) - rest; {
	case q.Begun:
		longest = startedLimitWaitMs
	case q.Target == 0:
		longest = maxLimitWaitMs
	case inTime > lateLimitWaitMs:
		longest = min(inTime, maxLimitWaitMs)
	}
	return min(longest, float64(q.timeLeft(now)))
}

// bestOrDelay returns the best choice or, where none was found, how long it is until the first
// worker takes a request.
func (p *Placer) bestOrDelay(now kumquatlug.Millis, best Choice, found bool, h *limitedWorkers) Choice {
	if found {
		return best
	}
	minDelay := h.minDelay
	for _, w := range p.ordered {
		if w.member.State == kumquatlug.MemberReady && now < w.pausedUntil {
			minDelay = min(minDelay, float64(w.pausedUntil-now))
		}
	}
	if math.IsInf(minDelay, 1) {
		return best
	}
	return Choice{delay: minDelay}
}

// Pause sends the worker of an attempt nothing for as long as it asked. What waits there
// goes elsewhere.
func (p *Placer) Pause(now kumquatlug.Millis, t *Ticket, span kumquatlug.Millis) {
	w := t.worker
	if w == nil || p.workers[t.id] != w || span <= 0 {
		return
	}
	w.pausedUntil = max(w.pausedUntil, now+span)
	p.displaceQueue(w)
}

// Place is a request that an engine with a limit will take at a moment. It is kept for
// the output of a prompt before the prompt is read: prompts that are read at the same
// time would else all count on the same one, and be read for nothing.
type Place struct {
	worker string
	at     kumquatlug.Millis
}

// reservationFor returns the place of a choice, none at an engine without a limit.
func (p *Placer) reservationFor(now kumquatlug.Millis, c Choice) Place {
	id := c.worker.ID()
	if w, known := p.workers[id]; !known || !w.limit.Named() {
		return Place{}
	}
	return Place{worker: id, at: now + c.Delay()}
}

// reserve counts a prompt at the engine that reads it, and at the one where a place
// is kept for its output.
func (p *Placer) reserve(now kumquatlug.Millis, reader *worker, c Choice) {
	reader.limit.Send(now)
	if w, known := p.workers[c.reservation.worker]; known {
		w.limit.Send(now)
	}
}

// reservedChoice chooses the engine at which a place was kept, while it may be used.
func (p *Placer) reservedChoice(now kumquatlug.Millis, q Query) (Choice, bool) {
	w, known := p.workers[q.Place.worker]
	if !known || !p.eligible(now, w, q, kumquatlug.RoleDecode) {
		return Choice{}, false
	}
	delay := max(0, float64(q.Place.at-now))
	wait := delay + p.slotWaitMs(now, w, q.Prompt)
	return Choice{worker: w.member.Worker, wait: wait, delay: delay, reserved: true}, true
}

// LimitNews is that a worker names another limit of its rate than before, or none.
type LimitNews struct {
	worker    string
	named     bool
	perSecond float64
	sent      int
}

// Worker returns the worker's name.
func (n LimitNews) Worker() string { return n.worker }

// Named reports whether the worker names a limit.
func (n LimitNews) Named() bool { return n.named }

// PerSecond returns the requests a second that it takes from all fronts.
func (n LimitNews) PerSecond() float64 { return n.perSecond }

// Sent returns how many requests this front sent there since it first heard of a limit.
func (n LimitNews) Sent() int { return n.sent }

// Limited takes what the answer to an attempt says of its worker's limit, and reports
// whether that is news. Good says that the worker did what it was asked.
func (p *Placer) Limited(now kumquatlug.Millis, t *Ticket, limit kumquatlug.RateLimit, ok bool) (LimitNews, bool) {
	if t.worker == nil || p.workers[t.id] != t.worker {
		return LimitNews{}, false
	}
	l := t.worker.limit
	if !l.Hear(now, ratelimit.Answer{Says: limit, SentAt: t.sentAt, Prompt: t.prefillOnly, Good: ok}) {
		return LimitNews{}, false
	}
	return LimitNews{worker: t.id, named: l.Named(), perSecond: l.PerSecond(), sent: l.Sent()}, true
}

// StillTakes reports whether the worker of an attempt that was held back may be sent it.
func (p *Placer) StillTakes(now kumquatlug.Millis, t *Ticket) bool {
	w := t.worker
	return w != nil && p.workers[t.id] == w && !w.unresponsive && p.eligible(now, w, Query{}, w.member.Role)
}

// Limits returns what is known of the workers that have a limit.
func (p *Placer) Limits() []LimitNews {
	var all []LimitNews
	for _, w := range p.ordered {
		if w.limit.Named() {
			all = append(all, LimitNews{
				worker: w.member.Worker.ID(), named: true, perSecond: w.limit.PerSecond(), sent: w.limit.Sent(),
			})
		}
	}
	return all
}
