package front

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// rejoinedCase is a kill of all gateways while the engines of the first version leave.
type rejoinedCase struct {
	// how they leave, and when: before, during or after the kill.
	how, when string
	versions  []string
	// restored says that the store comes back from a copy of when the first version was the only one.
	restored bool
}

func (c rejoinedCase) String() string {
	return fmt.Sprintf("%s-%s-%d-restored-%t", c.how, c.when, len(c.versions), c.restored)
}

// leave makes the engines of the first version leave the service.
func (c rejoinedCase) leave(s *site.Site) {
	for _, w := range s.Engines {
		if w.Version() != c.versions[0] {
			continue
		}
		switch c.how {
		case "drain":
			s.WriteWorkerRow(w, "draining")
		case "crash":
			s.CrashWorker(w)
		}
		if c.how != "drain" {
			s.DeleteWorkerRow(w)
		}
	}
}

func (c rejoinedCase) run(t *testing.T) {
	s := newSite(t, site.Config{PrefillEngines: 2, DecodeEngines: 3 * len(c.versions), PlainWorkers: 1, Events: 60, EventDelay: 15 * time.Millisecond, MinRetries: 400, EngineVersions: c.versions})
	var others []*fleet.Worker
	for _, w := range s.Engines {
		if w.Version() != c.versions[0] {
			others = append(others, w)
		}
	}
	if c.restored {
		for _, w := range others {
			s.DeleteWorkerRow(w)
		}
	}
	gateways := newGateways(t, s, 0, 3)
	awaitGateways(t, gateways)
	older := s.Store.Snapshot()
	if c.restored {
		beginStreams(gateways, "only")
		older = s.Store.Snapshot()
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	// Engines write their rows again, with the roles that they were ordered to take.
	go func() {
		for ; ctx.Err() == nil; sleep(200 * time.Millisecond) {
			for _, w := range others {
				s.WriteWorkerRow(w, "ready")
			}
		}
	}()
	for _, p := range gateways {
		eventually(t, p.name+" lists the versions", func() bool {
			return len(p.log("versions of service", fmt.Sprintf("%q:", c.versions[len(c.versions)-1]))) > 0
		})
	}
	received := beginStreams(gateways, "s")
	if c.when == "before" {
		c.leave(s)
		sleep(500 * time.Millisecond)
	}
	for _, p := range gateways {
		p.kill()
	}
	if c.when == "during" {
		c.leave(s)
	}
	if c.restored {
		s.Store.Restore(older, 0)
		if c.when != "after" {
			c.leave(s)
		}
	}
	for _, p := range gateways {
		p.start()
	}
	for _, p := range gateways {
		p.waitReady()
	}
	if c.when == "after" {
		c.leave(s)
	}
	var stay, goOn atomic.Int32
	var group sync.WaitGroup
	n := 0
	for first, text := range received {
		at := n
		n++
		group.Go(func() {
			stays := !streamedVersions(s.Engines, first)[c.versions[0]]
			goesOn := resumeStream(gateways, at, first, text)
			if stays {
				stay.Add(1)
				goOn.Add(int32(one(goesOn)))
			}
			if versions := streamedVersions(s.Engines, first, "again-"+first+"-0", "again-"+first+"-1"); len(versions) > 1 {
				t.Errorf("%s joins versions %v", first, versions)
			}
		})
	}
	group.Wait()
	t.Logf("%d streams, %d of versions that stay, %d of them go on", len(received), stay.Load(), goOn.Load())
	if len(received) < resumeStreams/2 || stay.Load() == 0 {
		t.Fatalf("%d streams begun, %d of versions that stay", len(received), stay.Load())
	}
	// A listing that was restored determines nothing for a while.
	if !c.restored && float64(goOn.Load()) < minResumedShare*float64(stay.Load()) {
		t.Errorf("%d of %d streams of versions that stay go on", goOn.Load(), stay.Load())
	}
}

// Separate processes. Guards against streams whose text is joined from two versions, because all gateways are killed
// while the engines of one version leave, or because the store comes back from an older copy.
func TestStreamsAreNotRejoinedAfterAllGatewaysWereKilled(t *testing.T) {
	two, three := []string{"v1", "v2"}, []string{"v1", "v2", "v3"}
	for _, c := range []rejoinedCase{
		{"drain", "before", two, false},
		{"leave", "before", three, false},
		{"crash", "before", two, true},
		{"drain", "during", three, true},
		{"leave", "during", two, true},
		{"crash", "during", three, false},
		{"drain", "after", two, false},
		{"leave", "after", three, true},
		{"crash", "after", two, false},
	} {
		t.Run(c.String(), c.run)
	}
}
