package gateway

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// BenchmarkScaleUnlockAndSend releases the scheduler's lock at a site with 10,000 engines, which
// happens several times for each request.
func BenchmarkScaleUnlockAndSend(b *testing.B) {
	sc := newScheduler(Config{Name: "front-0", Zone: "a", BootClock: clock.NewBoottime()})
	var members []kumquatlug.Member
	for i := range 10_000 {
		role := kumquatlug.RolePrefill
		if i%3 == 0 {
			role = kumquatlug.RoleDecode
		}
		members = append(members, kumquatlug.Member{
			Worker: kumquatlug.NewWorker(fmt.Sprint("e", i), "10.0.0.1:1"), Service: "s", Zone: "a", State: kumquatlug.MemberReady, Slots: 64, Role: role,
		})
	}
	sc.syncMembers(0, map[string][]kumquatlug.Member{"s": members})
	for b.Loop() {
		sc.mu.Lock()
		sc.unlockAndSend()
	}
}
