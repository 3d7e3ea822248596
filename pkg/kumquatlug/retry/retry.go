// Package retry decides whether a call that failed is tried again, and when.
//
// It answers two failures at once. A target that dies takes the calls in its
// hands with it, and callers who were accepted are owed a whole answer: their
// calls must go elsewhere. But when the group is overloaded every call fails
// now and then, and a retry for each of them multiplies the load that made it
// fail, so that the group stays down after the cause is gone. So a [Policy]
//
//   - tries again only what is known as not run or may be repeated, and resumes
//     a stream that was cut from the tokens already sent;
//   - pays each retry from a budget that is a part of the recent calls plus a
//     small floor; a retry that finds the budget empty waits for its turn, and
//     is given up only if its turn comes after its deadline;
//   - spreads retries by full jitter, since calls that failed together would
//     otherwise come back together.
//
// A refusal before the target began (it is leaving, full, or has a newer
// config) costs one message and no work; it is free of the budget, so that a
// drain of many targets at once does not use up what a crash needs.
//
// Hedging, a second copy of a call that is slow, is not done. It cuts the tail
// where targets differ by chance and have room; here hardware can't grow, the
// tail comes from queues at the peak, and every copy takes its place from
// another caller. In a trial over 24 queues, some of them slow for two seconds
// now and then, with one long job among ten and copies for at most a tenth of
// the calls: copies that both run raised the median wait at 0.9 of the capacity
// from 0.38 s to 1.35 s and more, and took the answers within 3 s from 0.993 to
// 0.915 at best; at half the capacity they won 0.001 at most. Copies of which
// one is dropped when the other starts won 0.002 at most up to 0.9, and at 1.1 left
// 0.03 to 0.11 of the answers in time where none left 0.16. Slow targets lose
// their share through package health instead.
//
// A Policy belongs to one loop and is not safe for concurrent use.
package retry

import (
	"cmp"
	"math"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Config is what a [Policy] is made of. The zero value of each field but
// Source stands for its default.
type Config struct {
	// Source gives the randomness of the waits; required.
	Source rand.Source
	// Ratio is how many retries each call adds to the budget. Default 0.2:
	// the load grows by a fifth at most, and the loss of one target of twelve,
	// with all it has in hand, stays within it.
	Ratio float64
	// Floor is how many retries a second are added whatever the calls.
	// Default 1: a quiet entry can still retry.
	Floor float64
	// Reserve bounds the budget that quiet times save up, in retries. Default
	// 50: the streams in hand at one target that dies.
	Reserve float64
	// Attempts is the greatest number of attempts for a call. Default 4: with
	// one target in ten failing, one call in 10,000 meets four of them.
	Attempts int
	// Refusals is the greatest number of refusals before the target began.
	// Default 16: a third of a subset of 20 may leave at once, and each is
	// asked twice.
	Refusals int
	// Base and Limit bound the wait before an attempt: it is drawn from zero
	// to Base, doubled with each attempt before it, up to Limit. Defaults
	// 50 ms and 2 s: about the time in which a report shows the failure, and
	// the time in which the group has settled after it.
	Base  kumquatlug.Millis
	Limit kumquatlug.Millis
}

func (c Config) withDefaults() Config {
	c.Ratio = cmp.Or(c.Ratio, 0.2)
	c.Floor = cmp.Or(c.Floor, 1)
	c.Reserve = cmp.Or(c.Reserve, 50)
	c.Attempts = cmp.Or(c.Attempts, 4)
	c.Refusals = cmp.Or(c.Refusals, 16)
	c.Base = cmp.Or(c.Base, 50)
	c.Limit = cmp.Or(c.Limit, 2*kumquatlug.Second)
	return c
}

// Verdict is what to do with a call that failed.
type Verdict string

// The verdicts.
const (
	// VerdictRetry: send the call again, from the start.
	VerdictRetry Verdict = "retry"
	// VerdictResume: send the call to another target to go on from the tokens
	// already sent.
	VerdictResume Verdict = "resume"
	// VerdictStop: give the caller its final answer.
	VerdictStop Verdict = "stop"
)

// Reason is why a verdict was reached.
type Reason string

// The reasons of a verdict.
const (
	// ReasonNotRun: the call is known not to have run.
	ReasonNotRun Reason = "not-run"
	// ReasonRepeatable: the call may run twice.
	ReasonRepeatable Reason = "repeatable"
	// ReasonCut: the stream was cut and can go on elsewhere.
	ReasonCut Reason = "cut"
	// ReasonMayHaveRun: the call may have run and may not be repeated.
	ReasonMayHaveRun Reason = "may-have-run"
	// ReasonAttempts: the call has used up its attempts.
	ReasonAttempts Reason = "attempts"
	// ReasonDeadline: the deadline passes before the next attempt.
	ReasonDeadline Reason = "deadline"
	// ReasonBudget: the budget has no room before the deadline.
	ReasonBudget Reason = "budget"
)

// Attempt describes a call whose last attempt failed.
type Attempt struct {
	// Ran is what is known of the last attempt.
	Ran kumquatlug.Ran
	// Repeatable says that the call may run twice.
	Repeatable bool
	// Resumable says that the answer is a stream that another target can go
	// on with from the tokens already sent.
	Resumable bool
	// Refused says that the target refused the call before it began: it is
	// leaving, full, or has a newer config. It counts only with RanNot.
	Refused bool
	// Attempts is how many attempts failed so far, the last included and
	// refusals not.
	Attempts int
	// Refusals is how many attempts were refused before the target began. A
	// suspect that is only asked to wait its turn (see package quarantine) is
	// not refused in this sense.
	Refusals int
	// Deadline and Elapsed are spans since the call was accepted.
	Deadline kumquatlug.Millis
	Elapsed  kumquatlug.Millis
}

// Decision is the answer to an [Attempt].
type Decision struct {
	verdict Verdict
	reason  Reason
	wait    kumquatlug.Millis
}

// Verdict returns what to do.
func (d Decision) Verdict() Verdict { return d.verdict }

// Reason returns why.
func (d Decision) Reason() Reason { return d.reason }

// Wait returns how long to wait before doing it.
func (d Decision) Wait() kumquatlug.Millis { return d.wait }

// rateWindow is the span over which the rate of calls is averaged.
const rateWindow = 10 * kumquatlug.Second

// Policy holds the retry budget of one entry.
type Policy struct {
	config Config
	random *rand.Rand
	// budget is the number of retries to hand; below zero are those that
	// were promised and wait for their turn.
	budget float64
	// recentCalls is the number of calls lately, weighted down with age over pace.
	recentCalls float64
	updatedAt   kumquatlug.Millis
	startedAt   kumquatlug.Millis
	initialized bool
}

// New returns a policy with a full reserve.
func New(c Config) *Policy {
	c = c.withDefaults()
	return &Policy{config: c, random: rand.New(c.Source), budget: c.Reserve}
}

// Accepted records that a call was accepted; it adds to the budget.
func (p *Policy) Accepted(now kumquatlug.Millis) {
	p.advance(now)
	p.recentCalls++
	p.addBudget(p.config.Ratio)
}

// advance adds the floor of the time that has passed.
func (p *Policy) advance(now kumquatlug.Millis) {
	if !p.initialized {
		p.initialized = true
		p.startedAt, p.updatedAt = now, now
	}
	span := float64(max(now-p.updatedAt, 0))
	p.updatedAt = max(p.updatedAt, now)
	p.recentCalls *= math.Exp(-span / float64(rateWindow))
	p.addBudget(p.config.Floor * span / float64(kumquatlug.Second))
}

func (p *Policy) addBudget(retries float64) {
	p.budget = min(p.budget+retries, p.config.Reserve)
}

// Budget returns how many retries the budget holds; below zero is how many
// wait for their turn.
func (p *Policy) Budget(now kumquatlug.Millis) float64 {
	p.advance(now)
	return p.budget
}

// Next decides what to do with a call that failed. A verdict to go on has paid
// its retry from the budget.
func (p *Policy) Next(now kumquatlug.Millis, a Attempt) Decision {
	p.advance(now)
	verdict, reason := nextAction(a)
	if verdict == VerdictStop {
		return Decision{verdict: VerdictStop, reason: reason}
	}
	refused := a.Refused && a.Ran == kumquatlug.RanNot
	if a.Attempts >= p.config.Attempts || a.Refusals >= p.config.Refusals {
		return Decision{verdict: VerdictStop, reason: ReasonAttempts}
	}
	wait := p.backoff(a, refused)
	if a.Elapsed+wait >= a.Deadline {
		return Decision{verdict: VerdictStop, reason: ReasonDeadline}
	}
	if refused {
		return Decision{verdict: verdict, reason: reason, wait: wait}
	}
	wait = max(wait, p.budgetWait())
	if a.Elapsed+wait >= a.Deadline {
		return Decision{verdict: VerdictStop, reason: ReasonBudget}
	}
	p.budget--
	return Decision{verdict: verdict, reason: reason, wait: wait}
}

// nextAction says whether the call may be sent again at all. An answer that was
// lost proves nothing: the target may have run the call, and a second run of a
// posting or a deposit is worse than telling the caller that it is not known.
func nextAction(a Attempt) (Verdict, Reason) {
	switch {
	case a.Resumable:
		return VerdictResume, ReasonCut
	case a.Ran == kumquatlug.RanNot:
		return VerdictRetry, ReasonNotRun
	case a.Repeatable:
		return VerdictRetry, ReasonRepeatable
	default:
		return VerdictStop, ReasonMayHaveRun
	}
}

// backoff draws the wait before the next attempt. The first refusals are
// followed at once: another target is likely to take the call.
func (p *Policy) backoff(a Attempt, refused bool) kumquatlug.Millis {
	doublings := a.Attempts - 1
	if refused {
		doublings = a.Refusals - immediateRefusals
	}
	if doublings < 0 {
		return 0
	}
	bound := p.config.Base
	for i := 0; i < doublings && bound < p.config.Limit; i++ {
		bound *= 2
	}
	return kumquatlug.Millis(p.random.Int64N(int64(min(bound, p.config.Limit)) + 1))
}

// immediateRefusals is how many refusals of a call are followed without a wait.
const immediateRefusals = 3

// budgetWait returns when the budget will have room for one more retry.
func (p *Policy) budgetWait() kumquatlug.Millis {
	shortfall := 1 - p.budget
	if shortfall <= 0 {
		return 0
	}
	retriesPerMilli := p.config.Floor/float64(kumquatlug.Second) + p.config.Ratio*p.callRate()
	return kumquatlug.Millis(math.Ceil(shortfall / retriesPerMilli))
}

// callRate returns the calls per millisecond. The average is taken over what has
// passed of its span: early on a rate that is taken for too low would promise
// retries too late, all to the same second.
func (p *Policy) callRate() float64 {
	age := float64(max(p.updatedAt-p.startedAt, kumquatlug.Second))
	return p.recentCalls / (float64(rateWindow) * (1 - math.Exp(-age/float64(rateWindow))))
}
