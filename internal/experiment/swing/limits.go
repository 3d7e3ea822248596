package swing

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

// Limit is a rate that an engine names in its answers for a while.
type Limit struct {
	Engine      int
	From, Until kumquatlug.Millis
	// PerSecond is how many requests a second it takes from all fronts.
	PerSecond float64
}

// What the users' rules allow an engine that names a limit.
const (
	limitGracePeriod  = 3 * kumquatlug.Second
	limitWindow       = 4 * kumquatlug.Second
	limitReactionTime = 500 * kumquatlug.Millis(1)
	limitTolerance    = 1.5
	limitBurst        = 5
)

// gatewayEngine is a front that hears of an engine's limit.
type gatewayEngine struct {
	gateway int
	engine  *engine
}

// limitedArrival is a request that counts towards a limit.
type limitedArrival struct {
	at        kumquatlug.Millis
	perSecond float64
}

// newShares returns the shares of a front that has counted all.
func newShares(i int, config Sheet) *ratelimit.Shares {
	shares := ratelimit.NewShares(gatewayName(i))
	names := make([]string, config.Fronts)
	for j := range names {
		names[j] = gatewayName(j)
	}
	shares.Meet(names)
	return shares
}

// currentLimit returns what an engine says of its limit.
func (sim *simulation) currentLimit(now kumquatlug.Millis, e *engine) (Limit, kumquatlug.RateLimit) {
	for _, l := range sim.limits {
		if sim.engines[l.Engine] == e && now >= l.From && now < l.Until {
			return l, kumquatlug.NewRateLimit(l.PerSecond)
		}
	}
	return Limit{}, kumquatlug.NoRateLimit()
}

// recordLimit tells a front what the engine of an attempt says of its limit.
func (sim *simulation) recordLimit(now kumquatlug.Millis, a *attempt) {
	e := sim.engineByName[a.ticket.Worker()]
	_, advertised := sim.currentLimit(now, e)
	sim.gateways[a.gateway].Limited(now, a.ticket, advertised, true)
	key := gatewayEngine{gateway: a.gateway, engine: e}
	if _, seen := sim.limitSeenAt[key]; advertised.Named() && !seen {
		sim.limitSeenAt[key] = now
	}
}

// recordArrival notes a request that counts towards its engine's limit.
func (sim *simulation) recordArrival(now kumquatlug.Millis, e *engine, a *attempt) {
	l, advertised := sim.currentLimit(now, e)
	seenAt, seen := sim.limitSeenAt[gatewayEngine{gateway: a.gateway, engine: e}]
	if advertised.Named() && seen && now >= seenAt+limitReactionTime && now >= l.From+limitGracePeriod {
		e.limitedArrivals = append(e.limitedArrivals, limitedArrival{at: now, perSecond: l.PerSecond})
	}
}

// maxExcess is by how many requests the worst span is above what its limit allows, zero
// for none.
func (sim *simulation) maxExcess() float64 {
	worst := 0.0
	for _, e := range sim.engines {
		first := 0
		for last, arrival := range e.limitedArrivals {
			for arrival.at-e.limitedArrivals[first].at >= limitWindow {
				first++
			}
			allowed := limitTolerance*e.limitedArrivals[first].perSecond*limitWindow.Duration().Seconds() + limitBurst
			worst = max(worst, float64(last-first+1)-allowed)
		}
	}
	return worst
}
