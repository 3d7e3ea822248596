// Package stream assembles one complete response from the attempts of several
// engines.
//
// An engine that crashes in the middle of a response leaves its caller with a
// partial one. Another engine can continue from the tokens already sent. The
// gateway then receives a mixture: buffered chunks of the first attempt, the
// second attempt, which may begin before or after the point of failure,
// duplicate chunks, and connections that close without an end marker, which look
// like a short response. If all were forwarded as they arrive, tokens of the
// response would be lost or duplicated, and the caller could not detect it.
//
// An [Assembler] indexes the tokens of the whole response and forwards each index
// once, in order. Chunks of an earlier attempt or of another request are
// dropped. An out-of-order chunk is held until the tokens before it arrive. A
// stream is complete only when its end marker has arrived and every token before
// it was forwarded; otherwise the attempt is broken off, and the [Result] names the
// position at which to resume.
//
// An Assembler keeps the forwarded tokens, since the engine that continues needs
// them. If a resumed attempt repeats tokens, they must be the same: an engine
// that continues from other tokens than the caller has received would produce a
// response that no engine generated. Such an attempt counts as broken off.
package stream

import (
	"cmp"

	"github.com/cockroachdb/errors"
)

// The defaults of [Config].
const (
	DefaultMaxAttempts      = 4
	DefaultMaxReorderTokens = 256
)

// Config holds the parameters of an [Assembler].
type Config struct {
	// Request is the id of the request; events with another id are dropped.
	Request string
	// MaxAttempts is the maximum number of attempts. Default 4: a request that
	// crashes engines itself is quarantined after two, and another request on the
	// same engines, which both crashes can interrupt, still has a third attempt
	// and one in reserve.
	MaxAttempts int
	// MaxReorderTokens is the maximum distance, in tokens, from the next missing token to the
	// beginning of a chunk that is held for it. Default 256: at 29 ms per token that is seven seconds of output,
	// after which the missing token won't arrive; the held tokens take a few
	// kilobytes.
	MaxReorderTokens int
}

// Action is what the caller of an [Assembler] does after an event.
type Action string

// The actions.
const (
	// ActionForward: send the result's tokens to the caller and continue reading.
	ActionForward Action = "forward"
	// ActionDrop: send nothing. The event was late, a duplicate or of another
	// request, or it is held until earlier tokens arrive.
	ActionDrop Action = "drop"
	// ActionResume: the attempt ended without its end marker, or was broken off.
	// Start another one at the result's position; later events of this one are
	// dropped.
	ActionResume Action = "resume"
	// ActionComplete: send the result's tokens and the end; the response is complete.
	ActionComplete Action = "whole"
	// ActionFail: no attempt is left, or the response was aborted. It must be
	// ended as broken off, never as if it were complete.
	ActionFail Action = "failed"
)

// Result is the result of one event.
type Result struct {
	action   Action
	tokens   []string
	position int
}

// Action returns what to do next.
func (r Result) Action() Action { return r.action }

// Tokens returns the tokens to send to the caller now, in order.
func (r Result) Tokens() []string { return r.tokens }

// ResumeAt returns the number of tokens that the caller has, which is the
// zero-based index of the token with which the next attempt begins.
func (r Result) ResumeAt() int { return r.position }

// Chunk is a part of a response as an engine sent it.
type Chunk struct {
	request    string
	attempt    int
	firstIndex int
	tokens     []string
}

// NewChunk returns a chunk of an attempt. firstIndex is the zero-based index of its
// first token in the whole response. If an engine doesn't number its tokens, the
// reader of its stream counts from the position at which the attempt was resumed.
func NewChunk(request string, attempt, firstIndex int, tokens ...string) Chunk {
	return Chunk{request: request, attempt: attempt, firstIndex: firstIndex, tokens: tokens}
}

// Usage is the token usage of a response as counted by the engine.
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

// PromptTokens returns the number of tokens of the prompt.
func (u Usage) PromptTokens() int { return u.prompt }

// CachedTokens returns the number of tokens of the prompt that the engine had cached.
func (u Usage) CachedTokens() int { return u.cached }

// OutputTokens returns the number of tokens of the response.
func (u Usage) OutputTokens() int { return u.output }

// End is the end marker of an engine's stream.
type End struct {
	request     string
	attempt     int
	totalTokens int
	reason      string
	usage       Usage
}

// NewEnd returns the end marker of an attempt: the number of tokens of the whole
// response, including those before the attempt, the finish reason of the engine,
// and its token usage. The prompt of the usage is the caller's own, without the
// tokens that were sent before the attempt.
func NewEnd(request string, attempt, totalTokens int, reason string, usage Usage) End {
	return End{request: request, attempt: attempt, totalTokens: totalTokens, reason: reason, usage: usage}
}

// Reason returns why the engine stopped.
func (e End) Reason() string { return e.reason }

// Usage returns the token usage of the whole response. Its output is the number of
// tokens that the caller received: an engine that continued a response counts
// only its own part, or counts the tokens sent before as part of the prompt.
func (e End) Usage() Usage {
	return Usage{prompt: e.usage.prompt, cached: min(e.usage.cached, e.usage.prompt), output: e.totalTokens}
}

// Assembler assembles one response. It is not safe for concurrent use: the goroutine
// that serves the request owns it.
type Assembler struct {
	config             Config
	attempt            int
	attemptActive      bool
	ended              bool
	sent               []string
	outOfOrder         map[int]string
	endMarker          *End
	lateEvents         int
	otherRequestEvents int
}

// New checks c and returns an [Assembler] without any attempt. It returns an error if the id of the
// request is empty.
func New(c Config) (*Assembler, error) {
	if c.Request == "" {
		return nil, errors.New("an answer needs the id of its request")
	}
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.MaxReorderTokens = cmp.Or(c.MaxReorderTokens, DefaultMaxReorderTokens)
	return &Assembler{config: c, outOfOrder: map[int]string{}}, nil
}

// Start begins the next attempt and returns its number, from one, and the
// position, in tokens, at which its engine must continue. It reports false if the
// response has ended or no attempt is left.
func (a *Assembler) Start() (attempt, position int, ok bool) {
	if a.ended || a.attempt >= a.config.MaxAttempts {
		return 0, 0, false
	}
	a.attempt++
	a.attemptActive = true
	a.endMarker = nil
	clear(a.outOfOrder)
	return a.attempt, len(a.sent), true
}

// Chunk handles a received chunk.
func (a *Assembler) Chunk(c Chunk) Result {
	if !a.isCurrent(c.request, c.attempt) {
		return a.newResult(ActionDrop, nil)
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

// End handles a received end marker. A marker that arrives before the last tokens
// is held until they arrive. If the connection closes first, the tokens were lost
// and the attempt is broken off.
func (a *Assembler) End(e End) Result {
	if !a.isCurrent(e.request, e.attempt) {
		return a.newResult(ActionDrop, nil)
	}
	if a.minLength() > e.totalTokens {
		return a.endAttempt()
	}
	a.endMarker = &e
	return a.completeIfDelivered(nil)
}

// minLength returns the minimum length of the response, given the tokens received.
func (a *Assembler) minLength() int {
	length := len(a.sent)
	for index := range a.outOfOrder {
		length = max(length, index+1)
	}
	return length
}

// completeIfDelivered completes the response if all tokens before the end marker
// were forwarded.
func (a *Assembler) completeIfDelivered(tokens []string) Result {
	if len(a.sent) < a.endMarker.totalTokens {
		return a.forwardOrDrop(tokens)
	}
	a.attemptActive = false
	a.ended = true
	return a.newResult(ActionComplete, tokens)
}

func (a *Assembler) forwardOrDrop(tokens []string) Result {
	if len(tokens) == 0 {
		return a.newResult(ActionDrop, nil)
	}
	return a.newResult(ActionForward, tokens)
}

// ConnectionClosed handles the end of an attempt's connection, with or without an error. After
// a complete response it has no effect; before that the attempt is broken off.
func (a *Assembler) ConnectionClosed(request string, attempt int) Result {
	if !a.isCurrent(request, attempt) {
		return a.newResult(ActionDrop, nil)
	}
	return a.endAttempt()
}

// Abort ends a response that is not complete, if its caller has disconnected or no
// engine may be tried.
func (a *Assembler) Abort() Result {
	a.attemptActive = false
	a.ended = true
	a.endMarker = nil
	return a.newResult(ActionFail, nil)
}

// isCurrent reports whether an event belongs to this request and to the active
// attempt. Otherwise it counts the event as late or as one of another request.
func (a *Assembler) isCurrent(request string, attempt int) bool {
	if request != a.config.Request {
		a.otherRequestEvents++
		return false
	}
	if attempt != a.attempt || !a.attemptActive {
		a.lateEvents++
		return false
	}
	return true
}

// consistent reports whether c agrees with everything received: no different token
// at a known index, none after the end, and a beginning that is not too far ahead
// of the next missing token.
func (a *Assembler) consistent(c Chunk) bool {
	if c.firstIndex < 0 || c.firstIndex > len(a.sent)+a.config.MaxReorderTokens {
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

func (a *Assembler) receivedToken(index int) (string, bool) {
	if index < len(a.sent) {
		return a.sent[index], true
	}
	token, ok := a.outOfOrder[index]
	return token, ok
}

// accept stores the new tokens of c and returns those that can be forwarded now.
func (a *Assembler) accept(c Chunk) []string {
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

// pruneOutOfOrder removes the held tokens that were sent, from index firstSent on.
func (a *Assembler) pruneOutOfOrder(firstSent int) {
	if len(a.outOfOrder) == 0 {
		return
	}
	for index := firstSent; index < len(a.sent); index++ {
		delete(a.outOfOrder, index)
	}
}

func (a *Assembler) endAttempt() Result {
	a.attemptActive = false
	a.endMarker = nil
	clear(a.outOfOrder)
	if a.attempt >= a.config.MaxAttempts {
		a.ended = true
		return a.newResult(ActionFail, nil)
	}
	return a.newResult(ActionResume, nil)
}

func (a *Assembler) newResult(action Action, tokens []string) Result {
	return Result{action: action, tokens: tokens, position: len(a.sent)}
}

// SentTokens returns the tokens that the caller has, for the engine that continues. The
// slice must not be changed.
func (a *Assembler) SentTokens() []string { return a.sent }

// Attempt returns the number of the latest attempt, zero before the first.
func (a *Assembler) Attempt() int { return a.attempt }

// EndMarker returns the end marker of a complete response, and false if the response is
// not complete.
func (a *Assembler) EndMarker() (End, bool) {
	if !a.ended || a.endMarker == nil {
		return End{}, false
	}
	return *a.endMarker, true
}

// LateEvents returns the number of events that arrived after their attempt had ended.
func (a *Assembler) LateEvents() int { return a.lateEvents }

// OtherRequestEvents returns the number of events that belonged to another request.
func (a *Assembler) OtherRequestEvents() int { return a.otherRequestEvents }
