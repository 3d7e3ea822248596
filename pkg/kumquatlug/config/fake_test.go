package config

import (
	"context"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// fakeTable is an in-memory table. nextFault selects the fault of each call; with a nil
// nextFault no call fails.
type fakeTable struct {
	rows      map[string]kumquatlug.Row
	version   int64
	delayed   []kumquatlug.Tx
	nextFault func() fault
	onApply   func(kumquatlug.Tx)
}

// fault is the kind of failure that is injected into one call.
type fault string

const (
	faultNone fault = ""
	// faultUnavailable: the call has no effect and the caller gets ErrUnavailable.
	faultUnavailable fault = "out"
	// faultResponseLost: the call takes effect, but its response is lost.
	faultResponseLost fault = "lost"
	// faultRequestLost: the call is lost, which the caller can't distinguish from a
	// lost response.
	faultRequestLost fault = "dropped"
	// faultRequestDelayed: the caller gives up, and the call arrives afterwards.
	faultRequestDelayed fault = "late"
)

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]kumquatlug.Row{}}
}

func (f *fakeTable) drawFault() fault {
	if f.nextFault == nil {
		return faultNone
	}
	return f.nextFault()
}

func (f *fakeTable) Get(_ context.Context, key string) (kumquatlug.Row, error) {
	if t := f.drawFault(); t == faultUnavailable || t == faultResponseLost {
		return kumquatlug.Row{}, errors.Mark(errors.New("table unavailable"), kumquatlug.ErrUnavailable)
	}
	return f.rows[key], nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) ([]kumquatlug.Row, error) {
	if t := f.drawFault(); t == faultUnavailable || t == faultResponseLost {
		return nil, errors.Mark(errors.New("table unavailable"), kumquatlug.ErrUnavailable)
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
	lost := errors.Mark(errors.New("response lost"), kumquatlug.ErrLost)
	switch f.drawFault() {
	case faultUnavailable:
		return errors.Mark(errors.New("table unavailable"), kumquatlug.ErrUnavailable)
	case faultRequestLost:
		return lost
	case faultRequestDelayed:
		f.delayed = append(f.delayed, tx)
		return lost
	case faultResponseLost:
		_ = f.apply(tx)
		return lost
	}
	return f.apply(tx)
}

// deliverDelayed applies the oldest delayed transaction to the table.
func (f *fakeTable) deliverDelayed() {
	if len(f.delayed) > 0 {
		tx := f.delayed[0]
		f.delayed = f.delayed[1:]
		_ = f.apply(tx)
	}
}

func (f *fakeTable) apply(tx kumquatlug.Tx) error {
	for _, c := range tx.Conditions() {
		if f.rows[c.Key()].Version() != c.Version() {
			return errors.Mark(errors.New("row version mismatch"), kumquatlug.ErrConflict)
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
	if f.onApply != nil {
		f.onApply(tx)
	}
	return nil
}

// fakeObjects is an in-memory object store that fails with the faults of its table.
type fakeObjects struct {
	table  *fakeTable
	bodies map[string][]byte
}

func (f *fakeObjects) Put(_ context.Context, name string, body []byte) error {
	if f.table.drawFault() == faultUnavailable {
		return errors.Mark(errors.New("object store unavailable"), kumquatlug.ErrUnavailable)
	}
	f.bodies[name] = body
	return nil
}

func (f *fakeObjects) Fetch(_ context.Context, name string) ([]byte, error) {
	if f.table.drawFault() != faultNone {
		return nil, errors.Mark(errors.New("object store unavailable"), kumquatlug.ErrUnavailable)
	}
	body, ok := f.bodies[name]
	if !ok {
		return nil, errors.Mark(errors.New(name), kumquatlug.ErrNotFound)
	}
	return body, nil
}
