package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A long prompt is prefilled on one engine and decoded on another, which gets the KV
// cache. The response of the prefill must not reach the client.
func TestLongPromptIsPrefilledOnAnotherEngine(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if c.options.Cache.Handle() != "h" {
			t.Errorf("attempt without the KV cache: %+v", c.options)
		}
		return streamResponse(1, 3), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, longRoute)
	if response.status != 200 || response.body != events(1, 3) {
		t.Fatalf("%+v", response)
	}
	if calls := w.recorded(); len(calls) != 2 || !calls[0].prefill || calls[0].worker[0] != 'p' || calls[1].worker[0] != 'd' {
		t.Errorf("%+v", calls)
	}
}

// Every prefill fails. The request has not run, whatever became of the prefills, and the
// response to the client must state so, with a Retry-After.
func TestFailedPrefillHasNotRun(t *testing.T) {
	w := &fakeWorkers{prefill: func(context.Context, int, workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
		return kumquatlug.KVCacheRef{}, kumquatlug.WorkerResponse{}, lostConnection()
	}, run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return refusedResponse(), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, chatPrefill)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" || response.header.Get("Ran") != "not-run" {
		t.Errorf("%+v", response)
	}
}

// chatPrefill is a request that may run once and has a prompt long enough for a separate
// prefill.
const chatPrefill = "/chat/?tokens=9000,400"

// A prompt was prefilled, and the engine that should take its KV cache refuses. The
// cache must be released; otherwise its engine lacks the memory for seconds.
func TestUnusedCacheIsReleased(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return refusedResponse(), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.releaseCaches(ctx)
	f.do(ctx, http.MethodPost, chatPrefill)
	for end := time.Now().Add(5 * time.Second); ; {
		w.mu.Lock()
		released := len(w.released)
		w.mu.Unlock()
		if released > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the KV cache was not released")
		}
		<-time.After(5 * time.Millisecond)
	}
}

// All streams of a failed engine, or of killed gateways, resume at the same time. Each
// has some thousand tokens to prefill. On decode engines, that would pause every other
// stream there, so that these prompts are prefilled separately like any long prompt.
func TestResumedStreamIsPrefilledOnAnotherEngine(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n == 1 {
			return truncatedResponse(events(1, 100), -1), nil
		}
		if c.options.Cache.Handle() == "" || c.options.LastEventID != 100 {
			t.Errorf("resumed with cache %q after event %d", c.options.Cache.Handle(), c.options.LastEventID)
		}
		return streamResponse(101, 102), nil
	}}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, "/long/?tokens=220,9000")
	if response.err != nil || response.body != events(1, 102) {
		t.Errorf("%d bytes, %v", len(response.body), response.err)
	}
	calls := w.recorded()
	if len(calls) != 3 || calls[0].prefill || !calls[1].prefill || calls[1].worker[0] != 'p' {
		t.Errorf("sent %+v", calls)
	}
}

// An engine crashes with hundreds of streams, and each resumes elsewhere. The first
// separate prefill of a prompt is not a retry. If it were counted as one, each stream
// would cost two retries, and half of them would break off for lack of budget.
func TestResumedStreamCostsOneRetry(t *testing.T) {
	const oneRetry = 1
	w := &fakeWorkers{run: func(_ context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		if n == 1 {
			return truncatedResponse(events(1, 100), -1), nil
		}
		return streamResponse(101, 102), nil
	}}
	response := newTestGateway(t, w, oneRetry).do(context.Background(), http.MethodPost, "/long/?tokens=220,9000")
	if response.err != nil || response.body != events(1, 102) {
		t.Errorf("%d bytes, %v", len(response.body), response.err)
	}
}

// A prompt is prefilled, its decode refused, and the KV cache lost. Prefilling it again
// is a retry, and so is a first prefill that was refused. If these were not counted, the
// workers would get more attempts than the budget allows.
func TestRepeatedPrefillCountsAsRetry(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return refusedResponse(), nil
	}}
	w.prefill = func(_ context.Context, n int, _ workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
		if n%2 == 1 {
			return kumquatlug.KVCacheRef{}, refusedResponse(), nil
		}
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
	}
	const retries = 4
	f := newTestGateway(t, w, 4)
	for range 10 {
		f.do(context.Background(), http.MethodPost, longRoute)
	}
	// The first delivery and the first accepted prefill of each request are not retries.
	if n, free := len(w.recorded()), 2*10; n > free+retries {
		t.Errorf("%d attempts for 10 requests with %d retries", n, retries)
	}
}

// A decode engine is changing its role and refuses a request that was prefilled
// elsewhere. Another engine must take the same KV cache: a second prefill would double
// the load of the prefill engine and delay the client.
func TestRefusedDecodeKeepsCache(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if c.options.Cache.Handle() != "h" {
			t.Errorf("attempt without the KV cache: %+v", c.options)
		}
		if n == 1 {
			return refusedResponse(), nil
		}
		return streamResponse(1, 3), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	response := f.do(context.Background(), http.MethodPost, chatPrefill)
	if response.status != 200 || response.body != events(1, 3) {
		t.Fatalf("%+v", response)
	}
	calls := w.recorded()
	if len(calls) != 3 || !calls[0].prefill || calls[1].prefill || calls[2].prefill || calls[1].worker == calls[2].worker {
		t.Errorf("%+v", calls)
	}
	if n := len(f.g.unusedCaches); n != 0 {
		t.Errorf("%d caches to release", n)
	}
}
