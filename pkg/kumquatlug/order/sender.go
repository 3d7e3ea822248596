package order

import (
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/lease"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

// defaultResendInterval is the default of [SenderConfig.ResendInterval]. It is twice an
// agent's report interval: the reports show a drain, so resends during it are rare.
const defaultResendInterval = 2 * kumquatlug.Second

// Errors of [Sender.Issue].
var (
	// ErrNoLease is returned when the sender has no fencing token or has lost the
	// lease.
	ErrNoLease = errors.New("lease on the group is not held")
	// ErrTargetNotReady is returned when an order to the target is outstanding or the
	// target's state is unknown.
	ErrTargetNotReady = errors.New("target has an order in progress or its state is unknown")
)

// SenderConfig configures a [Sender].
type SenderConfig struct {
	// ResendInterval is the interval at which an order without a final reply is sent
	// again. Default 2 s.
	ResendInterval kumquatlug.Millis
}

// Report is the state of a gate, as an agent includes it in each load report.
type Report struct {
	// Target is the name of the agent's target.
	Target string
	// Incarnation is the agent's current incarnation.
	Incarnation Incarnation
	// FencingToken is the highest fencing token that the gate has seen.
	FencingToken lease.FencingToken
	// Phase is the target's current phase.
	Phase Phase
	// RequestedAt is when the sender requested the report, by its own clock.
	RequestedAt kumquatlug.Millis
}

// Result is the final result of an order, as its sender knows it.
type Result struct {
	target  string
	order   Order
	outcome Outcome
}

// Target returns the target of the order.
func (r Result) Target() string { return r.target }

// Order returns the order.
func (r Result) Order() Order { return r.order }

// Outcome returns how the order ended.
func (r Result) Outcome() Outcome { return r.outcome }

// Outgoing is an order to be sent to a target.
type Outgoing struct {
	target string
	order  Order
}

// Target returns the target of the order.
func (o Outgoing) Target() string { return o.target }

// Order returns the order.
func (o Outgoing) Order() Order { return o.order }

// targetState is a sender's state of one target.
type targetState struct {
	incarnation Incarnation
	phase       Phase
	sequence    int64
	outstanding *Order
	sentAt      kumquatlug.Millis
	sent        bool
	// endedAt is when the last order ended. A report requested before that may describe
	// the target before the order.
	endedAt kumquatlug.Millis
}

// Sender issues a lease holder's orders to the targets of its group. Each target
// has at most one outstanding order, which is sent under the same ID until it has
// completed. It is not safe for concurrent use.
type Sender struct {
	config       SenderConfig
	fencingToken lease.FencingToken
	leaseHeld    bool
	// acquiredAt is when the lease was acquired. A report requested before that may describe
	// a target before an order of the previous holder.
	acquiredAt kumquatlug.Millis
	targets    map[string]*targetState
}

// NewSender returns a sender that holds no lease.
func NewSender(c SenderConfig) *Sender {
	c.ResendInterval = standard.Millis(c.ResendInterval, defaultResendInterval)
	return &Sender{config: c, targets: make(map[string]*targetState)}
}

// LeaseAcquired records the fencing token of a newly acquired lease. Outstanding orders
// under earlier tokens are dropped. The gates let them complete before they accept
// another.
func (s *Sender) LeaseAcquired(now kumquatlug.Millis, token lease.FencingToken) {
	if token <= s.fencingToken {
		return
	}
	s.fencingToken, s.leaseHeld, s.acquiredAt = token, true, now
	for _, t := range s.targets {
		t.sequence, t.outstanding = 0, nil
		t.phase = PhaseUnknown
	}
}

// HandleReport handles an agent's report. One that was requested before the last order
// ended or before the lease was acquired makes no target ready: the same report is passed
// again until the agent has sent another, and with its phase an order that is already
// applied would be sent a second time.
//
// A new incarnation ends an outstanding order with OutcomeUnknown, returned with true: the
// previous process has ended and can start nothing, and the new one rejects orders for the
// previous one and reads the engine's state.
func (s *Sender) HandleReport(r Report) (Result, bool) {
	s.observeToken(r.FencingToken)
	t := s.targets[r.Target]
	if t == nil {
		t = &targetState{}
		s.targets[r.Target] = t
	}
	if r.Incarnation < t.incarnation {
		return Result{}, false
	}
	if r.Incarnation == t.incarnation && r.RequestedAt < max(t.endedAt, s.acquiredAt) {
		return Result{}, false
	}
	t.phase = r.Phase
	if r.RequestedAt < s.acquiredAt {
		t.phase = PhaseUnknown
	}
	if r.Incarnation == t.incarnation {
		return Result{}, false
	}
	t.incarnation, t.sequence = r.Incarnation, 0
	return s.finish(r.RequestedAt, r.Target, OutcomeUnknown)
}

// observeToken handles a fencing token seen in a message. A token higher than
// the sender's own means that the lease was lost, even if it has not yet expired by
// the local clock.
func (s *Sender) observeToken(token lease.FencingToken) {
	if token > s.fencingToken {
		s.leaseHeld = false
	}
}

// Issue creates an order for target, to be sent through [Sender.Due]. The error is
// ErrNoLease or ErrTargetNotReady. A refused order is not queued, since it may be
// outdated when the target can accept one.
func (s *Sender) Issue(target string, verb Verb, argument string) (Order, error) {
	if !s.leaseHeld {
		return Order{}, ErrNoLease
	}
	t := s.targets[target]
	if t == nil || t.outstanding != nil || t.phase != PhaseIdle {
		return Order{}, ErrTargetNotReady
	}
	t.sequence++
	o := NewOrder(NewID(t.incarnation, s.fencingToken, t.sequence), verb, argument)
	t.outstanding, t.sent = &o, false
	return o, nil
}

// Outstanding returns the order to target that has not completed, if any.
func (s *Sender) Outstanding(target string) (Order, bool) {
	t := s.targets[target]
	if t == nil || t.outstanding == nil {
		return Order{}, false
	}
	return *t.outstanding, true
}

// Due returns the orders to send now, sorted by target name, and marks them as
// sent. token and held are the current result of [lease.Holder.Held]; if the lease
// is not held under the sender's token, Due returns nothing.
func (s *Sender) Due(now kumquatlug.Millis, token lease.FencingToken, held bool) []Outgoing {
	if !held || !s.leaseHeld || token != s.fencingToken {
		return nil
	}
	var due []Outgoing
	for target, t := range s.targets {
		if t.outstanding == nil || (t.sent && now-t.sentAt < s.config.ResendInterval) {
			continue
		}
		t.sent, t.sentAt = true, now
		due = append(due, Outgoing{target: target, order: *t.outstanding})
	}
	sort.Slice(due, func(i, j int) bool { return due[i].target < due[j].target })
	return due
}

// HandleResponse handles a gate's reply to an order and returns the order's result if it
// has completed. A late reply to an order that is no longer outstanding is ignored.
func (s *Sender) HandleResponse(now kumquatlug.Millis, target string, id ID, r Response) (Result, bool) {
	s.observeToken(r.fencingToken)
	t := s.targets[target]
	if t == nil || t.outstanding == nil || t.outstanding.id != id {
		return Result{}, false
	}
	switch r.verdict {
	case VerdictCompleted:
		return s.finish(now, target, r.outcome)
	case VerdictStale:
		// The gate never accepted the order, or no longer has its record.
		return s.finish(now, target, OutcomeUnknown)
	default:
		// Accepted, busy or not ready: the order is resent until it completes.
		return Result{}, false
	}
}

func (s *Sender) finish(now kumquatlug.Millis, target string, outcome Outcome) (Result, bool) {
	t := s.targets[target]
	if t.outstanding == nil {
		return Result{}, false
	}
	ended := Result{target: target, order: *t.outstanding, outcome: outcome}
	t.outstanding, t.endedAt = nil, now
	// The last report may predate the order, so the phase is unknown until the
	// next one.
	t.phase = PhaseUnknown
	return ended, true
}
