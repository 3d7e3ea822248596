// Package fleet stands in for the users' workers in tests: language-model
// engines with roles, KV caches and orders, and plain services.
//
// It speaks the workers' published protocol, so its wire names are the users'.
// Each worker records what it ran, so that a test can tell whether a request ran
// twice, or ran though it was refused.
package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how a worker spoils its answers.
type Fault string

// The faults.
const (
	FaultNone Fault = ""
	// FaultShed: it refuses, nothing runs.
	FaultShed Fault = "shed"
	// FaultLost: it runs the request and closes the connection without an answer.
	FaultLost Fault = "lost"
	// FaultCut: it breaks its answer off in the middle.
	FaultCut Fault = "cut"
	// FaultExtra: it sends a second answer after each one.
	FaultExtra Fault = "extra"
	// FaultSilent: it takes requests and never answers.
	FaultSilent Fault = "silent"
	// FaultError: it answers 500.
	FaultError Fault = "error"
)

// Config is what a [Worker] is made of.
type Config struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Stage is "prefill" or "decode" for an engine, empty for a plain worker.
	Stage string
	Slots int
	// Events is how many events a stream has; Pause is the time before each one,
	// and the time of a plain request.
	Events int
	Pause  time.Duration
}

// Worker is one worker. Serve it as an http.Handler.
type Worker struct {
	mu              sync.Mutex
	config          Config
	fault           Fault
	orderCount      int64
	busy            bool
	handles         map[string]string
	runs            map[string]int
	rejected        map[string]int
	prefills        int
	acceptedOrders  []string
	receivedHeaders []http.Header
	running         int
	startedMillis   int64
	// streamEnds are closed when a running stream is moved, by request.
	streamEnds   map[string]chan struct{}
	movedStreams int
	// rateLimit is the rate of requests that it names in its answers, negative for none.
	rateLimit    float64
	arrivals     []time.Time
	shuttingDown bool
}

// New returns a worker.
func New(c Config) *Worker {
	if c.Slots == 0 {
		c.Slots = 8
	}
	return &Worker{
		config: c, handles: map[string]string{}, runs: map[string]int{}, rejected: map[string]int{},
		streamEnds: map[string]chan struct{}{}, rateLimit: -1,
		startedMillis: time.Now().UnixMilli(),
	}
}

// SetFault changes how requests are treated from now on.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetLimit has all answers name a limit of so many requests a second, or none if it is
// negative.
func (w *Worker) SetLimit(perSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rateLimit = perSecond
}

// Leave has all answers say that the worker leaves. It goes on serving.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shuttingDown = true
}

// Most returns the most requests that arrived in a span that began at from or later.
func (w *Worker) Most(from time.Time, span time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	highest, first := 0, 0
	for last, at := range w.arrivals {
		for w.arrivals[first].Before(from) && first < last || at.Sub(w.arrivals[first]) >= span {
			first++
		}
		if !at.Before(from) {
			highest = max(highest, last-first+1)
		}
	}
	return highest
}

// Runs returns how often each request ran, by its id.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int, len(w.runs))
	for id, n := range w.runs {
		runs[id] = n
	}
	return runs
}

// Prompts returns how many prompts were read apart.
func (w *Worker) Prompts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.prefills
}

// Orders returns the orders that were taken, as "stage by holder/fence".
func (w *Worker) Orders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.acceptedOrders...)
}

// Received returns the headers of all requests that arrived.
func (w *Worker) Received() []http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]http.Header(nil), w.receivedHeaders...)
}

// Stage returns what an engine does now.
func (w *Worker) Stage() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.Stage
}

// Row returns what the worker writes in the store.
func (w *Worker) Row(state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	row := map[string]any{
		"service": w.config.Service, "address": w.config.Address, "zone": w.config.Zone, "version": "v1", "slots": w.config.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": w.startedMillis,
	}
	if w.config.Stage != "" {
		row["stage"] = w.config.Stage
	}
	// Text and numbers always encode.
	text, _ := json.Marshal(row)
	return text
}

// ServeHTTP answers a request or a control call.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.config.ID {
		out.Header().Set("Instance-Id", w.config.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/v1/report":
		w.handleReport(out)
	case r.URL.Path == "/v1/order":
		w.handleOrder(out, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		w.mu.Lock()
		delete(w.handles, strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		w.mu.Unlock()
	case r.URL.Path == "/v1/kv-move":
		w.handleMove(out, r)
	default:
		w.handleRequest(out, r)
	}
}

// handleMove ends a running stream and keeps its memory for another engine, which this
// stand-in does not copy: a handle is good at every engine.
func (w *Worker) handleMove(out http.ResponseWriter, r *http.Request) {
	var m struct {
		InstanceID string `json:"instance_id"`
		To         string `json:"to"`
		Last       bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.To == "" || !m.Last {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	end, found := w.streamEnds[m.InstanceID]
	if !found {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	delete(w.streamEnds, m.InstanceID)
	close(end)
	w.movedStreams++
	// A caller that is gone does not read its answer.
	_ = json.NewEncoder(out).Encode(map[string]any{"kv_handle": "h-" + m.InstanceID + "-moved", "created": 1})
}

// Moved returns how many streams were moved away.
func (w *Worker) Moved() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.movedStreams
}

func (w *Worker) handleReport(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A caller that is gone does not read its answer.
	_ = json.NewEncoder(out).Encode(map[string]any{
		"stage": w.config.Stage, "busy": w.busy, "sequence": w.orderCount, "queued": 0, "running": w.running,
	})
}

// handleOrder changes the stage at once, unless the order presumes another count.
func (w *Worker) handleOrder(out http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string `json:"op"`
		Stage        string `json:"stage"`
		Holder       string `json:"holder"`
		Fence        int64  `json:"fence"`
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || o.Op != "stage" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case o.Precondition != nil && *o.Precondition != w.orderCount:
		out.WriteHeader(http.StatusConflict)
	case o.Stage == w.config.Stage:
		out.WriteHeader(http.StatusOK)
	default:
		w.orderCount++
		w.config.Stage = o.Stage
		w.acceptedOrders = append(w.acceptedOrders, fmt.Sprintf("%s by %s/%d", o.Stage, o.Holder, o.Fence))
		out.WriteHeader(http.StatusAccepted)
	}
}

// handleRequest runs a request of a client, or reads its prompt.
func (w *Worker) handleRequest(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.receivedHeaders = append(w.receivedHeaders, r.Header.Clone())
	w.arrivals = append(w.arrivals, time.Now())
	if w.shuttingDown {
		out.Header().Set("Server-Leaving", "1")
	}
	if w.rateLimit >= 0 {
		out.Header().Set("Server-Limit", strconv.FormatFloat(w.rateLimit, 'f', -1, 64))
	}
	fault, stage := w.fault, w.config.Stage
	if fault == FaultShed || w.running >= 4*w.config.Slots {
		w.rejected[id]++
		w.mu.Unlock()
		w.reject(out, id)
		return
	}
	w.mu.Unlock()
	out.Header().Set("Attempt-Id", id)
	if r.Header.Get("Serving-Stage") == "prefill" {
		w.servePrefill(out, id, stage, fault, r)
		return
	}
	if source := r.Header.Get("Kv-Source"); source != "" && !strings.Contains(source, "/h-"+id) {
		w.reject(out, id)
		return
	}
	if stage == "prefill" {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.serveRequest(out, r, id, fault, len(body))
}

func (w *Worker) reject(out http.ResponseWriter, id string) {
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}
