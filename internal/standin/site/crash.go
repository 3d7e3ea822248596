package site

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
)

// workerLease is how long the row of a crashed worker stays.
const workerLease = 3600 * time.Millisecond

// crashes are the crashes of workers by the parts of prompts.
type crashes struct {
	mu sync.Mutex
	// parts are the parts that crash a worker, unless they are the last of their prompt, and
	// restartDelay is the time until it is back.
	parts        []string
	restartDelay time.Duration
	// versions are the versions that are not affected.
	versions []string
	// ended are the crashed workers by ID, at is when they crashed, and restarted are the servers
	// of those that are back.
	ended     map[string]bool
	at        []time.Time
	restarted []*http.Server
	// back are the workers that started after a crash.
	back     []*fleet.Worker
	arrivals []Arrival
	closed   bool
	// conns are the open connections by server.
	connMu sync.Mutex
	conns  map[*http.Server]map[net.Conn]bool
}

// newServer returns a server whose connections can be reset.
func (k *crashes) newServer(h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		k.connMu.Lock()
		defer k.connMu.Unlock()
		switch state {
		case http.StateNew:
			if k.conns == nil {
				k.conns = map[*http.Server]map[net.Conn]bool{}
			}
			if k.conns[server] == nil {
				k.conns[server] = map[net.Conn]bool{}
			}
			k.conns[server][c] = true
		case http.StateClosed, http.StateHijacked:
			delete(k.conns[server], c)
		}
	}
	return server
}

// reset closes a server and resets its connections: the end of one must not look like that of a response
// without length.
func (k *crashes) reset(server *http.Server) {
	k.connMu.Lock()
	for c := range k.conns[server] {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	k.connMu.Unlock()
	_ = server.Close()
}

// Arrival is a request that arrived at an engine.
type Arrival struct {
	At time.Time
	// Parts are the IDs of the parts of its prompt.
	Parts []string
}

// CrashOn makes each worker crash that begins its answer to a prompt with one of the parts, unless it
// is the last one, or to a plain request with one of them as its path. The worker is back after delay,
// at its address and under a new ID. Without parts none crashes any more.
func (s *Site) CrashOn(delay time.Duration, parts ...string) {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	s.crashes.parts, s.crashes.restartDelay = parts, delay
}

// Crashed returns whether a worker has crashed.
func (s *Site) Crashed(w *fleet.Worker) bool {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	return s.crashes.ended[s.workerIDs[w]]
}

// Restarted returns the workers that started after a crash.
func (s *Site) Restarted() []*fleet.Worker {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	return slices.Clone(s.crashes.back)
}

// Crashes returns when workers crashed.
func (s *Site) Crashes() []time.Time {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	return slices.Clone(s.crashes.at)
}

// Arrivals returns the requests that arrived at engines with a part in their prompts.
func (s *Site) Arrivals(part string) []Arrival {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	var found []Arrival
	for _, a := range s.crashes.arrivals {
		if slices.Contains(a.Parts, part) {
			found = append(found, a)
		}
	}
	return found
}

// watchCrashes makes a worker crash on parts of prompts.
func (s *Site) watchCrashes(c *fleet.Config) {
	engine := *c
	c.OnArrival = func(parts []string) {
		s.crashes.mu.Lock()
		defer s.crashes.mu.Unlock()
		s.crashes.arrivals = append(s.crashes.arrivals, Arrival{At: time.Now(), Parts: parts})
	}
	c.OnAnswer = func(parts []string) bool { return s.answerBegins(engine, parts) }
}

// answerBegins crashes a worker that begins its answer to a prompt with a crashing part, and starts it
// again later.
func (s *Site) answerBegins(engine fleet.Config, parts []string) bool {
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended[engine.ID] {
		return true
	}
	guilty := slices.ContainsFunc(parts[:max(len(parts)-1, 0)], func(p string) bool { return slices.Contains(k.parts, p) })
	if !guilty || slices.Contains(k.versions, engine.Version) {
		return false
	}
	if k.ended == nil {
		k.ended = map[string]bool{}
	}
	k.ended[engine.ID] = true
	k.at = append(k.at, time.Now())
	server, address := s.workerServers[engine.ID], s.addresses[engine.ID]
	k.reset(server)
	time.AfterFunc(workerLease, func() { s.Store.Delete("servers", engine.ID) })
	time.AfterFunc(k.restartDelay, func() { s.restartWorker(engine, address) })
	return true
}

// restartWorker starts a crashed worker at its address, under a new ID.
func (s *Site) restartWorker(c fleet.Config, address string) {
	base, _, _ := strings.Cut(c.ID, "+")
	k := &s.crashes
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return
	}
	c.ID, c.Address = base+"+"+strings.Repeat("i", 1+strings.Count(c.ID, "i")), address
	s.watchCrashes(&c)
	w := fleet.New(c)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return
	}
	server := k.newServer(w)
	s.workerServers[c.ID], s.addresses[c.ID] = server, address
	k.restarted, k.back = append(k.restarted, server), append(k.back, w)
	s.workerIDs[w] = c.ID
	go func() { _ = server.Serve(l) }()
	s.Store.Put("servers", c.ID, w.Row("ready"))
}

// WriteEngineRows writes the rows of all engines that run, and of workers that are back, as each of them does about once a second.
func (s *Site) WriteEngineRows() {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	for _, w := range slices.Concat(s.Engines, s.crashes.back) {
		if id := s.workerIDs[w]; !s.crashes.ended[id] {
			s.Store.Put("servers", id, w.Row("ready"))
		}
	}
}

// MendCrashes makes the engines of a version of the software unaffected.
func (s *Site) MendCrashes(version string) {
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	s.crashes.versions = append(s.crashes.versions, version)
}

// closeRestarted stops the workers that started after a crash.
func (k *crashes) closeRestarted() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for _, server := range k.restarted {
		_ = server.Close()
	}
}
