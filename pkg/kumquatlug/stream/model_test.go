package stream

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
)

// responseLength is the length of the oracle's response in tokens.
const responseLength = 12

func tokenAt(i int) string { return fmt.Sprintf("w%d ", i) }

// model is a response that is being assembled, the attempts of its engines, and
// the text that the caller has received. The oracle's response consists of
// tokenAt(0) to tokenAt(responseLength-1).
type model struct {
	assembler  *Assembler
	attempt    int
	startIndex map[int]int
	received   strings.Builder
	complete   bool
	failed     bool
}

func newModel() *model {
	a, err := New(Config{Request: requestID, MaxReorderTokens: responseLength})
	if err != nil {
		panic(err)
	}
	m := &model{assembler: a, startIndex: map[int]int{}}
	m.startAttempt(0)
	return m
}

// startAttempt begins an attempt whose engine repeats some tokens before the resume
// position.
func (m *model) startAttempt(repeat int) {
	attempt, position, ok := m.assembler.Start()
	if !ok {
		m.failed = true
		return
	}
	m.attempt = attempt
	m.startIndex[attempt] = max(0, position-repeat)
}

func (m *model) apply(s Result, repeat int) {
	for _, token := range s.Tokens() {
		m.received.WriteString(token)
	}
	switch s.Action() {
	case ActionResume:
		m.startAttempt(repeat)
	case ActionComplete:
		m.complete = true
	case ActionFail:
		m.failed = true
	}
}

// violation returns how the received text contradicts the oracle's response, or an
// empty string.
func (m *model) violation() string {
	var want strings.Builder
	for i := range responseLength {
		want.WriteString(tokenAt(i))
	}
	if !strings.HasPrefix(want.String(), m.received.String()) {
		return fmt.Sprintf("the caller received %q, which is no prefix of the response", m.received.String())
	}
	if m.complete && want.String() != m.received.String() {
		return fmt.Sprintf("the response is complete, but the caller received %q", m.received.String())
	}
	return ""
}

// finishAttempt runs the current attempt to its end without faults.
func (m *model) finishAttempt() {
	for i := m.startIndex[m.attempt]; i < responseLength && !m.failed; i++ {
		m.apply(m.assembler.Chunk(NewChunk(requestID, m.attempt, i, tokenAt(i))), 0)
	}
	m.apply(m.assembler.End(NewEnd(requestID, m.attempt, responseLength, "stop", Usage{})), 0)
}

var eventKinds = []string{"chunk", "chunk", "chunk", "next", "next", "next", "late", "other-request", "disconnect", "end", "diverge", "finish"}

func applyEvent(sut commands.SystemUnderTest, e proof.Event) commands.Result {
	m := sut.(*model)
	random := rand.New(rand.NewSource(e.Seed))
	firstIndex := m.startIndex[m.attempt] + random.Intn(responseLength-m.startIndex[m.attempt]+1)
	attempt, eventRequestID, suffix := m.attempt, requestID, ""
	switch e.Kind {
	case "next":
		firstIndex = len(m.assembler.SentTokens())
	case "late":
		attempt = 1 + random.Intn(m.attempt)
		firstIndex = random.Intn(responseLength)
		// The tokens of an earlier attempt may differ, as it was another generation.
		if attempt != m.attempt {
			suffix = "x"
		}
	case "other-request":
		eventRequestID, suffix = "r-2", "x"
	case "diverge":
		firstIndex, suffix = 0, "x"
	case "disconnect":
		m.apply(m.assembler.ConnectionClosed(requestID, 1+random.Intn(m.attempt)), random.Intn(3))
		return m.violation()
	case "end":
		m.apply(m.assembler.End(NewEnd(requestID, m.attempt, responseLength, "stop", Usage{})), random.Intn(3))
		return m.violation()
	case "finish":
		if random.Intn(4) == 0 {
			m.finishAttempt()
		}
		return m.violation()
	}
	if e.Kind == "diverge" && len(m.assembler.SentTokens()) == 0 {
		return m.violation()
	}
	var tokens []string
	for i := firstIndex; i < min(responseLength, firstIndex+1+random.Intn(4)); i++ {
		tokens = append(tokens, tokenAt(i)+suffix)
	}
	m.apply(m.assembler.Chunk(NewChunk(eventRequestID, attempt, firstIndex, tokens...)), random.Intn(3))
	return m.violation()
}

func TestProofCallerReadsExactResponse(t *testing.T) {
	// Engines crash in the middle of a response, streams end without their end
	// marker, and chunks arrive late, twice, out of order or for another request.
	// In a failure the caller misses tokens, receives them twice, or takes a
	// partial response for a complete one.
	completed, failed := 0, 0
	proof.Run(t, proof.Config{
		Property: "the caller receives exactly the oracle's response",
		Seed:     5, Runs: 300, Steps: 40,
		StepGen:   proof.Events(eventKinds, applyEvent),
		NewSystem: func() commands.SystemUnderTest { return newModel() },
		Cleanup: func(sut commands.SystemUnderTest) {
			m := sut.(*model)
			if m.complete {
				completed++
			} else if m.failed {
				failed++
			}
		},
	})
	t.Logf("%d complete, %d failed", completed, failed)
	if completed == 0 || failed == 0 {
		t.Error("the runs did not cover both complete and failed responses")
	}
}
