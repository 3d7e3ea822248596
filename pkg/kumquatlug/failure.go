package kumquatlug

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Marks that classify errors; test with errors.Is.
var (
	// ErrUnavailable marks a failure in which nothing took effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrLost marks a failure in which it is unknown whether there was an effect.
	ErrLost = errors.New("answer lost")
	// ErrConflict marks a transaction or change that conflicts with another one.
	ErrConflict = errors.New("conflict")
	// ErrNotFound marks something that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrNoRoom marks something that its destination has no room for.
	ErrNoRoom = errors.New("no room")
	// ErrDenied marks a caller or peer that lacks the permission.
	ErrDenied = errors.New("denied")
	// ErrUnreachable marks a failure to make a connection.
	ErrUnreachable = errors.New("unreachable")
	// ErrTooLarge marks a response that exceeds a limit in bytes, as if it had no end.
	ErrTooLarge = errors.New("response too large")
)

// ReasonTooLarge is the failure reason of a response that exceeds a limit in bytes.
const ReasonTooLarge = "answer_too_large"

// Execution says whether a refused or failed call ran at its target.
type Execution string

// The execution states of a call without a response.
const (
	// NotExecuted: the call did not run and will not run later.
	NotExecuted Execution = "not-run"
	// ExecutionUnknown: the call may have run or may still run.
	ExecutionUnknown Execution = "unknown"
	// Executed: the call ran; its response could not be delivered in full.
	Executed Execution = "done"
)

// Failure is an error in the processing of a request. It holds the step and the peer at
// which it occurred, whether the call ran, the HTTP status for the caller and the delay
// after which a retry may succeed.
type Failure struct {
	step       string
	peer       string
	reason     string
	ran        Execution
	status     int
	retryAfter Millis
	cause      error
}

// FailureConfig configures a [Failure].
type FailureConfig struct {
	// Step is the step that failed, such as "route" or "send".
	Step string
	// Peer is the other side of the step, empty for this process alone.
	Peer string
	// Reason is a short stable code for callers and metrics, such as "queue_full".
	Reason string
	// Execution defaults to ExecutionUnknown, which is safe if nothing is known.
	Execution Execution
	// Status is the HTTP status for the caller; it defaults to 503.
	Status int
	// RetryAfter is the delay after which a retry may succeed; zero means unknown.
	RetryAfter Millis
	// Cause is the underlying error, if any.
	Cause error
}

// NewFailure returns the failure that c describes.
func NewFailure(c FailureConfig) *Failure {
	f := &Failure{
		step: c.Step, peer: c.Peer, reason: c.Reason, ran: c.Execution,
		status: c.Status, retryAfter: c.RetryAfter, cause: c.Cause,
	}
	if f.ran == "" {
		f.ran = ExecutionUnknown
	}
	if f.status == 0 {
		f.status = http.StatusServiceUnavailable
	}
	return f
}

// WithExecution returns a copy of the failure with another execution state.
func (f *Failure) WithExecution(ran Execution) *Failure {
	other := *f
	other.ran = ran
	return &other
}

// Error returns the step, the peer, the reason, the cause and the execution state.
func (f *Failure) Error() string {
	text := f.step
	if f.peer != "" {
		text += " at " + f.peer
	}
	text += ": " + f.reason
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return fmt.Sprintf("%s (%s)", text, f.ran)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// CauseText returns the text of the cause, empty if there is none.
func (f *Failure) CauseText() string {
	if f.cause == nil {
		return ""
	}
	return f.cause.Error()
}

// Step returns the step that failed.
func (f *Failure) Step() string { return f.step }

// Peer returns the other side of the step, empty for this process alone.
func (f *Failure) Peer() string { return f.peer }

// Reason returns the short stable code.
func (f *Failure) Reason() string { return f.reason }

// Execution returns whether the call ran.
func (f *Failure) Execution() Execution { return f.ran }

// Status returns the HTTP status for the caller.
func (f *Failure) Status() int { return f.status }

// RetryAfter returns the delay after which a retry may succeed, zero if unknown.
func (f *Failure) RetryAfter() Millis { return f.retryAfter }

// FailureOf returns the failure in err's chain, or wraps err in one with
// ExecutionUnknown and status 500.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return NewFailure(FailureConfig{
		Step: "serve", Reason: "internal", Status: http.StatusInternalServerError, Cause: err,
	})
}

// ExecutionOf returns whether the call that failed with err ran, ExecutionUnknown
// if err does not say.
func ExecutionOf(err error) Execution {
	return FailureOf(err).Execution()
}
