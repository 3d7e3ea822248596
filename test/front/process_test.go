// Package front tests the gateway binary ("kumquatlug front"), run as separate processes,
// against an in-process stand-in of the users' platform over TCP on loopback.
package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// binary is the path of the program under test.
var binary string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "front")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "kumquatlug")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/kumquatlug")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// waitTimeout bounds every wait of these tests. A gateway is ready within a second on an
// idle machine.
const waitTimeout = 20 * time.Second

// process is one gateway process.
type process struct {
	t                     *testing.T
	name, settingsFile    string
	clientAddr, readyAddr string
	flags                 []string
	cmd                   *exec.Cmd
	done                  chan struct{}
	mu                    sync.Mutex
	lines                 []string
	// processors is GOMAXPROCS, 0 for the default.
	processors int
}

// newSite starts the stand-in of a small deployment.
func newSite(t *testing.T, c site.Config) *site.Site {
	t.Helper()
	s, err := site.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// newGateway starts a gateway and waits until it is ready.
func newGateway(t *testing.T, s *site.Site, name string) *process {
	t.Helper()
	settings, clientAddr, readyAddr, err := s.GatewaySettings(name)
	if err != nil {
		t.Fatal(err)
	}
	return startGateway(t, name, settings, clientAddr, readyAddr)
}

// startGateway starts a gateway with these settings and flags, and waits until it is ready.
func startGateway(t *testing.T, name, settings, clientAddr, readyAddr string, flags ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, flags: flags, clientAddr: clientAddr, readyAddr: readyAddr, settingsFile: filepath.Join(t.TempDir(), "settings.toml")}
	if err := os.WriteFile(p.settingsFile, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start()
	t.Cleanup(p.kill)
	p.waitReady()
	return p
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(binary, append([]string{"front"}, p.flags...)...)
	p.cmd.Env = append(os.Environ(), "KUMQUATLUG_SETTINGS="+p.settingsFile)
	if p.processors > 0 {
		p.cmd.Env = append(p.cmd.Env, fmt.Sprint("GOMAXPROCS=", p.processors))
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	// A process that can't start reports the error on standard error.
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go p.readOutput(p.cmd, out, p.done)
}

func (p *process) readOutput(cmd *exec.Cmd, out io.Reader, done chan struct{}) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		p.mu.Unlock()
	}
	_ = cmd.Wait()
	close(done)
}

// log returns the log lines so far that contain all substrings.
func (p *process) log(substrings ...string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []string
	for _, line := range p.lines {
		matches := true
		for _, w := range substrings {
			matches = matches && strings.Contains(line, w)
		}
		if matches {
			found = append(found, line)
		}
	}
	return found
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// readyClient gives up where something else listens at the address and does not respond.
var readyClient = &http.Client{Timeout: time.Second}

func (p *process) isReady() bool {
	response, err := readyClient.Get("http://" + p.readyAddr + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the gateway is ready. One that exits before, as when its port is
// taken, fails the test at once.
func (p *process) waitReady() {
	p.t.Helper()
	p.t.Cleanup(func() {
		if p.t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.t.Logf("%s: last lines %q", p.name, p.lines[max(len(p.lines)-6, 0):])
		}
	})
	eventually(p.t, p.name+" is ready", func() bool {
		select {
		case <-p.done:
			p.t.Fatalf("%s exited before it was ready: %v", p.name, p.cmd.ProcessState)
		default:
		}
		return p.isReady()
	})
}

// eventually polls condition until it is true and fails the test after waitTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within %v: %s", waitTimeout, description)
}

// sleep waits for real time to pass, since the processes run on their own clock.
func sleep(d time.Duration) { <-time.After(d) }

// response is what a client received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends one request over a new connection.
func (p *process) do(ctx context.Context, method, path, id string, header map[string]string) response {
	return p.doWith(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, method, path, id, header)
}

// requestBytes is the usual size of a request body.
const requestBytes = 300

// doWith sends one request over a connection of the client.
func (p *process) doWith(ctx context.Context, client *http.Client, method, path, id string, header map[string]string) response {
	return p.doWithBody(ctx, client, method, path, id, header, requestBytes)
}

// postBody sends one request with a body of this size over a new connection.
func (p *process) postBody(path, id string, size int) response {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return p.doWithBody(context.Background(), client, http.MethodPost, path, id, nil, size)
}

// doWithBody sends one request, which has a body of this size unless it is a GET, over a connection of the client.
func (p *process) doWithBody(ctx context.Context, client *http.Client, method, path, id string, header map[string]string, size int) response {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.clientAddr+path, strings.NewReader(strings.Repeat("b", size)))
	if err != nil {
		return response{err: err}
	}
	if method == http.MethodGet {
		r.Body, r.ContentLength = nil, 0
	}
	r.Host = site.Host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "6000")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	got, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return response{status: got.StatusCode, header: got.Header, body: string(body), err: err}
}

// longPromptHeaders returns the headers of a request with a long prompt.
func longPromptHeaders(id string) map[string]string {
	return map[string]string{
		"Model": "m", "Token-Count": "9190,104", "Prefix-Hash": "aa:2520,bb" + id[len(id)-1:] + ":3780," + id + ":2890",
	}
}

// post sends a request that may run only once.
func (p *process) post(id string) response {
	return p.do(context.Background(), http.MethodPost, site.PathNonIdempotent+"x", id, nil)
}

// lookup sends an idempotent request.
func (p *process) lookup(id string) response {
	return p.do(context.Background(), http.MethodGet, site.PathIdempotent+"x?y=1", id, nil)
}

// longPrompt sends a prompt that is long enough for a separate prefill; its stream may resume
// on another engine.
func (p *process) longPrompt(id string) response {
	return p.do(context.Background(), http.MethodPost, site.PathResumable+"x", id, longPromptHeaders(id))
}

// chat sends a short prompt whose stream may not resume.
func (p *process) chat(id string) response {
	return p.do(context.Background(), http.MethodPost, site.PathNonResumable+"x", id, chatHeaders(id))
}

// chatHeaders returns the headers of a request with a short prompt.
func chatHeaders(id string) map[string]string {
	return map[string]string{"Model": "m", "Token-Count": "220,400", "Prefix-Hash": "cc:80," + id + ":140"}
}

// streamBody returns the body of a complete stream of n events.
func streamBody(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", i, id, i)
	}
	return b.String()
}

// requireComplete fails the test unless the response is complete, has this body and carries
// the worker's stamp.
func requireComplete(t *testing.T, got response, body string) {
	t.Helper()
	if got.err != nil || got.status != http.StatusOK || got.body != body {
		t.Fatalf("status %d, error %v, body of %d bytes %.200q; want %d bytes", got.status, got.err, len(got.body), got.body, len(body))
	}
	if got.header.Get("Server-Stamp") == "" {
		t.Fatal("the response lacks the worker's stamp")
	}
}

// totalRuns returns how often a request ran on all workers together.
func totalRuns(workers []*fleet.Worker, id string) int {
	n := 0
	for _, w := range workers {
		n += w.Runs()[id]
	}
	return n
}

func rowstoreFault(name string) rowstore.Fault { return rowstore.Fault(name) }
