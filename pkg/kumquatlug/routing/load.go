package routing

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Load is one load report of a target.
type Load struct {
	// Running and Waiting count the calls of all gateways at the target.
	Running int
	Waiting int
	// KVUsed and KVTotal are tokens of KV memory; a total of zero means that memory
	// does not limit the target.
	KVUsed  int
	KVTotal int
	// PrefillRate is the prompt tokens per second that the target processes when busy;
	// zero if unknown.
	PrefillRate float64
	// DecodeRate is the tokens per second of all its running streams together; zero if
	// unknown.
	DecodeRate float64
	// TakenAt is when the load was measured, on the gateway's clock.
	TakenAt kumquatlug.Millis
	// Begun is the number of this gateway's calls that the target had begun by then,
	// counted from the start of its incarnation.
	Begun int64
	// Incarnation identifies one run of the target; a new one has an empty cache and
	// counts Begun from zero.
	Incarnation string
}

// rateWeight is the weight of one report in a target's rates: four reports make up most
// of a change, so that one unusual second does not move the routing.
const rateWeight = 0.3

// target is this gateway's view of one target. The fields that each decision reads come
// first, to be adjacent in memory.
type target struct {
	slot int
	// ready is whether it may be given work, otherZone whether it is in another data
	// centre than the gateway.
	ready     bool
	otherZone bool
	hash      uint64
	// prefillMsPerToken and decodeMsPerToken are the milliseconds per prompt
	// token, and per output token of a stream alone in the batch, at the target's
	// weight.
	prefillMsPerToken float64
	decodeMsPerToken  float64
	// Sums over this gateway's calls in flight.
	ownPrefillTokens float64
	ownWaiting       float64
	ownRunning       float64
	// The load of other gateways by the last report.
	othersWaiting float64
	othersRunning float64
	kvUsed        float64
	kvTotal       float64
	// unreportedKV are tokens of calls that the last report does not include yet.
	unreportedKV float64
	// trust is the fraction of cached prefixes that were confirmed, 0 to 1.
	trust      float64
	reportedAt kumquatlug.Millis
	name       string

	reported bool
	// reportedStreams is the number of running streams in the last report.
	reportedStreams int
	state           State
	assignments     []Assignment
	weight          float64
	prefillRate     float64
	decodeRate      float64
	incarnation     string
	// eventSequence is the sequence number of the last cache event, if hasEvent.
	eventSequence int64
	hasEvent      bool

	calls     map[string]ownCall
	sentCalls int64
	// begunOffset is added to the target's count of begun calls to make it comparable
	// with sentCalls.
	begunOffset int64
	begunCalls  int64
}

// ownCall is one of this gateway's calls in flight at a target.
type ownCall struct {
	number        int64
	prefillTokens float64
	tokens        float64
	started       bool
}

func (t *target) addCall(c Call) {
	t.sentCalls++
	own := ownCall{
		number:        t.sentCalls,
		prefillTokens: float64(c.PrefillTokens),
		tokens:        float64(c.PrefillTokens + c.DecodeTokens),
	}
	t.calls[c.ID] = own
	t.ownWaiting++
	t.ownPrefillTokens += own.prefillTokens
	t.unreportedKV += own.tokens
}

func (t *target) markStarted(id string, tokens int) {
	c, ok := t.calls[id]
	if !ok || c.started || tokens <= 0 {
		return
	}
	c.started = true
	t.calls[id] = c
	t.ownWaiting--
	t.ownRunning++
	t.ownPrefillTokens -= c.prefillTokens
}

func (t *target) removeCall(id string) {
	c, ok := t.calls[id]
	if !ok {
		return
	}
	delete(t.calls, id)
	if c.started {
		t.ownRunning--
	} else {
		t.ownWaiting--
		t.ownPrefillTokens -= c.prefillTokens
	}
	if c.number > t.begunCalls {
		t.unreportedKV -= c.tokens
	}
}

// applyReport applies a load report. A report is old when it arrives and lacks the
// calls that this gateway sent since; Begun says which calls it includes. Without that,
// they would be counted twice or not at all: the gateway would avoid a target because
// of its own calls, or flood it until the next report.
func (t *target) applyReport(now kumquatlug.Millis, l Load, slowdown float64) {
	if t.reported && l.TakenAt < t.reportedAt && t.incarnation == l.Incarnation {
		return
	}
	known := t.reported && t.incarnation == l.Incarnation
	switch {
	case !t.reported:
		// The target may count calls from before this gateway's start.
		t.begunOffset = min(t.sentCalls-l.Begun, 0)
	case l.Incarnation != t.incarnation, l.Begun+t.begunOffset < t.begunCalls:
		t.begunOffset = t.sentCalls - min(l.Begun, t.sentCalls)
	}
	t.reported = true
	t.incarnation = l.Incarnation
	t.begunCalls = min(l.Begun+t.begunOffset, t.sentCalls)
	t.reportedAt = min(l.TakenAt, now)
	t.kvUsed = float64(l.KVUsed)
	t.kvTotal = float64(l.KVTotal)
	t.updateOthersLoad(l)
	t.updateRates(l, known, slowdown)
}

// updateOthersLoad subtracts this gateway's calls from the report's counts.
func (t *target) updateOthersLoad(l Load) {
	included := 0.0
	t.unreportedKV = 0
	for _, c := range t.calls {
		if c.number <= t.begunCalls {
			included++
			continue
		}
		t.unreportedKV += c.tokens
	}
	total := float64(l.Running + l.Waiting)
	t.othersWaiting, t.othersRunning = 0, 0
	if total <= included {
		return
	}
	others := total - included
	t.othersWaiting = others * float64(l.Waiting) / total
	t.othersRunning = others - t.othersWaiting
}

// updateSpeed derives the values that decisions need from state, weight and rates.
func (t *target) updateSpeed() {
	t.ready = t.state == StateReady && t.weight > 0
	if t.ready {
		t.prefillMsPerToken = 1000 / (t.prefillRate * t.weight)
		t.decodeMsPerToken = 1000 / (t.decodeRate * t.weight)
	}
}

// updateRates divides the decoded tokens since the last report by the number of streams
// at its start or end, whichever is greater. Divided by the streams left after many
// have just ended, an engine looks several times as fast as it is: all gateways choose
// it, and first tokens come late while other engines are idle. The remaining error
// makes an engine look slow for a second, which overloads none.
func (t *target) updateRates(l Load, known bool, slowdown float64) {
	if l.PrefillRate > 0 {
		t.prefillRate += rateWeight * (l.PrefillRate - t.prefillRate)
	}
	before := l.Running
	if known {
		before = t.reportedStreams
	}
	t.reportedStreams = l.Running
	if running := float64(max(before, l.Running)); l.DecodeRate > 0 && running > 0 {
		single := l.DecodeRate / running * (1 + slowdown*(running-1))
		t.decodeRate += rateWeight * (single - t.decodeRate)
	}
	t.updateSpeed()
}

// callCount returns the estimated number of calls at the target.
func (t *target) callCount() float64 {
	return t.ownRunning + t.ownWaiting + t.othersRunning + t.othersWaiting
}

// workMs returns the milliseconds of target time that a call takes, its stream
// sharing a batch.
func (t *target) workMs(prefill, decode, slowdown float64) float64 {
	return 1000 * (prefill/t.prefillRate + decode*slowdown/t.decodeRate)
}
