package stream

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/leanovate/gopter/commands"

	"github.com/kumquatlug/kumquatlug/internal/proof"
)

// answerLength is the length of the oracle's answer in tokens.
const answerLength = 12

func tokenAt(i int) string { return fmt.Sprintf("w%d ", i) }

// model is an answer in the making, the engines that work on it, and what the
// caller has read; the oracle's answer is word 0 to answerLength-1.
type model struct {
	assembler  *Answer
	attempt    int
	startIndex map[int]int
	received   strings.Builder
	complete   bool
	failed     bool
}

func newModel() *model {
	a, err := New(Config{Request: requestID, Ahead: answerLength})
	if err != nil {
		panic(err)
	}
	m := &model{assembler: a, startIndex: map[int]int{}}
	m.startAttempt(0)
	return m
}

// startAttempt begins an attempt; its engine repeats some tokens before the position.
func (m *model) startAttempt(repeat int) {
	attempt, position, ok := m.assembler.Start()
	if !ok {
		m.failed = true
		return
	}
	m.attempt = attempt
	m.startIndex[attempt] = max(0, position-repeat)
}

func (m *model) apply(s Step, repeat int) {
	for _, token := range s.Tokens() {
		m.received.WriteString(token)
	}
	switch s.Verdict() {
	case VerdictResume:
		m.startAttempt(repeat)
	case VerdictWhole:
		m.complete = true
	case VerdictFailed:
		m.failed = true
	}
}

// violation returns how the caller's view differs from the oracle's.
func (m *model) violation() string {
	var want strings.Builder
	for i := range answerLength {
		want.WriteString(tokenAt(i))
	}
	if !strings.HasPrefix(want.String(), m.received.String()) {
		return fmt.Sprintf("the caller read %q", m.received.String())
	}
	if m.complete && want.String() != m.received.String() {
		return fmt.Sprintf("whole, but the caller read %q", m.received.String())
	}
	return ""
}

// finishAttempt lets the present attempt run to its end, without any fault.
func (m *model) finishAttempt() {
	for i := m.startIndex[m.attempt]; i < answerLength && !m.failed; i++ {
		m.apply(m.assembler.Chunk(NewChunk(requestID, m.attempt, i, tokenAt(i))), 0)
	}
	m.apply(m.assembler.End(NewEnd(requestID, m.attempt, answerLength, "stop", Usage{})), 0)
}

var eventKinds = []string{"chunk", "chunk", "chunk", "next", "next", "next", "late", "foreign", "cut", "end", "diverge", "finish"}

func applyEvent(sut commands.SystemUnderTest, e proof.Event) commands.Result {
	m := sut.(*model)
	random := rand.New(rand.NewSource(e.Seed))
	firstIndex := m.startIndex[m.attempt] + random.Intn(answerLength-m.startIndex[m.attempt]+1)
	attempt, eventRequestID, suffix := m.attempt, requestID, ""
	switch e.Kind {
	case "next":
		firstIndex = len(m.assembler.Sent())
	case "late":
		attempt = 1 + random.Intn(m.attempt)
		firstIndex = random.Intn(answerLength)
		// A late engine's words may differ: it was another generation.
		if attempt != m.attempt {
			suffix = "x"
		}
	case "foreign":
		eventRequestID, suffix = "r-2", "x"
	case "diverge":
		firstIndex, suffix = 0, "x"
	case "cut":
		m.apply(m.assembler.Cut(requestID, 1+random.Intn(m.attempt)), random.Intn(3))
		return m.violation()
	case "end":
		m.apply(m.assembler.End(NewEnd(requestID, m.attempt, answerLength, "stop", Usage{})), random.Intn(3))
		return m.violation()
	case "finish":
		if random.Intn(4) == 0 {
			m.finishAttempt()
		}
		return m.violation()
	}
	if e.Kind == "diverge" && len(m.assembler.Sent()) == 0 {
		return m.violation()
	}
	var tokens []string
	for i := firstIndex; i < min(answerLength, firstIndex+1+random.Intn(4)); i++ {
		tokens = append(tokens, tokenAt(i)+suffix)
	}
	m.apply(m.assembler.Chunk(NewChunk(eventRequestID, attempt, firstIndex, tokens...)), random.Intn(3))
	return m.violation()
}

func TestProofCallerReadsExactResponse(t *testing.T) {
	// Engines crash in the middle of an answer, streams end without their end
	// mark, chunks come late, twice, out of order and for another request. A
	// caller would read words lost or doubled, or take a part for the whole.
	completed, failed := 0, 0
	proof.Run(t, proof.Config{
		Claim: "the caller reads the oracle's answer",
		Seed:  5, Runs: 300, Steps: 40,
		Command: proof.Events(eventKinds, applyEvent),
		World:   func() commands.SystemUnderTest { return newModel() },
		End: func(sut commands.SystemUnderTest) {
			m := sut.(*model)
			if m.complete {
				completed++
			} else if m.failed {
				failed++
			}
		},
	})
	t.Logf("%d whole, %d failed", completed, failed)
	if completed == 0 || failed == 0 {
		t.Error("the runs did not reach both ends")
	}
}
