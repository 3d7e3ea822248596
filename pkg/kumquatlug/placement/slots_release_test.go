package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/decodeslots"
)

// An engine restarts while a slot is held there, and another prompt gets a slot at its
// successor. If the first prompt gave up that slot, or used it, the engine would get one stream
// more than it has slots.
func TestSlotHeldBeforeRestartIsNotReleasedAfterIt(t *testing.T) {
	p := newSlotPlacer(true)
	q := Query{Prompt: document(1, 1), Exclude: []string{"g1", "g2"}}
	before, claimed := p.AskSlot(10, q), p.AskSlot(10, q)
	restarted := member("g0", "a", kumquatlug.RoleDecode, 12)
	restarted.StartedAt = 7
	p.Sync(20, append(engines(1, 0), restarted))
	after := p.AskSlot(30, q)
	if before.Decision() != decodeslots.Granted || claimed.Decision() != decodeslots.Granted || after.Decision() != decodeslots.Granted {
		t.Fatalf("%s, %s, %s", before.Decision(), claimed.Decision(), after.Decision())
	}
	p.CancelSlot(40, before)
	if p.ClaimSlot(40, claimed, q) {
		t.Error("a slot from before the restart was used")
	}
	if others, known := p.shared.slots.Others(700, "g0"); !known || others != 1 {
		t.Errorf("%.0f slots are held instead of 1", others)
	}
}

// A withdrawn attempt was never sent. If its tokens counted as prefilled, requests that several
// engines deny would raise the bound of wasted tokens.
func TestWithdrawnAttemptPrefillsNothing(t *testing.T) {
	p := newSlotPlacer(true)
	reportCount(p, 5, "g0", 12)
	c := Choice{worker: p.workers["g0"].member.Worker, uncachedTokens: 9000, effectiveTokens: 9000}
	prompt := document(1, 1)
	a := p.ConfirmSlot(10, c, p.Begin(10, c, prompt), Query{Prompt: prompt}, false)
	if a.Decision() != decodeslots.Granted || a.Attempt().Worker() == "g0" {
		t.Fatalf("%s at %s", a.Decision(), a.Attempt().Worker())
	}
	if got, want := p.TransferStats().PrefilledTokens, a.Choice().uncachedTokens; got != want || p.workers["g0"].prefilledTokens != 0 {
		t.Errorf("%.0f tokens prefilled instead of %.0f, %.0f of them at the engine that denied", got, want, p.workers["g0"].prefilledTokens)
	}
}

// An engine leaves while slots are not shared. When they are again, its requests must not be
// reported any more.
func TestEngineThatLeftWhileSlotsWereNotShared(t *testing.T) {
	p := newSlotPlacer(false)
	beginAt(p, 10, "g0")
	p.TickSlots(20)
	c := decodeslots.Config{Self: "front-0", Coordinators: p.config.Coordinators}
	p.ShareSlots(12, c)
	p.Sync(30, nil)
	p.Sync(40, []kumquatlug.Member{member("g1", "a", kumquatlug.RoleDecode, 12)})
	p.ShareSlots(slotGateways, c)
	p.SlotReport()
	p.TickSlots(2000)
	for _, m := range p.SlotReport().Messages {
		if m.Count.Engine == "g0" {
			t.Errorf("reported: %+v", m.Count)
		}
	}
}
