package engine

import (
	"errors"
	"io"
	"strings"
	"testing"
)

const twoChunks = "data: {\"choices\":[{\"index\":0,\"text\":\"a\"}],\"usage\":{\"completion_tokens\":1}}\n\n" +
	": comment\n\ndata: {\"choices\":[{\"index\":0,\"text\":\"b\",\"finish_reason\":\"stop\"}]}\n\n"

// An engine crashes while it writes a response. Its kernel closes the connection
// normally, so the stream just ends, and a caller would take the truncated response
// for a complete one.
func TestReaderDetectsTruncatedStream(t *testing.T) {
	read := func(text string) (tokens []string, err error) {
		r := NewReader(strings.NewReader(text))
		for {
			c, err := r.Next()
			if err != nil {
				return tokens, err
			}
			tokens = append(tokens, *c.Choices[0].Text+c.FinishReason())
		}
	}
	tokens, err := read(twoChunks + "data: [DONE]\n\n")
	if !errors.Is(err, io.EOF) || strings.Join(tokens, "") != "abstop" {
		t.Fatalf("complete stream: %v, %v", tokens, err)
	}
	if _, err := read(twoChunks); !errors.Is(err, ErrTruncated) {
		t.Fatalf("truncated stream: %v", err)
	}
}
