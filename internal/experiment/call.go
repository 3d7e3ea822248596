package experiment

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// outcome is the outcome of a call for its caller.
type outcome string

const (
	outcomeOpen    outcome = ""
	outcomeOnTime  outcome = "on-time"
	outcomeLate    outcome = "late"
	outcomeRefused outcome = "refused"
	outcomeFailed  outcome = "failed"
)

// call is one request of a caller.
type call struct {
	id           string
	caller       string
	workload     workload
	promptTokens int
	outputTokens int
	prefixID     uint64
	prefixTokens int
	arrival      kumquatlug.Millis
	deadline     kumquatlug.Millis
	crasher      bool
	retries      int
	// fingerprint is equal for equal requests. claimed says that the call holds the row of
	// its fingerprint in the table.
	fingerprint quarantine.Fingerprint
	claimed     bool
	// enginePriority is the priority that its gateway requests from the engine.
	enginePriority int

	gateway      int
	sentAt       kumquatlug.Millis
	engine       *engine
	sendCount    int
	firstTokenAt kumquatlug.Millis
	endedAt      kumquatlug.Millis
	outcome      outcome
	retryAfter   kumquatlug.Millis

	// prefillLeftTokens is the number of tokens still to prefill, generated the number of output
	// tokens, streamed the number of those that were sent to the caller.
	prefillLeftTokens float64
	generated         float64
	prefilled         bool
	streamed          int
	startedAt         kumquatlug.Millis
	kvReadyAt         kumquatlug.Millis
}

// resend returns a call with the same request that arrives at a later time.
func (c *call) resend(at kumquatlug.Millis) *call {
	return &call{
		id: fmt.Sprintf("%s+%d", c.id, c.retries+1), caller: c.caller, workload: c.workload, promptTokens: c.promptTokens, outputTokens: c.outputTokens,
		prefixID: c.prefixID, prefixTokens: c.prefixTokens, arrival: at, deadline: at + c.deadline - c.arrival, crasher: true,
		retries: c.retries + 1, fingerprint: c.fingerprint,
	}
}

// engineSeconds returns the engine time of the call at the maximum batch size, in seconds.
func (c *call) engineSeconds() float64 {
	return float64(c.promptTokens)/prefillTokensPerSecond + float64(c.outputTokens)/batchDecodeRate(maxBatchSize)
}
