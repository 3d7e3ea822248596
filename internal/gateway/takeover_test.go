package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// silence is how long the workers of these tests send nothing before they go on. It is several
// times as long as it takes until a worker counts as unresponsive.
const silence = 500 * time.Millisecond

// silentBody is a paced stream that sends nothing for a while after the event with number after.
type silentBody struct {
	pacedBody
	after int
	// pause is how long it sends nothing, silence if zero.
	pause time.Duration
}

func (b *silentBody) Read(p []byte) (int, error) {
	if b.next == b.after+1 {
		if !sleep(b.ctx, kumquatlug.Millis(cmp.Or(b.pause, silence)/time.Millisecond)) {
			return 0, b.ctx.Err()
		}
		b.after = 0
	}
	return b.pacedBody.Read(p)
}

func pacedResponse(body io.ReadCloser) kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1, Body: body})
}

// Numbers of events of the streams in these tests.
const (
	lastEvent   = 24
	silentAfter = 9
)

// streamAll requests eight streams at two engines, one of which falls silent, and checks that each
// arrives whole.
func streamAll(t *testing.T, f *testGateway) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.runTimers(ctx)
	const clients = 8
	responses := make(chan clientResponse, clients)
	for range clients {
		go func() { responses <- f.do(ctx, http.MethodPost, "/long/?tokens=220,104") }()
	}
	for range clients {
		response := <-responses
		if response.err != nil || response.body != events(1, lastEvent) {
			t.Errorf("%d of %d bytes after %s: %v", len(response.body), len(events(1, lastEvent)), response.duration, response.err)
		}
	}
}

// silentEngine responds with paced streams; engine d1 falls silent in the middle of those that it
// starts. refusing makes d2 refuse streams that resume.
func silentEngine(refusing bool) func(ctx context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
	return func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		first := int(c.options.LastEventID) + 1
		paced := pacedBody{ctx: ctx, next: first, last: lastEvent}
		switch {
		case c.worker == "d1" && first == 1:
			return pacedResponse(&silentBody{pacedBody: paced, after: silentAfter}), nil
		case refusing && first > 1:
			return refusedResponse(), nil
		}
		return pacedResponse(&paced), nil
	}
}

// An engine falls silent for a second and goes on while the retry budget is used up: its streams
// must not be cut.
func TestStreamsOfSilentEngineGoOnWithoutRetryBudget(t *testing.T) {
	for _, budget := range []int{0, 1} {
		streamAll(t, newTestGateway(t, &fakeWorkers{run: silentEngine(false)}, budget))
	}
}

// An engine falls silent for a second and goes on while the other one is full: its streams must
// not be cut.
func TestStreamsOfSilentEngineGoOnIfOthersRefuse(t *testing.T) {
	streamAll(t, newTestGateway(t, &fakeWorkers{run: silentEngine(true)}, manyRetries))
}

// An engine falls silent and goes on while no connection can be made to the other one: its streams
// must not be cut before that one has received the request.
func TestStreamsOfSilentEngineGoOnIfOthersAreUnreachable(t *testing.T) {
	unreachable := func(c workerCall) bool { return c.options.LastEventID > 0 }
	respond := silentEngine(false)
	streamAll(t, newTestGateway(t, &fakeWorkers{unreachable: unreachable, run: func(ctx context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if !unreachable(c) {
			return respond(ctx, n, c)
		}
		sleep(ctx, exchange.DialTimeout)
		return kumquatlug.WorkerResponse{}, kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "connect", Reason: "peer_failed", Execution: kumquatlug.NotExecuted})
	}}, manyRetries))
}

// The continuation of a silent stream is accepted by another engine that is silent, too. Both
// engines go on: the stream must arrive whole.
func TestStreamContinuesIfBothEnginesFallSilent(t *testing.T) {
	streamAll(t, newTestGateway(t, &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		first := int(c.options.LastEventID) + 1
		return pacedResponse(&silentBody{pacedBody: pacedBody{ctx: ctx, next: first, last: lastEvent}, after: max(first, silentAfter)}), nil
	}}, manyRetries))
}

// A lookup whose worker is silent for a second gets its answer, not an error, if the retry budget
// is used up or the other worker refuses.
func TestLookupAtSilentWorkerIsAnswered(t *testing.T) {
	for name, budget := range map[string]int{"no budget": 0, "other refuses": manyRetries} {
		var calls atomic.Int64
		w := &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
			if calls.Add(1) > 1 {
				return refusedResponse(), nil
			}
			if !sleep(ctx, kumquatlug.Millis(silence/time.Millisecond)) {
				return kumquatlug.WorkerResponse{}, lostConnection()
			}
			return wholeResponse(200, "done"), nil
		}}
		f := newTestGateway(t, w, budget)
		if response := f.do(context.Background(), http.MethodGet, lookupRoute); response.status != 200 || response.body != "done" {
			t.Errorf("%s: %+v", name, response)
		}
	}
}

// A prompt whose prefill engine is silent for a second is served, not refused, if the retry budget
// is used up.
func TestPromptAtSilentEngineIsServedWithoutRetryBudget(t *testing.T) {
	w := &fakeWorkers{
		prefill: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
			if !sleep(ctx, 1050) {
				return kumquatlug.KVCacheRef{}, kumquatlug.WorkerResponse{}, lostConnection()
			}
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
		},
		run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			return streamResponse(1, 3), nil
		},
	}
	f := newTestGateway(t, w, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.runTimers(ctx)
	if response := f.do(ctx, http.MethodPost, "/long/?tokens=1000,104"); response.body != events(1, 3) {
		t.Errorf("%+v", response)
	}
}

// A silent stream is continued elsewhere: the runs at both engines must not last side by side, and
// the first must not be canceled before the second was sent.
func TestReplacedRunIsCanceledOnceAnotherHasAccepted(t *testing.T) {
	sent, canceled := make(chan time.Time, 16), make(chan time.Time, 16)
	w := &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		first := int(c.options.LastEventID) + 1
		paced := pacedBody{ctx: ctx, next: first, last: lastEvent}
		if c.worker == "d1" && first == 1 {
			context.AfterFunc(ctx, func() { canceled <- time.Now() })
			paced.last, paced.stalls = silentAfter, true
		}
		if first > 1 {
			sent <- time.Now()
			// The prompt is prefilled for longer than both runs may last side by side.
			if !sleep(ctx, 700) {
				return kumquatlug.WorkerResponse{}, lostConnection()
			}
		}
		return pacedResponse(&paced), nil
	}}
	streamAll(t, newTestGateway(t, w, manyRetries))
	if len(sent) == 0 || len(canceled) < len(sent) {
		t.Fatalf("%d continuations sent, %d runs canceled", len(sent), len(canceled))
	}
	firstSent, firstCanceled := <-sent, <-canceled
	if d := firstCanceled.Sub(firstSent); d < 0 || d > 400*time.Millisecond {
		t.Errorf("the first run was canceled %s after the second was sent", d)
	}
}

// A stream is moved to another engine while its own one is silent and the retry budget is used up:
// the end of the stream at the first engine must not be taken for its failure.
func TestMovedStreamOfSilentEngineGoesOn(t *testing.T) {
	moved := make(chan struct{})
	w := &fakeWorkers{
		run: func(ctx context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
			if n > 1 {
				return streamResponse(int(c.options.LastEventID)+1, lastEvent), nil
			}
			paced := pacedBody{ctx: ctx, next: 1, last: silentAfter, stalls: true}
			return pacedResponse(&endedBody{pacedBody: paced, ended: moved}), nil
		},
		state: func() (kumquatlug.EngineState, error) { return kumquatlug.EngineState{}, lostConnection() },
		move: func(context.Context, string, string) (kumquatlug.KVCacheRef, error) {
			close(moved)
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "copy"), nil
		},
	}
	f := newTestGateway(t, w, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.runTimers(ctx)
	response := make(chan clientResponse, 1)
	go func() { response <- f.do(ctx, http.MethodPost, "/long/?tokens=220,4600") }()
	for testutil.ToFloat64(f.g.metrics.unresponsive) == 0 && sleep(ctx, 10) {
	}
	f.g.applyPlan("engines", rolePlan{Roles: map[string]kumquatlug.Role{w.recorded()[0].worker: kumquatlug.RolePrefill}})
	if response := <-response; response.err != nil || response.body != events(1, lastEvent) {
		t.Errorf("%d of %d bytes after %s: %v", len(response.body), len(events(1, lastEvent)), response.duration, response.err)
	}
}

// endedBody is a stream that breaks off when ended is closed.
type endedBody struct {
	pacedBody
	ended chan struct{}
}

func (b *endedBody) Read(p []byte) (int, error) {
	if b.next <= b.last {
		return b.pacedBody.Read(p)
	}
	select {
	case <-b.ended:
		return 0, io.ErrUnexpectedEOF
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

// An engine is silent until another one was asked, goes on, and then never sends anything again:
// the stream must continue at the other engine, although that one was asked before.
func TestStreamContinuesElsewhereAfterWithdrawnTakeover(t *testing.T) {
	asked := make(chan struct{}, 16)
	w := &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		first := int(c.options.LastEventID) + 1
		paced := pacedBody{ctx: ctx, next: first, last: lastEvent}
		switch first {
		case 1:
			paced.last, paced.stalls = silentAfter+2, true
			return pacedResponse(&resumedBody{pacedBody: paced, after: silentAfter, resumed: asked}), nil
		case silentAfter + 1:
			asked <- struct{}{}
			sleep(ctx, 200)
			return kumquatlug.WorkerResponse{}, lostConnection()
		}
		return pacedResponse(&paced), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	w.state = func() (kumquatlug.EngineState, error) { return kumquatlug.EngineState{}, lostConnection() }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.runTimers(ctx)
	response := f.do(ctx, http.MethodPost, "/long/?tokens=220,104")
	if response.err != nil || response.body != events(1, lastEvent) {
		t.Errorf("%d of %d bytes after %s: %v", len(response.body), len(events(1, lastEvent)), response.duration, response.err)
	}
	if calls := w.recorded(); len(calls) < 3 {
		t.Errorf("%d calls", len(calls))
	}
}

// resumedBody is a stream that sends nothing after an event until resumed yields a value.
type resumedBody struct {
	pacedBody
	after   int
	resumed chan struct{}
}

func (b *resumedBody) Read(p []byte) (int, error) {
	if b.next == b.after+1 {
		select {
		case <-b.resumed:
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	return b.pacedBody.Read(p)
}

// The prefill of a prompt goes on after another engine was asked with the last retry: its output
// is not a retry, and must not be refused for want of one.
func TestPromptIsServedAfterWithdrawnTakeover(t *testing.T) {
	w := &fakeWorkers{
		prefill: func(ctx context.Context, n int, _ workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
			if !sleep(ctx, []kumquatlug.Millis{1050, 400}[min(n, 2)-1]) {
				return kumquatlug.KVCacheRef{}, kumquatlug.WorkerResponse{}, lostConnection()
			}
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
		},
		run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			return streamResponse(1, 3), nil
		},
	}
	f := newTestGateway(t, w, 1)
	if response := f.do(t.Context(), http.MethodPost, "/long/?tokens=1000,104"); response.body != events(1, 3) {
		t.Errorf("%+v", response)
	}
	if n := len(w.recorded()); n != 3 {
		t.Errorf("%d calls, want two prefills and one run", n)
	}
}

// A prefill goes on after a takeover has prefilled the prompt elsewhere and one engine has refused that cache. Guards against the
// takeover's prefill and its refused cache counting for the request, which is then refused with engines left that could run it.
func TestRefusedCacheAfterWithdrawnTakeoverIsRecovered(t *testing.T) {
	taken := make(chan struct{})
	w := &fakeWorkers{
		prefill: func(ctx context.Context, n int, _ workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
			if n == 1 {
				select {
				case <-taken:
				case <-ctx.Done():
					return kumquatlug.KVCacheRef{}, kumquatlug.WorkerResponse{}, lostConnection()
				}
			}
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"+strconv.Itoa(n)), wholeResponse(200, ""), nil
		},
		run: func(ctx context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
			switch n {
			case 1, 3:
				return refusedResponse(), nil
			case 2:
				close(taken)
				<-ctx.Done()
				return kumquatlug.WorkerResponse{}, lostConnection()
			}
			return streamResponse(1, 3), nil
		},
	}
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"engines": {
		member("p1", kumquatlug.RolePrefill), member("p2", kumquatlug.RolePrefill), member("d1", kumquatlug.RoleDecode),
		member("d2", kumquatlug.RoleDecode), member("d3", kumquatlug.RoleDecode), member("d4", kumquatlug.RoleDecode),
	}})
	if response := f.do(t.Context(), http.MethodPost, "/long/?tokens=30000,104"); response.body != events(1, 3) {
		t.Errorf("%+v after %d calls", response, len(w.recorded()))
	}
}

// Guards against a failure that leaves open whether a request ran, although the worker that was silent with it refused it and no
// other was asked: clients repeat such a request only if it is known not to have run.
func TestRefusalBySilentWorkerIsNotRun(t *testing.T) {
	for name, end := range map[string]func() (kumquatlug.WorkerResponse, error){
		"refused": func() (kumquatlug.WorkerResponse, error) { return refusedResponse(), nil },
		"unreachable": func() (kumquatlug.WorkerResponse, error) {
			return kumquatlug.WorkerResponse{}, kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "connect", Execution: kumquatlug.NotExecuted})
		},
		"broken": func() (kumquatlug.WorkerResponse, error) { return kumquatlug.WorkerResponse{}, lostConnection() },
	} {
		for _, path := range []string{lookupRoute, "/long/?tokens=220,104"} {
			w := &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
				if !sleep(ctx, kumquatlug.Millis(silence/time.Millisecond)) {
					return kumquatlug.WorkerResponse{}, lostConnection()
				}
				return end()
			}}
			f := newTestGateway(t, w, 0)
			ctx, cancel := context.WithCancel(context.Background())
			go f.g.runTimers(ctx)
			got := f.do(ctx, http.MethodPost, path)
			cancel()
			notRun := got.status == http.StatusServiceUnavailable && got.header.Get("Ran") == string(kumquatlug.NotExecuted) && got.header.Get("Retry-After") != ""
			if want := name != "broken"; notRun != want {
				t.Errorf("%s, %s: %+v after %d attempts", name, path, got, len(w.recorded()))
			}
		}
	}
}
