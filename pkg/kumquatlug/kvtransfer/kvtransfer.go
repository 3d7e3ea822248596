// Package kvtransfer estimates how long the transfer of a KV cache between two engines
// takes and how often it fails, and bounds the prefill work that failing transfers waste.
//
// It addresses a load of long prompts that are prefilled on one engine and decoded on
// another while the links between engines are slow, fail, or are shared by more transfers
// than they carry. An engine transfers one cache after another, and refuses a request whose
// transfer would wait more than two seconds. Without an estimate, prompts are prefilled
// repeatedly for transfers that do not complete.
//
// Samples come from responses only: the time until the first output of a request whose cache
// another engine holds, and refusals. They are kept per token, for each pair of data centres
// and for each engine as a source and as a target. An estimate is a low quantile of the
// recent samples, so that neither one slow engine nor a load that delays first outputs makes a
// path look slow: prompts that run on one engine because of it would add to that load. Samples
// lose half of their weight every three seconds; while transfers are avoided, one probe per
// second shows when they have become fast again.
//
// An Estimator is not safe for concurrent use.
package kvtransfer

import (
	"cmp"
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Config holds the settings of an [Estimator]. The zero value of each field means its
// default.
type Config struct {
	// HalfLife is the time in which a sample loses half of its weight. Default 3 s.
	HalfLife kumquatlug.Millis
	// ProbeInterval is the interval between two probes while transfers are avoided. Default
	// 1 s.
	ProbeInterval kumquatlug.Millis
	// SlowMs is the expected time below which a transfer counts as fast and costs nothing.
	// Default 25: the time that the placement plans from the end of a prefill until the
	// first output.
	SlowMs float64
	// WasteFraction is the fraction of all prefilled tokens of the last WasteWindow that
	// may be wasted. Defaults 0.1 and 5 s.
	WasteFraction float64
	WasteWindow   kumquatlug.Millis
}

func (c Config) withDefaults() Config {
	c.HalfLife = cmp.Or(c.HalfLife, 3*kumquatlug.Second)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, kumquatlug.Second)
	c.SlowMs = cmp.Or(c.SlowMs, 25)
	c.WasteFraction = cmp.Or(c.WasteFraction, 0.1)
	c.WasteWindow = cmp.Or(c.WasteWindow, 5*kumquatlug.Second)
	return c
}

// Constants of the estimate.
const (
	// crossZoneFactor is how much longer a transfer between data centres takes than one
	// within a data centre, as the engines' protocol states.
	crossZoneFactor = 2.0
	// failureMs is the time that a failed transfer counts as, in milliseconds: an engine
	// refuses a transfer that would wait longer.
	failureMs = 2000.0
	// minFailureFraction is the fraction of failed transfers from which on failures count.
	// Single refusals also occur when an engine changes its role.
	minFailureFraction = 0.1
	// slowMemory is how long after the last failed transfer the samples are consulted, in
	// half-lives. Later their weight is below a thousandth.
	slowMemory = 10
	// minRecentFailed is the decayed number of failed transfers, that is three, and
	// minRecentFraction their fraction, over the last recentHalfLife, from which on times
	// count. Engines that change their role or restart refuse a few percent of the caches
	// without saying why.
	minRecentFailed   = 2.5
	minRecentFraction = 0.25
	recentHalfLife    = 1 * kumquatlug.Second
	// recoveredFraction is the fraction of SlowMs below which a slow pair of data centres
	// counts as fast again.
	recoveredFraction = 0.5
	// initialTokens is the assumed size of a transfer until some were seen, in tokens.
	initialTokens = 3000.0
	// tokensWeight is the weight of a new transfer in the mean size.
	tokensWeight = 1.0 / 32
)

// Path is the way of a cache from the engine that prefilled the prompt to the one that
// decodes.
type Path struct {
	Source, SourceZone string
	Target, TargetZone string
}

// zonePair identifies the data centres of a path.
type zonePair struct{ source, target string }

func (p Path) zones() zonePair { return zonePair{source: p.SourceZone, target: p.TargetZone} }

// factor returns the time of a transfer relative to one within a data centre.
func (z zonePair) factor() float64 {
	if z.source == z.target {
		return 1
	}
	return crossZoneFactor
}

// Bound says how the time of a sample relates to the time of the transfer.
type Bound string

// The bounds of a sample.
const (
	// BoundExact: the transfer took this long.
	BoundExact Bound = "exact"
	// BoundAtMost: the transfer took at most this long, as the request also waited for
	// something else. It is ignored if a longer time is expected anyway.
	BoundAtMost Bound = "at_most"
	// BoundAtLeast: the transfer had not ended after this long when the request was given
	// up. It is ignored unless it is slow.
	BoundAtLeast Bound = "at_least"
)

// Sample is the observed time of one transfer.
type Sample struct {
	Path Path
	// Tokens is the size of the cache, AheadTokens that of the caches that were
	// transferred before it at the same engines for this gateway.
	Tokens, AheadTokens float64
	Ms                  float64
	Bound               Bound
}

// Estimator estimates the time of transfers.
type Estimator struct {
	config Config
	all    *track
	pairs  map[zonePair]*pairTrack
	// sources and targets are the estimates of engines, in terms of a transfer within a
	// data centre; pending are the tokens whose transfer has begun, by engine.
	sources, targets map[string]*track
	pending          map[string]float64
	meanTokens       float64
	// lastFailedAt is when a transfer last failed, or was slow while transfers failed recently.
	lastFailedAt kumquatlug.Millis
	anyFailed    bool
	// recentAll and recentFailed are decaying counts of all transfers and of failed ones, as
	// of recentAt.
	recentAll, recentFailed float64
	recentAt                kumquatlug.Millis
	lastProbe               kumquatlug.Millis
	prunedAt                kumquatlug.Millis
	waste                   *wasteWindow
	stats                   Stats
}

// pairTrack is the estimate of a pair of data centres. slow is its state as last reported
// by [Estimator.Changes].
type pairTrack struct {
	track
	slow bool
}

// Stats counts events since the start.
type Stats struct {
	// Fast, Slow and Failed count the transfers that ended, Avoided the prompts that ran on
	// one engine because of their expected transfer, Probes those that were transferred
	// nevertheless to see whether transfers are still slow.
	Fast, Slow, Failed, Avoided, Probes int
	// PrefilledTokens is the number of tokens prefilled, WastedTokens the number of those
	// whose cache could not be obtained.
	PrefilledTokens, WastedTokens float64
}

// New returns an Estimator without samples.
func New(c Config) *Estimator {
	c = c.withDefaults()
	return &Estimator{
		config: c, all: &track{}, pairs: map[zonePair]*pairTrack{}, sources: map[string]*track{}, targets: map[string]*track{},
		pending: map[string]float64{}, meanTokens: initialTokens, waste: newWasteWindow(c.WasteWindow),
	}
}

// Stats returns the counts of events.
func (e *Estimator) Stats() Stats { return e.stats }

// Relevant reports whether a quarter of the transfers failed recently. If not, all expected
// times are zero: a first output may be late for many reasons, and prompts that run on one
// engine because of it delay the streams there, which would make transfers look slower still.
// Transfers that can't keep up are refused by the engines, which has no other cause.
func (e *Estimator) Relevant(now kumquatlug.Millis) bool {
	return e.anyFailed && now-e.lastFailedAt <= slowMemory*e.config.HalfLife
}

// Slow reports whether a transfer of so many milliseconds counts as slow.
func (e *Estimator) Slow(ms float64) bool { return ms > e.config.SlowMs }

// Begin records that a transfer begins and returns the size of the transfers of this
// gateway that are ahead of it, in tokens.
func (e *Estimator) Begin(p Path, tokens float64) float64 {
	ahead := e.ahead(p)
	e.pending[p.Source] += tokens
	e.pending[p.Target] += tokens
	e.meanTokens += tokensWeight * (tokens - e.meanTokens)
	return ahead
}

// End records that a transfer has ended or was given up.
func (e *Estimator) End(p Path, tokens float64) {
	for _, id := range []string{p.Source, p.Target} {
		e.pending[id] -= tokens
		if e.pending[id] < 0.5 {
			delete(e.pending, id)
		}
	}
}

// ahead returns the size of the pending transfers that a new one waits for.
func (e *Estimator) ahead(p Path) float64 { return max(e.pending[p.Source], e.pending[p.Target]) }

// Observe records the time of a transfer.
func (e *Estimator) Observe(now kumquatlug.Millis, s Sample) {
	if math.IsNaN(s.Ms) || math.IsInf(s.Ms, 0) || s.Tokens < 1 {
		return
	}
	s.Ms = max(s.Ms, 0)
	perToken := s.Ms / (s.Tokens + max(s.AheadTokens, 0))
	expected := e.rate(now, s.Path)
	slow := e.Slow(s.Ms)
	switch {
	case s.Bound == BoundAtMost && perToken > expected:
		return
	case s.Bound == BoundAtLeast && (!slow || perToken < expected):
		return
	case slow:
		e.stats.Slow++
		if e.Relevant(now) {
			e.lastFailedAt = now
		}
	default:
		e.stats.Fast++
	}
	e.countRecent(now)
	e.add(now, s.Path, perToken, false)
}

// Fail records a transfer that could not be carried out.
func (e *Estimator) Fail(now kumquatlug.Millis, p Path) {
	e.stats.Failed++
	relevant := e.Relevant(now)
	if !relevant {
		// What was slow earlier says nothing about now.
		e.all.timeKnown = false
	}
	e.add(now, p, 0, true)
	e.countRecent(now)
	e.recentFailed++
	if relevant || e.recentFailed >= minRecentFailed && e.recentFailed >= minRecentFraction*e.recentAll {
		e.anyFailed, e.lastFailedAt = true, now
	}
}

// countRecent counts a transfer that ended.
func (e *Estimator) countRecent(now kumquatlug.Millis) {
	kept := decay(now, e.recentAt, recentHalfLife)
	e.recentAll, e.recentFailed, e.recentAt = e.recentAll*kept+1, e.recentFailed*kept, max(now, e.recentAt)
}

// add adds a sample to the estimates that it belongs to.
func (e *Estimator) add(now kumquatlug.Millis, p Path, perToken float64, failed bool) {
	e.prune(now)
	z := p.zones()
	if e.pairs[z] == nil {
		e.pairs[z] = &pairTrack{}
	}
	if e.sources[p.Source] == nil {
		e.sources[p.Source] = &track{}
	}
	if e.targets[p.Target] == nil {
		e.targets[p.Target] = &track{}
	}
	e.pairs[z].add(now, e.config.HalfLife, perToken, failed)
	for _, t := range []*track{e.all, e.sources[p.Source], e.targets[p.Target]} {
		t.add(now, e.config.HalfLife, perToken/z.factor(), failed)
	}
}

// prune removes the estimates of engines without recent samples.
func (e *Estimator) prune(now kumquatlug.Millis) {
	retention := slowMemory * e.config.HalfLife
	if now-e.prunedAt < retention {
		return
	}
	e.prunedAt = now
	for _, tracks := range []map[string]*track{e.sources, e.targets} {
		for id, t := range tracks {
			if now-t.lastAt > retention {
				delete(tracks, id)
			}
		}
	}
}

// rate returns the expected time per token, in milliseconds.
func (e *Estimator) rate(now kumquatlug.Millis, p Path) float64 {
	z, halfLife := p.zones(), e.config.HalfLife
	rate := e.all.lastRate() * z.factor()
	if t := e.pairs[z]; t != nil {
		rate = t.rate(now, halfLife, rate)
	}
	for _, t := range []*track{e.sources[p.Source], e.targets[p.Target]} {
		if t != nil {
			rate = max(rate, t.rate(now, halfLife, 0)*z.factor())
		}
	}
	return rate
}

// failureFraction returns the fraction of transfers that fail.
func (e *Estimator) failureFraction(now kumquatlug.Millis, p Path) float64 {
	fraction := e.all.lastFailureFraction()
	if t := e.pairs[p.zones()]; t != nil {
		fraction = t.failureFraction(now, e.config.HalfLife, fraction)
	}
	for _, t := range []*track{e.sources[p.Source], e.targets[p.Target]} {
		if t != nil {
			fraction = max(fraction, t.failureFraction(now, e.config.HalfLife, 0))
		}
	}
	return fraction
}

// Expected returns the expected time of a transfer in milliseconds, including those ahead
// of it and the time lost if it fails. It is zero while transfers are fast.
func (e *Estimator) Expected(now kumquatlug.Millis, p Path, tokens float64) float64 {
	if !e.Relevant(now) {
		return 0
	}
	ms := e.rate(now, p)*(tokens+e.ahead(p)) + e.failureFraction(now, p)*failureMs
	if ms <= e.config.SlowMs {
		return 0
	}
	return ms
}

// Avoid records that a prompt is to run on one engine because of its expected transfer, and
// reports whether it should be transferred nevertheless as a probe. Small prompts are
// preferred as probes, as their transfer takes less time.
func (e *Estimator) Avoid(now kumquatlug.Millis, tokens float64) (probe bool) {
	since := now - e.lastProbe
	if since >= e.config.ProbeInterval && (tokens < e.meanTokens/2 || since >= 2*e.config.ProbeInterval) && !e.WasteExceeded(now) {
		e.lastProbe = now
		e.stats.Probes++
		return true
	}
	e.stats.Avoided++
	return false
}

// ZoneChange is a pair of data centres between which transfers became slow or recovered.
type ZoneChange struct {
	Source, Target string
	Slow           bool
	// Ms is the expected time of a transfer of mean size, FailureFraction the fraction of
	// transfers that fail.
	Ms, FailureFraction float64
}

// Changes returns the pairs of data centres whose state changed since the last call.
func (e *Estimator) Changes(now kumquatlug.Millis) []ZoneChange {
	var changes []ZoneChange
	for z, t := range e.pairs {
		path := Path{SourceZone: z.source, TargetZone: z.target}
		ms, failed := 0.0, 0.0
		if e.Relevant(now) {
			ms, failed = e.rate(now, path)*e.meanTokens, e.failureFraction(now, path)
		}
		slow := ms > e.config.SlowMs || failed > 0 || t.slow && ms > recoveredFraction*e.config.SlowMs
		if slow != t.slow {
			t.slow = slow
			changes = append(changes, ZoneChange{Source: z.source, Target: z.target, Slow: slow, Ms: ms, FailureFraction: failed})
		}
	}
	return changes
}
