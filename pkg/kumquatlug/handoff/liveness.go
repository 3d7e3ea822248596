package handoff

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Parameters of the detection of a peer that stops while it serves handed-off requests. Its
// kernel keeps the connections of a frozen process open, so that only missing answers show
// it.
const (
	// probeAfter is how long a peer with transfers may send nothing until it is probed,
	// and the time between probes.
	probeAfter = 200 * kumquatlug.Millis(1)
	// silentAfter is how long a peer may send nothing until its transfers are given up,
	// after minProbes probes without an answer. A gateway with a tenth of a core can be
	// suspended by its quota for some hundred ms. minProbes covers lost datagrams, and a
	// suspension of the probing gateway itself.
	silentAfter = 1 * kumquatlug.Second
	minProbes   = 3
)

// liveness tracks whether a peer with transfers is running.
type liveness struct {
	// transfers is the number of requests in flight at the peer.
	transfers int
	// heardAt is when something last came from the peer, probedAt when it was last
	// probed, probes counts the probes since heardAt.
	heardAt, probedAt kumquatlug.Millis
	probes            int
}

// Begin records that the transfer of a request begins after its offer was accepted.
func (s *Sender) Begin(now kumquatlug.Millis, o Offer) {
	p := s.peers[o.peer]
	if p == nil {
		return
	}
	p.transfers++
	p.sentSinceLoad++
	p.heard(now)
}

// End records the end of a transfer: ResultAccepted if the peer served or refused the
// request, ResultDeclined if it did not take it.
func (s *Sender) End(now kumquatlug.Millis, o Offer, r Result) Event {
	p := s.peers[o.peer]
	if p == nil {
		return EventNone
	}
	p.transfers--
	if r == ResultAccepted {
		return EventNone
	}
	p.leftOutFor = max(p.leftOutFor, p.transferBackoff)
	event := p.record(now, o, r)
	p.transferBackoff = p.leftOutFor
	return event
}

// Responded records that the response to a transfer has begun.
func (s *Sender) Responded(now kumquatlug.Millis, o Offer) {
	if p := s.peers[o.peer]; p != nil {
		p.transferBackoff = 0
		p.heard(now)
	}
}

// Heard records that something came from a peer.
func (s *Sender) Heard(now kumquatlug.Millis, name string) {
	if p := s.peers[name]; p != nil {
		p.heard(now)
	}
}

func (l *liveness) heard(now kumquatlug.Millis) {
	l.heardAt = max(l.heardAt, now)
	l.probes = 0
}

// Probe returns the peers to probe now, and those that have stopped, whose transfers are
// to be given up. Call it at least once in probeAfter.
func (s *Sender) Probe(now kumquatlug.Millis) (probe, stopped []string) {
	for name, p := range s.peers {
		if p.transfers == 0 || now-p.heardAt < probeAfter {
			continue
		}
		if now-p.heardAt >= silentAfter && p.probes >= minProbes {
			stopped = append(stopped, name)
		}
		if p.probes == 0 || now-p.probedAt >= probeAfter {
			p.probes++
			p.probedAt = now
			probe = append(probe, name)
		}
	}
	return probe, stopped
}
