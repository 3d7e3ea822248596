package kumquatlug

// The types of this file are the load, rate limit and shutdown notices that workers
// attach to their responses.

// WorkerLoad is the load reported by a worker.
type WorkerLoad struct {
	known   bool
	running int
	waiting int
	slots   int
	// timeFactor is zero if the worker did not report it.
	timeFactor float64
}

// NewWorkerLoad returns a load with these numbers of running and waiting requests and
// of slots.
func NewWorkerLoad(running, waiting, slots int) WorkerLoad {
	return WorkerLoad{known: true, running: running, waiting: waiting, slots: slots}
}

// WithTimeFactor returns a copy of the load with the time that work takes at the moment
// of the report, relative to its usual time at this worker; 1 means as usual.
func (l WorkerLoad) WithTimeFactor(factor float64) WorkerLoad {
	l.timeFactor = factor
	return l
}

// TimeFactor returns the time that work takes at the moment of the report, relative to
// its usual time at this worker, and whether the worker reported it.
func (l WorkerLoad) TimeFactor() (float64, bool) { return l.timeFactor, l.timeFactor > 0 }

// Known reports whether the worker reported its load.
func (l WorkerLoad) Known() bool { return l.known }

// Running returns the number of running requests.
func (l WorkerLoad) Running() int { return l.running }

// Waiting returns the number of requests that wait for a slot.
func (l WorkerLoad) Waiting() int { return l.waiting }

// Slots returns how many requests may run at once.
func (l WorkerLoad) Slots() int { return l.slots }

// ShuttingDown reports that the worker is shutting down.
func (r WorkerResponse) ShuttingDown() bool { return r.shuttingDown }

// Backoff returns how long the worker wants no more requests from this gateway, zero if
// it does not say.
func (r WorkerResponse) Backoff() Millis { return r.backoff }

// RateLimit is the request rate that a worker reports to accept from all gateways
// together. The zero value means that it reports nothing.
type RateLimit struct {
	known     bool
	limited   bool
	perSecond float64
}

// NewRateLimit returns a limit in requests per second.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{known: true, limited: true, perSecond: perSecond}
}

// NoRateLimit returns the report that there is no limit.
func NoRateLimit() RateLimit { return RateLimit{known: true} }

// Limited reports whether there is a limit.
func (l RateLimit) Limited() bool { return l.limited }

// Unlimited reports whether the worker said that there is no limit.
func (l RateLimit) Unlimited() bool { return l.known && !l.limited }

// PerSecond returns the limit in requests per second.
func (l RateLimit) PerSecond() float64 { return l.perSecond }
