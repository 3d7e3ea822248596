// Package path runs the programs as separate processes over TCP and sees that
// callers get what they are owed, also while processes drain, stop, are killed,
// paused or cut off.
package path

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// want is the answer that every engine gives to a chat of one user message.
func want(prompt string, maxTokens int) string {
	return engine.AnswerText(engine.ChatPrompt([]engine.Message{{Role: "user", Content: prompt}}), maxTokens)
}

func (f *fleet) expectWhole(got answer, prompt string, maxTokens int) {
	f.t.Helper()
	if got.err != nil || !got.whole || got.text != want(prompt, maxTokens) {
		f.t.Errorf("answer to %q: whole %v, error %v, %d of %d bytes", prompt, got.whole, got.err, len(got.text), len(want(prompt, maxTokens)))
	}
}

// expectNoCut looks for attempts that broke off. A planned change that cuts an
// answer would go unnoticed by its caller, since another engine goes on with it;
// but the work is lost, and an answer that can't be resumed would be too.
func (f *fleet) expectNoCut() {
	f.t.Helper()
	for _, line := range strings.Split(f.operate("timeline"), "\n") {
		if strings.Contains(line, "attempt_failed") && !strings.Contains(line, "not-run") {
			f.t.Errorf("an attempt was cut: %s", line)
		}
	}
}

func TestPath(t *testing.T) {
	f := newFleet(t)
	t.Run("streamed answer through a caller's library", func(*testing.T) {
		f.expectWhole(f.stream("entry-1", "decree 12", 40, nil), "decree 12", 40)
	})
	t.Run("service call runs once under one key", func(t *testing.T) { servicePath(t, f) })
	t.Run("refusals", func(t *testing.T) { refusalPath(t, f) })
	t.Run("label in force", func(t *testing.T) { labelPath(t, f) })
	t.Run("agent drains", func(t *testing.T) { agentDrainPath(t, f) })
	t.Run("secrets stay out of logs", func(t *testing.T) { secretsPath(t, f) })
	t.Run("entry stops gracefully", func(t *testing.T) { entryStopPath(t, f) })
}

// Logs and time lines go to places that more people read than may hold a key or
// see what callers ask.
func secretsPath(t *testing.T, f *fleet) {
	f.t = t
	texts := map[string]string{"timeline": f.operate("timeline", "--format", "json"), "callers": f.operate("get", "callers")}
	if !strings.Contains(texts["callers"], "portal") {
		t.Error("the account is not listed")
	}
	for name, p := range f.processes {
		texts[name] = strings.Join(p.output(), "\n")
	}
	for _, secret := range []string{callerKey, otherKey, operatorKey, kumquatlug.HashKey(callerKey), "a long decree", "appointment", "PRIVATE KEY", "errorVerbose"} {
		for name, text := range texts {
			if strings.Contains(text, secret) {
				t.Errorf("%q stands in the output of %s", secret, name)
			}
		}
	}
}

func servicePath(t *testing.T, f *fleet) {
	f.t = t
	first, text := f.call("entry-1", http.MethodPost, "/postings", "posting-1", "appointment")
	if first.StatusCode != http.StatusOK || first.Header.Get("Kumquatlug-Ran") != "done" {
		t.Fatalf("posting: status %d, ran %q, %s", first.StatusCode, first.Header.Get("Kumquatlug-Ran"), text)
	}
	again, same := f.call("entry-2", http.MethodPost, "/postings", "posting-1", "appointment")
	if again.Header.Get("Idempotent-Replayed") != "true" || same != text {
		t.Errorf("a resend through the other entry got %q, not the kept %q", same, text)
	}
	if got := f.runs("posting-1"); got != 1 {
		t.Errorf("the posting ran %d times", got)
	}
	other, _ := f.call("entry-1", http.MethodPost, "/postings", "posting-1", "dismissal")
	if other.StatusCode != http.StatusUnprocessableEntity || other.Header.Get("Kumquatlug-Ran") != "not-run" {
		t.Errorf("another body under the key: status %d", other.StatusCode)
	}
	theirs, _ := f.callAs(otherKey, "entry-1", http.MethodPost, "/postings", "posting-1", "appointment")
	if theirs.StatusCode != http.StatusOK || theirs.Header.Get("Idempotent-Replayed") != "" || f.runs("posting-1") != 2 {
		t.Errorf("another caller's posting under the same key: status %d, %d runs, replayed %q",
			theirs.StatusCode, f.runs("posting-1"), theirs.Header.Get("Idempotent-Replayed"))
	}
	look, _ := f.call("entry-1", http.MethodGet, "/lookup?id=1", "", "")
	if look.StatusCode != http.StatusOK {
		t.Errorf("lookup: status %d", look.StatusCode)
	}
}

func refusalPath(t *testing.T, f *fleet) {
	f.t = t
	cases := []struct {
		name, key, path, body string
		status                int
	}{
		{"wrong key", "nobody", "/v1/completions", `{"model":"standin","prompt":"a"}`, http.StatusUnauthorized},
		{"operator's key", operatorKey, "/v1/completions", `{"model":"standin","prompt":"a"}`, http.StatusUnauthorized},
		{"bad JSON", callerKey, "/v1/completions", `{"model":`, http.StatusBadRequest},
		{"unknown model", callerKey, "/v1/completions", `{"model":"other","prompt":"a"}`, http.StatusNotFound},
		{"no prompt", callerKey, "/v1/completions", `{"model":"standin"}`, http.StatusBadRequest},
		{"too large", callerKey, "/v1/completions", `{"model":"standin","prompt":"` + strings.Repeat("a", 9<<20) + `"}`, http.StatusRequestEntityTooLarge},
		{"unknown path", callerKey, "/v1/embeddings", `{}`, http.StatusNotFound},
		{"unknown service", callerKey, "/services/other/a", ``, http.StatusNotFound},
	}
	for _, c := range cases {
		request, err := http.NewRequest(http.MethodPost, f.callers["entry-1"]+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+c.key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status || response.Header.Get("Kumquatlug-Ran") != "not-run" {
			t.Errorf("%s: status %d, ran %q", c.name, response.StatusCode, response.Header.Get("Kumquatlug-Ran"))
		}
	}
	f.refusesCallersAtOperators()
}

func (f *fleet) refusesCallersAtOperators() {
	f.t.Helper()
	if text, err := f.try("get", "--server", f.operators["entry-1"], "--operator-key", callerKey); err == nil {
		f.t.Errorf("a caller reached the operators' API: %s", text)
	}
}

// An operator takes an engine out while it writes a long answer. The answer
// must be finished there, and nothing new may go to that engine once the change
// is in force.
func labelPath(t *testing.T, f *fleet) {
	f.t = t
	tokens := make(chan string, 1000)
	done := make(chan answer, 1)
	go func() { done <- f.stream("entry-2", "a long decree", 400, tokens) }()
	<-tokens
	busy := f.sentTo()
	leaving := busy[len(busy)-1]
	revision := f.revisionOf(f.operate("label", leaving, "leaving=true"))
	f.operate("wait", revision)
	before := len(f.sentTo())
	for range 6 {
		f.expectWhole(f.stream("entry-1", "short", 3, nil), "short", 3)
		f.expectWhole(f.stream("entry-2", "short", 3, nil), "short", 3)
	}
	for _, target := range f.sentTo()[before:] {
		if target == leaving {
			t.Errorf("%s got new work after revision %s was in force", leaving, revision)
		}
	}
	f.expectWhole(<-done, "a long decree", 400)
	f.expectNoCut()
	f.operate("wait", f.revisionOf(f.operate("label", leaving, "leaving-")))
	until(t, "the engine takes work again", func() bool { return strings.Count(f.operate("explain", model), "yes") == 2 })
}

// The platform replaces a VM: its agent gets a stop signal in the middle of an
// answer. The caller must not notice.
func agentDrainPath(t *testing.T, f *fleet) {
	f.t = t
	tokens := make(chan string, 1000)
	done := make(chan answer, 1)
	go func() { done <- f.stream("entry-1", "drain me", 300, tokens) }()
	<-tokens
	sent := f.sentTo()
	agent := f.processes["agent of "+sent[len(sent)-1]]
	agent.signal(syscall.SIGTERM)
	for range 4 {
		f.expectWhole(f.stream("entry-2", "meanwhile", 3, nil), "meanwhile", 3)
	}
	f.expectWhole(<-done, "drain me", 300)
	f.expectNoCut()
	if err := agent.ended(); err != nil {
		t.Errorf("the agent ended with %v", err)
	}
	f.startAgent(sent[len(sent)-1], "engine")
	until(t, "the new agent takes work", func() bool { return strings.Count(f.operate("explain", model), "yes") == 2 })
}

// An entry is stopped in the middle of an answer. It finishes the answer, and a
// caller that the balancer still sends in the meantime is served too.
func entryStopPath(t *testing.T, f *fleet) {
	f.t = t
	tokens := make(chan string, 1000)
	done := make(chan answer, 1)
	go func() { done <- f.stream("entry-2", "stop the entry", 300, tokens) }()
	<-tokens
	entry := f.processes["entry-2"]
	entry.signal(syscall.SIGTERM)
	until(t, "the entry says that it is not ready", func() bool {
		response, err := http.Get(f.operators["entry-2"] + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	f.expectWhole(f.stream("entry-2", "late", 3, nil), "late", 3)
	f.expectWhole(<-done, "stop the entry", 300)
	if err := entry.ended(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
}

// does returns what the engines do, by the status that operators see.
func (f *fleet) does() string {
	f.t.Helper()
	var roles []string
	for _, line := range strings.Split(f.operate("status"), "\n") {
		if fields := strings.Fields(line); len(fields) > 4 && strings.HasPrefix(fields[0], "engine-") {
			roles = append(roles, fields[4])
		}
	}
	return strings.Join(roles, " ")
}

func TestPromptsAndOutputsRunOnDifferentEngines(t *testing.T) {
	f := newFleet(t)
	f.operate("selector", "set", "prompts", "--kind", model, "--role", "prefill", "--match", "pool=engines")
	f.operate("selector", "set", "outputs", "--kind", model, "--role", "decode", "--match", "pool=engines")
	f.operate("selector", "delete", "engines")
	until(t, "one engine runs prompts and one generates", func() bool {
		does := f.does()
		return does == "prefill decode" || does == "decode prefill"
	})
	until(t, "both take work", func() bool { return strings.Count(f.operate("explain", model), "yes") == 2 })
	before := len(f.sentTo())
	long := strings.Repeat("a long decree text ", 120)
	f.expectWhole(f.stream("entry-1", long, 40, nil), long, 40)
	sent := f.sentTo()[before:]
	if len(sent) != 2 || sent[0] == sent[1] {
		t.Errorf("the request went to %v, want one engine and then the other:\n%s", sent, f.operate("timeline"))
	}
	f.leasePath(long)
}

// leasePath first freezes the holder of the group's lease and then kills the
// next one. Each time another entry must take over under a higher number, and a
// holder that wakes must know that it is none: two that both gave orders would
// send engines to and fro.
func (f *fleet) leasePath(prompt string) {
	f.t.Helper()
	f.startEntry("entry-3")
	first, _ := f.holder("entry-3", "number 1")
	f.processes[first].signal(syscall.SIGSTOP)
	asked := "entry-3"
	f.expectWhole(f.stream(asked, prompt, 20, nil), prompt, 20)
	second, _ := f.holder(asked, "number 2")
	f.processes[first].signal(syscall.SIGCONT)
	until(f.t, "the woken holder knows that it is none", func() bool {
		return strings.Contains(f.linesOf(asked, first), "lease_lost")
	})
	if second == asked {
		asked = first
	}
	f.processes[second].signal(syscall.SIGKILL)
	f.expectWhole(f.stream(asked, prompt, 20, nil), prompt, 20)
	f.holder(asked, "number 3")
	for _, name := range []string{"engine-1", "engine-2"} {
		f.expectFencesRise(name)
	}
}

// holder waits until some entry has taken the lease under a number, as the time
// line of the entry asked tells, and returns which.
func (f *fleet) holder(asked, number string) (name, line string) {
	f.t.Helper()
	until(f.t, "the lease is taken under "+number, func() bool {
		for _, line = range strings.Split(f.linesOf(asked, ""), "\n") {
			if fields := strings.Fields(line); strings.Contains(line, "lease_taken") && strings.HasSuffix(strings.TrimSpace(line), number) {
				name = fields[2]
			}
		}
		return name != ""
	})
	return name, line
}

// linesOf returns the lines of the time line, as an entry tells it, that name
// a node.
func (f *fleet) linesOf(asked, node string) string {
	f.t.Helper()
	var found []string
	for _, line := range strings.Split(f.must("timeline", "--server", f.operators[asked], "--operator-key", operatorKey), "\n") {
		if fields := strings.Fields(line); node == "" || (len(fields) > 3 && fields[2] == node) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "\n")
}

// expectFencesRise looks at every order that reached an engine.
func (f *fleet) expectFencesRise(engine string) {
	f.t.Helper()
	response, err := http.Get("http://" + f.targets[engine] + "/orders")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Orders []struct {
			Fence int64 `json:"fence"`
			Cut   int   `json:"cut"`
		} `json:"orders"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		f.t.Fatal(err)
	}
	highest := int64(0)
	for _, o := range list.Orders {
		if o.Fence < highest || o.Cut > 0 {
			f.t.Errorf("%s got an order under %d after %d, which cut %d answers", engine, o.Fence, highest, o.Cut)
		}
		highest = max(highest, o.Fence)
	}
}
