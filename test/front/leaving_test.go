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
