package config

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// Defaults of [AdopterConfig].
const (
	defaultReaders           = 3
	defaultMaxReaders        = 32
	defaultPollInterval      = kumquatlug.Second
	defaultReaderDoublingAge = 2 * kumquatlug.Second
	defaultFallbackAge       = 4 * kumquatlug.Second
	defaultFallbackInterval  = 10 * kumquatlug.Second
	maxFallbackInterval      = kumquatlug.Minute
	defaultPullTimeout       = kumquatlug.Second
	defaultStaleAge          = 16 * kumquatlug.Second
	defaultMaxRecentChanges  = 1024
)

// maxSources bounds the list of peers to pull from.
const maxSources = 4

// TablePeer is the peer name that denotes the platform's table.
const TablePeer = ""

// AgeUnknown is the age of a report that doesn't say when the revision was last
// confirmed to be the head.
const AgeUnknown kumquatlug.Millis = -1

// HeadReport is information about the head: a read of the table, or what a peer includes
// in a heartbeat, a load report or a request.
type HeadReport struct {
	// Peer is the sender, [TablePeer] for the table itself.
	Peer string
	// Revision is the revision in force at the peer, or the table's head.
	Revision Revision
	// Age is the time in milliseconds since the peer's revision was confirmed to be
	// the head. For the table it counts from before the read was sent. AgeUnknown
	// confirms nothing.
	Age kumquatlug.Millis
}

// Pull is a request for missing changes and the peer to send it to.
type Pull struct {
	peer  string
	since Revision
}

// Peer returns the peer to pull from, [TablePeer] for the table itself.
func (p Pull) Peer() string { return p.peer }

// Since returns the revision after which changes are requested.
func (p Pull) Since() Revision { return p.since }

// AdopterConfig holds the settings of an [Adopter].
type AdopterConfig struct {
	// NodeName is this node's name. Required.
	NodeName string
	// InitialState is the initial state, the newest that the node could load; the zero
	// value is the empty config.
	InitialState State
	// Now is the start time in milliseconds.
	Now kumquatlug.Millis
	// Readers is the number of nodes of a data centre that poll the head, 3 by
	// default: with one failed and one paused, the third still reads.
	Readers int
	// MaxReaders bounds the number of readers while no read succeeds, 32 by
	// default: ten data centres then use 320 of the table's 2,000 reads a second. A
	// rack whose failure takes out all initial readers doesn't hold all of the 32
	// highest-ranked nodes of a data centre.
	MaxReaders int
	// PollInterval is the interval between a reader's reads of the head, 1 s by
	// default. A change is then in force after at most a poll, a heartbeat of 1 s and
	// a pull: a fifth of the 16 s allowed.
	PollInterval kumquatlug.Millis
	// ReaderDoublingAge is the age of the head at which the number of readers doubles;
	// it doubles again each time the same period passes. 2 s by default: a poll and a
	// heartbeat together, which the age exceeds only when readers fail. Six readers
	// after 2 s and 32 after 8 s stay within the 16 s allowed.
	ReaderDoublingAge kumquatlug.Millis
	// FallbackAge is the age of the head from which any node may read it, 4 s by
	// default. Otherwise a node that no peer contacts would never learn of a change
	// although it reaches the table.
	FallbackAge kumquatlug.Millis
	// FallbackInterval is the interval between the reads of a node whose head has
	// reached FallbackAge, 10 s by default. The first reads are spread over the same
	// period, so that a change is in force there within 14 s. While the table is
	// unavailable, all nodes are in this mode:
	// 1,230 nodes of a data centre send 123 reads a second beside the 32 of the
	// readers, and ten data centres 1,550 of the table's 2,000. The interval grows to
	// half the head's age, at most a minute, so that a long outage costs a third of
	// that.
	FallbackInterval kumquatlug.Millis
	// PullTimeout is the time after which the node pulls from another peer, 1 s by
	// default.
	PullTimeout kumquatlug.Millis
	// StaleAge is the age of the head above which the node counts as partitioned, 16 s
	// by default: the time within which every change must be in force.
	StaleAge kumquatlug.Millis
	// MaxRecentChanges is the number of changes retained for peers that pull, 1024 by
	// default: 1.7 hours at 14,000 a day. A peer further behind gets the whole state.
	MaxRecentChanges int
}

// Adopter holds the config in force on a node and decides when to read the table and
// which peer to pull from. The revision in force never decreases. It is not safe for
// concurrent use.
type Adopter struct {
	c               AdopterConfig
	state           State
	recentChanges   []Change
	head            Revision
	headConfirmedAt kumquatlug.Millis
	lastPollAt      kumquatlug.Millis
	lastPullAt      kumquatlug.Millis
	pullInFlight    bool
	sources         []string
}

// NewAdopter returns an adopter with the state c.InitialState. Zero settings take their
// defaults.
func NewAdopter(c AdopterConfig) *Adopter {
	c.Readers = standard.Int(c.Readers, defaultReaders)
	c.MaxReaders = standard.Int(c.MaxReaders, defaultMaxReaders)
	c.MaxRecentChanges = standard.Int(c.MaxRecentChanges, defaultMaxRecentChanges)
	c.PollInterval = standard.Millis(c.PollInterval, defaultPollInterval)
	c.ReaderDoublingAge = standard.Millis(c.ReaderDoublingAge, defaultReaderDoublingAge)
	c.FallbackAge = standard.Millis(c.FallbackAge, defaultFallbackAge)
	c.FallbackInterval = standard.Millis(c.FallbackInterval, defaultFallbackInterval)
	c.PullTimeout = standard.Millis(c.PullTimeout, defaultPullTimeout)
	c.StaleAge = standard.Millis(c.StaleAge, defaultStaleAge)
	return &Adopter{c: c, state: c.InitialState, head: c.InitialState.revision, headConfirmedAt: c.Now, lastPollAt: c.Now - c.FallbackInterval}
}

// State returns the state in force on the node.
func (a *Adopter) State() State { return a.state }

// Head returns the highest revision known to the node.
func (a *Adopter) Head() Revision { return a.head }

// Age returns the time in milliseconds since the head was last confirmed, by the table
// or a peer. Before the first confirmation it is the node's uptime.
func (a *Adopter) Age(now kumquatlug.Millis) kumquatlug.Millis { return now - a.headConfirmedAt }

// Stale reports whether the node is partitioned: neither the table nor a peer has
// confirmed the head for StaleAge. Such a node continues to serve and includes the age
// of its head in its reports.
func (a *Adopter) Stale(now kumquatlug.Millis) bool { return a.Age(now) > a.c.StaleAge }

// ObserveReport records a report about the head.
func (a *Adopter) ObserveReport(now kumquatlug.Millis, r HeadReport) {
	if r.Revision > a.state.revision {
		a.addSource(r.Peer, r.Revision > a.head)
	}
	if r.Revision < a.head {
		return
	}
	if r.Revision > a.head {
		a.head = r.Revision
	}
	if r.Age != AgeUnknown {
		a.headConfirmedAt = max(a.headConfirmedAt, now-r.Age)
	}
}

// addSource adds peer to the peers to pull from. It goes first when its revision is
// higher than any known before.
func (a *Adopter) addSource(peer string, first bool) {
	for _, p := range a.sources {
		if p == peer {
			return
		}
	}
	if first {
		a.sources = append([]string{peer}, a.sources...)
	} else {
		a.sources = append(a.sources, peer)
	}
	a.sources = a.sources[:min(len(a.sources), maxSources)]
}

// NextPull returns the next pull when the node lags behind the head and no pull is in
// flight, else false. A returned pull counts as sent.
func (a *Adopter) NextPull(now kumquatlug.Millis) (Pull, bool) {
	if a.head <= a.state.revision || len(a.sources) == 0 {
		return Pull{}, false
	}
	if a.pullInFlight && now-a.lastPullAt < a.c.PullTimeout {
		return Pull{}, false
	}
	// The peer moves to the end of the list, so that the next pull goes to another
	// one if this peer is paused or cut off.
	peer := a.sources[0]
	a.sources = append(a.sources[1:len(a.sources):len(a.sources)], peer)
	a.pullInFlight, a.lastPullAt = true, now
	return Pull{peer: peer, since: a.state.revision}, true
}

// PullFailed removes a peer whose pull failed from the peers to pull from, until its
// next report.
func (a *Adopter) PullFailed(peer string) {
	a.pullInFlight = false
	remaining := make([]string, 0, len(a.sources))
	for _, p := range a.sources {
		if p != peer {
			remaining = append(remaining, p)
		}
	}
	a.sources = remaining
}

// Adopt applies changes in revision order and returns the state then in force and
// whether it changed. It skips changes that are already applied. A missing revision is
// an error marked [kumquatlug.ErrNotFound]: the changes before it remain applied, and
// the caller must fetch the whole state.
func (a *Adopter) Adopt(changes []Change) (State, bool, error) {
	a.pullInFlight = false
	previous := a.state.revision
	for _, change := range changes {
		// A response may be late, from a peer that lags, or delayed by a pause of
		// this node. Adopting an older revision would undo an accepted change.
		if change.revision <= a.state.revision {
			continue
		}
		if change.revision > a.state.revision+1 {
			return a.state, a.state.revision > previous, notFoundf("missing changes between revision %d and %d", a.state.revision, change.revision)
		}
		next, err := a.state.Apply(change)
		if err != nil {
			return a.state, a.state.revision > previous, err
		}
		a.state = next
		a.recordChange(change)
	}
	a.advanceHead()
	return a.state, a.state.revision > previous, nil
}

// AdoptState adopts a whole state and returns the state then in force and whether it
// changed. It ignores a state that is not newer.
func (a *Adopter) AdoptState(state State) (State, bool) {
	a.pullInFlight = false
	if state.revision <= a.state.revision {
		return a.state, false
	}
	a.state = state
	a.recentChanges = nil
	a.advanceHead()
	return a.state, true
}

// advanceHead raises the head to the revision in force and clears the peers to pull
// from once the node has caught up.
func (a *Adopter) advanceHead() {
	a.head = max(a.head, a.state.revision)
	if a.state.revision >= a.head {
		a.sources = nil
	}
}

// recordChange retains change for peers that pull. The list is trimmed only when it has
// twice the retained length, so that not every change copies all the others.
func (a *Adopter) recordChange(change Change) {
	if len(a.recentChanges) >= 2*a.c.MaxRecentChanges {
		a.recentChanges = append([]Change(nil), a.recentChanges[len(a.recentChanges)-a.c.MaxRecentChanges:]...)
	}
	a.recentChanges = append(a.recentChanges, change)
}

// ChangesSince returns the changes after rev for a peer that pulls, and false when the
// peer is too far behind and needs the whole state. The caller must not modify the
// slice.
func (a *Adopter) ChangesSince(rev Revision) ([]Change, bool) {
	if rev >= a.state.revision {
		return nil, true
	}
	missing := int64(a.state.revision - rev)
	if missing > int64(len(a.recentChanges)) {
		return nil, false
	}
	return a.recentChanges[int64(len(a.recentChanges))-missing:], true
}

// ShouldPoll reports whether the node must read the head from the table now. live names
// the live nodes of its data centre, with or without itself. Each call that returns
// true counts as a read.
func (a *Adopter) ShouldPoll(now kumquatlug.Millis, live []string) bool {
	if now-a.lastPollAt < a.c.PollInterval {
		return false
	}
	if !a.isFallbackReader(now) && !a.IsReader(now, live) {
		return false
	}
	a.lastPollAt = now
	return true
}

// isFallbackReader reports whether the node must read the head although it is not among
// the chosen readers, because the head is too old.
func (a *Adopter) isFallbackReader(now kumquatlug.Millis) bool {
	offset := kumquatlug.Millis(xxhash.Sum64String(a.c.NodeName) % uint64(a.c.FallbackInterval))
	age := a.Age(now)
	interval := min(max(a.c.FallbackInterval, age/2), maxFallbackInterval)
	return age >= a.c.FallbackAge+offset && now-a.lastPollAt >= interval
}

// IsReader reports whether the node is among the readers of its data centre, which poll
// the head. The number of readers doubles as the head ages: all chosen readers may be
// paused or cut off from the table while other nodes are not.
func (a *Adopter) IsReader(now kumquatlug.Millis, live []string) bool {
	readers := a.c.Readers
	for age := a.Age(now); age > a.c.ReaderDoublingAge && readers < a.c.MaxReaders; age -= a.c.ReaderDoublingAge {
		readers = min(2*readers, a.c.MaxReaders)
	}
	ownHash := xxhash.Sum64String(a.c.NodeName)
	higherRanked := 0
	for _, name := range live {
		if name != a.c.NodeName && xxhash.Sum64String(name) > ownHash {
			higherRanked++
		}
		if higherRanked >= readers {
			return false
		}
	}
	return true
}

// Validate returns an error when NodeName is empty.
func (c AdopterConfig) Validate() error {
	if c.NodeName == "" {
		return errors.New("AdopterConfig.NodeName is required")
	}
	return nil
}
