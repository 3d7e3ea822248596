package learn

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// engineModel is the true prefill time of a simulated engine.
type engineModel struct{ rate, pairCost, fixed float64 }

func (e engineModel) time(uncached, cached float64) float64 {
	return uncached/e.rate + e.pairCost*uncached*(cached+uncached/2)/pairScale + e.fixed
}

// randomPrompt draws the number of uncached and cached tokens of a long prompt.
func randomPrompt(r *rand.Rand) (uncached, cached float64) {
	return math.Min(2800*math.Exp(r.NormFloat64()*0.9), 50_000), float64(r.IntN(20_000))
}

// observePrompts records random prompts. One in four is delayed by load from another gateway,
// or finds its cached tokens evicted.
func observePrompts(e engineModel, r *PrefillEstimator, random *rand.Rand, prompts int) {
	for range prompts {
		uncached, cached := randomPrompt(random)
		took := e.time(uncached, cached) + 2*random.Float64()
		switch random.IntN(8) {
		case 0:
			took += 200 * random.Float64()
		case 1:
			took = e.time(uncached+cached, 0)
		}
		r.Observe(uncached, cached, took)
	}
}

// meanError returns the mean relative error of an estimate.
func meanError(e engineModel, r *PrefillEstimator, random *rand.Rand) float64 {
	sum := 0.0
	const prompts = 200
	for range prompts {
		uncached, cached := randomPrompt(random)
		sum += math.Abs(r.Time(uncached, cached)/e.time(uncached, cached)-1) / prompts
	}
	return sum
}

// Engines with 20 to 1,000 tokens per millisecond are not described anywhere. A gateway sees
// some eight prompts a second. Until it knows the rate, it gives up running prefills or queues
// prompts while engines are idle. The error must be below 45 % after two seconds (16 prompts)
// and below 15 % later.
func TestEstimateConvergesForAnyRate(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(11)
	properties := gopter.NewProperties(p)
	properties.Property("any rate", prop.ForAll(func(rate, pairs, fixed float64, seed int64) bool {
		e := engineModel{rate: math.Exp(rate), pairCost: pairs * 12 / math.Exp(rate), fixed: fixed}
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		r := NewPrefillEstimator(PrefillEstimatorConfig{})
		observePrompts(e, r, random, 16)
		early := meanError(e, r, random)
		observePrompts(e, r, random, 200)
		late := meanError(e, r, random)
		if early > 0.45 || late > 0.15 {
			t.Logf("%+v: mean error %.2f after 16 prompts, %.2f later; %+v", e, early, late, r.coefficients)
			return false
		}
		return true
	}, gen.Float64Range(math.Log(20), math.Log(1000)), gen.Float64Range(0, 1.5), gen.Float64Range(2, 30), gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
}

// The largest tenth of the prompts costs more per token than the others. With a constant cost
// per token, such a prompt would be considered overdue during its prefill.
func TestLongPromptsCostMorePerToken(t *testing.T) {
	e := engineModel{rate: 48.2, pairCost: 0.248, fixed: 18}
	random := rand.New(rand.NewPCG(1, 2))
	r := NewPrefillEstimator(PrefillEstimatorConfig{})
	observePrompts(e, r, random, 400)
	if got, want := r.Time(50_000, 13_000), e.time(50_000, 13_000); math.Abs(got/want-1) > 0.2 {
		t.Errorf("prefill time of 50,000 tokens: %.0f ms, want %.0f", got, want)
	}
}

// A release of weights makes all engines three times slower at once. The gateway must adapt
// within 40 prompts, or it gives up running prefills.
func TestEstimateFollowsSlowerRelease(t *testing.T) {
	e := engineModel{rate: 300, pairCost: 0.05, fixed: 10}
	random := rand.New(rand.NewPCG(3, 4))
	r := NewPrefillEstimator(PrefillEstimatorConfig{})
	observePrompts(e, r, random, 200)
	slower := engineModel{rate: 100, pairCost: 0.15, fixed: 20}
	observePrompts(slower, r, random, 40)
	if got := meanError(slower, r, random); got > 0.3 {
		t.Errorf("mean error %.2f after 40 prompts", got)
	}
}
