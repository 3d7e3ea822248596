// Package rowstore stands in for the store of the users' platform in tests: rows
// under conditions, a feed of changes with a bounded history, and the ways in
// which the store fails.
//
// It speaks the store's published protocol, so its wire names are the users'.
package rowstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Fault is how the store treats calls.
type Fault string

// The faults.
const (
	// FaultNone: calls are answered.
	FaultNone Fault = ""
	// FaultBusy: calls are refused, nothing is done.
	FaultBusy Fault = "busy"
	// FaultReset: connections are closed without an answer, nothing is done.
	FaultReset Fault = "reset"
	// FaultSilent: calls are never answered, nothing is done.
	FaultSilent Fault = "silent"
	// FaultLost: writes are done and not answered.
	FaultLost Fault = "lost"
)

// row is one row; ver is the transaction that wrote it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Store is the stand-in. Serve it as an http.Handler.
type Store struct {
	mu      sync.Mutex
	rows    map[string]row
	history []row
	// forgotten is the newest version that is no longer in the history.
	forgotten int64
	version   int64
	changed   chan struct{}
	fault     Fault
	calls     map[string]int
	origin    time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]row{}, changed: make(chan struct{}), calls: map[string]int{}, origin: time.Now()}
}

// SetFault changes how calls are treated from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Forget drops the history: who follows a table must read it anew.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	s.history = nil
}

// Calls returns how many calls of a path were made.
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
	s.wake()
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Ver: s.version, Removed: true})
	s.wake()
}

// Value returns a row's value, nil when there is none.
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

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault := s.fault
	s.mu.Unlock()
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
		s.transact(w, r, fault)
	case "/v1/rows-get":
		s.read(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// transact applies all entries of a transaction or none.
func (s *Store) transact(w http.ResponseWriter, r *http.Request, fault Fault) {
	var tx struct {
		Precondition []row `json:"precondition"`
		Writes       []row `json:"writes"`
		Delete       []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Precondition {
		if s.rows[c.name()].Ver != c.Ver {
			s.answer(w, http.StatusPreconditionFailed, nil)
			return
		}
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
	s.wake()
	if fault == FaultLost {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, http.StatusOK, nil)
}

// answer writes an answer about rows; the lock must be held.
func (s *Store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that is gone does not read its answer.
	_ = json.NewEncoder(w).Encode(struct {
		Rows      []row `json:"rows"`
		Truncated bool  `json:"truncated"`
		Ver       int64 `json:"ver"`
		NowMS     int64 `json:"now_ms"`
	}{rows, false, s.version, time.Since(s.origin).Milliseconds()})
}

// read returns the rows of a range in key order.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, one := range s.rows {
		to := q.Get("to")
		if one.Table == q.Get("table") && one.Part == q.Get("part") && one.Key >= q.Get("from") && (to == "" || one.Key < to) {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.answer(w, http.StatusOK, found)
}

// feed waits for changes of a table.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.answer(w, http.StatusGone, nil)
			s.mu.Unlock()
			return
		}
		rows := s.since(q.Get("table"), after)
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		}
	}
}

// since returns the last change of each row of a table after a version.
func (s *Store) since(table string, after int64) []row {
	var rows []row
	for _, one := range s.history {
		if one.Table != table || one.Ver <= after {
			continue
		}
		rows = slices.DeleteFunc(rows, func(before row) bool { return before.name() == one.name() })
		rows = append(rows, one)
	}
	return rows
}
