package front

import (
	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxDecodeRequests is far above the number of requests that decode at any engine.
const maxDecodeRequests = 1 << 16

// SendDecodeCount implements [kumquatlug.GatewayLink].
func (l *Link) SendDecodeCount(gateway string, c kumquatlug.DecodeCount) {
	l.sendTo(gateway, &frontv1.Datagram{DecodeCount: &frontv1.DecodeCount{
		Service: c.Service, Engine: c.Engine, Sequence: c.Sequence, Count: encodeRequests(c.Count), Asks: c.Asks,
	}})
}

// SendDecodeTotal implements [kumquatlug.GatewayLink].
func (l *Link) SendDecodeTotal(gateway string, t kumquatlug.DecodeTotal) {
	l.sendTo(gateway, &frontv1.Datagram{DecodeTotal: &frontv1.DecodeTotal{
		Service: t.Service, Engine: t.Engine, Sequence: t.Sequence, Total: encodeRequests(t.Total), Granted: t.Granted,
	}})
}

// handleDecodeSlots passes the messages about decode slots in a datagram to the handler.
func handleDecodeSlots(d *frontv1.Datagram, h kumquatlug.GatewayHandler) {
	if c := d.GetDecodeCount(); c != nil {
		h.DecodeCountReceived(d.GetFrom(), kumquatlug.DecodeCount{
			Service: c.GetService(), Engine: c.GetEngine(), Sequence: c.GetSequence(), Count: decodeRequests(c.GetCount()), Asks: c.GetAsks(),
		})
	}
	if t := d.GetDecodeTotal(); t != nil {
		h.DecodeTotalReceived(d.GetFrom(), kumquatlug.DecodeTotal{
			Service: t.GetService(), Engine: t.GetEngine(), Sequence: t.GetSequence(), Total: decodeRequests(t.GetTotal()), Granted: t.GetGranted(),
		})
	}
}

func encodeRequests(n int) uint32 { return uint32(min(max(n, 0), maxDecodeRequests)) }

func decodeRequests(n uint32) int { return int(min(n, maxDecodeRequests)) }
