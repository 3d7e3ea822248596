package kumquatlug

// The types of this file are what gateways that call workers directly tell each other about crashes
// of workers. Messages may be lost, repeated and reordered.

// CrashReport is what one gateway had in flight at a worker that crashed.
type CrashReport struct {
	// Service is the service of the worker, Worker its ID and StartedAt the start of the
	// incarnation that crashed, zero if unknown. Version is the version of its software.
	Service, Worker string
	StartedAt       int64
	Version         string
	// Suspects are what may have caused the crash.
	Suspects []CrashSuspect
}

// CrashSuspect is a part of a prompt, or a whole request, that may have caused a crash.
type CrashSuspect struct {
	// Identity names the part or the request, see package quarantine.
	Identity string
	// Requests are hashes of the requests in flight that it belongs to.
	Requests []uint32
	// Informed says that one of them was sent when the gateway knew of an earlier crash of the
	// same suspect.
	Informed bool
}

// CrashClearance says that requests with these identities were answered in full by a worker of a
// version, which a cause of crashes never is.
type CrashClearance struct {
	Service, Version string
	Identities       []string
}

// QuarantineEntry is a decision that requests are not sent to the workers of a service.
type QuarantineEntry struct {
	// Service is the service, Identities are those that a request must have all of to be refused.
	Service    string
	Identities []string
	// Crashes name the crashes behind the decision, Versions the versions of the workers.
	Crashes, Versions []string
	// Served are the versions whose workers have answered such a request since, Tried those for
	// which a probe was sent.
	Served, Tried []string
	// Probes is the number of probes so far.
	Probes int
	// Released says that the entry is no longer in force.
	Released bool
	// Revision increases with each change. Of two copies, the one with the higher revision holds.
	Revision int64
}

// QuarantineMessage is a message between two gateways.
type QuarantineMessage struct {
	Reports    []CrashReport
	Clearances []CrashClearance
	Entries    []QuarantineEntry
}

// Empty reports whether the message says nothing.
func (m QuarantineMessage) Empty() bool {
	return len(m.Reports)+len(m.Clearances)+len(m.Entries) == 0
}

// WorkerLife is whether an incarnation of a worker still runs.
type WorkerLife string

// The lives of a worker.
const (
	// WorkerRuns: it has responded.
	WorkerRuns WorkerLife = "runs"
	// WorkerEnded: nothing listens at its address, or another incarnation does.
	WorkerEnded WorkerLife = "ended"
	// WorkerUnknown: it can't be reached.
	WorkerUnknown WorkerLife = "unknown"
)
