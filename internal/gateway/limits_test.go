package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// limitResponse returns a complete response that reports a rate limit.
func limitResponse(perSecond float64) kumquatlug.WorkerResponse {
	r := wholeResponse(http.StatusOK, "done")
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: r.Status(), Header: r.Header(), Length: r.Length(), Body: r.Body(), Limit: kumquatlug.NewRateLimit(perSecond),
	})
}

// newLimitedGateway returns a gateway whose plain workers have both reported a rate
// limit.
func newLimitedGateway(t *testing.T, perSecond float64) *testGateway {
	t.Helper()
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return limitResponse(perSecond), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.setGateways(nil)
	for attempts := 0; len(f.g.scheduler.limits()) < 2; attempts++ {
		if attempts == 20 {
			t.Fatal("a worker received no request")
		}
		f.do(context.Background(), http.MethodPost, postRoute)
	}
	return f
}

// All workers of a service accept one request in ten seconds. A request beyond that must
// be refused at once, with the information that it did not run and when to retry.
func TestRateLimitedRequestIsRefusedAtOnce(t *testing.T) {
	f := newLimitedGateway(t, 0.1)
	before := len(f.workers.recorded())
	f.do(context.Background(), http.MethodPost, postRoute)
	got := f.do(context.Background(), http.MethodPost, postRoute)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Reason") != "worker_limit" || got.header.Get("Ran") != "not-run" {
		t.Errorf("%+v", got)
	}
	if got.header.Get("Retry-After") == "" || got.duration > time.Second || len(f.workers.recorded()) > before+2 {
		t.Errorf("%+v, %d sent", got, len(f.workers.recorded())-before)
	}
}

// A request is delayed for a worker's rate limit, and the worker is removed meanwhile.
// The request must not be sent to it.
func TestDelayedRequestSkipsRemovedWorker(t *testing.T) {
	f := newLimitedGateway(t, 2.5)
	sent := len(f.workers.recorded())
	responses := make(chan clientResponse, 8)
	for range cap(responses) {
		go func() { responses <- f.do(context.Background(), http.MethodPost, postRoute) }()
	}
	for len(f.workers.recorded()) < sent+1 {
		<-time.After(time.Millisecond)
	}
	removed := f.workers.recorded()[sent].worker
	before := len(f.workers.recorded())
	remaining := member("s1", "")
	if removed == "s1" {
		remaining = member("s2", "")
	}
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": {remaining}})
	for range cap(responses) {
		if a := <-responses; a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
			t.Errorf("%+v", a)
		}
	}
	for _, c := range f.workers.recorded()[before:] {
		if c.worker == removed {
			t.Errorf("%s was sent a request after its removal: %s", removed, fmt.Sprint(c.options))
		}
	}
}

// Guards against an attempt that is sent to a worker which was removed, or began to drain, while it waited for a connection.
func TestAttemptIsWithdrawnWhenWorkerLeaves(t *testing.T) {
	draining := member("s1", "")
	draining.State = kumquatlug.MemberDraining
	for name, c := range map[string]struct {
		members []kumquatlug.Member
		want    bool
	}{
		"ready": {[]kumquatlug.Member{member("s1", ""), member("s2", "")}, false}, "draining": {[]kumquatlug.Member{draining, member("s2", "")}, true},
		"gone": {[]kumquatlug.Member{member("s2", "")}, true},
	} {
		w := &fakeWorkers{}
		f := newTestGateway(t, w, manyRetries)
		f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": {member("s1", "")}})
		withdrawn := false
		w.run = func(_ context.Context, n int, call workerCall) (kumquatlug.WorkerResponse, error) {
			if n > 1 {
				return wholeResponse(200, "done"), nil
			}
			f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": c.members})
			if withdrawn = call.options.Withdrawn(); !withdrawn {
				return wholeResponse(200, "done"), nil
			}
			return kumquatlug.WorkerResponse{}, kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "connect", Execution: kumquatlug.NotExecuted})
		}
		if got := f.do(t.Context(), http.MethodPost, postRoute); got.status != 200 || got.body != "done" || withdrawn != c.want {
			t.Errorf("%s: withdrawn %t, %+v", name, withdrawn, got)
		}
	}
}
