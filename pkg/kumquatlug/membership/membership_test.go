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

// A VM loses power. The platform's list goes on naming it for a while, and an
// entry that trusted the list would send callers there to wait in vain.
func TestVanishedTargetGoesDownThoughStillListed(t *testing.T) {
	m := New()
	list := []kumquatlug.VM{targetVM("t1", "10.0.0.1:7", kumquatlug.VMLive)}
	m.Listed(list)
	m.Heard(1000, "t1", "i1")
	for i := range MissedForDown {
		m.Listed(list)
		change, changed := m.Missed("t1")
		if last := i == MissedForDown-1; changed != last {
			t.Fatalf("miss %d changed the state to %q", i+1, change.To())
		}
	}
	if got, _ := m.Get("t1"); got.State() != StateDown {
		t.Fatalf("state %q", got.State())
	}
	if _, changed := m.Heard(9000, "t1", "i2"); !changed {
		t.Fatal("a target that answers again was not used")
	}
}

// The platform's list comes back from an outage with a line missing. The
// target still answers and has work in hand, and must not be dropped for it.
func TestAnsweringTargetSurvivesMissingListEntry(t *testing.T) {
	m := New()
	m.Listed([]kumquatlug.VM{targetVM("t1", "10.0.0.1:7", kumquatlug.VMLive), targetVM("t2", "10.0.0.2:7", kumquatlug.VMLive)})
	m.Heard(1000, "t1", "i1")
	m.Listed(nil)
	if got := fmt.Sprint(m.Names()); got != "[t1]" {
		t.Fatalf("members %s, want only the one that answers", got)
	}
}

func TestNewVMWithReusedNameResetsState(t *testing.T) {
	m := New()
	m.Listed([]kumquatlug.VM{targetVM("t1", "10.0.0.1:7", kumquatlug.VMLive)})
	m.Heard(1000, "t1", "i1")
	m.Listed([]kumquatlug.VM{targetVM("t1", "10.0.0.9:7", kumquatlug.VMLive)})
	if got, _ := m.Get("t1"); got.State() != StateNew || got.Incarnation() != "" {
		t.Fatalf("state %q of %q", got.State(), got.Incarnation())
	}
}

func TestIntervalStaysWithinBandwidthBudget(t *testing.T) {
	for _, targets := range []int{1, 15, 50, 400} {
		bytesPerSecond := int64(targets) * HeartbeatBytes * int64(kumquatlug.Second) / int64(Interval(targets))
		if bytesPerSecond > ControlBytes && Interval(targets) > MinInterval {
			t.Errorf("%d targets take %d bytes a second", targets, bytesPerSecond)
		}
	}
}
