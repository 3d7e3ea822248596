package front

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

var quarantineMessages = make(chan kumquatlug.QuarantineMessage, 64)

func (h *handlerRecorder) QuarantineReceived(_ string, m kumquatlug.QuarantineMessage) {
	quarantineMessages <- m
}

// A crash with hundreds of suspects does not fit one datagram. Guards against suspects that are lost or
// change on the way.
func TestQuarantineMessagesAreSplit(t *testing.T) {
	n, other := newTestGateway(t, "edge-andina-a-1", "127.0.0.1:0"), newTestGateway(t, "edge-andina-b-1", "127.0.0.1:0")
	n.addPeers(other)
	sent := kumquatlug.QuarantineMessage{
		Entries: []kumquatlug.QuarantineEntry{{
			Service: "lm", Identities: []string{"part:a", "part:b"}, Crashes: []string{"w/1"}, Versions: []string{"v1"}, Served: []string{"v2"}, Tried: []string{"v3"},
			Probes: 2, Released: true, Revision: 7,
		}},
		Reports: []kumquatlug.CrashReport{{Service: "lm", Worker: "i-1", StartedAt: 1773995233265, Version: "v1"}},
	}
	for i := range 300 {
		id := fmt.Sprintf("part:%d%s", i, strings.Repeat("c", 20))
		sent.Reports[0].Suspects = append(sent.Reports[0].Suspects, kumquatlug.CrashSuspect{Identity: id, Requests: []uint32{uint32(i), 1 << 31}, Informed: i%2 == 0})
		sent.Clearances = append(sent.Clearances, kumquatlug.CrashClearance{Service: "lm", Version: "v1", Identities: []string{id}})
	}
	n.SendQuarantine("edge-andina-b-1", sent)
	var entries []kumquatlug.QuarantineEntry
	var suspects []kumquatlug.CrashSuspect
	cleared := 0
	for len(suspects) < 300 || cleared < 300 {
		select {
		case got := <-quarantineMessages:
			entries = append(entries, got.Entries...)
			for _, r := range got.Reports {
				if r.Worker != "i-1" || r.StartedAt != 1773995233265 || r.Service != "lm" || r.Version != "v1" {
					t.Fatalf("received a report of %+v", r)
				}
				suspects = append(suspects, r.Suspects...)
			}
			for _, c := range got.Clearances {
				cleared += len(c.Identities)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%d suspects and %d clearances received within 5 s", len(suspects), cleared)
		}
	}
	if !reflect.DeepEqual(entries, sent.Entries) || !reflect.DeepEqual(suspects, sent.Reports[0].Suspects) {
		t.Error("the message has changed on the way")
	}
}
