package quarantine

import (
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Verdict is the decision of a [Gate] on a call that is to start.
type Verdict string

// Verdicts of a gate.
const (
	// VerdictRun: the call may start now; the gate counts it as in flight.
	VerdictRun Verdict = "run"
	// VerdictWait: call Begin again when another call has started or ended
	// here.
	VerdictWait Verdict = "wait"
	// VerdictClaim: the call is a suspect; obtain its claim in the platform's
	// table, then call Begin again with Claimed set.
	VerdictClaim Verdict = "claim"
	// VerdictElsewhere: a suspect is in flight here; refuse as not-run. The
	// gateway tries other targets, and retries after a delay, until the
	// deadline.
	VerdictElsewhere Verdict = "elsewhere"
	// VerdictRefuse: the call is held or quarantined; refuse as not-run,
	// without retry.
	VerdictRefuse Verdict = "refuse"
)

// StartRequest is a call that is to start at a target.
type StartRequest struct {
	// ID identifies the call among those at the target.
	ID string
	// Fingerprint is the fingerprint of the call.
	Fingerprint Fingerprint
	// Claimed reports whether the claim on the suspect was obtained. The claim
	// is a row in the platform's table under the fingerprint, inserted on the
	// condition that there is none, and removed when the call ends without a
	// crash. After a crash it remains for Config.Retention, so that no second
	// isolated run follows even if every process that knew of the first has
	// ended.
	//
	// Set it also when the table is unavailable. The claim only prevents
	// concurrent copies. Without it, notices still limit a single copy to its
	// bound, while waiting for the table would fail every neighbour of every
	// crash during the outage.
	Claimed bool
	// Urgent reports whether the call would miss its deadline by waiting to be
	// the only suspect at a target. It may then run next to other suspects that
	// have started; if the target crashes late, it is held with them.
	Urgent bool
}

// Gate tracks the calls in flight at one target. Each agent has one.
type Gate struct {
	registry *Registry
	calls    map[string]*inFlightCall
	// pendingSuspect is the id of a suspect that waits for other calls to
	// finish starting. No other call may start before it, or it would never
	// start at a busy target.
	pendingSuspect string
}

// inFlightCall is a call in flight at the target.
type inFlightCall struct {
	fingerprint Fingerprint
	starting    bool
	// isolatedStart reports whether the call started as a suspect, with no
	// other call starting.
	isolatedStart bool
}

// NewGate returns a gate for a target without calls in flight, which reads and
// updates r.
func NewGate(r *Registry) *Gate {
	return &Gate{registry: r, calls: map[string]*inFlightCall{}}
}

// Begin decides whether a call may start now.
func (g *Gate) Begin(now kumquatlug.Millis, a StartRequest) Verdict {
	assessment := g.registry.Check(now, a.Fingerprint)
	if assessment.Refused() {
		g.Abandon(a.ID)
		return VerdictRefuse
	}
	if assessment.Standing() == StandingSuspect {
		return g.beginSuspect(now, a)
	}
	if g.pendingSuspect == a.ID {
		g.pendingSuspect = ""
	}
	if g.pendingSuspect != "" || g.isolatedStarting() {
		return VerdictWait
	}
	g.calls[a.ID] = &inFlightCall{fingerprint: a.Fingerprint, starting: true}
	return VerdictRun
}

// beginSuspect lets a suspect start if it is the only one here and no other
// call is starting: of two that start together, neither can be proven to have
// caused a crash, and one of them is unrelated to it.
func (g *Gate) beginSuspect(now kumquatlug.Millis, a StartRequest) Verdict {
	allowed := a.Urgent || !g.suspectInFlight(now)
	if !allowed || (g.pendingSuspect != "" && g.pendingSuspect != a.ID) {
		return VerdictElsewhere
	}
	if !a.Claimed {
		return VerdictClaim
	}
	if g.anyStarting() {
		g.pendingSuspect = a.ID
		return VerdictWait
	}
	g.pendingSuspect = ""
	g.calls[a.ID] = &inFlightCall{fingerprint: a.Fingerprint, starting: true, isolatedStart: true}
	return VerdictRun
}

// Abandon records that a call with VerdictWait will not call Begin again.
func (g *Gate) Abandon(id string) {
	if g.pendingSuspect == id {
		g.pendingSuspect = ""
	}
}

// Started records the first output of a call. A call of a plain service, which
// has no output before its response, counts as starting until it ends.
func (g *Gate) Started(id string) {
	if c, ok := g.calls[id]; ok {
		c.starting = false
	}
}

// Ended records that a call ended. whole reports whether its response was
// complete.
func (g *Gate) Ended(now kumquatlug.Millis, id string, whole bool) {
	g.Abandon(id)
	c, ok := g.calls[id]
	if !ok {
		return
	}
	delete(g.calls, id)
	if whole {
		g.registry.Finished(now, c.fingerprint)
	}
}

// Crashed records that the target's incarnation crashed with all calls in
// flight, and returns those calls ordered by id.
func (g *Gate) Crashed(now kumquatlug.Millis, c Crash) []InFlightCall {
	held := make([]InFlightCall, 0, len(g.calls))
	for _, id := range g.sortedIDs() {
		call := g.calls[id]
		held = append(held, InFlightCall{
			Fingerprint: call.fingerprint, Starting: call.starting,
			Proven: call.isolatedStart && (call.starting || len(g.calls) == 1),
		})
	}
	g.calls = map[string]*inFlightCall{}
	g.pendingSuspect = ""
	g.registry.Crashed(now, c, held)
	return held
}

func (g *Gate) sortedIDs() []string {
	ids := make([]string, 0, len(g.calls))
	for id := range g.calls {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}

func (g *Gate) anyStarting() bool {
	for _, c := range g.calls {
		if c.starting {
			return true
		}
	}
	return false
}

func (g *Gate) isolatedStarting() bool {
	for _, c := range g.calls {
		if c.isolatedStart && c.starting {
			return true
		}
	}
	return false
}

// suspectInFlight reports whether any call in flight is a suspect now: a call
// may have become one through a copy of it that crashed another target.
func (g *Gate) suspectInFlight(now kumquatlug.Millis) bool {
	for _, c := range g.calls {
		if g.registry.peekStanding(now, c.fingerprint) != StandingFree {
			return true
		}
	}
	return false
}
