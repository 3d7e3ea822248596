package order

import (
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// defaultResendInterval is how long a sender waits for an answer before it sends the
// same order again. It is twice an agent's report interval, so that a drain,
// which the reports show, is rarely asked about in between.
const defaultResendInterval = 2 * kumquatlug.Second

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

// targetState is what a sender knows of one target.
type targetState struct {
	incarnation Incarnation
	phase       Phase
	sequence    int64
	outstanding *Order
	sentAt      kumquatlug.Millis
	sent        bool
}

// Sender is a lease holder's side of orders to its group: one outstanding a
// target, sent under the same id until it is settled. It is not safe for
// concurrent use.
type Sender struct {
	config    SenderConfig
	number    lease.Number
	leaseHeld bool
	targets   map[string]*targetState
}

// NewSender returns a sender without a lease.
func NewSender(c SenderConfig) *Sender {
	c.Resend = standard.Millis(c.Resend, defaultResendInterval)
	return &Sender{config: c, targets: make(map[string]*targetState)}
}

// Granted takes the number of a lease just acquired. What was outstanding
// under an earlier number is dropped: the gates see to that it has settled
// before they take another.
func (s *Sender) Granted(number lease.Number) {
	if number <= s.number {
		return
	}
	s.number, s.leaseHeld = number, true
	for _, t := range s.targets {
		t.sequence, t.outstanding = 0, nil
		t.phase = PhaseUnknown
	}
}

// Heard takes an agent's report. A new incarnation ends an outstanding order
// with OutcomeUnknown: the old process is gone and can start nothing, the new
// one takes no order meant for the old, and asks the engine for its state.
func (s *Sender) Heard(r Report) (Settlement, bool) {
	s.observeNumber(r.Number)
	t := s.targets[r.Target]
	if t == nil {
		t = &targetState{}
		s.targets[r.Target] = t
	}
	if r.Incarnation < t.incarnation {
		return Settlement{}, false
	}
	t.phase = r.Phase
	if r.Incarnation == t.incarnation {
		return Settlement{}, false
	}
	t.incarnation, t.sequence = r.Incarnation, 0
	return s.finish(r.Target, OutcomeUnknown)
}

// observeNumber takes a number seen elsewhere. A higher one than ours says that the
// lease was lost, even if our own clock does not say so yet.
func (s *Sender) observeNumber(number lease.Number) {
	if number > s.number {
		s.leaseHeld = false
	}
}

// Give makes an order for target, to be sent by [Sender.Due]. The error is
// ErrNoLease or ErrUnsettled; nothing is queued then, since what is right may
// have changed once the target is settled.
func (s *Sender) Give(target string, verb Verb, argument string) (Order, error) {
	if !s.leaseHeld {
		return Order{}, ErrNoLease
	}
	t := s.targets[target]
	if t == nil || t.outstanding != nil || t.phase != PhaseSettled {
		return Order{}, ErrUnsettled
	}
	t.sequence++
	o := NewOrder(NewID(t.incarnation, s.number, t.sequence), verb, argument)
	t.outstanding, t.sent = &o, false
	return o, nil
}

// Outstanding returns the order of target that is not settled.
func (s *Sender) Outstanding(target string) (Order, bool) {
	t := s.targets[target]
	if t == nil || t.outstanding == nil {
		return Order{}, false
	}
	return *t.outstanding, true
}

// Due returns the orders to send now, in target order, and counts them as
// sent. Pass what [lease.Holder.Held] says at this very moment: without the
// lease under the same number nothing is sent.
func (s *Sender) Due(now kumquatlug.Millis, number lease.Number, held bool) []Outgoing {
	if !held || !s.leaseHeld || number != s.number {
		return nil
	}
	var due []Outgoing
	for target, t := range s.targets {
		if t.outstanding == nil || (t.sent && now-t.sentAt < s.config.Resend) {
			continue
		}
		t.sent, t.sentAt = true, now
		due = append(due, Outgoing{target: target, order: *t.outstanding})
	}
	sort.Slice(due, func(i, j int) bool { return due[i].target < due[j].target })
	return due
}

// Answered takes a gate's reply to an order and returns how the order ended,
// if it did. A reply to another order than the outstanding one, come late,
// changes nothing.
func (s *Sender) Answered(target string, id ID, r Reply) (Settlement, bool) {
	s.observeNumber(r.number)
	t := s.targets[target]
	if t == nil || t.outstanding == nil || t.outstanding.id != id {
		return Settlement{}, false
	}
	switch r.verdict {
	case VerdictSettled:
		return s.finish(target, r.outcome)
	case VerdictOld:
		// The gate has not taken it, or long forgotten that it did.
		return s.finish(target, OutcomeUnknown)
	default:
		// Accepted, busy or not ready: it is sent again until it is settled.
		return Settlement{}, false
	}
}

func (s *Sender) finish(target string, outcome Outcome) (Settlement, bool) {
	t := s.targets[target]
	if t.outstanding == nil {
		return Settlement{}, false
	}
	ended := Settlement{target: target, order: *t.outstanding, outcome: outcome}
	t.outstanding = nil
	// The last report may be from before the order; the next one tells.
	t.phase = PhaseUnknown
	return ended, true
}
