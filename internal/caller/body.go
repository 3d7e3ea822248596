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

// readBody reads the whole body before the request is admitted, so that a slow
// sender occupies only its own connection.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *kumquatlug.Failure) {
	if failure := h.reserveBody(r); failure != nil {
		w.Header().Set("Connection", "close")
		return nil, failure
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(h.bodyTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, nil
	}
	// net/http reads the rest of a request body before it sends the response,
	// to keep the connection alive. Without the read deadline it would wait
	// indefinitely for a slow sender and the refusal would never be sent. The
	// deadline therefore stays set, and the connection is closed, which skips
	// that read.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newRefusalWithCause("read body", "body_too_large", http.StatusRequestEntityTooLarge,
			errors.Newf("more than %d bytes", h.maxBodyBytes))
	}
	return nil, newRefusalWithCause("read body", "body_not_read", http.StatusRequestTimeout, err)
}

// reserveBody counts the body against the total limit on buffered bodies before
// any byte of it is read. Without the limit, some hundred callers that each
// send a body just under the per-request limit would exhaust memory and take
// down every response in flight with the process.
func (h *Handler) reserveBody(r *http.Request) *kumquatlug.Failure {
	size := r.ContentLength
	if size < 0 {
		size = h.maxBodyBytes
	}
	size = min(size, h.maxBodyBytes)
	if h.reservedBytes.Add(size) > h.maxReservedBytes {
		h.reservedBytes.Add(-size)
		return kumquatlug.NewFailure(kumquatlug.FailureConfig{
			Step: "read body", Reason: "bodies_full", Execution: kumquatlug.NotExecuted,
			Status: http.StatusServiceUnavailable, RetryAfter: kumquatlug.Second,
		})
	}
	requestStateOf(r).reservedBytes += size
	return nil
}

// maxTimeout is the longest timeout that a caller may request: one day.
const maxTimeout = 24 * kumquatlug.Hour

// parseTimeout returns the timeout that the caller requested, or zero if there
// is none. It is given in milliseconds in the header [peer.HeaderTimeout] or in
// seconds in the standard header "Prefer: wait=N" (RFC 7240).
func parseTimeout(h http.Header) (kumquatlug.Millis, *kumquatlug.Failure) {
	value, unit := h.Get(peer.HeaderTimeout), kumquatlug.Millis(1)
	if wait, ok := strings.CutPrefix(h.Get("Prefer"), "wait="); ok && value == "" {
		value, unit = wait, kumquatlug.Second
	}
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n <= 0 || n > int64(maxTimeout/unit) {
		return 0, newRefusalWithCause("read timeout", "bad_timeout", http.StatusBadRequest,
			errors.Newf("%q is no number of milliseconds or seconds above zero and below a day", value))
	}
	return kumquatlug.Millis(n) * unit, nil
}
