package retry

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Every attempt fails at every front for half a minute. In no window may all
// fronts together send more than the ratio and the floor allow, however the
// windows lie.
func TestSharedBudgetHoldsInEveryWindow(t *testing.T) {
	const fronts, window, floor = 3, 10 * kumquatlug.Second, 52
	c := SharedConfig{Ratio: 0.2, Floor: floor, Window: window}
	var all []*Shared
	for range fronts {
		s := NewShared(c)
		s.SetFronts(fronts)
		all = append(all, s)
	}
	var repeats, requests []kumquatlug.Millis
	for now := kumquatlug.Millis(0); now < 40*kumquatlug.Second; now += 10 {
		for _, s := range all {
			if now%50 == 0 {
				s.Request(now)
				requests = append(requests, now)
			}
			if s.Take(now) {
				repeats = append(repeats, now)
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
		if n, allowed := in(repeats, from), int(0.2*float64(in(requests, from)))+floor; n > allowed {
			t.Fatalf("%d repeats in the window from %d ms, allowed %d", n, from, allowed)
		}
	}
	if n := in(repeats, 20*kumquatlug.Second); n < 100 {
		t.Errorf("only %d repeats in a window", n)
	}
}

// A quiet minute passes: the counts of before must not hold a repeat back.
func TestSharedBudgetWindowSlides(t *testing.T) {
	s := NewShared(SharedConfig{Floor: 10, Window: 10_000})
	taken := 0
	for s.Take(0) {
		taken++
	}
	if taken != 8 {
		t.Errorf("%d repeats at once, want four fifths of the floor", taken)
	}
	if s.Take(9_000) || !s.Take(70_000) {
		t.Error("the window does not slide")
	}
}
