package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Parameters of cost estimation before a request runs.
const (
	// bytesPerToken is the typical length of a token of English or Spanish
	// text.
	bytesPerToken = 4
	// maxOutputTokens rejects a max_tokens value that no engine could produce.
	maxOutputTokens = 1 << 20
)

// Generation is one request to a model.
type Generation struct {
	id        string
	account   kumquatlug.Caller
	kind      kumquatlug.Kind
	path      string
	timeout   kumquatlug.Millis
	prompt    string
	maxTokens int64
	fields    map[string]json.RawMessage
}

// ID returns the request ID.
func (g Generation) ID() string { return g.id }

// Caller returns the account of the caller.
func (g Generation) Caller() kumquatlug.Caller { return g.account }

// Kind returns the requested model.
func (g Generation) Kind() kumquatlug.Kind { return g.kind }

// Path returns the path of the API that was called.
func (g Generation) Path() string { return g.path }

// Timeout returns the timeout that the caller requested, in milliseconds, or
// zero if there is none.
func (g Generation) Timeout() kumquatlug.Millis { return g.timeout }

// Prompt returns the text that the engine has to prefill, used for prefix
// affinity.
func (g Generation) Prompt() string { return g.prompt }

// PromptTokens returns the estimated length of the prompt in tokens.
func (g Generation) PromptTokens() int64 { return int64(len(g.prompt))/bytesPerToken + 1 }

// MaxOutputTokens returns the caller's limit on the output, in tokens, or zero if
// there is none.
func (g Generation) MaxOutputTokens() int64 { return g.maxTokens }

// Body returns the request body for an engine: the caller's own fields, but
// always streamed, with token counts and starting after the first resume
// tokens. Streaming every response lets an interrupted one continue at another
// engine without losing or repeating a token, even if the caller did not
// request a stream.
func (g Generation) Body(resume, priority int64) ([]byte, error) {
	fields := make(map[string]any, len(g.fields)+4)
	for name, value := range g.fields {
		fields[name] = value
	}
	fields["stream"] = true
	fields["stream_options"] = struct {
		Usage      bool `json:"include_usage"`
		Continuous bool `json:"continuous_usage_stats"`
	}{true, true}
	fields["priority"] = priority
	if resume > 0 {
		fields["resume_tokens"] = resume
	}
	body, err := json.Marshal(fields)
	return body, errors.Wrap(err, "encode request")
}

// completionRequest has the request fields that are interpreted here.
type completionRequest struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	Messages      []message       `json:"messages"`
	MaxTokens     *int64          `json:"max_tokens"`
	MaxCompletion *int64          `json:"max_completion_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions *struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
	N     *int64          `json:"n"`
	Tools json.RawMessage `json:"tools"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// reservedFields are removed from callers' requests: with them a caller could
// reorder other callers' work or request a partial response.
var reservedFields = []string{"priority", "resume_tokens"}

func badRequest(cause error) *kumquatlug.Failure {
	return newRefusalWithCause("read request", "invalid_request", http.StatusBadRequest, cause)
}

// parseRequest parses a request body. The path is that of completions or chat
// completions.
func parseRequest(path string, body []byte) (Generation, completionRequest, *kumquatlug.Failure) {
	var req completionRequest
	g := Generation{path: path}
	if err := json.Unmarshal(body, &req); err != nil {
		return g, req, badRequest(err)
	}
	if err := json.Unmarshal(body, &g.fields); err != nil {
		return g, req, badRequest(err)
	}
	for _, name := range reservedFields {
		delete(g.fields, name)
	}
	if req.Model == "" {
		return g, req, badRequest(errors.New("model is missing"))
	}
	g.kind = kumquatlug.NewKind(kumquatlug.ProtocolEngine, req.Model)
	if err := req.checkSupported(); err != nil {
		return g, req, badRequest(err)
	}
	prompt, err := req.promptText()
	if err != nil {
		return g, req, badRequest(err)
	}
	g.prompt = prompt
	g.maxTokens, err = req.outputLimit()
	if err != nil {
		return g, req, badRequest(err)
	}
	return g, req, nil
}

func (req completionRequest) checkSupported() error {
	if req.N != nil && *req.N != 1 {
		return errors.New("n other than 1 is not supported")
	}
	if len(req.Tools) > 0 && string(req.Tools) != "null" {
		return errors.New("tools are not supported")
	}
	return nil
}

// promptText returns the prompt text as needed for affinity and cost
// estimation.
func (req completionRequest) promptText() (string, error) {
	if req.Messages != nil {
		return chatText(req.Messages)
	}
	var prompt string
	if len(req.Prompt) == 0 {
		return "", errors.New("prompt or messages is missing")
	}
	if err := json.Unmarshal(req.Prompt, &prompt); err != nil {
		return "", errors.New("prompt must be one string")
	}
	return prompt, nil
}

func chatText(messages []message) (string, error) {
	var all strings.Builder
	for i, m := range messages {
		text, err := m.contentText()
		if err != nil {
			return "", errors.Wrapf(err, "message %d", i)
		}
		all.WriteString(m.Role)
		all.WriteString(text)
	}
	return all.String(), nil
}

// contentText returns the content of a message, which is a string, a list of
// text parts, or null.
func (m message) contentText() (string, error) {
	var text string
	if len(m.Content) == 0 || json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("content is neither a string nor a list of parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.Newf("content of type %q is not supported", p.Type)
		}
		text += p.Text
	}
	return text, nil
}

func (req completionRequest) outputLimit() (int64, error) {
	limit := req.MaxTokens
	if req.MaxCompletion != nil {
		limit = req.MaxCompletion
	}
	if limit == nil {
		return 0, nil
	}
	if *limit < 1 || *limit > maxOutputTokens {
		return 0, errors.Newf("max_tokens must be 1 to %d", maxOutputTokens)
	}
	return *limit, nil
}
