package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 8192

// Prefixes returns the names of the whole blocks of prompt, shortest first:
// the hexadecimal xxhash64 of the first n bytes, n a multiple of the block.
func Prefixes(prompt string, blockTokens int) []string {
	blockBytes := blockTokens * bytesPerToken
	digest := xxhash.New()
	hashes := make([]string, 0, len(prompt)/blockBytes)
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		// A digest takes every write.
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, strconv.FormatUint(digest.Sum64(), 16))
	}
	return hashes
}

// cacheEvent says that a prefix is now in the cache, or no longer.
type cacheEvent struct {
	sequence int64
	at       kumquatlug.Millis
	prefix   string
	evicted  bool
}

// prefixCache keeps the blocks used last, within a memory. Its events are
// numbered; some are lost, as those of real engines are, and leave a gap.
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

// cachedBlocks returns how many of names, from the first on, are in the cache.
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

// add puts names in, longest first in the order of use, so that a short prefix
// which others share outlives a long one.
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

// clear empties the cache without a word, as a crash does.
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

// eventsAfter returns the events after a sequence number that arose before limit.
func (c *prefixCache) eventsAfter(after int64, until kumquatlug.Millis) []cacheEvent {
	events := []cacheEvent{}
	for _, e := range c.events {
		if e.sequence > after && e.at <= until {
			events = append(events, e)
		}
	}
	return events
}
