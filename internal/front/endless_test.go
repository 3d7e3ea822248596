package front

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against datagrams of the largest size, sent without pause, that fill the memory of a gateway or keep those of its
// peers from it.
func TestFloodOfLargeDatagramsIsRefused(t *testing.T) {
	const datagrams, datagramBytes = 2000, 60_000
	first, second := newTestGateway(t, "first", "127.0.0.1:0"), newTestGateway(t, "second", "127.0.0.1:0")
	second.addPeers(first)
	flood, err := net.Dial("udp", first.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flood.Close() }()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range datagrams {
		// The kernel drops what doesn't fit into the buffer of the receiver.
		_, _ = flood.Write(make([]byte, datagramBytes))
	}
	for deadline := time.Now().Add(5 * time.Second); first.refusedCount() == 0; {
		if time.Now().After(deadline) {
			t.Fatal("no datagram was refused")
		}
		<-time.After(time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 1<<20 {
		t.Errorf("the heap grew by %d bytes", grown)
	}
	// The receiver may still be reading the flood, and the kernel drops datagrams meanwhile.
	for key := uint64(1); ; key++ {
		second.Send(kumquatlug.PermitMessage{Gateway: "first", Permit: permitRequest(key)})
		select {
		case m := <-first.received.permits:
			if m.Gateway != "second" {
				t.Errorf("message of gateway %q", m.Gateway)
			}
			return
		case <-time.After(100 * time.Millisecond):
			if key == 50 {
				t.Fatal("no message received after the flood")
			}
		}
	}
}
