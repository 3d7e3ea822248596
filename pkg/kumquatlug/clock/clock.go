// Package clock provides clocks based on the system's monotonic time, boot time and time of
// day, and one that tests advance manually.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Monotonic is the system's monotonic clock, so that a step of the wall clock can't extend a
// lease. It stops while the VM is suspended, see [Boottime].
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

// Manual is a clock that only moves when it is advanced. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock set to start.
func NewManual(start kumquatlug.Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the current time of the clock.
func (m *Manual) Now() kumquatlug.Millis {
	return kumquatlug.Millis(m.now.Load())
}

// Advance advances the clock and returns the new time.
func (m *Manual) Advance(span kumquatlug.Millis) kumquatlug.Millis {
	return kumquatlug.Millis(m.now.Add(int64(span)))
}

// Boottime is the system's boot-time clock, which also counts the time while the VM is suspended.
// By the monotonic clock, a lease holder that was suspended past the end of its lease would
// still consider itself the holder.
type Boottime struct {
	origin kumquatlug.Millis
}

// NewBoottime returns a clock whose origin is one minute before the call.
func NewBoottime() *Boottime {
	return &Boottime{origin: sinceBoot() - kumquatlug.Minute}
}

// Now returns the milliseconds since the origin.
func (b *Boottime) Now() kumquatlug.Millis { return sinceBoot() - b.origin }

// Wall returns Unix time in milliseconds. It reads the time of day once, when it is created,
// and advances with a clock that counts suspended time. The system's time of day may jump back
// and forth by seconds, and events would be counted in the wrong time windows.
type Wall struct {
	boottime kumquatlug.Clock
	offset   kumquatlug.Millis
}

// NewWall returns a clock that advances with boottime.
func NewWall(boottime kumquatlug.Clock) *Wall {
	return &Wall{boottime: boottime, offset: kumquatlug.Millis(time.Now().UnixMilli()) - boottime.Now()}
}

// Now returns the milliseconds since the Unix epoch.
func (w *Wall) Now() kumquatlug.Millis { return w.boottime.Now() + w.offset }

func sinceBoot() kumquatlug.Millis {
	var t unix.Timespec
	// The error is ignored: the kernel supports this clock, and an error would occur at
	// every call.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return kumquatlug.MillisOf(time.Duration(t.Nano()))
}
