package routing

import "math/bits"

// prefixIndex remembers which targets are believed to hold which prefix, as
// one bit a target, so that one look-up a key answers for all candidates.
// When it is full the key that came first gives way.
type prefixIndex struct {
	holders map[uint64][]uint64
	order   []uint64
	next    int
	limit   int
}

func newPrefixIndex(limit int) prefixIndex {
	return prefixIndex{holders: map[uint64][]uint64{}, limit: limit}
}

func (x *prefixIndex) addAll(slot int, keys []uint64) {
	for _, k := range keys {
		x.add(slot, k)
	}
}

func (x *prefixIndex) add(slot int, key uint64) {
	set, known := x.holders[key]
	word := slot / 64
	for len(set) <= word {
		set = append(set, 0)
	}
	set[word] |= 1 << (slot % 64)
	x.holders[key] = set
	if !known {
		x.remember(key)
	}
}

// remember keeps the index within its limit. A key dropped by an event stays
// in the ring until its turn comes.
func (x *prefixIndex) remember(key uint64) {
	if len(x.order) < x.limit {
		x.order = append(x.order, key)
		return
	}
	if old := x.order[x.next]; old != key {
		delete(x.holders, old)
	}
	x.order[x.next] = key
	x.next = (x.next + 1) % x.limit
}

func (x *prefixIndex) drop(slot int, key uint64) {
	set := x.holders[key]
	if word := slot / 64; word < len(set) {
		set[word] &^= 1 << (slot % 64)
	}
}

func (x *prefixIndex) forget(slot int) {
	for key := range x.holders {
		x.drop(slot, key)
	}
}

// depths writes to each target's entry how many leading blocks of keys it is
// believed to hold, and returns how many any target holds.
func (x *prefixIndex) depths(keys []uint64, into []scored) int {
	deepest := 0
	for i, k := range keys {
		held := false
		for word, set := range x.holders[k] {
			for ; set != 0; set &= set - 1 {
				slot := word*64 + bits.TrailingZeros64(set)
				if into[slot].depth == i {
					into[slot].depth = i + 1
					held = true
				}
			}
		}
		if !held {
			break
		}
		deepest = i + 1
	}
	return deepest
}

// Cached takes in an event of a target's cache: it holds the prefix, or has
// evicted it. Events come late and with gaps; a gap in their sequence may hide
// evictions, after which the router would queue calls at a target for the sake
// of a prefix that is gone. So each gap halves the trust in what is believed
// of that target, and answers ([Router.Hit]) earn it back.
func (r *Router) Cached(name string, prefix uint64, sequence int64, evicted bool) {
	t, ok := r.targets[name]
	if !ok || (t.heard && sequence <= t.sequence) {
		return
	}
	if t.heard && sequence != t.sequence+1 {
		t.trust /= 2
	}
	t.heard = true
	t.sequence = sequence
	if evicted {
		r.cache.drop(t.slot, prefix)
		return
	}
	r.cache.add(t.slot, prefix)
}

// Forget drops all beliefs about a target's cache, as after its restart.
func (r *Router) Forget(name string) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	r.cache.forget(t.slot)
	t.trust = 1
	t.heard = false
}

// trustStep is the weight of one answer in the trust in a target's cache.
const trustStep = 0.2

// Hit takes in what an answer said: of the tokens that were expected in the
// target's cache (see [Choice.Cached]) so many were.
func (r *Router) Hit(name string, expected, cached int) {
	t, ok := r.targets[name]
	if !ok || expected <= 0 {
		return
	}
	truth := min(float64(cached)/float64(expected), 1)
	t.trust += trustStep * (truth - t.trust)
}
