package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/learn"
)

// overloadResult replays prompts at a steady rate against one reading engine that reads
// each prompt's own tokens, and counts what became of them.
type overloadResult struct {
	inTime, late, refused int
	// maxRefusalDelay is the longest that one was held before it was refused.
	maxRefusalDelay kumquatlug.Millis
}

func runOverload(t *testing.T, perSecond float64, span kumquatlug.Millis, queueing bool) overloadResult {
	t.Helper()
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 1))
	for i := range 50 {
		c, found := p.Output(0, Query{Prompt: chatPrompt(i)})
		if !found {
			t.Fatal("no engine")
		}
		p.Begin(0, c, chatPrompt(i))
	}
	type job struct {
		arrived kumquatlug.Millis
		prompt  kumquatlug.Prompt
	}
	type reading struct {
		key    uint64
		ticket *Ticket
	}
	var r overloadResult
	var atEngine []reading
	jobs := map[uint64]job{}
	random := rand.New(rand.NewPCG(7, 8))
	freeAt, nextAt, key := 0.0, 0.0, uint64(0)
	start := func(now kumquatlug.Millis, k uint64, ticket *Ticket) {
		atEngine = append(atEngine, reading{key: k, ticket: ticket})
		if len(atEngine) == 1 {
			freeAt = float64(now) + float64(jobs[k].prompt.Input()-6300)/236
		}
	}
	for now := kumquatlug.Millis(0); now < span; now++ {
		for len(atEngine) > 0 && freeAt <= float64(now) {
			finished := atEngine[0]
			atEngine = atEngine[1:]
			p.End(now, finished.ticket, OutcomeGood)
			if now-jobs[finished.key].arrived+postPrefillMs <= 200 {
				r.inTime++
			} else {
				r.late++
			}
			if len(atEngine) > 0 {
				freeAt += float64(jobs[atEngine[0].key].prompt.Input()-6300) / 236
			}
		}
		for float64(now) >= nextAt {
			nextAt += random.ExpFloat64() * 1000 / perSecond
			key++
			own := min(int(2000*math.Exp(random.NormFloat64())), 30_000)
			shared := document(int(key)%40, int(key)).Shared()
			prompt := kumquatlug.NewPrompt(append(slices.Clone(shared), kumquatlug.NewPart("own", own)), 6300+own, 104)
			jobs[key] = job{arrived: now, prompt: prompt}
			q := Query{Prompt: prompt, Target: now + 200, Until: now + 2000}
			if !queueing {
				c, _ := p.Prompt(now, q)
				start(now, key, p.Begin(now, c, prompt))
				continue
			}
			entry, _, ticket := p.Enter(now, key, q)
			switch entry {
			case EntrySent:
				start(now, key, ticket)
			case EntryRefused:
				r.refused++
			}
		}
		for _, due := range p.Due(now) {
			if due.Ticket() != nil {
				start(now, due.Key(), due.Ticket())
				continue
			}
			r.refused++
			r.maxRefusalDelay = max(r.maxRefusalDelay, now-jobs[due.Key()].arrived)
		}
	}
	return r
}

// Prompts come at twice the rate that the engine reads, for ten seconds. Handed
// on as they come, all but the first ones are late. In queues, two thirds and more
// of what the engine can do must be in time, and who can't be served must be told
// early, not at the end of their patience.
func TestQueueKeepsMostPromptsInTimeUnderOverload(t *testing.T) {
	unqueued, queued := runOverload(t, 150, 10_000, false), runOverload(t, 150, 10_000, true)
	t.Logf("handed on: %+v; in queues: %+v", unqueued, queued)
	if queued.inTime < 500 || queued.inTime < 5*unqueued.inTime {
		t.Errorf("%d prompts in time, %d without queues", queued.inTime, unqueued.inTime)
	}
	if queued.maxRefusalDelay > 500 {
		t.Errorf("a prompt was refused after %d ms", queued.maxRefusalDelay)
	}
}

// Below what the engine reads nobody may be refused, and the queues may not make
// anybody late.
func TestNoRefusalsBelowCapacity(t *testing.T) {
	r := runOverload(t, 35, 10_000, true)
	if r.refused > 0 || r.late > 10 {
		t.Errorf("%+v", r)
	}
}

// The engine whose queue a prompt stands in goes, or takes another role. The
// prompt must go to another engine at once, not wait for one that won't come.
func TestQueuedPromptsMoveWhenEngineLeaves(t *testing.T) {
	p := New(Config{})
	p.Sync(0, engines(2, 1))
	var waits []uint64
	for key := uint64(1); key <= 60; key++ {
		if entry, _, _ := p.Enter(0, key, Query{Prompt: document(1, int(key)), Until: 5000}); entry == EntryWaits {
			waits = append(waits, key)
		}
	}
	if len(waits) == 0 {
		t.Fatal("nobody waits")
	}
	owner := ""
	for _, w := range p.ordered {
		if len(w.queue) > 0 {
			owner = w.member.Worker.ID()
		}
	}
	members := engines(2, 1)
	members = slices.DeleteFunc(members, func(m kumquatlug.Member) bool { return m.Worker.ID() == owner })
	p.Sync(10, members)
	for _, due := range p.Due(10) {
		if due.Ticket() == nil {
			t.Error("a prompt is given up")
		}
		if due.Choice().Worker().ID() == owner {
			t.Error("a prompt goes to the engine that is gone")
		}
	}
	p.Leave(waits[len(waits)-1])
	if n := p.Waiting(); n >= len(waits) {
		t.Errorf("%d of %d still wait", n, len(waits))
	}
}

// A hundred fronts send to a thousand engines, each seldom to the same one. Taken
// for as many as each of them has there, the two prompts of this front would look
// like an overload, and the third be refused at an engine that stands idle.
func TestOtherGatewaysDoNotCountAsOverload(t *testing.T) {
	p := New(Config{Reading: learn.ReadingConfig{Rate: 236}})
	p.Sync(0, engines(1, 1))
	for i := range 40 {
		c, _ := p.Output(0, Query{Prompt: chatPrompt(i)})
		p.Begin(0, c, chatPrompt(i))
	}
	for i := range 3 {
		entry, c, _ := p.Enter(0, uint64(i), Query{Prompt: document(1, i), Target: 200, Until: 2000})
		if entry == EntryRefused || entry == EntryNobody {
			t.Errorf("prompt %d is refused at an expected wait of %d ms", i, c.Wait())
		}
	}
	if c := mustPlacePrompt(t, p, 100, document(1, 4)); c.Wait() > 400 {
		t.Errorf("expected wait of %d ms behind three prompts", c.Wait())
	}
}

// An engine breaks a stream off while the other one has a queue that is late
// already. Refused as overload, the client would see half an answer and a broken
// connection, though three seconds are left to read the prompt again.
func TestStartedResponseIsNotRefusedUnderOverload(t *testing.T) {
	p := New(Config{Reading: learn.ReadingConfig{Rate: 50}})
	p.Sync(0, engines(1, 1))
	for key := uint64(1); key <= 30; key++ {
		p.Enter(0, key, Query{Prompt: document(1, int(key)), Target: 600, Until: 5000})
	}
	if entry, _, _ := p.Enter(0, 40, Query{Prompt: document(1, 40), Target: 20, Until: 60}); entry != EntryRefused {
		t.Fatalf("a late one that has not begun: %s", entry)
	}
	if entry, _, _ := p.Enter(0, 50, Query{Prompt: document(1, 50), Target: 100, Until: 3000, Begun: true}); entry != EntryWaits {
		t.Fatalf("one that has begun: %s", entry)
	}
	for _, due := range p.Due(400) {
		if due.Key() == 50 && due.Ticket() == nil {
			t.Error("given up while it waits")
		}
	}
	for _, w := range p.ordered {
		if len(w.queue) > 0 && p.dequeue(w).key != 50 {
			t.Error("another one has its turn before it")
		}
	}
}

// Three great prompts come within a second, and then one that is small and late
// already. Its engine is free again in half a second and its client waits for
// one and a half; yet by the load of the last instant the engine would look full
// for ever, and the client be sent away.
func TestFewLargePromptsDoNotLookLikeAFullEngine(t *testing.T) {
	p := New(Config{Reading: learn.ReadingConfig{Rate: 50}})
	p.Sync(0, engines(1, 1))
	largePrompt := func(i int) kumquatlug.Prompt {
		return kumquatlug.NewPrompt([]kumquatlug.Part{kumquatlug.NewPart("s", 9000), kumquatlug.NewPart(fmt.Sprint("g", i), 20_000)}, 29_000, 50)
	}
	for i := range 50 {
		c, _ := p.Output(0, Query{Prompt: chatPrompt(i)})
		p.Begin(0, c, chatPrompt(i))
	}
	now, last := kumquatlug.Millis(1), (*Ticket)(nil)
	for i := range 3 {
		if last != nil {
			p.End(now, last, OutcomeGood)
		}
		entry, _, ticket := p.Enter(now, uint64(i+1), Query{Prompt: largePrompt(i), Target: now + 800, Until: now + 5000})
		if entry != EntrySent {
			t.Fatalf("prompt %d: %s", i, entry)
		}
		last = ticket
		now += 450
	}
	now -= 400
	if entry, _, _ := p.Enter(now, 9, Query{Prompt: document(1, 9), Target: now + 50, Until: now + 1500}); entry != EntryWaits {
		t.Errorf("the late one: %s", entry)
	}
}
