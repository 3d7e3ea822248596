package signals_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/signals"
)

// Signals come in any order and number, before the first one is received and after the context
// has ended. Guards against a signal whose default action ends the process.
func TestNoSignalHasItsDefaultAction(t *testing.T) {
	r := signals.Receive()
	send := func(list ...syscall.Signal) {
		t.Helper()
		for _, s := range list {
			if err := syscall.Kill(syscall.Getpid(), s); err != nil {
				t.Fatal(err)
			}
		}
	}
	send(syscall.SIGHUP, syscall.SIGHUP)
	await(t, r.Hangups())
	if r.Context().Err() != nil {
		t.Fatal("SIGHUP has ended the context")
	}
	send(syscall.SIGTERM)
	select {
	case <-r.Context().Done():
	case <-time.After(time.Minute):
		t.Fatal("SIGTERM has not ended the context")
	}
	for range 3 {
		send(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		await(t, r.Hangups())
	}
}

// A terminal is closed while a command runs. Guards against operators' commands that go on
// without their terminal.
func TestHangupStopsCommandsOfTerminals(t *testing.T) {
	r := signals.Receive()
	r.StopOnHangup()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Minute):
		t.Fatal("SIGHUP has not ended the context")
	}
}

func await(t *testing.T, hangups <-chan os.Signal) {
	t.Helper()
	select {
	case <-hangups:
	case <-time.After(time.Minute):
		t.Fatal("SIGHUP was not delivered")
	}
}
