package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
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
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	id := "stream"
	owners := streamversion.Owners(id, "a", []string{"b", "c", "d"}, 3)
	version := fleet.beginCut(t, "a", id)
	for _, owner := range owners[:2] {
		fleet.awaitRecord(t, owner, id, version)
	}
	for _, leaving := range owners[:2] {
		fleet.kill(leaving)
		for _, f := range fleet.gateways {
			f.g.streamVersions.peerLeft(leaving)
			// The row is still there.
			f.g.streamVersions.setPeers([]string{"a", "b", "c", "d"}, nil)
		}
	}
	fleet.awaitRecord(t, owners[2], id, version)
	fleet.kill("a")
	fleet.undetermine(t, owners[2], version)
	fleet.requireGoesOn(t, owners[2], id)
}

// Guards against records that end with the gateways that have them, because these stop one after the other.
func TestStoppingGatewayHandsRecordsOver(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	id, names := "stream", []string{"a", "b", "c", "d"}
	version := fleet.beginCut(t, "a", id)
	for _, leaving := range names[:3] {
		fleet.gateways[leaving].g.streamVersions.handOver()
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

// Guards against streams that are refused while the store does not answer, although the listing was read before and
// the peers know of no newer epoch.
func TestStreamGoesOnByTheListingReadBeforeTheStoreFellSilent(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	fleet.beginCut(t, "a", "stream")
	for _, name := range []string{"b", "c", "d"} {
		f := fleet.gateways[name]
		f.g.streamVersions.prepare(t.Context(), "engines", "other")
		f.g.streamVersions.records = streamversion.NewRecords()
		f.g.c.Table = &cutOffTable{sharedTable: fleet.table, cutOff: true}
	}
	fleet.kill("a")
	fleet.requireGoesOn(t, "b", "stream")
}
