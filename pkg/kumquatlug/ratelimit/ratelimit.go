// Package ratelimit keeps what workers say of the rate of requests that they take.
//
// A worker in need names a rate for all fronts together, in its answers, for as long
// as it is in need. Answers overtake each other: one that left the worker before it
// named its limit may come after one that names it. So what an answer says is newer
// than what is known only if its request was sent after that was heard.
package ratelimit

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Limit is what one front knows of one worker. The zero value knows of no limit. It
// belongs to one owner and is not safe for concurrent use.
type Limit struct {
	named     bool
	perSecond float64
	// heardAt is when an answer last told the limit; prompt says that it was the
	// answer to a prompt that was only read.
	heardAt kumquatlug.Millis
	prompt  bool
	// sent counts the requests sent since the limit was first heard of.
	sent int
}

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
	newer := !l.named || a.SentAt >= l.heardAt
	switch {
	case a.Says.Named():
		rate := a.Says.PerSecond()
		if !newer {
			rate = min(rate, l.perSecond)
		}
		changed := !l.named || rate != l.perSecond
		if !l.named {
			l.sent = 0
		}
		l.named, l.perSecond, l.heardAt, l.prompt = true, rate, now, a.Prompt
		return changed
	case a.Says.None() && a.Good && l.named && newer && a.Prompt == l.prompt:
		l.named = false
		return true
	}
	return false
}

// Named reports whether the worker is known to have a limit.
func (l *Limit) Named() bool { return l.named }

// PerSecond returns the requests a second that the worker takes from all fronts.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// Sent returns how many requests were sent since the limit was first heard of.
func (l *Limit) Sent() int { return l.sent }

// Send records that a request is sent.
func (l *Limit) Send() { l.sent++ }
