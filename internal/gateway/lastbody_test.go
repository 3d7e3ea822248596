package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against a request that is refused although all of it has been received and it ends before the exit, because
// bodies that have arrived in part are refused by then.
func TestWholeBodyIsServedShortlyBeforeExit(t *testing.T) {
	f := newTestGateway(t, respondingWorkers(), manyRetries)
	f.g.exitAt.Store(int64(f.g.c.Clock.Now() + 30*kumquatlug.Second))
	f.g.endBodies()
	for body, want := range map[string]int{"": http.StatusOK, "body": http.StatusOK, "bo": http.StatusServiceUnavailable} {
		conn, err := net.Dial("tcp", f.url[len("http://"):])
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		length := "4"
		if body == "" {
			length = "0"
		}
		_, _ = io.WriteString(conn, "POST "+postRoute+" HTTP/1.1\r\nHost: h\r\nContent-Length: "+length+"\r\n\r\n"+body)
		if got, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || got.StatusCode != want {
			t.Errorf("%q of %s bytes: %v, %v, want status %d", body, length, got, err, want)
		}
	}
}
