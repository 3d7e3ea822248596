package experiment

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
)

// outcome is how a call ended for its caller.
type outcome string

const (
	outcomeOpen    outcome = ""
	outcomeOnTime  outcome = "on-time"
	outcomeLate    outcome = "late"
	outcomeRefused outcome = "refused"
	outcomeFailed  outcome = "failed"
)

// call is one request on its way.
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
	// fingerprint is equal for equal requests; claimed says that its row in the
	// table was won.
	fingerprint quarantine.Fingerprint
	claimed     bool
	// enginePriority is what its entry asks the engine for.
	enginePriority int

	gateway      int
	sentAt       kumquatlug.Millis
	engine       *engine
	sendCount    int
	firstTokenAt kumquatlug.Millis
	endedAt      kumquatlug.Millis
	outcome      outcome
	retryAfter   kumquatlug.Millis

	// prefillLeft are the prompt tokens still to run, made the output tokens there
	// are and told those that were streamed to the caller.
	prefillLeft float64
	generated   float64
	prefilled   bool
	streamed    int
	startedAt   kumquatlug.Millis
	kvReadyAt   kumquatlug.Millis
}

// resend is the same request, sent once more.
func (c *call) resend(at kumquatlug.Millis) *call {
	return &call{
		id: fmt.Sprintf("%s+%d", c.id, c.retries+1), caller: c.caller, workload: c.workload, promptTokens: c.promptTokens, outputTokens: c.outputTokens,
		prefixID: c.prefixID, prefixTokens: c.prefixTokens, arrival: at, deadline: at + c.deadline - c.arrival, crasher: true,
		retries: c.retries + 1, fingerprint: c.fingerprint,
	}
}

// engineSeconds is how long an engine is busy with the call at its best batch.
func (c *call) engineSeconds() float64 {
	return float64(c.promptTokens)/prefillTokensPerSecond + float64(c.outputTokens)/batchDecodeRate(maxBatchSize)
}
