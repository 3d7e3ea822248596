package kumquatlug

import "time"

// Millis is a point in time or a span, in milliseconds. Points are counted
// from the origin of the [Clock] that gave them and mean nothing in another
// process.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// MillisOf turns a library duration into milliseconds, rounding down.
func MillisOf(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration turns m into the form that the standard library takes.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}
