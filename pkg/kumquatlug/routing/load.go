package routing

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Load is what a target said of itself in one report.
type Load struct {
	// Running and Waiting count the calls of all entries at the target.
	Running int
	Waiting int
	// KVUsed and KVTotal are tokens of KV memory; a total of zero means that
	// memory does not limit the target.
	KVUsed  int
	KVTotal int
	// PrefillRate is how many prompt tokens a second the target runs when
	// busy; zero when it does not know.
	PrefillRate float64
	// DecodeRate is how many tokens a second its running streams receive
	// together; zero when it does not know.
	DecodeRate float64
	// TakenAt is when the load was measured, on the entry's clock.
	TakenAt kumquatlug.Millis
	// Begun is how many of this entry's calls the target had begun by then,
	// counted since its incarnation.
	Begun int64
	// Incarnation tells lives of the target apart; a new one has an empty
	// cache and counts Begun from zero.
	Incarnation string
}

// rateWeight is the weight of one report in a target's rates: four reports make
// most of a change, so that one odd second does not move the routing.
const rateWeight = 0.3

// target is this entry's view of one target. What each decision reads comes
// first, to lie together in memory.
type target struct {
	slot int
	// ready says that it may be given work, remote that it is in another data
	// centre than the entry.
	ready     bool
	otherZone bool
	hash      uint64
	// prefillMillisPerToken and decodeToken are the milliseconds that a token of prompt
	// takes, and one of output alone in the batch, at the target's weight.
	prefillMillisPerToken float64
	decodeMillisPerToken  float64
	// Sums over calls.
	ownPrefillTokens float64
	ownWaiting       float64
	ownRunning       float64
	// The load of other entries by the last report.
	othersWaiting float64
	othersRunning float64
	kvUsed        float64
	kvTotal       float64
	// unreportedKV are tokens of calls that the last report does not hold yet.
	unreportedKV float64
	// trust is how far beliefs about the cache came true, 0 to 1.
	trust      float64
	reportedAt kumquatlug.Millis
	name       string

	reported bool
	// reportedStreams is the count of streams in the last report.
	reportedStreams int
	state           State
	assignments     []Duty
	weight          float64
	prefillRate     float64
	decodeRate      float64
	incarnation     string
	// eventSequence is that of the last cache event, if one was heard.
	eventSequence int64
	hasEvent      bool

	calls     map[string]ownCall
	sentCalls int64
	// begunOffset is what to add to the target's count of begun calls to compare it
	// with sent.
	begunOffset int64
	begunCalls  int64
}

// ownCall is one of this entry's calls in hand at a target.
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

// applyReport takes in l. A report is old when it arrives, and the calls that this
// entry sent meanwhile are not in it. Without telling them apart they would be
// counted twice or not at all: the entry would shun a target for its own calls
// or flood it until the next report. Begun says which ones the report holds.
func (t *target) applyReport(now kumquatlug.Millis, l Load, slowdown float64) {
	if t.reported && l.TakenAt < t.reportedAt && t.incarnation == l.Incarnation {
		return
	}
	known := t.reported && t.incarnation == l.Incarnation
	switch {
	case !t.reported:
		// The target may count calls from before this entry's start.
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

// updateOthersLoad takes this entry's calls out of the report's counts.
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

// updateSpeed derives what decisions need from state, weight and rates.
func (t *target) updateSpeed() {
	t.ready = t.state == StateReady && t.weight > 0
	if t.ready {
		t.prefillMillisPerToken = 1000 / (t.prefillRate * t.weight)
		t.decodeMillisPerToken = 1000 / (t.decodeRate * t.weight)
	}
}

// updateRates divides the tokens of the time since the last report by the count
// of streams at one of its ends, the greater. Divided by those that are left
// when streams have just ended, an engine looks several times as fast as it is:
// all entries choose it, and first tokens come late while others stand idle.
// The error that is left makes an engine look slow for a second, which floods
// none.
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

// callCount is how many calls are believed to be at the target.
func (t *target) callCount() float64 {
	return t.ownRunning + t.ownWaiting + t.othersRunning + t.othersWaiting
}

// workMillis is how long a call keeps the target, its stream sharing a batch.
func (t *target) workMillis(prefill, decode, slowdown float64) float64 {
	return 1000 * (prefill/t.prefillRate + decode*slowdown/t.decodeRate)
}
