package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func member(id, zone string, role kumquatlug.Role, slots int) kumquatlug.Member {
	return kumquatlug.Member{
		Worker: kumquatlug.NewWorker(id, "10.0.0.1:1"), Service: "s", Zone: zone, State: kumquatlug.MemberReady, Slots: slots, Role: role,
	}
}

// engines returns members: prefill engines r0, r1, … and decode engines g0, g1, …
func engines(prefill, decode int) []kumquatlug.Member {
	var members []kumquatlug.Member
	for i := range prefill {
		members = append(members, member(fmt.Sprintf("r%d", i), "a", kumquatlug.RolePrefill, 64))
	}
	for i := range decode {
		members = append(members, member(fmt.Sprintf("g%d", i), "a", kumquatlug.RoleDecode, 64))
	}
	return members
}

// document returns a long prompt of two shared parts and its own.
func document(prefix, own int) kumquatlug.Prompt {
	return kumquatlug.NewPrompt([]kumquatlug.Part{
		kumquatlug.NewPart(fmt.Sprint("top", prefix%4), 2520),
		kumquatlug.NewPart(fmt.Sprint("chain", prefix), 3780),
		kumquatlug.NewPart(fmt.Sprint("own", own), 2890),
	}, 9190, 104)
}

func chatPrompt(own int) kumquatlug.Prompt {
	return kumquatlug.NewPrompt([]kumquatlug.Part{kumquatlug.NewPart("hello", 79), kumquatlug.NewPart(fmt.Sprint("c", own), 141)}, 220, 4600)
}

func mustPlacePrompt(t *testing.T, p *Placer, now kumquatlug.Millis, prompt kumquatlug.Prompt) Choice {
	t.Helper()
	c, found := p.ChoosePrompt(now, Query{Prompt: prompt})
	if !found {
		t.Fatal("no engine")
	}
	return c
}

// Gateways choose engines without communicating. If each chose its own owner for a
// shared prefix, every engine would prefill all of them. So all gateways must agree,
// and few prefixes may move when an engine leaves.
func TestGatewaysAgreeOnPrefixOwnersAndFewMove(t *testing.T) {
	owners := func(members []kumquatlug.Member) map[int]string {
		p := New(Config{Zone: "a"})
		p.Sync(0, members)
		ownerOf := map[int]string{}
		for prefix := range 400 {
			ownerOf[prefix] = mustPlacePrompt(t, p, 0, document(prefix, prefix)).Worker().ID()
		}
		return ownerOf
	}
	all := engines(8, 4)
	first, second := owners(all), owners(append(all[4:], all[:4]...))
	without := owners(all[1:])
	moved := 0
	for prefix, owner := range first {
		if second[prefix] != owner {
			t.Fatalf("prefix %d is owned by %s and by %s", prefix, owner, second[prefix])
		}
		if without[prefix] != owner {
			moved++
			if owner != all[0].Worker.ID() {
				t.Fatalf("prefix %d moved from %s, which did not leave", prefix, owner)
			}
		}
	}
	if moved < 400/16 || moved > 400/4 {
		t.Errorf("%d of 400 prefixes moved when one engine of eight left", moved)
	}
}

// replayPrompts sends requests to engines that prefill at their specified rate. It
// returns the mean number of tokens prefilled per document, and the longest queue that
// a document found, in milliseconds.
func replayPrompts(t *testing.T, c Config, nextPrefix func(i int) int, perSecond float64, span kumquatlug.Millis) (tokens, longest float64) {
	t.Helper()
	p := New(c)
	p.Sync(0, engines(8, 4))
	type job struct {
		ends    float64
		attempt *Attempt
	}
	freeAt := map[string]float64{}
	cached := map[string]map[string]bool{}
	var jobs []job
	random := rand.New(rand.NewPCG(1, 2))
	n := 0
	for at := 0.0; at < float64(span); at += random.ExpFloat64() * 1000 / perSecond {
		now := kumquatlug.Millis(at)
		running := jobs[:0]
		for _, j := range jobs {
			if j.ends <= at {
				p.End(now, j.attempt, OutcomeServed)
			} else {
				running = append(running, j)
			}
		}
		jobs = running
		prompt := document(nextPrefix(n), n)
		choice := mustPlacePrompt(t, p, now, prompt)
		id := choice.Worker().ID()
		uncached, rate := 2890.0, 236.0
		if !choice.PrefillOnly() {
			rate = 118
		}
		for _, part := range prompt.Shared() {
			if cached[id] == nil {
				cached[id] = map[string]bool{}
			}
			if !cached[id][part.ID()] {
				uncached += float64(part.Tokens())
				cached[id][part.ID()] = true
			}
		}
		freeAt[id] = math.Max(freeAt[id], at) + uncached/rate
		longest = math.Max(longest, freeAt[id]-at)
		jobs = append(jobs, job{ends: freeAt[id], attempt: p.Begin(now, choice, prompt)})
		tokens += uncached
		n++
	}
	return tokens / float64(n), longest
}

// 446 prefixes arrive at the usual rate. Sent to its prefix's owner, a document costs
// little more than its own tokens; placed by load alone, most shared prefixes are
// prefilled at every engine.
func TestSharedPrefixesArePrefilledOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	nextPrefix := func(int) int { return random.IntN(446) }
	atOwners, _ := replayPrompts(t, Config{}, nextPrefix, 147, 30_000)
	byLoad, _ := replayPrompts(t, Config{RecomputePenalty: 0.001}, nextPrefix, 147, 30_000)
	t.Logf("tokens prefilled per document: %.0f at owners, %.0f by load", atOwners, byLoad)
	if atOwners > 3500 || atOwners >= byLoad {
		t.Errorf("%.0f tokens prefilled per document, %.0f by load alone", atOwners, byLoad)
	}
}

// One prefix gets half of all requests. If they all went to its owner, that engine's
// queue would grow without bound while seven others are idle.
func TestHotPrefixSpillsOverFromItsOwner(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	nextPrefix := func(int) int {
		if random.IntN(2) == 0 {
			return 7
		}
		return random.IntN(446)
	}
	_, longest := replayPrompts(t, Config{}, nextPrefix, 300, 20_000)
	if longest > 1500 {
		t.Errorf("longest queue is %.0f ms", longest)
	}
}

// Streams run for seconds at decode engines. A long prefill there slows all of them
// down, so it may be cheaper only where no stream runs.
func TestLongPromptsAvoidEnginesWithStreams(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(2, 1))
	for i := range 40 {
		p.Begin(0, mustPlacePrompt(t, p, 0, chatPrompt(i)), chatPrompt(i))
	}
	for i := range 6 {
		c := mustPlacePrompt(t, p, 0, document(i, i))
		if !c.PrefillOnly() {
			t.Fatalf("document %d is prefilled at an engine with 40 streams", i)
		}
		p.Begin(0, c, document(i, i))
	}
	if c := mustPlacePrompt(t, p, 0, chatPrompt(99)); c.PrefillOnly() {
		t.Error("a short prompt is sent to a prefill engine")
	}
}

// An engine was ordered to change its role and refuses all requests until its last
// stream has ended. It has nothing in flight and looks least loaded; without a backoff
// every request of every gateway would be sent there first.
func TestRefusingEngineIsBackedOff(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 2))
	now, refusals := kumquatlug.Millis(0), 0
	for i := range 200 {
		now += 10
		prompt := chatPrompt(i)
		c := mustPlacePrompt(t, p, now, prompt)
		attempt := p.Begin(now, c, prompt)
		if c.Worker().ID() == "g0" {
			refusals++
			p.End(now, attempt, OutcomeRefused)
		}
	}
	if refusals > 8 {
		t.Errorf("%d of 200 requests within 2 s were sent to the engine that refuses", refusals)
	}
}

// A worker breaks off every request. It is always free, and so attracts all requests.
// It must be ejected within a few requests, and be tried again later.
func TestFailingWorkerIsEjected(t *testing.T) {
	p := New(Config{})
	p.Sync(0, []kumquatlug.Member{member("x", "", "", 6), member("y", "", "", 6), member("z", "", "", 6)})
	now, failed := kumquatlug.Millis(1000), 0
	for range 300 {
		now += 5
		c, found := p.ChoosePlain(now, Query{})
		if !found {
			t.Fatal("no worker")
		}
		attempt, outcome := p.Begin(now, c, kumquatlug.Prompt{}), OutcomeServed
		if c.Worker().ID() == "x" {
			outcome = OutcomeFailed
			failed++
		}
		p.End(now+30, attempt, outcome)
	}
	if failed > 30 {
		t.Errorf("%d of 300 requests went to the worker that fails", failed)
	}
}

// A worker restarts under the same name: it has lost its cache, and what was in flight
// there must not count against it.
func TestRestartedWorkerStartsWithCleanState(t *testing.T) {
	p := New(Config{})
	members := engines(1, 1)
	p.Sync(0, members)
	old := p.Begin(0, mustPlacePrompt(t, p, 0, document(1, 1)), document(1, 1))
	members[0].StartedAt = 9
	p.Sync(10, members)
	if c := mustPlacePrompt(t, p, 10, document(2, 2)); c.Wait() > 100 {
		t.Errorf("expected wait %d ms at a worker that has just started", c.Wait())
	}
	p.End(20, old, OutcomeFailed)
	if p.workers["r0"].prefillTokens != 0 || p.workers["r0"].prefills != 0 {
		t.Errorf("state of the restarted worker: %+v", p.workers["r0"])
	}
}

// Workers that leave, are excluded or have another role must not be chosen.
func TestIneligibleWorkersAreNotChosen(t *testing.T) {
	p := New(Config{})
	draining := member("x", "", "", 6)
	draining.State = kumquatlug.MemberDraining
	p.Sync(0, []kumquatlug.Member{draining, member("y", "", "", 6)})
	if c, found := p.ChoosePlain(0, Query{}); !found || c.Worker().ID() != "y" {
		t.Errorf("chose %+v (found: %v), want y", c, found)
	}
	if _, found := p.ChoosePlain(0, Query{Exclude: []string{"y"}}); found {
		t.Error("an excluded or leaving worker is chosen")
	}
	p.Sync(0, engines(2, 0))
	if _, found := p.ChoosePrompt(0, Query{Prompt: document(1, 1)}); found {
		t.Error("a prompt is prefilled though no engine can decode")
	}
}

// Decode engines in the gateway's data centre are preferred while they have capacity.
func TestDecodePrefersLocalZone(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, []kumquatlug.Member{member("far", "b", kumquatlug.RoleDecode, 8), member("near", "a", kumquatlug.RoleDecode, 8)})
	at := map[string]int{}
	for i := range 14 {
		c, _ := p.ChooseDecode(0, Query{Prompt: chatPrompt(i)})
		at[c.Worker().ID()]++
		p.Begin(0, c, chatPrompt(i))
	}
	if at["near"] < 4 || at["far"] < 4 {
		t.Errorf("requests by engine: %v", at)
	}
	p.ReportLoad(0, "near", kumquatlug.NewWorkerLoad(60, 0, 64))
	if c, _ := p.ChooseDecode(0, Query{Prompt: chatPrompt(99)}); c.Worker().ID() != "far" {
		t.Error("an engine that is full of other gateways' requests is chosen")
	}
}

// The engines of a deployment have no roles. Each prefills and decodes; if they were
// not eligible, every request would be refused.
func TestEnginesWithoutRolesPrefillAndDecode(t *testing.T) {
	p := New(Config{})
	p.Sync(0, []kumquatlug.Member{member("x", "a", "", 64), member("y", "a", "", 64)})
	at := map[string]int{}
	for i := range 40 {
		c := mustPlacePrompt(t, p, 0, document(i, i))
		if c.PrefillOnly() {
			t.Fatal("a prompt is only prefilled where no engine decodes for another")
		}
		at[c.Worker().ID()]++
		p.Begin(0, c, document(i, i))
	}
	if at["x"] < 10 || at["y"] < 10 {
		t.Errorf("requests by engine: %v", at)
	}
}
