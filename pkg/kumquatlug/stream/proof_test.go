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

func word(i int) string { return fmt.Sprintf("w%d ", i) }

// world is an answer in the making, the engines that work on it, and what the
// caller has read; the oracle's answer is word 0 to answerLength-1.
type world struct {
	answer  *Answer
	attempt int
	from    map[int]int
	read    strings.Builder
	whole   bool
	failed  bool
}

func newWorld() *world {
	a, err := New(Config{Request: request, Ahead: answerLength})
	if err != nil {
		panic(err)
	}
	w := &world{answer: a, from: map[int]int{}}
	w.start(0)
	return w
}

// start begins an attempt; its engine repeats some tokens before the position.
func (w *world) start(repeat int) {
	attempt, at, ok := w.answer.Start()
	if !ok {
		w.failed = true
		return
	}
	w.attempt = attempt
	w.from[attempt] = max(0, at-repeat)
}

func (w *world) take(s Step, repeat int) {
	for _, token := range s.Tokens() {
		w.read.WriteString(token)
	}
	switch s.Verdict() {
	case VerdictResume:
		w.start(repeat)
	case VerdictWhole:
		w.whole = true
	case VerdictFailed:
		w.failed = true
	}
}

// check returns how the caller's view differs from the oracle's.
func (w *world) check() string {
	var b strings.Builder
	for i := range answerLength {
		b.WriteString(word(i))
	}
	if !strings.HasPrefix(b.String(), w.read.String()) {
		return fmt.Sprintf("the caller read %q", w.read.String())
	}
	if w.whole && b.String() != w.read.String() {
		return fmt.Sprintf("whole, but the caller read %q", w.read.String())
	}
	return ""
}

// finish lets the present attempt run to its end, without any fault.
func (w *world) finish() {
	for i := w.from[w.attempt]; i < answerLength && !w.failed; i++ {
		w.take(w.answer.Chunk(NewChunk(request, w.attempt, i, word(i))), 0)
	}
	w.take(w.answer.End(NewEnd(request, w.attempt, answerLength, "stop", Usage{})), 0)
}

// event is a command: a kind of event and the numbers that shape it.
type event struct {
	proof.Step
	kind string
	seed int64
}

var kinds = []string{"chunk", "chunk", "chunk", "next", "next", "next", "late", "foreign", "cut", "end", "diverge", "finish"}

func (e event) String() string { return fmt.Sprintf("%s(%d)", e.kind, e.seed) }

// Run implements commands.Command.
func (e event) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	r := rand.New(rand.NewSource(e.seed))
	first := w.from[w.attempt] + r.Intn(answerLength-w.from[w.attempt]+1)
	attempt, id, salt := w.attempt, request, ""
	switch e.kind {
	case "next":
		first = len(w.answer.Sent())
	case "late":
		attempt = 1 + r.Intn(w.attempt)
		first = r.Intn(answerLength)
		// A late engine's words may differ: it was another generation.
		if attempt != w.attempt {
			salt = "x"
		}
	case "foreign":
		id, salt = "r-2", "x"
	case "diverge":
		first, salt = 0, "x"
	case "cut":
		w.take(w.answer.Cut(request, 1+r.Intn(w.attempt)), r.Intn(3))
		return w.check()
	case "end":
		w.take(w.answer.End(NewEnd(request, w.attempt, answerLength, "stop", Usage{})), r.Intn(3))
		return w.check()
	case "finish":
		if r.Intn(4) == 0 {
			w.finish()
		}
		return w.check()
	}
	if e.kind == "diverge" && len(w.answer.Sent()) == 0 {
		return w.check()
	}
	var tokens []string
	for i := first; i < min(answerLength, first+1+r.Intn(4)); i++ {
		tokens = append(tokens, word(i)+salt)
	}
	w.take(w.answer.Chunk(NewChunk(id, attempt, first, tokens...)), r.Intn(3))
	return w.check()
}

func newEvent(kind string, seed int64) commands.Command { return event{kind: kind, seed: seed} }

func TestProofWholeAnswer(t *testing.T) {
	// Engines crash in the middle of an answer, streams end without their end
	// mark, chunks come late, twice, out of order and for another request. A
	// caller would read words lost or doubled, or take a part for the whole.
	wholes, failures := 0, 0
	proof.Run(t, proof.Config{
		Claim: "the caller reads the oracle's answer",
		Seed:  5, Runs: 300, Steps: 40,
		Command: proof.Events(kinds, newEvent),
		World:   func() commands.SystemUnderTest { return newWorld() },
		End: func(sut commands.SystemUnderTest) {
			w := sut.(*world)
			if w.whole {
				wholes++
			} else if w.failed {
				failures++
			}
		},
	})
	t.Logf("%d whole, %d failed", wholes, failures)
	if wholes == 0 || failures == 0 {
		t.Error("the runs did not reach both ends")
	}
}
