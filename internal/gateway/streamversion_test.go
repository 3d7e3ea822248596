package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// setEngineVersions makes the engines those of the given versions, by their names.
func (f *testGateway) setEngineVersions(versions map[string]string) {
	byService := map[string][]kumquatlug.Member{}
	for _, m := range f.g.members.Load().byService["desk"] {
		byService["desk"] = append(byService["desk"], m)
	}
	for id, version := range versions {
		m := member(id, kumquatlug.RoleDecode)
		m.Version = version
		byService["engines"] = append(byService["engines"], m)
	}
	set := &memberSet{loaded: true, byService: byService}
	f.g.members.Store(set)
	f.g.scheduler.syncMembers(f.g.c.Clock.Now(), byService)
}

// versionedEngines are engines that break their first streams off after two events.
func versionedEngines(broken int) *fakeWorkers {
	return &fakeWorkers{run: func(_ context.Context, n int, c workerCall) (kumquatlug.WorkerResponse, error) {
		first := int(c.options.LastEventID) + 1
		if n <= broken {
			return truncatedResponse(events(first, first+1), -1), nil
		}
		return streamResponse(first, 8), nil
	}}
}

// joinedVersions returns the versions of the engines to which a request was sent.
func (w *fakeWorkers) joinedVersions(versions map[string]string) map[string]bool {
	joined := map[string]bool{}
	for _, c := range w.recorded() {
		if !c.prefill {
			joined[versions[c.worker]] = true
		}
	}
	return joined
}

// Guards against a stream whose engine breaks it off and that goes on at another version.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2", "d5": "", "d6": ""}
	for range 20 {
		w := versionedEngines(1)
		f := newTestGateway(t, w, manyRetries)
		f.setEngineVersions(versions)
		got := f.do(context.Background(), http.MethodPost, longRoute)
		joined := w.joinedVersions(versions)
		if joined[""] {
			if got.err == nil || len(w.recorded()) != 1 {
				t.Errorf("%v after %d calls, want a stream of an unknown version to break off", got.err, len(w.recorded()))
			}
			continue
		}
		if got.err != nil || got.body != events(1, 8) || len(joined) != 1 {
			t.Errorf("%v, %d bytes of versions %v, want the whole stream of one version", got.err, len(got.body), joined)
		}
	}
}

// Guards against a stream that goes on, or waits, when no other worker of its version is left.
func TestStreamWithoutWorkerOfItsVersionBreaksOffAtOnce(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v2"}
	w := versionedEngines(1)
	f := newTestGateway(t, w, manyRetries)
	f.setEngineVersions(versions)
	got := f.do(context.Background(), http.MethodPost, longRoute)
	if got.err == nil || got.body != events(1, 2) || len(w.recorded()) != 1 || got.duration.Milliseconds() > 500 {
		t.Errorf("%v after %s, %d bytes, %d calls; want two events and the connection aborted at once", got.err, got.duration, len(got.body), len(w.recorded()))
	}
}

// resume takes up the stream that began as attempt first after an event.
func (f *testGateway) resume(t *testing.T, id, first string, after int) clientResponse {
	t.Helper()
	return f.doWith(t.Context(), http.MethodPost, longRoute, http.Header{
		"Id": {id}, "Resumes": {first}, "Last-Event-Id": {fmt.Sprint(after)},
	})
}

// Guards against a stream that its client takes up and that goes on at another version.
func TestClientTakesStreamUpAtItsVersionOnly(t *testing.T) {
	versions := map[string]string{"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2"}
	for range 20 {
		// Both engines of one version break off.
		w := versionedEngines(2)
		f := newTestGateway(t, w, manyRetries)
		f.setEngineVersions(versions)
		got := f.do(t.Context(), http.MethodPost, longRoute)
		if got.err == nil || !strings.HasPrefix(events(1, 8), got.body) {
			t.Fatalf("%v, %d bytes, want a part of the stream", got.err, len(got.body))
		}
		for _, id := range []string{"r2", "r3"} {
			got = f.resume(t, id, "r1", 4)
			if got.err != nil || got.body != events(5, 8) {
				t.Errorf("%s: %v, status %d, %q, want the rest of the stream", id, got.err, got.status, got.body)
			}
		}
		if joined := w.joinedVersions(versions); len(joined) != 1 {
			t.Errorf("the stream joins versions %v", joined)
		}
	}
}

// Guards against a stream that goes on although nobody knows the version that began it.
func TestStreamOfUnknownVersionIsNotTakenUp(t *testing.T) {
	w := versionedEngines(0)
	f := newTestGateway(t, w, manyRetries)
	f.setEngineVersions(map[string]string{"d1": "v1", "d2": "v2"})
	for _, first := range []string{"", "never-seen"} {
		got := f.resume(t, "r2", first, 4)
		if got.status != http.StatusServiceUnavailable || got.header.Get("Ran") != string(kumquatlug.NotExecuted) || got.duration.Milliseconds() > 500 {
			t.Errorf("resumes %q: status %d, %v after %s, want a refusal at once", first, got.status, got.header, got.duration)
		}
	}
	if n := len(w.recorded()); n != 0 {
		t.Errorf("%d calls of workers, want none", n)
	}
}
