package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// importSpeedup is how many times faster importing a KV cache is than computing
// it.
const importSpeedup = 10

var errAborted = errors.New("request aborted by a crash or an order")

// completionRequest is the body of a completion request, text or chat.
type completionRequest struct {
	Model         string    `json:"model"`
	Prompt        string    `json:"prompt"`
	Messages      []Message `json:"messages"`
	MaxTokens     int       `json:"max_tokens"`
	MaxCompletion int       `json:"max_completion_tokens"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage    bool `json:"include_usage"`
		ContinuousUsage bool `json:"continuous_usage_stats"`
	} `json:"stream_options"`
	// Priority: higher values run first.
	Priority     int `json:"priority"`
	ResumeTokens int `json:"resume_tokens"`

	chat bool
	id   string
}

func (r completionRequest) prompt() string {
	if r.chat || len(r.Messages) > 0 {
		return ChatPrompt(r.Messages)
	}
	return r.Prompt
}

func (r completionRequest) maxTokens() int { return max(r.MaxTokens, r.MaxCompletion) }

func (r completionRequest) finishReason() string {
	if r.maxTokens() > 0 {
		return "length"
	}
	return "stop"
}

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !decodeBody(w, r, &request) {
		return
	}
	if request.Prompt == "" {
		writeError(w, http.StatusBadRequest, "invalid_request", "there is no prompt")
		return
	}
	e.serve(w, r, request)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	request := completionRequest{chat: true}
	if !decodeBody(w, r, &request) {
		return
	}
	if len(request.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "invalid_request", "there are no messages")
		return
	}
	e.serve(w, r, request)
}

func (e *Engine) serve(w http.ResponseWriter, httpRequest *http.Request, request completionRequest) {
	prompt := request.prompt()
	s := e.newSequence(prompt, ResponseLength(prompt, request.maxTokens()), request.ResumeTokens)
	s.priority = request.Priority
	if !e.accept(w, request.Model, s) {
		return
	}
	defer e.cancel(s)
	if request.Model == "" {
		request.Model = e.config.Models[0]
	}
	request.id = "cmpl-" + strconv.FormatInt(s.arrival, 10)
	var err error
	if request.Stream {
		err = e.streamResponse(httpRequest.Context(), w, request, s)
	} else {
		err = e.writeResponse(httpRequest.Context(), w, request, s)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) newSequence(prompt string, total, resumed int) *sequence {
	resumed = min(max(0, resumed), total)
	s := &sequence{
		prompt: prompt, promptTokens: PromptTokens(prompt), blockHashes: PrefixHashes(prompt, e.config.BlockTokens),
		totalTokens: total, resumedTokens: resumed, wake: make(chan struct{}, 1),
	}
	s.reservedTokens = s.promptTokens + total
	s.producedTokens.Store(int64(resumed))
	return s
}

// accept enqueues s, or writes an error response and returns false.
func (e *Engine) accept(w http.ResponseWriter, model string, s *sequence) bool {
	e.mu.Lock()
	known := model == "" || slices.Contains(e.models, model)
	settled := e.orders.state == StateSettled
	wrongRole := e.config.StrictRole && e.orders.role == kumquatlug.RolePrefill && s.totalTokens > 0
	fits := s.reservedTokens <= e.config.KVTokens
	accepted := known && settled && !wrongRole && fits
	if accepted {
		e.enqueue(s)
	}
	e.mu.Unlock()
	switch {
	case !settled:
		writeError(w, http.StatusServiceUnavailable, "changing", "an order is not settled")
	case !known:
		writeError(w, http.StatusNotFound, "model_not_found", "the model "+model+" is not loaded")
	case wrongRole:
		writeError(w, http.StatusServiceUnavailable, "wrong_role", "the engine only prefills")
	case !fits:
		writeError(w, http.StatusBadRequest, "context_length_exceeded", "prompt and answer exceed the KV memory")
	}
	return accepted
}

// awaitTokens blocks until s has more than seen tokens or is finished, and
// returns its number of tokens. It returns an error if s is aborted or ctx
// ends.
func awaitTokens(ctx context.Context, s *sequence, seen int) (int, error) {
	for {
		if s.aborted.Load() {
			return seen, errAborted
		}
		finished := s.finished.Load()
		if n := int(s.producedTokens.Load()); n > seen || finished {
			return n, nil
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return seen, ctx.Err()
		}
	}
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// newUsage must not be called before s has its first token: cachedTokens is not
// final until then.
func newUsage(s *sequence, completion int) usage {
	u := usage{PromptTokens: s.promptTokens, CompletionTokens: completion, TotalTokens: s.promptTokens + completion}
	u.Details.CachedTokens = s.cachedTokens
	return u
}

func (e *Engine) writeResponse(ctx context.Context, w http.ResponseWriter, request completionRequest, s *sequence) error {
	for !s.finished.Load() {
		if _, err := awaitTokens(ctx, s, s.totalTokens); err != nil {
			return err
		}
	}
	text := strings.Join(ResponseTokens(s.prompt, s.totalTokens)[s.resumedTokens:], "")
	type choice struct {
		Index   int      `json:"index"`
		Text    *string  `json:"text,omitempty"`
		Message *Message `json:"message,omitempty"`
		Finish  string   `json:"finish_reason"`
	}
	c := choice{Text: &text, Finish: request.finishReason()}
	object := "text_completion"
	if request.chat {
		c = choice{Message: &Message{Role: "assistant", Content: text}, Finish: c.Finish}
		object = "chat.completion"
	}
	body, err := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{request.id, object, 1, request.Model, []choice{c}, newUsage(s, s.totalTokens)})
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	standin.WriteEnding(w, http.StatusOK, append(body, '\n'), e.config.Ending)
	return nil
}

// streamResponse sends one event per token as the tokens are produced.
func (e *Engine) streamResponse(ctx context.Context, w http.ResponseWriter, request completionRequest, s *sequence) error {
	flusher, ok := w.(http.Flusher)
	if !ok {
		return errors.New("response writer does not support flushing")
	}
	encoder := newEventEncoder(request, s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	ending := e.config.Ending
	if ending != standin.EndingFramed {
		standin.Unframe(w)
	}
	arrived := time.Now()
	tokens := ResponseTokens(s.prompt, s.totalTokens)
	for seen := s.resumedTokens; ; {
		n, err := awaitTokens(ctx, s, seen)
		if err != nil {
			return err
		}
		for ; seen < n; seen++ {
			token := tokens[seen]
			if e.config.StampTokens {
				token = NewStamp(arrived, time.Now()).String()
			}
			encoder.addChunk(token, seen+1)
		}
		if ending.Incomplete() && (seen == s.totalTokens || seen-s.resumedTokens > 1) {
			events := encoder.drain()
			standin.WriteLast(w, events[:len(events)-len("]}\n\n")], ending)
			return nil
		}
		if seen == s.totalTokens {
			break
		}
		if _, err := w.Write(encoder.drain()); err != nil {
			return err
		}
		flusher.Flush()
	}
	if s.resumedTokens == s.totalTokens {
		encoder.addChunk("", s.totalTokens)
	}
	_, err := w.Write(encoder.finish())
	return err
}

// eventEncoder encodes the server-sent events of one stream. The prefix that
// all events share is encoded once.
type eventEncoder struct {
	request  completionRequest
	sequence *sequence
	prefix   string
	first    bool
	buffer   []byte
}

func newEventEncoder(request completionRequest, s *sequence) *eventEncoder {
	object := "text_completion"
	if request.chat {
		object = "chat.completion.chunk"
	}
	model, _ := json.Marshal(request.Model)
	prefix := fmt.Sprintf(`data: {"id":%q,"object":%q,"created":1,"model":%s,"choices":[`, request.id, object, model)
	return &eventEncoder{request: request, sequence: s, prefix: prefix, first: true}
}

// addChunk encodes the event of one token; count is the number of tokens up to
// and including it.
func (e *eventEncoder) addChunk(token string, count int) {
	e.buffer = append(e.buffer, e.prefix...)
	switch {
	case !e.request.chat:
		e.buffer = append(e.buffer, `{"index":0,"text":"`...)
	case e.first:
		e.buffer = append(e.buffer, `{"index":0,"delta":{"role":"assistant","content":"`...)
	default:
		e.buffer = append(e.buffer, `{"index":0,"delta":{"content":"`...)
	}
	e.first = false
	e.buffer = append(e.buffer, token...)
	e.buffer = append(e.buffer, '"')
	if e.request.chat {
		e.buffer = append(e.buffer, '}')
	}
	finish := "null"
	if count == e.sequence.totalTokens {
		finish = `"` + e.request.finishReason() + `"`
	}
	e.buffer = append(e.buffer, `,"finish_reason":`...)
	e.buffer = append(e.buffer, finish...)
	e.buffer = append(e.buffer, `}]`...)
	if e.request.StreamOptions.ContinuousUsage {
		e.addUsage(count)
	}
	e.buffer = append(e.buffer, "}\n\n"...)
}

func (e *eventEncoder) addUsage(count int) {
	text, _ := json.Marshal(newUsage(e.sequence, count))
	e.buffer = append(e.buffer, `,"usage":`...)
	e.buffer = append(e.buffer, text...)
}

// drain returns the bytes added since the last call. They are valid until the
// next addChunk.
func (e *eventEncoder) drain() []byte {
	b := e.buffer
	e.buffer = e.buffer[:0]
	return b
}

// finish returns the last events of the stream.
func (e *eventEncoder) finish() []byte {
	if e.request.StreamOptions.IncludeUsage {
		e.buffer = append(e.buffer, e.prefix...)
		e.buffer = append(e.buffer, ']')
		e.addUsage(e.sequence.totalTokens)
		e.buffer = append(e.buffer, "}\n\n"...)
	}
	e.buffer = append(e.buffer, "data: [DONE]\n\n"...)
	return e.drain()
}

// kvHandle returns the handle of a prompt's KV cache. It is the same on every
// engine.
func kvHandle(prompt string) string {
	return fmt.Sprintf("kv-%016x-%d", xxhash.Sum64String(prompt), PromptTokens(prompt))
}

// exportKV prefills a prompt and returns the handle of its KV cache.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !decodeBody(w, r, &request) {
		return
	}
	prompt := request.prompt()
	s := e.newSequence(prompt, 0, 0)
	s.priority = request.Priority
	if !e.accept(w, request.Model, s) {
		return
	}
	defer e.cancel(s)
	if _, err := awaitTokens(r.Context(), s, 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, http.StatusOK, struct {
		Handle string `json:"handle"`
		Tokens int    `json:"tokens"`
	}{kvHandle(prompt), s.promptTokens})
}

// importKV imports a KV cache. The next request with its prompt consumes it.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Handle string `json:"handle"`
	}
	if !decodeBody(w, r, &body) {
		return
	}
	var sum uint64
	var tokens int
	if _, err := fmt.Sscanf(body.Handle, "kv-%16x-%d", &sum, &tokens); err != nil {
		writeError(w, http.StatusBadRequest, "unknown_handle", "the handle is not of an export")
		return
	}
	duration := kumquatlug.Millis(tokens) * kumquatlug.Second / kumquatlug.Millis(e.config.PrefillRate*importSpeedup)
	if standin.Wait(r.Context(), e.scaled(duration)) != nil {
		return
	}
	e.mu.Lock()
	full := len(e.imported) >= maxUnusedImports
	if !full {
		e.imported[body.Handle] = true
	}
	e.mu.Unlock()
	if full {
		writeError(w, http.StatusServiceUnavailable, "full", "too many imported KV caches are unused")
		return
	}
	standin.WriteJSON(w, http.StatusOK, struct {
		Tokens int `json:"tokens"`
	}{tokens})
}
