package peerrequest

import (
	"io"
	"net/http"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// Guards against a response of a peer gateway that stops anywhere before its end and counts as whole, or as a promise that the
// request was not executed.
func TestPartialResponsesOfPeersAreBroken(t *testing.T) {
	const key = headerKey + ": 7\r\n"
	for name, c := range map[string]struct {
		response, body string
		refused        bool
	}{
		"length":  {"HTTP/1.1 200 OK\r\n" + key + "Content-Length: 8\r\n\r\nresponse", "response", false},
		"chunks":  {"HTTP/1.1 200 OK\r\n" + key + "Transfer-Encoding: chunked\r\n\r\n8\r\nresponse\r\n0\r\nX: y\r\n\r\n", "response", false},
		"refusal": {"HTTP/1.1 503 Busy\r\n" + key + headerRan + ": not-run\r\n" + headerReason + ": stopping\r\nContent-Length: 0\r\n\r\n", "", true},
	} {
		cut := 0
		server, err := standin.NewRawServer(func(*http.Request) standin.RawResponse {
			return standin.RawResponse{Writes: []string{c.response[:cut]}}
		})
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		for ; cut <= len(c.response); cut++ {
			response, err := NewClient(exchange.New(exchange.Config{Clock: clock.NewMonotonic()})).HandOff(t.Context(), kumquatlug.HandoffRequest{
				Address: server.Address(), From: "a", Key: 7, Header: http.Header{},
				Request: kumquatlug.NewRequest(kumquatlug.RequestConfig{ID: "r", Method: http.MethodPost, Target: "/x", Host: "h"}),
			})
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Response().Body())
				response.Response().Body().Close()
			}
			whole := cut == len(c.response)
			switch {
			case (err == nil) != whole, whole && string(body) != c.body, whole && c.refused != (response.Ran() == kumquatlug.NotExecuted),
				!whole && (kumquatlug.ExecutionOf(err) == kumquatlug.NotExecuted || response.Ran() == kumquatlug.NotExecuted):
				t.Errorf("%s, %d of %d bytes: %q, ran %v, %v", name, cut, len(c.response), body, response.Ran(), err)
			}
		}
	}
}

// Guards against a part of a peer's response that looks complete because the connection was reset while a large request was
// sent.
func TestResetOfPeerDuringLargeRequestIsBroken(t *testing.T) {
	for name, text := range standin.PartialResponses(headerKey + ": 7\r\n") {
		server, err := standin.NewRawServer(func(*http.Request) standin.RawResponse { return standin.ResetDuringUpload(text) })
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		for range 20 {
			response, err := NewClient(exchange.New(exchange.Config{Clock: clock.NewMonotonic()})).HandOff(t.Context(), kumquatlug.HandoffRequest{
				Address: server.Address(), From: "a", Key: 7, Header: http.Header{},
				Request: kumquatlug.NewRequest(kumquatlug.RequestConfig{ID: "r", Method: http.MethodPost, Target: "/x", Host: "h", Body: kumquatlug.NewBody(make([]byte, 8<<20))}),
			})
			if err != nil {
				continue
			}
			if body, err := io.ReadAll(response.Response().Body()); err == nil {
				t.Errorf("%s: complete with %q", name, body)
			}
			response.Response().Body().Close()
		}
	}
}
