package front

import (
	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// wireSteps maps the steps to their wire form.
var wireSteps = map[kumquatlug.PermitStep]frontv1.Step{
	kumquatlug.PermitRequested:      frontv1.Step_STEP_ASKED,
	kumquatlug.PermitQueued:         frontv1.Step_STEP_QUEUED,
	kumquatlug.PermitGranted:        frontv1.Step_STEP_GRANTED,
	kumquatlug.PermitRefused:        frontv1.Step_STEP_REFUSED,
	kumquatlug.PermitNotCoordinator: frontv1.Step_STEP_UNKNOWN,
	kumquatlug.PermitReleased:       frontv1.Step_STEP_OVER,
}

// stepsByWire is the inverse of wireSteps.
var stepsByWire = func() map[frontv1.Step]kumquatlug.PermitStep {
	byWire := map[frontv1.Step]kumquatlug.PermitStep{}
	for step, wire := range wireSteps {
		byWire[wire] = step
	}
	return byWire
}()

func encodePermit(t kumquatlug.Permit) *frontv1.Turn {
	return &frontv1.Turn{
		Step: wireSteps[t.Step], Service: t.Service, Engine: t.Engine, Key: t.Key, Shared: encodeSharedParts(t.Prompt),
		Input: uint32(t.Prompt.Input()), Worth: float32(t.Value), TargetMs: int64(t.LatencyTarget), Timed: t.HasLatencyTarget, PatienceMs: int64(t.ClientTimeout),
		Begun: t.ResponseStarted, WaitMs: int64(t.Wait), Alone: t.EngineIdle, Fresh: uint32(max(t.UncachedTokens, 0)),
	}
}

// Limits of values in messages of other gateways.
const (
	// maxTokens is far above the longest prompt of any engine.
	maxTokens = 100_000_000
	// maxValue is far above the value of any request relative to the mean.
	maxValue = 1e6
	// maxDuration is far above the time that any client waits.
	maxDuration = 3600 * kumquatlug.Second
)

// decodePermit decodes a message about a prompt. Values out of range would disturb the
// queue of an engine for all gateways, so each is clamped. An unknown step decodes to the
// zero step, which matches none.
func decodePermit(t *frontv1.Turn) kumquatlug.Permit {
	clampDuration := func(ms int64) kumquatlug.Millis { return min(max(kumquatlug.Millis(ms), -maxDuration), maxDuration) }
	return kumquatlug.Permit{
		Step: stepsByWire[t.GetStep()], Service: t.GetService(), Engine: t.GetEngine(), Key: t.GetKey(),
		Prompt: decodePrompt(t), Value: clamp(t.GetWorth(), maxValue), UncachedTokens: int(min(t.GetFresh(), maxTokens)),
		LatencyTarget: clampDuration(t.GetTargetMs()), HasLatencyTarget: t.GetTimed(), ClientTimeout: clampDuration(t.GetPatienceMs()),
		ResponseStarted: t.GetBegun(), Wait: clampDuration(t.GetWaitMs()), EngineIdle: t.GetAlone(),
	}
}

func encodeSharedParts(p kumquatlug.Prompt) []*frontv1.Part {
	var shared []*frontv1.Part
	for _, part := range p.Shared() {
		shared = append(shared, &frontv1.Part{Id: part.ID(), Tokens: uint32(max(part.Tokens(), 0))})
	}
	return shared
}

// decodePrompt decodes the shared parts of a prompt; the remaining tokens are private to
// the request.
func decodePrompt(t *frontv1.Turn) kumquatlug.Prompt {
	input := int(min(t.GetInput(), maxTokens))
	parts, remaining := []kumquatlug.Part{}, input
	for _, part := range t.GetShared() {
		tokens := min(int(min(part.GetTokens(), maxTokens)), remaining)
		remaining -= tokens
		parts = append(parts, kumquatlug.NewPart(part.GetId(), tokens))
	}
	return kumquatlug.NewPrompt(append(parts, kumquatlug.NewPart("", remaining)), input, 0)
}

// clamp limits value to the range from zero to limit; NaN gives zero.
func clamp(value float32, limit float64) float64 {
	return clampFloat(float64(value), limit)
}
