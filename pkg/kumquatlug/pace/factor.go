package pace

import (
	"math"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of the time factors.
const (
	// initialSpanMs is the time constant with which a report decays to the mean until reports
	// have shown it, minSpanMs and maxSpanMs limit it.
	initialSpanMs        = 300.0
	minSpanMs, maxSpanMs = 50.0, 5000.0
	// spanGain is the step of the time constant for one pair of consecutive reports.
	spanGain = 0.1
	// maxPairGap is the longest gap between two reports of a worker that form a pair.
	maxPairGap = 1500 * kumquatlug.Millis(1)
	// minDeviation is the least relative deviation of a factor above the mean that counts as
	// a span.
	minDeviation = 0.2
	// meanGain is the weight of one report in the mean factor of the service.
	meanGain = 1.0 / 128
	// recentFactors is the number of reports over which the high factor is determined, and
	// highQuantile the quantile.
	recentFactors = 256
	highQuantile  = 0.9
	// trustGain is the weight of one sample in the trust in a worker's factors. Below
	// minTrust they have no effect, above fullTrust full effect: noise alone makes one of
	// three true reports look false.
	trustGain           = 0.1
	initialTrust        = 0.7
	minTrust, fullTrust = 0.35, 0.55
	// minFactor is the lowest factor that is believed: other programs on a machine slow work
	// down, and nothing makes it twice as fast.
	minFactor = 0.5
	// usualReports is the number of reports of which the median is the usual factor of a
	// worker, minUsualReports the least number, usualInterval the least time between two of
	// them and minUsualLog the least logarithm, up or down, that counts: one span may contain
	// most of a few reports.
	usualReports, minUsualReports = 32, 20
	usualInterval                 = 250 * kumquatlug.Millis(1)
	minUsualLog                   = 0.2
	// minCheckedLog is the least logarithm of a factor, up or down, that a measured time can
	// confirm or contradict.
	minCheckedLog = 0.3
	// slowedFactor is the factor above which a worker counts as slowed down.
	slowedFactor = 1.5
)

// floatRing holds the newest values.
type floatRing struct {
	values []float64
	next   int
}

// add adds a value, and replaces the oldest one if there are already so many.
func (r *floatRing) add(value float64, most int) {
	if len(r.values) < most {
		r.values = append(r.values, value)
		return
	}
	r.values[r.next] = value
	r.next = (r.next + 1) % most
}

// factorReport is the time factor that a worker reported last.
type factorReport struct {
	factor float64
	at     kumquatlug.Millis
}

// factorStats is what the reports of all workers of a service have in common.
type factorStats struct {
	reports int
	mean    float64
	spanMs  float64
	recent  floatRing
	// high is the high quantile of recent, highAt the number of reports at its calculation.
	high   float64
	highAt int
}

func newFactorStats() factorStats { return factorStats{mean: 1, spanMs: initialSpanMs, high: 1} }

// ReportFactor records the time factor that a worker reported at a time. A factor that is
// malformed or out of range is ignored, as is one older than the last.
func (s *Service) ReportFactor(at kumquatlug.Millis, id string, factor float64) {
	w, known := s.workers[id]
	// A comparison with NaN is false, so that valid excludes it.
	if !known || !valid(factor) || w.factor.factor != 0 && at <= w.factor.at {
		return
	}
	s.active = true
	factor = max(factor, minFactor)
	f := &s.factors
	if last := w.factor; last.factor != 0 && at-last.at <= maxPairGap {
		f.observePair(last.factor, factor, float64(at-last.at))
	}
	w.factor = factorReport{factor: factor, at: at}
	f.reports++
	if !w.observeUsual(at, factor) {
		return
	}
	f.mean += max(meanGain, 1/float64(f.reports+8)) * (w.trusted(factor, f.mean) - f.mean)
	// A worker that always reports 2.5 is not slowed down.
	factor /= w.usualFactor
	f.recent.add(factor, recentFactors)
}

// observePair adapts the time constant to two consecutive reports of a worker: the deviation
// from the mean is expected to decay exponentially.
func (f *factorStats) observePair(first, second, gapMs float64) {
	deviation := first - f.mean
	if deviation < minDeviation*f.mean {
		// The usual time is near the mean, and says nothing about how long spans last.
		return
	}
	kept := math.Exp(-gapMs / f.spanMs)
	residual := min(max((second-f.mean)/deviation-kept, -1), 1)
	// The slope of the expectation over the logarithm of the time constant.
	slope := gapMs / f.spanMs * kept
	f.spanMs = min(max(f.spanMs*math.Exp(spanGain*residual*slope), minSpanMs), maxSpanMs)
}

// ExpectedFactor returns the factor by which work of a duration, in ms, is expected to be
// slowed down at a worker if it begins now. A report decays to the mean of the service, since
// the span that it reports ends; over a longer duration the factor is averaged.
func (s *Service) ExpectedFactor(now kumquatlug.Millis, id string, durationMs float64) float64 {
	w, known := s.workers[id]
	if !s.active || !known {
		return 1
	}
	f := &s.factors
	if w.factor.factor == 0 {
		return f.mean
	}
	kept := math.Exp(-float64(max(now-w.factor.at, 0)) / f.spanMs)
	if d := max(durationMs, 0) / f.spanMs; d > 1e-3 {
		kept *= (1 - math.Exp(-d)) / d
	}
	return f.mean + kept*(w.trusted(w.factor.factor, f.mean)-f.mean)
}

// WorkTime returns the expected time of work at a worker relative to that of the same work at a
// worker of the mean speed that is not slowed down. It is 1 while the Service is inactive.
func (s *Service) WorkTime(now kumquatlug.Millis, id string, durationMs float64) float64 {
	if !s.active {
		return 1
	}
	return s.RelativeTime(now, id) * s.ExpectedFactor(now, id, durationMs)
}

// HighFactor returns the 90th percentile of the factors that the workers of the service
// report: one as high will occur during a stream of several seconds.
func (s *Service) HighFactor() float64 {
	f := &s.factors
	if len(f.recent.values) > 0 && (f.highAt == 0 || f.reports-f.highAt >= recentFactors/8) {
		f.high, f.highAt = quantile(slices.Clone(f.recent.values), highQuantile), f.reports
	}
	return max(f.high, f.mean)
}

// observeUsual records a reported factor for the usual factor of the worker, and reports whether
// it is the first one for some time. Only these count for the service: a worker sends fewer
// reports while it is slowed down. A factor is relative to the usual time at the same worker, so
// one that is constant is false, and no measured time can tell it from the lasting speed.
func (w *worker) observeUsual(at kumquatlug.Millis, factor float64) bool {
	if len(w.reports.values) > 0 && at-w.usualAt < usualInterval {
		return false
	}
	w.usualAt = at
	w.reports.add(factor, usualReports)
	if len(w.reports.values) < minUsualReports {
		return true
	}
	w.usualFactor = quantile(slices.Clone(w.reports.values), 0.5)
	if math.Abs(math.Log(w.usualFactor)) < minUsualLog {
		w.usualFactor = 1
	}
	w.stale = true
	return true
}

// trusted returns the factor that a report is taken for, between the usual time and the report
// relative to what the worker usually reports; untrusted is the factor assumed without a report.
func (w *worker) trusted(factor, untrusted float64) float64 {
	trust := min(max((w.trust-minTrust)/(fullTrust-minTrust), 0), 1)
	return untrusted + trust*(factor/w.usualFactor-untrusted)
}

// factorLog returns the logarithm of the factor that a sample is divided by; zero means that none
// was reported.
func (w *worker) factorLog(reported float64) float64 {
	if reported == 0 {
		return 0
	}
	return math.Log(w.trusted(reported, 1))
}

// fresh reports whether the span in which a worker reported its factor most likely still lasts.
func (s *Service) fresh(now kumquatlug.Millis, w *worker) bool {
	return w.factor.factor != 0 && float64(now-w.factor.at) < s.factors.spanMs
}

// checkFactor compares a reported factor with a measured time, given as the logarithm of its
// ratio to the usual time at this worker.
func (s *Service) checkFactor(now kumquatlug.Millis, w *worker, log float64) {
	if !s.fresh(now, w) {
		return
	}
	reported := math.Log(w.factor.factor / w.usualFactor)
	if math.Abs(reported) < minCheckedLog {
		return
	}
	confirmed := 0.0
	if math.Abs(log-reported) < math.Abs(log) {
		confirmed = 1
	}
	w.trust += trustGain * (confirmed - w.trust)
	w.stale = true
}

// Summary describes the speeds of a service's workers.
type Summary struct {
	fastest, slowest, slowed float64
}

// Fastest returns the lowest relative time, Slowest the highest.
func (m Summary) Fastest() float64 { return m.fastest }

// Slowest returns the highest relative time.
func (m Summary) Slowest() float64 { return m.slowest }

// SlowedFraction returns the fraction of the workers with a recent factor above 1.5.
func (m Summary) SlowedFraction() float64 { return m.slowed }

// Summary returns the present speeds of all workers.
func (s *Service) Summary(now kumquatlug.Millis) Summary {
	m := Summary{fastest: 1, slowest: 1}
	first := true
	for id, w := range s.workers {
		relative := s.RelativeTime(now, id)
		if first || relative < m.fastest {
			m.fastest = relative
		}
		if first || relative > m.slowest {
			m.slowest = relative
		}
		first = false
		if w.factor.factor/w.usualFactor > slowedFactor && now-w.factor.at < maxPairGap {
			m.slowed += 1 / float64(len(s.workers))
		}
	}
	return m
}
