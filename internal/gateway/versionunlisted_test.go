package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// lateLink delivers the messages of one gateway later than peers wait for a record.
type lateLink struct{ *versionLink }

func (l *lateLink) SendStreamVersion(gateway string, v kumquatlug.StreamVersion) {
	time.AfterFunc(2*recordAnswerTimeout.Duration(), func() { l.versionLink.SendStreamVersion(gateway, v) })
}

// awayTable is a table that does not answer about listings while it is away.
type awayTable struct {
	*sharedTable
	away atomic.Bool
}

func (l *awayTable) Get(ctx context.Context, key string) (kumquatlug.Row, error) {
	if l.away.Load() && strings.HasPrefix(key, versionsRowPrefix) {
		return kumquatlug.Row{}, kumquatlug.ErrUnavailable
	}
	return l.sharedTable.Get(ctx, key)
}

// startsWithoutListing lists weights at gateway b, and starts gateway a, which sees other ones and can't read the
// listing. It returns the id of a stream for which the two select different versions.
func startsWithoutListing(t *testing.T) (fleet *versionFleet, id string) {
	t.Helper()
	fleet = newVersionFleet(t, versionedEngines(2), fourEngines)
	listed, seen := streamversion.Weights{"v1": 1, "v2": 7}, streamversion.Weights{"v1": 2, "v2": 2}
	fleet.gateways["b"].beginEpoch(t, listed)
	for n := 0; id == "" || listed.Select(id) == seen.Select(id); n++ {
		id = fmt.Sprint("stream-", n)
	}
	fleet.gateways["a"].g.c.Table = &cutOffTable{sharedTable: fleet.table, cutOff: true}
	return fleet, id
}

// Guards against a stream that joins two versions: a gateway that has started and could not read the listing begins
// it by the weights of the workers that it sees, and its records arrive late or are lost.
func TestStreamOfGatewayWithoutListingJoinsNoVersions(t *testing.T) {
	for _, peersRead := range []bool{true, false} {
		for _, killed := range []bool{true, false} {
			fleet, id := startsWithoutListing(t)
			table := &awayTable{sharedTable: fleet.table}
			for _, name := range []string{"b", "c", "d"} {
				f := fleet.gateways[name]
				f.g.c.Table = table
				f.g.streamVersions.prepare(t.Context(), "engines", "other")
				if !peersRead {
					f.g.streamVersions.storeRestored()
				}
			}
			table.away.Store(true)
			a := fleet.gateways["a"]
			a.g.c.Peers = &lateLink{&versionLink{fleet: fleet, self: "a"}}
			if peersRead {
				a.g.c.Peers = &versionLink{fleet: fleet, self: "a"}
			}
			got := a.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {id}})
			if peersRead && got.status != http.StatusOK {
				t.Errorf("status %d for a stream of which the peers know the version", got.status)
			}
			if killed {
				fleet.kill("a")
			}
			table.away.Store(false)
			for _, name := range []string{"b", "c", "d"} {
				f := fleet.gateways[name]
				f.g.streamVersions.forgetRecords()
				f.g.streamVersions.mu.Lock()
				f.g.streamVersions.service("engines").notBefore = 0
				f.g.streamVersions.mu.Unlock()
			}
			if got.status == http.StatusOK {
				fleet.gateways["b"].resume(t, "again", id, 4)
			}
			if joined := fleet.workers.joinedVersions(fleet.versions); len(joined) > 1 {
				t.Errorf("peers have the listing: %t, gateway killed: %t: the stream joins versions %v", peersRead, killed, joined)
			}
		}
	}
}

// Guards against a stream that begins by the old listing of a gateway that is cut off from the store, because the
// engines of the version that its peers select for it fail here.
func TestVersionSelectedByPeersIsNotReplacedByThatOfAnOldListing(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v1"})
	a, id := fleet.gateways["a"], "stream"
	now := clock.NewManual(a.g.c.BootClock.Now())
	table := &cutOffTable{sharedTable: fleet.table}
	a.g.c.BootClock, a.g.c.Table = now, table
	a.g.streamVersions.prepare(t.Context(), "engines", "first")
	table.cutOff = true
	const old = "v1"
	for n := 0; a.g.streamVersions.selectVersion("engines", id) != old; n++ {
		id = fmt.Sprint("stream-", n)
	}
	fleet.undetermine(t, "b", old)
	now.Advance(streamversion.MaxListingAge + 1)
	a.g.configConfirmedAt.Store(int64(now.Now()))
	began := false
	a.g.c.Workers = &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if fleet.versions[c.worker] != old {
			return kumquatlug.WorkerResponse{}, lostConnection()
		}
		began = true
		return streamResponse(1, 4), nil
	}}
	got := a.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {id}})
	if began {
		t.Errorf("status %d: the stream began at %s, by an old epoch", got.status, old)
	}
}

// Guards against new streams that are refused for as long as the store is away, although the gateways reach each other
// or there is only one.
func TestStreamsBeginWhileNoGatewayReadsTheListing(t *testing.T) {
	for _, alone := range []bool{false, true} {
		fleet := newVersionFleet(t, versionedEngines(0), fourEngines)
		now := clock.NewManual(fleet.gateways["a"].g.c.BootClock.Now())
		table := &cutOffTable{sharedTable: fleet.table}
		for _, f := range fleet.gateways {
			f.g.c.BootClock, f.g.c.Table = now, table
			f.g.streamVersions.prepare(t.Context(), "engines", "first")
			if alone {
				f.g.streamVersions.setPeers(nil, nil)
			}
		}
		table.cutOff = true
		now.Advance(95 * kumquatlug.Second)
		if got := fleet.gateways["a"].doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {"stream"}}); got.body != events(1, 8) {
			t.Errorf("alone: %t: status %d, %q, want the stream", alone, got.status, got.body)
		}
	}
}

// Guards against streams that end at a gateway which has started while the store does not answer, although its peers
// read the listing shortly before.
func TestGatewayThatStartsWhileTheStoreIsAwayTakesStreamsUp(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	version := fleet.beginCut(t, "a", "stream")
	for _, name := range []string{"b", "c", "d"} {
		fleet.gateways[name].g.streamVersions.prepare(t.Context(), "engines", "other")
	}
	fleet.kill("a")
	for _, f := range fleet.gateways {
		f.g.streamVersions.forgetRecords()
		f.g.c.Table = &cutOffTable{sharedTable: fleet.table, cutOff: true}
	}
	a := fleet.start(t, "a")
	a.g.c.Table = &cutOffTable{sharedTable: fleet.table, cutOff: true}
	fleet.requireGoesOn(t, "a", "stream")
	if !fleet.workers.joinedVersions(fleet.versions)[version] {
		t.Errorf("the stream does not go on at %s", version)
	}
}

// Guards against streams that end because the store has not answered since shortly after the start of the gateway at
// which they are taken up, before that one has read which others there are.
func TestGatewayReadsItsPeersWithTheWorkers(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	e := fleet.start(t, "e")
	v := newStreamVersions(e.g)
	e.g.streamVersions = v
	e.g.scheduler.coordinators = coordinator.New("e")
	e.g.c.Table = &rowsTable{sharedTable: fleet.table, gateways: []string{"a", "b", "c", "d", "e"}}
	e.g.c.Peers = &rowsLink{&versionLink{fleet: fleet, self: "e"}}
	v.setMembers(e.g.members.Load().byService)
	for end := time.Now().Add(5 * time.Second); !v.peersRead.Load(); {
		if time.Now().After(end) {
			t.Fatal("the rows of the other gateways are not read")
		}
		<-time.After(time.Millisecond)
	}
	e.g.c.Table = &cutOffTable{sharedTable: fleet.table, cutOff: true}
	fleet.beginCut(t, "a", "stream")
	fleet.kill("a")
	for _, name := range []string{"b", "c", "d"} {
		fleet.gateways[name].g.streamVersions.prepare(t.Context(), "engines", "other")
	}
	fleet.requireGoesOn(t, "e", "stream")
}

// scanlessTable counts the scans, which fail.
type scanlessTable struct {
	*sharedTable
	scans atomic.Int64
}

func (l *scanlessTable) Scan(context.Context, string, string, int) ([]kumquatlug.Row, error) {
	l.scans.Add(1)
	return nil, kumquatlug.ErrUnavailable
}

// Guards against a call to a store that fails for each stream that is taken up at a gateway which knows no others.
func TestRowsOfGatewaysAreNotReadForEachStream(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	e := fleet.start(t, "e")
	table := &scanlessTable{sharedTable: fleet.table}
	e.g.c.Table, e.g.c.BootClock = table, clock.NewManual(e.g.c.BootClock.Now())
	v := newStreamVersions(e.g)
	e.g.streamVersions = v
	for n := range 10 {
		v.setMembers(e.g.members.Load().byService)
		v.resolve(t.Context(), "engines", fmt.Sprint("stream-", n), false)
	}
	if scans := table.scans.Load(); scans != 1 {
		t.Errorf("%d reads of the rows of gateways, want 1", scans)
	}
}

// Guards against a stream about which no peer is asked, as none are known yet while their rows count as read: a record of
// another version is missed, or the stream is refused.
func TestPeersCountAsReadOnceTheyAreKnown(t *testing.T) {
	v := newTestGateway(t, versionedEngines(0), manyRetries).g.streamVersions
	v.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.setPeers([]string{"a", "b"}, nil)
	}()
	<-time.After(20 * time.Millisecond)
	if v.peersRead.Load() && v.peers.Len() == 0 {
		t.Error("the rows count as read, and no peer is known")
	}
	v.mu.Unlock()
	<-done
	if !v.peersRead.Load() || v.peers.Len() != 2 {
		t.Errorf("read: %t, %d peers", v.peersRead.Load(), v.peers.Len())
	}
}
