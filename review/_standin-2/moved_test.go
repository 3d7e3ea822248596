package standin2

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of refusedMove.
const (
	// movedClients is the number of clients; movedEvents and movedDelay make a stream of three seconds.
	movedClients = 57
	movedSlots   = 16
	movedEvents  = 75
	movedDelay   = 40 * time.Millisecond
	// emptiedAt is when a worker is emptied, emptiedFor how long it serves after that, drain_ms and a little longer, and
	// stopAfter when the front gets SIGTERM.
	emptiedAt  = 6 * time.Second
	emptiedFor = 3500 * time.Millisecond
	stopAfter  = 300 * time.Millisecond
	movedLast  = 11 * time.Second
)

// room is what the engines of a service have for streams that are moved.
type room struct {
	mu      sync.Mutex
	members map[string]*member
	// copies are the times at which copies came to an engine, by address, by the id of their streams.
	copies map[string]map[string]time.Time
}

// copyTime is how long a copy that isn't used holds its slot.
const copyTime = time.Second

// take reports whether an engine has a slot for a copy, and takes it.
func (r *room) take(address, stream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	to := r.members[address]
	if to == nil {
		return false
	}
	held := 0
	for id, at := range r.copies[address] {
		if time.Since(at) < copyTime && !to.worker().StreamedEvent(id, movedEvents) {
			held++
		}
	}
	if running, waiting := to.slots.counts(); running+waiting+held >= movedSlots {
		return false
	}
	if r.copies[address] == nil {
		r.copies[address] = map[string]time.Time{}
	}
	r.copies[address][stream] = time.Now()
	return true
}

// slots are those of an engine. Requests beyond them wait in order, a copy that was moved here first.
type slots struct {
	mu      sync.Mutex
	running int
	waiting []chan struct{}
}

// acquire waits for a slot. It returns false if ctx ends first.
func (s *slots) acquire(ctx context.Context, first bool) bool {
	s.mu.Lock()
	if s.running < movedSlots {
		s.running++
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	if first {
		s.waiting = append([]chan struct{}{turn}, s.waiting...)
	} else {
		s.waiting = append(s.waiting, turn)
	}
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, turn); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return false
	}
	// The slot was passed on in the meantime.
	s.release()
	return false
}

// release passes the slot on. s.mu is held.
func (s *slots) release() {
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		return
	}
	s.running--
}

// counts returns how many requests run and wait.
func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

// movable makes a worker answer moves of running streams as the protocol says if there is no room for the copy: the run
// stops, its stream is closed without its end, and the answer is 503 with the handle with which it can go on.
type movable struct {
	m    *member
	next http.Handler
}

// ServeHTTP implements the worker protocol.
func (h *movable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	runs := r.Header.Get("Attempt-Id") != "" && r.Header.Get("Serving-Stage") != "prefill" && h.m.worker().Stage() == "decode"
	switch {
	case runs:
		if !h.m.slots.acquire(r.Context(), strings.HasSuffix(r.Header.Get("Kv-Source"), "-moved")) {
			return
		}
		defer func() {
			h.m.slots.mu.Lock()
			defer h.m.slots.mu.Unlock()
			h.m.slots.release()
		}()
		h.next.ServeHTTP(&loadWriter{ResponseWriter: w, m: h.m}, r)
		return
	case r.URL.Path != "/v1/kv-move":
		h.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var move struct {
		Stream string `json:"instance_id"`
		To     string `json:"to"`
	}
	_ = json.Unmarshal(body, &move)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	answer := httptest.NewRecorder()
	h.next.ServeHTTP(answer, r)
	status := answer.Code
	if status == http.StatusOK && !h.m.room.take(move.To, move.Stream) {
		status = http.StatusServiceUnavailable
	}
	h.m.d.ledger.note("%s gets a move %s and answers %d: %s", h.m.id, body, status, strings.TrimSpace(answer.Body.String()))
	w.WriteHeader(status)
	_, _ = w.Write(answer.Body.Bytes())
}

// loadWriter adds the load of the worker to its answers.
type loadWriter struct {
	http.ResponseWriter
	m    *member
	sent bool
}

// WriteHeader implements [http.ResponseWriter].
func (w *loadWriter) WriteHeader(status int) {
	if !w.sent {
		w.sent = true
		if w.Header().Get("Server-Load") != "" {
			running, waiting := w.m.slots.counts()
			w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, movedSlots))
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements [io.Writer].
func (w *loadWriter) Write(b []byte) (int, error) {
	if !w.sent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap is for [http.ResponseController].
func (w *loadWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// movedStream is a stream that may run once, as its client saw it.
type movedStream struct {
	id, front string
	ended     time.Time
	status    int
	events    int
	// abandoned says that the client left after a gap.
	abandoned bool
}

// refusedMove plays streams that may run once. A worker is emptied, and the front that has taken its streams gets SIGTERM;
// the other engines have little room for its streams.
func refusedMove(d *deployment, trouble bool) (string, error) {
	var emptied *member
	space := &room{members: map[string]*member{}, copies: map[string]map[string]time.Time{}}
	for i := range 12 {
		stage := "prefill"
		if i >= 8 {
			stage = "decode"
		}
		m := &member{d: d, id: fmt.Sprintf("i-lm%d", i), service: "lm", stage: stage, events: movedEvents, delay: movedDelay, room: space}
		if _, err := d.startMember(m, "v1"); err != nil {
			return "", err
		}
		space.members[m.address] = m
		if i == 8 {
			emptied = m
		}
	}
	d.setConfig([]map[string]any{{
		"kind": "streaming", "prefix": "/chat/", "service": "lm", "timeout_ms": 8000, "target_latency_ms": 300, "max_attempts": 2, "priority": 1,
		"resumable": false, "sticky": true, "gap_target_ms": 200,
	}}, []map[string]any{{
		"name": "lm", "health_path": "/healthz", "max_connections": 360,
		"engine": map[string]any{"slots": 16, "kv_capacity_tokens": 370000, "stage_switch_s": 3},
	}}, 1<<20)
	for _, name := range []string{"edge-1", "edge-2"} {
		f, err := d.newFront(name, 8)
		if err != nil {
			return "", err
		}
		if err := f.waitReady(); err != nil {
			return "", err
		}
	}
	started := time.Now()
	var mu sync.Mutex
	var left time.Time
	current := d.fronts[0]
	var work sync.WaitGroup
	if trouble {
		work.Go(func() {
			time.Sleep(emptiedAt)
			emptied.register("draining")
			time.Sleep(stopAfter)
			mu.Lock()
			current = d.fronts[1]
			mu.Unlock()
			d.fronts[0].signal(syscall.SIGTERM)
			time.Sleep(emptiedFor - stopAfter)
			mu.Lock()
			left = time.Now()
			mu.Unlock()
			emptied.crash()
			d.store.Delete("servers", emptied.id)
		})
	}
	var all []movedStream
	for n := range movedClients {
		work.Go(func() {
			time.Sleep(time.Duration(n) * 70 * time.Millisecond)
			for i := 0; time.Since(started) < movedLast; i++ {
				mu.Lock()
				f := current
				if n%2 == 1 {
					f = d.fronts[1]
				}
				mu.Unlock()
				s := playMoved(f, fmt.Sprintf("s%02d-%02d", n, i))
				d.ledger.note("the client of %s gets %d and %d of %d events from %s, abandoned %t", s.id, s.status, s.events, movedEvents, s.front, s.abandoned)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
		})
	}
	work.Wait()
	return judgeMoved(d.ledger, all, left), nil
}

// playMoved asks for a stream.
func playMoved(f *front, id string) movedStream {
	s := movedStream{id: id, front: f.name}
	r, err := http.NewRequest(http.MethodPost, "http://"+f.clientAddr+"/chat/x", strings.NewReader(strings.Repeat("b", 440)))
	if err != nil {
		return s
	}
	r.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "8000", "Model": "m", "Token-Count": "141,400", "Prefix-Hash": "aa:80," + id + ":61",
	} {
		r.Header.Set(name, value)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gap := time.AfterFunc(maxGap, cancel)
	defer gap.Stop()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 9 * time.Second}
	response, err := client.Do(r.WithContext(ctx))
	s.ended = time.Now()
	if err != nil {
		s.abandoned = ctx.Err() != nil
		return s
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			s.events++
			gap.Reset(maxGap)
		}
	}
	s.ended, s.abandoned = time.Now(), ctx.Err() != nil
	return s
}

// judgeMoved checks LOST: at the front that got SIGTERM, no stream ends without all of its events while its worker serves.
func judgeMoved(l *ledger, all []movedStream, left time.Time) string {
	var cut []string
	whole := 0
	for _, s := range all {
		switch {
		case s.status == http.StatusOK && s.events == movedEvents:
			whole++
		case s.status == http.StatusOK && !s.abandoned && s.front == "edge-1" && s.ended.Before(left):
			cut = append(cut, fmt.Sprintf("%s after %d of %d events", s.id, s.events, movedEvents))
		}
	}
	l.note("%d streams, %d whole, %d cut at the front that got SIGTERM, before their worker left", len(all), whole, len(cut))
	if len(cut) == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d streams were cut: %s", len(cut), strings.Join(cut, ", "))
}
