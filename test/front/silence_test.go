package front

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Workers pause under load and go on, when a gateway has no retries left or no other worker for what it would
// repeat. Guards against responses that the gateway cuts or fails although their worker completes them in time.
func TestPausedWorkersCutNoResponse(t *testing.T) {
	const pause = 900 * time.Millisecond
	for name, c := range map[string]struct {
		minRetries int
		// begin starts the pauses. Workers 0 to 3 prefill, 4 and 5 decode, 6 and 7 are plain.
		begin func(workers []*fleet.Worker)
	}{
		"retries used up": {1, func(w []*fleet.Worker) {
			for i := range 4 {
				w[4+i%2].Pause(pause)
				sleep(pause + 100*time.Millisecond)
			}
		}},
		"other engine refuses": {0, func(w []*fleet.Worker) {
			w[5].SetFault(fleet.FaultReject)
			w[4].Pause(pause)
		}},
		"other plain worker refuses": {0, func(w []*fleet.Worker) {
			w[7].SetFault(fleet.FaultReject)
			w[6].Pause(pause)
		}},
		"all decode engines pause": {0, func(w []*fleet.Worker) {
			w[4].Pause(pause)
			sleep(100 * time.Millisecond)
			w[5].Pause(pause)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, site.Config{PrefillEngines: 4, DecodeEngines: 2, PlainWorkers: 2, Events: soakEvents, EventDelay: 15 * time.Millisecond, MinRetries: c.minRetries})
			p := newGateway(t, s, "front-1")
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for n, kind := range []string{"long", "chat", "look", "post", "long", "chat", "look", "post", "long", "long", "long", "long"} {
				clients.Go(func() { requirePausedResponses(t, p, kind, n, stop) })
			}
			// The gateway has served a few requests of each kind before.
			sleep(2500 * time.Millisecond)
			c.begin(append(s.Engines, s.PlainWorkers...))
			sleep(pause)
			close(stop)
			clients.Wait()
		})
	}
}

// requirePausedResponses sends requests of a kind until stop is closed. Each must be complete or refused.
func requirePausedResponses(t *testing.T, p *process, kind string, client int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		r := &soakRequest{id: fmt.Sprintf("%s-%d-%d", kind, client, i), kind: kind}
		began := time.Now()
		r.response = p.do(context.Background(), http.MethodPost, soakPaths[kind]+"x", r.id, r.headers())
		if r.refused() || r.err == nil && r.status == http.StatusOK && r.body == r.expected() {
			continue
		}
		// The gateway logs the request before or just after its response ends.
		sleep(50 * time.Millisecond)
		t.Errorf("%s after %v: status %d, error %v, %d bytes; %q", r.id, time.Since(began), r.status, r.err, len(r.body), p.log(`"`+r.id+`"`))
	}
}
