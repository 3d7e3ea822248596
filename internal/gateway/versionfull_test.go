package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/streamversion"
)

// Guards against a stream that is broken off as version_full, the reason of new streams, because it had waited for a full
// version before it began.
func TestStreamThatHasBegunIsNotRefusedAsVersionFull(t *testing.T) {
	f := newTestGateway(t, versionedEngines(0), manyRetries)
	service, _ := f.g.table.Load().Service("engines")
	r := &inflight{g: f.g, service: service, request: kumquatlug.NewRequest(kumquatlug.RequestConfig{ID: "new"})}
	for _, route := range testConfig(8).Routes {
		if route.Prefix() == "/long/" {
			r.route = route
		}
	}
	r.versionWait.full = true
	for begun, want := range map[bool]bool{false: true, true: false} {
		r.responseStarted = begun
		for _, failed := range []*attemptFailure{r.noWorkerFailure(placement.Choice{}), r.overloadFailure(placement.Choice{})} {
			if got := failed.failure.Reason() == reasonVersionFull; got != want {
				t.Errorf("begun %v: refused as %s", begun, failed.failure.Reason())
			}
		}
	}
}

// Guards against streams that nobody can take up after a loss of all gateways, because one new stream found the engine of
// its version full and left it, so that the ids of that version determine nothing. The streams at that engine are of this
// gateway, or of others before it has started.
func TestFullVersionStaysDetermined(t *testing.T) {
	for name, own := range map[string]bool{"streams of this gateway": true, "streams of others": false} {
		t.Run(name, func(t *testing.T) {
			running := false
			w := &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
				switch {
				case c.worker != "d4":
					return streamResponse(1, 4), nil
				case own && !running:
					running = true
					return pacedResponse(&pacedBody{ctx: ctx, next: 1, last: 500}), nil
				}
				return refusedResponse(), nil
			}}
			w.state = func() (kumquatlug.EngineState, error) {
				if own {
					return kumquatlug.EngineState{}, lostConnection()
				}
				return kumquatlug.EngineState{Role: kumquatlug.RoleDecode, Load: kumquatlug.NewWorkerLoad(8, 0, 8)}, nil
			}
			f := newTestGateway(t, w, manyRetries)
			f.setEngineVersions(map[string]string{"d1": "v1", "d2": "v1", "d3": "v1", "d4": "v2"})
			f.g.streamVersions.setMembers(f.g.members.Load().byService)
			f.beginEpoch(t, streamversion.Weights{"v1": 3, "v2": 1})
			f.g.c.Table.(*sharedTable).advance(2 * kumquatlug.Second)
			var ids []string
			for n := 0; len(ids) < 4; n++ {
				if id := fmt.Sprint("new-", n); f.g.streamVersions.selectVersion("engines", id) == "v2" {
					ids = append(ids, id)
				}
			}
			if own {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.doWith(ctx, http.MethodPost, longRoute, http.Header{"Id": {ids[0]}})
				<-time.After(100 * time.Millisecond)
			}
			for _, id := range ids[1:] {
				if got := f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{"Id": {id}}); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
					t.Errorf("%s: status %d, Retry-After %q", id, got.status, got.header.Get("Retry-After"))
				}
			}
			for _, id := range ids {
				if got := f.g.streamVersions.determined(t.Context(), "engines", id); got != "v2" {
					t.Errorf("the listing determines %q for %s, want v2", got, id)
				}
			}
		})
	}
}

// Guards against streams that nobody can take up after a loss of all gateways, because one prompt under quarantine began at
// the only version that may run it, so that the ids of the version which the listing selects for it determine nothing.
func TestQuarantinedPromptLeavesOtherIDsDetermined(t *testing.T) {
	const streams = 400
	fleet := newVersionFleet(t, versionedEngines(0), fourEngines)
	a := fleet.gateways["a"]
	a.g.streamVersions.prepare(t.Context(), "engines", "other")
	id := "stream"
	for n := 0; a.g.streamVersions.selectVersion("engines", id) != "v2"; n++ {
		id = fmt.Sprint("stream-", n)
	}
	a.g.crashes.evidence.Receive(a.g.c.Clock.Now(), kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{{
		Service: "engines", Identities: []string{quarantine.PartIdentity("shared")}, Versions: []string{"v2"}, Served: []string{"v1"}, Revision: 1,
	}}})
	if got := a.doWith(t.Context(), http.MethodPost, longRoute+"?tokens=30,1000", http.Header{"Id": {id}}); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	determined := 0
	for n := range streams {
		if a.g.streamVersions.determined(t.Context(), "engines", fmt.Sprint("other-", n)) != "" {
			determined++
		}
	}
	if got := a.g.streamVersions.determined(t.Context(), "engines", id); got != "" || determined < streams*95/100 {
		t.Errorf("%q is determined for the stream, and a version for %d of %d others", got, determined, streams)
	}
}
