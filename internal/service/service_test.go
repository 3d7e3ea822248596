package service

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The service closes an idle connection just as a posting goes out on it.
// net/http sends such a request again by itself when it carries an
// Idempotency-Key, and the posting could run twice below every check.
func TestBrokenIdleConnectionDoesNotResendPost(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	posts := make(chan string, 8)
	go closeAfterFirstRequest(listener, posts)

	s := New(Config{URL: "http://" + listener.Addr().String()})
	defer s.Close()
	header := http.Header{"Idempotency-Key": {"k"}}
	for range 2 {
		response, err := s.Do(context.Background(), kumquatlug.NewCall(http.MethodPost, "/post", header, nil))
		if err == nil {
			response.Body().Close()
			continue
		}
		if got := kumquatlug.RanOf(err); got != kumquatlug.RanUnknown {
			t.Errorf("a request that reached the service is told as %q", got)
		}
	}
	if len(posts) != 2 {
		t.Fatalf("two calls reached the service as %d requests", len(posts))
	}
}

// closeAfterFirstRequest answers the first request of each connection and drops the
// connection when the second one arrives.
func closeAfterFirstRequest(listener net.Listener, posts chan<- string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			buffer := make([]byte, 4096)
			for i := range 2 {
				n, err := conn.Read(buffer)
				if err != nil {
					return
				}
				posts <- string(buffer[:n])
				if i == 0 {
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}
		}()
	}
}
