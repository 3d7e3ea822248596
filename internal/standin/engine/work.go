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

// importSpeed is how many times faster a KV cache is imported than computed.
const importSpeed = 10

var errCut = errors.New("cut by a crash or an order")

// task is a request for a completion, plain or chat.
type task struct {
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
	// Priority: the higher is served first.
	Priority     int `json:"priority"`
	ResumeTokens int `json:"resume_tokens"`

	chat bool
	id   string
}

func (t task) prompt() string {
	if t.chat || len(t.Messages) > 0 {
		return ChatPrompt(t.Messages)
	}
	return t.Prompt
}

func (t task) limit() int { return max(t.MaxTokens, t.MaxCompletion) }

func (t task) finishReason() string {
	if t.limit() > 0 {
		return "length"
	}
	return "stop"
}

func (e *Engine) completions(w http.ResponseWriter, r *http.Request) {
	var t task
	if !read(w, r, &t) {
		return
	}
	if t.Prompt == "" {
		refuse(w, http.StatusBadRequest, "invalid_request", "there is no prompt")
		return
	}
	e.serve(w, r, t)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	t := task{chat: true}
	if !read(w, r, &t) {
		return
	}
	if len(t.Messages) == 0 {
		refuse(w, http.StatusBadRequest, "invalid_request", "there are no messages")
		return
	}
	e.serve(w, r, t)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, t task) {
	prompt := t.prompt()
	s := e.newSequence(prompt, AnswerTokens(prompt, t.limit()), t.ResumeTokens)
	s.priority = t.Priority
	if !e.accept(w, t.Model, s) {
		return
	}
	defer e.drop(s)
	if t.Model == "" {
		t.Model = e.config.Models[0]
	}
	t.id = "cmpl-" + strconv.FormatInt(s.arrival, 10)
	var err error
	if t.Stream {
		err = e.stream(r.Context(), w, t, s)
	} else {
		err = e.whole(r.Context(), w, t, s)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) newSequence(prompt string, total, resumed int) *sequence {
	resumed = min(max(0, resumed), total)
	s := &sequence{
		prompt: prompt, promptTokens: PromptTokens(prompt), names: Prefixes(prompt, e.config.BlockTokens),
		total: total, resumed: resumed, wake: make(chan struct{}, 1),
	}
	s.reserved = s.promptTokens + total
	s.produced.Store(int64(resumed))
	return s
}

// accept puts s in line, or refuses it and says why.
func (e *Engine) accept(w http.ResponseWriter, model string, s *sequence) bool {
	e.mu.Lock()
	known := model == "" || slices.Contains(e.models, model)
	settled := e.orders.state == StateSettled
	wrongRole := e.config.StrictRole && e.orders.role == kumquatlug.RolePrefill && s.total > 0
	fits := s.reserved <= e.config.KVTokens
	accepted := known && settled && !wrongRole && fits
	if accepted {
		e.submit(s)
	}
	e.mu.Unlock()
	switch {
	case !settled:
		refuse(w, http.StatusServiceUnavailable, "changing", "an order is not settled")
	case !known:
		refuse(w, http.StatusNotFound, "model_not_found", "the model "+model+" is not loaded")
	case wrongRole:
		refuse(w, http.StatusServiceUnavailable, "wrong_role", "the engine only prefills")
	case !fits:
		refuse(w, http.StatusBadRequest, "context_length_exceeded", "prompt and answer exceed the KV memory")
	}
	return accepted
}

// await returns once s has more than seen tokens, or all it will have.
func await(ctx context.Context, s *sequence, seen int) (int, error) {
	for {
		if s.cut.Load() {
			return seen, errCut
		}
		finished := s.finished.Load()
		if n := int(s.produced.Load()); n > seen || finished {
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

// usageOf may be called once s has its first token: cached is fixed then.
func usageOf(s *sequence, completion int) usage {
	u := usage{PromptTokens: s.promptTokens, CompletionTokens: completion, TotalTokens: s.promptTokens + completion}
	u.Details.CachedTokens = s.cached
	return u
}

func (e *Engine) whole(ctx context.Context, w http.ResponseWriter, t task, s *sequence) error {
	for !s.finished.Load() {
		if _, err := await(ctx, s, s.total); err != nil {
			return err
		}
	}
	text := strings.Join(Answer(s.prompt, s.total)[s.resumed:], "")
	type choice struct {
		Index   int      `json:"index"`
		Text    *string  `json:"text,omitempty"`
		Message *Message `json:"message,omitempty"`
		Finish  string   `json:"finish_reason"`
	}
	c := choice{Text: &text, Finish: t.finishReason()}
	object := "text_completion"
	if t.chat {
		c = choice{Message: &Message{Role: "assistant", Content: text}, Finish: c.Finish}
		object = "chat.completion"
	}
	standin.Reply(w, http.StatusOK, struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{t.id, object, 1, t.Model, []choice{c}, usageOf(s, s.total)})
	return nil
}

// stream sends one chunk a token as they come.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, t task, s *sequence) error {
	flusher, ok := w.(http.Flusher)
	if !ok {
		return errors.New("the connection can't stream")
	}
	c := newChunks(t, s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	arrived := time.Now()
	tokens := Answer(s.prompt, s.total)
	for seen := s.resumed; ; {
		n, err := await(ctx, s, seen)
		if err != nil {
			return err
		}
		for ; seen < n; seen++ {
			token := tokens[seen]
			if e.config.Stamped {
				token = NewStamp(arrived, time.Now()).String()
			}
			c.add(token, seen+1)
		}
		if seen == s.total {
			break
		}
		if _, err := w.Write(c.take()); err != nil {
			return err
		}
		flusher.Flush()
	}
	if s.resumed == s.total {
		c.add("", s.total)
	}
	_, err := w.Write(c.end())
	return err
}

// chunks writes the events of one stream. What stays the same is encoded once.
type chunks struct {
	task     task
	sequence *sequence
	head     string
	first    bool
	buffer   []byte
}

func newChunks(t task, s *sequence) *chunks {
	object := "text_completion"
	if t.chat {
		object = "chat.completion.chunk"
	}
	model, _ := json.Marshal(t.Model)
	head := fmt.Sprintf(`data: {"id":%q,"object":%q,"created":1,"model":%s,"choices":[`, t.id, object, model)
	return &chunks{task: t, sequence: s, head: head, first: true}
}

// add writes the chunk of one token; count is how many there are with it.
func (c *chunks) add(token string, count int) {
	c.buffer = append(c.buffer, c.head...)
	switch {
	case !c.task.chat:
		c.buffer = append(c.buffer, `{"index":0,"text":"`...)
	case c.first:
		c.buffer = append(c.buffer, `{"index":0,"delta":{"role":"assistant","content":"`...)
	default:
		c.buffer = append(c.buffer, `{"index":0,"delta":{"content":"`...)
	}
	c.first = false
	c.buffer = append(c.buffer, token...)
	c.buffer = append(c.buffer, '"')
	if c.task.chat {
		c.buffer = append(c.buffer, '}')
	}
	finish := "null"
	if count == c.sequence.total {
		finish = `"` + c.task.finishReason() + `"`
	}
	c.buffer = append(c.buffer, `,"finish_reason":`...)
	c.buffer = append(c.buffer, finish...)
	c.buffer = append(c.buffer, `}]`...)
	if c.task.StreamOptions.ContinuousUsage {
		c.addUsage(count)
	}
	c.buffer = append(c.buffer, "}\n\n"...)
}

func (c *chunks) addUsage(count int) {
	text, _ := json.Marshal(usageOf(c.sequence, count))
	c.buffer = append(c.buffer, `,"usage":`...)
	c.buffer = append(c.buffer, text...)
}

// take returns what was added since the last call.
func (c *chunks) take() []byte {
	b := c.buffer
	c.buffer = c.buffer[:0]
	return b
}

// end returns the last events of the stream.
func (c *chunks) end() []byte {
	if c.task.StreamOptions.IncludeUsage {
		c.buffer = append(c.buffer, c.head...)
		c.buffer = append(c.buffer, ']')
		c.addUsage(c.sequence.total)
		c.buffer = append(c.buffer, "}\n\n"...)
	}
	c.buffer = append(c.buffer, "data: [DONE]\n\n"...)
	return c.take()
}

// handleOf names the KV cache of a prompt, for every engine alike.
func handleOf(prompt string) string {
	return fmt.Sprintf("kv-%016x-%d", xxhash.Sum64String(prompt), PromptTokens(prompt))
}

// exportKV prefills a prompt and names its KV cache.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var t task
	if !read(w, r, &t) {
		return
	}
	prompt := t.prompt()
	s := e.newSequence(prompt, 0, 0)
	s.priority = t.Priority
	if !e.accept(w, t.Model, s) {
		return
	}
	defer e.drop(s)
	if _, err := await(r.Context(), s, 0); err != nil {
		panic(http.ErrAbortHandler)
	}
	standin.Reply(w, http.StatusOK, struct {
		Handle string `json:"handle"`
		Tokens int    `json:"tokens"`
	}{handleOf(prompt), s.promptTokens})
}

// importKV takes over a KV cache; the next request for its prompt uses it up.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Handle string `json:"handle"`
	}
	if !read(w, r, &body) {
		return
	}
	var sum uint64
	var tokens int
	if _, err := fmt.Sscanf(body.Handle, "kv-%16x-%d", &sum, &tokens); err != nil {
		refuse(w, http.StatusBadRequest, "unknown_handle", "the handle is not of an export")
		return
	}
	span := kumquatlug.Millis(tokens) * kumquatlug.Second / kumquatlug.Millis(e.config.PrefillRate*importSpeed)
	if standin.Wait(r.Context(), e.scaled(span)) != nil {
		return
	}
	e.mu.Lock()
	full := len(e.imported) >= maxImports
	if !full {
		e.imported[body.Handle] = true
	}
	e.mu.Unlock()
	if full {
		refuse(w, http.StatusServiceUnavailable, "full", "too many imported KV caches are unused")
		return
	}
	standin.Reply(w, http.StatusOK, struct {
		Tokens int `json:"tokens"`
	}{tokens})
}
