package stream

import (
	"fmt"
	"strings"
	"testing"
)

const requestID = "r-1"

func startAssembler(t *testing.T, c Config) *Assembler {
	t.Helper()
	c.Request = requestID
	a, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	if attempt, position, ok := a.Start(); attempt != 1 || position != 0 || !ok {
		t.Fatalf("Start() = %d, %d, %v, want attempt 1 at position 0", attempt, position, ok)
	}
	return a
}

func expectResult(t *testing.T, r Result, v Action, tokens string, position int) {
	t.Helper()
	if got := strings.Join(r.Tokens(), ""); r.Action() != v || got != tokens || r.ResumeAt() != position {
		t.Errorf("result = %q with tokens %q at position %d, want %q with %q at %d", r.Action(), got, r.ResumeAt(), v, tokens, position)
	}
}

func TestResumedResponseIsComplete(t *testing.T) {
	// An engine crashes in the middle of a response. Another engine continues while
	// chunks of the first one still arrive. The caller must receive each token once.
	a := startAssembler(t, Config{})
	expectResult(t, a.Chunk(NewChunk(requestID, 1, 0, "a", "b")), ActionForward, "ab", 2)
	expectResult(t, a.ConnectionClosed(requestID, 1), ActionResume, "", 2)
	if attempt, position, ok := a.Start(); attempt != 2 || position != 2 || !ok {
		t.Fatalf("Start() = %d, %d, %v, want attempt 2 at position 2", attempt, position, ok)
	}
	expectResult(t, a.Chunk(NewChunk(requestID, 1, 2, "c", "d")), ActionDrop, "", 2)
	expectResult(t, a.Chunk(NewChunk("r-2", 2, 2, "x")), ActionDrop, "", 2)
	expectResult(t, a.Chunk(NewChunk(requestID, 2, 1, "b", "c")), ActionForward, "c", 3)
	expectResult(t, a.Chunk(NewChunk(requestID, 2, 4, "e")), ActionDrop, "", 3)
	expectResult(t, a.End(NewEnd(requestID, 2, 5, "stop", NewUsage(7, 9, 3))), ActionDrop, "", 3)
	expectResult(t, a.Chunk(NewChunk(requestID, 2, 3, "d")), ActionComplete, "de", 5)
	expectResult(t, a.ConnectionClosed(requestID, 2), ActionDrop, "", 5)
	e, ok := a.EndMarker()
	if !ok || e.Reason() != "stop" || e.Usage() != NewUsage(7, 7, 5) {
		t.Errorf("end marker = %+v, %v", e, ok)
	}
	if a.LateEvents() != 2 || a.OtherRequestEvents() != 1 {
		t.Errorf("late events %d, want 2; events of another request %d, want 1", a.LateEvents(), a.OtherRequestEvents())
	}
}

func TestCorruptAttemptsEndAndResume(t *testing.T) {
	// A stream is corrupted between engine and gateway. Each kind of corruption
	// looks like an ordinary response to a reader that only forwards.
	cases := map[string]func(a *Assembler) Result{
		"end marker before the last token": func(a *Assembler) Result {
			a.End(NewEnd(requestID, 1, 3, "stop", Usage{}))
			return a.ConnectionClosed(requestID, 1)
		},
		"end marker below the number of tokens sent": func(a *Assembler) Result {
			return a.End(NewEnd(requestID, 1, 1, "stop", Usage{}))
		},
		"token after the end": func(a *Assembler) Result {
			a.End(NewEnd(requestID, 1, 3, "stop", Usage{}))
			return a.Chunk(NewChunk(requestID, 1, 2, "c", "d"))
		},
		"different token at a known index": func(a *Assembler) Result {
			return a.Chunk(NewChunk(requestID, 1, 1, "x", "c"))
		},
		"token too far ahead": func(a *Assembler) Result {
			return a.Chunk(NewChunk(requestID, 1, 7, "h"))
		},
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			a := startAssembler(t, Config{MaxReorderTokens: 4, MaxAttempts: 2})
			a.Chunk(NewChunk(requestID, 1, 0, "a", "b"))
			expectResult(t, corrupt(a), ActionResume, "", 2)
			if _, position, ok := a.Start(); position != 2 || !ok {
				t.Fatalf("Start() at position %d, %v, want position 2", position, ok)
			}
			expectResult(t, a.ConnectionClosed(requestID, 2), ActionFail, "", 2)
			if _, _, ok := a.Start(); ok {
				t.Error("Start began a third attempt, although two are allowed")
			}
		})
	}
}

func ExampleAssembler() {
	a, _ := New(Config{Request: "r-1"})
	attempt, _, _ := a.Start()
	fmt.Println(a.Chunk(NewChunk("r-1", attempt, 0, "one", "garment")).Tokens())
	fmt.Println(a.ConnectionClosed("r-1", attempt).Action())
	attempt, position, _ := a.Start()
	fmt.Println(attempt, position, a.Chunk(NewChunk("r-1", attempt, position, "left")).Tokens())
	fmt.Println(a.End(NewEnd("r-1", attempt, 3, "stop", Usage{})).Action())
	// Output:
	// [one garment]
	// resume
	// 2 2 [left]
	// whole
}
