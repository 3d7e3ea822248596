package dispatch

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// RequestConfig describes a new request.
type RequestConfig struct {
	ID     string
	Caller kumquatlug.Caller
	Kind   kumquatlug.Kind
	// Role is the requested part of the work: RoleBoth for engines, RoleServe for
	// services.
	Role kumquatlug.Role
	// PrefixKeys holds the prefix keys of the prompt; see routing.Query.
	PrefixKeys []uint64
	// PrefillTokens is the number of prompt tokens. DecodeTokens is the maximum
	// number of output tokens, zero if the caller set none.
	PrefillTokens int64
	DecodeTokens  int64
	// Arrival and Deadline are points in time.
	Arrival  kumquatlug.Millis
	Deadline kumquatlug.Millis
	// Priority is the admission priority; see admission.RequestConfig.
	Priority int
	// RunOnceKey is the run-once key of a call that must not be executed twice, empty
	// for all others. The target is chosen by the key, so that a resent call
	// reaches the agent that has its record.
	RunOnceKey string
	// Fingerprint identifies equal requests of one caller; see package quarantine.
	Fingerprint quarantine.Fingerprint
}

// request is the state of a request from arrival to its final response.
type request struct {
	c       RequestConfig
	charged bool
	// attempts counts the attempts, number is that of the current one.
	attempts     int
	number       int
	failures     int
	refusals     int
	exclude      []string
	target       string
	inFlight     bool
	ticket       limit.Ticket
	sentAt       kumquatlug.Millis
	firstTokenAt kumquatlug.Millis
	progressAt   kumquatlug.Millis
	// outputP90 is the 90th percentile of the output in tokens, serviceTime a high
	// estimate of the time from sending to the end of the response. Both are zero
	// if unknown.
	outputP90   int64
	serviceTime kumquatlug.Millis
	// predictedTime is the response time that routing predicted for the target.
	predictedTime kumquatlug.Millis
	tokens        int64
	cached        int
	nextAttemptAt kumquatlug.Millis
	lastFailure   *kumquatlug.Failure
	// heldUntil is when a request that was in flight at two crashes is refused,
	// unless it is cleared before.
	heldUntil kumquatlug.Millis
	// mayHaveRun reports whether any attempt may have run.
	mayHaveRun bool
	// retryCharged reports whether the next attempt was charged to the retry budget.
	retryCharged bool
	// open is the suspected attempt that stays open, nil if there is none.
	open *openAttempt
}

// finalFailure returns the final response to a request that is refused after
// attempts. It keeps the execution state of the last failure.
func (r *request) finalFailure(reason string) *kumquatlug.Failure {
	c := kumquatlug.FailureConfig{
		Step: "send", Peer: r.target, Reason: reason, Execution: kumquatlug.NotExecuted, Status: http.StatusServiceUnavailable,
		RetryAfter: kumquatlug.Second,
	}
	if r.lastFailure != nil {
		c.Execution, c.Cause = r.lastFailure.Execution(), r.lastFailure
		c.RetryAfter = max(c.RetryAfter, r.lastFailure.RetryAfter())
	}
	return kumquatlug.NewFailure(c)
}

// withEarlierExecution returns f with ExecutionUnknown if f says NotExecuted but an
// earlier attempt may have run. NotExecuted would then hold for the last attempt
// only.
func (r *request) withEarlierExecution(f *kumquatlug.Failure) *kumquatlug.Failure {
	if !r.mayHaveRun || f.Execution() != kumquatlug.NotExecuted {
		return f
	}
	return f.WithExecution(kumquatlug.ExecutionUnknown)
}
