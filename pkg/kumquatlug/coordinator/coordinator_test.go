package coordinator

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	fronts  = 28
	engines = 59
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("front-%d", i)
	}
	return all
}

func engine(i int) string { return fmt.Sprintf("engine-%d", i) }

// known is what a front knows that read the rows of all.
func known(me string) *Fronts {
	f := New(me)
	f.Set(names(fronts))
	return f
}

// Were two fronts to name different coordinators for an engine, it would have two queues,
// and the prompts of each would be late behind those of the other.
func TestAllFrontsNameTheSameCoordinator(t *testing.T) {
	for i := range engines {
		coordinator := known("front-0").Coordinator(0, engine(i))
		for _, me := range names(fronts) {
			if got := known(me).Coordinator(0, engine(i)); got != coordinator {
				t.Fatalf("%s names %s for %s, others %s", me, got, engine(i), coordinator)
			}
			if known(me).Coordinates(0, engine(i)) != (me == coordinator) {
				t.Fatalf("%s is wrong about coordinating %s", me, engine(i))
			}
		}
	}
}

// One front dies. Only what it coordinated may move: each engine that moves has prompts in
// two queues for a while.
func TestOnlyTheEnginesOfAFrontThatIsGoneMove(t *testing.T) {
	f := known("front-0")
	before := map[int]string{}
	for i := range engines {
		before[i] = f.Coordinator(0, engine(i))
	}
	gone := before[0]
	if gone == "front-0" {
		t.Fatal("the first engine is coordinated by the front itself")
	}
	f.Missed(10, gone)
	for i := range engines {
		after := f.Coordinator(10, engine(i))
		if after == gone || before[i] != gone && after != before[i] {
			t.Errorf("%s: %s before, %s after", engine(i), before[i], after)
		}
	}
	if back := f.Coordinator(10+firstAway, engine(0)); back != gone {
		t.Errorf("after a while %s is asked", back)
	}
}

// A front leaves question after question unanswered, as its machine is gone for
// good. Asked each second it would cost a prompt each time; asked never it would
// have no part when it is back.
func TestAFrontThatIsGoneIsAskedMoreSeldom(t *testing.T) {
	f := known("front-0")
	now, asked := kumquatlug.Millis(0), 0
	for now < 60*kumquatlug.Second {
		one := f.known["front-1"]
		if now >= one.awayUntil && !one.forgotten {
			f.Missed(now, "front-1")
			asked++
		}
		now += 10
	}
	if asked != forgottenAfter {
		t.Errorf("asked %d times", asked)
	}
	f.Add("front-1")
	if one := f.known["front-1"]; one.forgotten || one.misses != 0 {
		t.Errorf("a front that is back: %+v", one)
	}
}

// The machine of a front is cut off from nearly all others, each of which it finds
// away. If it then coordinated all engines, and so did each front on the other side of a
// larger cut, they would all read as if alone, and believe that they don't.
func TestAFrontThatIsCutOffCoordinatesNothing(t *testing.T) {
	f := known("front-0")
	now := kumquatlug.Millis(0)
	for round := range 5 {
		for i := 1; i < fronts; i++ {
			f.Missed(now, fmt.Sprintf("front-%d", i))
		}
		if coordinator := f.Coordinator(now, engine(round)); coordinator != "" {
			t.Errorf("round %d: %q coordinates", round, coordinator)
		}
		now += mostAway
		now++
	}
	for i := 1; i < fronts; i++ {
		f.Answered(fmt.Sprintf("front-%d", i))
	}
	if f.Coordinator(now, engine(0)) != known("front-0").Coordinator(0, engine(0)) {
		t.Error("after its return it names other coordinators")
	}
}

// A front stops for an update. Until its end it must give nobody a turn, and others
// must not go on asking it.
func TestAFrontThatStopsCoordinatesNothing(t *testing.T) {
	stops, other := known("front-3"), known("front-4")
	stops.Leave()
	other.Left("front-3")
	for i := range engines {
		if stops.Coordinates(0, engine(i)) || other.Coordinator(0, engine(i)) == "front-3" {
			t.Errorf("%s is coordinated by a front that stops", engine(i))
		}
		if stops.Coordinator(0, engine(i)) != other.Coordinator(0, engine(i)) {
			t.Errorf("%s has two coordinators", engine(i))
		}
	}
}

// A front that starts doesn't know the others yet. Taking itself for the only one it
// would read at all engines as if alone.
func TestAFrontThatKnowsNobodyHasNoCoordinator(t *testing.T) {
	f := New("front-0")
	f.Add("front-1")
	if coordinator := f.Coordinator(0, engine(0)); coordinator != "" {
		t.Errorf("%q coordinates", coordinator)
	}
	f.Set([]string{"front-0"})
	if !f.Coordinates(0, engine(0)) {
		t.Error("the only front coordinates nothing")
	}
	f.Add("front-1")
	kept := 0
	for i := range engines {
		if f.Coordinates(0, engine(i)) {
			kept++
		}
	}
	if kept == 0 || kept == engines {
		t.Errorf("one of two fronts coordinates %d of %d", kept, engines)
	}
}

// What was found is told once, for the log.
func TestNewsAreToldOnce(t *testing.T) {
	f := known("front-0")
	f.Missed(5, "front-1")
	f.Missed(6, "front-1")
	f.Answered("front-1")
	f.Answered("front-1")
	news := f.News()
	if len(news) != 2 || news[0].What() != "front away" || news[1].What() != "front back" || news[1].Front() != "front-1" {
		t.Errorf("news %+v", news)
	}
	if len(f.News()) != 0 {
		t.Error("news are told twice")
	}
}
