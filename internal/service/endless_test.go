package service

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	// endlessCalls is the number of calls that a target answers without end at once.
	endlessCalls = 50
	// maxHeapPerCall is a head of the largest size: its text while it grows, and for each of its lines, of nine bytes or
	// more, a map entry and its value.
	maxHeapPerCall = 6*exchange.MaxHeadBytes + exchange.MaxHeadBytes/9*2*128
	// maxReadBytes is what is read of a head or of the framing of a body, and the buffers below it.
	maxReadBytes = 1 << 20
)

// Guards against a target that sends bytes without end in place of a head, or of the framing of a body, and of which the agent
// keeps all.
func TestEndlessResponsesOfTargetAreClosed(t *testing.T) {
	socketBytes, err := standin.SocketBytes()
	if err != nil {
		t.Fatal(err)
	}
	for _, form := range []standin.Endless{
		standin.EndlessFirstLine, standin.EndlessStatusLine, standin.EndlessHeaderLine, standin.EndlessShortHeaders, standin.EndlessLongHeaders, standin.EndlessInterim,
		standin.EndlessChunkExtension, standin.EndlessChunkSize, standin.EndlessTrailer,
	} {
		t.Run(string(form), func(t *testing.T) {
			server, err := standin.NewEndlessServer(standin.EndlessConfig{Form: form, MaxBytes: 64 << 20})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			s := New(Config{URL: "http://" + server.Address()})
			defer s.Close()
			grown := standin.HeapGrowth(func() { callMany(t, s) })
			t.Logf("the heap grew by %d KB", grown>>10)
			if grown > endlessCalls*maxHeapPerCall {
				t.Errorf("the heap grew by %d KB, bound %d KB", grown>>10, endlessCalls*maxHeapPerCall>>10)
			}
			for deadline := time.Now().Add(5 * time.Second); len(server.Closed()) < endlessCalls && time.Now().Before(deadline); {
				<-time.After(5 * time.Millisecond)
			}
			closed := server.Closed()
			if len(closed) != endlessCalls {
				t.Errorf("%d of %d connections closed", len(closed), endlessCalls)
			}
			for _, c := range closed {
				if c.Sent > maxReadBytes+socketBytes {
					t.Fatalf("closed after %d bytes, bound %d", c.Sent, maxReadBytes+socketBytes)
				}
			}
		})
	}
}

// callMany makes calls at once, none of which may succeed.
func callMany(t *testing.T, s *Service) {
	var calls sync.WaitGroup
	for range endlessCalls {
		calls.Go(func() {
			response, err := s.Do(t.Context(), kumquatlug.NewCall(http.MethodPost, "/x", http.Header{}, nil))
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body())
				response.Body().Close()
			}
			if err == nil {
				t.Error("complete")
			}
		})
	}
	calls.Wait()
}
