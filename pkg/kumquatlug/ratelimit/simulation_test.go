package ratelimit

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The limits that a worker may rely on: in each window that begins settleTime after the first
// limit was stated, at most allowedFactor times the limit plus allowedExtra requests from
// gateways that have known the limit for knownFor.
const (
	settleTime    = 3 * kumquatlug.Second
	windowSpan    = 4 * kumquatlug.Second
	knownFor      = 500 * kumquatlug.Millis(1)
	allowedFactor = 1.5
	allowedExtra  = 5.0
)

// division computes a gateway's share of a limit.
type division func(s *Shares, worker uint64, perSecond float64) pacing

// wholeLimit and the next three functions are the compared schemes. [Limit] uses the last one.
func wholeLimit(_ *Shares, _ uint64, perSecond float64) pacing {
	return pacing{intervalMs: 1000 / perSecond}
}

func equalShares(s *Shares, _ uint64, perSecond float64) pacing {
	return pacing{intervalMs: 1000 * float64(len(s.gateways)) / perSecond}
}

func twoGateways(s *Shares, worker uint64, perSecond float64) pacing {
	if p := s.pacingFor(worker, minRatePerSecond); p.probeOnly {
		return p
	}
	return pacing{intervalMs: baseHolders * 1000 / perSecond}
}

func rateBasedHolders(s *Shares, worker uint64, perSecond float64) pacing {
	return s.pacingFor(worker, perSecond)
}

// simulation simulates one worker and many gateways.
type simulation struct {
	gateways []*simGateway
	limit    func(now kumquatlug.Millis) (float64, bool)
	division division
	random   *rand.Rand
	// demand is the requests per second that all gateways together would send, skew the ratio
	// of the first gateway's demand to that of the last.
	demand func(now kumquatlug.Millis) float64
	skew   float64
	// sees reports whether a gateway counts another one.
	sees func(gateway, other int) bool
	// restarts reports whether a gateway restarts at a given time.
	restarts func(now kumquatlug.Millis, gateway int) bool
	// joinedAt is when a gateway starts that the others have not counted before.
	joinedAt func(gateway int) kumquatlug.Millis

	arrivals  []arrival
	limitedAt kumquatlug.Millis
}

type simGateway struct {
	shares    *Shares
	limit     *Limit
	limitedAt kumquatlug.Millis
	pending   []pendingResponse
}

// pendingResponse is a response in transit.
type pendingResponse struct {
	arrivesAt kumquatlug.Millis
	response  Response
}

type arrival struct {
	at      kumquatlug.Millis
	counted bool
	limit   float64
}

const worker = "i-1"

var seeds = flag.Uint64("seeds", 1, "number of seeds to run the scenarios with")

func newSimulation(gateways int, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), division: rateBasedHolders, skew: 1, limitedAt: -1,
		demand:   func(kumquatlug.Millis) float64 { return 1000 },
		sees:     func(int, int) bool { return true },
		restarts: func(kumquatlug.Millis, int) bool { return false },
		joinedAt: func(int) kumquatlug.Millis { return math.MinInt64 },
	}
	s.gateways = make([]*simGateway, gateways)
	return s
}

// start starts a gateway that has the names of the other gateways but no limit.
func (s *simulation) start(now kumquatlug.Millis, gateway int) {
	g := &simGateway{shares: NewShares(fmt.Sprint("front-", gateway))}
	var names []string
	for other := range s.gateways {
		if s.sees(gateway, other) {
			names = append(names, fmt.Sprint("front-", other))
		}
	}
	g.shares.AddGateways(names)
	if s.joinedAt(gateway) >= 0 {
		g.shares.SetUncountedUntil(s.joinedAt(gateway) + 22*kumquatlug.Second)
	}
	g.limit = New(g.shares, xxhash.Sum64String(worker))
	s.gateways[gateway] = g
}

// run simulates a time span in steps of one millisecond.
func (s *simulation) run(until kumquatlug.Millis) {
	weights, sum := make([]float64, len(s.gateways)), 0.0
	for i := range s.gateways {
		weights[i] = 1 + (s.skew-1)*float64(len(s.gateways)-1-i)/float64(max(len(s.gateways)-1, 1))
		sum += weights[i]
	}
	for now := kumquatlug.Millis(0); now < until; now++ {
		for i, g := range s.gateways {
			switch {
			case now < s.joinedAt(i):
				continue
			case g == nil || s.restarts(now, i):
				s.start(now, i)
				g = s.gateways[i]
			}
			s.deliver(now, g)
			if s.random.Float64() < s.demand(now)*weights[i]/sum/1000 {
				s.send(now, g)
			}
		}
	}
}

func (s *simulation) deliver(now kumquatlug.Millis, g *simGateway) {
	g.pending = slices.DeleteFunc(g.pending, func(response pendingResponse) bool {
		if response.arrivesAt > now {
			return false
		}
		g.limit.HandleResponse(now, response.response)
		if g.limit.Limited() {
			g.limit.pacing = s.division(g.shares, g.limit.worker, g.limit.perSecond)
			if g.limitedAt == 0 {
				g.limitedAt = now
			}
		}
		return true
	})
}

// send sends a request if the gateway may. The response states the limit at the time when it
// leaves the worker, and may arrive after the next one.
func (s *simulation) send(now kumquatlug.Millis, g *simGateway) {
	if g.limit.Delay(now) > 0 {
		return
	}
	g.limit.Reserve(now)
	perSecond, limited := s.limit(now)
	stated := kumquatlug.NoRateLimit()
	if limited {
		stated = kumquatlug.NewRateLimit(perSecond)
		if s.limitedAt < 0 {
			s.limitedAt = now
		}
	}
	at := now + 1 + kumquatlug.Millis(60*s.random.ExpFloat64())
	g.pending = append(g.pending, pendingResponse{arrivesAt: at, response: Response{RateLimit: stated, SentAt: now, Processed: true}})
	s.arrivals = append(s.arrivals, arrival{
		at: now, counted: limited && g.limitedAt > 0 && now-g.limitedAt >= knownFor, limit: perSecond,
	})
}

// excess returns the number of requests above the allowed number in the worst window,
// negative if all windows are below it. A limit that changed in a window counts with its
// highest value.
func (s *simulation) excess() float64 {
	var all []arrival
	for _, a := range s.arrivals {
		if a.counted && a.at >= s.limitedAt+settleTime {
			all = append(all, a)
		}
	}
	worst, first := math.Inf(-1), 0
	for last, a := range all {
		for a.at-all[first].at >= windowSpan {
			first++
		}
		highest := 0.0
		for _, other := range all[first : last+1] {
			highest = max(highest, other.limit)
		}
		worst = max(worst, float64(last-first+1)-allowedFactor*highest*windowSpan.Duration().Seconds()-allowedExtra)
	}
	return worst
}

// rate returns the requests per second that arrived in a time span.
func (s *simulation) rate(begin, end kumquatlug.Millis) float64 {
	n := 0
	for _, a := range s.arrivals {
		if a.at >= begin && a.at < end {
			n++
		}
	}
	return float64(n) / (end - begin).Duration().Seconds()
}

// constantLimit is a limit that starts after one second.
func constantLimit(perSecond float64) func(kumquatlug.Millis) (float64, bool) {
	return func(now kumquatlug.Millis) (float64, bool) { return perSecond, now >= kumquatlug.Second }
}

// Many gateways share limits of all sizes while gateways restart, are partitioned from the
// store, learn of the limit late or join, and the limit falls, rises and ends. Together they
// must not send an overloaded worker more than its limit allows.
func TestGatewaysTogetherStayWithinLimit(t *testing.T) {
	for seed := range *seeds {
		runScenarios(t, seed+1)
	}
}

func runScenarios(t *testing.T, seed uint64) {
	t.Helper()
	second := kumquatlug.Second
	scenarios := map[string]func(sim *simulation, perSecond float64){
		"steady": func(*simulation, float64) {},
		"burst after an idle span": func(sim *simulation, _ float64) {
			sim.demand = func(now kumquatlug.Millis) float64 {
				if now > 3*second && now < 12*second {
					return 0
				}
				return 4000
			}
		},
		"limit learnt late": func(sim *simulation, perSecond float64) {
			sim.demand = func(kumquatlug.Millis) float64 { return 6 * perSecond }
		},
		"restarts": func(sim *simulation, _ float64) {
			sim.restarts = func(now kumquatlug.Millis, gateway int) bool { return gateway%2 == 0 && now > 0 && now%(3*second) == 0 }
		},
		"half don't see the new gateways": func(sim *simulation, _ float64) {
			known := (len(sim.gateways) + 1) / 2
			sim.sees = func(gateway, other int) bool { return gateway >= known || other < known }
			sim.joinedAt = func(gateway int) kumquatlug.Millis {
				if gateway >= known {
					return 2 * second
				}
				return math.MinInt64
			}
		},
		"one gateway sees half of the others": func(sim *simulation, _ float64) {
			sim.sees = func(gateway, other int) bool { return gateway != 0 || other <= len(sim.gateways)/2 }
		},
		"falls and rises": func(sim *simulation, perSecond float64) {
			sim.limit = func(now kumquatlug.Millis) (float64, bool) {
				if now/(5*second)%2 == 1 {
					return perSecond / 3, true
				}
				return perSecond, now >= second
			}
		},
		"ends and returns": func(sim *simulation, perSecond float64) {
			sim.limit = func(now kumquatlug.Millis) (float64, bool) { return perSecond, now >= second && now/(6*second)%2 == 0 }
		},
	}
	for name, scenario := range scenarios {
		for _, gateways := range []int{1, 3, 28, 120} {
			for _, perSecond := range []float64{0, 1, 4.4, 13.2, 40} {
				sim := newSimulation(gateways, seed)
				sim.limit = constantLimit(perSecond)
				scenario(sim, perSecond)
				sim.run(18 * second)
				if excess := sim.excess(); excess > 0 {
					t.Errorf("%s, %d gateways, limit %v, seed %d: %.1f requests too many", name, gateways, perSecond, seed, excess)
				}
			}
		}
	}
}

// A limit rises and later ends. If gateways kept to the old limit, the worker would be idle
// while others are overloaded.
func TestRateFollowsRaisedAndEndedLimit(t *testing.T) {
	for _, gateways := range []int{1, 3, 12} {
		sim := newSimulation(gateways, 5)
		sim.limit = func(now kumquatlug.Millis) (float64, bool) {
			if now >= 70*kumquatlug.Second {
				return 0, false
			}
			if now >= 10*kumquatlug.Second {
				return 20, true
			}
			return 2, now >= kumquatlug.Second
		}
		sim.demand = func(kumquatlug.Millis) float64 { return 200 }
		sim.run(95 * kumquatlug.Second)
		if rate := sim.rate(60*kumquatlug.Second, 70*kumquatlug.Second); rate < 16 {
			t.Errorf("%d gateways: %.1f requests/s after the limit rose to 20", gateways, rate)
		}
		if rate := sim.rate(85*kumquatlug.Second, 95*kumquatlug.Second); rate < 150 {
			t.Errorf("%d gateways: %.1f requests/s of 200 after the limit ended", gateways, rate)
		}
	}
}

// Compares schemes to divide a limit on the same load. The rejected ones exceed the limit or
// leave most of it unused.
func TestLimitDivisionSchemes(t *testing.T) {
	schemes := []struct {
		name     string
		division division
	}{{"whole limit each", wholeLimit}, {"equal shares", equalShares}, {"two gateways", twoGateways}, {"rate-based holders", rateBasedHolders}}
	for _, gateways := range []int{3, 28, 300} {
		for _, perSecond := range []float64{4.4, 13.2} {
			usedBy := map[string]float64{}
			for _, scheme := range schemes {
				sim := newSimulation(gateways, 11)
				sim.limit, sim.division, sim.skew = constantLimit(perSecond), scheme.division, 3
				sim.demand = func(now kumquatlug.Millis) float64 {
					if now > 5*kumquatlug.Second && now < 15*kumquatlug.Second {
						return 0
					}
					return 4 * perSecond * float64(max(gateways/28, 1))
				}
				sim.run(30 * kumquatlug.Second)
				excess, used := sim.excess(), sim.rate(18*kumquatlug.Second, 30*kumquatlug.Second)/perSecond
				t.Logf("%3d gateways, limit %4.1f, %-18s worst window %+7.1f, used %.2f of the limit", gateways, perSecond, scheme.name, excess, used)
				usedBy[scheme.name] = used
				if scheme.name == "rate-based holders" && (excess > 0 || used < usedBy["two gateways"]) {
					t.Errorf("%d gateways, limit %v: %.1f requests too many, used %v", gateways, perSecond, excess, usedBy)
				}
			}
		}
	}
}
