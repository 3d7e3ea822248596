package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

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
		names[n] = fmt.Sprint("edge-tallinn-a-", n)
	}
	v.setPeers(names, nil)
	for n := range 1600 {
		v.remember("engines", fmt.Sprintf("stream-%d", n), "v1")
	}
	for step, change := range map[string]func(string){"stop": v.peerLeft, "start": v.peerJoined} {
		begun := time.Now()
		change(names[7])
		if took := time.Since(begun); took > 25*time.Millisecond {
			t.Errorf("the %s of one gateway takes %s of the lock of all streams", step, took)
		}
	}
}
