package front

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Signals come in series while a gateway shuts down, and its settings file is half written.
// Guards against a signal that ends the process before its streams have ended.
func TestSignalsDuringShutdownCutNoStream(t *testing.T) {
	for name, send := range map[string]func(*process){
		"SIGHUP at once": func(p *process) {
			p.signal(syscall.SIGTERM)
			p.signal(syscall.SIGHUP)
		},
		"SIGHUP near the exit": func(p *process) {
			p.signal(syscall.SIGTERM)
			sleep(2500 * time.Millisecond)
			p.signal(syscall.SIGHUP)
		},
		"series until the exit": func(p *process) {
			settings, err := os.ReadFile(p.settingsFile)
			if err != nil {
				t.Error(err)
			}
			for i := 0; !p.exited(); i++ {
				half := settings[:len(settings)*(i%3)/2]
				if err := os.WriteFile(p.settingsFile, half, 0o600); err != nil {
					t.Error(err)
				}
				for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
					// It fails once the process has exited.
					_ = p.cmd.Process.Signal(s)
					sleep(time.Millisecond)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireStreamsOutlast(t, send)
		})
	}
}

// exited reports whether the process has exited.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// requireStreamsOutlast fails the test unless all streams of a gateway are whole and it exits by
// itself, although it receives signals, SIGTERM among them, shortly after the streams have begun.
func requireStreamsOutlast(t *testing.T, send func(*process)) {
	t.Helper()
	const streams, events = 8, 100
	// The streams end within the grace of 4 s, so that the shutdown alone cuts none.
	s := newSite(t, site.Config{PrefillEngines: 4, DecodeEngines: 2, PlainWorkers: 1, Events: events, EventDelay: 25 * time.Millisecond})
	p := newGateway(t, s, "front-1")
	results := make(chan string, streams)
	for i := range streams {
		go func() {
			id := fmt.Sprint("held-", i)
			got := p.chat(id)
			if got.err != nil || got.status != http.StatusOK || got.body != streamBody(id, events) {
				results <- fmt.Sprintf("%s: status %d, %d of %d bytes, %v", id, got.status, len(got.body), len(streamBody(id, events)), got.err)
				return
			}
			results <- ""
		}()
	}
	eventually(t, "the streams run", func() bool {
		running := 0
		for i := range streams {
			running += totalRuns(s.Engines, fmt.Sprint("held-", i))
		}
		return running == streams
	})
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		send(p)
	}()
	for range streams {
		if failure := <-results; failure != "" {
			t.Error(failure)
		}
	}
	eventually(t, "the process exits", p.exited)
	<-sent
	if state := p.cmd.ProcessState; state.ExitCode() != 0 {
		t.Errorf("the process ended by %v", state)
	}
}
