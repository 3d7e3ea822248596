package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// tally is what the callers of one run received.
type tally struct {
	offered, onTime, late, refused int
	onTimeTokens                   int64
	heldLong                       int
	slowestRefusal                 kumquatlug.Millis
	longest                        int
	waited, meanWait               kumquatlug.Millis
}

// load is a stream of work: a request of cost tokens every gap milliseconds,
// from the account of its name unless another is named.
type load struct {
	caller   string
	account  string
	gap      kumquatlug.Millis
	cost     int64
	patience kumquatlug.Millis
}

// bench is a server of ten tokens a millisecond behind a queue.
type bench struct {
	q       *Queue
	tallies map[string]*tally
	serving Request
	left    int64
	now     kumquatlug.Millis
}

const serverRate = 10

func (b *bench) arrive(n int, w load) {
	t := b.tallies[w.caller]
	t.offered++
	r := NewRequest(RequestConfig{
		ID: fmt.Sprint(w.caller, "-", n), Caller: cmp.Or(w.account, w.caller), Kind: draft, Cost: w.cost, Arrival: b.now,
		Deadline: b.now + w.patience, Service: kumquatlug.Millis(w.cost / serverRate),
	})
	d := b.q.Offer(b.now, r)
	if d.Verdict() == VerdictRefused {
		t.refused++
	}
	b.refuse(d.Displaced())
}

func (b *bench) tally(r Request) *tally {
	name, _, _ := strings.Cut(r.ID(), "-")
	return b.tallies[name]
}

func (b *bench) refuse(refusals []Refusal) {
	for _, r := range refusals {
		t := b.tally(r.Request())
		t.refused++
		held := b.now - r.Request().Arrival()
		t.slowestRefusal = max(t.slowestRefusal, held)
		if held > (r.Request().Deadline()-r.Request().Arrival())/2 {
			t.heldLong++
		}
	}
}

func (b *bench) serve() {
	if b.left == 0 {
		r, ok := b.q.Next(draft)
		if !ok {
			return
		}
		b.q.Take(b.now, r.ID())
		b.tally(r).waited += b.now - r.Arrival()
		b.serving, b.left = r, r.Cost()
	}
	done := min(b.left, serverRate)
	b.left -= done
	b.q.Served(b.now, draft, done)
	if b.left > 0 {
		return
	}
	t := b.tally(b.serving)
	if b.now > b.serving.Deadline() {
		t.late++
		return
	}
	t.onTime++
	t.onTimeTokens += b.serving.Cost()
}

// play runs the loads for a span and returns what each caller received.
func play(c Config, span kumquatlug.Millis, loads ...load) map[string]*tally {
	b := &bench{q: New(c), tallies: map[string]*tally{}}
	due := make([]kumquatlug.Millis, len(loads))
	random := rand.New(rand.NewPCG(3, 3))
	for _, w := range loads {
		b.tallies[w.caller] = &tally{}
	}
	for ; b.now < span; b.now++ {
		for n, w := range loads {
			for due[n] <= b.now && b.now < span*9/10 {
				b.arrive(b.tallies[w.caller].offered, w)
				due[n] += max(1, kumquatlug.Millis(random.Int64N(int64(2*w.gap)+1)))
			}
		}
		if wake, ok := b.q.Wake(); ok && wake <= b.now {
			b.refuse(b.q.Expire(b.now))
		}
		b.serve()
		for _, t := range b.tallies {
			t.longest = max(t.longest, b.q.Len(draft))
		}
	}
	for _, t := range b.tallies {
		t.meanWait = t.waited / kumquatlug.Millis(max(t.onTime+t.late, 1))
	}
	return b.tallies
}

func TestOverloadKeepsGoodput(t *testing.T) {
	// More work arrives than the targets finish, for minutes. In one line
	// without bounds each answer comes later than the one before, until all
	// are late: the targets are busy and no caller has an answer on time.
	for _, times := range []int64{2, 5} {
		w := load{caller: "all", gap: 50 / kumquatlug.Millis(times), cost: 500, patience: 4 * kumquatlug.Second}
		got := play(Config{}, 3*kumquatlug.Minute, w)["all"]
		best := int64(serverRate) * int64(162*kumquatlug.Second+w.patience)
		if part := float64(got.onTimeTokens) / float64(best); part < 0.95 {
			t.Errorf("%dx: on time %.3f of what the server can do, want 0.95: %+v", times, part, got)
		}
		if got.late > got.offered/100 {
			t.Errorf("%dx: %d of %d were late", times, got.late, got.offered)
		}
		if got.heldLong > got.offered/100 {
			t.Errorf("%dx: %d of %d were told late in their time", times, got.heldLong, got.offered)
		}
		if got.longest > DefaultMaxCount {
			t.Errorf("%dx: %d waited", times, got.longest)
		}
		t.Logf("%dx: %+v", times, *got)
	}
}

func TestQuietCallerBesideHotOne(t *testing.T) {
	// A script in a loop sends three times what the targets can do. A clerk
	// who sends one request every two seconds waits behind it and is late.
	alone := load{caller: "quiet", gap: 2 * kumquatlug.Second, cost: 300, patience: 2 * kumquatlug.Second}
	hot := load{caller: "hot", gap: 10, cost: 300, patience: 20 * kumquatlug.Second}
	got := play(Config{MaxCount: 200}, 3*kumquatlug.Minute, alone, hot)
	quiet := got["quiet"]
	if quiet.onTime*100 < quiet.offered*98 || quiet.refused > 0 {
		t.Errorf("the quiet caller got %+v", *quiet)
	}
	t.Logf("quiet %+v, hot %+v", *quiet, *got["hot"])
}

func TestShortJobsAmongLongOnes(t *testing.T) {
	// Long documents take seconds each. In arrival order a short question that
	// comes after three of them is late before it is begun.
	short := load{caller: "short", gap: 200, cost: 100, patience: 3 * kumquatlug.Second}
	long := load{caller: "long", gap: 1000, cost: 9000, patience: 30 * kumquatlug.Second}
	got := play(Config{}, 3*kumquatlug.Minute, short, long)
	if s := got["short"]; s.onTime*100 < s.offered*98 {
		t.Errorf("short jobs got %+v", *s)
	}
	if l := got["long"]; l.onTime == 0 {
		t.Errorf("long jobs got %+v", *l)
	}
	t.Logf("short %+v, long %+v", *got["short"], *got["long"])
}

func TestOvertakenWorkIsToldAtOnce(t *testing.T) {
	// Callers send documents with a long time and, without end, questions with
	// a short one, together five times what can be served. The questions go
	// first; a document is let in by what stands before it now, is overtaken by
	// what comes later, and its caller learns after half a minute that it was in
	// vain.
	var loads []load
	for n := range 20 {
		desk := fmt.Sprint("desk", n)
		loads = append(loads,
			load{caller: fmt.Sprint("question", n), account: desk, gap: 240, cost: 300, patience: 3 * kumquatlug.Second},
			load{caller: fmt.Sprint("document", n), account: desk, gap: 4800, cost: 6000, patience: 40 * kumquatlug.Second})
	}
	held, offered, served := 0, 0, int64(0)
	for caller, c := range play(Config{}, 5*kumquatlug.Minute, loads...) {
		served += c.onTimeTokens
		if caller[0] == 'd' {
			held, offered = held+c.heldLong, offered+c.offered
		}
	}
	if held*100 > offered {
		t.Errorf("%d of %d documents were told when half of their time was over", held, offered)
	}
	if best := int64(serverRate) * int64(270*kumquatlug.Second); served*100 < best*95 {
		t.Errorf("%d of %d tokens on time", served, best)
	}
	t.Logf("%d of %d documents told late, %d tokens on time", held, offered, served)
}

func TestEarliestDeadlineFirstWithinACaller(t *testing.T) {
	q := New(Config{})
	for id, deadline := range []kumquatlug.Millis{9000, 3000, 6000, 3000} {
		c := request(fmt.Sprint(id), "caller")
		c.Deadline = deadline
		q.Offer(0, NewRequest(c))
	}
	if got := fmt.Sprint(serve(q, 0, 4)); got != "[1 3 2 0]" {
		t.Errorf("served %s", got)
	}
}

func TestStandingLineIsKeptShort(t *testing.T) {
	// Work arrives at one and a half times what can be served, for minutes. The
	// line in front of the targets gives them no more to do than a short one,
	// yet as long as deadlines allow everybody waits in it to the last second.
	w := load{caller: "all", gap: 33, cost: 500, patience: 30 * kumquatlug.Second}
	got := play(Config{}, 3*kumquatlug.Minute, w)["all"]
	if best := int64(serverRate) * int64(162*kumquatlug.Second); got.onTimeTokens*100 < best*95 {
		t.Errorf("%d of %d tokens on time", got.onTimeTokens, best)
	}
	// The first seconds take in a burst; after that a second's work may wait.
	if got.meanWait > 3*kumquatlug.Second {
		t.Errorf("they wait for %d ms in the mean: %+v", got.meanWait, *got)
	}
	t.Logf("%+v", *got)
}

func TestLowPriorityIsNotStarved(t *testing.T) {
	// Urgent work never ends. With strict priorities a background job would
	// wait until its deadline without one token.
	q := New(Config{})
	for n := range 90 {
		urgent := request(fmt.Sprint("urgent-", n), "caller")
		urgent.Priority = 1
		q.Offer(0, NewRequest(urgent))
		q.Offer(0, NewRequest(request(fmt.Sprint("plain-", n), "caller")))
	}
	plain := 0
	for _, id := range serve(q, 0, 90) {
		if id[0] == 'p' {
			plain++
		}
	}
	if plain != 10 {
		t.Errorf("%d of 90 served were of the lower class, want a ninth", plain)
	}
}

func TestIdleCallerCannotHoard(t *testing.T) {
	// A caller that was away for an hour doesn't own that hour's share: when it
	// comes back with a thousand requests, the others keep their turns.
	q := New(Config{})
	for n := range 50 {
		q.Offer(0, NewRequest(request(fmt.Sprint("steady-", n), "steady")))
	}
	serve(q, 0, 40)
	for n := range 10 {
		q.Offer(0, NewRequest(request(fmt.Sprint("back-", n), "back")))
	}
	back := 0
	for _, id := range serve(q, 0, 10) {
		if id[0] == 'b' {
			back++
		}
	}
	if back > 6 {
		t.Errorf("the caller that was away got %d of the next 10 turns, want half and one piece at most", back)
	}
}
