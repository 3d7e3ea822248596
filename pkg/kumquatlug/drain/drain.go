// Package drain decides when a process stops accepting new work and when the
// process, or the target beside it, may shut down.
//
// Gateways and agents are stopped, and targets are replaced or given another
// role, while requests are in flight and more arrive. A process that exits at
// once breaks off responses. One that refuses at once, while a load balancer
// still sends it callers, turns each planned stop into a burst of errors. One
// that waits for a fixed time breaks off whatever runs longer. And a leaving
// target receives new work until every gateway has learned that it is leaving,
// which a disconnected gateway never does.
//
// A [Drain] goes through these states:
//
//	starting  has no config yet and refuses work as not-run
//	serving   accepts work
//	unready   fails the load balancer's health checks and still accepts work,
//	          since the balancer keeps sending until its checks have failed
//	refusing  refuses new work as not-run; work in flight continues
//	done      nothing is in flight and nothing will be
//
// Only the end of the last request in flight leads from refusing to done. There
// is no timeout: a planned stop waits however long a response takes.
//
// A process leaves for any of four reasons: a planned stop, a label in the
// config, the platform's VM list, and an order that takes the target offline for
// a while. A planned stop is permanent; after the others the process may return.
// The agent decides by its own config, so a gateway that routes by an older one,
// because it is slow, paused or disconnected, is refused. If a gateway routes by
// a newer config, [Admission.ReceiverBehind] reports it and the agent pulls the changes;
// until then the agent's own config applies.
//
// An agent receives changes through the heartbeats of gateways. After a start
// or a pause of its process, its state is of unknown age, and the first
// heartbeat may come from a disconnected gateway. The state of such an agent is
// stale: it accepts nothing until it has queried the table and the VM list
// itself, as far as they respond ([Drain.Refreshed]). Otherwise each restart and
// each pause would admit work to a leaving target.
//
// Labels are ordered by their revision; a label of a lower revision never
// replaces one of a higher. The VM list has no revision, and its readers lag by
// different times: a single "live" after "leaving" may be outdated. The list
// must therefore say "live" without interruption for some time before it counts.
//
// One case is not bounded: an agent that reaches neither the table nor the VM
// list, nor any peer with newer state, continues to serve. It can't distinguish
// its own isolation from an outage of the platform, during which work must
// continue.
package drain

import (
	"cmp"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// AgentStaleAfter is the value of Config.StaleAfter for an agent. It spans two
// heartbeats of a gateway with fifteen targets (2.2 s each), and every agent has
// heartbeats of several gateways, so a late or lost heartbeat doesn't cause
// refusals. It is short enough to keep work from a leaving target after a few
// seconds.
const AgentStaleAfter = 5 * kumquatlug.Second

// GatewayRefuseDelay is the value of Config.RefuseDelay for a gateway behind a
// load balancer. A balancer that checks every 5 s and removes a VM after two
// failures needs 10 s; 5 s more cover a check that was under way and connections
// opened just before.
const GatewayRefuseDelay = 15 * kumquatlug.Second

// DefaultSettleTime is the default of Config.SettleTime. The platform doesn't
// state the lag of the VM list; a minute is far more than any lag with which such
// a list is useful, and returning to service is never urgent.
const DefaultSettleTime = 1 * kumquatlug.Minute

// Config holds the parameters of a [Drain].
type Config struct {
	// RefuseDelay is how long work is still accepted after the process began to leave,
	// in milliseconds. A gateway sets GatewayRefuseDelay. An agent sets zero, to refuse at
	// once: its gateways send a request that was refused as not-run to another
	// target, and with a delay every restart or late notification would admit
	// work to a leaving target.
	RefuseDelay kumquatlug.Millis
	// SettleTime is how long the VM list must say "live" after it said "leaving",
	// in milliseconds. Default 60000.
	SettleTime kumquatlug.Millis
	// StaleAfter is the time without heartbeats, in milliseconds, after which the
	// state of the process is stale and it refuses new work. Zero disables the
	// check, which is right for a gateway: the agents decide on what it sends. An
	// agent sets AgentStaleAfter. It then accepts no new work later than
	// StaleAfter plus a heartbeat after a label was set, or StaleAfter plus the
	// list's lag and a heartbeat after the list began to say "leaving", whether
	// or not it is paused or restarted in between.
	StaleAfter kumquatlug.Millis
	// RetryAfter is the retry delay that a refusal carries, in milliseconds. An
	// agent leaves it at zero, as its gateways try another target at once. A
	// gateway sets the time that its callers need to reach another gateway, a
	// second.
	RetryAfter kumquatlug.Millis
}

// State is the phase of the shutdown of a process.
type State string

// The states, in the order in which they follow each other.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateUnready  State = "unready"
	StateRefusing State = "refusing"
	StateDone     State = "done"
)

// Reason says why work is refused; [Admission.Failure] carries it, too.
type Reason string

// The reasons for a refusal.
const (
	ReasonConfigUnknown      Reason = "config_unknown"
	ReasonConfigOfUnknownAge Reason = "config_of_unknown_age"
	ReasonStopping           Reason = "stopping"
	ReasonLeavingByLabel     Reason = "leaving_by_label"
	ReasonLeavingByVMList    Reason = "leaving_by_vm_list"
	ReasonUnderOrder         Reason = "target_under_order"
	ReasonForbiddenByConfig  Reason = "forbidden_by_config"
)

// Request describes a request for admission.
type Request struct {
	revision  int64
	forbidden bool
}

// NewRequest returns a request that was routed under a config revision.
// Forbidden says that the receiver's own config forbids this kind of work.
func NewRequest(revision int64, forbidden bool) Request {
	return Request{revision: revision, forbidden: forbidden}
}

// Admission is the decision on a [Request].
type Admission struct {
	reason     Reason
	behind     bool
	retryAfter kumquatlug.Millis
}

// Accepted reports whether the request is accepted; [Drain.End] must follow then.
func (a Admission) Accepted() bool { return a.reason == "" }

// Reason returns why the request is refused; it is empty if it is accepted.
func (a Admission) Reason() Reason { return a.reason }

// ReceiverBehind reports whether the receiver has a lower config revision than the
// sender; the receiver should pull the changes at once.
func (a Admission) ReceiverBehind() bool { return a.behind }

// Failure returns the refusal as an error for the sender, nil if the request is
// accepted. The error is marked as not-run: nothing was started, and no state of
// the request is kept.
func (a Admission) Failure() error {
	if a.Accepted() {
		return nil
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "admit", Reason: string(a.reason), Execution: kumquatlug.NotExecuted,
		Status: http.StatusServiceUnavailable, RetryAfter: a.retryAfter, Cause: kumquatlug.ErrUnavailable,
	})
}

// Drain is the state machine of the shutdown of one process. It is not safe for
// concurrent use: its owner serializes all calls by one loop or a lock.
type Drain struct {
	config          Config
	inFlight        int
	stopping        bool
	leavingByLabel  bool
	revision        int64
	leavingByList   bool
	underOrder      bool
	leaving         bool
	leavingSince    kumquatlug.Millis
	listedLiveSince kumquatlug.Millis
	settling        bool
	lastContactAt   kumquatlug.Millis
	refreshed       bool
}

// New returns a drain in [StateStarting].
func New(c Config) *Drain {
	c.SettleTime = cmp.Or(c.SettleTime, DefaultSettleTime)
	return &Drain{config: c}
}

// Stop begins a planned stop. It can't be revoked.
func (d *Drain) Stop(now kumquatlug.Millis) {
	d.stopping = true
	d.updateLeaving(now)
}

// HeartbeatReceived records a heartbeat of a peer. The config and the VM state that it
// carried must be set before. A heartbeat doesn't refresh a stale state.
func (d *Drain) HeartbeatReceived(now kumquatlug.Millis) {
	if !d.Stale(now) {
		d.lastContactAt = max(d.lastContactAt, now)
	}
}

// Refreshed records that the state is no longer stale. The process has queried the
// table for the latest config and the platform for its VM list, at now or later,
// and has set the results. For a source that didn't respond it has set the state
// of a peer.
func (d *Drain) Refreshed(now kumquatlug.Millis) {
	d.lastContactAt = max(d.lastContactAt, now)
	d.refreshed = true
}

// Stale reports whether the state is stale, so that the process must query its
// sources before it accepts new work.
func (d *Drain) Stale(now kumquatlug.Millis) bool {
	return d.config.StaleAfter > 0 && (!d.refreshed || now-d.lastContactAt > d.config.StaleAfter)
}

// SetLeavingLabel sets whether the config labels the target as leaving, as of a revision,
// which is at least one. It is called for each new revision, also if the label
// is unchanged; a process without labels, such as a gateway, passes false. It
// reports whether the revision is new. One that isn't higher than the last is
// ignored.
func (d *Drain) SetLeavingLabel(revision int64, leaving bool, now kumquatlug.Millis) bool {
	if revision <= d.revision {
		return false
	}
	d.revision = revision
	d.leavingByLabel = leaving
	d.updateLeaving(now)
	return true
}

// SetVMState sets the state of the VM according to the platform's VM list.
func (d *Drain) SetVMState(state kumquatlug.VMState, now kumquatlug.Millis) {
	switch {
	case state == kumquatlug.VMLeaving:
		d.leavingByList = true
		d.settling = false
	case d.leavingByList && !d.settling:
		d.settling = true
		d.listedLiveSince = now
	case d.leavingByList && now-d.listedLiveSince >= d.config.SettleTime:
		d.leavingByList = false
		d.settling = false
	}
	d.updateLeaving(now)
}

// SetUnderOrder sets whether an order takes the target offline, as a change of role does.
// The order may be executed in [StateDone].
func (d *Drain) SetUnderOrder(ordered bool, now kumquatlug.Millis) {
	d.underOrder = ordered
	d.updateLeaving(now)
}

func (d *Drain) updateLeaving(now kumquatlug.Millis) {
	leaving := d.stopping || d.leavingByLabel || d.leavingByList || d.underOrder
	if leaving && !d.leaving {
		d.leavingSince = now
	}
	d.leaving = leaving
}

// Begin decides whether a new request is accepted.
func (d *Drain) Begin(r Request, now kumquatlug.Millis) Admission {
	a := Admission{reason: d.refusalReason(r, now), behind: r.revision > d.revision}
	if a.Accepted() {
		d.inFlight++
		return a
	}
	a.retryAfter = d.config.RetryAfter
	return a
}

func (d *Drain) refusalReason(r Request, now kumquatlug.Millis) Reason {
	switch {
	case d.revision == 0:
		return ReasonConfigUnknown
	case d.Stale(now):
		return ReasonConfigOfUnknownAge
	case r.forbidden:
		return ReasonForbiddenByConfig
	case !d.leaving || now-d.leavingSince < d.config.RefuseDelay:
		return ""
	case d.stopping:
		return ReasonStopping
	case d.leavingByLabel:
		return ReasonLeavingByLabel
	case d.leavingByList:
		return ReasonLeavingByVMList
	default:
		return ReasonUnderOrder
	}
}

// End records the end of a request that Begin accepted. It returns an error if
// none is in flight.
func (d *Drain) End() error {
	if d.inFlight == 0 {
		return errors.AssertionFailedf("a request ended while none was in flight")
	}
	d.inFlight--
	return nil
}

// State returns the state at now.
func (d *Drain) State(now kumquatlug.Millis) State {
	switch {
	case !d.leaving && d.revision == 0:
		return StateStarting
	case !d.leaving:
		return StateServing
	case now-d.leavingSince < d.config.RefuseDelay:
		return StateUnready
	case d.inFlight > 0:
		return StateRefusing
	default:
		return StateDone
	}
}

// NextTransition returns the time until the state changes without an event, in
// milliseconds, or zero if it changes only by events.
func (d *Drain) NextTransition(now kumquatlug.Millis) kumquatlug.Millis {
	if d.State(now) != StateUnready {
		return 0
	}
	return d.leavingSince + d.config.RefuseDelay - now
}

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int { return d.inFlight }

// Revision returns the highest config revision seen.
func (d *Drain) Revision() int64 { return d.revision }
