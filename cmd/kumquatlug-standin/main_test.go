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

// begin runs a command in this process and returns its address and a function
// that stops it.
func begin(t *testing.T, arguments ...string) (string, func() error) {
	t.Helper()
	r, w := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	cmd := rootCommand()
	cmd.SetArgs(arguments)
	cmd.SetOut(w)
	done := make(chan error, 1)
	go func() {
		err := cmd.ExecuteContext(ctx)
		w.CloseWithError(err)
		done <- err
	}()
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if !ok {
		t.Fatalf("first line %q", line)
	}
	return "http://" + address, func() error {
		cancel()
		return <-done
	}
}

func TestCommandsServeAndStop(t *testing.T) {
	const rows = "/v1/rows-get?table=t&part="
	const want = `{"rows":[],"truncated":false,"ver":0,"now_ms":`
	for path, arguments := range map[string][]string{
		rows:     {"platform"},
		"/_runs": {"service"},
	} {
		url, stop := begin(t, arguments...)
		answer, err := http.Get(url + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err != nil || path == rows && !strings.HasPrefix(string(body), want) {
			t.Fatalf("%s %v", body, err)
		}
		if err := stop(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestLoadCommandReportsWhatCameBack(t *testing.T) {
	url, stop := begin(t, "engine", "--time-scale", "0.001")
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetArgs([]string{"load", "--direct", "--engine", url, "--count", "20", "--form", "mixed"})
	cmd.SetOut(&out)
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	var report struct {
		Outcomes map[string]int `json:"outcomes"`
	}
	if err := json.Unmarshal(out.Bytes(), &report); err != nil || report.Outcomes["whole"] != 20 {
		t.Fatalf("%s %v", out.String(), err)
	}
	if err := stop(); err != nil {
		t.Fatal(err)
	}
}
