package kumquatlug

// The types of this file are what workers say of themselves in their answers.

// WorkerLoad is how busy a worker says it is.
type WorkerLoad struct {
	known   bool
	running int
	waiting int
	slots   int
}

// NewWorkerLoad returns a load of so many requests running and waiting.
func NewWorkerLoad(running, waiting, slots int) WorkerLoad {
	return WorkerLoad{known: true, running: running, waiting: waiting, slots: slots}
}

// Known reports whether the worker said anything.
func (l WorkerLoad) Known() bool { return l.known }

// Running returns how many requests run.
func (l WorkerLoad) Running() int { return l.running }

// Waiting returns how many requests wait for a slot.
func (l WorkerLoad) Waiting() int { return l.waiting }

// Slots returns how many may run at once.
func (l WorkerLoad) Slots() int { return l.slots }

// Leaving reports that the worker says it is about to end.
func (r Reply) Leaving() bool { return r.leaving }

// Pause returns for how long the worker wants no more requests from this front, zero
// where it says nothing of it.
func (r Reply) Pause() Millis { return r.pause }

// RateLimit is what an answer says of the rate of requests that its worker takes from
// all fronts together. The zero value says nothing.
type RateLimit struct {
	known     bool
	limited   bool
	perSecond float64
}

// NewRateLimit returns a limit of so many requests a second.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{known: true, limited: true, perSecond: perSecond}
}

// NoRateLimit says that there is none.
func NoRateLimit() RateLimit { return RateLimit{known: true} }

// Named reports whether the answer names a limit.
func (l RateLimit) Named() bool { return l.limited }

// None reports whether the answer says that there is no limit.
func (l RateLimit) None() bool { return l.known && !l.limited }

// PerSecond returns the limit in requests a second.
func (l RateLimit) PerSecond() float64 { return l.perSecond }
