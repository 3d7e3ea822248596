package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"

	engineclient "github.com/kumquatlug/kumquatlug/internal/engine"
	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(int) { http.DefaultClient.CloseIdleConnections() }))
}

// fastTimeScale makes simulated times negligible. Tests wait for conditions,
// not for times.
const fastTimeScale = 0.0001

func startEngine(t *testing.T, c engine.Config) (*engine.Engine, string) {
	t.Helper()
	if c.TimeScale == 0 {
		c.TimeScale = fastTimeScale
	}
	e := engine.New(c)
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	return e, s.URL
}

// post returns the status and body of the response; a closed connection is an
// error.
func post(url, body string) (int, string, error) {
	r, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}

func postOK(t *testing.T, url, body string, into any) {
	t.Helper()
	status, text, err := post(url, body)
	if err != nil || status != http.StatusOK {
		t.Fatalf("POST %s: %d %s %v", url, status, text, err)
	}
	if err := json.Unmarshal([]byte(text), into); err != nil {
		t.Fatal(err)
	}
}

func get(t *testing.T, url string, into any) {
	t.Helper()
	r, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}

type response struct {
	Choices []struct {
		Text   string `json:"text"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// streamCompletion returns the text of a streamed response and its last chunk.
func streamCompletion(t *testing.T, url, body string) (string, response) {
	t.Helper()
	_, text, err := post(url, body)
	if err != nil || !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Fatalf("stream without end marker: %v", err)
	}
	joined := ""
	var last response
	for _, line := range strings.Split(text, "\n") {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		last = response{}
		if err := json.Unmarshal([]byte("{"+data), &last); err != nil {
			t.Fatal(err)
		}
		for _, c := range last.Choices {
			joined += c.Text
		}
	}
	return joined, last
}

func TestStreamedAndResumedResponsesMatch(t *testing.T) {
	_, url := startEngine(t, engine.Config{})
	const total = 9
	for _, prompt := range []string{"a", strings.Repeat("decree ", 300), "\"quoted\"\n"} {
		want := engine.ResponseTokens(prompt, total)
		if other := engine.ResponseTokens(prompt+"b", total); other[0] == want[0] {
			t.Fatalf("two prompts have the same first token %q", want[0])
		}
		for delivered := range total + 1 {
			body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"resume_tokens":%d`, prompt, total, delivered)
			wantText := strings.Join(want[delivered:], "")
			var full response
			postOK(t, url+"/v1/completions", body+"}", &full)
			if c := full.Choices[0]; c.Text != wantText || c.Finish != "length" || full.Usage.Completion != total {
				t.Fatalf("complete response after %d tokens: %+v, want %q", delivered, full, wantText)
			}
			text, last := streamCompletion(t, url+"/v1/completions", body+`,"stream":true,"stream_options":{"continuous_usage_stats":true}}`)
			if text != wantText || last.Choices[0].Finish != "length" || last.Usage.Completion != total {
				t.Fatalf("stream after %d tokens: %q %+v, want %q", delivered, text, last, wantText)
			}
		}
	}
}

func TestOpenAIClientCompatibility(t *testing.T) {
	_, url := startEngine(t, engine.Config{Models: []string{"draft"}})
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
	messages := []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage("hello")}
	want := engine.ResponseText(engine.ChatPrompt([]engine.Message{
		{Role: "system", Content: "be brief"}, {Role: "user", Content: "hello"},
	}), 0)
	params := openai.ChatCompletionNewParams{Model: "draft", Messages: messages}
	full, err := client.Chat.Completions.New(context.Background(), params)
	if err != nil || full.Choices[0].Message.Content != want || full.Choices[0].FinishReason != "stop" {
		t.Fatalf("complete response: %+v %v", full, err)
	}
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	s := client.Chat.Completions.NewStreaming(context.Background(), params)
	var all openai.ChatCompletionAccumulator
	for s.Next() {
		all.AddChunk(s.Current())
	}
	if s.Err() != nil || all.Choices[0].Message.Content != want || all.Usage.CompletionTokens != full.Usage.CompletionTokens {
		t.Fatalf("stream: %+v %v", all, s.Err())
	}
	params.Model = "unknown"
	_, err = client.Chat.Completions.New(context.Background(), params)
	var apiErr *openai.Error
	if !errors.As(err, &apiErr) || apiErr.StatusCode != http.StatusNotFound || apiErr.Code != "model_not_found" {
		t.Fatalf("unknown model: got %v, want model_not_found", err)
	}
}

// A prompt that crashes the engine also aborts the responses to other clients.
// Their streams end without an end marker, and until the engine has restarted
// no client gets a response.
func TestCrashAbortsAllRequests(t *testing.T) {
	e, url := startEngine(t, engine.Config{CrashMarker: "poison", TimeScale: 1, DecodeTime: 1, RestartTime: kumquatlug.Hour})
	const streamCount = 3
	var streams []*bufio.Reader
	for i := range streamCount {
		r, err := http.Post(url+"/v1/completions", "application/json",
			strings.NewReader(fmt.Sprintf(`{"prompt":"innocent %d","max_tokens":60000,"stream":true}`, i)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { r.Body.Close() })
		streams = append(streams, bufio.NewReader(r.Body))
		if _, err := streams[i].ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	if status, text, err := post(url+"/v1/completions", `{"prompt":"a poison b","max_tokens":2}`); err == nil {
		t.Fatalf("the crashing prompt got a response: %d %s", status, text)
	}
	for i, s := range streams {
		rest, err := io.ReadAll(s)
		if err == nil || bytes.Contains(rest, []byte("[DONE]")) {
			t.Fatalf("stream %d was not aborted", i)
		}
	}
	if _, err := http.Get(url + "/health"); err == nil {
		t.Fatal("the crashed engine responded")
	}
	if e.Crashes() != 1 {
		t.Fatalf("%d crashes, want 1", e.Crashes())
	}
}

func TestUsageCountsCachedTokensUntilCrash(t *testing.T) {
	e, url := startEngine(t, engine.Config{RestartTime: 1})
	prompt := strings.Repeat("garment history ", 64)
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":2}`, prompt)
	cached := func(url string) int {
		var got response
		postOK(t, url+"/v1/completions", body, &got)
		return got.Usage.Details.Cached
	}
	if first, second := cached(url), cached(url); first != 0 || second == 0 {
		t.Fatalf("first request: %d cached tokens, want 0; second: %d, want more", first, second)
	}
	var events struct {
		Events []struct{ Prefix string }
		Next   int64
	}
	get(t, url+"/cache/events?after=0", &events)
	if names := engine.PrefixHashes(prompt, 64); len(events.Events) != len(names) || events.Next != int64(len(names)) {
		t.Fatalf("events %+v, want one for each of %d blocks", events, len(names))
	}
	e.Crash()
	for {
		if r, err := http.Get(url + "/health"); err == nil {
			r.Body.Close()
			break
		}
	}
	if n := cached(url); n != 0 {
		t.Fatalf("%d cached tokens after the crash, want 0", n)
	}
	_, otherURL := startEngine(t, engine.Config{})
	var export struct{ Handle string }
	postOK(t, url+"/kv/export", body, &export)
	postOK(t, otherURL+"/kv/import", fmt.Sprintf(`{"handle":%q}`, export.Handle), &struct{}{})
	if n := cached(otherURL); n != engine.PromptTokens(prompt)-1 {
		t.Fatalf("%d cached tokens after the import, want all but one", n)
	}
}

type state struct {
	State engine.State    `json:"state"`
	Role  kumquatlug.Role `json:"role"`
	Order string          `json:"order_id"`
	Fence int64           `json:"fence"`
}

type order struct {
	Fence   int64
	Highest int64
	Verdict engine.Verdict
}

func orders(t *testing.T, url string) []order {
	t.Helper()
	var body struct{ Orders []order }
	get(t, url+"/orders", &body)
	return body.Orders
}

func awaitOrder(t *testing.T, url string) state {
	t.Helper()
	for {
		var s state
		get(t, url+"/state", &s)
		if s.State != engine.StateChanging {
			return s
		}
	}
}

// A lease holder that was paused resumes after another has taken over, and its
// order reaches the engine late. If the engine executed it, it would take a
// role that the current lease holder did not set. Engines that check fencing
// tokens reject the order; others execute it, so whatever forwards orders to
// them must check.
func TestStaleFencingTokenIsRejectedOnlyIfChecked(t *testing.T) {
	for _, checkFence := range []bool{true, false} {
		_, url := startEngine(t, engine.Config{CheckFence: checkFence, OrderTime: 1})
		postOK(t, url+"/orders", `{"id":"new","fence":7,"verb":"role","argument":"decode"}`, &state{})
		awaitOrder(t, url)
		status, _, err := post(url+"/orders", `{"id":"old","fence":6,"verb":"role","argument":"prefill"}`)
		if err != nil || (status == http.StatusConflict) != checkFence {
			t.Fatalf("checkFence %v: status %d, %v", checkFence, status, err)
		}
		want := state{engine.StateSettled, kumquatlug.RoleDecode, "new", 7}
		if !checkFence {
			want.Role, want.Order = kumquatlug.RolePrefill, "old"
		}
		if s := awaitOrder(t, url); s != want {
			t.Fatalf("checkFence %v: %+v", checkFence, s)
		}
		if last := orders(t, url)[1]; last.Highest != 7 || last.Fence != 6 {
			t.Fatalf("logged order: %+v, want fence 6 below 7", last)
		}
	}
}

func TestOrderInProgressRejectsOrdersAndRequests(t *testing.T) {
	_, url := startEngine(t, engine.Config{TimeScale: 1, OrderTime: kumquatlug.Hour})
	const first = `{"id":"a","fence":1,"verb":"load","argument":"large"}`
	var s state
	postOK(t, url+"/orders", first, &s)
	postOK(t, url+"/orders", first, &s)
	if s.State != engine.StateChanging || s.Order != "a" {
		t.Fatalf("%+v", s)
	}
	if status, _, _ := post(url+"/orders", `{"id":"b","fence":2,"verb":"load","argument":"other"}`); status != http.StatusConflict {
		t.Fatalf("second order: status %d, want 409", status)
	}
	if status, _, _ := post(url+"/v1/completions", `{"prompt":"x"}`); status != http.StatusServiceUnavailable {
		t.Fatalf("request during an order: status %d, want 503", status)
	}
	var verdicts []engine.Verdict
	for _, o := range orders(t, url) {
		verdicts = append(verdicts, o.Verdict)
	}
	if fmt.Sprint(verdicts) != "[accepted repeated busy]" {
		t.Fatalf("%v", verdicts)
	}
}

// An engine crashes while it changes its role, so its role is unknown. If the
// order counted as completed, requests would go to an engine that cannot serve
// them.
func TestCrashDuringOrderLeavesStateUnknown(t *testing.T) {
	e, url := startEngine(t, engine.Config{OrderTime: 1, RestartTime: 1})
	e.CrashDuringOrder()
	// The engine may have restarted before the client reads, or still be down.
	_, _, _ = post(url+"/orders", `{"id":"a","verb":"role","argument":"decode"}`)
	for e.Crashes() == 0 {
		if r, err := http.Get(url + "/health"); err == nil {
			r.Body.Close()
		}
	}
	if s := awaitOrder(t, url); s.State != engine.StateUnknown || s.Role != "" || s.Order != "a" {
		t.Fatalf("%+v", s)
	}
	if status, _, _ := post(url+"/v1/completions", `{"prompt":"x"}`); status != http.StatusServiceUnavailable {
		t.Fatalf("request in an unknown state: status %d, want 503", status)
	}
	postOK(t, url+"/orders", `{"id":"b","verb":"role","argument":"decode"}`, &state{})
	if s := awaitOrder(t, url); s.State != engine.StateSettled || s.Role != kumquatlug.RoleDecode {
		t.Fatalf("%+v", s)
	}
}

// Guards against a stream that the reader of gateways takes for complete although its engine broke it off, or the reverse.
func TestEndingsOfStreams(t *testing.T) {
	for ending, complete := range map[standin.Ending]bool{
		standin.EndingFramed: true, standin.EndingConnection: true, standin.EndingInside: false, standin.EndingReset: false,
	} {
		_, url := startEngine(t, engine.Config{Ending: ending, TimeScale: 0.01})
		r, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"p","max_tokens":12,"stream":true}`))
		if err != nil {
			t.Fatal(err)
		}
		tokens, chunks := 0, engineclient.NewReader(r.Body)
		for {
			if _, err = chunks.Next(); err != nil {
				break
			}
			tokens++
		}
		r.Body.Close()
		if errors.Is(err, io.EOF) != complete || complete != (tokens == 12) {
			t.Errorf("%q: %d tokens, %v", ending, tokens, err)
		}
		status, text, err := post(url+"/v1/completions", `{"prompt":"p","max_tokens":12}`)
		if valid := json.Valid([]byte(text)); valid != complete || (err != nil) != (ending == standin.EndingReset) {
			t.Errorf("%q: status %d, %q, %v", ending, status, text, err)
		}
	}
}
