package kumquatlug

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Marks that say what kind of failure an error is; test with errors.Is.
var (
	// ErrUnavailable marks a failure in which nothing took effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrLost marks a failure in which the effect is not known.
	ErrLost = errors.New("answer lost")
	// ErrConflict marks a transaction or change that met another one.
	ErrConflict = errors.New("conflict")
	// ErrNotFound marks something that is not there.
	ErrNotFound = errors.New("not found")
	// ErrDenied marks a caller or peer without the right to what it asked.
	ErrDenied = errors.New("denied")
)

// Ran says whether a refused or failed call ran at its target.
type Ran string

// What may be known of a call that brought no answer.
const (
	// RanNot: the call did not run and will not run later.
	RanNot Ran = "not-run"
	// RanUnknown: the call may have run or may still run.
	RanUnknown Ran = "unknown"
	// RanDone: the call ran; its answer could not be given in full.
	RanDone Ran = "done"
)

// Failure is an error on the way of a request. It carries the step and the
// peer at which it arose, whether the call ran, the HTTP status for the caller
// and when coming back helps.
type Failure struct {
	step       string
	peer       string
	reason     string
	ran        Ran
	status     int
	retryAfter Millis
	cause      error
}

// FailureConfig is what a [Failure] is made of.
type FailureConfig struct {
	// Step is what was being done, as in "route" or "send".
	Step string
	// Peer is with whom, empty when it was this process alone.
	Peer string
	// Reason is a short stable code for callers and metrics, as in "queue_full".
	Reason string
	// Ran defaults to RanUnknown: nothing is claimed that is not known.
	Ran Ran
	// Status is the HTTP status for the caller; it defaults to 503.
	Status int
	// RetryAfter is when coming back helps; zero says nothing about it.
	RetryAfter Millis
	// Cause is the error below, if any.
	Cause error
}

// NewFailure returns a failure made from c.
func NewFailure(c FailureConfig) *Failure {
	f := &Failure{
		step: c.Step, peer: c.Peer, reason: c.Reason, ran: c.Ran,
		status: c.Status, retryAfter: c.RetryAfter, cause: c.Cause,
	}
	if f.ran == "" {
		f.ran = RanUnknown
	}
	if f.status == 0 {
		f.status = http.StatusServiceUnavailable
	}
	return f
}

// WithRan returns the same failure with another word on whether the call ran.
func (f *Failure) WithRan(ran Ran) *Failure {
	other := *f
	other.ran = ran
	return &other
}

// Error names the step, the peer, the reason and the cause.
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

// CauseText returns the cause in words, empty when there is none.
func (f *Failure) CauseText() string {
	if f.cause == nil {
		return ""
	}
	return f.cause.Error()
}

// Step returns what was being done.
func (f *Failure) Step() string { return f.step }

// Peer returns with whom, empty for this process alone.
func (f *Failure) Peer() string { return f.peer }

// Reason returns the short stable code.
func (f *Failure) Reason() string { return f.reason }

// Ran returns whether the call ran.
func (f *Failure) Ran() Ran { return f.ran }

// Status returns the HTTP status for the caller.
func (f *Failure) Status() int { return f.status }

// RetryAfter returns when coming back helps, zero when nothing is known.
func (f *Failure) RetryAfter() Millis { return f.retryAfter }

// FailureOf finds the failure in err's chain, or wraps err in one that claims
// nothing: RanUnknown and status 500.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return NewFailure(FailureConfig{
		Step: "serve", Reason: "internal", Status: http.StatusInternalServerError, Cause: err,
	})
}

// RanOf returns what err says of the call; an error that says nothing means
// RanUnknown.
func RanOf(err error) Ran {
	return FailureOf(err).Ran()
}
