package learn

// Figures of [Pause].
const (
	// initialPauseMs is how long an engine is taken to pause between the events of
	// one stream until it has shown it, in ms.
	initialPauseMs = 110.0
	// maxPauseMs bounds what is believed, in ms: clients leave after two seconds
	// without an event, and half of that is needed to go on elsewhere.
	maxPauseMs = 1000.0
	// pauseDecay is the part of the longest pause that is kept with each event,
	// so that the pauses of a crowded second are forgotten after some thousand.
	pauseDecay = 0.999
	// minPauseSamples is how many events make the pauses of a group known.
	minPauseSamples = 24
)

// Pause learns the longest usual pause between two events of one stream, at one
// engine or in a group. Engines that read prompts between the tokens of their
// streams pause for a third of a second where others take a twentieth.
//
// The zero value has seen nothing.
type Pause struct {
	longest float64
	events  int
}

// Saw takes a pause between two events, in ms.
func (p *Pause) Saw(pause float64) {
	p.longest = min(max(pause, p.longest*pauseDecay), maxPauseMs)
	p.events++
}

// Longest returns the longest usual pause in ms.
func (p *Pause) Longest() float64 {
	if p.events == 0 {
		return initialPauseMs
	}
	return p.longest
}

// Known reports whether enough events were seen to tell an unusual pause.
func (p *Pause) Known() bool { return p.events >= minPauseSamples }
