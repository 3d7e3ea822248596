package admission

import (
	"math/rand/v2"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// learnAnswers teaches e answers whose output varies by a factor of two around a
// mean and that come every gap.
func learnAnswers(e *Estimator, now kumquatlug.Millis, n int, interval kumquatlug.Millis, output float64) kumquatlug.Millis {
	random := rand.New(rand.NewPCG(1, 1))
	for range n {
		now += interval
		outputTokens := int64(output * (0.5 + random.Float64()))
		e.Learn(now, "desk", draftKind, Observed{Prompt: 400, Output: outputTokens, First: 100, Rest: kumquatlug.Millis(outputTokens) * 40, Whole: true})
	}
	return now
}

func TestEstimatesConvergeToObservedAnswers(t *testing.T) {
	for _, interval := range []kumquatlug.Millis{10, 10_000} {
		e := NewEstimator(EstimatorConfig{})
		now := learnAnswers(e, 0, 2000, interval, 600)
		if mean := e.Output(now, "desk", draftKind, 400); mean < 540 || mean > 660 {
			t.Errorf("every %d ms: mean %d, want 600", interval, mean)
		}
		// The output lies evenly between 300 and 900, nine tenths below 840.
		if high := e.HighOutput(now, "desk", draftKind, 400); high < 750 || high > 930 {
			t.Errorf("every %d ms: high %d, want 840", interval, high)
		}
		if s := e.Service(now, "desk", draftKind, 400); s < 30_000 || s > 39_000 {
			t.Errorf("every %d ms: service %d, want 840 gaps of 40 and the first token", interval, s)
		}
		if other := e.Output(now, "desk", draftKind, 40_000); other != 200 {
			t.Errorf("documents are taken for questions: %d", other)
		}
	}
}

func TestHighEstimateDecaysWithoutAnswers(t *testing.T) {
	// For a minute every answer took longer than callers wait. All that asks is
	// refused as hopeless from then on, nothing new is learned, and the callers
	// are refused in front of idle engines until somebody restarts the entry.
	e := NewEstimator(EstimatorConfig{})
	now := kumquatlug.Millis(0)
	for range 1000 {
		now += 60
		e.Learn(now, "desk", draftKind, Observed{Prompt: 400, Output: 100, First: 30_000, Rest: 30_000})
	}
	if s := e.Service(now, "desk", draftKind, 400); s < 30_000 {
		t.Fatalf("service %d does not show the bad minute", s)
	}
	if s := e.Service(now+3*kumquatlug.Minute, "desk", draftKind, 400); s > 10_000 {
		t.Errorf("three minutes later service is still %d", s)
	}
}

func TestFewOutliersBarelyChangeServiceTime(t *testing.T) {
	// A target is lost, and what it had in hand waits long elsewhere. Nobody
	// else's request takes longer for that.
	e := NewEstimator(EstimatorConfig{})
	now := learnAnswers(e, 0, 500, 100, 150)
	before := e.Service(now, "desk", draftKind, 400)
	for range 10 {
		e.Learn(now, "desk", draftKind, Observed{Prompt: 400, First: 60_000})
	}
	if after := e.Service(now, "desk", draftKind, 400); after > before+200 {
		t.Errorf("ten outliers move the service time from %d to %d", before, after)
	}
}
