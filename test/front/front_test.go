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

// Sends one request of each kind to each of two gateways without faults. Every response
// must be complete and carry the worker's stamp, plain requests must run once, and the
// long prompt must be prefilled on a prefill engine first.
func TestRequestsWithoutFaults(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 2, DecodeEngines: 1, PlainWorkers: 2, Events: 5, EventDelay: time.Millisecond})
	for _, name := range []string{"front-1", "front-2"} {
		p := newGateway(t, s, name)
		requireComplete(t, p.post(name+"-post"), fleet.ResponseBody(name+"-post"))
		requireComplete(t, p.lookup(name+"-look"), fleet.ResponseBody(name+"-look"))
		requireComplete(t, p.longPrompt(name+"-long"), streamBody(name+"-long", 5))
		requireComplete(t, p.chat(name+"-chat"), streamBody(name+"-chat", 5))
		for _, kind := range []string{"-post", "-look"} {
			if n := totalRuns(s.PlainWorkers, name+kind); n != 1 {
				t.Errorf("%s ran %d times", name+kind, n)
			}
		}
	}
	if s.Engines[0].Prefills()+s.Engines[1].Prefills() != 2 {
		t.Error("the long prompts were not prefilled on separate engines")
	}
	if got := newGateway(t, s, "front-3").do(context.Background(), http.MethodGet, "/none/", "none", nil); got.status != http.StatusNotFound {
		t.Errorf("path without a route: status %d", got.status)
	}
}

// A worker marks itself as draining in the store before it shuts down. Requests sent to
// it after two seconds are lost, so that users would see failures during every planned
// change.
func TestDrainingWorkerGetsNoRequests(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 2, EventDelay: time.Millisecond})
	p := newGateway(t, s, "front-1")
	s.WriteWorkerRow(s.PlainWorkers[0], "draining")
	eventually(t, "the gateway reads the worker's state", func() bool { return len(p.log(`"draining"`)) > 0 })
	before := len(s.PlainWorkers[0].Runs())
	for i := range 20 {
		requireComplete(t, p.post(fmt.Sprintf("post-%d", i)), fleet.ResponseBody(fmt.Sprintf("post-%d", i)))
	}
	if after := len(s.PlainWorkers[0].Runs()); after != before {
		t.Errorf("the draining worker received %d requests", after-before)
	}
	s.DeleteWorkerRow(s.PlainWorkers[1])
	eventually(t, "no worker is left", func() bool {
		got := p.post("nobody")
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
	})
}

// The operator removes a route and adds one. A gateway that kept the old config would
// run requests that are no longer allowed and refuse those that are.
func TestConfigChangeTakesEffect(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1, EventDelay: time.Millisecond})
	p := newGateway(t, s, "front-1")
	s.SetConfig(func(routes map[string]site.Route) {
		delete(routes, site.PathNonIdempotent)
		routes["/added/"] = site.Route{"kind": "idempotent", "service": site.PlainService, "timeout_ms": 1000, "max_attempts": 2}
	})
	eventually(t, "the new version takes effect", func() bool { return len(p.log("config in force")) == 2 })
	if got := p.post("gone"); got.status != http.StatusNotFound {
		t.Errorf("removed route: status %d", got.status)
	}
	id := "added"
	requireComplete(t, p.do(context.Background(), http.MethodGet, "/added/1", id, nil), fleet.ResponseBody(id))
}

// The store commits calls and loses the responses, then refuses calls, resets connections
// and stops responding. Requests must not be affected, and changes made during the fault
// must take effect once it ends.
func TestStoreFaultsDoNotAffectRequests(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1, EventDelay: time.Millisecond})
	p := newGateway(t, s, "front-1")
	for i, fault := range []string{"lost", "busy", "reset", "silent"} {
		s.Store.SetFault(rowstoreFault(fault))
		id := fmt.Sprintf("post-%d", i)
		requireComplete(t, p.post(id), fleet.ResponseBody(id))
		before := len(p.log("config in force"))
		s.SetConfig(nil)
		s.Store.CompactHistory()
		sleep(200 * time.Millisecond)
		s.Store.SetFault(rowstoreFault(""))
		eventually(t, "the config written during the fault takes effect after "+fault, func() bool {
			return len(p.log("config in force")) > before
		})
	}
}

// A gateway gets a stop signal under continuous load. It must finish the requests in
// flight, accept new ones while the load balancer may still send them, and refuse
// immediately those that it can't finish. An aborted connection would be an error for a
// user during every update.
func TestGracefulStopUnderLoad(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 1, DecodeEngines: 1, PlainWorkers: 2, Events: 8, EventDelay: 20 * time.Millisecond})
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
	eventually(t, "the gateway reports that it is not ready", func() bool { return !p.isReady() })
	group.Wait()
	<-p.done
	if len(interrupted) > 0 {
		t.Errorf("%d requests were aborted, first: %s", len(interrupted), interrupted[0])
	}
	if served == 0 {
		t.Error("no request was served")
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// All gateways are killed at once and restarted. They keep no state on their machines and
// must serve again within seconds from the store alone.
func TestAllGatewaysRestartAfterKill(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 1, DecodeEngines: 1, PlainWorkers: 1, Events: 3, EventDelay: time.Millisecond})
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
		requireComplete(t, p.post(p.name+"-again"), fleet.ResponseBody(p.name+"-again"))
	}
	t.Logf("both gateways served again after %v", time.Since(started))
}

// Four of six engines start as decode engines, and the lease holder of two gateways orders
// the engines into four for prefill and two for decode. The gateways must not alternate in
// sending orders.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 2, DecodeEngines: 4, PlainWorkers: 1, Events: 1})
	newGateway(t, s, "front-1")
	newGateway(t, s, "front-2")
	eventually(t, "four engines run prefill", func() bool {
		prefill := 0
		for _, e := range s.Engines {
			s.WriteWorkerRow(e, "ready")
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
		t.Errorf("orders came from %v, want one holder", issuers)
	}
}

// SIGHUP makes the gateway read its settings file again. Open connections must survive:
// the next request on the same connection gets a response.
func TestReloadKeepsConnections(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1})
	p := newGateway(t, s, "front-1")
	c, err := net.Dial("tcp", p.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for i := range 2 {
		fmt.Fprintf(c, "GET %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: kept-%d\r\n\r\n", site.PathIdempotent, site.Host, i)
		got, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(got.Body); string(body) != fleet.ResponseBody(fmt.Sprintf("kept-%d", i)) {
			t.Fatalf("body %.100q", body)
		}
		p.signal(syscall.SIGHUP)
		eventually(t, "the settings were read again", func() bool { return len(p.log("settings read again")) > i })
	}
}

// A request crashes every worker that runs it. After three crashes through one gateway
// the other one must refuse the request, too; otherwise the two keep crashing one worker
// after the other. Other requests are served.
func TestCrashingRequestIsRefusedByEveryGateway(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 4})
	first, second := newGateway(t, s, "front-1"), newGateway(t, s, "front-2")
	for _, p := range []*process{first, second} {
		eventually(t, p.name+" knows the other", func() bool { return len(p.log(`"there":2`)) > 0 })
	}
	s.CrashOn(crashRestart, site.PathNonIdempotent+"x")
	for i := range 3 {
		if got := first.post(fmt.Sprintf("bad-%d", i)); got.status != http.StatusBadGateway {
			t.Fatalf("status %d for a request that crashes its worker", got.status)
		}
		sleep(100 * time.Millisecond)
	}
	eventually(t, "the other gateway refuses the request", func() bool {
		return second.post("bad-again").status == http.StatusServiceUnavailable && len(second.log("refused", "quarantined")) > 0
	})
	s.CrashOn(crashRestart)
	if got := first.post("bad-last"); got.status != http.StatusServiceUnavailable || totalRuns(s.PlainWorkers, "bad-last") != 0 {
		t.Errorf("status %d, ran %d times", got.status, totalRuns(s.PlainWorkers, "bad-last"))
	}
	if n := len(s.Crashes()); n != 3 {
		t.Errorf("%d workers crashed, want 3", n)
	}
	requireComplete(t, second.lookup("good"), fleet.ResponseBody("good"))
}

// A settings file and a flag are invalid. "check" must report all errors at once without
// starting anything, and a gateway must not start with part of its settings.
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
				t.Errorf("%v: %q is missing in %s", args, setting, out)
			}
		}
	}
}

// Prefill engines fail while all decode engines run streams. One decode engine has to
// take over prefill, which it could do only after its last stream ended. Its streams must
// move to the other engines instead, through both gateways, and every user must get a
// complete stream without repetition.
func TestStreamsMoveWhenEngineChangesRole(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 4, DecodeEngines: 2, Events: 400, EventDelay: 10 * time.Millisecond})
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
		// A stream that was resumed or moved early runs on two engines.
		running := map[string]bool{}
		for _, e := range s.Engines {
			for id := range e.Runs() {
				running[id] = true
			}
		}
		return len(running) == streams
	})
	for _, e := range s.Engines[:3] {
		s.DeleteWorkerRow(e)
	}
	eventually(t, "one of the two decode engines changed its role", func() bool { return s.Engines[4].Stage() != s.Engines[5].Stage() })
	group.Wait()
	moved := 0
	for _, e := range s.Engines {
		moved += e.MovedStreams()
	}
	if moved == 0 {
		t.Error("no stream was moved")
	}
	for id, got := range responses {
		requireComplete(t, got, streamBody(id, 400))
	}
}
