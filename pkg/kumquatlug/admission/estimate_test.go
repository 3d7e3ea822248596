package admission

import (
	"math/rand/v2"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// learnResponses feeds e with n responses, one per interval. Their output is
// uniform between half and one and a half times output tokens.
func learnResponses(e *Estimator, now kumquatlug.Millis, n int, interval kumquatlug.Millis, output float64) kumquatlug.Millis {
	random := rand.New(rand.NewPCG(1, 1))
	for range n {
		now += interval
		outputTokens := int64(output * (0.5 + random.Float64()))
		e.Observe(now, "caller", draftKind, Observation{PromptTokens: 400, OutputTokens: outputTokens, TimeToFirstToken: 100, DecodeTime: kumquatlug.Millis(outputTokens) * 40, Complete: true})
	}
	return now
}

func TestEstimatesConvergeToObservedResponses(t *testing.T) {
	for _, interval := range []kumquatlug.Millis{10, 10_000} {
		e := NewEstimator(EstimatorConfig{})
		now := learnResponses(e, 0, 2000, interval, 600)
		if mean := e.Output(now, "caller", draftKind, 400); mean < 540 || mean > 660 {
			t.Errorf("interval %d ms: mean output %d, want 600", interval, mean)
		}
		// The output is uniform between 300 and 900; its 90th percentile is 840.
		if high := e.OutputP90(now, "caller", draftKind, 400); high < 750 || high > 930 {
			t.Errorf("interval %d ms: high output %d, want 840", interval, high)
		}
		if s := e.ServiceTime(now, "caller", draftKind, 400); s < 30_000 || s > 39_000 {
			t.Errorf("interval %d ms: service time %d, want the first token and 840 gaps of 40 ms", interval, s)
		}
		if other := e.Output(now, "caller", draftKind, 40_000); other != 200 {
			t.Errorf("long prompts: mean output %d, want the initial 200", other)
		}
	}
}

func TestHighEstimateDecaysWithoutResponses(t *testing.T) {
	// For a minute every response takes longer than callers wait. Without decay,
	// all later requests are refused, no new samples arrive, and the refusals go on
	// with idle engines until the gateway restarts.
	e := NewEstimator(EstimatorConfig{})
	now := kumquatlug.Millis(0)
	for range 1000 {
		now += 60
		e.Observe(now, "caller", draftKind, Observation{PromptTokens: 400, OutputTokens: 100, TimeToFirstToken: 30_000, DecodeTime: 30_000})
	}
	if s := e.ServiceTime(now, "caller", draftKind, 400); s < 30_000 {
		t.Fatalf("service time %d after a minute of slow responses, want at least 30000", s)
	}
	if s := e.ServiceTime(now+3*kumquatlug.Minute, "caller", draftKind, 400); s > 10_000 {
		t.Errorf("service time %d after three minutes without responses, want at most 10000", s)
	}
}

func TestFewOutliersBarelyChangeServiceTime(t *testing.T) {
	// After the loss of a target its requests take long on other targets. The
	// service time of all other requests is unchanged.
	e := NewEstimator(EstimatorConfig{})
	now := learnResponses(e, 0, 500, 100, 150)
	before := e.ServiceTime(now, "caller", draftKind, 400)
	for range 10 {
		e.Observe(now, "caller", draftKind, Observation{PromptTokens: 400, TimeToFirstToken: 60_000})
	}
	if after := e.ServiceTime(now, "caller", draftKind, 400); after > before+200 {
		t.Errorf("ten outliers change the service time from %d to %d", before, after)
	}
}
