package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// Keys in the table and names in the object store.
const (
	keyHead              = "config/head"
	keySnapshot          = "config/snapshot"
	prefixLog            = "config/log/"
	prefixChange         = "config/change/"
	prefixSnapshotObject = "config/snapshot/"
)

// Defaults of [StoreConfig].
const (
	defaultRetainedChanges = 4096
	defaultPageRows        = 500
	defaultMaxAttempts     = 32
)

// StoreConfig is what a [Store] is made of.
type StoreConfig struct {
	// Table holds the head, the log and the changes' ids. Required.
	Table kumquatlug.Table
	// Objects holds the snapshots. Required.
	Objects kumquatlug.Objects
	// Keep is how many changes below the snapshot stay in the log, 4096 by
	// default: seven hours at 14,000 changes a day, far longer than a reader
	// lags or an operator waits to send a proposal again.
	Keep int
	// PageRows bounds the rows of one read or trim, 500 by default: at some 300
	// bytes a row 150 KB, which any table answers at once.
	PageRows int
	// Attempts bounds how often one proposal meets a head that moved, 32 by
	// default. At 14,000 changes a day a proposal meets another one in a few
	// milliseconds with a chance below one in a thousand; 32 is for scripts
	// that run side by side.
	Attempts int
}

// Store keeps the config in the platform's table and object store. It holds no
// state of its own, so that it may be used from many goroutines.
type Store struct {
	table           kumquatlug.Table
	objects         kumquatlug.Objects
	retainedChanges Revision
	pageRows        int
	maxAttempts     int
}

// NewStore returns a store over c's table and objects.
func NewStore(c StoreConfig) *Store {
	return &Store{
		table: c.Table, objects: c.Objects,
		retainedChanges: Revision(standard.Int(c.Keep, defaultRetainedChanges)),
		pageRows:        standard.Int(c.PageRows, defaultPageRows),
		maxAttempts:     standard.Int(c.Attempts, defaultMaxAttempts),
	}
}

// pointer is the JSON of the head row and of the snapshot row.
type pointer struct {
	Revision Revision `json:"revision"`
	// Change is the id of the change that made the head.
	Change string `json:"change,omitempty"`
}

func logKey(r Revision) string { return fmt.Sprintf("%s%020d", prefixLog, r) }

func snapshotName(r Revision) string { return fmt.Sprintf("%s%020d", prefixSnapshotObject, r) }

// Head returns the revision in force in the table.
func (s *Store) Head(ctx context.Context) (Revision, error) {
	head, _, err := s.readPointer(ctx, keyHead)
	return head.Revision, err
}

func (s *Store) readPointer(ctx context.Context, key string) (pointer, int64, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return pointer{}, 0, errors.Wrapf(err, "read %s", key)
	}
	var p pointer
	if row.Exists() {
		if err := json.Unmarshal(row.Value(), &p); err != nil {
			return pointer{}, 0, errors.Wrapf(err, "decode %s", key)
		}
	}
	return p, row.Version(), nil
}

// Since returns the changes after revision rev, in order and without a gap.
// The error is marked [kumquatlug.ErrNotFound] when the log no longer reaches
// back to rev; [Store.Load] gives the whole state then.
func (s *Store) Since(ctx context.Context, rev Revision) ([]Change, error) {
	var changes []Change
	for after := rev; ; {
		rows, err := s.table.Scan(ctx, prefixLog, logKey(after), s.pageRows)
		if err != nil {
			return nil, errors.Wrap(err, "read the config log")
		}
		for _, row := range rows {
			change, err := DecodeChange(row.Value())
			if err != nil {
				return nil, err
			}
			// The log is trimmed from below while it is read, also between two
			// pages. A missing revision would leave a state that lacks a change
			// and nobody would notice; so the next one must follow.
			if change.revision != after+1 {
				return nil, notFoundf("config log: revision %d is no longer kept", after+1)
			}
			changes = append(changes, change)
			after = change.revision
		}
		if len(rows) < s.pageRows {
			return changes, nil
		}
	}
}

// Load returns the state at the head or later: the snapshot and the log after
// it. It is for a node's start and for one that lags behind the log.
func (s *Store) Load(ctx context.Context) (State, error) {
	// The head is read first: what is returned must not be older, else a row
	// of the log is missing.
	head, err := s.Head(ctx)
	if err != nil {
		return State{}, err
	}
	for range s.maxAttempts {
		state, err := s.loadOnce(ctx)
		// Between reading the snapshot's row and the log, another node may have
		// written a newer snapshot and trimmed the log up to it. Reading again
		// finds the newer one.
		if errors.Is(err, kumquatlug.ErrNotFound) {
			continue
		}
		if err == nil && state.revision < head {
			err = errors.Newf("the config log ends at %d, the head is %d", state.revision, head)
		}
		return state, err
	}
	return State{}, unavailable(errors.New("the config log was trimmed again and again while it was read"))
}

func (s *Store) loadOnce(ctx context.Context) (State, error) {
	state, err := s.loadSnapshot(ctx)
	if err != nil {
		return State{}, err
	}
	changes, err := s.Since(ctx, state.revision)
	if err != nil {
		return State{}, err
	}
	for _, change := range changes {
		if state, err = state.Apply(change); err != nil {
			return State{}, err
		}
	}
	return state, nil
}

func (s *Store) loadSnapshot(ctx context.Context) (State, error) {
	ptr, version, err := s.readPointer(ctx, keySnapshot)
	if err != nil || version == 0 {
		return State{}, err
	}
	body, err := s.objects.Fetch(ctx, snapshotName(ptr.Revision))
	if err != nil {
		return State{}, errors.Wrap(err, "fetch the config snapshot")
	}
	state, err := DecodeState(body)
	if err == nil && state.revision != ptr.Revision {
		err = errors.Newf("config snapshot %d holds revision %d", ptr.Revision, state.revision)
	}
	return state, err
}

// Snapshot stores state as an object, points to it from the table and trims
// the log to the configured number of changes below it. Call it about every
// 1,000 changes, and once a day in any case so that an expiry rule of the
// object store never removes the one in use. A failure at any step leaves
// readers with a snapshot and log that fit.
func (s *Store) Snapshot(ctx context.Context, state State) error {
	body, err := state.Encode()
	if err != nil {
		return err
	}
	// Each revision has an object of its own. A writer that was paused and
	// wakes would else put an old state under the name that a newer row and
	// the trimmed log rely on.
	if err := s.objects.Put(ctx, snapshotName(state.revision), body); err != nil {
		return errors.Wrap(err, "store the config snapshot")
	}
	snapshotRevision, err := s.advanceSnapshotPointer(ctx, state.revision)
	if err != nil {
		return err
	}
	return s.trim(ctx, snapshotRevision-s.retainedChanges)
}

// advanceSnapshotPointer raises the snapshot's row to rev and returns the revision it then
// holds. It never lowers it: the log below may be trimmed already.
func (s *Store) advanceSnapshotPointer(ctx context.Context, rev Revision) (Revision, error) {
	ptr, version, err := s.readPointer(ctx, keySnapshot)
	if err != nil {
		return 0, err
	}
	if version != 0 && ptr.Revision >= rev {
		return ptr.Revision, nil
	}
	value, err := json.Marshal(pointer{Revision: rev})
	if err != nil {
		return 0, errors.Wrap(err, "encode the snapshot's row")
	}
	tx := kumquatlug.NewTx(fmt.Sprintf("config-snapshot-%d", rev)).If(keySnapshot, version).Put(keySnapshot, value)
	return rev, errors.Wrap(s.table.Commit(ctx, tx), "point to the config snapshot")
}

// maxTrimRows is how many log rows one transaction removes, with the row of the id
// of each.
const maxTrimRows = kumquatlug.MaxTxEntries / 2

// trim removes the log rows up to and including last, with the rows of their
// ids. Only rows below a snapshot that the table points to are removed, and
// that row only rises, so that trimming late or twice does no harm.
func (s *Store) trim(ctx context.Context, last Revision) error {
	for last > 0 {
		rows, err := s.table.Scan(ctx, prefixLog, "", maxTrimRows)
		if err != nil {
			return errors.Wrap(err, "read the config log to trim it")
		}
		tx := kumquatlug.NewTx(fmt.Sprintf("config-trim-%d", last))
		removed := 0
		for _, row := range rows {
			change, err := DecodeChange(row.Value())
			if err != nil {
				return err
			}
			if change.revision > last {
				break
			}
			tx = tx.Delete(row.Key()).Delete(prefixChange + change.id)
			removed++
		}
		if removed == 0 {
			return nil
		}
		if err := s.table.Commit(ctx, tx); err != nil {
			return errors.Wrap(err, "trim the config log")
		}
		if removed < maxTrimRows {
			return nil
		}
	}
	return nil
}
