package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/peer"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// completions serves completions and chat completions.
func (h *Handler) completions(w http.ResponseWriter, r *http.Request) {
	state := requestStateOf(r)
	body, failure := h.readBody(w, r)
	if failure != nil {
		h.refuse(w, state.id, failure)
		return
	}
	g, req, failure := parseRequest(r.URL.Path, body)
	if failure != nil {
		h.refuse(w, state.id, failure)
		return
	}
	g.id, g.account = state.id, state.account
	g.timeout, failure = parseTimeout(r.Header)
	if failure != nil {
		h.refuse(w, state.id, failure)
		return
	}
	h.respond(w, r, g, req)
}

func (h *Handler) respond(w http.ResponseWriter, r *http.Request, g Generation, req completionRequest) {
	if !req.Stream {
		h.respondBuffered(w, r, g)
		return
	}
	s := &streamSink{
		id: "cmpl-" + g.id, created: time.Now().Unix(), writer: w, controller: http.NewResponseController(w),
		timeout: h.writeTimeout, includeUsage: req.StreamOptions != nil && req.StreamOptions.Usage,
	}
	err := h.backend.Generate(r.Context(), g, s)
	if err == nil {
		s.finish()
		return
	}
	f := kumquatlug.FailureOf(err)
	if !s.started {
		h.refuse(w, g.id, f)
		return
	}
	h.logger.Warn("stream failed", zap.String("request", g.id), zap.String("step", f.Step()),
		zap.String("peer", f.Peer()), zap.String("reason", f.Reason()), zap.String("cause", f.CauseText()))
	s.writeError(newErrorBody(g.id, f))
}

func (h *Handler) respondBuffered(w http.ResponseWriter, r *http.Request, g Generation) {
	s := &bufferedSink{}
	if err := h.backend.Generate(r.Context(), g, s); err != nil {
		h.refuse(w, g.id, kumquatlug.FailureOf(err))
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.writeTimeout.Duration()))
	w.Header().Set(peer.HeaderExecution, string(kumquatlug.Executed))
	writeJSON(w, http.StatusOK, s.responseBody("cmpl-"+g.id, time.Now().Unix(), g.kind.Name()))
}

// streamSink writes each chunk to the caller as a server-sent event.
type streamSink struct {
	id           string
	created      int64
	writer       http.ResponseWriter
	controller   *http.ResponseController
	timeout      kumquatlug.Millis
	includeUsage bool
	started      bool
	// unflushed is set when something was written since the last flush.
	unflushed bool
	// buffer is reused for each event.
	buffer []byte
}

// Framing of a server-sent event.
const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
)

// Chunk writes c with the ID of the request, so that a response produced by two
// engines looks like one.
func (s *streamSink) Chunk(c engine.Chunk) error {
	if len(c.Choices) == 0 && !s.includeUsage {
		return nil
	}
	if len(c.Choices) > 0 {
		c.Usage = nil
	}
	c.ID, c.Created = s.id, s.created
	event, err := c.AppendJSON(append(s.buffer[:0], eventPrefix...))
	s.buffer = event
	if err != nil {
		return err
	}
	return s.writeBytes(append(event, eventSuffix...))
}

func (s *streamSink) writeJSONEvent(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return s.writeEvent(data)
}

func (s *streamSink) writeEvent(data []byte) error {
	s.buffer = append(append(append(s.buffer[:0], eventPrefix...), data...), eventSuffix...)
	return s.writeBytes(s.buffer)
}

// writeBytes writes one event. It is sent at the next flush, or when the buffer
// of the connection is full.
func (s *streamSink) writeBytes(event []byte) error {
	if !s.started {
		s.writeHeader()
	}
	if !s.unflushed {
		s.unflushed = true
		_ = s.controller.SetWriteDeadline(time.Now().Add(s.timeout.Duration()))
	}
	_, err := s.writer.Write(event)
	return err
}

// Flush sends the events written so far to the caller.
func (s *streamSink) Flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	return s.controller.Flush()
}

func (s *streamSink) writeHeader() {
	s.started = true
	h := s.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(peer.HeaderExecution, string(kumquatlug.Executed))
	s.writer.WriteHeader(http.StatusOK)
}

// finish writes the [DONE] event, which marks the response as complete.
func (s *streamSink) finish() {
	_ = s.writeEvent([]byte("[DONE]"))
	_ = s.Flush()
}

// writeError writes an error event after the stream has started. It omits the
// [DONE] event, so that no caller takes the partial response for a complete
// one.
func (s *streamSink) writeError(body errorBody) {
	_ = s.writeJSONEvent(body)
	_ = s.Flush()
}

// bufferedSink collects the chunks of a response that is not streamed.
type bufferedSink struct {
	text         []byte
	chat         bool
	finishReason string
	usage        *engine.Usage
}

// Chunk appends the text of c.
func (s *bufferedSink) Chunk(c engine.Chunk) error {
	if c.Usage != nil {
		s.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	if choice.FinishReason != nil {
		s.finishReason = *choice.FinishReason
	}
	if choice.Text != nil {
		s.text = append(s.text, *choice.Text...)
	}
	if len(choice.Delta) == 0 {
		return nil
	}
	s.chat = true
	var delta struct {
		Content string `json:"content"`
	}
	if err := json.Unmarshal(choice.Delta, &delta); err != nil {
		return err
	}
	s.text = append(s.text, delta.Content...)
	return nil
}

// Flush does nothing: the response is sent as a whole.
func (s *bufferedSink) Flush() error { return nil }

// responseBody returns the response in the format of the API that was called.
func (s *bufferedSink) responseBody(id string, created int64, model string) any {
	type response struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Created int64         `json:"created"`
		Model   string        `json:"model"`
		Choices []any         `json:"choices"`
		Usage   *engine.Usage `json:"usage,omitempty"`
	}
	if !s.chat {
		return response{id, "text_completion", created, model, []any{struct {
			Index    int    `json:"index"`
			Text     string `json:"text"`
			Logprobs any    `json:"logprobs"`
			Finish   string `json:"finish_reason"`
		}{0, string(s.text), nil, s.finishReason}}, s.usage}
	}
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	return response{id, "chat.completion", created, model, []any{struct {
		Index   int     `json:"index"`
		Message message `json:"message"`
		Finish  string  `json:"finish_reason"`
	}{0, message{"assistant", string(s.text)}, s.finishReason}}, s.usage}
}
