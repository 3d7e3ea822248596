package planner

import (
	"maps"
	"math"
)

// Parameters of [OwnerWeights].
const (
	// minWeightChange is the factor by which a weight must differ from the published one to
	// be replaced. Speeds are known to about a tenth, and each change moves prefixes.
	minWeightChange = 1.4
	// minOwnerWeight and maxOwnerWeight bound the weights.
	minOwnerWeight, maxOwnerWeight = 0.25, 4.0
)

// OwnerWeights returns the weights of engines in the choice of the owner of a prefix, given the
// published ones and the relative times of the engines whose speed is known, and whether any
// changed.
//
// It is meant for prefixes that are shared by prompts of many gateways. If each gateway weighted
// the engines by its own estimates, gateways would disagree about the owners of many prefixes,
// and several engines would prefill each of them. One gateway therefore publishes the weights,
// and an engine keeps its weight while its speed is about the same.
func OwnerWeights(published, relativeTimes map[string]float64) (map[string]float64, bool) {
	weights, changed := maps.Clone(published), false
	if weights == nil {
		weights = map[string]float64{}
	}
	for id, relative := range relativeTimes {
		current, known := weights[id]
		if !known {
			current = 1
		}
		weight := min(max(1/relative, minOwnerWeight), maxOwnerWeight)
		if math.Abs(math.Log(weight/current)) > math.Log(minWeightChange) {
			weights[id], changed = math.Round(100*weight)/100, true
		}
	}
	return weights, changed
}
