package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
)

// Parameters of usageAfterRestore.
const (
	// usageWindow is report_window_s of the settings.
	usageWindow = 5 * time.Second
	// copyLead is how long before the end of a window the copy of the store is made.
	copyLead = time.Second
	// drillAway is how long the store is away, drillKill when in that time the process is killed.
	drillAway = 1200 * time.Millisecond
	drillKill = 300 * time.Millisecond
	// frontRestart is the delay after which a killed process is started again.
	frontRestart = 500 * time.Millisecond
	// usageAfter is how long the reports are watched after the drill.
	usageAfter = 25 * time.Second
)

// report is a usage report that the platform accepted.
type report struct {
	at     time.Duration
	holder string
	token  string
	counts map[string]int64
}

// cloud is the service that takes usage reports.
type cloud struct {
	l       *ledger
	mu      sync.Mutex
	reports map[int64][]report
}

// ServeHTTP accepts each report.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int64            `json:"window_id"`
		Counts   map[string]int64 `json:"counts"`
	}
	if r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	got := report{at: time.Since(c.l.started), holder: r.Header.Get("Duty-Holder"), token: r.Header.Get("Fencing-Token"), counts: body.Counts}
	c.reports[body.WindowID] = append(c.reports[body.WindowID], got)
	c.l.note("POST /usage window %d by %s, fencing token %s: %v", body.WindowID, got.holder, got.token, got.counts)
}

// holderOf returns the holder whose report of a window was accepted, empty if there is none.
func (c *cloud) holderOf(window int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if all := c.reports[window]; len(all) > 0 {
		return all[len(all)-1].holder
	}
	return ""
}

// usageAfterRestore plays a drill of the store, which comes back from a copy some seconds old, while the process that
// reports usage is killed.
func usageAfterRestore(d *deployment, trouble bool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c := &cloud{l: d.ledger, reports: map[int64][]report{}}
	server := &http.Server{Handler: c, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	d.cloudAddress = listener.Addr().String()
	var workers []*member
	for i := range 3 {
		m, err := d.newMember(fmt.Sprintf("i-desk%d", i), "desk", "", "v1", 0, 10*time.Millisecond)
		if err != nil {
			return "", err
		}
		workers = append(workers, m)
	}
	config := func() {
		d.setConfig([]map[string]any{
			{"kind": "non_idempotent", "prefix": "/post/", "service": "desk", "timeout_ms": 4000, "target_latency_ms": 300, "max_attempts": 1, "priority": 2},
		}, []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 110}}, 1<<20)
	}
	d.tenants = []map[string]any{{"name": "huka270", "api_keys": []string{"key-a"}}, {"name": "puhu251", "api_keys": []string{"key-b"}}}
	config()
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		f, err := d.newFront(name, 8)
		if err != nil {
			return "", err
		}
		if err := f.waitReady(); err != nil {
			return "", err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Go(func() { postUntil(ctx, d, n) })
	}
	if err := drill(d, c, workers, trouble); err != nil {
		return "", err
	}
	time.Sleep(usageAfter)
	cancel()
	clients.Wait()
	return c.judge(), nil
}

// drill waits for a window of which a report is accepted, and plays the disruption after it.
func drill(d *deployment, c *cloud, workers []*member, trouble bool) error {
	// Two windows are reported first, so that the deployment is in steady state.
	window := time.Now().UnixNano()/int64(usageWindow) + 2
	end := time.Unix(0, (window+1)*int64(usageWindow))
	time.Sleep(time.Until(end.Add(-copyLead)))
	snapshot := d.store.Snapshot()
	d.ledger.note("a copy of the store is made, window %d ends in %v", window, time.Until(end).Round(time.Millisecond))
	copied := time.Now()
	for deadline := end.Add(9 * time.Second); c.holderOf(window) == ""; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("window %d is not reported", window)
		}
	}
	if !trouble {
		return nil
	}
	holder := c.holderOf(window)
	d.store.SetFault(rowstore.FaultBusy)
	d.ledger.note("the store is away")
	time.Sleep(drillKill)
	for _, f := range d.fronts {
		if f.name == holder {
			f.signal(syscall.SIGKILL)
			<-f.done
			time.AfterFunc(frontRestart, func() {
				if err := f.start(); err != nil {
					d.ledger.note("%v", err)
				}
			})
		}
	}
	time.Sleep(drillAway - drillKill)
	d.store.Restore(snapshot, 0)
	d.store.SetFault(rowstore.FaultNone)
	d.ledger.note("the store is back from a copy that is %v old", time.Since(copied).Round(time.Millisecond))
	for _, m := range workers {
		m.register("ready")
	}
	d.rewriteConfig()
	return nil
}

// postUntil sends postings of a tenant over kept connections until ctx ends.
func postUntil(ctx context.Context, d *deployment, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 5 * time.Second}
	key := []string{"key-a", "key-b"}[n%2]
	f := d.fronts[n%len(d.fronts)]
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("u%d-%04d", n, i)
		r, err := http.NewRequest(http.MethodPost, "http://"+f.clientAddr+"/post/x", strings.NewReader(strings.Repeat("b", 600)))
		if err != nil {
			return
		}
		r.Host = host
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Deadline-Ms", "4000")
		r.Header.Set("Key", key)
		status := 0
		response, err := client.Do(r)
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		d.ledger.note("the client of %s gets %d from %s, error %v", id, status, f.name, err)
		time.Sleep(40 * time.Millisecond)
	}
}

// judge checks ONE: no window has two accepted reports with different counts.
func (c *cloud) judge() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var broken []string
	for window, all := range c.reports {
		for _, later := range all[1:] {
			if !maps.Equal(all[0].counts, later.counts) {
				broken = append(broken, fmt.Sprintf("window %d: %v by %s at %.1f s, %v by %s at %.1f s", window,
					all[0].counts, all[0].holder, all[0].at.Seconds(), later.counts, later.holder, later.at.Seconds()))
			}
		}
	}
	c.l.note("%d windows reported", len(c.reports))
	if len(broken) == 0 {
		return ""
	}
	return "ONE: two accepted reports with different counts: " + strings.Join(broken, "; ")
}
