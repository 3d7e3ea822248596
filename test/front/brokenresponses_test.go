package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// signedHead returns the head of a worker's success without its end.
func signedHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s.1\r\n", r.Header.Get("Attempt-Id"))
}

// newRawWorker adds a plain worker that answers requests with these bytes.
func newRawWorker(t *testing.T, s *site.Site, respond func(*http.Request) standin.RawResponse) {
	t.Helper()
	server, err := standin.NewRawServer(func(r *http.Request) standin.RawResponse {
		if r.Method == http.MethodGet {
			return standin.RawResponse{Writes: []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}}
		}
		return respond(r)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s.Store.Put("servers", "raw", fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":32,"state":"ready","sequence":1,"born":1764700000000}`,
		site.PlainService, server.Address(), site.Zone))
}

// Guards against a part of a response that a client gets as a whole one because its worker reset the connection during a long
// upload, and against a whole one that is lost because its worker doesn't read the upload.
func TestResponseDuringLongUpload(t *testing.T) {
	const (
		body  = "the whole body of the worker"
		plays = 12
	)
	for name, c := range map[string]struct {
		response standin.RawResponse
		whole    bool
	}{
		"reset":       {response: standin.RawResponse{Writes: []string{body[:10]}, Resets: true}},
		"half-closed": {response: standin.RawResponse{Writes: []string{body}, HalfCloses: true, StaysOpen: true}, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, site.Config{MaxBodyBytes: 16 << 20})
			newRawWorker(t, s, func(r *http.Request) standin.RawResponse {
				response := c.response
				response.Early, response.Pause = true, 20*time.Millisecond
				response.Writes = []string{signedHead(r) + "\r\n" + c.response.Writes[0]}
				return response
			})
			p := newGateway(t, s, "front-1")
			complete := 0
			for n := range plays {
				got := p.postBody(site.PathNonIdempotent+"x", fmt.Sprint(name, "-", n), 8<<20)
				if got.err == nil && got.status == http.StatusOK {
					complete++
					if got.body != body {
						t.Errorf("complete with %d of %d bytes", len(got.body), len(body))
					}
				}
			}
			if c.whole && complete < plays {
				t.Errorf("%d of %d responses complete", complete, plays)
			}
		})
	}
}

// requireNoSuccess requires that clients get these responses of a worker as broken, on routes of both kinds. The responses
// begin with their first line, before the headers of a worker.
func requireNoSuccess(t *testing.T, responses map[string]func(headers string) string) {
	t.Helper()
	const plays = 12
	for name, respond := range responses {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, site.Config{MinRetries: 1000})
			newRawWorker(t, s, func(r *http.Request) standin.RawResponse {
				_, headers, _ := strings.Cut(signedHead(r), "\r\n")
				return standin.RawResponse{Writes: []string{respond(headers)}}
			})
			p := newGateway(t, s, "front-1")
			for n := range plays {
				for _, path := range []string{site.PathNonIdempotent, site.PathIdempotent} {
					got := p.postBody(path+"x", fmt.Sprint(name, path, n), requestBytes)
					if got.err != nil || got.status != http.StatusBadGateway || got.header.Get("Server-Stamp") != "" {
						t.Errorf("%s: status %d, signature %q, body %q, %v", path, got.status, got.header.Get("Server-Stamp"), got.body, got.err)
					}
				}
			}
		})
	}
}

// Guards against a status that HTTP doesn't define and that a client gets, or that is skipped so that the client gets the bytes
// after it as its response.
func TestInvalidStatusesReachNoClient(t *testing.T) {
	const body = "Content-Length: 4\r\n\r\nbody"
	responses := map[string]func(headers string) string{}
	for _, status := range []string{"000", "099", "600", "999"} {
		responses[status] = func(headers string) string { return "HTTP/1.1 " + status + " X\r\n" + headers + body }
		responses[status+", then a response"] = func(headers string) string {
			return "HTTP/1.1 " + status + " X\r\n" + headers + "\r\nHTTP/1.1 200 OK\r\n" + headers + body
		}
	}
	requireNoSuccess(t, responses)
}

// Guards against a line that is no header and that a client gets, or that hides where the body of the worker ends.
func TestInvalidHeaderNamesReachNoClient(t *testing.T) {
	responses := map[string]func(headers string) string{}
	for _, name := range []string{"X-Y ", "X Y", "Content Length", "Content-Length ", "Transfer-Encoding ", "X\tY", "X\x00", "X\x01Y", "X\x7f"} {
		responses[fmt.Sprintf("%q", name)] = func(headers string) string {
			return "HTTP/1.1 200 OK\r\n" + headers + name + ": 2\r\nContent-Length: 4\r\n\r\nbody"
		}
	}
	requireNoSuccess(t, responses)
}
