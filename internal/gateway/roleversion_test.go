package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/platform"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/placement"
)

// versionsWithoutDecode are engines of which the only one of version v1 prefills.
func versionsWithoutDecode() []kumquatlug.Member {
	return []kumquatlug.Member{
		versionMember("p1", kumquatlug.RolePrefill, "v1"), versionMember("p2", kumquatlug.RolePrefill, "v2"),
		versionMember("d1", kumquatlug.RoleDecode, "v2"), versionMember("d2", kumquatlug.RoleDecode, "v2"),
	}
}

// Guards against streams of a version that can't go on for the time in which a split may differ from the wanted one, and
// against a change of roles for an engine that does not respond for a moment.
func TestVersionWithoutDecodeEngineGetsOneAtOnce(t *testing.T) {
	v := newTestController(t)
	v.g.c.PrefillShare = 0.5
	members := versionsWithoutDecode()
	engines, workers := v.engines(1000, members, nil)
	p := v.planChanges(1000, "engines", engines, workers, 0, nil)
	if !p.ordered || len(p.changes) != 1 || p.changes[0].Target() != "p1" || p.changes[0].To() != kumquatlug.RoleDecode {
		t.Errorf("%+v, want an order to p1 alone", p)
	}
	v = newTestController(t)
	v.g.c.PrefillShare = 0.5
	members = append(members, versionMember("d3", kumquatlug.RoleDecode, "v1"))
	unresponsive := map[string]placement.Activity{"d3": placement.ActivityUnresponsive}
	for _, c := range []struct {
		at      kumquatlug.Millis
		ordered bool
	}{{1000, false}, {1000 + minMismatch - 1, false}, {1000 + minMismatch, true}} {
		engines, workers = v.engines(c.at, members, unresponsive)
		p = v.planChanges(c.at, "engines", engines, workers, 0, unresponsiveVersions(members, unresponsive))
		if p.ordered != c.ordered {
			t.Errorf("after %d ms without response: ordered %v, want %v", c.at-1000, p.ordered, c.ordered)
		}
	}
}

// The store can't be written. Guards against a version that is left without a decode engine until it can be.
func TestVersionWithoutDecodeEngineDoesNotWaitForPlan(t *testing.T) {
	var orders atomic.Int32
	w := &fakeWorkers{
		state: func() (kumquatlug.EngineState, error) {
			return kumquatlug.EngineState{Role: kumquatlug.RolePrefill}, nil
		},
		order: func() (bool, error) { orders.Add(1); return true, nil },
	}
	f := newTestGateway(t, w, manyRetries)
	f.setEngines(versionsWithoutDecode()...)
	store := &planRecorder{Memory: platform.NewMemory(), plans: make(chan string, 64)}
	store.failPlans.Store(true)
	f.g.c.Table, f.g.c.PrefillShare = store, 0.5
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.g.runController(ctx)
	for end := time.Now().Add(8 * time.Second); orders.Load() == 0; {
		if time.Now().After(end) {
			t.Fatal("no order while the plan could not be published")
		}
		<-time.After(10 * time.Millisecond)
	}
}
