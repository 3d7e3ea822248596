package limit

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// maxChanges bounds what is kept between two reports; above it neighbours are
// merged, which counts some as younger than they are.
const maxChanges = 256

// memory estimates how full a target's KV memory is: what it reported, plus
// what this entry began and ended since that report was taken. Counting all
// that is in hand on top of the report would count what the report holds
// already twice, and the entry would stop at half of the memory; counting none
// would send a second's requests on one stale report.
type memory struct {
	known   bool
	taken   kumquatlug.Millis
	used    int64
	total   int64
	since   int64
	changes []change
}

// change is one begin (positive) or end (negative) of this entry.
type change struct {
	at     kumquatlug.Millis
	tokens int64
}

func (m *memory) add(now kumquatlug.Millis, tokens int64) {
	m.since += tokens
	if len(m.changes) >= maxChanges {
		m.merge()
	}
	m.changes = append(m.changes, change{at: now, tokens: tokens})
}

func (m *memory) merge() {
	half := m.changes[:0]
	for n := 0; n+1 < len(m.changes); n += 2 {
		a, b := m.changes[n], m.changes[n+1]
		half = append(half, change{at: b.at, tokens: a.tokens + b.tokens})
	}
	m.changes = half
}

// report takes a load and reports whether it is newer than the last.
func (m *memory) report(l Load) bool {
	taken := l.Asked - l.Age
	if m.known && taken < m.taken {
		return false
	}
	m.known, m.taken = true, taken
	m.used, m.total = l.Used, l.Total
	m.forget()
	return true
}

// forget drops the changes that the report holds.
func (m *memory) forget() {
	kept := m.changes[:0]
	m.since = 0
	for _, c := range m.changes {
		if c.at > m.taken {
			kept = append(kept, c)
			m.since += c.tokens
		}
	}
	m.changes = kept
}

// room reports whether this entry's part of the free memory holds cost more
// tokens. Where the part is smaller than one request, a coin thrown at each
// report lets that part of the entries send one: if all did, their number
// would overfill the target, and if none did, it would stand idle.
func (m *memory) room(c TargetsConfig, coin float64, cost int64) bool {
	if !m.known || m.total == 0 {
		return true
	}
	free := int64(c.HighWater*float64(m.total)) - m.used
	if free < m.since+cost {
		return false
	}
	part := free / int64(c.Entries)
	if part >= m.since+cost {
		return true
	}
	return m.since <= 0 && coin*float64(cost) < float64(part)
}
