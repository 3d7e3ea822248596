package streamversion

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Gateways is a set of gateways that own records. It holds the hashes of their names and is not changed. The zero
// value is an empty set.
type Gateways struct {
	// names are sorted, hashes are in the same order.
	names  []string
	hashes []uint64
}

// NewGateways returns the set of the given gateways.
func NewGateways(names []string) Gateways {
	g := Gateways{names: slices.Compact(slices.Sorted(slices.Values(names)))}
	g.hashes = make([]uint64, len(g.names))
	for i, name := range g.names {
		g.hashes[i] = xxhash.Sum64String(name)
	}
	return g
}

// With returns the set with one more gateway.
func (g Gateways) With(name string) Gateways {
	i, found := slices.BinarySearch(g.names, name)
	if found {
		return g
	}
	return Gateways{names: slices.Insert(slices.Clone(g.names), i, name), hashes: slices.Insert(slices.Clone(g.hashes), i, xxhash.Sum64String(name))}
}

// Without returns the set without a gateway.
func (g Gateways) Without(name string) Gateways {
	i, found := slices.BinarySearch(g.names, name)
	if !found {
		return g
	}
	return Gateways{names: slices.Delete(slices.Clone(g.names), i, i+1), hashes: slices.Delete(slices.Clone(g.hashes), i, i+1)}
}

// Has reports whether a gateway belongs to the set.
func (g Gateways) Has(name string) bool {
	_, found := slices.BinarySearch(g.names, name)
	return found
}

// Names returns the names of the gateways.
func (g Gateways) Names() []string { return slices.Clone(g.names) }

// Len returns the number of gateways.
func (g Gateways) Len() int { return len(g.names) }

// Owners returns the first gateways in the rendezvous order of a stream's id.
func (g Gateways) Owners(id string, count int) []string {
	type owner struct {
		index int
		score uint64
	}
	key := xxhash.Sum64String(id)
	var first []owner
	for i, hash := range g.hashes {
		score := rendezvous.Mix(key ^ hash)
		if len(first) == count && (count == 0 || score <= first[count-1].score) {
			continue
		}
		first = append(first, owner{i, score})
		slices.SortFunc(first, func(a, b owner) int { return cmp.Compare(b.score, a.score) })
		first = first[:min(len(first), count)]
	}
	names := make([]string, len(first))
	for i, o := range first {
		names[i] = g.names[o.index]
	}
	return names
}

// Owns reports whether a gateway is one of the first in the rendezvous order of a stream's id among those of the set
// and itself, without another one. For most ids it ends after a few gateways, once enough come before it.
func (g Gateways) Owns(name, id, without string, count int) bool {
	key := xxhash.Sum64String(id)
	score, before := rendezvous.Mix(key^xxhash.Sum64String(name)), 0
	for i, hash := range g.hashes {
		if before < count && rendezvous.Mix(key^hash) > score && g.names[i] != without && g.names[i] != name {
			before++
		}
		if before == count {
			return false
		}
	}
	return true
}

// Owners returns the first gateways in the rendezvous order of a stream's id, without self.
func Owners(id, self string, gateways []string, count int) []string {
	return NewGateways(gateways).Without(self).Owners(id, count)
}
