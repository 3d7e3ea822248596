package pace

import (
	"fmt"
	"math"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// observed returns a Service of four workers of which the first takes twice as long, with
// samples in the 20 ms rounds before now.
func observed(now kumquatlug.Millis, rounds int) *Service {
	s := New()
	for i := range 4 {
		s.Add(now, fmt.Sprint(i), 1)
		s.ReportFactor(now-2000, fmt.Sprint(i), 1)
	}
	for n := range rounds {
		for i := range 4 {
			took := 10.0
			if i == 0 {
				took = 20
			}
			s.Observe(now-20*kumquatlug.Millis(rounds-n), fmt.Sprint(i), KindPlain, took)
		}
	}
	return s
}

// A site whose workers report no factor must be served as before, whatever its measured times.
func TestInactiveWithoutFactors(t *testing.T) {
	s := New()
	s.Add(0, "a", 1)
	s.Add(0, "b", 1)
	for n := range kumquatlug.Millis(50) {
		s.Observe(n, "a", KindPlain, 100)
		s.Observe(n, "b", KindPlain, 10)
	}
	if s.Active() || s.WorkTime(50, "a", 100) != 1 || s.Known(50, "a") || len(s.Outgoing(50, 4)) > 0 {
		t.Error("speeds in use without a reported factor")
	}
}

// A restart takes the worker's row away for seconds or changes its start time. With its speed
// forgotten, a slow engine would get as many prompts as the others for seconds.
func TestRestartKeepsSpeedWithLessWeight(t *testing.T) {
	s := observed(0, 30)
	before := s.RelativeTime(100, "0")
	s.Remove(100, "0")
	s.Add(4000, "0", 2)
	after := s.RelativeTime(4000, "0")
	if before < 1.5 || math.Abs(after-before) > 0.15*before {
		t.Errorf("relative time %.2f before the restart, %.2f after it", before, after)
	}
	if w := s.workers["0"]; w.weight > restartSamples {
		t.Errorf("weight %.1f after the restart", w.weight)
	}
	for i := range kumquatlug.Millis(60) {
		s.Observe(4000+20*i, "0", KindPlain, 10)
	}
	if now := s.RelativeTime(5200, "0"); now > 1.25 {
		t.Errorf("relative time %.2f after the worker came back faster", now)
	}
}

// One faulty peer, or values that are no speeds, must not change what the others know.
func TestPeersAreBounded(t *testing.T) {
	s := observed(0, 3)
	for i := range 6 {
		s.Receive(50, fmt.Sprint("peer", i), kumquatlug.WorkerSpeed{Worker: "1", RelativeTime: 1, Samples: 4})
	}
	for _, invalid := range []float64{0, -1, math.NaN(), math.Inf(1), 0.01, 50} {
		s.Receive(50, "faulty", kumquatlug.WorkerSpeed{Worker: "1", RelativeTime: invalid, Samples: 16, TimeFactor: invalid})
	}
	before := s.RelativeTime(50, "1")
	s.Receive(60, "faulty", kumquatlug.WorkerSpeed{Worker: "1", RelativeTime: 20, Samples: 1 << 30})
	if after := s.RelativeTime(60, "1"); after > 1.2*before {
		t.Errorf("relative time %.2f, %.2f with a faulty peer", before, after)
	}
	for i := range 1000 {
		s.Receive(70, fmt.Sprint(i), kumquatlug.WorkerSpeed{Worker: "1", RelativeTime: 1, Samples: 1})
		s.Receive(70, fmt.Sprint(i), kumquatlug.WorkerSpeed{Worker: fmt.Sprint("unknown", i), RelativeTime: 1, Samples: 1})
	}
	if len(s.workers["1"].peers) > maxPeers || len(s.workers) != 4 {
		t.Errorf("%d peers, %d workers kept", len(s.workers["1"].peers), len(s.workers))
	}
	if s.RelativeTime(70+10*peerRetention, "3") != s.RelativeTime(70+10*peerRetention, "3") {
		t.Error("NaN after all samples have aged")
	}
}

// A report from half a second ago must not keep work away from a worker, or attract it, when
// spans last 600 ms; and for work of seconds a span counts for its part only.
func TestFactorDecays(t *testing.T) {
	s := observed(0, 30)
	s.ReportFactor(1000, "1", 2.5)
	for _, c := range []struct {
		now      kumquatlug.Millis
		duration float64
		min, max float64
	}{{1000, 0, 2.3, 2.5}, {1000, 4000, 1, 1.3}, {1300, 0, 1.4, 1.8}, {3000, 0, 1, 1.2}} {
		if f := s.ExpectedFactor(c.now, "1", c.duration); f < c.min || f > c.max {
			t.Errorf("factor %.2f at %d for %.0f ms", f, c.now, c.duration)
		}
	}
}

// Spans of a site may last 100 ms or 2 s. A fixed time constant would trust reports for too long
// there, or use none of them.
func TestSpanLengthIsLearned(t *testing.T) {
	for _, span := range []kumquatlug.Millis{120, 2000} {
		r := newReplay(9)
		for _, e := range r.engines[:8] {
			s := r.gateways[0]
			for range 3000 {
				r.now += 50
				if r.now >= e.idleUntil {
					e.slowUntil = r.now + kumquatlug.Millis(float64(span)*r.random.ExpFloat64())
					e.idleUntil = e.slowUntil + 6*span
				}
				factor := 1.0
				if r.now < e.slowUntil {
					factor = 2.5
				}
				s.ReportFactor(r.now, e.id, factor)
			}
		}
		if learned := r.gateways[0].factors.spanMs; learned < float64(span)/3 || learned > float64(span)*2 {
			t.Errorf("time constant %.0f ms for spans of %d ms", learned, span)
		}
	}
}
