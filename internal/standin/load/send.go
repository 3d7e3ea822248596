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

// outcome is what a caller got.
type outcome string

const (
	outcomeWhole outcome = "whole"
	// outcomeWrong: an answer that looks whole is not the one of the prompt.
	outcomeWrong outcome = "wrong"
	// outcomeCut: the answer stopped before its end.
	outcomeCut     outcome = "cut"
	outcomeRefused outcome = "refused"
	// outcomeFailed: there was no answer at all.
	outcomeFailed outcome = "failed"
)

// result is what became of one request.
type result struct {
	outcome    outcome
	status     int
	ran        string
	retryAfter bool
	first      time.Duration
	total      time.Duration
	tokens     int
	// usageWrong: the count of tokens is missing or not that of the answer.
	usageWrong bool
	// ways are what the path took of the time, when tokens are stamped.
	ways ways
}

// send makes one request and judges the answer. Times count from due.
func send(ctx context.Context, client *http.Client, url string, r request, due time.Time) result {
	options := ""
	if r.streamed {
		options = `,"stream":true,"stream_options":{"include_usage":true}`
	}
	prompt, _ := json.Marshal(r.prompt)
	model, _ := json.Marshal(r.model)
	tokens, _ := json.Marshal(r.maxTokens)
	body := `{"model":` + string(model) + `,"max_tokens":` + string(tokens) + options + `,"prompt":` + string(prompt) + `}`
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return result{outcome: outcomeFailed}
	}
	q.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		q.Header.Set("Authorization", "Bearer "+r.key)
	}
	answer, err := client.Do(q)
	if err != nil {
		return result{outcome: outcomeFailed}
	}
	defer answer.Body.Close()
	got := result{
		status: answer.StatusCode, ran: answer.Header.Get("Kumquatlug-Ran"),
		retryAfter: answer.Header.Get("Retry-After") != "",
	}
	switch {
	case answer.StatusCode != http.StatusOK:
		got.outcome = outcomeRefused
		// What is left unread closes the connection; that is all.
		_, _ = io.Copy(io.Discard, answer.Body)
	case r.streamed:
		got.readStream(answer.Body, r, due)
	default:
		got.readWhole(answer.Body, r)
	}
	got.total = time.Since(due)
	if got.first == 0 {
		got.first = got.total
	}
	return got
}

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// judge compares what arrived with what the prompt demands.
func (r *result) judge(q request, text string, completion int) {
	r.tokens = q.maxTokens
	r.usageWrong = completion != q.maxTokens
	r.outcome = outcomeWhole
	if q.stamped {
		if len(r.ways.down) != q.maxTokens {
			r.outcome = outcomeWrong
		}
		return
	}
	if text != engine.AnswerText(q.prompt, q.maxTokens) {
		r.outcome = outcomeWrong
	}
}

func (r *result) readWhole(body io.Reader, q request) {
	var c chunk
	r.outcome = outcomeCut
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return
	}
	text, completion := c.content()
	r.judge(q, text, completion)
}

func (c chunk) content() (text string, completion int) {
	for _, x := range c.Choices {
		text += x.Text
	}
	if c.Usage != nil {
		completion = c.Usage.Completion
	}
	return text, completion
}

// readStream reads events up to the end mark. An event that carries an error
// counts as a cut.
func (r *result) readStream(body io.Reader, q request, due time.Time) {
	r.outcome = outcomeCut
	var text strings.Builder
	completion := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.judge(q, text.String(), completion)
			// Read to the end, so that the connection is used again.
			_, _ = io.Copy(io.Discard, body)
			return
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil || c.Error != nil {
			return
		}
		if r.first == 0 {
			r.first = time.Since(due)
		}
		more, count := c.content()
		if q.stamped && more != "" && !r.ways.token(more, due) {
			return
		}
		text.WriteString(more)
		completion = max(completion, count)
	}
}
