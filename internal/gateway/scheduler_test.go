package gateway

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Clients of one route wait for different times, by a sixth. Taken for clients
// that come back, half of all first tries would count as late on arrival and be
// refused in an overload, while their engines still have time for them. One that
// was refused and does come back has much less time left.
func TestImpatientClientsAreNotTakenForReturningOnes(t *testing.T) {
	d := newScheduler(Config{})
	d.arrive(0, "s", "r", 2000)
	if trying := d.arrive(0, "s", "r", 1700); trying != 0 {
		t.Errorf("a client that waits 1.7 s counts as trying for %d ms", trying)
	}
	if trying := d.arrive(0, "s", "r", 1300); trying < 600 {
		t.Errorf("a client with 1.3 s left counts as trying for %d ms", trying)
	}
	if trying := d.arrive(0, "s", "other", 1300); trying != 0 {
		t.Errorf("routes are mixed up: %d ms", trying)
	}
}

// Two routes ask for prompts of very different length. Judged by length alone the
// short ones would always be read last, though they are worth as much to their
// clients and take a tenth of the time.
func TestAShortRouteIsWorthAsMuchAsALongOne(t *testing.T) {
	sc := newScheduler(Config{})
	long, short := kumquatlug.NewPrompt(nil, 17_000, 10), kumquatlug.NewPrompt(nil, 1400, 10)
	if a, b := sc.worth("s", "long", long), sc.worth("s", "short", short); a != b {
		t.Errorf("the mean request of one route is worth %.2f, of the other %.2f", a, b)
	}
	if twice := sc.worth("s", "short", kumquatlug.NewPrompt(nil, 2900, 10)); twice <= 1 {
		t.Errorf("a request of twice the size is worth %.2f", twice)
	}
	if none := sc.worth("s", "plain", kumquatlug.Prompt{}); none != 1 {
		t.Errorf("a request without a prompt is worth %.2f", none)
	}
}
