// Package service simulates a plain service besides the engines. It counts
// every run of a call, so that tests can check how often a non-idempotent call
// ran, regardless of the responses that its callers received.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxBodyBytes limits the body of one call.
const maxBodyBytes = 16 << 20

// Config configures a [Service].
type Config struct {
	// Delay is the time before a call takes effect, in milliseconds; zero by
	// default.
	Delay kumquatlug.Millis `json:"delay_ms"`
	// LoseResponses is the number of next calls with an effect for which the
	// connection is closed without a response after the run is recorded.
	LoseResponses int `json:"fail_after"`
	// MinResponseBytes is the minimum size of a response, reached by padding; no
	// padding by default.
	MinResponseBytes int `json:"answer_bytes"`
	// Ending is how responses end; framed by default.
	Ending standin.Ending `json:"ending"`
}

// Run is the number of runs of one call.
type Run struct {
	key   string
	body  string
	count int
}

// Key returns the idempotency key of the call, or an empty string.
func (r Run) Key() string { return r.key }

// Body returns the body of the call.
func (r Run) Body() string { return r.body }

// Count returns the number of runs.
func (r Run) Count() int { return r.count }

type runKey struct {
	key  string
	body string
}

// Service responds to calls and counts those with an effect: POST requests. It
// is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	config Config
	runs   map[runKey]int
}

// New returns a service with configuration c.
func New(c Config) *Service {
	return &Service{config: c, runs: map[runKey]int{}}
}

// SetConfig replaces the configuration; recorded runs are kept.
func (s *Service) SetConfig(c Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
}

// Runs returns the calls that ran, ordered by key and body.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, 0, len(s.runs))
	for k, n := range s.runs {
		runs = append(runs, Run{key: k.key, body: k.body, count: n})
	}
	sort.Slice(runs, func(i, j int) bool {
		if runs[i].key != runs[j].key {
			return runs[i].key < runs[j].key
		}
		return runs[i].body < runs[j].body
	})
	return runs
}

// Handler returns the service's HTTP handler. It accepts any method on any
// path; "GET /health" is the health check, "GET /_runs" returns the recorded
// runs and "POST /_config" sets the configuration.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /health":
			w.WriteHeader(http.StatusOK)
		case "GET /_runs":
			s.listRuns(w, r)
		case "POST /_config":
			s.configure(w, r)
		default:
			s.serve(w, r)
		}
	})
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	c := s.config
	s.mu.Unlock()
	// A plain service ignores disconnects: the call takes effect even if its
	// caller has left.
	_ = standin.Wait(context.Background(), c.Delay)
	if r.Method == http.MethodPost && s.recordRun(r.Header.Get("Idempotency-Key"), string(body)) {
		panic(http.ErrAbortHandler)
	}
	response := Response(r.Method, r.URL.RequestURI(), string(body), c.MinResponseBytes)
	w.Header().Set("Content-Type", "application/json")
	if r.Header.Get("Accept") == eventStream {
		w.Header().Set("Content-Type", eventStream)
		response = EventStream(response)
	}
	standin.WriteEnding(w, http.StatusOK, response, c.Ending)
}

// eventStream is the content type of a stream of events.
const eventStream = "text/event-stream"

// EventStream returns the response to a call that accepts only a stream of events: the body of a
// response as two events.
func EventStream(response []byte) []byte {
	return fmt.Appendf(nil, "id: 1\ndata: %s\n\nid: 2\ndata: %s\n\n", response, response)
}

// recordRun counts a run and reports whether its response must be lost.
func (s *Service) recordRun(key, body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[runKey{key: key, body: body}]++
	if s.config.LoseResponses == 0 {
		return false
	}
	s.config.LoseResponses--
	return true
}

// Response returns the response to a call, padded to at least minBytes bytes. It
// depends only on the call, so that tests can check every byte.
func Response(method, path, body string, minBytes int) []byte {
	response := struct {
		Receipt uint64 `json:"receipt"`
		Echo    string `json:"echo"`
		Path    string `json:"path"`
		Padding string `json:"padding,omitempty"`
	}{xxhash.Sum64String(method+" "+path+"\n"+body) >> 12, body, path, ""}
	text, _ := json.Marshal(response)
	if missing := minBytes - len(text); missing > 0 {
		response.Padding = strings.Repeat("x", missing)
		text, _ = json.Marshal(response)
	}
	return text
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	type runBody struct {
		Key   string `json:"key"`
		Body  string `json:"body"`
		Count int    `json:"count"`
	}
	body := struct {
		Runs []runBody `json:"runs"`
	}{Runs: []runBody{}}
	for _, r := range s.Runs() {
		body.Runs = append(body.Runs, runBody{r.key, r.body, r.count})
	}
	standin.WriteJSON(w, http.StatusOK, body)
}

func (s *Service) configure(w http.ResponseWriter, r *http.Request) {
	var c Config
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetConfig(c)
}
