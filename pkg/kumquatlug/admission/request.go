package admission

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Request describes one request to the queue.
type Request struct {
	id       string
	caller   string
	kind     kumquatlug.Kind
	cost     int64
	arrival  kumquatlug.Millis
	deadline kumquatlug.Millis
	service  kumquatlug.Millis
	priority int
	weight   int64
}

// RequestConfig holds the values of a [Request].
type RequestConfig struct {
	// ID is unique among the waiting requests.
	ID string
	// Caller is the client account whose share the request is charged to.
	Caller string
	Kind   kumquatlug.Kind
	// Cost is the estimated cost of prefill and decode, in prompt tokens; see
	// [Cost]. Values below 1 become 1.
	Cost int64
	// Arrival is when the gateway read the request.
	Arrival kumquatlug.Millis
	// Deadline is when the response must be complete.
	Deadline kumquatlug.Millis
	// ServiceTime is a high estimate of the service time, from sending to the end of
	// the response; see [Estimator].
	ServiceTime kumquatlug.Millis
	// Priority selects the class, from LowestPriority to HighestPriority.
	Priority int
	// Weight is the caller's fair-share weight. Default 1.
	Weight int64
}

// NewRequest returns the request that c describes. A priority outside the range
// is clamped to it.
func NewRequest(c RequestConfig) Request {
	return Request{
		id: c.ID, caller: c.Caller, kind: c.Kind, cost: max(c.Cost, 1),
		arrival: c.Arrival, deadline: c.Deadline, service: c.ServiceTime,
		priority: min(max(c.Priority, LowestPriority), HighestPriority),
		weight:   max(c.Weight, 1),
	}
}

// ID returns the request's id.
func (r Request) ID() string { return r.id }

// Caller returns the client account whose share the request is charged to.
func (r Request) Caller() string { return r.caller }

// Kind returns the kind of work.
func (r Request) Kind() kumquatlug.Kind { return r.kind }

// Cost returns the estimated cost in prompt tokens.
func (r Request) Cost() int64 { return r.cost }

// Arrival returns when the gateway read the request.
func (r Request) Arrival() kumquatlug.Millis { return r.arrival }

// Deadline returns when the response must be complete.
func (r Request) Deadline() kumquatlug.Millis { return r.deadline }

// ServiceTime returns the estimated service time once the request is sent.
func (r Request) ServiceTime() kumquatlug.Millis { return r.service }

// Priority returns the priority.
func (r Request) Priority() int { return r.priority }

// Weight returns the caller's fair-share weight.
func (r Request) Weight() int64 { return r.weight }

// Verdict is the result of [Queue.Offer].
type Verdict string

// The verdicts of a [Decision].
const (
	VerdictQueued  Verdict = "queued"
	VerdictRefused Verdict = "refused"
)

// Reason is a short stable code for the cause of a refusal.
type Reason string

// The reasons of refusals.
const (
	// ReasonDeadline means that the response can't complete before the deadline.
	ReasonDeadline Reason = "deadline_unreachable"
	// ReasonQueueFull means that the queue is full and no caller with a larger share
	// can be displaced.
	ReasonQueueFull Reason = "queue_full"
	// ReasonAboveShare means that the request was displaced by a caller with a smaller
	// share.
	ReasonAboveShare Reason = "above_share"
	// ReasonTooLarge means that the cost exceeds Config.MaxCost; a retry can't
	// succeed.
	ReasonTooLarge Reason = "too_large"
	// ReasonDuplicate means that a request with the same id is already waiting.
	ReasonDuplicate Reason = "duplicate_id"
)

// Refusal is the final response to a request that was not sent to a target.
type Refusal struct {
	request    Request
	reason     Reason
	retryAfter kumquatlug.Millis
}

// Request returns the refused request.
func (r Refusal) Request() Request { return r.request }

// Reason returns the reason.
func (r Refusal) Reason() Reason { return r.reason }

// RetryAfter returns the time after which a retry can succeed, zero if a retry
// never can.
func (r Refusal) RetryAfter() kumquatlug.Millis { return r.retryAfter }

// Failure returns the refusal as the error for the caller. Its execution state
// is NotExecuted.
func (r Refusal) Failure() *kumquatlug.Failure {
	status := http.StatusServiceUnavailable
	switch r.reason {
	case ReasonAboveShare, ReasonQueueFull:
		status = http.StatusTooManyRequests
	case ReasonTooLarge:
		status = http.StatusRequestEntityTooLarge
	case ReasonDuplicate:
		status = http.StatusConflict
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "admit", Reason: string(r.reason), Execution: kumquatlug.NotExecuted,
		Status: status, RetryAfter: r.retryAfter,
	})
}

// Decision is the result of [Queue.Offer].
type Decision struct {
	verdict   Verdict
	wait      kumquatlug.Millis
	refusal   Refusal
	displaced []Refusal
}

// Verdict returns whether the request was queued or refused.
func (d Decision) Verdict() Verdict { return d.verdict }

// Wait returns the predicted wait of a queued request.
func (d Decision) Wait() kumquatlug.Millis { return d.wait }

// Refusal returns the refusal of the offered request, with VerdictRefused only.
func (d Decision) Refusal() Refusal { return d.refusal }

// Displaced returns the waiting requests that were refused to make room for the
// offered one.
func (d Decision) Displaced() []Refusal { return d.displaced }
