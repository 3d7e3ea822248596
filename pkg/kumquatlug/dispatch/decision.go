package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// Verdict is what is decided for a request.
type Verdict string

// The verdicts of a [Decision].
const (
	// VerdictSend: make the attempt at the target.
	VerdictSend Verdict = "send"
	// VerdictRefuse: give the caller its final answer now.
	VerdictRefuse Verdict = "refuse"
)

// Decision tells what to do about one request.
type Decision struct {
	id      string
	verdict Verdict
	attempt Attempt
	failure *kumquatlug.Failure
}

// ID returns the request's id.
func (d Decision) ID() string { return d.id }

// Verdict returns what to do.
func (d Decision) Verdict() Verdict { return d.verdict }

// Attempt returns what to send where, with VerdictSend alone.
func (d Decision) Attempt() Attempt { return d.attempt }

// Attempt is one sending of a request to a target.
type Attempt struct {
	target   string
	address  string
	number   int
	revision config.Revision
	role     kumquatlug.Role
	notice   quarantine.Notice
	suspect  bool
}

// At returns the attempt at another target, for a call whose run-once claim is
// held there.
func (a Attempt) At(target, address string) Attempt {
	a.target, a.address = target, address
	return a
}

// Target returns the target's name.
func (a Attempt) Target() string { return a.target }

// Address returns where the target's agent is reached.
func (a Attempt) Address() string { return a.address }

// Number returns the number of the attempt, from one.
func (a Attempt) Number() int { return a.number }

// Revision returns the config under which the target was chosen.
func (a Attempt) Revision() config.Revision { return a.revision }

// Role returns the part of the work that the attempt asks of the target.
func (a Attempt) Role() kumquatlug.Role { return a.role }

// Notice returns what to tell the agent of a request that was in hand at a
// crash, and false for all others.
func (a Attempt) Notice() (quarantine.Notice, bool) { return a.notice, a.suspect }
