package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// stopTestGateway serves clients of a gateway with this grace period and stops it. It returns the
// address, a function that sends the stop signal, and a channel that is closed at the exit.
func stopTestGateway(t *testing.T, f *testGateway, grace kumquatlug.Millis) (address string, stop func(), exited <-chan struct{}) {
	t.Helper()
	f.g.c.GracePeriod = grace
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.g.c.ClientListener = l
	ctx, cancel := context.WithCancel(context.Background())
	server, done := &http.Server{Handler: f.g, ConnState: f.g.connections.stateChanged, ConnContext: f.g.connections.connContext}, make(chan struct{})
	go func() {
		defer close(done)
		if err := f.g.serveUntil(ctx, server); err != nil {
			t.Error(err)
		}
		_ = server.Close()
	}()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String(), cancel, done
}

// Requests arrive in parts at a stopping gateway, as over a link that is full. Guards against a
// gateway that takes itself for idle, or exits, and closes their connections without an answer.
func TestStoppingGatewayAnswersWhatArrivesInParts(t *testing.T) {
	const (
		earlyExit = balancerLag - 200
		head      = "POST " + postRoute + " HTTP/1.1\r\nHost: h\r\nTimeout-Ms: 2000\r\nContent-Length: 4\r\n"
	)
	for name, c := range map[string]struct {
		grace kumquatlug.Millis
		kept  bool
		// first is sent at firstAt, rest at restAt; no rest means that the client falls silent.
		firstAt, restAt kumquatlug.Millis
		first, rest     string
	}{
		"head in parts":                      {6000, false, earlyExit, 3400, head, "\r\nbody"},
		"connection without bytes":           {6000, false, earlyExit, 3400, "", head + "\r\nbody"},
		"head in parts on a kept connection": {6000, true, earlyExit, 3400, head, "\r\nbody"},
		"head in parts near the exit":        {4000, false, 2500, 3200, head, "\r\nbody"},
		"body in parts near the exit":        {4000, false, 2500, 0, head + "\r\nbo", ""},
		"head without end":                   {4000, false, 2500, 0, head, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, stop, _ := stopTestGateway(t, newTestGateway(t, respondingWorkers(), manyRetries), c.grace)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			if c.kept {
				_, _ = io.WriteString(conn, head+"\r\nbody")
				if got, err := http.ReadResponse(reader, nil); err != nil || got.StatusCode != http.StatusOK {
					t.Fatal(got, err)
				} else if _, err := io.Copy(io.Discard, got.Body); err != nil {
					t.Fatal(err)
				}
			}
			stop()
			began := time.Now()
			wait := func(at kumquatlug.Millis) { <-time.After(time.Until(began.Add(at.Duration()))) }
			if !c.kept {
				// The load balancer connects just before it takes the gateway out of rotation.
				_ = conn.Close()
				wait(c.firstAt)
				if conn, err = net.Dial("tcp", address); err != nil {
					t.Fatal(err)
				}
				reader = bufio.NewReader(conn)
			}
			wait(c.firstAt)
			_, _ = io.WriteString(conn, c.first)
			if c.rest != "" {
				wait(c.restAt)
				_, _ = io.WriteString(conn, c.rest)
			}
			got, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("no answer, %v after the signal: %v", time.Since(began), err)
			}
			if got.StatusCode != http.StatusOK && got.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%v after the signal: %s", time.Since(began), got.Status)
			}
		})
	}
}

// Guards against a gateway that stays although nobody sends to it: a roll waits for each one.
func TestStoppingGatewayWithoutClientsExitsEarly(t *testing.T) {
	f := newTestGateway(t, respondingWorkers(), manyRetries)
	address, stop, exited := stopTestGateway(t, f, 8000)
	idle, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	if _, err := io.WriteString(idle, "GET "+strings.TrimSuffix(postRoute, "/")+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(idle), nil); err != nil {
		t.Fatal(err)
	}
	stop()
	select {
	case <-exited:
	case <-time.After((balancerLag + 1500).Duration()):
		t.Error("it has not exited")
	}
}
