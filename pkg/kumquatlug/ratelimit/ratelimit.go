// Package ratelimit keeps to the rate of requests that workers say they take.
//
// It answers a worker in need, which names a rate for all fronts together in its
// answers, for as long as it is in need, while each front would send it several times
// that. Each front keeps to its part of the rate, see [Shares], and spaces its requests
// evenly.
//
// Answers overtake each other: one that left the worker before it named its limit may
// come after one that names it. So what an answer says is newer than what is known only
// if its request was sent after that was heard.
package ratelimit

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limit is what one front knows of one worker. It belongs to one owner and is not safe
// for concurrent use.
type Limit struct {
	shares *Shares
	worker uint64

	// limited says that there is a limit, returning that it ended at endedAt and that the
	// rate grows since.
	limited, rampingUp bool
	endedAt            kumquatlug.Millis
	perSecond          float64
	// statedAt is when an answer last told the limit; prompt says that it was the
	// answer to a prompt that was only read.
	statedAt        kumquatlug.Millis
	statedByPrefill bool
	// sent counts the requests sent since the limit was first heard of, the last one
	// of them at lastAt.
	sent       int
	lastSentAt float64
	// pacing is what this front may send, as of a version of the shares.
	pacing        pacing
	sharesVersion int
}

// New returns what is known of a worker that has said nothing, by the hash of its name.
// Shares are nil for a front that is alone.
func New(shares *Shares, worker uint64) *Limit { return &Limit{shares: shares, worker: worker} }

// Figures of the end of a limit.
const (
	// decodeLimitHold is for how long a limit holds at an engine that only reads prompts now
	// and named it when it generated.
	decodeLimitHold = 30 * kumquatlug.Second
	// rampDoublingTime is how often the rate doubles once the limit is over. A worker that was
	// in need may be again, and what it would be sent at full rate until that is heard
	// exceeds a small limit by far.
	rampDoublingTime = 2 * kumquatlug.Second
	rampDuration     = 10 * kumquatlug.Second
)

// Answer is what an answer says of the limit.
type Answer struct {
	Says kumquatlug.RateLimit
	// SentAt is when its request was sent.
	SentAt kumquatlug.Millis
	// Prompt says that a prompt was only read. Such answers may lack what others tell.
	Prompt bool
	// Good says that the worker did what it was asked; the lack of a limit in other
	// answers doesn't end one.
	Good bool
}

// Hear takes what an answer says and reports whether the limit changed.
func (l *Limit) Hear(now kumquatlug.Millis, a Answer) bool {
	newer := !l.limited || a.SentAt >= l.statedAt
	switch {
	case a.Says.Named():
		rate := a.Says.PerSecond()
		if !newer {
			rate = min(rate, l.perSecond)
		}
		l.statedAt, l.statedByPrefill = now, a.Prompt
		if l.limited && rate == l.perSecond {
			return false
		}
		l.setRate(now, rate)
		return true
	case a.Says.None() && a.Good && l.limited && newer && l.endsLimit(now, a):
		l.limited, l.rampingUp, l.endedAt = false, true, now
		return true
	}
	return false
}

// endsLimit reports that the lack of a limit in an answer ends it. Answers that only tell
// that a prompt was read may lack one that others name.
func (l *Limit) endsLimit(now kumquatlug.Millis, a Answer) bool {
	return !a.Prompt || l.statedByPrefill || now-l.statedAt >= decodeLimitHold
}

// setRate takes another limit. Fronts that hear of one at the same moment don't all send the
// next request at the same moment.
func (l *Limit) setRate(now kumquatlug.Millis, perSecond float64) {
	first := !l.limited && !l.rampingUp
	l.limited, l.rampingUp, l.perSecond = true, false, perSecond
	l.updatePacing()
	if first {
		l.sent = 0
		l.lastSentAt = float64(now)
		if l.shares != nil {
			l.lastSentAt -= l.shares.phase(l.worker) * l.pacing.intervalMs
		}
	}
}

// updatePacing finds what this front may send.
func (l *Limit) updatePacing() {
	if l.shares == nil {
		l.pacing = pacing{intervalMs: 1000 / max(l.perSecond, minRatePerSecond)}
		return
	}
	l.pacing, l.sharesVersion = l.shares.pacingFor(l.worker, l.perSecond), l.shares.version
}

// Delay returns how long the next request has to wait.
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
	remaining := l.lastSentAt + interval - float64(now)
	if overdue := -remaining; l.pacing.probeOnly && overdue > float64(probeWindow) {
		remaining = interval - math.Mod(overdue, interval)
	}
	return max(0, remaining)
}

// Send takes the place of the next request, and records that it is sent once its delay
// is over.
func (l *Limit) Send(now kumquatlug.Millis) {
	if !l.active(now) {
		return
	}
	l.sent++
	if delay := l.Delay(now); !math.IsInf(delay, 1) {
		l.lastSentAt = float64(now) + delay
	}
}

// active reports that requests are spaced.
func (l *Limit) active(now kumquatlug.Millis) bool {
	if l.rampingUp && now-l.endedAt >= rampDuration {
		l.rampingUp = false
	}
	return l.limited || l.rampingUp
}

// rampFactor is the part of the interval that is kept when the limit is over.
func (l *Limit) rampFactor(now kumquatlug.Millis) float64 {
	if !l.rampingUp {
		return 1
	}
	return math.Exp2(-float64(now-l.endedAt) / float64(rampDoublingTime))
}

// Named reports whether the worker is known to have a limit.
func (l *Limit) Named() bool { return l.limited }

// PerSecond returns the requests a second that the worker takes from all fronts.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// Sent returns how many requests were sent since the limit was first heard of.
func (l *Limit) Sent() int { return l.sent }
