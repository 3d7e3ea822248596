package learn

import "slices"

// Parameters of [RunBoundEstimator].
const (
	// maxBoundSamples is the number of newest samples that are kept.
	maxBoundSamples = 256
	// minPaceSamples and minStreamSamples are the numbers of samples from which a bound is
	// known: with fewer, the slow engines or the streams that use most of their maximum output
	// have most likely not been seen yet.
	minPaceSamples, minStreamSamples = 32, 32
	// minStreamEvents is the least number of events of a sample. The last event of a stream may
	// have a single token, so that fewer events would make the events of a token look many.
	minStreamEvents = 3
	// paceMargin is the margin of the slowest pace, for engines that become slower while a stream
	// runs. streamMargin is the margin of the events for each token: outputs are half of their
	// maximum on average.
	paceMargin, streamMargin = 2, 2
)

// RunBoundEstimator estimates an upper bound of the run time of a stream with a maximum output, as
// the product of the most events that the output may have and the longest time between events.
//
// Both hold for streams of which only a part was seen, since they were cut, moved, resumed or left by
// their clients. A quantile of run times does not: where such streams and those that end early
// prevail, it is far below the run time of the longest stream.
//
// The zero value has no samples.
type RunBoundEstimator struct {
	// paces are times between events, in ms, densities numbers of events for each token of the
	// maximum output.
	paces, densities sampleRing
}

// sampleRing holds the newest samples.
type sampleRing struct {
	samples []float64
	next    int
}

func (r *sampleRing) add(x float64) {
	if len(r.samples) < maxBoundSamples {
		r.samples = append(r.samples, x)
		return
	}
	r.samples[r.next] = x
	r.next = (r.next + 1) % maxBoundSamples
}

// ObservePace records the mean time between some events of one engine, in milliseconds.
func (b *RunBoundEstimator) ObservePace(eventMs float64) { b.paces.add(eventMs) }

// ObserveStream records how many events came of a stream with this maximum output, in tokens.
func (b *RunBoundEstimator) ObserveStream(events, output int) {
	if events >= minStreamEvents && output > 0 {
		b.densities.add(float64(events) / float64(output))
	}
}

// Bound returns the time in ms that no stream with this maximum output is expected to exceed
// from its first event on. It returns false if that is not known.
func (b *RunBoundEstimator) Bound(output int) (float64, bool) {
	if output <= 0 || len(b.paces.samples) < minPaceSamples || len(b.densities.samples) < minStreamSamples {
		return 0, false
	}
	events := 1 + streamMargin*slices.Max(b.densities.samples)*float64(output)
	return events * paceMargin * slices.Max(b.paces.samples), true
}
