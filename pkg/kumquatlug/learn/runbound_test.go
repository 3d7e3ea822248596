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

// Most streams run at engines of 0.55 times the mean pace and are cut after a few events, one in
// fifty runs as a whole at an engine of 1.2 times the mean pace. The bound must cover that one.
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
