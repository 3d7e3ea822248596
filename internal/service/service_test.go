package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The service closes an idle connection while a POST is sent on it. net/http
// resends a request with an Idempotency-Key by itself, so the POST could run twice,
// undetected by the run-once checks.
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
		if got := kumquatlug.ExecutionOf(err); got != kumquatlug.ExecutionUnknown {
			t.Errorf("execution of a request that reached the service is %q, want unknown", got)
		}
	}
	if len(posts) != 2 {
		t.Fatalf("the service received %d requests for two calls", len(posts))
	}
}

// The service closes an idle connection while a call that must not be repeated is sent on
// it. Whether the call ran would stay unknown for ever.
func TestRunOnceCallAvoidsIdleConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go closeAfterFirstRequest(listener, make(chan string, 8))
	s := New(Config{URL: "http://" + listener.Addr().String()})
	defer s.Close()
	calls := []kumquatlug.Call{
		kumquatlug.NewCall(http.MethodGet, "/", http.Header{}, nil),
		kumquatlug.NewCall(http.MethodPost, "/post", http.Header{"Idempotency-Key": {"k"}}, nil),
		kumquatlug.NewCall(http.MethodPost, "/post", http.Header{"Idempotency-Key": {"l"}}, nil),
	}
	for i, call := range calls {
		response, err := s.Do(t.Context(), call)
		if err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, response.Body()); err != nil {
			t.Fatal(err)
		}
		response.Body().Close()
	}
}

// closeAfterFirstRequest responds to the first request on each connection and closes
// the connection when the second one arrives.
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

// Guards against a part of a response that looks complete because the target reset the connection while a large call was sent.
func TestResponseResetDuringLargeCallIsBroken(t *testing.T) {
	const plays = 20
	for name, text := range standin.PartialResponses("") {
		server, err := standin.NewRawServer(func(*http.Request) standin.RawResponse { return standin.ResetDuringUpload(text) })
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		complete := 0
		for range plays {
			s := New(Config{URL: "http://" + server.Address()})
			response, err := s.Do(t.Context(), kumquatlug.NewCall(http.MethodPost, "/post", http.Header{}, bytes.NewReader(make([]byte, 8<<20))))
			if err != nil {
				continue
			}
			if _, err = io.Copy(io.Discard, response.Body()); err == nil {
				complete++
			}
			response.Body().Close()
			s.Close()
		}
		if complete > 0 {
			t.Errorf("%s: %d of %d responses complete", name, complete, plays)
		}
	}
}

// requireBroken requires that no call to a target that answers with these bytes has a response, nor its health check.
func requireBroken(t *testing.T, responses ...string) {
	t.Helper()
	for _, raw := range responses {
		server, err := standin.NewRawServer(func(*http.Request) standin.RawResponse { return standin.RawResponse{Writes: []string{raw}} })
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		s := New(Config{URL: "http://" + server.Address()})
		defer s.Close()
		response, err := s.Do(t.Context(), kumquatlug.NewCall(http.MethodPost, "/post", http.Header{}, nil))
		if err == nil {
			text, err := io.ReadAll(response.Body())
			response.Body().Close()
			t.Errorf("%q: status %d, body %q, %v", raw, response.Status(), text, err)
		} else if kumquatlug.ExecutionOf(err) != kumquatlug.ExecutionUnknown {
			t.Errorf("%q: %v", raw, err)
		}
		if s.Healthy(t.Context()) == nil {
			t.Errorf("%q: healthy", raw)
		}
	}
}

// Guards against a status that HTTP doesn't define and that counts as a response of the target.
func TestInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "+20", "600", "999"} {
		requireBroken(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 "+status+" X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.0 "+status+" X\r\n\r\nbody")
	}
}

// Guards against a head with a line that is no header, which is passed on, or whose body ends elsewhere than the target meant.
func TestInvalidHeaderNameIsBroken(t *testing.T) {
	for _, name := range []string{"X ", "X Y", "Content Length", "Content-Length ", "Transfer-Encoding ", "X\t", "X\x00", "X\x01", "X\x7f", ""} {
		requireBroken(t, "HTTP/1.1 200 OK\r\n"+name+": 2\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+name+": 2\r\n\r\nbody")
	}
}
