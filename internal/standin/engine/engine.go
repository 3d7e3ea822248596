// Package engine stands in for a language-model engine: an OpenAI-compatible
// API whose answers follow from the prompt, in front of a model of continuous
// batching with a prefix cache in limited memory. It takes orders, reports its
// load late, loses cache events, and crashes when told to.
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
	// maxBodyBytes bounds one request.
	maxBodyBytes = 32 << 20
	// rateWindow is the span over which load reports count tokens for their
	// rates a second.
	rateWindow = kumquatlug.Second
	// maxUnusedImports bounds the imported KV caches that no request has used yet.
	maxUnusedImports = 4096
)

// Config is how an [Engine] behaves. The figures are of the order of those of
// a mid-sized model on one accelerator; only their proportions matter here.
type Config struct {
	// Models are served from the start; "standin" by default.
	Models []string
	// Role is the role from the start and after a crash; both by default.
	Role kumquatlug.Role
	// StrictRole refuses completions in the prefill role, which then serves
	// exports of KV caches alone.
	StrictRole bool
	// TimeScale multiplies every time below; 1 by default. Tests take 0.01 or
	// less.
	TimeScale float64
	// PrefillRate is in tokens a second; 10,000 by default.
	PrefillRate int
	// PrefillChunk is how many prompt tokens one step takes at most; 512 by
	// default.
	PrefillChunk int
	// DecodeTime is the milliseconds of a step that gives one sequence one
	// token; 20 by default.
	DecodeTime float64
	// LeastStep is the least time of a step, in milliseconds: the pass over the
	// model's weights, which a short prompt alone takes too. None by default.
	LeastStep float64
	// BatchSlope is the part of DecodeTime that each further sequence adds;
	// 0.01 by default, so that 101 sequences take twice as long as one.
	BatchSlope float64
	// MaxBatch is how many sequences run at once; 256 by default.
	MaxBatch int
	// KVTokens is the KV memory of running sequences; 200,000 by default.
	KVTokens int
	// CacheTokens is the memory of the prefix cache; 100,000 by default.
	CacheTokens int
	// BlockTokens is the block of the prefix cache; 64 by default.
	BlockTokens int
	// EventLag is how late cache events are published, in milliseconds; none
	// by default. It is not scaled.
	EventLag kumquatlug.Millis
	// EventLoss is the part of the cache events that is lost; none by default.
	EventLoss float64
	// Seed decides which events are lost.
	Seed uint64
	// LoadLag is how old load reports are, in milliseconds; none by default.
	// It is not scaled.
	LoadLag kumquatlug.Millis
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// OrderTime is how long an order takes, in milliseconds; 2,000 by default.
	OrderTime kumquatlug.Millis
	// CrashMark crashes the engine when a prompt that holds it comes to run;
	// empty for never.
	CrashMark string
	// RestartTime is how long a crash lasts, in milliseconds; 5,000 by default.
	RestartTime kumquatlug.Millis
	// Stamped makes every streamed token a [Stamp] in place of a word, so that
	// what lies between the engine and a reader can be timed token by token.
	Stamped bool
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

// Engine is one engine. It is safe for concurrent use and holds a goroutine
// only while it has work.
type Engine struct {
	config Config
	clock  kumquatlug.Clock

	mu              sync.Mutex
	waiting         []*sequence
	running         []*sequence
	loopRunning     bool
	arrivals        int64
	kvUsed          int
	stepEnd         float64
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

// New returns an engine that behaves as c says.
func New(c Config) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config: c, clock: clock.NewMonotonic(),
		cache:    newPrefixCache(c.CacheTokens/c.BlockTokens, c.EventLoss, c.Seed),
		imported: map[string]bool{},
		models:   slices.Clone(c.Models),
	}
	e.orders.state = StateSettled
	e.orders.role = c.Role
	return e
}

// Crash crashes the engine at once.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.advance(now)
	e.crash(now)
}

// CrashInOrder crashes the engine half way through the order in progress, or
// through the next.
func (e *Engine) CrashInOrder() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders.crashPending = true
	e.advance(e.clock.Now())
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Handler returns the engine's API.
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

// down brings the engine up to date and reports whether it is crashed.
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
	standin.Reply(w, http.StatusOK, body)
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	sample := e.laggedLoad()
	e.mu.Unlock()
	standin.Reply(w, http.StatusOK, struct {
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
	standin.Reply(w, http.StatusOK, body)
}

func decodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return false
	}
	return true
}

// writeError answers with an error of the OpenAI shape. Nothing ran.
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
	standin.Reply(w, status, struct {
		Error errorBody `json:"error"`
	}{errorBody{message, kind, code}})
}
