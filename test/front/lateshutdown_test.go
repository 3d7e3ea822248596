package front

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Streams of 6 s arrive 3 s after SIGTERM at a gateway that has just started, has a low-bandwidth
// link and exits 4.5 s later. Each must be whole or refused at once as not run, and none may reach a
// peer, which doesn't know of the exit; plain requests must be served.
func TestLateStreamsOfNewGatewayAreWholeOrRefused(t *testing.T) {
	const streams = 8
	s, low, high := newHandoffPair(t, 100, 60*time.Millisecond)
	settings, err := os.ReadFile(low.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(low.settingsFile, []byte(withLongGrace(t, string(settings))), 0o600); err != nil {
		t.Fatal(err)
	}
	low.kill()
	low.start()
	low.waitReady()
	held := make(chan response, 1)
	send := func(id, tokens string) response {
		header := chatHeaders(id)
		header["Deadline-Ms"], header["Token-Count"] = "8000", tokens
		return low.do(context.Background(), http.MethodPost, site.PathNonResumable+"x", id, header)
	}
	go func() { held <- send("held", "220,9000") }()
	eventually(t, "the first stream runs", func() bool { return totalRuns(s.Engines, "held") > 0 })
	low.signal(syscall.SIGTERM)
	stopped := time.Now()
	sleep(3 * time.Second)
	late := make(chan struct{}, streams)
	for i := range streams {
		go func() {
			defer func() { late <- struct{}{} }()
			id := fmt.Sprint("late-", i)
			sent := time.Now()
			got := send(id, "220,400")
			whole := got.status == http.StatusOK && got.err == nil && got.body == streamBody(id, 100)
			refused := got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && time.Since(sent) < time.Second
			if !whole && !refused {
				t.Errorf("%s, sent %v after SIGTERM, ended after %v: status %d, %d bytes, %v", id, sent.Sub(stopped), time.Since(sent), got.status, len(got.body), got.err)
			}
			if refused && totalRuns(s.Engines, id) > 0 {
				t.Errorf("%s was refused and ran", id)
			}
			if handedOff(high, id) {
				t.Errorf("%s was handed off", id)
			}
		}()
	}
	if got := low.post("plain"); got.status != http.StatusOK {
		t.Errorf("a plain request, %v after SIGTERM: %+v", time.Since(stopped), got)
	}
	for range streams {
		<-late
	}
	<-held
}
