// Package swing simulates a site whose load alternates between long prompts and long
// outputs: separate prefill and decode engines, several gateways that only have local
// knowledge, and clients that retry once. It runs the placement and planner packages
// themselves and computes which share of the offered value is delivered to clients, so
// that changes can be evaluated without a site. [Bound] returns an upper bound of it.
//
// The simulation leaves out failures, KV transfers that take longer than a millisecond,
// preemption (a request waits until memory for it is free), bytes, prices, and the CPU
// time of gateways.
package swing

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Span is the number of requests of each kind that arrive within two seconds. Documents
// have long prompts and short outputs, streams have short prompts and long outputs.
type Span struct {
	Documents int
	Streams   int
}

// intervalLength is the duration of a [Span].
const intervalLength = 2 * kumquatlug.Second

// Sheet holds the parameters of a site. The zero value is not usable; start from
// [UserSites] or [LargeSite].
type Sheet struct {
	// Engines, Zones and Fronts are the numbers of engines, zones and gateways.
	Engines, Zones, Fronts int
	// Coordinators enables coordination: gateways request permits from each other
	// before they send a prompt to an engine.
	Coordinators bool
	// ReadRate is the prefill rate in tokens per ms, PairTime the attention time in ms
	// per million pairs of tokens, Piece the size of a prefill chunk in tokens.
	ReadRate, PairTime float64
	Piece              int
	// Step is the duration of a decode step in ms. PerStream is added to it for each
	// stream of the batch, PerToken for each 1,000 tokens in memory.
	Step, PerStream, PerToken float64
	// Slots and Memory are an engine's maximum numbers of running requests and of tokens
	// in memory.
	Slots, Memory int
	// Event is the number of tokens of one streamed event, Change the duration of a role
	// change.
	Event  int
	Change kumquatlug.Millis
	// Things is the number of chains of shared prompt parts.
	Things int
	// DocumentAim and StreamAim are the targets of the time to first output: a request
	// that meets its target has its full value. Deadline and StreamDeadline are the time
	// after which the client of a document or a stream gives up.
	DocumentAim, StreamAim, Deadline, StreamDeadline kumquatlug.Millis
	// DocumentWorth and StreamWorth are the value of a request of mean size whose first
	// output is on time, DocumentLate and StreamLate if it is late.
	DocumentWorth, DocumentLate, StreamWorth, StreamLate float64
}

// LargeSite returns the parameters of the users' site with the most machines, with the
// given number of gateways.
func LargeSite(fronts int) Sheet {
	s := UserSites()
	s.Engines, s.Zones, s.Fronts, s.Slots, s.Event, s.Things = 59, 5, fronts, 12, 58, 2868
	s.StreamAim = 120
	s.DocumentWorth, s.DocumentLate, s.StreamWorth, s.StreamLate = 1.7, 0.5, 9.2, 2.8
	return s
}

// UserSites returns the parameters that the users' two sites have in common. The values of
// late requests are those of Bogota.
func UserSites() Sheet {
	return Sheet{
		Engines: 12, Zones: 3, Fronts: 4, ReadRate: 236, PairTime: 0.138, Piece: 2048,
		Step: 0.637, PerStream: 0.00319, PerToken: 0.00213, Slots: 64, Memory: 370_000, Event: 52, Change: 3 * kumquatlug.Second,
		Things: 669, DocumentAim: 200, StreamAim: 150, Deadline: 2 * kumquatlug.Second, StreamDeadline: 15 * kumquatlug.Second,
		DocumentWorth: 1.8, DocumentLate: 0.55, StreamWorth: 4.1, StreamLate: 1.2,
	}
}
