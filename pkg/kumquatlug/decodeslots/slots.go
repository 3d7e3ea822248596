// Package decodeslots shares the decode slots of engines among gateways, so that no engine
// is given more streams than it has slots.
//
// The load: 29 gateways decode at 18 engines of 12 slots each, 481 long prompts with one or
// two events and 22 questions with 72 events per second, in bursts of 1.9 times the rate. A
// gateway sees about one response per second of each engine, so that all gateways choose
// an engine that looked idle a while ago, and its streams wait or preempt each other.
//
// For each engine the gateway that coordinates it counts the requests that decode there, by
// gateway. Another gateway sends its own count, an absolute number, with the question whether
// it may add one request; the response is the total of all gateways and whether the request is
// granted. A message that is lost, late or repeated does no lasting harm: the next one
// replaces it. A gateway that gets no response from a coordinator proceeds without a grant.
//
// The size of a request is not part of any decision.
package decodeslots

import (
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of the exchange of counts.
const (
	// AnswerTimeout is how long a request that is ready to be sent waits for the response
	// of a coordinator: several round trips of 1 ms, and a small part of a latency target
	// of 120 ms.
	AnswerTimeout = 8 * kumquatlug.Millis(1)
	// MaxDenials is the number of engines that may deny a request before it goes to the
	// engine with the lowest total.
	MaxDenials = 3
	// countInterval is the interval at which a gateway repeats its count while it has
	// requests at an engine. countExpiry is the age from which a count is ignored: after
	// four lost messages the gateway is assumed to be gone.
	countInterval = 500 * kumquatlug.Millis(1)
	countExpiry   = 2 * kumquatlug.Second
	// totalFreshFor is the age up to which a received total is used. A request with two
	// events decodes for about 120 ms, so that an older total describes other requests.
	totalFreshFor = 300 * kumquatlug.Millis(1)
	// learnTime is how long a new coordinator does not rely on its counts alone: by then
	// each gateway has repeated its count.
	learnTime = countInterval + 100*kumquatlug.Millis(1)
	// maxUnanswered is the number of consecutive questions without a response after which
	// a coordinator is not asked for askPause. Without the pause each request would wait
	// for AnswerTimeout while a coordinator is down.
	maxUnanswered = 3
	askPause      = 1 * kumquatlug.Second
	// abandonedFor is how long a late response is still accepted as a sign of life.
	abandonedFor = 2 * kumquatlug.Second
)

// Config configures [Slots].
type Config struct {
	// Self is the name of this gateway.
	Self string
	// Coordinators maps engines to the gateways that coordinate them.
	Coordinators kumquatlug.Coordinators
	// FirstSequence is lower than the sequence of each message. It has to be higher than
	// those of earlier processes under the same name, whose counts would otherwise hide
	// the new ones until they expire.
	FirstSequence uint64
}

// Engine describes an engine at the time of a decision.
type Engine struct {
	ID string
	// Slots is the number of requests that may decode at the same time, zero if the
	// engine accepts none.
	Slots int
	// Estimate is the number of requests that the engine is assumed to have from its own
	// reports. It is used by a coordinator that doesn't know all counts yet.
	Estimate float64
}

// Decision is the response to a question for a slot.
type Decision string

// The values of [Decision].
const (
	// Pending: the coordinator has been asked.
	Pending Decision = "pending"
	// Granted: the request may be sent to the engine.
	Granted Decision = "granted"
	// Denied: all slots are taken.
	Denied Decision = "denied"
	// Unanswered: there is no coordinator, or it does not respond.
	Unanswered Decision = "unanswered"
)

// Slots is the state of one gateway for the engines of one service. It is not safe for
// concurrent use.
type Slots struct {
	config   Config
	sequence uint64
	// own holds this gateway's requests by engine, order the engines in the order of
	// their first use.
	own   map[string]*ownCount
	order []string
	// asks are the questions that were sent, by sequence.
	asks map[uint64]*ask
	// coordinated holds the counts at the engines that this gateway coordinates.
	coordinated map[string]*engineCounts
	peers       map[string]*peerState
	changes     []Change
	outbox      []Message
	stats       Stats
	// calledAt is when the time was last noted; see [Slots.noteTime].
	calledAt kumquatlug.Millis
}

// Stats counts questions by outcome. A question for which all engines are asked in turn
// counts once for each of them.
type Stats struct{ Asked, Granted, Denied, Unanswered int }

// TakeStats returns the counts since the last call.
func (s *Slots) TakeStats() Stats {
	stats := s.stats
	s.stats = Stats{}
	return stats
}

// record counts a decision.
func (s *Slots) record(d Decision) Decision {
	switch d {
	case Granted:
		s.stats.Granted++
	case Denied:
		s.stats.Denied++
	case Unanswered:
		s.stats.Unanswered++
	}
	return d
}

// ownCount is the state of this gateway's requests at one engine.
type ownCount struct {
	// running counts the requests that were sent to the engine or are about to be, held
	// the granted slots of requests that are still being prefilled, pending the questions
	// for such requests.
	running, held, pending int
	// reported is the number that the coordinator is assumed to have, unknownCount if it
	// is not known. sequence is that of the last message, sentAt its time.
	reported    int
	sequence    uint64
	sentAt      kumquatlug.Millis
	coordinator string
	// others is the number of requests of other gateways by the last total, which
	// responded to the message othersSequence and arrived at othersAt.
	others         int
	othersSequence uint64
	othersAt       kumquatlug.Millis
}

const unknownCount = -1

func (o *ownCount) total() int { return o.running + o.held + o.pending }

// idle reports whether nothing is lost if the state of an engine is forgotten: there are no
// requests, no other gateway has to be told, and the last total is too old to be used.
func (s *Slots) idle(now kumquatlug.Millis, o *ownCount) bool {
	reported := o.reported == 0 || o.coordinator == s.config.Self || o.coordinator == ""
	return o.total() == 0 && reported && now-o.sentAt >= totalFreshFor && now-o.othersAt >= totalFreshFor
}

// ask is one question for a slot.
type ask struct {
	engine, coordinator string
	// count is the number that was sent with the question. started says that the request
	// is part of ownCount.running, abandoned that no request waits for the response any more.
	count     int
	started   bool
	abandoned bool
	sentAt    kumquatlug.Millis
}

// peerState records whether a coordinator responds.
type peerState struct {
	unanswered  int
	pausedUntil kumquatlug.Millis
}

// Change says that a coordinator stopped responding to questions, or responds again.
type Change struct {
	gateway string
	answers bool
}

// Gateway returns the name of the coordinator.
func (c Change) Gateway() string { return c.gateway }

// Answers reports whether the coordinator responds.
func (c Change) Answers() bool { return c.answers }

// Message is a message to another gateway. Exactly one of Count and Total is set.
type Message struct {
	Gateway string
	Count   *kumquatlug.DecodeCount
	Total   *kumquatlug.DecodeTotal
}

// New returns a state without requests.
func New(c Config) *Slots {
	return &Slots{
		config: c, sequence: c.FirstSequence, own: map[string]*ownCount{}, asks: map[uint64]*ask{},
		coordinated: map[string]*engineCounts{}, peers: map[string]*peerState{},
	}
}

// Outbox returns and removes the messages to send.
func (s *Slots) Outbox() []Message {
	out := s.outbox
	s.outbox = nil
	return out
}

// Changes returns and removes the changes since the last call.
func (s *Slots) Changes() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

func (s *Slots) ownAt(engine string) *ownCount {
	o, known := s.own[engine]
	if !known {
		o = &ownCount{}
		s.own[engine] = o
		s.order = append(s.order, engine)
	}
	return o
}

func (s *Slots) sendCount(now kumquatlug.Millis, coordinator, engine string, o *ownCount, count int, asks bool) {
	s.sequence++
	o.sequence, o.sentAt, o.reported, o.coordinator = s.sequence, now, count, coordinator
	s.outbox = append(s.outbox, Message{Gateway: coordinator, Count: &kumquatlug.DecodeCount{
		Engine: engine, Sequence: s.sequence, Count: count, Asks: asks,
	}})
}

// report sends the count of an engine to its coordinator unless the coordinator has it.
func (s *Slots) report(now kumquatlug.Millis, engine string, o *ownCount) {
	coordinator := s.config.Coordinators.Coordinator(now, engine)
	if coordinator != o.coordinator {
		// A new coordinator has no count of this gateway.
		o.coordinator, o.reported = coordinator, 0
	}
	if coordinator == "" || coordinator == s.config.Self {
		return
	}
	total := o.total()
	if total != o.reported || total > 0 && now-o.sentAt >= countInterval {
		s.sendCount(now, coordinator, engine, o, total, false)
	}
}

// Begin records a request that was sent to an engine or is about to be. Its count is sent
// by the next [Slots.Tick], unless the request asks for a slot before that.
func (s *Slots) Begin(engine string) { s.ownAt(engine).running++ }

// Start records that a request whose slot is held is sent to its engine.
func (s *Slots) Start(engine string) {
	o := s.ownAt(engine)
	o.held = max(0, o.held-1)
	o.running++
}

// Release gives up a slot that is held.
func (s *Slots) Release(now kumquatlug.Millis, engine string) {
	if o, used := s.own[engine]; used {
		o.held = max(0, o.held-1)
		s.report(now, engine, o)
	}
}

// End records the end of a request that was recorded by [Slots.Begin] or [Slots.Start].
func (s *Slots) End(now kumquatlug.Millis, engine string) {
	if o, used := s.own[engine]; used {
		o.running = max(0, o.running-1)
		s.report(now, engine, o)
	}
}

// Tick sends the counts that are due. It has to be called every few hundredths of a second.
func (s *Slots) Tick(now kumquatlug.Millis) {
	s.noteTime(now)
	s.dropUncoordinated(now)
	// Without this, each Tick would report all engines that were ever used.
	s.order = slices.DeleteFunc(s.order, func(engine string) bool {
		o := s.own[engine]
		s.report(now, engine, o)
		if !s.idle(now, o) {
			return false
		}
		delete(s.own, engine)
		return true
	})
	for sequence, a := range s.asks {
		if a.abandoned && now-a.sentAt > abandonedFor {
			delete(s.asks, sequence)
		}
	}
}

// Reset forgets the requests at an engine that restarted or left. They no longer decode, and
// their ends must not be recorded.
func (s *Slots) Reset(engine string) {
	delete(s.coordinated, engine)
	for _, a := range s.asks {
		if a.engine == engine {
			a.abandoned = true
		}
	}
	if o, known := s.own[engine]; known {
		// The coordinator gets the count again even if it is zero.
		*o = ownCount{reported: unknownCount, coordinator: o.coordinator}
	}
}

// Remove forgets an engine that left.
func (s *Slots) Remove(engine string) {
	s.Reset(engine)
	delete(s.own, engine)
	s.order = slices.DeleteFunc(s.order, func(other string) bool { return other == engine })
}

// Others returns the number of requests at an engine that are not part of those recorded by
// [Slots.Begin] and [Slots.Start]: those of other gateways, and slots held by this one. It
// reports false if the number is not known or too old.
func (s *Slots) Others(now kumquatlug.Millis, engine string) (float64, bool) {
	c, counted := s.coordinated[engine]
	o, used := s.own[engine]
	fresh := used && o.othersSequence != 0 && now-o.othersAt < totalFreshFor
	if !counted && !fresh {
		// Most of thousands of engines. To find the coordinator of one takes a pass over all
		// gateways after each change of a gateway.
		return 0, false
	}
	if s.config.Coordinators.IsCoordinator(now, engine) {
		if !counted || now-c.since < learnTime {
			return 0, false
		}
		others := c.sum(now)
		if used {
			others += o.held
		}
		return float64(others), true
	}
	if !fresh {
		return 0, false
	}
	return float64(o.others + o.held), true
}

// HoldTime returns how long a stream that found no slot waits before it asks once more. slack
// is the time that is left until its latency target. A stream without slack goes to an engine
// at once, so that those that wait are the ones with the most time left.
func HoldTime(slack kumquatlug.Millis) kumquatlug.Millis {
	if hold := slack / 2; hold > AnswerTimeout {
		return hold
	}
	return 0
}
