package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// lateRequest is a plain request to a gateway that is shutting down.
type lateRequest struct {
	id, path string
	deadline time.Duration
	// kept says that it is sent on a connection that was used before SIGTERM.
	kept bool
}

// lateResult is what became of a late request.
type lateResult struct {
	lateRequest
	response
	// sentAfter is the time from SIGTERM, took that until the response or the end of the connection.
	sentAfter, took time.Duration
	// sent is false if the connection was closed before.
	sent bool
}

// send sends the request on this connection.
func (r lateRequest) send(c net.Conn, stopped time.Time) lateResult {
	began := time.Now()
	result := lateResult{lateRequest: r, sentAfter: began.Sub(stopped)}
	if _, err := io.WriteString(c, plainHead(r.path, r.id, r.deadline)+"\r\n"+strings.Repeat("b", 300)); err != nil {
		return result
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	result.response, result.sent = readResponse(c), true
	result.took = time.Since(began)
	return result
}

// check reports what the gateway must not do. runs is how often the request ran.
func (r lateResult) check(t *testing.T, runs int) (outcome string) {
	t.Helper()
	wrong := func(what string) {
		t.Errorf("%s, deadline %v, kept %t, sent %v after SIGTERM, %d runs: %s after %v, status %d, %v", r.id, r.deadline, r.kept, r.sentAfter, runs, what, r.took, r.status, r.err)
	}
	switch {
	case !r.sent:
		return "not sent"
	case runs == 0 && (r.kept && r.err != nil || errors.Is(r.err, syscall.ECONNRESET)):
		// It crossed the close of an idle connection, or was reset with its bytes unread.
		return "unread"
	case r.err != nil:
		wrong("no answer")
	case r.status == http.StatusOK && r.body != fleet.ResponseBody(r.id):
		wrong("another body")
	case r.status == http.StatusServiceUnavailable && runs > 0:
		wrong("refused although it ran")
	case r.status == http.StatusServiceUnavailable && r.took > time.Second:
		wrong("refused late")
	case r.status != http.StatusOK && r.status != http.StatusServiceUnavailable && r.took < r.deadline:
		wrong("given up before its deadline")
	}
	return fmt.Sprint(r.status)
}

// Plain requests whose runs take a known time arrive until the exit of a gateway that gets SIGTERM in calm. Guards against
// requests that are taken and passed on late in the grace period, and cut at its end.
func TestLatePlainRequestsAreAnsweredBeforeTheExit(t *testing.T) {
	for _, run := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
		for _, fresh := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, without samples %t", run, fresh), func(t *testing.T) {
				t.Parallel()
				sendUntilExit(t, run, fresh)
			})
		}
	}
}

// sendUntilExit stops a gateway and sends requests to it whose runs take this time, if fresh without any before.
func sendUntilExit(t *testing.T, run time.Duration, fresh bool) {
	const (
		interval = 60 * time.Millisecond
		kept     = 120
		atOnce   = 40
		// late is the time after SIGTERM from which no request may be cut.
		late = 3 * time.Second
	)
	s := newSite(t, site.Config{PlainWorkers: 6, EventDelay: run, MinRetries: 1000})
	s.SetConfig(func(routes map[string]site.Route) {
		routes[site.PathNonIdempotent]["timeout_ms"], routes[site.PathIdempotent]["timeout_ms"] = 5000, 5000
	})
	settings, clientAddr, readyAddr, err := s.GatewaySettings("front-1")
	if err != nil {
		t.Fatal(err)
	}
	p := startGateway(t, "front-1", withLongGrace(t, settings), clientAddr, readyAddr)
	var connections []net.Conn
	for i := 0; i < kept && !fresh; i++ {
		if i%atOnce == 0 {
			sleep(run)
		}
		connections = append(connections, dialClient(t, clientAddr))
		go lateRequest{id: fmt.Sprint("warm-", i), path: site.PathNonIdempotent, deadline: 5 * time.Second}.send(connections[i], time.Now())
	}
	sleep(run + time.Second)
	p.signal(syscall.SIGTERM)
	stopped := time.Now()
	var mu sync.Mutex
	var results []lateResult
	var group sync.WaitGroup
	for i := 0; !p.exited(); i++ {
		r := lateRequest{
			id: fmt.Sprint("late-", i), path: []string{site.PathNonIdempotent, site.PathIdempotent}[i%2], kept: !fresh && i%4 >= 2,
			deadline: []time.Duration{run + 300*time.Millisecond, 4 * time.Second, 6 * time.Second}[i%3],
		}
		var c net.Conn
		if r.kept {
			c, connections = connections[0], connections[1:]
		} else if c, err = net.Dial("tcp", clientAddr); err != nil {
			// The listener is closed.
			sleep(interval)
			continue
		}
		group.Go(func() {
			defer func() { _ = c.Close() }()
			got := r.send(c, stopped)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, got)
		})
		sleep(interval)
	}
	lived := time.Since(stopped)
	group.Wait()
	outcomes, lateRuns := map[string]int{}, 0
	for _, r := range results {
		runs := totalRuns(s.PlainWorkers, r.id)
		outcomes[r.check(t, runs)]++
		if runs > 0 && r.sentAfter > late {
			lateRuns++
		}
	}
	t.Logf("%v, %v from SIGTERM to the exit, %d ran that were sent after %v", outcomes, lived, lateRuns, late)
	if outcomes["200"] == 0 || lateRuns == 0 {
		t.Error("no request was served late")
	}
}

// dialClient connects a client to a gateway.
func dialClient(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}
