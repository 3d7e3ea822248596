package front

import (
	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

var wireStreamVersionSteps = map[kumquatlug.StreamVersionStep]frontv1.StreamVersionStep{
	kumquatlug.StreamVersionRecorded:    frontv1.StreamVersionStep_STREAM_VERSION_STEP_RECORDED,
	kumquatlug.StreamVersionAsked:       frontv1.StreamVersionStep_STREAM_VERSION_STEP_ASKED,
	kumquatlug.StreamVersionAnswered:    frontv1.StreamVersionStep_STREAM_VERSION_STEP_ANSWERED,
	kumquatlug.StreamVersionDetermined:  frontv1.StreamVersionStep_STREAM_VERSION_STEP_DETERMINED,
	kumquatlug.StreamVersionSelecting:   frontv1.StreamVersionStep_STREAM_VERSION_STEP_SELECTING,
	kumquatlug.StreamVersionConflicting: frontv1.StreamVersionStep_STREAM_VERSION_STEP_CONFLICTING,
}

// SendStreamVersion implements [kumquatlug.GatewayLink].
func (l *Link) SendStreamVersion(gateway string, v kumquatlug.StreamVersion) {
	l.sendTo(gateway, &frontv1.Datagram{StreamVersion: &frontv1.StreamVersion{
		Step: wireStreamVersionSteps[v.Step], Service: v.Service, Attempt: v.Attempt, Version: v.Version, Key: v.Key, FromMs: int64(v.ChangedAt),
	}})
}

func handleStreamVersion(d *frontv1.Datagram, h kumquatlug.GatewayHandler) {
	v := d.GetStreamVersion()
	if v == nil {
		return
	}
	decoded := kumquatlug.StreamVersion{Service: v.GetService(), Attempt: v.GetAttempt(), Version: v.GetVersion(), Key: v.GetKey(), ChangedAt: kumquatlug.Millis(v.GetFromMs())}
	for step, wire := range wireStreamVersionSteps {
		if wire == v.GetStep() {
			decoded.Step = step
		}
	}
	h.StreamVersionReceived(d.GetFrom(), decoded)
}
