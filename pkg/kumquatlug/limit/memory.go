package limit

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// maxMemoryChanges bounds what is kept between two reports; above it neighbours are
// merged, which counts some as younger than they are.
const maxMemoryChanges = 256

// kvMemory estimates how full a target's KV memory is: what it reported, plus
// what this entry began and ended since that report was taken. Counting all
// that is in hand on top of the report would count what the report holds
// already twice, and the entry would stop at half of the memory; counting none
// would send a second's requests on one stale report.
type kvMemory struct {
	known            bool
	measuredAt       kumquatlug.Millis
	used             int64
	total            int64
	unreportedTokens int64
	changes          []memoryChange
}

// memoryChange is one begin (positive) or end (negative) of this entry.
type memoryChange struct {
	at     kumquatlug.Millis
	tokens int64
}

func (m *kvMemory) add(now kumquatlug.Millis, tokens int64) {
	m.unreportedTokens += tokens
	if len(m.changes) >= maxMemoryChanges {
		m.mergePairs()
	}
	m.changes = append(m.changes, memoryChange{at: now, tokens: tokens})
}

func (m *kvMemory) mergePairs() {
	merged := m.changes[:0]
	for n := 0; n+1 < len(m.changes); n += 2 {
		a, b := m.changes[n], m.changes[n+1]
		merged = append(merged, memoryChange{at: b.at, tokens: a.tokens + b.tokens})
	}
	m.changes = merged
}

// update takes a load and reports whether it is newer than the last.
func (m *kvMemory) update(l Load) bool {
	measuredAt := l.Asked - l.Age
	if m.known && measuredAt < m.measuredAt {
		return false
	}
	m.known, m.measuredAt = true, measuredAt
	m.used, m.total = l.Used, l.Total
	m.dropReported()
	return true
}

// dropReported drops the changes that the report holds.
func (m *kvMemory) dropReported() {
	kept := m.changes[:0]
	m.unreportedTokens = 0
	for _, c := range m.changes {
		if c.at > m.measuredAt {
			kept = append(kept, c)
			m.unreportedTokens += c.tokens
		}
	}
	m.changes = kept
}

// hasRoom reports whether this entry's part of the free memory holds cost more
// tokens. Where the part is smaller than one request, a coin thrown at each
// report lets that part of the entries send one: if all did, their number
// would overfill the target, and if none did, it would stand idle.
func (m *kvMemory) hasRoom(c TargetsConfig, draw float64, cost int64) bool {
	if !m.known || m.total == 0 {
		return true
	}
	free := int64(c.HighWater*float64(m.total)) - m.used
	if free < m.unreportedTokens+cost {
		return false
	}
	share := free / int64(c.Entries)
	if share >= m.unreportedTokens+cost {
		return true
	}
	return m.unreportedTokens <= 0 && draw*float64(cost) < float64(share)
}
