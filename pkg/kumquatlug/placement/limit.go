package placement

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

// How long a request waits for a worker that advertises a rate limit, in milliseconds.
const (
	// maxLimitWaitMs applies to a request that can be in time. It is the same for all
	// routes: the one that may wait longest would otherwise get the whole limit.
	maxLimitWaitMs = 100.0
	// lateLimitWaitMs applies to a request that can't be in time any more.
	lateLimitWaitMs = 25.0
	// startedLimitWaitMs applies to a stream that is resumed: its client disconnects
	// after two seconds without an event.
	startedLimitWaitMs = 1000.0
)

// limitedWorkers records the shortest delay of the workers that are excluded by their
// rate limits.
type limitedWorkers struct{ minDelayMs float64 }

func newLimitedWorkers() *limitedWorkers { return &limitedWorkers{minDelayMs: math.Inf(1)} }

// exclude reports whether w is excluded because a request must not wait until its rate
// limit allows one. The first output is expected firstOutputMs after the request is sent.
func (h *limitedWorkers) exclude(now kumquatlug.Millis, w *worker, q *Query, firstOutputMs float64) bool {
	delayMs := w.limit.Delay(now)
	if delayMs == 0 || delayMs <= q.maxWaitForLimitMs(now, firstOutputMs) {
		return false
	}
	h.minDelayMs = min(h.minDelayMs, delayMs)
	return true
}

// maxWaitForLimitMs returns how long a request may wait for a rate limit, in milliseconds.
// Late requests use only what the others leave: if they waited as long, all requests
// after them would be late, too.
func (q *Query) maxWaitForLimitMs(now kumquatlug.Millis, firstOutputMs float64) float64 {
	longest := lateLimitWaitMs
	switch inTime := float64(q.FirstOutputDue-now) - firstOutputMs; {
	case q.ResponseStarted:
		longest = startedLimitWaitMs
	case q.FirstOutputDue == 0:
		longest = maxLimitWaitMs
	case inTime > lateLimitWaitMs:
		longest = min(inTime, maxLimitWaitMs)
	}
	return min(longest, float64(q.timeLeft(now)))
}

// bestOrDelay returns the best choice or, if none was found, one with the delay until
// the first worker accepts a request.
func (p *Placer) bestOrDelay(now kumquatlug.Millis, best Choice, found bool, h *limitedWorkers) Choice {
	if found {
		return best
	}
	minDelayMs := h.minDelayMs
	for _, w := range p.ordered {
		if w.member.State == kumquatlug.MemberReady && now < w.requestedBackoffUntil {
			minDelayMs = min(minDelayMs, float64(w.requestedBackoffUntil-now))
		}
	}
	if math.IsInf(minDelayMs, 1) {
		return best
	}
	return Choice{delayMs: minDelayMs}
}

// BackOff stops sending requests to the worker of an attempt for the backoff that it
// requested. Prompts queued for the worker are moved to others.
func (p *Placer) BackOff(now kumquatlug.Millis, t *Attempt, span kumquatlug.Millis) {
	w := t.worker
	if w == nil || p.workers[t.id] != w || span <= 0 {
		return
	}
	w.requestedBackoffUntil = max(w.requestedBackoffUntil, now+span)
	p.displaceQueue(w)
}

// Reservation is a reservation of one request within an engine's rate limit at a given time.
// It is made for decoding a prompt before the prompt is prefilled: otherwise all
// prompts prefilled at the same time would count on the same request, and be prefilled
// in vain.
type Reservation struct {
	worker string
	at     kumquatlug.Millis
}

// reservationFor returns the reservation of a choice, the zero value at an engine
// without a rate limit.
func (p *Placer) reservationFor(now kumquatlug.Millis, c Choice) Reservation {
	id := c.worker.ID()
	if w, known := p.workers[id]; !known || !w.limit.Limited() {
		return Reservation{}
	}
	return Reservation{worker: id, at: now + c.Delay()}
}

// reserve counts a prompt in the rate limit of the engine that prefills it, and in that
// of the engine where decoding is reserved.
func (p *Placer) reserve(now kumquatlug.Millis, prefillWorker *worker, c Choice) {
	prefillWorker.limit.Reserve(now)
	if w, known := p.workers[c.reservation.worker]; known {
		w.limit.Reserve(now)
	}
}

// reservedChoice returns the engine of a reservation, as long as it may be used.
func (p *Placer) reservedChoice(now kumquatlug.Millis, q Query) (Choice, bool) {
	w, known := p.workers[q.Reservation.worker]
	if !known || !p.acceptsOutput(now, w, &q, kumquatlug.RoleDecode) {
		return Choice{}, false
	}
	delay := max(0, float64(q.Reservation.at-now))
	cacheTransfer := p.transferTo(now, w, &q)
	wait := delay + p.slotWaitMs(now, w, q.Prompt) + cacheTransfer.expectedMs
	return Choice{worker: w.member.Worker, waitMs: wait, delayMs: delay, reserved: true, transfer: cacheTransfer}, true
}

// LimitChange is a change of the rate limit that a worker advertises, or its end.
type LimitChange struct {
	worker    string
	limited   bool
	perSecond float64
	sent      int
}

// Worker returns the worker's name.
func (n LimitChange) Worker() string { return n.worker }

// HasLimit reports whether the worker advertises a rate limit.
func (n LimitChange) HasLimit() bool { return n.limited }

// PerSecond returns the requests per second that the worker accepts from all gateways.
func (n LimitChange) PerSecond() float64 { return n.perSecond }

// Sent returns the number of requests that this gateway has sent to the worker since it
// first learned of a limit.
func (n LimitChange) Sent() int { return n.sent }

// RecordLimit records the rate limit in the response to an attempt, and reports whether the
// limit has changed. ok says that the worker served the request.
func (p *Placer) RecordLimit(now kumquatlug.Millis, t *Attempt, limit kumquatlug.RateLimit, ok bool) (LimitChange, bool) {
	if t.worker == nil || p.workers[t.id] != t.worker {
		return LimitChange{}, false
	}
	l := t.worker.limit
	if !l.HandleResponse(now, ratelimit.Response{RateLimit: limit, SentAt: t.sentAt, PrefillOnly: t.prefillOnly, Processed: ok}) {
		return LimitChange{}, false
	}
	return LimitChange{worker: t.id, limited: l.Limited(), perSecond: l.PerSecond(), sent: l.Sent()}, true
}

// StillAccepts reports whether a delayed attempt may still be sent to its worker.
func (p *Placer) StillAccepts(now kumquatlug.Millis, t *Attempt) bool {
	w := t.worker
	return w != nil && p.workers[t.id] == w && !w.unresponsive && p.accepts(now, w, nil, w.member.Role)
}

// Draining reports whether the worker of an attempt was removed or is draining.
func (p *Placer) Draining(t *Attempt) bool {
	w := t.worker
	return w == nil || p.workers[t.id] != w || w.member.State == kumquatlug.MemberDraining
}

// MayReturn reports whether a stream may be sent to the worker of its attempt again. That worker is
// the same incarnation, and has not been known to shut down for longer than grace.
func (p *Placer) MayReturn(now kumquatlug.Millis, t *Attempt, grace kumquatlug.Millis) bool {
	w := t.worker
	if current, present := p.workers[t.id]; w == nil || present && current != w {
		return false
	}
	return w.leavesSince == 0 || now-w.leavesSince <= grace
}

// Limits returns the workers that have a rate limit.
func (p *Placer) Limits() []LimitChange {
	var all []LimitChange
	for _, w := range p.ordered {
		if w.limit.Limited() {
			all = append(all, LimitChange{
				worker: w.member.Worker.ID(), limited: true, perSecond: w.limit.PerSecond(), sent: w.limit.Sent(),
			})
		}
	}
	return all
}
