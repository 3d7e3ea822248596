package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
)

// outcome is the result of a request as the caller sees it.
type outcome string

const (
	outcomeComplete outcome = "whole"
	// outcomeWrong: a response that looks complete differs from the expected
	// one.
	outcomeWrong outcome = "wrong"
	// outcomeTruncated: the response ended before its end marker.
	outcomeTruncated outcome = "cut"
	outcomeRefused   outcome = "refused"
	// outcomeFailed: there was no response.
	outcomeFailed outcome = "failed"
)

// result contains the measurements of one request.
type result struct {
	outcome    outcome
	status     int
	ran        string
	retryAfter bool
	firstToken time.Duration
	totalTime  time.Duration
	tokens     int
	// usageWrong: the token count is missing or not that of the response.
	usageWrong bool
	// transit are the latencies to and from the engine, when tokens are
	// stamped.
	transit transitTimes
}

// send makes one request and verifies the response. Times are measured from
// due.
func send(ctx context.Context, client *http.Client, url string, r request, due time.Time) result {
	options := ""
	if r.streamed {
		options = `,"stream":true,"stream_options":{"include_usage":true}`
	}
	prompt, _ := json.Marshal(r.prompt)
	model, _ := json.Marshal(r.model)
	tokens, _ := json.Marshal(r.maxTokens)
	body := `{"model":` + string(model) + `,"max_tokens":` + string(tokens) + options + `,"prompt":` + string(prompt) + `}`
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return result{outcome: outcomeFailed}
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+r.key)
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return result{outcome: outcomeFailed}
	}
	defer response.Body.Close()
	got := result{
		status: response.StatusCode, ran: response.Header.Get("Kumquatlug-Ran"),
		retryAfter: response.Header.Get("Retry-After") != "",
	}
	switch {
	case response.StatusCode != http.StatusOK:
		got.outcome = outcomeRefused
		// An error here only closes the connection.
		_, _ = io.Copy(io.Discard, response.Body)
	case r.streamed:
		got.readStream(response.Body, r, due)
	default:
		got.readBody(response.Body, r)
	}
	got.totalTime = time.Since(due)
	if got.firstToken == 0 {
		got.firstToken = got.totalTime
	}
	return got
}

type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// verify compares the response with the expected one.
func (r *result) verify(sent request, text string, completionTokens int) {
	r.tokens = sent.maxTokens
	r.usageWrong = completionTokens != sent.maxTokens
	r.outcome = outcomeComplete
	if sent.stamped {
		if len(r.transit.fromEngine) != sent.maxTokens {
			r.outcome = outcomeWrong
		}
		return
	}
	if text != engine.ResponseText(sent.prompt, sent.maxTokens) {
		r.outcome = outcomeWrong
	}
}

func (r *result) readBody(body io.Reader, sent request) {
	var c completion
	r.outcome = outcomeTruncated
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return
	}
	text, completionTokens := c.textAndCount()
	r.verify(sent, text, completionTokens)
}

func (c completion) textAndCount() (text string, completionTokens int) {
	for _, choice := range c.Choices {
		text += choice.Text
	}
	if c.Usage != nil {
		completionTokens = c.Usage.Completion
	}
	return text, completionTokens
}

// readStream reads events up to the end marker. A stream with an error event
// counts as truncated.
func (r *result) readStream(body io.Reader, sent request, due time.Time) {
	r.outcome = outcomeTruncated
	var text strings.Builder
	completionTokens := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.verify(sent, text.String(), completionTokens)
			// Reading to the end lets the connection be reused.
			_, _ = io.Copy(io.Discard, body)
			return
		}
		var c completion
		if err := json.Unmarshal(data, &c); err != nil || c.Error != nil {
			return
		}
		if r.firstToken == 0 {
			r.firstToken = time.Since(due)
		}
		delta, count := c.textAndCount()
		if sent.stamped && delta != "" && !r.transit.addToken(delta, due) {
			return
		}
		text.WriteString(delta)
		completionTokens = max(completionTokens, count)
	}
}
