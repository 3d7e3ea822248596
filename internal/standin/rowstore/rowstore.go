// Package rowstore simulates, for tests, the store of the users' platform: rows
// with conditional writes, a change feed with a bounded history, objects, and
// injected faults.
//
// It implements the store's published protocol, so the names on the wire are
// the users'.
package rowstore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is the way in which calls fail.
type Fault string

// Faults that can be injected.
const (
	// FaultNone: calls succeed.
	FaultNone Fault = ""
	// FaultBusy: calls are rejected with status 503 and have no effect.
	FaultBusy Fault = "busy"
	// FaultReset: connections are closed without a response; calls have no
	// effect.
	FaultReset Fault = "reset"
	// FaultSilent: calls never get a response and have no effect.
	FaultSilent Fault = "silent"
	// FaultLost: writes take effect and the connection is closed without a
	// response.
	FaultLost Fault = "lost"
)

// row is a row, or its deletion in the history. Ver is the version of the
// transaction that wrote it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Store is the simulated store. It is an http.Handler.
type Store struct {
	mu      sync.Mutex
	rows    map[string]row
	history []row
	// compacted is the newest version that is no longer in the history.
	compacted    int64
	version      int64
	changeSignal chan struct{}
	fault        Fault
	calls        map[string]int
	objects      map[string][]byte
	// responsesToLose is the number of next writes that take effect without a
	// response; delay is the time before each call is handled.
	responsesToLose int
	delay           time.Duration
	started         time.Time
	// era is the number of restores from an older copy.
	era int64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		rows: map[string]row{}, changeSignal: make(chan struct{}), calls: map[string]int{}, objects: map[string][]byte{}, started: time.Now(),
	}
}

// Snapshot is a snapshot of the rows of a store.
type Snapshot struct {
	rows    map[string]row
	version int64
}

// Snapshot returns a snapshot of the store.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{rows: maps.Clone(s.rows), version: s.version}
}

// Restore resets the store to an older snapshot. Later writes are lost and
// their versions are reused, the first otherRows of them immediately for rows
// of another table.
func (s *Store) Restore(c Snapshot, otherRows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.compacted, s.history = maps.Clone(c.rows), c.version, c.version, nil
	s.era++
	for i := range otherRows {
		s.version++
		s.write(row{Table: "others", Key: strconv.Itoa(i), Ver: s.version})
	}
	s.notify()
}

// SetFault sets the fault for later calls.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// CompactHistory drops the history, so that followers of a table must read it again.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version
	s.history = nil
}

// Calls returns the number of calls with a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a row, as the operator and the workers do.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value, Ver: s.version})
	s.notify()
}

// Delete deletes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Ver: s.version, Removed: true})
	s.notify()
}

// Value returns the value of a row, or nil if there is none.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[row{Table: table, Key: key}.name()].Value
}

func (s *Store) write(r row) {
	if r.Removed {
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) notify() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// ServeHTTP handles a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathFaults {
		s.setFaults(w, r)
		return
	}
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault, delay := s.fault, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.serveTx(w, r, fault)
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	default:
		s.serveObject(w, r, fault)
	}
}

// PathFaults is the path of the control call with which tests inject faults
// into a store in another process. It is not part of the platform's protocol.
const PathFaults = "/standin/faults"

// setFaults reads faults as JSON: "down" rejects calls, "slow_ms" delays them,
// and "lose_answers" is the number of next writes that take effect without a
// response.
func (s *Store) setFaults(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Down          bool  `json:"down"`
		SlowMS        int64 `json:"slow_ms"`
		LoseResponses int   `json:"lose_answers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = FaultNone
	if f.Down {
		s.fault = FaultBusy
	}
	s.delay, s.responsesToLose = time.Duration(f.SlowMS)*time.Millisecond, f.LoseResponses
}

// losesResponse reports whether the response to the current write is lost. The
// lock must be held.
func (s *Store) losesResponse(fault Fault) bool {
	if s.responsesToLose > 0 {
		s.responsesToLose--
		return true
	}
	return fault == FaultLost
}

// maxObjectBytes limits the size of an object.
const maxObjectBytes = 8 << 20

// serveObject stores or returns an object.
func (s *Store) serveObject(w http.ResponseWriter, r *http.Request, fault Fault) {
	putName, isPut := strings.CutPrefix(r.URL.Path, "/v1/blob-put/")
	getName, isGet := strings.CutPrefix(r.URL.Path, "/v1/blob-get/")
	switch {
	case isPut && r.Method == http.MethodPut:
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.objects[putName] = body
		if s.losesResponse(fault) {
			panic(http.ErrAbortHandler)
		}
	case isGet && r.Method == http.MethodGet:
		s.mu.Lock()
		body, exists := s.objects[getName]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		// A write error means that the caller has disconnected.
		_, _ = w.Write(body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveTx applies a transaction atomically.
func (s *Store) serveTx(w http.ResponseWriter, r *http.Request, fault Fault) {
	var tx struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Delete       []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(tx.Precondition)+len(tx.Writes)+len(tx.Delete) > maxEntries || !validEntries(tx.Precondition, tx.Writes, tx.Delete) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	failed := false
	for _, c := range tx.Precondition {
		current, exists := s.rows[c.name()]
		if exists {
			found = append(found, current)
		}
		failed = failed || current.Ver != c.Ver
	}
	if failed {
		s.writeRows(w, http.StatusPreconditionFailed, found, false)
		return
	}
	s.version++
	for _, d := range tx.Delete {
		d.Removed = true
		tx.Writes = append(tx.Writes, d)
	}
	for _, entry := range tx.Writes {
		entry.Ver = s.version
		s.write(entry)
	}
	s.notify()
	if s.losesResponse(fault) {
		panic(http.ErrAbortHandler)
	}
	s.writeRows(w, http.StatusOK, nil, false)
}

// Limits of calls, as documented by the platform.
const (
	maxEntries  = 100
	maxRowBytes = 64 << 10
	maxPageRows = 500
	maxKeyBytes = 200
)

// validEntries reports whether all entries are in one partition and within
// their limits.
func validEntries(lists ...[]row) bool {
	partition, first := "", true
	for _, list := range lists {
		for _, entry := range list {
			if first {
				partition, first = entry.Part, false
			}
			if entry.Part != partition || len(entry.Value) > maxRowBytes || len(entry.Key) > maxKeyBytes || entry.Table == "" {
				return false
			}
		}
	}
	return true
}

// writeRows writes a response with rows. The lock must be held.
func (s *Store) writeRows(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(struct {
		Rows      []row `json:"rows"`
		Truncated bool  `json:"truncated"`
		Ver       int64 `json:"ver"`
		NowMS     int64 `json:"now_ms"`
	}{rows, truncated, s.version, time.Since(s.started).Milliseconds()})
}

// serveGet returns the rows of a key range in key order, at most maxPageRows of
// them.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, stored := range s.rows {
		to := q.Get("to")
		if stored.Table == q.Get("table") && stored.Part == q.Get("part") && stored.Key >= q.Get("from") && (to == "" || stored.Key < to) {
			found = append(found, stored)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxPageRows)
	}
	s.writeRows(w, http.StatusOK, found[:min(len(found), limit)], len(found) > limit)
}

// serveFeed waits until a table has changes after a version, or returns no rows
// after wait_ms. It responds with 410 Gone if the history no longer has those
// changes or the store was restored to an older version.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted || after > s.version {
			s.writeRows(w, http.StatusGone, nil, false)
			s.mu.Unlock()
			return
		}
		rows := s.changesSince(q.Get("table"), after)
		changed := s.changeSignal
		if len(rows) > 0 {
			s.writeRows(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.writeRows(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

// changesSince returns the last change after a version of each row of a table.
func (s *Store) changesSince(table string, after int64) []row {
	var rows []row
	for _, change := range s.history {
		if change.Table != table || change.Ver <= after {
			continue
		}
		rows = slices.DeleteFunc(rows, func(before row) bool { return before.name() == change.name() })
		rows = append(rows, change)
	}
	return rows
}
