package front

import (
	"math"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// decodeMessages are the messages about decode slots that a gateway of these tests received.
var decodeMessages = make(chan any, 64)

func (h *handlerRecorder) DecodeCountReceived(_ string, c kumquatlug.DecodeCount) {
	decodeMessages <- c
}

func (h *handlerRecorder) DecodeTotalReceived(_ string, t kumquatlug.DecodeTotal) {
	decodeMessages <- t
}

// Each request costs up to three of these messages, on links of gateways that have 5 KB/s for
// all control messages. A count out of range must not take all slots of an engine or overflow.
func TestDecodeSlotMessages(t *testing.T) {
	n, other := newTestGateway(t, "edge-andina-a-1", "127.0.0.1:0"), newTestGateway(t, "edge-andina-b-1", "127.0.0.1:0")
	n.addPeers(other)
	count := kumquatlug.DecodeCount{Service: "lm-service", Engine: "i-7f3a91c2d4", Sequence: 1 << 60, Count: 11, Asks: true}
	total := kumquatlug.DecodeTotal{Service: "lm-service", Engine: "i-7f3a91c2d4", Sequence: 1 << 60, Total: 12, Granted: true}
	n.SendDecodeCount("edge-andina-b-1", count)
	n.SendDecodeTotal("edge-andina-b-1", total)
	for range 2 {
		select {
		case m := <-decodeMessages:
			if m != count && m != total {
				t.Errorf("received %+v", m)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no message received within 5 s")
		}
	}
	data := mustMarshal(t, &frontv1.Datagram{From: n.config.Name, DecodeCount: &frontv1.DecodeCount{
		Service: count.Service, Engine: count.Engine, Sequence: count.Sequence, Count: 11, Asks: true,
	}})
	if size := len(n.aead.Seal(nil, nil, data, nil)); size > 100 {
		t.Errorf("a message has %d bytes", size)
	}
	if decodeRequests(math.MaxUint32) != maxDecodeRequests || encodeRequests(-1) != 0 || encodeRequests(math.MaxInt) != maxDecodeRequests {
		t.Error("values out of range are not limited")
	}
}
