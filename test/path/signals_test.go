package path

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// SIGHUP reaches a gateway, an agent and an engine during a completion, and again, with further
// signals, while they shut down. Guards against a signal that ends a process with work in flight.
func TestSignalsCutNoCompletion(t *testing.T) {
	f := newFleet(t)
	tokens := make(chan string, 1000)
	done := make(chan completion, 1)
	go func() { done <- f.streamChat("entry-2", "hang up", 300, tokens) }()
	<-tokens
	sent := f.sentTargets()
	target := sent[len(sent)-1]
	processes := []*process{f.processes["entry-2"], f.processes["agent of "+target], f.processes[target]}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		for _, p := range processes {
			// A process that has exited can't be sent a signal.
			if p == f.processes[target] && s == syscall.SIGHUP {
				// The stand-in belongs to a terminal, which ends it by SIGHUP as well.
				continue
			}
			_ = p.command.Process.Signal(s)
			time.Sleep(pollInterval)
		}
	}
	f.expectCompletion(<-done, "hang up", 300)
	f.expectNoInterruption()
	for _, p := range processes {
		if err := p.waitExit(); err != nil {
			t.Errorf("%s exited with %v", p.name, err)
		}
	}
}

// A terminal is closed while an operator's command waits. Guards against commands that go on
// without their terminal.
func TestHangupEndsOperatorCommands(t *testing.T) {
	f := newFleet(t)
	command := exec.Command(filepath.Join(build(t), "kumquatlug"), "wait", "99", "--server", f.operatorURLs["entry-1"], "--operator-key", operatorKey)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- command.Wait() }()
	waitUntil(t, "the command has ended", func() bool {
		_ = command.Process.Signal(syscall.SIGHUP)
		return len(done) > 0
	})
}
