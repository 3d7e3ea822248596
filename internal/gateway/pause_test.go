package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// wantsPause is a refusal of a worker that wants nothing more for a while.
func wantsPause(pause kumquatlug.Millis) kumquatlug.Reply {
	r := refusedReply()
	return kumquatlug.NewReply(kumquatlug.ReplyConfig{
		Status: r.Status(), Header: r.Header(), Body: r.Body(), Refused: true, Pause: pause,
	})
}

// A worker turns a request away and says for how long it wants nothing more. Asked again
// sooner, it spends on refusals what it lacks for its work.
func TestAWorkerIsLeftAloneForAsLongAsItAsks(t *testing.T) {
	const pause = 1500 * kumquatlug.Millis(1)
	w := &fakeWorkers{run: func(_ context.Context, _ int, c call) (kumquatlug.Reply, error) {
		if c.worker == "s1" {
			return wantsPause(pause), nil
		}
		return whole(http.StatusOK, "done"), nil
	}}
	f := newFront(t, w, manyRepeats)
	begun := time.Now()
	for time.Since(begun) < pause.Duration()-100*time.Millisecond {
		if got := f.ask(context.Background(), http.MethodPost, post); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
		<-time.After(5 * time.Millisecond)
	}
	sent := 0
	for _, c := range w.made() {
		if c.worker == "s1" {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("the worker was asked %d times", sent)
	}
}

// All workers of a service want nothing for a while. Who asks must be told at once when the
// first of them takes work again.
func TestARefusalTellsWhenTheFirstWorkerIsBack(t *testing.T) {
	const pause = 400 * kumquatlug.Millis(1)
	w := &fakeWorkers{run: func(context.Context, int, call) (kumquatlug.Reply, error) { return wantsPause(pause), nil }}
	f := newFront(t, w, manyRepeats)
	f.ask(context.Background(), http.MethodPost, post)
	sent := len(w.made())
	got := f.ask(context.Background(), http.MethodPost, post)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Reason") != "worker_limit" || got.took > time.Second {
		t.Errorf("%+v", got)
	}
	if len(w.made()) != sent {
		t.Errorf("%d sent", len(w.made())-sent)
	}
	<-time.After(pause.Duration())
	f.ask(context.Background(), http.MethodPost, post)
	if len(w.made()) == sent {
		t.Error("nobody is asked after the pause")
	}
}
