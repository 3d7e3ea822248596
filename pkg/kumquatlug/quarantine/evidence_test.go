package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

const testService = "engines"

func reportOf(worker string, informed bool, requests map[uint32][]string) kumquatlug.CrashReport {
	r := kumquatlug.CrashReport{Service: testService, Worker: worker, StartedAt: 1, Version: "v1"}
	for hash, ids := range requests {
		for _, id := range ids {
			i := slices.IndexFunc(r.Suspects, func(s kumquatlug.CrashSuspect) bool { return s.Identity == id })
			if i < 0 {
				i = len(r.Suspects)
				r.Suspects = append(r.Suspects, kumquatlug.CrashSuspect{Identity: id, Informed: informed})
			}
			r.Suspects[i].Requests = append(r.Suspects[i].Requests, hash)
		}
	}
	return r
}

// crashTimes reports crashes under requests with the part "dead" to all of es.
func crashTimes(es []*Evidence, n int, shared ...string) {
	for i := range n {
		r := reportOf(fmt.Sprint("w", i), i > 0, map[uint32][]string{uint32(i): append([]string{PartIdentity("dead")}, shared...)})
		for _, e := range es {
			e.Report(kumquatlug.Millis(i*10), r)
		}
	}
}

// requireRefused advances e by the settle delay and compares whether requests with these identities are
// refused.
func requireRefused(t *testing.T, e *Evidence, now kumquatlug.Millis, want bool, ids ...string) {
	t.Helper()
	e.Tick(now)
	if got := e.Check(now, testService, ids).Refused(); got != want {
		t.Errorf("at %d: refused %t, want %t: %v", now, got, want, ids)
	}
}

// The same request crashes each worker that runs it, through three gateways in turn. Guards against a
// whole group that crashes.
func TestCrashingRequestIsRefusedByEveryGateway(t *testing.T) {
	gateways := []*Evidence{NewEvidence(EvidenceConfig{}), NewEvidence(EvidenceConfig{}), NewEvidence(EvidenceConfig{})}
	bad := RequestIdentity("bad")
	crashes := 0
	for i := range 30 {
		now := kumquatlug.Millis(i * 500)
		e := gateways[i%3]
		e.Tick(now)
		if e.Check(now, testService, []string{bad}).Refused() {
			continue
		}
		crashes++
		r := reportOf(fmt.Sprint("w", i), e.Informed(testService, []string{bad})[bad], map[uint32][]string{7: {PartIdentity("shared"), bad}})
		for _, other := range gateways {
			other.Report(now, r)
		}
	}
	if crashes != 3 {
		t.Errorf("%d crashes, want 3", crashes)
	}
	requireRefused(t, gateways[0], 15_000, false, PartIdentity("shared"), RequestIdentity("good"))
}

// The same crash is reported by the gateway that saw it, by its repetition and by the store. Guards
// against one crash that counts more than once, and against crashes that count for ever.
func TestCrashCountsOnceAndExpires(t *testing.T) {
	e := NewEvidence(EvidenceConfig{MaxIdentities: 2})
	for range 5 {
		e.Report(0, reportOf("w0", true, map[uint32][]string{1: {PartIdentity("dead")}, 2: {PartIdentity("dead")}}))
	}
	requireRefused(t, e, 1000, false, PartIdentity("dead"))
	crashTimes([]*Evidence{e}, 2)
	e.RemoveExpired(2 * kumquatlug.Hour)
	if !e.Empty(testService) {
		t.Error("expired crashes are kept")
	}
	for i := range 5 {
		e.Report(0, reportOf("w9", false, map[uint32][]string{1: {PartIdentity(fmt.Sprint(i))}}))
	}
	if n := len(e.services[testService].suspects); n != 2 {
		t.Errorf("%d suspects remembered, want 2", n)
	}
}

// Guards against sound prompts that share a part with the guilty ones and are refused: while nothing tells
// the parts apart, only requests with both are.
func TestPartsThatNothingTellsApartAreRefusedTogether(t *testing.T) {
	e := NewEvidence(EvidenceConfig{})
	shared, dead := PartIdentity("aa"), PartIdentity("dead")
	crashTimes([]*Evidence{e}, 3, shared)
	requireRefused(t, e, 200, true, shared, dead)
	requireRefused(t, e, 200, false, shared, PartIdentity("b"))
	e.Completed(300, testService, "v1", []string{shared, PartIdentity("b")})
	requireRefused(t, e, 300, true, PartIdentity("other"), dead)
	requireRefused(t, e, 300, false, shared)
}

// A gateway that knows of a quarantine from the store alone learns that one of its parts is sound. Guards
// against guilty prompts with another neighbour that run again.
func TestQuarantineWithoutEvidenceIsNarrowed(t *testing.T) {
	e := NewEvidence(EvidenceConfig{})
	q := kumquatlug.QuarantineEntry{Service: testService, Identities: []string{"part:aa", "part:dead"}, Versions: []string{"v1"}, Revision: 1}
	e.Receive(0, kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{q}})
	e.Completed(10, testService, "v1", []string{"part:aa"})
	requireRefused(t, e, 20, true, "part:b", "part:dead")
	requireRefused(t, e, 20, false, "part:aa", "part:b")
}

// Ten workers lose power at once, and a shared part was in flight at all of them; the requests are sent on,
// and one more worker ends. Guards against a sound part that is refused for it.
func TestWorkersThatEndTogetherAreNoEvidence(t *testing.T) {
	e := NewEvidence(EvidenceConfig{})
	for i := range 11 {
		e.Report(0, reportOf(fmt.Sprint("w", i), i == 10, map[uint32][]string{uint32(i): {"part:aa"}, uint32(i + 100): {"part:aa"}}))
	}
	requireRefused(t, e, 1000, false, "part:aa")
}

// Guards against one sound request that meets several crashing workers in turn and makes its parts guilty.
func TestOneRequestAtManyCrashesIsNoEvidenceAgainstItsParts(t *testing.T) {
	e := NewEvidence(EvidenceConfig{})
	for i := range 6 {
		e.Report(0, reportOf(fmt.Sprint("w", i), i > 0, map[uint32][]string{1: {"part:b"}}))
	}
	requireRefused(t, e, 1000, false, "part:b")
}

// Guards against a mended engine that never gets the part again, against a probe of each gateway, and
// against requests that reach engines of the old version.
func TestQuarantineEndsAtMendedVersion(t *testing.T) {
	e := NewEvidence(EvidenceConfig{})
	crashTimes([]*Evidence{e}, 3)
	requireRefused(t, e, 200, true, "part:dead")
	ids := []string{"part:dead", "request:x"}
	if _, due := e.Check(20_000, testService, ids).Probe(); due {
		t.Error("probe after 20 s")
	}
	e.SetVersions(testService, []string{"v1", "v2"})
	a := e.Check(31_000, testService, ids)
	if version, due := a.Probe(); !due || version != "v2" {
		t.Fatalf("probe of version %q, due %t", version, due)
	}
	e.Receive(31_000, kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{WithProbe(a.Entry(), "v2")}})
	if _, due := e.Check(31_001, testService, ids).Probe(); due {
		t.Error("a second probe at once")
	}
	e.Completed(31_100, testService, "v2", ids)
	a = e.Check(31_200, testService, ids)
	if !a.Refused() || !slices.Equal(a.Entry().Served, []string{"v2"}) {
		t.Errorf("after the probe: %+v", a.Entry())
	}
	e.Completed(31_300, testService, "v1", ids)
	requireRefused(t, e, 31_400, false, ids...)
}

// Guards against probes that never end while such requests come, and against a release that a late report
// undoes.
func TestProbesBecomeRareAndReleaseHolds(t *testing.T) {
	e := NewEvidence(EvidenceConfig{})
	crashTimes([]*Evidence{e}, 3)
	probes, now := 0, kumquatlug.Millis(200)
	for e.Tick(now); now < 24*kumquatlug.Hour; now += kumquatlug.Second {
		if a := e.Check(now, testService, []string{"part:dead"}); a.Refused() {
			if _, due := a.Probe(); due {
				probes++
				e.Receive(now, kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{WithProbe(a.Entry(), "")}})
			}
		}
	}
	if probes != 3 {
		t.Errorf("%d probes in a day, want 3", probes)
	}
	q := e.Check(now, testService, []string{"part:dead"}).Entry()
	q.Released, q.Revision = true, q.Revision+1
	e.Receive(now, kumquatlug.QuarantineMessage{Entries: []kumquatlug.QuarantineEntry{q}})
	crashTimes([]*Evidence{e}, 3)
	requireRefused(t, e, now+1000, false, "part:dead")
}
