package ledger

import (
	"fmt"
	"math/rand"
	"strings"

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
