package experiment

import (
	"fmt"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// sendResult is how a target's agent answers to a call.
type sendResult string

const (
	sendTaken     sendResult = "taken"
	sendElsewhere sendResult = "elsewhere"
	sendRefused   sendResult = "refused"
)

// agent stands before one engine and watches calls that were in hand at a
// crash. It outlives its engine.
type agent struct {
	world    *world
	engine   *engine
	register *quarantine.Register
	gate     *quarantine.Gate
	held     []*call
}

func newAgent(w *world, e *engine) *agent {
	r := quarantine.New(quarantine.Config{})
	return &agent{world: w, engine: e, register: r, gate: quarantine.NewGate(r)}
}

// begin asks the gate for a call; a suspect needs its row in the table first.
func (a *agent) begin(now kumquatlug.Millis, c *call) quarantine.Verdict {
	verdict := a.ask(now, c)
	if verdict != quarantine.VerdictClaim {
		return verdict
	}
	if a.world.claims[c.fingerprint] {
		return quarantine.VerdictElsewhere
	}
	a.world.claims[c.fingerprint] = true
	c.claimed = true
	return a.ask(now, c)
}

func (a *agent) ask(now kumquatlug.Millis, c *call) quarantine.Verdict {
	return a.gate.Begin(now, quarantine.Arrival{ID: c.id, Fingerprint: c.fingerprint, Claimed: c.claimed})
}

// take begins a call, keeps it until it may begin, or sends it away.
func (a *agent) take(now kumquatlug.Millis, c *call) sendResult {
	switch a.begin(now, c) {
	case quarantine.VerdictRun:
		a.engine.accept(now, c)
		return sendTaken
	case quarantine.VerdictWait:
		a.held = append(a.held, c)
		return sendTaken
	case quarantine.VerdictRefuse:
		a.unclaim(c)
		return sendRefused
	default:
		a.unclaim(c)
		return sendElsewhere
	}
}

func (a *agent) unclaim(c *call) {
	if c.claimed {
		delete(a.world.claims, c.fingerprint)
		c.claimed = false
	}
}

// askAgain asks for the calls that wait at the gate.
func (a *agent) askAgain(now kumquatlug.Millis) {
	held := a.held
	a.held = nil
	for _, c := range held {
		verdict := a.begin(now, c)
		switch verdict {
		case quarantine.VerdictRun:
			a.engine.accept(now, c)
		case quarantine.VerdictWait:
			a.held = append(a.held, c)
		default:
			a.gate.Abandon(c.id)
			a.unclaim(c)
			c.at = nil
			a.world.entries[c.entry].event(now, event{name: eventTurnedAway, call: c, engine: a.engine})
		}
	}
}

// ended tells the gate that a call is off the engine.
func (a *agent) ended(now kumquatlug.Millis, c *call, whole bool) {
	if slices.Contains(a.held, c) {
		a.held = without(a.held, c)
		a.gate.Abandon(c.id)
		a.unclaim(c)
		return
	}
	a.gate.Ended(now, c.id, whole)
	a.unclaim(c)
}

// crashed tells the gate that the engine crashed, and returns the calls that
// waited there: they didn't run.
func (a *agent) crashed(now kumquatlug.Millis) []*call {
	a.gate.Crashed(now, a.crash())
	held := a.held
	a.held = nil
	for _, c := range held {
		a.gate.Abandon(c.id)
		a.unclaim(c)
	}
	return held
}

func (a *agent) crash() quarantine.Crash {
	return quarantine.NewCrash(a.engine.name, fmt.Sprint(a.engine.incarnation))
}

// gossip exchanges what an entry and the agent know, as heartbeats do.
func (a *agent) gossip(now kumquatlug.Millis, entry *quarantine.Register) {
	mine, _ := a.register.Known(now, 0)
	theirs, _ := entry.Known(now, 0)
	entry.Merge(now, mine)
	a.register.Merge(now, theirs)
}
