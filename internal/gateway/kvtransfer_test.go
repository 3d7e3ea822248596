package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/kvtransfer"
)

// refuseCaches refuses each request whose cache another engine holds, as engines do whose
// transfers fail, and runs all others.
func refuseCaches(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
	if c.options.Cache.Handle() != "" {
		return refusedResponse(), nil
	}
	return streamResponse(1, 3), nil
}

// prefillInUsualTime takes the usual time of a prefill. With the time of a call to the fake, the
// engines would look so fast that prompts may be prefilled at the engine that decodes.
func prefillInUsualTime(context.Context, int, workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
	<-time.After(40 * time.Millisecond)
	return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
}

// No transfer succeeds. The second prefill of the prompt must be at the engine that decodes:
// on two engines again, it would be wasted, too.
func TestPromptRunsOnOneEngineAfterFailedTransfers(t *testing.T) {
	w := &fakeWorkers{run: refuseCaches}
	f := newTestGateway(t, w, manyRetries)
	response := f.do(context.Background(), http.MethodPost, chatPrefill)
	if response.status != 200 || response.body != events(1, 3) {
		t.Fatalf("%+v", response)
	}
	calls := w.recorded()
	if len(calls) != 4 || !calls[0].prefill || calls[1].worker == calls[2].worker || calls[3].prefill || calls[3].options.Cache.Handle() != "" {
		t.Errorf("%+v", calls)
	}
	// The next requests don't try transfers again, except for a probe.
	for range 5 {
		f.do(context.Background(), http.MethodPost, chatPrefill)
	}
	prefills := 0
	for _, c := range w.recorded()[4:] {
		if c.prefill {
			prefills++
		}
	}
	if prefills > 1 {
		t.Errorf("%d of 5 later prompts were prefilled for a transfer", prefills)
	}
}

// Four decode engines refuse a prompt's cache for a reason other than its transfer. After the
// second prefill the request must be refused, as not run, with a Retry-After.
func TestPromptIsNotPrefilledThreeTimes(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: http.StatusMisdirectedRequest, Body: io.NopCloser(strings.NewReader("")), Refused: true,
		}), nil
	}}
	w.prefill = prefillInUsualTime
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"engines": {
		member("p1", kumquatlug.RolePrefill), member("p2", kumquatlug.RolePrefill), member("d1", kumquatlug.RoleDecode),
		member("d2", kumquatlug.RoleDecode), member("d3", kumquatlug.RoleDecode), member("d4", kumquatlug.RoleDecode),
	}})
	response := f.do(context.Background(), http.MethodPost, chatPrefill)
	if response.status != http.StatusServiceUnavailable || response.header.Get("Ran") != "not-run" || response.header.Get("Retry-After") == "" ||
		response.header.Get("Reason") != reasonCacheUnavailable {
		t.Errorf("%+v", response)
	}
	prefills := 0
	for _, c := range w.recorded() {
		if c.prefill {
			prefills++
		}
	}
	if prefills != 2 {
		t.Errorf("%d prefills", prefills)
	}
}

// Transfers fail and prefill engines refuse every second prompt, while the retry budget is
// nearly used up. Each call beyond the first one and the first accepted prefill must be
// charged before it is sent.
func TestFailedTransfersStayWithinBudget(t *testing.T) {
	w := &fakeWorkers{run: refuseCaches}
	w.prefill = func(_ context.Context, n int, _ workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
		if n%2 == 1 {
			return kumquatlug.KVCacheRef{}, refusedResponse(), nil
		}
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
	}
	const retries, requests = 4, 10
	f := newTestGateway(t, w, 4)
	for range requests {
		f.do(context.Background(), http.MethodPost, longRoute)
	}
	if n := len(w.recorded()); n > 2*requests+retries {
		t.Errorf("%d calls for %d requests with %d retries", n, requests, retries)
	}
}

// An engineer on call must see that transfers fail: once in the log, and as metrics.
func TestSlowTransfersAreReported(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	f := newTestGateway(t, &fakeWorkers{run: refuseCaches, prefill: prefillInUsualTime}, manyRetries)
	f.g.c.Logger = zap.New(core)
	f.g.scheduler.service("engines").engines = true
	// The first request tries two engines, the second one runs on one engine after its first failure.
	const requests, failures = 2, 3
	for range requests {
		f.do(context.Background(), http.MethodPost, chatPrefill)
	}
	exported := exportedTransfers{}
	f.g.reportTransfers(exported)
	f.g.reportTransfers(exported)
	if n := logged.FilterMessage("KV transfers slow").Len(); n != 1 {
		t.Errorf("logged %d times", n)
	}
	if failed := testutil.ToFloat64(f.g.metrics.kvTransfers.WithLabelValues("engines", "failed")); failed != failures {
		t.Errorf("%.0f failed transfers counted, want %d", failed, failures)
	}
	if wasted := testutil.ToFloat64(f.g.metrics.prefilledTokens.WithLabelValues("engines", "wasted")); wasted < 3000*requests || wasted > 9000*requests {
		t.Errorf("%.0f wasted tokens counted", wasted)
	}
	if exported["engines"] == (kvtransfer.Stats{}) {
		t.Error("nothing exported")
	}
}

// Two decode engines refuse a prompt before any engine has prefilled it, and then a transfer
// fails. If the refusals counted as prefills, the request would be refused although an engine
// could still run it alone.
func TestRefusedPromptWasNotPrefilled(t *testing.T) {
	w := &fakeWorkers{}
	f := newTestGateway(t, w, manyRetries)
	sync := func(members ...kumquatlug.Member) {
		f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"engines": members})
	}
	sync(member("d1", kumquatlug.RoleDecode), member("d2", kumquatlug.RoleDecode))
	refused := 0
	w.run = func(ctx context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if c.worker != "d1" && c.worker != "d2" {
			return refuseCaches(ctx, n, c)
		}
		if refused++; refused == 2 {
			sync(member("p1", kumquatlug.RolePrefill), member("d3", kumquatlug.RoleDecode))
		}
		return refusedResponse(), nil
	}
	response := f.do(context.Background(), http.MethodPost, chatPrefill)
	if response.status != http.StatusOK || len(w.recorded()) != 5 {
		t.Errorf("status %d after %+v", response.status, w.recorded())
	}
}
