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

// Figures of the workers of the plain service.
const (
	deskSlots       = 6
	deskQueue       = 24
	deskConnections = 96
	deskWorkMs      = 60
)

// desk is a worker of the plain service.
type desk struct {
	c        *caseRun
	id       string
	listener net.Listener
	slots    chan struct{}

	mu sync.Mutex
	// runs are the times at which requests began to run, by Attempt-Id.
	runs map[string][]time.Time
	// present is the number of requests that run or wait.
	present int
	open    map[net.Conn]bool
	random  *rand.Rand
	// work is how long a request takes.
	work func() time.Duration
}

func newDesk(c *caseRun, id string) (*desk, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &desk{
		c: c, id: id, listener: l, slots: make(chan struct{}, deskSlots), runs: map[string][]time.Time{}, open: map[net.Conn]bool{},
		random: rand.New(rand.NewPCG(uint64(len(c.desks)), 7)),
	}
	d.work = func() time.Duration { return time.Duration(deskWorkMs*(0.5+d.chance())) * time.Millisecond }
	go d.accept()
	return d, nil
}

// row returns the worker's row in the store.
func (d *desk) row() []byte {
	// Strings and numbers always encode.
	text, _ := json.Marshal(map[string]any{
		"service": deskService, "address": d.listener.Addr().String(), "zone": "andina-a", "version": "v1", "slots": deskSlots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 4, "born": d.c.began.UnixMilli(),
	})
	return text
}

func (d *desk) close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.open {
		_ = conn.Close()
	}
}

func (d *desk) chance() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64()
}

func (d *desk) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		full := len(d.open) >= deskConnections
		if !full {
			d.open[conn] = true
		}
		d.mu.Unlock()
		if full {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go d.serve(conn)
	}
}

// serve serves the requests of one connection in turn.
func (d *desk) serve(conn net.Conn) {
	defer func() {
		d.mu.Lock()
		delete(d.open, conn)
		d.mu.Unlock()
		_ = conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, d.answer(r, size)); err != nil {
			return
		}
	}
}

// refusal is the answer to a request that the worker does not run. As the wire page shows it, it bears
// no Attempt-Id.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// answer answers a request.
func (d *desk) answer(r *http.Request, size int64) string {
	id := r.Header.Get("Attempt-Id")
	switch expected := r.Header.Get("Expected-Instance"); {
	case expected != "" && expected != d.id:
		return "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + d.id + "\r\nContent-Length: 0\r\n\r\n"
	case r.URL.Path == "/healthz":
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", d.id, d.load())
	case id == "":
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	if !d.enter() {
		d.c.note("worker %s: %s not executed", d.id, id)
		return refusal
	}
	defer d.leave()
	d.slots <- struct{}{}
	defer func() { <-d.slots }()
	d.mu.Lock()
	d.runs[id] = append(d.runs[id], time.Now())
	d.mu.Unlock()
	d.c.note("worker %s: runs %s, %s %s, body of %d bytes", d.id, id, r.Method, r.URL.Path, size)
	time.Sleep(d.work())
	body := responseBody(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s\r\nServer-Load: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %s\r\n\r\n%s",
		id, stamp(d.id, id), d.load(), strconv.Itoa(len(body)), body)
}

// enter reports whether the worker takes a request.
func (d *desk) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.present >= deskSlots+deskQueue {
		return false
	}
	d.present++
	return true
}

func (d *desk) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.present--
}

// load returns the requests that run and wait, and the slots.
func (d *desk) load() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := min(d.present, deskSlots)
	return fmt.Sprintf("%d,%d,%d", running, d.present-running, deskSlots)
}

// totalRuns returns how often each request ran on all workers together.
func (c *caseRun) totalRuns() map[string]int {
	total := map[string]int{}
	for _, d := range c.desks {
		d.mu.Lock()
		for id, at := range d.runs {
			total[id] += len(at)
		}
		d.mu.Unlock()
	}
	return total
}

// stamp is the signature of a worker's answer, responseBody its body.
func stamp(worker, id string) string { return worker + "." + id }

func responseBody(id string) string { return strings.Repeat(id+" ", 800/(len(id)+1)+1)[:800] }
