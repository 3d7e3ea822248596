// Package limit decides how much one caller may ask and how much one target
// may be given.
//
// Load patterns: a caller whose client runs away sends more in a minute than
// its account should in a day ([Callers]); and a target is given more than it
// can hold ([Targets]): the time between its tokens grows for everybody on it,
// its KV memory overflows, and it throws out half-done answers to start them
// anew, so that it finishes less the more it is given. Without limits the
// whole group slides into that state together, and stays there, because
// entries see its load only some time later and go on sending.
//
// What holds a target to its measure: the time that its work takes, set against
// the time that the callers of that work have; the KV memory by its reports and
// what this entry began since; and a bound on what it has not begun to answer,
// so that requests wait where their order can still change.
//
// Both are owned by one loop and are not safe for concurrent use. Several
// entries share callers and targets without talking to each other: each takes
// its part by the number of entries.
package limit

import (
	"math/rand/v2"
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// CallerTerms are what one account may ask of the whole system.
type CallerTerms struct {
	// Rate is in tokens a second; zero means no limit.
	Rate int64
	// Burst is how many tokens may be asked at once after a quiet time.
	// Default: ten seconds of Rate, so that a page that opens ten documents at
	// once is served, and a client that runs away is stopped in ten seconds.
	Burst int64
	// Concurrency is how many requests may be in hand; zero means no limit.
	Concurrency int
}

const defaultBurstSeconds = 10

// CallersConfig is what [Callers] is made of.
type CallersConfig struct {
	// Default holds for callers without terms of their own; its zero value
	// means no limits.
	Default CallerTerms
	// Entries is how many entries the balancer spreads callers over. Default 1.
	Entries int
	// MaxRetryAfter bounds the time a refusal names, before its jitter of up
	// to a half. Default one minute.
	MaxRetryAfter kumquatlug.Millis
	// Random is the seeded source of the jitter. Default: seeds 1 and 1.
	Random *rand.Rand
}

// Callers holds each account to its terms.
type Callers struct {
	config CallersConfig
	limits map[string]CallerTerms
	usage  map[string]*callerUsage
}

// callerUsage is what one account has used. level is in thousandths of a token, so
// that a slow rate loses nothing between two close requests.
type callerUsage struct {
	milliTokens    int64
	refilledAt     kumquatlug.Millis
	running        int
	meanHeldMillis float64
}

const milliTokensPerToken = 1000

// NewCallers returns limits under which nobody has used anything.
func NewCallers(c CallersConfig) *Callers {
	if c.Entries < 1 {
		c.Entries = 1
	}
	c.MaxRetryAfter = standard.Millis(c.MaxRetryAfter, kumquatlug.Minute)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return &Callers{config: c, limits: make(map[string]CallerTerms), usage: make(map[string]*callerUsage)}
}

// SetTerms gives a caller terms of its own.
func (c *Callers) SetTerms(name string, t CallerTerms) { c.limits[name] = t }

// SetEntries says how many entries now share the callers.
func (c *Callers) SetEntries(n int) { c.config.Entries = max(n, 1) }

// Reason is the short stable code of a refusal.
type Reason string

// Why a caller is refused.
const (
	// ReasonRate: the caller has used up its tokens for now.
	ReasonRate Reason = "caller_rate"
	// ReasonConcurrency: the caller has too many requests in hand.
	ReasonConcurrency Reason = "caller_concurrency"
)

// Verdict is the answer to a caller's request; its zero value lets it pass.
type Verdict struct {
	reason     Reason
	retryAfter kumquatlug.Millis
}

// Passed reports whether the request may go on.
func (v Verdict) Passed() bool { return v.reason == "" }

// Reason returns why the request is refused, empty if it passed.
func (v Verdict) Reason() Reason { return v.reason }

// RetryAfter returns when coming back helps.
func (v Verdict) RetryAfter() kumquatlug.Millis { return v.retryAfter }

// Failure returns the refusal as the error for the caller: nothing ran.
func (v Verdict) Failure() *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "limit caller", Reason: string(v.reason), Ran: kumquatlug.RanNot,
		Status: http.StatusTooManyRequests, RetryAfter: v.retryAfter,
	})
}

// Begin lets a request of so many estimated tokens pass and counts it, or
// refuses it. Each request that passed is ended once with [Callers.End].
func (c *Callers) Begin(now kumquatlug.Millis, name string, cost int64) Verdict {
	t := c.localLimits(name)
	u := c.refilledUsage(now, name, t)
	if t.Concurrency > 0 && u.running >= t.Concurrency {
		return c.refuse(ReasonConcurrency, u.expectedFreeIn(t))
	}
	if wait := u.wait(t, cost); wait > 0 {
		return c.refuse(ReasonRate, wait)
	}
	u.running++
	if t.Rate > 0 {
		u.milliTokens -= cost * milliTokensPerToken
	}
	return Verdict{}
}

// End ends a request that passed: held is how long it was in hand, estimated
// the cost given at its start and actual what it used. A caller is charged
// what it used, so that asking for more output than it needs, or for less,
// gains it nothing.
func (c *Callers) End(now kumquatlug.Millis, name string, duration kumquatlug.Millis, estimated, actual int64) {
	t := c.localLimits(name)
	u := c.refilledUsage(now, name, t)
	u.running = max(u.running-1, 0)
	u.meanHeldMillis += (float64(duration) - u.meanHeldMillis) / 8
	if t.Rate > 0 {
		u.milliTokens = min(u.milliTokens+(estimated-actual)*milliTokensPerToken, t.Burst*milliTokensPerToken)
	}
}

// Running returns how many requests of a caller are in hand here.
func (c *Callers) Running(name string) int {
	if u, ok := c.usage[name]; ok {
		return u.running
	}
	return 0
}

// localLimits returns this entry's part of a caller's terms, at least one request.
func (c *Callers) localLimits(name string) CallerTerms {
	t, ok := c.limits[name]
	if !ok {
		t = c.config.Default
	}
	if t.Rate > 0 && t.Burst <= 0 {
		t.Burst = t.Rate * defaultBurstSeconds
	}
	n := c.config.Entries
	t.Rate = (t.Rate + int64(n) - 1) / int64(n)
	t.Burst = (t.Burst + int64(n) - 1) / int64(n)
	t.Concurrency = (t.Concurrency + n - 1) / n
	return t
}

func (c *Callers) refilledUsage(now kumquatlug.Millis, name string, t CallerTerms) *callerUsage {
	u, ok := c.usage[name]
	if !ok {
		u = &callerUsage{milliTokens: t.Burst * milliTokensPerToken, refilledAt: now}
		c.usage[name] = u
	}
	u.refill(now, t)
	return u
}

func (u *callerUsage) refill(now kumquatlug.Millis, t CallerTerms) {
	elapsed := int64(now - u.refilledAt)
	if elapsed <= 0 {
		return
	}
	u.refilledAt = now
	capacity := t.Burst * milliTokensPerToken
	if t.Rate > 0 && elapsed > (capacity-u.milliTokens)/t.Rate {
		u.milliTokens = capacity
		return
	}
	u.milliTokens += elapsed * t.Rate
}

// wait returns how long until the cost may be asked. A request above the whole
// burst passes when the bucket is full and is paid off afterwards; else it
// could never pass.
func (u *callerUsage) wait(t CallerTerms, cost int64) kumquatlug.Millis {
	if t.Rate <= 0 {
		return 0
	}
	missing := min(cost, t.Burst)*milliTokensPerToken - u.milliTokens
	if missing <= 0 {
		return 0
	}
	return kumquatlug.Millis((missing + t.Rate - 1) / t.Rate)
}

// expectedFreeIn returns when one of the running requests is likely to end.
func (u *callerUsage) expectedFreeIn(t CallerTerms) kumquatlug.Millis {
	return kumquatlug.Millis(u.meanHeldMillis / float64(t.Concurrency))
}

func (c *Callers) refuse(reason Reason, wait kumquatlug.Millis) Verdict {
	wait = min(max(wait, kumquatlug.Second), c.config.MaxRetryAfter)
	wait += kumquatlug.Millis(c.config.Random.Int64N(int64(wait)/2 + 1))
	return Verdict{reason: reason, retryAfter: wait}
}

// Forget drops callers that have nothing in hand and a full bucket, so that
// memory is bounded by who was active lately. Call it now and then.
func (c *Callers) Forget(now kumquatlug.Millis) {
	for name, u := range c.usage {
		t := c.localLimits(name)
		u.refill(now, t)
		if u.running == 0 && u.milliTokens >= t.Burst*milliTokensPerToken {
			delete(c.usage, name)
		}
	}
}
