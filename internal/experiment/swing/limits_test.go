package swing

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The load of the rate limit tests: documents and streams per two seconds, the times
// between which engines advertise limits, and the number of intervals.
const (
	limitDocuments, limitStreams = 180, 22
	limitFrom, limitUntil        = 8 * kumquatlug.Second, 40 * kumquatlug.Second
	limitIntervals               = 20
	limitPrefillEngines          = 8
)

// simulateLimits simulates a steady load while the engines from first to last advertise a
// limit. It returns the result and the mean fraction of value from then on.
func simulateLimits(gateways, first, last int, perSecond float64, seed uint64) (Result, float64) {
	config := BaseSite()
	config.Gateways, config.Coordinated = gateways, true
	load := make([]Arrivals, limitIntervals)
	for i := range load {
		load[i] = Arrivals{Documents: limitDocuments, Streams: limitStreams}
	}
	policy := Policy{PrefillEngines: limitPrefillEngines}
	for engine := first; engine <= last; engine++ {
		policy.Limits = append(policy.Limits, Limit{Engine: engine, From: limitFrom, Until: limitUntil, PerSecond: perSecond})
	}
	r := Simulate(config, load, policy, seed)
	sum, firstInterval := 0.0, int(limitFrom/intervalLength)
	for _, value := range r.ValueByInterval[firstInterval:] {
		sum += value
	}
	return r, sum / float64(limitIntervals-firstInterval)
}

// Half of the decode engines, or of the prefill engines, limit requests to a tenth of their
// usual rate. The others have spare capacity, so callers must not lose value.
func TestLimitsOfSomeEnginesDoNotReduceValue(t *testing.T) {
	for _, gateways := range []int{1, 3, 28} {
		_, baseline := simulateLimits(gateways, 0, -1, 0, 1)
		for name, engines := range map[string][2]int{"decode engines": {8, 9}, "prefill engines": {0, 3}} {
			r, value := simulateLimits(gateways, engines[0], engines[1], 4, 1)
			t.Logf("%d gateways, limits at %s: value %.3f, without limits %.3f", gateways, name, value, baseline)
			if value < baseline-0.02 || r.LimitExcess > 0 {
				t.Errorf("%d gateways, limits at %s: value %.3f, without limits %.3f, excess %.1f", gateways, name, value, baseline, r.LimitExcess)
			}
		}
	}
}

// All decode engines have rate limits, which add up to 0.4, 0.8 or 1.1 of the offered load.
// Four fifths of the allowed load must be served in time. Neither kind of request may be
// served less than the other by more than the users' rules allow, and no prompts may be
// prefilled in vain.
func TestLimitsOfAllEnginesAreFullyUsed(t *testing.T) {
	offered := float64(limitDocuments+limitStreams) / intervalLength.Duration().Seconds()
	for _, perSecond := range []float64{10, 20, 28} {
		for seed := range uint64(3) {
			r, value := simulateLimits(3, 8, 11, perSecond, seed+1)
			allowed := min(4*perSecond/offered, 1)
			t.Logf("limit %v/s, seed %d: value %.3f of %.3f, documents %.3f, streams %.3f", perSecond, seed+1, value, allowed, r.Documents, r.Streams)
			if value < 0.8*allowed || r.LimitExcess > 0 || r.WastedPrefillTokens > 50_000 {
				t.Errorf("limit %v/s, seed %d: value %.3f of %.3f, %+v", perSecond, seed+1, value, allowed, r)
			}
			if difference := r.Documents - r.Streams; difference > 0.15 || difference < -0.15 {
				t.Errorf("limit %v/s, seed %d: documents %.3f, streams %.3f", perSecond, seed+1, r.Documents, r.Streams)
			}
		}
	}
}
