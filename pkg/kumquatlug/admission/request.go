package admission

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Request is what the queue knows of one request.
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

// RequestConfig is what a [Request] is made of.
type RequestConfig struct {
	// ID is unique among the requests that wait.
	ID string
	// Caller is the account that takes its turn.
	Caller string
	Kind   kumquatlug.Kind
	// Cost is the estimated prefill and decode tokens; it is at least 1.
	Cost int64
	// Arrival is when the entry read the request.
	Arrival kumquatlug.Millis
	// Deadline is when the whole answer must be there.
	Deadline kumquatlug.Millis
	// Service is how long the answer takes once it is sent, with nearly all
	// answers shorter; see [Estimator].
	Service kumquatlug.Millis
	// Priority chooses the class, from LowestPriority to HighestPriority.
	Priority int
	// Weight is the caller's part beside callers of weight 1; the default is 1.
	Weight int64
}

// NewRequest returns the request that c describes; a priority outside the
// classes becomes the nearest class.
func NewRequest(c RequestConfig) Request {
	return Request{
		id: c.ID, caller: c.Caller, kind: c.Kind, cost: max(c.Cost, 1),
		arrival: c.Arrival, deadline: c.Deadline, service: c.Service,
		priority: min(max(c.Priority, LowestPriority), HighestPriority),
		weight:   max(c.Weight, 1),
	}
}

// ID returns the request's id.
func (r Request) ID() string { return r.id }

// Caller returns the account that takes its turn.
func (r Request) Caller() string { return r.caller }

// Kind returns the kind of work.
func (r Request) Kind() kumquatlug.Kind { return r.kind }

// Cost returns the estimated tokens.
func (r Request) Cost() int64 { return r.cost }

// Arrival returns when the entry read the request.
func (r Request) Arrival() kumquatlug.Millis { return r.arrival }

// Deadline returns when the whole answer must be there.
func (r Request) Deadline() kumquatlug.Millis { return r.deadline }

// Service returns how long the answer is expected to take once it is sent.
func (r Request) Service() kumquatlug.Millis { return r.service }

// Priority returns the class.
func (r Request) Priority() int { return r.priority }

// Weight returns the caller's part beside callers of weight 1.
func (r Request) Weight() int64 { return r.weight }

// Verdict is what became of an offered request.
type Verdict string

// The verdicts on an offer.
const (
	VerdictQueued  Verdict = "queued"
	VerdictRefused Verdict = "refused"
)

// Reason is the short stable code of a refusal.
type Reason string

// Why a request is refused.
const (
	// ReasonDeadline: it can't be answered before its deadline.
	ReasonDeadline Reason = "deadline_unreachable"
	// ReasonFull: the line is full and its caller is not below its share.
	ReasonFull Reason = "queue_full"
	// ReasonShare: it made room for a caller further below its share.
	ReasonShare Reason = "above_share"
	// ReasonTooLarge: it is larger than a whole line; coming back won't help.
	ReasonTooLarge Reason = "too_large"
	// ReasonDuplicate: a request of this id waits already.
	ReasonDuplicate Reason = "duplicate_id"
)

// Refusal is the final answer to a request that was not sent anywhere.
type Refusal struct {
	request    Request
	reason     Reason
	retryAfter kumquatlug.Millis
}

// Request returns the request that is refused.
func (r Refusal) Request() Request { return r.request }

// Reason returns why.
func (r Refusal) Reason() Reason { return r.reason }

// RetryAfter returns after which time coming back helps; zero: it never does.
func (r Refusal) RetryAfter() kumquatlug.Millis { return r.retryAfter }

// Failure returns the refusal as the error for its caller: nothing ran.
func (r Refusal) Failure() *kumquatlug.Failure {
	status := http.StatusServiceUnavailable
	switch r.reason {
	case ReasonShare, ReasonFull:
		status = http.StatusTooManyRequests
	case ReasonTooLarge:
		status = http.StatusRequestEntityTooLarge
	case ReasonDuplicate:
		status = http.StatusConflict
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "admit", Reason: string(r.reason), Ran: kumquatlug.RanNot,
		Status: status, RetryAfter: r.retryAfter,
	})
}

// Decision is the queue's answer to an offer.
type Decision struct {
	verdict   Verdict
	wait      kumquatlug.Millis
	refusal   Refusal
	displaced []Refusal
}

// Verdict returns whether the request waits now or is refused.
func (d Decision) Verdict() Verdict { return d.verdict }

// Wait returns the predicted wait of a queued request.
func (d Decision) Wait() kumquatlug.Millis { return d.wait }

// Refusal returns the answer to the offered request if it was refused.
func (d Decision) Refusal() Refusal { return d.refusal }

// Displaced returns the waiting requests that were refused to make room.
func (d Decision) Displaced() []Refusal { return d.displaced }
