// Package service stands in for a plain service beside the engines: it records
// every run of a call, so that a test can count how often a call that may not
// be repeated did run, whatever its callers were told.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxBodyBytes bounds one call.
const maxBodyBytes = 16 << 20

// Config is how a [Service] behaves.
type Config struct {
	// Delay is how long a call takes before its effect, in milliseconds; none
	// by default.
	Delay kumquatlug.Millis `json:"delay_ms"`
	// FailAfter is how many of the next calls with an effect cut the
	// connection once the effect is recorded.
	FailAfter int `json:"fail_after"`
	// AnswerBytes pads every answer to at least so many bytes; no padding by
	// default.
	AnswerBytes int `json:"answer_bytes"`
}

// Run is how often one call ran.
type Run struct {
	key   string
	body  string
	count int
}

// Key returns the idempotency key of the call, empty when it had none.
func (r Run) Key() string { return r.key }

// Body returns the call's body.
func (r Run) Body() string { return r.body }

// Count returns how often the call ran.
func (r Run) Count() int { return r.count }

type runKey struct {
	key  string
	body string
}

// Service answers calls and remembers those that had an effect. It is safe
// for concurrent use.
type Service struct {
	mu     sync.Mutex
	config Config
	runs   map[runKey]int
}

// New returns a service that behaves as c says.
func New(c Config) *Service {
	return &Service{config: c, runs: map[runKey]int{}}
}

// SetConfig changes how the service behaves; the runs stay.
func (s *Service) SetConfig(c Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = c
}

// Runs returns the calls that ran, by key and body.
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

// Handler returns the service's API: any method on any path, "GET /health",
// "GET /_runs" for the oracle and "POST /_config" for its faults.
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
	// A plain service does not notice that its caller leaves: the effect comes
	// all the same.
	_ = standin.Wait(context.Background(), c.Delay)
	if r.Method == http.MethodPost && s.recordRun(r.Header.Get("Idempotency-Key"), string(body)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(Answer(r.Method, r.URL.RequestURI(), string(body), c.AnswerBytes))
}

// recordRun counts a run and reports whether its caller must not hear of it.
func (s *Service) recordRun(key, body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[runKey{key: key, body: body}]++
	if s.config.FailAfter == 0 {
		return false
	}
	s.config.FailAfter--
	return true
}

// Answer returns the bytes that a call is answered with, so that a test knows
// every byte; padded to at least size bytes.
func Answer(method, path, body string, minBytes int) []byte {
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
	standin.Reply(w, http.StatusOK, body)
}

func (s *Service) configure(w http.ResponseWriter, r *http.Request) {
	var c Config
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetConfig(c)
}
