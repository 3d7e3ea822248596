package routing

import (
	"math"
	"math/bits"
)

// prefixIndex tracks which targets are expected to hold which prefix, as one bit per
// target, so that one look-up per key covers all candidates. When it is full, the
// oldest key is evicted.
type prefixIndex struct {
	holders      map[uint64][]uint64
	evictionRing []uint64
	evictNext    int
	capacity     int
	// contiguous is scratch space of matchDepths: the targets that hold every block so
	// far.
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

// recordKey bounds the number of keys. A key removed by an event stays in the ring
// until it comes round.
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

// A target counts as holding the prompt up to the deepest block at which at least
// matchNumerator/matchDenominator of the blocks so far are known to be there. If all
// were required, the loss of one event in five would hide three quarters of what is
// held; an evicted prompt is still recognized, since most of its events arrive.
const (
	matchNumerator   = 3
	matchDenominator = 4
)

// maxMissingBlocks is the number of consecutive blocks held by no target that ends the
// search.
const maxMissingBlocks = 2

// matchDepths writes to each slot the number of leading blocks of keys that its target
// is expected to hold, and returns the greatest of them. Most targets hold all blocks
// up to some depth and none beyond; they stay in the contiguous set until then, so that
// only targets with a missing block are counted one by one.
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

// narrowContiguous removes the targets that are not in set from the contiguous set and
// records held as their depth.
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

// countAfterGap counts block i for the targets in set that miss an earlier block, and
// reports whether this extends the depth of any of them.
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

// eventTrustWeight is the weight of one cache event, received or lost, in the trust in
// a target's cache, an average over about a hundred events.
const eventTrustWeight = 1.0 / 64

// ApplyCacheEvent applies a cache event of a target: it holds the prefix, or has evicted it.
// Events arrive late and with gaps. A gap may hide evictions, and the router would then
// queue calls at a target for a prefix that was evicted. The trust in the target's
// cache therefore falls with the fraction of events lost, down to nothing after a long
// silence, and rises with responses that confirm it ([Router.RecordCacheHit]).
func (r *Router) ApplyCacheEvent(name string, prefix uint64, sequence int64, evicted bool) {
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

// ClearCache clears the cached prefixes of a target, for example after its restart.
func (r *Router) ClearCache(name string) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	r.cache.removeSlot(t.slot)
	t.trust = 1
	t.hasEvent = false
}

// responseTrustWeight is the weight of one response in the trust in a target's cache.
const responseTrustWeight = 0.2

// RecordCacheHit records that, of the tokens expected in the target's cache (see [Choice.Cached]),
// the response reported this many as cached.
func (r *Router) RecordCacheHit(name string, expected, cached int) {
	t, ok := r.targets[name]
	if !ok || expected <= 0 {
		return
	}
	found := min(float64(cached)/float64(expected), 1)
	t.trust += responseTrustWeight * (found - t.trust)
}
