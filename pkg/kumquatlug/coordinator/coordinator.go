// Package coordinator assigns each engine to one gateway, its coordinator, which orders the
// prompts of all gateways at that engine.
//
// Without coordinators each gateway would order only its own prompts, which is not enough when
// the load through many gateways is close to the prefill capacity of the engines. Gateways
// agree on the coordinator without messages, by rendezvous hashing among the gateways that are
// reachable; each judges reachability by the responses it gets. Two gateways that differ for a
// while use two coordinators for some engines. The prompts of both then run in order of
// arrival, as they would without coordinators, which costs time but is safe.
//
// A coordinator that is frozen, partitioned or shut down does not respond. A gateway that
// notices uses the next gateway in the rendezvous order, and retries the first one with
// exponential backoff. A gateway that gets no response from most others is itself partitioned.
// If each gateway in such a partition coordinated all engines, each would send prompts to
// every engine as if it were alone. It therefore uses no coordinator and orders its own
// prompts.
package coordinator

import (
	"maps"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Parameters of the reachability of gateways.
const (
	// minBackoff is how long no requests are sent to a gateway after a timeout. It doubles
	// with each consecutive timeout, up to maxBackoff.
	minBackoff = 1 * kumquatlug.Second
	maxBackoff = 16 * kumquatlug.Second
	// excludeAfterTimeouts is the number of consecutive timeouts after which a gateway is
	// excluded and no longer counts for the quorum: its row in the store outlives it.
	excludeAfterTimeouts = 3
	// quorumFraction is the fraction of the other gateways that must be reachable.
	quorumFraction = 0.5
)

// Gateways holds the gateways that are known to one gateway and chooses coordinators among them.
// There is no coordinator until [Gateways.Set] is called. It is not safe for concurrent use.
type Gateways struct {
	self     string
	gateways map[string]*peerState
	// preferred are the gateways with high-bandwidth links. Others coordinate only if none of
	// them is reachable.
	preferred map[string]bool
	// shuttingDown reports that this gateway must not coordinate any engine.
	shuttingDown bool
	// cache holds the coordinators by engine. It is valid until cacheValidUntil, and cleared
	// when a gateway changes.
	cache           map[string]string
	cacheValidUntil kumquatlug.Millis
	changes         []Change
}

// Change is a change of a gateway's reachability.
type Change struct {
	gateway  string
	event    string
	timeouts int
}

// Gateway returns the gateway's name.
func (n Change) Gateway() string { return n.gateway }

// Event returns the event: "front away" or "front back".
func (n Change) Event() string { return n.event }

// Timeouts returns the number of consecutive timeouts.
func (n Change) Timeouts() int { return n.timeouts }

// Changes returns the changes since the last call.
func (f *Gateways) Changes() []Change {
	changes := f.changes
	f.changes = nil
	return changes
}

// peerState is the state of one gateway.
type peerState struct {
	hash         uint64
	timeouts     int
	backoffUntil kumquatlug.Millis
	excluded     bool
}

var _ kumquatlug.Coordinators = (*Gateways)(nil)

// New returns the state of the gateway named self. It contains no other gateways.
func New(self string) *Gateways {
	return &Gateways{self: self, gateways: map[string]*peerState{}, cache: map[string]string{}}
}

// Set replaces the gateways; names includes this one. The state of known ones is kept.
func (f *Gateways) Set(names []string) {
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

// SetPreferred replaces the gateways that coordinate before others. On a low-bandwidth link a
// permit waits behind request bodies, and with it the engine.
func (f *Gateways) SetPreferred(names []string) {
	preferred := make(map[string]bool, len(names))
	for _, name := range names {
		preferred[name] = true
	}
	if !maps.Equal(preferred, f.preferred) {
		f.preferred = preferred
		f.clearCache()
	}
}

func newPeerState(name string) *peerState { return &peerState{hash: xxhash.Sum64String(name)} }

// Add adds a gateway that announced itself.
func (f *Gateways) Add(name string) {
	if _, known := f.gateways[name]; !known && len(f.gateways) > 0 {
		f.gateways[name] = newPeerState(name)
		f.clearCache()
	}
	f.PeerResponded(name)
}

// PeerLeft excludes a gateway that announced its shutdown.
func (f *Gateways) PeerLeft(name string) {
	if peer, known := f.gateways[name]; known {
		peer.excluded = true
		f.clearCache()
	}
}

// StopCoordinating makes this gateway stop coordinating engines.
func (f *Gateways) StopCoordinating() {
	f.shuttingDown = true
	f.clearCache()
}

func (f *Gateways) clearCache() { clear(f.cache) }

// PeerResponded records a response from a gateway.
func (f *Gateways) PeerResponded(name string) {
	peer, known := f.gateways[name]
	if !known || peer.timeouts == 0 && !peer.excluded {
		return
	}
	f.changes = append(f.changes, Change{gateway: name, event: "front back", timeouts: peer.timeouts})
	peer.timeouts, peer.backoffUntil, peer.excluded = 0, 0, false
	f.clearCache()
}

// PeerTimedOut records that a gateway did not respond in time.
func (f *Gateways) PeerTimedOut(now kumquatlug.Millis, name string) {
	peer, known := f.gateways[name]
	if !known || now < peer.backoffUntil {
		return
	}
	peer.backoffUntil = now + min(minBackoff<<min(peer.timeouts, 10), maxBackoff)
	peer.timeouts++
	f.changes = append(f.changes, Change{gateway: name, event: "front away", timeouts: peer.timeouts})
	if peer.timeouts >= excludeAfterTimeouts && f.hasQuorum(now) {
		peer.excluded = true
	}
	f.clearCache()
}

// hasQuorum reports whether enough other gateways are reachable; if not, this gateway may be
// partitioned.
func (f *Gateways) hasQuorum(now kumquatlug.Millis) bool {
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

// Coordinator returns the name of the gateway that coordinates an engine, empty if none does.
func (f *Gateways) Coordinator(now kumquatlug.Millis, engine string) string {
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

// IsCoordinator reports whether this gateway coordinates an engine.
func (f *Gateways) IsCoordinator(now kumquatlug.Millis, engine string) bool {
	return f.Coordinator(now, engine) == f.self
}

// nextRetryAt returns when the next unreachable gateway is retried.
func (f *Gateways) nextRetryAt(now kumquatlug.Millis) kumquatlug.Millis {
	next := kumquatlug.Millis(math.MaxInt64)
	for _, peer := range f.gateways {
		if now < peer.backoffUntil {
			next = min(next, peer.backoffUntil)
		}
	}
	return next
}

// choose returns the first reachable gateway in the rendezvous order of an engine.
func (f *Gateways) choose(now kumquatlug.Millis, engine string) string {
	if !f.hasQuorum(now) {
		return ""
	}
	key := xxhash.Sum64String(engine)
	coordinator, highest, preferred := "", uint64(0), false
	for name, peer := range f.gateways {
		if peer.excluded || now < peer.backoffUntil || name == f.self && f.shuttingDown || preferred && !f.preferred[name] {
			continue
		}
		h := rendezvous.Mix(key ^ peer.hash)
		if coordinator == "" || f.preferred[name] && !preferred || h > highest {
			coordinator, highest, preferred = name, h, f.preferred[name]
		}
	}
	return coordinator
}
