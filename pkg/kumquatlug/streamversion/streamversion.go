// Package streamversion determines at which version of its workers' software a stream may go on.
//
// Workers of several versions may serve one service side by side, and what two versions write does
// not fit together: a stream goes on only at the version that began it. The gateway that began a
// stream knows the version, but its client may take the stream up at any other gateway, also
// after the first one has been killed. Two sources answer there:
//
//   - the [Listing] in the platform's store names every version at which streams may have begun
//     lately. While it names one version only, each stream has that version, and nobody needs to
//     remember anything about single streams.
//   - while it names several, gateways send a record of each stream that may be resumed to the
//     owners of its id (see [Owners]), before its first event reaches the client.
//
// Where neither answers, the version is unknown, and the stream does not go on.
package streamversion

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Parameters of what is remembered about streams.
const (
	// Retention is how long a stream and its record are remembered, and a version counts after
	// its last worker has gone: longer than a client waits for a stream, its resumes included.
	Retention = 60 * kumquatlug.Second
	// RecordOwners is the number of gateways that get the record of a stream from the gateway
	// that began it.
	RecordOwners = 2
	// AskedOwners is the number of gateways that are asked: the gateway that began the stream may
	// be one of the first.
	AskedOwners = RecordOwners + 1
	// maxRecords bounds the memory for records. 2,300 gateways with 31,000 streams a second send
	// each of them 27 records a second, thus 1,600 within Retention.
	maxRecords = 50_000
)

// Owners returns the first gateways in the rendezvous order of a stream's id, without self.
func Owners(id, self string, gateways []string, count int) []string {
	type owner struct {
		name  string
		score uint64
	}
	key := xxhash.Sum64String(id)
	var first []owner
	for _, name := range gateways {
		if name == self {
			continue
		}
		first = append(first, owner{name, rendezvous.Mix(key ^ xxhash.Sum64String(name))})
		slices.SortFunc(first, func(a, b owner) int { return cmp.Compare(b.score, a.score) })
		first = first[:min(len(first), count)]
	}
	names := make([]string, len(first))
	for i, o := range first {
		names[i] = o.name
	}
	return names
}

// Records holds the versions of streams by the id of the attempt that brought their first event.
// It is not safe for concurrent use.
type Records struct {
	byID map[string]record
	// order holds the ids from the oldest to the newest.
	order []recordedID
}

type record struct {
	version string
	addedAt kumquatlug.Millis
}

type recordedID struct {
	id      string
	addedAt kumquatlug.Millis
}

// NewRecords returns an empty set of records.
func NewRecords() *Records { return &Records{byID: map[string]record{}} }

// Add records the version of a stream. A client that uses an id again may begin two streams at
// different versions; their version is then unknown.
func (r *Records) Add(now kumquatlug.Millis, id, version string) {
	if before, known := r.byID[id]; known && before.version != version {
		version = ""
	}
	r.byID[id] = record{version: version, addedAt: now}
	r.order = append(r.order, recordedID{id: id, addedAt: now})
	r.expire(now)
}

// Find returns the version of a stream, empty if it is unknown.
func (r *Records) Find(now kumquatlug.Millis, id string) string {
	r.expire(now)
	return r.byID[id].version
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byID) }

// expire removes the records that are older than Retention, and the oldest beyond maxRecords.
func (r *Records) expire(now kumquatlug.Millis) {
	n := 0
	for n < len(r.order) && (now-r.order[n].addedAt > Retention || len(r.order)-n > maxRecords) {
		// The same id may have been recorded again since.
		if first := r.order[n]; r.byID[first.id].addedAt == first.addedAt {
			delete(r.byID, first.id)
		}
		n++
	}
	r.order = r.order[n:]
}
