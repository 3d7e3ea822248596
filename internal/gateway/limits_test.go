package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// withLimit is a whole answer that names a limit.
func withLimit(perSecond float64) kumquatlug.Reply {
	r := whole(http.StatusOK, "done")
	return kumquatlug.NewReply(kumquatlug.ReplyConfig{
		Status: r.Status(), Header: r.Header(), Length: r.Length(), Body: r.Body(), Limit: kumquatlug.NewRateLimit(perSecond),
	})
}

// limitedDesk is a front whose plain workers have both named a limit.
func limitedDesk(t *testing.T, perSecond float64) *front {
	t.Helper()
	w := &fakeWorkers{run: func(context.Context, int, call) (kumquatlug.Reply, error) { return withLimit(perSecond), nil }}
	f := newFront(t, w, manyRepeats)
	f.g.scheduler.setFronts(nil)
	for tries := 0; len(f.g.scheduler.limits()) < 2; tries++ {
		if tries == 20 {
			t.Fatal("a worker gets no request")
		}
		f.ask(context.Background(), http.MethodPost, post)
	}
	return f
}

// All workers of a service take one request in ten seconds. Who can't be served must be
// told so at once, that nothing ran, and when to come back.
func TestARequestThatNoWorkerTakesInTimeIsRefusedAtOnce(t *testing.T) {
	f := limitedDesk(t, 0.1)
	before := len(f.workers.made())
	f.ask(context.Background(), http.MethodPost, post)
	got := f.ask(context.Background(), http.MethodPost, post)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Reason") != "worker_limit" || got.header.Get("Ran") != "not-run" {
		t.Errorf("%+v", got)
	}
	if got.header.Get("Retry-After") == "" || got.took > time.Second || len(f.workers.made()) > before+2 {
		t.Errorf("%+v, %d sent", got, len(f.workers.made())-before)
	}
}

// A request is held back for a worker, which leaves meanwhile. Sent there all the same, it
// would be lost with the worker.
func TestAHeldBackRequestIsNotSentToAWorkerThatLeft(t *testing.T) {
	f := limitedDesk(t, 2.5)
	sent := len(f.workers.made())
	answers := make(chan got, 8)
	for range cap(answers) {
		go func() { answers <- f.ask(context.Background(), http.MethodPost, post) }()
	}
	for len(f.workers.made()) < sent+1 {
		<-time.After(time.Millisecond)
	}
	leaves := f.workers.made()[sent].worker
	before := len(f.workers.made())
	stays := member("s1", "")
	if leaves == "s1" {
		stays = member("s2", "")
	}
	f.g.scheduler.sync(f.g.c.Clock.Now(), map[string][]kumquatlug.Member{"desk": {stays}})
	for range cap(answers) {
		if a := <-answers; a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
			t.Errorf("%+v", a)
		}
	}
	for _, c := range f.workers.made()[before:] {
		if c.worker == leaves {
			t.Errorf("%s was sent a request after it had left: %s", leaves, fmt.Sprint(c.sending))
		}
	}
}
