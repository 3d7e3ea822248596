package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against a body that is cut short without an error, that contains bytes after its end, or whose connection is
// used again although more may come on it.
func TestEndsOfResponses(t *testing.T) {
	const stamp = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, c := range map[string]struct {
		response, body string
		reset          bool
		// failed says that there is no response, or that reading its body fails. reused says that the next
		// request uses the same connection.
		failed, reused bool
	}{
		"length":                       {response: stamp + "Content-Length: 4\r\n\r\nbody", body: "body", reused: true},
		"length, reset":                {response: stamp + "Content-Length: 9\r\n\r\nbody", body: "body", reset: true, failed: true},
		"length, closed":               {response: stamp + "Content-Length: 9\r\n\r\nbody", body: "body", failed: true},
		"more bytes than the length":   {response: stamp + "Content-Length: 4\r\n\r\nbody and more", body: "body"},
		"the same length twice":        {response: stamp + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", body: "body", reused: true},
		"two lengths":                  {response: stamp + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody", failed: true},
		"chunks":                       {response: stamp + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", body: "body", reused: true},
		"chunks and a length":          {response: stamp + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", body: "body", reused: true},
		"chunks without the last one":  {response: stamp + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", body: "body", failed: true},
		"connection":                   {response: stamp + "\r\nbody", body: "body"},
		"connection, reset":            {response: stamp + "\r\nbody", body: "body", reset: true, failed: true},
		"space after the name, length": {response: stamp + "Content-Length : 9\r\n\r\nbody", body: "body", failed: true},
		"space after the name, chunks": {response: stamp + "transfer-encoding  : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", body: "body", failed: true},
		"space after another name":     {response: stamp + "Other : 9\r\nContent-Length: 4\r\n\r\nbody", body: "body", failed: true},
		"folded length":                {response: stamp + "Content-Length: 4\r\n 2\r\n\r\nbody", failed: true},
		"empty length":                 {response: stamp + "Content-Length:\r\n\r\nbody", failed: true},
		"half a name":                  {response: stamp + "Content-Len\r\n\r\nbody", failed: true},
		"half a length":                {response: stamp + "Content-Length: 4\r\n\r\nbody" + strings.Repeat("y", 38), body: "body"},
		"line feeds":                   {response: strings.ReplaceAll(stamp+"Content-Length: 4\r\n\r\nbody", "\r\n", "\n"), body: "body", reused: true},
		"line feeds in chunks":         {response: stamp + "Transfer-Encoding: chunked\r\n\r\n4\nbody\n0\n\n", body: "body", failed: true},
		"no content, with a body":      {response: "HTTP/1.1 204 No Content\r\nId: a\r\n\r\nbody"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPeer(t, func(p *testPeer, conn net.Conn, reader *bufio.Reader) {
				for p.readRequest(reader) != "" {
					_, _ = io.WriteString(conn, c.response)
					switch {
					case c.reset:
						// Allow the bytes to arrive.
						<-time.After(20 * time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
						return
					case c.failed || strings.HasPrefix(name, "connection"):
						return
					}
				}
			})
			pool := newPool()
			for range 2 {
				text, err := doRequest(t, pool, newRequest(p, http.MethodGet, "a"))
				if (err != nil) != c.failed || !strings.HasPrefix(c.body, text) || err == nil && text != c.body {
					t.Errorf("body %q, %v", text, err)
				}
			}
			if got := p.accepted.Load(); (got == 1) != c.reused {
				t.Errorf("%d connections", got)
			}
		})
	}
}

// Guards against framings that are taken for one another.
func TestFramingOfResponses(t *testing.T) {
	for head, want := range map[string]kumquatlug.Framing{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":               kumquatlug.FramingLength,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n": kumquatlug.FramingChunks,
		"HTTP/1.1 200 OK\r\n\r\n":                                    kumquatlug.FramingConnection,
		"HTTP/1.0 200 OK\r\n\r\n":                                    kumquatlug.FramingConnection,
		"HTTP/1.1 204 No Content\r\n\r\n":                            kumquatlug.FramingLength,
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatal(err)
		}
		if got := FramingOf(response); got != want {
			t.Errorf("%q: %q, want %q", head, got, want)
		}
		response.Body.Close()
	}
}

// Guards against a part of a response that looks complete, from a peer that marks the end of each.
func TestRequiredFraming(t *testing.T) {
	p := newTestPeer(t, func(p *testPeer, conn net.Conn, reader *bufio.Reader) {
		p.readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
	})
	r := newRequest(p, http.MethodGet, "a")
	r.RequireFraming = true
	response, err := newPool().Do(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if text, err := io.ReadAll(response.Body); !errors.Is(err, ErrUnframed) || string(text) != "half" {
		t.Errorf("%q, %v", text, err)
	}
}
