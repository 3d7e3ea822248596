package standin2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/rowstore"
)

// deployment is a small deployment on loopback: a store, workers and fronts as separate processes.
type deployment struct {
	ledger *ledger
	store  *rowstore.Store
	// storeAddress is that of the store.
	storeAddress string
	dir          string
	version      int
	fronts       []*front
	// config is the operator's config.
	config []byte
}

const (
	host      = "shop.example"
	zone      = "zone-a"
	readyTime = 15 * time.Second
)

func newDeployment(l *ledger) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{ledger: l, store: rowstore.New(), dir: dir}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = listener.Addr().String()
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// setConfig writes the next version of the operator's config.
func (d *deployment) setConfig(routes []map[string]any, services []map[string]any, maxBody int) {
	d.version += 3
	for i, r := range routes {
		r["name"], r["host"] = fmt.Sprintf("r%d", i), host
	}
	config := map[string]any{
		"version": d.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	// Maps of plain values always encode.
	d.config, _ = json.Marshal(config)
	d.rewriteConfig()
}

// rewriteConfig writes the newest version of the operator's config again.
func (d *deployment) rewriteConfig() {
	d.store.Put("op", "config", d.config)
	d.ledger.note("the operator writes version %d of the config", d.version)
}

// putWorker writes the entry of a worker.
func (d *deployment) putWorker(id, service, address, state, stage string, slots int, born time.Time) {
	entry := map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": born.UnixMilli(),
	}
	if stage != "" {
		entry["stage"] = stage
	}
	text, _ := json.Marshal(entry)
	d.store.Put("servers", id, text)
	d.ledger.note("entry servers/%s: %s", id, text)
}

// front is one front process.
type front struct {
	d                     *deployment
	name                  string
	clientAddr, readyAddr string
	settings, metrics     string
	cmd                   *exec.Cmd
	done                  chan struct{}
}

// freeAddress returns a loopback address with a port below the ephemeral range that is free for TCP and UDP.
func freeAddress() (string, error) {
	for try := range 400 {
		port := 12000 + (os.Getpid()*131+nextPort()*7+try)%20000
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = p.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

var (
	portMu   sync.Mutex
	portStep int
)

func nextPort() int {
	portMu.Lock()
	defer portMu.Unlock()
	portStep++
	return portStep
}

// newFront prepares a front with the settings of the users' platform. graceS is the time from SIGTERM to SIGKILL.
func (d *deployment) newFront(name string, graceS int) (*front, error) {
	f := &front{d: d, name: name, settings: filepath.Join(d.dir, name+".toml")}
	var internal string
	for _, address := range []*string{&f.clientAddr, &f.readyAddr, &f.metrics, &internal} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	_, port, _ := net.SplitHostPort(internal)
	first, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`node_name = %q
role = "front"
machine_class = "edge"
ip = "127.0.0.1"
zone = %q
region = "region-a"
internal_port_range = [%d, %d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
frontend = %q
ready = %q
[limits]
cpu_share = 0.304
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = %d
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 52
recover_s = 12
fencing_required = false
lease_ms = 3000
thaw_ms = 300
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
`, name, zone, first-1, first, f.clientAddr, f.readyAddr, graceS, d.storeAddress)
	if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.fronts = append(d.fronts, f)
	return f, f.start()
}

// start starts the process with the command of the deploy file, on a free port for its metrics.
func (f *front) start() error {
	log, err := os.OpenFile(filepath.Join(f.d.dir, f.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	f.cmd = exec.Command("target/kumquatlug", "front", "--metrics-listen", f.metrics)
	f.cmd.Env = append(os.Environ(), "KUMQUATLUG_SETTINGS="+f.settings)
	f.cmd.Stdout, f.cmd.Stderr = log, log
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.done = make(chan struct{})
	go func() {
		_ = f.cmd.Wait()
		f.d.ledger.note("front %s ended: %v", f.name, f.cmd.ProcessState)
		close(f.done)
	}()
	f.d.ledger.note("front %s started, process %d", f.name, f.cmd.Process.Pid)
	return nil
}

// waitReady waits until the front is ready.
func (f *front) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if response, err := client.Get("http://" + f.readyAddr + "/v1/readyz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("front %s is not ready", f.name)
}

func (f *front) signal(s syscall.Signal) {
	f.d.ledger.note("front %s gets signal %v", f.name, s)
	_ = f.cmd.Process.Signal(s)
}

// close ends all processes.
func (d *deployment) close() {
	for _, f := range d.fronts {
		if f.cmd != nil && f.cmd.Process != nil {
			_ = f.cmd.Process.Kill()
			<-f.done
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
