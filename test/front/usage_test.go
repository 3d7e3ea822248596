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

// startPosts sends requests of an account through fronts until stop is closed, and
// returns how many were answered.
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
				got := p.doWithKey(key, http.MethodPost, site.PathPost+"x", fmt.Sprintf("%s-%d-%d", name, n, i), nil)
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

// Two fronts serve two accounts while the service that takes the reports is busy, loses
// its answers and falls silent. Each window must be reported once, with all that ran;
// whatever differs is billed wrongly.
func TestUsageIsReportedOnceDespiteServiceFaults(t *testing.T) {
	s := newSite(t, site.Config{Plain: 2, Pause: time.Millisecond})
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
	eventually(t, "all is reported", func() bool {
		return s.Cloud.Total("north") == wantNorth && s.Cloud.Total("south") == wantSouth
	})
	if violations := s.Cloud.Broken(); len(violations) != 0 {
		t.Errorf("%v", violations)
	}
}

// The holder of the lease is frozen past its lease, wakes, and is killed. What was
// fixed is reported by its successor as it was, and no token is used by two.
func TestUsageSurvivesLossOfLeaseHolder(t *testing.T) {
	s := newSite(t, site.Config{Plain: 2, Pause: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2"), newGateway(t, s, "front-3")}
	eventually(t, "windows are reported", func() bool { return len(s.Cloud.Reports()) > 1 })
	holder := 0
	for i, p := range gateways {
		if len(p.log("lease won")) > 0 {
			holder = i
		}
	}
	others := append(append([]*process{}, gateways[:holder]...), gateways[holder+1:]...)
	stop := make(chan struct{})
	served := startPosts(t, others, northKey, "n", stop)
	sleep(700 * time.Millisecond)
	gateways[holder].signal(syscall.SIGSTOP)
	eventually(t, "another front holds the lease", func() bool {
		return len(others[0].log("lease won"))+len(others[1].log("lease won")) > 0
	})
	gateways[holder].signal(syscall.SIGCONT)
	sleep(500 * time.Millisecond)
	gateways[holder].kill()
	close(stop)
	want := served()
	eventually(t, "all is reported", func() bool { return s.Cloud.Total("north") == want })
	if violations := s.Cloud.Broken(); len(violations) != 0 || s.Cloud.Holders() < 2 {
		t.Errorf("%d holders; %v", s.Cloud.Holders(), violations)
	}
}

// A front is told to stop in the middle of a window. What it had counted until then
// must be in the report.
func TestStoppingGatewayReportsItsCounts(t *testing.T) {
	s := newSite(t, site.Config{Plain: 1, Pause: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	remaining, stopping := newGateway(t, s, "front-1"), newGateway(t, s, "front-2")
	stop := make(chan struct{})
	served := startPosts(t, []*process{remaining, stopping}, northKey, "n", stop)
	sleep(1300 * time.Millisecond)
	stopping.signal(syscall.SIGTERM)
	sleep(300 * time.Millisecond)
	close(stop)
	want := served()
	<-stopping.done
	eventually(t, "all is reported", func() bool { return s.Cloud.Total("north") == want })
	if violations := s.Cloud.Broken(); len(violations) != 0 {
		t.Errorf("%v", violations)
	}
}

// More clients come than the workers have places. The holder must order more of them,
// once and not each second, and no front that does not hold the lease may order any.
func TestWorkersAreAddedForGrowingLoad(t *testing.T) {
	s := newSite(t, site.Config{Plain: 1, Pause: 150 * time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	s.Scale(4, 150*time.Millisecond)
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	stop := make(chan struct{})
	var served []func() int64
	for i := range 8 {
		served = append(served, startPosts(t, gateways, northKey, fmt.Sprintf("n%d", i), stop))
	}
	eventually(t, "workers were added", func() bool {
		return len(gateways[0].log("workers ordered"))+len(gateways[1].log("workers ordered")) > 0
	})
	sleep(2 * time.Second)
	close(stop)
	for _, wait := range served {
		if wait() == 0 {
			t.Error("a client was never served")
		}
	}
	if n := s.Cloud.Scaled(); n > 4 {
		t.Errorf("%d orders", n)
	}
	if violations := s.Cloud.Broken(); len(violations) != 0 || len(gateways[0].log("workers ordered")) > 0 && len(gateways[1].log("workers ordered")) > 0 {
		t.Errorf("%v", violations)
	}
}

// What the holder writes reaches the store, and no answer comes back. It must not go on
// as the holder, nor its successor report other counts than were fixed.
func TestUsageSurvivesOneWayPartitionOfLeaseHolder(t *testing.T) {
	s := newSite(t, site.Config{Plain: 2, Pause: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	holder := newGateway(t, s, "front-1")
	eventually(t, "it holds the lease", func() bool { return len(holder.log("lease won")) > 0 })
	other := newGateway(t, s, "front-2")
	stop := make(chan struct{})
	served := startPosts(t, []*process{other}, northKey, "n", stop)
	sleep(1200 * time.Millisecond)
	s.CutOneWay("front-1")
	eventually(t, "the other one holds it", func() bool { return len(other.log("lease won")) > 0 })
	close(stop)
	want := served()
	eventually(t, "all is reported", func() bool { return s.Cloud.Total("north") == want })
	if violations := s.Cloud.Broken(); len(violations) != 0 {
		t.Errorf("%v", violations)
	}
}
