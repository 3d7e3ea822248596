package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

const (
	// resumeStreams is the number of streams that are cut and taken up in each case.
	resumeStreams = 24
	// resumeAfter is the number of events after which their client leaves.
	resumeAfter = 6
	// minResumedShare is the least share of resumed streams that go on, relative to that of new ones.
	minResumedShare = 0.95
)

// beginStream begins a stream and leaves after resumeAfter events. It returns what was received.
func (p *process) beginStream(id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.clientAddr+site.PathResumable+id, strings.NewReader("body"))
	if err != nil {
		return ""
	}
	r.Host = site.Host
	for k, v := range longPromptHeaders(id) {
		r.Header.Set(k, v)
	}
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "6000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := client.Do(r)
	if err != nil {
		return ""
	}
	defer got.Body.Close()
	var received strings.Builder
	buffer := make([]byte, 64)
	for strings.Count(received.String(), "\n\n") < resumeAfter {
		n, err := got.Body.Read(buffer)
		received.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	body := received.String()
	return body[:strings.LastIndex(body, "\n\n")+2]
}

// beginStreams begins resumeStreams streams at gateways in turn and returns what was received by id.
func beginStreams(gateways []*process, name string) map[string]string {
	received := map[string]string{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range resumeStreams {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("%s-%d", name, n)
			text := gateways[n%len(gateways)].beginStream(id)
			mu.Lock()
			defer mu.Unlock()
			if strings.Contains(text, "\n\n") {
				received[id] = text
			}
		}()
	}
	group.Wait()
	return received
}

// resumeStream takes up a stream as a client does: a refusal that names a time to come back is followed once.
func resumeStream(gateways []*process, n int, first, received string) bool {
	for try := range 2 {
		got := gateways[(n+try)%len(gateways)].takeUp(first, fmt.Sprintf("again-%s-%d", first, try), received)
		if got.err == nil && got.status == http.StatusOK {
			return true
		}
		if got.header == nil || got.header.Get("Retry-After") == "" {
			return false
		}
		seconds, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		sleep(time.Duration(seconds * float64(time.Second)))
	}
	return false
}

// requireResumes takes up streams while as many new ones begin, and compares how many do.
func requireResumes(t *testing.T, s *site.Site, gateways []*process, received map[string]string) {
	t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	resumed, begun, n := 0, 0, 0
	for first, text := range received {
		group.Add(2)
		at := n
		n++
		go func() {
			defer group.Done()
			if resumeStream(gateways, at, first, text) {
				mu.Lock()
				defer mu.Unlock()
				resumed++
			}
		}()
		go func() {
			defer group.Done()
			id := fmt.Sprintf("new-%s", first)
			got := gateways[at%len(gateways)].doWith(context.Background(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost, site.PathResumable+id, id, longPromptHeaders(id))
			if got.err == nil && got.status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				begun++
			}
		}()
	}
	group.Wait()
	if len(received) < resumeStreams/2 {
		t.Fatalf("%d streams begun, want at least half of %d", len(received), resumeStreams)
	}
	if float64(resumed) < minResumedShare*float64(begun) {
		t.Errorf("%d of %d resumed streams go on while %d new ones begin", resumed, len(received), begun)
	}
	for first := range received {
		if versions := streamedVersions(s.Engines, first, "again-"+first+"-0", "again-"+first+"-1"); len(versions) > 1 {
			t.Errorf("%s joins versions %v", first, versions)
		}
	}
}

// newVersionedSite starts a site whose engines have two versions in turn.
func newVersionedSite(t *testing.T) *site.Site {
	return newSite(t, site.Config{
		PrefillEngines: 4, DecodeEngines: 4, PlainWorkers: 1, Events: 60, EventDelay: 15 * time.Millisecond, MinRetries: 400, EngineVersions: []string{"v1", "v2"},
	})
}

func newGateways(t *testing.T, s *site.Site, from, count int) []*process {
	t.Helper()
	var gateways []*process
	for n := range count {
		gateways = append(gateways, newGateway(t, s, fmt.Sprint("front-", from+n)))
	}
	return gateways
}

func awaitGateways(t *testing.T, gateways []*process) {
	t.Helper()
	for _, p := range gateways {
		eventually(t, p.name+" knows the others", func() bool { return len(p.log(fmt.Sprintf(`"there":%d`, len(gateways)))) > 0 })
	}
}

// restartAll kills gateways and starts them again, each ready before the next if inTurn is set.
func restartAll(gateways []*process, inTurn bool) {
	if inTurn {
		for _, p := range gateways {
			p.kill()
			p.start()
			p.waitReady()
		}
		return
	}
	for _, p := range gateways {
		p.kill()
	}
	for _, p := range gateways {
		p.start()
	}
	for _, p := range gateways {
		p.waitReady()
	}
}

// Separate processes, engines of two versions. Guards against streams that their clients take up and that do not go on
// because the gateways that began them are gone, or because gateways have just started or do not know each other.
func TestResumedStreamsGoOnAsNewOnesBegin(t *testing.T) {
	t.Run("GatewaysJustReady", func(t *testing.T) {
		s := newVersionedSite(t)
		gateways := newGateways(t, s, 0, 3)
		requireResumes(t, s, gateways[1:], beginStreams(gateways[:1], "s"))
	})
	t.Run("AllKilledAtOnce", func(t *testing.T) {
		s := newVersionedSite(t)
		gateways := newGateways(t, s, 0, 3)
		awaitGateways(t, gateways)
		received := beginStreams(gateways, "s")
		restartAll(gateways, false)
		requireResumes(t, s, gateways, received)
	})
	t.Run("KilledInTurn", func(t *testing.T) {
		s := newVersionedSite(t)
		gateways := newGateways(t, s, 0, 4)
		awaitGateways(t, gateways)
		received := beginStreams(gateways[:3], "s")
		restartAll(gateways[:3], true)
		requireResumes(t, s, gateways, received)
	})
	t.Run("StoppedInTurn", func(t *testing.T) {
		s := newVersionedSite(t)
		gateways := newGateways(t, s, 0, 4)
		awaitGateways(t, gateways)
		received := beginStreams(gateways, "s")
		for _, p := range gateways {
			p.signal(syscall.SIGTERM)
			sleep(250 * time.Millisecond)
		}
		for _, p := range gateways {
			<-p.done
			p.start()
			p.waitReady()
		}
		requireResumes(t, s, gateways, received)
	})
	t.Run("GatewaysAdded", func(t *testing.T) {
		s := newVersionedSite(t)
		gateways := newGateways(t, s, 0, 2)
		awaitGateways(t, gateways)
		received := beginStreams(gateways, "s")
		requireResumes(t, s, newGateways(t, s, 2, 6), received)
	})
	t.Run("StoreAwayAndAllKilled", func(t *testing.T) {
		s := newVersionedSite(t)
		gateways := newGateways(t, s, 0, 3)
		awaitGateways(t, gateways)
		beginStreams(gateways, "before")
		s.Store.SetFault(rowstoreFault("silent"))
		sleep(time.Second)
		received := beginStreams(gateways, "s")
		for _, p := range gateways {
			p.kill()
		}
		s.Store.SetFault(rowstoreFault(""))
		restartAll(gateways, false)
		requireResumes(t, s, gateways, received)
	})
}
