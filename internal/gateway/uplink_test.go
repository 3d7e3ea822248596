package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// newLinkedGateway returns a gateway whose link sends this many bytes per ms.
func newLinkedGateway(t *testing.T, w *fakeWorkers, bytesPerMs float64) *testGateway {
	t.Helper()
	f := newTestGateway(t, w, manyRetries)
	f.setMemory(1 << 20)
	f.g.link = newLinkQueue(Config{
		LinkBytesPerMs: bytesPerMs, Clock: clock.NewMonotonic(), Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	return f
}

// post sends a request with a body of this size.
func (f *testGateway) post(ctx context.Context, path string, size int) clientResponse {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return clientResponse{err: err}
	}
	r.Header.Set("Id", "r1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// use counts bytes on the link.
func (q *linkQueue) use(bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.link.Count(q.clock.Now(), bytes)
}

func streamOnce(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
	return streamResponse(1, 2), nil
}

// The link of a gateway is over capacity. A long prompt that would be late must be
// refused before any worker receives it, so that the client can reach another gateway in
// time, and short questions must be served.
func TestOverloadedLinkRefusesLatePrompts(t *testing.T) {
	w := &fakeWorkers{run: streamOnce}
	f := newLinkedGateway(t, w, 1250)
	f.g.link.use(1_000_000)
	response := f.post(context.Background(), longRoute, 9200)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Reason") != "link_late" ||
		response.header.Get("Ran") != string(kumquatlug.NotExecuted) || response.header.Get("Retry-After") != "20" || len(w.recorded()) != 0 {
		t.Fatalf("%+v after %d attempts", response, len(w.recorded()))
	}
	if n := testutil.ToFloat64(f.g.link.metrics.refused.WithLabelValues("late")); n != 1 {
		t.Errorf("%v refusals counted", n)
	}
	if response := f.post(context.Background(), chatRoute, 220); response.status != http.StatusOK || response.body != events(1, 2) {
		t.Errorf("a short question: %+v", response)
	}
}

// The body of a prompt leaves the gateway twice. It must wait for the link each time, and
// the wait must not count as time at the engine, which would look slow.
func TestBodyWaitsForLink(t *testing.T) {
	w := &fakeWorkers{run: streamOnce}
	f := newLinkedGateway(t, w, 1250)
	f.g.link.use(60_000)
	start := time.Now()
	response := f.post(context.Background(), longRoute, 9200)
	if took := time.Since(start); response.status != http.StatusOK || response.body != events(1, 2) || took < 35*time.Millisecond {
		t.Errorf("%+v after %v", response, took)
	}
	if n := len(w.recorded()); n != 2 {
		t.Errorf("%d attempts, want a prefill and a decode", n)
	}
	if f.g.link.backlogMs() == 0 {
		t.Error("the bodies were not counted")
	}
}

// A client disconnects while the body of its request waits for the link. Nothing may be
// sent, and the attempt must not stay in flight at its engine forever.
func TestDisconnectedClientLeavesLinkQueue(t *testing.T) {
	w := &fakeWorkers{run: streamOnce}
	f := newLinkedGateway(t, w, 100)
	f.g.link.use(9_000)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan clientResponse, 1)
	go func() { done <- f.post(ctx, longRoute, 3000) }()
	await(t, "the body waits", func() bool { return testutil.ToFloat64(f.g.link.metrics.waitingBytes) == 3000 })
	cancel()
	<-done
	await(t, "nothing waits", func() bool { return testutil.ToFloat64(f.g.link.metrics.waitingBytes) == 0 && f.g.inFlight.Load() == 0 })
	if len(w.recorded()) != 0 {
		t.Errorf("sent to %+v", w.recorded())
	}
	for _, engine := range []string{"p1", "p2", "d1", "d2"} {
		if work := f.g.scheduler.workInFlight(f.g.c.Clock.Now(), "engines", engine); work.Requests() != 0 || work.Tokens() != 0 {
			t.Errorf("%s has %+v in flight", engine, work)
		}
	}
}

// Responses to clients use the same link. They must be counted, or bodies are given to a
// link that is busy with them.
func TestResponsesCountOnLink(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return wholeResponse(200, strings.Repeat("x", 50_000)), nil
	}}
	f := newLinkedGateway(t, w, 10)
	if response := f.post(context.Background(), lookupRoute, 10); response.status != http.StatusOK || len(response.body) != 50_000 {
		t.Fatalf("status %d, %d bytes", response.status, len(response.body))
	}
	await(t, "the response is counted", func() bool { return f.g.link.backlogMs() > 4500 })
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 5 s: " + what)
		}
	}
}
