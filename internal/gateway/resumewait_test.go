package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// fullUntil are engines of which some refuse all requests until a time.
func fullUntil(until time.Time, full string) *fakeWorkers {
	return &fakeWorkers{run: func(_ context.Context, _ int, c workerCall) (kumquatlug.WorkerResponse, error) {
		if c.worker == full && time.Now().Before(until) {
			return refusedResponse(), nil
		}
		return streamResponse(int(c.options.LastEventID)+1, 8), nil
	}}
}

// askedToWait returns the response of a worker that refuses and wants no request for a while.
func askedToWait(backoff kumquatlug.Millis) kumquatlug.WorkerResponse {
	return kumquatlug.NewWorkerResponse(kumquatlug.WorkerResponseConfig{
		Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Refused: true, Backoff: backoff,
	})
}

// The only engine of a version is full for a while. Guards against streams that are refused as if their version
// had gone, while new ones begin elsewhere.
func TestResumedStreamsWaitForFullEngineOfTheirVersion(t *testing.T) {
	w := fullUntil(time.Now().Add(400*time.Millisecond), "d1")
	f := newTestGateway(t, w, manyRetries)
	f.setEngineVersions(map[string]string{"d1": "v1", "d2": "v2", "d3": "v2"})
	f.g.streamVersions.remember("engines", "r1", "v1")
	var group sync.WaitGroup
	for n := range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			got := f.resume(t, "again-"+strconv.Itoa(n), "r1", 4)
			if got.err != nil || got.status != http.StatusOK || got.body != events(5, 8) {
				t.Errorf("%v, status %d, %s after %s, want the rest of the stream", got.err, got.status, got.header.Get("Reason"), got.duration)
			}
		}()
	}
	group.Wait()
	for _, c := range w.recorded() {
		if c.worker != "d1" && !c.prefill {
			t.Errorf("sent to %s", c.worker)
		}
	}
}

// The route has a timeout of 1.5 s, so that a third of the time left is 500 ms at most. Guards against a client that is told to come back before an engine of the version of its stream can take it, and
// against one that waits in vain.
func TestStreamThatCannotGoOnIsRefusedWithUsefulRetryAfter(t *testing.T) {
	cases := map[string]struct {
		members  []kumquatlug.Member
		reason   string
		min, max int
	}{
		"no engine of the version": {[]kumquatlug.Member{versionMember("d2", kumquatlug.RoleDecode, "v2")}, reasonVersionGone, 400, 500},
		"all engines of the version prefill": {[]kumquatlug.Member{
			versionMember("p1", kumquatlug.RolePrefill, "v1"), versionMember("d2", kumquatlug.RoleDecode, "v2"),
		}, reasonVersionPrefills, 400, 500},
		"the engine of the version wants no requests": {[]kumquatlug.Member{
			versionMember("d1", kumquatlug.RoleDecode, "v1"), versionMember("d2", kumquatlug.RoleDecode, "v2"),
		}, "worker_limit", 400, 500},
	}
	for name, c := range cases {
		w := &fakeWorkers{run: func(context.Context, int, workerCall) (kumquatlug.WorkerResponse, error) {
			return askedToWait(5000), nil
		}}
		f := newTestGateway(t, w, manyRetries)
		f.setEngines(c.members...)
		f.g.streamVersions.remember("engines", "r1", "v1")
		got := f.resume(t, "r2", "r1", 4)
		after, _ := strconv.Atoi(got.header.Get("Retry-After"))
		if got.status != http.StatusServiceUnavailable || got.header.Get("Reason") != c.reason || got.header.Get("Ran") != string(kumquatlug.NotExecuted) || after < c.min || after > c.max {
			t.Errorf("%s: status %d, %v, want %s and Retry-After from %d to %d ms", name, got.status, got.header, c.reason, c.min, c.max)
		}
		if got.duration > 500*time.Millisecond {
			t.Errorf("%s: refused after %s, want at once", name, got.duration)
		}
	}
}

func versionMember(id string, role kumquatlug.Role, version string) kumquatlug.Member {
	m := member(id, role)
	m.Worker = m.Worker.WithVersion(version)
	return m
}

// setEngines replaces the engines.
func (f *testGateway) setEngines(engines ...kumquatlug.Member) {
	byService := map[string][]kumquatlug.Member{"desk": f.g.members.Load().byService["desk"], "engines": engines}
	f.g.members.Store(&memberSet{loaded: true, byService: byService})
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), byService)
}

// A client that has waited for long takes up a stream. Guards against an engine that gets it as a late request, which it
// serves after all new ones and preempts for them.
func TestResumedStreamIsNotLateAtItsEngine(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		w := versionedEngines(0)
		f := newTestGateway(t, w, manyRetries)
		f.g.streamVersions.remember("engines", "r1", "v1")
		f.g.scheduler.recordArrival("engines", "/long/", 6000, false)
		want := priorityLate
		if resumes {
			want = priorityOnTime
			f.resume(t, "r2", "r1", 4)
		} else {
			f.do(t.Context(), http.MethodPost, longRoute)
		}
		calls := w.recorded()
		for _, c := range calls {
			if c.options.Priority != want {
				t.Errorf("resumes %v: sent to %s with priority %d, want %d", resumes, c.worker, c.options.Priority, want)
			}
		}
		if len(calls) != 2 {
			t.Errorf("resumes %v: %d calls, want a prefill and a run", resumes, len(calls))
		}
	}
}
