package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// setEngineVersions makes the engines those of the given versions, by their names.
func (f *testGateway) setEngineVersions(versions map[string]string) {
	byService := map[string][]kumquatlug.Member{}
	byService["desk"] = f.g.members.Load().byService["desk"]
	for id, version := range versions {
		m := member(id, kumquatlug.RoleDecode)
		m.Worker = m.Worker.WithVersion(version)
		byService["engines"] = append(byService["engines"], m)
	}
	set := &memberSet{loaded: true, byService: byService}
	f.g.members.Store(set)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), byService)
}

// versionedEngines are engines that break their first streams off after two events.
func versionedEngines(broken int) *fakeWorkers {
	return &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		first := int(c.options.LastEventID) + 1
		if n <= broken {
			return truncatedResponse(events(first, first+1), -1), nil
		}
		return streamResponse(first, 8), nil
	}}
}

// joinedVersions returns the versions of the engines to which a request was sent.
func (w *fakeWorkers) joinedVersions(versions map[string]string) map[string]bool {
	joined := map[string]bool{}
	for _, c := range w.recorded() {
		if !c.prefill {
			joined[versions[c.worker]] = true
		}
	}
	return joined
}

// Guards against a stream whose engine breaks it off and that goes on at another version.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2", "d5": "", "d6": ""}
	for range 20 {
		w := versionedEngines(1)
		f := newTestGateway(t, w, manyRetries)
		f.setEngineVersions(versions)
		got := f.do(context.Background(), http.MethodPost, longRoute)
		joined := w.joinedVersions(versions)
		if joined[""] {
			if got.err == nil || len(w.recorded()) != 1 {
				t.Errorf("%v after %d calls, want a stream of an unknown version to break off", got.err, len(w.recorded()))
			}
			continue
		}
		if got.err != nil || got.body != events(1, 8) || len(joined) != 1 {
			t.Errorf("%v, %d bytes of versions %v, want the whole stream of one version", got.err, len(got.body), joined)
		}
	}
}

// Guards against a stream that goes on, or waits, when no other worker of its version is left.
func TestStreamWithoutWorkerOfItsVersionBreaksOffAtOnce(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v2"}
	w := versionedEngines(1)
	f := newTestGateway(t, w, manyRetries)
	f.setEngineVersions(versions)
	got := f.do(context.Background(), http.MethodPost, longRoute)
	if got.err == nil || got.body != events(1, 2) || len(w.recorded()) != 1 || got.duration.Milliseconds() > 500 {
		t.Errorf("%v after %s, %d bytes, %d calls; want two events and the connection aborted at once", got.err, got.duration, len(got.body), len(w.recorded()))
	}
}

// resume takes up the stream that began as attempt first after an event.
func (f *testGateway) resume(t *testing.T, id, first string, after int) clientResponse {
	t.Helper()
	return f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{
		"Id": {id}, "Resumes": {first}, "Last-Event-Id": {fmt.Sprint(after)},
	})
}

// Guards against a stream that its client takes up and that goes on at another version.
func TestClientTakesStreamUpAtItsVersionOnly(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2"}
	for range 20 {
		// Both engines of one version break off.
		w := versionedEngines(2)
		f := newTestGateway(t, w, manyRetries)
		f.setEngineVersions(versions)
		got := f.do(t.Context(), http.MethodPost, longRoute)
		if got.err == nil || !strings.HasPrefix(events(1, 8), got.body) {
			t.Fatalf("%v, %d bytes, want a part of the stream", got.err, len(got.body))
		}
		for _, id := range []string{"r2", "r3"} {
			got = f.resume(t, id, "r1", 4)
			if got.err != nil || got.body != events(5, 8) {
				t.Errorf("%s: %v, status %d, %q, want the rest of the stream", id, got.err, got.status, got.body)
			}
		}
		if joined := w.joinedVersions(versions); len(joined) != 1 {
			t.Errorf("the stream joins versions %v", joined)
		}
	}
}

// beginEpoch begins an epoch of the service.
func (f *testGateway) beginEpoch(t *testing.T, weights streamversion.Weights) {
	t.Helper()
	err := f.g.streamVersions.updateListing(t.Context(), "engines", func(l streamversion.Listing) ([]byte, error) { return l.Begin(weights) })
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a stream that goes on at the version of another id because its client does not name it.
func TestUnnamedStreamIsNotTakenUpByItsID(t *testing.T) {
	w := versionedEngines(0)
	f := newTestGateway(t, w, manyRetries)
	f.setEngineVersions(map[string]string{"d1": "v1", "d2": "v2"})
	f.beginEpoch(t, streamversion.Weights{"v1": 1, "v2": 1})
	if got := f.resume(t, "r2", "", 4); got.status != http.StatusServiceUnavailable || len(w.recorded()) != 0 {
		t.Errorf("status %d, %d calls of workers, want a refusal", got.status, len(w.recorded()))
	}
	if got := f.resume(t, "r3", "r1", 4); got.err != nil || got.body != events(5, 8) {
		t.Errorf("%v, status %d, %q, want the rest of the stream that the client names", got.err, got.status, got.body)
	}
}

// Guards against a stream that goes on although nobody knows the version that began it: its client does not name
// it, or its id is one on which the epochs disagree.
func TestStreamOfUnknownVersionIsNotTakenUp(t *testing.T) {
	w := versionedEngines(0)
	f := newTestGateway(t, w, manyRetries)
	f.setEngineVersions(map[string]string{"d1": "v1", "d2": "v2"})
	f.beginEpoch(t, streamversion.Weights{"v1": 1})
	f.g.c.Table.(*sharedTable).advance(2 * kumquatlug.Second)
	f.beginEpoch(t, streamversion.Weights{"v2": 1})
	for _, first := range []string{"", "never-seen"} {
		got := f.resume(t, "r2", first, 4)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Ran") != string(kumquatlug.NotExecuted) || got.duration.Milliseconds() > 500 {
			t.Errorf("resumes %q: status %d, %v after %s, want a refusal at once", first, got.status, got.header, got.duration)
		}
	}
	if n := len(w.recorded()); n != 0 {
		t.Errorf("%d calls of workers, want none", n)
	}
}

// versionFleet is a number of gateways that share their store and exchange messages about the versions of
// streams.
type versionFleet struct {
	// mu guards changes of gateways against messages in flight.
	mu       sync.Mutex
	gateways map[string]*testGateway
	workers  *fakeWorkers
	versions map[string]string
	table    *sharedTable
}

// versionLink delivers the messages of one gateway to those that run.
type versionLink struct {
	noLink
	fleet *versionFleet
	self  string
}

func (l *versionLink) SendStreamVersion(gateway string, v kumquatlug.StreamVersion) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if peer := l.fleet.gateways[gateway]; peer != nil {
		go peer.g.StreamVersionReceived(l.self, v)
	}
}

func newVersionFleet(t *testing.T, w *fakeWorkers, versions map[string]string) *versionFleet {
	t.Helper()
	fleet := &versionFleet{gateways: map[string]*testGateway{}, workers: w, versions: versions, table: newSharedTable()}
	for _, name := range []string{"a", "b", "c", "d"} {
		fleet.start(t, name)
	}
	return fleet
}

// start starts a gateway, which knows nothing of an earlier one under its name.
func (l *versionFleet) start(t *testing.T, name string) *testGateway {
	t.Helper()
	f := newTestGateway(t, l.workers, manyRetries)
	f.g.c.Name, f.g.c.Table, f.g.c.Peers = name, l.table, &versionLink{fleet: l, self: name}
	f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now()))
	f.g.streamVersions.setPeers([]string{"a", "b", "c", "d"}, nil)
	f.setEngineVersions(l.versions)
	f.g.streamVersions.setMembers(f.g.members.Load().byService)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways[name] = f
	return f
}

// kill removes gateways.
func (l *versionFleet) kill(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		delete(l.gateways, name)
	}
}

// Guards against a stream that its client takes up at another gateway and that goes on at another version, or
// not at all, also after the first gateway was killed and when the client takes it up twice.
func TestStreamGoesOnAtOtherGateway(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2"}
	for _, killed := range []bool{false, true} {
		for n := range 10 {
			fleet := newVersionFleet(t, versionedEngines(2), versions)
			id := fmt.Sprint("first-", n)
			got := fleet.gateways["a"].doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {id}})
			if got.err == nil || got.body != events(1, 4) {
				t.Fatalf("%v, %d bytes, want a part of the stream", got.err, len(got.body))
			}
			if killed {
				fleet.kill("a")
				fleet.start(t, "a")
			}
			for i, name := range []string{"b", "c", "d", "a"} {
				got := fleet.gateways[name].resume(t, fmt.Sprintf("%s-%d", id, i), id, 4)
				if got.err != nil || got.body != events(5, 8) {
					t.Errorf("killed %v, at %s: %v, status %d, %q, want the rest of the stream", killed, name, got.err, got.status, got.body)
				}
			}
			if joined := fleet.workers.joinedVersions(versions); len(joined) != 1 {
				t.Errorf("killed %v: the stream joins versions %v", killed, joined)
			}
		}
	}
}

// Guards against streams of a service with one version that end when all gateways were killed: nobody has
// their records, but the store knows that there is one version.
func TestStreamOfOnlyVersionGoesOnAfterAllGatewaysWereKilled(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"}
	fleet := newVersionFleet(t, versionedEngines(2), versions)
	if got := fleet.gateways["a"].do(t.Context(), http.MethodPost, longRoute); got.err == nil {
		t.Fatalf("%d bytes, want a part of the stream", len(got.body))
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		fleet.start(t, name)
	}
	got := fleet.gateways["c"].resume(t, "r2", "r1", 4)
	if got.err != nil || got.body != events(5, 8) {
		t.Errorf("%v, status %d, %q, want the rest of the stream", got.err, got.status, got.body)
	}
}

// Guards against a gateway that concludes from its own view that there is one version, while another one
// has begun streams at a version that has just appeared.
func TestNewVersionIsListedBeforeItsStreamsBegin(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(4), map[string]string{"d1": "v1", "d2": "v1"})
	if got := fleet.gateways["a"].do(t.Context(), http.MethodPost, longRoute); got.err == nil {
		t.Fatalf("%d bytes, want a part of the stream", len(got.body))
	}
	// Epochs begin at least a second apart.
	fleet.table.advance(2 * kumquatlug.Second)
	// Gateway a sees the new version alone, begins a stream there and is killed with its peers.
	a := fleet.gateways["a"]
	a.setEngineVersions(map[string]string{"d3": "v2", "d4": "v2"})
	a.g.streamVersions.setMembers(a.g.members.Load().byService)
	if got := a.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {"new"}}); got.err == nil {
		t.Fatalf("%d bytes, want a part of the stream", len(got.body))
	}
	b := fleet.gateways["b"]
	fleet.kill("a", "b", "c", "d")
	calls := len(fleet.workers.recorded())
	got := b.resume(t, "r2", "unknown", 4)
	if got.status != http.StatusServiceUnavailable || len(fleet.workers.recorded()) != calls {
		t.Errorf("status %d, %d calls, want a refusal: the stream may have begun at the new version", got.status, len(fleet.workers.recorded())-calls)
	}
}

// Guards against streams that end because they began before their gateway saw a second version.
func TestRunningStreamsAreRecordedWhenVersionAppears(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v1"}
	proceed := make(chan struct{})
	w := versionedEngines(0)
	second := w.run
	w.run = func(ctx context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n > 1 {
			return second(ctx, n, c)
		}
		body := &pausedBody{text: events(1, 4), proceed: proceed}
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{Status: 200, Header: http.Header{}, Length: -1, Body: body}), nil
	}
	fleet := newVersionFleet(t, w, versions)
	a := fleet.gateways["a"]
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan clientResponse, 1)
	go func() { done <- a.do(ctx, http.MethodPost, longRoute) }()
	for a.g.streamVersions.find("r1") == "" {
		runtime.Gosched()
	}
	for _, f := range fleet.gateways {
		f.setEngineVersions(map[string]string{"d2": "v1", "d3": "v2", "d4": "v2"})
		f.g.streamVersions.setMembers(f.g.members.Load().byService)
	}
	<-time.After(50 * time.Millisecond)
	cancel()
	close(proceed)
	<-done
	fleet.kill("a")
	fleet.versions = map[string]string{"d2": "v1", "d3": "v2", "d4": "v2"}
	fleet.start(t, "a")
	for _, name := range []string{"b", "c", "d", "a"} {
		got := fleet.gateways[name].resume(t, "again-"+name, "r1", 4)
		calls := w.recorded()
		if got.err != nil || got.body != events(5, 8) || calls[len(calls)-1].worker != "d2" {
			t.Errorf("at %s: %v, status %d, %q, want the rest of the stream from d2", name, got.err, got.status, got.body)
		}
	}
}

// pausedBody is a body that does not go on before it is told.
type pausedBody struct {
	text    string
	proceed chan struct{}
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if b.text == "" {
		<-b.proceed
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(p, b.text)
	b.text = b.text[n:]
	return n, nil
}

func (b *pausedBody) Close() error { return nil }

// Guards against a stream that is moved to an engine of another version before its engine leaves.
func TestStreamIsMovedWithinItsVersionOnly(t *testing.T) {
	for name, others := range map[string]map[string]string{"other version": {"d2": "v2"}, "same version": {"d2": "v2", "d3": "v1"}} {
		moved, to := make(chan struct{}), make(chan string, 1)
		started := make(chan struct{}, 1)
		w := &fakeWorkers{move: func(_ context.Context, _, engine string) (kumquatlug.KVCacheRef, error) {
			to <- engine
			close(moved)
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "copy"), nil
		}}
		w.run = func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
			if n > 1 {
				return streamResponse(int(c.options.LastEventID)+1, 30), nil
			}
			started <- struct{}{}
			return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
				Status: 200, Header: http.Header{}, Length: -1, Body: &movedBody{next: 1, last: 30, moved: moved, end: io.ErrUnexpectedEOF},
			}), nil
		}
		f := newTestGateway(t, w, manyRetries)
		f.setEngineVersions(map[string]string{"d1": "v1"})
		response := make(chan clientResponse, 1)
		go func() { response <- f.do(context.Background(), http.MethodPost, chatRoute) }()
		<-started
		<-time.After(30 * time.Millisecond)
		all := maps.Clone(others)
		all["d1"] = "v1"
		f.setEngineVersions(all)
		f.g.applyPlan("engines", rolePlan{Roles: map[string]kumquatlug.Role{"d1": kumquatlug.RolePrefill}})
		if got := <-response; got.err != nil || got.body != events(1, 30) {
			t.Errorf("%s: %v, %d bytes, want the whole stream", name, got.err, len(got.body))
		}
		close(to)
		if engine := <-to; engine != "" && all[engine] != "v1" || (engine == "") != (name == "other version") {
			t.Errorf("%s: moved to %q", name, engine)
		}
	}
}

// Guards against a stream that its client takes up and that goes on at another service of a route that is
// split between two.
func TestStreamStaysAtItsServiceOfSplitRoute(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v1"}
	w := versionedEngines(0)
	f := newTestGateway(t, w, manyRetries)
	f.setEngineVersions(versions)
	c := testConfig(8)
	for i, r := range c.Routes {
		if r.Prefix() == "/long/" {
			c.Routes[i] = kumquatlug.NewRoute(kumquatlug.RouteConfig{
				Host: "h", Name: "/long/", Prefix: "/long/", LatencyTarget: 200, Timeout: 1500, Stream: true, Resumable: true, HasPrompts: true, MaxWorkers: 2,
				Services: []kumquatlug.WeightedService{{Service: "engines", Weight: 1}, {Service: "others", Weight: 1}},
			})
		}
	}
	f.g.table.Store(routes.NewTable(c))
	served := 0
	for n := range 20 {
		first, again := fmt.Sprint("first-", n), fmt.Sprint("again-", n)
		// The other service has no workers.
		if got := f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {first}}); got.status != http.StatusOK {
			continue
		}
		served++
		if got := f.resume(t, again, first, 4); got.err != nil || got.body != events(5, 8) {
			t.Errorf("%s: status %d, %q, want the rest of the stream", first, got.status, got.body)
		}
	}
	if served < 5 || served > 15 {
		t.Errorf("%d of 20 streams at the first service, want about half", served)
	}
}

// Guards against records of streams at peers, and reads of the listing, in a service whose workers have not changed
// for a long time.
func TestStreamsOfUnchangedServiceAreNotRecorded(t *testing.T) {
	now := clock.NewManual(100_000)
	f := newTestGateway(t, versionedEngines(0), manyRetries)
	v := f.g.streamVersions
	f.g.c.BootClock = now
	f.g.c.Peers = noLink{}
	f.g.configConfirmedAt.Store(int64(now.Now()))
	f.setEngineVersions(map[string]string{"d1": "v1", "d2": "v1"})
	v.setMembers(f.g.members.Load().byService)
	v.prepare(t.Context(), "engines", "r1")
	if _, known := v.service("engines").Listing(); !known {
		t.Fatal("the version was not listed")
	}
	for range 10 {
		now.Advance(streamversion.Retention)
		f.g.configConfirmedAt.Store(int64(now.Now()))
		v.update()
		if due := v.dueListings(true); v.service("engines").recording || len(due) != 0 {
			t.Fatalf("streams of the only version are recorded: %v, listings read: %v", v.service("engines").recording, due)
		}
	}
	f.setEngineVersions(map[string]string{"d1": "v1", "d2": "v2"})
	v.setMembers(f.g.members.Load().byService)
	if !v.isSeveral("engines") || len(v.dueListings(true)) != 1 {
		t.Error("the listing of two versions is not read")
	}
}

// countingLink counts the records that are sent.
type countingLink struct {
	noLink
	records atomic.Int64
}

func (l *countingLink) SendStreamVersion(string, kumquatlug.StreamVersion) { l.records.Add(1) }

// Guards against gateways that start in a fleet and are sent all records with each of their messages,
// or none because their row is missing.
func TestGatewayThatStartsIsSentItsRecords(t *testing.T) {
	const streams, announcements = 40, 20
	f, link := newTestGateway(t, &fakeWorkers{}, manyRetries), &countingLink{}
	f.g.c.Peers, f.g.scheduler.coordinators = link, coordinator.New("a")
	v := f.g.streamVersions
	v.setPeers([]string{"b"}, nil)
	for n := range streams {
		v.recordReceived(kumquatlug.StreamVersion{Service: "engines", Attempt: fmt.Sprint("r", n), Version: "v1"})
	}
	requireSent := func(step string, times int64) {
		t.Helper()
		if sent := link.records.Swap(0); sent != times*streams {
			t.Errorf("%s: %d records sent, want %d", step, sent, times*streams)
		}
	}
	for n := range announcements {
		f.g.PeerJoined("b", n == 0)
	}
	requireSent("started", 1)
	for range announcements {
		v.repeatRecords()
	}
	requireSent("later", recordRepeats)
	v.setPeers(nil, nil)
	for range announcements {
		f.g.PeerJoined("b", false)
	}
	requireSent("row is missing", 1)
	v.peerLeft("b")
	for range announcements {
		f.g.PeerJoined("b", false)
	}
	requireSent("stops", 0)
}
