package config

import (
	"context"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// fakeTable is a table in memory. Before each call it asks trouble what is to
// go wrong; without it nothing does.
type fakeTable struct {
	rows    map[string]kumquatlug.Row
	version int64
	late    []kumquatlug.Tx
	trouble func() trouble
	applied func(kumquatlug.Tx)
}

// trouble is what goes wrong with one call.
type trouble string

const (
	troubleNone trouble = ""
	// troubleOut: nothing takes effect and the writer learns so.
	troubleOut trouble = "out"
	// troubleLost: the call takes effect, its answer does not arrive.
	troubleLost trouble = "lost"
	// troubleDropped: the call does not arrive, and the writer can't tell.
	troubleDropped trouble = "dropped"
	// troubleLate: the writer gives up, and the call arrives afterwards.
	troubleLate trouble = "late"
)

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]kumquatlug.Row{}}
}

func (f *fakeTable) meet() trouble {
	if f.trouble == nil {
		return troubleNone
	}
	return f.trouble()
}

func (f *fakeTable) Get(_ context.Context, key string) (kumquatlug.Row, error) {
	if t := f.meet(); t == troubleOut || t == troubleLost {
		return kumquatlug.Row{}, errors.Mark(errors.New("table out"), kumquatlug.ErrUnavailable)
	}
	return f.rows[key], nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]kumquatlug.Row, error) {
	if t := f.meet(); t == troubleOut || t == troubleLost {
		return nil, errors.Mark(errors.New("table out"), kumquatlug.ErrUnavailable)
	}
	var rows []kumquatlug.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key() < rows[j].Key() })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Commit(_ context.Context, tx kumquatlug.Tx) error {
	lost := errors.Mark(errors.New("no answer"), kumquatlug.ErrLost)
	switch f.meet() {
	case troubleOut:
		return errors.Mark(errors.New("table out"), kumquatlug.ErrUnavailable)
	case troubleDropped:
		return lost
	case troubleLate:
		f.late = append(f.late, tx)
		return lost
	case troubleLost:
		_ = f.apply(tx)
		return lost
	}
	return f.apply(tx)
}

// arrive lets the oldest late transaction reach the table.
func (f *fakeTable) arrive() {
	if len(f.late) > 0 {
		tx := f.late[0]
		f.late = f.late[1:]
		_ = f.apply(tx)
	}
}

func (f *fakeTable) apply(tx kumquatlug.Tx) error {
	for _, c := range tx.Conditions() {
		if f.rows[c.Key()].Version() != c.Version() {
			return errors.Mark(errors.New("another write came first"), kumquatlug.ErrConflict)
		}
	}
	for _, w := range tx.Writes() {
		f.version++
		if w.Deleted() {
			delete(f.rows, w.Key())
		} else {
			f.rows[w.Key()] = kumquatlug.NewRow(w.Key(), w.Value(), f.version)
		}
	}
	if f.applied != nil {
		f.applied(tx)
	}
	return nil
}

// fakeObjects is an object store in memory that fails with the table's trouble.
type fakeObjects struct {
	table  *fakeTable
	bodies map[string][]byte
}

func (f *fakeObjects) Put(_ context.Context, name string, body []byte) error {
	if f.table.meet() == troubleOut {
		return errors.Mark(errors.New("store out"), kumquatlug.ErrUnavailable)
	}
	f.bodies[name] = body
	return nil
}

func (f *fakeObjects) Fetch(_ context.Context, name string) ([]byte, error) {
	if f.table.meet() != troubleNone {
		return nil, errors.Mark(errors.New("store out"), kumquatlug.ErrUnavailable)
	}
	body, ok := f.bodies[name]
	if !ok {
		return nil, errors.Mark(errors.New(name), kumquatlug.ErrNotFound)
	}
	return body, nil
}
