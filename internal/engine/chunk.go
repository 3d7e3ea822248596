package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream: a token with its logprobs takes a few
// kilobytes at most.
const maxEventBytes = 1 << 20

// ErrTruncated reports that a stream ended before its end marker: the response is
// incomplete.
var ErrTruncated = errors.New("stream ended without its end marker")

// doneMarker is the data of the last event of every complete OpenAI stream.
var doneMarker = []byte("[DONE]")

// Usage counts the tokens of one response.
type Usage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	PromptDetails    *PromptDetail `json:"prompt_tokens_details,omitempty"`
}

// PromptDetail holds the number of prompt tokens that were in the engine's cache.
type PromptDetail struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Choice is the single choice of a chunk. Text is set by completions, Delta by chat
// completions.
type Choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Delta        json.RawMessage `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Chunk is the data of one event of a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// CompletionTokens returns the number of tokens of the response up to and including this
// chunk, zero if the engine doesn't report it.
func (c Chunk) CompletionTokens() int64 {
	if c.Usage == nil {
		return 0
	}
	return c.Usage.CompletionTokens
}

// FinishReason returns the finish reason, empty unless the response ends with this chunk.
func (c Chunk) FinishReason() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}

// Reader reads the events of one stream.
type Reader struct {
	lines *bufio.Scanner
	// lastChunk holds the fields that all chunks of a response share.
	lastChunk Chunk
}

// NewReader returns a Reader of the server-sent events in body.
func NewReader(body io.Reader) *Reader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &Reader{lines: lines}
}

// Next returns the next chunk. It returns io.EOF after the end marker, and an error
// that is ErrTruncated if the stream ended before it.
func (r *Reader) Next() (Chunk, error) {
	for r.lines.Scan() {
		data, ok := bytes.CutPrefix(r.lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return Chunk{}, io.EOF
		}
		c, err := decodeChunk(data, r.lastChunk)
		if err != nil {
			return Chunk{}, errors.Wrap(err, "read chunk")
		}
		r.lastChunk = Chunk{ID: c.ID, Object: c.Object, Model: c.Model}
		return c, nil
	}
	if err := r.lines.Err(); err != nil {
		return Chunk{}, errors.Mark(errors.Wrap(err, "read stream"), ErrTruncated)
	}
	return Chunk{}, ErrTruncated
}
