// Package eventstream finds the ends of the events in a stream of server-sent events, and tells
// whether the stream may end where it did.
//
// The end of the input doesn't say that a stream is complete: an engine that stops in the middle
// of an event may close its connection like one that has sent everything. A stream that ends
// inside an event is incomplete, whatever its framing says, and is resumed after its last
// complete event.
//
// Source: the WHATWG HTML standard, section 9.2.6.
package eventstream

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInside is returned in place of io.EOF by readers of a stream that ends inside an event.
var ErrInside = errors.New("the stream ended inside an event")

// IsContentType reports whether a Content-Type header declares a stream of events.
func IsContentType(header string) bool {
	mediaType, _, _ := strings.Cut(header, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// Boundaries finds the ends of the events of one stream. The zero value is ready for its first
// bytes.
type Boundaries struct {
	events int
	// lineBytes is the length of the current line so far, comment says that it is a comment.
	lineBytes int
	comment   bool
	// fields says that the current event has a complete line that is no comment.
	fields bool
	// returned says that the last byte was a carriage return, crlf that the last complete line
	// ended with one and a line feed.
	returned, crlf bool
	// emptyReturned says that an empty line has its carriage return, and that its line feed is due.
	emptyReturned bool
	// afterEnd says that the last byte was the last one of an event.
	afterEnd bool
}

// Add reads the next bytes of the stream. It returns the number of them up to and including the
// end of the last complete event, and false if no event ends within them.
func (b *Boundaries) Add(p []byte) (int, bool) {
	end, found := 0, false
	for i := 0; i < len(p); i++ {
		c := p[i]
		switch {
		case b.returned && c == '\n':
			// The second byte of a line ending.
			b.returned, b.crlf = false, true
			if b.emptyReturned {
				b.endEvent()
			}
			if b.afterEnd {
				end, found = i+1, true
			}
			continue
		case b.emptyReturned:
			// The carriage return was the whole line ending.
			b.endEvent()
			end, found = i, true
			fallthrough
		case b.returned:
			b.returned, b.crlf = false, false
		}
		if b.addByte(c) {
			end, found = i+1, true
		}
		if b.lineBytes > 0 {
			rest := lineLength(p[i+1:])
			b.lineBytes += rest
			i += rest
		}
	}
	return end, found
}

// lineLength returns the number of bytes before the first line ending.
func lineLength(p []byte) int {
	if n := bytes.IndexByte(p, '\n'); n >= 0 {
		p = p[:n]
	}
	if n := bytes.IndexByte(p, '\r'); n >= 0 {
		return n
	}
	return len(p)
}

// addByte reads a byte that doesn't complete the line ending before it. It returns true if an event
// ends with it.
func (b *Boundaries) addByte(c byte) bool {
	if c != '\r' && c != '\n' {
		if b.lineBytes == 0 {
			b.comment = c == ':'
		}
		b.lineBytes++
		b.afterEnd = false
		return false
	}
	b.returned = c == '\r'
	if b.lineBytes > 0 {
		b.fields = b.fields || !b.comment
		b.lineBytes = 0
		return false
	}
	if b.returned && b.crlf {
		b.emptyReturned = true
		return false
	}
	b.endEvent()
	return true
}

func (b *Boundaries) endEvent() {
	if b.fields {
		b.events++
	}
	b.fields, b.emptyReturned, b.afterEnd = false, false, true
}

// Inside reports whether the bytes so far end inside an event, a line or a line ending.
func (b *Boundaries) Inside() bool { return b.fields || b.lineBytes > 0 || b.emptyReturned }

// Events returns the number of complete events so far.
func (b *Boundaries) Events() int { return b.events }

// LastID returns the number of the last of these complete events that has one, and false if none
// has. An id that isn't a number is ignored.
func LastID(events []byte) (int64, bool) {
	field := []byte("id:")
	for at := len(events); at > 0; {
		at = bytes.LastIndex(events[:at], field)
		if at < 0 {
			return 0, false
		}
		if at > 0 && events[at-1] != '\n' && events[at-1] != '\r' {
			continue
		}
		line := events[at+len(field):]
		if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
			line = line[:end]
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 10, 64); err == nil {
			return id, true
		}
	}
	return 0, false
}
