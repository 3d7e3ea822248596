package placement

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// SetForwarding records that output of an attempt is being written to its client, or has
// been written. A client that reads slowly blocks the write, and nothing is read from the
// worker meanwhile: its silence is then no sign that the worker is unresponsive or the
// stream has stalled, and the blocked time is no pause of the worker.
func (p *Placer) SetForwarding(now kumquatlug.Millis, t *Attempt, forwarding bool) {
	if t.ended {
		return
	}
	t.forwarding = forwarding
	if forwarding {
		return
	}
	if t.lastOutputAt != 0 {
		t.lastOutputAt = now
	}
	t.worker.lastSeenAt = now
}
