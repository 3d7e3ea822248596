// Package caller implements the public API: an OpenAI-compatible API for models
// and plain HTTP for services below /services/NAME/.
//
// Invalid input is refused here at once, before the request takes a place in
// any queue, so that it can't affect other callers: a wrong API key, malformed
// JSON, an unknown model, an oversized or slow body. Every refusal has a status
// code, a JSON error in the OpenAI format, a header that says whether the work
// ran, and Retry-After where a retry can succeed.
package caller

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Backend is the backend that serves the requests of the API.
type Backend interface {
	// Authenticate returns the account whose API key has this hash.
	Authenticate(keyHash string) (kumquatlug.Caller, bool)
	// Kinds returns every kind of work (model or service) that some selector
	// routes.
	Kinds() []kumquatlug.Kind
	// Generate runs g and passes its chunks to sink in order, each exactly
	// once. It returns nil once the response is complete, or a
	// *kumquatlug.Failure.
	Generate(ctx context.Context, g Generation, sink Sink) error
	// Call makes a call to a plain HTTP service. Its error is a
	// *kumquatlug.Failure.
	Call(ctx context.Context, c ServiceCall) (kumquatlug.TargetResponse, error)
}

// Sink receives the chunks of one response. An error means that the caller has
// disconnected.
type Sink interface {
	// Chunk receives the next chunk, which may be buffered until Flush.
	Chunk(c engine.Chunk) error
	// Flush sends the buffered chunks.
	Flush() error
}

// Config configures a [Handler].
type Config struct {
	Backend Backend
	Logger  *zap.Logger
	// MaxBodyBytes is the maximum size of a request body, in bytes; zero means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// MaxTotalBodyBytes is the maximum total size of the bodies of all requests in
	// flight, in bytes; zero means DefaultMaxTotalBodyBytes.
	MaxTotalBodyBytes int64
	// BodyTimeout is how long a caller may take to send its body, and
	// WriteTimeout how long one write to a caller may block, in milliseconds.
	// Zero means DefaultBodyTimeout and DefaultWriteTimeout.
	BodyTimeout  kumquatlug.Millis
	WriteTimeout kumquatlug.Millis
}

// Defaults of a [Config].
const (
	// DefaultMaxBodyBytes fits a prompt of about two million tokens of English.
	DefaultMaxBodyBytes = 8 << 20
	// DefaultMaxTotalBodyBytes fits a thousand documents of 32 KB, as many as may be
	// queued for one kind. A body is in memory about three times (as received,
	// as parsed fields and as sent), so this limit takes 96 MB of the 128 MB
	// budget of a node.
	DefaultMaxTotalBodyBytes = 32 << 20
	// DefaultBodyTimeout lets 8 MiB arrive over a link of 2.2 Mbit/s.
	DefaultBodyTimeout = 30 * kumquatlug.Second
	// DefaultWriteTimeout is how long a caller may read nothing at all. The
	// socket buffers some hundred kilobytes, so only a caller that has stopped
	// reading reaches it; its engine is then freed for others.
	DefaultWriteTimeout = 30 * kumquatlug.Second
)

// Handler is the [http.Handler] of the public API.
type Handler struct {
	backend          Backend
	logger           *zap.Logger
	maxBodyBytes     int64
	maxReservedBytes int64
	reservedBytes    atomic.Int64
	bodyTimeout      kumquatlug.Millis
	writeTimeout     kumquatlug.Millis
	mux              *http.ServeMux
}

// New returns a handler for the public API.
func New(c Config) *Handler {
	h := &Handler{
		backend: c.Backend, logger: c.Logger, maxBodyBytes: c.MaxBodyBytes, maxReservedBytes: c.MaxTotalBodyBytes,
		bodyTimeout: c.BodyTimeout, writeTimeout: c.WriteTimeout, mux: http.NewServeMux(),
	}
	if h.maxBodyBytes == 0 {
		h.maxBodyBytes = DefaultMaxBodyBytes
	}
	if h.maxReservedBytes == 0 {
		h.maxReservedBytes = DefaultMaxTotalBodyBytes
	}
	if h.bodyTimeout == 0 {
		h.bodyTimeout = DefaultBodyTimeout
	}
	if h.writeTimeout == 0 {
		h.writeTimeout = DefaultWriteTimeout
	}
	h.mux.HandleFunc("POST /v1/completions", h.completions)
	h.mux.HandleFunc("POST /v1/chat/completions", h.completions)
	h.mux.HandleFunc("GET /v1/models", h.models)
	h.mux.HandleFunc("/services/{name}/{path...}", h.call)
	h.mux.HandleFunc("/", h.notFound)
	return h
}

// ServeHTTP assigns a request ID, authenticates the caller and serves the
// request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := ulid.Make().String()
	w.Header().Set(peer.HeaderRequest, id)
	account, ok := h.authenticate(r)
	if !ok {
		h.refuse(w, id, kumquatlug.NewFailure(kumquatlug.FailureConfig{
			Step: "authenticate", Reason: "invalid_api_key", Execution: kumquatlug.NotExecuted, Status: http.StatusUnauthorized,
		}))
		return
	}
	state := &requestState{id: id, account: account}
	defer func() { h.reservedBytes.Add(-state.reservedBytes) }()
	ctx := context.WithValue(r.Context(), requestStateKey{}, state)
	h.mux.ServeHTTP(w, r.WithContext(ctx))
}

// requestStateKey is the context key of a request's [requestState].
type requestStateKey struct{}

// requestState holds the ID and the account of a request and how many bytes it
// has reserved of the total limit on bodies. It is owned by the goroutine that
// serves the request.
type requestState struct {
	id            string
	account       kumquatlug.Caller
	reservedBytes int64
}

func requestStateOf(r *http.Request) *requestState {
	if o, ok := r.Context().Value(requestStateKey{}).(*requestState); ok {
		return o
	}
	return &requestState{}
}

func (h *Handler) authenticate(r *http.Request) (kumquatlug.Caller, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return kumquatlug.Caller{}, false
	}
	return h.backend.Authenticate(kumquatlug.HashKey(strings.TrimSpace(key)))
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, requestStateOf(r).id, newRefusal("find path", "unknown_path", http.StatusNotFound))
}

// models lists the models that some selector routes.
func (h *Handler) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, kind := range h.backend.Kinds() {
		if kind.Protocol() == kumquatlug.ProtocolEngine {
			list = append(list, model{ID: kind.Name(), Object: "model", OwnedBy: "kumquatlug"})
		}
	}
	writeJSON(w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}
