// Package health computes the load-balancing weight of each target in a group
// from heartbeats and call outcomes, and ejects outliers.
//
// It handles targets that are slow (a throttled accelerator, a noisy neighbour
// on the host), targets that fail every call at once and therefore look idle to
// a load-based router, and unresponsive targets. Without it a slow target
// delays its share of callers past their deadlines, a failing target attracts
// all work of its group, and an unresponsive target receives calls until each has
// timed out. Overreacting is as harmful: if the gateway itself is partitioned, or all
// targets are slow under peak load, ejecting them leaves no capacity. Therefore
//
//   - the weight of a target follows its speed relative to the median of the
//     group: if all targets are slow, none loses weight;
//   - each consecutive failure halves the weight, before the target is ejected;
//   - at most a fraction of a group is ejected at the same time; other targets
//     that meet the condition keep a small weight;
//   - an ejected target is probed with a small weight after a wait that doubles
//     with each consecutive ejection, and returns to its full share by a slow
//     start.
//
// A Group belongs to one loop and is not safe for concurrent use.
package health

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Config holds the parameters of a [Group]. The zero value of each field selects
// its default.
type Config struct {
	// HeartbeatInterval is the interval between two heartbeats to a target. Default
	// 1,000 ms: 20 targets with reports of 142 bytes use 2.8 KB of the 5 KB per
	// second that a node may use for control traffic. With cache events, set
	// 2,000.
	HeartbeatInterval kumquatlug.Millis
	// HeartbeatTimeout is how long a gateway waits for the response to a
	// heartbeat before it counts it as missed. Default 1,000 ms: a thousand round
	// trips between data centres, which only a stopped process or a broken link
	// exceeds.
	HeartbeatTimeout kumquatlug.Millis
	// MissedHeartbeatLimit is the number of consecutive missed heartbeats after which a
	// target counts as unresponsive. Default 3: with the defaults above such a target is
	// ejected within 4 s, and a pause of 2 s only reduces its weight.
	MissedHeartbeatLimit int
	// FailureLimit is the number of consecutive failed calls after which a target
	// is ejected. Default 5: its weight is 1/32 by then, and a target that fails
	// one call in five is ejected only once in 3,000 calls.
	FailureLimit int
	// MaxEjectedFraction is the maximum fraction of the group that is ejected at the same
	// time; in a group of two or more at least one target may be. Default 0.34:
	// one of three data centres may be lost completely, while more than that is
	// more likely a fault of the gateway itself.
	MaxEjectedFraction float64
	// ProbeDelay is the wait before an ejected target is probed; it doubles with
	// each consecutive ejection, up to MaxProbeDelay. Defaults 5 s and 60 s: an
	// engine restarts in tens of seconds, and one probe a minute costs nothing.
	ProbeDelay    kumquatlug.Millis
	MaxProbeDelay kumquatlug.Millis
	// SlowStart is the time over which a target that returns to service grows to
	// its full share. Default 10 s: its caches are empty, and in that time ten
	// reports show how it copes with the load.
	SlowStart kumquatlug.Millis
	// Tolerance is how many times slower than the median a target may be without
	// losing weight. Default 1.25: targets differ by that much by chance.
	Tolerance float64
}

func (c Config) withDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, kumquatlug.Second)
	c.HeartbeatTimeout = cmp.Or(c.HeartbeatTimeout, kumquatlug.Second)
	c.ProbeDelay = cmp.Or(c.ProbeDelay, 5*kumquatlug.Second)
	c.MaxProbeDelay = cmp.Or(c.MaxProbeDelay, kumquatlug.Minute)
	c.SlowStart = cmp.Or(c.SlowStart, 10*kumquatlug.Second)
	c.MissedHeartbeatLimit = cmp.Or(c.MissedHeartbeatLimit, 3)
	c.FailureLimit = cmp.Or(c.FailureLimit, 5)
	c.MaxEjectedFraction = cmp.Or(c.MaxEjectedFraction, 0.34)
	c.Tolerance = cmp.Or(c.Tolerance, 1.25)
	return c
}

const (
	// minWeight is the weight of a target that is slow, probed, or not ejected
	// because of the limit on ejections: one call in twenty of a fair share still
	// shows its health.
	minWeight = 0.05
	// ratioSmoothing is the weight of one response in the moving average of a
	// target's ratio: about eight responses make up most of a change, so a single
	// outlier has little effect.
	ratioSmoothing = 0.2
	// ratioHalfLife is the time in which the deviation of a target's ratio from
	// the median halves while it sends no responses, so that a slow target is
	// tried again.
	ratioHalfLife = 15 * kumquatlug.Second
)

// State is the health state of a target.
type State string

// The states of a target.
const (
	// StateServing: the target receives its share, according to its weight.
	StateServing State = "serving"
	// StateEjected: the target receives no calls.
	StateEjected State = "ejected"
	// StateProbing: the target receives a few calls, which show whether it has
	// recovered.
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
	// ejectedAt and consecutiveEjections determine when the target is probed.
	ejectedAt            kumquatlug.Millis
	consecutiveEjections int
	// slowStartAt is when the slow start began. slowStarting is set from then until
	// the next ejection, also after the target has reached its full share.
	slowStartAt  kumquatlug.Millis
	slowStarting bool
}

// Group holds the health of targets that do the same work.
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

// HeartbeatInterval returns the interval between two heartbeats to a target.
func (g *Group) HeartbeatInterval() kumquatlug.Millis { return g.config.HeartbeatInterval }

// HeartbeatTimeout returns how long to wait for the response to a heartbeat.
func (g *Group) HeartbeatTimeout() kumquatlug.Millis { return g.config.HeartbeatTimeout }

// Add adds a target to the group. It begins with its full share, without a slow
// start. Adding a target that is already in the group has no effect.
func (g *Group) Add(name string) {
	if _, ok := g.targets[name]; ok {
		return
	}
	g.targets[name] = &target{name: name, meanRatio: 1}
	index, _ := slices.BinarySearch(g.names, name)
	g.names = slices.Insert(g.names, index, name)
}

// Remove removes a target from the group.
func (g *Group) Remove(name string) {
	delete(g.targets, name)
	g.names = slices.DeleteFunc(g.names, func(n string) bool { return n == name })
}

// HeartbeatAnswered records that a target responded to a heartbeat. A target that was
// ejected as unresponsive begins its slow start.
func (g *Group) HeartbeatAnswered(now kumquatlug.Millis, name string) {
	t, ok := g.targets[name]
	if !ok {
		return
	}
	wasUnresponsive := t.missedHeartbeats >= g.config.MissedHeartbeatLimit
	t.missedHeartbeats = 0
	if wasUnresponsive && t.consecutiveFailures < g.config.FailureLimit {
		g.startSlowStart(now, t)
	}
}

// HeartbeatMissed records that a target didn't respond to a heartbeat in time.
func (g *Group) HeartbeatMissed(now kumquatlug.Millis, name string) {
	t, ok := g.targets[name]
	if !ok {
		return
	}
	t.missedHeartbeats++
	if t.missedHeartbeats >= g.config.MissedHeartbeatLimit {
		g.eject(now, t)
	}
}

// RecordOutcome records how a call ended: whether the target succeeded, and the ratio
// of the time it took to the time expected at full weight. Relative to the time
// expected at its current weight, a slow target would look healthy as soon as it
// receives less work, and would get its full share back. A refusal for lack of
// capacity, an error of the caller and a call that the caller cancelled must not
// be recorded. The ratio of a failed call is ignored.
func (g *Group) RecordOutcome(now kumquatlug.Millis, name string, ok bool, ratio float64) {
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
	if t.ejected && t.missedHeartbeats < g.config.MissedHeartbeatLimit {
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

// startSlowStart returns a target to service with a small share that grows.
func (g *Group) startSlowStart(now kumquatlug.Millis, t *target) {
	t.ejected = false
	t.slowStarting = true
	t.slowStartAt = now
}

// eject ejects a target unless maxEjected targets are ejected. Without the limit
// a partitioned gateway would eject every target and refuse all callers,
// although most targets still respond to other gateways.
func (g *Group) eject(now kumquatlug.Millis, t *target) {
	if t.ejected || g.Ejected() >= g.maxEjected() {
		return
	}
	t.ejected = true
	t.slowStarting = false
	t.ejectedAt = now
	t.consecutiveEjections++
}

// maxEjected returns how many targets may be ejected at the same time.
func (g *Group) maxEjected() int {
	if len(g.targets) < 2 {
		return 0
	}
	return max(int(g.config.MaxEjectedFraction*float64(len(g.targets))), 1)
}

// Eject ejects a target that is known to be unresponsive, without waiting for
// FailureLimit calls to fail; the limit on ejected targets applies.
func (g *Group) Eject(now kumquatlug.Millis, name string) {
	t, ok := g.targets[name]
	if !ok {
		return
	}
	t.consecutiveFailures = max(t.consecutiveFailures, g.config.FailureLimit)
	g.eject(now, t)
}

// Ejected returns the number of targets that are ejected or probed.
func (g *Group) Ejected() int {
	n := 0
	for _, t := range g.targets {
		if t.ejected {
			n++
		}
	}
	return n
}

// State returns the state of a target; an unknown target is serving.
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
	if t.missedHeartbeats >= g.config.MissedHeartbeatLimit || now-t.ejectedAt < g.probeWait(t) {
		return StateEjected
	}
	return StateProbing
}

// probeWait returns the wait before the target is probed, which doubles with each
// consecutive ejection.
func (g *Group) probeWait(t *target) kumquatlug.Millis {
	wait := g.config.ProbeDelay
	for i := 1; i < t.consecutiveEjections && wait < g.config.MaxProbeDelay; i++ {
		wait *= 2
	}
	return min(wait, g.config.MaxProbeDelay)
}

// Weight returns the fraction of its fair share that a target should receive,
// from 0 if it is ejected to 1.
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

// speedFactor returns 1 for a target within the tolerance, and otherwise its speed
// as a fraction of the median speed.
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

// failureFactor returns a factor that halves with each consecutive failure and each
// consecutive missed heartbeat.
func (g *Group) failureFactor(t *target) float64 {
	return math.Pow(0.5, float64(min(t.consecutiveFailures+t.missedHeartbeats, 30)))
}

// slowStartFactor returns a factor that grows from minWeight to 1 during the slow
// start.
func (g *Group) slowStartFactor(now kumquatlug.Millis, t *target) float64 {
	if !t.slowStarting {
		return 1
	}
	progress := float64(now-t.slowStartAt) / float64(g.config.SlowStart)
	return min(max(progress, minWeight), 1)
}

// decayedRatio returns a target's mean ratio, which decays towards the median with
// the time since its last response.
func (g *Group) decayedRatio(now kumquatlug.Millis, t *target) float64 {
	if !t.measured {
		return g.medianRatio
	}
	halfLives := float64(max(now-t.ratioUpdatedAt, 0)) / float64(ratioHalfLife)
	return g.medianRatio + (t.meanRatio-g.medianRatio)*math.Pow(0.5, halfLives)
}

// updateMedian sets the lower median of the ratios of all measured targets. With
// the lower median, the slow target of a group of two is recognized.
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
