package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// testPeer is a server that a test drives byte by byte.
type testPeer struct {
	address  string
	accepted atomic.Int64
	requests atomic.Int64
}

// newTestPeer calls serve for each connection; it ends with the connection.
func newTestPeer(t *testing.T, serve func(p *testPeer, c net.Conn, reader *bufio.Reader)) *testPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &testPeer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(p, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

// readRequest reads one request and returns its id; empty at the end.
func (p *testPeer) readRequest(reader *bufio.Reader) string {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return ""
	}
	p.requests.Add(1)
	return r.Header.Get("Id")
}

func writeResponse(c net.Conn, id, text string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

func newRequest(p *testPeer, method, id string) Request {
	return Request{
		Address: p.address, Method: method, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Belongs: func(a *http.Response) bool { return a.Header.Get("Id") == id },
	}
}

func newPool() *Pool { return New(Config{Clock: clock.NewMonotonic(), Kept: 4}) }

// doRequest makes one exchange and returns the body.
func doRequest(t *testing.T, pool *Pool, r Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// A kept connection is closed by the peer while the next request is on its way.
// A client that sends the request again by itself would run a posting twice; the
// user would see two of them.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
			writeResponse(c, p.readRequest(reader), "first")
			// The second request is read and the connection closed.
			p.readRequest(reader)
		})
		pool := newPool()
		if text, err := doRequest(t, pool, newRequest(p, method, "1")); err != nil || text != "first" {
			t.Fatal(text, err)
		}
		_, err := doRequest(t, pool, newRequest(p, method, "2"))
		if kumquatlug.RanOf(err) != kumquatlug.RanUnknown {
			t.Errorf("%s: %v, want a failure of which nothing is known", method, err)
		}
		if n := p.requests.Load(); n != 2 {
			t.Errorf("%s: the peer got %d requests, want 2", method, n)
		}
	}
}

// The peer closed a kept connection a while ago. Sent there, a request would be
// lost for no reason: it must go over a new connection.
func TestClosedConnectionIsNotReused(t *testing.T) {
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) { writeResponse(c, p.readRequest(reader), "text") })
	pool := newPool()
	for i := range 5 {
		if _, err := doRequest(t, pool, newRequest(p, http.MethodPost, fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		// The end of the connection is on its way.
		<-time.After(20 * time.Millisecond)
	}
}

// The peer answers one request twice. The second answer may come before the next
// request is sent or after; the user of that request must never get it.
func TestStrayResponseIsSkipped(t *testing.T) {
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		previousID := ""
		for {
			id := p.readRequest(reader)
			if id == "" {
				return
			}
			if previousID != "" {
				writeResponse(c, previousID, "late answer")
			}
			writeResponse(c, id, "answer to "+id)
			previousID = id
		}
	})
	pool := newPool()
	for i := range 5 {
		id := fmt.Sprint(i)
		text, err := doRequest(t, pool, newRequest(p, http.MethodPost, id))
		if err != nil || text != "answer to "+id {
			t.Fatalf("request %s: %q, %v", id, text, err)
		}
	}
	if p.accepted.Load() != 1 {
		t.Errorf("%d connections, want the answers to be found on one", p.accepted.Load())
	}
}

// Bytes lie on a kept connection before the next request leaves. They belong to
// no request, so the connection is of no use.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		id := p.readRequest(reader)
		writeResponse(c, id, "text")
		writeResponse(c, id, "text once more")
		p.readRequest(reader)
	})
	pool := newPool()
	if _, err := doRequest(t, pool, newRequest(p, http.MethodPost, "1")); err != nil {
		t.Fatal(err)
	}
	<-time.After(20 * time.Millisecond)
	if _, err := doRequest(t, pool, newRequest(p, http.MethodPost, "2")); err != nil {
		t.Fatal(err)
	}
	if p.accepted.Load() != 2 {
		t.Errorf("%d connections, want a new one", p.accepted.Load())
	}
}

// The peer answers before it has read a long body. Bytes of the next request
// must not be taken for the rest of that body.
func TestResponseBeforeRequestBodyIsSent(t *testing.T) {
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		writeResponse(c, r.Header.Get("Id"), "early")
		<-time.After(30 * time.Millisecond)
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != 8<<20 {
			return
		}
		p.requests.Add(1)
		writeResponse(c, p.readRequest(reader), "second")
	})
	pool := newPool()
	long := newRequest(p, http.MethodPost, "1")
	long.Body = make([]byte, 8<<20)
	if text, err := doRequest(t, pool, long); err != nil || text != "early" {
		t.Fatal(text, err)
	}
	if _, err := doRequest(t, pool, newRequest(p, http.MethodGet, "2")); err == nil && p.accepted.Load() != 2 {
		t.Errorf("the connection was used again while the body was on its way")
	}
}

// An answer breaks off: before its stated length, within a chunk, or by a reset
// of a connection whose end would be the end of the answer. None may look whole.
func TestTruncatedResponseIsAnError(t *testing.T) {
	heads := map[string]string{
		"length":  "Content-Length: 10\r\n\r\nabc",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"none":    "\r\nabc",
	}
	for name, head := range heads {
		p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", p.readRequest(reader), head)
			<-time.After(20 * time.Millisecond)
			// The connection is reset rather than closed.
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		if text, err := doRequest(t, newPool(), newRequest(p, http.MethodGet, "1")); err == nil {
			t.Errorf("%s: %q looks whole", name, text)
		}
	}
}

// Nobody listens at the address. The request has not left, and the failure must
// say so: only then may one that runs at most once go elsewhere.
func TestRefusedConnectionReportsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = doRequest(t, newPool(), Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
	if kumquatlug.RanOf(err) != kumquatlug.RanNot {
		t.Errorf("%v, want a failure that says not run", err)
	}
}

// The client leaves while its request is at work. The connection must be closed
// at once, as that is what makes the peer stop.
func TestCancelledRequestClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		p.readRequest(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := newPool().Do(ctx, newRequest(p, http.MethodPost, "1")); err == nil {
		t.Fatal("an answer came")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}

// A value that holds line breaks would let a client write headers of its own, or
// a second request inside its first.
func TestHeaderInjectionIsPrevented(t *testing.T) {
	got := make(chan string, 1)
	p := newTestPeer(t, func(_ *testPeer, c net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			got <- err.Error()
			return
		}
		got <- strings.Join(r.Header["Evil"], "")
		writeResponse(c, r.Header.Get("Id"), "")
	})
	r := newRequest(p, http.MethodGet, "1")
	r.Header.Set("Note", "x\r\nEvil: yes\r\n\r\nGET /other HTTP/1.1")
	if _, err := doRequest(t, newPool(), r); err != nil {
		t.Fatal(err)
	}
	if evil := <-got; evil != "" {
		t.Errorf("the peer saw %q", evil)
	}
}

// A connection lay idle for nearly as long as the peer keeps it. The request
// would meet the peer's close on the way.
func TestIdleConnectionsCloseBeforePeerTimeout(t *testing.T) {
	now := clock.NewManual(1000)
	pool := New(Config{Clock: now, Kept: 4})
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		for id := p.readRequest(reader); id != ""; id = p.readRequest(reader) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n", id)
		}
	})
	for i, step := range []struct {
		after kumquatlug.Millis
		want  int64
	}{{0, 1}, {2300, 1}, {2500, 2}} {
		now.Advance(step.after)
		if _, err := doRequest(t, pool, newRequest(p, http.MethodGet, fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		if n := p.accepted.Load(); n != step.want {
			t.Errorf("after %d ms more: %d connections, want %d", step.after, n, step.want)
		}
	}
	pool.Sweep(func(string) bool { return false })
	if len(pool.idle) != 0 {
		t.Error("connections to peers that are gone are kept")
	}
}
