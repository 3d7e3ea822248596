package ratelimit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Figures of shares.
const (
	// baseHolders and holdersPerRate say how many fronts hold a share of a limit: each
	// may have saved up one request, and all may send theirs at the same moment, or
	// send one more before they hear that the limit fell.
	baseHolders    = 2
	holdersPerRate = 0.5
	// minRatePerSecond is what is sent in spite of a lower limit, in requests a second: with
	// nothing sent, nobody would learn that the limit is over.
	minRatePerSecond = 0.1
	// probeInterval is how often, with as many fronts as holders, a front without a share
	// sends a request to learn whether the limit is over. It grows with the number of fronts.
	probeInterval = 10 * kumquatlug.Second
	// probeWindow is for how long it may do so each time. Later it waits for the next
	// time: else all of them would be saved up for the first surge.
	probeWindow = 1 * kumquatlug.Second
	// newGatewayFraction is the part of its share that a front uses that the others may not count yet.
	newGatewayFraction = 1.0 / 8
)

// Shares divides the limit of each worker among the fronts without a message between
// them: a front that is cut off from the others still keeps to its part.
//
// A part of less than one request is of no use, and three hundred fronts that each
// have one request saved up exceed any small limit. So only as many fronts hold a share
// of a worker's limit as it allows, the first ones in the worker's rendezvous order; the
// others use other workers.
type Shares struct {
	name     string
	hash     uint64
	gateways map[string]uint64
	newUntil kumquatlug.Millis
	// version changes with the fronts.
	version int
}

// NewShares returns shares of the front with this name. Until it has met the fronts it
// holds none.
func NewShares(name string) *Shares {
	return &Shares{name: name, hash: xxhash.Sum64String(name), gateways: map[string]uint64{}}
}

// Meet takes the names of fronts. One that was met once counts for good: a front that
// can't be seen may still reach workers.
func (s *Shares) Meet(names []string) {
	for _, name := range append(names, s.name) {
		if _, known := s.gateways[name]; !known {
			s.gateways[name] = xxhash.Sum64String(name)
			s.version++
		}
	}
}

// SetNew says that other fronts may not count this one until a moment.
func (s *Shares) SetNew(until kumquatlug.Millis) { s.newUntil = until }

// pacing is what one front may send to a worker.
type pacing struct {
	// intervalMs is the time between two requests in milliseconds, zero for never.
	intervalMs float64
	// probeOnly says that the front holds no share and only learns whether the limit is over.
	probeOnly bool
}

// pacingFor returns this front's part of a worker's limit, by the hash of the worker's name.
func (s *Shares) pacingFor(worker uint64, perSecond float64) pacing {
	if len(s.gateways) == 0 {
		return pacing{}
	}
	perSecond = max(perSecond, minRatePerSecond)
	holders := min(len(s.gateways), baseHolders+int(holdersPerRate*perSecond))
	own, ahead := rendezvous.Mix(worker^s.hash), 0
	for _, hash := range s.gateways {
		if rendezvous.Mix(worker^hash) > own {
			ahead++
		}
	}
	if ahead >= holders {
		return pacing{intervalMs: float64(probeInterval) * float64(len(s.gateways)) / float64(holders), probeOnly: true}
	}
	return pacing{intervalMs: 1000 * float64(holders) / perSecond}
}

// slowdown returns by how much the interval is longer for now.
func (s *Shares) slowdown(now kumquatlug.Millis) float64 {
	if now < s.newUntil {
		return 1 / newGatewayFraction
	}
	return 1
}

// phase spreads what fronts begin at the same moment, from 0 to 1.
func (s *Shares) phase(worker uint64) float64 {
	const bits = 53
	return float64(rendezvous.Mix(worker^s.hash)>>(64-bits)) / (1 << bits)
}
