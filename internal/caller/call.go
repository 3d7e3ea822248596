package caller

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxKeyBytes bounds an idempotency key, in bytes.
const maxKeyBytes = 255

// generatedKeyPrefix starts the keys that we make for calls without one.
const generatedKeyPrefix = "made-"

// copyBufferBytes is how much of an answer is held at once while it is passed on.
const copyBufferBytes = 32 << 10

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	id        string
	account   kumquatlug.Caller
	kind      kumquatlug.Kind
	method    string
	path      string
	header    http.Header
	body      []byte
	key       string
	callerKey bool
	timeout   kumquatlug.Millis
}

// ID returns the request's id.
func (c ServiceCall) ID() string { return c.id }

// Caller returns the account that calls.
func (c ServiceCall) Caller() kumquatlug.Caller { return c.account }

// Kind returns the service.
func (c ServiceCall) Kind() kumquatlug.Kind { return c.kind }

// Method returns the HTTP method.
func (c ServiceCall) Method() string { return c.method }

// Path returns the service's own path, query included.
func (c ServiceCall) Path() string { return c.path }

// Header returns the headers to pass on.
func (c ServiceCall) Header() http.Header { return c.header }

// Body returns the whole body.
func (c ServiceCall) Body() []byte { return c.body }

// Key returns the idempotency key: the caller's, or one made for this call.
func (c ServiceCall) Key() string { return c.key }

// OwnKey reports whether the caller sent the key. A call under a key that we
// made is never sent twice: nobody else knows the key, so that a second sending
// could only be our own.
func (c ServiceCall) OwnKey() bool { return c.callerKey }

// Timeout returns the caller's time, zero when it named none.
func (c ServiceCall) Timeout() kumquatlug.Millis { return c.timeout }

// call serves any method below /services/NAME/.
func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	state := requestStateOf(r)
	c, failure := h.readCall(w, r)
	if failure != nil {
		h.refuse(w, state.id, failure)
		return
	}
	w.Header().Set(peer.KeyHeader, c.key)
	response, err := h.backend.Call(r.Context(), c)
	if err != nil {
		h.refuse(w, state.id, kumquatlug.FailureOf(err))
		return
	}
	defer response.Body().Close()
	h.relay(w, response)
}

func (h *Handler) readCall(w http.ResponseWriter, r *http.Request) (ServiceCall, *kumquatlug.Failure) {
	state := requestStateOf(r)
	key := r.Header.Get(peer.KeyHeader)
	fromCaller := key != ""
	if !fromCaller {
		key = generatedKeyPrefix + state.id
	}
	if len(key) > maxKeyBytes {
		return ServiceCall{}, newRefusal("read idempotency key", "key_too_long", http.StatusBadRequest)
	}
	timeout, failure := parseTimeout(r.Header)
	if failure != nil {
		return ServiceCall{}, failure
	}
	body, failure := h.readBody(w, r)
	if failure != nil {
		return ServiceCall{}, failure
	}
	header := http.Header{}
	peer.CopyHeaders(header, r.Header)
	return ServiceCall{
		id: state.id, account: state.account, kind: kumquatlug.NewKind(kumquatlug.ProtocolService, r.PathValue("name")),
		method: r.Method, path: servicePath(r), header: header, body: body,
		key: key, callerKey: fromCaller, timeout: timeout,
	}, nil
}

// servicePath cuts /services/NAME off and keeps the rest as it was escaped.
func servicePath(r *http.Request) string {
	const parts = 4 // "", "services", NAME, the rest
	path := "/" + strings.SplitN(r.URL.EscapedPath(), "/", parts)[parts-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// relay writes a target's answer to the caller. An answer that stops before
// its end closes the caller's connection in the middle, so that the caller
// can't take the part for the whole.
func (h *Handler) relay(w http.ResponseWriter, response kumquatlug.Answer) {
	peer.CopyHeaders(w.Header(), response.Header())
	w.Header().Set(peer.HeaderRan, string(kumquatlug.RanDone))
	w.WriteHeader(response.Status())
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body().Read(buffer)
		_ = controller.SetWriteDeadline(time.Now().Add(h.writeTimeout.Duration()))
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = controller.Flush()
	}
}
