package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// endlessBody is the body of a response that begins with these bytes and goes on with x without end, one byte after
// each pause, or as fast as it is read without one. It ends with its context or once it is closed.
type endlessBody struct {
	ctx    context.Context
	begin  *strings.Reader
	pause  time.Duration
	read   atomic.Int64
	closed atomic.Bool
}

func newEndlessBody(ctx context.Context, begin string, pause time.Duration) *endlessBody {
	return &endlessBody{ctx: ctx, begin: strings.NewReader(begin), pause: pause}
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	if n, err := b.begin.Read(p); err == nil {
		return n, nil
	}
	if b.pause > 0 {
		p = p[:1]
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(b.pause):
	}
	for i := range p {
		p[i] = 'x'
	}
	b.read.Add(int64(len(p)))
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.closed.Store(true)
	return nil
}

// response returns a response with this body.
func (b *endlessBody) response() kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1, Framing: kumquatlug.FramingChunks, Body: b,
	})
}

// endlessStreams are workers of which the first one sends events 1 to 3 and begins a fourth that doesn't end.
func endlessStreams(pause time.Duration) (*fakeWorkers, *atomic.Pointer[endlessBody]) {
	body := &atomic.Pointer[endlessBody]{}
	return &fakeWorkers{run: func(ctx context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n > 1 {
			// Bytes of the endless event arrive before this worker has accepted the stream.
			<-time.After(3 * pause)
			return streamResponse(int(c.options.LastEventID)+1, 8), nil
		}
		body.Store(newEndlessBody(ctx, events(1, 3)+"id: 4\ndata: ", pause))
		return body.Load().response(), nil
	}}, body
}

// eventMemory is the memory for response bodies of a gateway that holds events back.
const eventMemory = 16 << 20

// Guards against a stream whose event doesn't end, of which the client gets parts until the timeout of the route, and that
// doesn't resume elsewhere where its route allows it.
func TestEndlessEventIsBroken(t *testing.T) {
	for route, runs := range map[string]int{longRoute: 2, chatRoute: 1} {
		w, body := endlessStreams(0)
		g := newTestGateway(t, w, manyRetries)
		g.g.c.MaxBufferBytes = eventMemory
		got := g.do(t.Context(), http.MethodPost, route)
		whole, want := got.status == 200 && got.err == nil && got.body == events(1, 8), events(1, 3)
		if runs == 2 && !whole || runs == 1 && (got.err == nil || got.body != want) || recordedRuns(w) != runs {
			t.Errorf("%s: status %d, error %v, %d bytes, %d runs", route, got.status, got.err, len(got.body), recordedRuns(w))
		}
		if read := body.Load().read.Load(); read > maxEventBytes+readBufferBytes || !body.Load().closed.Load() || got.duration > time.Second {
			t.Errorf("%s: %d bytes read, closed %t, after %v", route, read, body.Load().closed.Load(), got.duration)
		}
	}
}

// Guards against an event that arrives one byte at a time and never ends, and whose bytes count as progress so that no other
// worker takes the stream over.
func TestDrippingEventIsTakenOver(t *testing.T) {
	w, body := endlessStreams(10 * time.Millisecond)
	g := newTestGateway(t, w, manyRetries)
	go g.g.runTimers(t.Context())
	got := g.do(t.Context(), http.MethodPost, longRoute)
	if got.err != nil || got.status != 200 || got.body != events(1, 8) || recordedRuns(w) != 2 {
		t.Errorf("status %d, error %v, body %q, %d runs, after %v", got.status, got.err, got.body, recordedRuns(w), got.duration)
	}
	if !body.Load().closed.Load() {
		t.Error("the body is not closed")
	}
}

// Guards against an event without end from a peer gateway, of which the client gets parts.
func TestEndlessEventOfPeerIsBroken(t *testing.T) {
	for route, want := range map[string]string{longRoute: events(1, 8), chatRoute: events(1, 3)} {
		p := newHandoffPair(t, streamWorkers(1, 8), streamWorkers(1, 8), manyRetries)
		p.a.g.c.MaxBufferBytes = eventMemory
		peer := &endlessPeer{}
		p.a.g.c.PeerClient = peer
		got := p.a.do(t.Context(), http.MethodPost, route)
		if (got.err == nil) != (route == longRoute) || got.body != want {
			t.Errorf("%s: status %d, error %v, %d bytes", route, got.status, got.err, len(got.body))
		}
		if read := peer.body.read.Load(); read > maxEventBytes+readBufferBytes || !peer.body.closed.Load() || p.a.g.bufferBytes.Load() != 0 {
			t.Errorf("%s: %d bytes read, closed %t, %d bytes reserved", route, read, peer.body.closed.Load(), p.a.g.bufferBytes.Load())
		}
	}
}

// endlessPeer is a peer gateway that sends events 1 to 3 and begins a fourth that doesn't end.
type endlessPeer struct{ body *endlessBody }

func (p *endlessPeer) HandOff(ctx context.Context, _ kumquatlug.HandoffRequest) (kumquatlug.HandoffResponse, error) {
	p.body = newEndlessBody(ctx, events(1, 3)+"id: 4\ndata: ", 0)
	return kumquatlug.NewHandoffResponse(kumquatlug.HandoffResponseConfig{
		Response: p.body.response(), Version: "v1", GaveUp: func() bool { return false },
	}), nil
}

// Guards against limits that break sound responses: an event of nearly the largest size, a long stream, and a large body of
// another content type on the route of a stream.
func TestLargeSoundResponsesStayWhole(t *testing.T) {
	for name, c := range map[string]struct{ body, contentType string }{
		"event":         {"id: 1\ndata: " + strings.Repeat("x", maxEventBytes-100) + "\n\n" + events(2, 3), ""},
		"several":       {strings.Repeat("id: 1\ndata: "+strings.Repeat("x", maxEventBytes/2)+"\n\n", 12), "text/event-stream"},
		"long stream":   {events(1, 50_000), ""},
		"other content": {strings.Repeat("y", 4*maxEventBytes), "application/json"},
	} {
		for _, memory := range []int64{1000, eventMemory} {
			w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
				response := endedResponse(c.body, kumquatlug.FramingChunks)
				response.Header().Set("Content-Type", c.contentType)
				return response, nil
			}}
			g := newTestGateway(t, w, manyRetries)
			g.g.c.MaxBufferBytes = memory
			got := g.do(t.Context(), http.MethodPost, longRoute)
			if got.err != nil || got.body != c.body || recordedRuns(w) != 1 || g.g.bufferBytes.Load() != 0 {
				t.Errorf("%s, %d bytes of memory: status %d, error %v, %d of %d bytes, %d runs, %d bytes reserved", name, memory, got.status, got.err,
					len(got.body), len(c.body), recordedRuns(w), g.g.bufferBytes.Load())
			}
		}
	}
}

// Guards against a plain body without end that fills the memory, or that is read on after the timeout of its route.
func TestEndlessPlainBodyEndsAtTimeout(t *testing.T) {
	var body *endlessBody
	w := &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		body = newEndlessBody(ctx, "", 0)
		return body.response(), nil
	}}
	g := newTestGateway(t, w, manyRetries)
	began := time.Now()
	err := discardResponse(t.Context(), g.url+postRoute, "r1")
	if took := time.Since(began); err == nil || took > 3*time.Second {
		t.Errorf("error %v after %v", err, took)
	}
	for deadline := time.Now().Add(time.Second); !body.closed.Load() && time.Now().Before(deadline); {
		<-time.After(time.Millisecond)
	}
	if !body.closed.Load() {
		t.Error("the body is not closed")
	}
}

// discardResponse sends a request and reads its response to the end without keeping it.
func discardResponse(ctx context.Context, url, id string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return err
	}
	r.Header.Set("Id", id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// endlessStreamCount is the number of streams without end at once.
const endlessStreamCount = 100

// maxHeapPerStream is the memory of a stream at a gateway and in its client, of which both run here, beside the events held
// back: requests and buffers, and 64 KB of an event for which nothing is reserved, twice while it grows.
const maxHeapPerStream = 256 << 10

// Guards against a heap that grows with the events that 100 workers never end.
func TestHeapStaysFlatWithEndlessEvents(t *testing.T) {
	w := &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		return newEndlessBody(ctx, events(1, 3)+"id: 4\ndata: ", 0).response(), nil
	}}
	g := newTestGateway(t, w, manyRetries)
	g.g.c.MaxBufferBytes = eventMemory
	byService := map[string][]kumquatlug.Member{}
	for i := range endlessStreamCount {
		byService["engines"] = append(byService["engines"], member(fmt.Sprintf("d%d", i), kumquatlug.RoleDecode))
	}
	g.g.members.Store(&memberSet{loaded: true, byService: byService})
	g.g.scheduler.syncMembers(g.g.c.Clock.Now(), byService)
	grown := standin.HeapGrowth(func() {
		var streams sync.WaitGroup
		for i := range endlessStreamCount {
			streams.Go(func() {
				if err := discardResponse(t.Context(), g.url+chatRoute, fmt.Sprint("r", i)); err == nil {
					t.Error("a stream without end is complete")
				}
			})
		}
		streams.Wait()
	})
	// What is held back takes twice its size while it grows, and as much again until the garbage collector runs.
	bound := int64(4*eventMemory + endlessStreamCount*maxHeapPerStream)
	t.Logf("the heap grew by %d KB, bound %d KB", grown>>10, bound>>10)
	if grown > bound {
		t.Errorf("the heap grew by %d bytes, bound %d", grown, bound)
	}
	if runs := recordedRuns(w); runs != endlessStreamCount {
		t.Errorf("%d streams", runs)
	}
	if reserved := g.g.bufferBytes.Load(); reserved != 0 {
		t.Errorf("%d bytes are still reserved", reserved)
	}
}
