package front

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// maxTableDelay is the time within which a change of a table must be in force.
const maxTableDelay = 3 * time.Second

// requireWithin waits until all gateways have logged lines with all substrings, and reports
// those that took longer than maxTableDelay since a change.
func requireWithin(t *testing.T, changed time.Time, gateways []*process, substrings ...string) {
	t.Helper()
	for _, p := range gateways {
		eventually(t, fmt.Sprint(p.name, " logs ", substrings), func() bool { return len(p.log(substrings...)) > 0 })
	}
	if took := time.Since(changed); took > maxTableDelay {
		t.Errorf("%v in force after %v", substrings, took)
	}
}

// Eight gateways share their reads. The store turns one away that gets its tables from peers,
// and each follower of the workers is paused, killed or turned away in turn. A draining worker
// and a new config must be known at all others in time.
func TestChangesArriveWhileFollowersFail(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 5, EventDelay: time.Millisecond})
	var gateways []*process
	for i := range 8 {
		gateways = append(gateways, newGateway(t, s, fmt.Sprint("front-", i)))
	}
	follows := func(p *process) bool { return len(p.log("table from other fronts", `"servers"`)) == 0 }
	eventually(t, "most gateways get the workers from peers", func() bool {
		return len(slices.DeleteFunc(slices.Clone(gateways), follows)) >= 4
	})
	sleep(2 * time.Second)
	receiver := gateways[slices.IndexFunc(gateways, func(p *process) bool { return !follows(p) })]
	s.SetStoreBlocked(receiver.name, true)
	changed := time.Now()
	s.WriteWorkerRow(s.PlainWorkers[0], "draining")
	s.SetConfig(nil)
	requireWithin(t, changed, gateways, `"draining"`, s.ID(s.PlainWorkers[0]))
	requireWithin(t, changed, gateways, "config in force", `"version":7`)
	s.SetStoreBlocked(receiver.name, false)
	for i, fault := range []string{"paused", "turned away", "killed"} {
		at := slices.IndexFunc(gateways, follows)
		if at < 0 {
			t.Fatal("no gateway follows the workers")
		}
		follower := gateways[at]
		gateways = slices.Delete(gateways, at, at+1)
		t.Logf("%s: %s", fault, follower.name)
		switch fault {
		case "paused":
			follower.signal(syscall.SIGSTOP)
		case "turned away":
			s.SetStoreBlocked(follower.name, true)
		case "killed":
			follower.signal(os.Kill)
		}
		changed := time.Now()
		worker := s.PlainWorkers[i+1]
		s.WriteWorkerRow(worker, "draining")
		s.SetConfig(nil)
		requireWithin(t, changed, gateways, `"draining"`, s.ID(worker))
		requireWithin(t, changed, gateways, "config in force", fmt.Sprintf(`"version":%d`, 9+2*i))
		if fault == "paused" {
			follower.signal(syscall.SIGCONT)
			requireWithin(t, time.Now(), []*process{follower}, "config in force", `"version":9`)
		}
		sleep(time.Second)
	}
}
