// Package pace estimates how fast each worker of a service is: its lasting relative time,
// which is the time that work takes there relative to the mean of the service (2 takes twice
// as long), and the factor by which other programs on its machine slow it down at present.
//
// It is built for a site with 53 engines of which some are 2.2 times and more as slow as
// others, whose machines are shared: for 15% of the time, in spans of about 600 ms, work
// takes 2.5 times as long. 29 gateways each observe about one response per second from an
// engine. Roles are assigned regardless of speed, so that half of the short questions pause
// for longer than their route permits, and prefix owners have the same number of prefixes
// whether they are fast or slow.
//
// The samples of different kinds of work are comparable: the logarithm of a sample is the
// base of its kind plus the lasting speed of the worker plus noise. The base of a kind is the
// usual time at a worker of the mean speed. At first it is the mean over the workers that do
// this kind of work, less what other kinds and other gateways say about their speeds, which is
// correct while roles don't depend on speed. Afterwards it changes only by what the known speeds
// of the workers leave unexplained. Thus an engine keeps its speed when it changes its role, and
// the base of decoding doesn't follow the engines when the fast ones are assigned to decoding.
//
// Cache misses, queues and spans without a report lengthen samples and nothing shortens them,
// so the estimates use a quantile below the median.
//
// A Service is inactive until one of its workers has reported a time factor; every estimate
// is 1 until then. A Service is not safe for concurrent use.
package pace

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Kind is a kind of work. Samples of one kind are compared with each other.
type Kind string

// The kinds.
const (
	// KindPrefill is the prefill of a prompt at an idle engine, KindQueuedPrefill one behind
	// other prompts; both relative to the model of the service.
	KindPrefill       Kind = "prefill"
	KindQueuedPrefill Kind = "queued_prefill"
	// KindDecode is the time between two events of a stream, in ms.
	KindDecode Kind = "decode"
	// KindPlain is the run time of a plain request, in ms.
	KindPlain Kind = "plain"
)

// Parameters of the lasting speed.
const (
	// sampleQuantile is the quantile of the samples that counts as the time of a worker. The
	// median would be distorted by the 15% of the time in which machines are slow together
	// with as many cache misses.
	sampleQuantile = 0.35
	// maxSamples is the number of own samples kept for each worker.
	maxSamples = 24
	// shrinkSamples is the number of samples of the relative time 1 that are assumed.
	shrinkSamples = 2.0
	// knownSamples is the number of samples from which a speed counts as known: the error is
	// then below the gain for which roles are exchanged.
	knownSamples = 5.0
	// sampleHalfLifeMs is the age at which a sample counts half: a speed lasts, and a quiet
	// worker gets few samples.
	sampleHalfLifeMs = 40_000.0
	// refreshInterval is how long an estimate is used without new samples. It is longer with
	// many workers, one ms for each, as each choice needs the estimates of all.
	refreshInterval = 1 * kumquatlug.Second
	// restartSamples is the number of samples kept when a worker has restarted.
	restartSamples = 6
	// removedRetention is how long the samples of a removed worker are kept: a restart takes
	// seconds.
	removedRetention = 60 * kumquatlug.Second
	// pruneInterval is the least time between two searches for samples that have been kept
	// for that long: thousands of workers may be added at once.
	pruneInterval = 1 * kumquatlug.Second
	// initialPhase is how long after the first sample of a kind its base is the mean over the
	// workers. Some workers are seen only once in 2 s by one gateway.
	initialPhase = 5 * kumquatlug.Second
	// solveInterval is the least time between two calculations of that mean. It is longer with
	// many workers, one ms for each.
	solveInterval = 100 * kumquatlug.Millis(1)
	// baseGain is the step of a base after that: it follows a prefill model that drifts within
	// some hundred samples.
	baseGain = 0.002
	// queuedWeight is the weight of a sample that contains the wait behind other prompts.
	queuedWeight = 0.5
	// minRelative and maxRelative bound valid relative times and time factors.
	minRelative, maxRelative = 0.05, 20.0
)

// sample is the logarithm of a measured time, with the time factor that the worker reported for
// it, zero for none.
type sample struct {
	log, factor float64
	at          kumquatlug.Millis
}

// ring holds the newest samples of one kind at one worker.
type ring struct {
	samples []sample
	next    int
}

func (r *ring) add(x sample) {
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, x)
		return
	}
	r.samples[r.next] = x
	r.next = (r.next + 1) % maxSamples
}

// shorten keeps only the newest n samples.
func (r *ring) shorten(n int) {
	slices.SortStableFunc(r.samples, func(a, b sample) int { return cmp.Compare(a.at, b.at) })
	r.samples, r.next = slices.Clone(r.samples[max(len(r.samples)-n, 0):]), 0
}

// ringEstimate returns the quantile of the samples of a kind at a worker, each divided by its
// factor as far as that is trusted now, and their aged weight.
func (w *worker) ringEstimate(now kumquatlug.Millis, kind Kind) (log, weight float64) {
	r := w.rings[kind]
	logs := make([]float64, 0, len(r.samples))
	for _, x := range r.samples {
		logs = append(logs, x.log-w.factorLog(x.factor))
		weight += agedWeight(now, x.at)
	}
	if kind == KindQueuedPrefill {
		weight *= queuedWeight
	}
	return quantile(logs, sampleQuantile), weight
}

// worker is the state kept for one worker.
type worker struct {
	startedAt int64
	removedAt kumquatlug.Millis
	rings     map[Kind]*ring
	peers     []peerEstimate
	factor    factorReport
	// trust is the fraction of the reported factors that measured times have confirmed.
	trust float64
	// reports are the last reported factors, usualFactor is their median.
	reports     floatRing
	usualAt     kumquatlug.Millis
	usualFactor float64
	// speed is the cached estimate of the logarithm of the relative time, raw the same before
	// it is shrunk, weight the number of samples behind it, as of estimatedAt and version of
	// the bases. stale says that there are newer samples.
	speed, raw, weight float64
	estimatedAt        kumquatlug.Millis
	version            int
	stale              bool
	// unsent is how many more times the own samples are sent to peers.
	unsent int
}

// base is the logarithm of the time of one kind of work at a worker of the mean speed.
type base struct {
	log               float64
	samples           int
	firstAt, solvedAt kumquatlug.Millis
}

// Service estimates the speeds of the workers of one service.
type Service struct {
	active  bool
	workers map[string]*worker
	removed map[string]*worker
	// prunedAt is when removed was last searched.
	prunedAt kumquatlug.Millis
	bases    map[Kind]*base
	// version counts the calculations of a base as a mean over workers.
	version int
	factors factorStats
	// outgoing are the workers whose samples are sent to peers, the least recently sent first.
	outgoing []string
}

// New returns a Service without workers.
func New() *Service {
	return &Service{workers: map[string]*worker{}, removed: map[string]*worker{}, bases: map[Kind]*base{}, factors: newFactorStats()}
}

// Active reports whether a worker has reported a time factor.
func (s *Service) Active() bool { return s.active }

// Add adds a worker by name. A worker that was there before keeps its speed, with less weight
// if it started at another time.
func (s *Service) Add(now kumquatlug.Millis, id string, startedAt int64) {
	w, known := s.workers[id]
	if !known {
		w = s.removed[id]
		delete(s.removed, id)
	}
	if w == nil {
		w = &worker{startedAt: startedAt, trust: initialTrust, usualFactor: 1, rings: map[Kind]*ring{}, stale: true}
	}
	if w.startedAt != startedAt {
		w.restart(startedAt)
	}
	s.workers[id] = w
	if now-s.prunedAt < pruneInterval {
		return
	}
	s.prunedAt = now
	for name, old := range s.removed {
		if now-old.removedAt > removedRetention {
			delete(s.removed, name)
		}
	}
}

// Remove removes a worker. Its speed is kept for a while, as it may be about to restart.
func (s *Service) Remove(now kumquatlug.Millis, id string) {
	if w, known := s.workers[id]; known {
		w.removedAt = now
		s.removed[id] = w
		delete(s.workers, id)
	}
}

// restart reduces the weight of all samples after a restart.
func (w *worker) restart(startedAt int64) {
	for _, r := range w.rings {
		r.shorten(restartSamples)
	}
	for i := range w.peers {
		w.peers[i].samples /= maxPeerSamples / peerRestartSamples
	}
	w.startedAt, w.stale, w.factor = startedAt, true, factorReport{}
}

// Observe records that work of a kind took so long at a worker: in ms, or as a multiple of the
// expected time at a worker of the mean speed. If a fresh time factor is known, the sample is
// divided by it.
func (s *Service) Observe(now kumquatlug.Millis, id string, kind Kind, took float64) {
	w, known := s.workers[id]
	if !s.active || !known || !(took > 0) || math.IsInf(took, 1) {
		return
	}
	log := math.Log(took)
	b, known := s.bases[kind]
	if !known {
		b = &base{firstAt: now}
		s.bases[kind] = b
	}
	s.estimate(now, w)
	if known && w.weight >= knownSamples {
		s.checkFactor(now, w, log-b.log-w.raw)
	}
	added := sample{log: log, at: now}
	if s.fresh(now, w) {
		added.factor = w.factor.factor
	}
	if w.rings[kind] == nil {
		w.rings[kind] = &ring{}
	}
	w.rings[kind].add(added)
	b.samples++
	switch {
	case now-b.firstAt <= initialPhase:
		s.solveBase(now, kind, b)
	case w.weight >= knownSamples:
		b.follow(log - w.factorLog(added.factor) - w.raw)
	}
	w.stale = true
	s.enqueue(id, w)
}

// solveBase sets a base to the mean over the workers that do this kind of work, less what is
// known about their speeds from other kinds and other gateways.
func (s *Service) solveBase(now kumquatlug.Millis, kind Kind, b *base) {
	if b.samples > 1 && now-b.solvedAt < max(solveInterval, kumquatlug.Millis(len(s.workers))) {
		return
	}
	b.solvedAt = now
	sum, weights := 0.0, 0.0
	for _, w := range s.workers {
		if w.rings[kind] == nil {
			continue
		}
		log, weight := w.ringEstimate(now, kind)
		own, ownWeight := s.ownEstimate(now, w, kind)
		speed, known := combine(now, own, ownWeight, w.peers)
		// Every worker counts alike once it has a few samples: one stream has more events
		// than all prompts together.
		weight = min(weight, maxBaseWeight)
		sum += weight * (log - speed*known/(known+shrinkSamples))
		weights += weight
	}
	if weights > 0 {
		b.log = sum / weights
		s.version++
	}
}

// maxBaseWeight is the number of samples of a worker that count in a base.
const maxBaseWeight = 3.0

// follow moves the base a step towards the quantile of the samples, which are given without
// the speeds of their workers.
func (b *base) follow(log float64) {
	if log > b.log {
		b.log += baseGain * sampleQuantile
	} else {
		b.log -= baseGain * (1 - sampleQuantile)
	}
}

// RelativeTime returns the lasting relative time of a worker: 1 is the mean of the service, 2
// takes twice as long.
func (s *Service) RelativeTime(now kumquatlug.Millis, id string) float64 {
	w, known := s.workers[id]
	if !s.active || !known {
		return 1
	}
	speed, _ := s.estimate(now, w)
	return math.Exp(speed)
}

// Known reports whether there are enough samples of a worker's speed to act on it.
func (s *Service) Known(now kumquatlug.Millis, id string) bool {
	w, known := s.workers[id]
	if !s.active || !known {
		return false
	}
	_, weight := s.estimate(now, w)
	return weight >= knownSamples
}

// minBaseSamples is the number of samples from which a base counts as known.
const minBaseSamples = 12

// UsualMs returns the time of one kind of work at a worker of the mean speed, in ms, and
// whether it is known.
func (s *Service) UsualMs(kind Kind) (float64, bool) {
	b, known := s.bases[kind]
	if !known || b.samples < minBaseSamples {
		return 0, false
	}
	return math.Exp(b.log), true
}

// estimate returns the logarithm of a worker's relative time and the weight of its samples.
func (s *Service) estimate(now kumquatlug.Millis, w *worker) (speed, weight float64) {
	if !w.stale && w.version == s.version && now-w.estimatedAt < max(refreshInterval, kumquatlug.Millis(len(s.workers))) {
		return w.speed, w.weight
	}
	own, ownWeight := s.ownEstimate(now, w, "")
	w.raw, w.weight = combine(now, own, ownWeight, w.peers)
	w.speed = w.raw * w.weight / (w.weight + shrinkSamples)
	w.estimatedAt, w.version, w.stale = now, s.version, false
	return w.speed, w.weight
}

// ownEstimate returns the estimate from this gateway's own samples of all kinds but one,
// without shrinking it.
func (s *Service) ownEstimate(now kumquatlug.Millis, w *worker, except Kind) (log, weight float64) {
	for kind := range w.rings {
		if kind == except {
			continue
		}
		of, count := w.ringEstimate(now, kind)
		log += count * (of - s.bases[kind].log)
		weight += count
	}
	if weight > 0 {
		log /= weight
	}
	return log, weight
}

// agedWeight returns the weight of a sample taken at a time.
func agedWeight(now, at kumquatlug.Millis) float64 {
	return math.Exp2(-float64(max(now-at, 0)) / sampleHalfLifeMs)
}

// quantile sorts values and returns their quantile q with linear interpolation.
func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	at := q * float64(len(values)-1)
	below := int(at)
	if below+1 >= len(values) {
		return values[below]
	}
	return values[below] + (at-float64(below))*(values[below+1]-values[below])
}

// valid reports whether a relative time or a time factor is in the range that is accepted.
func valid(x float64) bool { return x >= minRelative && x <= maxRelative }
