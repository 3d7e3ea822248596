package membership

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func targetVM(name, address string, state kumquatlug.VMState) kumquatlug.VM {
	return kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: name, Role: kumquatlug.VMTarget, Address: address, Zone: "a", State: state,
	})
}

// A VM loses power and stays in the platform's list for a while. If the gateway relied on the
// list, calls sent to the VM would wait until they time out.
func TestVanishedTargetGoesDownThoughStillListed(t *testing.T) {
	m := New()
	list := []kumquatlug.VM{targetVM("t1", "10.0.0.1:7", kumquatlug.VMLive)}
	m.SetVMs(list)
	m.HeartbeatAnswered(1000, "t1", "i1")
	for i := range DownAfterMissed {
		m.SetVMs(list)
		change, changed := m.HeartbeatMissed("t1")
		if last := i == DownAfterMissed-1; changed != last {
			t.Fatalf("missed heartbeat %d: change to %q, want one at the last only", i+1, change.To())
		}
	}
	if got, _ := m.Get("t1"); got.State() != StateDown {
		t.Fatalf("state %q", got.State())
	}
	if _, changed := m.HeartbeatAnswered(9000, "t1", "i2"); !changed {
		t.Fatal("no change when the target answers again")
	}
}

// After an outage the platform's list lacks an entry. The target still answers heartbeats and
// has calls in flight, and must not be removed.
func TestAnsweringTargetSurvivesMissingListEntry(t *testing.T) {
	m := New()
	m.SetVMs([]kumquatlug.VM{targetVM("t1", "10.0.0.1:7", kumquatlug.VMLive), targetVM("t2", "10.0.0.2:7", kumquatlug.VMLive)})
	m.HeartbeatAnswered(1000, "t1", "i1")
	m.SetVMs(nil)
	if got := fmt.Sprint(m.Names()); got != "[t1]" {
		t.Fatalf("members %s, want [t1], which answers heartbeats", got)
	}
}

func TestNewVMWithReusedNameResetsState(t *testing.T) {
	m := New()
	m.SetVMs([]kumquatlug.VM{targetVM("t1", "10.0.0.1:7", kumquatlug.VMLive)})
	m.HeartbeatAnswered(1000, "t1", "i1")
	m.SetVMs([]kumquatlug.VM{targetVM("t1", "10.0.0.9:7", kumquatlug.VMLive)})
	if got, _ := m.Get("t1"); got.State() != StateNew || got.Incarnation() != "" {
		t.Fatalf("state %q, incarnation %q; want a new state", got.State(), got.Incarnation())
	}
}

func TestIntervalStaysWithinBandwidthBudget(t *testing.T) {
	for _, targets := range []int{1, 15, 50, 400} {
		bytesPerSecond := int64(targets) * HeartbeatBytes * int64(kumquatlug.Second) / int64(Interval(targets))
		if bytesPerSecond > MaxHeartbeatBytesPerSecond && Interval(targets) > MinInterval {
			t.Errorf("%d targets: %d bytes per second", targets, bytesPerSecond)
		}
	}
}
