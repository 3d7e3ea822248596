package front

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

const (
	// contact is how long a machine that can reach the platform has to learn of a change.
	contact = 3 * time.Second
	// maxGuiltyArrivals is the number of requests with a crashing part that may reach workers
	// afterwards.
	maxGuiltyArrivals = 3
	crashRestart      = 1500 * time.Millisecond
)

// crashRun sends sound requests and some with a part that crashes engines.
type crashRun struct {
	*site.Site
	t        *testing.T
	gateways []*process
	clients  sync.WaitGroup
	mu       sync.Mutex
	began    time.Time
	// sound are the sound requests: when each was sent, and whether output began.
	sound []soundRequest
}

type soundRequest struct {
	sent  time.Time
	begun bool
	got   response
	id    string
}

func newCrashRun(t *testing.T, c site.Config) *crashRun {
	t.Helper()
	c.PrefillEngines, c.DecodeEngines, c.PlainWorkers, c.Events, c.EventDelay = 3, 7, 1, 4, 15*time.Millisecond
	r := &crashRun{t: t, Site: newSite(t, c)}
	for i := range 3 {
		r.gateways = append(r.gateways, newGateway(t, r.Site, fmt.Sprint("front-", i)))
	}
	for _, p := range r.gateways {
		eventually(t, p.name+" knows the others", func() bool { return len(p.log(`"there":3`)) > 0 })
	}
	r.began = time.Now()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for ticker := time.NewTicker(400 * time.Millisecond); ; {
			select {
			case <-stop:
				ticker.Stop()
				return
			case <-ticker.C:
				r.WriteEngineRows()
			}
		}
	}()
	return r
}

// send sends a request with these parts before its own.
func (r *crashRun) send(p *process, id string, parts ...string) response {
	var prefix strings.Builder
	for _, part := range parts {
		prefix.WriteString(part + ":1800,")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return p.do(ctx, http.MethodPost, site.PathResumable+id, id, map[string]string{
		"Model": "m", "Token-Count": "6000,104", "Prefix-Hash": prefix.String() + id + ":900", "Deadline-Ms": "2000",
	})
}

// load sends sound requests for span, and guilty ones with these parts if there are any.
func (r *crashRun) load(span time.Duration, guilty ...string) {
	const soundInterval, guiltyInterval = 50 * time.Millisecond, 140 * time.Millisecond
	begin := time.Now()
	for n := 0; time.Duration(n)*soundInterval < span; n++ {
		r.clients.Go(func() {
			sleep(time.Until(begin.Add(time.Duration(n) * soundInterval)))
			id := fmt.Sprintf("sound%d-%d", begin.UnixMilli(), n)
			s := soundRequest{sent: time.Now(), id: id}
			s.got = r.send(r.gateways[n%3], id, "aa", fmt.Sprint("b", n%40))
			s.begun = s.got.status == http.StatusOK && strings.Contains(s.got.body, "\n\n")
			r.mu.Lock()
			defer r.mu.Unlock()
			r.sound = append(r.sound, s)
		})
	}
	for n := 0; len(guilty) > 0 && time.Duration(n)*guiltyInterval < span; n++ {
		r.clients.Go(func() {
			sleep(time.Until(begin.Add(time.Duration(n) * guiltyInterval)))
			id := fmt.Sprintf("guilty%d-%d", begin.UnixMilli(), n)
			parts := append([]string{}, guilty...)
			for i, part := range parts {
				if part == "*" {
					parts[i] = fmt.Sprint("b", n%40)
				}
			}
			r.send(r.gateways[n%3], id, parts...)
		})
	}
	r.clients.Wait()
}

// begunShare returns the share of the sound requests sent in [from, to) whose output began.
func (r *crashRun) begunShare(from, to time.Time) (float64, int) {
	begun, all := 0, 0
	for _, s := range r.sound {
		if !s.sent.Before(from) && s.sent.Before(to) {
			all++
			if s.begun {
				begun++
			}
		}
	}
	return float64(begun) / float64(max(all, 1)), all
}

// check compares the arrivals and the sound requests with the users' rules.
func (r *crashRun) check(guilty string, loaded time.Time) {
	r.t.Helper()
	crashes := r.Crashes()
	if len(crashes) == 0 {
		r.t.Fatal("no engine crashed")
	}
	fifth := crashes[min(len(crashes), 5)-1]
	late := 0
	for _, a := range r.Arrivals(guilty) {
		if len(crashes) >= 5 && a.At.After(fifth.Add(contact)) {
			late++
		}
	}
	before, _ := r.begunShare(r.began, loaded)
	during, _ := r.begunShare(loaded, fifth.Add(2*contact))
	after, n := r.begunShare(fifth.Add(2*contact), time.Now())
	r.t.Logf("%d crashes, the first after %v, the last after %v; %d late arrivals; sound requests that begin: %.2f, %.2f, %.2f of %d", len(crashes),
		crashes[0].Sub(loaded), crashes[len(crashes)-1].Sub(loaded), late, before, during, after, n)
	if late > maxGuiltyArrivals {
		r.t.Errorf("%d requests with the part reached workers later than %v after the fifth crash, want at most %d", late, contact, maxGuiltyArrivals)
	}
	if after < before/2 || n < 20 {
		r.t.Errorf("%.2f of %d sound requests begin afterwards, %.2f before", after, n, before)
	}
}

// Separate processes, engines that crash on a part of a prompt. Guards against crash counts that start anew for each
// prompt with that part, and against sound prompts that share its other parts and are refused.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	const before, span = 1500 * time.Millisecond, 8 * time.Second
	tests := []struct {
		name   string
		guilty []string
		// disturb is called once the first engine has crashed.
		disturb func(*crashRun)
	}{
		{name: "after a shared part", guilty: []string{"aa", "dead"}},
		{name: "between shared parts", guilty: []string{"aa", "dead", "*"}},
		{name: "after a part with ever other neighbours", guilty: []string{"aa", "*", "dead"}},
		{name: "first part", guilty: []string{"dead", "*"}},
		{name: "all gateways restarted", guilty: []string{"aa", "dead"}, disturb: func(r *crashRun) {
			sleep(4 * time.Second)
			for _, p := range r.gateways {
				p.kill()
			}
			for _, p := range r.gateways {
				p.start()
			}
		}},
		{name: "store unreachable afterwards", guilty: []string{"aa", "dead"}, disturb: func(r *crashRun) {
			sleep(2 * time.Second)
			r.Store.SetFault(rowstore.FaultSilent)
			sleep(3 * time.Second)
			r.Store.SetFault(rowstore.FaultNone)
		}},
		{name: "store restored afterwards", guilty: []string{"aa", "dead"}, disturb: func(r *crashRun) {
			older := r.Store.Snapshot()
			sleep(2 * time.Second)
			r.Store.Restore(older, 5)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newCrashRun(t, site.Config{})
			r.load(before)
			r.CrashOn(crashRestart, "dead")
			loaded := time.Now()
			if test.disturb != nil {
				r.clients.Go(func() {
					eventually(t, "an engine crashes", func() bool { return len(r.Crashes()) > 0 })
					test.disturb(r)
				})
			}
			r.load(span, test.guilty...)
			r.check("dead", loaded)
		})
	}
}

// The store can't be reached before the first crash and until after the last one. Guards against gateways that tell
// each other of crashes through the store alone, and against a quarantine that does not outlive the outage.
func TestPartThatCrashesEnginesIsRefusedWithoutStore(t *testing.T) {
	r := newCrashRun(t, site.Config{})
	r.load(time.Second)
	r.Store.SetFault(rowstore.FaultSilent)
	sleep(500 * time.Millisecond)
	r.CrashOn(crashRestart, "dead")
	r.load(5*time.Second, "aa", "dead")
	r.Store.SetFault(rowstore.FaultNone)
	begun := time.Now()
	r.load(8*time.Second, "aa", "dead")
	if n := len(r.Crashes()); n > 5 {
		t.Errorf("%d crashes, want at most 5", n)
	}
	r.requireNoArrivals("dead", begun)
	if share, n := r.begunShare(begun.Add(5*time.Second), time.Now()); share < 0.95 {
		t.Errorf("%.2f of %d sound requests begin after the outage", share, n)
	}
}

// requireNoArrivals fails unless no request with the part has reached an engine since a time.
func (r *crashRun) requireNoArrivals(part string, since time.Time) {
	r.t.Helper()
	for _, a := range r.Arrivals(part) {
		if a.At.After(since) {
			r.t.Errorf("a request with parts %v reached an engine %v later", a.Parts, a.At.Sub(since))
		}
	}
}

// operate runs a command of the operator with the settings of a gateway.
func (p *process) operate(args ...string) string {
	p.t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "KUMQUATLUG_SETTINGS="+p.settingsFile)
	out, err := cmd.CombinedOutput()
	if err != nil {
		p.t.Fatalf("%v: %v: %s", args, err, out)
	}
	return string(out)
}

// The engines were mended under the same version. Guards against a quarantine that an operator can't end, and
// against gateways that do not learn of it.
func TestOperatorReleasesQuarantine(t *testing.T) {
	r := newCrashRun(t, site.Config{})
	r.CrashOn(crashRestart, "dead")
	r.load(time.Second, "aa", "dead")
	var key string
	eventually(t, "the quarantine is in the store", func() bool {
		for _, line := range strings.Split(r.gateways[0].operate("quarantine", "list"), "\n") {
			if fields := strings.Fields(line); len(fields) > 2 && fields[2] == "part:dead" {
				key = fields[0]
			}
		}
		return key != ""
	})
	r.CrashOn(crashRestart)
	refused := r.send(r.gateways[1], "refused", "aa", "dead")
	if refused.status != http.StatusServiceUnavailable || refused.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q while it is under quarantine", refused.status, refused.header.Get("Retry-After"))
	}
	r.gateways[0].operate("quarantine", "release", key)
	n := 0
	for _, p := range r.gateways {
		eventually(t, p.name+" serves the part again", func() bool {
			n++
			return r.send(p, fmt.Sprint("again-", n), "aa", "dead").status == http.StatusOK
		})
	}
}

// Engines reset connections, lose and truncate responses, and gateways are killed, while no part crashes any.
// Guards against sound parts that are refused for faults of other causes.
func TestFaultsOfOtherCausesQuarantineNothing(t *testing.T) {
	r := newCrashRun(t, site.Config{MinRetries: 500})
	r.clients.Go(func() {
		for i, fault := range []fleet.Fault{fleet.FaultLost, fleet.FaultTruncate, fleet.FaultUnframedReset, fleet.FaultSilent, fleet.FaultError} {
			for _, e := range r.Engines[i%3:] {
				e.SetFault(fault)
			}
			sleep(1200 * time.Millisecond)
			r.gateways[i%3].kill()
			r.gateways[i%3].start()
			for _, e := range r.Engines {
				e.SetFault(fleet.FaultNone)
			}
			sleep(300 * time.Millisecond)
		}
	})
	r.load(9 * time.Second)
	for _, p := range r.gateways {
		if lines := append(p.log(`"quarantined"`), p.log("worker crashed")...); len(lines) > 0 {
			t.Errorf("%s: %d lines about crashes, the first %s", p.name, len(lines), lines[0])
		}
	}
}
