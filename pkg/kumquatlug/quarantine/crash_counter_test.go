package quarantine

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A request crashes each worker that runs it, and is sent through three
// gateways in turn. Each reports to the others; after three crashes all
// gateways refuse it, and the rest of the group stays up.
func TestCrashingRequestIsRefusedByEveryGateway(t *testing.T) {
	gateways := []*CrashCounter{NewCrashCounter(CrashCounterConfig{}), NewCrashCounter(CrashCounterConfig{}), NewCrashCounter(CrashCounterConfig{})}
	f := Fingerprint("bad")
	crashes := 0
	for i := range 30 {
		now := kumquatlug.Millis(i * 500)
		if gateways[i%3].Refused(now, f) {
			continue
		}
		crashes++
		for _, other := range gateways {
			other.Crashed(now, f, fmt.Sprint(i))
		}
	}
	if crashes != 3 {
		t.Errorf("%d crashes, want 3", crashes)
	}
}

// The same crash is reported twice, by the gateway that saw it and by the
// store. It must count once, and not at all after Retention.
func TestCrashCountsOnceAndExpires(t *testing.T) {
	s := NewCrashCounter(CrashCounterConfig{MaxRequests: 2})
	for range 5 {
		s.Crashed(0, "f", "one")
	}
	if s.Refused(1, "f") {
		t.Error("one crash reported repeatedly counts more than once")
	}
	s.Crashed(0, "f", "two")
	s.Crashed(0, "f", "three")
	if !s.Refused(1, "f") || s.Refused(2*kumquatlug.Minute, "f") {
		t.Error("three crashes must refuse the request and expire after Retention")
	}
	s.Crashed(0, "g", "x")
	s.Crashed(0, "h", "x")
	if len(s.reports) != 2 {
		t.Errorf("%d requests remembered, want 2", len(s.reports))
	}
	s.RemoveExpired(2 * kumquatlug.Minute)
	if s.HasCrashes() {
		t.Error("expired crashes are kept")
	}
}
