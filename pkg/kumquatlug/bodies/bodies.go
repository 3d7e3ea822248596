// Package bodies divides a bounded amount of memory among the bodies of requests while they
// arrive and until their requests have ended.
//
// The load pattern: many clients send large bodies at the same time, with a length or in
// chunks, so that the size of a body may be known only at its end. Memory is reserved in steps
// as the bytes arrive. Bodies that each hold a part of the memory that all of them need would
// block each other, so a step is granted only if some order remains in which every body can
// reach its largest size (the banker's algorithm for one resource). A body whose step is not
// granted waits for others to end, and its sender is slowed down by its connection.
//
// Small bodies are reserved as a whole and never wait, and a part of the memory is kept for
// them.
package bodies

import (
	"cmp"
	"slices"
)

const (
	// maxSmallBytes is the largest size of a small body, and smallDivisor makes it a fraction
	// of the memory where there is little.
	maxSmallBytes = 32 << 10
	smallDivisor  = 64
	// reserveDivisor divides the memory to give the part that large bodies leave to small ones.
	reserveDivisor = 16
)

// Result is the answer to a request for memory.
type Result string

// The results.
const (
	// Granted means that the memory is reserved.
	Granted Result = "granted"
	// Waiting means that the body waits: a later call to [Memory.End] or [Memory.Complete]
	// returns it once the memory is reserved.
	Waiting Result = "waiting"
	// Refused means that the body does not fit, and that as much memory is waited for as there
	// is in all.
	Refused Result = "refused"
)

// stage is how far a body has come.
type stage string

// The stages.
const (
	// stageSmall bodies hold what was reserved as a whole, if anything. One of unknown size
	// stays so until it is granted more.
	stageSmall stage = "small"
	// stageArriving and stageArrived are those of large bodies.
	stageArriving stage = "arriving"
	stageArrived  stage = "arrived"
)

// Body is the reservation for one body.
type Body struct {
	// most is the largest size that it may reach, held what is reserved, wanted what it waits
	// for. All are in bytes.
	most, held, wanted int64
	stage              stage
}

// Held returns the bytes that are reserved.
func (b *Body) Held() int64 { return b.held }

func (b *Body) remaining() int64 { return b.most - b.held }

// Memory divides memory among bodies. It is not safe for concurrent use.
type Memory struct {
	bytes, reserve int64
	// small and large are the bytes reserved for small and large bodies, arrived those for large
	// bodies that have arrived.
	small, large, arrived int64
	// arriving are the large bodies that have not arrived in full, claimed is the sum of their
	// largest sizes.
	arriving []*Body
	claimed  int64
	// waiting are the bodies that wait, the first to wait first.
	waiting []*Body
}

// New returns a memory of this many bytes.
func New(bytes int64) *Memory { return &Memory{bytes: bytes, reserve: bytes / reserveDivisor} }

// Held returns the bytes that are reserved for all bodies.
func (m *Memory) Held() int64 { return m.small + m.large }

// Waiting returns the number of bodies that wait.
func (m *Memory) Waiting() int { return len(m.waiting) }

// SmallBytes returns the largest size in bytes of a small body.
func (m *Memory) SmallBytes() int64 { return min(maxSmallBytes, m.bytes/smallDivisor) }

// MostBytes returns the largest size in bytes that a body can have.
func (m *Memory) MostBytes() int64 { return m.bytes - m.reserve }

// Begin reserves memory for a body of at most so many bytes. A small one gets all of it or is
// refused; a large one gets none before its first [Memory.Grow].
func (m *Memory) Begin(most int64) (*Body, Result) {
	b := &Body{most: most, stage: stageSmall}
	switch {
	case most > m.MostBytes(), most <= m.SmallBytes() && m.Held()+most > m.bytes:
		return b, Refused
	case most <= m.SmallBytes():
		b.held = most
		m.small += most
	}
	return b, Granted
}

// Enlarge raises the largest size of a small body. Its further bytes are reserved by
// [Memory.Grow].
func (m *Memory) Enlarge(b *Body, most int64) { b.most = min(most, m.MostBytes()) }

// Grow reserves memory for a body of which so many bytes are about to be held.
func (m *Memory) Grow(b *Body, bytes int64) Result {
	switch {
	case bytes > b.most:
		return Refused
	case m.grant(b, bytes):
		return Granted
	case !m.mayWait(b):
		return Refused
	}
	b.wanted = bytes
	m.waiting = append(m.waiting, b)
	return Waiting
}

// mayWait reports whether the bodies that wait need no more than all memory, and those of them
// that are still small hold no more than the part that is kept for small ones. The rest is then
// free as soon as all others have ended.
func (m *Memory) mayWait(b *Body) bool {
	needed, small := int64(0), int64(0)
	for _, w := range append(slices.Clone(m.waiting), b) {
		needed += w.remaining()
		if w.stage == stageSmall {
			small += w.held
		}
	}
	return needed <= m.bytes && small <= m.reserve
}

// grant reserves memory for a body unless some large one could then no longer reach its largest
// size.
func (m *Memory) grant(b *Body, bytes int64) bool {
	before, wasSmall := b.held, b.stage == stageSmall
	if wasSmall {
		m.small -= before
		m.large += before
		m.addArriving(b)
	}
	m.large += bytes - before
	b.held = bytes
	if m.safe() {
		return true
	}
	m.large -= bytes - before
	b.held = before
	if wasSmall {
		m.removeArriving(b)
		m.large -= before
		m.small += before
		b.stage = stageSmall
	}
	return false
}

// safe reports whether the large bodies can reach their largest sizes in some order, each after
// those before it have ended. Bodies that have arrived end by themselves, as do small ones.
func (m *Memory) safe() bool {
	free := m.bytes - max(m.reserve, m.small) - m.large
	if free < 0 {
		return false
	}
	if m.claimed <= free+m.large-m.arrived {
		return true
	}
	available := free + m.arrived
	byRemaining := slices.Clone(m.arriving)
	slices.SortFunc(byRemaining, func(a, b *Body) int { return cmp.Compare(a.remaining(), b.remaining()) })
	for _, b := range byRemaining {
		if b.remaining() > available {
			return false
		}
		available += b.held
	}
	return true
}

// Complete records that a body has arrived with so many bytes, and frees what it holds beyond
// them. It returns the bodies that need not wait any longer.
func (m *Memory) Complete(b *Body, bytes int64) []*Body {
	freed := b.held - bytes
	if b.stage == stageArriving {
		m.removeArriving(b)
		b.stage = stageArrived
		m.large -= freed
		m.arrived += bytes
	} else {
		m.small -= freed
	}
	b.held, b.most = bytes, bytes
	return m.grantWaiting()
}

// End frees all that a body holds, whether it has arrived or not, and ends its wait. It returns
// the bodies that need not wait any longer.
func (m *Memory) End(b *Body) []*Body {
	m.waiting = slices.DeleteFunc(m.waiting, func(w *Body) bool { return w == b })
	switch b.stage {
	case stageSmall:
		m.small -= b.held
	case stageArriving:
		m.removeArriving(b)
		m.large -= b.held
	case stageArrived:
		m.large -= b.held
		m.arrived -= b.held
	}
	b.held = 0
	return m.grantWaiting()
}

func (m *Memory) addArriving(b *Body) {
	b.stage = stageArriving
	m.arriving = append(m.arriving, b)
	m.claimed += b.most
}

func (m *Memory) removeArriving(b *Body) {
	m.arriving = slices.DeleteFunc(m.arriving, func(a *Body) bool { return a == b })
	m.claimed -= b.most
}

// grantWaiting reserves what bodies wait for, as far as it can be granted, and returns them. A
// body that needs less may pass one before it, which may have to wait for it.
func (m *Memory) grantWaiting() []*Body {
	var granted []*Body
	m.waiting = slices.DeleteFunc(m.waiting, func(b *Body) bool {
		if m.Held() >= m.bytes || !m.grant(b, b.wanted) {
			return false
		}
		granted = append(granted, b)
		return true
	})
	return granted
}
