package kumquatlug

import "time"

// Millis is a point in time or a duration, in milliseconds. Points in time count from
// the origin of the [Clock] that returned them and are meaningless in another process.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// MillisOf converts a [time.Duration] to milliseconds, rounding toward zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts m to a [time.Duration].
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}
