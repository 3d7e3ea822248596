package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// cutOffTable is the table of a gateway that can be cut off from the listings.
type cutOffTable struct {
	*sharedTable
	cutOff bool
}

func (l *cutOffTable) Get(ctx context.Context, key string) (kumquatlug.Row, error) {
	if l.cutOff && strings.HasPrefix(key, versionsRowPrefix) {
		return kumquatlug.Row{}, kumquatlug.ErrUnavailable
	}
	return l.sharedTable.Get(ctx, key)
}

var fourEngines = map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2"}

// beginCut begins a stream that its engines break off, and returns its version.
func (l *versionFleet) beginCut(t *testing.T, gateway, id string) string {
	t.Helper()
	f := l.gateways[gateway]
	if got := f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {id}}); got.err == nil || got.body != events(1, 4) {
		t.Fatalf("%s: %v, %d bytes, want a part of the stream", id, got.err, len(got.body))
	}
	return f.g.streamVersions.find(id)
}

// undetermine begins an epoch by which each stream begins at another version than the given one.
func (l *versionFleet) undetermine(t *testing.T, gateway, version string) {
	t.Helper()
	l.table.advance(2 * kumquatlug.Second)
	other := map[string]string{"v1": "v2", "v2": "v1"}[version]
	l.gateways[gateway].beginEpoch(t, streamversion.Weights{other: 1})
}

// awaitRecord waits until a gateway has the record of a stream.
func (l *versionFleet) awaitRecord(t *testing.T, gateway, id, version string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); l.gateways[gateway].g.streamVersions.find(id) != version; {
		if time.Now().After(end) {
			t.Fatalf("%s has no record of %s", gateway, id)
		}
		<-time.After(time.Millisecond)
	}
}

// awaitOwners waits until the owners have the record of a stream that a gateway has begun.
func (l *versionFleet) awaitOwners(t *testing.T, began, id, version string) {
	t.Helper()
	for _, owner := range streamversion.Owners(id, began, slices.Collect(maps.Keys(l.gateways)), streamversion.RecordOwners) {
		l.awaitRecord(t, owner, id, version)
	}
}

// forgetRecords removes all records of a gateway.
func (v *streamVersions) forgetRecords() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.records = streamversion.NewRecords()
}

// requireGoesOn takes a stream up at a gateway.
func (l *versionFleet) requireGoesOn(t *testing.T, gateway, id string) {
	t.Helper()
	got := l.gateways[gateway].resume(t, "again-"+gateway+"-"+id, id, 4)
	if got.err != nil || got.body != events(5, 8) {
		t.Errorf("at %s: %v, status %d, %q, want the rest of %s", gateway, got.err, got.status, got.body, id)
	}
	if joined := l.workers.joinedVersions(l.versions); len(joined) != 1 {
		t.Errorf("%s joins versions %v", id, joined)
	}
}

// ownedBy returns an id whose record is owned by a gateway when another one begins the stream.
func ownedBy(owner, began string, gateways ...string) string {
	for n := 0; ; n++ {
		if id := fmt.Sprint("stream-", n); slices.Contains(streamversion.Owners(id, began, gateways, streamversion.RecordOwners), owner) {
			return id
		}
	}
}

// Guards against a gateway that begins streams by an old epoch because it is cut off from the store, while others
// resume them by a newer one.
func TestGatewayThatCannotReadTheListingAsksWhereStreamsBegin(t *testing.T) {
	for n := range 10 {
		fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
		a, id := fleet.gateways["a"], fmt.Sprint("stream-", n)
		now := clock.NewManual(a.g.c.BootClock.Now())
		table := &cutOffTable{sharedTable: fleet.table}
		a.g.c.BootClock, a.g.c.Table = now, table
		a.g.streamVersions.prepare(t.Context(), "engines", "first")
		table.cutOff = true
		old := a.g.streamVersions.selectVersion("engines", id)
		fleet.undetermine(t, "b", old)
		now.Advance(streamversion.MaxListingAge + 1)
		a.g.configConfirmedAt.Store(int64(now.Now()))
		if version := fleet.beginCut(t, "a", id); version == old {
			t.Errorf("%s began at %s, by an old epoch", id, version)
		}
		fleet.kill("a")
		fleet.requireGoesOn(t, "b", id)
	}
}

// Guards against records that are lost because the gateway that owns them, and then the one that began the stream,
// stops.
func TestRecordsMoveToOwnersThatStay(t *testing.T) {
	fleet, all := newVersionFleet(t, versionedEngines(2), fourEngines), []string{"a", "b", "c", "d", "e"}
	fleet.start(t, "e")
	for _, f := range fleet.gateways {
		f.g.streamVersions.setPeers(all, nil)
	}
	id := "stream"
	owners := streamversion.Owners(id, "a", all, 4)
	version := fleet.beginCut(t, "a", id)
	fleet.awaitOwners(t, "a", id, version)
	for _, leaving := range owners[:2] {
		fleet.kill(leaving)
		for _, f := range fleet.gateways {
			f.g.streamVersions.peerLeft(leaving)
			// The row is still there.
			f.g.streamVersions.setPeers(all, nil)
		}
	}
	fleet.awaitRecord(t, owners[2], id, version)
	fleet.awaitRecord(t, owners[3], id, version)
	fleet.kill("a")
	fleet.undetermine(t, owners[2], version)
	fleet.requireGoesOn(t, owners[2], id)
}

// Guards against records that end with the gateways that have them, because these stop one after the other.
func TestStoppingGatewayHandsRecordsOver(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	id, names := "stream", []string{"a", "b", "c", "d"}
	version := fleet.beginCut(t, "a", id)
	fleet.awaitOwners(t, "a", id, version)
	for _, leaving := range names[:3] {
		for name, f := range fleet.gateways {
			if name != leaving {
				// It is the only one that has the record.
				f.g.streamVersions.forgetRecords()
			}
		}
		fleet.gateways[leaving].g.streamVersions.handOver()
		<-time.After(20 * time.Millisecond)
		fleet.kill(leaving)
		for _, f := range fleet.gateways {
			f.g.streamVersions.peerLeft(leaving)
		}
		<-time.After(20 * time.Millisecond)
	}
	fleet.awaitRecord(t, "d", id, version)
	fleet.undetermine(t, "d", version)
	fleet.requireGoesOn(t, "d", id)
}

// Guards against an owner that has no record because it joined or was started again after the stream had begun.
func TestGatewayThatJoinsIsSentTheRecordsItOwns(t *testing.T) {
	for _, joins := range []string{"e", "b"} {
		fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
		all := []string{"a", "b", "c", "d", "e"}
		if joins == "b" {
			all = all[:4]
		}
		id := ownedBy(joins, "a", all...)
		version := fleet.beginCut(t, "a", id)
		fleet.start(t, joins)
		for _, name := range []string{"a", "c", "d"} {
			fleet.gateways[name].g.streamVersions.setPeers(all, []string{joins})
		}
		fleet.awaitRecord(t, joins, id, version)
		for _, name := range all {
			if name != joins {
				fleet.kill(name)
			}
		}
		fleet.undetermine(t, joins, version)
		fleet.requireGoesOn(t, joins, id)
	}
}

// rowsTable is a table that has the rows of all gateways.
type rowsTable struct {
	*sharedTable
	gateways []string
}

func (l *rowsTable) Scan(context.Context, string, string, int) ([]kumquatlug.Row, error) {
	var rows []kumquatlug.Row
	for _, name := range l.gateways {
		rows = append(rows, kumquatlug.NewRow(gatewayRowPrefix+name, nil, 1))
	}
	return rows, nil
}

// rowsLink reaches all gateways that have a row.
type rowsLink struct{ *versionLink }

func (l *rowsLink) UpdatePeers(rows map[string][]byte) (reachable, restarted []string) {
	return slices.Collect(maps.Keys(rows)), nil
}

// Guards against a gateway that has just started and asks nobody, because it has not read yet which others there are.
func TestGatewayThatHasJustStartedAsksTheOthers(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	version := fleet.beginCut(t, "a", "stream")
	fleet.undetermine(t, "a", version)
	e := fleet.start(t, "e")
	v := newStreamVersions(e.g)
	e.g.streamVersions = v
	e.g.scheduler.coordinators = coordinator.New("e")
	e.g.c.Table = &rowsTable{sharedTable: fleet.table, gateways: []string{"a", "b", "c", "d", "e"}}
	e.g.c.Peers = &rowsLink{&versionLink{fleet: fleet, self: "e"}}
	v.setMembers(e.g.members.Load().byService)
	fleet.requireGoesOn(t, "e", "stream")
}

// countingTable counts the reads.
type countingTable struct {
	*sharedTable
	reads atomic.Int64
}

func (l *countingTable) Get(ctx context.Context, key string) (kumquatlug.Row, error) {
	if strings.HasPrefix(key, versionsRowPrefix) {
		l.reads.Add(1)
	}
	return l.sharedTable.Get(ctx, key)
}

// Guards against a read of the listing for each stream: none are needed without versions, one with a single version.
func TestNewStreamsDoNotReadTheListingAgain(t *testing.T) {
	for version, want := range map[string]int64{"": 0, "v1": 1} {
		f := newTestGateway(t, versionedEngines(0), manyRetries)
		table := &countingTable{sharedTable: newSharedTable()}
		f.g.c.Table = table
		f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now()))
		f.setEngineVersions(map[string]string{"d1": version, "d2": version})
		f.g.streamVersions.setMembers(f.g.members.Load().byService)
		for n := range 10 {
			if got := f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {fmt.Sprint(n)}}); got.err != nil || got.body != events(1, 8) {
				t.Fatalf("%v, status %d, %q", got.err, got.status, got.body)
			}
		}
		if got := table.reads.Load(); got != want {
			t.Errorf("version %q: %d reads of the listing, want %d", version, got, want)
		}
	}
}

// Guards against streams that are refused while the store does not answer, although the listing was read before and
// the peers know of no newer epoch.
func TestStreamGoesOnByTheListingReadBeforeTheStoreFellSilent(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	fleet.awaitOwners(t, "a", "stream", fleet.beginCut(t, "a", "stream"))
	for _, name := range []string{"b", "c", "d"} {
		f := fleet.gateways[name]
		f.g.streamVersions.prepare(t.Context(), "engines", "other")
		f.g.streamVersions.forgetRecords()
		f.g.c.Table = &cutOffTable{sharedTable: fleet.table, cutOff: true}
	}
	fleet.kill("a")
	// A read of the same millisecond would count as one of now.
	<-time.After(5 * time.Millisecond)
	fleet.requireGoesOn(t, "b", "stream")
}

// Guards against a stream that goes on at another version at a gateway that is cut off from the store and uses the
// listing that it read before, while its peers know that a newer epoch leaves the version of the stream undetermined.
func TestCachedListingDoesNotOverrideNewerEpochOfPeers(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	cut := fleet.gateways["b"]
	cut.g.streamVersions.prepare(t.Context(), "engines", "other")
	old := cut.g.streamVersions.selectVersion("engines", "stream")
	cut.g.c.Table = &cutOffTable{sharedTable: fleet.table, cutOff: true}
	fleet.undetermine(t, "a", old)
	if version := fleet.beginCut(t, "a", "stream"); version == old {
		t.Fatalf("the stream began at %s, by the old epoch", version)
	}
	<-time.After(20 * time.Millisecond)
	// The gateways that have the records are killed, and have started again.
	for _, name := range []string{"a", "c", "d"} {
		fleet.kill(name)
		fleet.start(t, name)
	}
	cut.g.streamVersions.forgetRecords()
	got := cut.resume(t, "again", "stream", 4)
	if joined := fleet.workers.joinedVersions(fleet.versions); len(joined) != 1 {
		t.Errorf("status %d: the stream joins versions %v", got.status, joined)
	}
}

// Guards against two gateways that are cut off from the store and confirm each other's old epoch: the answer of the
// one that reads nothing comes before those of the gateways that read the listing.
func TestGatewaysThatCannotReadTheListingDoNotConfirmEachOther(t *testing.T) {
	old, begun := 0, 0
	for n := range 10 {
		fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
		id := fmt.Sprint("stream-", n)
		table := &cutOffTable{sharedTable: fleet.table}
		now := clock.NewManual(fleet.gateways["a"].g.c.BootClock.Now())
		for _, name := range []string{"a", "b"} {
			g := fleet.gateways[name].g
			g.c.BootClock, g.c.Table = now, table
			g.streamVersions.prepare(t.Context(), "engines", "first")
		}
		before := fleet.gateways["a"].g.streamVersions.selectVersion("engines", id)
		table.cutOff = true
		fleet.undetermine(t, "c", before)
		now.Advance(streamversion.MaxListingAge + 1)
		for _, name := range []string{"a", "b"} {
			g := fleet.gateways[name].g
			g.configConfirmedAt.Store(int64(now.Now()))
			// The last read has failed.
			g.streamVersions.callListing(t.Context(), "engines", false)
		}
		begun++
		if version := fleet.beginCut(t, "a", id); version == before {
			old++
		}
	}
	if old > 0 {
		t.Errorf("%d of %d streams began by an old epoch", old, begun)
	}
}

// Guards against a stream that goes on at the version of an attempt of which the client received nothing: a peer
// began it for a gateway that then served the request itself.
func TestRecordsThatContradictEachOtherAreNotUsed(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	version := fleet.beginCut(t, "a", "stream")
	fleet.awaitRecord(t, streamversion.Owners("stream", "a", []string{"b", "c", "d"}, 1)[0], "stream", version)
	other := map[string]string{"v1": "v2", "v2": "v1"}[version]
	owners := streamversion.Owners("stream", "a", []string{"b", "c", "d"}, 3)
	// The last of them is the peer; its record goes to the owners as well.
	peer := fleet.gateways[owners[2]]
	peer.g.streamVersions.remember("engines", "stream", other)
	for _, owner := range owners[:2] {
		fleet.gateways[owner].g.streamVersions.recordReceived(kumquatlug.StreamVersion{Service: "engines", Attempt: "stream", Version: other})
	}
	fleet.kill("a")
	fleet.start(t, "a")
	got := fleet.gateways["a"].resume(t, "again", "stream", 4)
	if joined := fleet.workers.joinedVersions(fleet.versions); len(joined) != 1 {
		t.Errorf("status %d: the stream joins versions %v", got.status, joined)
	}
}

// Guards against streams that wait while a gateway of a large fleet computes the owners of its records each time
// another gateway stops or starts, four a second in a rolling restart.
func TestStopOfOneOfManyGatewaysDelaysNoStream(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(0), fourEngines)
	v := fleet.gateways["a"].g.streamVersions
	v.g.streamVersions.prepare(t.Context(), "engines", "other")
	names := make([]string, 2300)
	for n := range names {
		names[n] = fmt.Sprint("gateway-", n)
	}
	v.setPeers(names, nil)
	for n := range 1600 {
		v.remember("engines", fmt.Sprintf("stream-%d", n), "v1")
	}
	for step, change := range map[string]func(string){"stop": v.peerLeft, "start": func(name string) { v.peerJoined(name, true) }} {
		begun := time.Now()
		change(names[7])
		if took := time.Since(begun); took > 25*time.Millisecond {
			t.Errorf("the %s of one gateway takes %s of the lock of all streams", step, took)
		}
	}
}

// Guards against a stream that goes on at the version of a gateway's own record, which is that of an attempt of which
// the client received nothing, while the listing and the owners of the record say another one.
func TestOwnRecordThatTheListingContradictsIsChecked(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	version := fleet.beginCut(t, "a", "stream")
	fleet.awaitOwners(t, "a", "stream", version)
	peer := streamversion.Owners("stream", "a", []string{"b", "c", "d"}, 3)[2]
	fleet.gateways[peer].g.streamVersions.prepare(t.Context(), "engines", "other")
	fleet.gateways[peer].g.streamVersions.remember("engines", "stream", map[string]string{"v1": "v2", "v2": "v1"}[version])
	got := fleet.gateways[peer].resume(t, "again", "stream", 4)
	if joined := fleet.workers.joinedVersions(fleet.versions); got.status != http.StatusServiceUnavailable || len(joined) != 1 {
		t.Errorf("status %d: the stream joins versions %v, want a refusal", got.status, joined)
	}
}
