package front

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// leaveSpan is for how long a worker that said it leaves may still get requests.
const leaveSpan = 2 * time.Second

// The store answers nobody while a worker of each kind says in its answers that it
// leaves. What is sent there two seconds later ends with the worker.
func TestAWorkerThatSaysItLeavesGetsNothingMoreWhileTheStoreIsAway(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 3, Decode: 3, Plain: 3, Events: 2, Pause: 10 * time.Millisecond})
	fronts := []*process{newFront(t, s, "front-1"), newFront(t, s, "front-2")}
	clients := slices.Concat(fronts, fronts, fronts)
	stop := make(chan struct{})
	looks := steadyLoad(clients, 20*time.Millisecond, stop, "look", (*process).look)
	longs := steadyLoad(clients, 30*time.Millisecond, stop, "long", (*process).long)
	pause(time.Second)
	s.Store.SetFault(rowstoreFault("silent"))
	leaving := []*fleet.Worker{s.Plain[0], s.Engines[0], s.Engines[3]}
	for _, w := range leaving {
		w.Leave()
	}
	for _, w := range leaving {
		for _, p := range fronts {
			eventually(t, p.name+" is told that "+s.ID(w)+" leaves", func() bool { return len(p.log("worker leaves", s.ID(w))) > 0 })
		}
	}
	told := time.Now()
	pause(leaveSpan + 2*time.Second)
	close(stop)
	for kind, all := range map[string]*outcomes{"look": looks(), "long": longs()} {
		if all.others > 0 || all.whole < 100 {
			t.Errorf("%s: %d whole, %d not, the last one %+v", kind, all.whole, all.others, all.last)
		}
	}
	for _, w := range leaving {
		if late := w.Most(told.Add(leaveSpan), time.Minute); late > 0 {
			t.Errorf("%s got %d requests over %v after all fronts were told that it leaves", s.ID(w), late, leaveSpan)
		}
	}
}

// The store turns one of two fronts away and serves the other, which is killed and starts
// again. Both must stop sending to a worker that leaves: one was told by answers alone, the
// other knows only what the store says.
func TestAFrontThatTheStoreTurnsAwayHearsThatAWorkerLeaves(t *testing.T) {
	s := newSite(t, site.Config{Plain: 3, Pause: 10 * time.Millisecond})
	away, killed := newFront(t, s, "front-1"), newFront(t, s, "front-2")
	stop := make(chan struct{})
	looks := steadyLoad([]*process{away, away, away}, 20*time.Millisecond, stop, "look", (*process).look)
	pause(500 * time.Millisecond)
	s.TurnAway("front-1", true)
	s.Plain[0].Leave()
	s.Announce(s.Plain[0], "draining")
	eventually(t, "the front is told", func() bool { return len(away.log("worker leaves", s.ID(s.Plain[0]))) > 0 })
	told := time.Now()
	killed.kill()
	killed.start()
	killed.waitReady()
	pause(time.Until(told.Add(leaveSpan)))
	again := steadyLoad([]*process{killed, killed, killed}, 20*time.Millisecond, stop, "again", (*process).look)
	pause(time.Second)
	close(stop)
	for kind, all := range map[string]*outcomes{"look": looks(), "again": again()} {
		if all.others > 0 || all.whole < 20 {
			t.Errorf("%s: %d whole, %d not, the last one %+v", kind, all.whole, all.others, all.last)
		}
	}
	if late := s.Plain[0].Most(told.Add(leaveSpan), time.Minute); late > 0 {
		t.Errorf("the worker got %d requests over %v after the front was told", late, leaveSpan)
	}
}
