// Package handoff decides which requests a gateway with a low-bandwidth link hands off to a
// peer gateway with a higher-bandwidth one, to which peer, and which offers a gateway
// accepts.
//
// It addresses the load of a site where 17 of 29 gateways have 1,250 bytes per ms and
// receive up to twice the mean of 17 prompts per second with bodies of 9,200 bytes. A
// prompt that is prefilled on one engine and decoded on another leaves the gateway twice;
// handed off, it leaves once. The load balancer chooses a gateway by a hash of the client,
// so that asking a client to reconnect would not move it.
//
// A [Sender] holds the state of the gateway that hands requests off, a [Receiver] that of
// its peer. Neither is safe for concurrent use.
package handoff

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/rendezvous"
)

// Parameters of the decision.
const (
	// typicalBodyBytes is the size of a typical body.
	typicalBodyBytes = 10_000
	// minLinkRatio is how many times the bandwidth of the own link a peer must have.
	minLinkRatio = 4
	// minTransmissionCost is the cost in ms of a second transmission above which a
	// request is offered to a second peer. For a cheaper one, the wait for a second
	// answer costs more than the transmission.
	minTransmissionCost = 2.0
	maxOffers           = 2
	// candidatesPerKey is the number of peers between which the load decides. Two are
	// enough to avoid an overloaded one, and keep requests with one prefix together.
	candidatesPerKey = 2
	// minBackoff is how long a peer is left out after a failure; it doubles up to
	// maxBackoff with each further one. A single lost datagram must not send the requests
	// of a second over the own link.
	minBackoff = 200 * kumquatlug.Millis(1)
	maxBackoff = 16 * kumquatlug.Second
	// answerTimeout is how long a gateway waits for the answer to an offer. A round trip
	// within a data centre takes less than 1 ms, but offers and answers queue on a
	// low-bandwidth link behind bodies, of which an average one takes 7 ms and a large one 44 ms.
	answerTimeout = 25 * kumquatlug.Millis(1)
	// maxBacklogWait bounds the backlog of the own link by which the wait is extended.
	maxBacklogWait = 50.0
)

// AnswerTimeout returns how long a gateway waits for the answer to an offer when its own link
// has a backlog, in ms.
func AnswerTimeout(linkBacklog float64) kumquatlug.Millis {
	return answerTimeout + kumquatlug.Millis(min(linkBacklog, maxBacklogWait))
}

// Config configures a [Sender].
type Config struct {
	// Zone is the gateway's data centre, LinkBytesPerMs the rate of its link, zero if
	// unknown.
	Zone           string
	LinkBytesPerMs float64
}

// Request describes a request that may be handed off.
type Request struct {
	// Engine says that the request is for an engine.
	Engine bool
	// ID is the id of the request, Shared are the parts of its prompt that other
	// requests have in common with it.
	ID     string
	Shared []kumquatlug.Part
	// BodyBytes is the length of its body, LinkBacklog the backlog of the own link in ms.
	BodyBytes   int
	LinkBacklog float64
}

// Offer is an offer of a request to a peer.
type Offer struct {
	peer   string
	key    uint64
	sentAt kumquatlug.Millis
}

// Peer returns the name of the peer, Key the key of the offer.
func (o Offer) Peer() string { return o.peer }

// Key returns the key of the offer, never zero.
func (o Offer) Key() uint64 { return o.key }

// SentAt returns when the offer was made.
func (o Offer) SentAt() kumquatlug.Millis { return o.sentAt }

// Result is what became of an offer or of a transfer.
type Result string

// The results.
const (
	// ResultAccepted: the peer accepted the offer.
	ResultAccepted Result = "accepted"
	// ResultDeclined: the peer declined the offer, or did not take the transferred
	// request.
	ResultDeclined Result = "declined"
	// ResultUnanswered: the peer did not answer the offer.
	ResultUnanswered Result = "unanswered"
	// ResultBroken: the connection could not be made or broke off.
	ResultBroken Result = "broken"
)

// Event is a change in the reachability of a peer.
type Event string

// The events; EventNone means that nothing changed.
const (
	EventNone    Event = ""
	EventStopped Event = "handoff peer unresponsive"
	EventResumed Event = "handoff peer responsive"
)

// peer is the state of one peer.
type peer struct {
	hash           uint64
	linkBytesPerMs float64
	load           kumquatlug.GatewayLoad
	// sentSinceLoad counts the requests transferred since the load was reported.
	sentSinceLoad int
	// failures counts the failures in a row, failedAt is the time of the last one.
	failures             int
	failedAt, leftOutFor kumquatlug.Millis
	// transferBackoff is how long it was left out after its last transfer failed, zero since
	// the response to one. acceptedAt is when it last accepted an offer.
	transferBackoff, acceptedAt kumquatlug.Millis
	// offering is the number of offers that await their answer.
	offering int
	// withdrawn says that its row no longer allows handoff; it is kept while it has transfers.
	withdrawn bool
	// stopping says that the peer has announced its shutdown, unresponsive that it has
	// stopped answering.
	stopping, unresponsive bool
	liveness
}

// Sender decides which requests are handed off and to whom.
type Sender struct {
	config  Config
	peers   map[string]*peer
	lastKey uint64
}

// NewSender returns a sender without peers. Keys of offers count up from firstKey.
func NewSender(c Config, firstKey uint64) *Sender {
	return &Sender{config: c, peers: map[string]*peer{}, lastKey: firstKey}
}

// Active reports whether the own link is a low-bandwidth one.
func (s *Sender) Active() bool {
	return kumquatlug.LowBandwidth(s.config.LinkBytesPerMs)
}

// SetPeers sets the gateways that accept handed-off requests, and which of them have
// restarted since the last call.
func (s *Sender) SetPeers(all []kumquatlug.HandoffPeer, restarted []string) {
	suitable := map[string]bool{}
	for _, p := range all {
		unlimited := p.LinkBytesPerMs == 0
		if p.Zone != s.config.Zone || !unlimited && p.LinkBytesPerMs < minLinkRatio*s.config.LinkBytesPerMs || !s.Active() {
			continue
		}
		suitable[p.Name] = true
		if s.peers[p.Name] == nil {
			s.peers[p.Name] = &peer{hash: xxhash.Sum64String(p.Name)}
		}
		s.peers[p.Name].linkBytesPerMs, s.peers[p.Name].withdrawn = p.LinkBytesPerMs, false
	}
	for _, name := range restarted {
		s.PeerJoined(name)
	}
	for name, p := range s.peers {
		if suitable[name] {
			continue
		}
		p.withdrawn = true
		if p.transfers == 0 && p.offering == 0 {
			delete(s.peers, name)
		}
	}
}

// PeerJoined handles the announcement of a gateway.
func (s *Sender) PeerJoined(name string) {
	if p := s.peers[name]; p != nil {
		p.stopping, p.failures, p.leftOutFor, p.transferBackoff = false, 0, 0, 0
	}
}

// PeerLeft handles the notice of a gateway that it is shutting down.
func (s *Sender) PeerLeft(name string) {
	if p := s.peers[name]; p != nil {
		p.stopping = true
	}
}

// LoadReceived handles the load of a gateway.
func (s *Sender) LoadReceived(name string, load kumquatlug.GatewayLoad) {
	if p := s.peers[name]; p != nil {
		p.load, p.sentSinceLoad = load, 0
	}
}

// Offer selects the peer to which a request is offered next, after those that have not
// accepted it. It returns false if the gateway serves the request itself.
func (s *Sender) Offer(now kumquatlug.Millis, r Request, previous []Offer) (Offer, bool) {
	if !s.Active() || !r.Engine || len(previous) >= s.maxOffers(r) {
		return Offer{}, false
	}
	key := routingKey(r)
	var candidates []string
	for name, p := range s.peers {
		tried := slices.ContainsFunc(previous, func(o Offer) bool { return o.peer == name })
		if !tried && p.available(now) {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		return Offer{}, false
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Mix(key^s.peers[b].hash), rendezvous.Mix(key^s.peers[a].hash)), cmp.Compare(a, b))
	})
	candidates = candidates[:min(len(candidates), candidatesPerKey)]
	name := slices.MinFunc(candidates, func(a, b string) int { return s.peers[a].compareLoad(s.peers[b]) })
	s.lastKey = max(s.lastKey+1, 1)
	s.peers[name].offering++
	return Offer{peer: name, key: s.lastKey, sentAt: now}, true
}

func (s *Sender) maxOffers(r Request) int {
	if r.LinkBacklog+float64(r.BodyBytes)/s.config.LinkBytesPerMs > minTransmissionCost {
		return maxOffers
	}
	return 1
}

// routingKey returns the key by which the peers of a request are selected: requests with
// one prefix reach the same peers, which then know where it is cached.
func routingKey(r Request) uint64 {
	if len(r.Shared) == 0 {
		return xxhash.Sum64String(r.ID)
	}
	d := xxhash.New()
	for _, part := range r.Shared {
		// Writing to a digest does not fail.
		_, _ = d.WriteString(part.ID() + "\x00")
	}
	return d.Sum64()
}

// available reports whether offers may be sent to a peer. After a failure one offer at a
// time is a probe: several would all wait in vain. A peer may accept offers whose transfers
// fail, as when only datagrams reach it: then one transfer at a time is a probe.
func (p *peer) available(now kumquatlug.Millis) bool {
	if p.stopping || p.withdrawn || p.failures > 0 && now < p.failedAt+p.leftOutFor {
		return false
	}
	if p.transferBackoff > 0 && now < p.acceptedAt+p.transferBackoff {
		return false
	}
	return p.failures == 0 && p.transferBackoff == 0 || p.offering == 0
}

// compareLoad orders peers by the time that their links are busy with what they have, and
// then by their requests in flight.
func (p *peer) compareLoad(other *peer) int {
	return cmp.Or(cmp.Compare(p.busyMs(), other.busyMs()), cmp.Compare(p.inFlight(), other.inFlight()))
}

func (p *peer) inFlight() int { return p.load.InFlight + p.sentSinceLoad }

func (p *peer) busyMs() float64 {
	if p.linkBytesPerMs == 0 {
		return p.load.LinkBacklog
	}
	return p.load.LinkBacklog + float64(p.inFlight())*typicalBodyBytes/p.linkBytesPerMs
}

// Answered records the result of an offer. The caller begins the transfer with Begin
// after an acceptance.
func (s *Sender) Answered(now kumquatlug.Millis, o Offer, r Result) Event {
	p := s.peers[o.peer]
	if p == nil {
		return EventNone
	}
	p.offering--
	if r == ResultAccepted {
		p.acceptedAt = now
	}
	return p.record(now, o, r)
}

// record records the result of an offer or its transfer.
func (p *peer) record(now kumquatlug.Millis, o Offer, r Result) Event {
	if r == ResultAccepted {
		p.failures, p.leftOutFor = 0, 0
	} else if p.failures == 0 || o.sentAt >= p.failedAt {
		// Offers in flight together fail together and count as one failure.
		p.leftOutFor = min(max(2*p.leftOutFor, minBackoff), maxBackoff)
		p.failures++
		p.failedAt = now
	}
	unresponsive := r == ResultUnanswered || r == ResultBroken
	switch {
	case unresponsive && !p.unresponsive:
		p.unresponsive = true
		return EventStopped
	case !unresponsive && p.unresponsive && o.sentAt >= p.failedAt:
		p.unresponsive = false
		return EventResumed
	}
	return EventNone
}
