package streamversion

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of the records in the store.
const (
	// MaxStoringGateways is the size of a fleet up to which records are stored: in a larger one they
	// would be written too rarely to tell of most streams, and reading them all would take too long.
	MaxStoringGateways = 300
	// minStoreInterval is the least time between two writes of a gateway, storeIntervalPerGateway what
	// each gateway adds, so that all of them make 100 writes a second at most.
	minStoreInterval        = 100 * kumquatlug.Millis(1)
	storeIntervalPerGateway = 10 * kumquatlug.Millis(1)
	// storedRowTime is how long records are added to a row before the next row begins, maxRowRecords
	// how many a row has and maxStoredRows how many rows a gateway has at most.
	storedRowTime = 2 * kumquatlug.Second
	maxRowRecords = 512
	maxStoredRows = 32
	// hashBytes is the size of the hash of an id in a row.
	hashBytes = 8
)

// storedScope says of which running streams of a service records are stored.
type storedScope string

const (
	storedScopeNone storedScope = "none"
	storedScopeAll  storedScope = "all"
	// storedScopeUndetermined: those whose versions the listing does not tell.
	storedScopeUndetermined storedScope = "undetermined"
)

// storedScope returns the scope for a service. The listing may tell less of the streams soon than it does now if it has
// changed recently or is about to.
func (v *View) storedScope(now kumquatlug.Millis) storedScope {
	switch {
	case !v.known || !v.Several():
		return storedScopeNone
	case v.storeTime(now)-v.listing.ChangedAt() < EpochLag || v.listing.Outdated(v.ready):
		return storedScopeAll
	}
	return storedScopeUndetermined
}

// StoreInterval returns the time between two writes of records in a fleet of this size.
func StoreInterval(gateways int) kumquatlug.Millis {
	return max(minStoreInterval, storeIntervalPerGateway*kumquatlug.Millis(gateways))
}

// storedRow is the row of the store with records of one gateway.
type storedRow struct {
	// UntilMs is until when the records count, by the store's clock.
	UntilMs int64 `json:"until_ms"`
	// Streams has the hashes of the ids, each of hashBytes, by service and version.
	Streams map[string]map[string][]byte `json:"streams"`
}

func (r storedRow) len() int {
	n := 0
	for _, versions := range r.Streams {
		for _, hashes := range versions {
			n += len(hashes) / hashBytes
		}
	}
	return n
}

// clone returns a copy to which records may be added.
func (r storedRow) clone() storedRow {
	streams := make(map[string]map[string][]byte, len(r.Streams))
	for service, versions := range r.Streams {
		streams[service] = make(map[string][]byte, len(versions))
		for version, hashes := range versions {
			streams[service][version] = slices.Clone(hashes)
		}
	}
	return storedRow{UntilMs: r.UntilMs, Streams: streams}
}

func (r storedRow) add(service string, s beganStream) {
	if r.Streams[service] == nil {
		r.Streams[service] = map[string][]byte{}
	}
	r.Streams[service][s.version] = binary.LittleEndian.AppendUint64(r.Streams[service][s.version], xxhash.Sum64String(s.id))
}

// RunningStreams are the streams that a gateway serves and their clients may take up again. It decides
// which of their versions are written to the store, once each: those that the listing does not tell, and all
// while it changes.
// It is not safe for concurrent use.
type RunningStreams struct {
	// prefix is that of the keys of this process's rows.
	prefix  string
	streams map[beganStream]runningStream
	// rows are those that were written, from the oldest to the newest, and current is the content of the
	// newest, to which records are added until nextRowAt. lastRow is the number of the newest.
	rows      []writtenRow
	current   storedRow
	lastRow   int
	nextRowAt kumquatlug.Millis
}

// beganStream identifies a stream. A client that uses an id again may begin two at different versions.
type beganStream struct{ id, version string }

type runningStream struct {
	service string
	beganAt kumquatlug.Millis
	stored  bool
	// toldBy is the listing that was found to tell the version, by its last change.
	toldBy kumquatlug.Millis
}

type writtenRow struct {
	key     string
	untilMs int64
}

// NewRunningStreams returns an empty set. Keys of rows begin with prefix, which no other process uses.
func NewRunningStreams(prefix string) *RunningStreams {
	return &RunningStreams{prefix: prefix, streams: map[beganStream]runningStream{}}
}

// Begin adds a stream, which began at a version.
func (r *RunningStreams) Begin(now kumquatlug.Millis, service, id, version string) {
	stream := beganStream{id: id, version: version}
	if _, known := r.streams[stream]; known || version == "" || len(r.streams) >= maxRecords {
		return
	}
	r.streams[stream] = runningStream{service: service, beganAt: now}
}

// End removes a stream that its client has received to its end.
func (r *RunningStreams) End(id, version string) {
	delete(r.streams, beganStream{id: id, version: version})
}

// StoredWrite is a row to write to the store, and the keys of rows to remove.
type StoredWrite struct {
	key     string
	value   []byte
	expired []string
	added   []beganStream
	content storedRow
	row     int
}

// Key returns the key of the row.
func (w StoredWrite) Key() string { return w.key }

// Value returns the content of the row.
func (w StoredWrite) Value() []byte { return w.value }

// Expired returns the keys of the rows to remove.
func (w StoredWrite) Expired() []string { return w.expired }

// Records returns the number of records that the write adds.
func (w StoredWrite) Records() int { return len(w.added) }

// Next returns the write of the records that are not stored yet, false if there is nothing to write. view returns
// what the gateway knows of the versions of a service.
func (r *RunningStreams) Next(now kumquatlug.Millis, view func(service string) *View) (StoredWrite, bool, error) {
	streams, storeNow := r.unstored(now, view)
	if len(streams) == 0 {
		return StoredWrite{}, false, nil
	}
	w := StoredWrite{row: r.lastRow, content: r.current.clone()}
	if now >= r.nextRowAt || r.current.len() >= maxRowRecords {
		w.row, w.content = r.lastRow+1, storedRow{}.clone()
	}
	w.added = streams[:min(len(streams), maxRowRecords-w.content.len())]
	for _, stream := range w.added {
		w.content.add(r.streams[stream].service, stream)
	}
	w.content.UntilMs = int64(storeNow + Retention)
	w.key = fmt.Sprintf("%s%d", r.prefix, w.row)
	for i, row := range r.rows {
		if row.key != w.key && (row.untilMs <= int64(storeNow) || len(r.rows)-i >= maxStoredRows) {
			w.expired = append(w.expired, row.key)
		}
	}
	var err error
	w.value, err = json.Marshal(w.content)
	return w, err == nil, errors.Wrap(err, "encode the records of streams")
}

// unstored returns the streams whose records have to be stored, and a time of the store's clock.
func (r *RunningStreams) unstored(now kumquatlug.Millis, view func(service string) *View) ([]beganStream, kumquatlug.Millis) {
	var unstored []beganStream
	storeNow, scopes := kumquatlug.Millis(0), map[string]storedScope{}
	for stream, s := range r.streams {
		if now-s.beganAt > Retention {
			delete(r.streams, stream)
			continue
		}
		v := view(s.service)
		scope, known := scopes[s.service]
		if !known {
			scope = v.storedScope(now)
			scopes[s.service] = scope
		}
		switch {
		case s.stored || scope == storedScopeNone || scope == storedScopeUndetermined && s.toldBy == v.listing.ChangedAt():
		case scope == storedScopeUndetermined && v.listing.Determined(stream.id) == stream.version:
			s.toldBy = v.listing.ChangedAt()
			r.streams[stream] = s
		default:
			unstored, storeNow = append(unstored, stream), v.storeTime(now)
		}
	}
	return unstored, storeNow
}

// Written records that a write has taken effect.
func (r *RunningStreams) Written(now kumquatlug.Millis, w StoredWrite) {
	for _, stream := range w.added {
		if s, running := r.streams[stream]; running {
			s.stored = true
			r.streams[stream] = s
		}
	}
	if w.row != r.lastRow {
		r.lastRow, r.nextRowAt = w.row, now+storedRowTime
	}
	r.current = w.content
	r.rows = slices.DeleteFunc(r.rows, func(row writtenRow) bool { return row.key == w.key || slices.Contains(w.expired, row.key) })
	r.rows = append(r.rows, writtenRow{key: w.key, untilMs: w.content.UntilMs})
}

// StoredRecords are the records of all gateways as they were read from the store. A record says at which version a
// stream began; a stream without one may have begun at any.
type StoredRecords struct {
	rows    []storedRow
	expired []string
}

// DecodeStoredRecords decodes the rows with records. Rows that can't be decoded have none and are expired.
func DecodeStoredRecords(rows []kumquatlug.Row) StoredRecords {
	var s StoredRecords
	for _, row := range rows {
		var content storedRow
		if err := json.Unmarshal(row.Value(), &content); err != nil || kumquatlug.Millis(content.UntilMs) <= row.ReadAt() {
			s.expired = append(s.expired, row.Key())
			continue
		}
		s.rows = append(s.rows, content)
	}
	return s
}

// Expired returns the keys of rows that can be removed.
func (s StoredRecords) Expired() []string { return s.expired }

// Find returns the version of a stream, empty if it has no record. Records of several versions conflict.
func (s StoredRecords) Find(service, id string) (version string, conflicting bool) {
	hash := xxhash.Sum64String(id)
	for _, row := range s.rows {
		for recorded, hashes := range row.Streams[service] {
			if recorded == version || !containsHash(hashes, hash) {
				continue
			}
			if version != "" {
				return "", true
			}
			version = recorded
		}
	}
	return version, false
}

func containsHash(hashes []byte, hash uint64) bool {
	for ; len(hashes) >= hashBytes; hashes = hashes[hashBytes:] {
		if binary.LittleEndian.Uint64(hashes) == hash {
			return true
		}
	}
	return false
}
