// Package drain decides when a process stops taking new work and when it, or
// the target beside it, may go.
//
// Entries and agents are stopped, and targets replaced or given another role,
// while work is in hand and more arrives. A process that ends at once cuts
// answers; one that refuses at once, while a balancer still sends it callers,
// turns each planned stop into a burst of errors; one that waits for a fixed
// time cuts whatever runs longer. And a target that is leaving gets new work
// for as long as any entry hasn't heard of it, a cut-off entry for ever.
//
// A [Drain] goes through these states:
//
//	starting  knows no config yet and refuses work as not-run
//	serving   takes work
//	unready   tells the balancer to send no more, and still takes work, since
//	          the balancer goes on sending until its own checks have failed
//	refusing  refuses new work as not-run; work in hand goes on
//	done      nothing is in hand and nothing will be
//
// Only the end of the last piece of work leads from refusing to done. There is
// no timeout: a planned stop waits, however long an answer runs.
//
// Four things make a process leave: a stop, a label, the platform's VM list,
// and an order that takes the target away for a while. Any one is enough. A
// stop is for good; after the others the process may return. The agent judges
// by its own config, so an entry that routes by an older one is refused,
// whether it is slow, paused or cut off. One that routes by a newer config is
// told so by [Admission.Behind], after which the agent pulls the changes; until
// then its own config holds.
//
// An agent hears of changes through the heartbeats of entries. One that has
// just started, or was paused and wakes, holds news of unknown age, and the
// first heartbeat to reach it may be that of a cut-off entry. Such an agent is
// silent: it takes nothing until it has itself asked the table and the list,
// as far as they answer ([Drain.Asked]). Otherwise each restart and each pause
// would let work in at a target that is leaving.
//
// A label counts by its revision, and a lower one never undoes it. The list has
// no revision, and its readers lag by different spans: one "live" after
// "leaving" may be old news, so the list must say "live", and nothing else, for
// a while before it counts.
//
// Not bounded here: an agent that hears neither of the table, nor of the list,
// nor of any peer with news serves on. It can't tell its own isolation from an
// outage of the platform, and in an outage work must go on.
package drain

import (
	"cmp"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// AgentSilence is the silence that an agent gives: two heartbeats at the pace of
// an entry with fifteen targets (2.2 s each), and every agent is asked by several
// entries, so that one that is late or lost refuses nothing; short enough to keep
// work from a leaving target after a few seconds.
const AgentSilence = 5 * kumquatlug.Second

// EntryLag is the lag that an entry behind a balancer gives. A balancer that
// checks every 5 s and takes a VM out after two failures needs 10 s; 5 s more
// cover a check that was under way and connections opened just before.
const EntryLag = 15 * kumquatlug.Second

// DefaultSettle is the default of Config.Settle. The list's lag is not stated
// by the platform; a minute is far above any that keeps such a list useful,
// and coming back is never urgent.
const DefaultSettle = 1 * kumquatlug.Minute

// Config is what a [Drain] is made of.
type Config struct {
	// Lag is how long work is still taken after the process began to leave, in
	// milliseconds. An entry gives EntryLag. An agent gives zero, to refuse at
	// once: its entries take a refusal as not-run to another target, and with a
	// lag every restart or late word would let work in at a leaving target.
	Lag kumquatlug.Millis
	// Settle is how long the VM list must say "live" after it said "leaving",
	// in milliseconds. Default 60000.
	Settle kumquatlug.Millis
	// Silence is after how long without any heartbeat the process counts as
	// silent and refuses new work, in milliseconds. Zero never does, which is
	// right for an entry: its agents judge what it sends. An agent gives
	// AgentSilence. It then takes no new work later than Silence plus a
	// heartbeat after a label, or plus the list's lag and a heartbeat after the
	// list began to say "leaving", paused and restarted or not.
	Silence kumquatlug.Millis
	// RetryAfter is told to those refused, in milliseconds. An agent leaves it
	// at zero, as its entries go elsewhere at once. An entry gives what its
	// callers need to reach another one, a second.
	RetryAfter kumquatlug.Millis
}

// State is how far a process is on its way out.
type State string

// The states, in the order in which they come.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateUnready  State = "unready"
	StateRefusing State = "refusing"
	StateDone     State = "done"
)

// Reason says why work is refused; it is the reason in the failure too.
type Reason string

// The reasons for leaving, and those of a process that may yet take work.
const (
	ReasonUnknown   Reason = "config_unknown"
	ReasonSilence   Reason = "config_of_unknown_age"
	ReasonStop      Reason = "stopping"
	ReasonLabel     Reason = "leaving_by_label"
	ReasonList      Reason = "leaving_by_vm_list"
	ReasonOrder     Reason = "target_under_order"
	ReasonForbidden Reason = "forbidden_by_config"
)

// Request is what a piece of new work says of itself.
type Request struct {
	revision  int64
	forbidden bool
}

// NewRequest returns a request that was routed under a config revision.
// Forbidden is what the receiver's own config says of its kind of work.
func NewRequest(revision int64, forbidden bool) Request {
	return Request{revision: revision, forbidden: forbidden}
}

// Admission is the answer to a request.
type Admission struct {
	reason     Reason
	behind     bool
	retryAfter kumquatlug.Millis
}

// Accepted reports whether the work is taken; End must follow then.
func (a Admission) Accepted() bool { return a.reason == "" }

// Reason returns why the work is refused, empty if it is taken.
func (a Admission) Reason() Reason { return a.reason }

// Behind reports whether the sender has a higher config revision than the
// receiver, which should pull the changes at once.
func (a Admission) Behind() bool { return a.behind }

// Failure returns the refusal as an error for the sender, nil if the work is
// taken. It is not-run: nothing was begun and the request is forgotten.
func (a Admission) Failure() error {
	if a.Accepted() {
		return nil
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "admit", Reason: string(a.reason), Ran: kumquatlug.RanNot,
		Status: http.StatusServiceUnavailable, RetryAfter: a.retryAfter, Cause: kumquatlug.ErrUnavailable,
	})
}

// Drain is one process on its way out, or not. It is not safe for concurrent
// use: one loop, or a lock of its owner, keeps its events in order.
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

// New returns a drain in StateStarting.
func New(c Config) *Drain {
	c.Settle = cmp.Or(c.Settle, DefaultSettle)
	return &Drain{config: c}
}

// Stop begins a planned stop. It can't be taken back.
func (d *Drain) Stop(now kumquatlug.Millis) {
	d.stopping = true
	d.updateLeaving(now)
}

// Heard takes a heartbeat of a peer, after what it told was given. It doesn't
// end a silence.
func (d *Drain) Heard(now kumquatlug.Millis) {
	if !d.Silent(now) {
		d.lastContactAt = max(d.lastContactAt, now)
	}
}

// Asked ends a silence. The process has asked the table for the newest config
// and the platform for its list, at now or later, and has given what they told;
// of one that didn't answer it took what a peer had.
func (d *Drain) Asked(now kumquatlug.Millis) {
	d.lastContactAt = max(d.lastContactAt, now)
	d.refreshed = true
}

// Silent reports whether the process must ask before it takes new work.
func (d *Drain) Silent(now kumquatlug.Millis) bool {
	return d.config.Silence > 0 && (!d.refreshed || now-d.lastContactAt > d.config.Silence)
}

// Label takes what the config says of the target, as of a revision, which is
// one or more. It is called for each new revision, also where the label stays
// the same, and with false by a process that has no labels, such as an entry.
// It reports whether the revision was news: one that isn't higher than the last
// is not.
func (d *Drain) Label(revision int64, leaving bool, now kumquatlug.Millis) bool {
	if revision <= d.revision {
		return false
	}
	d.revision = revision
	d.leavingByLabel = leaving
	d.updateLeaving(now)
	return true
}

// List takes what the platform's VM list says of the VM.
func (d *Drain) List(state kumquatlug.VMState, now kumquatlug.Millis) {
	switch {
	case state == kumquatlug.VMLeaving:
		d.leavingByList = true
		d.settling = false
	case d.leavingByList && !d.settling:
		d.settling = true
		d.listedLiveSince = now
	case d.leavingByList && now-d.listedLiveSince >= d.config.Settle:
		d.leavingByList = false
		d.settling = false
	}
	d.updateLeaving(now)
}

// Order begins or ends a time in which an order takes the target away, as a
// change of role does. The order may be carried out in StateDone.
func (d *Drain) Order(ordered bool, now kumquatlug.Millis) {
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

// Begin asks to take one more piece of work.
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
		return ReasonUnknown
	case d.Silent(now):
		return ReasonSilence
	case r.forbidden:
		return ReasonForbidden
	case !d.leaving || now-d.leavingSince < d.config.Lag:
		return ""
	case d.stopping:
		return ReasonStop
	case d.leavingByLabel:
		return ReasonLabel
	case d.leavingByList:
		return ReasonList
	default:
		return ReasonOrder
	}
}

// End takes the end of a piece of work that Begin accepted.
func (d *Drain) End() error {
	if d.inFlight == 0 {
		return errors.AssertionFailedf("work ended that never began")
	}
	d.inFlight--
	return nil
}

// State returns how far the process is at now.
func (d *Drain) State(now kumquatlug.Millis) State {
	switch {
	case !d.leaving && d.revision == 0:
		return StateStarting
	case !d.leaving:
		return StateServing
	case now-d.leavingSince < d.config.Lag:
		return StateUnready
	case d.inFlight > 0:
		return StateRefusing
	default:
		return StateDone
	}
}

// Wait returns how long the state lasts if no event comes, zero for as long as
// none does.
func (d *Drain) Wait(now kumquatlug.Millis) kumquatlug.Millis {
	if d.State(now) != StateUnready {
		return 0
	}
	return d.leavingSince + d.config.Lag - now
}

// Hand returns how many pieces of work are in hand.
func (d *Drain) Hand() int { return d.inFlight }

// Revision returns the highest config revision seen.
func (d *Drain) Revision() int64 { return d.revision }
