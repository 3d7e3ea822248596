package front

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// Guards against responses without a length or chunks that look complete although their worker broke them off, that
// aren't resumed where their route allows it, or that count as broken off although they are whole.
func TestResponsesEndedByTheirConnection(t *testing.T) {
	for _, fault := range []fleet.Fault{fleet.FaultUnframed, fleet.FaultUnframedCut, fleet.FaultUnframedReset} {
		for _, kind := range soakKinds {
			t.Run(fmt.Sprint(fault, "-", kind), func(t *testing.T) { requireHonestEnds(t, fault, kind) })
		}
	}
}

// requireHonestEnds sends requests of a kind to a site where one worker that runs it ends its responses so.
func requireHonestEnds(t *testing.T, fault fleet.Fault, kind string) {
	const events = 12
	s := newSite(t, site.Config{PrefillEngines: 2, DecodeEngines: 2, PlainWorkers: 2, Events: events, EventDelay: 3 * time.Millisecond})
	p := newGateway(t, s, "front-1")
	faulty := s.Engines[2]
	if kind == "look" || kind == "post" {
		faulty = s.PlainWorkers[0]
	}
	faulty.SetFault(fault)
	mayRepeat, seen := kind == "long" || kind == "look", 0
	for i := 0; i < 40 && seen < 4; i++ {
		// Distinct paths keep the gateway from quarantining all requests.
		r := &soakRequest{id: fmt.Sprint(kind, "-", fault, "-", i), kind: kind}
		want := fleet.ResponseBody(r.id)
		if kind == "long" || kind == "chat" {
			want = streamBody(r.id, events)
		}
		got := p.do(t.Context(), http.MethodPost, soakPaths[kind]+r.id, r.id, r.headers())
		ran := faulty.Runs()[r.id]
		seen += ran
		if ran == 0 || mayRepeat || fault == fleet.FaultUnframed {
			requireComplete(t, got, want)
		} else if got.err == nil && got.status == http.StatusOK {
			t.Errorf("%s: complete with %d of %d bytes", r.id, len(got.body), len(want))
		}
	}
	if seen == 0 {
		t.Error("no response came from the faulty worker")
	}
}
