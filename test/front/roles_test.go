package front

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Versions of the engines of a site.
const (
	commonVersion = "v1"
	rareVersion   = "v2"
)

// rareEngines returns the engines of the rare version.
func rareEngines(s *site.Site) []*fleet.Worker {
	var engines []*fleet.Worker
	for _, w := range s.Engines {
		if w.Version() == rareVersion {
			engines = append(engines, w)
		}
	}
	return engines
}

// beginAtRareVersion begins streams at a gateway until enough of them have begun at the rare version, and
// returns what was received of these.
func beginAtRareVersion(t *testing.T, s *site.Site, p *process, rounds int) map[string]string {
	t.Helper()
	received := map[string]string{}
	for round := range rounds {
		for id, text := range beginStreams([]*process{p}, fmt.Sprint("s", round)) {
			if streamedVersions(s.Engines, id)[rareVersion] {
				received[id] = text
			}
		}
	}
	return received
}

// reportStages makes the engines write their rows as heartbeats do, so that gateways learn of their stages. The
// engine of a row that was deleted writes none.
func reportStages(t *testing.T, s *site.Site) (crash func(*fleet.Worker)) {
	t.Helper()
	gone, stop, done := make(chan *fleet.Worker), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		left := map[*fleet.Worker]bool{}
		for {
			select {
			case <-stop:
				return
			case w := <-gone:
				left[w] = true
				s.DeleteWorkerRow(w)
				s.CrashWorker(w)
			case <-time.After(100 * time.Millisecond):
			}
			for _, w := range s.Engines {
				if !left[w] {
					s.WriteWorkerRow(w, "ready")
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
	})
	return func(w *fleet.Worker) { gone <- w }
}

// logRefusals logs why requests were refused.
func logRefusals(t *testing.T, p *process) {
	t.Helper()
	reasons := map[string]int{}
	for _, line := range p.log(`"msg":"refused"`) {
		var refused struct{ Request, Reason, Step string }
		if json.Unmarshal([]byte(line), &refused) == nil {
			kind, _, _ := strings.Cut(refused.Request, "-")
			reasons[kind+": "+refused.Step+" "+refused.Reason]++
		}
	}
	t.Logf("%s refused %v", p.name, reasons)
}

func stages(engines []*fleet.Worker) []string {
	var all []string
	for _, w := range engines {
		all = append(all, w.Stage())
	}
	return all
}

// Separate processes, a version that few engines have. Guards against a split of the roles that leaves this version no
// engine that decodes, so that streams which clients take up are refused although workers of their version serve.
func TestResumedStreamsGoOnWhenRolesChange(t *testing.T) {
	t.Run("SplitTakesEngines", func(t *testing.T) {
		s := newSite(t, site.Config{
			DecodeEngines: 8, PlainWorkers: 1, Events: 60, EventDelay: 15 * time.Millisecond, MinRetries: 400,
			EngineVersions: []string{rareVersion, rareVersion, commonVersion, commonVersion, commonVersion, commonVersion, commonVersion, commonVersion},
		})
		reportStages(t, s)
		p := newGateway(t, s, "front-0")
		received := beginAtRareVersion(t, s, p, 4)
		eventually(t, "the split is carried out", func() bool {
			prefill := 0
			for _, w := range s.Engines {
				if w.Stage() == "prefill" {
					prefill++
				}
			}
			return prefill == 5
		})
		sleep(time.Second)
		t.Logf("%d streams, stages of the version %v", len(received), stages(rareEngines(s)))
		requireResumes(t, s, []*process{p}, received)
		logRefusals(t, p)
	})
	t.Run("LastDecodeEngineLeaves", func(t *testing.T) {
		s := newSite(t, site.Config{
			PrefillEngines: 5, DecodeEngines: 3, PlainWorkers: 1, Events: 60, EventDelay: 15 * time.Millisecond, MinRetries: 400,
			EngineVersions: []string{rareVersion, rareVersion, commonVersion, commonVersion, commonVersion, rareVersion, commonVersion, commonVersion},
		})
		crash := reportStages(t, s)
		p := newGateway(t, s, "front-0")
		received := beginAtRareVersion(t, s, p, 4)
		crash(s.Engines[5])
		sleep(2 * time.Second)
		t.Logf("%d streams, stages of the version %v", len(received), stages(rareEngines(s)))
		requireResumes(t, s, []*process{p}, received)
		logRefusals(t, p)
	})
	t.Run("VersionEnds", func(t *testing.T) {
		s := newSite(t, site.Config{
			PrefillEngines: 5, DecodeEngines: 4, PlainWorkers: 1, Events: 60, EventDelay: 15 * time.Millisecond, MinRetries: 400,
			EngineVersions: []string{rareVersion, rareVersion, rareVersion, commonVersion, commonVersion, rareVersion, rareVersion, commonVersion, commonVersion},
		})
		crash := reportStages(t, s)
		p := newGateway(t, s, "front-0")
		received := beginAtRareVersion(t, s, p, 3)
		for n, w := range []*fleet.Worker{s.Engines[5], s.Engines[6], s.Engines[0]} {
			crash(w)
			sleep(time.Duration(n+1) * 500 * time.Millisecond)
		}
		t.Logf("%d streams, stages of the version %v", len(received), stages(rareEngines(s)))
		requireResumes(t, s, []*process{p}, received)
		logRefusals(t, p)
	})
}
