package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%04d", prefix, i)
	}
	return list
}

// subsets returns each gateway's subset and the number of gateways of each target.
func subsets(gateways, targets []string, size int) (map[string][]string, map[string]int) {
	chosen, counts := map[string][]string{}, map[string]int{}
	for _, e := range gateways {
		chosen[e] = Subset(gateways, e, targets, size)
		for _, t := range chosen[e] {
			counts[t]++
		}
	}
	return chosen, counts
}

func TestSubsetsCoverTargetsEvenly(t *testing.T) {
	// If gateways chose targets independently, some targets would be known to few
	// gateways and stay idle while callers of others wait.
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(41))
	properties.Property("targets have equally many gateways, gateways have enough targets", prop.ForAll(
		func(gateways, targets int) bool {
			const size = 20
			chosen, counts := subsets(names("e", gateways), names("t", targets), size)
			least := min(GatewaysPerTarget(gateways, targets, size), gateways)
			for _, target := range names("t", targets) {
				// A gateway selected too rarely adds targets of its own.
				if counts[target] < least || counts[target] > least+2 {
					return false
				}
			}
			for _, s := range chosen {
				if len(s) < min(size/2, targets) {
					return false
				}
			}
			return true
		},
		gen.IntRange(1, 60), gen.IntRange(1, 300),
	))
	properties.TestingRun(t)
}

func TestMembershipChangeMovesFewTargets(t *testing.T) {
	// VMs join and leave all day. If each change made all gateways choose anew, caches
	// and connections would be lost everywhere.
	gateways, targets := names("e", 40), names("t", 200)
	before, _ := subsets(gateways, targets, 20)
	withoutGateway, _ := subsets(gateways[1:], targets, 20)
	withoutTarget, _ := subsets(gateways, targets[1:], 20)
	moved := 0
	for _, e := range gateways[1:] {
		moved += countMissing(before[e], withoutGateway[e])
		if n := countMissing(before[e], withoutTarget[e]); n > 1 {
			t.Errorf("%s loses %d targets when one target leaves", e, n)
		}
	}
	if moved != 0 {
		t.Errorf("when a gateway leaves, the others lose %d of their targets", moved)
	}
}

// countMissing counts the elements of before that are not in after.
func countMissing(before, after []string) int {
	n := 0
	for _, t := range before {
		if !slices.Contains(after, t) {
			n++
		}
	}
	return n
}

func TestRunOnceOrderIsStableOnRemoval(t *testing.T) {
	// A run-once call is retried after a target has left. If the order of the others
	// changed, the retry would reach an agent without the record of the key.
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(42))
	properties.Property("the other targets keep their order when one is removed", prop.ForAll(
		func(key string, n, gone int) bool {
			all := names("t", n)
			order := RunOnceOrder(key, all)
			gone %= n
			rest := slices.Delete(slices.Clone(all), gone, gone+1)
			slices.Reverse(rest)
			want := slices.DeleteFunc(order, func(t string) bool { return t == all[gone] })
			return slices.Equal(RunOnceOrder(key, rest), want)
		},
		gen.AnyString(), gen.IntRange(1, 15), gen.IntRange(0, 14),
	))
	properties.TestingRun(t)
}

func BenchmarkSubset(b *testing.B) {
	gateways, targets := names("e", 2300), names("t", 10000)
	for b.Loop() {
		Subset(gateways, gateways[0], targets, DefaultSubsetSize)
	}
}
