package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// shuttingDownResponse returns the response r with the announcement of a shutdown.
func shuttingDownResponse(r kumquatlug.WorkerResponse) kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: r.Status(), Header: r.Header(), Length: r.Length(), Body: r.Body(), Refused: r.Refused(), ShuttingDown: true,
	})
}

// memberStates returns the state of each worker by name.
func (w *watchHarness) memberStates() map[string]kumquatlug.MemberState {
	states := map[string]kumquatlug.MemberState{}
	for _, members := range w.g.members.Load().byService {
		for _, m := range members {
			states[m.Worker.ID()] = m.State
		}
	}
	return states
}

// A worker announced its shutdown. The store returns its old row after an outage, loses
// it and returns it again. If the row readmitted the worker, it would get requests until
// it exits.
func TestOldRowDoesNotReadmitWorkerThatShutsDown(t *testing.T) {
	w := newWatchHarness()
	w.poll()
	w.g.shuttingDownWorkers.note(w.now.Now(), "a", 0)
	w.g.republish()
	read := func() {
		w.feed.version++
		w.watcher.synced = false
		w.now.Advance(10 * kumquatlug.Second)
		w.poll()
	}
	want := func(when string) {
		t.Helper()
		if got := w.memberStates(); got["a"] != kumquatlug.MemberDraining || got["b"] != kumquatlug.MemberReady {
			t.Errorf("%s: %v", when, got)
		}
	}
	want("immediately")
	read()
	want("after its row was read again")
	row := w.feed.rows["a"]
	delete(w.feed.rows, "a")
	read()
	w.feed.rows["a"] = row
	read()
	want("after its row was removed and restored")
}

// A worker restarts under its name. If it were taken for the incarnation that shut down,
// it would stay unused.
func TestRestartedWorkerIsReady(t *testing.T) {
	d := newShuttingDownWorkers()
	d.note(0, "a", 100)
	restarted := member("a", "")
	restarted.StartedAt = 200
	members := []kumquatlug.Member{restarted}
	d.mark(0, members)
	if members[0].State != kumquatlug.MemberReady {
		t.Errorf("%+v", members[0])
	}
}

// Any response of a worker may announce its shutdown: a success, a refusal, an error or
// a prefill. The next request must go elsewhere, and be refused at once if there is no
// other worker.
func TestAnyResponseMayAnnounceShutdown(t *testing.T) {
	for name, response := range map[string]func() kumquatlug.WorkerResponse{
		"success": func() kumquatlug.WorkerResponse { return wholeResponse(http.StatusOK, "done") }, "refusal": refusedResponse,
		"failure": func() kumquatlug.WorkerResponse { return wholeResponse(http.StatusInternalServerError, "") },
	} {
		w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			return shuttingDownResponse(response()), nil
		}}
		f := newTestGateway(t, w, manyRetries)
		for range 2 {
			f.do(context.Background(), http.MethodPost, postRoute)
		}
		got := f.do(context.Background(), http.MethodPost, postRoute)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Ran") != "not-run" || got.duration > time.Second {
			t.Errorf("%s: %+v", name, got)
		}
		sent := map[string]int{}
		for _, c := range w.recorded() {
			sent[c.worker]++
		}
		if sent["s1"] != 1 || sent["s2"] != 1 {
			t.Errorf("%s: sent %v", name, sent)
		}
	}
	w := &fakeWorkers{
		run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			return streamResponse(1, 2), nil
		},
		prefill: func(context.Context, int, workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), shuttingDownResponse(wholeResponse(http.StatusOK, "")), nil
		},
	}
	// Without a cost of transfers, prompts are prefilled at the decode engines only when no
	// prefill engine is left, however fast or slow the first prefill looked.
	f := newTestGatewayWithPlacement(t, w, manyRetries, placement.Config{TransferCostMs: 1e-9})
	for range 4 {
		f.do(context.Background(), http.MethodPost, longRoute)
	}
	prefills := map[string]int{}
	for _, c := range w.recorded() {
		if c.prefill {
			prefills[c.worker]++
		}
	}
	if len(prefills) != 2 || prefills["p1"] != 1 || prefills["p2"] != 1 {
		t.Errorf("prefills: %v", prefills)
	}
}
