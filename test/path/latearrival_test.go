package path

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The head of a request arrives in two parts, and the gateway stops in between. Guards against a
// gateway that takes itself for idle and closes the connection without an answer.
func TestRequestWhoseHeadArrivesDuringShutdownIsAnswered(t *testing.T) {
	f := newFleet(t)
	for name, first := range map[string]string{"entry-1": "POST /services/gazette/x HTTP/1.1\r\nHost: h\r\n", "entry-2": ""} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.callerURLs[name], "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, first); err != nil {
			t.Fatal(err)
		}
		_ = f.processes[name].command.Process.Signal(syscall.SIGTERM)
		// The balancer lag is 300 ms.
		time.Sleep(700 * time.Millisecond)
		rest := "Authorization: Bearer " + callerKey + "\r\nContent-Length: 2\r\n\r\nhi"
		if first == "" {
			rest = "POST /services/gazette/x HTTP/1.1\r\nHost: h\r\n" + rest
		}
		_, _ = io.WriteString(conn, rest)
		if got, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Errorf("%s, %q first: no answer: %v", name, first, err)
		} else {
			_ = got.Body.Close()
		}
	}
}
