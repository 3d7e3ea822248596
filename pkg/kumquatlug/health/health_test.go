package health

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// newGroup returns a group of n targets that have all responded in the expected
// time.
func newGroup(n int) *Group {
	g := New(Config{})
	for i := range n {
		g.Add(targetName(i))
		g.RecordOutcome(0, targetName(i), true, 1)
	}
	return g
}

func targetName(i int) string { return fmt.Sprintf("t%02d", i) }

func TestSlowTargetLosesShareGradually(t *testing.T) {
	// An accelerator throttles, and its target is three times slower than the
	// others. Its callers miss their deadlines until it receives a third of what
	// the other targets receive. The weight must not drop at once.
	g := newGroup(6)
	last := 1.0
	for i := range 40 {
		g.RecordOutcome(kumquatlug.Millis(i), targetName(0), true, 3)
		weight := g.Weight(kumquatlug.Millis(i), targetName(0))
		if weight > last || last-weight > 0.3 {
			t.Fatalf("after %d slow responses the weight changed from %.2f to %.2f", i+1, last, weight)
		}
		last = weight
	}
	if last < 0.3 || last > 0.4 {
		t.Errorf("weight of the slow target = %.2f, want about a third", last)
	}
	if w := g.Weight(40, targetName(1)); w != 1 {
		t.Errorf("weight of another target = %.2f, want 1", w)
	}
	if w := g.Weight(2*kumquatlug.Minute, targetName(0)); w != 1 {
		t.Errorf("weight after two minutes without responses = %.2f, want 1", w)
	}
}

func TestUniformSlowdownKeepsWeights(t *testing.T) {
	// Under peak load every target is slow. If each lost weight, the group would
	// receive less work exactly when there is most.
	g := newGroup(6)
	for i := range 60 {
		g.RecordOutcome(kumquatlug.Millis(i), targetName(i%6), true, 8)
	}
	for i := range 6 {
		if w := g.Weight(60, targetName(i)); w != 1 {
			t.Errorf("weight of %s = %.2f, want 1", targetName(i), w)
		}
	}
}

func TestPartitionedGatewayKeepsMostTargets(t *testing.T) {
	// The gateway's own link fails for some seconds, so every heartbeat is missed.
	// If it ejected all targets, callers would be refused long after the link has
	// recovered, and targets that still respond would be idle.
	g := newGroup(12)
	for heartbeat := range kumquatlug.Millis(10) {
		for i := range 12 {
			g.HeartbeatMissed(heartbeat*kumquatlug.Second, targetName(i))
		}
	}
	if n := g.Ejected(); n != 4 {
		t.Errorf("%d of 12 targets are ejected, want 4", n)
	}
	for i := range 12 {
		g.HeartbeatAnswered(11*kumquatlug.Second, targetName(i))
	}
	if n := g.Ejected(); n != 0 {
		t.Errorf("%d targets are still ejected after the link has recovered", n)
	}
}

func TestUnresponsiveTargetIsEjectedWithinSeconds(t *testing.T) {
	// A VM is lost. Until the gateway detects it, one call in twelve times out;
	// three missed heartbeats must be enough.
	g := newGroup(12)
	now := kumquatlug.Millis(0)
	for range 3 {
		now += g.HeartbeatInterval()
		g.HeartbeatMissed(now+g.HeartbeatTimeout(), targetName(3))
	}
	if w := g.Weight(now+g.HeartbeatTimeout(), targetName(3)); w != 0 {
		t.Errorf("weight = %.2f after %d ms, want 0", w, now+g.HeartbeatTimeout())
	}
}

func TestFailingTargetIsProbedAndStartsSlowly(t *testing.T) {
	// A target fails each call at once and looks idle. Callers receive errors until
	// it is ejected. After it has recovered it must not be overloaded while its
	// cache is empty, and a failed probe must not return it to service.
	g := newGroup(6)
	for range 5 {
		g.RecordOutcome(0, targetName(0), false, 0)
	}
	steps := []struct {
		at    kumquatlug.Millis
		state State
		event func(now kumquatlug.Millis)
	}{
		{at: 4999, state: StateEjected},
		{at: 5000, state: StateProbing, event: func(now kumquatlug.Millis) { g.RecordOutcome(now, targetName(0), false, 0) }},
		{at: 14999, state: StateEjected},
		{at: 15000, state: StateProbing, event: func(now kumquatlug.Millis) { g.RecordOutcome(now, targetName(0), true, 1) }},
		{at: 15001, state: StateServing},
	}
	for _, s := range steps {
		if got := g.State(s.at, targetName(0)); got != s.state {
			t.Fatalf("at %d ms: state %s, want %s", s.at, got, s.state)
		}
		if s.event != nil {
			s.event(s.at)
		}
	}
	if early, late := g.Weight(16000, targetName(0)), g.Weight(25000, targetName(0)); early > 0.11 || late != 1 {
		t.Errorf("weight one second after the recovery = %.2f, want at most 0.11; after ten seconds = %.2f, want 1", early, late)
	}
}

func TestEjectedFractionIsBounded(t *testing.T) {
	// Whatever fails in whatever order, most targets of the group must stay in use.
	parameters := gopter.DefaultTestParametersWithSeed(11)
	properties := gopter.NewProperties(parameters)
	properties.Property("at most a third is ejected", prop.ForAll(
		func(size int, events []int) bool {
			g := newGroup(size)
			for i, e := range events {
				now := kumquatlug.Millis(i) * 700
				target := targetName(e / 4 % size)
				switch e % 4 {
				case 0, 1:
					g.HeartbeatMissed(now, target)
				case 2:
					g.RecordOutcome(now, target, false, 0)
				default:
					g.HeartbeatAnswered(now, target)
				}
				if g.Ejected() > max(1, size*34/100) {
					return false
				}
			}
			return true
		},
		gen.IntRange(2, 14), gen.SliceOfN(200, gen.IntRange(0, 4*14-1)),
	))
	properties.TestingRun(t)
}

func ExampleGroup() {
	g := New(Config{})
	for _, target := range []string{"a", "b", "c"} {
		g.Add(target)
		g.RecordOutcome(0, target, true, 1)
	}
	for range 20 {
		g.RecordOutcome(10, "c", true, 2)
	}
	fmt.Printf("%.2f %.2f\n", g.Weight(10, "a"), g.Weight(10, "c"))
	// Output: 1.00 0.50
}
