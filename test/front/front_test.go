package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// A quiet site: one request of each kind arrives at each of two fronts. Each is
// answered whole, with the worker's stamp, and runs once; the long prompt is read
// at a reading engine first.
func TestRequestsWithoutFaults(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 2, Decode: 1, Plain: 2, Events: 5, Pause: time.Millisecond})
	for _, name := range []string{"front-1", "front-2"} {
		p := newGateway(t, s, name)
		requireComplete(t, p.post(name+"-post"), fleet.Body(name+"-post"))
		requireComplete(t, p.lookup(name+"-look"), fleet.Body(name+"-look"))
		requireComplete(t, p.longPrompt(name+"-long"), streamBody(name+"-long", 5))
		requireComplete(t, p.chat(name+"-chat"), streamBody(name+"-chat", 5))
		for _, kind := range []string{"-post", "-look"} {
			if n := totalRuns(s.Plain, name+kind); n != 1 {
				t.Errorf("%s ran %d times", name+kind, n)
			}
		}
	}
	if s.Engines[0].Prompts()+s.Engines[1].Prompts() != 2 {
		t.Error("the long prompts were not read apart")
	}
	if got := newGateway(t, s, "front-3").do(context.Background(), http.MethodGet, "/none/", "none", nil); got.status != http.StatusNotFound {
		t.Errorf("a path without a route: status %d", got.status)
	}
}

// A worker is about to be shut down and says so in the store. Requests that go
// there after two seconds are lost with it; a user would see them fail during
// every planned change.
func TestDrainingWorkerGetsNoRequests(t *testing.T) {
	s := newSite(t, site.Config{Plain: 2, Pause: time.Millisecond})
	p := newGateway(t, s, "front-1")
	s.Announce(s.Plain[0], "draining")
	eventually(t, "the front knows", func() bool { return len(p.log(`"draining"`)) > 0 })
	before := len(s.Plain[0].Runs())
	for i := range 20 {
		requireComplete(t, p.post(fmt.Sprintf("post-%d", i)), fleet.Body(fmt.Sprintf("post-%d", i)))
	}
	if after := len(s.Plain[0].Runs()); after != before {
		t.Errorf("the draining worker got %d requests", after-before)
	}
	s.Remove(s.Plain[1])
	eventually(t, "nobody is left", func() bool {
		got := p.post("nobody")
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
	})
}

// The operator moves a route to a path of another host and adds one. A front
// that went on by the old version would run requests that are no longer allowed
// and refuse those that are.
func TestConfigChangeTakesEffect(t *testing.T) {
	s := newSite(t, site.Config{Plain: 1, Pause: time.Millisecond})
	p := newGateway(t, s, "front-1")
	s.SetConfig(func(routes map[string]site.Route) {
		delete(routes, site.PathPost)
		routes["/added/"] = site.Route{"kind": "idempotent", "service": site.Desk, "timeout_ms": 1000, "max_attempts": 2}
	})
	eventually(t, "the new version is in force", func() bool { return len(p.log("config in force")) == 2 })
	if got := p.post("gone"); got.status != http.StatusNotFound {
		t.Errorf("a route that is gone: status %d", got.status)
	}
	id := "added"
	requireComplete(t, p.do(context.Background(), http.MethodGet, "/added/1", id, nil), fleet.Body(id))
}

// The store does what it is asked and its answer is lost, then it refuses, resets
// and falls silent. Requests must not notice, and when it is back the changes made
// meanwhile must come into force.
func TestStoreFaultsDoNotAffectRequests(t *testing.T) {
	s := newSite(t, site.Config{Plain: 1, Pause: time.Millisecond})
	p := newGateway(t, s, "front-1")
	for i, fault := range []string{"lost", "busy", "reset", "silent"} {
		s.Store.SetFault(rowstoreFault(fault))
		id := fmt.Sprintf("post-%d", i)
		requireComplete(t, p.post(id), fleet.Body(id))
		before := len(p.log("config in force"))
		s.SetConfig(nil)
		s.Store.Forget()
		sleep(200 * time.Millisecond)
		s.Store.SetFault(rowstoreFault(""))
		eventually(t, "the config of the outage is in force after "+fault, func() bool {
			return len(p.log("config in force")) > before
		})
	}
}

// A front is told to stop while requests come without a pause. It must finish
// what it has, go on taking requests while the balancer may still send some, and
// refuse at once what it could not finish; a connection that is cut would be an
// error for its user during every update.
func TestGracefulStopUnderLoad(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 1, Decode: 1, Plain: 2, Events: 8, Pause: 20 * time.Millisecond})
	p := newGateway(t, s, "front-1")
	var group sync.WaitGroup
	var mu sync.Mutex
	var interrupted []string
	refused, served := 0, 0
	started := time.Now()
	for worker := range 4 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; time.Since(started) < 2700*time.Millisecond; i++ {
				id := fmt.Sprintf("c%d-%d", worker, i)
				got := p.post(id)
				if worker%2 == 0 {
					got = p.longPrompt(id + "l")
				}
				mu.Lock()
				switch {
				case got.err != nil:
					interrupted = append(interrupted, fmt.Sprintf("%s after %v: %v", id, time.Since(started), got.err))
				case got.status == http.StatusOK:
					served++
				case got.status == http.StatusServiceUnavailable:
					refused++
				}
				mu.Unlock()
			}
		}()
	}
	sleep(200 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	eventually(t, "the front is unready", func() bool { return !p.isReady() })
	group.Wait()
	<-p.done
	if len(interrupted) > 0 {
		t.Errorf("%d requests were cut, first: %s", len(interrupted), interrupted[0])
	}
	if served == 0 {
		t.Error("nothing was served")
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// All fronts are killed at the same moment and started again. Nothing is kept on
// the machines: they must serve again from the store alone within seconds.
func TestAllGatewaysRestartAfterKill(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 1, Decode: 1, Plain: 1, Events: 3, Pause: time.Millisecond})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	for _, p := range gateways {
		p.kill()
	}
	started := time.Now()
	for _, p := range gateways {
		p.start()
	}
	for _, p := range gateways {
		p.waitReady()
		requireComplete(t, p.post(p.name+"-again"), fleet.Body(p.name+"-again"))
	}
	t.Logf("both served again after %v", time.Since(started))
}

// Four engines of six start as generating ones. One front of two holds the lease
// and orders them into the split; both may never give orders in turn.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 2, Decode: 4, Plain: 1, Events: 1})
	newGateway(t, s, "front-1")
	newGateway(t, s, "front-2")
	eventually(t, "the split is there", func() bool {
		prefill := 0
		for _, e := range s.Engines {
			s.Announce(e, "ready")
			if e.Stage() == "prefill" {
				prefill++
			}
		}
		return prefill == 4
	})
	issuers := map[string]bool{}
	for _, e := range s.Engines {
		for _, o := range e.Orders() {
			issuers[o[strings.Index(o, " by "):]] = true
		}
	}
	if len(issuers) != 1 {
		t.Errorf("orders came from %v", issuers)
	}
}

// The settings file changes and the process is told by SIGHUP. Open connections
// must go on: the next request on the same one is answered.
func TestReloadKeepsConnections(t *testing.T) {
	s := newSite(t, site.Config{Plain: 1})
	p := newGateway(t, s, "front-1")
	c, err := net.Dial("tcp", p.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for i := range 2 {
		fmt.Fprintf(c, "GET %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: kept-%d\r\n\r\n", site.PathLook, site.Host, i)
		got, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(got.Body); string(body) != fleet.Body(fmt.Sprintf("kept-%d", i)) {
			t.Fatalf("body %.100q", body)
		}
		p.signal(syscall.SIGHUP)
		eventually(t, "the settings were read again", func() bool { return len(p.log("settings read again")) > i })
	}
}

// A request ends the worker that runs it, each time it comes. After three times
// through one front the other one must refuse it, too; both would else go on
// taking workers down, one after the other. Other requests are served.
func TestCrashingRequestIsRefusedByEveryGateway(t *testing.T) {
	s := newSite(t, site.Config{Plain: 2})
	first, second := newGateway(t, s, "front-1"), newGateway(t, s, "front-2")
	for _, w := range s.Plain {
		w.SetFault(fleet.FaultLost)
	}
	for i := range 3 {
		if got := first.post(fmt.Sprintf("bad-%d", i)); got.status != http.StatusBadGateway {
			t.Fatalf("status %d of a request whose answer was lost", got.status)
		}
	}
	eventually(t, "the other front refuses it", func() bool {
		return second.post("bad-again").status == http.StatusServiceUnavailable
	})
	for _, w := range s.Plain {
		w.SetFault(fleet.FaultNone)
	}
	if got := first.post("bad-last"); got.status != http.StatusServiceUnavailable || totalRuns(s.Plain, "bad-last") != 0 {
		t.Errorf("status %d, ran %d times", got.status, totalRuns(s.Plain, "bad-last"))
	}
	requireComplete(t, second.lookup("good"), fleet.Body("good"))
}

// A deployment starts with a bad file and a bad flag. "check" must tell all of it
// at once and run nothing; a front must not start with half of its settings.
func TestAllSettingsErrorsAreReported(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte("node_name = \"n\"\n[listen]\nfrontend = \"nowhere\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check", "front", "--read-part", "2"}, {"front", "--read-part", "2"}} {
		cmd := exec.Command(binary, args...)
		cmd.Env = append(os.Environ(), "KUMQUATLUG_SETTINGS="+file)
		out, err := cmd.CombinedOutput()
		if err == nil {
			t.Errorf("%v: no error", args)
		}
		for _, setting := range []string{"--read-part", "listen.frontend in the settings file", "limits.memory_mb", "platform.address"} {
			if !strings.Contains(string(out), setting) {
				t.Errorf("%v: %q is not told in %s", args, setting, out)
			}
		}
	}
}

// Reading engines are lost while streams run at all generating ones. One of these
// has to read from now on, and would do so only when its last stream has ended.
// Instead its streams go on at the others, through both fronts, and every user
// has a whole stream that ran once.
func TestStreamsMoveWhenEngineChangesRole(t *testing.T) {
	s := newSite(t, site.Config{Prefill: 4, Decode: 2, Events: 400, Pause: 10 * time.Millisecond})
	gateways := []*process{newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	var group sync.WaitGroup
	var mu sync.Mutex
	responses := map[string]response{}
	const streams = 4
	for i := range streams {
		id := fmt.Sprintf("stream-%d", i)
		group.Add(1)
		go func() {
			defer group.Done()
			got := gateways[i%2].chat(id)
			mu.Lock()
			defer mu.Unlock()
			responses[id] = got
		}()
	}
	eventually(t, "all streams run", func() bool {
		n := 0
		for _, e := range s.Engines {
			n += len(e.Runs())
		}
		return n == streams
	})
	for _, e := range s.Engines[:3] {
		s.Remove(e)
	}
	eventually(t, "an engine has changed its role", func() bool { return s.Engines[4].Stage() != s.Engines[5].Stage() })
	group.Wait()
	moved := 0
	for _, e := range s.Engines {
		moved += e.Moved()
	}
	if moved == 0 {
		t.Error("no stream was moved")
	}
	for id, got := range responses {
		requireComplete(t, got, streamBody(id, 400))
	}
}
