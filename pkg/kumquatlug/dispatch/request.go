package dispatch

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// RequestConfig describes a request that arrived.
type RequestConfig struct {
	ID     string
	Caller kumquatlug.Caller
	Kind   kumquatlug.Kind
	// Role is the part of the work asked for: RoleBoth of engines, RoleServe
	// of services.
	Role kumquatlug.Role
	// Prefix are the prompt's prefix keys; see routing.Query.
	Prefix []uint64
	// PrefillTokens is the length of the prompt. DecodeTokens bounds the output
	// of an engine, zero when the caller set no bound.
	PrefillTokens int64
	DecodeTokens  int64
	// Arrival and Deadline are points in time.
	Arrival  kumquatlug.Millis
	Deadline kumquatlug.Millis
	Priority int
	// OnceKey names a call that may not be repeated, empty for all others. It
	// decides the target, so that a call sent again meets the agent that knows
	// of it.
	OnceKey string
	// Fingerprint is equal for equal requests of one caller; see package
	// quarantine.
	Fingerprint quarantine.Fingerprint
}

// request is one request in the dispatcher's hands.
type request struct {
	c            RequestConfig
	charged      bool
	attempts     int
	failures     int
	refusals     int
	exclude      []string
	target       string
	inFlight     bool
	ticket       limit.Ticket
	sentAt       kumquatlug.Millis
	firstTokenAt kumquatlug.Millis
	progressAt   kumquatlug.Millis
	// outputP90 is the output that few answers exceed, service how long the
	// answer takes once sent; zero when nothing is known.
	outputP90   int64
	serviceTime kumquatlug.Millis
	// predictedTime is how long the answer was expected to take at the target.
	predictedTime kumquatlug.Millis
	tokens        int64
	cached        int
	nextAttemptAt kumquatlug.Millis
	lastFailure   *kumquatlug.Failure
	// heldUntil is how long a request that was near two crashes still waits.
	heldUntil kumquatlug.Millis
	// mayHaveRun says that some attempt may have run.
	mayHaveRun bool
}

// finalFailure is the answer to a request that is given up after attempts. What the
// last attempt said of the work stands.
func (r *request) finalFailure(reason string) *kumquatlug.Failure {
	c := kumquatlug.FailureConfig{
		Step: "send", Peer: r.target, Reason: reason, Ran: kumquatlug.RanNot, Status: http.StatusServiceUnavailable,
		RetryAfter: kumquatlug.Second,
	}
	if r.lastFailure != nil {
		c.Ran, c.Cause = r.lastFailure.Ran(), r.lastFailure
		c.RetryAfter = max(c.RetryAfter, r.lastFailure.RetryAfter())
	}
	return kumquatlug.NewFailure(c)
}

// withEarlierRan keeps a refusal from saying "not run" for the sake of its last
// attempt alone, when an earlier one was cut or lost from sight.
func (r *request) withEarlierRan(f *kumquatlug.Failure) *kumquatlug.Failure {
	if !r.mayHaveRun || f.Ran() != kumquatlug.RanNot {
		return f
	}
	return f.WithRan(kumquatlug.RanUnknown)
}
