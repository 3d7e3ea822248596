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

// Paths of the test routes.
const (
	postRoute   = "/post/"
	lookupRoute = "/look/"
	longRoute   = "/long/?tokens=9000,104"
	chatRoute   = "/chat/?tokens=220,400"
)

// manyRetries is a retry budget that no test exhausts.
const manyRetries = 1000

func testTable(version int64) *routes.Table { return routes.NewTable(testConfig(version)) }

func testConfig(version int64) kumquatlug.OperatorConfig {
	route := func(c kumquatlug.RouteConfig) kumquatlug.Route {
		c.Host, c.Name, c.LatencyTarget = "h", c.Prefix, 200
		if c.Timeout == 0 {
			c.Timeout = 1500
		}
		return kumquatlug.NewRoute(c)
	}
	engines, desk := []kumquatlug.WeightedService{{Service: "engines", Weight: 1}}, []kumquatlug.WeightedService{{Service: "desk", Weight: 1}}
	return kumquatlug.OperatorConfig{
		Version: version,
		Routes: []kumquatlug.Route{
			route(kumquatlug.RouteConfig{Prefix: postRoute, RetryPolicy: kumquatlug.RetryNever, Services: desk, MaxWorkers: 1}),
			route(kumquatlug.RouteConfig{Prefix: lookupRoute, RetryPolicy: kumquatlug.RetryIdempotent, Services: desk, MaxWorkers: 2}),
			route(kumquatlug.RouteConfig{Prefix: "/long/", Stream: true, Resumable: true, HasPrompts: true, Services: engines, MaxWorkers: 2}),
			route(kumquatlug.RouteConfig{Prefix: "/chat/", Stream: true, HasPrompts: true, Services: engines, MaxWorkers: 1, Priority: 1}),
		},
		Services: []kumquatlug.Service{
			kumquatlug.NewService(kumquatlug.ServiceConfig{Name: "engines", Engine: true, Slots: 8, KVCapacityTokens: 370_000}),
			kumquatlug.NewService(kumquatlug.ServiceConfig{Name: "desk"}),
		},
	}
}

// A worker that is full refuses a request and states that it did not run it. The request
// must go to another worker even if it may run only once.
func TestRefusedAttemptIsRetried(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
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

// The response to a POST is lost. The request may have run, so that it must not be
// retried, and the response to the client must not state that it did not run.
func TestLostPostIsNotRetried(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return kumquatlug.WorkerResponse{}, lostConnection()
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, postRoute)
	if response.status != http.StatusBadGateway || len(w.recorded()) != 1 {
		t.Errorf("status %d after %d attempts", response.status, len(w.recorded()))
	}
}

// The response to a POST breaks off in the middle. The client must not receive the part
// as a complete response, but a failure that leaves open whether the request ran.
func TestTruncatedPostFails(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return truncatedResponse("hal", 10), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, postRoute)
	if response.status != http.StatusBadGateway || len(w.recorded()) != 1 {
		t.Errorf("%+v after %d attempts", response, len(w.recorded()))
	}
}

// A lookup fails at its worker by an error, a truncated response or a timeout. It may
// run again, so that another worker must serve it.
func TestLookupIsRetried(t *testing.T) {
	for name, first := range map[string]func(context.Context) (kumquatlug.WorkerResponse, error){
		"lost": func(context.Context) (kumquatlug.WorkerResponse, error) {
			return kumquatlug.WorkerResponse{}, lostConnection()
		},
		"error": func(context.Context) (kumquatlug.WorkerResponse, error) { return wholeResponse(500, "no"), nil },
		"cut":   func(context.Context) (kumquatlug.WorkerResponse, error) { return truncatedResponse("hal", 10), nil },
		"silent": func(ctx context.Context) (kumquatlug.WorkerResponse, error) {
			<-ctx.Done()
			return kumquatlug.WorkerResponse{}, lostConnection()
		},
	} {
		w := &fakeWorkers{run: func(ctx context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
			if n == 1 {
				return first(ctx)
			}
			return wholeResponse(200, "done"), nil
		}}
		response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodGet, lookupRoute)
		if response.status != 200 || response.body != "done" || len(w.recorded()) != 2 {
			t.Errorf("%s: %+v after %d attempts", name, response, len(w.recorded()))
		}
	}
}

// All gateways share a retry budget. If retries continued beyond it, a failing service
// would get more load the more it fails.
func TestRetriesStopAtBudget(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return refusedResponse(), nil
	}}
	f := newTestGateway(t, w, 2)
	for range 10 {
		response := f.do(context.Background(), http.MethodPost, postRoute)
		if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
			t.Errorf("%+v", response)
		}
	}
	if n := len(w.recorded()); n > 10+3 {
		t.Errorf("%d attempts for 10 requests with 3 retries", n)
	}
}

// A stream breaks off in the middle of an event. If the route allows it, another engine
// continues after the last complete event, and the client receives one stream.
func TestTruncatedStreamResumes(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n == 1 {
			return truncatedResponse(events(1, 2)+"id: 3\nda", -1), nil
		}
		if c.options.LastEventID != 2 {
			t.Errorf("resumed after event %d, want 2", c.options.LastEventID)
		}
		return streamResponse(3, 5), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, longRoute)
	if response.err != nil || response.body != events(1, 5) {
		t.Errorf("%+v", response)
	}
}

// A stream that can't be resumed breaks off. The connection to the client must be
// aborted: ended properly, the partial stream would look complete.
func TestTruncatedStreamIsAborted(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return truncatedResponse(events(1, 2), -1), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, chatRoute)
	if response.err == nil {
		t.Errorf("%+v looks complete", response)
	}
	if n := len(w.recorded()); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// A worker sends nothing until the route's timeout. The client must then receive a final
// response that states whether the request may have run.
func TestRouteTimeout(t *testing.T) {
	silent := func(ctx context.Context) error { <-ctx.Done(); return lostConnection() }
	w := &fakeWorkers{
		run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
			return kumquatlug.WorkerResponse{}, silent(ctx)
		},
		prefill: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
			return kumquatlug.KVCacheRef{}, kumquatlug.WorkerResponse{}, silent(ctx)
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

// The client disconnects. The attempt at the worker must be canceled within half a
// second, so that the worker does not compute an unused response.
func TestClientDisconnectCancelsWorker(t *testing.T) {
	canceled := make(chan struct{})
	w := &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		<-ctx.Done()
		close(canceled)
		return kumquatlug.WorkerResponse{}, lostConnection()
	}}
	f := newTestGateway(t, w, manyRetries)
	ctx, cancel := context.WithCancel(context.Background())
	disconnect := time.AfterFunc(50*time.Millisecond, cancel)
	defer disconnect.Stop()
	f.do(ctx, http.MethodPost, postRoute)
	select {
	case <-canceled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the attempt was not canceled")
	}
	<-time.After(20 * time.Millisecond)
	if n := len(w.recorded()); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// A gateway that has just started has no config and can't determine which routes exist.
// Its refusal must state that nothing ran and when to retry.
func TestNoConfigIsUnavailable(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, 0)
	f.g.table.Store(nil)
	response := f.do(context.Background(), http.MethodGet, "/none/")
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("%+v", response)
	}
	if f.g.ready() {
		t.Error("the gateway reports that it is ready")
	}
	f.g.table.Store(testTable(1))
	if response := f.do(context.Background(), http.MethodGet, "/none/"); response.status != http.StatusNotFound {
		t.Errorf("%+v", response)
	}
}

// A gateway that is shutting down receives a long stream, which it could not complete.
// It must refuse the stream at once, so that another gateway can serve it in time.
func TestGatewayThatShutsDownRefusesLongRequests(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return streamResponse(1, 2), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 2000))
	response := f.do(context.Background(), http.MethodPost, "/chat/?tokens=220,9000")
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("%+v", response)
	}
	if response := f.do(context.Background(), http.MethodPost, chatRoute); response.status != 200 {
		t.Errorf("short request: %+v", response)
	}
	if f.g.ready() {
		t.Error("the gateway reports that it is ready")
	}
}

// No worker is left. The client must be refused at once, not at its deadline.
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

// All workers of a service except one are being replaced, and the remaining one responds
// to one lookup in seven with an error. A retry at the same worker succeeds.
func TestLookupIsRetriedOnOnlyWorker(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		if n == 1 {
			return wholeResponse(500, "no"), nil
		}
		return wholeResponse(200, "done"), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": {member("s1", "")}})
	if response := f.do(context.Background(), http.MethodGet, lookupRoute); response.status != 200 || len(w.recorded()) != 2 {
		t.Errorf("%+v after %d attempts", response, len(w.recorded()))
	}
}

// The only remaining worker refuses because it is full. An immediate retry would be
// refused again and would use the retry budget, so that the client gets a Retry-After.
func TestOnlyWorkerIsNotRetriedAfterRefusal(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return refusedResponse(), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": {member("s1", "")}})
	response := f.do(context.Background(), http.MethodGet, lookupRoute)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" || len(w.recorded()) != 1 {
		t.Errorf("%+v after %d attempts", response, len(w.recorded()))
	}
}

// A gateway that is shutting down accepts a request that it can just complete. The
// prefill engine fails, the attempt is repeated, and then too little time is left. If
// the output were started, it would break off at the exit; the request has not run yet,
// so that another gateway can still serve it.
func TestGatewayThatShutsDownStartsNoLateOutput(t *testing.T) {
	for _, engineFails := range []bool{true, false} {
		w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			return streamResponse(1, 2), nil
		}}
		f := newTestGateway(t, w, manyRetries)
		f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 10_000))
		w.prefill = func(_ context.Context, n int, _ workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
			f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 100))
			if engineFails && n == 1 {
				return kumquatlug.KVCacheRef{}, kumquatlug.WorkerResponse{}, errors.New("the engine is lost")
			}
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
		}
		response := f.do(context.Background(), http.MethodPost, longRoute)
		if response.status != http.StatusServiceUnavailable || response.header.Get("Ran") != string(kumquatlug.NotExecuted) {
			t.Errorf("engine lost %v: %+v", engineFails, response)
		}
		for _, c := range w.recorded() {
			if !c.prefill {
				t.Errorf("engine lost %v: the output was started", engineFails)
			}
		}
	}
}

// A gateway that is shutting down accepts a request, and its prefill takes longer than
// expected. At the exit, the connection would close without a response, and the client
// could not determine whether it may retry. It must be refused before, while another
// gateway can still serve it.
func TestGatewayThatShutsDownRespondsBeforeExit(t *testing.T) {
	w := &fakeWorkers{}
	f := newTestGateway(t, w, manyRetries)
	f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 10_000))
	w.prefill = func(ctx context.Context, n int, _ workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
		if n == 1 {
			// Most of the ten seconds have passed.
			f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 700))
			return kumquatlug.KVCacheRef{}, kumquatlug.WorkerResponse{}, errors.New("the engine is lost")
		}
		<-ctx.Done()
		return kumquatlug.KVCacheRef{}, kumquatlug.WorkerResponse{}, ctx.Err()
	}
	response := f.do(context.Background(), http.MethodPost, longRoute)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Ran") != string(kumquatlug.NotExecuted) {
		t.Errorf("%+v", response)
	}
	if now, exit := f.g.c.Clock.Now(), kumquatlug.Millis(f.g.exitAt.Load()); now >= exit {
		t.Errorf("response %d ms after the exit time", now-exit)
	}
}
