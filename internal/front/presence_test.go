package front

import (
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// presenceMessages are the messages about the presence of workers that a gateway of these tests received.
var presenceMessages = make(chan kumquatlug.WorkerPresence, 64)

func (h *handlerRecorder) PresenceReceived(_ string, p kumquatlug.WorkerPresence) {
	presenceMessages <- p
}

// Guards against a question about a worker that reaches no peer, or another one than was asked about.
func TestPresenceMessages(t *testing.T) {
	n, other := newTestGateway(t, "edge-andina-a-1", "127.0.0.1:0"), newTestGateway(t, "edge-andina-b-1", "127.0.0.1:0")
	n.addPeers(other)
	sent := kumquatlug.WorkerPresence{Asks: true, Service: "lm-service", Worker: "i-7f3a91c2d4", StartedAt: -1, Age: 2500}
	n.SendPresence("", sent)
	select {
	case got := <-presenceMessages:
		if got != sent {
			t.Errorf("received %+v", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no message received within 5 s")
	}
}
