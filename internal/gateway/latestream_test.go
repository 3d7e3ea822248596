package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routes"
)

// streamTimeout is the timeout of clients that wait for long streams, in ms.
const streamTimeout = 15_000

// newLateGateway returns a gateway with a grace period of 8 s that received the stop signal
// 3.1 s ago and has seen so many streams, which ended after a twentieth of their maximum output.
// Its routes for streams have the timeout of their clients.
func newLateGateway(t *testing.T, w *fakeWorkers, streams int) *testGateway {
	t.Helper()
	f := newTestGateway(t, w, manyRetries)
	config := testConfig(7)
	for i, r := range config.Routes {
		if r.Stream() {
			config.Routes[i] = kumquatlug.NewRoute(kumquatlug.RouteConfig{
				Host: "h", Prefix: r.Prefix(), Name: r.Name(), Stream: true, Resumable: r.Resumable(), HasPrompts: true,
				Services: []kumquatlug.WeightedService{{Service: "engines", Weight: 1}}, MaxWorkers: r.MaxWorkers(), Timeout: streamTimeout,
			})
		}
	}
	f.g.table.Store(routes.NewTable(config))
	now, p := f.g.c.Clock.Now(), f.g.scheduler.service("engines").placer
	for range streams {
		// 2,000 tokens at most are 40 events; two come, 25 ms after each other.
		prompt := kumquatlug.NewPrompt(nil, 10, 2000)
		c, _ := p.ChooseDecode(now-60, placement.Query{Prompt: prompt})
		a := p.Begin(now-60, c, prompt)
		p.PrefillDone(now-50, a)
		p.RecordEvents(now-50, a, 1)
		p.RecordEvents(now-25, a, 1)
		p.End(now, a, placement.OutcomeServed)
	}
	f.g.c.GracePeriod = 8000
	f.stopped(3100)
	return f
}

// doPatiently sends a request of a client that waits for long streams.
func (f *testGateway) doPatiently(t *testing.T, path string) clientResponse {
	t.Helper()
	return f.doWith(t.Context(), http.MethodPost, path, http.Header{"Id": {"r1"}, "Timeout-Ms": {fmt.Sprint(streamTimeout)}})
}

// refusedAtOnce reports whether a request was refused before anything was sent to a worker, with
// the promise that it did not run.
func refusedAtOnce(f *testGateway, got clientResponse) bool {
	return got.status == http.StatusServiceUnavailable && got.header.Get("Ran") == string(kumquatlug.NotExecuted) &&
		got.header.Get("Retry-After") != "" && got.duration < 200*time.Millisecond && len(f.workers.recorded()) == 0
}

// A gateway that has just started, or is one of many, knows few run times or only short ones. It
// must not take a late stream of 2,000 tokens, which may run for longer than the 4.4 s until its
// exit and would be cut there.
func TestStoppingGatewayWithFewSamplesRefusesLateStreams(t *testing.T) {
	for _, streams := range []int{0, 1, 31, 64} {
		f := newLateGateway(t, respondingWorkers(), streams)
		if got := f.doPatiently(t, "/chat/?tokens=30,2000"); !refusedAtOnce(f, got) {
			t.Errorf("%d streams seen: %+v, calls %+v", streams, got, f.workers.recorded())
		}
	}
}

// Clients may have no other gateway nearby. A stopping gateway that knows nothing must still serve
// late what can't last until its exit: requests whose deadline lies before it, and plain ones.
func TestStoppingGatewayWithoutSamplesServesWhatEndsBeforeExit(t *testing.T) {
	for _, path := range []string{"/chat/?tokens=30,1000", postRoute} {
		f := newLateGateway(t, respondingWorkers(), 0)
		if got := f.do(t.Context(), http.MethodPost, path); got.status != http.StatusOK {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// Streams that break off and resume are several attempts. The sum is the run time: with each part as
// a run of its own, a stopping gateway takes streams that it can't complete.
func TestResumedStreamsCountAsWholeRuns(t *testing.T) {
	const partMs, streams = 30, 40
	part := func(from, to int, end string) (kumquatlug.WorkerResponse, error) {
		<-time.After(partMs * time.Millisecond)
		if end == "broken" {
			return truncatedResponse(events(from, to), -1), nil
		}
		return streamResponse(from, to), nil
	}
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n%2 == 1 {
			return part(1, 2, "broken")
		}
		return streamResponse(int(c.options.LastEventID)+1, 5), nil
	}}
	f := newTestGateway(t, w, manyRetries)
	for range streams {
		if got := f.do(t.Context(), http.MethodPost, "/long/?tokens=30,10"); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
		// The client takes up a stream whose first part nobody here has seen.
		got := f.doWith(t.Context(), http.MethodPost, "/long/?tokens=30,10", http.Header{"Id": {"r2"}, "Last-Event-Id": {"2"}})
		if got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
	}
	p := f.g.scheduler.service("engines").placer
	if ms := p.UsualRunTime(f.g.c.Clock.Now(), 10); ms < partMs {
		t.Errorf("streams that take %d ms are expected to take %d ms, from %d samples", partMs, ms, p.RunSamples(10))
	}
	if n := p.RunSamples(10); n != streams {
		t.Errorf("%d samples of %d streams that ran here as a whole", n, streams)
	}
}

// A moved stream is two attempts, of which the second may last a few milliseconds. It must count as
// one run from its first attempt on.
func TestMovedStreamCountsAsOneRun(t *testing.T) {
	const runs = 40
	moved, started := make(chan chan struct{}, 1), make(chan string, 1)
	w := &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if n%2 == 0 {
			return streamResponse(int(c.options.LastEventID)+1, 30), nil
		}
		end := make(chan struct{})
		moved <- end
		started <- c.worker
		return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
			Status: 200, Header: http.Header{"Stamp": {"s"}}, Length: -1, Framing: kumquatlug.FramingChunks,
			Body: &movedBody{next: 1, last: 30, moved: end, end: io.ErrUnexpectedEOF},
		}), nil
	}}
	w.move = func(context.Context, string, string) (kumquatlug.KVCacheRef, error) {
		close(<-moved)
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "copy"), nil
	}
	f := newTestGateway(t, w, manyRetries)
	for range runs {
		response := make(chan clientResponse, 1)
		go func() { response <- f.do(context.Background(), http.MethodPost, "/long/?tokens=220,257") }()
		worker := <-started
		<-time.After(30 * time.Millisecond)
		f.g.applyPlan("engines", rolePlan{Roles: map[string]kumquatlug.Role{worker: kumquatlug.RolePrefill}})
		if got := <-response; got.body != events(1, 30) {
			t.Fatalf("%+v", got)
		}
		f.g.applyPlan("engines", rolePlan{})
	}
	p := f.g.scheduler.service("engines").placer
	if ms, n := p.UsualRunTime(f.g.c.Clock.Now(), 257), p.RunSamples(257); n != runs || ms < 30 {
		t.Errorf("%d streams that take over 30 ms are expected to take %d ms, from %d samples", runs, ms, n)
	}
}

// peersLink is a link to some peer gateways that are never sent anything.
type peersLink struct {
	noLink
	peers []kumquatlug.HandoffPeer
}

func (l peersLink) HandoffPeers() []kumquatlug.HandoffPeer {
	return slices.DeleteFunc(slices.Clone(l.peers), func(p kumquatlug.HandoffPeer) bool { return p.Address == "" })
}

func (l peersLink) Zone(gateway string) string {
	for _, p := range l.peers {
		if p.Name == gateway {
			return p.Zone
		}
	}
	return ""
}

// neighbour returns the link to a gateway in a zone that accepts handed-off requests.
func neighbour(zone string) peersLink {
	return peersLink{peers: []kumquatlug.HandoffPeer{{Name: "b", Zone: zone, Address: "127.0.0.1:9"}}}
}

// A refused client that has another gateway in its data centre should retry there at once. One that
// has none, or only one that is stopping or has gone, would come back here and be refused again: it
// should return after the restart.
func TestRefusedClientWithoutAnotherGatewayReturnsAfterRestart(t *testing.T) {
	const restarted = 8000 - exitMargin + restartTime - 4200
	rows := func(f *testGateway, names ...string) { f.g.streamVersions.setPeers(append(names, f.g.c.Name), nil) }
	for name, c := range map[string]struct {
		link   peersLink
		events func(f *testGateway)
		want   kumquatlug.Millis
	}{
		"neighbour":           {neighbour("z"), func(f *testGateway) { rows(f, "b") }, shutdownRetryAfter},
		"neighbour elsewhere": {neighbour("elsewhere"), func(f *testGateway) { rows(f, "b") }, restarted},
		"rows not read":       {neighbour("elsewhere"), func(f *testGateway) { f.g.peersKnown.Store(false) }, shutdownRetryAfter},
		"no handoffs":         {peersLink{peers: []kumquatlug.HandoffPeer{{Name: "b", Zone: "z"}}}, func(f *testGateway) { rows(f, "b") }, shutdownRetryAfter},
		"zone unknown":        {peersLink{}, func(f *testGateway) { rows(f, "b") }, shutdownRetryAfter},
		"row removed":         {neighbour("z"), func(f *testGateway) { rows(f, "b"); rows(f) }, restarted},
		"announced its stop":  {neighbour("z"), func(f *testGateway) { rows(f, "b"); f.g.streamVersions.peerLeft("b") }, restarted},
		"row after its stop":  {neighbour("z"), func(f *testGateway) { rows(f, "b"); f.g.streamVersions.peerLeft("b"); rows(f, "b") }, restarted},
		"restarted after a stop": {neighbour("z"), func(f *testGateway) {
			rows(f, "b")
			f.g.streamVersions.peerLeft("b")
			f.g.streamVersions.peerJoined("b", true)
		}, shutdownRetryAfter},
	} {
		f := newLateGateway(t, respondingWorkers(), 0)
		f.g.c.Peers = c.link
		f.g.peersKnown.Store(true)
		c.events(f)
		f.stopped(4200)
		got := f.doPatiently(t, "/chat/?tokens=30,2000")
		after, err := strconv.Atoi(got.header.Get("Retry-After"))
		if err != nil || !refusedAtOnce(f, got) || kumquatlug.Millis(after) > c.want || kumquatlug.Millis(after) < c.want-200 {
			t.Errorf("%s: Retry-After %d ms, want %d; %+v", name, after, c.want, got)
		}
	}
}

// Guards against late streams that a stopping gateway takes and cuts at its exit: the clients of all streams that it
// has seen left after a few events, so that no sample tells how many events a whole stream has.
func TestStoppingGatewayThatSawOnlyLeftStreamsRefusesLateOnes(t *testing.T) {
	f := newLateGateway(t, respondingWorkers(), 0)
	now, p := f.g.c.Clock.Now(), f.g.scheduler.service("engines").placer
	// A whole stream has 40 events for 2,000 tokens and takes 4.4 s and more.
	prompt := kumquatlug.NewPrompt(nil, 10, 2000)
	for range 200 {
		c, _ := p.ChooseDecode(now-1000, placement.Query{Prompt: prompt})
		a := p.Begin(now-1000, c, prompt)
		p.PrefillDone(now-900, a)
		for event := range kumquatlug.Millis(6) {
			p.RecordEvents(now-800+110*event, a, 1)
		}
		p.End(now, a, placement.OutcomeNeutral)
	}
	longest, known := p.LongestRun(2000)
	t.Logf("longest run %d ms, known %v", longest, known)
	if got := f.doPatiently(t, "/chat/?tokens=30,2000"); !refusedAtOnce(f, got) {
		t.Errorf("status %d, calls %d, want a refusal", got.status, len(f.workers.recorded()))
	}
}
