package kumquatlug

// lowBandwidthBytesPerMs is the rate below which a link is a low-bandwidth one: a body of
// 10,000 bytes takes more than 2 ms on it, and messages wait noticeably behind bodies.
const lowBandwidthBytesPerMs = 5000.0

// LowBandwidth reports whether the rate of a gateway's link, in bytes per ms, is known and
// that of a low-bandwidth link. Zero means that the rate is not known.
func LowBandwidth(bytesPerMs float64) bool {
	return bytesPerMs > 0 && bytesPerMs < lowBandwidthBytesPerMs
}
