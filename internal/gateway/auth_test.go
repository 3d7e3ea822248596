package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// tableWithKeys returns a table whose accounts have these keys; the map is from key to
// account name.
func tableWithKeys(t *testing.T, version int64, accounts map[string]string) *routes.Table {
	t.Helper()
	c := testConfig(version)
	c.KeysRequired = true
	rank := 2
	for key, name := range accounts {
		caller, err := kumquatlug.NewCaller(kumquatlug.CallerConfig{Name: name, KeyHash: kumquatlug.HashKey(key), Priority: &rank})
		if err != nil {
			t.Fatal(err)
		}
		c.Accounts = append(c.Accounts, caller)
	}
	c.Routes = append(c.Routes, kumquatlug.NewRoute(kumquatlug.RouteConfig{
		Host: "h", Name: "open", Prefix: "/open/", Public: true, RetryPolicy: kumquatlug.RetryIdempotent, MaxWorkers: 1, Timeout: 1500,
		Services: []kumquatlug.WeightedService{{Service: "desk", Weight: 1}},
	}))
	return routes.NewTable(c)
}

func newGatewayWithKeys(t *testing.T, w *fakeWorkers) *testGateway {
	f := newTestGateway(t, w, manyRetries)
	f.g.table.Store(tableWithKeys(t, 7, map[string]string{"k1": "north"}))
	f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now()))
	return f
}

func respondingWorkers() *fakeWorkers {
	return &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if path := c.request.Path(); path == "/chat/" || path == "/long/" {
			return streamResponse(1, 2), nil
		}
		return wholeResponse(200, "done"), nil
	}}
}

// Checks that requests without a key, with two keys or with an unknown key do not run:
// they belong to no account, and would be billed to another one.
func TestUnknownKeysAreDenied(t *testing.T) {
	w := respondingWorkers()
	f := newGatewayWithKeys(t, w)
	for _, keys := range [][]string{nil, {"k1", "k1"}, {"k2"}} {
		response := f.do(t.Context(), http.MethodPost, postRoute, keys...)
		if response.status != http.StatusUnauthorized || response.header.Get("Ran") != string(kumquatlug.NotExecuted) {
			t.Errorf("%q: %+v", keys, response)
		}
	}
	if calls := w.recorded(); len(calls) != 0 {
		t.Fatalf("sent %+v", calls)
	}
	if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != http.StatusOK {
		t.Errorf("%+v", response)
	}
	if response := f.do(t.Context(), http.MethodGet, "/open/"); response.status != http.StatusOK {
		t.Errorf("public route: %+v", response)
	}
	if calls := w.recorded(); len(calls) != 2 || calls[0].request.Account() != "north" || calls[1].request.Account() != "" {
		t.Errorf("sent %+v", calls)
	}
}

// An account's priority takes precedence over that of the route. Otherwise its requests
// would go before those of accounts that the operator ranked higher.
func TestAccountPriorityOverridesRoutePriority(t *testing.T) {
	w := respondingWorkers()
	f := newGatewayWithKeys(t, w)
	f.do(t.Context(), http.MethodPost, postRoute, "k1")
	f.do(t.Context(), http.MethodGet, "/open/")
	if calls := w.recorded(); calls[0].options.Priority != priorityOnTime+2 || calls[1].options.Priority != priorityOnTime {
		t.Errorf("priorities %d and %d", calls[0].options.Priority, calls[1].options.Priority)
	}
}

// A key is revoked or moves to another account while the prompt is prefilled. If the
// output were started with the old key, it would run for a client without access, or be
// billed to the wrong account.
func TestRevokedKeyStartsNothing(t *testing.T) {
	for _, c := range []struct {
		now    map[string]string
		status int
		runs   int
	}{
		{map[string]string{"k2": "north"}, http.StatusUnauthorized, 0},
		{map[string]string{"k1": "south"}, http.StatusOK, 1},
	} {
		w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			return streamResponse(1, 3), nil
		}}
		f := newGatewayWithKeys(t, w)
		w.prefill = func(context.Context, int, workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
			f.g.table.Store(tableWithKeys(t, 8, c.now))
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
		}
		response := f.do(t.Context(), http.MethodPost, longRoute, "k1")
		if response.status != c.status {
			t.Errorf("%v: %+v", c.now, response)
		}
		runs := 0
		for _, calls := range w.recorded() {
			if calls.prefill {
				continue
			}
			runs++
			if calls.request.Account() != "south" {
				t.Errorf("%v: run for %q", c.now, calls.request.Account())
			}
		}
		if runs != c.runs {
			t.Errorf("%v: %d runs", c.now, runs)
		}
	}
}

// A key is revoked while its client receives a stream that breaks off. The client was
// entitled to the response when it started, so that the stream must resume.
func TestStartedResponseOutlivesItsKey(t *testing.T) {
	w := &fakeWorkers{}
	f := newGatewayWithKeys(t, w)
	w.run = func(_ context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		if n == 1 {
			f.g.table.Store(tableWithKeys(t, 8, nil))
			return truncatedResponse(events(1, 2), -1), nil
		}
		return streamResponse(3, 5), nil
	}
	response := f.do(t.Context(), http.MethodPost, longRoute, "k1")
	if response.err != nil || response.body != events(1, 5) {
		t.Errorf("%+v", response)
	}
}

// A gateway is partitioned from the store while the operator adds a key. Clients do not
// retry after a denial; after a 503 they retry at another gateway, which serves them.
func TestStaleGatewayDeniesWithRetry(t *testing.T) {
	f := newGatewayWithKeys(t, respondingWorkers())
	f.g.c.MaxConfigDelay = 2000
	f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now() - 2500))
	if response := f.do(t.Context(), http.MethodPost, "/added/", "k1"); response.status != http.StatusNotFound {
		t.Errorf("unknown route, recent confirmation: %+v", response)
	}
	f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now() - 3600))
	for path, key := range map[string]string{postRoute: "k2", "/added/": "k1"} {
		response := f.do(t.Context(), http.MethodPost, path, key)
		if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" || response.header.Get("Ran") != string(kumquatlug.NotExecuted) {
			t.Errorf("%s with %s: %+v", path, key, response)
		}
	}
	if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != http.StatusOK {
		t.Errorf("known key: %+v", response)
	}
}

// With FailClosed, a gateway without confirmation of its config for MaxRevocationDelay
// serves no request that needs a key, so that no key stays valid after its revocation.
// Otherwise it keeps serving.
func TestStaleGatewayFailsClosed(t *testing.T) {
	for _, closed := range []bool{false, true} {
		w := respondingWorkers()
		f := newGatewayWithKeys(t, w)
		f.g.c.FailClosed, f.g.c.MaxRevocationDelay, f.g.c.MaxConfigDelay = closed, 5000, 3000
		f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now() - 4500))
		if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != http.StatusOK {
			t.Errorf("fail closed %v, within MaxRevocationDelay: %+v", closed, response)
		}
		f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now() - 5500))
		want, sent := http.StatusOK, 2
		if closed {
			want, sent = http.StatusServiceUnavailable, 1
		}
		if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != want {
			t.Errorf("fail closed %v, after MaxRevocationDelay: %+v", closed, response)
		}
		if response := f.do(t.Context(), http.MethodGet, "/open/"); response.status != http.StatusOK {
			t.Errorf("fail closed %v, public route: %+v", closed, response)
		}
		if calls := w.recorded(); len(calls) != sent+1 {
			t.Errorf("fail closed %v: %d attempts", closed, len(calls))
		}
	}
}

// A prompt that is queued while the config of the gateway becomes stale must not be
// started with FailClosed.
func TestQueuedPromptFailsClosed(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return streamResponse(1, 3), nil
	}}
	f := newGatewayWithKeys(t, w)
	f.g.c.FailClosed, f.g.c.MaxRevocationDelay = true, 5000
	var prompts atomic.Int32
	w.prefill = func(context.Context, int, workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
		prompts.Add(1)
		f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now() - 6000))
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
	}
	response := f.do(t.Context(), http.MethodPost, longRoute, "k1")
	if response.status != http.StatusServiceUnavailable || prompts.Load() != 1 || response.duration > time.Second {
		t.Errorf("%+v after %d prefills", response, prompts.Load())
	}
	for _, calls := range w.recorded() {
		if !calls.prefill {
			t.Error("the output was started")
		}
	}
}

// A gateway with FailClosed can't reach the store, but a peer that can confirms that the
// config in force is the newest. The gateway must keep serving.
func TestPeersConfirmConfig(t *testing.T) {
	f := newGatewayWithKeys(t, respondingWorkers())
	f.g.c.FailClosed, f.g.c.MaxRevocationDelay, f.g.c.Peers = true, 5000, noLink{}
	f.g.configFetch.current.Store(&configCopy{version: 7})
	for _, c := range []struct {
		state  kumquatlug.ConfigState
		status int
	}{
		{kumquatlug.ConfigState{Version: 7, Age: 5500}, http.StatusServiceUnavailable},
		{kumquatlug.ConfigState{Version: 6, Age: 100}, http.StatusServiceUnavailable},
		{kumquatlug.ConfigState{Version: 8, Age: 100}, http.StatusServiceUnavailable},
		{kumquatlug.ConfigState{Version: 7, Age: 900}, http.StatusOK},
	} {
		f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now() - 6000))
		f.g.ConfigStateReceived("front-2", c.state)
		if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != c.status {
			t.Errorf("%+v: %+v", c.state, response)
		}
	}
}

// statelessWorkers responds without recording the calls.
type statelessWorkers struct{ kumquatlug.WorkerClient }

func (statelessWorkers) Run(context.Context, kumquatlug.Worker, kumquatlug.Request, kumquatlug.AttemptOptions) (kumquatlug.WorkerResponse, error) {
	return wholeResponse(200, "done"), nil
}

// BenchmarkServe measures the cost of a request to the gateway, with and without
// accounts.
func BenchmarkServe(b *testing.B) {
	for _, keys := range []int{0, 20_000} {
		f := newTestGateway(b, respondingWorkers(), manyRetries)
		f.g.c.Workers = statelessWorkers{f.workers}
		c := testConfig(8)
		for i := range keys {
			caller, err := kumquatlug.NewCaller(kumquatlug.CallerConfig{
				Name: fmt.Sprint("account-", i%740), KeyHash: kumquatlug.HashKey(fmt.Sprint("key-", i)),
			})
			if err != nil {
				b.Fatal(err)
			}
			c.Accounts = append(c.Accounts, caller)
		}
		c.KeysRequired = keys > 0
		f.g.table.Store(routes.NewTable(c))
		f.g.configConfirmedAt.Store(int64(f.g.c.BootClock.Now()))
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, postRoute, http.NoBody)
				r.Header["Secret"] = []string{"key-77"}
				response := httptest.NewRecorder()
				f.g.ServeHTTP(response, r)
				if response.Code != http.StatusOK {
					b.Fatal(response.Code)
				}
			}
		})
	}
}
