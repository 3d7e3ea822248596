package admission

import (
	"math"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// leastSample is how long work must have waited before the rate is believed,
// in milliseconds. In the first seconds of the first burst the targets are
// still running prompts and little has come back; a rate from then would
// refuse callers in front of targets that are about to deliver.
const leastSample = 3000

// drain measures how fast a line empties, in tokens a millisecond.
//
// What is finished while nothing waits shows the callers' demand and not what
// the targets can do; taken for the drain rate it would make the first burst
// after a quiet hour look hopeless, and callers would be refused in front of
// idle targets. So the rate is the decayed mean over the time in which work
// waited. The mean over all time is kept beside it, since what was finished
// lately can be finished: it counts where it is larger.
type drain struct {
	horizon   float64
	last      kumquatlug.Millis
	waiting   mean
	always    mean
	returning float64
}

// mean is a decayed sum of tokens over a decayed sum of milliseconds.
type mean struct {
	tokens float64
	time   float64
}

func (m *mean) advance(span, horizon float64) {
	keep := math.Exp(-span / horizon)
	m.tokens *= keep
	m.time = m.time*keep + horizon*(1-keep)
}

func (m *mean) rate() float64 {
	return m.tokens / m.time
}

func (d *drain) advance(now kumquatlug.Millis, waiting bool) {
	span := float64(now - d.last)
	if span <= 0 {
		return
	}
	d.last = now
	d.always.advance(span, d.horizon)
	if waiting {
		d.waiting.advance(span, d.horizon)
	}
	d.returning = max(0, d.returning-span*d.rate())
}

func (d *drain) served(tokens int64, waiting bool) {
	d.always.tokens += float64(tokens)
	if waiting {
		d.waiting.tokens += float64(tokens)
	}
}

// rate returns tokens a millisecond, zero while it isn't known.
func (d *drain) rate() float64 {
	if d.waiting.time < leastSample {
		return 0
	}
	return max(d.waiting.rate(), d.always.rate())
}

// spanAt returns how long tokens take at a rate above zero.
func spanAt(rate, tokens float64) kumquatlug.Millis {
	return kumquatlug.Millis(min(tokens/rate, float64(kumquatlug.Hour)))
}

const (
	// errorMemory makes the forecast error that of some fifty requests.
	errorMemory = 0.98
	// errorPrior is how much forecast wait, in milliseconds, counts as having
	// come true, so that a few odd requests don't move the correction.
	errorPrior = 10_000
	// mostError bounds the correction and what one request adds to it: beyond
	// it the targets were lost for a while, and to count that as overtaking
	// would refuse what they can serve when they are back.
	mostError = 4
)

// forecastError learns by how much waits turn out longer than predicted. The
// prediction knows what stands in the line and not what will come: callers that
// arrive later take their turns before a large share, and their shorter
// deadlines go first. Uncorrected, work with distant deadlines is let in and
// overtaken until it is late.
type forecastError struct {
	actual   float64
	forecast float64
}

func (e *forecastError) learn(actual, forecast kumquatlug.Millis) {
	actual = min(actual, mostError*(forecast+kumquatlug.Second))
	e.actual = errorMemory*e.actual + float64(actual)
	e.forecast = errorMemory*e.forecast + float64(forecast)
}

func (e *forecastError) correct(wait kumquatlug.Millis) kumquatlug.Millis {
	factor := (e.actual + errorPrior) / (e.forecast + errorPrior)
	return kumquatlug.Millis(float64(wait) * min(max(factor, 1), mostError))
}
