package experiment

import (
	"fmt"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// sendResult is the response of a target's agent to a call.
type sendResult string

const (
	sendAccepted sendResult = "taken"
	// sendElsewhere: the call was not accepted, another target may accept it.
	sendElsewhere sendResult = "elsewhere"
	// sendRefused: no target may run the call.
	sendRefused sendResult = "refused"
)

// agent is the agent of one engine. It tracks which calls are in flight at a crash, and keeps
// running when the engine crashes.
type agent struct {
	sim      *simulation
	engine   *engine
	register *quarantine.Registry
	gate     *quarantine.Gate
	waiting  []*call
}

func newAgent(sim *simulation, e *engine) *agent {
	r := quarantine.New(quarantine.Config{})
	return &agent{sim: sim, engine: e, register: r, gate: quarantine.NewGate(r)}
}

// begin returns the gate's verdict on whether a call may begin. If the call is a suspect, it
// claims the row of its fingerprint in the table first.
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
	return a.gate.Begin(now, quarantine.StartRequest{ID: c.id, Fingerprint: c.fingerprint, Claimed: c.claimed})
}

// accept starts a call, queues it until it may start, or rejects it.
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

// retryWaiting gets a new verdict of the gate on each call that waits there.
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

// callEnded records at the gate that a call has left the engine.
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

// engineCrashed records a crash of the engine at the gate. It returns the calls that waited
// there, which have not run.
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

// gossip exchanges crash notices between the agent and a gateway, as heartbeats do.
func (a *agent) gossip(now kumquatlug.Millis, gatewayRegister *quarantine.Registry) {
	agentNotices, _ := a.register.NoticesSince(now, 0)
	gatewayNotices, _ := gatewayRegister.NoticesSince(now, 0)
	gatewayRegister.Merge(now, agentNotices)
	a.register.Merge(now, gatewayNotices)
}
