package coordinator

import (
	"fmt"
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

// newWithAllGateways is what a front knows that read the rows of all.
func newWithAllGateways(self string) *Fronts {
	f := New(self)
	f.Set(gatewayNames(gatewayCount))
	return f
}

// Were two fronts to name different coordinators for an engine, it would have two queues,
// and the prompts of each would be late behind those of the other.
func TestGatewaysAgreeOnCoordinator(t *testing.T) {
	for i := range engineCount {
		coordinator := newWithAllGateways("front-0").Coordinator(0, engineName(i))
		for _, self := range gatewayNames(gatewayCount) {
			if got := newWithAllGateways(self).Coordinator(0, engineName(i)); got != coordinator {
				t.Fatalf("%s names %s for %s, others %s", self, got, engineName(i), coordinator)
			}
			if newWithAllGateways(self).Coordinates(0, engineName(i)) != (self == coordinator) {
				t.Fatalf("%s is wrong about coordinating %s", self, engineName(i))
			}
		}
	}
}

// One front dies. Only what it coordinated may move: each engine that moves has prompts in
// two queues for a while.
func TestOnlyEnginesOfLostGatewayMove(t *testing.T) {
	f := newWithAllGateways("front-0")
	before := map[int]string{}
	for i := range engineCount {
		before[i] = f.Coordinator(0, engineName(i))
	}
	lost := before[0]
	if lost == "front-0" {
		t.Fatal("the first engine is coordinated by the front itself")
	}
	f.Missed(10, lost)
	for i := range engineCount {
		after := f.Coordinator(10, engineName(i))
		if after == lost || before[i] != lost && after != before[i] {
			t.Errorf("%s: %s before, %s after", engineName(i), before[i], after)
		}
	}
	if after := f.Coordinator(10+minBackoff, engineName(0)); after != lost {
		t.Errorf("after a while %s is asked", after)
	}
}

// A front leaves question after question unanswered, as its machine is gone for
// good. Asked each second it would cost a prompt each time; asked never it would
// have no part when it is back.
func TestLostGatewayIsRetriedWithBackoff(t *testing.T) {
	f := newWithAllGateways("front-0")
	now, requests := kumquatlug.Millis(0), 0
	for now < 60*kumquatlug.Second {
		peer := f.gateways["front-1"]
		if now >= peer.backoffUntil && !peer.excluded {
			f.Missed(now, "front-1")
			requests++
		}
		now += 10
	}
	if requests != excludeAfterTimeouts {
		t.Errorf("asked %d times", requests)
	}
	f.Add("front-1")
	if peer := f.gateways["front-1"]; peer.excluded || peer.timeouts != 0 {
		t.Errorf("a front that is back: %+v", peer)
	}
}

// The machine of a front is cut off from nearly all others, each of which it finds
// away. If it then coordinated all engines, and so did each front on the other side of a
// larger cut, they would all read as if alone, and believe that they don't.
func TestPartitionedGatewayCoordinatesNothing(t *testing.T) {
	f := newWithAllGateways("front-0")
	now := kumquatlug.Millis(0)
	for round := range 5 {
		for i := 1; i < gatewayCount; i++ {
			f.Missed(now, fmt.Sprintf("front-%d", i))
		}
		if coordinator := f.Coordinator(now, engineName(round)); coordinator != "" {
			t.Errorf("round %d: %q coordinates", round, coordinator)
		}
		now += maxBackoff
		now++
	}
	for i := 1; i < gatewayCount; i++ {
		f.Answered(fmt.Sprintf("front-%d", i))
	}
	if f.Coordinator(now, engineName(0)) != newWithAllGateways("front-0").Coordinator(0, engineName(0)) {
		t.Error("after its return it names other coordinators")
	}
}

// A front stops for an update. Until its end it must give nobody a turn, and others
// must not go on asking it.
func TestStoppingGatewayCoordinatesNothing(t *testing.T) {
	stops, other := newWithAllGateways("front-3"), newWithAllGateways("front-4")
	stops.Leave()
	other.Left("front-3")
	for i := range engineCount {
		if stops.Coordinates(0, engineName(i)) || other.Coordinator(0, engineName(i)) == "front-3" {
			t.Errorf("%s is coordinated by a front that stops", engineName(i))
		}
		if stops.Coordinator(0, engineName(i)) != other.Coordinator(0, engineName(i)) {
			t.Errorf("%s has two coordinators", engineName(i))
		}
	}
}

// A front that starts doesn't know the others yet. Taking itself for the only one it
// would read at all engines as if alone.
func TestNoCoordinatorBeforeGatewaysAreKnown(t *testing.T) {
	f := New("front-0")
	f.Add("front-1")
	if coordinator := f.Coordinator(0, engineName(0)); coordinator != "" {
		t.Errorf("%q coordinates", coordinator)
	}
	f.Set([]string{"front-0"})
	if !f.Coordinates(0, engineName(0)) {
		t.Error("the only front coordinates nothing")
	}
	f.Add("front-1")
	kept := 0
	for i := range engineCount {
		if f.Coordinates(0, engineName(i)) {
			kept++
		}
	}
	if kept == 0 || kept == engineCount {
		t.Errorf("one of two fronts coordinates %d of %d", kept, engineCount)
	}
}

// What was found is told once, for the log.
func TestChangesAreReportedOnce(t *testing.T) {
	f := newWithAllGateways("front-0")
	f.Missed(5, "front-1")
	f.Missed(6, "front-1")
	f.Answered("front-1")
	f.Answered("front-1")
	changes := f.News()
	if len(changes) != 2 || changes[0].What() != "front away" || changes[1].What() != "front back" || changes[1].Front() != "front-1" {
		t.Errorf("news %+v", changes)
	}
	if len(f.News()) != 0 {
		t.Error("news are told twice")
	}
}
