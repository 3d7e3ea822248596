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
	verdict  Verdict
	tokens   []string
	position int
}

// Verdict returns what to do.
func (s Step) Verdict() Verdict { return s.verdict }

// Tokens returns what to send to the caller now, in order.
func (s Step) Tokens() []string { return s.tokens }

// ResumeAt returns how many tokens the caller has; the next attempt begins
// with the token of this number, counted from zero.
func (s Step) ResumeAt() int { return s.position }

// Chunk is a piece of an answer as an engine sent it.
type Chunk struct {
	request    string
	attempt    int
	firstIndex int
	tokens     []string
}

// NewChunk returns a chunk of an attempt whose first token has the number
// first in the whole answer. Where an engine numbers nothing, the reader of
// its stream counts from the position at which the attempt was resumed.
func NewChunk(request string, attempt, firstIndex int, tokens ...string) Chunk {
	return Chunk{request: request, attempt: attempt, firstIndex: firstIndex, tokens: tokens}
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
	request     string
	attempt     int
	totalTokens int
	reason      string
	usage       Usage
}

// NewEnd returns the end mark of an attempt: the number of tokens of the whole
// answer, those before the attempt included, why the engine stopped, and what
// it counted; the prompt is the caller's own, without what was sent before.
func NewEnd(request string, attempt, totalTokens int, reason string, usage Usage) End {
	return End{request: request, attempt: attempt, totalTokens: totalTokens, reason: reason, usage: usage}
}

// Reason returns why the engine stopped.
func (e End) Reason() string { return e.reason }

// Usage returns the cost of the whole answer. Its output is the number of
// tokens that the caller got: an engine that went on counts only its own part,
// or takes what was sent before for a part of the prompt.
func (e End) Usage() Usage {
	return Usage{prompt: e.usage.prompt, cached: min(e.usage.cached, e.usage.prompt), output: e.totalTokens}
}

// Answer is one answer in the making. It is not safe for concurrent use: the
// goroutine that serves the request owns it.
type Answer struct {
	config        Config
	attempt       int
	attemptActive bool
	ended         bool
	sent          []string
	outOfOrder    map[int]string
	endMarker     *End
	lateEvents    int
	foreignEvents int
}

// New checks c and returns an answer without any attempt.
func New(c Config) (*Answer, error) {
	if c.Request == "" {
		return nil, errors.New("an answer needs the id of its request")
	}
	c.Attempts = cmp.Or(c.Attempts, DefaultAttempts)
	c.Ahead = cmp.Or(c.Ahead, DefaultAhead)
	return &Answer{config: c, outOfOrder: map[int]string{}}, nil
}

// Start begins the next attempt and returns its number, from one, and the
// position at which its engine has to go on. It reports false if the answer is
// over or no attempt is left.
func (a *Answer) Start() (attempt, position int, ok bool) {
	if a.ended || a.attempt >= a.config.Attempts {
		return 0, 0, false
	}
	a.attempt++
	a.attemptActive = true
	a.endMarker = nil
	clear(a.outOfOrder)
	return a.attempt, len(a.sent), true
}

// Chunk takes tokens that arrived.
func (a *Answer) Chunk(c Chunk) Step {
	if !a.isCurrent(c.request, c.attempt) {
		return a.newStep(VerdictDrop, nil)
	}
	if !a.consistent(c) {
		return a.endAttempt()
	}
	tokens := a.accept(c)
	if a.endMarker != nil {
		return a.completeIfDelivered(tokens)
	}
	return a.forwardOrDrop(tokens)
}

// End takes an end mark that arrived. One that overtook the last tokens waits
// for them; if the connection ends first, something lost them on the way and
// the attempt is cut.
func (a *Answer) End(e End) Step {
	if !a.isCurrent(e.request, e.attempt) {
		return a.newStep(VerdictDrop, nil)
	}
	if a.minLength() > e.totalTokens {
		return a.endAttempt()
	}
	a.endMarker = &e
	return a.completeIfDelivered(nil)
}

// minLength returns the least length that the answer can have by what was seen.
func (a *Answer) minLength() int {
	length := len(a.sent)
	for index := range a.outOfOrder {
		length = max(length, index+1)
	}
	return length
}

// completeIfDelivered ends the answer if all tokens before the end mark were forwarded.
func (a *Answer) completeIfDelivered(tokens []string) Step {
	if len(a.sent) < a.endMarker.totalTokens {
		return a.forwardOrDrop(tokens)
	}
	a.attemptActive = false
	a.ended = true
	return a.newStep(VerdictWhole, tokens)
}

func (a *Answer) forwardOrDrop(tokens []string) Step {
	if len(tokens) == 0 {
		return a.newStep(VerdictDrop, nil)
	}
	return a.newStep(VerdictForward, tokens)
}

// Cut takes the end of an attempt's connection, with or without an error.
// After the end mark it means nothing; before it the attempt is over.
func (a *Answer) Cut(request string, attempt int) Step {
	if !a.isCurrent(request, attempt) {
		return a.newStep(VerdictDrop, nil)
	}
	return a.endAttempt()
}

// Abort ends an answer that is not whole, when its caller has gone or no engine
// may be tried.
func (a *Answer) Abort() Step {
	a.attemptActive = false
	a.ended = true
	a.endMarker = nil
	return a.newStep(VerdictFailed, nil)
}

// isCurrent reports whether an event is of this request and of the attempt that
// is being read, and counts what it is otherwise.
func (a *Answer) isCurrent(request string, attempt int) bool {
	if request != a.config.Request {
		a.foreignEvents++
		return false
	}
	if attempt != a.attempt || !a.attemptActive {
		a.lateEvents++
		return false
	}
	return true
}

// consistent reports whether c agrees with all that was seen: no other token under a
// number, none after the end, and not too far ahead of what is missing.
func (a *Answer) consistent(c Chunk) bool {
	if c.firstIndex < 0 || c.firstIndex > len(a.sent)+a.config.Ahead {
		return false
	}
	if a.endMarker != nil && c.firstIndex+len(c.tokens) > a.endMarker.totalTokens {
		return false
	}
	for i, token := range c.tokens {
		if received, ok := a.receivedToken(c.firstIndex + i); ok && received != token {
			return false
		}
	}
	return true
}

func (a *Answer) receivedToken(index int) (string, bool) {
	if index < len(a.sent) {
		return a.sent[index], true
	}
	token, ok := a.outOfOrder[index]
	return token, ok
}

// accept keeps the new tokens of c and returns those whose turn it is.
func (a *Answer) accept(c Chunk) []string {
	firstSent := len(a.sent)
	for i, token := range c.tokens {
		switch index := c.firstIndex + i; {
		case index == len(a.sent):
			a.sent = append(a.sent, token)
		case index > len(a.sent):
			a.outOfOrder[index] = token
		}
	}
	for token, ok := a.outOfOrder[len(a.sent)]; ok; token, ok = a.outOfOrder[len(a.sent)] {
		a.sent = append(a.sent, token)
	}
	a.pruneOutOfOrder(firstSent)
	return a.sent[firstSent:len(a.sent):len(a.sent)]
}

// pruneOutOfOrder forgets held tokens that were sent since position from.
func (a *Answer) pruneOutOfOrder(firstSent int) {
	if len(a.outOfOrder) == 0 {
		return
	}
	for index := firstSent; index < len(a.sent); index++ {
		delete(a.outOfOrder, index)
	}
}

func (a *Answer) endAttempt() Step {
	a.attemptActive = false
	a.endMarker = nil
	clear(a.outOfOrder)
	if a.attempt >= a.config.Attempts {
		a.ended = true
		return a.newStep(VerdictFailed, nil)
	}
	return a.newStep(VerdictResume, nil)
}

func (a *Answer) newStep(v Verdict, tokens []string) Step {
	return Step{verdict: v, tokens: tokens, position: len(a.sent)}
}

// Sent returns the tokens that the caller has, for the engine that goes on.
// They must not be changed.
func (a *Answer) Sent() []string { return a.sent }

// Attempt returns the number of the latest attempt, zero before the first.
func (a *Answer) Attempt() int { return a.attempt }

// Ended returns the end mark of the whole answer, and false before it is whole.
func (a *Answer) Ended() (End, bool) {
	if !a.ended || a.endMarker == nil {
		return End{}, false
	}
	return *a.endMarker, true
}

// Late returns how many events came after their attempt was over.
func (a *Answer) Late() int { return a.lateEvents }

// Foreign returns how many events were of another request.
func (a *Answer) Foreign() int { return a.foreignEvents }
