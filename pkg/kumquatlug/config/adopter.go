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

// maxSources bounds the peers that a node remembers to pull from.
const maxSources = 4

// Table is the peer name that stands for the platform's table.
const Table = ""

// AgeUnknown says that a peer told a revision without telling when it was
// confirmed to be the head.
const AgeUnknown kumquatlug.Millis = -1

// Report is what a node hears of the head: from the table, or from a peer
// within a heartbeat, a load report or a request.
type Report struct {
	// Peer is who spoke, [Table] for the table itself.
	Peer string
	// Revision is what the peer holds, or the table's head.
	Revision Revision
	// Age is how long ago the peer's revision was confirmed to be the head, in
	// milliseconds: for the table, since before the read was sent. AgeUnknown
	// confirms nothing.
	Age kumquatlug.Millis
}

// Pull says what to ask and whom.
type Pull struct {
	peer  string
	since Revision
}

// Peer returns whom to ask, [Table] for the table itself.
func (p Pull) Peer() string { return p.peer }

// Since returns the revision after which changes are wanted.
func (p Pull) Since() Revision { return p.since }

// AdopterConfig is what an [Adopter] is made of.
type AdopterConfig struct {
	// Me is this node's name. Required.
	Me string
	// Start is the state that the node starts with, the highest that it could
	// get; the zero value is the empty config.
	Start State
	// Now is the time of the start.
	Now kumquatlug.Millis
	// Readers is how many nodes of a data centre poll the head, 3 by default:
	// one may be gone and one paused, and the third still reads.
	Readers int
	// MostReaders bounds how many do when nobody gets an answer, 32 by default:
	// ten data centres then cost 320 of the table's 2,000 reads a second. A
	// rack that takes all first readers with it holds no 32 of a data centre's
	// highest ranks.
	MostReaders int
	// Poll is how often a reader reads the head, 1 s by default. A change is
	// then in force after at most a poll, a heartbeat of 1 s and a pull: a
	// fifth of the 16 s allowed.
	Poll kumquatlug.Millis
	// Widen is the age of the head at which twice as many nodes read it, and
	// twice as many again after the same time, 2 s by default: above a poll
	// and a heartbeat, so that it is seen only when readers fail. Six first
	// readers after 2 s and 32 after 8 s stay within 16 s.
	Widen kumquatlug.Millis
	// Alone is the age of the head from which any node may read it by itself,
	// 4 s by default: one that no peer speaks to would else never learn of a
	// change, though it reaches the table.
	Alone kumquatlug.Millis
	// AlonePoll is how often such a node reads, 10 s by default and spread over
	// as long, so that a change is in force there within 14 s. When the table
	// is out all nodes are in that state: 1,230 in a data centre ask for 123
	// reads a second beside the readers' 32, ten of these for 1,550 of the
	// table's 2,000. The wait grows to half the head's age, at most a minute,
	// so that a long outage costs a third of that.
	AlonePoll kumquatlug.Millis
	// PullTimeout is after which another peer is asked, 1 s by default.
	PullTimeout kumquatlug.Millis
	// Stale is the age of the head from which the node counts as cut off, 16 s
	// by default: the time in which every change is to be in force.
	Stale kumquatlug.Millis
	// Recent is how many changes are kept for peers that pull, 1024 by
	// default: 1.7 hours at 14,000 a day; a peer further behind gets it all.
	Recent int
}

// Adopter holds the config that is in force on a node and decides when to read
// the table and whom to pull from. It only ever goes up.
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

// NewAdopter returns an adopter that holds c.Start.
func NewAdopter(c AdopterConfig) *Adopter {
	c.Readers = standard.Int(c.Readers, defaultReaders)
	c.MostReaders = standard.Int(c.MostReaders, defaultMaxReaders)
	c.Recent = standard.Int(c.Recent, defaultMaxRecentChanges)
	c.Poll = standard.Millis(c.Poll, defaultPollInterval)
	c.Widen = standard.Millis(c.Widen, defaultReaderDoublingAge)
	c.Alone = standard.Millis(c.Alone, defaultFallbackAge)
	c.AlonePoll = standard.Millis(c.AlonePoll, defaultFallbackInterval)
	c.PullTimeout = standard.Millis(c.PullTimeout, defaultPullTimeout)
	c.Stale = standard.Millis(c.Stale, defaultStaleAge)
	return &Adopter{c: c, state: c.Start, head: c.Start.revision, headConfirmedAt: c.Now, lastPollAt: c.Now - c.AlonePoll}
}

// Holds returns the state in force on this node.
func (a *Adopter) Holds() State { return a.state }

// Head returns the highest revision that the node has heard of.
func (a *Adopter) Head() Revision { return a.head }

// Age returns how long ago the head was confirmed by any path; before the
// first word of it, how long the node has run.
func (a *Adopter) Age(now kumquatlug.Millis) kumquatlug.Millis { return now - a.headConfirmedAt }

// Stale reports that the node is cut off from the head: it serves on, and says
// so in its reports.
func (a *Adopter) Stale(now kumquatlug.Millis) bool { return a.Age(now) > a.c.Stale }

// Learned takes what was heard of the head.
func (a *Adopter) Learned(now kumquatlug.Millis, r Report) {
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

// addSource puts peer among those to pull from, first when it knows of more
// than all others.
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

// Pull returns whom to ask for what, when the node lags and no pull is in hand.
// Each call that returns true counts as sent.
func (a *Adopter) Pull(now kumquatlug.Millis) (Pull, bool) {
	if a.head <= a.state.revision || len(a.sources) == 0 {
		return Pull{}, false
	}
	if a.pullInFlight && now-a.lastPullAt < a.c.PullTimeout {
		return Pull{}, false
	}
	// The peer asked goes to the end: when it is paused or cut off the next
	// pull asks another one.
	peer := a.sources[0]
	a.sources = append(a.sources[1:len(a.sources):len(a.sources)], peer)
	a.pullInFlight, a.lastPullAt = true, now
	return Pull{peer: peer, since: a.state.revision}, true
}

// PullFailed forgets a peer that did not answer a pull, until it speaks again.
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

// Adopt takes changes in order and returns the state then in force and whether
// it changed. Those that the node holds already are passed over. A gap is an
// error marked [kumquatlug.ErrNotFound]; what came before it is kept, and the
// whole state is to be asked for.
func (a *Adopter) Adopt(changes []Change) (State, bool, error) {
	a.pullInFlight = false
	previous := a.state.revision
	for _, change := range changes {
		// An answer may come late, from a peer that lags or through a paused
		// node. Taking it for the newest would undo an accepted change.
		if change.revision <= a.state.revision {
			continue
		}
		if change.revision > a.state.revision+1 {
			return a.state, a.state.revision > previous, notFoundf("a gap between revision %d and %d", a.state.revision, change.revision)
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

// AdoptState takes a whole state and returns the state then in force and
// whether it changed. A state that is not newer is passed over.
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

// advanceHead forgets the peers to pull from once the node has caught up.
func (a *Adopter) advanceHead() {
	a.head = max(a.head, a.state.revision)
	if a.state.revision >= a.head {
		a.sources = nil
	}
}

// recordChange remembers change for peers. Half is dropped at a time, so that a change
// costs no copy of all the others.
func (a *Adopter) recordChange(change Change) {
	if len(a.recentChanges) >= 2*a.c.Recent {
		a.recentChanges = append([]Change(nil), a.recentChanges[len(a.recentChanges)-a.c.Recent:]...)
	}
	a.recentChanges = append(a.recentChanges, change)
}

// Since returns the changes after rev for a peer that pulls, and false when
// the peer is too far behind and needs the whole state. The slice must not be
// changed.
func (a *Adopter) Since(rev Revision) ([]Change, bool) {
	if rev >= a.state.revision {
		return nil, true
	}
	missing := int64(a.state.revision - rev)
	if missing > int64(len(a.recentChanges)) {
		return nil, false
	}
	return a.recentChanges[int64(len(a.recentChanges))-missing:], true
}

// Poll reports whether this node is to read the head from the table now; live
// are the nodes of its data centre that it takes for alive, itself included or
// not. Each call that returns true counts as sent.
func (a *Adopter) Poll(now kumquatlug.Millis, live []string) bool {
	if now-a.lastPollAt < a.c.Poll {
		return false
	}
	if !a.isFallbackReader(now) && !a.Reader(now, live) {
		return false
	}
	a.lastPollAt = now
	return true
}

// isFallbackReader reports whether the node is to read the head though others are chosen.
func (a *Adopter) isFallbackReader(now kumquatlug.Millis) bool {
	offset := kumquatlug.Millis(xxhash.Sum64String(a.c.Me) % uint64(a.c.AlonePoll))
	age := a.Age(now)
	interval := min(max(a.c.AlonePoll, age/2), maxFallbackInterval)
	return age >= a.c.Alone+offset && now-a.lastPollAt >= interval
}

// Reader reports whether this node is among those of its data centre that poll
// the head. When the head grows old their number doubles: the chosen ones may
// all be paused or cut off from the table while others are not.
func (a *Adopter) Reader(now kumquatlug.Millis, live []string) bool {
	readers := a.c.Readers
	for age := a.Age(now); age > a.c.Widen && readers < a.c.MostReaders; age -= a.c.Widen {
		readers = min(2*readers, a.c.MostReaders)
	}
	ownHash := xxhash.Sum64String(a.c.Me)
	higherRanked := 0
	for _, name := range live {
		if name != a.c.Me && xxhash.Sum64String(name) > ownHash {
			higherRanked++
		}
		if higherRanked >= readers {
			return false
		}
	}
	return true
}

// Check reports a setting that can't work.
func (c AdopterConfig) Check() error {
	if c.Me == "" {
		return errors.New("a node needs a name")
	}
	return nil
}
