// Package coordinator decides which front coordinates which engine: orders the prompts of
// all fronts there.
//
// It answers a load near what the engines read that comes through many fronts,
// each of which would order its own prompts alone. Fronts agree on the coordinator
// without speaking about it, by rendezvous among those that are there; each judges
// by itself who is there, by who answers. Two fronts that differ for a while have
// two coordinators for some engines, whose prompts then stand in order of arrival
// there, as all would without coordinators: that costs time and breaks nothing.
//
// What can go wrong: a coordinator that is frozen, cut off or gone is asked in vain.
// Whoever notices goes on to the next front in the order, and tries the first one
// again after a span that doubles. A front that most others don't answer is itself
// cut off; if it took itself for the coordinator of all engines, and each of the others
// did, each would give every engine prompts as if it were alone. It then asks
// nobody and goes by itself.
package coordinator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Figures of coordinators.
const (
	// minBackoff is how long a front that left a question unanswered is not asked; it
	// doubles with each in a row up to maxBackoff.
	minBackoff = 1 * kumquatlug.Second
	maxBackoff = 16 * kumquatlug.Second
	// excludeAfterTimeouts is how many questions in a row a front leaves unanswered until
	// it counts no more among those that could answer: its row outlasts it.
	excludeAfterTimeouts = 3
	// quorumFraction is the part of the other fronts that must be there.
	quorumFraction = 0.5
)

// Fronts is what one front knows of all. It belongs to one owner and is not safe
// for concurrent use. Until [Fronts.Set] was called there is no coordinator.
type Fronts struct {
	self     string
	gateways map[string]*peerState
	// stopping says that this front coordinates nothing any more.
	stopping bool
	// cache are the answers given since the last change, good until changesAt.
	cache           map[string]string
	cacheValidUntil kumquatlug.Millis
	changes         []News
}

// News is that a front was found to be away, or to be back.
type News struct {
	gateway  string
	event    string
	timeouts int
}

// Front returns which front it is.
func (n News) Front() string { return n.gateway }

// What returns what became of it.
func (n News) What() string { return n.event }

// Misses returns how many questions in a row it had left unanswered.
func (n News) Misses() int { return n.timeouts }

// News returns what was found since it was asked last.
func (f *Fronts) News() []News {
	changes := f.changes
	f.changes = nil
	return changes
}

// peerState is what is known of one front.
type peerState struct {
	hash         uint64
	timeouts     int
	backoffUntil kumquatlug.Millis
	excluded     bool
}

var _ kumquatlug.Coordinators = (*Fronts)(nil)

// New returns what the front with this name knows at its start.
func New(self string) *Fronts {
	return &Fronts{self: self, gateways: map[string]*peerState{}, cache: map[string]string{}}
}

// Set takes the names of all fronts, this one among them.
func (f *Fronts) Set(names []string) {
	gateways := map[string]*peerState{f.self: newPeerState(f.self)}
	for _, name := range names {
		gateways[name] = newPeerState(name)
		if previous, known := f.gateways[name]; known {
			gateways[name] = previous
		}
	}
	f.gateways = gateways
	f.clearCache()
}

func newPeerState(name string) *peerState { return &peerState{hash: xxhash.Sum64String(name)} }

// Add takes a front that made itself known.
func (f *Fronts) Add(name string) {
	if _, known := f.gateways[name]; !known && len(f.gateways) > 0 {
		f.gateways[name] = newPeerState(name)
		f.clearCache()
	}
	f.Answered(name)
}

// Left takes that a front said that it stops.
func (f *Fronts) Left(name string) {
	if peer, known := f.gateways[name]; known {
		peer.excluded = true
		f.clearCache()
	}
}

// Leave makes this front coordinate nothing any more.
func (f *Fronts) Leave() {
	f.stopping = true
	f.clearCache()
}

func (f *Fronts) clearCache() { clear(f.cache) }

// Answered takes that a front answered.
func (f *Fronts) Answered(name string) {
	peer, known := f.gateways[name]
	if !known || peer.timeouts == 0 && !peer.excluded {
		return
	}
	f.changes = append(f.changes, News{gateway: name, event: "front back", timeouts: peer.timeouts})
	peer.timeouts, peer.backoffUntil, peer.excluded = 0, 0, false
	f.clearCache()
}

// Missed takes that a front left a question unanswered.
func (f *Fronts) Missed(now kumquatlug.Millis, name string) {
	peer, known := f.gateways[name]
	if !known || now < peer.backoffUntil {
		return
	}
	peer.backoffUntil = now + min(minBackoff<<min(peer.timeouts, 10), maxBackoff)
	peer.timeouts++
	f.changes = append(f.changes, News{gateway: name, event: "front away", timeouts: peer.timeouts})
	if peer.timeouts >= excludeAfterTimeouts && f.hasQuorum(now) {
		peer.excluded = true
	}
	f.clearCache()
}

// hasQuorum reports that enough of the other fronts are there for this one not to be
// cut off.
func (f *Fronts) hasQuorum(now kumquatlug.Millis) bool {
	others, reachable := 0, 0
	for name, peer := range f.gateways {
		if name == f.self || peer.excluded {
			continue
		}
		others++
		if now >= peer.backoffUntil {
			reachable++
		}
	}
	return float64(reachable) >= quorumFraction*float64(others)
}

// Coordinator returns the front that coordinates an engine, empty for none.
func (f *Fronts) Coordinator(now kumquatlug.Millis, engine string) string {
	if now >= f.cacheValidUntil {
		f.clearCache()
	}
	coordinator, cached := f.cache[engine]
	if !cached {
		if len(f.cache) == 0 {
			f.cacheValidUntil = f.nextRetryAt(now)
		}
		coordinator = f.choose(now, engine)
		f.cache[engine] = coordinator
	}
	return coordinator
}

// Coordinates reports that this front coordinates an engine.
func (f *Fronts) Coordinates(now kumquatlug.Millis, engine string) bool {
	return f.Coordinator(now, engine) == f.self
}

// nextRetryAt is when a front that is away is tried again.
func (f *Fronts) nextRetryAt(now kumquatlug.Millis) kumquatlug.Millis {
	next := kumquatlug.Millis(math.MaxInt64)
	for _, peer := range f.gateways {
		if now < peer.backoffUntil {
			next = min(next, peer.backoffUntil)
		}
	}
	return next
}

// choose finds the first front that is there in an engine's order.
func (f *Fronts) choose(now kumquatlug.Millis, engine string) string {
	if !f.hasQuorum(now) {
		return ""
	}
	key := xxhash.Sum64String(engine)
	coordinator, highest := "", uint64(0)
	for name, peer := range f.gateways {
		if peer.excluded || now < peer.backoffUntil || name == f.self && f.stopping {
			continue
		}
		if h := rendezvous.Mix(key ^ peer.hash); coordinator == "" || h > highest {
			coordinator, highest = name, h
		}
	}
	return coordinator
}
