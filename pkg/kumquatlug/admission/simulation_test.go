package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// callerStats counts the results of one workload. refusedLate counts refusals
// after more than half of the time to the deadline.
type callerStats struct {
	offered, onTime, late, refused int
	onTimeTokens                   int64
	refusedLate                    int
	maxRefusalDelay                kumquatlug.Millis
	maxQueued                      int
	waited, meanWait               kumquatlug.Millis
}

// workload is a stream of requests of cost tokens with a mean interval, sent by
// account, or by the account named caller if account is empty.
type workload struct {
	caller   string
	account  string
	interval kumquatlug.Millis
	cost     int64
	timeout  kumquatlug.Millis
}

// simulation is a queue in front of one server.
type simulation struct {
	queue     *Queue
	stats     map[string]*callerStats
	serving   Request
	remaining int64
	now       kumquatlug.Millis
}

// serverTokensPerMs is the capacity of the simulated server.
const serverTokensPerMs = 10

func (s *simulation) arrive(n int, w workload) {
	t := s.stats[w.caller]
	t.offered++
	r := NewRequest(RequestConfig{
		ID: fmt.Sprint(w.caller, "-", n), Caller: cmp.Or(w.account, w.caller), Kind: draftKind, Cost: w.cost, Arrival: s.now,
		Deadline: s.now + w.timeout, ServiceTime: kumquatlug.Millis(w.cost / serverTokensPerMs),
	})
	d := s.queue.Offer(s.now, r)
	if d.Verdict() == VerdictRefused {
		t.refused++
	}
	s.refuse(d.Displaced())
}

func (s *simulation) statsFor(r Request) *callerStats {
	name, _, _ := strings.Cut(r.ID(), "-")
	return s.stats[name]
}

func (s *simulation) refuse(refusals []Refusal) {
	for _, r := range refusals {
		t := s.statsFor(r.Request())
		t.refused++
		delay := s.now - r.Request().Arrival()
		t.maxRefusalDelay = max(t.maxRefusalDelay, delay)
		if delay > (r.Request().Deadline()-r.Request().Arrival())/2 {
			t.refusedLate++
		}
	}
}

func (s *simulation) serve() {
	if s.remaining == 0 {
		r, ok := s.queue.Peek(draftKind)
		if !ok {
			return
		}
		s.queue.Dequeue(s.now, r.ID())
		s.statsFor(r).waited += s.now - r.Arrival()
		s.serving, s.remaining = r, r.Cost()
	}
	done := min(s.remaining, serverTokensPerMs)
	s.remaining -= done
	s.queue.RecordServed(s.now, draftKind, done)
	if s.remaining > 0 {
		return
	}
	t := s.statsFor(s.serving)
	if s.now > s.serving.Deadline() {
		t.late++
		return
	}
	t.onTime++
	t.onTimeTokens += s.serving.Cost()
}

// simulate runs workloads for a duration and returns the stats by caller. No
// requests arrive in the last tenth.
func simulate(c Config, duration kumquatlug.Millis, workloads ...workload) map[string]*callerStats {
	s := &simulation{queue: New(c), stats: map[string]*callerStats{}}
	nextArrival := make([]kumquatlug.Millis, len(workloads))
	random := rand.New(rand.NewPCG(3, 3))
	for _, w := range workloads {
		s.stats[w.caller] = &callerStats{}
	}
	for ; s.now < duration; s.now++ {
		for n, w := range workloads {
			for nextArrival[n] <= s.now && s.now < duration*9/10 {
				s.arrive(s.stats[w.caller].offered, w)
				nextArrival[n] += max(1, kumquatlug.Millis(random.Int64N(int64(2*w.interval)+1)))
			}
		}
		if wake, ok := s.queue.NextExpiry(); ok && wake <= s.now {
			s.refuse(s.queue.Expire(s.now))
		}
		s.serve()
		for _, t := range s.stats {
			t.maxQueued = max(t.maxQueued, s.queue.Len(draftKind))
		}
	}
	for _, t := range s.stats {
		t.meanWait = t.waited / kumquatlug.Millis(max(t.onTime+t.late, 1))
	}
	return s.stats
}

func TestOverloadKeepsGoodput(t *testing.T) {
	// Work arrives above capacity for minutes. In an unbounded FIFO queue the wait
	// would grow until every response is late while the targets are busy.
	for _, factor := range []int64{2, 5} {
		w := workload{caller: "all", interval: 50 / kumquatlug.Millis(factor), cost: 500, timeout: 4 * kumquatlug.Second}
		stats := simulate(Config{}, 3*kumquatlug.Minute, w)["all"]
		maxTokens := int64(serverTokensPerMs) * int64(162*kumquatlug.Second+w.timeout)
		if goodput := float64(stats.onTimeTokens) / float64(maxTokens); goodput < 0.95 {
			t.Errorf("%dx: goodput %.3f of the capacity, want 0.95: %+v", factor, goodput, stats)
		}
		if stats.late > stats.offered/100 {
			t.Errorf("%dx: %d of %d responses were late", factor, stats.late, stats.offered)
		}
		if stats.refusedLate > stats.offered/100 {
			t.Errorf("%dx: %d of %d requests were refused late", factor, stats.refusedLate, stats.offered)
		}
		if stats.maxQueued > DefaultMaxCount {
			t.Errorf("%dx: up to %d requests waited", factor, stats.maxQueued)
		}
		t.Logf("%dx: %+v", factor, *stats)
	}
}

func TestLowRateCallerIsServedBesideHotCaller(t *testing.T) {
	// One caller sends three times the capacity of the targets. Another caller's
	// request every two seconds must not wait behind it until it is late.
	lowRate := workload{caller: "quiet", interval: 2 * kumquatlug.Second, cost: 300, timeout: 2 * kumquatlug.Second}
	hot := workload{caller: "hot", interval: 10, cost: 300, timeout: 20 * kumquatlug.Second}
	stats := simulate(Config{MaxCount: 200}, 3*kumquatlug.Minute, lowRate, hot)
	quiet := stats["quiet"]
	if quiet.onTime*100 < quiet.offered*98 || quiet.refused > 0 {
		t.Errorf("low-rate caller: %+v", *quiet)
	}
	t.Logf("quiet %+v, hot %+v", *quiet, *stats["hot"])
}

func TestShortRequestsMeetDeadlinesAmongLongOnes(t *testing.T) {
	// Long requests take seconds each. In arrival order a short request behind
	// three of them would be late before it starts.
	short := workload{caller: "short", interval: 200, cost: 100, timeout: 3 * kumquatlug.Second}
	long := workload{caller: "long", interval: 1000, cost: 9000, timeout: 30 * kumquatlug.Second}
	stats := simulate(Config{}, 3*kumquatlug.Minute, short, long)
	if s := stats["short"]; s.onTime*100 < s.offered*98 {
		t.Errorf("short requests: %+v", *s)
	}
	if l := stats["long"]; l.onTime == 0 {
		t.Errorf("long requests: %+v", *l)
	}
	t.Logf("short %+v, long %+v", *stats["short"], *stats["long"])
}

func TestOvertakenRequestsAreRefusedEarly(t *testing.T) {
	// Callers send documents with distant deadlines and a steady stream of
	// questions with near ones, together five times the capacity. Questions are
	// served first. Without the correction of predictions, documents are admitted
	// by the work ahead of them, overtaken by later questions, and refused only
	// after half a minute.
	var workloads []workload
	for n := range 20 {
		account := fmt.Sprint("account", n)
		workloads = append(workloads,
			workload{caller: fmt.Sprint("question", n), account: account, interval: 240, cost: 300, timeout: 3 * kumquatlug.Second},
			workload{caller: fmt.Sprint("document", n), account: account, interval: 4800, cost: 6000, timeout: 40 * kumquatlug.Second})
	}
	refusedLate, offered, served := 0, 0, int64(0)
	for caller, c := range simulate(Config{}, 5*kumquatlug.Minute, workloads...) {
		served += c.onTimeTokens
		if caller[0] == 'd' {
			refusedLate, offered = refusedLate+c.refusedLate, offered+c.offered
		}
	}
	if refusedLate*100 > offered {
		t.Errorf("%d of %d documents were refused after half of their time", refusedLate, offered)
	}
	if maxTokens := int64(serverTokensPerMs) * int64(270*kumquatlug.Second); served*100 < maxTokens*95 {
		t.Errorf("%d of %d tokens on time", served, maxTokens)
	}
	t.Logf("%d of %d documents refused late, %d tokens on time", refusedLate, offered, served)
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

func TestStandingQueueKeepsWaitsShort(t *testing.T) {
	// Work arrives at one and a half times the capacity for minutes. A long queue
	// keeps the targets no busier than a short one, but without a limit every
	// request would wait as long as its deadline allows.
	w := workload{caller: "all", interval: 33, cost: 500, timeout: 30 * kumquatlug.Second}
	stats := simulate(Config{}, 3*kumquatlug.Minute, w)["all"]
	if maxTokens := int64(serverTokensPerMs) * int64(162*kumquatlug.Second); stats.onTimeTokens*100 < maxTokens*95 {
		t.Errorf("%d of %d tokens on time", stats.onTimeTokens, maxTokens)
	}
	// A burst is admitted in the first seconds; after that waits are limited to
	// one second.
	if stats.meanWait > 3*kumquatlug.Second {
		t.Errorf("mean wait %d ms: %+v", stats.meanWait, *stats)
	}
	t.Logf("%+v", *stats)
}

func TestLowPriorityIsNotStarved(t *testing.T) {
	// The queue always holds urgent requests. With strict priorities requests of a
	// lower class would wait until their deadlines.
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
		t.Errorf("%d of 90 served requests were of the lower class, want a ninth", plain)
	}
}

func TestIdleCallerGainsNoCredit(t *testing.T) {
	// A caller that was idle while others were served must not be served ahead of
	// them for the time it was idle.
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
		t.Errorf("the idle caller got %d of the next 10 requests served, want at most half plus one", back)
	}
}
