package engine

import (
	"encoding/json"
	"strconv"
)

// AppendJSON appends the JSON of c to b, byte for byte as encoding/json encodes it
// but without reflection, since a gateway encodes a chunk for each token of every
// response.
func (c Chunk) AppendJSON(b []byte) ([]byte, error) {
	b = appendString(append(b, `{"id":`...), c.ID)
	b = appendString(append(b, `,"object":`...), c.Object)
	b = strconv.AppendInt(append(b, `,"created":`...), c.Created, 10)
	b = appendString(append(b, `,"model":`...), c.Model)
	b = append(b, `,"choices":`...)
	var err error
	if b, err = appendChoices(b, c.Choices); err != nil {
		return b, err
	}
	if c.Usage != nil {
		b = appendUsage(append(b, `,"usage":`...), *c.Usage)
	}
	return append(b, '}'), nil
}

func appendChoices(b []byte, choices []Choice) ([]byte, error) {
	if choices == nil {
		return append(b, "null"...), nil
	}
	b = append(b, '[')
	for i, choice := range choices {
		if i > 0 {
			b = append(b, ',')
		}
		var err error
		if b, err = appendChoice(b, choice); err != nil {
			return b, err
		}
	}
	return append(b, ']'), nil
}

func appendChoice(b []byte, c Choice) ([]byte, error) {
	b = strconv.AppendInt(append(b, `{"index":`...), int64(c.Index), 10)
	if c.Text != nil {
		b = appendString(append(b, `,"text":`...), *c.Text)
	}
	if len(c.Delta) > 0 {
		delta, err := json.Marshal(c.Delta)
		if err != nil {
			return b, err
		}
		b = append(append(b, `,"delta":`...), delta...)
	}
	b = append(b, `,"finish_reason":`...)
	if c.FinishReason == nil {
		return append(b, "null}"...), nil
	}
	return append(appendString(b, *c.FinishReason), '}'), nil
}

func appendUsage(b []byte, u Usage) []byte {
	b = strconv.AppendInt(append(b, `{"prompt_tokens":`...), u.PromptTokens, 10)
	b = strconv.AppendInt(append(b, `,"completion_tokens":`...), u.CompletionTokens, 10)
	b = strconv.AppendInt(append(b, `,"total_tokens":`...), u.TotalTokens, 10)
	if u.PromptDetails != nil {
		b = strconv.AppendInt(append(b, `,"prompt_tokens_details":{"cached_tokens":`...), u.PromptDetails.CachedTokens, 10)
		b = append(b, '}')
	}
	return append(b, '}')
}

// appendString appends a JSON string; encoding/json encodes those with characters
// to escape.
func appendString(b []byte, text string) []byte {
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ', c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			// Marshalling a string never fails.
			escaped, _ := json.Marshal(text)
			return append(b, escaped...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}
