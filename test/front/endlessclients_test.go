package front

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

const (
	// endlessRequestBytes is what a client sends if its connection isn't closed.
	endlessRequestBytes = 64 << 20
	// maxRequestRead is a body of the largest size, 1 MB, and the buffers below it.
	maxRequestRead = 3 << 20
	// maxRequestTime is the time that a head may take, 3 s, and some more.
	maxRequestTime = 5 * time.Second
	// maxDripTime is the time that this client waits for its response, 6 s, and some more.
	maxDripTime = 8 * time.Second
)

// endlessRequests are what clients send once and what they then repeat.
func endlessRequests() map[string][2]string {
	head := func(kind string) string {
		return "POST " + site.PathIdempotent + "x HTTP/1.1\r\nHost: " + site.Host + "\r\nAttempt-Id: " + strings.ReplaceAll(kind, " ", "-") + "\r\nDeadline-Ms: 6000\r\n"
	}
	chunked := func(kind string) string { return head(kind) + "Transfer-Encoding: chunked\r\n\r\n" }
	return map[string][2]string{
		"first line":      {"", "x"},
		"target":          {"POST /", "x"},
		"header line":     {head("header line") + "X: ", "x"},
		"header lines":    {head("header lines"), "X: y\r\n"},
		"chunks":          {chunked("chunks"), "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		"chunk size":      {chunked("chunk size"), "0"},
		"chunk extension": {chunked("chunk extension") + "1;", "x"},
		"trailer":         {chunked("trailer") + "1\r\nx\r\n0\r\n", "X: y\r\n"},
		"past its length": {head("past its length") + "Content-Length: 4\r\n\r\nbody", "x"},
		"large length":    {head("large length") + "Content-Length: 1000000000000\r\n\r\n", "x"},
	}
}

// sendEndless sends a request without end until its connection is closed. It returns the number of bytes sent and the time.
func sendEndless(t *testing.T, address string, parts [2]string, pause time.Duration, maxTime time.Duration) (int64, time.Duration) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
	began := time.Now()
	block := strings.Repeat(parts[1], 1+(64<<10)/len(parts[1]))
	n, err := fmt.Fprint(conn, parts[0])
	sent := int64(n)
	for i := 0; err == nil && sent < endlessRequestBytes && time.Since(began) < maxTime; i++ {
		text := block
		if pause > 0 {
			sleep(pause)
			text = block[i%len(block) : i%len(block)+1]
		}
		n, err = fmt.Fprint(conn, text)
		sent += int64(n)
	}
	if err == nil {
		t.Errorf("%q: the connection is open after %d bytes and %v", parts[0], sent, time.Since(began))
	}
	return sent, time.Since(began)
}

// Guards against a client that sends bytes without end and that the gateway reads on, or for which its memory grows.
func TestEndlessRequestsAreClosed(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1})
	p := newGateway(t, s, "front-1")
	socketBytes, err := standin.SocketBytes()
	if err != nil {
		t.Fatal(err)
	}
	before := p.peakMemory()
	for name, parts := range endlessRequests() {
		t.Run(name, func(t *testing.T) {
			sent, took := sendEndless(t, p.clientAddr, parts, 0, maxRequestTime)
			t.Logf("%d bytes, closed after %v", sent, took)
			if sent > maxRequestRead+socketBytes || took > maxRequestTime {
				t.Errorf("%d bytes sent, closed after %v", sent, took)
			}
		})
	}
	if memory := p.peakMemory(); memory > before+8<<10 {
		t.Errorf("%d KB of memory, %d before", memory, before)
	}
}

// Guards against a client that sends a head one byte each 10 ms without end, and that holds its connection on.
func TestDrippingHeadsAreClosed(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1})
	p := newGateway(t, s, "front-1")
	for name, parts := range endlessRequests() {
		if strings.Contains(parts[0], "\r\n\r\n") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sendEndless(t, p.clientAddr, parts, 10*time.Millisecond, maxRequestTime)
		})
	}
}

// Guards against a client that sends a body one byte each 10 ms without end, and that holds its request after the deadline
// that it has sent.
func TestDrippingBodiesAreClosed(t *testing.T) {
	s := newSite(t, site.Config{PlainWorkers: 1})
	p := newGateway(t, s, "front-1")
	for name, parts := range endlessRequests() {
		if !strings.Contains(parts[0], "\r\n\r\n") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sendEndless(t, p.clientAddr, parts, 10*time.Millisecond, maxDripTime)
		})
	}
}
