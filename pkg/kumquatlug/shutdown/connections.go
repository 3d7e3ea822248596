// Package shutdown knows what a stopping process has received and not answered yet.
//
// A process that counts only the requests whose handlers run takes itself for idle while
// connections wait to be read and heads arrive in parts: on a link that is full, the bytes of a
// request follow its connection seconds later. The load pattern is a roll in which the load
// balancer goes on sending to stopping processes behind such links.
//
// The caller reports what happens on the connections. No type is safe for concurrent use.
package shutdown

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// State is the state of a connection.
type State string

// States of a connection.
const (
	// New connections have sent nothing.
	New State = "new"
	// Head is the state while the head of a request arrives.
	Head State = "head"
	// Active is the state from a whole head until the end of the response.
	Active State = "active"
	// Idle connections have sent nothing since their last response.
	Idle State = "idle"
)

// Conn is an open connection.
type Conn struct {
	state             State
	since, receivedAt kumquatlug.Millis
	bytes             int64
}

// State returns the state of the connection, Since when it entered it.
func (c *Conn) State() State { return c.state }

// Since returns when the connection entered its state.
func (c *Conn) Since() kumquatlug.Millis { return c.since }

// ReceivedAt returns when bytes arrived last, or when the connection was accepted.
func (c *Conn) ReceivedAt() kumquatlug.Millis { return c.receivedAt }

// Bytes returns the number of bytes received since the last response.
func (c *Conn) Bytes() int64 { return c.bytes }

// Counts are the numbers of connections in each state.
type Counts struct{ New, Head, Active, Idle int }

// Connections are the open connections of a process.
type Connections struct {
	open       map[*Conn]struct{}
	receivedAt kumquatlug.Millis
	// delays are the delays of the newest heads, a ring with the next entry at next.
	delays [delaySamples]headDelay
	next   int
}

// headDelay is how long a head took to arrive, from the accept of its connection or from its first
// bytes on a kept one.
type headDelay struct{ at, took kumquatlug.Millis }

// Parameters of the delay of heads.
const (
	delaySamples = 64
	// delayWindow is how long a delay counts: links fill up and drain within seconds.
	delayWindow = 10 * kumquatlug.Second
)

// NewConnections returns the connections of a process that has none.
func NewConnections() *Connections { return &Connections{open: map[*Conn]struct{}{}} }

// Accept records a new connection.
func (s *Connections) Accept(now kumquatlug.Millis) *Conn {
	c := &Conn{state: New, since: now, receivedAt: now}
	s.open[c] = struct{}{}
	s.receivedAt = now
	return c
}

// Receive records bytes that arrived on a connection.
func (s *Connections) Receive(now kumquatlug.Millis, c *Conn, bytes int) {
	if c.state == Idle {
		c.since = now
	}
	if c.state == New || c.state == Idle {
		c.state = Head
	}
	c.bytes += int64(bytes)
	c.receivedAt, s.receivedAt = now, now
}

// Begin records that the head of a request is whole.
func (s *Connections) Begin(now kumquatlug.Millis, c *Conn) {
	if c.state == Active {
		return
	}
	s.delays[s.next] = headDelay{now, now - c.since}
	s.next = (s.next + 1) % delaySamples
	c.state, c.since = Active, now
}

// Finish records that a request has been answered.
func (s *Connections) Finish(now kumquatlug.Millis, c *Conn) {
	c.state, c.since, c.bytes = Idle, now, 0
}

// Close records the end of a connection.
func (s *Connections) Close(c *Conn) { delete(s.open, c) }

// Counts returns the numbers of connections.
func (s *Connections) Counts() Counts {
	var n Counts
	for c := range s.open {
		switch c.state {
		case New:
			n.New++
		case Head:
			n.Head++
		case Active:
			n.Active++
		case Idle:
			n.Idle++
		}
	}
	return n
}

// ReceivedAt returns when a connection was accepted or bytes arrived last.
func (s *Connections) ReceivedAt() kumquatlug.Millis { return s.receivedAt }

// HeadDelay returns the longest time in ms that a head took to arrive recently.
func (s *Connections) HeadDelay(now kumquatlug.Millis) kumquatlug.Millis {
	longest := kumquatlug.Millis(0)
	for _, d := range s.delays {
		if now-d.at <= delayWindow {
			longest = max(longest, d.took)
		}
	}
	return longest
}

// Unanswered returns the connections that have sent something that is not answered yet.
func (s *Connections) Unanswered() []*Conn {
	var found []*Conn
	for c := range s.open {
		if c.state == Head || c.state == Active {
			found = append(found, c)
		}
	}
	return found
}

// Answered reports whether all that was received has been answered, and no connection is so new that
// its first request may be on its way.
func (s *Connections) Answered(now kumquatlug.Millis) bool {
	for c := range s.open {
		if c.state == Head || c.state == Active || c.state == New && now-c.since < firstByteTime {
			return false
		}
	}
	return true
}
