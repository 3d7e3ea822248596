// Package limit bounds the requests of each caller ([Callers]) and the requests sent to
// each target ([Targets]).
//
// [Callers] protects against a runaway client that sends more in a minute than its
// account should in a day. [Targets] protects against overload of a target: the time
// between tokens grows for every request in the batch, KV memory overflows, and the
// engine preempts unfinished requests and restarts them, so that throughput falls as
// load rises. Without limits the whole group gets into that state together and stays
// there, because gateways observe the load late and keep sending.
//
// A target is limited in three ways: by latency, relative to the work done and to the
// time that the callers have; by KV memory, from the target's reports and what this
// gateway started since; and by a bound on the tokens that the target has not started
// to respond to, so that requests wait where they can still be reordered.
//
// Callers and Targets belong to one goroutine each and are not safe for concurrent use.
// Gateways that share callers and targets don't communicate: each takes an equal share,
// by the number of gateways.
package limit

import (
	"math/rand/v2"
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// CallerLimits are the limits of one account over the whole system.
type CallerLimits struct {
	// Rate is in tokens per second; zero means no limit.
	Rate int64
	// Burst is the bucket size in tokens. Default: ten seconds of Rate, so that a page
	// that opens ten documents at once is served and a runaway client is stopped within
	// ten seconds.
	Burst int64
	// Concurrency bounds the requests in flight; zero means no limit.
	Concurrency int
}

const defaultBurstSeconds = 10

// CallersConfig configures [Callers].
type CallersConfig struct {
	// Default applies to callers without limits of their own; its zero value means no
	// limits.
	Default CallerLimits
	// Gateways is the number of gateways over which the load balancer spreads callers.
	// Default 1.
	Gateways int
	// MaxRetryAfter bounds the retry delay of a refusal, before a jitter of up to half
	// of it. Default one minute.
	MaxRetryAfter kumquatlug.Millis
	// Random is the seeded source of the jitter. Default: seeds 1 and 1.
	Random *rand.Rand
}

// Callers enforces the limits of each account with a token bucket and a bound on
// concurrency.
type Callers struct {
	config CallersConfig
	limits map[string]CallerLimits
	usage  map[string]*callerUsage
}

// callerUsage is the current usage of one account. The bucket level is kept in
// thousandths of a token, so that a low rate loses nothing to rounding between two
// requests shortly after one another.
type callerUsage struct {
	milliTokens int64
	refilledAt  kumquatlug.Millis
	running     int
	meanHeldMs  float64
}

const milliTokensPerToken = 1000

// NewCallers returns a limiter without any usage.
func NewCallers(c CallersConfig) *Callers {
	if c.Gateways < 1 {
		c.Gateways = 1
	}
	c.MaxRetryAfter = standard.Millis(c.MaxRetryAfter, kumquatlug.Minute)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return &Callers{config: c, limits: make(map[string]CallerLimits), usage: make(map[string]*callerUsage)}
}

// SetLimits sets the limits of one caller in place of the default.
func (c *Callers) SetLimits(name string, t CallerLimits) { c.limits[name] = t }

// SetGateways sets the number of gateways that share the callers, at least one.
func (c *Callers) SetGateways(n int) { c.config.Gateways = max(n, 1) }

// Reason is the short stable code of a refusal.
type Reason string

// The reasons for refusing a caller's request.
const (
	// ReasonRate: the caller's token bucket is empty.
	ReasonRate Reason = "caller_rate"
	// ReasonConcurrency: the caller has too many requests in flight.
	ReasonConcurrency Reason = "caller_concurrency"
)

// Decision is the decision on a caller's request; the zero value admits it.
type Decision struct {
	reason     Reason
	retryAfter kumquatlug.Millis
}

// Admitted reports whether the request is admitted.
func (d Decision) Admitted() bool { return d.reason == "" }

// Reason returns why the request is refused, empty if it is admitted.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns the delay after which a retry may succeed.
func (d Decision) RetryAfter() kumquatlug.Millis { return d.retryAfter }

// Failure returns the refusal as an error for the caller with status 429, marked as not
// run.
func (d Decision) Failure() *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "limit caller", Reason: string(d.reason), Execution: kumquatlug.NotExecuted,
		Status: http.StatusTooManyRequests, RetryAfter: d.retryAfter,
	})
}

// Begin admits and counts a request with an estimated cost in tokens, or refuses it.
// Every admitted request must be ended once with [Callers.End].
func (c *Callers) Begin(now kumquatlug.Millis, name string, cost int64) Decision {
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
	return Decision{}
}

// End ends an admitted request: duration is how long it was in flight, estimated the
// cost passed to Begin and actual the tokens it used. The caller is charged the actual
// tokens, so that a wrong estimate, whether high or low, gains it nothing.
func (c *Callers) End(now kumquatlug.Millis, name string, duration kumquatlug.Millis, estimated, actual int64) {
	t := c.localLimits(name)
	u := c.refilledUsage(now, name, t)
	u.running = max(u.running-1, 0)
	u.meanHeldMs += (float64(duration) - u.meanHeldMs) / 8
	if t.Rate > 0 {
		u.milliTokens = min(u.milliTokens+(estimated-actual)*milliTokensPerToken, t.Burst*milliTokensPerToken)
	}
}

// Running returns the number of requests of a caller in flight at this gateway.
func (c *Callers) Running(name string) int {
	if u, ok := c.usage[name]; ok {
		return u.running
	}
	return 0
}

// localLimits returns this gateway's share of a caller's limits. Shares are rounded up,
// so that a limit allows at least one request.
func (c *Callers) localLimits(name string) CallerLimits {
	t, ok := c.limits[name]
	if !ok {
		t = c.config.Default
	}
	if t.Rate > 0 && t.Burst <= 0 {
		t.Burst = t.Rate * defaultBurstSeconds
	}
	n := c.config.Gateways
	t.Rate = (t.Rate + int64(n) - 1) / int64(n)
	t.Burst = (t.Burst + int64(n) - 1) / int64(n)
	t.Concurrency = (t.Concurrency + n - 1) / n
	return t
}

func (c *Callers) refilledUsage(now kumquatlug.Millis, name string, t CallerLimits) *callerUsage {
	u, ok := c.usage[name]
	if !ok {
		u = &callerUsage{milliTokens: t.Burst * milliTokensPerToken, refilledAt: now}
		c.usage[name] = u
	}
	u.refill(now, t)
	return u
}

func (u *callerUsage) refill(now kumquatlug.Millis, t CallerLimits) {
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

// wait returns the time until cost is available, zero if it is now. A request larger
// than the whole burst is admitted when the bucket is full, and the debt is refilled
// afterwards; otherwise it could never be admitted.
func (u *callerUsage) wait(t CallerLimits, cost int64) kumquatlug.Millis {
	if t.Rate <= 0 {
		return 0
	}
	missing := min(cost, t.Burst)*milliTokensPerToken - u.milliTokens
	if missing <= 0 {
		return 0
	}
	return kumquatlug.Millis((missing + t.Rate - 1) / t.Rate)
}

// expectedFreeIn estimates when one of the requests in flight ends.
func (u *callerUsage) expectedFreeIn(t CallerLimits) kumquatlug.Millis {
	return kumquatlug.Millis(u.meanHeldMs / float64(t.Concurrency))
}

func (c *Callers) refuse(reason Reason, wait kumquatlug.Millis) Decision {
	wait = min(max(wait, kumquatlug.Second), c.config.MaxRetryAfter)
	wait += kumquatlug.Millis(c.config.Random.Int64N(int64(wait)/2 + 1))
	return Decision{reason: reason, retryAfter: wait}
}

// EvictIdle removes callers that have nothing in flight and a full bucket, so that memory
// is bounded by the recently active callers. Call it periodically.
func (c *Callers) EvictIdle(now kumquatlug.Millis) {
	for name, u := range c.usage {
		t := c.localLimits(name)
		u.refill(now, t)
		if u.running == 0 && u.milliTokens >= t.Burst*milliTokensPerToken {
			delete(c.usage, name)
		}
	}
}
