package peerrequest

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// Guards against a peer gateway that sends bytes without end where its response is due, and against one whose body without
// a length counts as complete.
func TestEndlessResponseOfPeerIsBroken(t *testing.T) {
	socketBytes, err := standin.SocketBytes()
	if err != nil {
		t.Fatal(err)
	}
	// What is read below or skipped, and what the sockets hold.
	maxSent := 3<<20 + socketBytes
	for _, form := range standin.EndlessForms() {
		server, err := standin.NewEndlessServer(standin.EndlessConfig{Form: form, MaxBytes: 256 << 20, Headers: func(*http.Request) string { return headerKey + ": 7\r\n" }})
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		pool := exchange.New(exchange.Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		response, err := NewClient(pool).HandOff(ctx, kumquatlug.HandoffRequest{
			Address: server.Address(), From: "a", Key: 7, Header: http.Header{},
			Request: kumquatlug.NewRequest(kumquatlug.RequestConfig{ID: "r", Method: http.MethodPost, Target: "/x", Host: "h"}),
		})
		if err == nil {
			// The gateway bounds the events of a stream, and the time that it reads any body.
			var n int64
			n, err = io.Copy(io.Discard, io.LimitReader(response.Response().Body(), 1<<20))
			if whole := form == standin.EndlessPastLength; n < 1<<20 && (err == nil) != whole {
				t.Errorf("%s: %d bytes, %v", form, n, err)
			}
			response.Response().Body().Close()
		} else if kumquatlug.ExecutionOf(err) == kumquatlug.NotExecuted {
			t.Errorf("%s: %v", form, err)
		}
		for deadline := time.Now().Add(2 * time.Second); len(server.Closed()) == 0 && time.Now().Before(deadline); {
			pool.CloseIdle(func(string) bool { return true })
			time.Sleep(5 * time.Millisecond)
		}
		if closed := server.Closed(); len(closed) != 1 || closed[0].Sent > maxSent || closed[0].Open > time.Second {
			t.Errorf("%s: %+v", form, closed)
		}
	}
}
