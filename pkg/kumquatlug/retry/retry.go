// Package retry decides whether and when a failed call is sent again.
//
// Two failures require opposite reactions. A target that crashes loses its calls in flight,
// which were accepted and must be completed at another target. But in an overloaded group any
// call may fail, and a retry of each multiplies the load that made it fail, so that the group
// stays overloaded after the cause has ended. A [Policy] therefore
//
//   - sends a call again only if it is known not to have run or may be repeated, and
//     resumes an interrupted stream after the tokens already sent;
//   - charges each retry to a budget that is a fraction of the recent calls plus a small
//     constant rate; a retry waits if the budget is empty, and is given up only if the
//     budget has no room before its deadline;
//   - spreads retries by full jitter, since calls that failed together would otherwise be
//     sent again together.
//
// A refusal before the target started the call (it is shutting down, full, or has a newer
// config) costs one message and no work. Retries after it are not charged, so that a drain
// of many targets at once does not use up the budget for a crash.
//
// There is no hedging, which sends a second copy of a slow call. It shortens the latency tail
// where targets differ by chance and have spare capacity. Here the hardware is fixed, the
// tail comes from queues at peak load, and every copy takes the place of another call. In a
// simulation of 24 queues, some of them slow for two seconds now and then, with one long call
// in ten and copies of at most a tenth of the calls, two copies that both run raised the
// median wait at 0.9 of the capacity from 0.38 s to 1.35 s and more, and lowered the fraction
// of responses within 3 s from 0.993 to 0.915 at best; at half the capacity they gained 0.001
// at most. Copies that are cancelled when the other one starts gained 0.002 at most up to 0.9
// of the capacity; at 1.1, 0.03 to 0.11 of the responses were in time, and 0.16 without
// copies. Package health lowers the share of slow targets instead.
//
// A Policy is not safe for concurrent use.
package retry

import (
	"cmp"
	"math"
	"math/rand/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Config configures a [Policy]. The zero value of each field but RandomSource means its
// default.
type Config struct {
	// RandomSource is the source of randomness for the backoff; required.
	RandomSource rand.Source
	// RetriesPerCall is the number of retries that each call adds to the budget. The default of 0.2
	// limits the additional load to a fifth, and covers the loss of one target of twelve
	// with all its calls in flight.
	RetriesPerCall float64
	// MinRetriesPerSecond is the number of retries per second that are added regardless of the calls. With
	// the default of 1 an idle gateway can still retry.
	MinRetriesPerSecond float64
	// MaxBudget is the maximum of the budget, in retries. The default of 50 covers the streams
	// in flight at one target that crashes.
	MaxBudget float64
	// MaxAttempts is the maximum number of attempts per call. With the default of 4 and one
	// target in ten failing, one call in 10,000 fails at all of them.
	MaxAttempts int
	// MaxRefusals is the maximum number of refusals per call. The default of 16 covers a subset
	// of 20 targets of which a third shuts down at once, with two attempts at each.
	MaxRefusals int
	// BaseBackoff and MaxBackoff define the backoff before an attempt: it is drawn
	// uniformly from zero to BaseBackoff, doubled with each previous attempt up to
	// MaxBackoff. The defaults are 50 ms and 2 s: about the time until a load report shows
	// the failure, and until the load of the group is stable again after it.
	BaseBackoff kumquatlug.Millis
	MaxBackoff  kumquatlug.Millis
}

func (c Config) withDefaults() Config {
	c.RetriesPerCall = cmp.Or(c.RetriesPerCall, 0.2)
	c.MinRetriesPerSecond = cmp.Or(c.MinRetriesPerSecond, 1)
	c.MaxBudget = cmp.Or(c.MaxBudget, 50)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 4)
	c.MaxRefusals = cmp.Or(c.MaxRefusals, 16)
	c.BaseBackoff = cmp.Or(c.BaseBackoff, 50)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, 2*kumquatlug.Second)
	return c
}

// Action is the action to take on a failed call.
type Action string

// The actions.
const (
	// ActionRetry: send the call again from the start.
	ActionRetry Action = "retry"
	// ActionResume: send the call to another target, which resumes the stream after the
	// tokens already sent.
	ActionResume Action = "resume"
	// ActionStop: return the final error to the caller.
	ActionStop Action = "stop"
)

// Reason is the reason of a decision.
type Reason string

// The reasons of a decision.
const (
	// ReasonNotRun: the call is known not to have run.
	ReasonNotRun Reason = "not-run"
	// ReasonRepeatable: the call may run twice.
	ReasonRepeatable Reason = "repeatable"
	// ReasonStreamInterrupted: the stream was interrupted and can be resumed at another target.
	ReasonStreamInterrupted Reason = "cut"
	// ReasonMayHaveRun: the call may have run and must not be repeated.
	ReasonMayHaveRun Reason = "may-have-run"
	// ReasonAttempts: the call has used up its attempts.
	ReasonAttempts Reason = "attempts"
	// ReasonDeadline: the deadline passes before the next attempt.
	ReasonDeadline Reason = "deadline"
	// ReasonBudget: the budget is empty until after the deadline.
	ReasonBudget Reason = "budget"
)

// Attempt describes a call whose last attempt failed.
type Attempt struct {
	// Execution is whether the last attempt ran, as far as known.
	Execution kumquatlug.Execution
	// Repeatable reports that the call may run twice.
	Repeatable bool
	// Resumable reports that the response is a stream that another target can resume after
	// the tokens already sent.
	Resumable bool
	// Refused reports that the target refused the call before starting it, since it is shutting
	// down, full, or has a newer config. It has an effect only with NotExecuted.
	Refused bool
	// Attempts is the number of failed attempts, including the last one but no refusals.
	Attempts int
	// Refusals is the number of attempts that were refused before the target started the
	// call. A suspect call that has to wait for its isolated run (see package quarantine)
	// does not count as refused.
	Refusals int
	// Deadline and Elapsed are durations since the call was accepted.
	Deadline kumquatlug.Millis
	Elapsed  kumquatlug.Millis
}

// Decision is what to do after an [Attempt].
type Decision struct {
	action Action
	reason Reason
	wait   kumquatlug.Millis
	// charged reports whether the retry was charged to the budget.
	charged bool
}

// Action returns the action to take.
func (d Decision) Action() Action { return d.action }

// Reason returns the reason of the decision.
func (d Decision) Reason() Reason { return d.reason }

// Wait returns the delay before the action.
func (d Decision) Wait() kumquatlug.Millis { return d.wait }

// Charged reports whether the retry was charged to the budget. A retry after a refusal is not.
func (d Decision) Charged() bool { return d.charged }

// rateWindow is the time constant of the average rate of calls.
const rateWindow = 10 * kumquatlug.Second

// Policy holds the retry budget of one gateway.
type Policy struct {
	config Config
	random *rand.Rand
	// budget is the number of available retries. A negative budget is the number of retries
	// that were granted in advance and are still waiting.
	budget float64
	// recentCalls is the number of calls, decaying with the time constant rateWindow.
	recentCalls float64
	updatedAt   kumquatlug.Millis
	startedAt   kumquatlug.Millis
	initialized bool
}

// New returns a policy with a full budget.
func New(c Config) *Policy {
	c = c.withDefaults()
	return &Policy{config: c, random: rand.New(c.RandomSource), budget: c.MaxBudget}
}

// RecordCall records that a call was accepted, and adds to the budget.
func (p *Policy) RecordCall(now kumquatlug.Millis) {
	p.advance(now)
	p.recentCalls++
	p.addBudget(p.config.RetriesPerCall)
}

// advance decays recentCalls and adds MinRetriesPerSecond for the elapsed time.
func (p *Policy) advance(now kumquatlug.Millis) {
	if !p.initialized {
		p.initialized = true
		p.startedAt, p.updatedAt = now, now
	}
	span := float64(max(now-p.updatedAt, 0))
	p.updatedAt = max(p.updatedAt, now)
	p.recentCalls *= math.Exp(-span / float64(rateWindow))
	p.addBudget(p.config.MinRetriesPerSecond * span / float64(kumquatlug.Second))
}

func (p *Policy) addBudget(retries float64) {
	p.budget = min(p.budget+retries, p.config.MaxBudget)
}

// Budget returns the number of available retries; a negative one is the number of granted
// retries that wait.
func (p *Policy) Budget(now kumquatlug.Millis) float64 {
	p.advance(now)
	return p.budget
}

// Next decides what to do with a failed call. The retry of an action other than ActionStop
// is already charged to the budget.
func (p *Policy) Next(now kumquatlug.Millis, a Attempt) Decision {
	p.advance(now)
	action, reason := nextAction(a)
	if action == ActionStop {
		return Decision{action: ActionStop, reason: reason}
	}
	refused := a.Refused && a.Execution == kumquatlug.NotExecuted
	if a.Attempts >= p.config.MaxAttempts || a.Refusals >= p.config.MaxRefusals {
		return Decision{action: ActionStop, reason: ReasonAttempts}
	}
	wait := p.backoff(a, refused)
	if a.Elapsed+wait >= a.Deadline {
		return Decision{action: ActionStop, reason: ReasonDeadline}
	}
	if refused {
		return Decision{action: action, reason: reason, wait: wait}
	}
	wait = max(wait, p.budgetWait())
	if a.Elapsed+wait >= a.Deadline {
		return Decision{action: ActionStop, reason: ReasonBudget}
	}
	p.budget--
	return Decision{action: action, reason: reason, wait: wait, charged: true}
}

// Refund returns to the budget a retry that was charged and not sent.
func (p *Policy) Refund(now kumquatlug.Millis) {
	p.advance(now)
	p.addBudget(1)
}

// nextAction returns whether the call may be sent again, regardless of attempts, budget and
// deadline. After a lost response the target may have run the call, and running a payment
// twice is worse than reporting an unknown outcome to the caller.
func nextAction(a Attempt) (Action, Reason) {
	switch {
	case a.Resumable:
		return ActionResume, ReasonStreamInterrupted
	case a.Execution == kumquatlug.NotExecuted:
		return ActionRetry, ReasonNotRun
	case a.Repeatable:
		return ActionRetry, ReasonRepeatable
	default:
		return ActionStop, ReasonMayHaveRun
	}
}

// backoff draws the wait before the next attempt. There is none after the first refusals,
// since another target is likely to accept the call.
func (p *Policy) backoff(a Attempt, refused bool) kumquatlug.Millis {
	doublings := a.Attempts - 1
	if refused {
		doublings = a.Refusals - immediateRefusals
	}
	if doublings < 0 {
		return 0
	}
	bound := p.config.BaseBackoff
	for i := 0; i < doublings && bound < p.config.MaxBackoff; i++ {
		bound *= 2
	}
	return kumquatlug.Millis(p.random.Int64N(int64(min(bound, p.config.MaxBackoff)) + 1))
}

// immediateRefusals is the number of refusals of a call that are retried without a wait.
const immediateRefusals = 3

// budgetWait returns the time until the budget has room for one more retry.
func (p *Policy) budgetWait() kumquatlug.Millis {
	shortfall := 1 - p.budget
	if shortfall <= 0 {
		return 0
	}
	retriesPerMs := p.config.MinRetriesPerSecond/float64(kumquatlug.Second) + p.config.RetriesPerCall*p.callRate()
	return kumquatlug.Millis(math.Ceil(shortfall / retriesPerMs))
}

// callRate returns the calls per millisecond, averaged over the part of rateWindow that has
// passed since the start. Otherwise the rate would be too low early on, and waiting retries
// would all be scheduled too late, at the same time.
func (p *Policy) callRate() float64 {
	age := float64(max(p.updatedAt-p.startedAt, kumquatlug.Second))
	return p.recentCalls / (float64(rateWindow) * (1 - math.Exp(-age/float64(rateWindow))))
}
