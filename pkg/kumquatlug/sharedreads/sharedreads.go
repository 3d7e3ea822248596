// Package sharedreads decides which gateways follow a table of the store and which get its
// changes from them.
//
// The load: 29 gateways that each follow the tables of the config and of the workers with
// long polls of 2.5 s make 23 calls to the store per second at rest, and one more call per
// gateway for each change. With this package, a few followers make about five, and the
// others receive changes and confirmations in datagrams.
//
// A gateway chooses its followers itself, by rendezvous hashing among the gateways that
// answer, and subscribes by asking them. No agreement is needed: where the views of gateways
// differ, a few more of them follow. A confirmation says that the store had no change after
// a version at some time. It is trusted for a bounded time and only from the gateway that
// read the store. A gateway without one reads the store itself.
package sharedreads

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Parameters for tables whose changes must be in force within 3,000 ms. The latest point is
// DefaultBound after the last confirmation, plus freezeGap for a datagram that was received
// late, plus the time of a read (240 ms at a degraded store).
const (
	// DefaultWait is how long a follower's poll waits for a change.
	DefaultWait = 1500 * kumquatlug.Millis(1)
	// DefaultBound is how long a confirmation is trusted. It exceeds DefaultWait by the
	// time of a slow response and of a repeated datagram.
	DefaultBound = 2000 * kumquatlug.Millis(1)
	// DefaultSettle is how long a newer version may be announced and not be received.
	DefaultSettle = 300 * kumquatlug.Millis(1)
	// MinGateways is the number of gateways from which reads are shared.
	MinGateways = 6
)

const (
	// freezeGap is the longest time between two calls of a running process. After a
	// longer one, datagrams that were queued meanwhile look fresh, and no confirmation
	// is accepted until they have been processed.
	freezeGap = 500 * kumquatlug.Millis(1)
	// askDelay is how long to wait for the parts that follow an announcement; they are
	// sent at the same time.
	askDelay = 30 * kumquatlug.Millis(1)
	// askTimeout is how long to wait for the answer to an ask, maxAsks is the number of
	// asks for the rows of a version, and maxUnanswered the number of asks after which a
	// follower is excluded.
	askTimeout    = 130 * kumquatlug.Millis(1)
	maxAsks       = 2
	maxUnanswered = 3
	// askMargin is how long before the end of a confirmation a follower is asked again.
	askMargin = 400 * kumquatlug.Millis(1)
	// subscribeInterval is how often a subscription is renewed, subscriptionTTL how long
	// it lasts: two renewals may be lost.
	subscribeInterval = 3000 * kumquatlug.Millis(1)
	subscriptionTTL   = 7500 * kumquatlug.Millis(1)
	// minExclusion and maxExclusion bound how long a follower that does not answer is
	// excluded.
	minExclusion = 1 * kumquatlug.Second
	maxExclusion = 32 * kumquatlug.Second
)

// Reason is why a gateway reads the store itself.
type Reason string

// The reasons.
const (
	// ReasonFollow: it follows the table for others, or reads are not shared.
	ReasonFollow Reason = "follow"
	// ReasonUnconfirmed: no follower has confirmed the version in force recently.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonDisagree: a newer version has been announced for long.
	ReasonDisagree Reason = "disagree"
	// ReasonMissing: the rows of a newer version were not received after two asks.
	ReasonMissing Reason = "missing"
	// ReasonStart: it has not read the table yet.
	ReasonStart Reason = "start"
	// ReasonRestore: the store was restored from an older copy.
	ReasonRestore Reason = "restore"
)

// Config configures a [Table].
type Config struct {
	// Self is the name of this gateway, Table the name of the table.
	Self, Table string
	// Wait, Bound and Settle default to [DefaultWait], [DefaultBound] and [DefaultSettle].
	Wait, Bound, Settle kumquatlug.Millis
	// StateOnly says that rows are transferred by other means: a newer version is not
	// asked for, and [Table.Adopt] reports that it was received.
	StateOnly bool
}

// Message is a message to a gateway: a part, an ask, or the states of the tables alone.
type Message struct {
	To   string
	Ask  *kumquatlug.TableAsk
	Part *kumquatlug.TablePart
}

// Change is a change of the rows.
type Change struct {
	// Rows are the changed rows, removed ones without a value.
	Rows []kumquatlug.Row
	// Full says that these are all rows of the table.
	Full bool
	// FromPeer says that another gateway sent them.
	FromPeer bool
}

// Read is a read of the store that is due.
type Read struct {
	Reason Reason
	// Snapshot requests the whole table. Otherwise changes after version After are
	// requested, for which the store waits for at most Wait.
	Snapshot bool
	After    int64
	Wait     kumquatlug.Millis
}

// Table is the state of one table at one gateway. It is not safe for concurrent use. All
// times are by a clock that counts the time in which the machine was suspended.
type Table struct {
	config Config
	rows   rows
	group  group
	// subscribers are the gateways to which changes are sent, by the time of their last
	// ask.
	subscribers map[string]kumquatlug.Millis
	assembly    map[string]*assembly
	// ownAt is when the store last confirmed the version in force to this gateway, valid
	// if ownValid; peerAt is when it did so to another one, which sent that here.
	ownAt, peerAt kumquatlug.Millis
	ownValid      bool
	// failing says that the last read failed. doubtAt is when a follower said that last,
	// zero if the store has confirmed something to another one since.
	failing bool
	doubtAt kumquatlug.Millis
	// snapshotDue says that the history after the version in force may be lost.
	snapshotDue bool
	// withholdUntil is the time until which nothing is confirmed or sent to others.
	withholdUntil kumquatlug.Millis
	newer         newerVersion
	// newerEra is the newest era that was announced.
	newerEra int64
	seenAt   kumquatlug.Millis
	// resumedAt is when the process last resumed after a freeze.
	resumedAt kumquatlug.Millis
	outbox    []Message
	changes   []Change
}

// newerVersion is a version that was announced and is not in force here.
type newerVersion struct {
	version int64
	from    string
	since   kumquatlug.Millis
	// confirmedAt is when the store confirmed it to the announcing gateway, zero if not.
	confirmedAt kumquatlug.Millis
	asks        int
	askedAt     kumquatlug.Millis
}

// never is a time before any event.
const never = -1 << 40

// New returns the state of a table that has not been read.
func New(c Config) *Table {
	if c.Wait == 0 {
		c.Wait, c.Bound = DefaultWait, DefaultBound
	}
	if c.Settle == 0 {
		c.Settle = DefaultSettle
	}
	return &Table{
		config: c, group: newGroup(c.Self, c.Table), subscribers: map[string]kumquatlug.Millis{}, assembly: map[string]*assembly{},
		ownAt: never, peerAt: never, resumedAt: never, withholdUntil: never, snapshotDue: true,
	}
}

// Outbox returns the messages to send since the last call.
func (t *Table) Outbox() []Message {
	out := t.outbox
	t.outbox = nil
	return out
}

// Changes returns the changes since the last call.
func (t *Table) Changes() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// Version returns the era and the version in force.
func (t *Table) Version() (era, version int64) { return t.rows.era, t.rows.version }

// SetGateways sets the gateways, including this one.
func (t *Table) SetGateways(gateways []Gateway) { t.group.set(gateways) }

// PeerJoined adds a gateway that announced itself.
func (t *Table) PeerJoined(name string) { t.group.add(name) }

// Active reports whether reads are shared.
func (t *Table) Active() bool { return len(t.group.order) >= MinGateways }

// Draining reports whether datagrams that were queued while the process was frozen may still
// arrive.
func (t *Table) Draining(now kumquatlug.Millis) bool {
	t.observe(now)
	return t.draining(now)
}

// ConfirmedAt returns the time as of which the last read of the store holds.
func (t *Table) ConfirmedAt() kumquatlug.Millis { return t.ownAt }

// Leave makes this gateway follow the table for no others.
func (t *Table) Leave() {
	t.group.leaving = true
	clear(t.subscribers)
}

// PeerLeft excludes a gateway that is shutting down.
func (t *Table) PeerLeft(now kumquatlug.Millis, name string) {
	t.group.exclude(now, name)
	delete(t.subscribers, name)
}

// observe detects that the process was frozen.
func (t *Table) observe(now kumquatlug.Millis) {
	if t.seenAt != 0 && now-t.seenAt > freezeGap {
		t.resumedAt, t.peerAt, t.ownValid = now, never, false
		t.newer.confirmedAt = 0
	}
	t.seenAt = now
}

// draining reports whether datagrams that were queued during a freeze may still arrive.
func (t *Table) draining(now kumquatlug.Millis) bool { return now-t.resumedAt < freezeGap }

// following reports whether this gateway follows the table for others.
func (t *Table) following(now kumquatlug.Millis) bool {
	for name, at := range t.subscribers {
		if now-at > subscriptionTTL {
			delete(t.subscribers, name)
		}
	}
	return len(t.subscribers) > 0 || t.group.candidate(now)
}

// NextRead returns the read of the store that is due, if any. idleWait is the wait of a
// poll while reads are not shared.
func (t *Table) NextRead(now, idleWait kumquatlug.Millis) (Read, bool) {
	t.observe(now)
	reason := t.reason(now)
	r := Read{Reason: reason, Snapshot: t.snapshotDue || reason == ReasonRestore, After: t.rows.known, Wait: idleWait}
	if t.Active() {
		// The confirmation must not become older than Wait and the time of a response.
		r.Wait = min(max(t.config.Wait-(now-t.ownAt), 0), t.config.Wait, idleWait)
	}
	return r, reason != ""
}

func (t *Table) reason(now kumquatlug.Millis) Reason {
	switch {
	case !t.rows.held:
		return ReasonStart
	case t.newerEra > t.rows.era:
		return ReasonRestore
	case !t.Active() || t.following(now):
		return ReasonFollow
	case t.newer.version > t.rows.known && t.newer.asks >= maxAsks && now-t.newer.askedAt > askTimeout:
		return ReasonMissing
	case t.newer.version > t.rows.known && now-t.newer.since > t.config.Settle:
		return ReasonDisagree
	case now-t.peerAt > t.config.Bound:
		return ReasonUnconfirmed
	}
	return ""
}

// ReadDone records a successful read that was requested at a time.
func (t *Table) ReadDone(now, requestedAt kumquatlug.Millis, r Read, era, version int64, read []kumquatlug.Row) {
	t.observe(now)
	before := t.rows.version
	if r.Snapshot {
		t.record(t.rows.replace(era, version, read), false)
	} else if era == t.rows.era {
		t.record(t.rows.applyFeed(version, read), false)
	}
	if era < t.rows.era {
		return
	}
	t.snapshotDue, t.failing = false, false
	t.ownAt = max(t.ownAt, confirmedBy(now, requestedAt, r, len(read)))
	t.ownValid = t.ownAt > t.resumedAt
	if requestedAt >= t.newer.since {
		// The store does not have what was announced.
		t.newer = newerVersion{}
	}
	t.newerEra = max(min(t.newerEra, era), 0)
	t.publish(now, before)
}

// confirmedBy returns the time as of which a response is known to hold. The store responds
// without changes only when the wait is over, and at any time after the request otherwise:
// the response may have been in transit since.
func confirmedBy(now, requestedAt kumquatlug.Millis, r Read, rows int) kumquatlug.Millis {
	if r.Snapshot || rows > 0 || now-requestedAt < r.Wait {
		return requestedAt
	}
	return requestedAt + r.Wait
}

// publish sends the changes after a version, or a confirmation, to the subscribers.
func (t *Table) publish(now kumquatlug.Millis, before int64) {
	if now < t.withholdUntil || !t.ownValid {
		return
	}
	var parts []kumquatlug.TablePart
	if t.rows.version > before && !t.config.StateOnly {
		parts = t.rows.partsAfter(t.config.Table, t.rows.era, before)
	}
	for _, name := range t.Subscribers() {
		if now-t.subscribers[name] <= subscriptionTTL {
			t.send(name, parts)
		}
	}
}

// send sends parts, or the states alone if there are none.
func (t *Table) send(to string, parts []kumquatlug.TablePart) {
	if len(parts) == 0 {
		t.outbox = append(t.outbox, Message{To: to})
	}
	for i := range parts {
		t.outbox = append(t.outbox, Message{To: to, Part: &parts[i]})
	}
}

// ReadFailed records a failed read. The next one is of the whole table, because changes
// missed meanwhile may no longer be in the store's history.
func (t *Table) ReadFailed(now kumquatlug.Millis) {
	t.observe(now)
	t.snapshotDue, t.ownValid, t.failing = true, false, true
	for _, name := range t.Subscribers() {
		t.send(name, nil)
	}
}

// DoubtAt returns when a follower last found the store unavailable, zero if another one was
// served since. Rows may have expired until then.
func (t *Table) DoubtAt() kumquatlug.Millis { return t.doubtAt }

// Pending reports whether there are changes to apply.
func (t *Table) Pending() bool { return len(t.changes) > 0 }

// Withhold makes this gateway confirm and send nothing until a time: rows that expired while
// the store was unavailable may be missing from it.
func (t *Table) Withhold(until kumquatlug.Millis) { t.withholdUntil = max(t.withholdUntil, until) }

// State returns the state to attach to messages, and whether there is one.
func (t *Table) State(now kumquatlug.Millis) (kumquatlug.TableState, bool) {
	t.observe(now)
	s := kumquatlug.TableState{Table: t.config.Table, Era: t.rows.era, Version: t.rows.version, Age: kumquatlug.AgeUnconfirmed}
	if t.failing {
		s.Age = kumquatlug.AgeFailing
	}
	if t.ownValid && now >= t.withholdUntil && now-t.ownAt <= t.config.Bound {
		s.Age = max(now-t.ownAt, 0)
	}
	return s, t.rows.held && t.Active()
}
