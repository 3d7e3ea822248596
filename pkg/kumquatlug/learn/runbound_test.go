package learn

import "testing"

// observeStreams records streams of this many events in 1,000 tokens at an engine's pace.
func observeStreams(b *RunBoundEstimator, streams, events int, paceMs float64) {
	for range streams {
		b.ObserveStream(events, 1000)
		b.ObservePace(paceMs)
	}
}

// A gateway that has seen few streams must not claim to know the longest run.
func TestLongestRunOfFewStreamsIsUnknown(t *testing.T) {
	var b RunBoundEstimator
	observeStreams(&b, minStreamSamples-1, 20, 25)
	if ms, known := b.Bound(1000); known {
		t.Errorf("%.0f ms after %d streams", ms, minStreamSamples-1)
	}
	observeStreams(&b, 1, 20, 25)
	if _, known := b.Bound(1000); !known {
		t.Error("not known after enough streams")
	}
	if ms, known := b.Bound(0); known {
		t.Errorf("%.0f ms without a maximum output", ms)
	}
}

// Most streams run at engines of 0.55 times the mean pace and end after a few events, one in fifty
// runs to its maximum output at an engine of 1.2 times the mean pace. The bound must cover that one.
func TestLongestRunIsThatOfSlowestEngine(t *testing.T) {
	const meanMs, events = 25, 20
	var b RunBoundEstimator
	for range 5 {
		observeStreams(&b, 1, events, 1.2*meanMs)
		observeStreams(&b, 49, 4, 0.55*meanMs)
	}
	if ms, known := b.Bound(1000); !known || ms < events*1.2*meanMs {
		t.Errorf("%.0f ms, known %v, for a stream of %.0f ms", ms, known, events*1.2*meanMs)
	}
}

// Guards against late streams that are cut at the exit because the clients of all streams seen so far left
// after a few events.
func TestRunBoundOfStreamsThatClientsLeftIsNotTooShort(t *testing.T) {
	const output, events, left, pace = 256, 70, 6, 50.0
	var b RunBoundEstimator
	for range 40 {
		b.ObservePace(pace)
		b.ObservePartialStream(left, output)
	}
	if bound, known := b.Bound(output); known && bound < events*pace {
		t.Errorf("bound of %.0f ms, want unknown or at least the %.0f ms of a whole stream", bound, events*pace)
	}
}

// Guards against parts of streams that displace the few complete ones, and against a bound that is
// shorter than a stream of which a part was seen.
func TestPartialStreamsOnlyRaiseTheRunBound(t *testing.T) {
	const output, events, pace = 256, 70, 50.0
	var b RunBoundEstimator
	for range minPaceSamples {
		b.ObservePace(pace)
	}
	for range minStreamSamples - 1 {
		b.ObserveStream(events, output)
	}
	for range 2 * maxBoundSamples {
		b.ObservePartialStream(events, output)
	}
	if bound, known := b.Bound(output); known {
		t.Errorf("bound of %.0f ms from %d complete streams, want unknown", bound, minStreamSamples-1)
	}
	b.ObserveStream(events, output)
	for range 2 * maxBoundSamples {
		b.ObservePartialStream(minStreamEvents, output)
	}
	whole, known := b.Bound(output)
	if !known || whole < events*pace {
		t.Errorf("bound of %.0f ms, known %v, want at least the %.0f ms of a complete stream", whole, known, events*pace)
	}
	b.ObservePartialStream(3*events, output)
	if raised, _ := b.Bound(output); raised < 3*events*pace {
		t.Errorf("bound of %.0f ms, want at least the %.0f ms of the part that was seen", raised, 3*events*pace)
	}
}
