package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/pace"
)

// setSpeeds makes a placer know the relative times of its workers, and that one report in seven
// has a factor of 2.5. The last reports say that no worker is slowed down.
func setSpeeds(p *Placer, now kumquatlug.Millis, speeds map[string]float64) {
	for n := range 28 {
		for id := range speeds {
			factor := 1.0
			if n%7 == 0 {
				factor = 2.5
			}
			p.ReportLoad(now-3000+kumquatlug.Millis(100*n), id, kumquatlug.NewWorkerLoad(0, 0, 64).WithTimeFactor(factor))
		}
	}
	for id, relative := range speeds {
		for peer := range 8 {
			p.Speeds().Receive(now, fmt.Sprint(peer), kumquatlug.WorkerSpeed{Worker: id, RelativeTime: relative, Samples: 16})
		}
	}
}

// An engine that takes four times as long as another and owns as many prefixes is the one whose
// queue makes prompts late. And a speed that changes must move few prefixes.
func TestPrefixOwnersAreWeightedBySpeed(t *testing.T) {
	owners := func(speeds map[string]float64) map[int]string {
		p := New(Config{Zone: "a"})
		p.Sync(0, engines(8, 4))
		weights := map[string]float64{}
		for id, relative := range speeds {
			weights[id] = 1 / relative
		}
		p.SetOwnerWeights(weights)
		ownerOf := map[int]string{}
		for prefix := range 800 {
			var owner *worker
			for _, w := range p.ordered[4:] {
				if owner == nil || p.ownerScore(w, prefixKey(document(prefix, 0))) > p.ownerScore(owner, prefixKey(document(prefix, 0))) {
					owner = w
				}
			}
			ownerOf[prefix] = owner.member.Worker.ID()
		}
		return ownerOf
	}
	speeds := map[string]float64{"r0": 0.5, "r1": 2}
	for i := 2; i < 8; i++ {
		speeds[fmt.Sprint("r", i)] = 1
	}
	uneven, again := owners(speeds), owners(speeds)
	speeds["r1"] = 1
	later := owners(speeds)
	counts, moved := map[string]int{}, 0
	for prefix, owner := range uneven {
		counts[owner]++
		if again[prefix] != owner {
			t.Fatalf("gateways with the same speeds disagree about prefix %d", prefix)
		}
		if later[prefix] != owner {
			moved++
			if later[prefix] != "r1" {
				t.Fatalf("prefix %d moved from %s to %s", prefix, owner, later[prefix])
			}
		}
	}
	if counts["r0"] < 2*counts["r1"] || counts["r0"] < counts["r2"]*3/2 || moved > 100 {
		t.Errorf("prefixes by owner %v, %d moved", counts, moved)
	}
}

// A span at 250% makes a slow engine pause for longer than the route of a question permits. Such
// a stream must not go there while another engine has a slot, and must not be refused when no
// other has. Streams of a few events most likely end before a span.
func TestPauseLimitExcludesSlowDecodeEngines(t *testing.T) {
	p := New(Config{Zone: "a"})
	var members []kumquatlug.Member
	for i := range 4 {
		members = append(members, member(fmt.Sprint("g", i), "a", kumquatlug.RoleDecode, 6))
	}
	p.Sync(0, members)
	speeds := map[string]float64{"g0": 0.5, "g1": 1.3, "g2": 1.3, "g3": 1.3}
	setSpeeds(p, 10_000, speeds)
	for n := range kumquatlug.Millis(40) {
		for id, relative := range speeds {
			p.Speeds().Observe(10_000+10*n, id, pace.KindDecode, 55*relative)
		}
	}
	now := kumquatlug.Millis(10_500)
	place := func(prompt kumquatlug.Prompt, limit kumquatlug.Millis, n int) map[string]int {
		counts := map[string]int{}
		var begun []*Attempt
		for range n {
			c, found := p.ChooseDecode(now, Query{Prompt: prompt, MaxEventGap: limit})
			if !found {
				t.Fatal("no engine")
			}
			counts[c.Worker().ID()]++
			begun = append(begun, p.Begin(now, c, prompt))
		}
		for _, a := range begun {
			p.End(now, a, OutcomeNeutral)
		}
		return counts
	}
	if counts := place(chatPrompt(0), 150, 6); counts["g0"] != 6 {
		t.Errorf("streams with a limit: %v", counts)
	}
	if counts := place(chatPrompt(0), 150, 20); counts["g0"] > 8 || len(counts) != 4 {
		t.Errorf("streams with a limit and no slot left at the fast engine: %v", counts)
	}
	if counts := place(document(0, 0), 150, 12); len(counts) != 4 {
		t.Errorf("short streams: %v", counts)
	}
}

// A prompt at an engine that takes three times as long must count as late there, at the gateway
// that sends it and at the coordinator.
func TestLatenessCountsSpeed(t *testing.T) {
	for _, relative := range []float64{1, 3} {
		p := New(Config{Zone: "a", MixedPrefillPenalty: 1e9})
		p.Sync(0, engines(1, 1))
		setSpeeds(p, 10_000, map[string]float64{"r0": relative, "g0": 1})
		w := p.workers["r0"]
		one := p.prefillMs(10_000, w, 9000)
		queued := &queuedPrompt{query: Query{FirstOutputDue: 10_000 + kumquatlug.Millis(200)}, choice: Choice{effectiveTokens: 9000}}
		if late := p.willBeLate(10_000, w, queued, 0); late != (relative == 3) {
			t.Errorf("late at relative time %.0f: %v, prefill expected to take %.0f ms", relative, late, one)
		}
		c := mustPlacePrompt(t, p, 10_000, document(0, 0))
		if !c.PrefillOnly() || float64(c.Wait()) < relative*25 {
			t.Errorf("wait of %d ms at relative time %.0f", c.Wait(), relative)
		}
	}
}

// plainReplay sends 176 plain requests per second of 60 ms through 29 gateways to six workers with
// six slots, which other programs slow down in spans, and returns the mean time of a request and
// the fraction of the requests that found all slots of their worker taken.
func plainReplay(seed uint64, reported bool) (meanMs, queued float64) {
	type job struct{ end func(kumquatlug.Millis) }
	type server struct {
		relative             float64
		running              int
		waiting              []func(kumquatlug.Millis)
		slowUntil, idleUntil kumquatlug.Millis
	}
	random := rand.New(rand.NewPCG(seed, 3))
	var members []kumquatlug.Member
	servers := map[string]*server{}
	for i, relative := range []float64{0.6, 0.8, 1, 1, 1.3, 1.6} {
		id := fmt.Sprint("s", i)
		members = append(members, member(id, "a", "", 6))
		servers[id] = &server{relative: relative}
	}
	var gateways []*Placer
	for range 29 {
		p := New(Config{Zone: "a"})
		p.Sync(0, members)
		gateways = append(gateways, p)
	}
	ends := map[kumquatlug.Millis][]job{}
	sum, served, begun, waits := 0.0, 0, 0, 0
	for now := kumquatlug.Millis(1); now < 30_000; now++ {
		for _, m := range members {
			s := servers[m.Worker.ID()]
			if now >= s.idleUntil {
				s.slowUntil = now + kumquatlug.Millis(600*random.ExpFloat64())
				s.idleUntil = s.slowUntil + kumquatlug.Millis(3400*random.ExpFloat64())
			}
		}
		for _, j := range ends[now] {
			j.end(now)
		}
		delete(ends, now)
		if from := random.IntN(len(gateways)); random.Float64() < 0.176 {
			p := gateways[from]
			c, found := p.ChoosePlain(now, Query{})
			if !found {
				continue
			}
			id, arrived := c.Worker().ID(), now
			a, s := p.Begin(now, c, kumquatlug.Prompt{}), servers[c.Worker().ID()]
			begun++
			run := func(at kumquatlug.Millis) {
				s.running++
				took := 60 * s.relative * (0.8 + 0.4*random.Float64())
				if at < s.slowUntil {
					took *= 2.5
				}
				finish := at + max(kumquatlug.Millis(took), 1)
				ends[finish] = append(ends[finish], job{func(at kumquatlug.Millis) {
					s.running--
					load := kumquatlug.NewWorkerLoad(s.running, len(s.waiting), 6)
					if reported && at < s.slowUntil {
						load = load.WithTimeFactor(2.5)
					} else if reported {
						load = load.WithTimeFactor(1)
					}
					p.ReportLoad(at, id, load)
					p.End(at, a, OutcomeServed)
					if at > 10_000 {
						sum, served = sum+float64(at-arrived), served+1
					}
					if len(s.waiting) > 0 {
						next := s.waiting[0]
						s.waiting = s.waiting[1:]
						next(at)
					}
				}})
			}
			if s.running < 6 {
				run(now)
			} else {
				s.waiting = append(s.waiting, run)
				waits++
			}
		}
	}
	return sum / float64(served), float64(waits) / float64(begun)
}

// All gateways know which worker is fast at the moment. If all of them sent their requests there,
// it would have a queue while the others are idle.
func TestGatewaysDoNotHerdToTheFastestWorker(t *testing.T) {
	var before, after, queuedBefore, queuedAfter float64
	for seed := range uint64(8) {
		mean, queued := plainReplay(seed, false)
		before, queuedBefore = before+mean/8, queuedBefore+queued/8
		mean, queued = plainReplay(seed, true)
		after, queuedAfter = after+mean/8, queuedAfter+queued/8
	}
	if after > 0.9*before || queuedAfter > 0.07 {
		t.Errorf("mean time %.1f ms with speeds and %.1f ms without, %.3f and %.3f of the requests queued", after, before, queuedAfter, queuedBefore)
	}
	t.Logf("mean time %.1f ms with speeds and %.1f ms without, %.3f and %.3f of the requests queued", after, before, queuedAfter, queuedBefore)
}

// Prefill times at the engines differ by a factor of four. With equal shares of the prefixes the
// queues of the slow engines are full while the fast ones are idle, and the coordinator grants
// permits as if they were equal.
func TestUnevenEnginesServeMoreInTimeWithSpeeds(t *testing.T) {
	rate := 0.5 * 12 * prefillTokensPerMs / 3300 * 1000
	play := func(speeds bool) float64 {
		c := newGatewayCluster(29, 12, true)
		for i := range 12 {
			c.engines[fmt.Sprint("p", i)].relative = []float64{0.5, 0.7, 1, 1.2, 1.6, 2}[i%6]
		}
		c.speeds = speeds
		c.play(1, 10_000, rate)
		return c.inTime(4000, 9000)
	}
	without, with := play(false), play(true)
	t.Logf("in time: %.3f without speeds, %.3f with speeds", without, with)
	if 1-with > 0.6*(1-without) {
		t.Errorf("in time: %.3f without speeds, %.3f with speeds", without, with)
	}
}
