package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/admission"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/drain"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
)

// Failure reasons of attempts that could not start because the target was
// leaving, unreachable or at capacity.
const (
	// ReasonLeavingByLabel means that the target's labels mark it as leaving.
	ReasonLeavingByLabel = string(drain.ReasonLeavingByLabel)
	// ReasonLeavingByVMList means that the platform's VM list marks the target as leaving.
	ReasonLeavingByVMList = string(drain.ReasonLeavingByVMList)
	// ReasonStopping means that the agent is stopping.
	ReasonStopping = string(drain.ReasonStopping)
	// ReasonUnderOrder means that the target is carrying out an order.
	ReasonUnderOrder = string(drain.ReasonUnderOrder)
	// ReasonEngineRefused means that the engine refused the work for lack of capacity.
	ReasonEngineRefused = "engine_refused"
	// ReasonUnreachable means that the connection to the agent failed.
	ReasonUnreachable = "agent_unreachable"
	// ReasonSilent means that the target of an open attempt does not answer heartbeats.
	ReasonSilent = "agent_silent"
	// ReasonSuspectInFlight means that another request that was in flight at a crash is
	// running at the target.
	ReasonSuspectInFlight = "suspect_in_hand"
)

// AttemptFailure describes a failed attempt.
type AttemptFailure struct {
	// Failure is the error. Its execution state decides whether the request may be
	// retried.
	Failure *kumquatlug.Failure
	// Refused reports whether the agent refused the work before it started.
	Refused bool
	// Notices are the agent's notices of requests that were in flight at a crash.
	Notices []quarantine.Notice
	// Permanent reports whether a retry can't succeed, for example because the
	// request is invalid. The failure is then returned to the caller unchanged.
	Permanent bool
	// Resumable reports whether another target can continue the response after
	// the output that was already sent.
	Resumable bool
}

// AttemptFailed records that the current attempt of a request failed. It schedules
// another attempt or returns the final response.
func (d *Dispatcher) AttemptFailed(now kumquatlug.Millis, id string, f AttemptFailure) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.serve(now)
	}
	return d.attemptFailed(now, r, f)
}

func (d *Dispatcher) attemptFailed(now kumquatlug.Millis, r *request, f AttemptFailure) []Decision {
	id := r.c.ID
	d.release(now, r, limitOutcome(f))
	d.registry.Merge(now, f.Notices)
	r.lastFailure = f.Failure
	r.mayHaveRun = r.mayHaveRun || f.Failure.Execution() != kumquatlug.NotExecuted
	if f.Permanent {
		d.giveUp(now, id, f.Failure)
		return d.serve(now)
	}
	if f.Refused && f.Failure.Reason() == ReasonSuspectInFlight {
		d.deferSuspect(now, r)
		return d.serve(now)
	}
	d.recordFailure(now, r, f)
	next := d.retries.Next(now, retry.Attempt{
		Execution: f.Failure.Execution(), Repeatable: r.c.RunOnceKey == "", Resumable: f.Resumable, Refused: f.Refused,
		Attempts: r.failures, Refusals: r.refusals, Deadline: d.timeBudget(now, r), Elapsed: now - r.c.Arrival,
	})
	if next.Reason() == retry.ReasonMayHaveRun {
		// The failure is returned unchanged. A 503 would make some client
		// libraries retry the call automatically.
		d.giveUp(now, id, f.Failure)
		return d.serve(now)
	}
	if next.Action() == retry.ActionStop {
		d.giveUp(now, id, r.finalFailure(string(next.Reason())))
		return d.serve(now)
	}
	r.retryCharged = next.Charged()
	r.exclude = append(r.exclude, r.target)
	r.nextAttemptAt = now + next.Wait()
	d.pending = append(d.pending, r)
	return d.serve(now)
}

// ResumeTimeout is the minimum time in which a partly delivered response can
// resume on another target. It allows several attempts at targets that recover
// within seconds.
const ResumeTimeout = kumquatlug.Minute

// timeBudget returns how long a request may take from its arrival. A partly
// delivered response may continue after its deadline. Stopping it there would
// waste the work of its engine and leave the caller without a response.
func (d *Dispatcher) timeBudget(now kumquatlug.Millis, r *request) kumquatlug.Millis {
	budget := r.c.Deadline - r.c.Arrival
	if r.tokens > 0 {
		return max(budget, now-r.c.Arrival+ResumeTimeout)
	}
	return budget
}

// recordFailure counts a failure for the request and, unless it is a refusal, for
// the health of its target.
func (d *Dispatcher) recordFailure(now kumquatlug.Millis, r *request, f AttemptFailure) {
	if f.Refused {
		r.refusals++
		d.markUnavailable(now, r.target, f.Failure.Reason())
		return
	}
	r.failures++
	d.recordOutcome(now, r, false, 0)
	d.markUnavailable(now, r.target, f.Failure.Reason())
}

// markUnavailable updates the state of a target from the reason of a failure.
// Otherwise other requests would be sent to the target and fail in the same way
// until the next heartbeat.
func (d *Dispatcher) markUnavailable(now kumquatlug.Millis, target, reason string) {
	report := d.reports[target]
	switch reason {
	case ReasonLeavingByLabel, ReasonLeavingByVMList:
		report.State = TargetLeaving
	case ReasonStopping:
		report.State = TargetStopping
	case ReasonUnderOrder:
		report.State = TargetReconfiguring
	case ReasonUnreachable, ReasonSilent:
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
	group.RecordOutcome(now, r.target, success, ratio)
	d.router.SetWeight(r.target, group.Weight(now, r.target))
}

// release removes the attempt from the limits and the load of its target.
func (d *Dispatcher) release(now kumquatlug.Millis, r *request, outcome limit.Outcome) {
	r.inFlight = false
	d.limits(r.c.Kind).End(now, r.ticket, outcome)
	d.router.Finished(now, r.target, r.c.ID)
}

// limitOutcome returns OutcomeOverload if the target refused the attempt for lack
// of capacity, else OutcomeEnded.
func limitOutcome(f AttemptFailure) limit.Outcome {
	if f.Failure.Reason() == ReasonEngineRefused {
		return limit.OutcomeOverload
	}
	return limit.OutcomeEnded
}

// Progress records that the caller of a request has received a total of tokens
// output tokens.
func (d *Dispatcher) Progress(now kumquatlug.Millis, id string, tokens int64) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.decisions
	}
	if r.open != nil {
		// The output was received before its target became suspect.
		r.tokens = tokens
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
	work, served := k.idleMs(0, newTokens), admission.Cost(0, newTokens)
	if r.firstTokenAt == 0 {
		r.firstTokenAt, r.progressAt = now, r.sentAt
		work = k.idleMs(r.c.PrefillTokens, 1)
		served += admission.Cost(r.c.PrefillTokens, 0)
	}
	d.limits(r.c.Kind).Sample(now, &r.ticket, now-r.progressAt, work)
	r.progressAt = now
	r.tokens = tokens
	d.router.Progress(now, r.target, id, int(tokens))
	d.queue.RecordServed(now, r.c.Kind, served)
	return d.decisions
}

// Completion describes a completed response.
type Completion struct {
	// OutputTokens is the number of output tokens. CachedTokens is the number of
	// prompt tokens that were in the target's prefix cache.
	OutputTokens int64
	CachedTokens int64
}

// Finished records that the response to a request is complete.
func (d *Dispatcher) Finished(now kumquatlug.Millis, id string, done Completion) []Decision {
	d.begin(now)
	r, ok := d.requests[id]
	if !ok {
		return d.serve(now)
	}
	d.resumeOpen(now, r)
	served := admission.Cost(0, max(0, done.OutputTokens-r.tokens))
	if r.firstTokenAt == 0 {
		served += admission.Cost(r.c.PrefillTokens, 0)
	}
	if r.c.Kind.Protocol() == kumquatlug.ProtocolService {
		d.services.Sample(now, &r.ticket, now-r.sentAt, 1)
	}
	d.release(now, r, limit.OutcomeEnded)
	d.queue.RecordServed(now, r.c.Kind, served)
	if len(r.c.PrefixKeys) > 0 {
		d.router.RecordCacheHit(r.target, r.cached, int(done.CachedTokens))
	}
	d.registry.Finished(now, r.fingerprint())
	d.learnEstimate(now, r, done.OutputTokens, true)
	d.learnLatencyRatio(now, r, done)
	d.removeRequest(now, r, r.c.PrefillTokens+done.OutputTokens)
	return d.serve(now)
}

// learnLatencyRatio updates the latency ratio of the kind with a response and
// records its outcome for the health of the target: the response time relative
// to the time that routing predicted.
func (d *Dispatcher) learnLatencyRatio(now kumquatlug.Millis, r *request, done Completion) {
	k, ok := d.kinds[r.c.Kind]
	actual := *r
	actual.c.DecodeTokens = done.OutputTokens
	nominal := actual.nominalMs()
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
	// predictedTime was computed for the estimated output; scale it to the actual
	// output.
	predictedTime := float64(r.predictedTime) * nominal / r.nominalMs()
	d.recordOutcome(now, r, true, actualTime/predictedTime)
}

// usedTokens returns the tokens that the caller is charged for a cancelled
// request.
func (r *request) usedTokens() int64 {
	if r.firstTokenAt == 0 {
		return 0
	}
	return r.c.PrefillTokens + r.tokens
}

// Cancelled records that the caller cancelled a request, whether it is waiting or
// in flight.
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
