package ledger

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// memoryTable is an in-memory table that counts transactions.
type memoryTable struct {
	mu      sync.Mutex
	rows    map[string]kumquatlug.Row
	version int64
	commits int
	// commitFault returns the error of a commit. A commit that returns ErrLost
	// takes effect.
	commitFault func() error
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: map[string]kumquatlug.Row{}}
}

func (m *memoryTable) Get(_ context.Context, key string) (kumquatlug.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[key], nil
}

func (m *memoryTable) Scan(_ context.Context, prefix, after string, limit int) ([]kumquatlug.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []kumquatlug.Row
	for key, r := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key() < rows[j].Key() })
	return rows[:min(limit, len(rows))], nil
}

func (m *memoryTable) Commit(_ context.Context, tx kumquatlug.Tx) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var err error
	if m.commitFault != nil {
		err = m.commitFault()
	}
	if errors.Is(err, kumquatlug.ErrUnavailable) {
		return err
	}
	if conflict := m.apply(tx); conflict != nil && err == nil {
		return conflict
	}
	return err
}

// apply applies tx without faults.
func (m *memoryTable) apply(tx kumquatlug.Tx) error {
	m.commits++
	for _, c := range tx.Conditions() {
		if m.rows[c.Key()].Version() != c.Version() {
			return errors.Mark(errors.Newf("row %q", c.Key()), kumquatlug.ErrConflict)
		}
	}
	for _, w := range tx.Writes() {
		if w.Deleted() {
			delete(m.rows, w.Key())
			continue
		}
		m.version++
		m.rows[w.Key()] = kumquatlug.NewRow(w.Key(), w.Value(), m.version)
	}
	return nil
}

// memoryObjects is an in-memory object store.
type memoryObjects struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

func newMemoryObjects() *memoryObjects {
	return &memoryObjects{bodies: map[string][]byte{}}
}

func (m *memoryObjects) Put(_ context.Context, name string, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodies[name] = body
	return nil
}

func (m *memoryObjects) Fetch(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	body, ok := m.bodies[name]
	if !ok {
		return nil, errors.Mark(errors.Newf("object %q", name), kumquatlug.ErrNotFound)
	}
	return body, nil
}
