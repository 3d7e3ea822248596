// Package uplink decides when a gateway sends request bodies over its own network link.
//
// It is built for gateways with a low-bandwidth link: 1,250 bytes per ms for bodies of
// 9,200 bytes on average and up to 55,000, of which most leave the gateway twice, once to
// the engine that prefills and once to the engine that decodes. At the peak such a link
// is asked for 70 to 140% of what it can send. Without scheduling, the kernel's socket
// buffers share it evenly among all connections: every body is slow, a short question
// waits behind long prompts, and prompts that were already prefilled miss their latency
// target behind others that miss it in any case. Therefore:
//
//   - a virtual queue holds the bytes that were given to the link and not yet sent. It
//     drains at the rate of the link, and counts responses to clients as well, which are
//     not delayed;
//   - small bodies are sent at once. Larger ones wait while the virtual queue holds more
//     than a few ms of sending time, so that the next one can still be chosen;
//   - first are requests on which work was spent, then those that can still meet their
//     latency target by value per byte, then late ones by age;
//   - a request that can't be sent before its client gives up is refused, and while the
//     link is over capacity also one that would be late here and that no worker has
//     received: the client's next attempt reaches another gateway.
//
// A Link is not safe for concurrent use.
package uplink

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Config holds the settings of a [Link]. The zero value of each field means its default.
type Config struct {
	// BytesPerMs is the rate of the link; zero if it is not known.
	BytesPerMs float64
	// MaxQueueMs is the sending time in the virtual queue above which large bodies wait.
	// Default 4: less than a body takes on a link of 1,250 bytes per ms, and more than
	// the delay of a timer.
	MaxQueueMs float64
}

const (
	// SmallBodyBytes is the size below which a body is sent at once: it takes less than
	// 2 ms on a link of 1,250 bytes per ms.
	SmallBodyBytes = 2 << 10
	// segmentPayloadBytes and segmentHeaderBytes are the payload and the TCP/IP headers
	// of a full packet of 1,500 bytes.
	segmentPayloadBytes = 1448
	segmentHeaderBytes  = 52
	// requestHeadBytes is the usual size of a request line with its headers.
	requestHeadBytes = 500
	// reservedFraction of the link is left for traffic that is not counted: messages
	// between gateways and calls to the store, up to 5 bytes per ms, and the
	// acknowledgments of received segments, about 2% of the bytes received.
	reservedFraction = 0.03
	// defaultMaxQueueMs is the default of Config.MaxQueueMs.
	defaultMaxQueueMs = 4.0
	// overloadHold is how long a link counts as overloaded after it was last over
	// capacity. A link near its capacity crosses the limit several times a second.
	overloadHold = 1 * kumquatlug.Second
)

// Transmission is one sending of a request's body.
type Transmission struct {
	// Bytes is the size of the body.
	Bytes int
	// WorkDone says that work has been spent on the request: its prompt is prefilled, or
	// its client has a part of the response.
	WorkDone bool
	// Value is the value of the request relative to the mean of its route.
	Value float64
	// ArrivedAt is when the client first sent the request.
	ArrivedAt kumquatlug.Millis
	// LatencyTarget is the latency target of the route and FirstOutputDue when the first
	// output is due by it, both zero for none.
	LatencyTarget, FirstOutputDue kumquatlug.Millis
	// Remaining is the expected time from the end of the transmission to the first
	// output.
	Remaining kumquatlug.Millis
	// Deadline is when the client gives up, zero for never.
	Deadline kumquatlug.Millis
	// Refusable says that the request may be refused because it would be late: no worker
	// has received it, and it was not refused before.
	Refusable bool
}

// Verdict is the decision on a [Transmission].
type Verdict string

// The verdicts.
const (
	// VerdictSend: the body is sent now.
	VerdictSend Verdict = "send"
	// VerdictWait: the body waits for the link.
	VerdictWait Verdict = "wait"
	// VerdictLate: the request is refused because it would be late on this link.
	VerdictLate Verdict = "late"
	// VerdictDeadline: the request is refused because the transmission can't end before
	// its client gives up.
	VerdictDeadline Verdict = "deadline"
)

// Due is a transmission that no longer waits.
type Due struct {
	key     uint64
	verdict Verdict
	waited  kumquatlug.Millis
}

// Key returns the key under which the transmission was submitted.
func (d Due) Key() uint64 { return d.key }

// Verdict returns whether it is sent or why it is refused.
func (d Due) Verdict() Verdict { return d.verdict }

// Waited returns how long it waited.
func (d Due) Waited() kumquatlug.Millis { return d.waited }

// entry is a transmission that waits.
type entry struct {
	Transmission
	key         uint64
	submittedAt kumquatlug.Millis
	// late is set if it can no longer meet its latency target.
	late bool
}

// Link is the link of a gateway. Create one with [New].
type Link struct {
	bytesPerMs, maxQueueMs float64
	active                 bool
	// backlogBytes is the size of the virtual queue at drainedAt.
	backlogBytes float64
	drainedAt    kumquatlug.Millis
	waiting      []*entry
	// overCapacityAt is when the link was last over capacity, wasOver whether it ever
	// was.
	overCapacityAt kumquatlug.Millis
	wasOver        bool
}

// New returns a link with nothing to send.
func New(c Config) *Link {
	return &Link{
		bytesPerMs: c.BytesPerMs * (1 - reservedFraction), maxQueueMs: cmp.Or(c.MaxQueueMs, defaultMaxQueueMs),
		active: kumquatlug.LowBandwidth(c.BytesPerMs),
	}
}

// Active reports whether the link is so slow that its transmissions are scheduled.
func (l *Link) Active() bool { return l.active }

// Admit returns how a request that just arrived would be judged: [VerdictLate] or
// [VerdictDeadline] if it is to be refused, else [VerdictSend]. It records nothing but
// whether the link is over capacity.
func (l *Link) Admit(now kumquatlug.Millis, t Transmission) Verdict {
	if !l.active || t.Bytes < SmallBodyBytes {
		return VerdictSend
	}
	l.drain(now)
	e := l.newEntry(now, 0, t)
	verdict := l.judge(now, e, l.bytesBefore(e), l.totalBytes())
	if verdict == VerdictWait {
		return VerdictSend
	}
	return verdict
}

// Submit submits a transmission under a key that is unique among those that wait. After
// [VerdictWait] the transmission is returned by Due, which is to be called at once.
func (l *Link) Submit(now kumquatlug.Millis, key uint64, t Transmission) Verdict {
	if !l.active {
		return VerdictSend
	}
	l.drain(now)
	e := l.newEntry(now, key, t)
	if t.Bytes < SmallBodyBytes {
		l.backlogBytes += e.wireBytes()
		return VerdictSend
	}
	if verdict := l.judge(now, e, l.bytesBefore(e), l.totalBytes()); verdict != VerdictWait {
		return verdict
	}
	if len(l.waiting) == 0 && l.hasRoom() {
		l.backlogBytes += e.wireBytes()
		return VerdictSend
	}
	l.waiting = append(l.waiting, e)
	return VerdictWait
}

// Due returns the transmissions to send now and those to refuse. It has to be called at
// [Link.NextDue] and after each Submit that returns [VerdictWait].
func (l *Link) Due(now kumquatlug.Millis) []Due {
	l.drain(now)
	for _, e := range l.waiting {
		e.late = e.isLate(now, l.bytesPerMs)
	}
	slices.SortFunc(l.waiting, compareEntries)
	due, ahead, total := []Due(nil), l.backlogBytes, l.totalBytes()
	kept := l.waiting[:0]
	for _, e := range l.waiting {
		own := e.wireBytes()
		if verdict := l.judge(now, e, ahead, total-own); verdict != VerdictWait {
			total -= own
			due = append(due, Due{key: e.key, verdict: verdict, waited: now - e.submittedAt})
			continue
		}
		ahead += own
		kept = append(kept, e)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	for len(l.waiting) > 0 && l.hasRoom() {
		e := l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.backlogBytes += e.wireBytes()
		due = append(due, Due{key: e.key, verdict: VerdictSend, waited: now - e.submittedAt})
	}
	return due
}

// NextDue returns when Due has to be called again. It returns false if nothing waits.
func (l *Link) NextDue() (kumquatlug.Millis, bool) {
	if len(l.waiting) == 0 {
		return 0, false
	}
	wait := math.Ceil(l.backlogBytes/l.bytesPerMs - l.maxQueueMs)
	return l.drainedAt + kumquatlug.Millis(max(wait, 1)), true
}

// Cancel removes a transmission that waits, because its client has disconnected.
func (l *Link) Cancel(key uint64) {
	l.waiting = slices.DeleteFunc(l.waiting, func(e *entry) bool { return e.key == key })
}

// Count counts bytes that were written without waiting, such as a part of a response.
func (l *Link) Count(now kumquatlug.Millis, bytes int) {
	if !l.active {
		return
	}
	l.drain(now)
	l.backlogBytes += wireBytes(bytes)
}

// BacklogMs returns how long the link needs for the virtual queue and for all that
// waits, in milliseconds.
func (l *Link) BacklogMs(now kumquatlug.Millis) float64 {
	if !l.active {
		return 0
	}
	l.drain(now)
	return l.totalBytes() / l.bytesPerMs
}

// WaitingBytes returns the total size of the bodies that wait.
func (l *Link) WaitingBytes() int {
	sum := 0
	for _, e := range l.waiting {
		sum += e.Bytes
	}
	return sum
}

// SecondBodyMs returns what a second transmission of a body costs in milliseconds: the
// time on the link, for the request itself and for each one that waits behind it.
func (l *Link) SecondBodyMs(bytes int) float64 {
	if !l.active {
		return 0
	}
	return l.sendingMs(bytes) * float64(1+len(l.waiting))
}

// SendingTime returns how long the body of a request takes on the idle link.
func (l *Link) SendingTime(bytes int) kumquatlug.Millis {
	if !l.active {
		return 0
	}
	return kumquatlug.Millis(math.Ceil(l.sendingMs(bytes)))
}

// Overloaded reports whether the link was over capacity within the last second.
func (l *Link) Overloaded(now kumquatlug.Millis) bool {
	return l.wasOver && now-l.overCapacityAt < overloadHold
}

// drain removes from the virtual queue what the link has sent since the last call. A
// caller may have read the clock before another one that came first.
func (l *Link) drain(now kumquatlug.Millis) {
	if now <= l.drainedAt {
		return
	}
	l.backlogBytes = max(0, l.backlogBytes-l.bytesPerMs*float64(now-l.drainedAt))
	l.drainedAt = now
}

// hasRoom reports whether another large body may be sent.
func (l *Link) hasRoom() bool { return l.backlogBytes <= l.maxQueueMs*l.bytesPerMs }

// judge returns [VerdictWait], or why a transmission is refused. The other arguments are
// the bytes that are sent before it, and all other bytes that are to be sent.
func (l *Link) judge(now kumquatlug.Millis, e *entry, ahead, others float64) Verdict {
	end := now + kumquatlug.Millis((ahead+e.wireBytes())/l.bytesPerMs)
	over := e.LatencyTarget > 0 && others/l.bytesPerMs > float64(e.LatencyTarget)/2
	if over {
		l.overCapacityAt, l.wasOver = now, true
	}
	switch {
	case e.Deadline > 0 && end >= e.Deadline:
		return VerdictDeadline
	case over && e.Refusable && end+e.Remaining > e.FirstOutputDue:
		return VerdictLate
	}
	return VerdictWait
}

// totalBytes returns the bytes in the virtual queue and those that wait.
func (l *Link) totalBytes() float64 {
	sum := l.backlogBytes
	for _, e := range l.waiting {
		sum += e.wireBytes()
	}
	return sum
}

// bytesBefore returns the bytes that are sent before a new transmission.
func (l *Link) bytesBefore(e *entry) float64 {
	sum := l.backlogBytes
	for _, other := range l.waiting {
		if compareEntries(other, e) <= 0 {
			sum += other.wireBytes()
		}
	}
	return sum
}

func (l *Link) sendingMs(bytes int) float64 { return wireBytes(bytes+requestHeadBytes) / l.bytesPerMs }

func (l *Link) newEntry(now kumquatlug.Millis, key uint64, t Transmission) *entry {
	e := &entry{Transmission: t, key: key, submittedAt: now}
	e.late = e.isLate(now, l.bytesPerMs)
	return e
}

// isLate reports whether the request misses its latency target even if it is sent now.
func (e *entry) isLate(now kumquatlug.Millis, bytesPerMs float64) bool {
	end := now + kumquatlug.Millis(e.wireBytes()/bytesPerMs)
	return e.LatencyTarget > 0 && end+e.Remaining > e.FirstOutputDue
}

func (e *entry) wireBytes() float64 { return wireBytes(e.Bytes + requestHeadBytes) }

// valuePerByte returns the value of the request per byte of its body.
func (e *entry) valuePerByte() float64 { return cmp.Or(e.Value, 1) / float64(max(e.Bytes, 1)) }

// wireBytes returns the bytes that a payload takes on the link with its packet headers.
func wireBytes(payload int) float64 {
	segments := (payload + segmentPayloadBytes - 1) / segmentPayloadBytes
	return float64(payload + segments*segmentHeaderBytes)
}

// compareEntries orders transmissions: first those on which work was spent by age, then
// those that can be on time by value per byte, then late ones by age.
func compareEntries(a, b *entry) int {
	if order := cmp.Compare(a.class(), b.class()); order != 0 {
		return order
	}
	if a.class() == classOnTime {
		if order := cmp.Compare(b.valuePerByte(), a.valuePerByte()); order != 0 {
			return order
		}
	}
	return cmp.Or(cmp.Compare(a.ArrivedAt, b.ArrivedAt), cmp.Compare(a.submittedAt, b.submittedAt), cmp.Compare(a.key, b.key))
}

// The classes of transmissions in the order in which they are sent.
const (
	classWorkDone = iota
	classOnTime
	classLate
)

func (e *entry) class() int {
	switch {
	case e.WorkDone:
		return classWorkDone
	case e.late:
		return classLate
	}
	return classOnTime
}
