package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/drain"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

// Reasons with which an agent refuses work because its target goes away or has
// no room.
const (
	ReasonLabel    = string(drain.ReasonLabel)
	ReasonList     = string(drain.ReasonList)
	ReasonStopping = string(drain.ReasonStop)
	ReasonOrder    = string(drain.ReasonOrder)
	ReasonFull     = "engine_refused"
	// ReasonUnreachable: no connection to the agent could be made.
	ReasonUnreachable = "agent_unreachable"
	// ReasonSuspect: another request that was in hand at a crash runs there.
	ReasonSuspect = "suspect_in_hand"
)

// Failed is how an attempt failed.
type Failed struct {
	// Failure says what is known; its Ran decides whether there is another.
	Failure *kumquatlug.Failure
	// Refused says that the agent refused the work before it began.
	Refused bool
	// Notices are what the agent told of requests in hand at a crash.
	Notices []quarantine.Notice
	// Final says that no other attempt can fare better, as when the request
	// itself is at fault: the failure is the caller's answer as it stands.
	Final bool
	// Resumable says that the answer can go on elsewhere from what was sent.
	Resumable bool
}

// AttemptFailed takes the failure of the attempt in hand: another one follows,
// or the final answer.
func (d *Dispatcher) AttemptFailed(now kumquatlug.Millis, id string, f Failed) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.serve(now)
	}
	d.release(now, r, limitOutcome(f))
	d.register.Merge(now, f.Notices)
	r.lastFailure = f.Failure
	r.mayHaveRun = r.mayHaveRun || f.Failure.Ran() != kumquatlug.RanNot
	if f.Final {
		d.giveUp(now, id, f.Failure)
		return d.serve(now)
	}
	if f.Refused && f.Failure.Reason() == ReasonSuspect {
		d.deferSuspect(now, r)
		return d.serve(now)
	}
	d.recordFailure(now, r, f)
	next := d.retries.Next(now, retry.Attempt{
		Ran: f.Failure.Ran(), Repeatable: r.c.OnceKey == "", Resumable: f.Resumable, Refused: f.Refused,
		Attempts: r.failures, Refusals: r.refusals, Deadline: d.timeBudget(now, r), Elapsed: now - r.c.Arrival,
	})
	if next.Reason() == retry.ReasonMayHaveRun {
		// What is known of the run goes to the caller as it stands: told as one
		// more 503, some client libraries would send the call again by themselves.
		d.giveUp(now, id, f.Failure)
		return d.serve(now)
	}
	if next.Verdict() == retry.VerdictStop {
		d.giveUp(now, id, r.finalFailure(string(next.Reason())))
		return d.serve(now)
	}
	r.exclude = append(r.exclude, r.target)
	r.nextAttemptAt = now + next.Wait()
	d.pending = append(d.pending, r)
	return d.serve(now)
}

// resumeTimeout is how long an answer of which the caller has a part may still take
// to go on elsewhere: some tries at targets that come back within seconds.
const resumeTimeout = kumquatlug.Minute

// timeBudget is how long a request may take from its arrival. One whose caller has
// half an answer is finished, however late: stopped at its deadline it would
// have cost its engine the work and its caller the answer.
func (d *Dispatcher) timeBudget(now kumquatlug.Millis, r *request) kumquatlug.Millis {
	budget := r.c.Deadline - r.c.Arrival
	if r.tokens > 0 {
		return max(budget, now-r.c.Arrival+resumeTimeout)
	}
	return budget
}

// recordFailure counts the failure for the request and for its target's health.
// A refusal says nothing against the target's health.
func (d *Dispatcher) recordFailure(now kumquatlug.Millis, r *request, f Failed) {
	if f.Refused {
		r.refusals++
		d.markUnavailable(now, r.target, f.Failure.Reason())
		return
	}
	r.failures++
	d.recordOutcome(now, r, false, 0)
	d.markUnavailable(now, r.target, f.Failure.Reason())
}

// markUnavailable takes a failure for what it tells of the target. Until the next
// heartbeat every other request would go there and fare alike.
func (d *Dispatcher) markUnavailable(now kumquatlug.Millis, target, reason string) {
	report := d.reports[target]
	switch reason {
	case ReasonLabel, ReasonList:
		report.State = TargetLeaving
	case ReasonStopping:
		report.State = TargetStopping
	case ReasonOrder:
		report.State = TargetChanging
	case ReasonUnreachable:
		report.State = TargetDown
	default:
		return
	}
	d.reports[target] = report
	d.updateTargets(now)
}

func (d *Dispatcher) recordOutcome(now kumquatlug.Millis, r *request, success bool, ratio float64) {
	group, ok := d.health[r.c.Kind]
	if !ok {
		return
	}
	group.Outcome(now, r.target, success, ratio)
	d.router.SetWeight(r.target, group.Weight(now, r.target))
}

// release gives the target's place back.
func (d *Dispatcher) release(now kumquatlug.Millis, r *request, outcome limit.Outcome) {
	r.inFlight = false
	d.limits(r.c.Kind).End(now, r.ticket, outcome)
	d.router.Finished(now, r.target, r.c.ID)
}

// limitOutcome tells a target that was full from one that failed otherwise.
func limitOutcome(f Failed) limit.Outcome {
	if f.Failure.Reason() == ReasonFull {
		return limit.OutcomeOverload
	}
	return limit.OutcomeEnded
}

// Progress takes that a request's caller has received tokens of output in all.
func (d *Dispatcher) Progress(now kumquatlug.Millis, id string, tokens int64) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.decisions
	}
	k, ok := d.kinds[r.c.Kind]
	if !ok {
		k = &kindState{}
	}
	newTokens := tokens - r.tokens
	if r.firstTokenAt != 0 {
		k.learnTokenGap(now, now-r.progressAt, newTokens)
	}
	work, served := k.idleMillis(0, newTokens), admission.Cost(0, newTokens)
	if r.firstTokenAt == 0 {
		r.firstTokenAt, r.progressAt = now, r.sentAt
		work = k.idleMillis(r.c.PrefillTokens, 1)
		served += admission.Cost(r.c.PrefillTokens, 0)
	}
	d.limits(r.c.Kind).Sample(now, &r.ticket, now-r.progressAt, work)
	r.progressAt = now
	r.tokens = tokens
	d.router.Progress(now, r.target, id, int(tokens))
	d.queue.Served(now, r.c.Kind, served)
	return d.decisions
}

// Done is how a request was answered.
type Done struct {
	// Tokens is the length of the answer; Cached is how many tokens of the
	// prompt the target had in its cache.
	Tokens int64
	Cached int64
}

// Finished takes the end of a request whose answer is whole.
func (d *Dispatcher) Finished(now kumquatlug.Millis, id string, done Done) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.serve(now)
	}
	served := admission.Cost(0, max(0, done.Tokens-r.tokens))
	if r.firstTokenAt == 0 {
		served += admission.Cost(r.c.PrefillTokens, 0)
	}
	if r.c.Kind.Protocol() == kumquatlug.ProtocolService {
		d.services.Sample(now, &r.ticket, now-r.sentAt, 1)
	}
	d.release(now, r, limit.OutcomeEnded)
	d.queue.Served(now, r.c.Kind, served)
	if len(r.c.Prefix) > 0 {
		d.router.Hit(r.target, r.cached, int(done.Cached))
	}
	d.register.Finished(now, r.fingerprint())
	d.learnEstimate(now, r, done.Tokens, true)
	d.learnLatencyRatio(now, r, done)
	d.removeRequest(now, r, r.c.PrefillTokens+done.Tokens)
	return d.serve(now)
}

// learnLatencyRatio compares how long the answer took with what its tokens made expect.
func (d *Dispatcher) learnLatencyRatio(now kumquatlug.Millis, r *request, done Done) {
	k, ok := d.kinds[r.c.Kind]
	actual := *r
	actual.c.DecodeTokens = done.Tokens
	nominal := actual.nominalMillis()
	if !ok || nominal <= 0 {
		d.recordOutcome(now, r, true, 1)
		return
	}
	actualTime := float64(now - r.sentAt)
	k.latencyRatio += latencyRatioGain * (actualTime/nominal - k.latencyRatio)
	if r.predictedTime <= 0 {
		d.recordOutcome(now, r, true, 1)
		return
	}
	// The statement was made for the estimated tokens.
	predictedTime := float64(r.predictedTime) * nominal / r.nominalMillis()
	d.recordOutcome(now, r, true, actualTime/predictedTime)
}

// usedTokens is what the caller is charged for a request that it gave up.
func (r *request) usedTokens() int64 {
	if r.firstTokenAt == 0 {
		return 0
	}
	return r.c.PrefillTokens + r.tokens
}

// Cancelled takes that a caller gave up a request, wherever it stands.
func (d *Dispatcher) Cancelled(now kumquatlug.Millis, id string) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.decisions
	}
	if r.inFlight {
		d.learnEstimate(now, r, r.tokens, false)
		d.release(now, r, limit.OutcomeEnded)
	}
	d.queue.Cancel(now, id)
	d.pending = withoutRequest(d.pending, r)
	d.removeRequest(now, r, r.usedTokens())
	return d.serve(now)
}

func withoutRequest(list []*request, removed *request) []*request {
	kept := list[:0]
	for _, r := range list {
		if r != removed {
			kept = append(kept, r)
		}
	}
	return kept
}
