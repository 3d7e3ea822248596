package gateway

import "testing"

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
