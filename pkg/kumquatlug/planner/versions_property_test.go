package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// rolloutGroup is a group of engines of several versions that join, leave and start again, and
// that take changeTicks to change their role.
type rolloutGroup struct {
	random  *rand.Rand
	share   float64
	engines []SplitEngine
	doneAt  map[string]int
	tick    int
	joined  int
	changes int
}

const (
	// A tick is the interval of the controller, 250 ms; a change of the split waits for
	// persistTicks, and the order is carried out after changeTicks.
	persistTicks = 4
	changeTicks  = 12
)

func newRolloutGroup(seed uint64, size, versions int) *rolloutGroup {
	g := &rolloutGroup{random: rand.New(rand.NewPCG(seed, 11)), doneAt: map[string]int{}}
	g.share = []float64{0.25, 0.5, 0.667, 0.75}[g.random.IntN(4)]
	for range size {
		g.join(fmt.Sprint("v", g.random.IntN(versions)))
	}
	return g
}

// join adds an engine in the role for which it is configured.
func (g *rolloutGroup) join(version string) {
	role := []kumquatlug.Role{kumquatlug.RolePrefill, kumquatlug.RoleDecode}[g.random.IntN(2)]
	g.engines = append(g.engines, SplitEngine{
		Target: fmt.Sprintf("e%03d", g.joined), Zone: fmt.Sprint(g.joined % 3), Version: version, Role: role, Idle: true,
	})
	g.joined++
}

// event makes one engine leave, start again with another version, or join.
func (g *rolloutGroup) event(versions int) {
	switch n := g.random.IntN(len(g.engines)); g.random.IntN(3) {
	case 0:
		if len(g.engines) > 2 {
			g.engines = slices.Delete(g.engines, n, n+1)
		}
	case 1:
		g.engines = slices.Delete(g.engines, n, n+1)
		g.join(fmt.Sprint("v", g.random.IntN(versions)))
	default:
		if len(g.engines) < 24 {
			g.join(fmt.Sprint("v", g.random.IntN(versions)))
		}
	}
}

// step carries out the orders that are due, and sends those of the plan as the controller does.
func (g *rolloutGroup) step(mismatch *int) {
	g.tick++
	for i := range g.engines {
		e := &g.engines[i]
		e.Idle, e.Refused = g.random.IntN(3) == 0, g.random.IntN(20) == 0
		if e.Changing && g.tick >= g.doneAt[e.Target] {
			e.Changing = false
		}
	}
	changes := MaintainSplit(g.engines, g.share)
	if *mismatch++; len(changes) == 0 {
		*mismatch = 0
	}
	if *mismatch <= persistTicks {
		changes = RestoreVersions(g.engines, g.share)
	}
	for _, c := range changes {
		at := slices.IndexFunc(g.engines, func(e SplitEngine) bool { return e.Target == c.Target() })
		if e := &g.engines[at]; !e.Changing {
			e.Role, e.Changing, g.doneAt[e.Target] = c.To(), true, g.tick+changeTicks
			g.changes++
		}
	}
}

func (g *rolloutGroup) settle(mismatch *int, ticks int) {
	for range ticks {
		g.step(mismatch)
	}
}

// check returns what is wrong once all orders have been carried out.
func (g *rolloutGroup) check() string {
	engines := map[string]int{}
	for _, e := range g.engines {
		engines[e.Version]++
	}
	without := VersionsWithoutRoom(g.engines, g.share)
	room := len(g.engines) - wantedPrefill(len(g.engines), g.share)
	if len(without) != max(len(engines)-room, 0) {
		return fmt.Sprintf("%v get no decode engine, %d versions, %d engines may decode", without, len(engines), room)
	}
	for version, n := range engines {
		if decodeOf(g.engines, version) == 0 && !slices.Contains(without, version) {
			return fmt.Sprintf("version %s has %d engines and none decodes", version, n)
		}
	}
	if prefill := countRole(g.engines, kumquatlug.RolePrefill); prefill != len(g.engines)-room {
		return fmt.Sprintf("%d of %d engines prefill, want %d", prefill, len(g.engines), len(g.engines)-room)
	}
	return ""
}

// maxChangesPerEvent is the number of role changes that one engine which joins, leaves or starts
// again may cause: the versions that lose and get an engine may each move a decode engine, which another
// gives back, and the split itself moves one.
const maxChangesPerEvent = 5

// Engines of several versions join, leave and start again in random roles. Guards against a version
// that is left without a decode engine although the split has room, and against roles that change back and forth.
func TestVersionsKeepDecodeEnginesInRandomHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 100
	properties := gopter.NewProperties(parameters)
	properties.Property("versions keep decode engines", prop.ForAll(func(seed uint64, size, versions int) string {
		g, mismatch := newRolloutGroup(seed, size, versions), 0
		const settleTicks = 80
		g.settle(&mismatch, settleTicks)
		if wrong := g.check(); wrong != "" {
			return fmt.Sprintf("at the start: %s: %+v", wrong, g.engines)
		}
		for n := range 30 {
			// Engines that start or stop at once, and one after the other in a release.
			events := 1 + g.random.IntN(3)
			before := g.changes
			for range events {
				g.event(versions)
				g.settle(&mismatch, g.random.IntN(changeTicks))
			}
			g.settle(&mismatch, settleTicks)
			if wrong := g.check(); wrong != "" {
				return fmt.Sprintf("event %d: %s: %+v", n, wrong, g.engines)
			}
			if changed := g.changes - before; changed > maxChangesPerEvent*events {
				return fmt.Sprintf("event %d: %d role changes for %d events", n, changed, events)
			}
			settled := g.changes
			g.settle(&mismatch, settleTicks)
			if g.changes != settled {
				return fmt.Sprintf("event %d: %d role changes without an event", n, g.changes-settled)
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(2, 16), gen.IntRange(2, 5)))
	properties.TestingRun(t)
}

// splitByCounts is the split of engines that all have the same version.
func splitByCounts(engines []SplitEngine, share float64) []kumquatlug.RoleChange {
	engines = slices.Clone(engines)
	var changes []kumquatlug.RoleChange
	for want := wantedPrefill(len(engines), share); countRole(engines, kumquatlug.RolePrefill) != want; {
		from, to := kumquatlug.RolePrefill, kumquatlug.RoleDecode
		if countRole(engines, kumquatlug.RolePrefill) < want {
			from, to = to, from
		}
		at := pickFromLargestZone(engines, from, func(SplitEngine) bool { return true })
		if at < 0 || len(changes) == maxChangesPerPlan {
			break
		}
		engines[at].Role = to
		changes = append(changes, kumquatlug.NewRoleChange(engines[at].Target, from, to, "split"))
	}
	return changes
}

// Guards against a split that differs from the one by numbers alone although all engines have the same
// version.
func TestSplitOfOneVersionGoesByNumbersAlone(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 12))
		versioned := speedEngines(random, 1+random.IntN(10), 1+random.IntN(10))
		for i := range versioned {
			e := &versioned[i]
			e.Version = "v1"
			e.Idle, e.Refused, e.Changing = random.IntN(3) == 0, random.IntN(5) == 0, random.IntN(4) == 0
			e.Suitable = e.RelativeTime < 1
		}
		share := random.Float64()
		if a, b := splitByCounts(versioned, share), MaintainSplit(versioned, share); !slices.Equal(a, b) {
			t.Errorf("seed %d: %v, want %v", seed, b, a)
		}
		if n := len(RestoreVersions(versioned, share)) + len(VersionsWithoutRoom(versioned, share)); n != 0 {
			t.Errorf("seed %d: %d changes or shortages of a single version", seed, n)
		}
	}
}
