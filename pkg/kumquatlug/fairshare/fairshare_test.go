package fairshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// onTimeCount counts the requests of an account and those that were served in time.
type onTimeCount struct{ requests, onTime int }

// simulate runs a queue for two minutes that serves 100 requests a second, those with the
// greatest weight first. Each request waits for 300 ms at most. Twenty accounts send 70
// requests a second together, account 0 half of them; account 5 sends bursts in addition.
func simulate(weight func(now kumquatlug.Millis, account string) float64, burst func(now kumquatlug.Millis) int) map[string]*onTimeCount {
	type waiting struct {
		account string
		weight  float64
		until   kumquatlug.Millis
	}
	random := rand.New(rand.NewPCG(3, 4))
	var queue []waiting
	counts := map[string]*onTimeCount{}
	request := func(now kumquatlug.Millis, name string) {
		if counts[name] == nil {
			counts[name] = &onTimeCount{}
		}
		w := weight(now, name)
		if now > 60_000 {
			counts[name].requests++
		}
		at := slices.IndexFunc(queue, func(o waiting) bool { return o.weight < w })
		if at < 0 {
			at = len(queue)
		}
		queue = slices.Insert(queue, at, waiting{name, w, now + 300})
	}
	for now := kumquatlug.Millis(0); now < 120_000; now += 10 {
		if random.Float64() < 0.35 {
			request(now, "0")
		}
		if random.Float64() < 0.35 {
			request(now, fmt.Sprint(1+random.IntN(19)))
		}
		for range burst(now) {
			request(now, "5")
		}
		queue = slices.DeleteFunc(queue, func(o waiting) bool { return o.until < now })
		if len(queue) > 0 {
			if now > 60_000 {
				counts[queue[0].account].onTime++
			}
			queue = queue[1:]
		}
	}
	return counts
}

func onTimeFraction(counts map[string]*onTimeCount, except string) float64 {
	requests, onTime := 0, 0
	for name, c := range counts {
		if name != except {
			requests, onTime = requests+c.requests, onTime+c.onTime
		}
	}
	return float64(onTime) / float64(requests)
}

// One account of twenty sends five times the capacity for three of every 15 seconds. Without
// weights, the other accounts lose as much as the account with the bursts.
func TestBurstOfOneAccountLeavesOthersTheirShare(t *testing.T) {
	burst := func(now kumquatlug.Millis) int {
		if now > 60_000 && now%15_000 < 3000 {
			return 5
		}
		return 0
	}
	random := rand.New(rand.NewPCG(5, 6))
	unweighted := onTimeFraction(simulate(func(kumquatlug.Millis, string) float64 { return random.Float64() }, burst), "5")
	shares := New()
	fair := simulate(func(now kumquatlug.Millis, name string) float64 {
		return shares.RecordRequest(now, name, 1) * (0.9 + 0.1*random.Float64())
	}, burst)
	if others := onTimeFraction(fair, "5"); others < 0.95 || unweighted > 0.9 {
		t.Errorf("others in time: %.3f, without weights %.3f", others, unweighted)
	}
	if own := float64(fair["5"].onTime) / float64(fair["5"].requests); own < 0.05 {
		t.Errorf("account with bursts in time: %.3f", own)
	}
}

// Without bursts no account has a lower weight for long, not even one that sends as many
// requests as all others together.
func TestLargeAccountKeepsItsShare(t *testing.T) {
	shares := New()
	counts := simulate(func(now kumquatlug.Millis, name string) float64 { return shares.RecordRequest(now, name, 1) }, func(kumquatlug.Millis) int { return 0 })
	if all, large := onTimeFraction(counts, ""), float64(counts["0"].onTime)/float64(counts["0"].requests); large < all-0.01 {
		t.Errorf("in time: large account %.3f, all accounts %.3f", large, all)
	}
}

// Thousands of accounts come and go. If none were evicted, memory would grow without bound.
func TestIdleAccountsAreEvicted(t *testing.T) {
	shares := New()
	for i := range 3 * maxAccounts {
		shares.RecordRequest(kumquatlug.Millis(i*10), fmt.Sprint(i), 1)
	}
	if n := len(shares.accounts); n > maxAccounts {
		t.Errorf("%d accounts", n)
	}
}
