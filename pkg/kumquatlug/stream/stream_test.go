package stream

import (
	"fmt"
	"strings"
	"testing"
)

const requestID = "r-1"

func startAnswer(t *testing.T, c Config) *Answer {
	t.Helper()
	c.Request = requestID
	a, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	if attempt, position, ok := a.Start(); attempt != 1 || position != 0 || !ok {
		t.Fatalf("first attempt %d at %d, %v", attempt, position, ok)
	}
	return a
}

func expectStep(t *testing.T, s Step, v Verdict, tokens string, position int) {
	t.Helper()
	if got := strings.Join(s.Tokens(), ""); s.Verdict() != v || got != tokens || s.ResumeAt() != position {
		t.Errorf("%q %q at %d, want %q %q at %d", s.Verdict(), got, s.ResumeAt(), v, tokens, position)
	}
}

func TestResumedResponseIsComplete(t *testing.T) {
	// An engine crashes in the middle of an answer. Another one goes on, and
	// what the first had sent still arrives. The caller must read each word
	// once.
	a := startAnswer(t, Config{})
	expectStep(t, a.Chunk(NewChunk(requestID, 1, 0, "a", "b")), VerdictForward, "ab", 2)
	expectStep(t, a.Cut(requestID, 1), VerdictResume, "", 2)
	if attempt, position, ok := a.Start(); attempt != 2 || position != 2 || !ok {
		t.Fatalf("second attempt %d at %d, %v", attempt, position, ok)
	}
	expectStep(t, a.Chunk(NewChunk(requestID, 1, 2, "c", "d")), VerdictDrop, "", 2)
	expectStep(t, a.Chunk(NewChunk("r-2", 2, 2, "x")), VerdictDrop, "", 2)
	expectStep(t, a.Chunk(NewChunk(requestID, 2, 1, "b", "c")), VerdictForward, "c", 3)
	expectStep(t, a.Chunk(NewChunk(requestID, 2, 4, "e")), VerdictDrop, "", 3)
	expectStep(t, a.End(NewEnd(requestID, 2, 5, "stop", NewUsage(7, 9, 3))), VerdictDrop, "", 3)
	expectStep(t, a.Chunk(NewChunk(requestID, 2, 3, "d")), VerdictWhole, "de", 5)
	expectStep(t, a.Cut(requestID, 2), VerdictDrop, "", 5)
	e, ok := a.Ended()
	if !ok || e.Reason() != "stop" || e.Usage() != NewUsage(7, 7, 5) {
		t.Errorf("end = %+v, %v", e, ok)
	}
	if a.Late() != 2 || a.Foreign() != 1 {
		t.Errorf("late %d, foreign %d", a.Late(), a.Foreign())
	}
}

func TestCorruptAttemptsEndAndResume(t *testing.T) {
	// Something between engine and entry garbles a stream. Each kind of damage
	// looks like an ordinary answer to a reader that only forwards.
	cases := map[string]func(a *Answer) Step{
		"end mark before the last token": func(a *Answer) Step {
			a.End(NewEnd(requestID, 1, 3, "stop", Usage{}))
			return a.Cut(requestID, 1)
		},
		"end mark behind the tokens sent": func(a *Answer) Step {
			return a.End(NewEnd(requestID, 1, 1, "stop", Usage{}))
		},
		"token after the end": func(a *Answer) Step {
			a.End(NewEnd(requestID, 1, 3, "stop", Usage{}))
			return a.Chunk(NewChunk(requestID, 1, 2, "c", "d"))
		},
		"other token under a number": func(a *Answer) Step {
			return a.Chunk(NewChunk(requestID, 1, 1, "x", "c"))
		},
		"token too far ahead": func(a *Answer) Step {
			return a.Chunk(NewChunk(requestID, 1, 7, "h"))
		},
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			a := startAnswer(t, Config{Ahead: 4, Attempts: 2})
			a.Chunk(NewChunk(requestID, 1, 0, "a", "b"))
			expectStep(t, corrupt(a), VerdictResume, "", 2)
			if _, position, ok := a.Start(); position != 2 || !ok {
				t.Fatalf("resume at %d, %v", position, ok)
			}
			expectStep(t, a.Cut(requestID, 2), VerdictFailed, "", 2)
			if _, _, ok := a.Start(); ok {
				t.Error("a third attempt began")
			}
		})
	}
}

func ExampleAnswer() {
	a, _ := New(Config{Request: "r-1"})
	attempt, _, _ := a.Start()
	fmt.Println(a.Chunk(NewChunk("r-1", attempt, 0, "one", "garment")).Tokens())
	fmt.Println(a.Cut("r-1", attempt).Verdict())
	attempt, position, _ := a.Start()
	fmt.Println(attempt, position, a.Chunk(NewChunk("r-1", attempt, position, "left")).Tokens())
	fmt.Println(a.End(NewEnd("r-1", attempt, 3, "stop", Usage{})).Verdict())
	// Output:
	// [one garment]
	// resume
	// 2 2 [left]
	// whole
}
