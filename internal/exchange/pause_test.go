package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// A peer that pauses for longer than UnackedTimeout while a large body is sent to it fills
// its window. It acknowledges probes, so it is reachable, and the request must not fail.
func TestPausedReaderGetsLargeBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		time.Sleep(2 * UnackedTimeout.Duration())
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	p := New(Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 1})
	response, err := p.Do(ctx, Request{
		Address: listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: kumquatlug.NewBody(make([]byte, 32<<20)),
	})
	if err != nil {
		t.Fatalf("%v", kumquatlug.FailureOf(err).CauseText())
	}
	_ = response.Body.Close()
}

// A peer behind a cut link acknowledges neither bytes nor probes. A large request to it must
// fail, and one to a peer that only doesn't read must not.
func TestUnreachable(t *testing.T) {
	cases := map[string]struct {
		info unix.TCPInfo
		want bool
	}{
		"acknowledges":            {unix.TCPInfo{Unacked: 4, Last_ack_recv: 40}, false},
		"cut":                     {unix.TCPInfo{Unacked: 4, Last_ack_recv: uint32(UnackedTimeout)}, true},
		"window full":             {unix.TCPInfo{Last_ack_recv: 6000, Probes: 1}, false},
		"window full, then cut":   {unix.TCPInfo{Last_ack_recv: 6000, Probes: ProbeCount + 1}, true},
		"nothing left to be sent": {unix.TCPInfo{Last_ack_recv: 6000}, false},
	}
	for name, c := range cases {
		if got := unreachable(&c.info); got != c.want {
			t.Errorf("%s: unreachable %v, want %v", name, got, c.want)
		}
	}
}

// The writer and its watch both report an error when a connection fails.
func TestConcurrentWriteErrorsOfDifferentTypes(t *testing.T) {
	c := &conn{}
	other := error(&net.OpError{Op: "write"})
	c.writeErr.CompareAndSwap(nil, &errUnreachable)
	c.writeErr.CompareAndSwap(nil, &other)
	if !errors.Is(c.writeError(), errUnreachable) {
		t.Errorf("write error %v", c.writeError())
	}
}
