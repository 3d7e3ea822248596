package quarantine

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A request ends each worker that runs it, and comes again through three fronts
// in turn. Each tells the others; after three crashes nobody sends it any more,
// and the rest of the group stays up.
func TestCrashingRequestIsRefusedByEveryFront(t *testing.T) {
	fronts := []*Suspects{NewSuspects(SuspectsConfig{}), NewSuspects(SuspectsConfig{}), NewSuspects(SuspectsConfig{})}
	f := Fingerprint("bad")
	crashes := 0
	for i := range 30 {
		now := kumquatlug.Millis(i * 500)
		if fronts[i%3].Refused(now, f) {
			continue
		}
		crashes++
		for _, other := range fronts {
			other.Crashed(now, f, fmt.Sprint(i))
		}
	}
	if crashes != 3 {
		t.Errorf("%d crashes", crashes)
	}
}

// The same crash is told twice, by the front that saw it and by the store. It
// counts once, and after a while not at all.
func TestCrashCountsOnceAndExpires(t *testing.T) {
	s := NewSuspects(SuspectsConfig{Most: 2})
	for range 5 {
		s.Crashed(0, "f", "one")
	}
	if s.Refused(1, "f") {
		t.Error("one crash counts as many")
	}
	s.Crashed(0, "f", "two")
	s.Crashed(0, "f", "three")
	if !s.Refused(1, "f") || s.Refused(2*kumquatlug.Minute, "f") {
		t.Error("three crashes count for a minute")
	}
	s.Crashed(0, "g", "x")
	s.Crashed(0, "h", "x")
	if len(s.reports) != 2 {
		t.Errorf("%d requests are remembered", len(s.reports))
	}
	s.Forget(2 * kumquatlug.Minute)
	if s.Any() {
		t.Error("old crashes are kept")
	}
}
