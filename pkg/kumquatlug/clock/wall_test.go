package clock

import (
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// The time of day jumps by seconds and back while requests are counted by windows. A
// clock that followed it would count them into wrong ones; this one goes by the clock
// of the VM's suspension alone.
func TestWallClockIgnoresTimeOfDaySteps(t *testing.T) {
	boottime := NewManual(5000)
	before := kumquatlug.Millis(time.Now().UnixMilli())
	w := NewWall(boottime)
	if now := w.Now(); now < before || now > before+kumquatlug.Minute {
		t.Fatalf("starts at %d, the time of day was %d", now, before)
	}
	start := w.Now()
	if w.Now() != start {
		t.Error("it goes on while its steady clock stands still")
	}
	boottime.Advance(7000)
	if w.Now() != start+7000 {
		t.Errorf("%d ms on after 7,000", w.Now()-start)
	}
}
