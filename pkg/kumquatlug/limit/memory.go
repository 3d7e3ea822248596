package limit

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// maxMemoryChanges bounds the changes kept between two reports; above it neighbours are
// merged, which dates some of them later than they were.
const maxMemoryChanges = 256

// kvMemory estimates the use of a target's KV memory: the last report, plus what this
// gateway began and ended since it was taken. Adding everything in flight to the report
// would count twice what the report contains, and the gateway would stop at half of the
// memory; adding nothing would send a second's worth of requests on one stale report.
type kvMemory struct {
	known            bool
	measuredAt       kumquatlug.Millis
	used             int64
	total            int64
	unreportedTokens int64
	changes          []memoryChange
}

// memoryChange is the begin (positive tokens) or end (negative) of one request of this
// gateway.
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

// update applies a load report and reports whether it is at least as new as the last
// one.
func (m *kvMemory) update(l Load) bool {
	measuredAt := l.RequestedAt - l.Age
	if m.known && measuredAt < m.measuredAt {
		return false
	}
	m.known, m.measuredAt = true, measuredAt
	m.used, m.total = l.Used, l.Total
	m.dropReported()
	return true
}

// dropReported removes the changes that the report includes.
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

// hasRoom reports whether this gateway's share of the free memory holds cost more
// tokens. If the share is smaller than one request, a random draw per report lets that
// share of the gateways send one: if all did, they would overfill the target, and if
// none did, it would stay idle.
func (m *kvMemory) hasRoom(c TargetsConfig, draw float64, cost int64) bool {
	if !m.known || m.total == 0 {
		return true
	}
	free := int64(c.HighWater*float64(m.total)) - m.used
	if free < m.unreportedTokens+cost {
		return false
	}
	share := free / int64(c.Gateways)
	if share >= m.unreportedTokens+cost {
		return true
	}
	return m.unreportedTokens <= 0 && draw*float64(cost) < float64(share)
}
