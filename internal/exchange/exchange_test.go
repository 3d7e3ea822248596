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

// testPeer is a TCP server whose responses a test writes byte by byte.
type testPeer struct {
	address  string
	accepted atomic.Int64
	requests atomic.Int64
}

// newTestPeer starts a server that calls serve for each connection and closes the
// connection when serve returns.
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

// readRequest reads one request and returns its id, empty at the end of the
// connection.
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
		MatchesResponse: func(a *http.Response) bool { return a.Header.Get("Id") == id },
	}
}

func newPool() *Pool { return New(Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 4}) }

// doRequest sends r and returns the response body.
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
	// Callers remove such headers from responses that they relay.
	response.Header.Del("Keep-Alive")
	return string(text), err
}

// The peer closes a pooled connection while the next request is in flight. A client
// that retries by itself could publish a posting twice, visible to the user.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
			writeResponse(c, p.readRequest(reader), "first")
			// The connection is closed after the second request has been read.
			p.readRequest(reader)
		})
		pool := newPool()
		if text, err := doRequest(t, pool, newRequest(p, method, "1")); err != nil || text != "first" {
			t.Fatal(text, err)
		}
		_, err := doRequest(t, pool, newRequest(p, method, "2"))
		if kumquatlug.ExecutionOf(err) != kumquatlug.ExecutionUnknown {
			t.Errorf("%s: %v, want a failure with ExecutionUnknown", method, err)
		}
		if n := p.requests.Load(); n != 2 {
			t.Errorf("%s: the peer got %d requests, want 2", method, n)
		}
	}
}

// The peer closed a pooled connection some time ago. A request sent on it would be
// lost needlessly, so it must use a new connection.
func TestClosedConnectionIsNotReused(t *testing.T) {
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) { writeResponse(c, p.readRequest(reader), "text") })
	pool := newPool()
	for i := range 5 {
		if _, err := doRequest(t, pool, newRequest(p, http.MethodPost, fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		// Allow the peer's FIN to arrive.
		<-time.After(20 * time.Millisecond)
	}
}

// The peer responds twice to one request. The duplicate may arrive before or after
// the next request is sent and must never be returned for that request.
func TestStrayResponseIsSkipped(t *testing.T) {
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		previousID := ""
		for {
			id := p.readRequest(reader)
			if id == "" {
				return
			}
			if previousID != "" {
				writeResponse(c, previousID, "late response")
			}
			writeResponse(c, id, "response to "+id)
			previousID = id
		}
	})
	pool := newPool()
	for i := range 5 {
		id := fmt.Sprint(i)
		text, err := doRequest(t, pool, newRequest(p, http.MethodPost, id))
		if err != nil || text != "response to "+id {
			t.Fatalf("request %s: %q, %v", id, text, err)
		}
	}
	if p.accepted.Load() != 1 {
		t.Errorf("%d connections, want all responses on one", p.accepted.Load())
	}
}

// Bytes arrive on an idle connection before the next request is sent. They belong
// to no request, so the connection must not be reused.
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

// The peer responds before it has read a long request body. On a reused connection
// it would read the bytes of the next request as the rest of that body.
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
	long.Body = kumquatlug.NewBody(make([]byte, 8<<20))
	if text, err := doRequest(t, pool, long); err != nil || text != "early" {
		t.Fatal(text, err)
	}
	if _, err := doRequest(t, pool, newRequest(p, http.MethodGet, "2")); err == nil && p.accepted.Load() != 2 {
		t.Errorf("the connection was reused while the request body was still being sent")
	}
}

// A response is truncated: before its Content-Length, within a chunk, or by a reset
// when the end of the connection delimits the body. Each must return an error.
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
			// Zero linger resets the connection instead of closing it.
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		if text, err := doRequest(t, newPool(), newRequest(p, http.MethodGet, "1")); err == nil {
			t.Errorf("%s: truncated response %q was returned without an error", name, text)
		}
	}
}

// No process listens at the address. The request was not sent and the failure must
// say so: only then may a request that runs at most once be sent to another peer.
func TestRefusedConnectionReportsNotExecuted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = doRequest(t, newPool(), Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
	if kumquatlug.ExecutionOf(err) != kumquatlug.NotExecuted {
		t.Errorf("%v, want a failure with NotExecuted", err)
	}
}

// A peer that can't be reached has not received the request: nothing may be given up for it. Once
// there is a connection, OnSend must be called, and before the response arrives.
func TestOnSendFollowsConnection(t *testing.T) {
	sent := make(chan struct{}, 2)
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		id := p.readRequest(reader)
		<-sent
		writeResponse(c, id, "done")
	})
	r := newRequest(p, http.MethodPost, "1")
	r.OnSend = func() { sent <- struct{}{} }
	if text, err := doRequest(t, newPool(), r); err != nil || text != "done" {
		t.Fatal(text, err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.Address = l.Addr().String()
	_ = l.Close()
	if _, err = doRequest(t, newPool(), r); err == nil || len(sent) != 0 {
		t.Errorf("%v, %d calls without a connection", err, len(sent))
	}
}

// Guards against a request that reaches a peer which was withdrawn while the connection to it was being made.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	p := newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		for id := p.readRequest(reader); id != ""; id = p.readRequest(reader) {
			writeResponse(c, id, "done")
		}
	})
	pool, withdrawn := newPool(), true
	r := newRequest(p, http.MethodPost, "1")
	r.Withdrawn = func() bool { return withdrawn }
	if _, err := doRequest(t, pool, r); kumquatlug.ExecutionOf(err) != kumquatlug.NotExecuted || p.requests.Load() != 0 {
		t.Errorf("%v, %d requests", err, p.requests.Load())
	}
	withdrawn = false
	if text, err := doRequest(t, pool, r); err != nil || text != "done" {
		t.Fatal(text, err)
	}
	// A kept connection is used at once.
	withdrawn = true
	if text, err := doRequest(t, pool, r); err != nil || text != "done" {
		t.Fatal(text, err)
	}
}

// The client cancels while its request is running. The connection must be closed
// at once, because that makes the peer stop.
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
		t.Fatal("got a response, want an error")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection was not closed")
	}
}

// Line breaks in a header value would let a client inject headers, or a second
// request inside the first.
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
		t.Errorf("the peer received the injected header %q", evil)
	}
}

// A connection has been idle for nearly the peer's timeout. A request sent on it
// could cross the peer's close and be lost.
func TestIdleConnectionsCloseBeforePeerTimeout(t *testing.T) {
	now := clock.NewManual(1000)
	pool := New(Config{Clock: now, MaxIdlePerAddress: 4})
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
	pool.CloseIdle(func(string) bool { return false })
	if len(pool.idle) != 0 {
		t.Error("CloseIdle kept connections to addresses that keep rejected")
	}
}
