package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream: a token with its logprobs is a few
// kilobytes at most.
const maxEventBytes = 1 << 20

// ErrNoEnd says that a stream ended without its end mark: the answer was cut.
var ErrNoEnd = errors.New("stream ended without its end mark")

// doneMarker is the last event of every whole OpenAI stream.
var doneMarker = []byte("[DONE]")

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	PromptDetails    *PromptDetail `json:"prompt_tokens_details,omitempty"`
}

// PromptDetail says how much of the prompt the engine had in its cache.
type PromptDetail struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Choice is the one choice of a chunk. Text is set by completions, Delta by
// chat completions.
type Choice struct {
	Index  int             `json:"index"`
	Text   *string         `json:"text,omitempty"`
	Delta  json.RawMessage `json:"delta,omitempty"`
	Finish *string         `json:"finish_reason"`
}

// Chunk is one event of a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Tokens returns how many tokens of the answer the stream holds up to and with
// this chunk, zero when the engine does not say.
func (c Chunk) Tokens() int64 {
	if c.Usage == nil {
		return 0
	}
	return c.Usage.CompletionTokens
}

// Finish returns the reason for which the answer ends here, empty before.
func (c Chunk) Finish() string {
	if len(c.Choices) == 0 || c.Choices[0].Finish == nil {
		return ""
	}
	return *c.Choices[0].Finish
}

// Reader reads the events of one stream.
type Reader struct {
	lines *bufio.Scanner
	// lastChunk holds what chunks of one answer have in common.
	lastChunk Chunk
}

// NewReader returns a reader of the server-sent events in body.
func NewReader(body io.Reader) *Reader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &Reader{lines: lines}
}

// Next returns the next chunk; io.EOF after the end mark, and an error that
// is ErrNoEnd when the stream stopped before it.
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
		return Chunk{}, errors.Mark(errors.Wrap(err, "read stream"), ErrNoEnd)
	}
	return Chunk{}, ErrNoEnd
}
