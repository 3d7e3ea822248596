package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const (
	// endlessBytes is what a peer sends if its connection isn't closed.
	endlessBytes = 256 << 20
	// manyEndlessBytes is the same for each of many peers, so that a test that fails needs little memory.
	manyEndlessBytes = 8 << 20
	// maxReadBytes is a head or a stray body of its largest size, and the buffers below it.
	maxReadBytes = 3 << 20
	// maxCloseTime is the time from the request to the close of the connection.
	maxCloseTime = time.Second
)

// endlessResult is what a peer sent before its connection was closed, and how long that took.
type endlessResult struct {
	sent int64
	open time.Duration
}

// newEndlessPeer starts a peer that answers each request with this form of bytes without end.
func newEndlessPeer(t *testing.T, form standin.Endless, limit int64, pause time.Duration) (*testPeer, <-chan endlessResult) {
	t.Helper()
	results := make(chan endlessResult, 1000)
	return newTestPeer(t, func(p *testPeer, c net.Conn, reader *bufio.Reader) {
		id := p.readRequest(reader)
		if id == "" {
			return
		}
		began := time.Now()
		// The send buffer would otherwise hold several MB that the pool never reads.
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		sent, _ := form.Write(c, "Id: "+id+"\r\n", limit, pause)
		results <- endlessResult{sent: sent, open: time.Since(began)}
	}), results
}

// isBodyForm reports whether the form is a body that only the caller can bound.
func isBodyForm(form standin.Endless) bool {
	return slices.Contains([]standin.Endless{standin.EndlessBody, standin.EndlessChunks, standin.EndlessEvent, standin.EndlessJSON}, form)
}

// closeIdle calls CloseIdle as a gateway does, but more often, until the test ends.
func closeIdle(t *testing.T, pool *Pool) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				pool.CloseIdle(func(string) bool { return true })
			}
		}
	}()
}

// Guards against a peer that sends bytes without end where its response is due, and that is read until the deadline of
// the call.
func TestEndlessResponseIsClosed(t *testing.T) {
	for _, form := range standin.EndlessForms() {
		if isBodyForm(form) {
			continue
		}
		t.Run(string(form), func(t *testing.T) {
			p, results := newEndlessPeer(t, form, endlessBytes, 0)
			pool := newPool()
			closeIdle(t, pool)
			began := time.Now()
			text, err := doRequest(t, pool, newRequest(p, http.MethodGet, "a"))
			took := time.Since(began)
			if whole := form == standin.EndlessPastLength && err == nil && text == "body"; !whole && (err == nil || kumquatlug.ExecutionOf(err) != kumquatlug.ExecutionUnknown) {
				t.Errorf("%d bytes, %v", len(text), err)
			}
			if took > maxCloseTime {
				t.Errorf("the call took %v", took)
			}
			requireClosed(t, results, maxReadBytes, maxCloseTime)
		})
	}
}

// requireClosed fails the test unless the peer's connection was closed within these bounds.
func requireClosed(t *testing.T, results <-chan endlessResult, maxBytes int64, maxTime time.Duration) {
	t.Helper()
	socketBytes, err := standin.SocketBytes()
	if err != nil {
		t.Fatal(err)
	}
	maxBytes += socketBytes
	select {
	case r := <-results:
		t.Logf("%d bytes sent, closed after %v", r.sent, r.open)
		if r.sent > maxBytes || r.open > maxTime {
			t.Errorf("%d bytes sent, closed after %v; bounds %d bytes, %v", r.sent, r.open, maxBytes, maxTime)
		}
	case <-time.After(10 * time.Second):
		t.Error("the connection is still open")
	}
}

// Guards against an endless body whose connection stays open after the caller has stopped reading it.
func TestEndlessBodyIsClosedWithIt(t *testing.T) {
	for _, form := range standin.EndlessForms() {
		if !isBodyForm(form) {
			continue
		}
		t.Run(string(form), func(t *testing.T) {
			p, results := newEndlessPeer(t, form, endlessBytes, 0)
			response, err := newPool().Do(t.Context(), newRequest(p, http.MethodGet, "a"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.CopyN(io.Discard, response.Body, 100<<10); err != nil {
				t.Error(err)
			}
			response.Body.Close()
			requireClosed(t, results, maxReadBytes, maxCloseTime)
		})
	}
}

// Guards against a peer that sends bytes without end so slowly that no bound in bytes is reached, and that is read past
// the deadline of the call.
func TestDrippingResponseEndsAtDeadline(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, form := range standin.EndlessForms() {
		t.Run(string(form), func(t *testing.T) {
			t.Parallel()
			p, results := newEndlessPeer(t, form, endlessBytes, 10*time.Millisecond)
			pool := newPool()
			closeIdle(t, pool)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			response, err := pool.Do(ctx, newRequest(p, http.MethodGet, "a"))
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			if (err == nil) != (form == standin.EndlessPastLength) {
				t.Errorf("error %v", err)
			}
			requireClosed(t, results, maxReadBytes, maxCloseTime)
		})
	}
}

// endlessPeers is the number of peers that send bytes without end at once.
const endlessPeers = 100

// maxHeapPerPeer is the memory of one response whose head has the largest size: MaxHeadBytes of text that grows to
// twice its size while it is collected, and for each of MaxHeadLines lines a map entry and its value, 128 bytes.
const maxHeapPerPeer = 6*MaxHeadBytes + 2*MaxHeadLines*128

// Guards against a heap that grows with what peers send, while 100 of them send bytes without end at once.
func TestHeapStaysFlatWithEndlessPeers(t *testing.T) {
	for _, form := range standin.EndlessForms() {
		if isBodyForm(form) {
			continue
		}
		t.Run(string(form), func(t *testing.T) {
			p, _ := newEndlessPeer(t, form, manyEndlessBytes, 0)
			pool := newPool()
			grown := standin.HeapGrowth(func() {
				var calls sync.WaitGroup
				for range endlessPeers {
					calls.Go(func() { _, _ = doRequest(t, pool, newRequest(p, http.MethodGet, "a")) })
				}
				calls.Wait()
			})
			t.Logf("the heap grew by %d KB", grown>>10)
			if grown > endlessPeers*maxHeapPerPeer {
				t.Errorf("the heap grew by %d bytes, bound %d", grown, endlessPeers*maxHeapPerPeer)
			}
		})
	}
}
