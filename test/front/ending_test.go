package front

import (
	"fmt"
	"net"
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

// Clients close their sending side while their requests run, or while their streams arrive. Guards
// against a response that is complete although no worker completed it.
func TestHalfClosedClientsGetNoEmptySuccess(t *testing.T) {
	const (
		events = 12
		delay  = 60 * time.Millisecond
	)
	s := newSite(t, site.Config{PrefillEngines: 2, DecodeEngines: 2, PlainWorkers: 2, Events: events, EventDelay: delay})
	p := newGateway(t, s, "front-1")
	for _, kind := range soakKinds {
		for _, after := range []time.Duration{0, delay / 2, 4 * delay} {
			id := fmt.Sprint("half-", kind, "-", after)
			want := fleet.ResponseBody(id)
			if kind == "long" || kind == "chat" {
				want = streamBody(id, events)
			}
			if got := halfClose(t, p.clientAddr, kind, id, after); got.err == nil && (got.status != http.StatusOK || got.body != want) {
				t.Errorf("%s: status %d, %d of %d bytes, complete", id, got.status, len(got.body), len(want))
			}
		}
	}
}

// halfClose sends a request, closes the sending side some time later and reads the response.
func halfClose(t *testing.T, address, kind, id string, after time.Duration) response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	r, err := http.NewRequest(http.MethodPost, "http://"+site.Host+soakPaths[kind]+id, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range (&soakRequest{id: id, kind: kind}).headers() {
		r.Header.Set(name, value)
	}
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Key", northKey)
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	sleep(after)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		return response{err: err}
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	return readResponse(c)
}
