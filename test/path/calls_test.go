package path

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// client returns the OpenAI client library that a caller would use, connected to a gateway.
// Its own retries are off.
func (f *fleet) client(gateway string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.callerURLs[gateway]+"/v1"), option.WithAPIKey(callerKey), option.WithMaxRetries(0))
}

// completion is what a caller received of a streamed completion.
type completion struct {
	text     string
	finished bool
	err      error
}

// streamChat requests a streamed chat completion and returns it when the stream ends. It
// also sends each token to tokens unless that is nil.
func (f *fleet) streamChat(gateway, prompt string, maxTokens int64, tokens chan<- string) completion {
	client := f.client(gateway)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(maxTokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	})
	var got completion
	for s.Next() {
		for _, choice := range s.Current().Choices {
			got.text += choice.Delta.Content
			got.finished = got.finished || choice.FinishReason != ""
			if tokens != nil && choice.Delta.Content != "" {
				tokens <- choice.Delta.Content
			}
		}
	}
	got.err = s.Err()
	return got
}

// callService sends a request to the plain service, with an idempotency key unless key is
// empty.
func (f *fleet) callService(gateway, method, path, key, body string) (*http.Response, string) {
	f.t.Helper()
	return f.callServiceWithKey(callerKey, gateway, method, path, key, body)
}

// callServiceWithKey is callService with another API key.
func (f *fleet) callServiceWithKey(apiKey, gateway, method, path, key, body string) (*http.Response, string) {
	f.t.Helper()
	request, err := http.NewRequest(method, f.callerURLs[gateway]+"/services/gazette"+path, bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response, string(text)
}

// runCount returns how often the service ran the call with an idempotency key.
func (f *fleet) runCount(key string) int {
	f.t.Helper()
	response, err := http.Get("http://" + f.targetAddrs["service-1"] + "/_runs")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Runs []struct {
			Key   string `json:"key"`
			Count int    `json:"count"`
		} `json:"runs"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		f.t.Fatal(err)
	}
	count := 0
	for _, run := range list.Runs {
		if run.Key == key {
			count += run.Count
		}
	}
	return count
}

// sentTargets returns the targets that requests were sent to, newest last.
func (f *fleet) sentTargets() []string {
	var targets []string
	for _, line := range strings.Split(f.runOperator("timeline", "--format", "json"), "\n") {
		var event struct{ Name, Peer string }
		if json.Unmarshal([]byte(line), &event) == nil && event.Name == "sent" {
			targets = append(targets, event.Peer)
		}
	}
	return targets
}
