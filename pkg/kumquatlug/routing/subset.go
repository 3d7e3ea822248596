package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// DefaultSubset is how many targets of a group an entry speaks to. The larger
// size to design for has 2,300 nodes before 10,000 targets and 5 KB a second
// and node for control. A report is 142 bytes, 242 with four cache events (the
// size of one marshalled): 20 targets once a second are 2.8 to 4.8 KB beside the
// framing of HTTP, so that a fleet of that size reports every two seconds. Each
// target then answers four to five entries.
//
// Fewer entries before a target also mean less unseen work: in the simulation of
// TestSubsetDoesNotLengthenWaits the waits at 20 of 100 targets are no longer than at all of
// them. The price is the cache: a prompt that comes through all entries has a
// place in each subset. Where many callers share long prompts and the fleet is
// small, take all.
const DefaultSubset = 20

// Subset returns the targets that the entry me speaks to, in name order. Each
// target draws the same number of entries, the first of its rendezvous order,
// such that an entry has about size targets: so every target is known to
// equally many entries, and the coming or going of one member moves only its
// own places. An entry that was drawn by fewer than half of size targets
// adds the first of its own order.
func Subset(gateways []string, self string, targets []string, size int) []string {
	if len(targets) <= size || len(gateways) == 0 {
		return sortedCopy(targets)
	}
	replicas := Replicas(len(gateways), len(targets), size)
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

// Replicas returns how many entries speak to each target when subsets have
// about size targets; tell [Router.SetEntries].
func Replicas(gateways, targets, size int) int {
	if targets <= size {
		return gateways
	}
	return (size*gateways + targets - 1) / targets
}

// selects reports whether mine is among the first replicas of the rendezvous
// order of the target.
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

// ServiceOrder returns the targets in the rendezvous order of a run-once key.
// Every entry finds the same order from the same targets, so that a call sent
// again reaches the agent that knows it.
func ServiceOrder(key string, targets []string) []string {
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
