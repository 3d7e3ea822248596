package swing

import (
	"fmt"
	"testing"
)

// uniformLoad is 14 s of the mean load of the users' site with 44 engines. Bursts of 1.9
// times the rate alternate between documents and streams.
func uniformLoad() []Arrivals {
	load := make([]Arrivals, 7)
	for i := range load {
		load[i] = Arrivals{Documents: 424, Streams: 54}
		switch i % 4 {
		case 1:
			load[i].Documents = load[i].Documents * 19 / 10
		case 3:
			load[i].Streams = load[i].Streams * 19 / 10
		}
	}
	return load
}

// With links of 20 and 0.4 Gbit/s instead of 2,900 between engines, a cache takes 66 and 3,300
// ms, and prompts were prefilled repeatedly for transfers that don't complete. Most requests
// must be served, with repeats within the budget. Two seconds after the start, wasted
// prefills must not exceed a tenth of all.
func TestRequestsAreServedOverSlowLinks(t *testing.T) {
	for gigabits, minServed := range map[float64]float64{20: 0.70, 0.4: 0.60} {
		ignoring := UniformSite(gigabits)
		ignoring.IgnoreTransfers = true
		before := Simulate(ignoring, uniformLoad(), Policy{PrefillEngines: 26}, 1)
		t.Logf("%.1f Gbit/s, ignoring transfers: served %.3f, value %.3f, %+v", gigabits, before.Served, before.Value, before.Transfers)
		for seed := uint64(1); seed <= 2; seed++ {
			r := Simulate(UniformSite(gigabits), uniformLoad(), Policy{PrefillEngines: 26}, seed)
			t.Logf("%.1f Gbit/s, seed %d: served %.3f, value %.3f, %+v", gigabits, seed, r.Served, r.Value, r.Transfers)
			if r.Served < minServed || r.Served < before.Served+0.1 {
				t.Errorf("%.1f Gbit/s, seed %d: served %.3f, ignoring transfers %.3f", gigabits, seed, r.Served, before.Served)
			}
			if r.Transfers.RepeatExcess > 0 || r.Transfers.MaxWastedFraction > 0.1 {
				t.Errorf("%.1f Gbit/s, seed %d: %+v", gigabits, seed, r.Transfers)
			}
		}
	}
}

// While transfers are fast, learning their time must not change any choice. In the second load
// all decode slots are taken for a while, in the third requests wait for memory: first
// outputs are then late for reasons other than their transfers.
func TestFastTransfersChangeNothing(t *testing.T) {
	large := LargeSite(4)
	large.TransferTokensPerMs = UniformSite(2900).TransferTokensPerMs
	for _, c := range []struct {
		config SiteConfig
		load   []Arrivals
	}{{UniformSite(2900), uniformLoad()}, {large, LargeBurst}, {BaseSite(), BogotaScale[:12]}} {
		policy := Policy{PrefillEngines: c.config.Engines * 2 / 3}
		learned := Simulate(c.config, c.load, policy, 1)
		c.config.IgnoreTransfers = true
		ignored := Simulate(c.config, c.load, policy, 1)
		if fmt.Sprint(learned) != fmt.Sprint(ignored) {
			t.Errorf("%d engines: with learned transfer times %+v, without %+v", c.config.Engines, learned, ignored)
		}
	}
}
