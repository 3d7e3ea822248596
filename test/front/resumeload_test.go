package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

const (
	// loadClients is the number of clients that begin one stream after the other: more than the three
	// engines that decode take, 32 streams each; an adaptive split adds one engine.
	loadClients = 220
	// loadTries is how often a client tries, as long as it is told when to come back.
	loadTries = 3
)

// tryStream sends a request as a client does that follows Retry-After, to one gateway after the other, and reports whether
// it was served.
func tryStream(gateways []*process, n int, send func(p *process, try int) response) bool {
	for try := range loadTries {
		got := send(gateways[(n+try)%len(gateways)], try)
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

func beginWhole(p *process, id string) response {
	return p.doWith(context.Background(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost, site.PathResumable+id, id, longPromptHeaders(id))
}

// repeat makes clients call f in turn until stop is called, which waits for the last calls.
func repeat(clients int, f func(n, round int)) (stop func()) {
	var group sync.WaitGroup
	end := make(chan struct{})
	for n := range clients {
		group.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-end:
					return
				default:
				}
				f(n, round)
			}
		})
	}
	return func() {
		close(end)
		group.Wait()
	}
}

// startStreams makes clients begin streams until stop is called, which returns how many were tried and served.
func startStreams(gateways []*process) (stop func() (tried, served int64)) {
	var tried, served atomic.Int64
	end := repeat(loadClients, func(n, round int) {
		tried.Add(1)
		if tryStream(gateways, n, func(p *process, try int) response { return beginWhole(p, fmt.Sprintf("load-%d-%d-%d", n, round, try)) }) {
			served.Add(1)
		}
	})
	return func() (int64, int64) {
		end()
		return tried.Load(), served.Load()
	}
}

// Separate processes, engines of two versions, more clients than the engines take. Guards against streams that clients
// take up and that are refused for want of room more often than new ones, since they may go on at one version only.
func TestResumedStreamsGoOnAtFullLoad(t *testing.T) {
	s := newSite(t, site.Config{
		PrefillEngines: 5, DecodeEngines: 3, PlainWorkers: 1, Events: 60, EventDelay: 15 * time.Millisecond, MinRetries: 400,
		EngineVersions: []string{commonVersion, commonVersion, commonVersion, commonVersion, rareVersion, rareVersion, commonVersion, commonVersion},
	})
	reportStages(t, s)
	gateways := newGateways(t, s, 0, 3)
	awaitGateways(t, gateways)
	received := map[string]string{}
	for round := range 2 {
		for id, text := range beginStreams(gateways, fmt.Sprint("s", round)) {
			received[id] = text
		}
	}
	stop := startStreams(gateways)
	sleep(1500 * time.Millisecond)
	var mu sync.Mutex
	var group sync.WaitGroup
	began, resumed := map[string]int{}, map[string]int{}
	n := 0
	for first, text := range received {
		version := commonVersion
		if streamedVersions(s.Engines, first)[rareVersion] {
			version = rareVersion
		}
		began[version]++
		at := n
		n++
		group.Add(1)
		go func() {
			defer group.Done()
			goesOn := tryStream(gateways, at, func(p *process, try int) response {
				return p.takeUp(first, fmt.Sprintf("again-%s-%d", first, try), text)
			})
			if goesOn {
				mu.Lock()
				defer mu.Unlock()
				resumed[version]++
			}
		}()
		sleep(20 * time.Millisecond)
	}
	group.Wait()
	tried, served := stop()
	share := float64(served) / float64(tried)
	t.Logf("new: %d of %d; taken up %v, gone on %v; stages %v", served, tried, began, resumed, stages(s.Engines))
	for _, p := range gateways {
		logRefusals(t, p)
	}
	for version, count := range began {
		if count >= 12 && float64(resumed[version]) < minResumedShare*share*float64(count) {
			t.Errorf("%d of %d streams of version %s go on, %.2f of new ones begin", resumed[version], count, version, share)
		}
	}
	for first := range received {
		if versions := streamedVersions(s.Engines, first, "again-"+first+"-0", "again-"+first+"-1", "again-"+first+"-2"); len(versions) > 1 {
			t.Errorf("%s joins versions %v", first, versions)
		}
	}
}
