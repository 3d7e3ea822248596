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
	// limitGracePeriod is how long after it first named its limit that holds.
	limitGracePeriod = 3 * time.Second
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitBurst       = 5
)

// maxRequests is the most requests in a span that a limit allows.
func maxRequests(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitBurst
}

// loadResult counts what became of a load's requests.
type loadResult struct {
	mu                sync.Mutex
	succeeded, failed int
	lastFailure       response
}

// startLoad sends requests through fronts, one after the other for each time that a
// front is named, with a pause between, until stop is closed. The function that it returns waits for the rest.
func startLoad(
	gateways []*process, interval time.Duration, stop <-chan struct{}, name string, send func(p *process, id string) response,
) func() *loadResult {
	var group sync.WaitGroup
	result := &loadResult{}
	for n, p := range gateways {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				got := send(p, fmt.Sprintf("%s-%d-%d", name, n, i))
				result.mu.Lock()
				if got.err == nil && got.status == http.StatusOK {
					result.succeeded++
				} else {
					result.failed++
					result.lastFailure = got
				}
				result.mu.Unlock()
			}
		}()
	}
	return func() *loadResult {
		group.Wait()
		return result
	}
}

// A worker of each kind is in need and names a limit, while three fronts send it several
// times that. More than it takes would bring it down, and its requests with it; the
// others have room for all.
func TestGatewaysTogetherStayWithinWorkerLimit(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 3, Decode: 3, Plain: 3, Events: 2, Pause: 10 * time.Millisecond})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2"), newGateway(t, s, "front-3")}
	for _, p := range gateways {
		// One that starts again uses its whole share.
		p.kill()
		p.start()
		p.waitReady()
	}
	stop := make(chan struct{})
	clients := slices.Concat(gateways, gateways, gateways)
	lookups := startLoad(clients, 20*time.Millisecond, stop, "look", (*process).lookup)
	longPrompts := startLoad(clients, 30*time.Millisecond, stop, "long", (*process).longPrompt)
	sleep(time.Second)
	limits := map[*fleet.Worker]float64{s.Plain[0]: 4, s.Engines[0]: 3, s.Engines[3]: 5}
	for w, perSecond := range limits {
		w.SetLimit(perSecond)
	}
	announced := time.Now()
	sleep(limitGracePeriod + limitWindow + time.Second)
	close(stop)
	for kind, result := range map[string]*loadResult{"look": lookups(), "long": longPrompts()} {
		if result.failed > 0 || result.succeeded < 100 {
			t.Errorf("%s: %d whole, %d not, the last one %+v", kind, result.succeeded, result.failed, result.lastFailure)
		}
	}
	for w, perSecond := range limits {
		if most := w.Most(announced.Add(limitGracePeriod), limitWindow); most > maxRequests(perSecond) {
			t.Errorf("%s, limit %v: %d requests in %v, allowed %d", s.ID(w), perSecond, most, limitWindow, maxRequests(perSecond))
		}
		for _, p := range gateways {
			t.Logf("%s: %s", p.name, p.log("worker limit", s.ID(w)))
		}
	}
}
