package front

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Connections reach a stopping gateway at once and the bytes of their requests a second later, in two
// parts, as over a link that is full. Guards against a gateway that takes itself for idle meanwhile,
// or exits with such connections open: their requests end without an answer.
func TestStoppingGatewayBehindSlowLinkAnswersAll(t *testing.T) {
	const (
		linkDelay = 900 * time.Millisecond
		partDelay = 100 * time.Millisecond
		interval  = 25 * time.Millisecond
		first     = 1500 * time.Millisecond
	)
	s := newSite(t, site.Config{PlainWorkers: 3})
	settings, clientAddr, readyAddr, err := s.GatewaySettings("front-1")
	if err != nil {
		t.Fatal(err)
	}
	p := startGateway(t, "front-1", withLongGrace(t, settings), clientAddr, readyAddr)
	p.signal(syscall.SIGTERM)
	stopped := time.Now()
	sleep(first)
	var group sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for i := 0; !p.exited(); i++ {
		group.Go(func() {
			id := fmt.Sprint("late-", i)
			outcome, sent := sendInParts(clientAddr, id, linkDelay, partDelay), time.Since(stopped)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
			if strings.HasPrefix(outcome, "no answer") && outcomes[outcome] == 1 {
				t.Errorf("%s, %v after SIGTERM: %s", id, sent, outcome)
			}
		})
		sleep(interval)
	}
	lived := time.Since(stopped)
	group.Wait()
	t.Logf("%v, %v from SIGTERM to the exit", outcomes, lived)
	if outcomes["200"] == 0 || p.cmd.ProcessState.ExitCode() != 0 {
		t.Errorf("%v, the process ended by %v", outcomes, p.cmd.ProcessState)
	}
}

// withLongGrace returns settings with a grace period of 8 s, in which requests arrive long after SIGTERM.
func withLongGrace(t *testing.T, settings string) string {
	t.Helper()
	longer := strings.Replace(settings, "grace_s = 4", "grace_s = 8", 1)
	if longer == settings {
		t.Fatal("the site has another grace period")
	}
	return longer
}

// plainHead returns the head of a plain request without its end.
func plainHead(path, id string, deadline time.Duration) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 300\r\n", path, id, site.Host, id, deadline.Milliseconds())
}

// sendInParts connects, sends a request in two parts after these delays, and returns the status of
// the response or what happened instead.
func sendInParts(address, id string, delay, partDelay time.Duration) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = c.Close() }()
	sleep(delay)
	head := plainHead(site.PathNonIdempotent, id, 2*time.Second)
	if _, err := io.WriteString(c, head[:len(head)/2]); err != nil {
		return "closed before it was sent"
	}
	sleep(partDelay)
	if _, err := io.WriteString(c, head[len(head)/2:]+"\r\n"+strings.Repeat("b", 300)); err != nil {
		return "closed before it was sent"
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	got := readResponse(c)
	if got.err != nil {
		return "no answer: " + strings.ReplaceAll(got.err.Error(), c.LocalAddr().String(), "client")
	}
	return fmt.Sprint(got.status)
}
