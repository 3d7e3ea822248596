package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/coordinator"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/decodeslots"
)

const slotGateways = 29

// newSlotPlacer returns the placer of a gateway that coordinates all engines, or none of them.
// There are three decode engines of 12 slots.
func newSlotPlacer(coordinates bool) *Placer {
	known := coordinator.New("front-0")
	names := []string{"front-0", "front-1"}
	known.Set(names)
	if coordinates {
		known.PeerLeft("front-1")
	} else {
		known.PeerLeft("front-0")
	}
	p := New(Config{Zone: "a", Coordinators: known})
	var members []kumquatlug.Member
	for _, id := range []string{"g0", "g1", "g2"} {
		members = append(members, member(id, "a", kumquatlug.RoleDecode, 12))
	}
	p.Sync(0, append(members, member("r0", "a", kumquatlug.RolePrefill, 64)))
	p.ShareSlots(slotGateways, decodeslots.Config{Self: "front-0", Coordinators: known})
	return p
}

// report records that another gateway has requests at an engine.
func reportCount(p *Placer, now kumquatlug.Millis, engine string, count int) {
	p.HandleDecodeCount(now, "front-9", kumquatlug.DecodeCount{Engine: engine, Sequence: uint64(now), Count: count})
}

// beginAt begins an attempt for a short question at an engine.
func beginAt(p *Placer, now kumquatlug.Millis, engine string) (Choice, *Attempt) {
	c := Choice{worker: p.workers[engine].member.Worker}
	return c, p.Begin(now, c, chatPrompt(1))
}

// With at least as many slots as gateways, or for a plain service, everything has to be as
// before: no questions, no messages.
func TestSlotsAreSharedOnlyWhereTheyAreFew(t *testing.T) {
	p := newSlotPlacer(true)
	if !p.SlotsShared() {
		t.Fatal("slots are not shared by 29 gateways at engines with 12")
	}
	p.ShareSlots(12, decodeslots.Config{Self: "front-0", Coordinators: p.config.Coordinators})
	c, attempt := beginAt(p, 10, "g0")
	if p.SlotsShared() || p.AskSlot(10, Query{Prompt: document(1, 1)}) != nil || p.ConfirmSlot(10, c, attempt, Query{}, false) != nil {
		t.Error("a slot is requested although there are 12 gateways")
	}
	// Streams that began before have to be counted when sharing begins.
	p.ShareSlots(slotGateways, decodeslots.Config{Self: "front-0", Coordinators: p.config.Coordinators})
	p.End(20, attempt, OutcomeNeutral)
	if e := p.slotEngine(20, p.workers["g0"]); e.Slots != 12 || e.Estimate != 0 {
		t.Errorf("%+v", e)
	}
}

// The engine with the lowest cost is full. The request must go to another one, and its attempt
// must not be counted at the first. The withdrawn attempt was never sent, so that it must not
// count as a fast response.
func TestDeniedRequestMovesToNextEngine(t *testing.T) {
	p := newSlotPlacer(true)
	reportCount(p, 5, "g0", 12)
	c, attempt := beginAt(p, 10, "g0")
	before := p.overrun.Bound()
	a := p.ConfirmSlot(10, c, attempt, Query{Prompt: chatPrompt(1)}, false)
	if a.Decision() != decodeslots.Granted || a.Attempt().Worker() == "g0" || a.Choice().Worker().ID() != a.Attempt().Worker() {
		t.Fatalf("%s at %s", a.Decision(), a.Attempt().Worker())
	}
	if w := p.workers["g0"]; w.running != 0 || len(w.attempts) != 0 || w.prefillTokens != 0 || p.overrun.Bound() != before {
		t.Errorf("%d requests at the engine that denied, overrun %.0f", w.running, p.overrun.Bound())
	}
}

// All engines are full. The request goes to the one with the lowest total after three
// denials.
func TestLowestTotalAfterThreeDenials(t *testing.T) {
	p := newSlotPlacer(true)
	for i, id := range []string{"g0", "g1", "g2"} {
		reportCount(p, kumquatlug.Millis(5+i), id, 20-i)
	}
	for now := kumquatlug.Millis(20); now < 800; now += 20 {
		p.TickSlots(now)
		for i, id := range []string{"g0", "g1", "g2"} {
			reportCount(p, now+kumquatlug.Millis(i), id, 20-i)
		}
	}
	c, attempt := beginAt(p, 800, "g0")
	a := p.ConfirmSlot(800, c, attempt, Query{Prompt: chatPrompt(1)}, false)
	if a.Decision() != decodeslots.Denied || len(a.denied) != decodeslots.MaxDenials {
		t.Fatalf("%s after %v", a.Decision(), a.denied)
	}
	p.SettleSlot(800, a)
	if a.Attempt().Worker() != "g2" || a.Choice().Wait() == 0 {
		t.Errorf("%s, expected wait %d ms", a.Attempt().Worker(), a.Choice().Wait())
	}
	if p.workers["g0"].running+p.workers["g1"].running != 0 || p.workers["g2"].running != 1 {
		t.Error("the request is counted at an engine that denied it")
	}
}

// A prompt asks for its slot when its prefill begins. The slot is held until the prefill has
// ended, and given up if it fails.
func TestSlotIsHeldDuringPrefill(t *testing.T) {
	p := newSlotPlacer(true)
	q := Query{Prompt: document(1, 1)}
	a, other := p.AskSlot(10, q), p.AskSlot(10, q)
	if a.Decision() != decodeslots.Granted || other.Decision() != decodeslots.Granted {
		t.Fatalf("%s, %s", a.Decision(), other.Decision())
	}
	if !p.ClaimSlot(60, a, q) || a.Attempt() == nil || a.Choice().Wait() != 0 {
		t.Fatal("the granted slot was not used")
	}
	if p.ConfirmSlot(60, a.Choice(), a.Attempt(), q, true) != nil {
		t.Error("a second slot was requested")
	}
	p.CancelSlot(60, other)
	p.End(180, a.Attempt(), OutcomeServed)
	for _, id := range []string{"g0", "g1", "g2"} {
		if others, known := p.shared.slots.Others(700, id); known && others != 0 {
			t.Errorf("%.0f slots are taken at %s", others, id)
		}
	}
}

// The coordinator is another gateway. Its total replaces the estimate from load reports while it
// is fresh, and an engine that restarts under its name begins without requests.
func TestFreshTotalReplacesLoadReport(t *testing.T) {
	p := newSlotPlacer(false)
	p.ReportLoad(5, "g0", kumquatlug.NewWorkerLoad(11, 0, 12))
	c, attempt := beginAt(p, 10, "g0")
	a := p.ConfirmSlot(10, c, attempt, Query{Prompt: chatPrompt(1)}, false)
	out := p.SlotReport().Messages
	if a.Decision() != decodeslots.Pending || len(out) != 1 || out[0].Gateway != "front-1" || !out[0].Count.Asks || out[0].Count.Count != 0 {
		t.Fatalf("%s, sent %+v", a.Decision(), out)
	}
	if p.HandleDecodeTotal(12, "front-1", kumquatlug.DecodeTotal{Engine: "g0", Sequence: out[0].Count.Sequence, Total: 4, Granted: true}) != a {
		t.Fatal("the response was not accepted")
	}
	if fresh := p.otherRequestsAt(300, p.workers["g0"]); fresh != 3 {
		t.Errorf("%.1f requests of other gateways by a fresh total", fresh)
	}
	if old := p.otherRequestsAt(313, p.workers["g0"]); old == 3 {
		t.Error("a total is used for longer than 300 ms")
	}
	restarted := member("g0", "a", kumquatlug.RoleDecode, 12)
	restarted.StartedAt = 7
	p.Sync(320, []kumquatlug.Member{restarted})
	p.End(330, attempt, OutcomeFailed)
	p.TickSlots(340)
	out = p.SlotReport().Messages
	if len(out) != 1 || out[0].Count.Count != 0 || out[0].Count.Asks {
		t.Errorf("sent %+v", out)
	}
}

// A coordinator does not respond. The prompt must not wait after its prefill, and the request
// goes ahead without a grant.
func TestUnansweredSlotDoesNotDelay(t *testing.T) {
	p := newSlotPlacer(false)
	a := p.AskSlot(10, Query{Prompt: document(1, 1)})
	if a.Decision() != decodeslots.Pending || p.ClaimSlot(60, a, Query{Prompt: document(1, 1)}) || a.Decision() != decodeslots.Unanswered {
		t.Fatalf("%s", a.Decision())
	}
	if stats := p.SlotReport().Stats; stats.Asked != 1 || stats.Unanswered != 1 {
		t.Errorf("%+v", stats)
	}
}
