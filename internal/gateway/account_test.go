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

// tableWithKeys returns a table whose accounts have these keys, by key.
func tableWithKeys(t *testing.T, version int64, accounts map[string]string) *routes.Table {
	t.Helper()
	c := testConfig(version)
	c.Keyed = true
	rank := 2
	for key, name := range accounts {
		caller, err := kumquatlug.NewCaller(kumquatlug.CallerConfig{Name: name, KeyHash: kumquatlug.HashKey(key), Priority: &rank})
		if err != nil {
			t.Fatal(err)
		}
		c.Accounts = append(c.Accounts, caller)
	}
	c.Routes = append(c.Routes, kumquatlug.NewRoute(kumquatlug.RouteConfig{
		Host: "h", Name: "open", Prefix: "/open/", Public: true, Repeat: kumquatlug.RepeatFree, Workers: 1, Timeout: 1500,
		Shares: []kumquatlug.Share{{Service: "desk", Weight: 1}},
	}))
	return routes.NewTable(c)
}

func newGatewayWithKeys(t *testing.T, w *fakeWorkers) *testGateway {
	f := newTestGateway(t, w, manyRetries)
	f.g.table.Store(tableWithKeys(t, 7, map[string]string{"k1": "north"}))
	f.g.configConfirmedAt.Store(int64(f.g.c.Awake.Now()))
	return f
}

func respondingWorkers() *fakeWorkers {
	return &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) {
		return wholeResponse(200, "done"), nil
	}}
}

// Without a key, with two or with one that nobody has a request is none of a client;
// run all the same it would be billed to somebody.
func TestUnknownKeysAreDenied(t *testing.T) {
	w := respondingWorkers()
	f := newGatewayWithKeys(t, w)
	for _, keys := range [][]string{nil, {"k1", "k1"}, {"k2"}} {
		response := f.do(t.Context(), http.MethodPost, postRoute, keys...)
		if response.status != http.StatusUnauthorized || response.header.Get("Ran") != string(kumquatlug.RanNot) {
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
		t.Errorf("a route for all: %+v", response)
	}
	if calls := w.recorded(); len(calls) != 2 || calls[0].request.Account() != "north" || calls[1].request.Account() != "" {
		t.Errorf("sent %+v", calls)
	}
}

// An account has a rank of its own. Ranked by their routes, its requests would go
// before those of accounts that the operator put first.
func TestAccountPriorityOverridesRoutePriority(t *testing.T) {
	w := respondingWorkers()
	f := newGatewayWithKeys(t, w)
	f.do(t.Context(), http.MethodPost, postRoute, "k1")
	f.do(t.Context(), http.MethodGet, "/open/")
	if calls := w.recorded(); calls[0].options.Urgency != priorityOnTime+2 || calls[1].options.Urgency != priorityOnTime {
		t.Errorf("urgencies %d and %d", calls[0].options.Urgency, calls[1].options.Urgency)
	}
}

// While a prompt is read its client's key is taken away, or goes to another account.
// Begun all the same its output would run for a client that has no right to it, or be
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
		w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return streamResponse(1, 3), nil }}
		f := newGatewayWithKeys(t, w)
		w.prefill = func(context.Context, int, workerCall) (kumquatlug.KVCache, kumquatlug.Reply, error) {
			f.g.table.Store(tableWithKeys(t, 8, c.now))
			return kumquatlug.NewKVCache("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
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

// A key is taken away while its client reads a stream that breaks off. The client
// had a right to the answer when it began; broken off it would look like a fault.
func TestStartedResponseOutlivesItsKey(t *testing.T) {
	w := &fakeWorkers{}
	f := newGatewayWithKeys(t, w)
	w.run = func(_ context.Context, n int, _ workerCall) (kumquatlug.Reply, error) {
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

// A front is cut off from the store while the operator adds a key. A client does not
// come back after a denial; sent to another front it is served at once.
func TestStaleGatewayDeniesWithRetry(t *testing.T) {
	f := newGatewayWithKeys(t, respondingWorkers())
	f.g.c.ConfigSpan = 2000
	f.g.configConfirmedAt.Store(int64(f.g.c.Awake.Now() - 2500))
	if response := f.do(t.Context(), http.MethodPost, "/added/", "k1"); response.status != http.StatusNotFound {
		t.Errorf("a route that is not there, at a quiet store: %+v", response)
	}
	f.g.configConfirmedAt.Store(int64(f.g.c.Awake.Now() - 3600))
	for path, key := range map[string]string{postRoute: "k2", "/added/": "k1"} {
		response := f.do(t.Context(), http.MethodPost, path, key)
		if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" || response.header.Get("Ran") != string(kumquatlug.RanNot) {
			t.Errorf("%s with %s: %+v", path, key, response)
		}
	}
	if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != http.StatusOK {
		t.Errorf("a key that it knows: %+v", response)
	}
}

// Where keys must not outlast their taking away, a front that has not heard from the
// store for too long serves nobody by a key; elsewhere it goes on.
func TestStaleGatewayFailsClosed(t *testing.T) {
	for _, closed := range []bool{false, true} {
		w := respondingWorkers()
		f := newGatewayWithKeys(t, w)
		f.g.c.FailClosed, f.g.c.RevokeSpan, f.g.c.ConfigSpan = closed, 5000, 3000
		f.g.configConfirmedAt.Store(int64(f.g.c.Awake.Now() - 4500))
		if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != http.StatusOK {
			t.Errorf("closed %v, within the bound: %+v", closed, response)
		}
		f.g.configConfirmedAt.Store(int64(f.g.c.Awake.Now() - 5500))
		want, sent := http.StatusOK, 2
		if closed {
			want, sent = http.StatusServiceUnavailable, 1
		}
		if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != want {
			t.Errorf("closed %v, beyond it: %+v", closed, response)
		}
		if response := f.do(t.Context(), http.MethodGet, "/open/"); response.status != http.StatusOK {
			t.Errorf("closed %v, a route for all: %+v", closed, response)
		}
		if calls := w.recorded(); len(calls) != sent+1 {
			t.Errorf("closed %v: %d sent", closed, len(calls))
		}
	}
}

// A prompt that waits for its turn while the front falls out of touch is not begun
// either where the front fails closed.
func TestQueuedPromptFailsClosed(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return streamResponse(1, 3), nil }}
	f := newGatewayWithKeys(t, w)
	f.g.c.FailClosed, f.g.c.RevokeSpan = true, 5000
	var prompts atomic.Int32
	w.prefill = func(context.Context, int, workerCall) (kumquatlug.KVCache, kumquatlug.Reply, error) {
		prompts.Add(1)
		f.g.configConfirmedAt.Store(int64(f.g.c.Awake.Now() - 6000))
		return kumquatlug.NewKVCache("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
	}
	response := f.do(t.Context(), http.MethodPost, longRoute, "k1")
	if response.status != http.StatusServiceUnavailable || prompts.Load() != 1 || response.duration > time.Second {
		t.Errorf("%+v after %d prompts", response, prompts.Load())
	}
	for _, calls := range w.recorded() {
		if !calls.prefill {
			t.Error("the output was begun")
		}
	}
}

// A front that must fail closed can't reach the store, while another front that can says
// that the config in force is the newest. Both know as much, so that it serves on.
func TestPeersConfirmConfig(t *testing.T) {
	f := newGatewayWithKeys(t, respondingWorkers())
	f.g.c.FailClosed, f.g.c.RevokeSpan, f.g.c.Fronts = true, 5000, noPeers{}
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
		f.g.configConfirmedAt.Store(int64(f.g.c.Awake.Now() - 6000))
		f.g.ConfigHeard("front-2", c.state)
		if response := f.do(t.Context(), http.MethodPost, postRoute, "k1"); response.status != c.status {
			t.Errorf("%+v: %+v", c.state, response)
		}
	}
}

// statelessWorkers answers without keeping what was sent.
type statelessWorkers struct{ kumquatlug.Workers }

func (statelessWorkers) Run(context.Context, kumquatlug.Worker, kumquatlug.Ask, kumquatlug.Sending) (kumquatlug.Reply, error) {
	return wholeResponse(200, "done"), nil
}

// BenchmarkServe is what a request costs a front, with accounts and without.
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
		c.Keyed = keys > 0
		f.g.table.Store(routes.NewTable(c))
		f.g.configConfirmedAt.Store(int64(f.g.c.Awake.Now()))
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
