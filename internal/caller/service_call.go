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

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// generatedKeyPrefix is the prefix of idempotency keys generated for calls that
// have none.
const generatedKeyPrefix = "made-"

// copyBufferBytes is the size of the buffer used to relay a response.
const copyBufferBytes = 32 << 10

// ServiceCall is a call to a plain HTTP service.
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

// ID returns the request ID.
func (c ServiceCall) ID() string { return c.id }

// Caller returns the account of the caller.
func (c ServiceCall) Caller() kumquatlug.Caller { return c.account }

// Kind returns the service that is called.
func (c ServiceCall) Kind() kumquatlug.Kind { return c.kind }

// Method returns the HTTP method.
func (c ServiceCall) Method() string { return c.method }

// Path returns the path below /services/NAME, including the query.
func (c ServiceCall) Path() string { return c.path }

// Header returns the headers to forward.
func (c ServiceCall) Header() http.Header { return c.header }

// Body returns the complete request body.
func (c ServiceCall) Body() []byte { return c.body }

// Key returns the idempotency key: the caller's own, or one generated for this
// call.
func (c ServiceCall) Key() string { return c.key }

// HasCallerKey reports whether the caller supplied the key. A caller never
// repeats a call under a generated key, because only this process knows it; a
// second request under such a key can only be a resend by this process.
func (c ServiceCall) HasCallerKey() bool { return c.callerKey }

// Timeout returns the timeout that the caller requested, in milliseconds, or
// zero if there is none.
func (c ServiceCall) Timeout() kumquatlug.Millis { return c.timeout }

// call serves requests of any method below /services/NAME/.
func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	state := requestStateOf(r)
	c, failure := h.readCall(w, r)
	if failure != nil {
		h.refuse(w, state.id, failure)
		return
	}
	w.Header().Set(peer.HeaderIdempotencyKey, c.key)
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
	key := r.Header.Get(peer.HeaderIdempotencyKey)
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

// servicePath removes /services/NAME and keeps the escaping of the rest.
func servicePath(r *http.Request) string {
	const parts = 4 // "", "services", NAME, the rest
	path := "/" + strings.SplitN(r.URL.EscapedPath(), "/", parts)[parts-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// relay writes a target's response to the caller. If the response ends early,
// relay aborts the caller's connection, so that the caller can't mistake a
// truncated response for a complete one.
func (h *Handler) relay(w http.ResponseWriter, response kumquatlug.TargetResponse) {
	peer.CopyHeaders(w.Header(), response.Header())
	w.Header().Set(peer.HeaderExecution, string(kumquatlug.Executed))
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
