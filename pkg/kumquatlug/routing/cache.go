package routing

import (
	"math"
	"math/bits"
)

// prefixIndex remembers which targets are believed to hold which prefix, as
// one bit a target, so that one look-up a key answers for all candidates.
// When it is full the key that came first gives way.
type prefixIndex struct {
	holders      map[uint64][]uint64
	evictionRing []uint64
	evictNext    int
	capacity     int
	// contiguous is working space of depths.
	contiguous []uint64
}

func newPrefixIndex(capacity int) prefixIndex {
	return prefixIndex{holders: map[uint64][]uint64{}, capacity: capacity}
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
		x.recordKey(key)
	}
}

// recordKey keeps the index within its limit. A key dropped by an event stays
// in the ring until its turn comes.
func (x *prefixIndex) recordKey(key uint64) {
	if len(x.evictionRing) < x.capacity {
		x.evictionRing = append(x.evictionRing, key)
		return
	}
	if evicted := x.evictionRing[x.evictNext]; evicted != key {
		delete(x.holders, evicted)
	}
	x.evictionRing[x.evictNext] = key
	x.evictNext = (x.evictNext + 1) % x.capacity
}

func (x *prefixIndex) remove(slot int, key uint64) {
	set := x.holders[key]
	if word := slot / 64; word < len(set) {
		set[word] &^= 1 << (slot % 64)
	}
}

func (x *prefixIndex) removeSlot(slot int) {
	for key := range x.holders {
		x.remove(slot, key)
	}
}

// A target is taken to hold the prompt up to the deepest block at which
// matchNumerator of matchDenominator blocks so far are known to be there. Asking for all of
// them, the loss of one event in five would hide three quarters of what is
// held; an evicted prompt still drops out, since most of its events arrive.
const (
	matchNumerator   = 3
	matchDenominator = 4
)

// maxMissingBlocks is how many blocks in a row that nobody holds end the search.
const maxMissingBlocks = 2

// matchDepths writes to each slot how many leading blocks of keys its target is
// believed to hold, and returns the greatest of them. Most targets hold all
// blocks up to one and none beyond; they stay in the set holding until then, so
// that only those with a block missing are counted one by one.
func (x *prefixIndex) matchDepths(keys []uint64, matches []slotMatch) int {
	deepest, missing := 0, 0
	for i, key := range keys {
		set := x.holders[key]
		if i == 0 {
			x.contiguous = append(x.contiguous[:0], set...)
		}
		x.narrowContiguous(set, i, matches)
		if x.countAfterGap(set, i, matches) || anyBitSet(x.contiguous) {
			deepest = i + 1
		}
		if missing++; anyBitSet(set) {
			missing = 0
		}
		if missing == maxMissingBlocks {
			return deepest
		}
	}
	x.narrowContiguous(nil, len(keys), matches)
	return deepest
}

// narrowContiguous takes those out of holding that are not in set, with what they held.
func (x *prefixIndex) narrowContiguous(set []uint64, held int, matches []slotMatch) {
	for word, before := range x.contiguous {
		kept := uint64(0)
		if word < len(set) {
			kept = before & set[word]
		}
		x.contiguous[word] = kept
		for ended := before &^ kept; ended != 0; ended &= ended - 1 {
			b := &matches[word*64+bits.TrailingZeros64(ended)]
			b.depth, b.found = held, held
		}
	}
}

// countAfterGap counts the block at i for those in set that miss one before it, and
// reports whether it lies within what one of them holds.
func (x *prefixIndex) countAfterGap(set []uint64, i int, matches []slotMatch) bool {
	extended := false
	for word, rest := range set {
		if word < len(x.contiguous) {
			rest &^= x.contiguous[word]
		}
		for ; rest != 0; rest &= rest - 1 {
			b := &matches[word*64+bits.TrailingZeros64(rest)]
			if b.found++; b.found*matchDenominator >= (i+1)*matchNumerator {
				b.depth = i + 1
				extended = true
			}
		}
	}
	return extended
}

func anyBitSet(set []uint64) bool {
	for _, word := range set {
		if word != 0 {
			return true
		}
	}
	return false
}

// eventTrustWeight is the weight of one cache event, heard or lost, in the trust in a
// target's cache: some hundred events make it.
const eventTrustWeight = 1.0 / 64

// Cached takes in an event of a target's cache: it holds the prefix, or has
// evicted it. Events come late and with gaps. A gap may hide evictions, after
// which the router would queue calls at a target for the sake of a prefix that
// is gone; so the trust in what is believed of that target falls with the part
// of the events that is lost, down to nothing after a long silence, and answers
// ([Router.Hit]) earn it back.
func (r *Router) Cached(name string, prefix uint64, sequence int64, evicted bool) {
	t, ok := r.targets[name]
	if !ok || (t.hasEvent && sequence <= t.eventSequence) {
		return
	}
	if t.hasEvent {
		t.trust *= math.Pow(1-eventTrustWeight, float64(sequence-t.eventSequence-1))
		t.trust += eventTrustWeight * (1 - t.trust)
	}
	t.hasEvent = true
	t.eventSequence = sequence
	if evicted {
		r.cache.remove(t.slot, prefix)
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
	r.cache.removeSlot(t.slot)
	t.trust = 1
	t.hasEvent = false
}

// responseTrustWeight is the weight of one answer in the trust in a target's cache.
const responseTrustWeight = 0.2

// Hit takes in what an answer said: of the tokens that were expected in the
// target's cache (see [Choice.Cached]) so many were.
func (r *Router) Hit(name string, expected, cached int) {
	t, ok := r.targets[name]
	if !ok || expected <= 0 {
		return
	}
	found := min(float64(cached)/float64(expected), 1)
	t.trust += responseTrustWeight * (found - t.trust)
}
