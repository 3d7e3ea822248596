package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/kvtransfer"
)

// decodeElsewhere decodes a prompt whose cache r0 holds. The first output arrives after ms.
func decodeElsewhere(t *testing.T, p *Placer, now kumquatlug.Millis, own int, ms kumquatlug.Millis) *Attempt {
	t.Helper()
	prompt := document(own, own)
	c, found := p.ChooseDecode(now, cacheQuery(prompt))
	if !found {
		t.Fatal("no engine")
	}
	a := p.Begin(now, c, prompt)
	if ms > 0 {
		p.PrefillDone(now+ms, a)
		p.End(now+ms+20, a, OutcomeServed)
	}
	return a
}

func cacheQuery(prompt kumquatlug.Prompt) Query {
	return Query{Prompt: prompt, CacheZone: "a", Cache: KVCache{Engine: "r0", PrefilledTokens: 2890}}
}

// slowTransfers returns a Placer that has seen transfers of so many milliseconds.
func slowTransfers(t *testing.T, members []kumquatlug.Member, ms kumquatlug.Millis) *Placer {
	t.Helper()
	p := New(Config{Zone: "a"})
	p.Sync(0, members)
	if ms > 1000 {
		// Engines refuse some of the transfers that take so long.
		for range 4 {
			p.transfers.Fail(0, kvtransfer.Path{Source: "r1", SourceZone: "a", Target: "g1", TargetZone: "a"})
		}
	}
	for i := range 12 {
		decodeElsewhere(t, p, 0, i, ms)
	}
	return p
}

// Each transfer takes seconds. A long prompt must run on one engine: on two, it would be
// prefilled for a response that its client does not wait for. With a fast transfer two
// engines are used.
func TestPromptRunsOnOneEngineWhileTransfersAreSlow(t *testing.T) {
	for ms, prefillOnly := range map[kumquatlug.Millis]bool{2: true, 3300: false} {
		p := slowTransfers(t, engines(4, 4), ms)
		for i := range 6 {
			// Streams make a prefill beside them cost more than one elsewhere.
			p.Begin(0, mustPlacePrompt(t, p, 0, chatPrompt(i)), chatPrompt(i))
		}
		now := kumquatlug.Millis(200)
		c, found := p.ChoosePrompt(now, Query{Prompt: document(1, 1), FirstOutputDue: now + 200, Deadline: now + 2000})
		if !found || c.PrefillOnly() != prefillOnly {
			t.Errorf("transfers of %d ms: %+v, %v", ms, c, found)
		}
	}
}

// Prompts with one prefix must meet at one decode engine while prompts run on one engine.
// Spread over all, each engine would prefill every prefix.
func TestPrefixKeepsAnOwnerOnOneEngine(t *testing.T) {
	at := map[string]bool{}
	for range 3 {
		p := slowTransfers(t, engines(4, 4), 3300)
		c, _ := p.ChoosePrompt(200, Query{Prompt: document(1, 1), FirstOutputDue: 400})
		at[c.Worker().ID()] = true
		again := p.Begin(200, c, document(1, 1))
		c, _ = p.ChoosePrompt(210, Query{Prompt: document(1, 2), FirstOutputDue: 410})
		at[c.Worker().ID()] = true
		p.End(300, again, OutcomeServed)
	}
	if len(at) != 1 {
		t.Errorf("one prefix at %v", at)
	}
}

// Decoding must go to the data centre of the cache if the transfer to another one is slow,
// even if the gateway itself is elsewhere.
func TestDecodePrefersFastTransfer(t *testing.T) {
	members := append(engines(1, 1), member("far", "b", kumquatlug.RoleDecode, 64))
	p := New(Config{Zone: "b"})
	p.Sync(0, members)
	for range 4 {
		p.transfers.Fail(0, kvtransfer.Path{Source: "r0", SourceZone: "a", Target: "far", TargetZone: "b"})
	}
	for i := range 10 {
		for target, zone := range map[string]string{"g0": "a", "far": "b"} {
			path := kvtransfer.Path{Source: "r0", SourceZone: "a", Target: target, TargetZone: zone}
			ms := 66.0
			if zone == "b" {
				ms = 132
			}
			p.transfers.Observe(kumquatlug.Millis(i), kvtransfer.Sample{Path: path, Tokens: 9000, Ms: ms, Bound: kvtransfer.BoundExact})
		}
	}
	if c, _ := p.ChooseDecode(100, cacheQuery(document(1, 1))); c.Worker().ID() != "g0" || c.Wait() < 60 {
		t.Errorf("%s after %d ms", c.Worker().ID(), c.Wait())
	}
}

// A decode engine that changes its role, or whose slots are taken, refuses caches that could
// be transferred. That must not make transfers look broken, and another engine may take
// the cache. After real failures the prompt runs on one engine, and never a third time.
func TestRecoveryFromRefusedCache(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(2, 3))
	refuse := func(now kumquatlug.Millis, failed, reused bool, prefills int) CacheRecovery {
		a := decodeElsewhere(t, p, now, 1, 0)
		r := p.RecordRefusedCache(now+5, a, RefusedCache{Query: cacheQuery(document(1, 1)), TransferFailed: failed, Reused: reused, Prefills: prefills})
		p.End(now+5, a, OutcomeNeutral)
		return r
	}
	for i := range 5 {
		if r := refuse(kumquatlug.Millis(i), false, false, 1); r != RecoverAtOtherEngine {
			t.Fatalf("after a refusal for another reason: %s", r)
		}
	}
	if s := p.TransferStats(); s.Failed != 0 || s.WastedTokens != 0 {
		t.Errorf("%+v", s)
	}
	if r := refuse(100, true, false, 1); r != RecoverAtOtherEngine {
		t.Errorf("after the first failure: %s", r)
	}
	if r := refuse(110, true, true, 1); r != RecoverOnOneEngine {
		t.Errorf("after the second failure: %s", r)
	}
	if r := refuse(120, true, false, 2); r != RecoverNot {
		t.Errorf("after two prefills: %s", r)
	}
	if s := p.TransferStats(); s.Failed != 3 || s.WastedTokens != 2*2890 {
		t.Errorf("%+v", s)
	}
	if c, found := p.ChoosePrompt(200, Query{Prompt: document(2, 2), OneEngine: true}); !found || c.PrefillOnly() {
		t.Errorf("%+v, %v", c, found)
	}
}

// Above the bound of wasted tokens no prompt may be prefilled for a transfer, not even when
// no engine is free to run it alone: then it is refused.
func TestWasteBoundEndsSeparatePrefills(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(2, 1))
	for range 4 {
		p.transfers.Fail(0, kvtransfer.Path{Source: "r0", SourceZone: "a", Target: "g0", TargetZone: "a"})
	}
	p.transfers.AddPrefilled(0, 9000)
	p.transfers.AddWasted(0, 9000)
	for i := range 30 {
		if c, found := p.ChoosePrompt(100, Query{Prompt: document(i, i)}); !found || c.PrefillOnly() {
			t.Fatalf("%+v, %v", c, found)
		}
	}
	if c, found := p.ChoosePrompt(100, Query{Prompt: document(1, 1), Exclude: []string{"g0"}}); found {
		t.Errorf("%+v", c)
	}
}

// Attempts that end in any way must leave no pending transfer, which would make their engines
// look busy forever.
func TestEndedAttemptsLeaveNoTransfer(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 2))
	for i, o := range []Outcome{OutcomeServed, OutcomeFailed, OutcomeRefused, OutcomeNeutral} {
		a := decodeElsewhere(t, p, kumquatlug.Millis(i*1000), i, 0)
		p.End(kumquatlug.Millis(i*1000+10), a, o)
	}
	p.withdraw(5000, decodeElsewhere(t, p, 5000, 9, 0))
	path := kvtransfer.Path{Source: "r0", SourceZone: "a", Target: "g0", TargetZone: "a"}
	if ahead := p.transfers.Begin(path, 1); ahead != 0 {
		t.Errorf("%.0f tokens pending", ahead)
	}
}
