// Package caller speaks to callers: an OpenAI-compatible API for engines and
// plain HTTP for services below /services/NAME/.
//
// Everything a caller can send wrong is answered here, at once and without a
// place in any queue, so that it harms nobody else: a wrong key, bad JSON, an
// unknown model, an oversized or slow body. Every refusal has a status, a JSON
// error in the OpenAI shape, a header that says whether the work ran, and
// Retry-After where coming back helps.
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

// Desk is what the API needs from the entry behind it.
type Desk interface {
	// Authenticate returns the account whose key has this hash.
	Authenticate(keyHash string) (kumquatlug.Caller, bool)
	// Kinds returns every kind of work that some selector hands out.
	Kinds() []kumquatlug.Kind
	// Generate runs g and hands its chunks to sink in order, each once. It
	// returns when the answer is whole, or with a *kumquatlug.Failure.
	Generate(ctx context.Context, g Generation, sink Sink) error
	// Call makes a call to a plain service.
	Call(ctx context.Context, c ServiceCall) (kumquatlug.Answer, error)
}

// Sink takes the chunks of one answer. An error says that the caller is gone.
type Sink interface {
	// Chunk takes the next chunk, which may be held back until Flush.
	Chunk(c engine.Chunk) error
	// Flush sends on what was held back.
	Flush() error
}

// Config says how the API treats callers.
type Config struct {
	Desk   Desk
	Logger *zap.Logger
	// MaxBody bounds a request's body in bytes; zero means DefaultMaxBody.
	MaxBody int64
	// MaxHeld bounds the bodies of all requests in hand together, in bytes; zero
	// means DefaultMaxHeld.
	MaxHeld int64
	// BodyTimeout bounds how long a caller may take to send its body, and
	// WriteTimeout how long it may leave one write unread, in milliseconds.
	BodyTimeout  kumquatlug.Millis
	WriteTimeout kumquatlug.Millis
}

// Defaults of a [Config].
const (
	// DefaultMaxBody holds a prompt of about two million tokens of English.
	DefaultMaxBody = 8 << 20
	// DefaultMaxHeld holds a thousand documents of 32 KB, as many as may wait
	// for one kind. A body stands about three times in memory (as it came, as
	// fields, as it is sent), so this is 96 MB of the 128 that a node may spend.
	DefaultMaxHeld = 32 << 20
	// DefaultBodyTimeout lets 8 MiB arrive over a line of 2.2 Mbit/s.
	DefaultBodyTimeout = 30 * kumquatlug.Second
	// DefaultWriteTimeout is how long a caller may read nothing at all. The
	// socket buffers some hundred kilobytes, so only one that has stopped
	// reading meets it; its engine is then freed for others.
	DefaultWriteTimeout = 30 * kumquatlug.Second
)

// Handler is the callers' API.
type Handler struct {
	backend          Desk
	logger           *zap.Logger
	maxBodyBytes     int64
	maxReservedBytes int64
	reservedBytes    atomic.Int64
	bodyTimeout      kumquatlug.Millis
	writeTimeout     kumquatlug.Millis
	mux              *http.ServeMux
}

// New returns the API that c describes.
func New(c Config) *Handler {
	h := &Handler{
		backend: c.Desk, logger: c.Logger, maxBodyBytes: c.MaxBody, maxReservedBytes: c.MaxHeld,
		bodyTimeout: c.BodyTimeout, writeTimeout: c.WriteTimeout, mux: http.NewServeMux(),
	}
	if h.maxBodyBytes == 0 {
		h.maxBodyBytes = DefaultMaxBody
	}
	if h.maxReservedBytes == 0 {
		h.maxReservedBytes = DefaultMaxHeld
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

// ServeHTTP gives the request an id, finds its account and serves it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := ulid.Make().String()
	w.Header().Set(peer.HeaderRequest, id)
	account, ok := h.authenticate(r)
	if !ok {
		h.refuse(w, id, kumquatlug.NewFailure(kumquatlug.FailureConfig{
			Step: "authenticate", Reason: "invalid_api_key", Ran: kumquatlug.RanNot, Status: http.StatusUnauthorized,
		}))
		return
	}
	state := &requestState{id: id, account: account}
	defer func() { h.reservedBytes.Add(-state.reservedBytes) }()
	ctx := context.WithValue(r.Context(), requestStateKey{}, state)
	h.mux.ServeHTTP(w, r.WithContext(ctx))
}

// requestStateKey finds the origin of a request in its context.
type requestStateKey struct{}

// requestState is who sent a request, the id it was given and how many bytes of the
// bound on bodies it holds. The request's own goroutine owns it.
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

// models lists the models that some selector hands out.
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
