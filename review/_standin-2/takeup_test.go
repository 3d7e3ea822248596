package standin2

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of versionDecoderLost.
const (
	// switchTime is stage_switch_s of the site.
	switchTime = 3 * time.Second
	// crashedFor is how long the crashed workers are away, maxCrashed how many crash at once, 0.17 of the service, and
	// entryTime how long their entries stay: three heartbeats.
	maxCrashed = 2
	crashedFor = 4500 * time.Millisecond
	entryTime  = 3600 * time.Millisecond
	// releaseAt is when a worker is emptied, leaveTime how long it serves after that, drain_ms and a little longer, and
	// crashAfter when the others crash.
	releaseAt  = 8 * time.Second
	leaveTime  = 3500 * time.Millisecond
	crashAfter = 1200 * time.Millisecond
	// takeUpClients is the number of clients, and longEvents and longDelay make a stream of four seconds.
	takeUpClients = 48
	longEvents    = 100
	longDelay     = 40 * time.Millisecond
	// maxGap is the gap after which a client abandons a stream, maxTakeUps how often it takes one up.
	maxGap     = 2 * time.Second
	maxTakeUps = 3
	takeUpLast = 14 * time.Second
	// minTakenUp is the number of streams from which the rule counts.
	minTakenUp = 12
)

// switching makes a worker change its stage as the protocol says: the order is accepted at once and carried out
// switchTime later, and requests get 503 with Not-Executed meanwhile.
type switching struct {
	m       *member
	next    http.Handler
	mu      sync.Mutex
	busy    bool
	ordered int64
}

// ServeHTTP implements the worker protocol.
func (s *switching) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	expected := r.Header.Get("Expected-Instance")
	misdirected := expected != "" && expected != s.m.id
	switch {
	case misdirected:
		s.next.ServeHTTP(w, r)
	case r.URL.Path == "/v1/order":
		s.order(w, r)
	case r.URL.Path == "/v1/report":
		stage := s.m.worker().Stage()
		s.mu.Lock()
		defer s.mu.Unlock()
		// Maps of plain values always encode.
		text, _ := json.Marshal(map[string]any{
			"stage": stage, "models": []any{}, "busy": s.busy, "sequence": s.ordered, "queued": 0, "running": 0, "born": s.m.born().UnixMilli(),
		})
		_, _ = w.Write(text)
	case busy && (r.Header.Get("Attempt-Id") != ""):
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.next.ServeHTTP(w, r)
	}
}

// order accepts an order and carries it out later.
func (s *switching) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Stage        string `json:"stage"`
		Holder       string `json:"holder"`
		Fence        int64  `json:"fence"`
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.busy || o.Precondition != nil && *o.Precondition != s.ordered:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Stage == s.m.worker().Stage():
		return
	}
	s.busy = true
	s.ordered++
	s.m.d.ledger.note("%s accepts an order of %s, fence %d: stage %s", s.m.id, o.Holder, o.Fence, o.Stage)
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(switchTime, func() {
		s.m.setStage(o.Stage)
		s.mu.Lock()
		s.busy = false
		s.mu.Unlock()
		s.m.d.ledger.note("%s has stage %s", s.m.id, o.Stage)
		s.m.register("ready")
	})
}

// takenUp is what became of a stream.
type takenUp struct {
	id string
	// began is when the client asked for it. started says that its first event came, complete that all did.
	began             time.Time
	started, complete bool
	// takenUp says that its client took it up again, wentOn that another event came then.
	takenUp, wentOn bool
	// takenUpAt is when its client took it up last.
	takenUpAt time.Time
}

// versionDecoderLost plays resumable streams at engines of two software versions that serve side by side. The engines of the
// older version that generate output crash; the others of that version go on reading prompts.
func versionDecoderLost(d *deployment, trouble bool) (string, error) {
	var old []*member
	for i := range 12 {
		stage, version := "prefill", "v2"
		if i < 6 {
			version = "v1"
		}
		if i < 2 || i >= 10 {
			stage = "decode"
		}
		m, err := d.newEngine(fmt.Sprintf("i-lm%d", i), "lm", stage, version, longEvents, longDelay)
		if err != nil {
			return "", err
		}
		if version == "v1" {
			old = append(old, m)
		}
	}
	d.setConfig([]map[string]any{{
		"kind": "streaming", "prefix": "/chat/", "service": "lm", "timeout_ms": 15000, "target_latency_ms": 150, "max_attempts": 2, "priority": 1,
		"resumable": true, "sticky": true, "gap_target_ms": 200,
	}}, []map[string]any{{
		"name": "lm", "health_path": "/healthz", "max_connections": 370,
		"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 370000, "stage_switch_s": switchTime.Seconds()},
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
	ctx, cancel := context.WithTimeout(context.Background(), takeUpLast)
	defer cancel()
	if trouble {
		time.AfterFunc(releaseAt, func() { d.releaseAndCrash(old) })
	}
	var mu sync.Mutex
	var all []*takenUp
	var clients sync.WaitGroup
	for n := range takeUpClients {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 60 * time.Millisecond)
			for i := 0; ctx.Err() == nil; i++ {
				s := &takenUp{id: fmt.Sprintf("s%02d-%02d", n, i), began: time.Now()}
				s.play(d, n)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return judgeTakenUp(d.ledger, all), nil
}

// releaseAndCrash empties the first of these engines that generates output, as a release does, and crashes the others while it
// drains.
func (d *deployment) releaseAndCrash(engines []*member) {
	var decoders []*member
	for _, m := range engines {
		if m.worker().Stage() == "decode" {
			decoders = append(decoders, m)
		}
	}
	leaving := decoders[0]
	// The new one starts first.
	if _, err := d.newEngine(leaving.id+"-new", "lm", "decode", "v2", longEvents, longDelay); err != nil {
		d.ledger.note("%v", err)
	}
	leaving.register("draining")
	time.AfterFunc(leaveTime, func() {
		leaving.crash()
		d.store.Delete("servers", leaving.id)
	})
	time.Sleep(crashAfter)
	for _, m := range decoders[1:min(len(decoders), 1+maxCrashed)] {
		m.crash()
		time.AfterFunc(entryTime, func() { d.store.Delete("servers", m.id) })
		time.AfterFunc(crashedFor, func() {
			if _, err := d.newEngine(m.id+"-b", "lm", "decode", "v1", longEvents, longDelay); err != nil {
				d.ledger.note("%v", err)
			}
		})
	}
}

// play asks for a stream, and takes it up at the other front each time that it breaks off, as long as the gap allows.
func (s *takenUp) play(d *deployment, n int) {
	last, lastAt, wait := 0, time.Now(), time.Duration(0)
	for try := range maxTakeUps + 1 {
		if try > 0 {
			if last == 0 || time.Since(lastAt)+wait > maxGap {
				return
			}
			time.Sleep(wait)
			s.takenUp = true
		}
		f := d.fronts[(n+try)%len(d.fronts)]
		id := s.id
		if try > 0 {
			id = fmt.Sprintf("%s-%d", s.id, try)
		}
		got, gotAt, status, retry, err := streamFrom(f.clientAddr, id, s.id, last, lastAt)
		d.ledger.note("stream %s, attempt %s at %s after event %d: status %d, up to event %d, Retry-After %v, error %v", s.id, id, f.name, last, status, got, retry, err)
		if got > last {
			s.started, lastAt = true, gotAt
			s.wentOn = s.wentOn || try > 0
			last = got
		}
		if s.complete = last == longEvents; s.complete || status != http.StatusOK && try == 0 {
			return
		}
		wait = max(retry, 10*time.Millisecond)
	}
}

// streamFrom sends one attempt and returns the number of the last event and its time, the status and the Retry-After. The client
// leaves after a gap of maxGap.
func streamFrom(address, id, first string, after int, lastAt time.Time) (int, time.Time, int, time.Duration, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gap := time.AfterFunc(maxGap-time.Since(lastAt), cancel)
	defer gap.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/chat/x", strings.NewReader(strings.Repeat("b", 440)))
	if err != nil {
		return after, lastAt, 0, 0, err
	}
	r.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "15000", "Model": "m", "Token-Count": "141,200", "Prefix-Hash": "aa:80," + first + ":61",
	} {
		r.Header.Set(name, value)
	}
	if after > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(after))
		r.Header.Set("Resumes", first)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 16 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return after, lastAt, 0, 0, err
	}
	defer response.Body.Close()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if number, found := strings.CutPrefix(lines.Text(), "id: "); found && response.StatusCode == http.StatusOK {
			if n, err := strconv.Atoi(number); err == nil {
				after, lastAt = n, time.Now()
				gap.Reset(maxGap)
			}
		}
	}
	return after, lastAt, response.StatusCode, time.Duration(seconds * float64(time.Second)), lines.Err()
}

// judgeTakenUp checks LOST: of the streams that clients take up again, the share that goes on is at least half of the share of
// new streams that begin.
func judgeTakenUp(l *ledger, all []*takenUp) string {
	began, taken, wentOn, complete := 0, 0, 0, 0
	for _, s := range all {
		for _, c := range []struct {
			is    bool
			count *int
		}{{s.started, &began}, {s.takenUp, &taken}, {s.takenUp && s.wentOn, &wentOn}, {s.complete, &complete}} {
			if c.is {
				*c.count++
			}
		}
	}
	l.note("%d streams, %d began, %d complete; %d taken up again, of which %d went on", len(all), began, complete, taken, wentOn)
	if taken < minTakenUp || 2*wentOn*len(all) >= taken*began {
		return ""
	}
	return fmt.Sprintf("LOST: of %d streams that clients took up again, %d went on; of %d new ones %d began", taken, wentOn, len(all), began)
}
