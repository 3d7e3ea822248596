// Package stream puts one whole answer together from the attempts of several
// engines.
//
// An engine that crashes in the middle of an answer leaves its caller with a
// part. Another engine can go on from the tokens already sent. What arrives at
// the entry then is a mixture: the rest of the first attempt, still in a
// buffer, the second attempt, which may begin before or after the cut, chunks
// that come twice, and connections that close without an end mark, which looks
// like a short answer. Forwarded as they come, the caller gets an answer with
// words lost or doubled, and no way to notice.
//
// An [Answer] numbers the tokens of the whole answer and forwards each number
// once, in order. Chunks of an older attempt and of another request are
// dropped. A chunk that runs ahead waits for the one before it. A stream is
// whole only when its end mark arrives and every token before it was
// forwarded; anything else is a cut, which says where to resume.
//
// An Answer keeps the tokens it forwarded, since the engine that goes on needs
// them. Where a resumed attempt repeats tokens, they must be the same ones: an
// engine that goes on from other words than those the caller has seen would
// give an answer that no engine ever gave. Such an attempt counts as cut.
package stream

import (
	"cmp"

	"github.com/cockroachdb/errors"
)

// The defaults of [Config].
const (
	DefaultAttempts = 4
	DefaultAhead    = 256
)

// Config is what an [Answer] is made of.
type Config struct {
	// Request is the id of the request; what carries another id is dropped.
	Request string
	// Attempts bounds how many engines work on the answer. Default 4: a request
	// that crashes engines itself is quarantined after two, and its neighbour,
	// which can be hit by both crashes, still has one more and one to spare.
	Attempts int
	// Ahead bounds how many tokens may wait for one that is missing. Default
	// 256: at 29 ms a token that is seven seconds of output, after which the
	// missing token won't come any more; a few kilobytes of memory.
	Ahead int
}

// Verdict is what to do after an event.
type Verdict string

// What may follow an event.
const (
	// VerdictForward: send the step's tokens to the caller and go on reading.
	VerdictForward Verdict = "forward"
	// VerdictDrop: the event was late, doubled, foreign or too early; send
	// nothing.
	VerdictDrop Verdict = "drop"
	// VerdictResume: the attempt is over without its end. Start another one at
	// the step's position; nothing of this one counts any more.
	VerdictResume Verdict = "resume"
	// VerdictWhole: send the step's tokens and the end; the answer is whole.
	VerdictWhole Verdict = "whole"
	// VerdictFailed: no attempt is left. The answer must be ended as broken,
	// never as if it were whole.
	VerdictFailed Verdict = "failed"
)

// Step is what one event led to.
type Step struct {
	verdict Verdict
	tokens  []string
	at      int
}

// Verdict returns what to do.
func (s Step) Verdict() Verdict { return s.verdict }

// Tokens returns what to send to the caller now, in order.
func (s Step) Tokens() []string { return s.tokens }

// ResumeAt returns how many tokens the caller has; the next attempt begins
// with the token of this number, counted from zero.
func (s Step) ResumeAt() int { return s.at }

// Chunk is a piece of an answer as an engine sent it.
type Chunk struct {
	request string
	attempt int
	first   int
	tokens  []string
}

// NewChunk returns a chunk of an attempt whose first token has the number
// first in the whole answer. Where an engine numbers nothing, the reader of
// its stream counts from the position at which the attempt was resumed.
func NewChunk(request string, attempt, first int, tokens ...string) Chunk {
	return Chunk{request: request, attempt: attempt, first: first, tokens: tokens}
}

// Usage is what an answer cost by the engine's count.
type Usage struct {
	prompt int
	cached int
	output int
}

// NewUsage returns a usage in tokens: the prompt, the part of it that the
// engine had cached, and the output.
func NewUsage(prompt, cached, output int) Usage {
	return Usage{prompt: prompt, cached: cached, output: output}
}

// Prompt returns the tokens of the prompt.
func (u Usage) Prompt() int { return u.prompt }

// Cached returns the tokens of the prompt that were cached.
func (u Usage) Cached() int { return u.cached }

// Output returns the tokens of the answer.
func (u Usage) Output() int { return u.output }

// End is an engine's end mark.
type End struct {
	request string
	attempt int
	total   int
	reason  string
	usage   Usage
}

// NewEnd returns the end mark of an attempt: the number of tokens of the whole
// answer, those before the attempt included, why the engine stopped, and what
// it counted; the prompt is the caller's own, without what was sent before.
func NewEnd(request string, attempt, total int, reason string, usage Usage) End {
	return End{request: request, attempt: attempt, total: total, reason: reason, usage: usage}
}

// Reason returns why the engine stopped.
func (e End) Reason() string { return e.reason }

// Usage returns the cost of the whole answer. Its output is the number of
// tokens that the caller got: an engine that went on counts only its own part,
// or takes what was sent before for a part of the prompt.
func (e End) Usage() Usage {
	return Usage{prompt: e.usage.prompt, cached: min(e.usage.cached, e.usage.prompt), output: e.total}
}

// Answer is one answer in the making. It is not safe for concurrent use: the
// goroutine that serves the request owns it.
type Answer struct {
	c       Config
	attempt int
	reading bool
	over    bool
	sent    []string
	ahead   map[int]string
	end     *End
	late    int
	foreign int
}

// New checks c and returns an answer without any attempt.
func New(c Config) (*Answer, error) {
	if c.Request == "" {
		return nil, errors.New("an answer needs the id of its request")
	}
	c.Attempts = cmp.Or(c.Attempts, DefaultAttempts)
	c.Ahead = cmp.Or(c.Ahead, DefaultAhead)
	return &Answer{c: c, ahead: map[int]string{}}, nil
}

// Start begins the next attempt and returns its number, from one, and the
// position at which its engine has to go on. It reports false if the answer is
// over or no attempt is left.
func (a *Answer) Start() (attempt, at int, ok bool) {
	if a.over || a.attempt >= a.c.Attempts {
		return 0, 0, false
	}
	a.attempt++
	a.reading = true
	a.end = nil
	clear(a.ahead)
	return a.attempt, len(a.sent), true
}

// Chunk takes tokens that arrived.
func (a *Answer) Chunk(c Chunk) Step {
	if !a.current(c.request, c.attempt) {
		return a.step(VerdictDrop, nil)
	}
	if !a.fits(c) {
		return a.cut()
	}
	tokens := a.take(c)
	if a.end != nil {
		return a.close(tokens)
	}
	return a.progress(tokens)
}

// End takes an end mark that arrived. One that overtook the last tokens waits
// for them; if the connection ends first, something lost them on the way and
// the attempt is cut.
func (a *Answer) End(e End) Step {
	if !a.current(e.request, e.attempt) {
		return a.step(VerdictDrop, nil)
	}
	if a.least() > e.total {
		return a.cut()
	}
	a.end = &e
	return a.close(nil)
}

// least returns the least length that the answer can have by what was seen.
func (a *Answer) least() int {
	length := len(a.sent)
	for number := range a.ahead {
		length = max(length, number+1)
	}
	return length
}

// close ends the answer if all tokens before the end mark were forwarded.
func (a *Answer) close(tokens []string) Step {
	if len(a.sent) < a.end.total {
		return a.progress(tokens)
	}
	a.reading = false
	a.over = true
	return a.step(VerdictWhole, tokens)
}

func (a *Answer) progress(tokens []string) Step {
	if len(tokens) == 0 {
		return a.step(VerdictDrop, nil)
	}
	return a.step(VerdictForward, tokens)
}

// Cut takes the end of an attempt's connection, with or without an error.
// After the end mark it means nothing; before it the attempt is over.
func (a *Answer) Cut(request string, attempt int) Step {
	if !a.current(request, attempt) {
		return a.step(VerdictDrop, nil)
	}
	return a.cut()
}

// Abort ends an answer that is not whole, when its caller has gone or no engine
// may be tried.
func (a *Answer) Abort() Step {
	a.reading = false
	a.over = true
	a.end = nil
	return a.step(VerdictFailed, nil)
}

// current reports whether an event is of this request and of the attempt that
// is being read, and counts what it is otherwise.
func (a *Answer) current(request string, attempt int) bool {
	if request != a.c.Request {
		a.foreign++
		return false
	}
	if attempt != a.attempt || !a.reading {
		a.late++
		return false
	}
	return true
}

// fits reports whether c agrees with all that was seen: no other token under a
// number, none after the end, and not too far ahead of what is missing.
func (a *Answer) fits(c Chunk) bool {
	if c.first < 0 || c.first > len(a.sent)+a.c.Ahead {
		return false
	}
	if a.end != nil && c.first+len(c.tokens) > a.end.total {
		return false
	}
	for i, token := range c.tokens {
		if seen, ok := a.seen(c.first + i); ok && seen != token {
			return false
		}
	}
	return true
}

func (a *Answer) seen(number int) (string, bool) {
	if number < len(a.sent) {
		return a.sent[number], true
	}
	token, ok := a.ahead[number]
	return token, ok
}

// take keeps the new tokens of c and returns those whose turn it is.
func (a *Answer) take(c Chunk) []string {
	from := len(a.sent)
	for i, token := range c.tokens {
		switch number := c.first + i; {
		case number == len(a.sent):
			a.sent = append(a.sent, token)
		case number > len(a.sent):
			a.ahead[number] = token
		}
	}
	for token, ok := a.ahead[len(a.sent)]; ok; token, ok = a.ahead[len(a.sent)] {
		a.sent = append(a.sent, token)
	}
	a.trim(from)
	return a.sent[from:len(a.sent):len(a.sent)]
}

// trim forgets held tokens that were sent since position from.
func (a *Answer) trim(from int) {
	if len(a.ahead) == 0 {
		return
	}
	for number := from; number < len(a.sent); number++ {
		delete(a.ahead, number)
	}
}

func (a *Answer) cut() Step {
	a.reading = false
	a.end = nil
	clear(a.ahead)
	if a.attempt >= a.c.Attempts {
		a.over = true
		return a.step(VerdictFailed, nil)
	}
	return a.step(VerdictResume, nil)
}

func (a *Answer) step(v Verdict, tokens []string) Step {
	return Step{verdict: v, tokens: tokens, at: len(a.sent)}
}

// Sent returns the tokens that the caller has, for the engine that goes on.
// They must not be changed.
func (a *Answer) Sent() []string { return a.sent }

// Attempt returns the number of the latest attempt, zero before the first.
func (a *Answer) Attempt() int { return a.attempt }

// Ended returns the end mark of the whole answer, and false before it is whole.
func (a *Answer) Ended() (End, bool) {
	if !a.over || a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

// Late returns how many events came after their attempt was over.
func (a *Answer) Late() int { return a.late }

// Foreign returns how many events were of another request.
func (a *Answer) Foreign() int { return a.foreign }
