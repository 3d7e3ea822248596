// Package health judges how much work a target of a group should be given,
// from heartbeats and from how its calls end.
//
// It answers the target that is slow (a throttled accelerator, a noisy
// neighbour on its host), the one that fails every call at once and thereby
// looks idle to a router that follows load, and the one that is gone. Without
// it a slow target holds its share of callers past their deadlines, a failing
// one attracts all of the work of its group, and a dead one takes calls until
// each has timed out. Acting too hard is as bad: if the entry itself is cut
// off, or all targets are slow because of a peak, ejecting them leaves nothing
// to serve with. So
//
//   - a target's weight follows its speed relative to the median of its group:
//     when all are slow, nobody loses weight;
//   - consecutive failures halve the weight, one after the other, before they
//     eject;
//   - at most a part of a group is ejected at once; the others that would be
//     keep a small weight;
//   - an ejected target is probed with a small weight after a wait that doubles
//     with each ejection in a row, and grows back to its full share slowly.
//
// A Group belongs to one loop and is not safe for concurrent use.
package health

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Config is what a [Group] is made of. The zero value of each field stands
// for its default.
type Config struct {
	// HeartbeatEvery is the span between two heartbeats to a target. Default
	// 1,000 ms: 20 targets with reports of 142 bytes are 2.8 KB a second of the
	// 5 KB that a node may use for control; with cache events take 2,000.
	HeartbeatEvery kumquatlug.Millis
	// HeartbeatTimeout is how long an entry waits for the answer to one
	// heartbeat before it counts it as missed. Default 1,000 ms: a thousand
	// round trips between data centres, so that only a stop of the process or
	// the link reaches it.
	HeartbeatTimeout kumquatlug.Millis
	// MissedLimit is how many heartbeats in a row are missed before the target
	// counts as dead. Default 3: with the spans above a dead target is out
	// within 4 s, and a pause of 2 s costs weight only.
	MissedLimit int
	// FailureLimit is how many calls in a row fail before the target is
	// ejected. Default 5: by then its weight is 1/32, and a target that fails
	// one call in five is ejected once in 3,000 calls only.
	FailureLimit int
	// EjectPart is the greatest part of the group that is ejected at once;
	// at least one target of a group of two or more may be. Default 0.34: a
	// data centre of three may be lost whole, and more than that is likelier
	// to be the entry's own trouble.
	EjectPart float64
	// ProbeAfter is the wait before an ejected target is probed; it doubles
	// with each ejection in a row up to ProbeLimit. Defaults 5 s and 60 s: an
	// engine restarts in tens of seconds, and a probe a minute costs nothing.
	ProbeAfter kumquatlug.Millis
	ProbeLimit kumquatlug.Millis
	// SlowStart is the span over which a target that is back grows to its full
	// share. Default 10 s: its caches are empty, and ten reports show how it
	// bears the load.
	SlowStart kumquatlug.Millis
	// Tolerance is how much slower than the median a target may be without
	// losing weight. Default 1.25: targets differ by that much by chance.
	Tolerance float64
}

func (c Config) withDefaults() Config {
	c.HeartbeatEvery = cmp.Or(c.HeartbeatEvery, kumquatlug.Second)
	c.HeartbeatTimeout = cmp.Or(c.HeartbeatTimeout, kumquatlug.Second)
	c.ProbeAfter = cmp.Or(c.ProbeAfter, 5*kumquatlug.Second)
	c.ProbeLimit = cmp.Or(c.ProbeLimit, kumquatlug.Minute)
	c.SlowStart = cmp.Or(c.SlowStart, 10*kumquatlug.Second)
	c.MissedLimit = cmp.Or(c.MissedLimit, 3)
	c.FailureLimit = cmp.Or(c.FailureLimit, 5)
	c.EjectPart = cmp.Or(c.EjectPart, 0.34)
	c.Tolerance = cmp.Or(c.Tolerance, 1.25)
	return c
}

const (
	// minWeight is kept by a target that is slow, probed, or not ejected for
	// the bound's sake: one call in twenty of a fair share still shows how it
	// does.
	minWeight = 0.05
	// ratioSmoothing is the weight of one answer in a target's mean ratio: some
	// eight answers make most of a change, so that one odd call moves little.
	ratioSmoothing = 0.2
	// ratioHalfLife is the span in which a target that receives no answers is
	// forgiven half of its slowness, so that it is tried again.
	ratioHalfLife = 15 * kumquatlug.Second
)

// State is what a group thinks of a target.
type State string

// The states of a target.
const (
	// StateServing takes its share, by its weight.
	StateServing State = "serving"
	// StateEjected takes nothing.
	StateEjected State = "ejected"
	// StateProbing takes a little, to show whether it is well.
	StateProbing State = "probing"
)

// target is one member of the group.
type target struct {
	name                string
	meanRatio           float64
	ratioUpdatedAt      kumquatlug.Millis
	measured            bool
	consecutiveFailures int
	missedHeartbeats    int
	ejected             bool
	// ejectedAt and ejections set the time of the probe.
	ejectedAt            kumquatlug.Millis
	consecutiveEjections int
	// slowStartAt is when its slow start began; zero for none.
	slowStartAt  kumquatlug.Millis
	slowStarting bool
}

// Group judges targets that do the same work.
type Group struct {
	config      Config
	targets     map[string]*target
	names       []string
	medianRatio float64
	ratios      []float64
}

// New returns a group without targets.
func New(c Config) *Group {
	return &Group{config: c.withDefaults(), targets: map[string]*target{}, medianRatio: 1}
}

// HeartbeatEvery returns the span between two heartbeats to a target.
func (g *Group) HeartbeatEvery() kumquatlug.Millis { return g.config.HeartbeatEvery }

// HeartbeatTimeout returns how long an answer to a heartbeat is waited for.
func (g *Group) HeartbeatTimeout() kumquatlug.Millis { return g.config.HeartbeatTimeout }

// Add takes a target into the group, with its full share: nothing speaks
// against it. Adding one that is there changes nothing.
func (g *Group) Add(name string) {
	if _, ok := g.targets[name]; ok {
		return
	}
	g.targets[name] = &target{name: name, meanRatio: 1}
	index, _ := slices.BinarySearch(g.names, name)
	g.names = slices.Insert(g.names, index, name)
}

// Remove takes a target out of the group.
func (g *Group) Remove(name string) {
	delete(g.targets, name)
	g.names = slices.DeleteFunc(g.names, func(n string) bool { return n == name })
}

// Heartbeat records that a target answered a heartbeat. One that was ejected
// as dead begins its slow start.
func (g *Group) Heartbeat(now kumquatlug.Millis, name string) {
	t, ok := g.targets[name]
	if !ok {
		return
	}
	wasDead := t.missedHeartbeats >= g.config.MissedLimit
	t.missedHeartbeats = 0
	if wasDead && t.consecutiveFailures < g.config.FailureLimit {
		g.startSlowStart(now, t)
	}
}

// HeartbeatMissed records that a heartbeat brought no answer in time.
func (g *Group) HeartbeatMissed(now kumquatlug.Millis, name string) {
	t, ok := g.targets[name]
	if !ok {
		return
	}
	t.missedHeartbeats++
	if t.missedHeartbeats >= g.config.MissedLimit {
		g.eject(now, t)
	}
}

// Outcome records how a call ended: whether the target did its work, and the
// ratio of the time it took to the time that was expected of it at full weight.
// With the time expected at its present weight a slow target would look well as
// soon as it is given less, and get its full share again. A refusal for want
// of room, a caller's own error and a call that a caller gave up are no
// outcomes. The ratio of a failed call is not used.
func (g *Group) Outcome(now kumquatlug.Millis, name string, ok bool, ratio float64) {
	t, found := g.targets[name]
	if !found {
		return
	}
	if !ok {
		g.recordFailure(now, t)
		return
	}
	g.recordSuccess(now, t, ratio)
}

func (g *Group) recordFailure(now kumquatlug.Millis, t *target) {
	t.consecutiveFailures++
	if t.ejected && g.targetState(now, t) == StateProbing {
		t.ejected = false
		g.eject(now, t)
		return
	}
	if t.consecutiveFailures >= g.config.FailureLimit {
		g.eject(now, t)
	}
}

func (g *Group) recordSuccess(now kumquatlug.Millis, t *target, ratio float64) {
	t.consecutiveFailures = 0
	if t.ejected && t.missedHeartbeats < g.config.MissedLimit {
		g.startSlowStart(now, t)
	}
	if !t.ejected && !t.slowStarting {
		t.consecutiveEjections = 0
	}
	if ratio > 0 && !math.IsInf(ratio, 1) {
		t.meanRatio = g.decayedRatio(now, t)
		t.meanRatio += ratioSmoothing * (ratio - t.meanRatio)
		t.ratioUpdatedAt = now
		t.measured = true
		g.updateMedian()
	}
}

// startSlowStart puts a target back with a small share that grows.
func (g *Group) startSlowStart(now kumquatlug.Millis, t *target) {
	t.ejected = false
	t.slowStarting = true
	t.slowStartAt = now
}

// eject takes a target out, if the bound allows it. Without the bound an entry
// that is cut off would eject every target and refuse all callers although
// most targets still answer others.
func (g *Group) eject(now kumquatlug.Millis, t *target) {
	if t.ejected || g.Ejected() >= g.maxEjected() {
		return
	}
	t.ejected = true
	t.slowStarting = false
	t.ejectedAt = now
	t.consecutiveEjections++
}

// maxEjected returns how many targets may be ejected at once.
func (g *Group) maxEjected() int {
	if len(g.targets) < 2 {
		return 0
	}
	return max(int(g.config.EjectPart*float64(len(g.targets))), 1)
}

// Eject takes out a target that was seen to be silent, without waiting for its
// calls to fail one after the other; the bound on ejected targets holds.
func (g *Group) Eject(now kumquatlug.Millis, name string) {
	t, ok := g.targets[name]
	if !ok {
		return
	}
	t.consecutiveFailures = max(t.consecutiveFailures, g.config.FailureLimit)
	g.eject(now, t)
}

// Ejected returns how many targets are ejected or probed.
func (g *Group) Ejected() int {
	n := 0
	for _, t := range g.targets {
		if t.ejected {
			n++
		}
	}
	return n
}

// State returns what the group thinks of a target; an unknown one is serving.
func (g *Group) State(now kumquatlug.Millis, name string) State {
	t, ok := g.targets[name]
	if !ok {
		return StateServing
	}
	return g.targetState(now, t)
}

func (g *Group) targetState(now kumquatlug.Millis, t *target) State {
	if !t.ejected {
		return StateServing
	}
	if t.missedHeartbeats >= g.config.MissedLimit || now-t.ejectedAt < g.probeWait(t) {
		return StateEjected
	}
	return StateProbing
}

// probeWait doubles with each ejection in a row.
func (g *Group) probeWait(t *target) kumquatlug.Millis {
	wait := g.config.ProbeAfter
	for i := 1; i < t.consecutiveEjections && wait < g.config.ProbeLimit; i++ {
		wait *= 2
	}
	return min(wait, g.config.ProbeLimit)
}

// Weight returns the part of its fair share that a target should be given,
// from 0 when it is ejected to 1.
func (g *Group) Weight(now kumquatlug.Millis, name string) float64 {
	t, ok := g.targets[name]
	if !ok {
		return 1
	}
	switch g.targetState(now, t) {
	case StateEjected:
		return 0
	case StateProbing:
		return minWeight
	default:
		weight := g.speedFactor(now, t) * g.failureFactor(t) * g.slowStartFactor(now, t)
		return max(weight, minWeight)
	}
}

// speedFactor is 1 for a target within the tolerance and otherwise the part of the
// median's speed that it has.
func (g *Group) speedFactor(now kumquatlug.Millis, t *target) float64 {
	if !t.measured || g.medianRatio <= 0 {
		return 1
	}
	slower := g.decayedRatio(now, t) / g.medianRatio
	if slower <= g.config.Tolerance {
		return 1
	}
	return 1 / slower
}

// failureFactor halves with each failure and each missed heartbeat in a row.
func (g *Group) failureFactor(t *target) float64 {
	return math.Pow(0.5, float64(min(t.consecutiveFailures+t.missedHeartbeats, 30)))
}

// slowStartFactor grows from the least weight to 1 over the slow start.
func (g *Group) slowStartFactor(now kumquatlug.Millis, t *target) float64 {
	if !t.slowStarting {
		return 1
	}
	progress := float64(now-t.slowStartAt) / float64(g.config.SlowStart)
	return min(max(progress, minWeight), 1)
}

// decayedRatio returns a target's mean ratio, moved towards the median with the time
// since its last answer.
func (g *Group) decayedRatio(now kumquatlug.Millis, t *target) float64 {
	if !t.measured {
		return g.medianRatio
	}
	halfLives := float64(max(now-t.ratioUpdatedAt, 0)) / float64(ratioHalfLife)
	return g.medianRatio + (t.meanRatio-g.medianRatio)*math.Pow(0.5, halfLives)
}

// updateMedian takes the lower median of the targets that have answered, so
// that in a group of two the slow one is seen.
func (g *Group) updateMedian() {
	g.ratios = g.ratios[:0]
	for _, name := range g.names {
		if t := g.targets[name]; t.measured {
			g.ratios = append(g.ratios, t.meanRatio)
		}
	}
	slices.Sort(g.ratios)
	g.medianRatio = g.ratios[(len(g.ratios)-1)/2]
}
