package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// simEngine simulates an engine that prefills prompts one after the other at its own
// rate.
type simEngine struct {
	rate, pairCost, fixedMs float64
	freeAt                  float64
}

// prefill returns when a prompt that is sent now has been prefilled.
func (r *simEngine) prefill(now, uncached, cached float64) float64 {
	took := uncached/r.rate + r.pairCost*uncached*(cached+uncached/2)/1e6
	r.freeAt = math.Max(r.freeAt, now) + took
	return r.freeAt + r.fixedMs
}

// countTimedOut plays half a minute of prompts at half of one engine's prefill
// capacity, half of them of another gateway. It returns how many of this gateway's
// attempts were given up while they were being prefilled: in the first three seconds,
// and later.
func countTimedOut(e simEngine, seed uint64) (early, late, sent int) {
	type pendingPrefill struct {
		ends    float64
		attempt *Attempt
	}
	const span, earlyUntil = 30_000.0, 3000.0
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 1))
	for i := range 50 {
		c, _ := p.ChooseDecode(0, Query{Prompt: chatPrompt(i)})
		p.Begin(0, c, chatPrompt(i))
	}
	random := rand.New(rand.NewPCG(seed, 3))
	every := 2 * (2890/e.rate + e.fixedMs/4)
	var inFlight []pendingPrefill
	for now, n := 1.0, 0; now < span; n++ {
		now += random.ExpFloat64() * every
		at := kumquatlug.Millis(now)
		running := inFlight[:0]
		for _, a := range inFlight {
			if a.ends <= now {
				p.End(kumquatlug.Millis(a.ends), a.attempt, OutcomeServed)
			} else {
				running = append(running, a)
			}
		}
		inFlight = running
		own := math.Min(2200*math.Exp(0.75*random.NormFloat64()), 25_000)
		if n%2 == 1 {
			e.prefill(now, own, 6300)
			continue
		}
		c := placePromptOrPanic(p, at, kumquatlug.NewPrompt(append(document(1, n).Shared(), kumquatlug.NewPart("own", int(own))), 6300+int(own), 104))
		if !c.PrefillOnly() {
			continue
		}
		attempt := p.Begin(at, c, document(1, n))
		ends := e.prefill(now, own, 6300)
		sent++
		if ends-now > float64(p.AttemptTimeout(attempt)) {
			if now < earlyUntil {
				early++
			} else {
				late++
			}
		}
		inFlight = append(inFlight, pendingPrefill{ends: ends, attempt: attempt})
	}
	return early, late, sent
}

// Engines prefill 20 tokens a ms, or 1,000, and their rate is not configured. By the
// specification of another engine, prompts would be given up while they are prefilled,
// sent again and prefilled a second time, which loads the engines further. Once the
// first seconds have shown their rate, hardly any may be given up.
func TestFewPrefillsTimeOutAtUnknownEngines(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(17))
	properties.Property("any engine", prop.ForAll(func(rate, pairs, fixed float64, seed int64) bool {
		e := simEngine{rate: math.Exp(rate), pairCost: pairs * 12 / math.Exp(rate), fixedMs: fixed}
		early, late, sent := countTimedOut(e, uint64(seed))
		if early > 8 || float64(late) > 0.03*float64(sent)+2 {
			t.Logf("%.0f tokens/ms, pair cost %.2f, fixed %.0f ms: %d early and %d later timeouts of %d", e.rate, e.pairCost, fixed, early, late, sent)
			return false
		}
		return true
	}, gen.Float64Range(math.Log(20), math.Log(1000)), gen.Float64Range(0, 1.5), gen.Float64Range(2, 30), gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
}

func placePromptOrPanic(p *Placer, now kumquatlug.Millis, prompt kumquatlug.Prompt) Choice {
	c, found := p.ChoosePrompt(now, Query{Prompt: prompt})
	if !found {
		panic("no engine")
	}
	return c
}
