package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// maxProcessBytes is the memory of a gateway process at a site with small gateways, and
// maxTestBodyBytes its bound for bodies and for buffers, a sixth of it.
const (
	maxProcessBytes  = 144_000_000
	maxTestBodyBytes = maxProcessBytes / 6
)

// patientIngress decodes the requests of clients that wait for 20 s.
type patientIngress struct{ plainIngress }

const patientTimeout = 20 * kumquatlug.Second

func (patientIngress) Decode(r *http.Request) (kumquatlug.Request, error) {
	return kumquatlug.NewRequest(kumquatlug.RequestConfig{
		ID: r.Header.Get("Id"), Host: "h", Method: r.Method, Path: r.URL.Path, Target: r.URL.Path,
		Timeout: patientTimeout, Prompt: kumquatlug.NewPrompt(nil, 9000, 104),
	}), nil
}

// newPatientGateway returns a gateway for such clients.
func newPatientGateway(t *testing.T, w *fakeWorkers) *testGateway {
	t.Helper()
	f := newTestGateway(t, w, manyRetries)
	f.setMemory(maxTestBodyBytes)
	f.g.c.Ingress = patientIngress{}
	c := testConfig(8)
	for i, r := range c.Routes {
		services := []kumquatlug.WeightedService{{Service: r.Service(""), Weight: 1}}
		c.Routes[i] = kumquatlug.NewRoute(kumquatlug.RouteConfig{
			Host: "h", Name: r.Name(), Prefix: r.Name(), LatencyTarget: 200, Timeout: patientTimeout, Stream: r.Stream(), Resumable: r.Stream(),
			HasPrompts: r.Stream(), Services: services, MaxWorkers: 2, RetryPolicy: kumquatlug.RetryIdempotent,
		})
	}
	f.g.table.Store(routes.NewTable(c))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: f.g, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateNew {
			// Kernels keep as little for a connection with a small window.
			_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(l) })
	running.Go(func() { f.g.runTimers(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
	f.url = "http://" + l.Addr().String()
	return f
}

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// slowClient sends a request and returns its connection without reading a response.
func (f *testGateway) slowClient(t *testing.T, method, path string, body []byte) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	conn := c.(*net.TCPConn)
	if err := conn.SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	// The address tells the clients' requests apart.
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n", method, path, conn.LocalAddr(), len(body))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil && len(body) == 0 {
		// A body that is refused is not read to its end.
		t.Fatal(err)
	}
	return conn
}

// repeatedReader reads text a number of times.
type repeatedReader struct {
	text string
	left int
	rest string
}

func (r *repeatedReader) Read(b []byte) (int, error) {
	if r.rest == "" {
		if r.left == 0 {
			return 0, io.EOF
		}
		r.left--
		r.rest = r.text
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Hundreds of clients read their responses slowly. What the gateway holds for them must
// not grow with their number, or it is killed with all its requests; and a client that
// reads on must get its whole response.
func TestSlowClientsDoNotExhaustMemory(t *testing.T) {
	const clients, responseBytes, chunk = 500, 2 << 20, 1 << 10
	w := &fakeWorkers{run: func(ctx context.Context, _ int, _ workerCall) (kumquatlug.WorkerResponse, error) {
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: responseBytes,
			Body: &contextBody{ctx: ctx, Reader: &repeatedReader{text: strings.Repeat("x", chunk), left: responseBytes / chunk}},
		}), nil
	}}
	f := newPatientGateway(t, w)
	before := heapBytes()
	var last *net.TCPConn
	for range clients {
		last = f.slowClient(t, http.MethodGet, lookupRoute, nil)
	}
	// A request whose first output is late on a busy machine is tried at a second worker, so
	// that requests are counted here and not attempts.
	await(t, "all requests have reached a worker", func() bool {
		requests := map[string]bool{}
		for _, c := range w.recorded() {
			requests[c.request.ID()] = true
		}
		return len(requests) == clients
	})
	// The responses fill the buffers of the connections meanwhile, and their workers seem
	// to send nothing.
	<-time.After(900 * time.Millisecond)
	if grown := heapBytes() - before; grown > maxProcessBytes/2 {
		t.Errorf("the heap has grown by %d bytes for %d slow clients", grown, clients)
	} else {
		t.Logf("%d bytes for %d slow clients", grown, clients)
	}
	response, err := http.ReadResponse(bufio.NewReader(last), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != responseBytes {
		t.Errorf("a slow client got %d bytes: %v", n, err)
	}
}

// Clients stop reading their streams for longer than a stream may stall at its worker.
// The workers did nothing wrong: they must not be excluded, and their streams must not be
// cut off or started again elsewhere.
func TestStreamsOfSlowClientsAreNotCut(t *testing.T) {
	const clients, count = 6, 400
	text := "id: %d\ndata: " + strings.Repeat("x", 4000) + "\n\n"
	var whole bytes.Buffer
	for n := range count {
		fmt.Fprintf(&whole, text, n+1)
	}
	w := &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1,
			Body: &contextBody{ctx: ctx, Reader: bytes.NewReader(whole.Bytes())},
		}), nil
	}}
	w.state = func() (kumquatlug.EngineState, error) { return kumquatlug.EngineState{}, lostConnection() }
	f := newPatientGateway(t, w)
	var conns []*net.TCPConn
	for range clients {
		conns = append(conns, f.slowClient(t, http.MethodPost, longRoute, nil))
	}
	<-time.After(1800 * time.Millisecond)
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || !bytes.Equal(got, whole.Bytes()) {
			t.Errorf("a slow client got %d of %d bytes: %v", len(got), whole.Len(), err)
		}
	}
	runs := 0
	for _, c := range w.recorded() {
		if !c.prefill {
			runs++
		}
	}
	if runs != clients {
		t.Errorf("%d attempts for %d streams", runs, clients)
	}
}

// contextBody is a response body that breaks off when the attempt is canceled.
type contextBody struct {
	io.Reader
	ctx context.Context
}

func (b *contextBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

func (b *contextBody) Close() error { return nil }

// Hundreds of clients declare a large body and send it slowly. The memory that is
// allocated for a body must be counted before it has arrived.
func TestSlowUploadsCountAsBodies(t *testing.T) {
	const clients, bodyBytes = 400, 900_000
	f := newPatientGateway(t, &fakeWorkers{})
	before := heapBytes()
	for range clients {
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: %d\r\n\r\nbegin", postRoute, bodyBytes)
	}
	<-time.After(300 * time.Millisecond)
	if grown := heapBytes() - before; grown > maxProcessBytes {
		t.Errorf("the heap has grown by %d bytes for %d bodies", grown, clients)
	}
}

// Hundreds of clients send large bodies at the same moment to a worker that does not read
// its requests. The bodies in flight must stay within their bound, however they arrive,
// and must be freed once the requests have ended.
func TestSlowWorkerDoesNotExhaustMemory(t *testing.T) {
	const clients, bodyBytes = 400, 900_000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var mu sync.Mutex
	var unread []net.Conn
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			mu.Lock()
			unread = append(unread, c)
			mu.Unlock()
		}
	}()
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range unread {
			_ = c.Close()
		}
	}()
	pool := exchange.New(exchange.Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 4})
	w := &fakeWorkers{run: func(ctx context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		_, err := pool.Do(ctx, exchange.Request{
			Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: c.request.Body(),
		})
		return kumquatlug.WorkerResponse{}, err
	}}
	f := newPatientGateway(t, w)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	before := heapBytes()
	stop := make(chan struct{})
	var most atomic.Int64
	var sampled, sent sync.WaitGroup
	sampled.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				most.Store(max(most.Load(), heapBytes()-before))
			}
		}
	})
	for range clients {
		sent.Go(func() {
			r, err := http.NewRequest(http.MethodPost, f.url+postRoute, bytes.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			r.Header.Set("Id", "r1")
			if response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r); err == nil {
				response.Body.Close()
			}
		})
	}
	sent.Wait()
	close(stop)
	sampled.Wait()
	t.Logf("at most %d bytes for %d bodies of %d bytes", most.Load(), clients, bodyBytes)
	if most.Load() > maxProcessBytes {
		t.Errorf("the heap has grown by %d bytes", most.Load())
	}
	w.mu.Lock()
	w.calls = nil
	w.mu.Unlock()
	await(t, "all bodies are freed", func() bool { return f.g.bodies.held() == 0 && heapBytes()-before < maxTestBodyBytes })
}
