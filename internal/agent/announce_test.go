package agent

import (
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/internal/service"
	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/config"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/selector"
)

// newServiceAgent returns an agent beside a plain service that may be called as "read".
func newServiceAgent(t *testing.T, targetURL string) *Agent {
	t.Helper()
	store := platform.NewMemory()
	a, err := New(Config{
		Name: "s1", Target: service.New(service.Config{URL: targetURL}), Table: store, Objects: store, VMs: store,
		Clock: clock.NewMonotonic(), Logger: zap.NewNop(), Registry: prometheus.NewRegistry(), Ring: timeline.NewRing("s1", 16),
	})
	if err != nil {
		t.Fatal(err)
	}
	labels, err := config.NewLabelsSet("s1", selector.Labels{"pool": "all"})
	if err != nil {
		t.Fatal(err)
	}
	read, err := config.NewSelectorSet(selector.Config{Name: "read", Protocol: kumquatlug.ProtocolService, Kind: "read", Role: kumquatlug.RoleServe, Match: "pool=all"})
	if err != nil {
		t.Fatal(err)
	}
	a.applyConfig(config.NewState(1, []config.Set{labels, read}))
	a.admission.update(func(now kumquatlug.Millis) { a.admission.drain.Refreshed(now) })
	return a
}

// A gateway cancels the first attempt of a request soon after the agent of the other target
// has admitted it. Without the announcement, both would run until the first output.
func TestAdmissionIsAnnouncedIfAsked(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) }))
	defer target.Close()
	server := httptest.NewServer(newServiceAgent(t, target.URL).work)
	defer server.Close()
	for ask, want := range map[string]int{"": 0, "true": 1} {
		announced := 0
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error { announced++; return nil }})
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+peer.WorkPath+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		peer.NewWork(peer.WorkConfig{Request: "r", Attempt: 1, Kind: kumquatlug.NewKind(kumquatlug.ProtocolService, "read"), Revision: 1, Timeout: kumquatlug.Minute}).Write(r.Header)
		if ask != "" {
			r.Header.Set(peer.HeaderAnnounce, ask)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK || announced != want {
			t.Errorf("asked %q: status %d, %d announcements", ask, response.StatusCode, announced)
		}
	}
}
