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

// Requests that a worker may receive after it announced a rate limit, by the rules of the
// users' platform: limitFactor times the limit plus limitBurst in each limitWindow.
const (
	// limitGracePeriod is the time between the first announcement and the start of the limit.
	limitGracePeriod = 3 * time.Second
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitBurst       = 5
)

// maxRequests returns the maximum number of requests in a limitWindow, for a limit in
// requests per second.
func maxRequests(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitBurst
}

// loadResult counts the requests of a load by outcome.
type loadResult struct {
	mu                sync.Mutex
	succeeded, failed int
	lastFailure       response
}

// startLoad runs one sequential client per element of gateways, which may repeat, with an
// interval before each request, until stop is closed. The returned function waits for the
// requests in flight and returns the outcomes.
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

// One worker of each kind announces a rate limit while three gateways send it several
// times as much. Exceeding the limit would crash the worker and fail its requests; the
// other workers have capacity for the whole load.
func TestGatewaysTogetherStayWithinWorkerLimit(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 3, DecodeEngines: 3, PlainWorkers: 3, Events: 2, EventDelay: 10 * time.Millisecond})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2"), newGateway(t, s, "front-3")}
	for _, p := range gateways {
		// A restarted gateway uses its full share of the limit.
		p.kill()
		p.start()
		p.waitReady()
	}
	stop := make(chan struct{})
	clients := slices.Concat(gateways, gateways, gateways)
	lookups := startLoad(clients, 20*time.Millisecond, stop, "look", (*process).lookup)
	longPrompts := startLoad(clients, 30*time.Millisecond, stop, "long", (*process).longPrompt)
	sleep(time.Second)
	limits := map[*fleet.Worker]float64{s.PlainWorkers[0]: 4, s.Engines[0]: 3, s.Engines[3]: 5}
	for w, perSecond := range limits {
		w.SetLimit(perSecond)
	}
	announced := time.Now()
	sleep(limitGracePeriod + limitWindow + time.Second)
	close(stop)
	for kind, result := range map[string]*loadResult{"look": lookups(), "long": longPrompts()} {
		if result.failed > 0 || result.succeeded < 100 {
			t.Errorf("%s: %d succeeded, %d failed, last failure %+v", kind, result.succeeded, result.failed, result.lastFailure)
		}
	}
	for w, perSecond := range limits {
		if most := w.MaxArrivals(announced.Add(limitGracePeriod), limitWindow); most > maxRequests(perSecond) {
			t.Errorf("%s with limit %v/s: %d requests in %v, want at most %d", s.ID(w), perSecond, most, limitWindow, maxRequests(perSecond))
		}
		for _, p := range gateways {
			t.Logf("%s: %s", p.name, p.log("worker limit", s.ID(w)))
		}
	}
}
