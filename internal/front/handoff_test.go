package front

import (
	"math"
	"reflect"
	"slices"
	"sync"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// receivedLoads holds the last load that each handler received.
var receivedLoads sync.Map

func (h *handlerRecorder) GatewayLoad() kumquatlug.GatewayLoad {
	return kumquatlug.GatewayLoad{LinkBytesPerMs: 1250, LinkBacklog: 2.5, InFlight: 3}
}

func (h *handlerRecorder) GatewayLoadReceived(_ string, load kumquatlug.GatewayLoad) {
	receivedLoads.Store(h, load)
}

// HandoffReceived records the message as a permit, so that the test can wait for it.
func (h *handlerRecorder) HandoffReceived(gateway string, m kumquatlug.Handoff) {
	h.permits <- kumquatlug.PermitMessage{Gateway: gateway, Permit: kumquatlug.Permit{Engine: string(m.Step), Key: m.Key, UncachedTokens: m.Bytes}}
}

// An offer and its answer cross the link with the sender's load, and each side can prove to
// the other that a request comes from a gateway. A proof for another gateway or for another
// message must be rejected.
func TestHandoffMessagesAndProofs(t *testing.T) {
	a, b := newTestGateway(t, "a", "127.0.0.1:0"), newTestGateway(t, "b", "127.0.0.1:0")
	a.addPeers(b)
	for _, step := range []kumquatlug.HandoffStep{kumquatlug.HandoffOffered, kumquatlug.HandoffAccepted, kumquatlug.HandoffDeclined} {
		a.SendHandoff("b", kumquatlug.Handoff{Step: step, Key: 1 << 40, Bytes: 9200})
		if got := b.nextPermit(t); got.Gateway != "a" || got.Permit.Engine != string(step) || got.Permit.Key != 1<<40 || got.Permit.UncachedTokens != 9200 {
			t.Errorf("%s: %+v", step, got)
		}
	}
	if load, _ := receivedLoads.Load(b.received); load != b.received.GatewayLoad() {
		t.Errorf("load %+v", load)
	}
	proof := a.HandoffProof("b", []byte("m"))
	if !b.VerifyHandoffProof([]byte("m"), proof) || b.VerifyHandoffProof([]byte("n"), proof) || a.VerifyHandoffProof([]byte("m"), proof) ||
		b.VerifyHandoffProof([]byte("m"), nil) || a.HandoffProof("nobody", []byte("m")) != nil {
		t.Error("a proof was accepted or rejected wrongly")
	}
}

// Rows of an older release, and invalid addresses and rates, must not attract requests. A
// gateway that restarts keeps its address until its new row is read, since a hello has none.
func TestHandoffPeersComeFromRows(t *testing.T) {
	n := newTestGateway(t, "n", "127.0.0.1:0")
	const start = `{"address":"127.0.0.1:7","key":"AAAAAAAAAAAAAAAAAAAAAA=="`
	n.UpdatePeers(map[string][]byte{
		"old": []byte(start + `}`), "no-port": []byte(start + `,"handoff":"127.0.0.1"}`), "any": []byte(start + `,"handoff":"0.0.0.0:9"}`),
		"near": []byte(start + `,"zone":"z"}`),
		"good": []byte(start + `,"handoff":"127.0.0.1:9","zone":"z","link_bytes_per_ms":25000}`),
	})
	want := []kumquatlug.HandoffPeer{{Name: "good", Zone: "z", Address: "127.0.0.1:9", LinkBytesPerMs: 25_000}}
	if got := n.HandoffPeers(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
	if zones := []string{n.Zone("good"), n.Zone("near"), n.Zone("old"), n.Zone("nobody")}; !slices.Equal(zones, []string{"z", "z", "", ""}) {
		t.Errorf("zones %q", zones)
	}
	n.mu.Lock()
	changed, err := n.updatePeer("good", "127.0.0.1:7", make([]byte, 32))
	n.mu.Unlock()
	if got := n.HandoffPeers(); err != nil || !changed || !reflect.DeepEqual(got, want) {
		t.Errorf("after a restart: %+v, %v", got, err)
	}
	if got := (peerRow{LinkBytesPerMs: -1}).handoffPeer("x"); got.LinkBytesPerMs != 0 {
		t.Errorf("%+v", got)
	}
	extreme := decodeLoad(&frontv1.GatewayLoad{LinkBytesPerMs: float32(math.NaN()), LinkBacklogMs: float32(math.Inf(1)), InFlight: math.MaxUint32})
	if extreme.LinkBytesPerMs != 0 || extreme.LinkBacklog != float64(maxDuration) || extreme.InFlight != maxInFlight {
		t.Errorf("%+v", extreme)
	}
	if got := decodeHandoff(&frontv1.Handoff{Step: 99, Bytes: math.MaxUint64}); got.Step != "" || got.Bytes != maxBodyBytes {
		t.Errorf("%+v", got)
	}
}
