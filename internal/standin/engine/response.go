package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// bytesPerToken is the number of prompt bytes that count as one token; four
	// is the usual rule of thumb for English text.
	bytesPerToken = 4
	// minDefaultTokens and defaultTokenSpread determine the length of a
	// response to a request without a maximum: 16 to 63 tokens, depending on
	// the prompt.
	minDefaultTokens   = 16
	defaultTokenSpread = 48
)

// ResponseTokens returns the tokens of the engine's response to prompt: maxTokens of
// them, or a number that depends on the prompt if maxTokens is not positive.
// The same prompt always gives the same tokens, so that tests can check every
// byte.
func ResponseTokens(prompt string, maxTokens int) []string {
	seed := xxhash.Sum64String(prompt)
	count := ResponseLength(prompt, maxTokens)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = token(seed, i)
	}
	return tokens
}

// ResponseLength returns the number of tokens that [ResponseTokens] returns.
func ResponseLength(prompt string, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return minDefaultTokens + int(xxhash.Sum64String(prompt)%defaultTokenSpread)
}

// ResponseText returns the concatenated tokens of [ResponseTokens].
func ResponseText(prompt string, maxTokens int) string {
	return strings.Join(ResponseTokens(prompt, maxTokens), "")
}

// PromptTokens returns the number of tokens that prompt counts as, at least
// one.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// token returns the token at index i of the response with the given seed.
func token(seed uint64, i int) string {
	const digits = "0123456789abcdef"
	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x ^= x >> 27
	return string([]byte{' ', 'w', digits[x>>12&15], digits[x>>8&15], digits[x>>4&15], digits[x&15]})
}

// Message is a chat message. Its content is decoded from a string or from a
// list of text parts.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// UnmarshalJSON decodes both forms of the content.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	m.Role = raw.Role
	m.Content = ""
	if len(raw.Content) == 0 || string(raw.Content) == "null" {
		return nil
	}
	if raw.Content[0] == '"' {
		return json.Unmarshal(raw.Content, &m.Content)
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw.Content, &parts); err != nil {
		return errors.Wrap(err, "content is neither a string nor a list of parts")
	}
	for _, p := range parts {
		m.Content += p.Text
	}
	return nil
}

// ChatPrompt returns the prompt that corresponds to messages: the role and
// content of each in order, without separators.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(m.Content)
	}
	return b.String()
}
