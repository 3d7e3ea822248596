// Package engine simulates a language-model engine: an OpenAI-compatible API
// whose responses are a function of the prompt, backed by a model of
// continuous batching with a prefix cache in limited memory. The engine accepts
// orders, publishes load reports with a lag, loses cache events and crashes on
// request.
package engine

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

const (
	// maxBodyBytes limits the body of one request.
	maxBodyBytes = 32 << 20
	// rateWindow is the period over which load reports count tokens for their
	// per-second rates.
	rateWindow = kumquatlug.Second
	// maxUnusedImports limits the imported KV caches that no request has used
	// yet.
	maxUnusedImports = 4096
)

// Config configures an [Engine]. The defaults are of the order of a mid-sized
// model on one accelerator; only their proportions matter here.
type Config struct {
	// Models are the models loaded at the start; "standin" by default.
	Models []string
	// Role is the role at the start and after a crash; both by default.
	Role kumquatlug.Role
	// StrictRole rejects completions in the prefill role, which then only
	// serves exports of KV caches.
	StrictRole bool
	// TimeScale multiplies every time below, unless stated otherwise; 1 by
	// default. Tests use 0.01 or less.
	TimeScale float64
	// PrefillRate is in tokens per second; 10,000 by default.
	PrefillRate int
	// PrefillChunk is the maximum number of prompt tokens per step; 512 by
	// default.
	PrefillChunk int
	// DecodeTime is the duration, in milliseconds, of a step that decodes one
	// token of one sequence; 20 by default.
	DecodeTime float64
	// MinStepTime is the minimum duration of a step, in milliseconds: the pass
	// over the model's weights, which even a single short prompt takes. Zero by
	// default.
	MinStepTime float64
	// BatchSlope is the fraction of DecodeTime that each further sequence adds;
	// 0.01 by default, so that a step with 101 sequences takes twice as long as
	// with one.
	BatchSlope float64
	// MaxBatch is the maximum number of running sequences; 256 by default.
	MaxBatch int
	// KVTokens is the KV memory for running sequences, in tokens; 200,000 by
	// default.
	KVTokens int
	// CacheTokens is the capacity of the prefix cache, in tokens; 100,000 by
	// default.
	CacheTokens int
	// BlockTokens is the block size of the prefix cache, in tokens; 64 by
	// default.
	BlockTokens int
	// EventLag is the delay until cache events are published, in milliseconds;
	// zero by default. It is not scaled.
	EventLag kumquatlug.Millis
	// EventLossRate is the fraction of cache events that are lost; zero by default.
	EventLossRate float64
	// Seed determines which events are lost.
	Seed uint64
	// LoadLag is the age of load reports, in milliseconds; zero by default. It
	// is not scaled.
	LoadLag kumquatlug.Millis
	// CheckFence makes the engine reject orders with an old fencing token.
	CheckFence bool
	// OrderTime is the duration of an order, in milliseconds; 2,000 by default.
	OrderTime kumquatlug.Millis
	// CrashMarker crashes the engine when a prompt that contains it is admitted
	// to the batch; empty disables it.
	CrashMarker string
	// RestartTime is the downtime after a crash, in milliseconds; 5,000 by
	// default.
	RestartTime kumquatlug.Millis
	// StampTokens makes every streamed token a [Stamp] instead of a word, so that
	// the latency between the engine and a client can be measured per token.
	StampTokens bool
	// Ending is how responses end; framed by default.
	Ending standin.Ending
}

func (c Config) withDefaults() Config {
	if len(c.Models) == 0 {
		c.Models = []string{"standin"}
	}
	if c.Role == "" {
		c.Role = kumquatlug.RoleBoth
	}
	c.TimeScale = cmp.Or(c.TimeScale, 1)
	c.DecodeTime = cmp.Or(c.DecodeTime, 20)
	c.BatchSlope = cmp.Or(c.BatchSlope, 0.01)
	c.PrefillRate = cmp.Or(c.PrefillRate, 10_000)
	c.PrefillChunk = cmp.Or(c.PrefillChunk, 512)
	c.MaxBatch = cmp.Or(c.MaxBatch, 256)
	c.KVTokens = cmp.Or(c.KVTokens, 200_000)
	c.CacheTokens = cmp.Or(c.CacheTokens, 100_000)
	c.BlockTokens = cmp.Or(c.BlockTokens, 64)
	c.OrderTime = cmp.Or(c.OrderTime, 2*kumquatlug.Second)
	c.RestartTime = cmp.Or(c.RestartTime, 5*kumquatlug.Second)
	return c
}

// Engine is a simulated engine. It is safe for concurrent use and runs a
// goroutine only while it has work.
type Engine struct {
	config Config
	clock  kumquatlug.Clock

	mu          sync.Mutex
	waiting     []*sequence
	running     []*sequence
	loopRunning bool
	arrivals    int64
	kvUsed      int
	// stepEndMs is the scheduled end of the last step in ms, by the engine's
	// clock.
	stepEndMs       float64
	prefilledTokens int64
	decodedTokens   int64
	samples         []loadSample
	cache           *prefixCache
	imported        map[string]bool
	models          []string
	orders          orderState
	downUntil       kumquatlug.Millis
	crashes         int
}

// New returns an engine with configuration c.
func New(c Config) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config: c, clock: clock.NewMonotonic(),
		cache:    newPrefixCache(c.CacheTokens/c.BlockTokens, c.EventLossRate, c.Seed),
		imported: map[string]bool{},
		models:   slices.Clone(c.Models),
	}
	e.orders.state = StateSettled
	e.orders.role = c.Role
	return e
}

// Crash crashes the engine immediately.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.advance(now)
	e.crash(now)
}

// CrashDuringOrder crashes the engine halfway through the order in progress, or
// through the next order.
func (e *Engine) CrashDuringOrder() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.crashPending = true
	e.advance(e.clock.Now())
}

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Handler returns the HTTP handler of the engine's API. While the engine is
// down, it closes connections without a response.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.completions)
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/models", e.listModels)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /load", e.reportLoad)
	mux.HandleFunc("GET /cache/events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /orders", e.listOrders)
	mux.HandleFunc("GET /state", e.reportState)
	mux.HandleFunc("POST /kv/export", e.exportKV)
	mux.HandleFunc("POST /kv/import", e.importKV)
	mux.HandleFunc("POST /crash", e.handleCrash)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.down() {
			panic(http.ErrAbortHandler)
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		mux.ServeHTTP(w, r)
	})
}

// down advances the engine to the current time and reports whether it is down
// after a crash.
func (e *Engine) down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.advance(now)
	return now < e.downUntil
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	body := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	e.mu.Lock()
	for _, name := range e.models {
		body.Data = append(body.Data, model{ID: name, Object: "model", OwnedBy: "standin"})
	}
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, body)
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	sample := e.laggedLoad()
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, struct {
		Running int               `json:"running"`
		Waiting int               `json:"waiting"`
		KVUsed  int               `json:"kv_used_tokens"`
		KVTotal int               `json:"kv_total_tokens"`
		Prefill int64             `json:"prefill_tokens_per_second"`
		Decode  int64             `json:"decode_tokens_per_second"`
		Age     kumquatlug.Millis `json:"age_ms"`
	}{
		sample.running, sample.waiting, sample.kvUsed, e.config.KVTokens,
		sample.prefilledTokens, sample.decodedTokens, e.config.LoadLag,
	})
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt("0"+r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	type event struct {
		Sequence int64  `json:"sequence"`
		Prefix   string `json:"prefix"`
		Evicted  bool   `json:"evicted"`
	}
	body := struct {
		Events []event `json:"events"`
		Next   int64   `json:"next"`
	}{Events: []event{}, Next: after}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, e.clock.Now()-e.config.EventLag)
	e.mu.Unlock()
	for _, published := range events {
		body.Events = append(body.Events, event{published.sequence, published.prefix, published.evicted})
		body.Next = published.sequence
	}
	standin.WriteJSON(w, http.StatusOK, body)
}

func decodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return false
	}
	return true
}

// writeError writes an error response in the OpenAI format. It is only used for
// requests that did not run.
func writeError(w http.ResponseWriter, status int, code, message string) {
	type errorBody struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	}
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
		w.Header().Set("Retry-After", "1")
	}
	standin.WriteJSON(w, status, struct {
		Error errorBody `json:"error"`
	}{errorBody{message, kind, code}})
}
