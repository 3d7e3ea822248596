package front

import (
	"github.com/kumquatlug/kumquatlug/internal/front/frontv1"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// steps are the steps of a turn as they are sent.
var steps = map[kumquatlug.TurnStep]frontv1.Step{
	kumquatlug.TurnAsked:   frontv1.Step_STEP_ASKED,
	kumquatlug.TurnQueued:  frontv1.Step_STEP_QUEUED,
	kumquatlug.TurnGranted: frontv1.Step_STEP_GRANTED,
	kumquatlug.TurnRefused: frontv1.Step_STEP_REFUSED,
	kumquatlug.TurnUnknown: frontv1.Step_STEP_UNKNOWN,
	kumquatlug.TurnOver:    frontv1.Step_STEP_OVER,
}

// stepsSent is the same the other way.
var stepsSent = func() map[frontv1.Step]kumquatlug.TurnStep {
	back := map[frontv1.Step]kumquatlug.TurnStep{}
	for step, sent := range steps {
		back[sent] = step
	}
	return back
}()

func encode(t kumquatlug.Turn) *frontv1.Turn {
	return &frontv1.Turn{
		Step: steps[t.Step], Service: t.Service, Engine: t.Engine, Key: t.Key, Shared: encodeShared(t.Prompt),
		Input: uint32(t.Prompt.Input()), Worth: float32(t.Worth), TargetMs: int64(t.Target), Timed: t.Timed, PatienceMs: int64(t.Patience),
		Begun: t.Begun, WaitMs: int64(t.Wait), Alone: t.Alone, Fresh: uint32(max(t.Fresh, 0)),
	}
}

// Bounds of what a turn of another front may say.
const (
	// mostTokens is far above the longest prompt of any engine.
	mostTokens = 100_000_000
	// mostWorth is far above what a request is worth beside the mean one.
	mostWorth = 1e6
	// mostSpan is far above what any client waits.
	mostSpan = 3600 * kumquatlug.Second
)

// decode reads a turn. Figures that make no sense would upset the queue of an
// engine for all fronts, so that each is brought into its bounds; a step that is
// not known is none.
func decode(t *frontv1.Turn) kumquatlug.Turn {
	span := func(ms int64) kumquatlug.Millis { return min(max(kumquatlug.Millis(ms), -mostSpan), mostSpan) }
	return kumquatlug.Turn{
		Step: stepsSent[t.GetStep()], Service: t.GetService(), Engine: t.GetEngine(), Key: t.GetKey(),
		Prompt: decodePrompt(t), Worth: bounded(t.GetWorth(), mostWorth), Fresh: int(min(t.GetFresh(), mostTokens)),
		Target: span(t.GetTargetMs()), Timed: t.GetTimed(), Patience: span(t.GetPatienceMs()),
		Begun: t.GetBegun(), Wait: span(t.GetWaitMs()), Alone: t.GetAlone(),
	}
}

func encodeShared(p kumquatlug.Prompt) []*frontv1.Part {
	var shared []*frontv1.Part
	for _, part := range p.Shared() {
		shared = append(shared, &frontv1.Part{Id: part.ID(), Tokens: uint32(max(part.Tokens(), 0))})
	}
	return shared
}

// decodePrompt reads the shared parts of a prompt; the rest is the request's own.
func decodePrompt(t *frontv1.Turn) kumquatlug.Prompt {
	input := int(min(t.GetInput(), mostTokens))
	parts, rest := []kumquatlug.Part{}, input
	for _, part := range t.GetShared() {
		tokens := min(int(min(part.GetTokens(), mostTokens)), rest)
		rest -= tokens
		parts = append(parts, kumquatlug.NewPart(part.GetId(), tokens))
	}
	return kumquatlug.NewPrompt(append(parts, kumquatlug.NewPart("", rest)), input, 0)
}

// bounded brings a figure between zero and most; what is no number is zero.
func bounded(figure float32, most float64) float64 {
	if !(figure >= 0) {
		return 0
	}
	return min(float64(figure), most)
}
