package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/handoff"
)

// Parameters of handing requests off.
const (
	// handoffProbeInterval is how often it is checked whether peers with handed-off
	// requests still run.
	handoffProbeInterval = 100 * kumquatlug.Millis(1)
	// handoffDeadlineSlack is how long after the deadline a peer's final response is
	// awaited: the peer enforces the same deadline and knows better whether the request
	// ran.
	handoffDeadlineSlack = 30 * kumquatlug.Millis(1)
	// maxFirstKey bounds the random first key of the offers; short keys make short
	// datagrams.
	maxFirstKey = 1 << 31
)

// handoffs is the state of requests handed off to and by peer gateways.
type handoffs struct {
	metrics *handoffMetrics
	// active is set if the own link is a low-bandwidth one.
	active bool

	mu       sync.Mutex
	sender   *handoff.Sender
	receiver *handoff.Receiver
	// addresses are the addresses for handed-off requests, by gateway.
	addresses map[string]string
	// answers are the channels of the offers that await an answer, by key.
	answers map[uint64]chan kumquatlug.HandoffStep
	// transfers are the requests in flight at peers.
	transfers map[*peerTransfer]struct{}
}

// peerTransfer is a request that is handed off to a peer.
type peerTransfer struct {
	offer handoff.Offer
	// open is set if this gateway may serve the request itself while the peer has it.
	open *openAttempt
	// call is the context of the transfer, end records its end once.
	call context.Context
	end  func()
	// result is what became of the transfer.
	result handoff.Result
	// silent is set while the peer has stopped.
	silent atomic.Bool
}

// suspect starts a takeover of the transfer if this gateway may serve the request itself.
func (t *peerTransfer) suspect() {
	if t.open != nil {
		t.open.suspect()
	}
}

func newHandoffs(c Config) *handoffs {
	h := &handoffs{
		metrics:  newHandoffMetrics(c.Registry),
		sender:   handoff.NewSender(handoff.Config{Zone: c.Zone, LinkBytesPerMs: c.LinkBytesPerMs}, rand.Uint64N(maxFirstKey)),
		receiver: handoff.NewReceiver(), addresses: map[string]string{},
		answers: map[uint64]chan kumquatlug.HandoffStep{}, transfers: map[*peerTransfer]struct{}{},
	}
	h.active = c.Peers != nil && c.PeerClient != nil && h.sender.Active()
	return h
}

// setPeers applies the gateways that accept handed-off requests, and which of them have
// restarted.
func (h *handoffs) setPeers(peers []kumquatlug.HandoffPeer, restarted []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sender.SetPeers(peers, restarted)
	clear(h.addresses)
	for _, p := range peers {
		h.addresses[p.Name] = p.Address
	}
}

func (h *handoffs) peerJoined(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sender.PeerJoined(name)
}

func (h *handoffs) peerLeft(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sender.PeerLeft(name)
}

// logHandoffEvent logs a change in the reachability of a peer.
func (g *Gateway) logHandoffEvent(e handoff.Event, peer string) {
	if e != handoff.EventNone {
		g.c.Logger.Info(string(e), zap.String("front", peer))
	}
}

// GatewayLoadReceived handles the load of a peer gateway.
func (g *Gateway) GatewayLoadReceived(peer string, load kumquatlug.GatewayLoad) {
	h := g.handoffs
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sender.LoadReceived(peer, load)
	h.sender.Heard(g.c.Clock.Now(), peer)
}

// handOff hands the request off to a peer gateway and relays the response. It returns false
// if this gateway has to serve the request itself, either from the start or from the last
// event that the client received.
func (f *inflight) handOff(r *http.Request) bool {
	if !f.mayHandOff() || f.continues() && !f.namesStream() {
		return false
	}
	clientTimeout := f.setDeadline()
	f.retryingFor = f.g.scheduler.retryingFor(f.service.Name(), f.route.Name(), clientTimeout)
	if f.g.link.refuses(f.peerTransmission()) {
		// It is refused when it is served here, or is expected to take less time there.
		return false
	}
	ctx, cancel := context.WithTimeout(r.Context(), (f.timeLeft() + handoffDeadlineSlack).Duration())
	defer cancel()
	defer func() { f.elapsed = f.g.c.Clock.Now() - f.arrived }()
	offer, address, accepted := f.offerToPeers(ctx)
	if !accepted {
		return false
	}
	if failed := f.awaitLinkToPeer(ctx); failed != nil {
		f.sendFailure(ctx, failed.failure)
		return true
	}
	failed := f.transfer(ctx, offer, address, f.g.c.Ingress.PeerHeader(r))
	if failed == nil {
		f.g.streamVersions.removeRunning(f)
	}
	return failed == nil || f.endFailedTransfer(ctx, r, failed)
}

// endFailedTransfer handles the failure of a transfer. It returns false if this gateway serves the
// request itself.
func (f *inflight) endFailedTransfer(ctx context.Context, r *http.Request, failed *attemptFailure) bool {
	reason := failed.failure.Reason()
	switch {
	case failed.counted:
		f.sendFailure(ctx, f.finalFailure(ctx, failed))
		return true
	case failed.failure.Execution() == kumquatlug.NotExecuted:
		f.logHandoff("handed-off request returned", failed)
		return false
	case r.Context().Err() != nil || reason == reasonClientLeft || reason == reasonPeerGaveUp && !f.continuesAfterPeer():
		f.logHandoff("handed-off request ended", failed)
		if f.responseStarted {
			panic(http.ErrAbortHandler)
		}
		if r.Context().Err() == nil {
			// Without this, net/http would send an empty response with status 200.
			f.possibleRuns++
			f.sendFailure(ctx, failed.failure)
		}
		return true
	}
	// The peer may have used all workers but the last.
	f.possibleRuns += max(f.route.MaxWorkers()-2, 0)
	// The peer has counted the request as started at its first output.
	f.usageCounted = f.responseStarted
	final := f.finalFailure(ctx, failed)
	if final == nil {
		// A continuation is charged before anything is sent to a worker.
		f.startedElsewhere()
		final = f.chargeRetry(ctx)
		f.repeatCharged = final == nil
	}
	if final == nil {
		return false
	}
	f.sendFailure(ctx, final)
	return true
}

// continuesAfterPeer reports whether this gateway may continue a request that a peer gave up: it
// may run again, the route permits one more worker, and what the client has received is a
// stream that can resume.
func (f *inflight) continuesAfterPeer() bool {
	return !f.partialEvent && f.route.Repeatable() && f.route.MaxWorkers() > 1 && (f.route.Stream() || !f.responseStarted)
}

// logHandoff logs at debug level what became of a handed-off request. The peer logs the
// request itself.
func (f *inflight) logHandoff(message string, failed *attemptFailure) {
	f.g.c.Logger.Debug(message, append([]zap.Field{
		zap.String("request", f.request.ID()), zap.String("front", failed.failure.Peer()),
		zap.String("reason", failed.failure.Reason()), zap.String("cause", failed.failure.CauseText()),
	}, f.logFields()...)...)
}

// offerToPeers offers the request to peers until one accepts it.
func (f *inflight) offerToPeers(ctx context.Context) (handoff.Offer, string, bool) {
	g, h := f.g, f.g.handoffs
	request := handoff.Request{
		Engine: true, ID: f.request.ID(), Shared: f.request.Prompt().Shared(), BodyBytes: f.request.Body().Len(),
		LinkBacklog: g.link.backlogMs(),
	}
	var previous []handoff.Offer
	for ctx.Err() == nil {
		answer := make(chan kumquatlug.HandoffStep, 1)
		h.mu.Lock()
		offer, found := h.sender.Offer(g.c.Clock.Now(), request, previous)
		if !found {
			h.mu.Unlock()
			break
		}
		h.answers[offer.Key()] = answer
		address := h.addresses[offer.Peer()]
		h.mu.Unlock()
		g.c.Peers.SendHandoff(offer.Peer(), kumquatlug.Handoff{Step: kumquatlug.HandoffOffered, Key: offer.Key(), Bytes: f.request.Body().Len()})
		if result := g.awaitAnswer(offer, answer); result == handoff.ResultAccepted {
			return offer, address, true
		}
		previous = append(previous, offer)
	}
	return handoff.Offer{}, "", false
}

// awaitAnswer waits for the answer to an offer and records it.
func (g *Gateway) awaitAnswer(offer handoff.Offer, answer <-chan kumquatlug.HandoffStep) handoff.Result {
	result := handoff.ResultUnanswered
	timer := time.NewTimer(handoff.AnswerTimeout(g.link.backlogMs()).Duration())
	defer timer.Stop()
	decode := func(step kumquatlug.HandoffStep) {
		if result = handoff.ResultDeclined; step == kumquatlug.HandoffAccepted {
			result = handoff.ResultAccepted
		}
	}
	select {
	case step := <-answer:
		decode(step)
	case <-timer.C:
		select {
		case step := <-answer:
			// The answer has arrived, but this goroutine was not scheduled in time.
			decode(step)
		default:
		}
	}
	h, now := g.handoffs, g.c.Clock.Now()
	h.mu.Lock()
	delete(h.answers, offer.Key())
	event := h.sender.Answered(now, offer, result)
	h.mu.Unlock()
	g.logHandoffEvent(event, offer.Peer())
	h.metrics.handoffs.WithLabelValues(string(result)).Inc()
	h.metrics.offerDuration.Observe((now - offer.SentAt()).Duration().Seconds())
	return result
}

// begin records a transfer as in flight.
func (h *handoffs) begin(now kumquatlug.Millis, t *peerTransfer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sender.Begin(now, t.offer)
	h.transfers[t] = struct{}{}
}

// endTransfer records the end of a transfer.
func (g *Gateway) endTransfer(t *peerTransfer) {
	h := g.handoffs
	h.mu.Lock()
	delete(h.transfers, t)
	event := h.sender.End(g.c.Clock.Now(), t.offer, t.result)
	h.mu.Unlock()
	g.logHandoffEvent(event, t.offer.Peer())
}

// responded records that the response of a peer that took the request has begun.
func (h *handoffs) responded(now kumquatlug.Millis, offer handoff.Offer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sender.Responded(now, offer)
}

// peerHeard records that something came from a peer.
func (g *Gateway) peerHeard(peer string) {
	g.handoffs.mu.Lock()
	defer g.handoffs.mu.Unlock()
	g.handoffs.sender.Heard(g.c.Clock.Now(), peer)
}

// transfer transfers the request to the peer that accepted it and relays the response. A
// failure with [kumquatlug.NotExecuted] means that the peer did not take the request.
func (f *inflight) transfer(ctx context.Context, offer handoff.Offer, address string, header http.Header) *attemptFailure {
	g := f.g
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &peerTransfer{offer: offer, call: call, result: handoff.ResultAccepted}
	if f.route.Repeatable() && f.route.MaxWorkers() > 1 {
		t.open = f.openTransfer(ctx, cancel, t)
	}
	g.handoffs.begin(g.c.Clock.Now(), t)
	t.end = sync.OnceFunc(func() { g.endTransfer(t) })
	defer t.end()
	proof := g.c.Peers.HandoffProof(offer.Peer(), peerrequest.ProofMessage(g.c.Name, offer.Key(), f.request))
	request := kumquatlug.HandoffRequest{
		Address: address, From: g.c.Name, Key: offer.Key(), Elapsed: g.c.Clock.Now() - f.arrived, Proof: proof, Request: f.request, Header: header,
	}
	f.sentToPeer = true
	t.open.await()
	response, err := g.c.PeerClient.HandOff(call, request)
	if failed, replaced := f.settleTransfer(ctx, t, response, err == nil && !response.Refused(), err); replaced {
		return failed
	}
	if err != nil {
		return f.transferBroken(ctx, t, kumquatlug.ExecutionOf(err), err)
	}
	defer response.Response().Body().Close()
	g.peerHeard(offer.Peer())
	if response.Refused() && response.Ran() == kumquatlug.NotExecuted && servedHereAfter[response.Reason()] {
		t.result = handoff.ResultDeclined
		g.handoffs.metrics.handoffs.WithLabelValues(outcomeReturned).Inc()
		return &attemptFailure{failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
			Step: stepHandoff, Peer: offer.Peer(), Reason: response.Reason(), Execution: kumquatlug.NotExecuted,
		})}
	}
	g.handoffs.responded(g.c.Clock.Now(), offer)
	g.handoffs.metrics.handoffs.WithLabelValues(outcomeHandedOff).Inc()
	if response.Refused() && response.Ran() != kumquatlug.NotExecuted && f.continuesAfterPeer() && f.timeLeft() > 0 {
		return f.peerGaveUp(t)
	}
	return f.relayFromPeer(ctx, t, response)
}

// servedHereAfter holds the reasons of a peer's refusals that concern the peer and not the
// request: this gateway serves the request itself after them. A peer that is partitioned from
// the store refuses with a stale config what this gateway's own config allows.
var servedHereAfter = map[string]bool{
	reasonStopping: true, reasonNoConfig: true, reasonBodies: true, reasonHandoffDenied: true, reasonKeysStale: true, reasonConfigStale: true,
}

// stepHandoff is the step of failures at a peer gateway.
const stepHandoff = "handoff"

// Reasons of a response that can't be completed and about which the peer logs: the client
// has disconnected, or the peer has made all attempts that are allowed.
const (
	reasonClientLeft = "client_left"
	reasonPeerGaveUp = "peer_gave_up"
)

// recordBroken records that a peer failed with a transfer.
func (h *handoffs) recordBroken(t *peerTransfer) {
	t.result = handoff.ResultBroken
	h.metrics.handoffs.WithLabelValues(outcomeBroken).Inc()
}

// transferBroken returns the failure of a transfer whose connection could not be made or
// broke off. A peer is left out only if it failed, not if the client disconnected or the
// deadline passed.
func (f *inflight) transferBroken(ctx context.Context, t *peerTransfer, ran kumquatlug.Execution, err error) *attemptFailure {
	if ctx.Err() == nil {
		f.g.handoffs.recordBroken(t)
	}
	return &attemptFailure{failure: kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: stepHandoff, Peer: t.offer.Peer(), Reason: "peer_failed", Execution: ran, Status: http.StatusBadGateway, Cause: err,
	})}
}

// probeHandoffs starts takeovers of the transfers to peers that have stopped. The kernel of a
// frozen peer keeps its connections open.
func (g *Gateway) probeHandoffs(ctx context.Context) {
	h := g.handoffs
	for sleep(ctx, handoffProbeInterval) {
		h.mu.Lock()
		probe, stopped := h.sender.Probe(g.c.Clock.Now())
		for t := range h.transfers {
			for _, peer := range stopped {
				if t.offer.Peer() == peer {
					t.silent.Store(true)
					t.suspect()
				}
			}
		}
		h.mu.Unlock()
		for _, peer := range probe {
			g.c.Peers.SendHandoff(peer, kumquatlug.Handoff{Step: kumquatlug.HandoffOffered})
		}
	}
}

// answerReceived handles a peer's answer to an offer.
func (h *handoffs) answerReceived(now kumquatlug.Millis, peer string, m kumquatlug.Handoff) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sender.Heard(now, peer)
	if answer := h.answers[m.Key]; answer != nil {
		delete(h.answers, m.Key)
		answer <- m.Step
	}
}
