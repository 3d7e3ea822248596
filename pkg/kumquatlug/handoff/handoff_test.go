package handoff

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func prompt(i int) Request {
	shared := []kumquatlug.Part{kumquatlug.NewPart("system", 2520), kumquatlug.NewPart(fmt.Sprint("chain-", i), 3780)}
	return Request{Engine: true, ID: fmt.Sprint("r-", i), Shared: shared, BodyBytes: 9200}
}

// siteT returns the six high-bandwidth gateways of a data centre and others that must get
// nothing: low-bandwidth ones, one of another data centre and one that is not fast enough.
func siteT() []kumquatlug.HandoffPeer {
	all := []kumquatlug.HandoffPeer{
		{Name: "low", Zone: "a", LinkBytesPerMs: 1250}, {Name: "middle", Zone: "a", LinkBytesPerMs: 3125}, {Name: "far", Zone: "b", LinkBytesPerMs: 25_000},
	}
	for i := range 6 {
		all = append(all, kumquatlug.HandoffPeer{Name: fmt.Sprint("high-", i), Zone: "a", LinkBytesPerMs: 25_000})
	}
	return all
}

func newSender(linkBytesPerMs float64) *Sender {
	s := NewSender(Config{Zone: "a", LinkBytesPerMs: linkBytesPerMs}, 0)
	s.SetPeers(siteT(), nil)
	return s
}

// A gateway whose rate is unknown or high, and one without a peer of four times its rate, must
// serve as before. Plain requests always stay.
func TestInactiveWithoutLowBandwidthLink(t *testing.T) {
	for _, rate := range []float64{0, 5000, 25_000} {
		if _, found := newSender(rate).Offer(0, prompt(1), nil); found {
			t.Errorf("rate %v: request offered", rate)
		}
	}
	s := newSender(1250)
	plain := prompt(1)
	plain.Engine = false
	if _, found := s.Offer(0, plain, nil); found {
		t.Error("plain request offered")
	}
	s.SetPeers(siteT()[:3], nil)
	if o, found := s.Offer(0, prompt(1), nil); found {
		t.Errorf("offered to %s", o.Peer())
	}
}

// Replays the load of site T: 17 gateways send 17 prompts per second each to six peers, of which
// one has a backlog. Requests with one prefix must reach the same two peers, all six must share
// the load, and the busy one must get less than its share.
func TestLoadIsSharedByPrefix(t *testing.T) {
	senders := make([]*Sender, 17)
	for i := range senders {
		senders[i] = newSender(1250)
	}
	random := rand.New(rand.NewPCG(1, 2))
	byChain, byPeer, inFlight := map[int]map[string]bool{}, map[string]int{}, map[string]int{}
	const requests, concurrent = 17 * 17 * 20, 100
	var running []string
	for i := range requests {
		chain, s := random.IntN(400), senders[i%len(senders)]
		now := kumquatlug.Millis(i * 1000 / (17 * 17))
		o, found := s.Offer(now, prompt(chain), nil)
		if !found {
			t.Fatal("no peer")
		}
		s.Answered(now, o, ResultAccepted)
		s.Begin(now, o)
		inFlight[o.Peer()]++
		if running = append(running, o.Peer()); len(running) > concurrent {
			inFlight[running[0]]--
			running = running[1:]
		}
		load := kumquatlug.GatewayLoad{LinkBytesPerMs: 25_000, InFlight: inFlight[o.Peer()]}
		if o.Peer() == "high-0" {
			load.LinkBacklog = 15
		}
		s.LoadReceived(o.Peer(), load)
		s.End(now, o, ResultAccepted)
		if byChain[chain] == nil {
			byChain[chain] = map[string]bool{}
		}
		byChain[chain][o.Peer()] = true
		byPeer[o.Peer()]++
	}
	for chain, peers := range byChain {
		if len(peers) > candidatesPerKey {
			t.Errorf("chain %d reached %v", chain, peers)
		}
	}
	if len(byPeer) != 6 || byPeer["high-0"] > requests/8 {
		t.Errorf("requests by peer %v", byPeer)
	}
	for name, n := range byPeer {
		if name != "high-0" && (n < requests/9 || n > requests/4) {
			t.Errorf("%s got %d of %d requests", name, n, requests)
		}
	}
}

// A frozen peer costs two offers at most, however many requests are waiting, is left out for
// 200 ms, doubling up to 16 s, and is probed by one request at a time.
func TestUnresponsivePeerBacksOff(t *testing.T) {
	s := newSender(1250)
	s.SetPeers([]kumquatlug.HandoffPeer{{Name: "high-0", Zone: "a"}}, nil)
	offers, now := 0, kumquatlug.Millis(0)
	var events []Event
	for ; now < 60_000; now += 10 {
		var open []Offer
		for i := range 3 {
			if o, found := s.Offer(now, prompt(i), nil); found {
				open = append(open, o)
			}
		}
		for _, o := range open {
			offers++
			if e := s.Answered(now+AnswerTimeout(0), o, ResultUnanswered); e != EventNone {
				events = append(events, e)
			}
		}
	}
	// Three at the start, then one after 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 16 and 16 s.
	if offers != 3+9 || len(events) != 1 || events[0] != EventStopped {
		t.Errorf("%d offers, events %v", offers, events)
	}
	now += maxBackoff
	o, found := s.Offer(now, prompt(1), nil)
	if !found || s.Answered(now+1, o, ResultAccepted) != EventResumed {
		t.Error("the peer was not found responsive")
	}
	if _, found := s.Offer(now+2, prompt(1), nil); !found {
		t.Error("a responsive peer gets no offers")
	}
}

// A peer accepts offers, but connections to it time out after 800 ms, as when only datagrams pass.
// Each transfer delays its request beyond its latency target: the peer must be left out for longer
// and longer, and must get requests again once it responds to one.
func TestPeerWithFailingTransfersBacksOff(t *testing.T) {
	s := newSender(1250)
	s.SetPeers([]kumquatlug.HandoffPeer{{Name: "high-0", Zone: "a"}}, nil)
	failAt := map[kumquatlug.Millis][]Offer{}
	transfers, now := 0, kumquatlug.Millis(0)
	for ; now < 60_000; now += 20 {
		for _, o := range failAt[now] {
			s.End(now, o, ResultBroken)
		}
		if o, found := s.Offer(now, prompt(1), nil); found {
			transfers++
			s.Answered(now, o, ResultAccepted)
			s.Begin(now, o)
			failAt[now+800] = append(failAt[now+800], o)
		}
	}
	// 40 until the first one fails, then one at a time after each back-off.
	if transfers < 40+5 || transfers > 40+12 {
		t.Errorf("%d transfers", transfers)
	}
	now += 2 * maxBackoff
	o, found := s.Offer(now, prompt(1), nil)
	if !found {
		t.Fatal("the peer is not probed")
	}
	s.Answered(now, o, ResultAccepted)
	s.Begin(now, o)
	if _, found := s.Offer(now+10, prompt(1), nil); found {
		t.Error("a second transfer beside the probe")
	}
	s.Responded(now+20, o)
	if _, found := s.Offer(now+30, prompt(1), nil); !found {
		t.Error("a peer that responds gets no offers")
	}
}

// A peer with transfers restarts with a slower link or without a port for handoff. It must get no
// more offers, however long its transfers last.
func TestWithdrawnPeerGetsNoOffers(t *testing.T) {
	s := newSender(1250)
	s.SetPeers([]kumquatlug.HandoffPeer{{Name: "high-0", Zone: "a"}}, nil)
	o, found := s.Offer(0, prompt(1), nil)
	if !found {
		t.Fatal("no offer")
	}
	s.Answered(1, o, ResultAccepted)
	s.Begin(1, o)
	s.SetPeers(nil, nil)
	if _, found := s.Offer(2, prompt(2), nil); found {
		t.Error("offered to a peer without a port for handoff")
	}
	s.SetPeers([]kumquatlug.HandoffPeer{{Name: "high-0", Zone: "a"}}, nil)
	if _, found := s.Offer(3, prompt(2), nil); !found {
		t.Error("not offered to a peer that allows handoff again")
	}
}

// A request is offered at most twice, to different peers, and only once if sending it a second
// time costs less than waiting for another answer. A peer that announced its shutdown gets none.
func TestOffersAreBounded(t *testing.T) {
	for _, c := range []struct {
		bytes   int
		backlog float64
		offers  int
	}{{9200, 0, 2}, {220, 0, 1}, {220, 3, 2}} {
		s, r := newSender(1250), prompt(1)
		r.BodyBytes, r.LinkBacklog = c.bytes, c.backlog
		var previous []Offer
		for o, found := s.Offer(0, r, nil); found; o, found = s.Offer(0, r, previous) {
			s.Answered(1, o, ResultDeclined)
			previous = append(previous, o)
		}
		if len(previous) != c.offers || c.offers == 2 && previous[0].Peer() == previous[1].Peer() {
			t.Errorf("%+v: %+v", c, previous)
		}
	}
	s := newSender(1250)
	o, _ := s.Offer(0, prompt(1), nil)
	s.Answered(1, o, ResultAccepted)
	s.PeerLeft(o.Peer())
	if next, _ := s.Offer(2, prompt(1), nil); next.Peer() == o.Peer() {
		t.Error("offered to a peer that is stopping")
	}
	s.SetPeers(siteT(), []string{o.Peer()})
	if next, _ := s.Offer(3, prompt(1), nil); next.Peer() != o.Peer() {
		t.Error("a restarted peer gets no offers")
	}
}

// A peer freezes with requests in flight: it is probed, and given up after 1 s. A peer that
// answers probes, and one whose prober was itself suspended, is kept.
func TestStoppedPeerIsDetected(t *testing.T) {
	for _, c := range []struct {
		answers   bool
		suspended kumquatlug.Millis
		stopped   bool
	}{{false, 0, true}, {true, 0, false}, {true, 5000, false}} {
		s := newSender(1250)
		o, _ := s.Offer(0, prompt(1), nil)
		s.Answered(1, o, ResultAccepted)
		s.Begin(1, o)
		stoppedAt := kumquatlug.Millis(0)
		for now := c.suspended + 100; now < c.suspended+3000 && stoppedAt == 0; now += 100 {
			probe, stopped := s.Probe(now)
			if len(stopped) > 0 {
				stoppedAt = now
			}
			if len(probe) > 0 && c.answers {
				s.Heard(now+1, o.Peer())
			}
		}
		if c.stopped != (stoppedAt != 0) || stoppedAt > silentAfter+200 {
			t.Errorf("%+v: given up at %d", c, stoppedAt)
		}
		s.End(9000, o, ResultBroken)
		if probe, _ := s.Probe(20_000); len(probe) != 0 {
			t.Error("a peer without requests is probed")
		}
	}
}

// A peer that is not ready or short of memory or bandwidth declines. Accepted requests that have
// not arrived count as memory, so that many gateways can't overcommit it at once, and an offer
// admits one request within its lifetime.
func TestReceiverBoundsMemoryAndRuns(t *testing.T) {
	state := State{Ready: true, BodyBytes: 50, MaxBodyBytes: 100}
	r := NewReceiver()
	for i, c := range []struct {
		bytes    int
		change   func(*State)
		accepted bool
	}{
		{10, nil, true},
		{10, nil, true},
		{10, nil, false},
		{5, func(s *State) { s.Ready = false }, false},
		{5, func(s *State) { s.LinkBacklog = 21 }, false},
		{-5, nil, false},
		{5, nil, true},
	} {
		s := state
		if c.change != nil {
			c.change(&s)
		}
		if got := r.Accept(0, "a", uint64(i+1), c.bytes, s); got != c.accepted {
			t.Errorf("offer %d: accepted %v", i+1, got)
		}
	}
	if !r.Accept(0, "a", 0, 0, state) || r.Take(0, "a", 0) {
		t.Error("a probe must be answered and admit nothing")
	}
	if !r.Take(1, "a", 1) || r.Take(2, "a", 1) || r.Take(2, "b", 2) || r.Take(2, "a", 3) {
		t.Error("an offer admits one request of its sender")
	}
	if !r.Accept(3, "a", 1, 10, state) || r.Take(4, "a", 1) {
		t.Error("a duplicate offer admits a second request")
	}
	if !r.Accept(reservationTime, "a", 20, 25, state) {
		t.Error("memory is reserved for too long")
	}
	if r.Take(offerLifetime, "a", 2) {
		t.Error("an expired offer admits a request")
	}
}
