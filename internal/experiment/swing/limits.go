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
	limitNotice = 3 * kumquatlug.Second
	limitSpan   = 4 * kumquatlug.Second
	limitHeard  = 500 * kumquatlug.Millis(1)
	limitFactor = 1.5
	limitExtra  = 5
)

// hearing is a front that hears of an engine's limit.
type hearing struct {
	front  int
	engine *engine
}

// arrivalAt is a request that counts towards a limit.
type arrivalAt struct {
	at        kumquatlug.Millis
	perSecond float64
}

// sharesOf returns the shares of a front that has counted all.
func sharesOf(i int, s Sheet) *ratelimit.Shares {
	shares := ratelimit.NewShares(frontName(i))
	names := make([]string, s.Fronts)
	for k := range names {
		names[k] = frontName(k)
	}
	shares.Meet(names)
	return shares
}

// limitOf returns what an engine says of its limit.
func (w *site) limitOf(now kumquatlug.Millis, e *engine) (Limit, kumquatlug.RateLimit) {
	for _, l := range w.limits {
		if w.engines[l.Engine] == e && now >= l.From && now < l.Until {
			return l, kumquatlug.NewRateLimit(l.PerSecond)
		}
	}
	return Limit{}, kumquatlug.NoRateLimit()
}

// tellLimit tells a front what the engine of an attempt says of its limit.
func (w *site) tellLimit(now kumquatlug.Millis, j *job) {
	e := w.names[j.ticket.Worker()]
	_, says := w.limitOf(now, e)
	w.fronts[j.front].Limited(now, j.ticket, says, true)
	h := hearing{front: j.front, engine: e}
	if _, heard := w.heard[h]; says.Named() && !heard {
		w.heard[h] = now
	}
}

// noteArrival notes a request that counts towards its engine's limit.
func (w *site) noteArrival(now kumquatlug.Millis, e *engine, j *job) {
	l, says := w.limitOf(now, e)
	heard, told := w.heard[hearing{front: j.front, engine: e}]
	if says.Named() && told && now >= heard+limitHeard && now >= l.From+limitNotice {
		e.arrivals = append(e.arrivals, arrivalAt{at: now, perSecond: l.PerSecond})
	}
}

// excess is by how many requests the worst span is above what its limit allows, zero
// for none.
func (w *site) excess() float64 {
	worst := 0.0
	for _, e := range w.engines {
		first := 0
		for last, a := range e.arrivals {
			for a.at-e.arrivals[first].at >= limitSpan {
				first++
			}
			allowed := limitFactor*e.arrivals[first].perSecond*limitSpan.Duration().Seconds() + limitExtra
			worst = max(worst, float64(last-first+1)-allowed)
		}
	}
	return worst
}
