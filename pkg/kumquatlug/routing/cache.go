package routing

import (
	"math"
	"math/bits"
)

// prefixIndex remembers which targets are believed to hold which prefix, as
// one bit a target, so that one look-up a key answers for all candidates.
// When it is full the key that came first gives way.
type prefixIndex struct {
	holders map[uint64][]uint64
	order   []uint64
	next    int
	limit   int
	// holding is working space of depths.
	holding []uint64
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

// A target is taken to hold the prompt up to the deepest block at which
// holdsPart of holdsOf blocks so far are known to be there. Asking for all of
// them, the loss of one event in five would hide three quarters of what is
// held; an evicted prompt still drops out, since most of its events arrive.
const (
	holdsPart = 3
	holdsOf   = 4
)

// misses is how many blocks in a row that nobody holds end the search.
const misses = 2

// depths writes to each slot how many leading blocks of keys its target is
// believed to hold, and returns the greatest of them. Most targets hold all
// blocks up to one and none beyond; they stay in the set holding until then, so
// that only those with a block missing are counted one by one.
func (x *prefixIndex) depths(keys []uint64, into []believed) int {
	deepest, missed := 0, 0
	for i, key := range keys {
		set := x.holders[key]
		if i == 0 {
			x.holding = append(x.holding[:0], set...)
		}
		x.drops(set, i, into)
		if x.strays(set, i, into) || anySet(x.holding) {
			deepest = i + 1
		}
		if missed++; anySet(set) {
			missed = 0
		}
		if missed == misses {
			return deepest
		}
	}
	x.drops(nil, len(keys), into)
	return deepest
}

// drops takes those out of holding that are not in set, with what they held.
func (x *prefixIndex) drops(set []uint64, held int, into []believed) {
	for word, all := range x.holding {
		kept := uint64(0)
		if word < len(set) {
			kept = all & set[word]
		}
		x.holding[word] = kept
		for gone := all &^ kept; gone != 0; gone &= gone - 1 {
			b := &into[word*64+bits.TrailingZeros64(gone)]
			b.depth, b.found = held, held
		}
	}
}

// strays counts the block at i for those in set that miss one before it, and
// reports whether it lies within what one of them holds.
func (x *prefixIndex) strays(set []uint64, i int, into []believed) bool {
	within := false
	for word, stray := range set {
		if word < len(x.holding) {
			stray &^= x.holding[word]
		}
		for ; stray != 0; stray &= stray - 1 {
			b := &into[word*64+bits.TrailingZeros64(stray)]
			if b.found++; b.found*holdsOf >= (i+1)*holdsPart {
				b.depth = i + 1
				within = true
			}
		}
	}
	return within
}

func anySet(set []uint64) bool {
	for _, word := range set {
		if word != 0 {
			return true
		}
	}
	return false
}

// eventStep is the weight of one cache event, heard or lost, in the trust in a
// target's cache: some hundred events make it.
const eventStep = 1.0 / 64

// Cached takes in an event of a target's cache: it holds the prefix, or has
// evicted it. Events come late and with gaps. A gap may hide evictions, after
// which the router would queue calls at a target for the sake of a prefix that
// is gone; so the trust in what is believed of that target falls with the part
// of the events that is lost, down to nothing after a long silence, and answers
// ([Router.Hit]) earn it back.
func (r *Router) Cached(name string, prefix uint64, sequence int64, evicted bool) {
	t, ok := r.targets[name]
	if !ok || (t.heard && sequence <= t.sequence) {
		return
	}
	if t.heard {
		t.trust *= math.Pow(1-eventStep, float64(sequence-t.sequence-1))
		t.trust += eventStep * (1 - t.trust)
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
