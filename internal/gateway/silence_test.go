package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A look-up that many users make is slow at one worker, so that this front gives
// up on it there and asks another one. Taken for crashes, three such moments
// would have the look-up refused to everybody for a minute.
func TestGivingUpOnAWorkerIsNoCrash(t *testing.T) {
	w := &fakeWorkers{run: func(ctx context.Context, n int, _ call) (kumquatlug.Reply, error) {
		if n%2 == 1 {
			<-ctx.Done()
			return kumquatlug.Reply{}, lost()
		}
		return whole(200, "done"), nil
	}}
	f := newFront(t, w, manyRepeats)
	for i := range 4 {
		if answer := f.ask(context.Background(), http.MethodGet, look); answer.status != 200 {
			t.Fatalf("time %d: %+v", i+1, answer)
		}
	}
}

// A user leaves while an answer is written, and the front notices it by the
// write that fails. The worker did its work: it must not be judged by that, nor
// the request be taken for one that ends its workers.
func TestALeavingClientDoesNotSpeakAgainstItsWorker(t *testing.T) {
	w := &fakeWorkers{run: func(context.Context, int, call) (kumquatlug.Reply, error) { return streamed(1, 3), nil }}
	f := newFront(t, w, manyRepeats)
	for range 4 {
		r := httptest.NewRequest(http.MethodPost, chat, strings.NewReader("body"))
		r.Header.Set("Id", "r1")
		func() {
			defer func() {
				if cause := recover(); cause != nil && cause != http.ErrAbortHandler { //nolint:errorlint // A panic's value.
					panic(cause)
				}
			}()
			f.g.ServeHTTP(goneClient{httptest.NewRecorder()}, r)
		}()
	}
	if answer := f.ask(context.Background(), http.MethodPost, chat); answer.status != 200 {
		t.Errorf("the request of another user: %+v", answer)
	}
	if n := len(f.g.crashes.untold); n != 0 {
		t.Errorf("%d crashes are told", n)
	}
}

// goneClient is a client that takes nothing any more.
type goneClient struct{ *httptest.ResponseRecorder }

func (goneClient) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// One of two engines goes dark with streams in hand. Their users would see them
// stand still until they give up; instead they go on at the other engine after a
// short pause, and each user sees one whole stream.
func TestStreamsOfADarkEngineGoOnElsewhere(t *testing.T) {
	const last = 30
	w := &fakeWorkers{run: func(ctx context.Context, _ int, c call) (kumquatlug.Reply, error) {
		end := last
		if c.worker == "d1" {
			end = 2
		}
		return kumquatlug.NewReply(kumquatlug.ReplyConfig{
			Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1,
			Body: &pacedBody{ctx: ctx, next: int(c.sending.Resume) + 1, last: end, dark: end != last},
		}), nil
	}}
	f := newFront(t, w, manyRepeats)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.g.watchQueues(ctx)
	answers := make(chan got, 4)
	for range 4 {
		go func() { answers <- f.ask(ctx, http.MethodPost, "/long/?tokens=220,104") }()
	}
	for range 4 {
		answer := <-answers
		if answer.err != nil || answer.body != events(1, last) || answer.took > 1100*time.Millisecond {
			t.Errorf("%d of %d bytes after %s: %v", len(answer.body), len(events(1, last)), answer.took, answer.err)
		}
	}
}

// pacedBody is a stream with an event each 20 ms; a dark one ends in silence until
// its reader gives up.
type pacedBody struct {
	ctx        context.Context
	next, last int
	dark       bool
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.next > b.last && !b.dark {
		return 0, io.EOF
	}
	event := time.After(20 * time.Millisecond)
	if b.next > b.last {
		event = nil
	}
	select {
	case <-event:
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(p, events(b.next, b.next))
	b.next++
	return n, nil
}

func (b *pacedBody) Close() error { return nil }
