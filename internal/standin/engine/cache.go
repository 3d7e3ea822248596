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
	size := blockTokens * bytesPerToken
	d := xxhash.New()
	names := make([]string, 0, len(prompt)/size)
	for end := size; end <= len(prompt); end += size {
		// A digest takes every write.
		_, _ = d.WriteString(prompt[end-size : end])
		names = append(names, strconv.FormatUint(d.Sum64(), 16))
	}
	return names
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
	capacity int
	blocks   map[string]*list.Element
	order    *list.List
	sequence int64
	events   []cacheEvent
	loss     float64
	random   *rand.Rand
}

func newPrefixCache(capacity int, loss float64, seed uint64) *prefixCache {
	return &prefixCache{
		capacity: capacity, loss: loss, random: rand.New(rand.NewPCG(seed, seed)),
		blocks: map[string]*list.Element{}, order: list.New(),
	}
}

// hits returns how many of names, from the first on, are in the cache.
func (c *prefixCache) hits(names []string) int {
	for i, name := range names {
		e, ok := c.blocks[name]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(names)
}

// add puts names in, longest first in the order of use, so that a short prefix
// which others share outlives a long one.
func (c *prefixCache) add(names []string, now kumquatlug.Millis) {
	for i := len(names) - 1; i >= 0; i-- {
		if e, ok := c.blocks[names[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[names[i]] = c.order.PushFront(names[i])
		c.record(names[i], false, now)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		name := c.order.Remove(oldest).(string)
		delete(c.blocks, name)
		c.record(name, true, now)
	}
}

// clear empties the cache without a word, as a crash does.
func (c *prefixCache) clear() {
	c.blocks = map[string]*list.Element{}
	c.order.Init()
	c.events = nil
}

func (c *prefixCache) record(prefix string, evicted bool, now kumquatlug.Millis) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, cacheEvent{sequence: c.sequence, at: now, prefix: prefix, evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// since returns the events after a sequence number that arose before limit.
func (c *prefixCache) since(after int64, limit kumquatlug.Millis) []cacheEvent {
	events := []cacheEvent{}
	for _, e := range c.events {
		if e.sequence > after && e.at <= limit {
			events = append(events, e)
		}
	}
	return events
}
