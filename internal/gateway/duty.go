package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/scaling"
)

// Figures of what one front does for all.
const (
	// leaderCallTimeout bounds one call. It ends before the lease does.
	leaderCallTimeout = 500 * kumquatlug.Millis(1)
	// scaleInterval is how often the numbers of workers are looked at.
	scaleInterval = 1 * kumquatlug.Second
)

// leaseTerm returns the lease that this front holds, the zero term for none.
func (g *Gateway) leaseTerm() lease.Term {
	term := g.term.Load()
	if term == nil || !term.MayHold(g.c.Awake.Now()) {
		return lease.Term{}
	}
	return *term
}

// leaderLease returns under which name and number this front may act for all now: what it
// sends arrives before the lease can have gone to another one.
func (g *Gateway) leaderLease() (kumquatlug.Duty, bool) {
	term := g.leaseTerm()
	duty := kumquatlug.Duty{Holder: g.c.Name, Fence: int64(term.Number())}
	return duty, term.MayAct(g.c.Awake.Now(), leaderCallTimeout)
}

// serviceZone is a service in one data centre.
type serviceZone struct{ service, zone string }

// scaleServices orders the numbers of workers while this front holds the lease. All
// fronts look, so that a new holder knows the load of the last minute.
func (g *Gateway) scaleServices(ctx context.Context) {
	zones := map[serviceZone]*scaling.Zone{}
	for sleep(ctx, scaleInterval) {
		table := g.table.Load()
		if table == nil {
			continue
		}
		for _, name := range table.Services() {
			if s, _ := table.Service(name); s.Scaling().Most > 0 {
				g.scaleService(ctx, zones, s)
			}
		}
	}
}

// scaleService looks at one service in all data centres.
func (g *Gateway) scaleService(ctx context.Context, zones map[serviceZone]*scaling.Zone, s kumquatlug.Service) {
	now := g.c.Awake.Now()
	occupied := g.scheduler.occupancy(g.c.Clock.Now(), s.Name())
	for zone := range occupied {
		key := serviceZone{service: s.Name(), zone: zone}
		if _, known := zones[key]; !known {
			zones[key] = scaling.New(s.Scaling())
		}
	}
	for key, z := range zones {
		if key.service != s.Name() {
			continue
		}
		// One in which no worker is left counts as well.
		occupancy := occupied[key.zone]
		z.SetBounds(s.Scaling())
		wanted, changed := z.Look(now, scaling.View{Workers: occupancy.Workers(), Busy: occupancy.Busy()})
		duty, allowed := g.leaderLease()
		if !changed || !allowed {
			continue
		}
		call, cancel := context.WithTimeout(ctx, leaderCallTimeout.Duration())
		err := g.c.Duties.Scale(call, duty, key.service, key.zone, wanted)
		cancel()
		if err == nil {
			z.Ordered(now, wanted)
		}
		g.c.Logger.Info("workers ordered", zap.String("service", key.service), zap.String("zone", key.zone),
			zap.Int("wanted", wanted), zap.Int("workers", occupancy.Workers()), zap.Float64("busy", occupancy.Busy()),
			zap.Int64("fence", duty.Fence), logs.Error(err))
	}
}
