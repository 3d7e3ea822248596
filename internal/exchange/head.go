package exchange

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limits of the head of a response, which is its status line and its headers. A peer in trouble may
// send bytes without end, and the reader of net/http collects a line of any length. The time is
// limited by the deadline of the call.
const (
	// MaxHeadBytes is the size from which a head is broken. Workers send less than 1 KB.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines is the same for the number of lines: in memory a short line takes over ten times
	// its size.
	MaxHeadLines = 1000
)

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// headReader reads from a connection and fails once a head exceeds its limits. It sits below the
// buffer, which asks for more bytes only while the head is incomplete.
type headReader struct {
	conn net.Conn
	// limited is set while a head is read; bytes and lines are what has been read since.
	limited      bool
	bytes, lines int
}

// begin starts the head of a response.
func (h *headReader) begin() { h.limited, h.bytes, h.lines = true, 0, 0 }

// end ends the head; what follows is a body, which has no limit here.
func (h *headReader) end() { h.limited = false }

// Read implements [io.Reader].
func (h *headReader) Read(buf []byte) (int, error) {
	if !h.limited {
		return h.conn.Read(buf)
	}
	if h.bytes >= MaxHeadBytes || h.lines >= MaxHeadLines {
		return 0, tooLarge("the head of the response has more than %d bytes or %d lines", MaxHeadBytes, MaxHeadLines)
	}
	n, err := h.conn.Read(buf)
	h.bytes += n
	h.lines += bytes.Count(buf[:n], []byte{'\n'})
	return n, err
}

func tooLarge(format string, values ...any) error {
	return errors.Mark(errors.Newf(format, values...), kumquatlug.ErrTooLarge)
}

// CheckHead returns an error for a malformed head that the reader of net/http accepts. The bytes after it have no known
// meaning.
func CheckHead(response *http.Response) error {
	return errors.CombineErrors(checkStatus(response.StatusCode), checkNames(response.Header))
}

// checkStatus returns an error for a status that HTTP doesn't define, since the reader accepts any three digits, and for a
// switch of protocols, which no request asks for.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Newf("invalid status %03d", status)
	}
	return nil
}

// checkNames returns an error if the name of a header contains a space, the only character outside of a token that the
// reader accepts. It takes "Content-Length :" for a header of another name, so that the body would end elsewhere than its
// peer meant.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return errors.Newf("malformed header %q", name)
		}
	}
	return nil
}

// ReadBody reads the body of a response to a call of this system, which has a limit in bytes. The
// error of a longer one is marked [kumquatlug.ErrTooLarge]; the caller then closes the body and
// thereby the connection.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	var body []byte
	var err error
	if response.ContentLength <= limit {
		body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	}
	if response.ContentLength > limit || int64(len(body)) > limit {
		err = tooLarge("the body of the response has more than %d bytes", limit)
		if b, pooled := response.Body.(*responseBody); pooled {
			b.pool.reportTooLarge(b.conn.address, err)
		}
		return nil, err
	}
	return body, err
}
