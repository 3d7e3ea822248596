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

// completions serves both completions and chat completions.
func (h *Handler) completions(w http.ResponseWriter, r *http.Request) {
	from := originOf(r)
	body, failure := h.readBody(w, r)
	if failure != nil {
		h.refuse(w, from.id, failure)
		return
	}
	g, wish, failure := parse(r.URL.Path, body)
	if failure != nil {
		h.refuse(w, from.id, failure)
		return
	}
	g.id, g.account = from.id, from.account
	g.timeout, failure = timeoutOf(r.Header)
	if failure != nil {
		h.refuse(w, from.id, failure)
		return
	}
	h.answer(w, r, g, wish)
}

func (h *Handler) answer(w http.ResponseWriter, r *http.Request, g Generation, wish wishes) {
	if !wish.Stream {
		h.answerWhole(w, r, g)
		return
	}
	s := &streamSink{
		id: "cmpl-" + g.id, created: time.Now().Unix(), writer: w, control: http.NewResponseController(w),
		timeout: h.writeTimeout, usage: wish.StreamOptions != nil && wish.StreamOptions.Usage,
	}
	err := h.desk.Generate(r.Context(), g, s)
	if err == nil {
		s.end()
		return
	}
	f := kumquatlug.FailureOf(err)
	if !s.begun {
		h.refuse(w, g.id, f)
		return
	}
	h.logger.Warn("stream failed", zap.String("request", g.id), zap.String("step", f.Step()),
		zap.String("peer", f.Peer()), zap.String("reason", f.Reason()), zap.String("cause", f.CauseText()))
	s.fail(bodyOf(g.id, f))
}

func (h *Handler) answerWhole(w http.ResponseWriter, r *http.Request, g Generation) {
	s := &wholeSink{}
	if err := h.desk.Generate(r.Context(), g, s); err != nil {
		h.refuse(w, g.id, kumquatlug.FailureOf(err))
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.writeTimeout.Duration()))
	w.Header().Set(peer.HeaderRan, string(kumquatlug.RanDone))
	writeJSON(w, http.StatusOK, s.body("cmpl-"+g.id, time.Now().Unix(), g.kind.Name()))
}

// streamSink writes each chunk to the caller as a server-sent event.
type streamSink struct {
	id      string
	created int64
	writer  http.ResponseWriter
	control *http.ResponseController
	timeout kumquatlug.Millis
	usage   bool
	begun   bool
	// held says that something was written since the last flush.
	held bool
	// line is used for each event again.
	line []byte
}

// Marks of a server-sent event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

// Chunk writes c under the request's own id, so that an answer which two
// engines wrote reads as one.
func (s *streamSink) Chunk(c engine.Chunk) error {
	if len(c.Choices) == 0 && !s.usage {
		return nil
	}
	if len(c.Choices) > 0 {
		c.Usage = nil
	}
	c.ID, c.Created = s.id, s.created
	line, err := c.AppendJSON(append(s.line[:0], eventStart...))
	s.line = line
	if err != nil {
		return err
	}
	return s.send(append(line, eventEnd...))
}

func (s *streamSink) event(body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return s.write(text)
}

func (s *streamSink) write(text []byte) error {
	s.line = append(append(append(s.line[:0], eventStart...), text...), eventEnd...)
	return s.send(s.line)
}

// send writes one event. It leaves with the next flush, or when the buffer of
// the connection is full.
func (s *streamSink) send(line []byte) error {
	if !s.begun {
		s.begin()
	}
	if !s.held {
		s.held = true
		_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout.Duration()))
	}
	_, err := s.writer.Write(line)
	return err
}

// Flush sends the events written so far to the caller.
func (s *streamSink) Flush() error {
	if !s.held {
		return nil
	}
	s.held = false
	return s.control.Flush()
}

func (s *streamSink) begin() {
	s.begun = true
	h := s.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(peer.HeaderRan, string(kumquatlug.RanDone))
	s.writer.WriteHeader(http.StatusOK)
}

// end writes the mark by which a caller knows that the answer is whole.
func (s *streamSink) end() {
	_ = s.write([]byte("[DONE]"))
	_ = s.Flush()
}

// fail tells of a failure in the middle of a stream, and leaves the end mark
// out, so that no caller takes the part for the whole.
func (s *streamSink) fail(body errorBody) {
	_ = s.event(body)
	_ = s.Flush()
}

// wholeSink gathers the chunks of an answer that is given in one piece.
type wholeSink struct {
	text   []byte
	chat   bool
	finish string
	usage  *engine.Usage
}

// Chunk appends the text of c.
func (s *wholeSink) Chunk(c engine.Chunk) error {
	if c.Usage != nil {
		s.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	choice := c.Choices[0]
	if choice.Finish != nil {
		s.finish = *choice.Finish
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

// Flush does nothing: the answer leaves in one piece.
func (s *wholeSink) Flush() error { return nil }

// body returns the answer in the shape of the API that was called.
func (s *wholeSink) body(id string, created int64, model string) any {
	type answer struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Created int64         `json:"created"`
		Model   string        `json:"model"`
		Choices []any         `json:"choices"`
		Usage   *engine.Usage `json:"usage,omitempty"`
	}
	if !s.chat {
		return answer{id, "text_completion", created, model, []any{struct {
			Index    int    `json:"index"`
			Text     string `json:"text"`
			Logprobs any    `json:"logprobs"`
			Finish   string `json:"finish_reason"`
		}{0, string(s.text), nil, s.finish}}, s.usage}
	}
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	return answer{id, "chat.completion", created, model, []any{struct {
		Index   int     `json:"index"`
		Message message `json:"message"`
		Finish  string  `json:"finish_reason"`
	}{0, message{"assistant", string(s.text)}, s.finish}}, s.usage}
}
