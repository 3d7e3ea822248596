// Package timeline keeps the last events of a process in a bounded ring and
// merges the rings of many processes into one ordered line.
//
// Wall clocks of different VMs disagree by more than a request lasts, so the
// order comes from a logical clock (Lamport): each message between processes
// carries the sender's count, and the receiver goes on from the higher one. An
// event that another one caused therefore always stands after it.
package timeline

import (
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/peer/peerv1"
)

// DefaultSize is how many events a ring keeps: at about 200 bytes an event it
// holds 0.8 MB, under one per cent of the 128 MB that a node may spend on
// control, and several seconds of a busy entry.
const DefaultSize = 4096

// Name says what happened.
type Name string

// The events of entries and agents.
const (
	Admitted       Name = "admitted"
	Refused        Name = "refused"
	Sent           Name = "sent"
	AttemptFailed  Name = "attempt_failed"
	Answered       Name = "answered"
	WorkBegun      Name = "work_begun"
	WorkEnded      Name = "work_ended"
	WorkRefused    Name = "work_refused"
	TargetCrashed  Name = "target_crashed"
	ConfigAdopted  Name = "config_adopted"
	ConfigChanged  Name = "config_changed"
	TargetUp       Name = "target_up"
	TargetDown     Name = "target_down"
	StateChanged   Name = "state_changed"
	OrderSent      Name = "order_sent"
	OrderTaken     Name = "order_taken"
	OrderRefused   Name = "order_refused"
	LeaseTaken     Name = "lease_taken"
	LeaseLost      Name = "lease_lost"
	RequestBlocked Name = "request_blocked"
)

// Record is what a caller of [Ring.Add] knows of an event. It must hold no
// secret: no key, no prompt, no body.
type Record struct {
	Name      Name
	RequestID string
	Peer      string
	Detail    string
	// Duration is how long what ended here took, in milliseconds.
	Duration int64
}

// Ring keeps the last events of one process. It is safe for concurrent use.
type Ring struct {
	mu           sync.Mutex
	node         string
	events       []*peerv1.Event
	lastSequence int64
	logical      int64
	wallTime     func() time.Time
}

// NewRing returns a ring for the process called node that keeps size events.
func NewRing(node string, size int) *Ring {
	return &Ring{node: node, events: make([]*peerv1.Event, size), wallTime: time.Now}
}

// Add appends an event, over the oldest one when the ring is full, and returns
// the logical time to send along with a message that it causes.
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

// Witness takes in the logical time that came with a message.
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

// After returns the events with a higher sequence number, those of one request
// only when requestID is not empty, and how many were already overwritten.
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
