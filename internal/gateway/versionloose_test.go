package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// Guards against new streams that are refused although workers are free, because the version that the listing
// selects has no worker left and an epoch began less than a second ago.
func TestStreamBeginsElsewhereSoonAfterAnEpoch(t *testing.T) {
	w := versionedEngines(0)
	f := newTestGateway(t, w, manyRetries)
	versions := map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}
	f.setEngineVersions(versions)
	f.g.streamVersions.setMembers(f.g.members.Load().byService)
	f.beginEpoch(t, streamversion.Weights{"v1": 2, "v2": 1})
	delete(versions, "d3")
	f.setEngineVersions(versions)
	f.g.streamVersions.setMembers(f.g.members.Load().byService)
	refused := 0
	for n := range 30 {
		if got := f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {fmt.Sprint("new-", n)}}); got.status != http.StatusOK {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 30 new streams refused with two free workers", refused)
	}
}

// Guards against a stream that joins two versions because it began at the one at which its quarantined prompt is
// served and not at the one that the listing selects: the gateways that have its record are killed, and the
// quarantine ends.
func TestQuarantinedPromptGoesOnAtItsVersionOnly(t *testing.T) {
	const promptRoute = longRoute + "?tokens=30,1000"
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	quarantined := kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{{
		Service: "engines", Identities: []string{quarantine.PartIdentity("shared")}, Versions: []string{"v2"}, Served: []string{"v1"}, Revision: 1,
	}}}
	a := fleet.gateways["a"]
	a.g.streamVersions.prepare(t.Context(), "engines", "other")
	id := "stream"
	for n := 0; a.g.streamVersions.selectVersion("engines", id) != "v2"; n++ {
		id = fmt.Sprint("stream-", n)
	}
	for _, f := range fleet.gateways {
		f.g.crashes.evidence.Receive(f.g.c.Clock.Now(), quarantined)
	}
	got := a.doWith(t.Context(), http.MethodPost, promptRoute, http.Header{"Id": {id}})
	if began := fleet.workers.joinedVersions(fleet.versions); got.body != events(1, 4) || !began["v1"] || began["v2"] {
		t.Fatalf("%v, status %d, %d bytes of versions %v, want a part of the stream of v1", got.err, got.status, len(got.body), began)
	}
	<-time.After(20 * time.Millisecond)
	for _, name := range []string{"a", "b", "c", "d"} {
		fleet.kill(name)
		fleet.start(t, name)
	}
	got = fleet.gateways["c"].doWith(t.Context(), http.MethodPost, promptRoute, http.Header{"Id": {"again"}, "Resumes": {id}, "Last-Event-Id": {"4"}})
	t.Logf("%s: status %d, error %v", id, got.status, got.err)
	if joined := fleet.workers.joinedVersions(fleet.versions); len(joined) != 1 {
		t.Errorf("status %d: the stream joins versions %v", got.status, joined)
	}
}

// Guards against new streams that are refused although other workers are free, because the only engine of the
// version that the listing selects fails or refuses them.
func TestNewStreamsBeginElsewhereIfTheOnlyEngineOfAVersionFails(t *testing.T) {
	for name, fails := range map[string]func() (kumquatlug.WorkerResponse, error){
		"refuses": func() (kumquatlug.WorkerResponse, error) { return refusedResponse(), nil },
		"breaks":  func() (kumquatlug.WorkerResponse, error) { return kumquatlug.WorkerResponse{}, lostConnection() },
	} {
		versions := map[string]string{"d1": "v1", "d2": "v1", "d3": "v1", "d4": "v2"}
		w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
			if c.worker == "d4" {
				return fails()
			}
			return streamResponse(1, 4), nil
		}}
		f := newTestGateway(t, w, manyRetries)
		f.setEngineVersions(versions)
		f.g.streamVersions.setMembers(f.g.members.Load().byService)
		f.beginEpoch(t, streamversion.Weights{"v1": 3, "v2": 1})
		f.g.c.Table.(*sharedTable).advance(2 * kumquatlug.Second)
		statuses := map[int]int{}
		for n := range 60 {
			statuses[f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {fmt.Sprint("new-", n)}}).status]++
		}
		if statuses[http.StatusOK] < 60 {
			t.Errorf("%s: statuses %v of 60 new streams with three free engines", name, statuses)
		}
	}
}

// Guards against new streams that are refused for as long as the store is away, because the version that the listing
// selects has no worker at all any more.
func TestNewStreamsBeginElsewhereWhileTheStoreIsAway(t *testing.T) {
	w := versionedEngines(0)
	f := newTestGateway(t, w, manyRetries)
	versions := map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}
	f.setEngineVersions(versions)
	f.g.streamVersions.setMembers(f.g.members.Load().byService)
	f.beginEpoch(t, streamversion.Weights{"v1": 2, "v2": 1})
	table := f.g.c.Table.(*sharedTable)
	table.advance(2 * kumquatlug.Second)
	f.g.c.Table = &cutOffTable{sharedTable: table, cutOff: true}
	delete(versions, "d3")
	f.setEngineVersions(versions)
	f.g.streamVersions.setMembers(f.g.members.Load().byService)
	refused := 0
	for n := range 30 {
		if got := f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {fmt.Sprint("new-", n)}}); got.status != http.StatusOK {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 30 new streams refused with two free workers", refused)
	}
}

// Guards against a version that gets no streams of the whole fleet because one gateway alone can't reach its engine.
func TestEngineThatOneGatewayCannotUseStaysListed(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}
	fleet := newVersionFleet(t, versionedEngines(0), versions)
	a, b := fleet.gateways["a"], fleet.gateways["b"]
	b.g.streamVersions.prepare(t.Context(), "engines", "other")
	fleet.table.advance(2 * kumquatlug.Second)
	a.g.c.Workers = &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if c.worker == "d3" {
			return kumquatlug.WorkerResponse{}, lostConnection()
		}
		return streamResponse(1, 4), nil
	}}
	for n := range 60 {
		a.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {fmt.Sprint("new-", n)}})
	}
	b.g.streamVersions.callListing(t.Context(), "engines", false)
	b.g.streamVersions.mu.Lock()
	listing, _ := b.g.streamVersions.service("engines").Listing()
	b.g.streamVersions.mu.Unlock()
	if !listing.Newest().Has("v2") {
		t.Errorf("no gateway begins streams at v2 any more: %v", listing.Newest())
	}
}

// Guards against a stream that joins two versions: its gateway reaches neither the store nor its peers, and begins
// streams by an epoch that no longer counts.
func TestGatewayThatReachesNobodyBeginsNoStreamByAnOldEpoch(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	a := fleet.gateways["a"]
	now := clock.NewManual(a.g.c.BootClock.Now())
	table := &cutOffTable{sharedTable: fleet.table}
	a.g.c.BootClock, a.g.c.Table = now, table
	a.g.streamVersions.prepare(t.Context(), "engines", "first")
	old := a.g.streamVersions.selectVersion("engines", "stream")
	table.cutOff = true
	a.g.c.Peers = noLink{}
	fleet.undetermine(t, "b", old)
	const cutOffTime = 95 * kumquatlug.Second
	now.Advance(cutOffTime)
	fleet.table.advance(cutOffTime)
	got := a.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {"stream"}})
	fleet.kill("a")
	if got.status != http.StatusOK {
		return
	}
	got = fleet.gateways["b"].resume(t, "again", "stream", 4)
	if joined := fleet.workers.joinedVersions(fleet.versions); len(joined) != 1 {
		t.Errorf("status %d: the stream joins versions %v", got.status, joined)
	}
}

// Guards against new streams that wait for, or are refused by, the full engine of the version that the listing
// selects, while engines of another version are idle.
func TestNewStreamsDoNotWaitForAFullVersion(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v1", "d3": "v1", "d4": "v2"}
	release := make(chan struct{})
	w := &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if c.worker == "d4" {
			// Its slots are taken: it starts nothing.
			select {
			case <-release:
			case <-ctx.Done():
			}
			return kumquatlug.WorkerResponse{}, lostConnection()
		}
		return streamResponse(1, 4), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.setEngineVersions(versions)
	f.g.streamVersions.setMembers(f.g.members.Load().byService)
	f.beginEpoch(t, streamversion.Weights{"v1": 3, "v2": 1})
	f.g.c.Table.(*sharedTable).advance(2 * kumquatlug.Second)
	var ids []string
	for n := 0; len(ids) < 40; n++ {
		if id := fmt.Sprint("new-", n); f.g.streamVersions.selectVersion("engines", id) == "v2" {
			ids = append(ids, id)
		}
	}
	results := make(chan clientResponse, len(ids))
	for _, id := range ids {
		go func() {
			results <- f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {id}})
		}()
	}
	slow, statuses := 0, map[int]int{}
	for range ids {
		got := <-results
		statuses[got.status]++
		if got.duration > 500*time.Millisecond {
			slow++
		}
	}
	close(release)
	if slow > 0 || statuses[http.StatusOK] < len(ids) {
		t.Errorf("%d of %d streams took over 500 ms, statuses %v, with three idle engines", slow, len(ids), statuses)
	}
}

// Guards against new streams that are refused because another request has just begun the epoch without the version
// that has no engine: they found none either, and another version is selected for them by now.
func TestNewStreamFollowsTheEpochThatAnotherRequestBegan(t *testing.T) {
	f := newTestGateway(t, versionedEngines(0), manyRetries)
	f.setEngineVersions(map[string]string{"d1": "v1", "d2": "v1"})
	f.g.streamVersions.setMembers(f.g.members.Load().byService)
	f.beginEpoch(t, streamversion.Weights{"v1": 2})
	service, _ := f.g.table.Load().Service("engines")
	r := &inflight{g: f.g, service: service, request: kumquatlug.NewRequest(kumquatlug.RequestConfig{ID: "new"})}
	for _, route := range testConfig(8).Routes {
		if route.Prefix() == "/long/" {
			r.route = route
		}
	}
	// By the epoch before, the stream was to begin at v2.
	if !r.otherVersion(t.Context(), placement.Query{Version: "v2"}) {
		t.Errorf("refused although %s is selected now", r.selectedVersion())
	}
}
