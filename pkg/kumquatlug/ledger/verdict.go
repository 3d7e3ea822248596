package ledger

// Verdict is the decision of the ledger on a call.
type Verdict string

// Verdicts of a ledger.
const (
	// VerdictRun: this process holds the claim; run the call once, then pass
	// its ticket to Finish or Abandon.
	VerdictRun Verdict = "run"
	// VerdictResponse: the call ran and this is its response.
	VerdictResponse Verdict = "answer"
	// VerdictConflict: the key was used for a different call.
	VerdictConflict Verdict = "conflict"
	// VerdictUnknown: whether the call ran can't be known; it never runs again.
	VerdictUnknown Verdict = "unknown"
	// VerdictElsewhere: another process holds the claim; query its target, and
	// if that target no longer exists, the result of the run is unknown.
	VerdictElsewhere Verdict = "elsewhere"
	// VerdictStale: the dispatch was blocked and did not run; the request may
	// be sent again with the dispatch in the decision. That has the era of
	// the first attempt: with a newer era, a block could miss a run of an
	// earlier attempt whose row has been swept by then.
	VerdictStale Verdict = "stale"
	// VerdictBlocked: the dispatch did not run and never will. Only Block
	// returns it.
	VerdictBlocked Verdict = "blocked"
)

// Ticket is the right to run a call once.
type Ticket struct {
	id    string
	claim string
}

// Decision is a verdict with the data that belongs to it.
type Decision struct {
	verdict  Verdict
	ticket   Ticket
	outcome  Outcome
	holder   Holder
	dispatch Dispatch
}

// Verdict returns the verdict.
func (d Decision) Verdict() Verdict { return d.verdict }

// Ticket returns the right to run the call. It is set only with VerdictRun.
func (d Decision) Ticket() Ticket { return d.ticket }

// Outcome returns the stored response. It is set only with VerdictResponse.
func (d Decision) Outcome() Outcome { return d.outcome }

// Holder returns the process that holds the claim. It is meaningful only with
// VerdictElsewhere.
func (d Decision) Holder() Holder { return d.holder }

// Dispatch returns the dispatch to send the call with again. It is set only
// with VerdictStale and VerdictBlocked.
func (d Decision) Dispatch() Dispatch { return d.dispatch }
