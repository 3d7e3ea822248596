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

// A response body was closed after its [DONE] event with the last chunk still
// unread. Its connection could not be reused and every request opened a new
// one, so that gateways and agents spent most of their time on handshakes.
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
			t.Fatalf("no [DONE] event: %v", err)
		}
		drainBody(response.Body, func() {})
		_ = response.Body.Close()
		if response.Trailer.Get("End") != "whole" {
			t.Fatalf("trailer %v", response.Trailer)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Fatalf("20 requests opened %d connections, want 1", n)
	}
}

// A target delays the end of its response. Without a timeout the caller would
// wait for it although the response is complete.
func TestDrainBodyIsBounded(t *testing.T) {
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	drainBody(body, func() { _ = body.CloseWithError(io.ErrUnexpectedEOF) })
}
