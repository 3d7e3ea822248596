package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/caller"
	"github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/timeline"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/stream"
)

// progressIntervalTokens is the number of tokens between progress reports to
// the loop. It is small enough to keep the router's estimate of a target's load
// current, and takes a sixteenth of the messages of one report per token.
const progressIntervalTokens = 16

// maxAttempts is the limit on attempts per response in the assembler. It is
// never reached: the loop gives up first, by the retry policy and the deadline.
// A request held as a crash suspect is refused five times a second while it
// waits, and each refusal counts as an attempt here.
const maxAttempts = 1 << 16

// trailerTimeout is how long to wait for the end of the body after the [DONE]
// event. The trailer normally arrives with that event; a target that delays it
// costs the caller no more than this, and the agent one connection.
const trailerTimeout = 100 * time.Millisecond

// Generate runs one request to a model until its response is complete, on as
// many engines as that takes.
func (e *Entry) Generate(ctx context.Context, g caller.Generation, sink caller.Sink) (err error) {
	r := e.newRequest(g.ID(), g.Caller(), g.Kind(), g.Timeout())
	body, err := g.Body(0, 0)
	if err != nil {
		return err
	}
	r.fingerprint = quarantine.NewFingerprint(g.Caller().Name(), g.Kind(), body)
	r.record(timeline.Admitted, "", g.Kind().String())
	r.submit(dispatch.RequestConfig{
		Role: kumquatlug.RoleBoth, PrefixKeys: prefixKeys(g.Prompt()),
		PrefillTokens: g.PromptTokens(), DecodeTokens: g.MaxOutputTokens(),
	})
	defer func() { r.close(err) }()
	assembler, err := stream.New(stream.Config{Request: g.ID(), MaxAttempts: maxAttempts})
	if err != nil {
		return err
	}
	s := &responseStream{request: r, generation: g, sink: sink, assembler: assembler}
	return s.run(ctx)
}

// responseStream is the state of one response in progress.
type responseStream struct {
	request        *request
	generation     caller.Generation
	sink           caller.Sink
	assembler      *stream.Assembler
	reportedTokens int64
	kvHandle       string
	// sentTokens is the number of tokens that the caller has, for continuations.
	sentTokens atomic.Int64
	// template is the first chunk with a choice; it sets the format of the
	// chunks sent to the caller.
	template engine.Chunk
	// last has the latest choices and usage received.
	last engine.Chunk
	// writeErr is the error of the last flush to the caller.
	writeErr error
}

// flush sends the tokens written so far to the caller.
func (s *responseStream) flush() error {
	s.writeErr = s.sink.Flush()
	return s.writeErr
}

// flushingReader reads an attempt's response and flushes the output to the
// caller before each read that may block. Tokens that arrive together are thus
// sent together, because a write to the caller's connection is most of the cost
// of a token. No token is delayed for one that has not arrived yet.
type flushingReader struct {
	stream *responseStream
	body   io.Reader
}

// Read flushes all earlier output, then reads from the body.
func (r flushingReader) Read(p []byte) (int, error) {
	if err := r.stream.flush(); err != nil {
		return 0, err
	}
	return r.body.Read(p)
}

// run makes attempts until the response is complete or the loop refuses the
// request.
func (s *responseStream) run(ctx context.Context) error {
	for {
		attempt, err := s.request.nextAttempt(ctx)
		if err != nil {
			return s.finalError(err)
		}
		attempt, failed, err := s.runAttempt(ctx, attempt)
		if err != nil {
			return err
		}
		switch {
		case failed != nil:
			s.request.reportFailure(attempt, *failed)
		case attempt.Role() == kumquatlug.RolePrefill:
			s.request.entry.loop.post(prefillDone{s.request.id})
		default:
			return nil
		}
	}
}

// finalError corrects the run status of a final failure: once the caller has
// received tokens, the failure can't claim that the work did not run.
func (s *responseStream) finalError(err error) error {
	f := kumquatlug.FailureOf(err)
	if len(s.assembler.SentTokens()) == 0 || f.Execution() == kumquatlug.Executed {
		return err
	}
	return f.WithExecution(kumquatlug.ExecutionUnknown)
}

// runAttempt runs one attempt, and in its place the one that another target accepts if
// the first target becomes suspect. It returns the last attempt, a nil failure if the
// response is complete, and an error if the caller disconnected or the request can't be
// retried.
func (s *responseStream) runAttempt(ctx context.Context, a dispatch.Attempt) (dispatch.Attempt, *dispatch.AttemptFailure, error) {
	g := s.request.guard(ctx, a, guardConfig{agentRequest: s.agentRequest(a), usable: isStatusOK, resumable: true})
	response, refused := g.send() //nolint:bodyclose // readAttempt closes the body
	for {
		failed, err := s.readAttempt(ctx, g, response, refused)
		if err != nil || failed == nil {
			g.close()
			return g.attempt, nil, err
		}
		c := g.failed()
		g.close()
		switch {
		case ctx.Err() != nil:
			if c != nil {
				c.discard()
			}
			return g.attempt, nil, s.request.callerDisconnected("read answer", ctx.Err())
		case c == nil:
			return g.attempt, failed, nil
		case c.next == nil:
			return g.attempt, nil, s.finalError(s.request.finalFailure(c))
		}
		g, response, refused = c.next, c.response, c.refused
	}
}

func isStatusOK(response *http.Response) bool { return response.StatusCode == http.StatusOK }

// agentRequest returns the function that makes the requests of an attempt and its
// continuations, each from the position that the caller has reached.
func (s *responseStream) agentRequest(a dispatch.Attempt) func() (agentRequest, error) {
	kvHandle := s.kvHandle
	return func() (agentRequest, error) {
		o := agentRequest{method: http.MethodPost, path: s.generation.Path(), header: jsonHeader(), kvHandle: kvHandle}
		offset := s.sentTokens.Load()
		if a.Role() == kumquatlug.RolePrefill {
			o.path, o.kvHandle, offset = exportPath, "", 0
		}
		var err error
		o.body, err = s.generation.Body(offset, s.request.enginePriority())
		return o, err
	}
}

// readAttempt reads the response of one attempt. It returns a nil failure if the response
// is complete.
func (s *responseStream) readAttempt(ctx context.Context, g *guardedAttempt, response *http.Response, refused *refusal) (*dispatch.AttemptFailure, error) {
	if ctx.Err() != nil {
		if response != nil {
			response.Body.Close()
		}
		return nil, s.request.callerDisconnected("send work", ctx.Err())
	}
	if refused != nil {
		failed := refused.attemptFailure()
		failed.Resumable = true
		return &failed, nil
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, s.engineError(g.attempt, response)
	}
	if g.attempt.Role() == kumquatlug.RolePrefill {
		return s.readPrefill(g, response)
	}
	number, _, ok := s.assembler.Start()
	if !ok {
		return nil, s.readFailure(g.attempt, "attempts", nil)
	}
	failed, err := s.relay(ctx, g, number, engine.NewReader(flushingReader{s, response.Body}))
	if err != nil {
		return nil, err
	}
	if failed != nil {
		// The trailer is available only after the body was read to its end.
		_, _ = io.Copy(io.Discard, response.Body)
		failed.Notices = noticesFrom(response.Trailer)
		_ = s.flush()
		return failed, nil
	}
	if err := s.flush(); err != nil {
		return nil, s.request.callerDisconnected("write answer", err)
	}
	drainBody(response.Body, g.open.end)
	return nil, nil
}

// drainBody reads the rest of the body after the [DONE] event, so that the
// connection can be reused. A body closed before its end discards its
// connection, and each request would pay for a new connection and its
// handshake, which shows in the CPU time of gateways and agents. drainBody calls
// end, which cancels the attempt, if the rest does not arrive within
// trailerTimeout.
func drainBody(body io.Reader, end func()) {
	timer := time.AfterFunc(trailerTimeout, end)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, body)
}

// engineError returns an engine's own rejection of the request as the final
// failure. Another engine would reject the same request as well.
func (s *responseStream) engineError(a dispatch.Attempt, response *http.Response) error {
	const maxErrorBytes = 4096
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	status := response.StatusCode
	if status < http.StatusBadRequest {
		status = http.StatusBadGateway
	}
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "run at engine", Peer: a.Target(), Reason: "engine_error", Execution: s.request.ranSoFar(), Status: status,
		Cause: errors.Newf("%s", text),
	})
}

func (s *responseStream) readFailure(a dispatch.Attempt, reason string, cause error) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{
		Step: "read answer", Peer: a.Target(), Reason: reason, Execution: kumquatlug.ExecutionUnknown,
		Status: http.StatusBadGateway, Cause: cause,
	})
}

// relay forwards the tokens of one attempt until the response is complete or
// cut off.
func (s *responseStream) relay(ctx context.Context, g *guardedAttempt, number int, chunks *engine.Reader) (*dispatch.AttemptFailure, error) {
	for {
		chunk, err := chunks.Next()
		if errors.Is(err, io.EOF) {
			return s.end(g, number)
		}
		if ctx.Err() != nil {
			return nil, s.request.callerDisconnected("read answer", ctx.Err())
		}
		if s.writeErr != nil {
			return nil, s.request.callerDisconnected("write answer", s.writeErr)
		}
		if err != nil {
			s.assembler.ConnectionClosed(s.request.id, number)
			return s.streamCut(g.attempt, err), nil
		}
		if err := s.relayChunk(number, chunk); err != nil {
			return nil, s.request.callerDisconnected("write answer", err)
		}
	}
}

func (s *responseStream) streamCut(a dispatch.Attempt, cause error) *dispatch.AttemptFailure {
	return &dispatch.AttemptFailure{Failure: s.readFailure(a, "stream_cut", cause), Resumable: true}
}

// relayChunk forwards the part of a chunk that the caller does not have yet.
func (s *responseStream) relayChunk(number int, chunk engine.Chunk) error {
	s.last.Usage = latestUsage(s.last.Usage, chunk.Usage)
	text, isToken := tokenText(chunk)
	if len(chunk.Choices) > 0 {
		s.last.Choices = chunk.Choices
	}
	if s.template.Object == "" && len(chunk.Choices) > 0 {
		s.template = chunk
	}
	if !isToken {
		return nil
	}
	step := s.assembler.Chunk(stream.NewChunk(s.request.id, number, int(chunk.CompletionTokens())-1, text))
	for _, token := range step.Tokens() {
		if err := s.sink.Chunk(s.tokenChunk(token)); err != nil {
			return err
		}
	}
	s.sentTokens.Store(int64(len(s.assembler.SentTokens())))
	return s.reportProgress()
}

// reportProgress reports progress to the loop at the first token and then at
// every progressIntervalTokens.
func (s *responseStream) reportProgress() error {
	tokens := int64(len(s.assembler.SentTokens()))
	if s.reportedTokens == 0 && tokens > 0 {
		s.request.entry.metrics.firstToken.WithLabelValues(s.request.kind.String()).Observe(s.request.age().Seconds())
	}
	if tokens > 0 && (s.reportedTokens == 0 || tokens-s.reportedTokens >= progressIntervalTokens) {
		s.reportedTokens = tokens
		s.request.entry.loop.post(requestProgressed{s.request.id, tokens})
	}
	return nil
}

func latestUsage(current, latest *engine.Usage) *engine.Usage {
	if latest == nil {
		return current
	}
	return latest
}

// tokenText returns the token in a chunk, and false if the chunk has none, only
// a role, a finish reason or usage.
func tokenText(c engine.Chunk) (string, bool) {
	if len(c.Choices) == 0 {
		return "", false
	}
	choice := c.Choices[0]
	if choice.Text != nil {
		return *choice.Text, c.CompletionTokens() > 0 && (*choice.Text != "" || choice.FinishReason == nil)
	}
	var delta struct {
		Content *string `json:"content"`
	}
	if json.Unmarshal(choice.Delta, &delta) != nil || delta.Content == nil {
		return "", false
	}
	return *delta.Content, c.CompletionTokens() > 0 && (*delta.Content != "" || choice.FinishReason == nil)
}

// tokenChunk renders a token in the format of the API that was called.
func (s *responseStream) tokenChunk(token string) engine.Chunk {
	return s.render(token, nil)
}

func (s *responseStream) render(token string, finish *string) engine.Chunk {
	c := engine.Chunk{Object: s.template.Object, Model: s.generation.Kind().Name()}
	choice := engine.Choice{FinishReason: finish}
	if len(s.template.Choices) > 0 && s.template.Choices[0].Text == nil {
		choice.Delta = chatDelta(token, len(s.assembler.SentTokens()) <= 1 && finish == nil)
	} else {
		choice.Text = &token
	}
	c.Choices = []engine.Choice{choice}
	return c
}

// chatDelta returns the delta of a chat message for one token.
func chatDelta(token string, first bool) json.RawMessage {
	body := struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}{Content: token}
	if first {
		body.Role = "assistant"
	}
	text, err := json.Marshal(body)
	if err != nil {
		return json.RawMessage("{}")
	}
	return text
}

// end handles the [DONE] event: the response is complete if no token is
// missing.
func (s *responseStream) end(g *guardedAttempt, number int) (*dispatch.AttemptFailure, error) {
	usage := s.last.Usage
	if usage == nil {
		usage = &engine.Usage{}
	}
	cached := int64(0)
	if usage.PromptDetails != nil {
		cached = usage.PromptDetails.CachedTokens
	}
	reason := s.last.FinishReason()
	step := s.assembler.End(stream.NewEnd(s.request.id, number, int(usage.CompletionTokens), reason,
		stream.NewUsage(int(usage.PromptTokens), int(cached), int(usage.CompletionTokens))))
	if step.Action() != stream.ActionComplete {
		s.assembler.ConnectionClosed(s.request.id, number)
		return s.streamCut(g.attempt, engine.ErrTruncated), nil
	}
	g.callOff()
	s.request.finish(dispatch.Completion{OutputTokens: usage.CompletionTokens, CachedTokens: cached})
	if err := s.sink.Chunk(s.render("", &reason)); err != nil {
		return nil, s.request.callerDisconnected("write answer", err)
	}
	if err := s.sink.Chunk(engine.Chunk{Object: s.template.Object, Model: s.generation.Kind().Name(), Choices: []engine.Choice{}, Usage: usage}); err != nil {
		return nil, s.request.callerDisconnected("write answer", err)
	}
	return nil, nil
}
