package handoff

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Parameters of accepting offers.
const (
	// maxBodiesPercent is the percentage of the memory for bodies above which offers are
	// declined; the rest is for the gateway's own clients.
	maxBodiesPercent = 75
	// maxReceiverBacklog is the backlog of the own link in ms above which offers are
	// declined: a tenth of the shortest usual latency target of 200 ms.
	maxReceiverBacklog = 20.0
	// offerLifetime is how long an accepted request may take to arrive. A body of 55,000
	// bytes takes 44 ms on a link of 10 Mbit/s; a request that was held up for longer, as
	// by a frozen process, has probably been given up by the other gateway.
	offerLifetime = 3 * kumquatlug.Second
	// reservationTime is how long memory is reserved for an accepted request. An answer
	// that arrives late is not followed by a transfer.
	reservationTime = 1 * kumquatlug.Second
	// maxAccepted bounds the accepted offers that are remembered.
	maxAccepted = 8192
)

// State is the state of a gateway that receives an offer.
type State struct {
	// Ready says that it has a config and workers and is not shutting down.
	Ready bool
	// BodyBytes is the total size of the bodies in flight, MaxBodyBytes its limit.
	BodyBytes, MaxBodyBytes int64
	// LinkBacklog is the backlog of the own link in ms.
	LinkBacklog float64
}

type offerID struct {
	from string
	key  uint64
}

type acceptedOffer struct {
	id    offerID
	at    kumquatlug.Millis
	bytes int64
	// taken is set once the request has arrived: it must not run a second time.
	taken bool
}

// Receiver decides which offers are accepted, and admits each accepted request once.
type Receiver struct {
	accepted map[offerID]*acceptedOffer
	// byAge holds the accepted offers in order of their acceptance.
	byAge []*acceptedOffer
}

// NewReceiver returns a receiver without accepted offers.
func NewReceiver() *Receiver { return &Receiver{accepted: map[offerID]*acceptedOffer{}} }

// Accept reports whether an offer is accepted. An offer that is received twice gets the
// same answer.
func (r *Receiver) Accept(now kumquatlug.Millis, from string, key uint64, bytes int, s State) bool {
	r.expire(now)
	if !s.Ready || bytes < 0 || s.LinkBacklog > maxReceiverBacklog {
		return false
	}
	if key == 0 {
		return true
	}
	id := offerID{from: from, key: key}
	if r.accepted[id] != nil {
		return true
	}
	size := int64(bytes)
	if len(r.byAge) >= maxAccepted || size > s.MaxBodyBytes ||
		(s.BodyBytes+r.reserved(now)+size)*100 > s.MaxBodyBytes*maxBodiesPercent {
		return false
	}
	o := &acceptedOffer{id: id, at: now, bytes: size}
	r.accepted[id] = o
	r.byAge = append(r.byAge, o)
	return true
}

// reserved returns the memory reserved for requests that have not arrived.
func (r *Receiver) reserved(now kumquatlug.Millis) int64 {
	sum := int64(0)
	for i := len(r.byAge) - 1; i >= 0 && now-r.byAge[i].at < reservationTime; i-- {
		if !r.byAge[i].taken {
			sum += r.byAge[i].bytes
		}
	}
	return sum
}

// Take reports whether an arrived request belongs to an accepted offer and is the first
// to do so.
func (r *Receiver) Take(now kumquatlug.Millis, from string, key uint64) bool {
	r.expire(now)
	o := r.accepted[offerID{from: from, key: key}]
	if o == nil || o.taken {
		return false
	}
	o.taken = true
	return true
}

// AcceptedAt returns when the offer of a request that was taken was accepted. The request had
// arrived at the other gateway before.
func (r *Receiver) AcceptedAt(from string, key uint64) kumquatlug.Millis {
	if o := r.accepted[offerID{from: from, key: key}]; o != nil {
		return o.at
	}
	return 0
}

func (r *Receiver) expire(now kumquatlug.Millis) {
	expired := 0
	for expired < len(r.byAge) && now-r.byAge[expired].at >= offerLifetime {
		delete(r.accepted, r.byAge[expired].id)
		r.byAge[expired] = nil
		expired++
	}
	r.byAge = r.byAge[expired:]
}
