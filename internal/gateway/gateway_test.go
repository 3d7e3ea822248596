package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// Paths of the test's routes.
const (
	postRoute   = "/post/"
	lookupRoute = "/look/"
	longRoute   = "/long/?tokens=9000,104"
	chatRoute   = "/chat/?tokens=220,400"
)

// manyRetries is a budget that no test reaches.
const manyRetries = 1000

func testTable(version int64) *routes.Table { return routes.NewTable(testConfig(version)) }

func testConfig(version int64) kumquatlug.OperatorConfig {
	route := func(c kumquatlug.RouteConfig) kumquatlug.Route {
		c.Host, c.Name, c.Target = "h", c.Prefix, 200
		if c.Timeout == 0 {
			c.Timeout = 1500
		}
		return kumquatlug.NewRoute(c)
	}
	engines, desk := []kumquatlug.Share{{Service: "engines", Weight: 1}}, []kumquatlug.Share{{Service: "desk", Weight: 1}}
	return kumquatlug.OperatorConfig{
		Version: version,
		Routes: []kumquatlug.Route{
			route(kumquatlug.RouteConfig{Prefix: postRoute, Repeat: kumquatlug.RepeatNever, Shares: desk, Workers: 1}),
			route(kumquatlug.RouteConfig{Prefix: lookupRoute, Repeat: kumquatlug.RepeatFree, Shares: desk, Workers: 2}),
			route(kumquatlug.RouteConfig{Prefix: "/long/", Stream: true, Resumable: true, Prompted: true, Shares: engines, Workers: 2}),
			route(kumquatlug.RouteConfig{Prefix: "/chat/", Stream: true, Prompted: true, Shares: engines, Workers: 1, Priority: 1}),
		},
		Services: []kumquatlug.Service{
			kumquatlug.NewService(kumquatlug.ServiceConfig{Name: "engines", Engine: true, Slots: 8, Memory: 370_000}),
			kumquatlug.NewService(kumquatlug.ServiceConfig{Name: "desk"}),
		},
	}
}

// A worker refuses, as it is full, and says that it ran nothing. The request must
// go to another worker, also one that may run once only; its user would see an
// error for no reason.
func TestRefusedAttemptIsRetried(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, _ workerCall) (kumquatlug.Reply, error) {
		if n == 1 {
			return refusedResponse(), nil
		}
		return wholeResponse(200, "done"), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, postRoute)
	if response.status != 200 || response.body != "done" {
		t.Fatalf("%+v", response)
	}
	if calls := w.recorded(); len(calls) != 2 || calls[0].worker == calls[1].worker {
		t.Errorf("sent to %+v", calls)
	}
}

// The answer to a posting is lost. It may have run, so that it must not be sent
// again, and the user must not be told that it has not run.
func TestLostPostIsNotRetried(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) {
		return kumquatlug.Reply{}, lostConnection()
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, postRoute)
	if response.status != http.StatusBadGateway || len(w.recorded()) != 1 {
		t.Errorf("status %d after %d sendings", response.status, len(w.recorded()))
	}
}

// A posting's answer breaks off in the middle. The part that came must not reach
// the user as a whole answer; what they get is a failure that promises nothing.
func TestTruncatedPostFails(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) {
		return truncatedResponse("hal", 10), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, postRoute)
	if response.status != http.StatusBadGateway || len(w.recorded()) != 1 {
		t.Errorf("%+v after %d sendings", response, len(w.recorded()))
	}
}

// A look-up fails at its worker, by an error, a broken answer or silence. It may
// run again, so another worker answers it.
func TestLookupIsRetried(t *testing.T) {
	for name, first := range map[string]func(context.Context) (kumquatlug.Reply, error){
		"lost":  func(context.Context) (kumquatlug.Reply, error) { return kumquatlug.Reply{}, lostConnection() },
		"error": func(context.Context) (kumquatlug.Reply, error) { return wholeResponse(500, "no"), nil },
		"cut":   func(context.Context) (kumquatlug.Reply, error) { return truncatedResponse("hal", 10), nil },
		"silent": func(ctx context.Context) (kumquatlug.Reply, error) {
			<-ctx.Done()
			return kumquatlug.Reply{}, lostConnection()
		},
	} {
		w := &fakeWorkers{run: func(ctx context.Context, n int, _ workerCall) (kumquatlug.Reply, error) {
			if n == 1 {
				return first(ctx)
			}
			return wholeResponse(200, "done"), nil
		}}
		response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodGet, lookupRoute)
		if response.status != 200 || response.body != "done" || len(w.recorded()) != 2 {
			t.Errorf("%s: %+v after %d sendings", name, response, len(w.recorded()))
		}
	}
}

// All fronts share what may be sent beyond the first time. With nothing left, a
// failure is final; else a failing group gets more load the more it fails.
func TestRetriesStopAtBudget(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return refusedResponse(), nil }}
	f := newTestGateway(t, w, 3)
	for range 10 {
		response := f.do(context.Background(), http.MethodPost, postRoute)
		if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
			t.Errorf("%+v", response)
		}
	}
	if n := len(w.recorded()); n > 10+3 {
		t.Errorf("%d sendings for 10 requests with 3 repeats", n)
	}
}

// A stream is cut in the middle of an event. Where the kind allows it, another
// engine goes on behind the last whole event, and the user sees one stream.
func TestTruncatedStreamResumes(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.Reply, error) {
		if n == 1 {
			return truncatedResponse(events(1, 2)+"id: 3\nda", -1), nil
		}
		if c.options.Resume != 2 {
			t.Errorf("resumed behind event %d, want 2", c.options.Resume)
		}
		return streamResponse(3, 5), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, longRoute)
	if response.err != nil || response.body != events(1, 5) {
		t.Errorf("%+v", response)
	}
}

// A stream that may not go on elsewhere is cut. The user's connection must break
// off: ended properly, the half of it would look like the whole.
func TestTruncatedStreamIsAborted(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) {
		return truncatedResponse(events(1, 2), -1), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, chatRoute)
	if response.err == nil {
		t.Errorf("%+v looks whole", response)
	}
	if n := len(w.recorded()); n != 1 {
		t.Errorf("%d sendings", n)
	}
}

// A worker says nothing until the route's timeout. The user must have a final
// answer then: that the request may have run, or that it has not.
func TestRouteTimeout(t *testing.T) {
	silent := func(ctx context.Context) error { <-ctx.Done(); return lostConnection() }
	w := &fakeWorkers{
		run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.Reply, error) {
			return kumquatlug.Reply{}, silent(ctx)
		},
		prefill: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.KVCache, kumquatlug.Reply, error) {
			return kumquatlug.KVCache{}, kumquatlug.Reply{}, silent(ctx)
		},
	}
	f := newTestGateway(t, w, manyRetries)
	for path, status := range map[string]int{postRoute: http.StatusGatewayTimeout, chatPrefill: http.StatusServiceUnavailable} {
		response := f.do(context.Background(), http.MethodPost, path)
		if response.status != status || response.duration > 2*time.Second {
			t.Errorf("%s: status %d after %v, want %d after 1.5 s", path, response.status, response.duration, status)
		}
	}
}

// The client leaves. Its worker must be told within half a second, or it works
// for nobody while others wait.
func TestClientDisconnectCancelsWorker(t *testing.T) {
	stopped := make(chan struct{})
	w := &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.Reply, error) {
		<-ctx.Done()
		close(stopped)
		return kumquatlug.Reply{}, lostConnection()
	}}
	f := newTestGateway(t, w, manyRetries)
	ctx, cancel := context.WithCancel(context.Background())
	left := time.AfterFunc(50*time.Millisecond, cancel)
	defer left.Stop()
	f.do(ctx, http.MethodPost, postRoute)
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("the worker still works")
	}
	<-time.After(20 * time.Millisecond)
	if n := len(w.recorded()); n != 1 {
		t.Errorf("%d sendings", n)
	}
}

// A front has just started and knows no config. It can't tell which paths there
// are, so that a refusal must promise that nothing ran and say when to come back.
func TestNoConfigIsUnavailable(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, 0)
	f.g.table.Store(nil)
	response := f.do(context.Background(), http.MethodGet, "/none/")
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("%+v", response)
	}
	if f.g.ready() {
		t.Error("the front says that it is ready")
	}
	f.g.table.Store(testTable(1))
	if response := f.do(context.Background(), http.MethodGet, "/none/"); response.status != http.StatusNotFound {
		t.Errorf("%+v", response)
	}
}

// A front was told to stop and a long stream arrives. Begun here it would be cut
// off; refused at once, another front can still serve it in time.
func TestStoppingGatewayRefusesLongRequests(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return streamResponse(1, 2), nil }}
	f := newTestGateway(t, w, manyRetries)
	f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 2000))
	response := f.do(context.Background(), http.MethodPost, "/chat/?tokens=220,9000")
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("%+v", response)
	}
	if response := f.do(context.Background(), http.MethodPost, chatRoute); response.status != 200 {
		t.Errorf("a short one: %+v", response)
	}
	if f.g.ready() {
		t.Error("the front says that it is ready")
	}
}

// No worker is left. The user is told so at once, not at the end of their
// patience.
func TestNoWorkersRefusesAtOnce(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), nil)
	for _, path := range []string{postRoute, longRoute} {
		response := f.do(context.Background(), http.MethodPost, path)
		if response.status != http.StatusServiceUnavailable || response.duration > 500*time.Millisecond || response.header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v", path, response)
		}
	}
}

// Large bodies come faster than they are worked off. Kept without a bound they
// end the process for want of memory, and all other requests with it.
func TestTotalBodyBytesAreBounded(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	f.g.bodyBytes.Store(998)
	response := f.do(context.Background(), http.MethodPost, postRoute)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("%+v", response)
	}
	if n := f.g.bodyBytes.Load(); n != 998 {
		t.Errorf("%d bytes are counted after the refusal", n)
	}
}

// All workers of a service but one are being replaced, and the one that is left
// answers one look-up in seven with an error. Asked again it answers well; its
// users would see the error for want of another worker.
func TestLookupIsRetriedOnOnlyWorker(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, _ workerCall) (kumquatlug.Reply, error) {
		if n == 1 {
			return wholeResponse(500, "no"), nil
		}
		return wholeResponse(200, "done"), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": {member("s1", "")}})
	if response := f.do(context.Background(), http.MethodGet, lookupRoute); response.status != 200 || len(w.recorded()) != 2 {
		t.Errorf("%+v after %d sendings", response, len(w.recorded()))
	}
}

// The only worker that is left refuses, as it is full. Asked again at once it would
// refuse again, and each time is paid from the budget of repeats; the user is told
// to come back.
func TestOnlyWorkerIsNotRetriedAfterRefusal(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return refusedResponse(), nil }}
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": {member("s1", "")}})
	response := f.do(context.Background(), http.MethodGet, lookupRoute)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" || len(w.recorded()) != 1 {
		t.Errorf("%+v after %d sendings", response, len(w.recorded()))
	}
}

// A front was told to stop and takes a request that it can just end. The engine that
// reads its prompt is lost, the attempt is given up and made again, and by then too
// little time is left. Begun all the same, its answer is cut in the middle when the
// front leaves; nothing of it has run yet, so that another front can still answer.
func TestStoppingGatewayStartsNoLateOutput(t *testing.T) {
	for _, lost := range []bool{true, false} {
		w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return streamResponse(1, 2), nil }}
		f := newTestGateway(t, w, manyRetries)
		f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 10_000))
		w.prefill = func(_ context.Context, n int, _ workerCall) (kumquatlug.KVCache, kumquatlug.Reply, error) {
			f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 100))
			if lost && n == 1 {
				return kumquatlug.KVCache{}, kumquatlug.Reply{}, errors.New("the engine is lost")
			}
			return kumquatlug.NewKVCache("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
		}
		response := f.do(context.Background(), http.MethodPost, longRoute)
		if response.status != http.StatusServiceUnavailable || response.header.Get("Ran") != string(kumquatlug.RanNot) {
			t.Errorf("engine lost %v: %+v", lost, response)
		}
		for _, c := range w.recorded() {
			if !c.prefill {
				t.Errorf("engine lost %v: it was begun", lost)
			}
		}
	}
}

// A stopping front takes a request, and the engine reads its prompt for longer than
// anybody thought. When the front leaves, the connection ends without a word, and the
// client doesn't know whether it may ask again. It must be told before, while another
// front can still answer.
func TestStoppingGatewayRespondsBeforeExit(t *testing.T) {
	w := &fakeWorkers{}
	f := newTestGateway(t, w, manyRetries)
	f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 10_000))
	w.prefill = func(ctx context.Context, n int, _ workerCall) (kumquatlug.KVCache, kumquatlug.Reply, error) {
		if n == 1 {
			// Most of the ten seconds have passed.
			f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 700))
			return kumquatlug.KVCache{}, kumquatlug.Reply{}, errors.New("the engine is lost")
		}
		<-ctx.Done()
		return kumquatlug.KVCache{}, kumquatlug.Reply{}, ctx.Err()
	}
	response := f.do(context.Background(), http.MethodPost, longRoute)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Ran") != string(kumquatlug.RanNot) {
		t.Errorf("%+v", response)
	}
	if now, exit := f.g.c.Clock.Now(), kumquatlug.Millis(f.g.exitAt.Load()); now >= exit {
		t.Errorf("answered %d ms after the front left", now-exit)
	}
}
