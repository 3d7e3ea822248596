package learn

// Parameters of [PauseEstimator].
const (
	// initialPauseMs is the assumed pause between two events of a stream before any event was
	// seen.
	initialPauseMs = 110.0
	// maxPauseMs limits the estimate: clients disconnect after two seconds without an event,
	// and half of that is needed to resume the stream at another engine.
	maxPauseMs = 1000.0
	// pauseDecay is the factor applied to the longest pause at each event, so that the pauses
	// of a short overload lose their effect after some 1,000 events.
	pauseDecay = 0.999
	// minPauseSamples is the number of events from which the estimate of a group is used.
	minPauseSamples = 24
)

// PauseEstimator estimates the longest usual pause between two events of a stream, at one
// engine or in a group of engines. Engines that run prefill between decode steps pause for a
// third of a second where others pause for a twentieth.
//
// The zero value has no samples.
type PauseEstimator struct {
	longest float64
	events  int
}

// Observe records a pause between two events, in milliseconds.
func (p *PauseEstimator) Observe(pause float64) {
	p.longest = min(max(pause, p.longest*pauseDecay), maxPauseMs)
	p.events++
}

// Longest returns the longest usual pause in milliseconds.
func (p *PauseEstimator) Longest() float64 {
	if p.events == 0 {
		return initialPauseMs
	}
	return p.longest
}

// Reliable reports whether there are enough samples to detect an unusual pause.
func (p *PauseEstimator) Reliable() bool { return p.events >= minPauseSamples }
