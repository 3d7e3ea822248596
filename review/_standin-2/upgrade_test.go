package standin2

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of upgradeInPlace.
const (
	upgradeStreams = 8
	upgradeEvents  = 50
	upgradeDelay   = 40 * time.Millisecond
	// upgradeDown is how long a worker is away, upgradeGap how long it serves before the next one is stopped, and
	// upgradeBeat how long after its start it writes its entry, less than a heartbeat of 1,200 ms.
	upgradeDown = 300 * time.Millisecond
	upgradeGap  = 400 * time.Millisecond
	upgradeBeat = 1000 * time.Millisecond
	upgradeLast = 10 * time.Second
)

// upgradeInPlace plays resumable streams at engines whose software is upgraded in place, one engine after the other: each
// ends, and starts again under the instance_id that it had.
func upgradeInPlace(d *deployment, trouble bool) (string, error) {
	var decoders, all []*member
	for i := range 12 {
		stage := "prefill"
		if i >= 8 {
			stage = "decode"
		}
		m, err := d.newMember(fmt.Sprintf("i-lm%d", i), "lm", stage, "v1", upgradeEvents, upgradeDelay)
		if err != nil {
			return "", err
		}
		if all = append(all, m); stage == "decode" {
			decoders = append(decoders, m)
		}
	}
	d.setConfig([]map[string]any{{
		"kind": "streaming", "prefix": "/chat/", "service": "lm", "timeout_ms": 8000, "target_latency_ms": 300, "max_attempts": 2, "priority": 1,
		"resumable": true, "sticky": true, "gap_target_ms": 200,
	}}, []map[string]any{{
		"name": "lm", "health_path": "/healthz", "max_connections": 360,
		"engine": map[string]any{"slots": 16, "kv_capacity_tokens": 370000, "stage_switch_s": 3},
	}}, 1<<20)
	for _, name := range []string{"edge-1", "edge-2"} {
		f, err := d.newFront(name, 8)
		if err != nil {
			return "", err
		}
		if err := f.waitReady(); err != nil {
			return "", err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), upgradeLast)
	defer cancel()
	var upgrades sync.WaitGroup
	if trouble {
		upgrades.Go(func() {
			time.Sleep(3 * time.Second)
			upgradeAll(d, decoders, "v2")
		})
	}
	answers := streamAll(ctx, d)
	upgrades.Wait()
	return judgeVersions(d.ledger, all, answers), nil
}

// upgradeAll upgrades the engines one after the other.
func upgradeAll(d *deployment, engines []*member, version string) {
	var entries sync.WaitGroup
	for _, m := range engines {
		m.crash()
		time.Sleep(upgradeDown)
		if err := m.start(version); err != nil {
			d.ledger.note("%v", err)
			return
		}
		entries.Go(func() {
			time.Sleep(upgradeBeat)
			m.register("ready")
		})
		time.Sleep(upgradeGap)
	}
	entries.Wait()
}

// streamAnswer is what a client got of a stream.
type streamAnswer struct {
	id       string
	status   int
	events   []int
	complete bool
	err      error
}

// streamAll asks for streams from several clients until ctx ends.
func streamAll(ctx context.Context, d *deployment) []streamAnswer {
	var mu sync.Mutex
	var all []streamAnswer
	var clients sync.WaitGroup
	for n := range upgradeStreams {
		clients.Go(func() {
			f := d.fronts[n%len(d.fronts)]
			time.Sleep(time.Duration(n) * 110 * time.Millisecond)
			for i := 0; ctx.Err() == nil; i++ {
				a := stream(f.clientAddr, fmt.Sprintf("s%02d-%03d", n, i))
				d.ledger.note("the client of %s gets %d, %d events, complete %t, from %s, error %v", a.id, a.status, len(a.events), a.complete, f.name, a.err)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return all
}

var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// stream asks for one stream.
func stream(address, id string) streamAnswer {
	a := streamAnswer{id: id}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/chat/"+id, strings.NewReader(strings.Repeat("b", 440)))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "8000", "Model": "m", "Token-Count": "141,100", "Prefix-Hash": "aa:80," + id + ":61",
	} {
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 9 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.err = response.StatusCode, err
	for _, found := range eventID.FindAllStringSubmatch(string(body), -1) {
		// The expression matches numbers only.
		n, _ := strconv.Atoi(found[1])
		a.events = append(a.events, n)
	}
	a.complete = err == nil && a.status == http.StatusOK && len(a.events) == upgradeEvents
	return a
}

// maxJoined is the number of streams of two versions that the rule permits.
const maxJoined = 2

// judgeVersions checks ORDER: more than two streams hold events from workers of two software versions.
func judgeVersions(l *ledger, members []*member, answers []streamAnswer) string {
	var joined []string
	complete := 0
	for _, a := range answers {
		if a.complete {
			complete++
		}
		first := map[string]int{}
		for _, n := range a.events {
			var versions []string
			for _, m := range members {
				versions = append(versions, m.versionsOfEvent(a.id, n)...)
			}
			// An event that two workers sent is not attributed to either.
			if len(versions) == 1 && first[versions[0]] == 0 {
				first[versions[0]] = n
			}
		}
		if len(first) > 1 {
			text := a.id
			for _, version := range slices.Sorted(maps.Keys(first)) {
				text += fmt.Sprintf(", %s from event %d", version, first[version])
			}
			joined = append(joined, text)
		}
	}
	l.note("%d streams, %d complete, %d with events of two software versions", len(answers), complete, len(joined))
	if len(joined) <= maxJoined {
		return ""
	}
	return fmt.Sprintf("ORDER: %d streams hold events of two software versions: %s", len(joined), strings.Join(joined, "; "))
}
