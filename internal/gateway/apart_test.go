package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A prompt is read apart, its cache is taken along, and its engine answers
// nothing to the client.
func TestLongPromptIsPrefilledOnAnotherEngine(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.Reply, error) {
		if c.options.Cache.Handle() != "h" {
			t.Errorf("without the cache: %+v", c.options)
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

// Every engine that reads prompts fails. Nothing of the request has run, whatever
// became of the reading, and the user is told so with a time to come back.
func TestFailedPrefillHasNotRun(t *testing.T) {
	w := &fakeWorkers{prefill: func(context.Context, int, workerCall) (kumquatlug.KVCache, kumquatlug.Reply, error) {
		return kumquatlug.KVCache{}, kumquatlug.Reply{}, lostConnection()
	}, run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return refusedResponse(), nil }}
	response := newTestGateway(t, w, manyRetries).do(context.Background(), http.MethodPost, chatPrefill)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" || response.header.Get("Ran") != "not-run" {
		t.Errorf("%+v", response)
	}
}

// chatPrefill is a request that may run once and has a prompt long enough to be
// read apart.
const chatPrefill = "/chat/?tokens=9000,400"

// The cache of a prompt was read and the engine that should take it refuses. The
// cache must be freed, or the engine that keeps it has less memory for seconds.
func TestUnusedCacheIsReleased(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return refusedResponse(), nil }}
	f := newTestGateway(t, w, manyRetries)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.releaseCaches(ctx)
	f.do(ctx, http.MethodPost, chatPrefill)
	for end := time.Now().Add(5 * time.Second); ; {
		w.mu.Lock()
		freed := len(w.freed)
		w.mu.Unlock()
		if freed > 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the cache was not freed")
		}
		<-time.After(5 * time.Millisecond)
	}
}

// All streams of an engine that was lost, or of fronts that were killed, go on at
// the same moment. Each has some thousand tokens to be read again; read by the
// engines that generate they would make every other stream there pause, so that
// they are read apart like any long prompt.
func TestResumedStreamIsPrefilledOnAnotherEngine(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.Reply, error) {
		if n == 1 {
			return truncatedResponse(events(1, 100), -1), nil
		}
		if c.options.Cache.Handle() == "" || c.options.Resume != 100 {
			t.Errorf("goes on with cache %q behind event %d", c.options.Cache.Handle(), c.options.Resume)
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

// An engine crashes with hundreds of streams, and each goes on elsewhere. The first
// reading of a prompt is no repeat; paid for as one, each stream costs two, and half of
// them break off for want of what the fronts may send again.
func TestResumedStreamCostsOneRetry(t *testing.T) {
	const oneRepeat = 2
	w := &fakeWorkers{run: func(_ context.Context, n int, _ workerCall) (kumquatlug.Reply, error) {
		if n == 1 {
			return truncatedResponse(events(1, 100), -1), nil
		}
		return streamResponse(101, 102), nil
	}}
	response := newTestGateway(t, w, oneRepeat).do(context.Background(), http.MethodPost, "/long/?tokens=220,9000")
	if response.err != nil || response.body != events(1, 102) {
		t.Errorf("%d bytes, %v", len(response.body), response.err)
	}
}

// A prompt is read, its output refused, and the cache gone; reading it a second time is a
// repeat, and so is a first reading that was refused. Not paid for, the workers get more
// than all fronts may send.
func TestRepeatedPrefillCountsAsRetry(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return refusedResponse(), nil }}
	w.prefill = func(_ context.Context, n int, _ workerCall) (kumquatlug.KVCache, kumquatlug.Reply, error) {
		if n%2 == 1 {
			return kumquatlug.KVCache{}, refusedResponse(), nil
		}
		return kumquatlug.NewKVCache("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
	}
	const repeats = 4
	f := newTestGateway(t, w, 5)
	for range 10 {
		f.do(context.Background(), http.MethodPost, longRoute)
	}
	// Each request has its first arrival, and the first reading that was taken, for free.
	if n, free := len(w.recorded()), 2*10; n > free+repeats {
		t.Errorf("%d sendings for 10 requests with %d repeats", n, repeats)
	}
}

// A generating engine is on its way to another role and refuses a request whose
// prompt was read apart. Another engine must take the same cache: read again, the
// prompt would take its reader's time twice and its user would wait for it.
func TestRefusedDecodeKeepsCache(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.Reply, error) {
		if c.options.Cache.Handle() != "h" {
			t.Errorf("without the cache: %+v", c.options)
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
		t.Errorf("%d caches to free", n)
	}
}
