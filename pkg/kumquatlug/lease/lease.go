// Package lease implements leader election for the planner of a group of targets.
// Each group has one row in the platform's table, which names the lease holder and
// a fencing token that increases with each acquisition. Only the holder may send
// orders to the group.
//
// It handles these failures: a holder is paused past the end of its lease and
// resumes as if it still held it; the response to a write is lost after the write
// took effect; the table is unavailable; the holders' clocks drift. Without a lease
// two planners could move the same engines between roles, each undoing the other's
// changes.
//
// Wall clocks are never compared between processes. A holder measures its lease
// from before it sent the write that acquired or renewed it, minus a margin.
// Another process measures from after it first read that write, and takes over only
// once the row has stayed unchanged for the whole time to live. The write takes
// effect between the two, so the holder stops before the other process starts,
// regardless of message delays.
//
// A table that was restored from an older copy has lost writes that it
// acknowledged. The era counts these restores. A process that holds the lease by a
// lost write may continue until the lease expires or until it sees the new era.
// Every process therefore waits that long from when it first saw the new era,
// and then acquires a new row under a token above all tokens of earlier eras.
//
// Timing does not cover the interval between checking the lease and the arrival of
// an order. The agent covers it by rejecting lower fencing tokens (see package
// order).
//
// An expired lease is not renewed but acquired again, under a higher token: orders
// sent before it expired may still be in transit, and must not mix with later ones.
//
// Time to live of 15 s: when a holder fails, no role changes for at most 15 s plus a
// poll interval of 5 s and the margin; requests are served meanwhile, and a role
// change itself takes seconds. Renewal every 5 s: two renewals may fail before the
// lease expires. Margin of 1 s: clocks with a drift of 500 ppm differ by 15 ms in
// 15 s; the rest covers a slow step between the check and the send.
//
// Group size: a node may use 5 KB/s for control traffic. A planner receives about
// 150 bytes/s from each target (a load report of 300 bytes every 2 s), so 32 targets
// make 4.8 KB/s at the one process that holds one group. 10,000 workers make 313
// groups. N groups cost the table N/5 writes per second, N/5 reads by holders and,
// with two other processes polling each row, 2N/5 reads. For 313 groups that is 63
// writes and 188 reads per second: a fifth of the capacity of a table that serves
// 300 writes per second, and a tenth of one that serves 2,000 reads.
package lease

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// FencingToken is a fencing token. It increases with each acquisition of a group's lease
// and never decreases.
type FencingToken int64

// keyPrefix is the prefix of the keys of lease rows.
const keyPrefix = "lease/"

// Key returns the key of a group's row in the table's first era.
func Key(group string) string { return keyPrefix + group }

// KeyIn returns the key of a group's row in an era of the table, zero for the first.
// Each era has its own row. Versions are reused after a restore, so a delayed write of
// an earlier era could otherwise match the version of a current row.
func KeyIn(group string, era int64) string {
	if era <= 0 {
		return Key(group)
	}
	return Key(group) + "@" + strconv.FormatInt(era, 10)
}

// EraBase returns a fencing token below all that are assigned in an era.
func EraBase(era int64) FencingToken { return FencingToken(max(era, 0)) << eraBits }

// Action is the kind of request that an [Intent] makes.
type Action string

// Actions.
const (
	// ActionNone: there is nothing to do now.
	ActionNone Action = "none"
	// ActionRead: read the row at the intent's key.
	ActionRead Action = "read"
	// ActionAcquire, ActionRenew and ActionRelease: commit the intent's
	// transaction.
	ActionAcquire Action = "acquire"
	ActionRenew   Action = "renew"
	ActionRelease Action = "release"
)

// Intent is a request to the table.
type Intent struct {
	action   Action
	sequence int64
	key      string
	tx       kumquatlug.Tx
	record   Record
	sentAt   kumquatlug.Millis
}

// Action returns the kind of request.
func (i Intent) Action() Action { return i.action }

// Key returns the key of the row.
func (i Intent) Key() string { return i.key }

// Tx returns the transaction to commit, for actions other than ActionRead.
func (i Intent) Tx() kumquatlug.Tx { return i.tx }

// Defaults of [Config].
const (
	defaultTTL     = 15 * kumquatlug.Second
	defaultMargin  = kumquatlug.Second
	defaultRenew   = 5 * kumquatlug.Second
	defaultRetry   = kumquatlug.Second
	defaultTimeout = 2 * kumquatlug.Second
)

// Config configures a [Holder].
type Config struct {
	// Group is the name of the group of targets. Required.
	Group string
	// HolderID identifies this process and its current start, as in "entry-7/01J9...": a
	// restarted process must not mistake the row of its previous start for its own.
	// Required.
	HolderID string
	// PreviousIDPrefix is the common prefix of the identities of this process's earlier
	// starts, as in "entry-7/". Those starts have ended, so their row can be acquired
	// at once. Without it, a process that is killed and restarts within a second
	// leaves its group without a holder until its own lease has expired. Empty for
	// none.
	PreviousIDPrefix string
	// HandoverDelay is the least time between the last order of one holder and the
	// first order of another. Zero for none.
	HandoverDelay kumquatlug.Millis
	// TTL is how long a row is valid after it was written. Default 15 s.
	TTL kumquatlug.Millis
	// Margin is how much earlier than the TTL the holder stops, and how much longer
	// other processes wait. Default 1 s.
	Margin kumquatlug.Millis
	// RenewInterval is the interval at which the holder renews and other processes poll the
	// row. Default 5 s.
	RenewInterval kumquatlug.Millis
	// RetryDelay is the delay after a failed request, with a jitter of up to a quarter.
	// Default 1 s: 313 groups then make about 300 reads per second while the table is
	// unavailable.
	RetryDelay kumquatlug.Millis
	// Timeout is the time after which a response counts as lost. Default 2 s: two
	// timeouts and a retry fit between a renewal and the end of the lease.
	Timeout kumquatlug.Millis
	// MinFencingToken is a lower bound of the tokens to assign. When targets move between
	// groups, set it above every token assigned so far: a target would otherwise
	// reject a new holder whose token is lower than its previous holder's.
	MinFencingToken FencingToken
}

// Holder tracks for one group whether this process holds the lease, and decides
// which requests to make to the table. It is not safe for concurrent use.
type Holder struct {
	config        Config
	wanted        bool
	held          bool
	releaseDue    bool
	fencingToken  FencingToken
	expiresAt     kumquatlug.Millis
	pending       Intent
	unconfirmed   Intent
	sequence      int64
	nextRequestAt kumquatlug.Millis
	rowVersion    int64
	rowSeenAt     kumquatlug.Millis
	// pollInterval is the interval at which the row is read while another process
	// holds the lease.
	pollInterval kumquatlug.Millis
	// ordersFrom is when the handover delay ends.
	ordersFrom kumquatlug.Millis
	// era is the era of the table. A holder of the previous era, which the restored
	// table has no record of, may act under its lease until priorEraUntil.
	era           int64
	priorEraUntil kumquatlug.Millis
	// highestToken is the highest fencing token seen.
	highestToken FencingToken
}

// New returns a holder that wants the lease and does not hold it. It returns an error
// if Group or HolderID is empty, or if a renewal would come after the lease has
// expired.
func New(c Config) (*Holder, error) {
	c.TTL = standard.Millis(c.TTL, defaultTTL)
	c.Margin = standard.Millis(c.Margin, defaultMargin)
	c.RenewInterval = standard.Millis(c.RenewInterval, defaultRenew)
	c.RetryDelay = standard.Millis(c.RetryDelay, defaultRetry)
	c.Timeout = standard.Millis(c.Timeout, defaultTimeout)
	if c.Group == "" || c.HolderID == "" {
		return nil, errors.New("lease config requires Group and HolderID")
	}
	if c.RenewInterval+c.Margin >= c.TTL {
		return nil, errors.Newf("lease renewal interval of %d ms is too long for a TTL of %d ms and a margin of %d ms", c.RenewInterval, c.TTL, c.Margin)
	}
	return &Holder{config: c, wanted: true, pollInterval: c.RenewInterval, pending: Intent{action: ActionNone}, unconfirmed: Intent{action: ActionNone}}, nil
}

// Held returns the fencing token for orders sent now, and whether this process
// holds the lease. Call it right before each order is sent.
func (h *Holder) Held(now kumquatlug.Millis) (FencingToken, bool) {
	// The time is checked on every call: a process may be paused at any point, so
	// an earlier result may be outdated.
	return h.fencingToken, h.held && h.wanted && now < h.expiresAt
}

// MayOrder reports whether this process holds the lease and the handover delay since
// the last possible order of another holder has passed.
func (h *Holder) MayOrder(now kumquatlug.Millis) bool {
	_, held := h.Held(now)
	return held && now >= h.ordersFrom
}

// ExpiresAt returns when the lease expires unless it is renewed.
func (h *Holder) ExpiresAt() kumquatlug.Millis { return h.expiresAt }

// SetWanted sets whether this process should hold the lease. If it should not, Held
// returns false from now on and the lease is released, so that the next holder need
// not wait for it to expire.
func (h *Holder) SetWanted(wanted bool) {
	if wanted != h.wanted {
		h.nextRequestAt = 0
	}
	h.wanted = wanted
	h.releaseDue = !wanted && (h.held || h.releaseDue || h.pending.action != ActionNone || h.unconfirmed.action != ActionNone)
}

// Released reports whether the lease is not wanted and has been released or has
// expired, so that a planned shutdown may proceed.
func (h *Holder) Released(now kumquatlug.Millis) bool {
	return !h.wanted && (!h.releaseDue || now >= h.expiresAt)
}

// Next returns the next request to the table. Pass the response to
// [Holder.HandleResponse]; until then, or until the timeout, Next returns ActionNone.
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

// HandleResponse handles the table's response to an intent: the row of a read, or the
// error of a read or a commit. It returns the request to make next, ActionNone if
// none follows immediately.
func (h *Holder) HandleResponse(now kumquatlug.Millis, i Intent, row kumquatlug.Row, err error) Intent {
	none := Intent{action: ActionNone}
	if i.sequence != h.pending.sequence || h.pending.action == ActionNone {
		// The response arrived after its timeout. Its content is read from the row
		// instead.
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

// requestLost handles a request without a response. A write may have taken effect, so
// the row is checked for it before anything else is done.
func (h *Holder) requestLost(now kumquatlug.Millis) {
	if h.pending.action != ActionRead {
		h.unconfirmed = h.pending
	}
	h.pending = Intent{action: ActionNone}
	h.nextRequestAt = now + h.retryDelay()
}

// retryDelay returns the retry interval plus a jitter of up to a quarter, derived from
// the group's and holder's names, so that the holders of all groups don't retry at the
// same time.
func (h *Holder) retryDelay() kumquatlug.Millis {
	jitter := max(h.config.RetryDelay/4, 1)
	seed := fmt.Sprintf("%s/%s/%d", h.config.Group, h.config.HolderID, h.sequence)
	return h.config.RetryDelay + kumquatlug.Millis(xxhash.Sum64String(seed)%uint64(jitter))
}

// writeCommitted handles a write that took effect. The lease is measured from before
// the write was sent: measured from the response, it would appear to last longer than
// other processes wait.
//
// A renewal that is confirmed only after the lease has expired locally does not extend
// it: a token that this process stopped using is not used again.
func (h *Holder) writeCommitted(now kumquatlug.Millis, i Intent) {
	h.unconfirmed = Intent{action: ActionNone}
	h.nextRequestAt = i.sentAt + h.config.RenewInterval
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
			h.ordersFrom = now + h.config.HandoverDelay
		}
	}
	h.held = true
	h.fencingToken = i.record.fencingToken
	h.highestToken = max(h.highestToken, h.fencingToken)
	h.expiresAt = i.sentAt + h.config.TTL - h.config.Margin
}

// SetPollInterval sets the interval at which this process reads the row while another process
// holds the lease; it is at least the renewal interval. Where many processes poll, a
// long interval suffices: the first that finds the row unchanged for its time to live
// takes over.
func (h *Holder) SetPollInterval(span kumquatlug.Millis) {
	h.pollInterval = max(span, h.config.RenewInterval)
}
