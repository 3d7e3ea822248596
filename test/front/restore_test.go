package front

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// fences returns the numbers under which a front won the lease, in order.
func fences(t *testing.T, p *process) []int64 {
	t.Helper()
	var all []int64
	for _, line := range p.log("lease won") {
		_, rest, _ := strings.Cut(line, `"fence":`)
		n, err := strconv.ParseInt(strings.TrimRight(rest, "}"), 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		all = append(all, n)
	}
	return all
}

// While requests come, the store comes back from a copy that is older than a drain, than a
// config that took a route away and than the rows of the fronts, and gives its versions out
// again. Nothing of that may go back: not the drain, not the route, not the number under
// which orders are given; and no request may notice.
func TestNothingGoesBackWithAStoreThatIsRestored(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 2, Decode: 2, Plain: 3, Events: 2, Pause: 10 * time.Millisecond})
	copied := s.Store.Copy()
	fronts := []*process{newFront(t, s, "front-1"), newFront(t, s, "front-2")}
	eventually(t, "a front gives orders", func() bool { return len(fences(t, fronts[0]))+len(fences(t, fronts[1])) > 0 })
	s.SetConfig(func(routes map[string]site.Route) { delete(routes, site.PathChat) })
	drained := s.Plain[0]
	s.Announce(drained, "draining")
	for _, p := range fronts {
		eventually(t, p.name+" knows", func() bool { return len(p.log("config in force")) > 1 && len(p.log(`"draining"`)) > 0 })
	}
	stop := make(chan struct{})
	looks := steadyLoad(fronts, 10*time.Millisecond, stop, "look", (*process).look)
	longs := steadyLoad(fronts, 20*time.Millisecond, stop, "long", (*process).long)
	pause(500 * time.Millisecond)
	s.Store.Restore(copied, 1000)
	restored := time.Now()
	for _, p := range fronts {
		eventually(t, p.name+" notices", func() bool { return len(p.log("store restored", `"era":1`)) > 0 })
		eventually(t, p.name+" is written again", func() bool { return s.Store.Value("kumquatlug-front", "front/"+p.name) != nil })
	}
	before := max(last(fences(t, fronts[0])), last(fences(t, fronts[1])))
	eventually(t, "a front gives orders again", func() bool {
		return max(last(fences(t, fronts[0])), last(fences(t, fronts[1]))) > before
	})
	if got := fronts[0].chat("gone"); got.status != 404 {
		t.Errorf("a route that was taken away: status %d", got.status)
	}
	close(stop)
	for kind, all := range map[string]*outcomes{"look": looks(), "long": longs()} {
		if all.others > 0 || all.whole < 50 {
			t.Errorf("%s: %d whole, %d not, the last one %+v", kind, all.whole, all.others, all.last)
		}
	}
	if late := drained.Most(restored, time.Minute); late > 0 {
		t.Errorf("the drained worker got %d requests since", late)
	}
}

func last(numbers []int64) int64 {
	if len(numbers) == 0 {
		return 0
	}
	return numbers[len(numbers)-1]
}

// The store comes back from copies some seconds old while usage is counted and reported.
// Each window must be reported once, with all that ran, and under numbers that rise.
func TestUsageOutlastsAStoreThatIsRestored(t *testing.T) {
	s := newSite(t, site.Config{Plain: 2, Pause: time.Millisecond})
	s.SetAccounts(map[string][]string{"north": {northKey}})
	fronts := []*process{newFront(t, s, "front-1"), newFront(t, s, "front-2")}
	eventually(t, "windows are reported", func() bool { return len(s.Cloud.Reports()) > 1 })
	stop := make(chan struct{})
	served := postings(t, fronts, northKey, "n", stop)
	for range 2 {
		copied := s.Store.Copy()
		pause(2500 * time.Millisecond)
		s.Store.Restore(copied, 500)
		reported := len(s.Cloud.Reports())
		eventually(t, "windows are reported again", func() bool { return len(s.Cloud.Reports()) > reported+3 })
	}
	close(stop)
	want := served()
	eventually(t, "all is reported", func() bool { return s.Cloud.Total("north") == want })
	if broken := s.Cloud.Broken(); len(broken) != 0 {
		t.Errorf("%v", broken)
	}
}
