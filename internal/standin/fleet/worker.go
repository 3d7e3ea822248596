// Package fleet simulates the users' workers in tests: language-model engines
// with prefill and decode stages, KV caches and orders, and plain services.
//
// It implements the workers' published protocol, so the names on the wire are
// the users'. Each worker records which requests it ran, so that tests can
// detect requests that ran twice or that ran although they were rejected.
package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin"
)

// Fault is the way in which responses fail.
type Fault string

// Faults that can be injected.
const (
	FaultNone Fault = ""
	// FaultReject: requests are rejected and do not run.
	FaultReject Fault = "shed"
	// FaultLost: requests run and the connection is closed without a response.
	FaultLost Fault = "lost"
	// FaultTruncate: responses are truncated.
	FaultTruncate Fault = "cut"
	// FaultDuplicate: a plain worker sends a second response after each one.
	FaultDuplicate Fault = "extra"
	// FaultSilent: requests are accepted and never get a response.
	FaultSilent Fault = "silent"
	// FaultError: requests run and get status 500.
	FaultError Fault = "error"
	// FaultUnframed: responses are complete, have neither a length nor chunks and end with their
	// connection.
	FaultUnframed Fault = "unframed"
	// FaultUnframedCut: as FaultUnframed, but streams end inside an event. Plain responses are
	// reset, since nothing else shows that they are incomplete.
	FaultUnframedCut Fault = "unframed_cut"
	// FaultUnframedReset: as FaultUnframed, but the connection is reset in the middle.
	FaultUnframedReset Fault = "unframed_reset"
	// FaultEndlessHead: requests run and get a header line without end, separate prefills and reports too.
	FaultEndlessHead Fault = "endless_head"
	// FaultEndlessBody: streams have an event without end, plain responses, separate prefills and reports
	// a body without end.
	FaultEndlessBody Fault = "endless_body"
	// FaultEndlessDrip: as FaultEndlessBody, one byte each 10 ms.
	FaultEndlessDrip Fault = "endless_drip"
	// FaultPartialHead: requests run and the connection is closed within the head of their response,
	// as it is within those of separate prefills and of moves.
	FaultPartialHead Fault = "partial_head"
	// FaultStalledHead: as FaultPartialHead, but the connection stays open.
	FaultStalledHead Fault = "stalled_head"
	// FaultUnsigned: as FaultPartialHead, but an empty line ends the head after its first header.
	FaultUnsigned Fault = "unsigned"
)

// Config configures a [Worker].
type Config struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Stage is "prefill" or "decode" for an engine, empty for a plain worker.
	Stage string
	Slots int
	// Events is the number of events per stream. Delay is the time before each
	// event and the duration of a plain request or a prefill.
	Events int
	Delay  time.Duration
	// Version is the version of the worker's software, "v1" by default.
	Version string
	// OnAnswer is called when the worker begins its answer to a request: an engine with the parts
	// of the prompt, a plain worker with the path and the ID of the request. If it returns true,
	// the worker has crashed. Nil for never.
	OnAnswer func(parts []string) (crashed bool)
	// OnArrival is called for each request that arrives, with the parts of its prompt; nil for
	// none.
	OnArrival func(parts []string)
}

// movedSuffix ends the handles of copies that were moved from another engine.
const movedSuffix = "-moved"

// Worker is a simulated worker. It is an http.Handler.
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
	startedMs       int64
	// streamEnds are closed when a running stream is moved, by attempt ID.
	streamEnds map[string]chan struct{}
	// moves counts the moves of each stream to another engine, by attempt ID.
	moves map[string]int
	// streamed are the numbers of the events that the worker sent, by attempt ID.
	streamed map[string]map[int]bool
	// rateLimit is the limit in the Server-Limit header of responses, in
	// requests per second; negative for none.
	rateLimit    float64
	arrivals     []Arrival
	shuttingDown bool
	pausedUntil  time.Time
	// endlessResponses counts the responses without end that have ended, endlessBytes is the most that
	// was sent of one, endlessTime the longest time until its connection was closed.
	endlessResponses int
	endlessBytes     int64
	endlessTime      time.Duration
	// partialHeads counts the responses that stopped within their head.
	partialHeads int
}

// New returns a worker without faults.
func New(c Config) *Worker {
	c.Slots, c.Version = cmp.Or(c.Slots, 8), cmp.Or(c.Version, "v1")
	return &Worker{
		config: c, handles: map[string]string{}, runs: map[string]int{}, rejected: map[string]int{},
		streamEnds: map[string]chan struct{}{}, moves: map[string]int{}, streamed: map[string]map[int]bool{}, rateLimit: -1,
		startedMs: time.Now().UnixMilli(),
	}
}

// Version returns the version of the worker's software.
func (w *Worker) Version() string { return w.config.Version }

// Streamed returns whether the worker sent events to an attempt.
func (w *Worker) Streamed(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.streamed[id]) > 0
}

// StreamedEvent returns whether the worker sent the event with this number to an attempt.
func (w *Worker) StreamedEvent(id string, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.streamed[id][n]
}

// SetFault sets the fault for later requests.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

func (w *Worker) currentFault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

// SetLimit sets the limit in the headers of responses, in requests per second.
// A negative limit removes the header.
func (w *Worker) SetLimit(perSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rateLimit = perSecond
}

// AnnounceShutdown makes all later responses announce that the worker shuts down. The
// worker keeps serving.
func (w *Worker) AnnounceShutdown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shuttingDown = true
}

// MaxArrivals returns the maximum number of requests that arrived within span, over
// all intervals that start at from or later.
func (w *Worker) MaxArrivals(from time.Time, span time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	highest, first := 0, 0
	for last, a := range w.arrivals {
		for w.arrivals[first].At.Before(from) && first < last || a.At.Sub(w.arrivals[first].At) >= span {
			first++
		}
		if !a.At.Before(from) {
			highest = max(highest, last-first+1)
		}
	}
	return highest
}

// Arrival is a request that the worker read, whether it ran or was rejected.
type Arrival struct {
	At time.Time
	// ID is the attempt ID. Prefill says that the prompt is only prefilled, Moved that the stream goes on from
	// a copy that was moved here.
	ID             string
	Prefill, Moved bool
}

// Arrivals returns the requests that arrived, in the order of their times.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// Runs returns the number of runs by attempt ID.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int, len(w.runs))
	for id, n := range w.runs {
		runs[id] = n
	}
	return runs
}

// Prefills returns the number of separate prefills.
func (w *Worker) Prefills() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.prefills
}

// Orders returns the accepted orders, as "stage by holder/fence".
func (w *Worker) Orders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.acceptedOrders...)
}

// ReceivedHeaders returns the headers of all received requests.
func (w *Worker) ReceivedHeaders() []http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]http.Header(nil), w.receivedHeaders...)
}

// Stage returns the current stage of an engine.
func (w *Worker) Stage() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.Stage
}

// Row returns the worker's row in the store, with the given state.
func (w *Worker) Row(state string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	row := map[string]any{
		"service": w.config.Service, "address": w.config.Address, "zone": w.config.Zone, "version": w.config.Version, "slots": w.config.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": w.startedMs,
	}
	if w.config.Stage != "" {
		row["stage"] = w.config.Stage
	}
	// Strings and numbers always encode.
	text, _ := json.Marshal(row)
	return text
}

// ServeHTTP handles a request or a control call.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.awaitPauseEnd()
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.config.ID {
		out.Header().Set("Instance-Id", w.config.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/v1/report":
		if !w.writeEndless(out, "", w.currentFault(), standin.EndlessJSON) {
			w.handleReport(out)
		}
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

// handleMove ends a running stream and returns a handle of its KV cache for
// another engine. The cache is not copied: every engine accepts every handle.
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
	end, found := w.streamEnds[m.InstanceID]
	if !found {
		w.mu.Unlock()
		out.WriteHeader(http.StatusNotFound)
		return
	}
	delete(w.streamEnds, m.InstanceID)
	close(end)
	w.moves[m.InstanceID]++
	fault := w.fault
	w.mu.Unlock()
	if w.writePartialHead(out, m.InstanceID, fault) {
		return
	}
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(out).Encode(map[string]any{"kv_handle": "h-" + m.InstanceID + movedSuffix, "created": 1})
}

// MovedStreams returns the number of streams moved to another engine.
func (w *Worker) MovedStreams() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, n := range w.moves {
		total += n
	}
	return total
}

// Moves returns how often the stream with this attempt ID was moved to another
// engine.
func (w *Worker) Moves(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.moves[id]
}

func (w *Worker) handleReport(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(out).Encode(map[string]any{
		"stage": w.config.Stage, "busy": w.busy, "sequence": w.orderCount, "queued": 0, "running": w.running, "born": w.startedMs,
	})
}

// handleOrder changes the stage immediately. It rejects an order whose
// precondition is not the number of orders so far.
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

// promptParts returns the IDs of the parts of a request's prompt.
func promptParts(r *http.Request) []string {
	var ids []string
	for _, part := range strings.Split(r.Header.Get("Prefix-Hash"), ",") {
		if id, _, ok := strings.Cut(part, ":"); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// handleRequest runs a client's request, or only prefills its prompt.
func (w *Worker) handleRequest(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	bodyBytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if w.config.OnArrival != nil {
		w.config.OnArrival(promptParts(r))
	}
	w.mu.Lock()
	w.receivedHeaders = append(w.receivedHeaders, r.Header.Clone())
	// A copy that was moved here holds a slot.
	copied := strings.HasSuffix(r.Header.Get("Kv-Source"), movedSuffix)
	w.arrivals = append(w.arrivals, Arrival{At: time.Now(), ID: id, Prefill: r.Header.Get("Serving-Stage") == "prefill", Moved: copied})
	if w.shuttingDown {
		out.Header().Set("Server-Leaving", "1")
	}
	if w.rateLimit >= 0 {
		out.Header().Set("Server-Limit", strconv.FormatFloat(w.rateLimit, 'f', -1, 64))
	}
	fault, stage := w.fault, w.config.Stage
	if !copied && (fault == FaultReject || w.running >= 4*w.config.Slots) {
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
	w.serveRequest(out, r, id, stage, fault, int(bodyBytes))
}

func (w *Worker) reject(out http.ResponseWriter, id string) {
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}
