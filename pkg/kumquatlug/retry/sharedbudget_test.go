package retry

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Every attempt fails at every gateway for 40 seconds. In no window may all gateways together
// send more retries than Ratio and MinRetries allow, wherever the window begins.
func TestSharedBudgetHoldsInEveryWindow(t *testing.T) {
	const gateways, window, floor = 3, 10 * kumquatlug.Second, 52
	c := SharedBudgetConfig{Ratio: 0.2, MinRetries: floor, Window: window}
	var all []*SharedBudget
	for range gateways {
		s := NewSharedBudget(c)
		s.SetGateways(gateways)
		all = append(all, s)
	}
	var retries, requests []kumquatlug.Millis
	for now := kumquatlug.Millis(0); now < 40*kumquatlug.Second; now += 10 {
		for _, s := range all {
			if now%50 == 0 {
				s.RecordRequest(now)
				requests = append(requests, now)
			}
			if s.Allow(now) {
				retries = append(retries, now)
			}
		}
	}
	in := func(list []kumquatlug.Millis, from kumquatlug.Millis) int {
		n := 0
		for _, at := range list {
			if at >= from && at < from+window {
				n++
			}
		}
		return n
	}
	for from := kumquatlug.Millis(0); from < 30*kumquatlug.Second; from += 130 {
		if n, allowed := in(retries, from), int(0.2*float64(in(requests, from)))+floor; n > allowed {
			t.Fatalf("%d retries in the window from %d ms, want at most %d", n, from, allowed)
		}
	}
	if n := in(retries, 20*kumquatlug.Second); n < 100 {
		t.Errorf("%d retries in a window, want at least 100", n)
	}
}

// The retries of an earlier window must not count after an idle minute.
func TestSharedBudgetWindowSlides(t *testing.T) {
	s := NewSharedBudget(SharedBudgetConfig{MinRetries: 10, Window: 10_000})
	taken := 0
	for s.Allow(0) {
		taken++
	}
	if taken != 8 {
		t.Errorf("%d retries at once, want four fifths of MinRetries", taken)
	}
	if s.Allow(9_000) || !s.Allow(70_000) {
		t.Error("the window does not slide")
	}
}
