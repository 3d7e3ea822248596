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

// engines returns members: readers r0, r1, … and generators g0, g1, …
func engines(readers, generators int) []kumquatlug.Member {
	var members []kumquatlug.Member
	for i := range readers {
		members = append(members, member(fmt.Sprintf("r%d", i), "a", kumquatlug.RolePrefill, 64))
	}
	for i := range generators {
		members = append(members, member(fmt.Sprintf("g%d", i), "a", kumquatlug.RoleDecode, 64))
	}
	return members
}

// document is a long prompt: two shared parts and its own.
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
	c, found := p.Prompt(now, Query{Prompt: prompt})
	if !found {
		t.Fatal("no engine")
	}
	return c
}

// Fronts don't speak with each other. If each found its own place for a shared
// part, every engine would read all of them; so all must agree, and few chains
// may move when an engine goes.
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
			t.Fatalf("chain %d lives at %s and at %s", prefix, owner, second[prefix])
		}
		if without[prefix] != owner {
			moved++
			if owner != all[0].Worker.ID() {
				t.Fatalf("chain %d moved from %s, which stayed", prefix, owner)
			}
		}
	}
	if moved < 400/16 || moved > 400/4 {
		t.Errorf("%d of 400 chains moved when one engine of eight went", moved)
	}
}

// replayPrompts sends requests to engines that read at the sheet's rate and returns how
// many tokens were read for each document, and the longest queue that
// a document met, in milliseconds.
func replayPrompts(t *testing.T, c Config, nextPrefix func(i int) int, perSecond float64, span kumquatlug.Millis) (tokens, longest float64) {
	t.Helper()
	p := New(c)
	p.Sync(0, engines(8, 4))
	type job struct {
		ends   float64
		ticket *Ticket
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
				p.End(now, j.ticket, OutcomeGood)
			} else {
				running = append(running, j)
			}
		}
		jobs = running
		prompt := document(nextPrefix(n), n)
		choice := mustPlacePrompt(t, p, now, prompt)
		id := choice.Worker().ID()
		read, rate := 2890.0, 236.0
		if !choice.Apart() {
			rate = 118
		}
		for _, part := range prompt.Shared() {
			if cached[id] == nil {
				cached[id] = map[string]bool{}
			}
			if !cached[id][part.ID()] {
				read += float64(part.Tokens())
				cached[id][part.ID()] = true
			}
		}
		freeAt[id] = math.Max(freeAt[id], at) + read/rate
		longest = math.Max(longest, freeAt[id]-at)
		jobs = append(jobs, job{ends: freeAt[id], ticket: p.Begin(now, choice, prompt)})
		tokens += read
		n++
	}
	return tokens / float64(n), longest
}

// 446 chains at the usual rate. Kept at its owner, a document costs little more than
// its own tokens; placed by load alone, most shared parts are read at every
// engine.
func TestSharedPrefixesArePrefilledOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	nextPrefix := func(int) int { return random.IntN(446) }
	affine, _ := replayPrompts(t, Config{}, nextPrefix, 147, 30_000)
	byLoad, _ := replayPrompts(t, Config{AwayPrice: 0.001}, nextPrefix, 147, 30_000)
	t.Logf("tokens read for one document: %.0f at owners, %.0f by load", affine, byLoad)
	if affine > 3500 || affine >= byLoad {
		t.Errorf("%.0f tokens for a document, %.0f by load alone", affine, byLoad)
	}
}

// One chain has half of all requests. Kept at its owner alone, that engine's queue
// would grow without end while seven others stand idle.
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
		t.Errorf("a queue of %.0f ms", longest)
	}
}

// Streams run for seconds at generating engines. Long prompts read there slow
// every one of them; only where no stream runs may that be cheaper.
func TestLongPromptsAvoidEnginesWithStreams(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(2, 1))
	for i := range 40 {
		p.Begin(0, mustPlacePrompt(t, p, 0, chatPrompt(i)), chatPrompt(i))
	}
	for i := range 6 {
		c := mustPlacePrompt(t, p, 0, document(i, i))
		if !c.Apart() {
			t.Fatalf("document %d is read at an engine with 40 streams", i)
		}
		p.Begin(0, c, document(i, i))
	}
	if c := mustPlacePrompt(t, p, 0, chatPrompt(99)); c.Apart() {
		t.Error("a short prompt is read apart")
	}
}

// An engine was ordered into another role and refuses all requests until its last
// stream has ended. It has nothing in hand and looks the least loaded; without a
// pause every request of every front would go there first.
func TestRefusingEngineIsBackedOff(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, engines(1, 2))
	now, refusals := kumquatlug.Millis(0), 0
	for i := range 200 {
		now += 10
		prompt := chatPrompt(i)
		c := mustPlacePrompt(t, p, now, prompt)
		ticket := p.Begin(now, c, prompt)
		if c.Worker().ID() == "g0" {
			refusals++
			p.End(now, ticket, OutcomeRefused)
		}
	}
	if refusals > 8 {
		t.Errorf("%d of 200 requests within 2 s were sent to the engine that refuses", refusals)
	}
}

// A worker breaks off whatever it is given. It is always free, and so draws all
// work; it must be out within a few requests, and be tried again later.
func TestFailingWorkerIsEjected(t *testing.T) {
	p := New(Config{})
	p.Sync(0, []kumquatlug.Member{member("x", "", "", 6), member("y", "", "", 6), member("z", "", "", 6)})
	now, failed := kumquatlug.Millis(1000), 0
	for range 300 {
		now += 5
		c, found := p.Plain(now, Query{})
		if !found {
			t.Fatal("no worker")
		}
		ticket, outcome := p.Begin(now, c, kumquatlug.Prompt{}), OutcomeGood
		if c.Worker().ID() == "x" {
			outcome = OutcomeFailed
			failed++
		}
		p.End(now+30, ticket, outcome)
	}
	if failed > 30 {
		t.Errorf("%d of 300 requests went to the worker that fails", failed)
	}
}

// A worker starts anew under its old name: it holds nothing of before, and what
// was in hand there must not count against it.
func TestRestartedWorkerStartsWithCleanState(t *testing.T) {
	p := New(Config{})
	members := engines(1, 1)
	p.Sync(0, members)
	old := p.Begin(0, mustPlacePrompt(t, p, 0, document(1, 1)), document(1, 1))
	members[0].Born = 9
	p.Sync(10, members)
	if c := mustPlacePrompt(t, p, 10, document(2, 2)); c.Wait() > 100 {
		t.Errorf("expected wait %d ms at a worker that has just started", c.Wait())
	}
	p.End(20, old, OutcomeFailed)
	if p.workers["r0"].prefillTokens != 0 || p.workers["r0"].prefills != 0 {
		t.Errorf("%+v", p.workers["r0"])
	}
}

// Workers that leave, are excluded or have another role get nothing.
func TestIneligibleWorkersAreNotChosen(t *testing.T) {
	p := New(Config{})
	draining := member("x", "", "", 6)
	draining.State = kumquatlug.MemberDraining
	p.Sync(0, []kumquatlug.Member{draining, member("y", "", "", 6)})
	if c, found := p.Plain(0, Query{}); !found || c.Worker().ID() != "y" {
		t.Error(c, found)
	}
	if _, found := p.Plain(0, Query{Exclude: []string{"y"}}); found {
		t.Error("an excluded or leaving worker is chosen")
	}
	p.Sync(0, engines(2, 0))
	if _, found := p.Prompt(0, Query{Prompt: document(1, 1)}); found {
		t.Error("a prompt is read though nobody can generate")
	}
}

// Generating engines near the front go first while they have room.
func TestDecodePrefersLocalZone(t *testing.T) {
	p := New(Config{Zone: "a"})
	p.Sync(0, []kumquatlug.Member{member("far", "b", kumquatlug.RoleDecode, 8), member("near", "a", kumquatlug.RoleDecode, 8)})
	at := map[string]int{}
	for i := range 14 {
		c, _ := p.Output(0, Query{Prompt: chatPrompt(i)})
		at[c.Worker().ID()]++
		p.Begin(0, c, chatPrompt(i))
	}
	if at["near"] < 4 || at["far"] < 4 {
		t.Errorf("%v", at)
	}
	p.Report(0, "near", kumquatlug.NewWorkerLoad(60, 0, 64))
	if c, _ := p.Output(0, Query{Prompt: chatPrompt(99)}); c.Worker().ID() != "far" {
		t.Error("an engine that others have filled is chosen")
	}
}

// A site has engines that know no roles. Each reads and generates; taken for
// engines of no use, they would leave every request refused.
func TestEnginesWithoutRolesPrefillAndDecode(t *testing.T) {
	p := New(Config{})
	p.Sync(0, []kumquatlug.Member{member("x", "a", "", 64), member("y", "a", "", 64)})
	at := map[string]int{}
	for i := range 40 {
		c := mustPlacePrompt(t, p, 0, document(i, i))
		if c.Apart() {
			t.Fatal("a prompt is read apart where no engine generates for another")
		}
		at[c.Worker().ID()]++
		p.Begin(0, c, document(i, i))
	}
	if at["x"] < 10 || at["y"] < 10 {
		t.Errorf("%v", at)
	}
}

// A front that is told to stop refuses what would not end before it leaves. Where
// a token takes four times as long as at another site, answers that it goes on
// taking are cut off in the middle.
func TestExpectedDurationFollowsObservations(t *testing.T) {
	p := New(Config{})
	p.Sync(0, engines(1, 1))
	now := kumquatlug.Millis(0)
	for i := range 40 {
		c, _ := p.Output(now, Query{Prompt: chatPrompt(i)})
		ticket := p.Begin(now, c, chatPrompt(i))
		p.Read(now+50, ticket)
		now += 18_400
		p.End(now, ticket, OutcomeGood)
	}
	if got := p.Takes(1000) - p.Takes(0); got < 3*3500 || got > 3*4200 {
		t.Errorf("%d ms for 1,000 tokens that take 4 ms each at the mean", got)
	}
	before := p.Takes(0)
	for range 10 {
		p.overrun.Saw(8000)
	}
	if got := p.Takes(0); got < before+2000 {
		t.Errorf("%d ms when ten first outputs came eight seconds late", got)
	}
}
