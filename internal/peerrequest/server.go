package peerrequest

import (
	"net/http"
	"strconv"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// ResponseWriter writes the response to a handed-off request. Every response carries the key
// of the request, so that the other gateway can tell it from one that net/http generates.
type ResponseWriter struct {
	http.ResponseWriter
	key     uint64
	refusal *kumquatlug.Failure
	version string
	// streaming is set once the header of a response without a length has been written.
	streaming bool
}

// NewResponseWriter returns a writer of the response to the request with this key.
func NewResponseWriter(w http.ResponseWriter, key uint64) *ResponseWriter {
	return &ResponseWriter{ResponseWriter: w, key: key}
}

// Unwrap is used by [http.ResponseController].
func (w *ResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// SetRefusal says that the response is a refusal of this gateway.
func (w *ResponseWriter) SetRefusal(f *kumquatlug.Failure) { w.refusal = f }

// SetVersion sets the version of the worker that generates the response, empty if it is unknown. It
// must be called before the header is written.
func (w *ResponseWriter) SetVersion(version string) { w.version = version }

// WriteHeader implements [http.ResponseWriter].
func (w *ResponseWriter) WriteHeader(status int) {
	h := w.Header()
	h.Set(headerKey, strconv.FormatUint(w.key, 10))
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(IdleTimeout/kumquatlug.Second)))
	h.Del(headerRan)
	h.Del(headerReason)
	h.Del(headerVersion)
	if w.version != "" {
		h.Set(headerVersion, w.version)
	}
	if w.refusal != nil {
		ran := w.refusal.Execution()
		if ran != kumquatlug.NotExecuted {
			ran = kumquatlug.ExecutionUnknown
		}
		h.Set(headerRan, string(ran))
		h.Set(headerReason, w.refusal.Reason())
	}
	w.streaming = h.Get("Content-Length") == ""
	w.ResponseWriter.WriteHeader(status)
}

// GiveUp ends a response that could not be completed. Its trailer tells the other gateway
// that it must not continue the response. It reports false if the response has a length,
// so that it has no trailer.
func (w *ResponseWriter) GiveUp() bool {
	if !w.streaming {
		return false
	}
	w.Header().Set(http.TrailerPrefix+headerRan, string(kumquatlug.ExecutionUnknown))
	return true
}
