package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// optionsAsterisk sends requests for which there is no route: with a path that never existed and, as the disruption, with
// the target "*", which is no path at all.
func optionsAsterisk(d *deployment, trouble bool) (string, error) {
	if _, err := d.newMember("i-desk0", "desk", "", "v1", 0, 10*time.Millisecond); err != nil {
		return "", err
	}
	d.setConfig([]map[string]any{
		{"kind": "non_idempotent", "prefix": "/post/", "service": "desk", "timeout_ms": 4000, "target_latency_ms": 300, "max_attempts": 1, "priority": 2},
	}, []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 110}}, 1<<20)
	f, err := d.newFront("edge-1", 8)
	if err != nil {
		return "", err
	}
	if err := f.waitReady(); err != nil {
		return "", err
	}
	targets := []string{"/never/x"}
	if trouble {
		targets = append(targets, "*")
	}
	broken := 0
	for n := range 20 {
		for _, target := range targets {
			id := fmt.Sprintf("o%02d", n)
			response, body, err := rawRequest(f.clientAddr, "OPTIONS "+target+" HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: "+id+"\r\nDeadline-Ms: 2000\r\n\r\n")
			if err != nil {
				return "", err
			}
			stamp := response.Header.Get("Server-Stamp")
			d.ledger.note("OPTIONS %s, request %s: status %d, Server-Stamp %q, body %q", target, id, response.StatusCode, stamp, body)
			if response.StatusCode < http.StatusMultipleChoices && stamp == "" {
				broken++
			}
		}
	}
	if broken == 0 {
		return "", nil
	}
	return fmt.Sprintf("MIXED: %d successes without a worker's Server-Stamp; no worker got the requests", broken), nil
}

// rawRequest sends the bytes of a request and reads the response.
func rawRequest(address, request string) (*http.Response, string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, "", err
	}
	if _, err := io.WriteString(c, request); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodOptions})
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}
