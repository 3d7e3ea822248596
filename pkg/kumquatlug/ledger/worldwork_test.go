package ledger

import (
	"fmt"
	"math/rand"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// execute is the run itself, at the target.
func (w *world) execute(p *process, j *job) {
	a := j.from
	j.ran = true
	a.ran++
	j.answer = fmt.Sprintf("answer %d to %s of %s", len(w.runs[a.key]), a.body, a.key)
	era, ok := w.claimEras[j.ticket.claim]
	if !ok {
		era = w.era()
	}
	for _, other := range w.runs[a.key] {
		if era-other.era <= 1 && other.era-era <= 1 {
			w.fail("%s ran twice, under claims of eras %d and %d", a.key, other.era, era)
		}
	}
	if a.told == "not-run" {
		w.fail("attempt %d of %s ran after it was told not-run", a.number, a.key)
	}
	w.runs[a.key] = append(w.runs[a.key], run{era: era, body: a.body, answer: j.answer})
	w.counts["run"]++
}

// work moves one job on: it runs, ends, or is abandoned.
func (w *world) work(p *process, r *rand.Rand) {
	if len(p.jobs) == 0 {
		return
	}
	i := r.Intn(len(p.jobs))
	j := p.jobs[i]
	if !j.ran && r.Intn(6) > 0 {
		w.execute(p, j)
		return
	}
	p.jobs = append(p.jobs[:i:i], p.jobs[i+1:]...)
	switch {
	case !j.ran:
		w.must(p.book.abandon(j.ticket, kumquatlug.RanNot))
		w.reply(j.from, delivery{failure: p.book.failureFor(kumquatlug.RanNot)}, r)
	case r.Intn(6) == 0:
		w.must(p.book.abandon(j.ticket, kumquatlug.RanUnknown))
		w.reply(j.from, delivery{failure: p.book.failureFor(kumquatlug.RanUnknown)}, r)
	default:
		w.end(p, j, r)
	}
	w.take(p, r)
}

func (w *world) end(p *process, j *job, r *rand.Rand) {
	large := r.Intn(3) == 0
	o := NewOutcome(200, nil, []byte(j.answer))
	w.must(p.book.finish(j.ticket, o, large))
	if large {
		w.objects[j.ticket.claim] = j.answer
		p.upload = append(p.upload, j.ticket)
	}
	w.reply(j.from, delivery{ruling: Ruling{verdict: VerdictAnswer, outcome: o}}, r)
}

func (w *world) uploaded(p *process) {
	if len(p.upload) > 0 {
		p.book.uploaded(p.upload[0], p.upload[0].claim)
		p.upload = p.upload[1:]
	}
}

// step begins or ends a process's effect on the table. Between the two
// anything may happen; rows are read at one time or the other.
func (w *world) step(p *process, r *rand.Rand) {
	if p.effect == nil {
		p.effect = p.book.next(w.now)
		if p.effect != nil {
			p.early = w.rows(p.effect.reads)
		}
	} else {
		e := p.effect
		p.effect = nil
		if e.writes() {
			p.book.done(result{err: w.commit(e.tx, r)}, w.now)
		} else {
			p.book.done(w.read(p, e, r), w.now)
		}
	}
	w.take(p, r)
}
