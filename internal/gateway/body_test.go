package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// unsized hides the size of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

// postBody sends a body to a route, in chunks if its size is unknown.
func (f *testGateway) postBody(t *testing.T, route, id string, body io.Reader, timeoutMs int) clientResponse {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.url+route, body)
	if err != nil {
		t.Error(err)
		return clientResponse{}
	}
	return send(r, id, timeoutMs)
}

// postStream sends a body to a route that may not end, in chunks or with a length of 4 MB.
func (f *testGateway) postStream(t *testing.T, route, id string, body io.Reader, chunked bool, timeoutMs int) clientResponse {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.url+route, unsized{body})
	if err != nil {
		t.Error(err)
		return clientResponse{}
	}
	if !chunked {
		r.ContentLength = defaultMaxBodyBytes
	}
	return send(r, id, timeoutMs)
}

// send sends a request on a connection of its own.
func send(r *http.Request, id string, timeoutMs int) clientResponse {
	start := time.Now()
	r.Header = http.Header{"Id": {id}, "Timeout-Ms": {fmt.Sprint(timeoutMs)}}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return clientResponse{err: err, duration: time.Since(start)}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, err: err, duration: time.Since(start)}
}

// Guards against bodies that are accepted beyond the operator's limit, or refused within it.
func TestOversizedBodiesAreRefused(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return wholeResponse(http.StatusOK, "done"), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.setMemory(64 << 20)
	for excess, want := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
		size := defaultMaxBodyBytes + excess
		for framing, body := range map[string]string{
			fmt.Sprintf("Content-Length: %d", size): strings.Repeat("x", size),
			"Transfer-Encoding: chunked":            fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)),
		} {
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			// A body that is refused is not read to its end, so that writing it fails.
			go func() {
				_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nTimeout-Ms: 10000\r\n%s\r\n\r\n%s", postRoute, framing, body)
			}()
			got, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || got.StatusCode != want {
				t.Errorf("%s: %+v, %v, want status %d", framing, got, err, want)
			}
			_ = c.Close()
		}
	}
	if runs, held := len(w.recorded()), f.g.bodies.held(); runs != 2 || held != 0 {
		t.Errorf("%d requests reached workers, want 2; %d bytes are held", runs, held)
	}
}

// Guards against bodies that are changed or cut, whatever their size and framing.
func TestBodiesReachWorkersUnchanged(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return wholeResponse(http.StatusOK, "done"), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	f.setMemory(64 << 20)
	random := rand.New(rand.NewPCG(1, 0))
	for _, size := range []int{0, 1, 1023, 1024, 1025, 32 << 10, 32<<10 + 1, 64<<10 - 1, 64 << 10, 200_001, defaultMaxBodyBytes - 1, defaultMaxBodyBytes} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		for _, chunked := range []bool{false, true} {
			var reader io.Reader = bytes.NewReader(body)
			if chunked {
				reader = unsized{reader}
			}
			calls := len(w.recorded())
			got := f.postBody(t, postRoute, "r1", reader, 10_000)
			if got.status != http.StatusOK || len(w.recorded()) != calls+1 {
				t.Errorf("%d bytes, chunked %t: status %d, %v", size, chunked, got.status, got.err)
				continue
			}
			received := new(bytes.Buffer)
			if _, err := w.recorded()[calls].request.Body().WriteTo(received); err != nil || !bytes.Equal(received.Bytes(), body) {
				t.Errorf("%d bytes, chunked %t: the worker received %d other ones", size, chunked, received.Len())
			}
		}
	}
	if held := f.g.bodies.held(); held != 0 {
		t.Errorf("%d bytes are held after the requests", held)
	}
}

// Large bodies arrive faster than requests complete. Without a bound on their total
// size, the process would run out of memory and fail all other requests.
func TestTotalBodyBytesAreBounded(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	const smallBytes = 15
	held := int64(0)
	for granted := true; granted; {
		if _, granted = f.g.bodies.begin(smallBytes, true); granted {
			held += smallBytes
		}
	}
	if held < 1000-smallBytes || held > 1000 {
		t.Fatalf("%d of 1000 bytes are held", held)
	}
	for name, body := range map[string]io.Reader{"with a length": strings.NewReader(strings.Repeat("b", 100)), "in chunks": unsized{strings.NewReader(strings.Repeat("b", 100))}} {
		got := f.postBody(t, postRoute, "r1", body, 2000)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v", name, got)
		}
		if n := f.g.bodies.held(); n != held {
			t.Errorf("%s: %d bytes counted after the refusal, %d before", name, n, held)
		}
	}
}

// Users send 4 MB each at the same moment, some of them more than fit into the memory. Guards
// against bodies that are held beyond their bound, refused although they would fit one after the
// other, or that delay the small requests beside them.
func TestLargeBodiesShareTheMemory(t *testing.T) {
	const (
		users     = 20
		bodyBytes = 4<<20 - 1024
		memory    = 24 << 20
		smallTime = 500 * time.Millisecond
	)
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			var most int64
			var mu sync.Mutex
			var f *testGateway
			f = newTestGateway(t, &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
				if c.request.Body().Len() > 1000 {
					<-time.After(100 * time.Millisecond)
				}
				mu.Lock()
				defer mu.Unlock()
				most = max(most, f.g.bodies.held())
				return wholeResponse(http.StatusOK, "done"), nil
			}}, manyRetries)
			f.setMemory(memory)
			body := bytes.Repeat([]byte("x"), bodyBytes)
			var large, small sync.WaitGroup
			served, refused := 0, 0
			for range users {
				large.Go(func() {
					var reader io.Reader = bytes.NewReader(body)
					if chunked {
						reader = unsized{reader}
					}
					got := f.postBody(t, postRoute, "large", reader, 6000)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case got.status == http.StatusOK:
						served++
					case got.err != nil || got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "":
						refused++
					default:
						t.Errorf("%+v", got)
					}
				})
			}
			stop := make(chan struct{})
			small.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					if got := f.postBody(t, postRoute, "small", strings.NewReader("body"), 6000); got.status != http.StatusOK || got.duration > smallTime {
						t.Errorf("a small request: %+v", got)
					}
				}
			})
			large.Wait()
			close(stop)
			small.Wait()
			t.Logf("%d served, %d refused, at most %d bytes held", served, refused, most)
			if 2*served < users {
				t.Errorf("%d of %d served", served, users)
			}
			if most > memory {
				t.Errorf("%d bytes held, the memory has %d", most, memory)
			}
			await(t, "all bodies are freed", func() bool { return f.g.bodies.held() == 0 })
		})
	}
}

// The memory stays full, and the route keeps clients waiting for 1.5 s at most. Guards against clients
// that wait for memory until their deadline.
func TestWaitForMemoryLeavesTimeForAnotherGateway(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	f.setMemory(8 << 20)
	full, _ := f.g.bodies.begin(6<<20, true)
	if _, granted := f.g.bodies.grow(full, 6<<20, 6<<20); granted != nil {
		t.Fatal("the memory is not free")
	}
	for _, chunked := range []bool{false, true} {
		var body io.Reader = bytes.NewReader(make([]byte, 3<<20))
		if chunked {
			body = unsized{body}
		}
		got := f.postBody(t, postRoute, "r1", body, 3000)
		if got.err == nil && got.status != http.StatusServiceUnavailable || got.duration < 600*time.Millisecond || got.duration > 1200*time.Millisecond {
			t.Errorf("chunked %t: %+v", chunked, got)
		}
	}
	if held := f.g.bodies.held(); held != 6<<20 {
		t.Errorf("%d bytes held after the refusals", held)
	}
}

// Guards against a body that never ends and holds its memory beyond the client's deadline.
func TestBodyEndsAtItsDeadline(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	f.setMemory(8 << 20)
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = writer.Write(make([]byte, 1<<20)) }()
	got := f.postBody(t, postRoute, "r1", unsized{reader}, 1000)
	if got.err == nil && got.status != http.StatusRequestTimeout || got.duration < 900*time.Millisecond || got.duration > 2*time.Second {
		t.Errorf("%+v", got)
	}
	if held := f.g.bodies.held(); held != 0 {
		t.Errorf("%d bytes held after the deadline", held)
	}
}

// Clients that close their connection after the response send bodies that are refused before their
// end. Guards against a reset of the connection that costs them the refusal.
func TestRefusalReachesClientThatIsStillSending(t *testing.T) {
	f := newTestGateway(t, &fakeWorkers{}, manyRetries)
	f.setMemory(64 << 20)
	for i := range 40 {
		var body io.Reader = bytes.NewReader(make([]byte, 2*defaultMaxBodyBytes))
		if i%2 == 0 {
			body = unsized{body}
		}
		if got := f.postBody(t, postRoute, "r1", body, 6000); got.status != http.StatusRequestEntityTooLarge {
			t.Errorf("chunked %t: %+v", i%2 == 0, got)
		}
	}
}

// Guards against large bodies that are read to their end, or wait for memory, although their request
// can't be served: it would outlast the exit of the gateway, or was denied by its head.
func TestLargeBodiesOfRequestsThatAreNotServedAreNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		route, reason string
		prepare       func(*testGateway)
	}{
		"sent shortly before the exit": {postRoute, reasonStopping, func(f *testGateway) { f.stopped(7200) }},
		"sent to no route":             {"/none", "no_route", func(*testGateway) {}},
		"waits as the exit comes near": {postRoute, reasonStopping, func(f *testGateway) {
			full, _ := f.g.bodies.begin(60<<20, true)
			f.g.bodies.grow(full, 60<<20, 60<<20)
			time.AfterFunc(200*time.Millisecond, func() { f.stopped(7200) })
		}},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", name, chunked), func(t *testing.T) {
				w := respondingWorkers()
				f := newTestGateway(t, w, manyRetries)
				f.g.c.GracePeriod = 8000
				f.setMemory(64 << 20)
				c.prepare(f)
				held := f.g.bodies.held()
				reader, writer := io.Pipe()
				defer func() { _ = writer.Close() }()
				go func() { _, _ = writer.Write(make([]byte, 100<<10)) }()
				got := f.postStream(t, c.route, "r1", reader, chunked, 1500)
				if got.header.Get("Reason") != c.reason || got.header.Get("Ran") != string(kumquatlug.NotExecuted) || got.duration > 600*time.Millisecond || len(w.recorded()) != 0 {
					t.Errorf("%+v", got)
				}
				await(t, "the body is freed", func() bool { return f.g.bodies.held() == held })
			})
		}
	}
}
