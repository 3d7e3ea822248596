package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// DefaultSubsetSize is the number of targets of a group that a gateway connects to. The
// larger size to design for has 2,300 nodes in front of 10,000 targets and allows 5 KB
// per second and node for control traffic. A report is 142 bytes, 242 with four cache
// events (the size of one marshalled): 20 targets once a second are 2.8 to 4.8 KB, HTTP
// framing excluded, so that a fleet of that size reports every two seconds. Each target
// then serves four to five gateways.
//
// Fewer gateways per target also mean less unreported work: in the simulation of
// TestSubsetDoesNotLengthenWaits the waits with 20 of 100 targets are no longer than
// with all of them. The cost is cache reuse: a prompt that arrives through all gateways
// is assigned to one target in each subset. Where many callers share long prompts and
// the fleet is small, use all targets.
const DefaultSubsetSize = 20

// Subset returns the targets that gateway self connects to, in name order. Each target
// selects the same number of gateways, the first of its rendezvous order, such that a
// gateway has about size targets: every target is known to equally many gateways, and a
// membership change moves only the changed member's own connections. A gateway selected
// by fewer than half of size targets adds the first of its own rendezvous order.
func Subset(gateways []string, self string, targets []string, size int) []string {
	if len(targets) <= size || len(gateways) == 0 {
		return sortedCopy(targets)
	}
	replicas := GatewaysPerTarget(len(gateways), len(targets), size)
	hashes := hashAll(gateways)
	selfHash := xxhash.Sum64String(self)
	subset := make([]string, 0, 2*size)
	for _, t := range targets {
		if selects(xxhash.Sum64String(t), hashes, selfHash, replicas) {
			subset = append(subset, t)
		}
	}
	if len(subset) < (size+1)/2 {
		subset = topUp(subset, targets, selfHash, (size+1)/2)
	}
	slices.Sort(subset)
	return subset
}

// GatewaysPerTarget returns the number of gateways that connect to each target when subsets have
// about size targets; pass it to [Router.SetGateways].
func GatewaysPerTarget(gateways, targets, size int) int {
	if targets <= size {
		return gateways
	}
	return (size*gateways + targets - 1) / targets
}

// selects reports whether the gateway with hash selfHash is among the first replicas
// gateways in the rendezvous order of the target.
func selects(target uint64, gateways []uint64, selfHash uint64, replicas int) bool {
	own := rendezvous.Mix(target ^ selfHash)
	higher := 0
	for _, e := range gateways {
		if rendezvous.Mix(target^e) > own {
			higher++
		}
		if higher >= replicas {
			return false
		}
	}
	return true
}

func topUp(subset, targets []string, selfHash uint64, size int) []string {
	for _, t := range rendezvousOrder(selfHash, targets) {
		if len(subset) >= size {
			break
		}
		if !slices.Contains(subset, t) {
			subset = append(subset, t)
		}
	}
	return subset
}

// RunOnceOrder returns the targets in the rendezvous order of a run-once key. All
// gateways compute the same order from the same targets, so that a retried call reaches
// the agent that has the record of the key.
func RunOnceOrder(key string, targets []string) []string {
	return rendezvousOrder(xxhash.Sum64String(key), targets)
}

func rendezvousOrder(key uint64, targets []string) []string {
	list := slices.Clone(targets)
	slices.SortFunc(list, func(a, b string) int {
		ha, hb := rendezvous.Mix(key^xxhash.Sum64String(a)), rendezvous.Mix(key^xxhash.Sum64String(b))
		return cmp.Or(cmp.Compare(hb, ha), cmp.Compare(a, b))
	})
	return list
}

func hashAll(names []string) []uint64 {
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = xxhash.Sum64String(name)
	}
	return hashes
}

func sortedCopy(names []string) []string {
	list := slices.Clone(names)
	slices.Sort(list)
	return list
}
