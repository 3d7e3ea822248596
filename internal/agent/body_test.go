package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/service"
	"github.com/kumquatlug/kumquatlug/internal/standin"
	standinservice "github.com/kumquatlug/kumquatlug/internal/standin/service"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// serveWork sends one call to an agent beside a target, and returns the body and how it ended.
func serveWork(t *testing.T, targetURL, accept string) (body, end string) {
	t.Helper()
	server := httptest.NewServer(newServiceAgent(t, targetURL).work)
	defer server.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+peer.WorkPath+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	peer.NewWork(peer.WorkConfig{Request: "r", Attempt: 1, Kind: kumquatlug.NewKind(kumquatlug.ProtocolService, "read"), Revision: 1, Timeout: kumquatlug.Minute}).Write(r.Header)
	r.Header.Set("Accept", accept)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text), response.Trailer.Get(peer.TrailerEnd)
}

// Guards against responses that are marked as complete although their target broke them off, and against whole
// ones that count as broken off.
func TestEndOfTargetsResponse(t *testing.T) {
	for _, c := range []struct {
		accept string
		ending standin.Ending
		end    string
	}{
		{"*/*", standin.EndingFramed, peer.EndComplete},
		{"*/*", standin.EndingConnection, peer.EndComplete},
		{"*/*", standin.EndingReset, peer.EndTruncated},
		{"text/event-stream", standin.EndingFramed, peer.EndComplete},
		{"text/event-stream", standin.EndingConnection, peer.EndComplete},
		{"text/event-stream", standin.EndingInside, peer.EndTruncated},
		{"text/event-stream", standin.EndingReset, peer.EndTruncated},
	} {
		target := httptest.NewServer(standinservice.New(standinservice.Config{Ending: c.ending, MinResponseBytes: 500}).Handler())
		if body, end := serveWork(t, target.URL, c.accept); end != c.end {
			t.Errorf("%s, ending %q: %q after %d bytes", c.accept, c.ending, end, len(body))
		}
		target.Close()
	}
}

// crashingTarget sends half of a response without a length and exits, so that its kernel closes the connection.
func crashingTarget(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf of")
		_ = l.Close()
		_ = conn.Close()
	}()
	return "http://" + l.Addr().String()
}

// Guards against half a response that is marked as complete because its target crashed and had announced no length.
func TestResponseOfCrashedTargetIsTruncated(t *testing.T) {
	if body, end := serveWork(t, crashingTarget(t), "*/*"); end != peer.EndTruncated || body != "half of" {
		t.Errorf("%q, %q", body, end)
	}
}

// Guards against half a response that is stored as the outcome of a call that may run once, and sent again for ever.
func TestHalfResponseIsNoOutcome(t *testing.T) {
	a := newServiceAgent(t, crashingTarget(t))
	call := kumquatlug.NewCall(http.MethodPost, "/x", http.Header{"Idempotency-Key": {"k"}}, nil)
	if outcome, err := a.work.callTarget(t.Context(), call, a.work.outcomes.begin()); err == nil {
		t.Errorf("outcome %q", outcome.Body())
	}
	for ending, whole := range map[standin.Ending]bool{standin.EndingFramed: true, standin.EndingConnection: true, standin.EndingInside: false, standin.EndingReset: false} {
		target := httptest.NewServer(standinservice.New(standinservice.Config{Ending: ending}).Handler())
		a := newServiceAgent(t, target.URL)
		a.c.Target = service.New(service.Config{URL: target.URL})
		call := kumquatlug.NewCall(http.MethodPost, "/x", http.Header{"Idempotency-Key": {"k"}, "Accept": {"text/event-stream"}}, nil)
		if outcome, err := a.work.callTarget(t.Context(), call, a.work.outcomes.begin()); (err == nil) != whole {
			t.Errorf("ending %q: %q, %v", ending, outcome.Body(), err)
		}
		target.Close()
	}
}

// Guards against a target's status that HTTP doesn't define, which the agent can't pass on and must not store as an outcome.
func TestInvalidStatusOfTargetIsNoOutcome(t *testing.T) {
	target, err := standin.NewRawServer(func(*http.Request) standin.RawResponse {
		return standin.RawResponse{Writes: []string{"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody"}}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	a := newServiceAgent(t, "http://"+target.Address())
	call := kumquatlug.NewCall(http.MethodPost, "/x", http.Header{"Idempotency-Key": {"k"}}, nil)
	if outcome, err := a.work.callTarget(t.Context(), call, a.work.outcomes.begin()); err == nil {
		t.Errorf("outcome %d %q", outcome.Status(), outcome.Body())
	}
	if body, end := serveWork(t, "http://"+target.Address(), "*/*"); end == peer.EndComplete {
		t.Errorf("%q is complete", body)
	}
}
