package gateway

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a stream that joins two versions while all gateways are stopped, one shortly after the other: the one
// at which its client takes it up can't read the listing, counts no peer any more, and goes on by the listing that
// it read before the stream's gateway began it by a newer one.
func TestStreamGoesOnAtItsVersionWhileAllGatewaysStop(t *testing.T) {
	for _, killed := range []bool{false, true} {
		fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
		b := fleet.gateways["b"]
		b.g.streamVersions.prepare(t.Context(), "engines", "other")
		old := b.g.streamVersions.selectVersion("engines", "stream")
		b.g.c.Table = &cutOffTable{sharedTable: fleet.table, cutOff: true}
		fleet.undetermine(t, "c", old)
		for name, f := range fleet.gateways {
			for _, stopping := range []string{"a", "b", "c", "d"} {
				if stopping != name {
					f.g.streamVersions.peerLeft(stopping)
				}
			}
		}
		if version := fleet.beginCut(t, "c", "stream"); version == old {
			t.Fatalf("the stream began at %s, by the old epoch", version)
		}
		<-time.After(20 * time.Millisecond)
		if killed {
			fleet.kill("a", "c", "d")
			b.g.streamVersions.forgetRecords()
		}
		got := b.resume(t, "again", "stream", 4)
		if joined := fleet.workers.joinedVersions(fleet.versions); len(joined) != 1 {
			t.Errorf("others killed: %t: status %d: the stream joins versions %v", killed, got.status, joined)
		}
		if goesOn := got.status == http.StatusOK && got.body == events(5, 8); goesOn == killed {
			t.Errorf("others killed: %t: status %d, %q", killed, got.status, got.body)
		}
	}
}

// Guards against records that reach nobody because all gateways are being stopped: any of them may still take the
// stream up.
func TestRecordsAreSentToGatewaysThatStopIfNoneStays(t *testing.T) {
	fleet := newVersionFleet(t, versionedEngines(2), fourEngines)
	for _, stopping := range []string{"b", "c", "d"} {
		fleet.gateways["a"].g.streamVersions.peerLeft(stopping)
	}
	version := fleet.beginCut(t, "a", "stream")
	fleet.awaitOwners(t, "a", "stream", version)
}
