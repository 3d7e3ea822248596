package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the engines.
const (
	engineService = "huvo11a"
	chatPrefix    = "/pufi791/"
	engineSlots   = 64
	eventDelay    = 25 * time.Millisecond
	switchTime    = 3 * time.Second
)

// memory is the KV cache of a request that a handle names.
type memory struct {
	owner string
	used  bool
}

// memories are the handles of all engines.
type memories struct {
	mu      sync.Mutex
	handles map[string]*memory
}

func (m *memories) add(owner string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	handle := fmt.Sprintf("%012x", rand.Int64N(1<<48))
	m.handles[handle] = &memory{owner: owner}
	return handle
}

// take takes a handle once.
func (m *memories) take(handle string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.handles[handle]
	if k == nil || k.used {
		return "", false
	}
	k.used = true
	return k.owner, true
}

// run is a stream that an engine generates.
type run struct {
	// stop is closed to stop the stream, stopped once it has ended.
	stop, stopped chan struct{}
	sent          int
}

// engine is a model worker.
type engine struct {
	c        *caseRun
	id       string
	listener net.Listener
	memories *memories

	mu       sync.Mutex
	stage    string
	busy     bool
	sequence int64
	runs     map[string]*run
	open     map[net.Conn]bool
	// begun are the requests that began to run here.
	begun map[string]bool
}

func newEngine(c *caseRun, id, stage string, m *memories) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{c: c, id: id, listener: l, memories: m, stage: stage, runs: map[string]*run{}, open: map[net.Conn]bool{}, begun: map[string]bool{}}
	go e.accept()
	return e, nil
}

func (e *engine) row(state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Strings and numbers always encode.
	text, _ := json.Marshal(map[string]any{
		"service": engineService, "address": e.listener.Addr().String(), "zone": "andina-a", "version": "v1", "slots": engineSlots,
		"state": state, "cold_remaining_ms": 0, "stage": e.stage, "sequence": 4, "born": e.c.began.UnixMilli(),
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	return text
}

func (e *engine) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.open {
		_ = conn.Close()
	}
}

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.open[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *engine) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.open, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer, goesOn := e.answer(conn, r, body)
		if !goesOn {
			return
		}
		if answer == "" {
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func jsonAnswer(status string, value any) string {
	text, _ := json.Marshal(value)
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
}

func emptyAnswer(status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", status)
}

// answer answers a request or a call. An empty answer was written already. It returns false if the connection
// ends.
func (e *engine) answer(conn net.Conn, r *http.Request, body []byte) (string, bool) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + e.id + "\r\nContent-Length: 0\r\n\r\n", true
	}
	switch {
	case r.URL.Path == "/v1/report":
		return e.report(), true
	case r.URL.Path == "/v1/order":
		return e.order(body), true
	case r.URL.Path == "/v1/kv-move":
		return e.move(body), true
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		_, _ = e.memories.take(strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		return emptyAnswer("200 OK"), true
	}
	return e.request(conn, r)
}

// began reports whether a request began to run here.
func (e *engine) began(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun[id]
}

func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return jsonAnswer("200 OK", map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": e.busy, "sequence": e.sequence,
		"queued": 0, "running": len(e.runs), "kv_used": 1000 * len(e.runs), "kv_total": 370000, "kv_handles": 0, "born": e.c.began.UnixMilli(),
	})
}

func (e *engine) order(body []byte) string {
	var o struct {
		Stage, Holder string
		Fence         int64
		Precondition  *int64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" {
		return emptyAnswer("400 Bad Request")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.Precondition != nil && *o.Precondition != e.sequence:
		return emptyAnswer("409 Conflict")
	case o.Stage == e.stage:
		return emptyAnswer("200 OK")
	}
	e.sequence++
	e.busy = true
	e.c.note("engine %s: order to become %s by %s", e.id, o.Stage, o.Holder)
	time.AfterFunc(switchTime, func() {
		e.mu.Lock()
		e.stage, e.busy = o.Stage, false
		e.mu.Unlock()
		e.c.store.Put("servers", e.id, e.row("ready"))
	})
	return emptyAnswer("202 Accepted")
}

// move stops a stream and returns the handle of its memory. The copy takes a few milliseconds.
func (e *engine) move(body []byte) string {
	var m struct {
		InstanceID string `json:"instance_id"`
		To         string `json:"to"`
	}
	if json.Unmarshal(body, &m) != nil || m.To == "" {
		return emptyAnswer("400 Bad Request")
	}
	e.mu.Lock()
	s := e.runs[m.InstanceID]
	delete(e.runs, m.InstanceID)
	e.mu.Unlock()
	if s == nil {
		return emptyAnswer("404 Not Found")
	}
	close(s.stop)
	<-s.stopped
	handle := e.memories.add(m.InstanceID)
	e.c.note("engine %s: moves %s to %s, handle %s", e.id, m.InstanceID, m.To, handle)
	time.Sleep(moveDelay)
	return jsonAnswer("200 OK", map[string]any{"kv_handle": handle, "created": s.sent})
}

// moveDelay is how long a copy takes.
const moveDelay = 1 * time.Millisecond

// request runs a client's request, or reads its prompt.
func (e *engine) request(conn net.Conn, r *http.Request) (string, bool) {
	id := r.Header.Get("Attempt-Id")
	e.mu.Lock()
	stage, full := e.stage, len(e.runs) >= 4*engineSlots
	e.mu.Unlock()
	reads := r.Header.Get("Serving-Stage") == "prefill"
	switch {
	case id == "":
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	case reads != (stage == "prefill"):
		return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	case full:
		return refusal, true
	case reads:
		text, _ := json.Marshal(map[string]any{"kv_handle": e.memories.add(id), "tokens": 1, "version": 1})
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text), true
	}
	owner := id
	if source := r.Header.Get("Kv-Source"); source != "" {
		_, handle, _ := strings.Cut(source, "/")
		found := false
		if owner, found = e.memories.take(handle); !found {
			return refusal, true
		}
		e.c.note("engine %s: %s goes on from handle %s, which is that of %s", e.id, id, handle, owner)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return "", e.stream(conn, id, owner, after)
}

// stream writes events in chunks. A worker does not check whose handle it is: it goes on with the text of
// the memory's owner. It returns false if the stream was stopped.
func (e *engine) stream(conn net.Conn, id, owner string, after int) bool {
	s := &run{stop: make(chan struct{}), stopped: make(chan struct{}), sent: after}
	defer close(s.stopped)
	e.mu.Lock()
	e.runs[id] = s
	e.begun[id] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.runs[id] == s {
			delete(e.runs, id)
		}
		e.mu.Unlock()
	}()
	e.c.note("engine %s: runs %s after event %d", e.id, id, after)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, stamp(e.id, id))
	for n := after + 1; n <= chatEvents && err == nil; n++ {
		select {
		case <-s.stop:
			return false
		case <-time.After(eventDelay):
		}
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, owner, n)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		s.sent = n
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}
