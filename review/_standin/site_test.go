package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
)

// Names in the operator's config.
const (
	host        = "ficu95.example"
	deskService = "wuno96b"
	postPrefix  = "/pule252/"
	lookPrefix  = "/puxa403/"
)

// Figures of the small deployment. The route of posts has a shorter timeout than clients wait.
const (
	memoryMB       = 284
	deadlineMs     = 4000
	postTimeoutMs  = 2000
	chatDeadlineMs = 15000
)

// front is the program under test, run from the root of the repository.
const front = "target/kumquatlug"

// caseRun is one play of a case.
type caseRun struct {
	// trouble says whether the disruption takes place.
	trouble bool
	began   time.Time
	dir     string

	mu     sync.Mutex
	record *os.File

	store *rowstore.Store
	// cloudAddress is the address for usage reports, empty for none.
	cloudAddress string
	storeAddress string
	servers      []*http.Server
	desks        []*desk
	engines      []*engine
	fronts       []*frontProcess
}

func newCaseRun(recordPath string) (*caseRun, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &caseRun{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), dir: dir, record: record}, nil
}

// log writes a line to the record and to standard output.
func (c *caseRun) log(format string, values ...any) {
	line := c.note(format, values...)
	fmt.Println(line)
}

// note writes a line to the record only.
func (c *caseRun) note(format string, values ...any) string {
	line := fmt.Sprintf("%9.3f ", time.Since(c.began).Seconds()) + fmt.Sprintf(format, values...)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintln(c.record, line)
	return line
}

// close ends all processes and servers of the case.
func (c *caseRun) close() {
	for _, p := range c.fronts {
		p.kill()
	}
	for _, d := range c.desks {
		d.close()
	}
	for _, e := range c.engines {
		e.close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	_ = c.record.Close()
	_ = os.RemoveAll(c.dir)
}

// startSite starts the store, the workers of the plain service and writes the config.
func (c *caseRun) startSite(workers int) error {
	c.store = rowstore.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: c.store, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	c.storeAddress = listener.Addr().String()
	for i := range workers {
		d, err := newDesk(c, fmt.Sprintf("i-%08x", 0x7f3a91c2+i))
		if err != nil {
			return err
		}
		c.desks = append(c.desks, d)
		c.store.Put("servers", d.id, d.row())
	}
	c.store.Put("op", "config", c.operatorConfig())
	return nil
}

// operatorConfig returns the operator's config, as the wire page shows it. Where usage is reported it has a tenant.
func (c *caseRun) operatorConfig() []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": postTimeoutMs, "target_latency_ms": 300,
			"priority": 2, "service": deskService, "max_attempts": attempts, "sticky": false, "resumable": false,
		}
	}
	chat := map[string]any{
		"name": "r-chat", "host": host, "prefix": chatPrefix, "kind": "streaming", "timeout_ms": chatDeadlineMs, "target_latency_ms": 150,
		"priority": 1, "service": engineService, "max_attempts": 1, "sticky": true, "resumable": false, "gap_target_ms": 200,
	}
	engines := map[string]any{
		"name": engineService, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": engineSlots, "kv_capacity_tokens": 370000, "kv_bytes": 163840, "link_mbps": 12000000.0, "moves": true, "backups": true,
			"stride": 52, "most": 12, "kv_retention_s": 5.0, "stage_switch_s": 3.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
			"models": []any{map[string]any{"name": "m"}},
		},
	}
	config := map[string]any{
		"version": 7,
		"routes":  []any{route("r-post", postPrefix, "non_idempotent", 1), route("r-look", lookPrefix, "idempotent", 2), chat},
		"services": []any{engines, map[string]any{
			"name": deskService, "health_path": "/healthz", "max_connections": deskConnections, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if c.cloudAddress != "" {
		config["tenants"] = []any{map[string]any{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1}}
	}
	// Strings and numbers always encode.
	text, _ := json.Marshal(config)
	return text
}

// maxBodyBytes is the operator's limit of a body, as the wire page shows it.
const maxBodyBytes = 4194304

// frontProcess is a front under test.
type frontProcess struct {
	c              *caseRun
	name, settings string
	clients, ready string
	metrics        string
	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
}

// settingsText follows the example of the wire page, on loopback addresses.
const settingsText = `node_name = %q
role = "front"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "andina-a"
region = "co-andina"
internal_port_range = [%d,%d]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
andina-a = "co-andina"
[listen]
frontend = %q
ready = %q
[limits]
cpu_share = 0.304
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 56
recover_s = 12
transit_ms = 120
reuse_window_s = 3
fencing_required = false
lease_ms = 3000
thaw_ms = 300
report_window_s = %d
usage_late_s = %d
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
appends_per_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
`

// cloudSettingsText names the service for usage reports.
const cloudSettingsText = `[cloud]
address = %q
duties = ["usage_report"]
`

// maxStarts is how often a front is started whose ports another process has taken meanwhile.
const maxStarts = 5

// startFront starts a front and waits until it is ready.
func (c *caseRun) startFront(name string) (*frontProcess, error) {
	for n := 1; ; n++ {
		p, err := c.prepareFront(name)
		if err != nil {
			return nil, err
		}
		if err := p.start(); err != nil {
			return nil, err
		}
		c.fronts = append(c.fronts, p)
		if err = p.awaitReady(); err == nil {
			return p, nil
		}
		text, _ := os.ReadFile(p.logFile())
		c.log("%s did not start: %s", name, text[max(len(text)-600, 0):])
		if n == maxStarts || !strings.Contains(string(text), "address already in use") {
			return nil, err
		}
		_ = os.Remove(p.logFile())
	}
}

// prepareFront writes the settings of a front with free ports.
func (c *caseRun) prepareFront(name string) (*frontProcess, error) {
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	p := &frontProcess{c: c, name: name, clients: address(ports[0]), ready: address(ports[1]), metrics: address(ports[2]), settings: filepath.Join(c.dir, name+".toml")}
	text := fmt.Sprintf(settingsText, name, ports[3], ports[4], p.clients, p.ready, memoryMB, int(windowSpan.Seconds()), int(usageLate.Seconds()), c.storeAddress)
	if c.cloudAddress != "" {
		text += fmt.Sprintf(cloudSettingsText, c.cloudAddress)
	}
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// Ports are drawn from below those that the system gives to outgoing connections, which could take the port of
// a front that is restarted.
const firstPort, lastPort = 12000, 30000

// freePorts returns successive ports of the loopback address that are free now for TCP and UDP.
func freePorts(count int) ([]int, error) {
	for range 1000 {
		var ports []int
		first := firstPort + rand.IntN(lastPort-firstPort-count)
		for port := first; port < first+count && portIsFree(port); port++ {
			ports = append(ports, port)
		}
		if len(ports) == count {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d successive ports are free", count)
}

func portIsFree(port int) bool {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer func() { _ = u.Close() }()
	return true
}

// logFile is where the process writes its log.
func (p *frontProcess) logFile() string { return filepath.Join(p.c.dir, p.name+".log") }

// start starts the process with the command of the deploy file.
func (p *frontProcess) start() error {
	out, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(front, "front", "--metrics-listen", p.metrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATLUG_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	p.c.log("%s started", p.name)
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		p.c.log("%s ended: %v", p.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

func (p *frontProcess) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// kill kills the process and waits until it has ended.
func (p *frontProcess) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	_ = cmd.Process.Kill()
	<-done
}

// signal sends a signal to the process.
func (p *frontProcess) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// rewriteSettings changes the settings file as the platform does when another seed is named.
func (p *frontProcess) rewriteSettings() error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, []byte(strings.Replace(string(text), "seeds = []", "seeds = [\"127.0.0.1:1\"]", 1)), 0o600)
}

func (p *frontProcess) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-done:
			return fmt.Errorf("%s ended before it was ready", p.name)
		default:
		}
		response, err := client.Get("http://" + p.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.c.log("%s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 15 s", p.name)
}
