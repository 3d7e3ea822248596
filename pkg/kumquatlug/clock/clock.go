// Package clock gives the two clocks of the project: one that follows the
// machine's monotonic clock and one that tests move by hand.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

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

// Awake counts the time in which the VM was suspended, too, which the monotonic
// clock leaves out. A holder that was suspended past its lease would otherwise
// wake and still believe in it.
type Awake struct {
	origin kumquatlug.Millis
}

// NewAwake returns a clock whose origin is one minute before the call.
func NewAwake() *Awake {
	return &Awake{origin: sinceBoot() - kumquatlug.Minute}
}

// Now returns the milliseconds since the origin.
func (a *Awake) Now() kumquatlug.Millis { return sinceBoot() - a.origin }

// Wall shows the time since 1970. It reads the machine's time of day once, at its
// start, and goes on by a clock that counts time in which the VM was suspended: the
// time of day may jump by seconds and back, and what is counted by windows of time
// would land in wrong ones.
type Wall struct {
	boottime kumquatlug.Clock
	offset   kumquatlug.Millis
}

// NewWall returns a clock that goes on by awake.
func NewWall(boottime kumquatlug.Clock) *Wall {
	return &Wall{boottime: boottime, offset: kumquatlug.Millis(time.Now().UnixMilli()) - boottime.Now()}
}

// Now returns the milliseconds since 1970.
func (w *Wall) Now() kumquatlug.Millis { return w.boottime.Now() + w.offset }

func sinceBoot() kumquatlug.Millis {
	var t unix.Timespec
	// The kernel knows this clock; an error would be the same at every call.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return kumquatlug.MillisOf(time.Duration(t.Nano()))
}
