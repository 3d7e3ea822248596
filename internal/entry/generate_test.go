package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/engine"
)

// An answer was read up to its end mark, and its body closed with the last
// chunk of the connection still unread. The connection could not be used again,
// and every request made a new one. A user notices nothing but the time; entry
// and agents spend most of theirs on handshakes.
func TestConnectionIsReusedAfterDoneEvent(t *testing.T) {
	var connections atomic.Int64
	agent := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "End")
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
		_ = http.NewResponseController(w).Flush()
		w.Header().Set("End", "whole")
	}))
	agent.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	agent.Start()
	defer agent.Close()
	for range 20 {
		response, err := agent.Client().Get(agent.URL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := engine.NewReader(response.Body).Next(); !errors.Is(err, io.EOF) {
			t.Fatalf("no end mark: %v", err)
		}
		drainBody(response.Body, func() {})
		_ = response.Body.Close()
		if response.Trailer.Get("End") != "whole" {
			t.Fatalf("trailer %v", response.Trailer)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Fatalf("20 requests made %d connections", n)
	}
}

// A target holds the end of its answer back. Without a bound its caller would
// wait for it, with the whole answer at hand.
func TestDrainBodyIsBounded(t *testing.T) {
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	drainBody(body, func() { _ = body.CloseWithError(io.ErrUnexpectedEOF) })
}
