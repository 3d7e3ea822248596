package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// movedBody is a stream with an event every 5 ms, which its engine ends before its last
// events when it is moved.
type movedBody struct {
	next, last int
	moved      chan struct{}
	// end is the error at the end of a moved stream.
	end error
}

func (s *movedBody) Read(p []byte) (int, error) {
	if s.next > s.last {
		return 0, io.EOF
	}
	select {
	case <-s.moved:
		return 0, s.end
	case <-time.After(5 * time.Millisecond):
	}
	n := copy(p, events(s.next, s.next))
	s.next++
	return n, nil
}

func (s *movedBody) Close() error { return nil }

// moveOneStream serves one stream of thirty events at one engine. Once the stream has
// started, the engine is announced to change its role to prefill.
func moveOneStream(t *testing.T, path string, w *fakeWorkers, move func(ctx context.Context, moved chan struct{}) (kumquatlug.KVCacheRef, error)) clientResponse {
	t.Helper()
	return moveOneFramedStream(t, path, w, kumquatlug.FramingChunks, move)
}

func moveOneFramedStream(
	t *testing.T, path string, w *fakeWorkers, framing kumquatlug.Framing,
	move func(ctx context.Context, moved chan struct{}) (kumquatlug.KVCacheRef, error),
) clientResponse {
	t.Helper()
	end := io.ErrUnexpectedEOF
	if framing == kumquatlug.FramingConnection {
		end = io.EOF
	}
	const last = 30
	moved, started := make(chan struct{}), make(chan string, 1)
	second := w.run
	w.run = func(ctx context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n > 1 {
			return second(ctx, n, c)
		}
		started <- c.worker
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1, Framing: framing, Body: &movedBody{next: 1, last: last, moved: moved, end: end},
		}), nil
	}
	w.move = func(ctx context.Context, _, _ string) (kumquatlug.KVCacheRef, error) { return move(ctx, moved) }
	f := newTestGateway(t, w, manyRetries)
	response := make(chan clientResponse, 1)
	go func() { response <- f.do(context.Background(), http.MethodPost, path) }()
	worker := <-started
	<-time.After(30 * time.Millisecond)
	f.g.applyPlan("engines", rolePlan{Roles: map[string]kumquatlug.Role{worker: kumquatlug.RolePrefill}})
	return <-response
}

// An engine is about to change its role to prefill. Its long streams would delay that by
// ten seconds. They must continue at another engine with their KV cache, and their
// clients receive one complete stream, even if the request may run only once.
func TestStreamMovesWithKVCache(t *testing.T) {
	for _, path := range []string{"/long/?tokens=220,4600", chatRoute} {
		w := &fakeWorkers{}
		w.run = func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
			if c.options.Cache.Handle() != "copy" || c.options.LastEventID == 0 {
				t.Errorf("%s: continued with cache %q after event %d", path, c.options.Cache.Handle(), c.options.LastEventID)
			}
			return streamResponse(int(c.options.LastEventID)+1, 30), nil
		}
		response := moveOneStream(t, path, w, func(_ context.Context, moved chan struct{}) (kumquatlug.KVCacheRef, error) {
			close(moved)
			return kumquatlug.NewKVCacheRef("10.0.0.1:1", "copy"), nil
		})
		if response.err != nil || response.body != events(1, 30) {
			t.Errorf("%s: %d bytes, %v", path, len(response.body), response.err)
		}
		calls := w.recorded()
		if len(calls) != 2 || calls[0].worker == calls[1].worker {
			t.Errorf("%s: sent to %+v", path, calls)
		}
	}
}

// The engine of a stream that may run only once is silent for a second while it copies the KV
// cache, after it has stopped the stream: giving the copy up would cut the stream.
func TestSlowMoveOfNonRepeatableStreamIsAwaited(t *testing.T) {
	w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		return streamResponse(int(c.options.LastEventID)+1, 30), nil
	}}
	response := moveOneStream(t, chatRoute, w, func(ctx context.Context, moved chan struct{}) (kumquatlug.KVCacheRef, error) {
		close(moved)
		if !sleep(ctx, moveTimeout+200) {
			return kumquatlug.KVCacheRef{}, lostConnection()
		}
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "copy"), nil
	})
	if response.err != nil || response.body != events(1, 30) {
		t.Errorf("%d bytes, %v", len(response.body), response.err)
	}
}

// refuseMove serves one stream whose engine shuts down. The other engine has no room for it when it
// is moved, which the first engine answers after a delay: it has stopped the stream and kept its cache.
func refuseMove(t *testing.T, path string, grace, delay kumquatlug.Millis) (clientResponse, *fakeWorkers) {
	t.Helper()
	w, moved, started := &fakeWorkers{}, make(chan struct{}), make(chan string, 1)
	w.run = func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n > 1 {
			if c.options.Withdrawn() {
				return kumquatlug.WorkerResponse{}, kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "connect", Execution: kumquatlug.NotExecuted})
			}
			return streamResponse(int(c.options.LastEventID)+1, 30), nil
		}
		started <- c.worker
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1, Framing: kumquatlug.FramingChunks,
			Body: &movedBody{next: 1, last: 30, moved: moved, end: io.ErrUnexpectedEOF},
		}), nil
	}
	w.move = func(context.Context, string, string) (kumquatlug.KVCacheRef, error) {
		close(moved)
		<-time.After(delay.Duration())
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "kept"), errors.Mark(errors.New("status 503"), kumquatlug.ErrNoRoom)
	}
	f := newTestGateway(t, w, manyRetries)
	f.g.scheduler.c.WorkerGracePeriod = grace
	response := make(chan clientResponse, 1)
	go func() { response <- f.do(context.Background(), http.MethodPost, path) }()
	worker := <-started
	<-time.After(20 * time.Millisecond)
	members := f.g.members.Load().byService
	for i, m := range members["engines"] {
		if m.Worker.ID() == worker {
			members["engines"][i].State = kumquatlug.MemberDraining
		}
	}
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), members)
	return <-response, w
}

// Guards against a stream that is cut, or prefilled anew, because there is no room for it elsewhere when its engine is
// about to leave, although that engine still serves and has kept its memory.
func TestStreamWithoutRoomElsewhereReturnsToItsEngine(t *testing.T) {
	for _, path := range []string{"/long/?tokens=220,4600", chatRoute} {
		response, w := refuseMove(t, path, 100, 0)
		if response.err != nil || response.body != events(1, 30) {
			t.Errorf("%s: %d bytes, %v", path, len(response.body), response.err)
		}
		calls := w.recorded()
		if len(calls) != 2 || calls[0].worker != calls[1].worker || calls[1].options.Cache.Handle() != "kept" {
			t.Errorf("%s: sent to %+v", path, calls)
		}
	}
}

// Guards against a stream that is sent back to its engine after the time in which requests may still reach it.
func TestStreamDoesNotReturnAfterGracePeriod(t *testing.T) {
	for path, whole := range map[string]bool{"/long/?tokens=220,4600": true, chatRoute: false} {
		response, w := refuseMove(t, path, 50, 100)
		if complete := response.err == nil; complete != whole || whole && response.body != events(1, 30) {
			t.Errorf("%s: %d bytes, %v", path, len(response.body), response.err)
		}
		calls := w.recorded()
		for _, c := range calls[1:] {
			if c.worker == calls[0].worker || c.options.Cache.Handle() == "kept" {
				t.Errorf("%s: sent to %+v", path, c)
			}
		}
	}
}

// A stream ends before it can be moved. Its engine reports that it does not run there
// any more, and the client must receive the end of the stream.
func TestFailedMoveKeepsStream(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		t.Error("the request was sent again")
		return kumquatlug.WorkerResponse{}, lostConnection()
	}}
	response := moveOneStream(t, chatRoute, w, func(context.Context, chan struct{}) (kumquatlug.KVCacheRef, error) {
		return kumquatlug.KVCacheRef{}, kumquatlug.ErrNotFound
	})
	if response.err != nil || response.body != events(1, 30) {
		t.Errorf("%d bytes, %v", len(response.body), response.err)
	}
}

// Guards against a stream that ends with its connection because it was to be moved, whose move fails or is left
// unanswered, and that looks complete.
func TestUnframedStreamStoppedByFailedMoveIsNotComplete(t *testing.T) {
	for path, whole := range map[string]bool{"/long/?tokens=220,4600": true, chatRoute: false} {
		w := &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
			return streamResponse(int(c.options.LastEventID)+1, 30), nil
		}}
		got := moveOneFramedStream(t, path, w, kumquatlug.FramingConnection, func(_ context.Context, moved chan struct{}) (kumquatlug.KVCacheRef, error) {
			close(moved)
			<-time.After(20 * time.Millisecond)
			return kumquatlug.KVCacheRef{}, lostConnection()
		})
		if complete := got.err == nil && got.status == http.StatusOK; complete != whole || whole && got.body != events(1, 30) {
			t.Errorf("%s: status %d, error %v, %d of %d bytes", path, got.status, got.err, len(got.body), len(events(1, 30)))
		}
	}
}

// Guards against a whole stream that ends with its connection beside a move and that counts as broken off.
func TestUnframedStreamCompleteBeforeMoveStaysWhole(t *testing.T) {
	for name, framing := range map[string]kumquatlug.Framing{"connection": kumquatlug.FramingConnection, "chunks": kumquatlug.FramingChunks} {
		w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			t.Error(name + ": the request was sent again")
			return kumquatlug.WorkerResponse{}, lostConnection()
		}}
		got := moveOneFramedStream(t, chatRoute, w, framing, func(context.Context, chan struct{}) (kumquatlug.KVCacheRef, error) {
			<-time.After(300 * time.Millisecond)
			return kumquatlug.KVCacheRef{}, kumquatlug.ErrNotFound
		})
		if got.err != nil || got.body != events(1, 30) {
			t.Errorf("%s: %d bytes, %v", name, len(got.body), got.err)
		}
	}
}

// A stream that may run only once was moved, and the other engine refuses it. Starting
// it again would run the request twice, so that the connection to the client must be
// aborted.
func TestMovedStreamIsNotRestarted(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return refusedResponse(), nil
	}}
	response := moveOneStream(t, chatRoute, w, func(_ context.Context, moved chan struct{}) (kumquatlug.KVCacheRef, error) {
		close(moved)
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "copy"), nil
	})
	if response.err == nil {
		t.Errorf("%d bytes look complete", len(response.body))
	}
	if n := len(w.recorded()); n != 2 {
		t.Errorf("%d attempts", n)
	}
}

// A plan of another gateway names an engine. New requests sent there would be refused
// for three seconds and have to be queued again.
func TestAnnouncedEngineGetsNoNewRequests(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return streamResponse(1, 2), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.g.applyPlan("engines", rolePlan{Roles: map[string]kumquatlug.Role{"d1": kumquatlug.RolePrefill}})
	for range 10 {
		f.do(context.Background(), http.MethodPost, chatRoute)
	}
	f.g.applyPlan("engines", rolePlan{Roles: map[string]kumquatlug.Role{"d2": kumquatlug.RolePrefill}})
	response := f.do(context.Background(), http.MethodPost, chatRoute)
	calls := w.recorded()
	if response.status != http.StatusOK || calls[len(calls)-1].worker != "d1" {
		t.Errorf("an engine that is no longer announced gets no requests: %+v", response)
	}
}

// A stream breaks off while it is being moved, and resumes at another engine
// independently. The copy that arrives too late must be released and not used: the
// client would receive some events twice.
func TestLateCacheCopyIsReleased(t *testing.T) {
	for name, abandoned := range map[string]bool{"before the copy": true, "during the copy": false} {
		t.Run(name, func(t *testing.T) {
			started, end := make(chan struct{}), make(chan struct{})
			w := &fakeWorkers{move: func(context.Context, string, string) (kumquatlug.KVCacheRef, error) {
				close(started)
				<-end
				return kumquatlug.NewKVCacheRef("10.0.0.1:1", "late"), nil
			}}
			gateway := newTestGateway(t, w, manyRetries)
			table := gateway.g.table.Load()
			route, _ := table.Match("h", "/long/")
			service, _ := table.Service("engines")
			f := &inflight{g: gateway.g, route: route, service: service, request: kumquatlug.NewRequest(kumquatlug.RequestConfig{ID: "r"})}
			a := &relayedAttempt{requestCtx: t.Context(), attemptCtx: t.Context()}
			if abandoned {
				f.abandon(a)
				f.move(a, f.request, f.placementQuery())
				if a.transfer.Load() != nil {
					t.Error("a copy is made for an ended stream")
				}
				return
			}
			done := make(chan struct{})
			go func() {
				f.move(a, f.request, f.placementQuery())
				close(done)
			}()
			<-started
			f.abandon(a)
			close(end)
			<-done
			cache := <-gateway.g.unusedCaches
			if taken, _ := f.takeTransfer(a); cache.Handle() != "late" || taken != nil {
				t.Errorf("released %q", cache.Handle())
			}
			for id, use := range gateway.g.scheduler.activities("engines") {
				if use != placement.ActivityIdle {
					t.Errorf("%s is %s", id, use)
				}
			}
		})
	}
}

// Guards against a stream that ends inside an event while it is about to be moved and that looks complete, with or without
// the bytes of that event.
func TestStreamEndedInsideEventBesideMoveIsNotComplete(t *testing.T) {
	w := &fakeWorkers{}
	ended := make(chan struct{})
	w.run = func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1, Body: &blockingBody{text: events(1, 2) + "id: 3", end: ended},
		}), nil
	}
	moving := make(chan struct{})
	w.move = func(context.Context, string, string) (kumquatlug.KVCacheRef, error) {
		close(moving)
		close(ended)
		<-time.After(20 * time.Millisecond)
		return kumquatlug.KVCacheRef{}, kumquatlug.ErrNotFound
	}
	f := newTestGateway(t, w, manyRetries)
	response := make(chan clientResponse, 1)
	go func() { response <- f.do(context.Background(), http.MethodPost, chatRoute) }()
	for started := false; !started; {
		<-time.After(5 * time.Millisecond)
		for _, c := range w.recorded() {
			f.g.applyPlan("engines", rolePlan{Roles: map[string]kumquatlug.Role{c.worker: kumquatlug.RolePrefill}})
		}
		select {
		case <-moving:
			started = true
		default:
			f.g.applyPlan("engines", rolePlan{})
		}
	}
	if got := <-response; got.err == nil || got.body != events(1, 2) {
		t.Errorf("%q, %v", got.body, got.err)
	}
}

// blockingBody is a text that ends when the channel is closed.
type blockingBody struct {
	text string
	end  chan struct{}
}

func (h *blockingBody) Read(p []byte) (int, error) {
	n := copy(p, h.text)
	h.text = h.text[n:]
	if n == 0 {
		<-h.end
		return 0, io.EOF
	}
	return n, nil
}

func (h *blockingBody) Close() error { return nil }
