package path

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/exchange"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/membership"
	"github.com/kumquatlug/kumquatlug/platform"
)

// Constants of the test fleet.
const (
	// waitTimeout bounds every wait for a condition. A wait that reaches it fails the test.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond

	operatorKey = "ana-0123456789abcdef"
	callerKey   = "klug-path-test-key"
	otherKey    = "klug-other-test-key"
	model       = "standin"
)

// binaries holds the directory of the two programs, which are built once for all tests.
var binaries = struct {
	sync.Once
	dir string
	err error
}{}

func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
	os.Exit(code)
}

// build builds the programs on first use and returns their directory.
func build(t *testing.T) string {
	t.Helper()
	binaries.Do(func() {
		binaries.dir, binaries.err = os.MkdirTemp("", "kumquatlug-path")
		if binaries.err != nil {
			return
		}
		build := exec.Command("go", "build", "-o", binaries.dir+string(filepath.Separator), "./cmd/...")
		build.Dir = "../.."
		if output, err := build.CombinedOutput(); err != nil {
			binaries.err = fmt.Errorf("build: %w: %s", err, output)
		}
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return binaries.dir
}

// process is one running program of the project.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	done    chan error

	mu    sync.Mutex
	lines []string
}

// startProcess starts a program, which is killed at the end of the test. A failed test logs
// its output.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, command: exec.Command(filepath.Join(build(t), program), args...), done: make(chan error, 1)}
	p.command.Env = append(os.Environ(), "KUMQUATLUG_LOG_LEVEL=info")
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = writer, writer
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	go p.readOutput(reader)
	go func() { p.done <- p.command.Wait() }()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, strings.Join(p.output(), "\n"))
		}
	})
	return p
}

func (p *process) readOutput(out *os.File) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		p.mu.Unlock()
	}
	_ = out.Close()
}

func (p *process) output() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
}

// waitExit waits until the process exits and returns the error of [exec.Cmd.Wait].
func (p *process) waitExit() error {
	p.t.Helper()
	select {
	case err := <-p.done:
		return err
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit", p.name)
		return nil
	}
}

// waitListening waits for the line in which a stand-in prints its address, and returns the
// address.
func (p *process) waitListening() string {
	var address string
	waitUntil(p.t, p.name+" listens", func() bool {
		for _, line := range p.output() {
			if rest, ok := strings.CutPrefix(line, "listening "); ok {
				address = rest
			}
		}
		return address != ""
	})
	return address
}

// waitServing waits for the log line in which a gateway or agent logs its addresses, and
// returns the fields of the line.
func (p *process) waitServing() map[string]string {
	found := map[string]string{}
	waitUntil(p.t, p.name+" serves", func() bool {
		for _, line := range p.output() {
			var fields map[string]any
			if json.Unmarshal([]byte(line), &fields) != nil || !strings.HasSuffix(fmt.Sprint(fields["msg"]), " serves") {
				continue
			}
			for key, value := range fields {
				found[key] = fmt.Sprint(value)
			}
		}
		return len(found) > 0
	})
	return found
}

// waitUntil polls condition until it is true and fails the test after waitTimeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("condition not met in time: %s", description)
		}
	}
}

// fleetSlots limits the number of concurrent fleets: each one runs nine processes.
var fleetSlots = make(chan struct{}, 4)

// fleet is a deployment of separate processes, from the gateways to the targets.
type fleet struct {
	t            *testing.T
	certDir      string
	platform     string
	processes    map[string]*process
	callerURLs   map[string]string
	operatorURLs map[string]string
	targetAddrs  map[string]string
	agentAddrs   map[string]string
}

// newFleet starts a stand-in of the platform, two engines and a service with an agent each,
// and two gateways. It configures labels, selectors and two callers.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{
		t: t, certDir: t.TempDir(), processes: map[string]*process{}, callerURLs: map[string]string{},
		operatorURLs: map[string]string{}, targetAddrs: map[string]string{}, agentAddrs: map[string]string{},
	}
	f.mustRun("certs", "--out", f.certDir)
	f.processes["platform"] = startProcess(t, "platform", "kumquatlug-standin", "platform")
	f.platform = f.processes["platform"].waitListening()
	for _, name := range []string{"engine-1", "engine-2"} {
		f.startTarget(name, "engine", "--decode-time", "5", "--crash-mark", "CRASH", "--restart-time", "1500")
		f.startAgent(name, "engine")
	}
	f.startTarget("service-1", "service")
	f.startAgent("service-1", "service")
	f.startGateway("entry-1")
	f.startGateway("entry-2")
	f.configure()
	return f
}

func (f *fleet) startTarget(name, kind string, args ...string) {
	f.t.Helper()
	p := startProcess(f.t, name, "kumquatlug-standin", append([]string{kind}, args...)...)
	f.processes[name] = p
	f.targetAddrs[name] = p.waitListening()
}

// tls returns the TLS flags of a node with a role.
func (f *fleet) tls(role string) []string {
	file := func(name string) string { return filepath.Join(f.certDir, name) }
	return []string{"--tls-cert", file(role + ".pem"), "--tls-key", file(role + ".key"), "--tls-ca", file("ca.pem")}
}

func (f *fleet) startAgent(name, protocol string) {
	f.t.Helper()
	args := append([]string{
		"agent", "--name", name, "--zone", "a", "--platform", f.platform, "--listen", "127.0.0.1:0",
		"--target-url", "http://" + f.targetAddrs[name], "--protocol", protocol,
	}, f.tls("agent")...)
	p := startProcess(f.t, "agent of "+name, "kumquatlug", args...)
	f.processes["agent of "+name] = p
	f.agentAddrs[name] = p.waitServing()["address"]
}

func (f *fleet) startGateway(name string) {
	f.t.Helper()
	args := append([]string{
		"entry", "--name", name, "--zone", "a", "--platform", f.platform, "--listen", "127.0.0.1:0",
		"--peer-listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0", "--operator-keys", "ana=" + operatorKey,
		"--list-every-ms", "200", "--balancer-lag-ms", "300",
	}, f.tls("entry")...)
	p := startProcess(f.t, name, "kumquatlug", args...)
	f.processes[name] = p
	addresses := p.waitServing()
	f.callerURLs[name], f.operatorURLs[name] = "http://"+addresses["callers"], "http://"+addresses["operators"]
}

// updateVM replaces the entry of a VM in the platform's list, as the VM's process would.
func (f *fleet) updateVM(name string, role kumquatlug.VMRole, address string) {
	f.t.Helper()
	store := platform.NewStore(platform.StoreConfig{
		Address: f.platform, Pool: exchange.New(exchange.Config{Clock: clock.NewMonotonic(), MaxIdlePerAddress: 1}),
	})
	err := membership.NewRoster(store).Register(f.t.Context(), kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: name, Role: role, Address: address, Zone: "a", State: kumquatlug.VMLive,
	}))
	if err != nil {
		f.t.Fatal(err)
	}
}

// setPlatformFaults sets the faults of the stand-in of the platform; body is JSON.
func (f *fleet) setPlatformFaults(body string) {
	f.t.Helper()
	f.sendToPlatform(http.MethodPost, rowstore.PathFaults, body)
}

func (f *fleet) sendToPlatform(method, path, body string) {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+f.platform+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= 300 {
		f.t.Fatalf("%s %s: status %d", method, path, response.StatusCode)
	}
}

// configure adds callers, selectors and labels by operator commands and waits until every
// target accepts work.
func (f *fleet) configure() {
	f.t.Helper()
	f.runOperator("caller", "add", "portal", "--key", callerKey)
	f.runOperator("caller", "add", "other", "--key", otherKey)
	f.runOperator("selector", "set", "engines", "--kind", model, "--match", "pool=engines")
	f.runOperator("selector", "set", "services", "--protocol", "service", "--kind", "gazette", "--match", "pool=services")
	f.runOperator("label", "engine-1", "pool=engines")
	f.runOperator("label", "engine-2", "pool=engines")
	f.runOperator("wait", f.revisionOf(f.runOperator("label", "service-1", "pool=services")))
	waitUntil(f.t, "every target accepts its work", func() bool {
		return strings.Count(f.runOperator("explain", model), "yes") == 2 &&
			strings.Count(f.runOperator("explain", "gazette", "--protocol", "service"), "yes") == 1
	})
}

// revisionOf returns the config revision in the output of a change command.
func (f *fleet) revisionOf(text string) string {
	f.t.Helper()
	_, rest, ok := strings.Cut(text, "revision ")
	if !ok {
		f.t.Fatalf("no revision in %q", text)
	}
	return strings.Fields(rest)[0]
}

// runOperator runs an operator command against entry-1 and returns its output.
func (f *fleet) runOperator(args ...string) string {
	f.t.Helper()
	return f.mustRun(append(args, "--server", f.operatorURLs["entry-1"], "--operator-key", operatorKey)...)
}

// mustRun runs the kumquatlug program, which must succeed, and returns its output.
func (f *fleet) mustRun(args ...string) string {
	f.t.Helper()
	output, err := f.run(args...)
	if err != nil {
		f.t.Fatalf("kumquatlug %s: %v: %s", strings.Join(args, " "), err, output)
	}
	return output
}

// run runs the kumquatlug program and returns its output.
func (f *fleet) run(args ...string) (string, error) {
	f.t.Helper()
	command := exec.Command(filepath.Join(build(f.t), "kumquatlug"), args...)
	output, err := command.CombinedOutput()
	return string(output), err
}
