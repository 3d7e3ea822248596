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

// StoreConfig holds the settings of a [Store].
type StoreConfig struct {
	// Table holds the head row, the log rows and the id rows. Required.
	Table kumquatlug.Table
	// Objects holds the snapshots. Required.
	Objects kumquatlug.Objects
	// RetainedChanges is the number of changes before the snapshot that stay in the
	// log, 4096 by default: seven hours at 14,000 changes a day, far longer than a
	// reader lags or an operator waits to resend a proposal.
	RetainedChanges int
	// PageRows is the maximum number of log rows of one read, 500 by default: 150 KB
	// at about 300 bytes a row, which any table returns without delay.
	PageRows int
	// MaxAttempts bounds the transactions for one proposal when the head keeps moving,
	// and the reads of one Load when the log is trimmed meanwhile, 32 by default. At
	// 14,000 changes a day, the probability of another change within the few
	// milliseconds of a transaction is below one in a thousand; 32 allows for
	// scripts that run concurrently.
	MaxAttempts int
}

// Store keeps the config in the platform's table and object store. It has no mutable
// state of its own and is safe for concurrent use.
type Store struct {
	table           kumquatlug.Table
	objects         kumquatlug.Objects
	retainedChanges Revision
	pageRows        int
	maxAttempts     int
}

// NewStore returns a store on c's table and objects. Zero settings take their defaults.
func NewStore(c StoreConfig) *Store {
	return &Store{
		table: c.Table, objects: c.Objects,
		retainedChanges: Revision(standard.Int(c.RetainedChanges, defaultRetainedChanges)),
		pageRows:        standard.Int(c.PageRows, defaultPageRows),
		maxAttempts:     standard.Int(c.MaxAttempts, defaultMaxAttempts),
	}
}

// pointer is the JSON form of the head row and the snapshot row.
type pointer struct {
	Revision Revision `json:"revision"`
	// Change is the id of the change that created the head, empty in the snapshot
	// row.
	Change string `json:"change,omitempty"`
}

func logKey(r Revision) string { return fmt.Sprintf("%s%020d", prefixLog, r) }

func snapshotName(r Revision) string { return fmt.Sprintf("%s%020d", prefixSnapshotObject, r) }

// Head returns the head revision in the table.
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

// ChangesSince returns the changes after revision rev, in order and without gaps. The
// error is marked [kumquatlug.ErrNotFound] when the log no longer reaches back to rev;
// use [Store.Load] then.
func (s *Store) ChangesSince(ctx context.Context, rev Revision) ([]Change, error) {
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
			// Another node may trim the oldest rows of the log while it is read, also
			// between two pages. A skipped revision would silently leave a change out
			// of the state, so revisions must be consecutive.
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

// Load returns the state at the head or later: the snapshot plus the log after it. It is
// for nodes that start or lag behind the retained log.
func (s *Store) Load(ctx context.Context) (State, error) {
	// The head is read first. A state that is older than it means that a row of the
	// log is missing.
	head, err := s.Head(ctx)
	if err != nil {
		return State{}, err
	}
	for range s.maxAttempts {
		state, err := s.loadOnce(ctx)
		// Between the reads of the snapshot row and the log, another node may have
		// written a newer snapshot and trimmed the log. The next attempt finds the
		// newer snapshot.
		if errors.Is(err, kumquatlug.ErrNotFound) {
			continue
		}
		if err == nil && state.revision < head {
			err = errors.Newf("the config log ends at %d, the head is %d", state.revision, head)
		}
		return state, err
	}
	return State{}, unavailable(errors.New("the config log was trimmed during every attempt to read it"))
}

func (s *Store) loadOnce(ctx context.Context) (State, error) {
	state, err := s.loadSnapshot(ctx)
	if err != nil {
		return State{}, err
	}
	changes, err := s.ChangesSince(ctx, state.revision)
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

// Snapshot stores state as an object, points the snapshot row to it and trims the log to
// the configured number of changes before it. Call it about every 1,000 changes, and at
// least once a day so that an expiry rule of the object store never removes the
// snapshot in use. A failure at any step leaves a consistent snapshot and log.
func (s *Store) Snapshot(ctx context.Context, state State) error {
	body, err := state.Encode()
	if err != nil {
		return err
	}
	// Each revision has its own object. With a shared name, a writer that resumes
	// after a pause could write an old state over the snapshot on which a newer row
	// and the trimmed log depend.
	if err := s.objects.Put(ctx, snapshotName(state.revision), body); err != nil {
		return errors.Wrap(err, "store the config snapshot")
	}
	snapshotRevision, err := s.advanceSnapshotPointer(ctx, state.revision)
	if err != nil {
		return err
	}
	return s.trim(ctx, snapshotRevision-s.retainedChanges)
}

// advanceSnapshotPointer raises the snapshot row to rev and returns the revision that the
// row then holds. It never lowers it: the log before it may already be trimmed.
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

// maxTrimRows is the maximum number of log rows that one transaction removes, each with
// its id row.
const maxTrimRows = kumquatlug.MaxTxEntries / 2

// trim removes the log rows up to and including last, with their id rows. It removes only
// rows before the snapshot to which the table points. The snapshot row never decreases,
// so trimming late or twice is safe.
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
