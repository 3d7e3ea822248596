package front

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// What the users' rules allow a worker that names a limit to get.
const (
	// limitNotice is how long after it first named its limit that holds.
	limitNotice = 3 * time.Second
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// allowed is the most requests in a span that a limit allows.
func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitSpan.Seconds()) + limitExtra
}

// outcomes counts what became of a load's requests.
type outcomes struct {
	mu            sync.Mutex
	whole, others int
	last          answer
}

// steadyLoad sends requests through fronts, one after the other for each time that a
// front is named, with a pause between, until stop is closed. The function that it returns waits for the rest.
func steadyLoad(
	fronts []*process, pace time.Duration, stop <-chan struct{}, name string, send func(p *process, id string) answer,
) func() *outcomes {
	var group sync.WaitGroup
	all := &outcomes{}
	for n, p := range fronts {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(pace):
				}
				got := send(p, fmt.Sprintf("%s-%d-%d", name, n, i))
				all.mu.Lock()
				if got.err == nil && got.status == http.StatusOK {
					all.whole++
				} else {
					all.others++
					all.last = got
				}
				all.mu.Unlock()
			}
		}()
	}
	return func() *outcomes {
		group.Wait()
		return all
	}
}

// A worker of each kind is in need and names a limit, while three fronts send it several
// times that. More than it takes would bring it down, and its requests with it; the
// others have room for all.
func TestFrontsTogetherKeepToAWorkersLimit(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 3, Decode: 3, Plain: 3, Events: 2, Pause: 10 * time.Millisecond})
	fronts := []*process{newFront(t, s, "front-1"), newFront(t, s, "front-2"), newFront(t, s, "front-3")}
	for _, p := range fronts {
		// One that starts again uses its whole share.
		p.kill()
		p.start()
		p.waitReady()
	}
	stop := make(chan struct{})
	clients := slices.Concat(fronts, fronts, fronts)
	looks := steadyLoad(clients, 20*time.Millisecond, stop, "look", (*process).look)
	longs := steadyLoad(clients, 30*time.Millisecond, stop, "long", (*process).long)
	pause(time.Second)
	limits := map[*fleet.Worker]float64{s.Plain[0]: 4, s.Engines[0]: 3, s.Engines[3]: 5}
	for w, perSecond := range limits {
		w.SetLimit(perSecond)
	}
	told := time.Now()
	pause(limitNotice + limitSpan + time.Second)
	close(stop)
	for kind, all := range map[string]*outcomes{"look": looks(), "long": longs()} {
		if all.others > 0 || all.whole < 100 {
			t.Errorf("%s: %d whole, %d not, the last one %+v", kind, all.whole, all.others, all.last)
		}
	}
	for w, perSecond := range limits {
		if most := w.Most(told.Add(limitNotice), limitSpan); most > allowed(perSecond) {
			t.Errorf("%s, limit %v: %d requests in %v, allowed %d", s.ID(w), perSecond, most, limitSpan, allowed(perSecond))
		}
		for _, p := range fronts {
			t.Logf("%s: %s", p.name, p.log("worker limit", s.ID(w)))
		}
	}
}
