package ledger

import (
	"math/rand"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func (w *world) rows(keys []string) []kumquatlug.Row {
	rows := make([]kumquatlug.Row, len(keys))
	for i, key := range keys {
		rows[i] = w.table.rows[key]
	}
	return rows
}

func (w *world) read(p *process, e *effect, r *rand.Rand) result {
	if w.outage || (!w.healthy && r.Intn(24) == 0) {
		return result{err: errors.Mark(errors.New("down"), kumquatlug.ErrUnavailable)}
	}
	rows := w.rows(e.reads)
	for i := range rows {
		if r.Intn(3) == 0 {
			rows[i] = p.early[i]
		}
	}
	return result{rows: rows}
}

// commit ends a transaction in one of the ways in which the platform may.
func (w *world) commit(tx kumquatlug.Tx, r *rand.Rand) error {
	lost := errors.Mark(errors.New("timeout"), kumquatlug.ErrLost)
	fault := r.Intn(16)
	if w.outage && fault > 3 {
		fault = 0
	}
	if w.healthy {
		fault = 15
	}
	switch fault {
	case 0:
		return errors.Mark(errors.New("down"), kumquatlug.ErrUnavailable)
	case 1:
		_ = w.apply(tx)
		return lost
	case 2:
		return lost
	case 3:
		w.late = append(w.late, tx)
		return lost
	default:
		return w.apply(tx)
	}
}

// land lets a write take effect long after its writer gave it up.
func (w *world) land(r *rand.Rand) {
	if len(w.late) == 0 {
		return
	}
	i := r.Intn(len(w.late))
	_ = w.apply(w.late[i])
	w.late = append(w.late[:i:i], w.late[i+1:]...)
}

// replace starts an agent or an entry anew. What it had under way may still
// take effect; a replaced agent may be dead, or paused and wake.
func (w *world) replace(r *rand.Rand, dead bool) {
	i := r.Intn(targets)
	if r.Intn(4) == 0 {
		w.linger(w.entries[i], r)
		w.abandonEntry(w.entries[i])
		w.entries[i] = w.start(w.entries[i].name, -1)
		return
	}
	if dead {
		w.linger(w.agents[i], r)
		w.dead[w.agents[i].book.c.Incarnation] = true
	} else {
		w.old = append(w.old, w.agents[i])
	}
	w.agents[i] = w.start(w.agents[i].name, i)
}

func (w *world) linger(p *process, r *rand.Rand) {
	if p.effect != nil && p.effect.writes() && r.Intn(2) == 0 {
		w.late = append(w.late, p.effect.tx)
	}
}

func (w *world) abandonEntry(p *process) {
	for _, a := range w.attempts {
		if a.entry == p && a.told == "" {
			a.told = "nothing"
		}
	}
}

// advance moves the era on and sweeps what is due.
func (w *world) advance() {
	era := w.era() + 1
	tx := kumquatlug.NewTx("era").Put(eraKey, formatNumber(era))
	for key := range w.table.rows {
		if strings.HasPrefix(key, rowPrefix) && key < eraPrefix(era-1) {
			tx = tx.Delete(key)
		}
	}
	w.must(w.table.apply(tx))
}

// giveUp ends an entry's patience with an attempt: it sends again, or blocks.
func (w *world) giveUp(r *rand.Rand) {
	var open []*attempt
	for _, a := range w.attempts {
		if a.told == "" && !a.blocks {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return
	}
	a := open[r.Intn(len(open))]
	if r.Intn(3) == 0 {
		w.resend(a, r)
		return
	}
	w.block(a)
	w.take(a.entry, r)
}

// leave closes the connection of a question that waits at an agent.
func (w *world) leave(p *process, r *rand.Rand) {
	for waiter := int64(1); waiter <= p.book.waiters; waiter++ {
		a, ok := p.asked[waiter]
		if !ok || p.target < 0 {
			continue
		}
		ran, open := p.book.forget(waiter)
		if !open {
			w.fail("%s lost a question", p.name)
		}
		delete(p.asked, waiter)
		w.reply(a, delivery{failure: p.book.failureFor(ran)}, r)
		return
	}
}

// settle heals everything, lets all processes come to rest, and checks that
// nothing hangs and that no claim is left without anybody to run it.
func (w *world) settle(r *rand.Rand) {
	w.outage, w.healthy = false, true
	for len(w.late) > 0 {
		w.land(r)
	}
	for range 1000 {
		w.now += DefaultPause
		for _, p := range w.processes() {
			w.work(p, r)
			w.uploaded(p)
			w.step(p, r)
		}
		if w.idle() {
			break
		}
	}
	w.healthy = false
	for _, p := range w.processes() {
		if n := p.book.pending(); n > 0 || len(p.asked) > 0 {
			w.fail("%s has %d calls pending and %d questions open", p.name, n, len(p.asked))
		}
	}
	w.checkClaims()
}

func (w *world) idle() bool {
	for _, p := range w.processes() {
		if p.effect != nil || len(p.jobs) > 0 || p.book.pending() > 0 {
			return false
		}
	}
	return true
}

func (w *world) checkClaims() {
	for _, key := range worldKeys {
		id := NewCall(CallConfig{Caller: "registry", Key: key}).id
		for _, era := range []int64{w.era(), w.era() - 1} {
			stored := w.table.rows[rowKey(era, id)]
			if !stored.Exists() {
				continue
			}
			if r := decodeRow(stored.Value()); r.State == stateClaimed && !w.dead[r.Incarnation] {
				w.fail("%s is claimed by %s, which neither runs it nor is dead", key, r.Incarnation)
			}
		}
	}
}
