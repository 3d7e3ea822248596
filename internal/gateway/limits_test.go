package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// limitResponse is a whole answer that names a limit.
func limitResponse(perSecond float64) kumquatlug.Reply {
	r := wholeResponse(http.StatusOK, "done")
	return kumquatlug.NewReply(kumquatlug.ReplyConfig{
		Status: r.Status(), Header: r.Header(), Length: r.Length(), Body: r.Body(), Limit: kumquatlug.NewRateLimit(perSecond),
	})
}

// newLimitedGateway is a front whose plain workers have both named a limit.
func newLimitedGateway(t *testing.T, perSecond float64) *testGateway {
	t.Helper()
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.Reply, error) { return limitResponse(perSecond), nil }}
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.setGateways(nil)
	for tries := 0; len(f.g.scheduler.limits()) < 2; tries++ {
		if tries == 20 {
			t.Fatal("a worker gets no request")
		}
		f.do(context.Background(), http.MethodPost, postRoute)
	}
	return f
}

// All workers of a service take one request in ten seconds. Who can't be served must be
// told so at once, that nothing ran, and when to come back.
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

// A request is held back for a worker, which leaves meanwhile. Sent there all the same, it
// would be lost with the worker.
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
	leaves := f.workers.recorded()[sent].worker
	before := len(f.workers.recorded())
	stays := member("s1", "")
	if leaves == "s1" {
		stays = member("s2", "")
	}
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": {stays}})
	for range cap(responses) {
		if a := <-responses; a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
			t.Errorf("%+v", a)
		}
	}
	for _, c := range f.workers.recorded()[before:] {
		if c.worker == leaves {
			t.Errorf("%s was sent a request after it had left: %s", leaves, fmt.Sprint(c.options))
		}
	}
}
