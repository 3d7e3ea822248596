package dispatch

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// Verdict is the action of a [Decision].
type Verdict string

// The verdicts of a [Decision].
const (
	// VerdictSend means that the attempt must be sent to its target.
	VerdictSend Verdict = "send"
	// VerdictRefuse means that the failure must be returned to the caller.
	VerdictRefuse Verdict = "refuse"
)

// Decision is an action for one request.
type Decision struct {
	id      string
	verdict Verdict
	attempt Attempt
	failure *kumquatlug.Failure
}

// ID returns the request's id.
func (d Decision) ID() string { return d.id }

// Verdict returns the action.
func (d Decision) Verdict() Verdict { return d.verdict }

// Attempt returns the attempt to send, with VerdictSend only.
func (d Decision) Attempt() Attempt { return d.attempt }

// Attempt describes one attempt to serve a request at a target.
type Attempt struct {
	target   string
	address  string
	number   int
	revision config.Revision
	role     kumquatlug.Role
	notice   quarantine.Notice
	suspect  bool
}

// WithTarget returns a copy of the attempt for another target, for a call whose run-once
// claim is held by that target.
func (a Attempt) WithTarget(target, address string) Attempt {
	a.target, a.address = target, address
	return a
}

// Target returns the target's name.
func (a Attempt) Target() string { return a.target }

// Address returns the network address of the target's agent.
func (a Attempt) Address() string { return a.address }

// Number returns the number of the attempt, starting at 1.
func (a Attempt) Number() int { return a.number }

// Revision returns the revision of the config by which the target was chosen.
func (a Attempt) Revision() config.Revision { return a.revision }

// Role returns the part of the work that the target must do.
func (a Attempt) Role() kumquatlug.Role { return a.role }

// Notice returns the notice to send to the agent with a request that was in
// flight at a crash. It returns false for all other requests.
func (a Attempt) Notice() (quarantine.Notice, bool) { return a.notice, a.suspect }
