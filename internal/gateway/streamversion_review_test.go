package gateway

import (
	"fmt"
	"testing"
	"time"
)

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
