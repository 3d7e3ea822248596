package learn

import "testing"

// Guards against late streams that are cut at the exit because the clients of all streams seen so far left
// after a few events.
func TestRunBoundOfStreamsThatClientsLeftIsNotTooShort(t *testing.T) {
	const output, events, left, pace = 256, 70, 6, 50.0
	var b RunBoundEstimator
	for range 40 {
		b.ObservePace(pace)
		b.ObserveStream(left, output)
	}
	if bound, known := b.Bound(output); known && bound < events*pace {
		t.Errorf("bound of %.0f ms, want unknown or at least the %.0f ms of a whole stream", bound, events*pace)
	}
}
