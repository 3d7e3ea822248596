package gateway

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Guards against a new holder of the lease that assigns roles before it knows which engines are there, against one that
// waits for entries at which nobody answers, and against one that is partitioned from most engines and takes
// them for absent.
func TestRolesWaitForAnswersOfEngines(t *testing.T) {
	v := newTestController(t)
	v.wonAt = 1000
	members := v.g.members.Load().byService["engines"]
	record := func(answered bool, engines ...kumquatlug.Member) {
		for _, m := range engines {
			v.g.scheduler.recordPresence(m, answered)
		}
	}
	require := func(at kumquatlug.Millis, present int, enough bool) {
		t.Helper()
		got, known := v.presentMembers(at, "engines", members)
		if len(got) != present || known != enough {
			t.Errorf("after %d ms: %d engines, enough %v, want %d, %v", at-v.wonAt, len(got), known, present, enough)
		}
	}
	require(1000, 0, false)
	record(true, members[:2]...)
	require(1000, 2, false)
	record(false, members[2])
	require(1000+provingTime-1, 2, false)
	require(1000+provingTime, 2, true)
	record(true, members...)
	require(1000, 4, true)
	now := v.g.c.Clock.Now()
	for _, m := range members[:3] {
		for n := range kumquatlug.Millis(4) {
			v.g.scheduler.services["engines"].placer.RecordPresence(now+n*1000, m, false)
		}
	}
	require(10_000, 1, false)
}
