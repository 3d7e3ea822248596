package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/scaling"
)

// Parameters of what the leader does on behalf of all gateways.
const (
	// leaderCallTimeout is the timeout of one call. The call ends before the lease does.
	leaderCallTimeout = 500 * kumquatlug.Millis(1)
	// scaleInterval is how often the number of workers is checked.
	scaleInterval = 1 * kumquatlug.Second
)

// leaseTerm returns the lease that this gateway holds, the zero term if it holds none.
func (g *Gateway) leaseTerm() lease.Term {
	term := g.term.Load()
	if term == nil || !term.Valid(g.c.BootClock.Now()) {
		return lease.Term{}
	}
	return *term
}

// leaderLease returns the holder name and fencing token under which this gateway acts on
// behalf of all, and whether it may do so now: a call sent now arrives before the lease
// can have moved to another gateway.
func (g *Gateway) leaderLease() (kumquatlug.LeaderLease, bool) {
	term := g.leaseTerm()
	leaderLease := kumquatlug.LeaderLease{Holder: g.c.Name, FencingToken: int64(term.FencingToken())}
	return leaderLease, term.MayAct(g.c.BootClock.Now(), leaderCallTimeout)
}

// serviceZone is a service in one data centre.
type serviceZone struct{ service, zone string }

// scaleServices sets the number of workers of each service while this gateway holds the
// lease. All gateways observe the load, so that a new holder has that of the last
// minute.
func (g *Gateway) scaleServices(ctx context.Context) {
	zones := map[serviceZone]*scaling.Scaler{}
	for sleep(ctx, scaleInterval) {
		table := g.table.Load()
		if table == nil {
			continue
		}
		for _, name := range table.Services() {
			if s, _ := table.Service(name); s.Scaling().MaxWorkers > 0 {
				g.scaleService(ctx, zones, s)
			}
		}
	}
}

// scaleService checks one service in all data centres.
func (g *Gateway) scaleService(ctx context.Context, zones map[serviceZone]*scaling.Scaler, s kumquatlug.Service) {
	now := g.c.BootClock.Now()
	byZone := g.scheduler.occupancy(g.c.Clock.Now(), s.Name())
	for zone := range byZone {
		key := serviceZone{service: s.Name(), zone: zone}
		if _, known := zones[key]; !known {
			zones[key] = scaling.New(s.Scaling())
		}
	}
	for key, z := range zones {
		if key.service != s.Name() {
			continue
		}
		// A data centre without workers counts as well.
		occupancy := byZone[key.zone]
		z.SetBounds(s.Scaling())
		wanted, changed := z.Update(now, scaling.Load{Workers: occupancy.Workers(), BusyWorkers: occupancy.Busy()})
		leaderLease, allowed := g.leaderLease()
		if !changed || !allowed {
			continue
		}
		call, cancel := context.WithTimeout(ctx, leaderCallTimeout.Duration())
		err := g.c.LeaderActions.Scale(call, leaderLease, key.service, key.zone, wanted)
		cancel()
		if err == nil {
			z.RecordOrder(now, wanted)
		}
		g.c.Logger.Info("workers ordered", zap.String("service", key.service), zap.String("zone", key.zone),
			zap.Int("wanted", wanted), zap.Int("workers", occupancy.Workers()), zap.Float64("busy", occupancy.Busy()),
			zap.Int64("fence", leaderLease.FencingToken), logs.Error(err))
	}
}
