package order

import (
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// defaultResend is how long a sender waits for an answer before it sends the
// same order again. It is twice an agent's report interval, so that a drain,
// which the reports show, is rarely asked about in between.
const defaultResend = 2 * kumquatlug.Second

// Why a sender gives no order to a target now.
var (
	// ErrNoLease: the sender has no fencing number, or lost it.
	ErrNoLease = errors.New("no lease on the group")
	// ErrUnsettled: an order is outstanding, or the target's state is unknown.
	ErrUnsettled = errors.New("target is not settled")
)

// SenderConfig is what a [Sender] is made of.
type SenderConfig struct {
	// Resend is the wait before an order without a final answer is sent again,
	// 2 s by default.
	Resend kumquatlug.Millis
}

// Report is what an agent tells of its gate in each load report.
type Report struct {
	// Target is the agent's target.
	Target string
	// Incarnation is the start of the agent.
	Incarnation Incarnation
	// Number is the highest fencing number that the gate has seen.
	Number lease.Number
	// Phase is where the target is between orders.
	Phase Phase
}

// Settlement is an order that has ended.
type Settlement struct {
	target  string
	order   Order
	outcome Outcome
}

// Target returns the target of the order.
func (s Settlement) Target() string { return s.target }

// Order returns the order.
func (s Settlement) Order() Order { return s.order }

// Outcome returns how it ended.
func (s Settlement) Outcome() Outcome { return s.outcome }

// Outgoing is an order on its way to a target.
type Outgoing struct {
	target string
	order  Order
}

// Target returns the target of the order.
func (o Outgoing) Target() string { return o.target }

// Order returns the order.
func (o Outgoing) Order() Order { return o.order }

// peer is what a sender knows of one target.
type peer struct {
	incarnation Incarnation
	phase       Phase
	sequence    int64
	order       *Order
	sentAt      kumquatlug.Millis
	sent        bool
}

// Sender is a lease holder's side of orders to its group: one outstanding a
// target, sent under the same id until it is settled. It is not safe for
// concurrent use.
type Sender struct {
	c      SenderConfig
	number lease.Number
	valid  bool
	peers  map[string]*peer
}

// NewSender returns a sender without a lease.
func NewSender(c SenderConfig) *Sender {
	c.Resend = standard.Millis(c.Resend, defaultResend)
	return &Sender{c: c, peers: make(map[string]*peer)}
}

// Granted takes the number of a lease just acquired. What was outstanding
// under an earlier number is dropped: the gates see to that it has settled
// before they take another.
func (s *Sender) Granted(number lease.Number) {
	if number <= s.number {
		return
	}
	s.number, s.valid = number, true
	for _, p := range s.peers {
		p.sequence, p.order = 0, nil
		p.phase = PhaseUnknown
	}
}

// Heard takes an agent's report. A new incarnation ends an outstanding order
// with OutcomeUnknown: the old process is gone and can start nothing, the new
// one takes no order meant for the old, and asks the engine for its state.
func (s *Sender) Heard(r Report) (Settlement, bool) {
	s.met(r.Number)
	p := s.peers[r.Target]
	if p == nil {
		p = &peer{}
		s.peers[r.Target] = p
	}
	if r.Incarnation < p.incarnation {
		return Settlement{}, false
	}
	p.phase = r.Phase
	if r.Incarnation == p.incarnation {
		return Settlement{}, false
	}
	p.incarnation, p.sequence = r.Incarnation, 0
	return s.settle(r.Target, OutcomeUnknown)
}

// met takes a number seen elsewhere. A higher one than ours says that the
// lease was lost, even if our own clock does not say so yet.
func (s *Sender) met(number lease.Number) {
	if number > s.number {
		s.valid = false
	}
}

// Give makes an order for target, to be sent by [Sender.Due]. The error is
// ErrNoLease or ErrUnsettled; nothing is queued then, since what is right may
// have changed once the target is settled.
func (s *Sender) Give(target string, verb Verb, argument string) (Order, error) {
	if !s.valid {
		return Order{}, ErrNoLease
	}
	p := s.peers[target]
	if p == nil || p.order != nil || p.phase != PhaseSettled {
		return Order{}, ErrUnsettled
	}
	p.sequence++
	o := NewOrder(NewID(p.incarnation, s.number, p.sequence), verb, argument)
	p.order, p.sent = &o, false
	return o, nil
}

// Outstanding returns the order of target that is not settled.
func (s *Sender) Outstanding(target string) (Order, bool) {
	p := s.peers[target]
	if p == nil || p.order == nil {
		return Order{}, false
	}
	return *p.order, true
}

// Due returns the orders to send now, in target order, and counts them as
// sent. Pass what [lease.Holder.Held] says at this very moment: without the
// lease under the same number nothing is sent.
func (s *Sender) Due(now kumquatlug.Millis, number lease.Number, held bool) []Outgoing {
	if !held || !s.valid || number != s.number {
		return nil
	}
	var due []Outgoing
	for target, p := range s.peers {
		if p.order == nil || (p.sent && now-p.sentAt < s.c.Resend) {
			continue
		}
		p.sent, p.sentAt = true, now
		due = append(due, Outgoing{target: target, order: *p.order})
	}
	sort.Slice(due, func(i, j int) bool { return due[i].target < due[j].target })
	return due
}

// Answered takes a gate's reply to an order and returns how the order ended,
// if it did. A reply to another order than the outstanding one, come late,
// changes nothing.
func (s *Sender) Answered(target string, id ID, r Reply) (Settlement, bool) {
	s.met(r.number)
	p := s.peers[target]
	if p == nil || p.order == nil || p.order.id != id {
		return Settlement{}, false
	}
	switch r.verdict {
	case VerdictSettled:
		return s.settle(target, r.outcome)
	case VerdictOld:
		// The gate has not taken it, or long forgotten that it did.
		return s.settle(target, OutcomeUnknown)
	default:
		// Accepted, busy or not ready: it is sent again until it is settled.
		return Settlement{}, false
	}
}

func (s *Sender) settle(target string, outcome Outcome) (Settlement, bool) {
	p := s.peers[target]
	if p.order == nil {
		return Settlement{}, false
	}
	ended := Settlement{target: target, order: *p.order, outcome: outcome}
	p.order = nil
	// The last report may be from before the order; the next one tells.
	p.phase = PhaseUnknown
	return ended, true
}
