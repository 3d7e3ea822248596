package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// readBody reads the whole body before the request takes a place anywhere, so
// that a caller that sends slowly holds nothing but its own connection.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *kumquatlug.Failure) {
	if failure := h.hold(r); failure != nil {
		w.Header().Set("Connection", "close")
		return nil, failure
	}
	limit := http.NewResponseController(w)
	_ = limit.SetReadDeadline(time.Now().Add(h.bodyTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBody))
	if err == nil {
		_ = limit.SetReadDeadline(time.Time{})
		return body, nil
	}
	// Before it answers, net/http reads the rest of a body to keep the
	// connection. With the deadline lifted it would wait for a slow sender for
	// ever and the refusal would never go out; so the deadline stays, and the
	// connection is closed, which skips that reading.
	w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refusalFor("read body", "body_too_large", http.StatusRequestEntityTooLarge,
			errors.Newf("more than %d bytes", h.maxBody))
	}
	return nil, refusalFor("read body", "body_not_read", http.StatusRequestTimeout, err)
}

// hold counts the body against the bound of all bodies before a byte of it is
// read. Some hundred callers that each send a body just under its own bound would
// else fill the memory, and everybody's answers would end with the process.
func (h *Handler) hold(r *http.Request) *kumquatlug.Failure {
	size := r.ContentLength
	if size < 0 {
		size = h.maxBody
	}
	size = min(size, h.maxBody)
	if h.held.Add(size) > h.maxHeld {
		h.held.Add(-size)
		return kumquatlug.NewFailure(kumquatlug.FailureConfig{
			Step: "read body", Reason: "bodies_full", Ran: kumquatlug.RanNot,
			Status: http.StatusServiceUnavailable, RetryAfter: kumquatlug.Second,
		})
	}
	originOf(r).held += size
	return nil
}

// maxTimeout bounds what a caller may ask for: a day.
const maxTimeout = 24 * kumquatlug.Hour

// timeoutOf returns the time that the caller gives the request, zero when it
// names none: in milliseconds by our own header, or in seconds by the standard
// "Prefer: wait=N" (RFC 7240).
func timeoutOf(h http.Header) (kumquatlug.Millis, *kumquatlug.Failure) {
	text, unit := h.Get(peer.HeaderTimeout), kumquatlug.Millis(1)
	if wait, ok := strings.CutPrefix(h.Get("Prefer"), "wait="); ok && text == "" {
		text, unit = wait, kumquatlug.Second
	}
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 || n > int64(maxTimeout/unit) {
		return 0, refusalFor("read timeout", "bad_timeout", http.StatusBadRequest,
			errors.Newf("%q is no number of milliseconds or seconds above zero and below a day", text))
	}
	return kumquatlug.Millis(n) * unit, nil
}
