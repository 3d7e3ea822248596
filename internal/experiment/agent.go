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
	sendAccepted  sendResult = "taken"
	sendElsewhere sendResult = "elsewhere"
	sendRefused   sendResult = "refused"
)

// agent stands before one engine and watches calls that were in hand at a
// crash. It outlives its engine.
type agent struct {
	sim      *simulation
	engine   *engine
	register *quarantine.Register
	gate     *quarantine.Gate
	waiting  []*call
}

func newAgent(sim *simulation, e *engine) *agent {
	r := quarantine.New(quarantine.Config{})
	return &agent{sim: sim, engine: e, register: r, gate: quarantine.NewGate(r)}
}

// begin asks the gate for a call; a suspect needs its row in the table first.
func (a *agent) begin(now kumquatlug.Millis, c *call) quarantine.Verdict {
	verdict := a.beginAtGate(now, c)
	if verdict != quarantine.VerdictClaim {
		return verdict
	}
	if a.sim.claims[c.fingerprint] {
		return quarantine.VerdictElsewhere
	}
	a.sim.claims[c.fingerprint] = true
	c.claimed = true
	return a.beginAtGate(now, c)
}

func (a *agent) beginAtGate(now kumquatlug.Millis, c *call) quarantine.Verdict {
	return a.gate.Begin(now, quarantine.Arrival{ID: c.id, Fingerprint: c.fingerprint, Claimed: c.claimed})
}

// accept begins a call, keeps it until it may begin, or sends it away.
func (a *agent) accept(now kumquatlug.Millis, c *call) sendResult {
	switch a.begin(now, c) {
	case quarantine.VerdictRun:
		a.engine.accept(now, c)
		return sendAccepted
	case quarantine.VerdictWait:
		a.waiting = append(a.waiting, c)
		return sendAccepted
	case quarantine.VerdictRefuse:
		a.releaseClaim(c)
		return sendRefused
	default:
		a.releaseClaim(c)
		return sendElsewhere
	}
}

func (a *agent) releaseClaim(c *call) {
	if c.claimed {
		delete(a.sim.claims, c.fingerprint)
		c.claimed = false
	}
}

// retryWaiting asks for the calls that wait at the gate.
func (a *agent) retryWaiting(now kumquatlug.Millis) {
	waiting := a.waiting
	a.waiting = nil
	for _, c := range waiting {
		verdict := a.begin(now, c)
		switch verdict {
		case quarantine.VerdictRun:
			a.engine.accept(now, c)
		case quarantine.VerdictWait:
			a.waiting = append(a.waiting, c)
		default:
			a.gate.Abandon(c.id)
			a.releaseClaim(c)
			c.engine = nil
			a.sim.gateways[c.gateway].handleEvent(now, callEvent{kind: eventRejected, call: c, engine: a.engine})
		}
	}
}

// callEnded tells the gate that a call is off the engine.
func (a *agent) callEnded(now kumquatlug.Millis, c *call, completed bool) {
	if slices.Contains(a.waiting, c) {
		a.waiting = removeCall(a.waiting, c)
		a.gate.Abandon(c.id)
		a.releaseClaim(c)
		return
	}
	a.gate.Ended(now, c.id, completed)
	a.releaseClaim(c)
}

// engineCrashed tells the gate that the engine crashed, and returns the calls that
// waited there: they didn't run.
func (a *agent) engineCrashed(now kumquatlug.Millis) []*call {
	a.gate.Crashed(now, a.crashID())
	waiting := a.waiting
	a.waiting = nil
	for _, c := range waiting {
		a.gate.Abandon(c.id)
		a.releaseClaim(c)
	}
	return waiting
}

func (a *agent) crashID() quarantine.Crash {
	return quarantine.NewCrash(a.engine.name, fmt.Sprint(a.engine.incarnation))
}

// gossip exchanges what an entry and the agent know, as heartbeats do.
func (a *agent) gossip(now kumquatlug.Millis, gatewayRegister *quarantine.Register) {
	agentNotices, _ := a.register.Known(now, 0)
	gatewayNotices, _ := gatewayRegister.Known(now, 0)
	gatewayRegister.Merge(now, agentNotices)
	a.register.Merge(now, gatewayNotices)
}
