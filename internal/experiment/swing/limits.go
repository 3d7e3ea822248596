package swing

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/ratelimit"
)

// Limit is a rate limit that an engine advertises in its responses between two times.
type Limit struct {
	Engine      int
	From, Until kumquatlug.Millis
	// PerSecond is the number of requests per second that the engine accepts from all
	// gateways together.
	PerSecond float64
}

// The users' rules on how closely a rate limit must be observed.
const (
	// limitGracePeriod is the time from the start of a limit during which requests don't
	// count.
	limitGracePeriod = 3 * kumquatlug.Second
	// limitReactionTime is the time from the first response with a limit during which
	// requests of the gateway that received it don't count.
	limitReactionTime = 500 * kumquatlug.Millis(1)
	// An engine may receive limitTolerance times what its limit allows within
	// limitWindow, and limitBurst requests more.
	limitWindow    = 4 * kumquatlug.Second
	limitTolerance = 1.5
	limitBurst     = 5
)

// gatewayEngine identifies a gateway that has received an engine's limit.
type gatewayEngine struct {
	gateway int
	engine  *engine
}

// limitedArrival is a request that counts towards a limit.
type limitedArrival struct {
	at        kumquatlug.Millis
	perSecond float64
}

// newShares returns the rate limit shares of gateway i, whose peers are all other gateways.
func newShares(i int, config SiteConfig) *ratelimit.Shares {
	shares := ratelimit.NewShares(gatewayName(i))
	names := make([]string, config.Gateways)
	for j := range names {
		names[j] = gatewayName(j)
	}
	shares.AddGateways(names)
	return shares
}

// currentLimit returns the limit that an engine advertises now.
func (sim *simulation) currentLimit(now kumquatlug.Millis, e *engine) (Limit, kumquatlug.RateLimit) {
	for _, l := range sim.limits {
		if sim.engines[l.Engine] == e && now >= l.From && now < l.Until {
			return l, kumquatlug.NewRateLimit(l.PerSecond)
		}
	}
	return Limit{}, kumquatlug.NoRateLimit()
}

// recordLimit passes the limit in an engine's response to the gateway of the attempt.
func (sim *simulation) recordLimit(now kumquatlug.Millis, a *attempt) {
	e := sim.engineByName[a.ticket.Worker()]
	_, advertised := sim.currentLimit(now, e)
	sim.gateways[a.gateway].RecordLimit(now, a.ticket, advertised, true)
	key := gatewayEngine{gateway: a.gateway, engine: e}
	if _, seen := sim.limitSeenAt[key]; advertised.Limited() && !seen {
		sim.limitSeenAt[key] = now
	}
}

// recordArrival records a request at an engine if it counts towards the engine's limit.
func (sim *simulation) recordArrival(now kumquatlug.Millis, e *engine, a *attempt) {
	l, advertised := sim.currentLimit(now, e)
	seenAt, seen := sim.limitSeenAt[gatewayEngine{gateway: a.gateway, engine: e}]
	if advertised.Limited() && seen && now >= seenAt+limitReactionTime && now >= l.From+limitGracePeriod {
		e.limitedArrivals = append(e.limitedArrivals, limitedArrival{at: now, perSecond: l.PerSecond})
	}
}

// maxExcess returns the maximum number of requests by which a window of any engine exceeds
// what the limit allows, zero if none does.
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
