package uplink

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const testBytesPerMs = 1250

func newLink() *Link { return New(Config{BytesPerMs: testBytesPerMs}) }

// prompt returns a refusable transmission that arrived at a time.
func prompt(arrived kumquatlug.Millis, bytes int) Transmission {
	return Transmission{
		Bytes: bytes, Value: 1, ArrivedAt: arrived, LatencyTarget: 200, FirstOutputDue: arrived + 200, Deadline: arrived + 2000,
		Remaining: 80, Refusable: true,
	}
}

// A link of unknown or high rate must behave as without this package: nothing waits, is
// refused or has a price.
func TestFastLinkIsNotScheduled(t *testing.T) {
	for _, rate := range []float64{0, 5000, 25_000} {
		l := New(Config{BytesPerMs: rate})
		for key := range uint64(200) {
			if v := l.Submit(1, key, prompt(1, 55_000)); v != VerdictSend || l.Admit(1, prompt(-5000, 9200)) != VerdictSend {
				t.Fatalf("rate %v: transmission %d: %s", rate, key, v)
			}
		}
		if l.BacklogMs(1) != 0 || l.SecondBodyMs(9200) != 0 || l.Overloaded(1) {
			t.Errorf("rate %v: backlog %v, second body %v", rate, l.BacklogMs(1), l.SecondBodyMs(9200))
		}
	}
}

// While the link is busy, the order must be by what the clients gain. In order of
// arrival, a prompt that was already prefilled would miss its target behind one that
// misses it anyway.
func TestOrderOfTransmissions(t *testing.T) {
	l := newLink()
	l.Count(1, 20_000)
	worked, late, later, small := prompt(-90, 30_000), prompt(-400, 3000), prompt(-300, 3000), prompt(0, 5000)
	worked.WorkDone = true
	for key, p := range []Transmission{later, late, prompt(0, 20_000), small, worked} {
		p.Refusable = false
		if v := l.Submit(1, uint64(key), p); v != VerdictWait {
			t.Fatalf("transmission %d: %s", key, v)
		}
	}
	if v := l.Submit(1, 9, prompt(0, 220)); v != VerdictSend {
		t.Errorf("a small body: %s", v)
	}
	var order []uint64
	for next, waits := l.NextDue(); waits; next, waits = l.NextDue() {
		for _, due := range l.Due(next) {
			order = append(order, due.Key())
		}
		if l.backlogBytes > (l.maxQueueMs+30)*l.bytesPerMs {
			t.Fatalf("%v bytes were given to the link at once", l.backlogBytes)
		}
	}
	if !slices.Equal(order, []uint64{4, 3, 2, 1, 0}) {
		t.Errorf("sent in the order %v", order)
	}
}

// A request must be refused as late only while the link is over capacity, and only if no
// worker has received it and it was not refused before: otherwise a client would be
// refused by one gateway after another. A deadline that can't be met is refused always.
func TestRefusals(t *testing.T) {
	slow := prompt(0, 9200)
	slow.Remaining = 180
	refusedBefore, hopeless := slow, slow
	refusedBefore.Refusable, hopeless.Refusable = false, false
	hopeless.Deadline = 100
	for _, c := range []struct {
		name    string
		backlog int
		t       Transmission
		want    Verdict
	}{
		{"late below capacity", 110_000, slow, VerdictWait},
		{"late over capacity", 130_000, slow, VerdictLate},
		{"on time over capacity", 130_000, prompt(0, 5000), VerdictWait},
		{"late, refused before", 130_000, refusedBefore, VerdictWait},
		{"after its deadline", 130_000, hopeless, VerdictDeadline},
		{"small", 130_000, Transmission{Bytes: 220, Deadline: 1, FirstOutputDue: 1, LatencyTarget: 1, Refusable: true}, VerdictSend},
	} {
		l := newLink()
		l.Count(1, c.backlog)
		admitted := cmp.Or(map[Verdict]Verdict{VerdictWait: VerdictSend}[c.want], c.want)
		if v := l.Admit(1, c.t); v != admitted {
			t.Errorf("%s: at admission %s, want %s", c.name, v, admitted)
		}
		if v := l.Submit(1, 1, c.t); v != c.want {
			t.Errorf("%s: %s, want %s", c.name, v, c.want)
		}
	}
}

// A process that was stopped for a second must not send all that waited at once, must
// refuse what is too late, and a canceled transmission must not be sent.
func TestStoppedProcess(t *testing.T) {
	l := newLink()
	l.Count(1, 20_000)
	for key := range uint64(10) {
		p := prompt(kumquatlug.Millis(key), 9200)
		p.Refusable, p.Deadline = false, 700+1000*kumquatlug.Millis(key%2)
		l.Submit(1, key, p)
	}
	l.Cancel(1)
	sent, refused := 0, 0
	for _, due := range l.Due(1000) {
		switch due.Verdict() {
		case VerdictSend:
			sent++
		default:
			refused++
		}
	}
	if sent != 1 || refused != 5 || len(l.waiting) != 3 || l.WaitingBytes() != 3*9200 {
		t.Errorf("%d sent, %d refused, %d waiting", sent, refused, len(l.waiting))
	}
}

// A link near its capacity crosses the limit many times a second; the state that is
// logged must not change each time.
func TestOverloadIsHeld(t *testing.T) {
	l := newLink()
	l.Count(1, 140_000)
	l.Admit(1, prompt(0, 9200))
	l.Admit(500, prompt(499, 9200))
	if !l.Overloaded(900) || l.Overloaded(1500) {
		t.Errorf("overloaded at 900 ms: %v, at 1500 ms: %v", l.Overloaded(900), l.Overloaded(1500))
	}
}

// flow is a body that the model's link is sending.
type flow struct {
	left float64
	done func(now kumquatlug.Millis)
}

// replay models a gateway for 20 s at a load relative to its link of 1,250 bytes per ms:
// long prompts whose body is sent for the prefill of 60 ms and again for the decode of
// 20 ms, and short questions. The bytes given to the link share it evenly, as kernels
// do.
type replay struct {
	link    *Link
	now     kumquatlug.Millis
	flows   []*flow
	waiting map[uint64]func()
	key     uint64
	// prompts were offered, refused were refused at once, prefilled ran a prefill,
	// onTime met the target of 200 ms.
	prompts, refused, prefilled, onTime int
	questionMs                          []float64
}

func (r *replay) send(bytes int, done func(kumquatlug.Millis)) {
	r.flows = append(r.flows, &flow{left: wireBytes(bytes + requestHeadBytes), done: done})
}

func (r *replay) submit(p Transmission, done func(kumquatlug.Millis)) {
	if r.link == nil {
		r.send(p.Bytes, done)
		return
	}
	r.key++
	switch r.link.Submit(r.now, r.key, p) {
	case VerdictSend:
		r.send(p.Bytes, done)
	case VerdictWait:
		r.waiting[r.key] = func() { r.send(p.Bytes, done) }
	case VerdictLate, VerdictDeadline:
		r.refused++
	}
}

func (r *replay) arrive(bytes int, at map[kumquatlug.Millis][]func()) {
	r.prompts++
	arrived := r.now
	first := prompt(arrived, bytes)
	if r.link != nil && r.link.Admit(r.now, first) != VerdictSend {
		r.refused++
		return
	}
	r.submit(first, func(now kumquatlug.Millis) {
		r.prefilled++
		at[now+60] = append(at[now+60], func() {
			second := first
			second.WorkDone, second.Refusable, second.Remaining = true, false, 20
			r.submit(second, func(now kumquatlug.Millis) {
				if now+20-arrived <= 200 {
					r.onTime++
				}
			})
		})
	})
}

func (r *replay) step(at map[kumquatlug.Millis][]func()) {
	for _, f := range at[r.now] {
		f()
	}
	delete(at, r.now)
	if r.link != nil {
		for _, due := range r.link.Due(r.now) {
			if due.Verdict() == VerdictSend {
				r.waiting[due.Key()]()
			} else {
				r.refused++
			}
			delete(r.waiting, due.Key())
		}
	}
	r.transmit()
	r.now++
}

// transmit sends for one ms.
func (r *replay) transmit() {
	for capacity := float64(testBytesPerMs); capacity > 1 && len(r.flows) > 0; {
		share := capacity / float64(len(r.flows))
		for _, f := range r.flows {
			sent := min(share, f.left)
			f.left, capacity = f.left-sent, capacity-sent
		}
		flows := r.flows
		r.flows = nil
		for _, f := range flows {
			if f.left > 0.5 {
				r.flows = append(r.flows, f)
			} else {
				f.done(r.now + 1)
			}
		}
	}
}

func newReplay(load float64, scheduled bool, seed uint64) *replay {
	random := rand.New(rand.NewPCG(seed, 1))
	r := &replay{now: 1, waiting: map[uint64]func(){}}
	if scheduled {
		r.link = newLink()
	}
	const meanBytes = 9200
	perMs := load * testBytesPerMs / (2 * wireBytes(meanBytes+requestHeadBytes))
	at := map[kumquatlug.Millis][]func(){}
	for r.now < 20_000 {
		if random.Float64() < perMs {
			r.arrive(min(2100+int(random.ExpFloat64()*(meanBytes-2000)), 55_000), at)
		}
		if random.Float64() < 0.002 {
			asked := r.now
			r.submit(Transmission{Bytes: 220, ArrivedAt: asked}, func(now kumquatlug.Millis) {
				r.questionMs = append(r.questionMs, float64(now-asked))
			})
		}
		r.step(at)
	}
	slices.Sort(r.questionMs)
	return r
}

// The load of a site with low-bandwidth links. Unscheduled, the link collapses above its
// capacity: all bodies share it, and nearly every prompt is prefilled in vain. Scheduled,
// the prompts that fit into the link must be on time, few prefills may be in vain, and
// short questions must not wait for long bodies. At 70% nothing may get worse.
func TestReplayOfLowBandwidthLink(t *testing.T) {
	for _, load := range []float64{0.7, 0.9, 1.0, 1.2, 1.4} {
		var sums [2]replay
		for seed := range uint64(5) {
			for i, scheduled := range []bool{false, true} {
				r := newReplay(load, scheduled, seed)
				sums[i].prompts += r.prompts
				sums[i].refused += r.refused
				sums[i].prefilled += r.prefilled
				sums[i].onTime += r.onTime
				sums[i].questionMs = append(sums[i].questionMs, r.questionMs[len(r.questionMs)*95/100])
			}
		}
		before, after := &sums[0], &sums[1]
		t.Logf("load %.1f: %d prompts, on time %d unscheduled, %d scheduled; %d refused, prefilled in vain %d and %d; question p95 %v and %v ms",
			load, after.prompts, before.onTime, after.onTime, after.refused, before.prefilled-before.onTime,
			after.prefilled-after.onTime, slices.Max(before.questionMs), slices.Max(after.questionMs))
		fits := float64(after.prompts) * min(1, 1/load)
		if after.onTime < before.onTime || float64(after.onTime) < 0.8*fits {
			t.Errorf("load %.1f: %d of %d on time, %d unscheduled", load, after.onTime, after.prompts, before.onTime)
		}
		if vain := after.prefilled - after.onTime; float64(vain) > 0.15*float64(after.prefilled) {
			t.Errorf("load %.1f: %d of %d prefills were in vain", load, vain, after.prefilled)
		}
		if worst := slices.Max(after.questionMs); worst > 20 {
			t.Errorf("load %.1f: a question in 20 took %v ms", load, worst)
		}
	}
}
