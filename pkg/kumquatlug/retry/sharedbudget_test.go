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

// The retries of an earlier window must not count after an idle minute, and an idle minute must not
// allow more than a part of the credit of one window.
func TestSharedBudgetWindowSlides(t *testing.T) {
	s := NewSharedBudget(SharedBudgetConfig{Ratio: 0.2, Window: 10_000})
	// request records 500 requests in the 10 s before a time, worth 100 retries.
	request := func(before kumquatlug.Millis) {
		for at := before - 10_000; at < before; at += 20 {
			s.RecordRequest(at)
		}
	}
	taken := func(now kumquatlug.Millis) int {
		n := 0
		for s.Allow(now) {
			n++
		}
		return n
	}
	if n := taken(0); n != 0 {
		t.Errorf("%d retries at the start, want none", n)
	}
	request(30_000)
	first := taken(30_000)
	if first < 35 || first > 40 {
		t.Errorf("%d retries at once, want 35 to 40", first)
	}
	if n := taken(39_000); first+n > 40 {
		t.Errorf("%d retries in a window without requests, want at most 40", first+n)
	}
	if n := taken(99_000); n != 0 {
		t.Errorf("%d retries a minute after the last request", n)
	}
	request(110_000)
	if n := taken(110_000); n != first {
		t.Errorf("%d retries after an idle minute, want %d", n, first)
	}
}

// Retries that were claimed must not be used after they have expired: the pool gives them to others.
func TestClaimedRetriesExpire(t *testing.T) {
	s := NewSharedBudget(SharedBudgetConfig{MinRetries: 10})
	s.AddClaim(2, 5000)
	if !s.Allow(4999) || s.Allow(5000) {
		t.Error("want one retry before the claim expires and none after it")
	}
}

// One gateway of four restarts while a twentieth of the attempts fail. Callers must get their retries
// there, although the new process doesn't know what the earlier one sent.
func TestSingleRestartedGatewayRetries(t *testing.T) {
	f := newFleet(1, SharedBudgetConfig{Ratio: 0.2, MinRetries: 52, Window: fleetWindow})
	f.add(4, 1)
	f.run(30*kumquatlug.Second, 0)
	restarted := f.gateways[2]
	f.kill(restarted, 500)
	f.run(500, 0)
	wanted, granted := 0, 0
	for range 10 * kumquatlug.Second / fleetStep {
		f.step(0)
		if f.random.IntN(20) == 0 {
			wanted++
			if restarted.process.budget.Allow(f.now) {
				granted++
			}
		}
	}
	if wanted < 5 || granted < wanted*9/10 {
		t.Errorf("%d of %d retries granted in the 10 s after a restart, want nine of ten", granted, wanted)
	}
}
