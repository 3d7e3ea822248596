// Package lease decides who may give orders to a group of targets: one row a
// group in the platform's table names the holder and a fencing number that
// rises at each acquisition.
//
// The failures that it answers: a holder is paused past its lease and wakes
// still believing in it; the answer to a write is lost after the write took
// effect; the table is out; holders' clocks run apart. Without it two planners
// would move the same engines between roles, each undoing the other's work.
//
// No wall clock is compared between processes. A holder counts its lease from
// before it sent the write that won it, minus a margin. Another process counts
// from after it first saw that write, and takes over only when the same row
// has stood for the whole time to live. The write lies between the two, so the
// holder has stopped before the other one starts, however long messages take.
// A table that comes back from an older copy of itself has forgotten writes that it
// acknowledged. Who holds the lease by such a write may go on until it lapses, or until
// it meets the new era; everybody waits as long from when it first met that, and then
// acquires a new row under a number above all of earlier eras.
//
// What the time can't close is the moment between checking the lease and an
// order's arrival: the agent closes that by refusing lower fencing numbers
// (see package order).
//
// A lease that lapsed is not renewed but acquired anew, under a higher number:
// orders sent before the lapse may still be on their way, and must not mix
// with those given after it.
//
// Figures. Time to live 15 s: no role is changed for at most 15 s, a look of
// 5 s and the margin when a holder dies; requests flow meanwhile, and a role
// change takes seconds itself. Renewal each 5 s: two may fail before the lease
// lapses. Margin 1 s: two clocks that are 500 ppm off differ by 15 ms in 15 s,
// the rest is for a slow step between the check and the send.
//
// Size of a group: a node may spend 5 KB a second on control. A planner needs
// of each target some 150 bytes a second (a load report of 300 bytes each 2 s),
// so 32 targets make 4.8 KB/s at the one process that holds one group.
// 10,000 workers are 313 groups, and N groups cost the table N/5 writes a
// second, N/5 reads by holders and, with two others watching each, 2N/5 reads:
// at 313 groups 63 writes and 188 reads a second, a fifth of a table that takes
// 300 writes and a tenth of 2,000 reads.
package lease

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// Number is a fencing number. It rises at each acquisition of a group's lease
// and never falls.
type Number int64

// keyPrefix starts the keys of the leases' rows.
const keyPrefix = "lease/"

// Key returns the key of a group's row in the table.
func Key(group string) string { return keyPrefix + group }

// KeyIn returns the key in an era of the table, zero for the first. Each has a row of its
// own: a write of an earlier one that takes effect late would else meet a row that
// looks as it did then, as versions are given out again.
func KeyIn(group string, era int64) string {
	if era <= 0 {
		return Key(group)
	}
	return Key(group) + "@" + strconv.FormatInt(era, 10)
}

// Least returns the number below all that are given in an era.
func Least(era int64) Number { return Number(max(era, 0)) << eraBits }

// Action is what an intent asks of the table.
type Action string

// The actions of intents.
const (
	// ActionNone: nothing to do now.
	ActionNone Action = "none"
	// ActionRead: get the row at the intent's key.
	ActionRead Action = "read"
	// ActionAcquire, ActionRenew and ActionRelease: commit the intent's
	// transaction.
	ActionAcquire Action = "acquire"
	ActionRenew   Action = "renew"
	ActionRelease Action = "release"
)

// Intent is one request to the table.
type Intent struct {
	action   Action
	sequence int64
	key      string
	tx       kumquatlug.Tx
	record   Record
	sentAt   kumquatlug.Millis
}

// Action returns what is to be done.
func (i Intent) Action() Action { return i.action }

// Key returns the row to read.
func (i Intent) Key() string { return i.key }

// Tx returns the transaction to commit.
func (i Intent) Tx() kumquatlug.Tx { return i.tx }

// Defaults of [Config].
const (
	defaultTTL     = 15 * kumquatlug.Second
	defaultMargin  = kumquatlug.Second
	defaultRenew   = 5 * kumquatlug.Second
	defaultRetry   = kumquatlug.Second
	defaultTimeout = 2 * kumquatlug.Second
)

// Config is what a [Holder] is made of.
type Config struct {
	// Group is the group of targets. Required.
	Group string
	// Me is unique to this start of the process, as in "entry-7/01J9...": a
	// process that restarted must not take its predecessor's row for its own.
	// Required.
	Me string
	// Predecessors starts the names of earlier starts of this process, as in
	// "entry-7/". They have ended, so that their row is free at once: without it
	// a process that is killed and back within a second leaves its group without
	// a holder until its own lease has run out. Empty for none.
	Predecessors string
	// Turn is the least span between orders of two holders, zero for none: a
	// holder gives no order before the last one of another lies so far back.
	Turn kumquatlug.Millis
	// TTL is how long the row is good for after it was written, 15 s by default.
	TTL kumquatlug.Millis
	// Margin is how much earlier the holder stops and how much longer others
	// wait, 1 s by default.
	Margin kumquatlug.Millis
	// Renew is how often the holder writes and others look, 5 s by default.
	Renew kumquatlug.Millis
	// Retry is the wait after the table was out, 1 s by default, spread by a
	// quarter: at 313 groups some 300 reads a second while it is out.
	Retry kumquatlug.Millis
	// Timeout is after which an answer counts as lost, 2 s by default: two of
	// them and a retry fit between a renewal and the end of the lease.
	Timeout kumquatlug.Millis
	// Floor is a number below which none is given. Raise it when targets move
	// between groups, above every number given so far: a target would else meet
	// a new holder with a lower number than its old one's, and refuse it.
	Floor Number
}

// Holder decides for one group whether this process holds the lease and what
// to ask of the table. It is not safe for concurrent use.
type Holder struct {
	config        Config
	wanted        bool
	held          bool
	releaseDue    bool
	number        Number
	expiresAt     kumquatlug.Millis
	pending       Intent
	unconfirmed   Intent
	sequence      int64
	nextRequestAt kumquatlug.Millis
	rowVersion    int64
	rowSeenAt     kumquatlug.Millis
	// pollInterval is how often the row is looked at while another process holds it.
	pollInterval kumquatlug.Millis
	// ordersFrom is from when on orders of other holders lie a turn back.
	ordersFrom kumquatlug.Millis
	// era is that of the table; until quietUntil a holder that the table forgot with
	// its last era may believe in its lease.
	era           int64
	priorEraUntil kumquatlug.Millis
	// highestNumber is the highest number seen.
	highestNumber Number
}

// New returns a holder that holds nothing and wants the lease.
func New(c Config) (*Holder, error) {
	c.TTL = standard.Millis(c.TTL, defaultTTL)
	c.Margin = standard.Millis(c.Margin, defaultMargin)
	c.Renew = standard.Millis(c.Renew, defaultRenew)
	c.Retry = standard.Millis(c.Retry, defaultRetry)
	c.Timeout = standard.Millis(c.Timeout, defaultTimeout)
	if c.Group == "" || c.Me == "" {
		return nil, errors.New("a lease needs a group and a holder")
	}
	if c.Renew+c.Margin >= c.TTL {
		return nil, errors.Newf("a renewal each %d ms comes too late for %d ms less %d ms", c.Renew, c.TTL, c.Margin)
	}
	return &Holder{config: c, wanted: true, pollInterval: c.Renew, pending: Intent{action: ActionNone}, unconfirmed: Intent{action: ActionNone}}, nil
}

// Held returns the fencing number for orders given now, and false when this
// process may give none. Ask right before each order is sent.
func (h *Holder) Held(now kumquatlug.Millis) (Number, bool) {
	// Judged anew at each call: a process that was paused wakes at any line,
	// and what it believed before says nothing.
	return h.number, h.held && h.wanted && now < h.expiresAt
}

// MayOrder reports that this process holds the lease and that the last order of
// another holder lies a turn back.
func (h *Holder) MayOrder(now kumquatlug.Millis) bool {
	_, held := h.Held(now)
	return held && now >= h.ordersFrom
}

// Until returns when the lease ends unless it is renewed.
func (h *Holder) Until() kumquatlug.Millis { return h.expiresAt }

// Want says whether this process is to hold the lease. When it no longer is,
// Held is false from now on and the lease is given back, so that the next
// holder need not wait.
func (h *Holder) Want(wanted bool) {
	if wanted != h.wanted {
		h.nextRequestAt = 0
	}
	h.wanted = wanted
	h.releaseDue = !wanted && (h.held || h.releaseDue || h.pending.action != ActionNone || h.unconfirmed.action != ActionNone)
}

// Released reports that the lease is not wanted and was given back or is over,
// so that a planned stop may go on.
func (h *Holder) Released(now kumquatlug.Millis) bool {
	return !h.wanted && (!h.releaseDue || now >= h.expiresAt)
}

// Next returns what to ask of the table now. Hand the answer to
// [Holder.Answered]; while one is awaited, Next returns ActionNone.
func (h *Holder) Next(now kumquatlug.Millis) Intent {
	if h.pending.action != ActionNone {
		if now-h.pending.sentAt < h.config.Timeout {
			return Intent{action: ActionNone}
		}
		h.requestLost(now)
	}
	if now < h.nextRequestAt || (!h.wanted && !h.releaseDue) {
		return Intent{action: ActionNone}
	}
	return h.issue(Intent{action: ActionRead, key: KeyIn(h.config.Group, h.era)}, now)
}

func (h *Holder) issue(i Intent, now kumquatlug.Millis) Intent {
	h.sequence++
	i.sequence = h.sequence
	i.sentAt = now
	h.pending = i
	return i
}

// Answered takes the table's answer to an intent: the row of a read, or the
// error of either. It returns what to ask next, ActionNone when nothing
// follows at once.
func (h *Holder) Answered(now kumquatlug.Millis, i Intent, row kumquatlug.Row, err error) Intent {
	none := Intent{action: ActionNone}
	if i.sequence != h.pending.sequence || h.pending.action == ActionNone {
		// An answer that comes after it counted as lost: what it told is read
		// from the row instead.
		return none
	}
	if err == nil && i.action == ActionRead {
		h.pending = none
		return h.handleRow(now, row)
	}
	if err == nil {
		h.pending = none
		h.writeCommitted(now, i)
		return none
	}
	switch {
	case errors.Is(err, kumquatlug.ErrLost):
		h.requestLost(now)
	case errors.Is(err, kumquatlug.ErrConflict):
		h.pending = none
		h.nextRequestAt = now
	default:
		h.pending = none
		h.nextRequestAt = now + h.retryDelay()
	}
	return none
}

// requestLost notes a request without an answer. A write may have taken effect, so it
// is looked for in the row before anything else is done.
func (h *Holder) requestLost(now kumquatlug.Millis) {
	if h.pending.action != ActionRead {
		h.unconfirmed = h.pending
	}
	h.pending = Intent{action: ActionNone}
	h.nextRequestAt = now + h.retryDelay()
}

// retryDelay spreads the wait by a quarter, by the group's and holder's name, so
// that the holders of all groups don't come back in one moment.
func (h *Holder) retryDelay() kumquatlug.Millis {
	jitter := max(h.config.Retry/4, 1)
	seed := fmt.Sprintf("%s/%s/%d", h.config.Group, h.config.Me, h.sequence)
	return h.config.Retry + kumquatlug.Millis(xxhash.Sum64String(seed)%uint64(jitter))
}

// writeCommitted takes a write that took effect. The lease counts from before the write
// was sent: counted from its answer it would seem to last longer than others
// wait.
//
// A renewal of which the holder learns only after its lease ended here does not
// revive it: a number that this process stopped using does not come back.
func (h *Holder) writeCommitted(now kumquatlug.Millis, i Intent) {
	h.unconfirmed = Intent{action: ActionNone}
	h.nextRequestAt = i.sentAt + h.config.Renew
	if i.action == ActionRenew && now >= h.expiresAt {
		h.held = false
		h.nextRequestAt = now
		return
	}
	if i.action == ActionRelease {
		h.releaseDue = false
		return
	}
	if !h.wanted {
		h.nextRequestAt = 0
	}
	if i.action == ActionAcquire {
		h.ordersFrom = now
		if !i.record.handoverDone {
			h.ordersFrom = now + h.config.Turn
		}
	}
	h.held = true
	h.number = i.record.number
	h.highestNumber = max(h.highestNumber, h.number)
	h.expiresAt = i.sentAt + h.config.TTL - h.config.Margin
}

// Watch sets how often this process looks at the row of another holder, at least
// as long as a renewal. Where many processes watch, each may look seldom: the
// first that finds the row unchanged for its time to live takes over.
func (h *Holder) Watch(span kumquatlug.Millis) { h.pollInterval = max(span, h.config.Renew) }
