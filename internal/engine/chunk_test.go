package engine

import (
	"errors"
	"io"
	"strings"
	"testing"
)

const twoChunks = "data: {\"choices\":[{\"index\":0,\"text\":\"a\"}],\"usage\":{\"completion_tokens\":1}}\n\n" +
	": comment\n\ndata: {\"choices\":[{\"index\":0,\"text\":\"b\",\"finish_reason\":\"stop\"}]}\n\n"

// An engine dies while it writes. Its kernel closes the connection in an
// orderly way, so that the stream just ends; a caller would take the half
// answer for the whole one.
func TestReaderDetectsTruncatedStream(t *testing.T) {
	read := func(text string) (tokens []string, err error) {
		r := NewReader(strings.NewReader(text))
		for {
			c, err := r.Next()
			if err != nil {
				return tokens, err
			}
			tokens = append(tokens, *c.Choices[0].Text+c.Finish())
		}
	}
	tokens, err := read(twoChunks + "data: [DONE]\n\n")
	if !errors.Is(err, io.EOF) || strings.Join(tokens, "") != "abstop" {
		t.Fatalf("whole stream: %v, %v", tokens, err)
	}
	if _, err := read(twoChunks); !errors.Is(err, ErrNoEnd) {
		t.Fatalf("cut stream: %v", err)
	}
}
