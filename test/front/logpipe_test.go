package front

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// logFlush is longer than the log takes to write a line.
const logFlush = 50 * time.Millisecond

// The reader of the log closes its end while the gateway serves. Guards against a line of the log
// that ends the process by SIGPIPE, with all requests in flight.
func TestGatewayOutlivesItsLogReader(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1})
	p := newGateway(t, s, "front-1")
	p.kill()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(binary, "front", "--log-level", "debug")
	p.cmd.Env = append(os.Environ(), "KUMQUATLUG_SETTINGS="+p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	p.waitReady()
	_ = reader.Close()
	for _, id := range []string{"first", "second", "third"} {
		requireComplete(t, p.post(id), fleet.ResponseBody(id))
		sleep(logFlush)
	}
	if p.exited() {
		t.Errorf("the process ended by %v", p.cmd.ProcessState)
	}
}
