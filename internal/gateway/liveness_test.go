package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A popular lookup is slow at one worker, so that this gateway cancels it there and
// tries another worker. If that counted as a crash, three such events would quarantine
// the lookup for all clients for a minute.
func TestTimeoutIsNotACrash(t *testing.T) {
	w := &fakeWorkers{run: func(ctx context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		if n%2 == 1 {
			<-ctx.Done()
			return kumquatlug.WorkerResponse{}, lostConnection()
		}
		return wholeResponse(200, "done"), nil
	}, life: func(string) kumquatlug.WorkerLife { return kumquatlug.WorkerEnded }}
	f := newTestGateway(t, w, manyRetries)
	for i := range 4 {
		if response := f.do(context.Background(), http.MethodGet, lookupRoute); response.status != 200 {
			t.Fatalf("request %d: %+v", i+1, response)
		}
	}
	requireNoSuspicion(t, f)
}

// requireNoSuspicion fails the test if a worker is suspected to have crashed.
func requireNoSuspicion(t *testing.T, f *testGateway) {
	t.Helper()
	f.g.crashes.mu.Lock()
	defer f.g.crashes.mu.Unlock()
	if n := len(f.g.crashes.suspicions) + len(f.g.crashes.unpublished); n != 0 {
		t.Errorf("%d crashes suspected or recorded", n)
	}
}

// A client disconnects during a response, which the gateway notices by a failed write.
// This must count neither as a failure of the worker nor as a crash caused by the
// request.
func TestClientDisconnectIsNotACrash(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return streamResponse(1, 3), nil
	}, life: func(string) kumquatlug.WorkerLife { return kumquatlug.WorkerEnded }}
	f := newTestGateway(t, w, manyRetries)
	for range 4 {
		r := httptest.NewRequest(http.MethodPost, chatRoute, strings.NewReader("body"))
		r.Header.Set("Id", "r1")
		func() {
			defer func() {
				if cause := recover(); cause != nil && cause != http.ErrAbortHandler { //nolint:errorlint // A panic's value.
					panic(cause)
				}
			}()
			f.g.ServeHTTP(disconnectedClient{httptest.NewRecorder()}, r)
		}()
	}
	if response := f.do(context.Background(), http.MethodPost, chatRoute); response.status != 200 {
		t.Errorf("request of another client: %+v", response)
	}
	requireNoSuspicion(t, f)
}

// disconnectedClient is a client to which every write fails.
type disconnectedClient struct{ *httptest.ResponseRecorder }

func (disconnectedClient) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// One of two engines becomes unresponsive with streams in flight. The streams must
// resume at the other engine after a short pause, so that each client receives one
// complete stream instead of waiting until it gives up.
func TestStreamsOfUnresponsiveEngineResume(t *testing.T) {
	const last = 30
	w := &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		end := last
		if c.worker == "d1" {
			end = 2
		}
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1,
			Body: &pacedBody{ctx: ctx, next: int(c.options.LastEventID) + 1, last: end, stalls: end != last},
		}), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.runTimers(ctx)
	responses := make(chan clientResponse, 4)
	for range 4 {
		go func() { responses <- f.do(ctx, http.MethodPost, "/long/?tokens=220,104") }()
	}
	for range 4 {
		response := <-responses
		if response.err != nil || response.body != events(1, last) || response.duration > 1100*time.Millisecond {
			t.Errorf("%d of %d bytes after %s: %v", len(response.body), len(events(1, last)), response.duration, response.err)
		}
	}
}

// pacedBody is a stream with an event every 20 ms. If stalls is set, it then blocks
// until its reader gives up.
type pacedBody struct {
	ctx        context.Context
	next, last int
	stalls     bool
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.next > b.last && !b.stalls {
		return 0, io.EOF
	}
	event := time.After(20 * time.Millisecond)
	if b.next > b.last {
		event = nil
	}
	select {
	case <-event:
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(p, events(b.next, b.next))
	b.next++
	return n, nil
}

func (b *pacedBody) Close() error { return nil }
