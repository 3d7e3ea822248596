package config

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxChunkRows is the maximum number of rows of a chunk. A change copies one chunk and
// the list of chunks. Chunks are half full when keys are inserted in order, so that
// 10,000 rows make 156 chunks; BenchmarkApply is slower there with smaller chunks.
const maxChunkRows = 128

// entry is one row of the state.
type entry struct {
	key   string
	value []byte
}

// State is the config at one revision. It is immutable: copying it is cheap, and Apply
// returns a new state that shares all chunks but one for each changed key.
type State struct {
	revision Revision
	rows     int
	chunks   [][]entry
}

// NewState returns the whole state at revision, from the sets of a peer or a snapshot.
// It ignores removals.
func NewState(revision Revision, sets []Set) State {
	s := State{}
	for _, set := range sets {
		if !set.deleted {
			s = s.with(set)
		}
	}
	s.revision = revision
	return s
}

// Revision returns the revision of the state.
func (s State) Revision() Revision { return s.revision }

// Len returns the number of keys.
func (s State) Len() int { return s.rows }

// Get returns the value at key and whether the key exists. The caller must not modify
// the value.
func (s State) Get(key string) ([]byte, bool) {
	chunk, row, ok := s.find(key)
	if !ok {
		return nil, false
	}
	return s.chunks[chunk][row].value, true
}

// Range calls visit for each key with prefix, in key order, until visit returns false.
func (s State) Range(prefix string, visit func(key string, value []byte) bool) {
	if len(s.chunks) == 0 {
		return
	}
	chunk, row, _ := s.find(prefix)
	for ; chunk < len(s.chunks); chunk, row = chunk+1, 0 {
		for _, e := range s.chunks[chunk][row:] {
			if !strings.HasPrefix(e.key, prefix) || !visit(e.key, e.value) {
				return
			}
		}
	}
}

// Apply returns the state after change. It returns an error unless change is the next
// revision.
func (s State) Apply(change Change) (State, error) {
	if change.revision != s.revision+1 {
		return s, errors.Newf("revision %d can't follow revision %d", change.revision, s.revision)
	}
	for _, set := range change.sets {
		if set.deleted {
			s = s.without(set.key)
		} else {
			s = s.with(set)
		}
	}
	s.revision = change.revision
	return s, nil
}

// find returns the chunk and row at which key is or would be inserted, and whether it
// exists. It returns zeros when the state has no chunks.
func (s State) find(key string) (chunk, row int, ok bool) {
	if len(s.chunks) == 0 {
		return 0, 0, false
	}
	chunk = sort.Search(len(s.chunks), func(i int) bool { return s.chunks[i][0].key > key }) - 1
	chunk = max(chunk, 0)
	rows := s.chunks[chunk]
	row = sort.Search(len(rows), func(i int) bool { return rows[i].key >= key })
	return chunk, row, row < len(rows) && rows[row].key == key
}

// with returns the state with the key of set written.
func (s State) with(set Set) State {
	e := entry{key: set.key, value: set.value}
	if len(s.chunks) == 0 {
		return State{revision: s.revision, rows: 1, chunks: [][]entry{{e}}}
	}
	chunk, row, ok := s.find(set.key)
	rows := s.chunks[chunk]
	if ok {
		rows = append([]entry(nil), rows...)
		rows[row] = e
		return s.replaceChunk(chunk, s.rows, rows)
	}
	inserted := make([]entry, 0, len(rows)+1)
	inserted = append(append(append(inserted, rows[:row]...), e), rows[row:]...)
	if len(inserted) <= maxChunkRows {
		return s.replaceChunk(chunk, s.rows+1, inserted)
	}
	half := len(inserted) / 2
	return s.replaceChunk(chunk, s.rows+1, inserted[:half:half], inserted[half:])
}

// without returns the state with key removed.
func (s State) without(key string) State {
	chunk, row, ok := s.find(key)
	if !ok {
		return s
	}
	rows := s.chunks[chunk]
	if len(rows) == 1 {
		return s.replaceChunk(chunk, s.rows-1)
	}
	remaining := make([]entry, 0, len(rows)-1)
	remaining = append(append(remaining, rows[:row]...), rows[row+1:]...)
	return s.replaceChunk(chunk, s.rows-1, remaining)
}

// replaceChunk returns the state with the given number of rows and the chunk at i
// replaced by parts, none of which may be empty. It copies the list of chunks and never
// writes to the old one.
func (s State) replaceChunk(i, rows int, parts ...[]entry) State {
	chunks := make([][]entry, 0, len(s.chunks)+1)
	chunks = append(append(append(chunks, s.chunks[:i]...), parts...), s.chunks[i+1:]...)
	return State{revision: s.revision, rows: rows, chunks: chunks}
}

// Sets returns the whole state as sets in key order, the form in which peers send it.
func (s State) Sets() []Set {
	sets := make([]Set, 0, s.rows)
	s.Range("", func(key string, value []byte) bool {
		sets = append(sets, NewSet(key, value))
		return true
	})
	return sets
}

// Equal reports whether both states have the same revision and rows.
func (s State) Equal(o State) bool {
	if s.revision != o.revision || s.rows != o.rows {
		return false
	}
	equal := true
	s.Range("", func(key string, value []byte) bool {
		other, ok := o.Get(key)
		equal = ok && bytes.Equal(value, other)
		return equal
	})
	return equal
}

// storedState is the JSON form of a state.
type storedState struct {
	Revision Revision    `json:"revision"`
	Rows     []storedRow `json:"rows"`
}

type storedRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Encode returns the state as JSON. Equal states have the same encoding.
func (s State) Encode() ([]byte, error) {
	body := storedState{Revision: s.revision, Rows: storedRows(s.Sets())}
	encoded, err := json.Marshal(body)
	return encoded, errors.Wrap(err, "encode the config")
}

// DecodeState decodes the JSON of [State.Encode].
func DecodeState(encoded []byte) (State, error) {
	var body storedState
	if err := json.Unmarshal(encoded, &body); err != nil {
		return State{}, errors.Wrap(err, "decode a config")
	}
	return NewState(body.Revision, setsFromRows(body.Rows)), nil
}

// storedChange is the JSON form of a change, the value of a log row and of an id row.
type storedChange struct {
	Revision Revision    `json:"revision"`
	ID       string      `json:"id"`
	Author   string      `json:"author"`
	Sets     []storedRow `json:"sets"`
}

// Encode returns the change as JSON.
func (c Change) Encode() ([]byte, error) {
	body := storedChange{Revision: c.revision, ID: c.id, Author: c.author, Sets: storedRows(c.sets)}
	encoded, err := json.Marshal(body)
	return encoded, errors.Wrap(err, "encode a config change")
}

// DecodeChange decodes the JSON of [Change.Encode].
func DecodeChange(encoded []byte) (Change, error) {
	var body storedChange
	if err := json.Unmarshal(encoded, &body); err != nil {
		return Change{}, errors.Wrap(err, "decode a config change")
	}
	return NewChange(body.Revision, body.ID, body.Author, setsFromRows(body.Sets)), nil
}

func storedRows(sets []Set) []storedRow {
	rows := make([]storedRow, 0, len(sets))
	for _, s := range sets {
		rows = append(rows, storedRow{Key: s.key, Value: s.value, Deleted: s.deleted})
	}
	return rows
}

func setsFromRows(rows []storedRow) []Set {
	sets := make([]Set, 0, len(rows))
	for _, r := range rows {
		sets = append(sets, Set{key: r.Key, value: r.Value, deleted: r.Deleted})
	}
	return sets
}

// notFoundf returns an error marked with ErrNotFound.
func notFoundf(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), kumquatlug.ErrNotFound)
}
