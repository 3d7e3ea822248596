package lease

import (
	"fmt"
	"maps"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// holderCount is the number of processes that compete for the lease.
const holderCount = 3

// moveKinds lists the kinds of moves, each repeated according to its weight.
var moveKinds = []string{
	"poll", "poll", "poll", "poll", "poll", "poll", "poll", "poll",
	"tick", "tick", "pause", "pause", "pause-around-response", "pause-around-response", "deliver-request", "deliver-response", "deliver-response", "want", "reacquire", "restart", "undisturbed", "recover",
}

// handoverDelay is the least time between orders of two VMs.
const handoverDelay = 4 * kumquatlug.Second

// requestOutcomes lists the outcomes of requests, each repeated according to its weight.
var requestOutcomes = []string{
	"ok", "ok", "ok", "ok", "ok", "ok", "unavailable", "response-lost", "request-lost", "request-delayed", "response-delayed",
}

// Three processes compete for one group's lease. They are paused and resumed at any
// time, their clocks drift by 500 ppm, requests and responses are lost or delayed, the
// table is unavailable, processes restart, shut down as planned and cancel the
// shutdown. A fault shows as two planners that move the same engine back and forth, or
// as a group without a planner after the faults have ended.
func TestProofOneHolder(t *testing.T) {
	proof.Run(t, proof.Config{
		Property: "one holder at a time, under a number of its own",
		Seed:     1, Runs: 200, Steps: 60,
		StepGen:   proof.Actions(moveKinds, holderCount, play),
		NewSystem: func() commands.SystemUnderTest { return newWorld() },
	})
}

// The same faults, while the table is repeatedly restored from older copies. Two planners
// could each hold the lease by a different history of the table and send orders at the
// same time, and the next holder could reuse a token that engines have already seen.
func TestProofOneHolderThroughRestores(t *testing.T) {
	proof.Run(t, proof.Config{
		Property: "one holder at a time, under rising numbers, through restores",
		Seed:     2, Runs: 400, Steps: 60,
		StepGen:   proof.Actions(append([]string{"restore", "restore"}, moveKinds...), holderCount, play),
		NewSystem: func() commands.SystemUnderTest { return newWorld() },
	})
}

// message is a request or response in transit.
type message struct {
	to     int
	holder *Holder
	intent Intent
	row    kumquatlug.Row
	err    error
}

// world simulates three holders that share one row, and records what the invariants
// need.
type world struct {
	now              kumquatlug.Millis
	holders          []*Holder
	wanted           []bool
	startCount       int
	table            map[string]kumquatlug.Row
	record           Record
	delayedRequests  []message
	delayedResponses []message
	highestToken     FencingToken
	expiredTokens    map[*Holder]FencingToken
	err              error
	// orderedAt is when a VM could last have sent an order, orderedBy the VM's index.
	orderedAt kumquatlug.Millis
	orderedBy int
	// backups are copies of the table after each write, to restore from; lastVersion is
	// the highest row version.
	backups     []map[string]kumquatlug.Row
	era         int64
	lastVersion int64
}

func newWorld() *world {
	w := &world{orderedAt: -handoverDelay, holders: make([]*Holder, holderCount), wanted: make([]bool, holderCount), table: map[string]kumquatlug.Row{}, expiredTokens: map[*Holder]FencingToken{}}
	for i := range w.holders {
		w.restartHolder(i)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Newf(format, args...)
	}
}

// clock returns the reading of holder i's clock. Each clock has its own origin and
// rate, with 500 ppm between the slowest and the fastest.
func (w *world) clock(i int) kumquatlug.Millis {
	return kumquatlug.Millis(1000000*(i+1)) + w.now + w.now*kumquatlug.Millis(250*(i-1))/1000000
}

func (w *world) restartHolder(i int) {
	w.startCount++
	h, err := New(Config{
		Group: "g", HolderID: fmt.Sprintf("entry-%d/%d", i, w.startCount), PreviousIDPrefix: fmt.Sprintf("entry-%d/", i), HandoverDelay: handoverDelay,
	})
	if err != nil {
		w.fail("%v", err)
	}
	w.holders[i], w.wanted[i] = h, true
}

func play(sut commands.SystemUnderTest, m proof.Action) commands.Result {
	w := sut.(*world)
	switch m.Kind {
	case "poll":
		w.pollTable(m.Actor, requestOutcomes[m.Choice%len(requestOutcomes)], requestOutcomes[m.Choice/100%len(requestOutcomes)])
	case "tick":
		w.now += kumquatlug.Millis(m.Choice)
	case "pause":
		w.advance(m.Actor, kumquatlug.Millis(m.Choice*3))
	case "pause-around-response":
		w.pauseAroundResponse(m)
	case "deliver-request":
		if len(w.delayedRequests) > 0 {
			k := m.Choice % len(w.delayedRequests)
			r := w.delayedRequests[k]
			w.delayedRequests = append(w.delayedRequests[:k:k], w.delayedRequests[k+1:]...)
			w.execute(&r)
		}
	case "deliver-response":
		if len(w.delayedResponses) > 0 {
			k := m.Choice % len(w.delayedResponses)
			a := w.delayedResponses[k]
			w.delayedResponses = append(w.delayedResponses[:k:k], w.delayedResponses[k+1:]...)
			w.deliverResponse(a)
		}
	case "want":
		w.wanted[m.Actor] = m.Choice%2 == 0
		w.holders[m.Actor].SetWanted(w.wanted[m.Actor])
	case "reacquire":
		w.reacquire(m)
	case "restart":
		w.restartHolder(m.Actor)
	case "undisturbed":
		w.advance(-1, kumquatlug.Millis(m.Choice*3))
	case "restore":
		w.restoreTable(m.Choice)
	case "recover":
		w.checkRecovery()
	}
	w.checkHolders()
	if w.err != nil {
		return w.err
	}
	return nil
}

// pollTable runs a holder's next request and the one that follows it, with the given
// outcomes.
func (w *world) pollTable(i int, outcomes ...string) {
	h := w.holders[i]
	intent := h.Next(w.clock(i))
	for _, outcome := range outcomes {
		if intent.Action() == ActionNone {
			return
		}
		intent = w.send(message{to: i, holder: h, intent: intent}, outcome)
	}
	// A request that is never sent has the same effect as a lost one.
}

func (w *world) send(m message, outcome string) Intent {
	lost := errors.Mark(errors.New("no response"), kumquatlug.ErrLost)
	switch outcome {
	case "ok":
		w.execute(&m)
	case "unavailable":
		m.err = errors.Mark(errors.New("table unavailable"), kumquatlug.ErrUnavailable)
	case "response-lost":
		w.execute(&m)
		m.err = lost
	case "request-lost":
		m.err = lost
	case "request-delayed":
		w.delayedRequests = append(w.delayedRequests, m)
		return Intent{action: ActionNone}
	case "response-delayed":
		w.execute(&m)
		w.delayedResponses = append(w.delayedResponses, m)
		return Intent{action: ActionNone}
	}
	return w.deliverResponse(m)
}

func (w *world) deliverResponse(m message) Intent {
	if w.holders[m.to] != m.holder {
		return Intent{action: ActionNone}
	}
	return m.holder.HandleResponse(w.clock(m.to), m.intent, m.row, m.err)
}

// execute runs a request against the table and records what the invariants need.
func (w *world) execute(m *message) {
	if m.intent.Action() == ActionRead {
		m.row = w.table[m.intent.Key()].WithEra(w.era)
		return
	}
	tx, key := m.intent.Tx(), m.intent.Key()
	if tx.Conditions()[0].Version() != w.table[key].Version() {
		m.err = errors.Mark(errors.New("another write came first"), kumquatlug.ErrConflict)
		return
	}
	before, err := Decode(w.table[key])
	if err != nil {
		w.fail("%v", err)
	}
	w.lastVersion++
	w.table[key] = kumquatlug.NewRow(key, tx.Writes()[0].Value(), w.lastVersion)
	w.backups = append(w.backups, maps.Clone(w.table))
	after, err := Decode(w.table[key])
	if err != nil {
		w.fail("%v", err)
	}
	if key == KeyIn("g", w.era) {
		w.record = after
	}
	switch {
	case key != KeyIn("g", w.era):
		// The row belongs to an earlier era and is no longer read.
		return
	case after.FencingToken() == before.FencingToken() && after.Holder() == before.Holder():
	case after.FencingToken() <= w.highestToken:
		w.fail("%s acquired token %d after %d", after.Holder(), after.FencingToken(), w.highestToken)
	}
	w.highestToken = max(w.highestToken, after.FencingToken())
}

// checkHolders checks the invariants for each holder, as if it resumed right now.
func (w *world) checkHolders() {
	record, holders := w.record, 0
	for i, h := range w.holders {
		token, held := h.Held(w.clock(i))
		if !held {
			if w.clock(i) >= h.ExpiresAt() {
				w.expiredTokens[h] = token
			}
			continue
		}
		if token == w.expiredTokens[h] {
			w.fail("%s uses token %d again after its lease expired", h.config.HolderID, token)
		}
		if w.era == 0 && (token != record.FencingToken() || record.Holder() != h.config.HolderID || record.Released()) {
			w.fail("%s holds token %d, but the table has token %d of %s, released %v",
				h.config.HolderID, token, record.FencingToken(), record.Holder(), record.Released())
		}
		holders++
		if holders > 1 {
			w.fail("%s and another process hold the lease at the same time", h.config.HolderID)
		}
		if h.Released(w.clock(i)) {
			w.fail("%s holds the lease and reports it as released", h.config.HolderID)
		}
		if h.MayOrder(w.clock(i)) {
			w.checkOrder(i)
		}
	}
}

// checkOrder records that VM i may send an order now, and checks the handover delay:
// two VMs that alternate too quickly undo each other's changes.
func (w *world) checkOrder(i int) {
	const drift = 10
	if i != w.orderedBy && w.now-w.orderedAt < handoverDelay-drift {
		w.fail("VM %d may send orders %d ms after VM %d", i, w.now-w.orderedAt, w.orderedBy)
	}
	w.orderedAt, w.orderedBy = w.now, i
}

// reacquire makes a holder release its lease and request it again immediately.
func (w *world) reacquire(m proof.Action) {
	w.holders[m.Actor].SetWanted(false)
	w.pollTable(m.Actor, "ok", requestOutcomes[m.Choice%len(requestOutcomes)])
	w.wanted[m.Actor] = true
	w.holders[m.Actor].SetWanted(true)
}

// restoreTable restores the table from one of its latest backups, or empty. Later writes
// reuse versions.
func (w *world) restoreTable(choice int) {
	w.era++
	discarded := choice % 6
	w.backups = w.backups[:max(len(w.backups)-discarded, 0)]
	w.table, w.lastVersion = map[string]kumquatlug.Row{}, 0
	if last := len(w.backups) - 1; last >= 0 {
		w.table = maps.Clone(w.backups[last])
	}
	for _, row := range w.table {
		w.lastVersion = max(w.lastVersion, row.Version())
	}
	w.record = Record{}
}

// pauseAroundResponse pauses a holder between its write and the response, delivers the
// response and pauses it again. In half of the cases it cancels and requests the lease
// again in between.
func (w *world) pauseAroundResponse(m proof.Action) {
	w.pollTable(m.Actor, "ok", "response-delayed")
	w.advance(m.Actor, kumquatlug.Millis(m.Choice))
	if m.Choice%2 == 0 {
		w.pollTable(m.Actor, "request-lost")
		w.reacquire(m)
	}
	if last := len(w.delayedResponses) - 1; last >= 0 {
		w.deliverResponse(w.delayedResponses[last])
		w.delayedResponses = w.delayedResponses[:last]
	}
	w.advance(m.Actor, 16*kumquatlug.Second)
}

// advance runs the system without faults for a span, with at most one holder paused. It
// also checks right before each lease expires, to detect an error of one millisecond.
func (w *world) advance(paused int, span kumquatlug.Millis) {
	for end := w.now + span; w.now < end; {
		step := kumquatlug.Millis(250)
		for i, h := range w.holders {
			if left := h.ExpiresAt() - w.clock(i) - 1; left > 0 {
				step = min(step, left)
			}
		}
		w.now += step
		for i := range w.holders {
			if i != paused {
				w.pollTable(i, "ok", "ok")
			}
			w.checkHolders()
		}
	}
}

// checkRecovery ends all faults. Within a time to live, a margin, a poll interval and a
// timeout, one process that wants the lease must hold it, and those that don't must have
// released it.
func (w *world) checkRecovery() {
	w.delayedRequests, w.delayedResponses = nil, nil
	w.advance(-1, 25*kumquatlug.Second)
	holders, wanting := 0, 0
	for i, h := range w.holders {
		if _, held := h.Held(w.clock(i)); held {
			holders++
		}
		if w.wanted[i] {
			wanting++
		} else if !h.Released(w.clock(i)) {
			w.fail("%s has not released the lease", h.config.HolderID)
		}
	}
	if holders != min(wanting, 1) {
		w.fail("%d processes hold the lease and %d want it, 25 s after the faults ended", holders, wanting)
	}
}
