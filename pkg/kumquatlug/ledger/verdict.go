package ledger

// Verdict is what the ledger says of a call.
type Verdict string

// What the ledger may say.
const (
	// VerdictRun: this process holds the claim; run the call once, then
	// Finish or Abandon its ticket.
	VerdictRun Verdict = "run"
	// VerdictAnswer: the call ran and this is its answer.
	VerdictAnswer Verdict = "answer"
	// VerdictConflict: another call stands under the same key.
	VerdictConflict Verdict = "conflict"
	// VerdictUnknown: whether the call ran can't be known; it never runs again.
	VerdictUnknown Verdict = "unknown"
	// VerdictElsewhere: another process holds the claim; ask its target, and
	// if that is gone the run is unknown.
	VerdictElsewhere Verdict = "elsewhere"
	// VerdictStale: the dispatch was blocked and did not run; the request may
	// be sent again under the dispatch that the ruling carries. Its era is
	// still that of the first sending: were it newer, a block could overlook a
	// run of an earlier sending whose row is swept by then.
	VerdictStale Verdict = "stale"
	// VerdictBlocked: the dispatch did not run and never will; only an entry
	// that asked for it gets this.
	VerdictBlocked Verdict = "blocked"
)

// Ticket is the right to run a call once.
type Ticket struct {
	id    string
	claim string
}

// Ruling is the ledger's verdict and what goes with it.
type Ruling struct {
	verdict  Verdict
	ticket   Ticket
	outcome  Outcome
	holder   Holder
	dispatch Dispatch
}

// Verdict returns what to do.
func (r Ruling) Verdict() Verdict { return r.verdict }

// Ticket returns the right to run, with VerdictRun alone.
func (r Ruling) Ticket() Ticket { return r.ticket }

// Outcome returns the kept answer, with VerdictAnswer alone.
func (r Ruling) Outcome() Outcome { return r.outcome }

// Holder returns who holds the claim, with VerdictElsewhere alone.
func (r Ruling) Holder() Holder { return r.holder }

// Dispatch returns the mark to send the call with again, with VerdictStale
// and VerdictBlocked.
func (r Ruling) Dispatch() Dispatch { return r.dispatch }
