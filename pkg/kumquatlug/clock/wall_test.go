package clock

import (
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The time of day jumps back and forth by seconds while requests are counted by time windows.
// If the clock followed it, requests would be counted in the wrong windows.
func TestWallClockIgnoresTimeOfDaySteps(t *testing.T) {
	boottime := NewManual(5000)
	before := kumquatlug.Millis(time.Now().UnixMilli())
	w := NewWall(boottime)
	if now := w.Now(); now < before || now > before+kumquatlug.Minute {
		t.Fatalf("clock starts at %d, want the time of day, %d", now, before)
	}
	start := w.Now()
	if w.Now() != start {
		t.Error("the clock advances without its boot-time clock")
	}
	boottime.Advance(7000)
	if w.Now() != start+7000 {
		t.Errorf("advanced by %d ms, want 7,000", w.Now()-start)
	}
}
