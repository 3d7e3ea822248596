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

// overloadResult counts the outcomes of prompts that arrive at a steady rate at one
// prefill engine, which prefills only each prompt's own tokens.
type overloadResult struct {
	inTime, late, refused int
	// maxRefusalDelay is the longest time that a prompt was queued before it was
	// refused.
	maxRefusalDelay kumquatlug.Millis
}

func runOverload(t *testing.T, perSecond float64, span kumquatlug.Millis, queueing bool) overloadResult {
	t.Helper()
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 1))
	for i := range 50 {
		c, found := p.ChooseDecode(0, Query{Prompt: chatPrompt(i)})
		if !found {
			t.Fatal("no engine")
		}
		p.Begin(0, c, chatPrompt(i))
	}
	type job struct {
		arrived kumquatlug.Millis
		prompt  kumquatlug.Prompt
	}
	type prefillJob struct {
		key     uint64
		attempt *Attempt
	}
	var r overloadResult
	var engineQueue []prefillJob
	jobs := map[uint64]job{}
	random := rand.New(rand.NewPCG(7, 8))
	freeAt, nextAt, key := 0.0, 0.0, uint64(0)
	start := func(now kumquatlug.Millis, k uint64, attempt *Attempt) {
		engineQueue = append(engineQueue, prefillJob{key: k, attempt: attempt})
		if len(engineQueue) == 1 {
			freeAt = float64(now) + float64(jobs[k].prompt.Input()-6300)/236
		}
	}
	for now := kumquatlug.Millis(0); now < span; now++ {
		for len(engineQueue) > 0 && freeAt <= float64(now) {
			finished := engineQueue[0]
			engineQueue = engineQueue[1:]
			p.End(now, finished.attempt, OutcomeServed)
			if now-jobs[finished.key].arrived+postPrefillMs <= 200 {
				r.inTime++
			} else {
				r.late++
			}
			if len(engineQueue) > 0 {
				freeAt += float64(jobs[engineQueue[0].key].prompt.Input()-6300) / 236
			}
		}
		for float64(now) >= nextAt {
			nextAt += random.ExpFloat64() * 1000 / perSecond
			key++
			own := min(int(2000*math.Exp(random.NormFloat64())), 30_000)
			shared := document(int(key)%40, int(key)).Shared()
			prompt := kumquatlug.NewPrompt(append(slices.Clone(shared), kumquatlug.NewPart("own", own)), 6300+own, 104)
			jobs[key] = job{arrived: now, prompt: prompt}
			q := Query{Prompt: prompt, FirstOutputDue: now + 200, Deadline: now + 2000}
			if !queueing {
				c, _ := p.ChoosePrompt(now, q)
				start(now, key, p.Begin(now, c, prompt))
				continue
			}
			result, _, attempt := p.Submit(now, key, q)
			switch result {
			case SubmissionSent:
				start(now, key, attempt)
			case SubmissionRefused:
				r.refused++
			}
		}
		for _, due := range p.Due(now) {
			if due.Attempt() != nil {
				start(now, due.Key(), due.Attempt())
				continue
			}
			r.refused++
			r.maxRefusalDelay = max(r.maxRefusalDelay, now-jobs[due.Key()].arrived)
		}
	}
	return r
}

// Prompts arrive at twice the prefill rate for ten seconds. Passed on at once, all but
// the first ones would be late. With queues at least two thirds of the engine's
// capacity must be in time, and clients that can't be served must be refused early, not
// at their deadline.
func TestQueueKeepsMostPromptsInTimeUnderOverload(t *testing.T) {
	unqueued, queued := runOverload(t, 150, 10_000, false), runOverload(t, 150, 10_000, true)
	t.Logf("without queues: %+v; with queues: %+v", unqueued, queued)
	if queued.inTime < 500 || queued.inTime < 5*unqueued.inTime {
		t.Errorf("%d prompts in time with queues, %d without", queued.inTime, unqueued.inTime)
	}
	if queued.maxRefusalDelay > 500 {
		t.Errorf("a prompt was refused after %d ms", queued.maxRefusalDelay)
	}
}

// Below the prefill capacity no prompt may be refused, and the queues may make none
// late.
func TestNoRefusalsBelowCapacity(t *testing.T) {
	r := runOverload(t, 35, 10_000, true)
	if r.refused > 0 || r.late > 10 {
		t.Errorf("below capacity: %+v", r)
	}
}

// The engine for which a prompt is queued leaves, or changes its role. The prompt must
// move to another engine at once instead of waiting for one that won't take it.
func TestQueuedPromptsMoveWhenEngineLeaves(t *testing.T) {
	p := New(Config{})
	p.Sync(0, engines(2, 1))
	var waits []uint64
	for key := uint64(1); key <= 60; key++ {
		if result, _, _ := p.Submit(0, key, Query{Prompt: document(1, int(key)), Deadline: 5000}); result == SubmissionQueued {
			waits = append(waits, key)
		}
	}
	if len(waits) == 0 {
		t.Fatal("no prompt is queued")
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
		if due.Attempt() == nil {
			t.Error("a prompt is dropped")
		}
		if due.Choice().Worker().ID() == owner {
			t.Error("a prompt is sent to the engine that left")
		}
	}
	p.Cancel(waits[len(waits)-1])
	if n := p.Waiting(); n >= len(waits) {
		t.Errorf("%d of %d are still queued", n, len(waits))
	}
}

// A hundred gateways send to a thousand engines, each rarely to the same one. If each
// of them were assumed to have as many prompts there, the two prompts of this gateway
// would look like an overload, and the third would be refused at an idle engine.
func TestOtherGatewaysDoNotCountAsOverload(t *testing.T) {
	p := New(Config{Prefill: learn.PrefillEstimatorConfig{TokensPerMs: 236}})
	p.Sync(0, engines(1, 1))
	for i := range 40 {
		c, _ := p.ChooseDecode(0, Query{Prompt: chatPrompt(i)})
		p.Begin(0, c, chatPrompt(i))
	}
	for i := range 3 {
		result, c, _ := p.Submit(0, uint64(i), Query{Prompt: document(1, i), FirstOutputDue: 200, Deadline: 2000})
		if result == SubmissionRefused || result == SubmissionNoEngine {
			t.Errorf("prompt %d was refused with an expected wait of %d ms", i, c.Wait())
		}
	}
	if c := mustPlacePrompt(t, p, 100, document(1, 4)); c.Wait() > 400 {
		t.Errorf("expected wait of %d ms behind three prompts", c.Wait())
	}
}

// An engine breaks off a stream while the queue of the other one is already late. If
// the prompt were refused as overload, the client would see half a response and a
// broken connection, though three seconds are left to prefill it again.
func TestStartedResponseIsNotRefusedUnderOverload(t *testing.T) {
	p := New(Config{Prefill: learn.PrefillEstimatorConfig{TokensPerMs: 50}})
	p.Sync(0, engines(1, 1))
	for key := uint64(1); key <= 30; key++ {
		p.Submit(0, key, Query{Prompt: document(1, int(key)), FirstOutputDue: 600, Deadline: 5000})
	}
	if result, _, _ := p.Submit(0, 40, Query{Prompt: document(1, 40), FirstOutputDue: 20, Deadline: 60}); result != SubmissionRefused {
		t.Fatalf("late prompt without output: %s", result)
	}
	if result, _, _ := p.Submit(0, 50, Query{Prompt: document(1, 50), FirstOutputDue: 100, Deadline: 3000, ResponseStarted: true}); result != SubmissionQueued {
		t.Fatalf("prompt with a started response: %s", result)
	}
	for _, due := range p.Due(400) {
		if due.Key() == 50 && due.Attempt() == nil {
			t.Error("the prompt with a started response was dropped")
		}
	}
	for _, w := range p.ordered {
		if len(w.queue) > 0 && p.dequeue(w).key != 50 {
			t.Error("another prompt goes before the one with a started response")
		}
	}
}

// Three large prompts arrive within a second, and then a small one that is already
// late. Its engine is free again in half a second and its client waits for one and a
// half. By the load of the last instant alone the engine would always look full, and
// the prompt would be refused.
func TestFewLargePromptsDoNotLookLikeAFullEngine(t *testing.T) {
	p := New(Config{Prefill: learn.PrefillEstimatorConfig{TokensPerMs: 50}})
	p.Sync(0, engines(1, 1))
	largePrompt := func(i int) kumquatlug.Prompt {
		return kumquatlug.NewPrompt([]kumquatlug.Part{kumquatlug.NewPart("s", 9000), kumquatlug.NewPart(fmt.Sprint("g", i), 20_000)}, 29_000, 50)
	}
	for i := range 50 {
		c, _ := p.ChooseDecode(0, Query{Prompt: chatPrompt(i)})
		p.Begin(0, c, chatPrompt(i))
	}
	now, last := kumquatlug.Millis(1), (*Attempt)(nil)
	for i := range 3 {
		if last != nil {
			p.End(now, last, OutcomeServed)
		}
		result, _, attempt := p.Submit(now, uint64(i+1), Query{Prompt: largePrompt(i), FirstOutputDue: now + 800, Deadline: now + 5000})
		if result != SubmissionSent {
			t.Fatalf("prompt %d: %s", i, result)
		}
		last = attempt
		now += 450
	}
	now -= 400
	if result, _, _ := p.Submit(now, 9, Query{Prompt: document(1, 9), FirstOutputDue: now + 50, Deadline: now + 1500}); result != SubmissionQueued {
		t.Errorf("late prompt: %s", result)
	}
}
