package front

import (
	"fmt"
	"os"
	"slices"
	"strings"
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

// Sources of the table of the workers, as a gateway logs them when they change.
const (
	fromPeers          = `"table from other fronts"`
	fromStoreForOthers = `"reason":"follow"`
)

// workersFrom returns from where a gateway gets the table of the workers now: fromPeers,
// fromStoreForOthers, or the empty string if it reads the store for itself alone.
func (p *process) workersFrom() string {
	lines := p.log(`"msg":"table `, `"table":"servers"`)
	if len(lines) == 0 {
		return ""
	}
	for _, source := range []string{fromPeers, fromStoreForOthers} {
		if strings.Contains(lines[len(lines)-1], source) {
			return source
		}
	}
	return ""
}

// waitForIndex waits until condition is true for a gateway and returns the first one.
func waitForIndex(t *testing.T, description string, gateways []*process, condition func(*process) bool) int {
	t.Helper()
	at := -1
	eventually(t, "a gateway "+description, func() bool {
		at = slices.IndexFunc(gateways, condition)
		return at >= 0
	})
	return at
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
	receives := func(p *process) bool { return p.workersFrom() == fromPeers }
	eventually(t, "most gateways get the workers from peers", func() bool {
		return len(slices.DeleteFunc(slices.Clone(gateways), receives)) <= 4
	})
	sleep(2 * time.Second)
	receiver := gateways[waitForIndex(t, "gets the workers from peers", gateways, receives)]
	s.SetStoreBlocked(receiver.name, true)
	changed := time.Now()
	s.WriteWorkerRow(s.PlainWorkers[0], "draining")
	s.SetConfig(nil)
	requireWithin(t, changed, gateways, `"draining"`, s.ID(s.PlainWorkers[0]))
	requireWithin(t, changed, gateways, "config in force", `"version":7`)
	s.SetStoreBlocked(receiver.name, false)
	for i, fault := range []string{"paused", "turned away", "killed"} {
		at := waitForIndex(t, "follows the workers", gateways, func(p *process) bool { return p.workersFrom() == fromStoreForOthers })
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
