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

// holderCount is how many processes want the lease.
const holderCount = 3

// moveKinds lists each kind of step as often as it is to come up among the others.
var moveKinds = []string{
	"turn", "turn", "turn", "turn", "turn", "turn", "turn", "turn",
	"tick", "tick", "pause", "pause", "stall", "stall", "arrive", "answer", "answer", "want", "bounce", "restart", "calm", "heal",
}

// handoverDelay is the least span between orders of two VMs.
const handoverDelay = 4 * kumquatlug.Second

// requestOutcomes lists what becomes of a request, as often as it is to come up.
var requestOutcomes = []string{
	"taken", "taken", "taken", "taken", "taken", "taken", "out", "lost", "dropped", "late", "answered-late",
}

// Three processes want one group's lease. They are paused for any time and wake
// at any moment, their clocks run 500 ppm apart, requests and answers are lost
// or come late, the table is out, processes restart, stop on purpose and change
// their mind. An operator would notice two planners that move the same engine
// to and fro, or a group that nobody plans after the trouble has ended.
func TestProofOneHolder(t *testing.T) {
	proof.Run(t, proof.Config{
		Claim: "one holder at a time, under a number of its own",
		Seed:  1, Runs: 200, Steps: 60,
		Command: proof.Moves(moveKinds, holderCount, play),
		World:   func() commands.SystemUnderTest { return newWorld() },
	})
}

// The same, while the table comes back from older copies again and again. Two planners of
// two histories would give orders at once, and the next one under a number that engines
// have seen before.
func TestProofOneHolderThroughRestores(t *testing.T) {
	proof.Run(t, proof.Config{
		Claim: "one holder at a time, under rising numbers, through restores",
		Seed:  2, Runs: 400, Steps: 60,
		Command: proof.Moves(append([]string{"restore", "restore"}, moveKinds...), holderCount, play),
		World:   func() commands.SystemUnderTest { return newWorld() },
	})
}

// message is a request or an answer on its way.
type message struct {
	to     int
	holder *Holder
	intent Intent
	row    kumquatlug.Row
	err    error
}

// world is three holders over one row, with the oracle's notes beside them.
type world struct {
	now             kumquatlug.Millis
	holders         []*Holder
	wanted          []bool
	startCount      int
	table           map[string]kumquatlug.Row
	record          Record
	delayedRequests []message
	delayedAnswers  []message
	highestNumber   Number
	lapsedNumbers   map[*Holder]Number
	err             error
	// orderedAt is when some VM might last have given an order, orderedBy which.
	orderedAt kumquatlug.Millis
	orderedBy int
	// backups are the table as it was after each write, for one that comes back from an
	// older copy; written is its newest version.
	backups     []map[string]kumquatlug.Row
	era         int64
	lastVersion int64
}

func newWorld() *world {
	w := &world{orderedAt: -handoverDelay, holders: make([]*Holder, holderCount), wanted: make([]bool, holderCount), table: map[string]kumquatlug.Row{}, lapsedNumbers: map[*Holder]Number{}}
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

// clock is what holder i's clock shows: each has an origin and a rate of its
// own, 500 ppm from the slowest to the fastest.
func (w *world) clock(i int) kumquatlug.Millis {
	return kumquatlug.Millis(1000000*(i+1)) + w.now + w.now*kumquatlug.Millis(250*(i-1))/1000000
}

func (w *world) restartHolder(i int) {
	w.startCount++
	h, err := New(Config{
		Group: "g", Me: fmt.Sprintf("entry-%d/%d", i, w.startCount), Predecessors: fmt.Sprintf("entry-%d/", i), Turn: handoverDelay,
	})
	if err != nil {
		w.fail("%v", err)
	}
	w.holders[i], w.wanted[i] = h, true
}

func play(sut commands.SystemUnderTest, m proof.Move) commands.Result {
	w := sut.(*world)
	switch m.Kind {
	case "turn":
		w.pollTable(m.Actor, requestOutcomes[m.Choice%len(requestOutcomes)], requestOutcomes[m.Choice/100%len(requestOutcomes)])
	case "tick":
		w.now += kumquatlug.Millis(m.Choice)
	case "pause":
		w.advance(m.Actor, kumquatlug.Millis(m.Choice*3))
	case "stall":
		w.pauseAroundAnswer(m)
	case "arrive":
		if len(w.delayedRequests) > 0 {
			k := m.Choice % len(w.delayedRequests)
			r := w.delayedRequests[k]
			w.delayedRequests = append(w.delayedRequests[:k:k], w.delayedRequests[k+1:]...)
			w.execute(&r)
		}
	case "answer":
		if len(w.delayedAnswers) > 0 {
			k := m.Choice % len(w.delayedAnswers)
			a := w.delayedAnswers[k]
			w.delayedAnswers = append(w.delayedAnswers[:k:k], w.delayedAnswers[k+1:]...)
			w.deliverAnswer(a)
		}
	case "want":
		w.wanted[m.Actor] = m.Choice%2 == 0
		w.holders[m.Actor].Want(w.wanted[m.Actor])
	case "bounce":
		w.reacquire(m)
	case "restart":
		w.restartHolder(m.Actor)
	case "calm":
		w.advance(-1, kumquatlug.Millis(m.Choice*3))
	case "restore":
		w.restoreTable(m.Choice)
	case "heal":
		w.checkRecovery()
	}
	w.checkHolders()
	if w.err != nil {
		return w.err
	}
	return nil
}

// pollTable lets a holder ask, and gives its one or two requests their fates.
func (w *world) pollTable(i int, fates ...string) {
	h := w.holders[i]
	intent := h.Next(w.clock(i))
	for _, fate := range fates {
		if intent.Action() == ActionNone {
			return
		}
		intent = w.send(message{to: i, holder: h, intent: intent}, fate)
	}
	// A second request that never leaves is as good as dropped.
}

func (w *world) send(m message, fate string) Intent {
	lost := errors.Mark(errors.New("no answer"), kumquatlug.ErrLost)
	switch fate {
	case "taken":
		w.execute(&m)
	case "out":
		m.err = errors.Mark(errors.New("table out"), kumquatlug.ErrUnavailable)
	case "lost":
		w.execute(&m)
		m.err = lost
	case "dropped":
		m.err = lost
	case "late":
		w.delayedRequests = append(w.delayedRequests, m)
		return Intent{action: ActionNone}
	case "answered-late":
		w.execute(&m)
		w.delayedAnswers = append(w.delayedAnswers, m)
		return Intent{action: ActionNone}
	}
	return w.deliverAnswer(m)
}

func (w *world) deliverAnswer(m message) Intent {
	if w.holders[m.to] != m.holder {
		return Intent{action: ActionNone}
	}
	return m.holder.Answered(w.clock(m.to), m.intent, m.row, m.err)
}

// execute is the table: it takes the request and notes what the oracle needs.
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
		// Nobody looks at it any more.
		return
	case after.Number() == before.Number() && after.Holder() == before.Holder():
	case after.Number() <= w.highestNumber:
		w.fail("%s acquired under %d after %d", after.Holder(), after.Number(), w.highestNumber)
	}
	w.highestNumber = max(w.highestNumber, after.Number())
}

// checkHolders asks each holder, as though it woke this moment, whether it holds.
func (w *world) checkHolders() {
	record, holders := w.record, 0
	for i, h := range w.holders {
		number, held := h.Held(w.clock(i))
		if !held {
			if w.clock(i) >= h.Until() {
				w.lapsedNumbers[h] = number
			}
			continue
		}
		if number == w.lapsedNumbers[h] {
			w.fail("%s uses %d again after its lease lapsed", h.config.Me, number)
		}
		if w.era == 0 && (number != record.Number() || record.Holder() != h.config.Me || record.Released()) {
			w.fail("%s believes in %d, the table says %d of %s, released %v",
				h.config.Me, number, record.Number(), record.Holder(), record.Released())
		}
		holders++
		if holders > 1 {
			w.fail("%s and another one hold at once", h.config.Me)
		}
		if h.Released(w.clock(i)) {
			w.fail("%s holds and says that it gave back", h.config.Me)
		}
		if h.MayOrder(w.clock(i)) {
			w.checkOrder(i)
		}
	}
}

// checkOrder takes that VM i may give an order now. Two VMs that take turns too
// quickly undo each other's work.
func (w *world) checkOrder(i int) {
	const drift = 10
	if i != w.orderedBy && w.now-w.orderedAt < handoverDelay-drift {
		w.fail("VM %d may give orders %d ms after VM %d", i, w.now-w.orderedAt, w.orderedBy)
	}
	w.orderedAt, w.orderedBy = w.now, i
}

// reacquire lets a holder give its lease back and want it again at once.
func (w *world) reacquire(m proof.Move) {
	w.holders[m.Actor].Want(false)
	w.pollTable(m.Actor, "taken", requestOutcomes[m.Choice%len(requestOutcomes)])
	w.wanted[m.Actor] = true
	w.holders[m.Actor].Want(true)
}

// restoreTable has the table come back from one of its last copies, or empty. Its versions are
// given out again.
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

// pauseAroundAnswer pauses a holder between its write and the answer to it, hands it the
// answer, and pauses it again. Every other time it changed its mind in between.
func (w *world) pauseAroundAnswer(m proof.Move) {
	w.pollTable(m.Actor, "taken", "answered-late")
	w.advance(m.Actor, kumquatlug.Millis(m.Choice))
	if m.Choice%2 == 0 {
		w.pollTable(m.Actor, "dropped")
		w.reacquire(m)
	}
	if last := len(w.delayedAnswers) - 1; last >= 0 {
		w.deliverAnswer(w.delayedAnswers[last])
		w.delayedAnswers = w.delayedAnswers[:last]
	}
	w.advance(m.Actor, 16*kumquatlug.Second)
}

// advance lets everything work for a span, except that one holder is paused. It
// stops right before each lease ends, where a millisecond too much shows.
func (w *world) advance(paused int, span kumquatlug.Millis) {
	for end := w.now + span; w.now < end; {
		step := kumquatlug.Millis(250)
		for i, h := range w.holders {
			if left := h.Until() - w.clock(i) - 1; left > 0 {
				step = min(step, left)
			}
		}
		w.now += step
		for i := range w.holders {
			if i != paused {
				w.pollTable(i, "taken", "taken")
			}
			w.checkHolders()
		}
	}
}

// checkRecovery ends the trouble: within a time to live, a margin, a look and a timeout
// one that wants the lease has it, and those that don't have given it back.
func (w *world) checkRecovery() {
	w.delayedRequests, w.delayedAnswers = nil, nil
	w.advance(-1, 25*kumquatlug.Second)
	holders, wanting := 0, 0
	for i, h := range w.holders {
		if _, held := h.Held(w.clock(i)); held {
			holders++
		}
		if w.wanted[i] {
			wanting++
		} else if !h.Released(w.clock(i)) {
			w.fail("%s has not given back", h.config.Me)
		}
	}
	if holders != min(wanting, 1) {
		w.fail("%d hold and %d want, 25 s after the trouble ended", holders, wanting)
	}
}
