package quarantine

import (
	"slices"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Verdict is what a [Gate] says to a call that wants to begin.
type Verdict string

// The verdicts.
const (
	// VerdictRun: it may begin now; the gate counts it as in hand.
	VerdictRun Verdict = "run"
	// VerdictWait: ask again when another call has started or ended here.
	VerdictWait Verdict = "wait"
	// VerdictClaim: it is a suspect; win its claim in the platform's table,
	// then ask again with Claimed set.
	VerdictClaim Verdict = "claim"
	// VerdictElsewhere: a suspect is in hand here; refuse as not run. The entry
	// asks other targets, and again after a while, until the deadline.
	VerdictElsewhere Verdict = "elsewhere"
	// VerdictRefuse: it is held or quarantined; refuse as not run, for good.
	VerdictRefuse Verdict = "refuse"
)

// Arrival is a call that wants to begin at a target.
type Arrival struct {
	// ID tells the call from the others at the target.
	ID string
	// Fingerprint is the call's.
	Fingerprint Fingerprint
	// Claimed says that the claim on the suspect was won. The claim is a row
	// in the platform's table under the fingerprint, inserted on the condition
	// that there is none, and removed when the call ends without a crash. After
	// a crash it is left for Config.Period, so that no second watched run
	// follows even if every process that knew of the first is gone.
	//
	// Set it as well when the table does not answer. The claim only guards
	// against several copies at once; without it the notices still hold one
	// copy to its bound, while waiting for the table would fail every neighbour
	// of every crash for as long as the table is out.
	Claimed bool
	// Urgent says that the call would miss its deadline by waiting to be the
	// only suspect at a target. It may then run beside others that have
	// started; if the target crashes late, it is held with them.
	Urgent bool
}

// Gate watches the calls in hand at one target; its agent has one.
type Gate struct {
	register *Register
	calls    map[string]*inFlightCall
	// pendingSuspect is a suspect that waits for the calls that are starting; none
	// may overtake it, or it would wait for ever on a busy target.
	pendingSuspect string
}

// inFlightCall is one call at the target.
type inFlightCall struct {
	fingerprint Fingerprint
	starting    bool
	// isolatedStart says that the call began as a suspect, with nothing else
	// starting beside it.
	isolatedStart bool
}

// NewGate returns a gate for a target with nothing in hand, which tells and
// asks r.
func NewGate(r *Register) *Gate {
	return &Gate{register: r, calls: map[string]*inFlightCall{}}
}

// Begin decides whether a call may begin now.
func (g *Gate) Begin(now kumquatlug.Millis, a Arrival) Verdict {
	o := g.register.Ask(now, a.Fingerprint)
	if o.Refused() {
		g.Abandon(a.ID)
		return VerdictRefuse
	}
	if o.Standing() == StandingSuspect {
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

// beginSuspect lets a suspect begin when it is the only one here and nothing
// else is starting: of two that start together neither could be proven to have
// caused a crash, and one of them is innocent.
func (g *Gate) beginSuspect(now kumquatlug.Millis, a Arrival) Verdict {
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

// Abandon tells that a call which was to wait no longer asks.
func (g *Gate) Abandon(id string) {
	if g.pendingSuspect == id {
		g.pendingSuspect = ""
	}
}

// Started records a call's first output. A call of a plain service, which has
// none before its answer, is starting until it ends.
func (g *Gate) Started(id string) {
	if c, ok := g.calls[id]; ok {
		c.starting = false
	}
}

// Ended records that a call ended; whole says that it brought its whole answer.
func (g *Gate) Ended(now kumquatlug.Millis, id string, whole bool) {
	g.Abandon(id)
	c, ok := g.calls[id]
	if !ok {
		return
	}
	delete(g.calls, id)
	if whole {
		g.register.Finished(now, c.fingerprint)
	}
}

// Crashed records that the target's incarnation ended with all that was in
// hand, and returns those calls in the order of their ids.
func (g *Gate) Crashed(now kumquatlug.Millis, c Crash) []Held {
	held := make([]Held, 0, len(g.calls))
	for _, id := range g.sortedIDs() {
		call := g.calls[id]
		held = append(held, Held{
			Fingerprint: call.fingerprint, Starting: call.starting,
			Proven: call.isolatedStart && (call.starting || len(g.calls) == 1),
		})
	}
	g.calls = map[string]*inFlightCall{}
	g.pendingSuspect = ""
	g.register.Crashed(now, c, held)
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

// suspectInFlight looks at what is known now: a call may have become a suspect
// through a copy of it that crashed elsewhere.
func (g *Gate) suspectInFlight(now kumquatlug.Millis) bool {
	for _, c := range g.calls {
		if g.register.peekStanding(now, c.fingerprint) != StandingFree {
			return true
		}
	}
	return false
}
