package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/caller"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// Authenticate returns the account whose API key has this hash.
func (e *Entry) Authenticate(keyHash string) (kumquatlug.Caller, bool) {
	account, known := e.view.Load().accounts.ByHash(keyHash)
	return account, known
}

// Kinds returns every kind of work (model or service) that some selector
// routes.
func (e *Entry) Kinds() []kumquatlug.Kind { return e.view.Load().kinds }

var _ caller.Backend = (*Entry)(nil)

// request is one request on the goroutine that serves it. It waits for the
// loop's decisions, makes attempts and reports their outcomes to the loop.
type request struct {
	entry       *Entry
	id          string
	kind        kumquatlug.Kind
	account     kumquatlug.Caller
	arrival     kumquatlug.Millis
	deadline    kumquatlug.Millis
	policy      kindPolicy
	fingerprint quarantine.Fingerprint
	decisions   chan dispatch.Decision
	// dispatched is set once the loop has granted an attempt.
	dispatched bool
	// active is set while the loop tracks the request.
	active bool
	// mayHaveRun is set once any attempt may have run.
	mayHaveRun atomic.Bool
}

// newRequest returns a request with the caller's timeout, or the default of its
// kind.
func (e *Entry) newRequest(id string, account kumquatlug.Caller, kind kumquatlug.Kind, timeout kumquatlug.Millis) *request {
	now := e.cfg.Clock.Now()
	policy := e.view.Load().policies[kind]
	if timeout == 0 {
		timeout = policy.timeout
	}
	return &request{
		entry: e, id: id, kind: kind, account: account, arrival: now, deadline: now + timeout, policy: policy,
		decisions: make(chan dispatch.Decision, 1),
	}
}

// submit sends the request to the loop.
func (r *request) submit(c dispatch.RequestConfig) {
	c.ID, c.Caller, c.Kind = r.id, r.account, r.kind
	c.Arrival, c.Deadline, c.Priority, c.Fingerprint = r.arrival, r.deadline, r.policy.priority, r.fingerprint
	r.active = true
	r.entry.loop.post(requestArrived{request: c, decisions: r.decisions})
}

// nextAttempt waits for the loop's next decision. An error is the final failure
// to return to the caller.
func (r *request) nextAttempt(ctx context.Context) (dispatch.Attempt, error) {
	d, err := r.nextDecision(ctx)
	if err != nil {
		return dispatch.Attempt{}, err
	}
	return r.handleDecision(d)
}

// nextDecision waits for the loop's next decision until ctx ends.
func (r *request) nextDecision(ctx context.Context) (dispatch.Decision, error) {
	select {
	case d := <-r.decisions:
		return d, nil
	case <-ctx.Done():
		return dispatch.Decision{}, r.callerDisconnected("wait", ctx.Err())
	case <-r.entry.loop.stopped:
		return dispatch.Decision{}, r.callerDisconnected("wait", context.Canceled)
	}
}

func (r *request) handleDecision(d dispatch.Decision) (dispatch.Attempt, error) {
	if d.Verdict() == dispatch.VerdictRefuse {
		r.active = false
		r.record(timeline.Refused, d.Failure().Peer(), d.Failure().Reason()+" "+string(d.Failure().Execution()))
		return dispatch.Attempt{}, d.Failure()
	}
	if !r.dispatched {
		r.dispatched = true
		r.entry.metrics.queueTime.WithLabelValues(r.kind.String()).Observe(r.age().Seconds())
	}
	return d.Attempt(), nil
}

// callerDisconnected returns the failure of a request whose caller has
// disconnected. No caller receives it as a response.
func (r *request) callerDisconnected(step string, cause error) error {
	ran := kumquatlug.NotExecuted
	if r.dispatched {
		ran = kumquatlug.ExecutionUnknown
	}
	const statusClientClosed = 499
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: step, Reason: "caller_gone", Execution: ran, Status: statusClientClosed, Cause: cause,
	})
}

// close cancels the request in the loop if it is still active there, and
// records its outcome.
func (r *request) close(err error) {
	if r.active {
		r.entry.loop.post(requestCancelled{r.id})
		r.active = false
	}
	kind := r.kind.String()
	if err != nil {
		f := kumquatlug.FailureOf(err)
		r.entry.metrics.refused.WithLabelValues(kind, f.Reason(), string(f.Execution())).Inc()
		return
	}
	r.entry.metrics.answered.WithLabelValues(kind).Inc()
	r.entry.metrics.responseTime.WithLabelValues(kind).Observe(r.age().Seconds())
	r.entry.cfg.Ring.Add(timeline.Record{Name: timeline.Answered, RequestID: r.id, Detail: kind, Duration: r.age().Milliseconds()})
}

// finish reports to the loop that the response is complete.
func (r *request) finish(done dispatch.Completion) {
	r.active = false
	r.entry.loop.post(requestFinished{r.id, done})
}

// reportFailure reports a failed attempt to the loop; its next decision
// follows.
func (r *request) reportFailure(attempt dispatch.Attempt, f dispatch.AttemptFailure) {
	r.recordFailure(attempt, f)
	r.entry.loop.post(attemptFailed{r.id, f})
}

func (r *request) recordFailure(attempt dispatch.Attempt, f dispatch.AttemptFailure) {
	r.entry.metrics.attempts.WithLabelValues(r.kind.String(), f.Failure.Reason()).Inc()
	r.record(timeline.AttemptFailed, attempt.Target(), f.Failure.Reason()+" "+string(f.Failure.Execution()))
	if f.Failure.Execution() != kumquatlug.NotExecuted {
		r.mayHaveRun.Store(true)
	}
}

// priorityStepSeconds separates the priority levels of operators by more than
// any two deadlines can differ, in seconds.
const priorityStepSeconds = 10_000_000_000

// enginePriority returns the priority sent to the engine: first the priority of
// the selector, then the earlier deadline, so that requests queued inside an
// engine keep their order in the queue of the gateway. It uses the wall clock
// because several gateways send to one engine.
func (r *request) enginePriority() int64 {
	remaining := (r.deadline - r.entry.cfg.Clock.Now()).Duration()
	return int64(r.policy.priority)*priorityStepSeconds - time.Now().Add(remaining).Unix()
}

// ranSoFar returns whether an earlier attempt may have run.
func (r *request) ranSoFar() kumquatlug.Execution {
	if r.mayHaveRun.Load() {
		return kumquatlug.ExecutionUnknown
	}
	return kumquatlug.NotExecuted
}

func (r *request) record(name timeline.EventName, peer, detail string) int64 {
	return r.entry.cfg.Ring.Add(timeline.Record{Name: name, RequestID: r.id, Peer: peer, Detail: detail})
}

func (r *request) age() time.Duration {
	return (r.entry.cfg.Clock.Now() - r.arrival).Duration()
}
