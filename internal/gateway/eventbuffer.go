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
// stream that breaks off can be resumed after the last event that the client received.
type eventBuffer struct {
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
	// events is the number of events that became complete by the last read.
	events int
}

// newEventBuffer returns the buffer of a response to a request for a stream, which contains events
// unless it declares another content type.
func newEventBuffer(response kumquatlug.WorkerResponse) *eventBuffer {
	contentType := response.Header().Get("Content-Type")
	return &eventBuffer{
		body: response.Body(), otherContent: contentType != "" && !eventstream.IsContentType(contentType), framing: response.Framing(),
		buffer: make([]byte, readBufferBytes),
	}
}

// read reads the next bytes and returns their number. The end of the body is an error unless the
// stream may end there.
func (b *eventBuffer) read() (int, error) {
	b.pending = b.pending[:copy(b.pending, b.pending[b.ready:])]
	n, err := b.body.Read(b.buffer)
	before, held := b.boundaries.Events(), len(b.pending)
	b.pending = append(b.pending, b.buffer[:n]...)
	b.ready = 0
	if end, found := b.boundaries.Add(b.buffer[:n]); found {
		b.ready, b.partial = held+end, false
	}
	if len(b.pending)-b.ready > maxEventBytes {
		b.ready, b.partial = len(b.pending), true
	}
	b.events = b.boundaries.Events() - before
	if errors.Is(err, io.EOF) && !b.otherContent {
		err = b.end()
	}
	return n, err
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
