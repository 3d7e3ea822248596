package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// startAnew starts all gateways again, after which none has the records of earlier streams.
func (l *versionFleet) startAnew(t *testing.T) {
	t.Helper()
	names := slices.Collect(maps.Keys(l.gateways))
	l.kill(names...)
	for _, name := range names {
		v := l.start(t, name).g.streamVersions
		v.stored.running = streamversion.NewRunningStreams(fmt.Sprintf("%s%s.%p/", streamsRowPrefix, name, v))
	}
}

// storeAll stores the records of all gateways.
func (l *versionFleet) storeAll(t *testing.T) {
	t.Helper()
	for _, f := range l.gateways {
		f.g.streamVersions.storeNew(t.Context())
	}
}

// Guards against streams that can't be taken up after a release and the loss of all gateways: their ids determine no version,
// and the gateways that knew it no longer run.
func TestStreamsGoOnAfterReleaseAndLossOfAllGateways(t *testing.T) {
	const streams = 8
	fleet := newVersionFleet(t, versionedEngines(2*streams), fourEngines)
	fleet.startAnew(t)
	began := map[string]string{}
	for n := range streams {
		id := fmt.Sprint("stream-", n)
		began[id] = fleet.beginCut(t, []string{"a", "b", "c"}[n%3], id)
	}
	fleet.undetermine(t, "d", "v1")
	fleet.undetermine(t, "d", "v2")
	fleet.storeAll(t)
	fleet.startAnew(t)
	var resumes sync.WaitGroup
	for id, version := range began {
		resumes.Go(func() {
			got := fleet.gateways["c"].resume(t, "again-"+id, id, 4)
			if got.err != nil || got.body != events(5, 8) {
				t.Errorf("%s: status %d, %v, %d bytes, want the rest of the stream", id, got.status, got.err, len(got.body))
			}
		})
		for _, c := range fleet.workers.recorded() {
			if c.request.StreamID() == id && !c.prefill && fleet.versions[c.worker] != version {
				t.Errorf("%s began at %s and was sent to %s", id, version, c.worker)
			}
		}
	}
	resumes.Wait()
	if fleet.table.scans > 3 {
		t.Errorf("%d reads of the records for %d streams at once", fleet.table.scans, streams)
	}
}

// Guards against rows of gateways that no longer run and that stay in the store.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	fleet.startAnew(t)
	version := fleet.beginCut(t, "a", "stream")
	fleet.undetermine(t, "b", version)
	fleet.storeAll(t)
	const others = 2*kumquatlug.MaxTxEntries + 1
	for n := range others {
		key := fmt.Sprintf("%sother/%d", streamsRowPrefix, n)
		fleet.table.rows[key] = kumquatlug.NewRow(key, []byte("{}"), 1)
	}
	v := fleet.gateways["b"].g.streamVersions
	rows := func() (n int) {
		for key := range fleet.table.rows {
			if strings.HasPrefix(key, streamsRowPrefix) {
				n++
			}
		}
		return n
	}
	remove := func() {
		v.stored.expiredDue, v.stored.readAt = 0, 0
		v.removeExpired(t.Context())
	}
	if remove(); rows() != 1 {
		t.Fatalf("%d rows, want the one that has not expired", rows())
	}
	fleet.table.advance(streamversion.Retention + kumquatlug.Minute)
	if remove(); rows() != 0 {
		t.Errorf("%d rows stay", rows())
	}
}

// Guards against records of streams that a gateway has received to their end, and of those that a peer serves for it.
func TestStreamsThatNeedNoStoredRecord(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(0), fourEngines)
	fleet.startAnew(t)
	a := fleet.gateways["a"]
	if got := a.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {"whole"}}); got.err != nil {
		t.Fatal(got.err)
	}
	fleet.undetermine(t, "a", a.g.streamVersions.find("whole"))
	fleet.storeAll(t)
	for key := range fleet.table.rows {
		if strings.HasPrefix(key, streamsRowPrefix) {
			t.Errorf("%s was written", key)
		}
	}
}
