package front

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

var streamVersionMessages = make(chan kumquatlug.StreamVersion, 64)

func (h *handlerRecorder) StreamVersionReceived(_ string, v kumquatlug.StreamVersion) {
	streamVersionMessages <- v
}

func TestStreamVersionMessages(t *testing.T) {
	n, other := newTestGateway(t, "edge-andina-a-1", "127.0.0.1:0"), newTestGateway(t, "edge-andina-b-1", "127.0.0.1:0")
	n.addPeers(other)
	for _, step := range []kumquatlug.StreamVersionStep{kumquatlug.StreamVersionRecorded, kumquatlug.StreamVersionAsked, kumquatlug.StreamVersionAnswered, kumquatlug.StreamVersionDetermined, kumquatlug.StreamVersionSelecting, kumquatlug.StreamVersionConflicting} {
		sent := kumquatlug.StreamVersion{Step: step, Service: "lm", Attempt: strings.Repeat("a", 200), Version: "v1.2", Key: math.MaxUint64, ChangedAt: math.MaxInt64}
		n.SendStreamVersion("edge-andina-b-1", sent)
		select {
		case got := <-streamVersionMessages:
			if got != sent {
				t.Errorf("received %+v, want %+v", got, sent)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no message received within 5 s")
		}
	}
}
