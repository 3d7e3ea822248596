package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func (noLink) SendDecodeCount(string, kumquatlug.DecodeCount) {}
func (noLink) SendDecodeTotal(string, kumquatlug.DecodeTotal) {}

// slotLink is a link to a peer that coordinates all engines and responds in the call.
type slotLink struct {
	noLink
	mu      sync.Mutex
	g       *Gateway
	counts  []kumquatlug.DecodeCount
	respond func(kumquatlug.DecodeCount) (kumquatlug.DecodeTotal, bool)
}

func (l *slotLink) SendDecodeCount(peer string, c kumquatlug.DecodeCount) {
	l.mu.Lock()
	l.counts = append(l.counts, c)
	l.mu.Unlock()
	if !c.Asks {
		return
	}
	if response, responds := l.respond(c); responds {
		response.Service, response.Engine, response.Sequence = c.Service, c.Engine, c.Sequence
		l.g.DecodeTotalReceived(peer, response)
	}
}

// Send grants each permit at once.
func (l *slotLink) Send(m kumquatlug.PermitMessage) {
	if m.Permit.Step == kumquatlug.PermitRequested {
		m.Permit.Step = kumquatlug.PermitGranted
		l.g.PermitReceived(m)
	}
}

// asked returns the engines of the questions so far.
func (l *slotLink) asked() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var engines []string
	for _, c := range l.counts {
		if c.Asks {
			engines = append(engines, c.Engine)
		}
	}
	return engines
}

// newSlotGateway returns a gateway that is one of nine before engines with eight slots.
func newSlotGateway(t *testing.T, w *fakeWorkers, respond func(kumquatlug.DecodeCount) (kumquatlug.DecodeTotal, bool)) (*testGateway, *slotLink) {
	t.Helper()
	f := newTestGateway(t, w, manyRetries)
	l := &slotLink{g: f.g, respond: respond}
	f.g.c.Peers = l
	outcomes := f.g.scheduler.slots.outcomes
	f.g.scheduler = newScheduler(f.g.c)
	f.g.scheduler.slots.outcomes = outcomes
	f.g.scheduler.applyConfig(testTable(7))
	f.g.scheduler.setGateways([]string{"n", "peer", "3", "4", "5", "6", "7", "8", "9"})
	f.g.scheduler.setPeers([]string{"n", "peer"}, nil)
	f.g.scheduler.coordinators.StopCoordinating()
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), f.g.members.Load().byService)
	return f, l
}

func grant(kumquatlug.DecodeCount) (kumquatlug.DecodeTotal, bool) {
	return kumquatlug.DecodeTotal{Total: 3, Granted: true}, true
}

func respondingStreams() *fakeWorkers {
	return &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
		return streamResponse(1, 3), nil
	}}
}

const (
	shortRoute = "/long/?tokens=200,400"
	shortChat  = "/chat/?tokens=200,400"
)

// With different priorities an engine preempts a stream for another one in mid-output. All
// decoding requests must have the same, and prefills must keep theirs; where slots are not
// shared, nothing changes.
func TestDecodingRequestsHaveOnePriority(t *testing.T) {
	priorities := func(f *testGateway) map[string]int {
		all := map[string]int{}
		for _, path := range []string{shortRoute, shortChat, chatPrefill} {
			before := len(f.workers.recorded())
			f.do(t.Context(), http.MethodPost, path)
			for _, c := range f.workers.recorded()[before:] {
				key := path
				if c.prefill {
					key += " prefill"
				}
				all[key] = c.options.Priority
			}
		}
		return all
	}
	apart := priorities(newTestGateway(t, respondingStreams(), manyRetries))
	f, _ := newSlotGateway(t, respondingStreams(), grant)
	shared := priorities(f)
	if apart[shortRoute] == apart[shortChat] || apart[shortChat] != 4 {
		t.Errorf("priorities without shared slots: %v", apart)
	}
	if shared[shortRoute] != priorityDecode || shared[shortChat] != priorityDecode || shared[chatPrefill] != priorityDecode {
		t.Errorf("priorities with shared slots: %v", shared)
	}
	if prefill := chatPrefill + " prefill"; shared[prefill] != apart[prefill] {
		t.Errorf("priority of a prefill: %d, %d without shared slots", shared[prefill], apart[prefill])
	}
}

// The engine with the lowest cost is full. The request must reach the other one in its first
// attempt.
func TestDeniedRequestReachesAnotherEngine(t *testing.T) {
	first := ""
	f, l := newSlotGateway(t, respondingStreams(), func(c kumquatlug.DecodeCount) (kumquatlug.DecodeTotal, bool) {
		if first == "" {
			first = c.Engine
		}
		return kumquatlug.DecodeTotal{Total: 8, Granted: c.Engine != first}, true
	})
	response := f.do(t.Context(), http.MethodPost, shortRoute)
	calls := f.workers.recorded()
	if response.body != events(1, 3) || len(calls) != 1 || calls[0].worker == first || len(l.asked()) != 2 {
		t.Errorf("%+v, sent to %+v, asked %v", response, calls, l.asked())
	}
	if n := testutil.ToFloat64(f.g.scheduler.slots.outcomes.WithLabelValues("engines", "denied")); n != 1 {
		t.Errorf("%.0f denials counted", n)
	}
}

// The coordinator does not respond. The request must go ahead after 8 ms, and from the third
// one on without a question.
func TestUnansweredQuestionDelaysBriefly(t *testing.T) {
	f, l := newSlotGateway(t, respondingStreams(), func(kumquatlug.DecodeCount) (kumquatlug.DecodeTotal, bool) {
		return kumquatlug.DecodeTotal{}, false
	})
	for range 5 {
		if response := f.do(t.Context(), http.MethodPost, shortRoute); response.body != events(1, 3) || response.duration > time.Second {
			t.Fatalf("%+v", response)
		}
	}
	if n := len(l.asked()); n != 3 {
		t.Errorf("%d questions to a coordinator that does not respond", n)
	}
}

// No slot becomes free before the client gives up. The request must be refused at once, with
// the statement that it did not run; it must not wait for its deadline.
func TestRequestWithoutSlotIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{shortRoute, chatPrefill} {
		f, _ := newSlotGateway(t, respondingStreams(), func(kumquatlug.DecodeCount) (kumquatlug.DecodeTotal, bool) {
			return kumquatlug.DecodeTotal{Total: 900}, true
		})
		response := f.do(t.Context(), http.MethodPost, path)
		if response.status != http.StatusServiceUnavailable || response.header.Get("Ran") != "not-run" || response.header.Get("Retry-After") == "" || response.duration > time.Second {
			t.Errorf("%s: %+v", path, response)
		}
		for _, d := range []string{"d1", "d2"} {
			if load := f.g.scheduler.workInFlight(0, "engines", d); load.Tokens() != 0 {
				t.Errorf("%s has %d tokens of a refused request", d, load.Tokens())
			}
		}
	}
}

// The question for a long prompt is sent while it is prefilled. If it were sent afterwards,
// the response would delay the first event.
func TestLongPromptAsksDuringPrefill(t *testing.T) {
	w := respondingStreams()
	var l *slotLink
	var duringPrefill []string
	w.prefill = func(context.Context, int, workerCall) (kumquatlug.KVCacheRef, kumquatlug.WorkerResponse, error) {
		duringPrefill = l.asked()
		return kumquatlug.NewKVCacheRef("10.0.0.1:1", "h"), wholeResponse(200, ""), nil
	}
	f, link := newSlotGateway(t, w, grant)
	l = link
	response := f.do(t.Context(), http.MethodPost, longRoute)
	calls, asked := w.recorded(), l.asked()
	if response.body != events(1, 3) || len(calls) != 2 || len(duringPrefill) != 1 || len(asked) != 1 || calls[1].worker != asked[0] {
		t.Errorf("%+v, sent to %+v, asked %v, during the prefill %v", response, calls, asked, duringPrefill)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := l.counts[len(l.counts)-1]; len(l.counts) != 2 || last.Asks || last.Count != 0 {
		t.Errorf("sent %+v", l.counts)
	}
}
