package ledger

import (
	"fmt"
	"math/rand"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// attempt is one sending of a call by a caller through an entry, and what the
// caller was told.
type attempt struct {
	number int
	key    string
	body   string
	mark   Dispatch
	entry  *process
	target int
	lost   bool
	blocks bool
	told   string
	ran    int
}

// message is a dispatch under way to an agent.
type message struct {
	from   *attempt
	mark   Dispatch
	target int
}

// job is a run that an agent was given the right to.
type job struct {
	ticket Ticket
	from   *attempt
	ran    bool
	answer string
}

// process is an entry or an agent: a real book, and what it has under way.
type process struct {
	name   string
	target int
	book   *book
	effect *effect
	early  []kumquatlug.Row
	asked  map[int64]*attempt
	jobs   []*job
	upload []Ticket
	era    int64
}

// run is one run that the oracle saw.
type run struct {
	era    int64
	body   string
	answer string
}

// world is the table, two targets with their agents, two entries, all that is
// under way between them, and the oracle's books.
type world struct {
	now       kumquatlug.Millis
	table     *memoryTable
	outage    bool
	healthy   bool
	dead      map[string]bool
	agents    []*process
	old       []*process
	entries   []*process
	attempts  []*attempt
	messages  []message
	late      []kumquatlug.Tx
	objects   map[string]string
	runs      map[string][]run
	claimEras map[string]int64
	marks     map[string]Dispatch
	starts    int
	counts    map[string]int
	wrong     string
}

const targets = 2

var worldKeys = []string{"k0", "k1"}

func newWorld(counts map[string]int) *world {
	w := &world{
		table: newMemoryTable(), objects: map[string]string{}, runs: map[string][]run{},
		claimEras: map[string]int64{}, dead: map[string]bool{}, marks: map[string]Dispatch{}, counts: counts,
	}
	for i := range targets {
		w.agents = append(w.agents, w.start(fmt.Sprintf("target-%d", i), i))
		w.entries = append(w.entries, w.start(fmt.Sprintf("entry-%d", i), -1))
	}
	return w
}

func (w *world) start(name string, target int) *process {
	w.starts++
	c := Config{Target: name, Incarnation: fmt.Sprintf("%s.%d", name, w.starts), Kept: 2, Batch: 2}
	return &process{
		name: name, target: target, book: newBook(c.withDefaults()), asked: map[int64]*attempt{}, era: w.era(),
	}
}

func (w *world) era() int64 {
	era, err := parseNumber(w.table.rows[eraKey])
	if err != nil {
		panic(err)
	}
	return era
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

// processes returns everything that can act, replaced agents included.
func (w *world) processes() []*process {
	return append(append(append([]*process(nil), w.agents...), w.entries...), w.old...)
}

// busy returns a process that has something to ask of the table, or under way.
func (w *world) busy(r *rand.Rand) *process {
	return pick(w.processes(), r, func(p *process) bool { return p.effect != nil || (p.book.pending() > 0 && w.now >= p.book.wait()) })
}

// running returns a process that has a call to run.
func (w *world) running(r *rand.Rand) *process {
	return pick(w.processes(), r, func(p *process) bool { return len(p.jobs) > 0 })
}

func pick(all []*process, r *rand.Rand, fits func(*process) bool) *process {
	var some []*process
	for _, p := range all {
		if fits(p) {
			some = append(some, p)
		}
	}
	if len(some) == 0 {
		return all[r.Intn(len(all))]
	}
	return some[r.Intn(len(some))]
}

// apply carries out a transaction and notes in which era claims were made.
func (w *world) apply(tx kumquatlug.Tx) error {
	err := w.table.apply(tx)
	if err != nil {
		return err
	}
	for _, write := range tx.Writes() {
		r := decodeRow(write.Value())
		if strings.HasPrefix(write.Key(), rowPrefix) && !write.Deleted() && r.State == stateClaimed {
			var era int64
			if _, err := fmt.Sscanf(write.Key(), rowPrefix+"%x/", &era); err != nil {
				panic(err)
			}
			w.claimEras[r.Claim] = era
		}
	}
	return nil
}

// request is a caller's sending; a resend may carry another body, and go out
// under the mark that an earlier block gave.
func (w *world) request(r *rand.Rand) {
	e := w.entries[r.Intn(len(w.entries))]
	a := &attempt{
		number: len(w.attempts), key: worldKeys[r.Intn(len(worldKeys))], body: "body", entry: e,
		mark: NewDispatch(e.era, 0), target: r.Intn(targets),
	}
	if r.Intn(6) == 0 {
		a.body = "other"
	}
	if mark, ok := w.marks[a.key]; ok && r.Intn(2) == 0 {
		a.mark = mark
	}
	w.attempts = append(w.attempts, a)
	w.send(a)
}

func (w *world) send(a *attempt) {
	w.messages = append(w.messages, message{from: a, mark: a.mark, target: a.target})
}

// arrive hands one message, in any order, to the agent that is there now or to
// one that was replaced and still has the connection.
func (w *world) arrive(r *rand.Rand) {
	if len(w.messages) == 0 {
		return
	}
	i := r.Intn(len(w.messages))
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	p := w.agents[m.target]
	for _, old := range w.old {
		if old.target == m.target && r.Intn(3) == 0 {
			p = old
		}
	}
	p.ask(m.from, m.mark, false, w.now)
	w.take(p, r)
}

func (p *process) ask(a *attempt, mark Dispatch, block bool, now kumquatlug.Millis) {
	c := NewCall(CallConfig{Caller: "registry", Key: a.key, Body: a.body, Dispatch: mark})
	p.asked[p.book.begin(c, block, now)] = a
}

// take handles what a book has decided.
func (w *world) take(p *process, r *rand.Rand) {
	for _, d := range p.book.take() {
		a, ok := p.asked[d.waiter]
		delete(p.asked, d.waiter)
		switch {
		case !ok:
			w.fail("%s answered a question twice", p.name)
		case p.target < 0:
			w.blocked(a, d)
		case d.failure == nil && d.ruling.verdict == VerdictRun && r.Intn(8) == 0:
			// The asker has gone at that moment.
			w.must(p.book.abandon(d.ruling.ticket, kumquatlug.RanNot))
			w.reply(a, delivery{failure: p.book.failureFor(kumquatlug.RanNot)}, r)
		case d.failure == nil && d.ruling.verdict == VerdictRun:
			p.jobs = append(p.jobs, &job{ticket: d.ruling.ticket, from: a})
		default:
			w.reply(a, d, r)
		}
	}
}

func (b *book) failureFor(ran kumquatlug.Ran) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "claim", Reason: "gave_up", Ran: ran})
}

func (w *world) must(err error) {
	if err != nil {
		w.fail("%v", err)
	}
}

// reply brings an agent's answer to the entry, which does as the package says;
// it may be lost, or come after the entry gave up.
func (w *world) reply(a *attempt, d delivery, r *rand.Rand) {
	if a.told != "" || a.blocks || r.Intn(6) == 0 {
		return
	}
	if d.failure != nil {
		w.refused(a, d.failure.Ran())
		return
	}
	switch d.ruling.verdict {
	case VerdictStale:
		a.mark = d.ruling.dispatch
		a.target = r.Intn(targets)
		w.send(a)
	case VerdictElsewhere:
		if r.Intn(2) == 0 {
			w.tell(a, "unknown")
			return
		}
		w.resend(a, r)
	default:
		w.ruled(a, d.ruling)
	}
}

// refused tells not-run only if no dispatch of the attempt is unaccounted for.
func (w *world) refused(a *attempt, ran kumquatlug.Ran) {
	switch {
	case ran != kumquatlug.RanNot:
		w.tell(a, "unknown")
	case a.lost:
		w.block(a)
	default:
		w.tell(a, "not-run")
	}
}

func (w *world) ruled(a *attempt, r Ruling) {
	switch r.verdict {
	case VerdictAnswer:
		answer := string(r.outcome.body)
		if r.outcome.object != "" {
			answer = w.objects[r.outcome.object]
		}
		w.answer(a, answer)
	case VerdictBlocked:
		w.marks[a.key] = r.dispatch
		w.tell(a, "not-run")
	case VerdictConflict:
		w.tell(a, "conflict")
	default:
		w.tell(a, "unknown")
	}
}

// blocked takes the end of an entry's block.
func (w *world) blocked(a *attempt, d delivery) {
	if d.failure != nil {
		w.tell(a, "unknown")
		return
	}
	w.ruled(a, d.ruling)
}

func (w *world) block(a *attempt) {
	a.blocks = true
	a.entry.ask(a, a.mark, true, w.now)
}

// resend goes to the other target while the first dispatch may still arrive.
func (w *world) resend(a *attempt, r *rand.Rand) {
	a.lost = true
	a.target = r.Intn(targets)
	w.send(a)
}

func (w *world) tell(a *attempt, what string) {
	a.told = what
	w.counts[what]++
	if what == "not-run" && a.ran > 0 {
		w.fail("attempt %d of %s was told not-run and had run", a.number, a.key)
	}
}

func (w *world) answer(a *attempt, answer string) {
	w.tell(a, "answer")
	for _, r := range w.runs[a.key] {
		if r.answer == answer && r.body == a.body {
			return
		}
	}
	w.fail("attempt %d of %s with %q got %q", a.number, a.key, a.body, answer)
}

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
