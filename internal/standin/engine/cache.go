package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxEvents limits the cache events that are kept for readers.
const maxEvents = 8192

// PrefixHashes returns the hashes of the prefixes of prompt that end at a block
// boundary, shortest first: the hexadecimal xxhash64 of the first n bytes,
// where n is a multiple of the block size.
func PrefixHashes(prompt string, blockTokens int) []string {
	blockBytes := blockTokens * bytesPerToken
	digest := xxhash.New()
	hashes := make([]string, 0, len(prompt)/blockBytes)
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, strconv.FormatUint(digest.Sum64(), 16))
	}
	return hashes
}

// cacheEvent reports that a prefix was added to the cache or evicted from it.
type cacheEvent struct {
	sequence int64
	at       kumquatlug.Millis
	prefix   string
	evicted  bool
}

// prefixCache is an LRU cache of prefix blocks with a limited capacity. Its
// events are numbered; some are lost, as with real engines, and leave a gap in
// the numbers.
type prefixCache struct {
	capacity     int
	blocks       map[string]*list.Element
	lru          *list.List
	lastSequence int64
	events       []cacheEvent
	lossRate     float64
	random       *rand.Rand
}

func newPrefixCache(capacity int, lossRate float64, seed uint64) *prefixCache {
	return &prefixCache{
		capacity: capacity, lossRate: lossRate, random: rand.New(rand.NewPCG(seed, seed)),
		blocks: map[string]*list.Element{}, lru: list.New(),
	}
}

// cachedBlocks returns how many of hashes, from the first on, are in the cache,
// and marks them as recently used.
func (c *prefixCache) cachedBlocks(hashes []string) int {
	for i, hash := range hashes {
		e, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.lru.MoveToFront(e)
	}
	return len(hashes)
}

// add inserts hashes from the longest prefix to the shortest, so that in LRU
// order a short prefix, which other prompts may share, outlives a long one.
func (c *prefixCache) add(hashes []string, now kumquatlug.Millis) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if e, ok := c.blocks[hashes[i]]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[hashes[i]] = c.lru.PushFront(hashes[i])
		c.recordEvent(hashes[i], false, now)
	}
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		hash := c.lru.Remove(oldest).(string)
		delete(c.blocks, hash)
		c.recordEvent(hash, true, now)
	}
}

// clear empties the cache without publishing events, as in a crash.
func (c *prefixCache) clear() {
	c.blocks = map[string]*list.Element{}
	c.lru.Init()
	c.events = nil
}

func (c *prefixCache) recordEvent(prefix string, evicted bool, now kumquatlug.Millis) {
	c.lastSequence++
	if c.random.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, cacheEvent{sequence: c.lastSequence, at: now, prefix: prefix, evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events with a higher sequence number than after that
// occurred at or before until.
func (c *prefixCache) eventsAfter(after int64, until kumquatlug.Millis) []cacheEvent {
	events := []cacheEvent{}
	for _, e := range c.events {
		if e.sequence > after && e.at <= until {
			events = append(events, e)
		}
	}
	return events
}
