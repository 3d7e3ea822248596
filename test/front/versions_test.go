package front

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// unnamedStream is the id of a stream that a client takes up without naming it.
const unnamedStream = "unnamed-0"

// takeUp takes up a stream after the events that were received of it.
func (p *process) takeUp(first, id, received string) response {
	headers := longPromptHeaders(first)
	if first != unnamedStream {
		headers["Resumes"] = first
	}
	headers["Last-Event-Id"] = strconv.Itoa(strings.Count(received, "\n\n"))
	return p.doWith(context.Background(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost, site.PathResumable+first, id, headers)
}

// streamedVersions returns the versions of the engines that sent events to these attempts.
func streamedVersions(engines []*fleet.Worker, ids ...string) map[string]bool {
	versions := map[string]bool{}
	for _, w := range engines {
		for _, id := range ids {
			if w.Streamed(id) {
				versions[w.Version()] = true
			}
		}
	}
	return versions
}

// Separate processes, engines of two versions. Guards against streams that their engine breaks off, or that
// clients take up at other gateways, also after the first one was killed, and that go on at another version or not
// at all.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 2, DecodeEngines: 4, PlainWorkers: 1, Events: 40, EventDelay: 15 * time.Millisecond, MinRetries: 400, EngineVersions: []string{"v1", "v2"}})
	gateways := []*process{newGateway(t, s, "front-0"), newGateway(t, s, "front-1"), newGateway(t, s, "front-2")}
	for _, p := range gateways {
		eventually(t, p.name+" knows the others", func() bool { return len(p.log(`"there":3`)) > 0 })
	}
	const streams = 24
	received, done := make([]response, streams), make(chan int, streams)
	for n := range streams {
		go func() {
			id := fmt.Sprint("first-", n)
			received[n] = gateways[0].doWith(context.Background(), &http.Client{}, http.MethodPost, site.PathResumable+id, id, longPromptHeaders(id))
			done <- n
		}()
	}
	sleep(250 * time.Millisecond)
	gateways[0].kill()
	for range streams {
		<-done
	}
	goOn, begun := 0, 0
	for n, r := range received {
		if !strings.Contains(r.body, "\n\n") || strings.Count(r.body, "\n\n") >= 40 {
			continue
		}
		begun++
		first, again := fmt.Sprint("first-", n), fmt.Sprint("again-", n)
		got := gateways[1+n%2].takeUp(first, again, r.body)
		if got.err == nil && got.status == http.StatusOK {
			goOn++
		}
		if versions := streamedVersions(s.Engines, first, again); len(versions) != 1 {
			t.Errorf("%s joins versions %v", first, maps.Clone(versions))
		}
	}
	if begun < streams/2 || goOn < begun*9/10 {
		t.Errorf("%d of %d streams go on, want nine of ten", goOn, begun)
	}
	// An id that the listing determines goes on at one version, wherever it is taken up.
	for n, p := range gateways[1:] {
		p.takeUp("never-seen", fmt.Sprint("lost-", n), "\n\n")
	}
	if versions := streamedVersions(s.Engines, "lost-0", "lost-1"); len(versions) > 1 {
		t.Errorf("a stream that nobody knows joins versions %v", versions)
	}
	if got := gateways[1].takeUp(unnamedStream, "nameless", "\n\n"); got.status != http.StatusServiceUnavailable {
		t.Errorf("a stream that its client does not name: status %d, want 503", got.status)
	}
}
