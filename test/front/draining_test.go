package front

import (
	"slices"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// shutdownGracePeriod is how long a worker may still receive requests after it announced
// its shutdown.
const shutdownGracePeriod = 2 * time.Second

// The store does not respond while one worker of each kind announces its shutdown in its
// responses. Requests sent to it more than two seconds later fail with the worker.
func TestWorkerShuttingDownGetsNoRequestsDuringStoreOutage(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 3, DecodeEngines: 3, PlainWorkers: 3, Events: 2, EventDelay: 10 * time.Millisecond})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	clients := slices.Concat(gateways, gateways, gateways)
	stop := make(chan struct{})
	lookups := startLoad(clients, 20*time.Millisecond, stop, "look", (*process).lookup)
	longPrompts := startLoad(clients, 30*time.Millisecond, stop, "long", (*process).longPrompt)
	sleep(time.Second)
	s.Store.SetFault(rowstoreFault("silent"))
	shuttingDown := []*fleet.Worker{s.PlainWorkers[0], s.Engines[0], s.Engines[3]}
	for _, w := range shuttingDown {
		w.AnnounceShutdown()
	}
	for _, w := range shuttingDown {
		for _, p := range gateways {
			eventually(t, p.name+" learns that "+s.ID(w)+" shuts down", func() bool { return len(p.log("worker leaves", s.ID(w))) > 0 })
		}
	}
	announced := time.Now()
	sleep(shutdownGracePeriod + 2*time.Second)
	close(stop)
	for kind, result := range map[string]*loadResult{"look": lookups(), "long": longPrompts()} {
		if result.failed > 0 || result.succeeded < 100 {
			t.Errorf("%s: %d succeeded, %d failed, last failure %+v", kind, result.succeeded, result.failed, result.lastFailure)
		}
	}
	for _, w := range shuttingDown {
		if lateRequests := w.MaxArrivals(announced.Add(shutdownGracePeriod), time.Minute); lateRequests > 0 {
			t.Errorf("%s received %d requests more than %v after all gateways learned of its shutdown", s.ID(w), lateRequests, shutdownGracePeriod)
		}
	}
}

// The store refuses one of two gateways and serves the other, which is killed and
// restarted. Both must stop sending to a worker that shuts down: one learns of it from
// responses alone, the other from the store alone.
func TestPartitionedGatewayStopsUsingWorkerShuttingDown(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 3, EventDelay: 10 * time.Millisecond})
	partitioned, restarted := newGateway(t, s, "front-1"), newGateway(t, s, "front-2")
	stop := make(chan struct{})
	lookups := startLoad([]*process{partitioned, partitioned, partitioned}, 20*time.Millisecond, stop, "look", (*process).lookup)
	sleep(500 * time.Millisecond)
	s.SetStoreBlocked("front-1", true)
	s.PlainWorkers[0].AnnounceShutdown()
	s.WriteWorkerRow(s.PlainWorkers[0], "draining")
	eventually(t, "the gateway learns of the shutdown", func() bool { return len(partitioned.log("worker leaves", s.ID(s.PlainWorkers[0]))) > 0 })
	announced := time.Now()
	restarted.kill()
	restarted.start()
	restarted.waitReady()
	sleep(time.Until(announced.Add(shutdownGracePeriod)))
	lookupsAfterRestart := startLoad([]*process{restarted, restarted, restarted}, 20*time.Millisecond, stop, "again", (*process).lookup)
	sleep(time.Second)
	close(stop)
	for kind, result := range map[string]*loadResult{"look": lookups(), "again": lookupsAfterRestart()} {
		if result.failed > 0 || result.succeeded < 20 {
			t.Errorf("%s: %d succeeded, %d failed, last failure %+v", kind, result.succeeded, result.failed, result.lastFailure)
		}
	}
	if lateRequests := s.PlainWorkers[0].MaxArrivals(announced.Add(shutdownGracePeriod), time.Minute); lateRequests > 0 {
		t.Errorf("the worker received %d requests more than %v after the gateway learned of its shutdown", lateRequests, shutdownGracePeriod)
	}
}
