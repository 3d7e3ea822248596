package gateway

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/logs"
	"github.com/kumquatlug/kumquatlug/internal/peerrequest"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/handoff"
)

// Reasons of refusals that concern the gateway and not the request. The peer that handed the
// request off serves it itself after them.
const (
	reasonStopping      = "stopping"
	reasonNoConfig      = "no_config"
	reasonBodies        = "bodies"
	reasonHandoffDenied = "handoff_denied"
	reasonKeysStale     = "keys_stale"
	reasonConfigStale   = "config_stale"
)

// Outcomes of handed-off requests; offers are counted by their [handoff.Result].
const (
	outcomeHandedOff = "handed_off"
	outcomeReturned  = "returned"
	outcomeBroken    = "broken"
	outcomeReceived  = "received"
	outcomeRefused   = "refused"
)

// handoffMetrics are the metrics of requests handed off to and by peer gateways.
type handoffMetrics struct {
	handoffs      *prometheus.CounterVec
	offerDuration prometheus.Histogram
}

func newHandoffMetrics(r prometheus.Registerer) *handoffMetrics {
	m := &handoffMetrics{
		handoffs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kumquatlug_front_handoffs_total", Help: "Requests handed off to peer gateways and offers of them, by outcome.",
		}, []string{"outcome"}),
		offerDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kumquatlug_front_handoff_offer_seconds", Help: "Time until the answer to the offer of a request.",
			Buckets: []float64{.001, .002, .004, .006, .008, .01, .02},
		}),
	}
	r.MustRegister(m.handoffs, m.offerDuration)
	return m
}

// origin says where a request comes from.
type origin struct {
	// arrived is when it arrived, at the peer gateway if one handed it off.
	arrived kumquatlug.Millis
	// handoff describes the handoff, nil for a request of a client. elapsed is the time
	// that the request spent at the peer gateway.
	handoff *peerrequest.Handoff
	elapsed kumquatlug.Millis
}

// GatewayLoad returns the load of this gateway for its peers. Only a gateway that accepts
// handed-off requests reports it.
func (g *Gateway) GatewayLoad() kumquatlug.GatewayLoad {
	if g.c.HandoffListener == nil {
		return kumquatlug.GatewayLoad{}
	}
	return kumquatlug.GatewayLoad{
		LinkBytesPerMs: g.c.LinkBytesPerMs, LinkBacklog: g.link.backlogMs(), InFlight: int(g.inFlight.Load()),
	}
}

// HandoffReceived handles a message of a peer gateway about a request that is handed off.
func (g *Gateway) HandoffReceived(peer string, m kumquatlug.Handoff) {
	h, now := g.handoffs, g.c.Clock.Now()
	switch m.Step {
	case kumquatlug.HandoffAccepted, kumquatlug.HandoffDeclined:
		h.answerReceived(now, peer, m)
	case kumquatlug.HandoffStalled:
		h.stalled(peer, m.Key)
	case kumquatlug.HandoffOffered:
		state := handoff.State{
			Ready: g.ready() && g.c.HandoffListener != nil && !g.keysStale(), BodyBytes: g.bodies.held(),
			MaxBodyBytes: g.c.MaxBodyBytes, LinkBacklog: g.link.backlogMs(),
		}
		h.mu.Lock()
		accepted := h.receiver.Accept(now, peer, m.Key, m.Bytes, state)
		h.mu.Unlock()
		answer := kumquatlug.Handoff{Step: kumquatlug.HandoffDeclined, Key: m.Key}
		if accepted {
			answer.Step = kumquatlug.HandoffAccepted
		}
		g.c.Peers.SendHandoff(peer, answer)
	}
}

// newHandoffServer returns the server for handed-off requests.
func (g *Gateway) newHandoffServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(g.serveHandoff), ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: peerrequest.IdleTimeout.Duration(),
		MaxHeaderBytes: 2 * maxHeaderBytes, ErrorLog: zap.NewStdLog(g.c.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// serveHandoff serves a request that a peer gateway handed off as if the client had
// connected to this gateway.
func (g *Gateway) serveHandoff(w http.ResponseWriter, r *http.Request) {
	arrived := g.c.Clock.Now()
	h, err := peerrequest.Decode(r.Header)
	out := peerrequest.NewResponseWriter(g.link.countResponse(w), h.Key)
	if err != nil {
		g.handoffs.metrics.handoffs.WithLabelValues(outcomeRefused).Inc()
		g.c.Logger.Debug("invalid handed-off request refused", zap.String("from", r.RemoteAddr), logs.Error(err))
		w.WriteHeader(http.StatusForbidden)
		return
	}
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		// A response that could not be completed is marked as such, so that the peer
		// does not continue it.
		if err, _ := p.(error); errors.Is(err, http.ErrAbortHandler) && r.Context().Err() == nil && out.GiveUp() {
			return
		}
		panic(p)
	}()
	g.serveRequest(out, r, origin{arrived: arrived - h.Elapsed, elapsed: h.Elapsed, handoff: &h})
}

// admitHandoff returns the refusal of a handed-off request that lacks a valid proof, or
// whose offer this gateway did not accept or has used. It returns nil for a client's request.
// The elapsed time was taken before the connection was made; the time since the offer bounds it.
func (g *Gateway) admitHandoff(o *origin, request kumquatlug.Request) *kumquatlug.Failure {
	if o.handoff == nil {
		return nil
	}
	h := g.handoffs
	message := peerrequest.ProofMessage(o.handoff.From, o.handoff.Key, request)
	admitted := g.c.Peers != nil && g.c.Peers.VerifyHandoffProof(message, o.handoff.Proof)
	if admitted {
		h.mu.Lock()
		admitted = h.receiver.Take(g.c.Clock.Now(), o.handoff.From, o.handoff.Key)
		if late := o.arrived - h.receiver.AcceptedAt(o.handoff.From, o.handoff.Key); admitted && late > 0 {
			o.arrived, o.elapsed = o.arrived-late, o.elapsed+late
		}
		h.mu.Unlock()
	}
	if !admitted {
		h.metrics.handoffs.WithLabelValues(outcomeRefused).Inc()
		return refusal(stepHandoff, reasonHandoffDenied, http.StatusForbidden, 0)
	}
	h.metrics.handoffs.WithLabelValues(outcomeReceived).Inc()
	g.c.Logger.Debug("handed-off request received", zap.String("request", request.ID()), zap.String("front", o.handoff.From),
		zap.Int64("elapsed_ms", int64(o.elapsed)))
	return nil
}

// serveHandoffs serves handed-off requests until ctx ends. Serve returns when the shutdown
// of the server begins; the requests in flight then still have to complete.
func (g *Gateway) serveHandoffs(ctx context.Context) error {
	if err := ignoreServerClosed(g.handoffServer.Serve(g.c.HandoffListener)); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// shutdownHandoffs waits until the handed-off requests have completed or ctx ends.
func (g *Gateway) shutdownHandoffs(ctx context.Context) {
	if g.handoffServer == nil {
		return
	}
	if err := g.handoffServer.Shutdown(ctx); err != nil {
		g.c.Logger.Warn("stopped with handed-off requests in flight", zap.Int64("in_hand", g.inFlight.Load()), logs.Error(err))
	}
}
