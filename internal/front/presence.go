package front

import (
	"math"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// SendPresence implements [kumquatlug.GatewayLink].
func (l *Link) SendPresence(gateway string, p kumquatlug.WorkerPresence) {
	if gateway == "" {
		if gateway = l.randomPeer(); gateway == "" {
			return
		}
	}
	l.sendTo(gateway, &frontv1.Datagram{Presence: &frontv1.Presence{
		Asks: p.Asks, Service: p.Service, Worker: p.Worker, StartedAt: p.StartedAt, AgeMs: uint32(min(max(p.Age, 0), math.MaxUint32)),
	}})
}

func handlePresence(d *frontv1.Datagram, h kumquatlug.GatewayHandler) {
	if p := d.GetPresence(); p != nil {
		h.PresenceReceived(d.GetFrom(), kumquatlug.WorkerPresence{
			Asks: p.GetAsks(), Service: p.GetService(), Worker: p.GetWorker(), StartedAt: p.GetStartedAt(), Age: kumquatlug.Millis(p.GetAgeMs()),
		})
	}
}
