// Package ratelimit keeps requests within the rates that workers advertise.
//
// An overloaded worker advertises a rate limit in its responses while the overload lasts.
// The limit applies to all gateways together, each of which would otherwise send a multiple
// of it. Each gateway uses only its share of the limit, see [Shares], and spaces its
// requests evenly.
//
// Responses may arrive out of order: one that was sent before the worker advertised its
// limit may arrive after one that advertises it. A response therefore raises or ends a
// known limit only if its request was sent after the limit was last stated.
package ratelimit

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limit holds the rate limit of one worker as far as it is known to one gateway. It is not
// safe for concurrent use.
type Limit struct {
	shares *Shares
	worker uint64

	// limited reports that the worker has a limit, rampingUp that the limit ended at endedAt
	// and the rate is still increasing.
	limited, rampingUp bool
	endedAt            kumquatlug.Millis
	perSecond          float64
	// statedAt is when a response last stated the limit; statedByPrefill reports that it was
	// the response to a prefill-only request.
	statedAt        kumquatlug.Millis
	statedByPrefill bool
	// sent counts the requests since the limit was first stated; the last one is scheduled at
	// lastSentAtMs.
	sent         int
	lastSentAtMs float64
	// pacing is how this gateway spaces its requests, computed at sharesVersion.
	pacing        pacing
	sharesVersion int
}

// New returns the state of a worker without a limit. The worker is identified by the hash of
// its name; shares is nil if there is only one gateway.
func New(shares *Shares, worker uint64) *Limit { return &Limit{shares: shares, worker: worker} }

// Durations that apply when a limit ends.
const (
	// decodeLimitHold is how long a limit stated during decode stays in force at an engine
	// that now only runs prefill.
	decodeLimitHold = 30 * kumquatlug.Second
	// rampDoublingTime is the time in which the rate doubles after a limit ended. The worker
	// may become overloaded again, and the requests that full rate would send it before the
	// gateways are informed exceed a small limit many times over.
	rampDoublingTime = 2 * kumquatlug.Second
	// rampDuration is how long requests are spaced after a limit ended.
	rampDuration = 10 * kumquatlug.Second
)

// Response is what a response states about the limit.
type Response struct {
	RateLimit kumquatlug.RateLimit
	// SentAt is when the request was sent.
	SentAt kumquatlug.Millis
	// PrefillOnly reports a prefill-only response, which may lack a limit that others state.
	PrefillOnly bool
	// Processed reports that the worker processed the request. The lack of a limit in any other
	// response does not end a limit.
	Processed bool
}

// HandleResponse applies a response and reports whether the limit changed. A response to a
// request that was sent before the limit was last stated can only lower it.
func (l *Limit) HandleResponse(now kumquatlug.Millis, a Response) bool {
	newer := !l.limited || a.SentAt >= l.statedAt
	switch {
	case a.RateLimit.Limited():
		rate := a.RateLimit.PerSecond()
		if !newer {
			rate = min(rate, l.perSecond)
		}
		l.statedAt, l.statedByPrefill = now, a.PrefillOnly
		if l.limited && rate == l.perSecond {
			return false
		}
		l.setRate(now, rate)
		return true
	case a.RateLimit.Unlimited() && a.Processed && l.limited && newer && l.endsLimit(now, a):
		l.limited, l.rampingUp, l.endedAt = false, true, now
		return true
	}
	return false
}

// endsLimit reports whether the lack of a limit in a response ends the limit. A
// prefill-only response may lack a limit that other responses state.
func (l *Limit) endsLimit(now kumquatlug.Millis, a Response) bool {
	return !a.PrefillOnly || l.statedByPrefill || now-l.statedAt >= decodeLimitHold
}

// setRate sets the limit. At a new limit each gateway delays its first request by a different
// fraction of the interval, so that gateways that receive the limit at the same time don't
// send at the same time.
func (l *Limit) setRate(now kumquatlug.Millis, perSecond float64) {
	first := !l.limited && !l.rampingUp
	l.limited, l.rampingUp, l.perSecond = true, false, perSecond
	l.updatePacing()
	if first {
		l.sent = 0
		l.lastSentAtMs = float64(now)
		if l.shares != nil {
			l.lastSentAtMs -= l.shares.phase(l.worker) * l.pacing.intervalMs
		}
	}
}

// updatePacing recomputes how this gateway spaces its requests.
func (l *Limit) updatePacing() {
	if l.shares == nil {
		l.pacing = pacing{intervalMs: 1000 / max(l.perSecond, minRatePerSecond)}
		return
	}
	l.pacing, l.sharesVersion = l.shares.pacingFor(l.worker, l.perSecond), l.shares.version
}

// Delay returns how long the next request has to wait, in milliseconds: infinite if this
// gateway must send none.
func (l *Limit) Delay(now kumquatlug.Millis) float64 {
	if !l.active(now) {
		return 0
	}
	slowdown := l.rampFactor(now)
	if l.shares != nil {
		if l.sharesVersion != l.shares.version {
			l.updatePacing()
		}
		slowdown *= l.shares.slowdown(now)
	}
	interval := slowdown * l.pacing.intervalMs
	if interval == 0 {
		return math.Inf(1)
	}
	remaining := l.lastSentAtMs + interval - float64(now)
	if overdue := -remaining; l.pacing.probeOnly && overdue > float64(probeWindow) {
		remaining = interval - math.Mod(overdue, interval)
	}
	return max(0, remaining)
}

// Reserve reserves the slot of the next request, which the caller sends after the delay.
func (l *Limit) Reserve(now kumquatlug.Millis) {
	if !l.active(now) {
		return
	}
	l.sent++
	if delay := l.Delay(now); !math.IsInf(delay, 1) {
		l.lastSentAtMs = float64(now) + delay
	}
}

// active reports whether requests are spaced.
func (l *Limit) active(now kumquatlug.Millis) bool {
	if l.rampingUp && now-l.endedAt >= rampDuration {
		l.rampingUp = false
	}
	return l.limited || l.rampingUp
}

// rampFactor returns the fraction of the interval that applies after the limit ended.
func (l *Limit) rampFactor(now kumquatlug.Millis) float64 {
	if !l.rampingUp {
		return 1
	}
	return math.Exp2(-float64(now-l.endedAt) / float64(rampDoublingTime))
}

// Limited reports whether the worker is known to have a limit.
func (l *Limit) Limited() bool { return l.limited }

// PerSecond returns the limit in requests per second, for all gateways together.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// Sent returns the number of requests sent since the limit was first stated.
func (l *Limit) Sent() int { return l.sent }
