package pace

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of the exchange with other gateways.
const (
	// maxPeerSamples is the number of samples that count for one peer. maxPeerLog bounds the
	// deviation of a peer's estimate from the median of all, so that a faulty one can't
	// displace the mean.
	maxPeerSamples = 16.0
	maxPeerLog     = 0.35
	// peerRestartSamples is what is left of maxPeerSamples after the restart of a worker.
	peerRestartSamples = 4.0
	// maxPeers bounds the peers whose estimates are kept for one worker, the newest ones: the
	// memory must not grow with the number of gateways.
	maxPeers = 32
	// peerRetention is how long an estimate of a peer is kept.
	peerRetention = 120 * kumquatlug.Second
	// sendsPerSample is how often the samples of a worker are sent after a new one. Each
	// datagram reaches one peer.
	sendsPerSample = 8
)

// peerEstimate is the estimate of a peer from its own samples.
type peerEstimate struct {
	peer    string
	log     float64
	samples float64
	at      kumquatlug.Millis
}

// enqueue schedules the samples of a worker to be sent.
func (s *Service) enqueue(id string, w *worker) {
	if w.unsent == 0 {
		s.outgoing = append(s.outgoing, id)
	}
	w.unsent = sendsPerSample
}

// Outgoing returns up to n estimates from this gateway's own samples to be sent to a peer, the
// least recently sent first.
func (s *Service) Outgoing(now kumquatlug.Millis, n int) []kumquatlug.WorkerSpeed {
	var speeds []kumquatlug.WorkerSpeed
	for range len(s.outgoing) {
		if len(speeds) >= n {
			break
		}
		id := s.outgoing[0]
		s.outgoing = s.outgoing[1:]
		w, known := s.workers[id]
		if !known {
			if old, removed := s.removed[id]; removed {
				old.unsent = 0
			}
			continue
		}
		if w.unsent--; w.unsent > 0 {
			s.outgoing = append(s.outgoing, id)
		}
		log, weight := s.ownEstimate(now, w, "")
		speed := kumquatlug.WorkerSpeed{Worker: id, RelativeTime: math.Exp(log), Samples: int(math.Ceil(weight))}
		if w.factor.factor != 0 {
			speed.TimeFactor, speed.FactorAge = w.factor.factor, max(now-w.factor.at, 0)
		}
		speeds = append(speeds, speed)
	}
	return speeds
}

// Receive records an estimate from a peer. Invalid values and unknown workers are ignored.
func (s *Service) Receive(now kumquatlug.Millis, peer string, speed kumquatlug.WorkerSpeed) {
	w, known := s.workers[speed.Worker]
	if !known {
		return
	}
	if speed.FactorAge >= 0 && speed.FactorAge <= maxPairGap {
		s.ReportFactor(now-speed.FactorAge, speed.Worker, speed.TimeFactor)
	}
	if !valid(speed.RelativeTime) || speed.Samples <= 0 {
		return
	}
	received := peerEstimate{peer: peer, log: math.Log(speed.RelativeTime), samples: min(float64(speed.Samples), maxPeerSamples), at: now}
	w.stale = true
	w.peers = slices.DeleteFunc(w.peers, func(e peerEstimate) bool { return e.peer == peer || now-e.at > peerRetention })
	if len(w.peers) >= maxPeers {
		w.peers = slices.Delete(w.peers, 0, 1)
	}
	w.peers = append(w.peers, received)
}

// combine returns the mean of a gateway's own estimate and those of its peers, weighted by the
// number of samples, and the sum of the weights.
func combine(now kumquatlug.Millis, own, ownWeight float64, peers []peerEstimate) (mean, total float64) {
	all := make([]peerEstimate, 0, len(peers)+1)
	if ownWeight > 0 {
		all = append(all, peerEstimate{log: own, samples: ownWeight})
	}
	for _, e := range peers {
		e.samples *= agedWeight(now, e.at)
		all = append(all, e)
	}
	for _, e := range all {
		total += e.samples
	}
	if total == 0 {
		return 0, 0
	}
	median := weightedMedian(all, total)
	for _, e := range all {
		mean += e.samples / total * min(max(e.log, median-maxPeerLog), median+maxPeerLog)
	}
	return mean, total
}

// weightedMedian sorts estimates and returns their median by weight.
func weightedMedian(all []peerEstimate, total float64) float64 {
	slices.SortFunc(all, func(a, b peerEstimate) int { return cmp.Compare(a.log, b.log) })
	sum := 0.0
	for _, e := range all {
		if sum += e.samples; sum >= total/2 {
			return e.log
		}
	}
	return all[len(all)-1].log
}

// HasOutgoing reports whether there are estimates to be sent.
func (s *Service) HasOutgoing() bool { return len(s.outgoing) > 0 }
