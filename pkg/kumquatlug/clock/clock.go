// Package clock gives the two clocks of the project: one that follows the
// machine's monotonic clock and one that tests move by hand.
package clock

import (
	"sync/atomic"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Monotonic follows the machine's monotonic clock, so that a step of the wall
// clock can't lengthen a lease.
type Monotonic struct {
	origin time.Time
}

// NewMonotonic returns a clock whose origin is one minute before the call, so
// that a zero time always lies in the past.
func NewMonotonic() *Monotonic {
	return &Monotonic{origin: time.Now().Add(-time.Minute)}
}

// Now returns the milliseconds since the origin.
func (m *Monotonic) Now() kumquatlug.Millis {
	return kumquatlug.MillisOf(time.Since(m.origin))
}

// Manual stands still until it is moved. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that shows start.
func NewManual(start kumquatlug.Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the time the clock was last moved to.
func (m *Manual) Now() kumquatlug.Millis {
	return kumquatlug.Millis(m.now.Load())
}

// Advance moves the clock forward by span and returns the new time.
func (m *Manual) Advance(span kumquatlug.Millis) kumquatlug.Millis {
	return kumquatlug.Millis(m.now.Add(int64(span)))
}
