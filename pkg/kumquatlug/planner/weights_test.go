package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// Each change of a weight moves prefixes to engines that have not cached them. Estimates that
// vary by a tenth must change no weight after the first ones, and a speed that changes for good
// must change that of its engine alone.
func TestOwnerWeightsFollowOnlyLastingChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	speeds := map[string]float64{}
	for i := range 20 {
		speeds[fmt.Sprint(i)] = math.Exp(0.5 * random.NormFloat64())
	}
	noisy := func() map[string]float64 {
		m := map[string]float64{}
		for i := range 20 {
			m[fmt.Sprint(i)] = speeds[fmt.Sprint(i)] * math.Exp(0.07*random.NormFloat64())
		}
		return m
	}
	weights, _ := OwnerWeights(nil, noisy())
	for range 3 {
		weights, _ = OwnerWeights(weights, noisy())
	}
	changes := 0
	for range 50 {
		var changed bool
		if weights, changed = OwnerWeights(weights, noisy()); changed {
			changes++
		}
	}
	if changes > 5 {
		t.Errorf("%d changes in 50 updates with noise of 7%%", changes)
	}
	for id, speed := range speeds {
		weight, known := weights[id]
		if !known {
			weight = 1
		}
		if ratio := weight * speed; ratio < 0.6 || ratio > 1.65 {
			t.Errorf("engine of relative time %.2f has the weight %.2f", speed, weight)
		}
	}
	before := weights["3"]
	speeds["3"] *= 3
	if weights, _ = OwnerWeights(weights, noisy()); weights["3"] > before/2 {
		t.Errorf("weight %.2f instead of a third of %.2f", weights["3"], before)
	}
}
