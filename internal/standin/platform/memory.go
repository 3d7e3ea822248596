// Package platform stands in for the platform's table, its object store and its
// list of VMs within one process, for measurements. It fails on demand: down,
// slow, and with an answer lost after the write took effect. Package rowstore
// speaks the platform's protocol.
package platform

import (
	"bytes"
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// Faults says how the platform misbehaves from now on. The zero value is a
// platform that works.
type Faults struct {
	// Down fails every request before it takes effect.
	Down bool `json:"down"`
	// DownTable does so for the table alone.
	DownTable bool `json:"down_table"`
	// DownObjects does so for the object store alone.
	DownObjects bool `json:"down_objects"`
	// DownVMs does so for the list of VMs alone.
	DownVMs bool `json:"down_vms"`
	// Slow delays every request before it takes effect, in milliseconds.
	Slow kumquatlug.Millis `json:"slow_ms"`
	// LoseAnswers is how many of the next commits take effect while their
	// writer learns nothing of it.
	LoseAnswers int `json:"lose_answers"`
}

// Counts is what was asked of the platform since it started, requests that
// failed included.
type Counts struct {
	reads       int64
	writes      int64
	rowsWritten int64
}

// Reads returns the number of gets, scans, fetches and lists.
func (c Counts) Reads() int64 { return c.reads }

// Writes returns the number of transactions and stored objects.
func (c Counts) Writes() int64 { return c.writes }

// RowsWritten returns the number of rows that transactions put or removed.
func (c Counts) RowsWritten() int64 { return c.rowsWritten }

// vmChange is a change of the list of VMs that readers see later.
type vmChange struct {
	visibleAt kumquatlug.Millis
	name      string
	vm        kumquatlug.VM
	deleted   bool
}

// Memory is the platform in the memory of one process. It implements
// [kumquatlug.Table], [kumquatlug.Objects] and [kumquatlug.VMs] and is safe
// for concurrent use.
type Memory struct {
	clock kumquatlug.Clock

	mu         sync.Mutex
	version    int64
	rows       map[string]kumquatlug.Row
	objects    map[string][]byte
	vms        map[string]kumquatlug.VM
	pendingVMs []vmChange
	vmLag      kumquatlug.Millis
	faults     Faults
	counts     Counts
}

var (
	_ kumquatlug.Table   = (*Memory)(nil)
	_ kumquatlug.Objects = (*Memory)(nil)
	_ kumquatlug.VMs     = (*Memory)(nil)
)

// NewMemory returns an empty platform that works and whose list does not lag.
func NewMemory() *Memory {
	return &Memory{
		clock:   clock.NewMonotonic(),
		rows:    map[string]kumquatlug.Row{},
		objects: map[string][]byte{},
		vms:     map[string]kumquatlug.VM{},
	}
}

// SetFaults replaces the faults in force.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetLag sets how late a change of the list of VMs is seen.
func (m *Memory) SetLag(lag kumquatlug.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vmLag = lag
}

// Counts returns what was asked so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Get returns the row at key.
func (m *Memory) Get(ctx context.Context, key string) (kumquatlug.Row, error) {
	if err := m.acquire(ctx, m.tableDown); err != nil {
		return kumquatlug.Row{}, err
	}
	defer m.mu.Unlock()
	m.counts.reads++
	if r, ok := m.rows[key]; ok {
		return r, nil
	}
	return kumquatlug.NewRow(key, nil, 0), nil
}

// Scan returns rows by prefix in key order; a limit of zero or less means all.
func (m *Memory) Scan(ctx context.Context, prefix, after string, limit int) ([]kumquatlug.Row, error) {
	if err := m.acquire(ctx, m.tableDown); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.reads++
	keys := make([]string, 0, len(m.rows))
	for k := range m.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]kumquatlug.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, m.rows[k])
	}
	return rows, nil
}

// Commit applies tx whole or not at all.
func (m *Memory) Commit(ctx context.Context, tx kumquatlug.Tx) error {
	if err := m.acquire(ctx, m.tableDown); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.counts.writes++
	for _, c := range tx.Conditions() {
		if found := m.rows[c.Key()].Version(); found != c.Version() {
			return errors.Mark(errors.Newf("row %q has version %d, not %d", c.Key(), found, c.Version()), kumquatlug.ErrConflict)
		}
	}
	for _, w := range tx.Writes() {
		m.write(w)
	}
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return errors.Mark(errors.Newf("commit %q", tx.ID()), kumquatlug.ErrLost)
	}
	return nil
}

// write applies one write. The version counts over all rows, so that a row
// that was removed and written again never shows an old version.
func (m *Memory) write(w kumquatlug.Write) {
	m.version++
	m.counts.rowsWritten++
	if w.Deleted() {
		delete(m.rows, w.Key())
		return
	}
	// Clipped, so that a reader who appends to it does not write into it.
	value := slices.Clip(bytes.Clone(w.Value()))
	m.rows[w.Key()] = kumquatlug.NewRow(w.Key(), value, m.version)
}

// Put stores an object.
func (m *Memory) Put(ctx context.Context, name string, body []byte) error {
	if err := m.acquire(ctx, m.objectsDown); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.counts.writes++
	m.objects[name] = bytes.Clone(body)
	return nil
}

// Fetch returns an object.
func (m *Memory) Fetch(ctx context.Context, name string) ([]byte, error) {
	if err := m.acquire(ctx, m.objectsDown); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.reads++
	body, ok := m.objects[name]
	if !ok {
		return nil, errors.Mark(errors.Newf("object %q", name), kumquatlug.ErrNotFound)
	}
	return bytes.Clone(body), nil
}

// List returns the VMs by name, as they were one lag ago.
func (m *Memory) List(ctx context.Context) ([]kumquatlug.VM, error) {
	if err := m.acquire(ctx, m.vmsDown); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.reads++
	m.applyPending()
	vms := make([]kumquatlug.VM, 0, len(m.vms))
	for _, v := range m.vms {
		vms = append(vms, v)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name() < vms[j].Name() })
	return vms, nil
}

// Enter registers a VM or changes it.
func (m *Memory) Enter(ctx context.Context, v kumquatlug.VM) error {
	if err := m.acquire(ctx, m.vmsDown); err != nil {
		return err
	}
	m.counts.writes++
	m.mu.Unlock()
	m.SetVM(v)
	return nil
}

// Leave takes a VM off the list.
func (m *Memory) Leave(ctx context.Context, name string) error {
	if err := m.acquire(ctx, m.vmsDown); err != nil {
		return err
	}
	m.counts.writes++
	m.mu.Unlock()
	m.RemoveVM(name)
	return nil
}

// SetVM registers a VM or changes it; readers see that one lag later.
func (m *Memory) SetVM(v kumquatlug.VM) {
	m.enqueue(vmChange{name: v.Name(), vm: v})
}

// RemoveVM takes a VM off the list; readers see that one lag later.
func (m *Memory) RemoveVM(name string) {
	m.enqueue(vmChange{name: name, deleted: true})
}

func (m *Memory) enqueue(c vmChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.visibleAt = m.clock.Now() + m.vmLag
	m.pendingVMs = append(m.pendingVMs, c)
}

// applyPending makes visible the changes that are due, in order.
func (m *Memory) applyPending() {
	now := m.clock.Now()
	for len(m.pendingVMs) > 0 && m.pendingVMs[0].visibleAt <= now {
		c := m.pendingVMs[0]
		m.pendingVMs = m.pendingVMs[1:]
		if c.deleted {
			delete(m.vms, c.name)
			continue
		}
		m.vms[c.name] = c.vm
	}
}

func (m *Memory) tableDown() bool   { return m.faults.Down || m.faults.DownTable }
func (m *Memory) objectsDown() bool { return m.faults.Down || m.faults.DownObjects }
func (m *Memory) vmsDown() bool     { return m.faults.Down || m.faults.DownVMs }

// acquire waits as long as the platform is slow and takes the lock, which is
// held when it returns nil.
func (m *Memory) acquire(ctx context.Context, down func() bool) error {
	m.mu.Lock()
	slow := m.faults.Slow
	m.mu.Unlock()
	if err := standin.Wait(ctx, slow); err != nil {
		return errors.Mark(err, kumquatlug.ErrUnavailable)
	}
	m.mu.Lock()
	if down() {
		m.mu.Unlock()
		return errors.Mark(errors.New("the platform is down"), kumquatlug.ErrUnavailable)
	}
	return nil
}
