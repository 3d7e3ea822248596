package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	gatewayCount = 28
	engineCount  = 59
)

func gatewayNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("front-%d", i)
	}
	return all
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// newWithAllGateways returns the state of a gateway that has read the rows of all gateways.
func newWithAllGateways(self string) *Gateways {
	f := New(self)
	f.Set(gatewayNames(gatewayCount))
	return f
}

// If gateways chose different coordinators for an engine, it would have two queues whose
// prompts delay each other.
func TestGatewaysAgreeOnCoordinator(t *testing.T) {
	for i := range engineCount {
		coordinator := newWithAllGateways("front-0").Coordinator(0, engineName(i))
		for _, self := range gatewayNames(gatewayCount) {
			if got := newWithAllGateways(self).Coordinator(0, engineName(i)); got != coordinator {
				t.Fatalf("%s chooses %s for %s, want %s", self, got, engineName(i), coordinator)
			}
			if newWithAllGateways(self).IsCoordinator(0, engineName(i)) != (self == coordinator) {
				t.Fatalf("%s: wrong result of IsCoordinator for %s", self, engineName(i))
			}
		}
	}
}

// A gateway fails. Only the engines that it coordinated may move, since the prompts of each
// engine that moves are in two queues for a while.
func TestOnlyEnginesOfUnresponsiveGatewayMove(t *testing.T) {
	f := newWithAllGateways("front-0")
	before := map[int]string{}
	for i := range engineCount {
		before[i] = f.Coordinator(0, engineName(i))
	}
	unresponsive := before[0]
	if unresponsive == "front-0" {
		t.Fatal("the first engine is coordinated by the gateway itself")
	}
	f.PeerTimedOut(10, unresponsive)
	for i := range engineCount {
		after := f.Coordinator(10, engineName(i))
		if after == unresponsive || before[i] != unresponsive && after != before[i] {
			t.Errorf("%s: %s before, %s after", engineName(i), before[i], after)
		}
	}
	if after := f.Coordinator(10+minBackoff, engineName(0)); after != unresponsive {
		t.Errorf("coordinator after the backoff: %s", after)
	}
}

// A gateway is permanently unresponsive. A retry each second would delay one prompt each
// time, while without retries the gateway would stay unused after its return.
func TestUnresponsiveGatewayIsRetriedWithBackoff(t *testing.T) {
	f := newWithAllGateways("front-0")
	now, requests := kumquatlug.Millis(0), 0
	for now < 60*kumquatlug.Second {
		peer := f.gateways["front-1"]
		if now >= peer.backoffUntil && !peer.excluded {
			f.PeerTimedOut(now, "front-1")
			requests++
		}
		now += 10
	}
	if requests != excludeAfterTimeouts {
		t.Errorf("%d requests", requests)
	}
	f.Add("front-1")
	if peer := f.gateways["front-1"]; peer.excluded || peer.timeouts != 0 {
		t.Errorf("state after the return of the gateway: %+v", peer)
	}
}

// A gateway is partitioned from nearly all others. If it coordinated all engines, and so did
// each gateway in a larger partition, they would all send prompts as if they were alone.
func TestPartitionedGatewayCoordinatesNothing(t *testing.T) {
	f := newWithAllGateways("front-0")
	now := kumquatlug.Millis(0)
	for round := range 5 {
		for i := 1; i < gatewayCount; i++ {
			f.PeerTimedOut(now, fmt.Sprintf("front-%d", i))
		}
		if coordinator := f.Coordinator(now, engineName(round)); coordinator != "" {
			t.Errorf("round %d: %q coordinates", round, coordinator)
		}
		now += maxBackoff
		now++
	}
	for i := 1; i < gatewayCount; i++ {
		f.PeerResponded(fmt.Sprintf("front-%d", i))
	}
	if f.Coordinator(now, engineName(0)) != newWithAllGateways("front-0").Coordinator(0, engineName(0)) {
		t.Error("the coordinators differ after the partition ended")
	}
}

// A gateway shuts down for an update. It must not coordinate any engine from then on, and the
// others must not send it requests.
func TestGatewayThatShutsDownCoordinatesNothing(t *testing.T) {
	shuttingDown, other := newWithAllGateways("front-3"), newWithAllGateways("front-4")
	shuttingDown.StopCoordinating()
	other.PeerLeft("front-3")
	for i := range engineCount {
		if shuttingDown.IsCoordinator(0, engineName(i)) || other.Coordinator(0, engineName(i)) == "front-3" {
			t.Errorf("%s is coordinated by a gateway that is shutting down", engineName(i))
		}
		if shuttingDown.Coordinator(0, engineName(i)) != other.Coordinator(0, engineName(i)) {
			t.Errorf("%s has two coordinators", engineName(i))
		}
	}
}

// A gateway that starts has not read the names of the others yet. If it considered itself the
// only one, it would send prompts to all engines as if it were alone.
func TestNoCoordinatorBeforeGatewaysAreKnown(t *testing.T) {
	f := New("front-0")
	f.Add("front-1")
	if coordinator := f.Coordinator(0, engineName(0)); coordinator != "" {
		t.Errorf("%q coordinates", coordinator)
	}
	f.Set([]string{"front-0"})
	if !f.IsCoordinator(0, engineName(0)) {
		t.Error("the only gateway coordinates nothing")
	}
	f.Add("front-1")
	kept := 0
	for i := range engineCount {
		if f.IsCoordinator(0, engineName(i)) {
			kept++
		}
	}
	if kept == 0 || kept == engineCount {
		t.Errorf("one of two gateways coordinates %d of %d engines", kept, engineCount)
	}
}

// Each change is returned once, so that it is logged once.
func TestChangesAreReportedOnce(t *testing.T) {
	f := newWithAllGateways("front-0")
	f.PeerTimedOut(5, "front-1")
	f.PeerTimedOut(6, "front-1")
	f.PeerResponded("front-1")
	f.PeerResponded("front-1")
	changes := f.Changes()
	if len(changes) != 2 || changes[0].Event() != "front away" || changes[1].Event() != "front back" || changes[1].Gateway() != "front-1" {
		t.Errorf("changes %+v", changes)
	}
	if len(f.Changes()) != 0 {
		t.Error("changes are returned twice")
	}
}

// A permit of a coordinator with a low-bandwidth link waits behind request bodies. Gateways with
// high-bandwidth links must coordinate all engines, evenly, and all gateways must agree; the
// others coordinate when none of them can be reached.
func TestHighBandwidthGatewaysCoordinate(t *testing.T) {
	preferred := gatewayNames(6)
	known := map[string]*Gateways{}
	for _, self := range gatewayNames(gatewayCount) {
		known[self] = newWithAllGateways(self)
		known[self].SetPreferred(preferred)
	}
	counts := map[string]int{}
	for i := range engineCount {
		coordinator := known["front-0"].Coordinator(0, engineName(i))
		counts[coordinator]++
		for self, f := range known {
			if got := f.Coordinator(0, engineName(i)); got != coordinator {
				t.Fatalf("%s chooses %s for %s, want %s", self, got, engineName(i), coordinator)
			}
		}
	}
	for _, name := range preferred {
		if counts[name] < engineCount/20 {
			t.Errorf("%s coordinates %d of %d engines", name, counts[name], engineCount)
		}
		known["front-20"].PeerTimedOut(10, name)
	}
	if len(counts) != len(preferred) {
		t.Errorf("coordinators: %v", counts)
	}
	if c := known["front-20"].Coordinator(20, engineName(1)); c == "" || slices.Contains(preferred, c) {
		t.Errorf("coordinator %q without a reachable preferred gateway", c)
	}
}
