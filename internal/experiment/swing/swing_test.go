package swing

import (
	"fmt"
	"testing"
)

// simulateFixedSplit plays a day with a fixed number of readers.
func simulateFixedSplit(load []Span, prefillEngines int) Result {
	return Play(UserSites(), load, Policy{Readers: prefillEngines}, 1)
}

// The model serves to weigh changes before a site plays them. It must rank fixed
// splits as a day of the users' bench does: eight or nine readers of twelve
// before seven, seven before six, ten far behind, as streams find no slots there.
func TestModelRanksFixedSplitsLikeMeasuredDay(t *testing.T) {
	value := map[int]float64{}
	for _, prefillEngines := range []int{6, 7, 8, 9, 10} {
		value[prefillEngines] = simulateFixedSplit(BogotaTrouble, prefillEngines).Worth
	}
	if min(value[8], value[9]) <= value[7] || value[7] <= value[6] || value[6] <= value[10]+0.05 {
		t.Errorf("worth by readers: %v", value)
	}
}

// On the other day streams come by the dozen for fourteen seconds. More writers
// must serve more of them, and a split that follows must serve more of them than
// the fixed one that it starts from, without losing documents to it.
func TestAdaptiveSplitServesMoreStreams(t *testing.T) {
	fixed := simulateFixedSplit(BogotaScale, 8)
	adaptive := Play(UserSites(), BogotaScale, Policy{Readers: 8, Follow: true}, 1)
	t.Logf("fixed %.3f (documents %.3f, streams %.3f), followed %.3f (%.3f, %.3f) with %d changes", fixed.Worth, fixed.Documents,
		fixed.Streams, adaptive.Worth, adaptive.Documents, adaptive.Streams, adaptive.Changes)
	if adaptive.Streams < fixed.Streams+0.03 || adaptive.Documents < fixed.Documents-0.03 || adaptive.Changes == 0 || adaptive.Changes > 6 {
		t.Errorf("fixed %+v, followed %+v", fixed, adaptive)
	}
	if moreDecode := simulateFixedSplit(BogotaScale, 6); moreDecode.Streams < fixed.Streams+0.1 {
		t.Errorf("streams with six writers %.3f, with four %.3f", moreDecode.Streams, fixed.Streams)
	}
}

// What binds at the worst load is the engines' memory: shared parts are driven
// out before they are asked for again, and are read anew. With twice the memory
// documents must gain more than any split gives them.
func TestKVMemoryLimitsDocuments(t *testing.T) {
	config := UserSites()
	base := Play(config, BogotaScale, Policy{Readers: 8}, 1)
	config.Memory *= 2
	doubled := Play(config, BogotaScale, Policy{Readers: 8}, 1)
	if doubled.Documents < base.Documents+0.05 {
		t.Errorf("documents %.3f, with twice the memory %.3f", base.Documents, doubled.Documents)
	}
}

// A bound that a play exceeds would tell that nothing is left to gain where
// something is.
func TestNoSimulationExceedsBound(t *testing.T) {
	config := UserSites()
	config.Engines = 6
	for name, load := range map[string][]Span{"scale": BogotaScale, "trouble": BogotaTrouble} {
		bound := Bound(config, load, 1)
		for _, policy := range []Policy{{Readers: 4}, {Readers: 4, Follow: true}} {
			if r := Play(config, load, policy, 1); r.Worth > bound || bound > 1+1e-9 {
				t.Errorf("%s: worth %.3f, bound %.3f", name, r.Worth, bound)
			}
		}
	}
}

// For four seconds nearly four times the usual documents come to 59 engines. Through
// one front most are in time. Through twenty-eight, each of which orders its own, half
// of them are late, as two dozen stand in an engine's own queue by order of arrival.
// Fronts that ask each other for turns must earn nine tenths of what one front earns,
// and win back half of what is lost without, however many there are.
func TestCoordinatedGatewaysEarnNearlyAsMuchAsOne(t *testing.T) {
	simulate := func(gateways int, coordinators bool) float64 {
		config := LargeSite(gateways)
		config.Coordinators = coordinators
		return Play(config, LargeBurst, Policy{Readers: 39}, 1).Worth
	}
	single, uncoordinated := simulate(1, true), simulate(28, false)
	for _, gateways := range []int{4, 13, 28, 60} {
		if value := simulate(gateways, true); value < 0.9*single || single-value > 0.5*(single-uncoordinated) {
			t.Errorf("%d fronts earn %.3f, one front %.3f, 28 that don't ask %.3f", gateways, value, single, uncoordinated)
		}
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	first, second := simulateFixedSplit(BogotaTrouble[:4], 8), simulateFixedSplit(BogotaTrouble[:4], 8)
	if fmt.Sprint(first) != fmt.Sprint(second) {
		t.Errorf("%v and %v", first, second)
	}
}
