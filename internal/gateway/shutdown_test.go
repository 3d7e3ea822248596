package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// newStoppingGateway returns a gateway with a grace period of 8 s that received the stop signal
// so many milliseconds ago. Its engines run two kinds of requests: short ones of 400 tokens,
// which take 4 ms, and long ones of 11,000, which take 1 to 9 s. The last ones that ended were
// short.
func newStoppingGateway(t *testing.T, w *fakeWorkers, stoppedBefore kumquatlug.Millis) *testGateway {
	t.Helper()
	f := newTestGateway(t, w, manyRetries)
	now := f.g.c.Clock.Now()
	p := f.g.scheduler.service("engines").placer
	run := func(output int, took kumquatlug.Millis) {
		prompt := kumquatlug.NewPrompt(nil, 10, output)
		start := now - took
		c, _ := p.ChooseDecode(start, placement.Query{Prompt: prompt})
		a := p.Begin(start, c, prompt)
		p.PrefillDone(start+2, a)
		p.End(now, a, placement.OutcomeServed)
	}
	for i := range 64 {
		run(11_000, kumquatlug.Millis(1000+i*8000/63))
	}
	for range 200 {
		run(400, 4)
	}
	f.g.c.GracePeriod = 8000
	f.stopped(stoppedBefore)
	return f
}

// stopped sets how long ago the stop signal was received.
func (f *testGateway) stopped(before kumquatlug.Millis) {
	f.g.exitAt.Store(int64(f.g.c.Clock.Now() - before + f.g.c.GracePeriod - exitMargin))
}

// Most requests that have ended were short ones. A long stream that arrives seconds after the
// stop signal must not be taken for one of a second: it would be cut at the exit. It must be
// refused at once, since another gateway can still serve it. What nearly always completes in
// time must be served: clients may have no other gateway.
func TestStoppingGatewayTakesOnlyWhatCompletes(t *testing.T) {
	for _, c := range []struct {
		stopped kumquatlug.Millis
		path    string
		taken   bool
	}{
		{100, "/chat/?tokens=30,11000", false},
		{3100, "/chat/?tokens=30,11000", false},
		{100, "/chat/?tokens=30,400", true},
		{3100, "/chat/?tokens=30,400", true},
		{5000, "/chat/?tokens=30,400", true},
		{7200, "/chat/?tokens=30,400", false},
		{3100, postRoute, true},
		{7200, postRoute, false},
	} {
		w := respondingWorkers()
		got := newStoppingGateway(t, w, c.stopped).do(t.Context(), http.MethodPost, c.path)
		switch {
		case c.taken && got.status != http.StatusOK:
			t.Errorf("%s, %d ms after the signal: %+v", c.path, c.stopped, got)
		case !c.taken && (got.status != http.StatusServiceUnavailable || got.header.Get("Ran") != string(kumquatlug.NotExecuted) ||
			got.header.Get("Retry-After") != "20" || got.duration > 200*time.Millisecond || len(w.recorded()) != 0):
			t.Errorf("%s, %d ms after the signal: %+v, calls %+v", c.path, c.stopped, got, w.recorded())
		}
	}
}

// A stream of 11,000 tokens that would be done in most cases is taken in the first moments after
// the stop signal, while the load balancer still sends new connections here.
func TestStoppingGatewayTakesUsualStreamsAtFirst(t *testing.T) {
	w := respondingWorkers()
	f := newStoppingGateway(t, w, 0)
	f.g.c.GracePeriod = 10_000
	f.stopped(100)
	if got := f.do(t.Context(), http.MethodPost, "/chat/?tokens=30,11000"); got.status != http.StatusOK {
		t.Errorf("%+v", got)
	}
}

// A prefill takes longer than expected, or the request waits for its worker: the time that is
// left was enough when the request arrived and is not when it would be sent. It must be refused
// then, and not be cut at the exit.
func TestStoppingGatewayChecksBeforeEachAttempt(t *testing.T) {
	w := respondingWorkers()
	f := newStoppingGateway(t, w, 3100)
	w.prefill = func(context.Context, int, workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
		f.stopped(7450)
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
	}
	got := f.do(t.Context(), http.MethodPost, "/long/?tokens=9000,400")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Ran") != string(kumquatlug.NotExecuted) || len(w.recorded()) != 1 {
		t.Errorf("after the prefill: %+v, calls %+v", got, w.recorded())
	}
	f = newLimitedGateway(t, 2.5)
	f.g.c.GracePeriod = 8000
	f.stopped(3100)
	responses := make(chan clientResponse, 4)
	for range cap(responses) {
		go func() { responses <- f.do(t.Context(), http.MethodPost, postRoute) }()
	}
	<-time.After(20 * time.Millisecond)
	sent, refused := len(f.workers.recorded()), 0
	f.stopped(7450)
	for range cap(responses) {
		got := <-responses
		if got.header.Get("Reason") == reasonStopping && got.status == http.StatusServiceUnavailable && got.header.Get("Ran") == string(kumquatlug.NotExecuted) {
			refused++
		}
	}
	if n := len(f.workers.recorded()); n != sent || refused == 0 {
		t.Errorf("%d requests were sent after their wait, %d refused", n-sent, refused)
	}
}

// The time ends between the permit for a prefill and its sending, as when the body waits for the
// link. A prefill whose output can't start any more would only delay others.
func TestStoppingGatewayChecksBeforePrefill(t *testing.T) {
	w := respondingWorkers()
	g := newStoppingGateway(t, w, 3100)
	route, _ := g.g.table.Load().Match("h", "/long/")
	service, _ := g.g.table.Load().Service("engines")
	now := g.g.c.Clock.Now()
	f := &inflight{g: g.g, route: route, service: service, arrived: now, request: kumquatlug.NewRequest(kumquatlug.RequestConfig{
		ID: "r1", Timeout: 2000, Prompt: kumquatlug.NewPrompt(nil, 9000, 400),
	})}
	f.setDeadline()
	attempt, choice, failed := f.submitPrompt(t.Context())
	if failed != nil || !choice.PrefillOnly() {
		t.Fatal(failed, choice.PrefillOnly())
	}
	g.stopped(7480)
	if _, failed, _ = f.prefill(t.Context(), choice, attempt); failed == nil || failed.failure.Reason() != reasonStopping || len(w.recorded()) != 0 {
		t.Errorf("%+v, calls %+v", failed, w.recorded())
	}
}

// An engine breaks off, and the request may have run there. Repeated at another engine, it would
// be cut at the exit: its client must get a failure at once, and repeat it at another gateway. If
// enough time is left, it is repeated here.
func TestStoppingGatewayRepeatsOnlyWhatCompletes(t *testing.T) {
	for _, c := range []struct {
		stopped kumquatlug.Millis
		status  int
		runs    int
	}{{7450, http.StatusBadGateway, 1}, {4000, http.StatusOK, 2}} {
		w := &fakeWorkers{}
		f := newStoppingGateway(t, w, 3100)
		w.run = func(_ context.Context, n int, _ workerCall) (kumquatlug.WorkerResponse, error) {
			if n == 1 {
				f.stopped(c.stopped)
				return kumquatlug.WorkerResponse{}, lostConnection()
			}
			return streamResponse(1, 5), nil
		}
		got := f.do(t.Context(), http.MethodPost, "/long/?tokens=30,400")
		if got.status != c.status || len(w.recorded()) != c.runs || got.duration > 200*time.Millisecond {
			t.Errorf("%d ms after the signal: %+v, calls %+v", c.stopped, got, w.recorded())
		}
	}
}

// The engine of a stream that was taken long after the stop signal breaks off shortly before the
// exit. The rest can't be completed here; the sooner the client knows, the sooner it resumes the
// stream at another gateway. A stream that was taken before the signal is resumed in any case:
// it may still complete.
func TestStoppingGatewayResumesOnlyWhatCompletes(t *testing.T) {
	for _, late := range []bool{true, false} {
		w := &fakeWorkers{}
		f := newStoppingGateway(t, w, 3100)
		w.run = func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
			if n > 1 {
				return streamResponse(int(c.options.LastEventID)+1, 5), nil
			}
			// 50 ms are left.
			stopped := kumquatlug.Millis(3100)
			if !late {
				stopped = 0
			}
			f.g.c.GracePeriod = stopped + 50 + exitMargin
			f.stopped(stopped)
			return truncatedResponse(events(1, 2), -1), nil
		}
		got := f.do(t.Context(), http.MethodPost, "/long/?tokens=30,400")
		if late != (got.err != nil) || !late && got.body != events(1, 5) || late && len(w.recorded()) != 1 {
			t.Errorf("late %v: %+v, calls %+v", late, got, w.recorded())
		}
	}
}

// The queue of the engines is longer than the time until the exit allows. The request must be
// refused at once, not after it has waited until then.
func TestStoppingGatewayRefusesLongQueueAtOnce(t *testing.T) {
	w := respondingWorkers()
	f := newStoppingGateway(t, w, 5800)
	p := f.g.scheduler.service("engines").placer
	now := f.g.c.Clock.Now()
	for range 40 {
		q := placement.Query{Prompt: kumquatlug.NewPrompt(nil, 9000, 400)}
		if c, found := p.ChoosePrompt(now, q); found {
			p.Begin(now, c, q.Prompt)
		}
	}
	got := f.do(t.Context(), http.MethodPost, "/long/?tokens=9000,400")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "20" || got.duration > 100*time.Millisecond {
		t.Errorf("%+v", got)
	}
}

// A request that arrives long after the stop signal is handed off, waits at the peer, and starts
// there so late that this gateway exits in the middle of the response. It must be served here,
// where the time that is left is known.
func TestStoppingGatewayServesLateRequestsItself(t *testing.T) {
	for _, c := range []struct {
		stopped kumquatlug.Millis
		own     int
	}{{1000, 0}, {3100, 1}} {
		p := newHandoffPair(t, streamWorkers(1, 5), streamWorkers(1, 5), manyRetries)
		p.a.g.c.GracePeriod = 8000
		p.a.stopped(c.stopped)
		got := p.a.do(t.Context(), http.MethodPost, chatRoute)
		if got.body != events(1, 5) || len(p.a.workers.recorded()) != c.own || len(p.b.workers.recorded()) != 1-c.own {
			t.Errorf("%d ms after the signal: %+v, %d calls here, %d at the peer", c.stopped, got, len(p.a.workers.recorded()), len(p.b.workers.recorded()))
		}
	}
}

// A stream that arrived in time was handed off, and breaks off at the peer while this gateway shuts
// down. The time that the peer has served it doesn't make it a late request: it must be resumed
// here, where it may complete, and not be broken off.
func TestStoppingGatewayResumesStreamOfPeer(t *testing.T) {
	var p *handoffPair
	p = newHandoffPair(t, streamWorkers(1, 5), &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		<-time.After(60 * time.Millisecond)
		// The request arrived 30 ms before it would have been late, and 50 ms are left.
		const since = balancerLag + 30
		p.a.g.c.GracePeriod = since + 50 + exitMargin
		p.a.stopped(since)
		return truncatedResponse(events(1, 2), -1), nil
	}}, manyRetries)
	if got := p.a.do(t.Context(), http.MethodPost, longRoute); got.err != nil || got.body != events(1, 5) {
		t.Errorf("%+v", got)
	}
}
