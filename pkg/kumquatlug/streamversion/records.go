package streamversion

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Records holds the versions of streams by the id of the attempt that brought their first event.
// It is not safe for concurrent use.
type Records struct {
	byID map[string]record
	// order holds the ids from the oldest to the newest.
	order []recordedID
}

type record struct {
	service, version string
	// received says that a peer has sent the record.
	received bool
	// conflicting says that the stream was recorded with several versions.
	conflicting bool
	addedAt     kumquatlug.Millis
}

type recordedID struct {
	id      string
	addedAt kumquatlug.Millis
}

// NewRecords returns an empty set of records.
func NewRecords() *Records { return &Records{byID: map[string]record{}} }

// Add records the version of a stream of a service. A client that uses an id again may begin two streams
// at different versions; their version is then unknown.
func (r *Records) Add(now kumquatlug.Millis, service, id, version string) {
	r.add(now, id, record{service: service, version: version, addedAt: now})
}

// AddReceived records the version of a stream that a peer has recorded here because others can't determine
// it.
func (r *Records) AddReceived(now kumquatlug.Millis, service, id, version string) {
	r.add(now, id, record{service: service, version: version, received: true, addedAt: now})
}

func (r *Records) add(now kumquatlug.Millis, id string, added record) {
	if before, known := r.byID[id]; known {
		added.received = added.received || before.received
		if before.version != added.version {
			added.version, added.conflicting = "", true
		}
	}
	r.byID[id] = added
	r.order = append(r.order, recordedID{id: id, addedAt: now})
	r.expire(now)
}

// Find returns the version of a stream, empty if it is unknown.
func (r *Records) Find(now kumquatlug.Millis, id string) string {
	r.expire(now)
	return r.byID[id].version
}

// Conflicting reports whether a stream was recorded with several versions, so that none counts.
func (r *Records) Conflicting(now kumquatlug.Millis, id string) bool {
	r.expire(now)
	return r.byID[id].conflicting
}

// Each calls f for each stream of which the version is known, and says whether a peer has sent the record.
func (r *Records) Each(now kumquatlug.Millis, f func(service, id, version string, received bool)) {
	r.expire(now)
	for id, record := range r.byID {
		if record.version != "" {
			f(record.service, id, record.version, record.received)
		}
	}
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
