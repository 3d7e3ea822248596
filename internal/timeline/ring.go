// Package timeline keeps the most recent events of a process in a ring buffer and
// merges the buffers of many processes into one ordered sequence.
//
// The wall clocks of different VMs differ by more than a request takes, so events
// are ordered by a Lamport clock: each message between processes carries the
// sender's count, and the receiver continues from the higher of the two. An event
// is therefore always ordered after the event that caused it.
package timeline

import (
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
)

// DefaultSize is the number of events that a ring keeps. At about 200 bytes per
// event that is 0.8 MB, less than one per cent of the 128 MB that a node may use
// for control, and covers several seconds of a busy gateway.
const DefaultSize = 4096

// EventName is the type of an event.
type EventName string

// Events of gateways and agents.
const (
	Admitted       EventName = "admitted"
	Refused        EventName = "refused"
	Sent           EventName = "sent"
	AttemptFailed  EventName = "attempt_failed"
	Answered       EventName = "answered"
	WorkBegun      EventName = "work_begun"
	WorkEnded      EventName = "work_ended"
	WorkRefused    EventName = "work_refused"
	TargetCrashed  EventName = "target_crashed"
	ConfigAdopted  EventName = "config_adopted"
	ConfigChanged  EventName = "config_changed"
	TargetUp       EventName = "target_up"
	TargetDown     EventName = "target_down"
	StateChanged   EventName = "state_changed"
	OrderSent      EventName = "order_sent"
	OrderTaken     EventName = "order_taken"
	OrderRefused   EventName = "order_refused"
	LeaseTaken     EventName = "lease_taken"
	LeaseLost      EventName = "lease_lost"
	RequestBlocked EventName = "request_blocked"
)

// Record holds the fields of an event that are passed to [Ring.Add]; the ring sets the
// others. It must not contain secrets: no key, no prompt, no body.
type Record struct {
	Name      EventName
	RequestID string
	Peer      string
	Detail    string
	// Duration is how long the operation that ended took, in milliseconds.
	Duration int64
}

// Ring keeps the most recent events of one process. It is safe for concurrent use.
type Ring struct {
	mu           sync.Mutex
	node         string
	events       []*peerv1.Event
	lastSequence int64
	logical      int64
	wallTime     func() time.Time
}

// NewRing returns a ring that keeps size events of the process named node.
func NewRing(node string, size int) *Ring {
	return &Ring{node: node, events: make([]*peerv1.Event, size), wallTime: time.Now}
}

// Add appends an event, replacing the oldest one if the ring is full, and returns
// the logical time to send with a message that the event causes.
func (r *Ring) Add(record Record) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logical++
	r.lastSequence++
	r.events[r.lastSequence%int64(len(r.events))] = &peerv1.Event{
		Node: r.node, Sequence: r.lastSequence, WallMs: r.wallTime().UnixMilli(),
		Name: string(record.Name), RequestId: record.RequestID, Peer: record.Peer, Detail: record.Detail,
		Logical: r.logical, DurationMs: record.Duration,
	}
	return r.logical
}

// Witness advances the logical clock to the time received with a message.
func (r *Ring) Witness(logical int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if logical > r.logical {
		r.logical = logical
	}
}

// Logical returns the logical time to send with a message.
func (r *Ring) Logical() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logical
}

// After returns the events with a higher sequence number than sequence, only those
// of one request unless requestID is empty, and the number of events in that range
// that have been overwritten.
func (r *Ring) After(sequence int64, requestID string) (events []*peerv1.Event, lost int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.lastSequence - int64(len(r.events)) + 1
	if oldest < 1 {
		oldest = 1
	}
	first := sequence + 1
	if first < oldest {
		lost = oldest - first
		first = oldest
	}
	for s := first; s <= r.lastSequence; s++ {
		e := r.events[s%int64(len(r.events))]
		if requestID == "" || e.GetRequestId() == requestID {
			events = append(events, e)
		}
	}
	return events, lost
}
