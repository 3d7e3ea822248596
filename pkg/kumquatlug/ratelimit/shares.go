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
	// leastRate is what is sent in spite of a lower limit, in requests a second: with
	// nothing sent, nobody would learn that the limit is over.
	leastRate = 0.1
	// probeSpan is how often, with as many fronts as holders, a front without a share
	// sends a request to learn whether the limit is over. It grows with the number of fronts.
	probeSpan = 10 * kumquatlug.Second
	// probeWindow is for how long it may do so each time. Later it waits for the next
	// time: else all of them would be saved up for the first surge.
	probeWindow = 1 * kumquatlug.Second
	// newPart is the part of its share that a front uses that the others may not count yet.
	newPart = 1.0 / 8
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
	me       uint64
	fronts   map[string]uint64
	newUntil kumquatlug.Millis
	// version changes with the fronts.
	version int
}

// NewShares returns shares of the front with this name. Until it has met the fronts it
// holds none.
func NewShares(me string) *Shares {
	return &Shares{name: me, me: xxhash.Sum64String(me), fronts: map[string]uint64{}}
}

// Meet takes the names of fronts. One that was met once counts for good: a front that
// can't be seen may still reach workers.
func (s *Shares) Meet(names []string) {
	for _, name := range append(names, s.name) {
		if _, known := s.fronts[name]; !known {
			s.fronts[name] = xxhash.Sum64String(name)
			s.version++
		}
	}
}

// SetNew says that other fronts may not count this one until a moment.
func (s *Shares) SetNew(until kumquatlug.Millis) { s.newUntil = until }

// part is what one front may send to a worker.
type part struct {
	// interval is the time between two requests in milliseconds, zero for never.
	interval float64
	// probes says that the front holds no share and only learns whether the limit is over.
	probes bool
}

// part returns this front's part of a worker's limit, by the hash of the worker's name.
func (s *Shares) part(worker uint64, perSecond float64) part {
	if len(s.fronts) == 0 {
		return part{}
	}
	perSecond = max(perSecond, leastRate)
	holders := min(len(s.fronts), baseHolders+int(holdersPerRate*perSecond))
	mine, before := rendezvous.Mix(worker^s.me), 0
	for _, hash := range s.fronts {
		if rendezvous.Mix(worker^hash) > mine {
			before++
		}
	}
	if before >= holders {
		return part{interval: float64(probeSpan) * float64(len(s.fronts)) / float64(holders), probes: true}
	}
	return part{interval: 1000 * float64(holders) / perSecond}
}

// slower returns by how much the interval is longer for now.
func (s *Shares) slower(now kumquatlug.Millis) float64 {
	if now < s.newUntil {
		return 1 / newPart
	}
	return 1
}

// phase spreads what fronts begin at the same moment, from 0 to 1.
func (s *Shares) phase(worker uint64) float64 {
	const bits = 53
	return float64(rendezvous.Mix(worker^s.me)>>(64-bits)) / (1 << bits)
}
