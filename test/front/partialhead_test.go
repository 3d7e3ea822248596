package front

import (
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/fleet"
	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// partialHeadFaults are the ways in which the head of a response stops.
var partialHeadFaults = []fleet.Fault{fleet.FaultPartialHead, fleet.FaultStalledHead, fleet.FaultUnsigned}

// partialHeadPeriod is how long clients send requests while the heads of some workers stop.
const partialHeadPeriod = 1500 * time.Millisecond

// Guards against an empty or short success of a response that stopped within its head, against a refusal of a request that has run,
// and against requests that wait at such workers although they may run elsewhere.
func TestPartialHeadsAreNoResponses(t *testing.T) {
	for _, fault := range partialHeadFaults {
		t.Run(string(fault), func(t *testing.T) {
			s := newSite(t, site.Config{PrefillEngines: 3, DecodeEngines: 4, PlainWorkers: 3, Events: soakEvents, EventDelay: 3 * time.Millisecond, MinRetries: 1000})
			p := newGateway(t, s, "front-1")
			sendBesidePartialHeads(t, s, p, fault, s.Engines[0], s.Engines[3], s.PlainWorkers[0])
		})
	}
}

// Guards against the same where a peer gateway relays the responses.
func TestPartialHeadsAreNoResponsesOfPeers(t *testing.T) {
	for _, fault := range []fleet.Fault{fleet.FaultPartialHead, fleet.FaultUnsigned} {
		t.Run(string(fault), func(t *testing.T) { requirePartialHeadsOfPeers(t, fault) })
	}
}

// Guards against a stream that is handed off to a peer whose worker is silent, and that is then sent to the same worker again.
func TestStalledHeadsOfPeersWorkers(t *testing.T) {
	requirePartialHeadsOfPeers(t, fleet.FaultStalledHead)
}

// requirePartialHeadsOfPeers sends requests to a gateway that hands them off to a peer, beside a worker with this fault.
func requirePartialHeadsOfPeers(t *testing.T, fault fleet.Fault) {
	t.Helper()
	s, low, high := newHandoffPair(t, soakEvents, 3*time.Millisecond)
	count := 0
	for _, r := range sendBesidePartialHeads(t, s, low, fault, s.Engines[4]) {
		if handedOff(high, r.id) {
			count++
		}
	}
	if count == 0 {
		t.Error("no request was handed off")
	}
}

// sendBesidePartialHeads sends requests to a gateway some of whose workers have this fault, and returns them.
func sendBesidePartialHeads(t *testing.T, s *site.Site, p *process, fault fleet.Fault, faulty ...*fleet.Worker) []*soakRequest {
	t.Helper()
	for _, w := range faulty {
		w.SetFault(fault)
	}
	requests := sendDuring(p, partialHeadPeriod)
	for _, w := range faulty {
		w.SetFault(fleet.FaultNone)
	}
	requireAnswers(t, s, requests, fault)
	for _, w := range faulty {
		if w.PartialHeads() == 0 {
			t.Errorf("no response of %s stopped within its head", w.Stage())
		}
	}
	return requests
}
