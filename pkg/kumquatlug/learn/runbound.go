package learn

import "slices"

// Parameters of [RunBoundEstimator].
const (
	// maxBoundSamples is the number of newest samples that are kept.
	maxBoundSamples = 256
	// minPaceSamples and minStreamSamples are the numbers of paces and complete streams from which
	// a bound is known: with fewer, the slow engines or the streams that use most of their maximum
	// output have most likely not been seen yet.
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
// The time between events holds for streams of which only a part was seen, since they were cut, moved,
// resumed or left by their clients. Their events are only a lower limit of those of a complete stream:
// they can raise the bound, but don't make it known.
//
// The zero value has no samples.
type RunBoundEstimator struct {
	// paces are times between events at any engine, in ms.
	paces sampleRing
	// engines are the slowest paces of the engines by name. An engine that is rarely used has no
	// pace among the newest ones of all.
	engines map[string]*slowestPace
	// densities are numbers of events for each token of the maximum output, of complete streams
	// and of parts.
	densities, partDensities sampleRing
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

// slowestPace is the slowest of the newest paces of an engine: of one to two times maxBoundSamples.
type slowestPace struct {
	// current is the slowest of the samples that are counted, previous that of maxBoundSamples before.
	current, previous float64
	samples           int
}

func (s *slowestPace) add(eventMs float64) {
	if s.samples == maxBoundSamples {
		s.current, s.previous, s.samples = 0, s.current, 0
	}
	s.current = max(s.current, eventMs)
	s.samples++
}

// ObservePace records the mean time between some events of an engine, in milliseconds.
func (b *RunBoundEstimator) ObservePace(engine string, eventMs float64) {
	b.paces.add(eventMs)
	if b.engines == nil {
		b.engines = map[string]*slowestPace{}
	}
	s, known := b.engines[engine]
	if !known {
		s = &slowestPace{}
		b.engines[engine] = s
	}
	s.add(eventMs)
}

// RemoveEngine removes the slowest pace of an engine that gets no more streams. Its paces among the
// newest ones of all engines remain.
func (b *RunBoundEstimator) RemoveEngine(engine string) { delete(b.engines, engine) }

// slowest returns the slowest pace, in ms.
func (b *RunBoundEstimator) slowest() float64 {
	slowest := slices.Max(b.paces.samples)
	for _, s := range b.engines {
		slowest = max(slowest, s.current, s.previous)
	}
	return slowest
}

// ObserveStream records how many events a stream with this maximum output, in tokens, had until it
// ended by itself.
func (b *RunBoundEstimator) ObserveStream(events, output int) { b.densities.addDensity(events, output) }

// ObservePartialStream records how many events had come of a stream with this maximum output, in
// tokens, when it was cut, moved or left by its client.
func (b *RunBoundEstimator) ObservePartialStream(events, output int) {
	b.partDensities.addDensity(events, output)
}

func (r *sampleRing) addDensity(events, output int) {
	if events >= minStreamEvents && output > 0 {
		r.add(float64(events) / float64(output))
	}
}

// Bound returns the time in ms that no stream with this maximum output is expected to exceed
// from its first event on. It returns false if that is not known.
func (b *RunBoundEstimator) Bound(output int) (float64, bool) {
	if output <= 0 || len(b.paces.samples) < minPaceSamples || len(b.densities.samples) < minStreamSamples {
		return 0, false
	}
	density := slices.Max(b.densities.samples)
	if len(b.partDensities.samples) > 0 {
		density = max(density, slices.Max(b.partDensities.samples))
	}
	events := 1 + streamMargin*density*float64(output)
	return events * paceMargin * b.slowest(), true
}
