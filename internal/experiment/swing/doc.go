// Package swing models a site whose load swings between long prompts and long
// outputs: engines that read prompts apart and others that generate, several
// fronts that know only what they see, and clients that come back once. It
// drives the decision packages themselves (placement, planner) and says what
// share of the worth clients receive, so that a change can be weighed without a
// site, and [Bound] says what no decision could exceed.
//
// What it leaves out: failures, transfers that take longer than a millisecond,
// preemption (a request waits until its memory is there), bytes, prices, and
// processor time of fronts.
package swing

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Span is two seconds of load: how many requests of each kind arrive.
type Span struct {
	Documents int
	Streams   int
}

// intervalLength is how long a [Span] lasts.
const intervalLength = 2 * kumquatlug.Second

// Sheet holds a site's figures. Its zero value stands for nothing; take
// [UserSites] or [LargeSite].
type Sheet struct {
	// Engines, Zones and Fronts are how many there are.
	Engines, Zones, Fronts int
	// Coordinators says that fronts ask each other for turns.
	Coordinators bool
	// ReadRate is prompt tokens a ms; PairTime ms for each million pairs of
	// tokens; Piece the tokens read at once.
	ReadRate, PairTime float64
	Piece              int
	// Step, PerStream and PerToken make a step of a batch: ms, ms for each
	// stream, ms for each 1,000 tokens in memory.
	Step, PerStream, PerToken float64
	// Slots and Memory are an engine's requests and tokens.
	Slots, Memory int
	// Event is the tokens of one event, Change how long a change of role takes.
	Event  int
	Change kumquatlug.Millis
	// Things is how many chains of shared parts there are.
	Things int
	// DocumentAim and StreamAim are the times to the first output for full
	// worth, Deadline how long a document's client waits.
	DocumentAim, StreamAim, Deadline, StreamDeadline kumquatlug.Millis
	// The worth of a request in time and late.
	DocumentWorth, DocumentLate, StreamWorth, StreamLate float64
}

// LargeSite returns the figures of the users' site with the most machines, with so
// many fronts.
func LargeSite(fronts int) Sheet {
	s := UserSites()
	s.Engines, s.Zones, s.Fronts, s.Slots, s.Event, s.Things = 59, 5, fronts, 12, 58, 2868
	s.StreamAim = 120
	s.DocumentWorth, s.DocumentLate, s.StreamWorth, s.StreamLate = 1.7, 0.5, 9.2, 2.8
	return s
}

// UserSites returns the figures that the users' two sites share; what is worth
// late is Bogota's.
func UserSites() Sheet {
	return Sheet{
		Engines: 12, Zones: 3, Fronts: 4, ReadRate: 236, PairTime: 0.138, Piece: 2048,
		Step: 0.637, PerStream: 0.00319, PerToken: 0.00213, Slots: 64, Memory: 370_000, Event: 52, Change: 3 * kumquatlug.Second,
		Things: 669, DocumentAim: 200, StreamAim: 150, Deadline: 2 * kumquatlug.Second, StreamDeadline: 15 * kumquatlug.Second,
		DocumentWorth: 1.8, DocumentLate: 0.55, StreamWorth: 4.1, StreamLate: 1.2,
	}
}
