package front

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/cloud"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// startPosts sends requests of an account through each gateway until stop is closed. The
// returned function waits for the requests in flight and returns how many succeeded.
func startPosts(t *testing.T, gateways []*process, key, name string, stop <-chan struct{}) func() int64 {
	t.Helper()
	var group sync.WaitGroup
	var mu sync.Mutex
	var served int64
	for n, p := range gateways {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				got := p.doWithKey(key, http.MethodPost, site.PathNonIdempotent+"x", fmt.Sprintf("%s-%d-%d", name, n, i), nil)
				if got.status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		}()
	}
	return func() int64 {
		group.Wait()
		return served
	}
}

// Two gateways serve two accounts while the usage service is busy, loses responses and
// stops responding. Each window must be reported once, with all its requests; any
// difference leads to wrong bills.
func TestUsageIsReportedOnceDespiteServiceFaults(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 2, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}, "south": {southKey}})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	stop := make(chan struct{})
	north, south := startPosts(t, gateways, northKey, "n", stop), startPosts(t, gateways[:1], southKey, "s", stop)
	for _, fault := range []cloud.Fault{cloud.FaultBusy, cloud.FaultLost, cloud.FaultSilent, cloud.FaultNone} {
		s.Cloud.SetFault(fault)
		sleep(1200 * time.Millisecond)
	}
	close(stop)
	wantNorth, wantSouth := north(), south()
	eventually(t, "all requests are reported", func() bool {
		return s.Cloud.TotalRequests("north") == wantNorth && s.Cloud.TotalRequests("south") == wantSouth
	})
	if violations := s.Cloud.Violations(); len(violations) != 0 {
		t.Errorf("violated rules: %v", violations)
	}
}

// The lease holder is paused past the end of its lease, resumed and killed. Its successor
// must report the counts that were already final unchanged, and no two holders may use the
// same fencing token.
func TestUsageSurvivesLossOfLeaseHolder(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 2, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2"), newGateway(t, s, "front-3")}
	eventually(t, "windows are reported", func() bool { return len(s.Cloud.Reports()) > 1 })
	// Of those that have held the lease, the one with the newest token holds it.
	holder, token := 0, int64(0)
	for i, p := range gateways {
		if held := lastToken(fencingTokens(t, p)); held > token {
			holder, token = i, held
		}
	}
	others := append(append([]*process{}, gateways[:holder]...), gateways[holder+1:]...)
	stop := make(chan struct{})
	served := startPosts(t, others, northKey, "n", stop)
	sleep(700 * time.Millisecond)
	gateways[holder].signal(syscall.SIGSTOP)
	eventually(t, "another gateway holds the lease", func() bool {
		return max(lastToken(fencingTokens(t, others[0])), lastToken(fencingTokens(t, others[1]))) > token
	})
	gateways[holder].signal(syscall.SIGCONT)
	sleep(500 * time.Millisecond)
	gateways[holder].kill()
	close(stop)
	want := served()
	eventually(t, "all requests are reported", func() bool { return s.Cloud.TotalRequests("north") == want })
	if violations := s.Cloud.Violations(); len(violations) != 0 || s.Cloud.ReportingHolders() < 2 {
		t.Errorf("%d holders, want at least 2; violated rules: %v", s.Cloud.ReportingHolders(), violations)
	}
}

// A gateway is stopped in the middle of a window. The report must include the requests that
// it had counted.
func TestGatewayShuttingDownReportsItsCounts(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	remaining, shuttingDown := newGateway(t, s, "front-1"), newGateway(t, s, "front-2")
	stop := make(chan struct{})
	served := startPosts(t, []*process{remaining, shuttingDown}, northKey, "n", stop)
	sleep(1300 * time.Millisecond)
	shuttingDown.signal(syscall.SIGTERM)
	sleep(300 * time.Millisecond)
	close(stop)
	want := served()
	<-shuttingDown.done
	eventually(t, "all requests are reported", func() bool { return s.Cloud.TotalRequests("north") == want })
	if violations := s.Cloud.Violations(); len(violations) != 0 {
		t.Errorf("violated rules: %v", violations)
	}
}

// More clients arrive than the workers have slots. The lease holder must order more
// workers, once rather than every second, and no other gateway may order any.
func TestWorkersAreAddedForGrowingLoad(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1, EventDelay: 150 * time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	s.EnableScaling(4, 150*time.Millisecond)
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	stop := make(chan struct{})
	var served []func() int64
	for i := range 8 {
		served = append(served, startPosts(t, gateways, northKey, fmt.Sprintf("n%d", i), stop))
	}
	eventually(t, "more workers are ordered", func() bool {
		return len(gateways[0].log("workers ordered"))+len(gateways[1].log("workers ordered")) > 0
	})
	sleep(2 * time.Second)
	close(stop)
	for _, wait := range served {
		if wait() == 0 {
			t.Error("a client got no successful response")
		}
	}
	if n := s.Cloud.ScaleOrders(); n > 4 {
		t.Errorf("%d scaling orders, want at most 4", n)
	}
	if violations := s.Cloud.Violations(); len(violations) != 0 || len(gateways[0].log("workers ordered")) > 0 && len(gateways[1].log("workers ordered")) > 0 {
		t.Errorf("violated rules: %v", violations)
	}
}

// The lease holder's writes reach the store, but no response comes back. It must not
// continue as the holder, and its successor must not change counts that are final.
func TestUsageSurvivesOneWayPartitionOfLeaseHolder(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 2, EventDelay: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	holder := newGateway(t, s, "front-1")
	eventually(t, "the first gateway holds the lease", func() bool { return len(holder.log("lease won")) > 0 })
	other := newGateway(t, s, "front-2")
	stop := make(chan struct{})
	served := startPosts(t, []*process{other}, northKey, "n", stop)
	sleep(1200 * time.Millisecond)
	s.DropStoreResponses("front-1")
	eventually(t, "the other gateway holds the lease", func() bool { return len(other.log("lease won")) > 0 })
	close(stop)
	want := served()
	eventually(t, "all requests are reported", func() bool { return s.Cloud.TotalRequests("north") == want })
	if violations := s.Cloud.Violations(); len(violations) != 0 {
		t.Errorf("violated rules: %v", violations)
	}
}

// The store does not respond while a gateway stops with a stream in flight. It must have exited when its grace period
// ends: the platform then kills it, and what it has not written to its log is lost.
func TestStopEndsWithinGracePeriodDuringStoreOutage(t *testing.T) {
	const gracePeriod = 4 * time.Second
	s := newSite(t, site.Config{PrefillEngines: 1, DecodeEngines: 1, PlainWorkers: 1, Events: 500, EventDelay: 10 * time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	p := newGateway(t, s, "front-1")
	stop := make(chan struct{})
	served := startPosts(t, []*process{p}, northKey, "before", stop)
	sleep(4 * time.Second)
	s.Store.SetFault(rowstoreFault("silent"))
	// The windows that the store has are past due when the gateway stops, so that it reads which of them are final.
	sleep(3500 * time.Millisecond)
	close(stop)
	served()
	go p.doWithKey(northKey, http.MethodPost, site.PathNonResumable+"x", "long-stream", chatHeaders("long-stream"))
	eventually(t, "the stream runs", func() bool { return totalRuns(s.Engines, "long-stream") > 0 })
	stopped := time.Now()
	p.signal(syscall.SIGTERM)
	<-p.done
	if took := time.Since(stopped); took > gracePeriod {
		t.Errorf("the gateway exited %v after SIGTERM, want at most %v; last lines %q", took, gracePeriod, p.log("stop"))
	}
}
