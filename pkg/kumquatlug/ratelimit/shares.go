package ratelimit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Parameters of the division of limits.
const (
	// baseHolders and holdersPerRate define how many gateways hold a share of a limit of r
	// requests per second: baseHolders + holdersPerRate*r. Each of them may have one unused
	// request, and all may send theirs at the same time, or one more before they receive a
	// lower limit.
	baseHolders    = 2
	holdersPerRate = 0.5
	// minRatePerSecond is sent even if the limit is lower: without any requests, no gateway
	// would detect that the limit ended.
	minRatePerSecond = 0.1
	// probeInterval is how often a gateway without a share sends a request to detect the end
	// of the limit, if there are as many gateways as holders. It grows in proportion to the
	// number of gateways.
	probeInterval = 10 * kumquatlug.Second
	// probeWindow is how long each probe may be sent. A gateway that misses the window waits
	// for the next one, so that unused probes don't accumulate for the first load peak.
	probeWindow = 1 * kumquatlug.Second
	// newGatewayFraction is the fraction of its share that a gateway uses while the others
	// may not count it yet.
	newGatewayFraction = 1.0 / 8
)

// Shares divides the limits of workers among the gateways without messages between them: a
// gateway that is partitioned from the others still stays within its share.
//
// A share of less than one request is of no use, and 300 gateways that have one unused
// request each exceed any small limit. Only as many gateways as the limit allows therefore
// hold a share of a worker's limit, the first ones in the worker's rendezvous order. The
// others use other workers.
type Shares struct {
	name     string
	hash     uint64
	gateways map[string]uint64
	newUntil kumquatlug.Millis
	// version changes whenever the set of gateways changes.
	version int
}

// NewShares returns the shares of the gateway with this name. It holds none until the first
// call of [Shares.AddGateways].
func NewShares(name string) *Shares {
	return &Shares{name: name, hash: xxhash.Sum64String(name), gateways: map[string]uint64{}}
}

// AddGateways adds the names of gateways. Gateways are never removed: one that is
// unreachable from here may still reach the workers.
func (s *Shares) AddGateways(names []string) {
	for _, name := range append(names, s.name) {
		if _, known := s.gateways[name]; !known {
			s.gateways[name] = xxhash.Sum64String(name)
			s.version++
		}
	}
}

// SetUncountedUntil sets the time until which other gateways may not count this one.
func (s *Shares) SetUncountedUntil(until kumquatlug.Millis) { s.newUntil = until }

// pacing is how a gateway spaces its requests to one worker.
type pacing struct {
	// intervalMs is the time between two requests in milliseconds; zero means no requests.
	intervalMs float64
	// probeOnly reports that the gateway holds no share and only probes for the end of the
	// limit.
	probeOnly bool
}

// pacingFor returns this gateway's pacing for a worker, given the hash of the worker's name.
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

// slowdown returns the factor by which intervals are currently longer.
func (s *Shares) slowdown(now kumquatlug.Millis) float64 {
	if now < s.newUntil {
		return 1 / newGatewayFraction
	}
	return 1
}

// phase returns a number from 0 to 1 that spreads the first requests of the gateways.
func (s *Shares) phase(worker uint64) float64 {
	const bits = 53
	return float64(rendezvous.Mix(worker^s.hash)>>(64-bits)) / (1 << bits)
}
