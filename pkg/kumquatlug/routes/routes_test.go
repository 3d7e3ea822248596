package routes

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func newRoute(host, prefix string, shares ...kumquatlug.WeightedService) kumquatlug.Route {
	return kumquatlug.NewRoute(kumquatlug.RouteConfig{Name: host + prefix, Host: host, Prefix: prefix, Services: shares})
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(kumquatlug.OperatorConfig{Routes: []kumquatlug.Route{
		newRoute("h", "/a/"), newRoute("h", "/a/b/"), newRoute("h", "/"), newRoute("g", "/a/b/c/"),
	}})
	for path, want := range map[string]string{"/a/b/x": "h/a/b/", "/a/bx": "h/a/", "/c": "h/", "/a": "h/"} {
		if r, found := table.Match("h", path); !found || r.Name() != want {
			t.Errorf("%s: route %q, want %q", path, r.Name(), want)
		}
	}
	if _, found := table.Match("g", "/a/b/"); found {
		t.Error("found a route for a path without one")
	}
	if _, found := table.Match("other", "/"); found {
		t.Error("found a route for an unknown host")
	}
}

// The weights of a route move requests from one service to another. A request that is sent
// again must stay at its service.
func TestRequestsFollowWeights(t *testing.T) {
	r := newRoute("h", "/", kumquatlug.WeightedService{Service: "old", Weight: 90}, kumquatlug.WeightedService{Service: "new", Weight: 10})
	counts := map[string]int{}
	for i := range 5000 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		counts[r.Service(id)]++
		if again := r.Service(id); again != r.Service(id) {
			t.Fatal("a request moved to another service")
		}
	}
	if counts["new"] < 350 || counts["new"] > 650 {
		t.Errorf("requests by service: %v", counts)
	}
	if s := newRoute("h", "/", kumquatlug.WeightedService{Service: "only"}).Service("x"); s != "only" {
		t.Errorf("without weights: %q", s)
	}
	if s := newRoute("h", "/").Service("x"); s != "" {
		t.Errorf("without services: %q", s)
	}
}

func TestOnlyNewerVersionsReplace(t *testing.T) {
	old, next := NewTable(kumquatlug.OperatorConfig{Version: 4}), NewTable(kumquatlug.OperatorConfig{Version: 9})
	if !next.Newer(old) || old.Newer(next) || old.Newer(old) || !old.Newer(nil) {
		t.Error("wrong order of versions")
	}
}
