package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

const (
	// capacityStreams is the number of streams that are cut, and of new ones that begin as they are taken up.
	capacityStreams = 60
	// capacitySlots is the number of slots of the engines of newCapacitySite.
	capacitySlots = 64
	// cutTries is how often a client tries to begin a stream that is to be cut, so that streams are at hand at each load.
	cutTries = 10
	// restartPause is how long all gateways are away.
	restartPause = 200 * time.Millisecond
)

// newCapacitySite starts a site with two engines of one version and six of the other, some of each in both roles.
func newCapacitySite(t *testing.T) *site.Site {
	s := newSite(t, site.Config{
		PrefillEngines: 4, DecodeEngines: 4, PlainWorkers: 1, Events: 60, EventDelay: 15 * time.Millisecond, MinRetries: 400,
		EngineVersions: []string{rareVersion, commonVersion, commonVersion, commonVersion, rareVersion, commonVersion, commonVersion, commonVersion},
	})
	reportStages(t, s)
	return s
}

// occupyEngines makes clients begin one stream after the other until stop is called.
func occupyEngines(gateways []*process, clients int) (stop func()) {
	return repeat(clients, func(n, round int) {
		if got := beginWhole(gateways[n%len(gateways)], fmt.Sprintf("beside-%d-%d", n, round)); got.status != http.StatusOK {
			sleep(20 * time.Millisecond)
		}
	})
}

// cutStreams begins capacityStreams streams, which their clients leave, and returns what was received of them.
func cutStreams(gateways []*process) map[string]string {
	received := map[string]string{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for n := range capacityStreams {
		group.Add(1)
		go func() {
			defer group.Done()
			for try := range cutTries {
				id := fmt.Sprintf("cut-%d-%d", try, n)
				if text := gateways[(n+try)%len(gateways)].beginStream(id); strings.Contains(text, "\n\n") {
					mu.Lock()
					defer mu.Unlock()
					received[id] = text
					return
				}
				sleep(100 * time.Millisecond)
			}
		}()
	}
	group.Wait()
	return received
}

// outcomes counts streams and their times to the first event.
type outcomes struct {
	mu    sync.Mutex
	count int
	times []time.Duration
}

func (o *outcomes) add(served bool, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if served {
		o.count++
		o.times = append(o.times, took)
	}
}

// median returns the median time to the first event.
func (o *outcomes) median() time.Duration {
	if len(o.times) == 0 {
		return 0
	}
	slices.Sort(o.times)
	return o.times[len(o.times)/2].Round(time.Millisecond)
}

// beginTimed begins a stream as a client does that follows Retry-After, and reports when its first event arrived.
func beginTimed(gateways []*process, at int, id string) (served bool, took time.Duration) {
	start, first := time.Now(), time.Duration(0)
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotFirstResponseByte: func() { first = time.Since(start) }})
	served = tryStream(gateways, at, func(p *process, try int) response {
		attempt := fmt.Sprintf("%s-%d", id, try)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		return p.doWith(ctx, client, http.MethodPost, site.PathResumable+id, attempt, longPromptHeaders(id))
	})
	return served, first
}

// requireResumesAtCapacity takes up streams while as many new ones begin, and requires that at least minResumedShare of the
// share of the new ones go on, at their version.
func requireResumesAtCapacity(t *testing.T, s *site.Site, gateways []*process, received map[string]string) {
	t.Helper()
	if len(received) < capacityStreams/2 {
		t.Fatalf("%d streams begun, want at least half of %d", len(received), capacityStreams)
	}
	var resumed, begun outcomes
	var group sync.WaitGroup
	at := 0
	for first, text := range received {
		n := at
		at++
		group.Add(1)
		go func() {
			defer group.Done()
			resumed.add(tryStream(gateways, n, func(p *process, try int) response {
				return p.takeUp(first, fmt.Sprintf("again-%s-%d", first, try), text)
			}), 0)
		}()
	}
	for n := range capacityStreams {
		group.Add(1)
		go func() {
			defer group.Done()
			begun.add(beginTimed(gateways, n, fmt.Sprint("new-", n)))
		}()
	}
	group.Wait()
	t.Logf("taken up %d, gone on %d; new %d of %d, median time to the first event %v", len(received), resumed.count, begun.count, capacityStreams, begun.median())
	share := float64(begun.count) / capacityStreams
	if float64(resumed.count) < minResumedShare*share*float64(len(received)) {
		t.Errorf("%d of %d streams go on, %.2f of new ones begin", resumed.count, len(received), share)
	}
	for first := range received {
		if versions := streamedVersions(s.Engines, first, "again-"+first+"-0", "again-"+first+"-1", "again-"+first+"-2"); len(versions) > 1 {
			t.Errorf("%s joins versions %v", first, versions)
		}
	}
}

// logUnknownVersions logs why gateways did not know the versions of streams, and which versions they have unbound.
func logUnknownVersions(t *testing.T, gateways []*process) {
	t.Helper()
	reasons := map[string]int{}
	for _, p := range gateways {
		for _, line := range p.log(`"msg":"stream taken up"`) {
			var taken struct{ Unknown string }
			if json.Unmarshal([]byte(line), &taken) == nil {
				reasons[taken.Unknown]++
			}
		}
		for _, line := range p.log(`"msg":"version unbound"`) {
			t.Logf("%s: %s", p.name, line)
		}
		logRefusals(t, p)
	}
	t.Logf("looked up %v", reasons)
}

// Separate processes, engines of two versions, streams of other clients beside. Guards against streams that can't be taken
// up once all gateways were killed, because streams that found the engines of their version full had left it, so that the
// ids of that version determined nothing any more.
func TestResumedStreamsGoOnAfterAllGatewaysWereKilledAtCapacity(t *testing.T) {
	for _, load := range []struct {
		name    string
		clients int
	}{{"None", 0}, {"Half", capacitySlots / 2}, {"Full", capacitySlots}, {"Beyond", capacitySlots * 3 / 2}} {
		t.Run(load.name, func(t *testing.T) {
			s := newCapacitySite(t)
			gateways := newGateways(t, s, 0, 3)
			awaitGateways(t, gateways)
			stop := occupyEngines(gateways, load.clients)
			sleep(1500 * time.Millisecond)
			received := cutStreams(gateways)
			for _, p := range gateways {
				p.kill()
			}
			sleep(restartPause)
			restartAll(gateways, false)
			requireResumesAtCapacity(t, s, gateways, received)
			stop()
			logUnknownVersions(t, gateways)
		})
	}
}

// Separate processes, engines of two versions, as many streams of other clients as the engines have slots. Guards against
// streams that can't be taken up at capacity once gateways have been killed or stopped in turn, or all killed while the store
// was away.
func TestResumedStreamsGoOnAtCapacityWhileGatewaysComeAndGo(t *testing.T) {
	for name, change := range map[string]func(s *site.Site, gateways []*process){
		"KilledInTurn": func(_ *site.Site, gateways []*process) { restartAll(gateways, true) },
		"StoppedInTurn": func(_ *site.Site, gateways []*process) {
			for _, p := range gateways {
				p.signal(syscall.SIGTERM)
				<-p.done
				p.start()
				p.waitReady()
			}
		},
		"StoreAwayAndAllKilled": func(s *site.Site, gateways []*process) {
			s.Store.SetFault(rowstoreFault("silent"))
			sleep(time.Second)
			for _, p := range gateways {
				p.kill()
			}
			s.Store.SetFault(rowstoreFault(""))
			restartAll(gateways, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCapacitySite(t)
			gateways := newGateways(t, s, 0, 3)
			awaitGateways(t, gateways)
			stop := occupyEngines(gateways, capacitySlots)
			sleep(1500 * time.Millisecond)
			received := cutStreams(gateways)
			change(s, gateways)
			requireResumesAtCapacity(t, s, gateways, received)
			stop()
			logUnknownVersions(t, gateways)
		})
	}
}
