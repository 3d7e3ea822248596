package placement

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against an entry that counts as an engine although nobody answers there, and against an engine that counts as
// absent because it is busy, or because it was not asked for long.
func TestEngineCountsFromItsAnswerUntilItIsLost(t *testing.T) {
	p := New(Config{})
	sound, odd := member("d1", "z", kumquatlug.RoleDecode, 8), member("odd", "z", kumquatlug.RoleDecode, 8)
	p.Sync(1, []kumquatlug.Member{sound, odd})
	require := func(at kumquatlug.Millis, want Presence) {
		t.Helper()
		if got := p.Presences()["d1"]; got != want {
			t.Errorf("after %d ms: %s, want %s", at, got, want)
		}
	}
	if asked := p.PresenceQuestions(1000, 16); len(asked) != 2 {
		t.Fatalf("asked %v", asked)
	}
	require(1000, PresenceUnknown)
	p.RecordPresence(1001, odd, false)
	p.RecordPresence(1001, sound, true)
	require(1001, PresenceProven)
	if got := p.Presences()["odd"]; got != PresenceAbsent {
		t.Errorf("an entry without a worker is %s", got)
	}
	if _, found := p.ChooseDecode(1002, Query{Exclude: []string{"d1"}}); found {
		t.Error("an entry without a worker gets a request at once")
	}
	if c, found := p.ChooseDecode(1001+minUnreachableDelay, Query{Exclude: []string{"d1"}}); !found || c.Worker().ID() != "odd" {
		t.Error("the entry gets no other chance")
	}
	if asked := p.PresenceQuestions(1001+presenceInterval-1, 16); len(asked) != 1 || asked[0].Worker.ID() != "odd" {
		t.Errorf("asked %v", asked)
	}
	const idle = 100_000
	p.RecordPresence(idle, sound, false)
	p.RecordPresence(idle+10, sound, false)
	require(idle+10, PresenceProven)
	c, _ := p.ChooseDecode(idle+20, Query{})
	a := p.Begin(idle+20, c, kumquatlug.Prompt{})
	p.RecordOutput(idle+30, a)
	p.RecordPresence(idle+40, sound, false)
	require(idle+40, PresenceProven)
	for at := kumquatlug.Millis(idle + 50); at <= idle+50+absentTime; at += absentTime / 2 {
		p.RecordPresence(at, sound, false)
	}
	require(idle+50+absentTime, PresenceLost)
	p.RecordOutput(idle+60+absentTime, a)
	require(idle+60+absentTime, PresenceProven)
}

// Guards against answers of an engine that prove another one which has taken its name.
func TestAnswerOfReplacedEngineProvesNothing(t *testing.T) {
	p := New(Config{})
	before, after := member("d1", "z", kumquatlug.RoleDecode, 8), member("d1", "z", kumquatlug.RoleDecode, 8)
	after.StartedAt = 7
	p.Sync(1, []kumquatlug.Member{before})
	p.Sync(2, []kumquatlug.Member{after})
	p.RecordPresence(3, before, true)
	if got := p.Presences()["d1"]; got != PresenceUnknown {
		t.Errorf("the engine is %s", got)
	}
}
