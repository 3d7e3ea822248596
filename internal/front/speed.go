package front

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Limits of the speeds in datagrams.
const (
	// maxSpeedBytes is the length of a datagram, in bytes, up to which speeds are attached to
	// it: four entries have about 200 bytes, and what does not fit would be lost.
	maxSpeedBytes = 800
	// maxReceivedSpeeds limits the entries that are read from one datagram.
	maxReceivedSpeeds = 16
	// maxSpeedSamples limits the number of samples of one entry.
	maxSpeedSamples = 1 << 20
)

// AnnounceSpeeds implements [kumquatlug.GatewayLink].
func (l *Link) AnnounceSpeeds() {
	if gateway := l.randomPeer(); gateway != "" {
		l.sendTo(gateway, &frontv1.Datagram{})
	}
}

// attachSpeeds adds the speeds that are due to a datagram, as far as there is room.
func (l *Link) attachSpeeds(d *frontv1.Datagram) {
	h := l.handler.Load()
	if h == nil || proto.Size(d) > maxSpeedBytes {
		return
	}
	d.Speeds = encodeSpeeds((*h).Speeds())
	if proto.Size(d) > maxDatagramBytes-l.aead.Overhead() {
		d.Speeds = nil
	}
}

func encodeSpeeds(speeds []kumquatlug.WorkerSpeed) []*frontv1.WorkerSpeed {
	var entries []*frontv1.WorkerSpeed
	for _, s := range speeds {
		entries = append(entries, &frontv1.WorkerSpeed{
			Service: s.Service, Worker: s.Worker, RelativeTime: float32(s.RelativeTime), Samples: uint32(max(s.Samples, 0)),
			TimeFactor: float32(s.TimeFactor), AgeMs: uint32(min(max(s.FactorAge, 0), math.MaxUint32)),
		})
	}
	return entries
}

// decodeSpeeds decodes the entries of a peer. Entries with values that are no numbers are left
// out; package pace checks their range.
func decodeSpeeds(entries []*frontv1.WorkerSpeed) []kumquatlug.WorkerSpeed {
	var speeds []kumquatlug.WorkerSpeed
	for _, e := range entries[:min(len(entries), maxReceivedSpeeds)] {
		relative, factor := float64(e.GetRelativeTime()), float64(e.GetTimeFactor())
		if math.IsNaN(relative+factor) || math.IsInf(relative+factor, 0) {
			continue
		}
		speeds = append(speeds, kumquatlug.WorkerSpeed{
			Service: e.GetService(), Worker: e.GetWorker(), RelativeTime: relative, Samples: int(min(e.GetSamples(), maxSpeedSamples)),
			TimeFactor: factor, FactorAge: kumquatlug.Millis(e.GetAgeMs()),
		})
	}
	return speeds
}
