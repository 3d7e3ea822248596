package gateway

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/eventstream"
)

// Errors in place of io.EOF for a stream that must not end there.
var (
	errNoEvent = errors.New("the stream ended with its connection before its first event")
	errStopped = errors.New("the stream ended with its connection during a move that failed")
)

// eventBuffer reads a stream and holds back the bytes of an event until it is complete, so that a
// stream that breaks off can be resumed after the last event that the client received. An event that
// exceeds maxEventBytes is an error: a worker in trouble may never end it.
type eventBuffer struct {
	g    *Gateway
	body io.Reader
	// otherContent says that the body is declared as something else than a stream of events, so
	// that it may end anywhere.
	otherContent bool
	framing      kumquatlug.Framing
	boundaries   eventstream.Boundaries
	buffer       []byte
	// pending are the bytes that were not forwarded before the last read, of which the first
	// ready ones may be forwarded now.
	pending []byte
	ready   int
	// partial says that a part of an event was among the bytes to forward, and its end wasn't yet.
	partial bool
	// forwarded is the number of bytes of the current event that were to be forwarded as a part.
	forwarded int
	// reserved says that the memory for the largest event is reserved.
	reserved bool
	// events is the number of events that became complete by the last read.
	events int
}

// newEventBuffer returns the buffer of a response to a request for a stream, which contains events
// unless it declares another content type. The caller must call release after the last read.
func (g *Gateway) newEventBuffer(response kumquatlug.WorkerResponse) *eventBuffer {
	contentType := response.Header().Get("Content-Type")
	return &eventBuffer{
		g: g, body: response.Body(), otherContent: contentType != "" && !eventstream.IsContentType(contentType), framing: response.Framing(),
		buffer: make([]byte, readBufferBytes),
	}
}

// readEvents reads until there are bytes to forward or an error. Bytes of an event that isn't complete
// are no progress: a worker in trouble may send them without end.
func (b *eventBuffer) readEvents() error {
	for {
		if _, err := b.read(); err != nil || len(b.complete()) > 0 {
			return err
		}
	}
}

// read reads the next bytes and returns their number. The end of the body is an error unless the
// stream may end there.
func (b *eventBuffer) read() (int, error) {
	b.discardReady()
	n, err := b.body.Read(b.buffer)
	before, held := b.boundaries.Events(), len(b.pending)
	b.pending = append(b.pending, b.buffer[:n]...)
	b.ready = 0
	if end, found := b.boundaries.Add(b.buffer[:n]); found {
		b.ready, b.partial, b.forwarded = held+end, false, 0
	}
	b.events = b.boundaries.Events() - before
	tooLarge := b.limitEvent()
	if err != nil {
		b.release()
	}
	if tooLarge {
		return n, errors.Mark(errors.Newf("an event of the stream has more than %d bytes", maxEventBytes), kumquatlug.ErrTooLarge)
	}
	if errors.Is(err, io.EOF) && !b.otherContent {
		err = b.end()
	}
	return n, err
}

// discardReady drops the bytes that were forwarded, and the memory of a large event.
func (b *eventBuffer) discardReady() {
	rest := b.pending[b.ready:]
	if b.reserved && len(rest) <= maxUnreservedBytes {
		b.pending = append(make([]byte, 0, len(rest)+readBufferBytes), rest...)
		b.release()
		return
	}
	b.pending = b.pending[:copy(b.pending, rest)]
}

// limitEvent reports whether the event that is held back is too large. One for which no memory can be
// reserved is forwarded in parts, as is large content that isn't a stream of events.
func (b *eventBuffer) limitEvent() bool {
	held := len(b.pending) - b.ready
	large := b.forwarded+held > maxEventBytes
	if large && !b.otherContent {
		return true
	}
	if large || held > maxUnreservedBytes && !b.reserve() {
		b.forwarded += held
		b.ready, b.partial = len(b.pending), true
	}
	return false
}

func (b *eventBuffer) reserve() bool {
	b.reserved = b.reserved || b.g.reserveEvent()
	return b.reserved
}

// release releases what is reserved.
func (b *eventBuffer) release() {
	if b.reserved {
		b.reserved = false
		b.g.bufferBytes.Add(-maxEventBytes)
	}
}

// end returns io.EOF if the stream may end here, else an error. A stream without events is complete
// only if its engine has marked the end: a request that is resumed after its last event gets none.
func (b *eventBuffer) end() error {
	switch {
	case b.boundaries.Inside():
		return eventstream.ErrInside
	case b.framing == kumquatlug.FramingConnection && b.boundaries.Events() == 0:
		return errNoEvent
	}
	return io.EOF
}

// complete returns the bytes to forward after a read. They are valid until the next one.
func (b *eventBuffer) complete() []byte { return b.pending[:b.ready] }

// rest returns the bytes that are held back. At the end of a stream of events they are comments.
func (b *eventBuffer) rest() []byte { return b.pending[b.ready:] }
