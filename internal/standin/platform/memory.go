// Package platform simulates the platform's table, object store and VM list
// within one process, for measurements. Faults can be injected: outages, slow
// requests, and responses lost after a write took effect. Package rowstore
// implements the platform's protocol.
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

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down fails every request before it takes effect.
	Down bool `json:"down"`
	// TableDown fails requests to the table before they take effect.
	TableDown bool `json:"down_table"`
	// ObjectsDown fails requests to the object store before they take effect.
	ObjectsDown bool `json:"down_objects"`
	// VMsDown fails requests to the VM list before they take effect.
	VMsDown bool `json:"down_vms"`
	// Delay delays every request before it takes effect, in milliseconds.
	Delay kumquatlug.Millis `json:"slow_ms"`
	// LoseResponses is the number of next commits that take effect but return
	// ErrLost to their writer.
	LoseResponses int `json:"lose_answers"`
}

// Counts are the numbers of operations since the platform was created. Reads
// and writes include commits that failed on a condition or lost their response,
// but no requests that failed because of an outage.
type Counts struct {
	reads       int64
	writes      int64
	rowsWritten int64
}

// Reads returns the number of gets, scans, fetches and lists.
func (c Counts) Reads() int64 { return c.reads }

// Writes returns the number of transactions, stored objects and changes of the
// VM list by Enter and Leave.
func (c Counts) Writes() int64 { return c.writes }

// RowsWritten returns the number of rows that transactions wrote or deleted.
func (c Counts) RowsWritten() int64 { return c.rowsWritten }

// vmChange is a change of the VM list that is visible to readers from visibleAt
// on.
type vmChange struct {
	visibleAt kumquatlug.Millis
	name      string
	vm        kumquatlug.VM
	deleted   bool
}

// Memory is an in-memory platform. It implements [kumquatlug.Table],
// [kumquatlug.Objects] and [kumquatlug.VMs] and is safe for concurrent use.
// Their methods return ErrUnavailable during an outage or if ctx ends.
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

// NewMemory returns an empty platform without faults and without lag of the VM
// list.
func NewMemory() *Memory {
	return &Memory{
		clock:   clock.NewMonotonic(),
		rows:    map[string]kumquatlug.Row{},
		objects: map[string][]byte{},
		vms:     map[string]kumquatlug.VM{},
	}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetVMListLag sets the delay, in milliseconds, until a change of the VM list is
// visible. It applies to later changes.
func (m *Memory) SetVMListLag(lag kumquatlug.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vmLag = lag
}

// Counts returns the numbers of operations so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Get returns the row at key, with version zero if there is none.
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

// Scan returns the rows with prefix and a key greater than after, in key order.
// A limit of zero or less means no limit.
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

// Commit applies tx atomically. It returns ErrConflict if a condition fails and
// ErrLost if the response is lost after the commit.
func (m *Memory) Commit(ctx context.Context, tx kumquatlug.Tx) error {
	if err := m.acquire(ctx, m.tableDown); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.counts.writes++
	for _, c := range tx.Conditions() {
		if found := m.rows[c.Key()].Version(); found != c.Version() {
			return errors.Mark(errors.Newf("row %q has version %d, want %d", c.Key(), found, c.Version()), kumquatlug.ErrConflict)
		}
	}
	for _, w := range tx.Writes() {
		m.write(w)
	}
	if m.faults.LoseResponses > 0 {
		m.faults.LoseResponses--
		return errors.Mark(errors.Newf("response to commit %q lost", tx.ID()), kumquatlug.ErrLost)
	}
	return nil
}

// write applies one write. Versions are global to all rows, so that a row that
// is deleted and written again never has an old version.
func (m *Memory) write(w kumquatlug.Write) {
	m.version++
	m.counts.rowsWritten++
	if w.Deleted() {
		delete(m.rows, w.Key())
		return
	}
	// The value is clipped so that appending to it does not write into the
	// stored row.
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

// Fetch returns an object, or ErrNotFound.
func (m *Memory) Fetch(ctx context.Context, name string) ([]byte, error) {
	if err := m.acquire(ctx, m.objectsDown); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.counts.reads++
	body, ok := m.objects[name]
	if !ok {
		return nil, errors.Mark(errors.Newf("object %q not found", name), kumquatlug.ErrNotFound)
	}
	return bytes.Clone(body), nil
}

// List returns the VMs in order of their names, without changes that are not
// visible yet.
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

// Register registers or updates a VM.
func (m *Memory) Register(ctx context.Context, v kumquatlug.VM) error {
	if err := m.acquire(ctx, m.vmsDown); err != nil {
		return err
	}
	m.counts.writes++
	m.mu.Unlock()
	m.SetVM(v)
	return nil
}

// Deregister removes a VM from the list.
func (m *Memory) Deregister(ctx context.Context, name string) error {
	if err := m.acquire(ctx, m.vmsDown); err != nil {
		return err
	}
	m.counts.writes++
	m.mu.Unlock()
	m.RemoveVM(name)
	return nil
}

// SetVM registers or updates a VM, also during an outage. The change is visible
// after the lag.
func (m *Memory) SetVM(v kumquatlug.VM) {
	m.enqueue(vmChange{name: v.Name(), vm: v})
}

// RemoveVM removes a VM from the list, also during an outage. The change is
// visible after the lag.
func (m *Memory) RemoveVM(name string) {
	m.enqueue(vmChange{name: name, deleted: true})
}

func (m *Memory) enqueue(c vmChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.visibleAt = m.clock.Now() + m.vmLag
	m.pendingVMs = append(m.pendingVMs, c)
}

// applyPending applies the pending changes that are due, in order.
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

func (m *Memory) tableDown() bool   { return m.faults.Down || m.faults.TableDown }
func (m *Memory) objectsDown() bool { return m.faults.Down || m.faults.ObjectsDown }
func (m *Memory) vmsDown() bool     { return m.faults.Down || m.faults.VMsDown }

// acquire waits for the injected delay and locks the mutex, which is held if it
// returns nil. It returns ErrUnavailable during an outage or if ctx ends.
func (m *Memory) acquire(ctx context.Context, down func() bool) error {
	m.mu.Lock()
	slow := m.faults.Delay
	m.mu.Unlock()
	if err := standin.Wait(ctx, slow); err != nil {
		return errors.Mark(err, kumquatlug.ErrUnavailable)
	}
	m.mu.Lock()
	if down() {
		m.mu.Unlock()
		return errors.Mark(errors.New("platform is down"), kumquatlug.ErrUnavailable)
	}
	return nil
}
