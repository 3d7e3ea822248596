package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// errorResponse returns an error response of a worker.
func errorResponse(status, size int, stated bool) kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: status, Header: http.Header{"Stamp": {"s"}}, Length: -1, Body: io.NopCloser(bytes.NewReader(make([]byte, size))), Refused: stated,
	})
}

// peerResponse is a peer gateway that forwards each response of its worker, as earlier versions do.
type peerResponse func() kumquatlug.WorkerResponse

func (p peerResponse) HandOff(context.Context, kumquatlug.HandoffRequest) (kumquatlug.HandoffResponse, error) {
	return kumquatlug.NewHandoffResponse(kumquatlug.HandoffResponseConfig{Response: p()}), nil
}

// Guards against a client that repeats a request which may run once, and has run, because it is forwarded a status that
// says it has not, while its worker stated nothing.
func TestUnstatedRefusalIsNoPromise(t *testing.T) {
	promises := map[int]bool{
		http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
		http.StatusInternalServerError: false, http.StatusGatewayTimeout: false, http.StatusNotFound: false,
	}
	for status, promise := range promises {
		for path, repeatable := range map[string]bool{postRoute: false, chatRoute: false, lookupRoute: true, longRoute: true} {
			for _, stated := range []bool{false, true} {
				for _, size := range []int{20, 400 << 10} {
					name := fmt.Sprintf("%s %d stated=%t size=%d", path, status, stated, size)
					w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
						return errorResponse(status, size, stated), nil
					}}
					checkErrorResponse(t, name, newTestGateway(t, w, manyRetries).do(t.Context(), http.MethodPost, path), status, stated, !stated && promise && !repeatable)
				}
			}
		}
		for path, repeatable := range map[string]bool{chatRoute: false, longRoute: true} {
			p := newHandoffPair(t, respondingWorkers(), respondingWorkers(), manyRetries)
			p.a.g.c.PeerClient = peerResponse(func() kumquatlug.WorkerResponse { return errorResponse(status, 20, false) })
			name := fmt.Sprintf("from a peer: %s %d", path, status)
			checkErrorResponse(t, name, p.a.do(t.Context(), http.MethodPost, path), status, false, promise && !repeatable)
			if calls := len(p.a.workers.recorded()); calls > 0 {
				t.Errorf("%s: sent to %d workers as well", name, calls)
			}
		}
	}
}

// checkErrorResponse checks what a client gets for the error responses of all workers. withheld says that it must get neither
// their status nor their signature.
func checkErrorResponse(t *testing.T, name string, got clientResponse, status int, stated, withheld bool) {
	t.Helper()
	want, stamp := status, "s"
	switch {
	case stated:
		want, stamp = http.StatusServiceUnavailable, ""
	case withheld:
		want, stamp = http.StatusBadGateway, ""
	}
	if got.err != nil || got.status != want || got.header.Get("Stamp") != stamp {
		t.Errorf("%s: status %d with signature %q, want %d with %q: %v", name, got.status, got.header.Get("Stamp"), want, stamp, got.err)
	}
	if ran := got.header.Get("Ran"); stated && ran != string(kumquatlug.NotExecuted) || withheld && ran != string(kumquatlug.ExecutionUnknown) {
		t.Errorf("%s: the client is told %q", name, ran)
	}
}

// Guards against prefills, which don't run the request, that count as runs whatever their status.
func TestUnstatedRefusalOfPrefillIsNoRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		w := streamWorkers(1, 3)
		w.prefill = func(context.Context, int, workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
			return kumquatlug.KVCacheRef{}, errorResponse(status, 20, false), nil
		}
		got := newTestGateway(t, w, manyRetries).do(t.Context(), http.MethodPost, "/chat/?tokens=9190,400")
		if got.err != nil || got.body != events(1, 3) {
			t.Errorf("%d: %+v", status, got)
		}
	}
}
