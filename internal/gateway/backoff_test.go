package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// backoffResponse returns a refusal in which the worker requests a backoff.
func backoffResponse(backoff kumquatlug.Millis) kumquatlug.WorkerResponse {
	r := refusedResponse()
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: r.Status(), Header: r.Header(), Body: r.Body(), Refused: true, Backoff: backoff,
	})
}

// A worker refuses a request and requests a backoff. Requests sent earlier would cost it
// capacity for refusals.
func TestWorkerBackoffIsHonored(t *testing.T) {
	const backoff = 1500 * kumquatlug.Millis(1)
	w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if c.worker == "s1" {
			return backoffResponse(backoff), nil
		}
		return wholeResponse(http.StatusOK, "done"), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	start := time.Now()
	for time.Since(start) < backoff.Duration()-100*time.Millisecond {
		if got := f.do(context.Background(), http.MethodPost, postRoute); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
		<-time.After(5 * time.Millisecond)
	}
	sent := 0
	for _, c := range w.recorded() {
		if c.worker == "s1" {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("the worker received %d attempts, want 1", sent)
	}
}

// All workers of a service have requested a backoff. Clients must be refused at once,
// with the time at which the first worker accepts requests again.
func TestRefusalNamesEndOfBackoff(t *testing.T) {
	const backoff = 400 * kumquatlug.Millis(1)
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return backoffResponse(backoff), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.do(context.Background(), http.MethodPost, postRoute)
	sent := len(w.recorded())
	got := f.do(context.Background(), http.MethodPost, postRoute)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Reason") != "worker_limit" || got.duration > time.Second {
		t.Errorf("%+v", got)
	}
	if len(w.recorded()) != sent {
		t.Errorf("%d sent", len(w.recorded())-sent)
	}
	<-time.After(backoff.Duration())
	f.do(context.Background(), http.MethodPost, postRoute)
	if len(w.recorded()) == sent {
		t.Error("no attempt after the backoff")
	}
}
