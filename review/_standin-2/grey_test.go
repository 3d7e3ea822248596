package standin2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Parameters of greyWorker.
const (
	greyPostings = 300
	// greyNumerator of greyDenominator requests fail at the faulty worker, 0.4 of them.
	greyNumerator, greyDenominator = 2, 5
	greyWork                       = 10 * time.Millisecond
)

// desk is a worker of a plain service. If it is faulty, it fails a part of its requests after it has run them.
type desk struct {
	l      *ledger
	id     string
	faulty bool
	mu     sync.Mutex
	// ran are the ids of the requests that it ran, failed those of which it answered 503.
	ran, failed map[string]bool
}

// ServeHTTP implements the worker protocol of the users' pages.
func (w *desk) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	out.Header().Set("Instance-Id", w.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	w.ran[id] = true
	fails := w.faulty && len(w.ran)%greyDenominator < greyNumerator
	if fails {
		w.failed[id] = true
	}
	w.mu.Unlock()
	w.l.note("%s runs %s", w.id, id)
	time.Sleep(greyWork)
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Server-Stamp", w.id+"."+id)
	if fails {
		w.l.note("%s answers %s with 503, without Not-Executed", w.id, id)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(out, "answer to "+id+"\n")
}

// greyWorker plays postings that may run once at three workers. One of them fails a part of its requests while its health
// check is good: it has run them, and answers 503 without Not-Executed.
func greyWorker(d *deployment, trouble bool) (string, error) {
	var workers []*desk
	for i := range 3 {
		w := &desk{l: d.ledger, id: fmt.Sprintf("i-desk%d", i), faulty: trouble && i == 0, ran: map[string]bool{}, failed: map[string]bool{}}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		server := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(listener) }()
		d.putWorker(w.id, "desk", listener.Addr().String(), "ready", "", 6, time.Now())
		workers = append(workers, w)
	}
	d.setConfig([]map[string]any{
		{"kind": "non_idempotent", "prefix": "/post/", "service": "desk", "timeout_ms": 4000, "target_latency_ms": 300, "max_attempts": 1, "priority": 2},
	}, []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 110}}, 1<<20)
	f, err := d.newFront("edge-1", 8)
	if err != nil {
		return "", err
	}
	if err := f.waitReady(); err != nil {
		return "", err
	}
	client := &http.Client{Timeout: 5 * time.Second}
	var broken []string
	for n := range greyPostings {
		id := fmt.Sprintf("p%04d", n)
		r, err := http.NewRequest(http.MethodPost, "http://"+f.clientAddr+"/post/x", strings.NewReader(strings.Repeat("b", 600)))
		if err != nil {
			return "", err
		}
		r.Host = host
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Deadline-Ms", "4000")
		response, err := client.Do(r)
		if err != nil {
			return "", err
		}
		_ = response.Body.Close()
		ran := ""
		for _, w := range workers {
			w.mu.Lock()
			if w.ran[id] {
				ran = w.id
			}
			w.mu.Unlock()
		}
		d.ledger.note("the client of %s gets %d, Server-Stamp %q; it ran at %q", id, response.StatusCode, response.Header.Get("Server-Stamp"), ran)
		if response.StatusCode == http.StatusServiceUnavailable && ran != "" {
			broken = append(broken, id)
		}
	}
	if len(broken) == 0 {
		return "", nil
	}
	return fmt.Sprintf("REFUSED: %d of %d postings were answered with 503 and have run: %s", len(broken), greyPostings, strings.Join(broken, ", ")), nil
}
