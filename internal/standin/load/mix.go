package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Mix says how many requests have long prompts and short answers; the others
// have short prompts and long answers.
type Mix struct {
	// LongShare is the part with long prompts, from 0 to 1.
	LongShare float64
	// ShiftAt is when the part becomes ShiftedShare, in milliseconds from the
	// start; zero for never.
	ShiftAt      kumquatlug.Millis
	ShiftedShare float64
	// LongPrompt and ShortPrompt are in tokens of four bytes; 2,000 and 50 by
	// default.
	LongPrompt  int
	ShortPrompt int
	// LongAnswer and ShortAnswer are in tokens; 200 and 10 by default.
	LongAnswer  int
	ShortAnswer int
	// Documents is how many beginnings the prompts share: half of each prompt
	// is one of them. Zero shares nothing.
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
	setDefault(&m.LongAnswer, 200)
	setDefault(&m.ShortAnswer, 10)
	return m
}

func (m Mix) check() error {
	if m.LongShare < 0 || m.LongShare > 1 || m.ShiftedShare < 0 || m.ShiftedShare > 1 {
		return errors.New("a share is from 0 to 1")
	}
	if min(m.LongPrompt, m.ShortPrompt, m.LongAnswer, m.ShortAnswer) < 1 || m.Documents < 0 {
		return errors.New("lengths are above 0, and documents not below")
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

// request returns the request at index, which depends on the seed and on
// whether the mix has shifted by its time, and on nothing else. The salt
// changes the words of the prompts but not their lengths.
func (m Mix) request(seed, salt uint64, index int, elapsed kumquatlug.Millis) request {
	random := rand.New(rand.NewPCG(seed, uint64(index)+2))
	share := m.LongShare
	if m.ShiftAt > 0 && elapsed >= m.ShiftAt {
		share = m.ShiftedShare
	}
	promptTokens, maxTokens := m.ShortPrompt, m.LongAnswer
	if random.Float64() < share {
		promptTokens, maxTokens = m.LongPrompt, m.ShortAnswer
	}
	prompt := padPrompt(fmt.Sprintf("request %d of %d.%d ", index, seed, salt), promptTokens)
	if m.Documents > 0 {
		document := fmt.Sprintf("document %d of %d.%d ", random.IntN(m.Documents), seed, salt)
		prompt = padPrompt(document, promptTokens/2) + padPrompt(fmt.Sprintf("request %d ", index), promptTokens-promptTokens/2)
	}
	return request{prompt: prompt, maxTokens: maxTokens}
}

// padPrompt repeats text up to a number of tokens, but keeps all of it once, so
// that two requests are never the same.
func padPrompt(text string, tokens int) string {
	size := max(len(text), tokens*4)
	return strings.Repeat(text, size/len(text)+1)[:size]
}
