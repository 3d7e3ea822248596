package front

import (
	"crypto/hmac"
	"crypto/sha256"
	"net/netip"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limits of values about other gateways.
const (
	// maxLinkBytesPerMs is far above the rate of any link, maxInFlight far above the
	// number of requests in flight at a gateway.
	maxLinkBytesPerMs = 1e9
	maxInFlight       = 1 << 24
	// maxBodyBytes is far above the length of any body.
	maxBodyBytes = 1 << 40
)

// proofContext separates proofs of handed-off requests from other uses of a gateway's key.
const proofContext = "kumquatlug handoff\x00"

// wireHandoffSteps maps the steps to their wire form.
var wireHandoffSteps = map[kumquatlug.HandoffStep]frontv1.HandoffStep{
	kumquatlug.HandoffOffered:  frontv1.HandoffStep_HANDOFF_STEP_OFFERED,
	kumquatlug.HandoffAccepted: frontv1.HandoffStep_HANDOFF_STEP_ACCEPTED,
	kumquatlug.HandoffDeclined: frontv1.HandoffStep_HANDOFF_STEP_DECLINED,
	kumquatlug.HandoffStalled:  frontv1.HandoffStep_HANDOFF_STEP_STALLED,
}

// SendHandoff implements [kumquatlug.GatewayLink].
func (l *Link) SendHandoff(gateway string, h kumquatlug.Handoff) {
	l.sendTo(gateway, &frontv1.Datagram{Handoff: &frontv1.Handoff{Step: wireHandoffSteps[h.Step], Key: h.Key, Bytes: uint64(max(h.Bytes, 0))}})
}

// HandoffPeers implements [kumquatlug.GatewayLink].
func (l *Link) HandoffPeers() []kumquatlug.HandoffPeer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []kumquatlug.HandoffPeer
	for _, p := range l.peers {
		if p.handoff.Address != "" {
			all = append(all, p.handoff)
		}
	}
	return all
}

// Zone implements [kumquatlug.GatewayLink].
func (l *Link) Zone(gateway string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, known := l.peers[gateway]; known {
		return p.handoff.Zone
	}
	return ""
}

// HandoffProof implements [kumquatlug.GatewayLink].
func (l *Link) HandoffProof(gateway string, message []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	receiver, known := l.peers[gateway]
	if !known {
		return nil
	}
	return proofOf(receiver.key, message)
}

// VerifyHandoffProof implements [kumquatlug.GatewayLink].
func (l *Link) VerifyHandoffProof(message, proof []byte) bool {
	return hmac.Equal(proof, proofOf(l.key, message))
}

func proofOf(key, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	// Writing to a hash does not fail.
	_, _ = mac.Write([]byte(proofContext))
	_, _ = mac.Write(message)
	return mac.Sum(nil)
}

// handoffPeer returns the part of a gateway's row about handed-off requests. The address is
// empty if it is absent or invalid, so that nothing is handed off there.
func (r peerRow) handoffPeer(name string) kumquatlug.HandoffPeer {
	p := kumquatlug.HandoffPeer{Name: name, Zone: r.Zone, LinkBytesPerMs: clampFloat(r.LinkBytesPerMs, maxLinkBytesPerMs)}
	if address, err := netip.ParseAddrPort(r.Handoff); err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() {
		p.Address = address.String()
	}
	return p
}

// handleHandoff passes the parts of a datagram about handed-off requests to the handler.
func (l *Link) handleHandoff(d *frontv1.Datagram, h kumquatlug.GatewayHandler) {
	if d.GetLoad() != nil {
		h.GatewayLoadReceived(d.GetFrom(), decodeLoad(d.GetLoad()))
	}
	if d.GetHandoff() != nil {
		h.HandoffReceived(d.GetFrom(), decodeHandoff(d.GetHandoff()))
	}
}

// encodeLoad returns nil for a gateway that reports no load.
func encodeLoad(load kumquatlug.GatewayLoad) *frontv1.GatewayLoad {
	if load == (kumquatlug.GatewayLoad{}) {
		return nil
	}
	return &frontv1.GatewayLoad{
		LinkBytesPerMs: float32(load.LinkBytesPerMs), LinkBacklogMs: float32(load.LinkBacklog), InFlight: uint32(max(load.InFlight, 0)),
	}
}

func decodeLoad(load *frontv1.GatewayLoad) kumquatlug.GatewayLoad {
	return kumquatlug.GatewayLoad{
		LinkBytesPerMs: clamp(load.GetLinkBytesPerMs(), maxLinkBytesPerMs), LinkBacklog: clamp(load.GetLinkBacklogMs(), float64(maxDuration)),
		InFlight: int(min(load.GetInFlight(), maxInFlight)),
	}
}

// decodeHandoff decodes a message about an offer. An unknown step decodes to the zero step,
// which matches none.
func decodeHandoff(h *frontv1.Handoff) kumquatlug.Handoff {
	decoded := kumquatlug.Handoff{Key: h.GetKey(), Bytes: int(min(h.GetBytes(), maxBodyBytes))}
	for step, wire := range wireHandoffSteps {
		if wire == h.GetStep() {
			decoded.Step = step
		}
	}
	return decoded
}

// clampFloat returns a value between zero and the limit, and zero for NaN.
func clampFloat(value, limit float64) float64 {
	if !(value >= 0) {
		return 0
	}
	return min(value, limit)
}
