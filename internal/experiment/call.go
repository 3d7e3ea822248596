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
	id       string
	caller   string
	work     workName
	prompt   int
	output   int
	prefix   uint64
	shared   int
	arrival  kumquatlug.Millis
	deadline kumquatlug.Millis
	crasher  bool
	tries    int
	// fingerprint is equal for equal requests; claimed says that its row in the
	// table was won.
	fingerprint quarantine.Fingerprint
	claimed     bool
	// priority is what its entry asks the engine for.
	priority int

	entry      int
	sentAt     kumquatlug.Millis
	at         *engine
	sends      int
	first      kumquatlug.Millis
	ended      kumquatlug.Millis
	outcome    outcome
	retryAfter kumquatlug.Millis

	// left are the prompt tokens still to run, made the output tokens there
	// are and told those that were streamed to the caller.
	left      float64
	made      float64
	prefilled bool
	told      int
	started   kumquatlug.Millis
	imported  kumquatlug.Millis
}

// again is the same request, sent once more.
func (c *call) again(at kumquatlug.Millis) *call {
	return &call{
		id: fmt.Sprintf("%s+%d", c.id, c.tries+1), caller: c.caller, work: c.work, prompt: c.prompt, output: c.output,
		prefix: c.prefix, shared: c.shared, arrival: at, deadline: at + c.deadline - c.arrival, crasher: true,
		tries: c.tries + 1, fingerprint: c.fingerprint,
	}
}

// engineSeconds is how long an engine is busy with the call at its best batch.
func (c *call) engineSeconds() float64 {
	return float64(c.prompt)/prefillRate + float64(c.output)/decodeRateAt(maxBatch)
}
