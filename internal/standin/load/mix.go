package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Mix determines the share of requests with long prompts and short
// responses; the other requests have short prompts and long responses.
type Mix struct {
	// LongShare is the share with long prompts, from 0 to 1.
	LongShare float64
	// ShiftTime is when the share changes to ShiftedShare, in milliseconds
	// from the start; zero disables the change.
	ShiftTime    kumquatlug.Millis
	ShiftedShare float64
	// LongPrompt and ShortPrompt are in tokens of four bytes; 2,000 and 50 by
	// default.
	LongPrompt  int
	ShortPrompt int
	// LongResponse and ShortResponse are the response lengths in tokens; 200 and
	// 10 by default.
	LongResponse  int
	ShortResponse int
	// Documents is the number of different prefixes that the prompts share: the
	// first half of each prompt is one of them. With zero, prompts share no
	// prefix.
	Documents int
}

func (m Mix) withDefaults() Mix {
	setDefault := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&m.LongPrompt, 2000)
	setDefault(&m.ShortPrompt, 50)
	setDefault(&m.LongResponse, 200)
	setDefault(&m.ShortResponse, 10)
	return m
}

func (m Mix) check() error {
	if m.LongShare < 0 || m.LongShare > 1 || m.ShiftedShare < 0 || m.ShiftedShare > 1 {
		return errors.New("shares must be between 0 and 1")
	}
	if min(m.LongPrompt, m.ShortPrompt, m.LongResponse, m.ShortResponse) < 1 || m.Documents < 0 {
		return errors.New("lengths must be positive, documents must not be negative")
	}
	return nil
}

// request is one request to send.
type request struct {
	prompt    string
	maxTokens int
	model     string
	key       string
	streamed  bool
	stamped   bool
}

// request returns the request at index. It depends only on the seed and on
// whether the mix has shifted by elapsed. The salt changes the words of a
// prompt but not its length.
func (m Mix) request(seed, salt uint64, index int, elapsed kumquatlug.Millis) request {
	random := rand.New(rand.NewPCG(seed, uint64(index)+2))
	share := m.LongShare
	if m.ShiftTime > 0 && elapsed >= m.ShiftTime {
		share = m.ShiftedShare
	}
	promptTokens, maxTokens := m.ShortPrompt, m.LongResponse
	if random.Float64() < share {
		promptTokens, maxTokens = m.LongPrompt, m.ShortResponse
	}
	prompt := padPrompt(fmt.Sprintf("request %d of %d.%d ", index, seed, salt), promptTokens)
	if m.Documents > 0 {
		document := fmt.Sprintf("document %d of %d.%d ", random.IntN(m.Documents), seed, salt)
		prompt = padPrompt(document, promptTokens/2) + padPrompt(fmt.Sprintf("request %d ", index), promptTokens-promptTokens/2)
	}
	return request{prompt: prompt, maxTokens: maxTokens}
}

// padPrompt repeats text up to a number of tokens. It never truncates the first
// copy, so that no two requests are the same.
func padPrompt(text string, tokens int) string {
	size := max(len(text), tokens*4)
	return strings.Repeat(text, size/len(text)+1)[:size]
}
