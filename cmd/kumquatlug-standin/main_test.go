package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
)

// startCommand runs a command in this process. It returns the command's URL and a
// function that stops it.
func startCommand(t *testing.T, args ...string) (string, func() error) {
	t.Helper()
	output, outputWriter := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	cmd := newRootCommand()
	cmd.SetArgs(args)
	cmd.SetOut(outputWriter)
	done := make(chan error, 1)
	go func() {
		err := cmd.ExecuteContext(ctx)
		outputWriter.CloseWithError(err)
		done <- err
	}()
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if !ok {
		t.Fatalf("first line of output is %q, want a listening address", line)
	}
	return "http://" + address, func() error {
		cancel()
		return <-done
	}
}

func TestPlatformAndServiceServeUntilStopped(t *testing.T) {
	const rowsPath = "/v1/rows-get?table=t&part="
	const wantPrefix = `{"rows":[],"truncated":false,"ver":0,"now_ms":`
	for path, args := range map[string][]string{
		rowsPath: {"platform"},
		"/_runs": {"service"},
	} {
		url, stop := startCommand(t, args...)
		response, err := http.Get(url + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || path == rowsPath && !strings.HasPrefix(string(body), wantPrefix) {
			t.Fatalf("GET %s: body %s, error %v", path, body, err)
		}
		if err := stop(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestLoadCommandReportsOutcomes(t *testing.T) {
	url, stop := startCommand(t, "engine", "--time-scale", "0.001")
	var out bytes.Buffer
	cmd := newRootCommand()
	cmd.SetArgs([]string{"load", "--direct", "--engine", url, "--count", "20", "--form", "mixed"})
	cmd.SetOut(&out)
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	var report struct {
		Outcomes map[string]int `json:"outcomes"`
	}
	if err := json.Unmarshal(out.Bytes(), &report); err != nil || report.Outcomes["whole"] != 20 {
		t.Fatalf("report %s, error %v; want 20 whole responses", out.String(), err)
	}
	if err := stop(); err != nil {
		t.Fatal(err)
	}
}
