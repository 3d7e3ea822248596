package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against streams that are moved one after the other to an engine that has just had no room for one.
func TestEngineWithoutRoomCountsAsFull(t *testing.T) {
	p := New(Config{Zone: "z"})
	p.Sync(0, []kumquatlug.Member{member("d1", "z", kumquatlug.RoleDecode, 8), member("d2", "z", kumquatlug.RoleDecode, 8)})
	q := Query{Prompt: kumquatlug.NewPrompt(nil, 100, 400)}
	first, _ := p.ChooseDecode(0, q)
	moved := p.Begin(0, first, q.Prompt)
	p.End(1, moved, OutcomeNeutral)
	p.NoRoom(1, moved)
	if next, found := p.ChooseDecode(2, q); !found || next.Worker().ID() == first.Worker().ID() || next.Wait() > 0 {
		t.Errorf("the next stream goes to %s, wait %d", next.Worker().ID(), next.Wait())
	}
	p.Sync(2, []kumquatlug.Member{member(first.Worker().ID(), "z", kumquatlug.RoleDecode, 8)})
	if only, found := p.ChooseDecode(2, q); !found || only.Wait() == 0 {
		t.Errorf("found %t, wait %d", found, only.Wait())
	}
}

// Guards against a stream that is sent back to another start of its engine, or later than its engine must serve.
func TestStreamReturnsOnlyToServingIncarnation(t *testing.T) {
	drains, restarted := member("d1", "z", kumquatlug.RoleDecode, 8), member("d1", "z", kumquatlug.RoleDecode, 8)
	drains.State, restarted.StartedAt = kumquatlug.MemberDraining, 7
	for name, members := range map[string][]kumquatlug.Member{
		"drains": {drains}, "removed": {}, "ready": {member("d1", "z", kumquatlug.RoleDecode, 8)}, "restarted": {restarted},
	} {
		p := New(Config{Zone: "z"})
		p.Sync(0, []kumquatlug.Member{member("d1", "z", kumquatlug.RoleDecode, 8)})
		choice, _ := p.ChooseDecode(0, Query{})
		stream := p.Begin(0, choice, kumquatlug.Prompt{})
		p.Sync(100, members)
		if got := p.MayReturn(300, stream, 200); got != (name != "restarted") {
			t.Errorf("%s: within the grace period %t", name, got)
		}
		if got := p.MayReturn(301, stream, 200); got != (name == "ready") {
			t.Errorf("%s: after the grace period %t", name, got)
		}
	}
}
