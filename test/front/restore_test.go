package front

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// fencingTokens returns the fencing tokens with which a gateway acquired the lease, in order.
func fencingTokens(t *testing.T, p *process) []int64 {
	t.Helper()
	var tokens []int64
	for _, line := range p.log("lease won") {
		_, rest, _ := strings.Cut(line, `"fence":`)
		n, err := strconv.ParseInt(strings.TrimRight(rest, "}"), 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		tokens = append(tokens, n)
	}
	return tokens
}

// Under load, the store is restored from a backup that predates a drain, the removal of a
// route and the rows of the gateways, and it assigns the same versions again. The drain,
// the removal and the fencing token of the orders must not be reverted, and no request may
// fail.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 2, DecodeEngines: 2, PlainWorkers: 3, Events: 2, EventDelay: 10 * time.Millisecond})
	snapshot := s.Store.Snapshot()
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	eventually(t, "a gateway holds the lease", func() bool { return len(fencingTokens(t, gateways[0]))+len(fencingTokens(t, gateways[1])) > 0 })
	s.SetConfig(func(routes map[string]site.Route) { delete(routes, site.PathNonResumable) })
	drained := s.PlainWorkers[0]
	s.WriteWorkerRow(drained, "draining")
	for _, p := range gateways {
		eventually(t, p.name+" reads both changes", func() bool { return len(p.log("config in force")) > 1 && len(p.log(`"draining"`)) > 0 })
	}
	stop := make(chan struct{})
	lookups := startLoad(gateways, 10*time.Millisecond, stop, "look", (*process).lookup)
	longPrompts := startLoad(gateways, 20*time.Millisecond, stop, "long", (*process).longPrompt)
	sleep(500 * time.Millisecond)
	s.Store.Restore(snapshot, 1000)
	restored := time.Now()
	for _, p := range gateways {
		eventually(t, p.name+" detects the restore", func() bool { return len(p.log("store restored", `"era":1`)) > 0 })
		eventually(t, p.name+" writes its row again", func() bool { return s.Store.Value("kumquatlug-front", "front/"+p.name) != nil })
	}
	before := max(lastToken(fencingTokens(t, gateways[0])), lastToken(fencingTokens(t, gateways[1])))
	eventually(t, "a gateway holds the lease under a higher token", func() bool {
		return max(lastToken(fencingTokens(t, gateways[0])), lastToken(fencingTokens(t, gateways[1]))) > before
	})
	if got := gateways[0].chat("gone"); got.status != 404 {
		t.Errorf("removed route: status %d", got.status)
	}
	close(stop)
	for kind, result := range map[string]*loadResult{"look": lookups(), "long": longPrompts()} {
		if result.failed > 0 || result.succeeded < 50 {
			t.Errorf("%s: %d succeeded, %d failed, last failure %+v", kind, result.succeeded, result.failed, result.lastFailure)
		}
	}
	if lateRequests := drained.MaxArrivals(restored, time.Minute); lateRequests > 0 {
		t.Errorf("the drained worker received %d requests after the restore", lateRequests)
	}
}

// lastToken returns the newest token, or 0 if there is none.
func lastToken(tokens []int64) int64 {
	if len(tokens) == 0 {
		return 0
	}
	return tokens[len(tokens)-1]
}

// The store is restored twice from a backup that is some seconds old while usage is counted
// and reported. Each window must be reported once, with all its requests, under increasing
// fencing tokens.
func TestUsageSurvivesStoreRestore(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 2, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	eventually(t, "windows are reported", func() bool { return len(s.Cloud.Reports()) > 1 })
	stop := make(chan struct{})
	served := startPosts(t, gateways, northKey, "n", stop)
	for range 2 {
		snapshot := s.Store.Snapshot()
		sleep(2500 * time.Millisecond)
		s.Store.Restore(snapshot, 500)
		reported := len(s.Cloud.Reports())
		eventually(t, "windows are reported again", func() bool { return len(s.Cloud.Reports()) > reported+3 })
	}
	close(stop)
	want := served()
	eventually(t, "all requests are reported", func() bool { return s.Cloud.TotalRequests("north") == want })
	if violations := s.Cloud.Violations(); len(violations) != 0 {
		t.Errorf("violated rules: %v", violations)
	}
}
