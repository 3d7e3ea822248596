package learn

import "testing"

// observeStreams records streams of this many events in 1,000 tokens at an engine's pace.
func observeStreams(b *RunBoundEstimator, engine string, streams, events int, paceMs float64) {
	for range streams {
		b.ObserveStream(events, 1000)
		b.ObservePace(engine, paceMs)
	}
}

// A gateway that has seen few streams must not claim to know the longest run.
func TestLongestRunOfFewStreamsIsUnknown(t *testing.T) {
	var b RunBoundEstimator
	observeStreams(&b, "d1", minStreamSamples-1, 20, 25)
	if ms, known := b.Bound(1000); known {
		t.Errorf("%.0f ms after %d streams", ms, minStreamSamples-1)
	}
	observeStreams(&b, "d1", 1, 20, 25)
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
		observeStreams(&b, "slow", 1, events, 1.2*meanMs)
		observeStreams(&b, "fast", 49, 4, 0.55*meanMs)
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
		b.ObservePace("d1", pace)
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
		b.ObservePace("d1", pace)
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

// Guards against a bound that is too short for an engine that is rarely used: its pace of 1.2 times the mean
// is more than twice that of 0.55 times, which is all that the newest samples show.
func TestLongestRunCoversEngineThatIsRarelyUsed(t *testing.T) {
	const meanMs, events = 25, 20
	var b RunBoundEstimator
	observeStreams(&b, "slow", 1, events, 1.2*meanMs)
	observeStreams(&b, "fast", 10*maxBoundSamples, events, 0.55*meanMs)
	slow, _ := b.Bound(1000)
	if want := streamMargin * events * paceMargin * 1.2 * meanMs; slow < want {
		t.Errorf("%.0f ms, want at least %.0f", slow, want)
	}
	b.RemoveEngine("slow")
	if fast, known := b.Bound(1000); !known || fast > 0.55/1.2*slow+1 {
		t.Errorf("%.0f ms, known %v, without the slow engine, %.0f with it", fast, known, slow)
	}
}

// Guards against an engine that was slow once and holds the bound up for good.
func TestSlowPaceOfEngineIsForgotten(t *testing.T) {
	var b RunBoundEstimator
	observeStreams(&b, "d1", 1, 20, 500)
	observeStreams(&b, "d1", maxBoundSamples-1, 20, 25)
	slow, _ := b.Bound(1000)
	observeStreams(&b, "d1", 2*maxBoundSamples, 20, 25)
	if now, _ := b.Bound(1000); slow < 500*20 || now > slow/10 {
		t.Errorf("%.0f ms while the engine is slow, %.0f ms later", slow, now)
	}
}
