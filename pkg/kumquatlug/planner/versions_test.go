package planner

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// versionedEngines returns engines named e00, e01, ... with these versions, the first prefill
// ones in the role prefill.
func versionedEngines(prefill int, versions ...string) []SplitEngine {
	engines := splitEngines(prefill, len(versions)-prefill)
	for i := range engines {
		engines[i].Version = versions[i]
	}
	return engines
}

func decodeOf(engines []SplitEngine, version string) int {
	n := 0
	for _, e := range engines {
		if e.Version == version && e.Role == kumquatlug.RoleDecode {
			n++
		}
	}
	return n
}

// The engines of a version are the first to be changed by name and by being idle. Guards against a
// split in which all of them prefill, so that no stream of the version can go on.
func TestSplitKeepsDecodeEngineOfEachVersion(t *testing.T) {
	for _, idle := range []bool{false, true} {
		engines := versionedEngines(0, "b", "b", "a", "a", "a", "a", "a", "a")
		engines[0].Idle, engines[1].Idle = idle, idle
		applyChanges(engines, MaintainSplit(engines, 0.667))
		if n := countRole(engines, kumquatlug.RolePrefill); n != 5 || decodeOf(engines, "b") == 0 || decodeOf(engines, "a") == 0 {
			t.Errorf("idle %v: %d of 8 engines run prefill, decode engines of a %d, of b %d", idle, n, decodeOf(engines, "a"), decodeOf(engines, "b"))
		}
	}
}

// The last decode engine of a version has gone while two others prefill. Guards against a split
// that is kept as it is since its numbers are right.
func TestVersionWithoutDecodeEngineGetsOne(t *testing.T) {
	engines := versionedEngines(5, "b", "b", "a", "a", "a", "a", "a", "a")
	changes := MaintainSplit(engines, 0.667)
	applyChanges(engines, changes)
	if n := countRole(engines, kumquatlug.RolePrefill); n != 5 || decodeOf(engines, "b") != 1 || len(changes) != 2 {
		t.Errorf("%v: %d of 8 engines run prefill, decode engines of b %d", changes, n, decodeOf(engines, "b"))
	}
	if again := MaintainSplit(engines, 0.667); len(again) != 0 {
		t.Errorf("more changes: %v", again)
	}
}

// Engines of unlike speed exchange their roles. Guards against an exchange that takes the last
// decode engine of a version.
func TestExchangeKeepsDecodeEngineOfEachVersion(t *testing.T) {
	engines := versionedEngines(4, "a", "a", "a", "b", "b", "a", "a")
	for i := range engines {
		engines[i].RelativeTime, engines[i].Suitable = 1, true
	}
	engines[4].RelativeTime, engines[4].Suitable = 4, false
	engines[3].RelativeTime = 4
	for _, x := range ExchangeRoles(engines, 3) {
		t.Errorf("%s and %s are exchanged, version b is left without a decode engine", x.ToPrefill().Target, x.ToDecode().Target)
	}
}

// Most decode engines of a version with many engines are lost, and engines of another one are idle. Guards against a version
// whose streams are left with a few decode engines.
func TestVersionKeepsHalfOfItsProportion(t *testing.T) {
	var engines []SplitEngine
	for i, n := range []int{26, 4, 2, 8} {
		for range n {
			e := SplitEngine{Target: fmt.Sprintf("e%02d", len(engines)), Version: "a", Role: kumquatlug.RolePrefill}
			if i%2 == 1 {
				e.Version, e.Idle = "b", true
			}
			if i >= 2 {
				e.Role = kumquatlug.RoleDecode
			}
			engines = append(engines, e)
		}
	}
	applyChanges(engines, MaintainSplit(engines, 0.6))
	// 28 of 40 engines have version a, and 16 decode.
	if n, want := decodeOf(engines, "a"), 16*28/(2*40); n < want || countRole(engines, kumquatlug.RoleDecode) != 16 {
		t.Errorf("%d decode engines of a, want %d", n, want)
	}
}
