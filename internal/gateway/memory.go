package gateway

import (
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// minBufferedBytes is the part of a response that is buffered in any case.
const minBufferedBytes = 4 << 10

// reserveBuffer returns how many bytes of a plain response may be buffered before its
// first byte is forwarded, and a function that releases the reservation. A client that
// reads slowly keeps the buffer occupied, so that all buffers together are bounded by
// MaxBufferBytes.
func (g *Gateway) reserveBuffer(length int64) (int64, func()) {
	size := int64(maxBufferedBytes)
	if length >= 0 {
		// One more byte shows that the response has ended.
		size = min(size, length+1)
	}
	if g.bufferBytes.Add(size) <= g.c.MaxBufferBytes {
		return size, func() { g.bufferBytes.Add(-size) }
	}
	g.bufferBytes.Add(-size)
	return min(size, minBufferedBytes), func() {}
}

// reserveEvent reserves the memory of the largest event that is held back until it is complete,
// which counts like a buffered response. It reports whether it fits into the bound.
func (g *Gateway) reserveEvent() bool {
	if g.bufferBytes.Add(maxEventBytes) <= g.c.MaxBufferBytes {
		return true
	}
	g.bufferBytes.Add(-maxEventBytes)
	return false
}

// clientWriter is a relayWriter that records the time in which the client does not read.
type clientWriter struct {
	relayWriter
	f *inflight
	a *relayedAttempt
}

func (c *clientWriter) Write(b []byte) (int, error) {
	c.f.setForwarding(c.a, true)
	defer c.f.setForwarding(c.a, false)
	return c.relayWriter.Write(b)
}

// setForwarding records whether output of an attempt is being written to the client.
func (f *inflight) setForwarding(a *relayedAttempt, forwarding bool) {
	f.g.scheduler.setForwarding(f.g.c.Clock.Now(), f.service.Name(), a.attempt, forwarding)
}

func (sc *scheduler) setForwarding(now kumquatlug.Millis, service string, a *placement.Attempt, forwarding bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.service(service).placer.SetForwarding(now, a, forwarding)
}
