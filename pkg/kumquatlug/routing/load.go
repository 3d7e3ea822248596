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

// rateStep is the weight of one report in a target's rates: four reports make
// most of a change, so that one odd second does not move the routing.
const rateStep = 0.3

// target is this entry's view of one target. What each decision reads comes
// first, to lie together in memory.
type target struct {
	slot int
	// ready says that it may be given work, remote that it is in another data
	// centre than the entry.
	ready  bool
	remote bool
	hash   uint64
	// prefillToken and decodeToken are the milliseconds that a token of prompt
	// takes, and one of output alone in the batch, at the target's weight.
	prefillToken float64
	decodeToken  float64
	// Sums over calls.
	ownPrefill float64
	ownWaiting float64
	ownRunning float64
	// The load of other entries by the last report.
	othersWaiting float64
	othersRunning float64
	kvUsed        float64
	kvTotal       float64
	// unseenKV are tokens of calls that the last report does not hold yet.
	unseenKV float64
	// trust is how far beliefs about the cache came true, 0 to 1.
	trust      float64
	reportedAt kumquatlug.Millis
	name       string

	reported bool
	// running is the count of streams in the last report.
	running     int
	state       State
	duties      []Duty
	weight      float64
	prefillRate float64
	decodeRate  float64
	incarnation string
	// sequence is that of the last cache event, if one was heard.
	sequence int64
	heard    bool

	calls map[string]call
	sent  int64
	// base is what to add to the target's count of begun calls to compare it
	// with sent.
	base  int64
	begun int64
}

// call is one of this entry's calls in hand at a target.
type call struct {
	number  int64
	prefill float64
	tokens  float64
	started bool
}

func (t *target) send(c Call) {
	t.sent++
	own := call{
		number:  t.sent,
		prefill: float64(c.PrefillTokens),
		tokens:  float64(c.PrefillTokens + c.DecodeTokens),
	}
	t.calls[c.ID] = own
	t.ownWaiting++
	t.ownPrefill += own.prefill
	t.unseenKV += own.tokens
}

func (t *target) progress(id string, tokens int) {
	c, ok := t.calls[id]
	if !ok || c.started || tokens <= 0 {
		return
	}
	c.started = true
	t.calls[id] = c
	t.ownWaiting--
	t.ownRunning++
	t.ownPrefill -= c.prefill
}

func (t *target) finish(id string) {
	c, ok := t.calls[id]
	if !ok {
		return
	}
	delete(t.calls, id)
	if c.started {
		t.ownRunning--
	} else {
		t.ownWaiting--
		t.ownPrefill -= c.prefill
	}
	if c.number > t.begun {
		t.unseenKV -= c.tokens
	}
}

// report takes in l. A report is old when it arrives, and the calls that this
// entry sent meanwhile are not in it. Without telling them apart they would be
// counted twice or not at all: the entry would shun a target for its own calls
// or flood it until the next report. Begun says which ones the report holds.
func (t *target) report(now kumquatlug.Millis, l Load, slowdown float64) {
	if t.reported && l.TakenAt < t.reportedAt && t.incarnation == l.Incarnation {
		return
	}
	known := t.reported && t.incarnation == l.Incarnation
	switch {
	case !t.reported:
		// The target may count calls from before this entry's start.
		t.base = min(t.sent-l.Begun, 0)
	case l.Incarnation != t.incarnation, l.Begun+t.base < t.begun:
		t.base = t.sent - min(l.Begun, t.sent)
	}
	t.reported = true
	t.incarnation = l.Incarnation
	t.begun = min(l.Begun+t.base, t.sent)
	t.reportedAt = min(l.TakenAt, now)
	t.kvUsed = float64(l.KVUsed)
	t.kvTotal = float64(l.KVTotal)
	t.splitOthers(l)
	t.learnRates(l, known, slowdown)
}

// splitOthers takes this entry's calls out of the report's counts.
func (t *target) splitOthers(l Load) {
	seen := 0.0
	t.unseenKV = 0
	for _, c := range t.calls {
		if c.number <= t.begun {
			seen++
			continue
		}
		t.unseenKV += c.tokens
	}
	total := float64(l.Running + l.Waiting)
	t.othersWaiting, t.othersRunning = 0, 0
	if total <= seen {
		return
	}
	others := total - seen
	t.othersWaiting = others * float64(l.Waiting) / total
	t.othersRunning = others - t.othersWaiting
}

// weigh derives what decisions need from state, weight and rates.
func (t *target) weigh() {
	t.ready = t.state == StateReady && t.weight > 0
	if t.ready {
		t.prefillToken = 1000 / (t.prefillRate * t.weight)
		t.decodeToken = 1000 / (t.decodeRate * t.weight)
	}
}

// learnRates divides the tokens of the time since the last report by the count
// of streams at one of its ends, the greater. Divided by those that are left
// when streams have just ended, an engine looks several times as fast as it is:
// all entries choose it, and first tokens come late while others stand idle.
// The error that is left makes an engine look slow for a second, which floods
// none.
func (t *target) learnRates(l Load, known bool, slowdown float64) {
	if l.PrefillRate > 0 {
		t.prefillRate += rateStep * (l.PrefillRate - t.prefillRate)
	}
	before := l.Running
	if known {
		before = t.running
	}
	t.running = l.Running
	if running := float64(max(before, l.Running)); l.DecodeRate > 0 && running > 0 {
		alone := l.DecodeRate / running * (1 + slowdown*(running-1))
		t.decodeRate += rateStep * (alone - t.decodeRate)
	}
	t.weigh()
}

// streams is how many calls are believed to be at the target.
func (t *target) streams() float64 {
	return t.ownRunning + t.ownWaiting + t.othersRunning + t.othersWaiting
}

// busyMillis is how long a call keeps the target, its stream sharing a batch.
func (t *target) busyMillis(prefill, decode, slowdown float64) float64 {
	return 1000 * (prefill/t.prefillRate + decode*slowdown/t.decodeRate)
}
