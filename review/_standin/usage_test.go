package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
)

// Figures of the case.
const (
	// windowSpan is report_window_s, usageLate is usage_late_s.
	windowSpan = 5 * time.Second
	usageLate  = 10 * time.Second
	// copyBefore is how long before the end of a window the copy of the store is made.
	copyBefore = 600 * time.Millisecond
	// darkTime is how long the machine of the holder is without power, drillAfter the time from then until the
	// store is away, and awayTime how long it is away.
	darkTime   = 3500 * time.Millisecond
	drillAfter = 1 * time.Second
	awayTime   = 1 * time.Second
	// usersPerFront send a post each tenth of a second.
	usersPerFront = 3
	tenantName    = "huka270"
	tenantKey     = "k-5d2e9c07"
)

// report is an accepted usage report.
type report struct {
	window int64
	counts map[string]int64
	holder string
	fence  string
}

// cloud accepts usage reports. It does not check fencing tokens.
type cloud struct {
	c       *caseRun
	mu      sync.Mutex
	reports []report
}

func (k *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int64            `json:"window_id"`
		Counts   map[string]int64 `json:"counts"`
	}
	if r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reports = append(k.reports, report{window: body.WindowID, counts: body.Counts, holder: r.Header.Get("Duty-Holder"), fence: r.Header.Get("Fencing-Token")})
	k.c.note("platform: accepts the usage of window %d from %s, fence %s: %v", body.WindowID, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), body.Counts)
}

// of returns the reports of a window in order.
func (k *cloud) of(window int64) []report {
	k.mu.Lock()
	defer k.mu.Unlock()
	var found []report
	for _, r := range k.reports {
		if r.window == window {
			found = append(found, r)
		}
	}
	return found
}

// await waits for the report of a window.
func (k *cloud) await(window int64, timeout time.Duration) (report, error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if found := k.of(window); len(found) > 0 {
			return found[0], nil
		}
	}
	return report{}, fmt.Errorf("window %d was not reported within %v", window, timeout)
}

// runUsage plays: the machine of the front that reports usage loses power, and before another one reports, the
// store comes back from an older copy. The platform may not accept two reports of a window with different counts.
func runUsage(c *caseRun) (bool, error) {
	mode := os.Getenv("TROUBLE")
	kills, drills := c.trouble && mode != "drill", c.trouble && mode != "kill"
	k := &cloud{c: c}
	if err := c.startCloud(k); err != nil {
		return false, err
	}
	if err := c.startSite(3); err != nil {
		return false, err
	}
	fronts := map[string]*frontProcess{}
	for _, name := range []string{"edge-andina-a-1", "edge-andina-b-1", "edge-andina-c-1"} {
		p, err := c.startFront(name)
		if err != nil {
			return false, err
		}
		fronts[name] = p
	}
	c.log("trouble: %v, kills: %v, drills: %v", c.trouble, kills, drills)
	stop := make(chan struct{})
	var users sync.WaitGroup
	for _, p := range fronts {
		for n := range usersPerFront {
			users.Add(1)
			go func() {
				defer users.Done()
				c.postUntil(p, n, stop)
			}()
		}
	}
	defer users.Wait()
	defer close(stop)
	first := windowAt(time.Now()) + 1
	if _, err := k.await(first, 3*windowSpan); err != nil {
		return false, err
	}
	window := windowAt(time.Now()) + 1
	time.Sleep(time.Until(windowEnd(window).Add(-copyBefore)))
	c.note("platform: makes a copy of the store")
	snapshot := c.store.Snapshot()
	before, err := k.await(window, usageLate)
	if err != nil {
		return false, err
	}
	c.log("window %d was reported by %s %v after its end: %v", window, before.holder, time.Since(windowEnd(window)).Round(time.Millisecond), before.counts)
	holder := fronts[before.holder]
	if holder == nil {
		return false, fmt.Errorf("no front is called %q", before.holder)
	}
	restarted := make(chan error, 1)
	if kills {
		c.log("disruption: the machine of %s loses power for %v", holder.name, darkTime)
		holder.kill()
		time.AfterFunc(darkTime, func() { restarted <- holder.start() })
	}
	if drills {
		time.Sleep(drillAfter)
		c.log("disruption: the store is away")
		c.store.SetFault(rowstore.FaultSilent)
		time.Sleep(awayTime)
		c.store.Restore(snapshot, 0)
		c.store.SetFault(rowstore.FaultNone)
		c.writeAgain()
		c.log("disruption: the store is back from a copy of %v ago", time.Since(windowEnd(window).Add(-copyBefore)).Round(time.Millisecond))
	}
	if kills {
		if err := <-restarted; err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(windowEnd(window).Add(usageLate + 2*windowSpan)))
	return c.judgeReports(k), nil
}

// judgeReports checks the rule ONE for all windows.
func (c *caseRun) judgeReports(k *cloud) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	accepted, broken := map[int64]report{}, 0
	for _, r := range k.reports {
		earlier, known := accepted[r.window]
		if known && !maps.Equal(earlier.counts, r.counts) {
			broken++
			c.log("ONE: window %d was reported as %v by %s, fence %s, and as %v by %s, fence %s",
				r.window, earlier.counts, earlier.holder, earlier.fence, r.counts, r.holder, r.fence)
		}
		accepted[r.window] = r
	}
	c.log("%d reports of %d windows, %d that differ from an earlier one", len(k.reports), len(accepted), broken)
	return broken > 0
}

// windowAt returns the number of the window of a time, windowEnd when it ends.
func windowAt(t time.Time) int64 { return t.UnixMilli() / windowSpan.Milliseconds() }

func windowEnd(window int64) time.Time {
	return time.UnixMilli((window + 1) * windowSpan.Milliseconds())
}

// startCloud starts the service that accepts reports.
func (c *caseRun) startCloud(k *cloud) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: k, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }()
	c.cloudAddress = l.Addr().String()
	return nil
}

// writeAgain writes the rows of the operator and of the workers again.
func (c *caseRun) writeAgain() {
	c.store.Put("op", "config", c.operatorConfig())
	for _, d := range c.desks {
		c.store.Put("servers", d.id, d.row())
	}
}

// postUntil sends posts with the tenant's key until stop is closed. Connections to a front that is gone are made anew.
func (c *caseRun) postUntil(p *frontProcess, n int, stop chan struct{}) {
	k := &client{address: p.clients, header: "Key: " + tenantKey + "\r\n"}
	defer k.drop()
	for i := 0; ; i++ {
		id := fmt.Sprintf("post-%s-%d-%d", p.name, n, i)
		c.note("client: %s: %s", id, k.do(http.MethodPost, postPrefix, id, "body"))
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
