// Package path tests the request path end to end, with all programs as separate processes
// over TCP: callers must get correct responses, also while processes drain, stop, are
// killed, paused or partitioned.
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

// expectedText returns the completion of a chat with one user message, the same on every
// engine.
func expectedText(prompt string, maxTokens int) string {
	return engine.ResponseText(engine.ChatPrompt([]engine.Message{{Role: "user", Content: prompt}}), maxTokens)
}

// expectCompletion checks that the completion is complete and has the expected text.
func (f *fleet) expectCompletion(got completion, prompt string, maxTokens int) {
	f.t.Helper()
	if got.err != nil || !got.finished || got.text != expectedText(prompt, maxTokens) {
		f.t.Errorf("completion of %q: finished %v, error %v, %d of %d bytes", prompt, got.finished, got.err, len(got.text), len(expectedText(prompt, maxTokens)))
	}
}

// expectNoInterruption checks that no attempt failed after it started. If a planned change
// interrupted a completion, its caller would not notice, since another engine resumes it,
// but the work would be lost, and so would a completion that can't be resumed.
func (f *fleet) expectNoInterruption() {
	f.t.Helper()
	for _, line := range strings.Split(f.runOperator("timeline"), "\n") {
		if strings.Contains(line, "attempt_failed") && !strings.Contains(line, "not-run") {
			f.t.Errorf("an attempt was interrupted: %s", line)
		}
	}
}

func TestRequestsAndPlannedChanges(t *testing.T) {
	f := newFleet(t)
	t.Run("streamed completion through a client library", func(*testing.T) {
		f.expectCompletion(f.streamChat("entry-1", "decree 12", 40, nil), "decree 12", 40)
	})
	t.Run("service call runs once per idempotency key", func(t *testing.T) { testServiceCall(t, f) })
	t.Run("invalid requests are refused", func(t *testing.T) { testRefusals(t, f) })
	t.Run("label change takes effect", func(t *testing.T) { testLabelChange(t, f) })
	t.Run("agent drains", func(t *testing.T) { testAgentDrain(t, f) })
	t.Run("secrets stay out of logs", func(t *testing.T) { testSecrets(t, f) })
	t.Run("gateway stops gracefully", func(t *testing.T) { testGatewayStop(t, f) })
}

// testSecrets checks that logs and timelines contain no keys and no prompts, since they are
// read by more people than may see these.
func testSecrets(t *testing.T, f *fleet) {
	f.t = t
	texts := map[string]string{"timeline": f.runOperator("timeline", "--format", "json"), "callers": f.runOperator("get", "callers")}
	if !strings.Contains(texts["callers"], "portal") {
		t.Error("the account is not listed")
	}
	for name, p := range f.processes {
		texts[name] = strings.Join(p.output(), "\n")
	}
	for _, secret := range []string{callerKey, otherKey, operatorKey, kumquatlug.HashKey(callerKey), "a long decree", "appointment", "PRIVATE KEY", "errorVerbose"} {
		for name, text := range texts {
			if strings.Contains(text, secret) {
				t.Errorf("%q appears in the output of %s", secret, name)
			}
		}
	}
}

// testServiceCall checks that a call runs once per caller and idempotency key, and that a
// retry returns the stored response.
func testServiceCall(t *testing.T, f *fleet) {
	f.t = t
	first, text := f.callService("entry-1", http.MethodPost, "/postings", "posting-1", "appointment")
	if first.StatusCode != http.StatusOK || first.Header.Get("Kumquatlug-Ran") != "done" {
		t.Fatalf("POST: status %d, ran %q, %s", first.StatusCode, first.Header.Get("Kumquatlug-Ran"), text)
	}
	resent, resentText := f.callService("entry-2", http.MethodPost, "/postings", "posting-1", "appointment")
	if resent.Header.Get("Idempotent-Replayed") != "true" || resentText != text {
		t.Errorf("retry through the other gateway: got %q, want the stored %q", resentText, text)
	}
	if got := f.runCount("posting-1"); got != 1 {
		t.Errorf("the POST ran %d times", got)
	}
	other, _ := f.callService("entry-1", http.MethodPost, "/postings", "posting-1", "dismissal")
	if other.StatusCode != http.StatusUnprocessableEntity || other.Header.Get("Kumquatlug-Ran") != "not-run" {
		t.Errorf("other body under the same key: status %d", other.StatusCode)
	}
	otherCaller, _ := f.callServiceWithKey(otherKey, "entry-1", http.MethodPost, "/postings", "posting-1", "appointment")
	if otherCaller.StatusCode != http.StatusOK || otherCaller.Header.Get("Idempotent-Replayed") != "" || f.runCount("posting-1") != 2 {
		t.Errorf("POST of another caller under the same key: status %d, %d runs, replayed %q",
			otherCaller.StatusCode, f.runCount("posting-1"), otherCaller.Header.Get("Idempotent-Replayed"))
	}
	lookup, _ := f.callService("entry-1", http.MethodGet, "/lookup?id=1", "", "")
	if lookup.StatusCode != http.StatusOK {
		t.Errorf("lookup: status %d", lookup.StatusCode)
	}
}

// testRefusals checks that invalid requests are refused without running, and that the
// operators' API rejects a caller's key.
func testRefusals(t *testing.T, f *fleet) {
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
		request, err := http.NewRequest(http.MethodPost, f.callerURLs["entry-1"]+c.path, strings.NewReader(c.body))
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
	f.expectCallerKeyRejectedByOperatorAPI()
}

func (f *fleet) expectCallerKeyRejectedByOperatorAPI() {
	f.t.Helper()
	if text, err := f.run("get", "--server", f.operatorURLs["entry-1"], "--operator-key", callerKey); err == nil {
		f.t.Errorf("a caller's key was accepted by the operators' API: %s", text)
	}
}

// testLabelChange takes an engine out of service by a label while it generates a long
// completion. The engine must finish it, and must get no new work once the change is in
// effect.
func testLabelChange(t *testing.T, f *fleet) {
	f.t = t
	tokens := make(chan string, 1000)
	done := make(chan completion, 1)
	go func() { done <- f.streamChat("entry-2", "a long decree", 400, tokens) }()
	<-tokens
	sent := f.sentTargets()
	leaving := sent[len(sent)-1]
	revision := f.revisionOf(f.runOperator("label", leaving, "leaving=true"))
	f.runOperator("wait", revision)
	before := len(f.sentTargets())
	for range 6 {
		f.expectCompletion(f.streamChat("entry-1", "short", 3, nil), "short", 3)
		f.expectCompletion(f.streamChat("entry-2", "short", 3, nil), "short", 3)
	}
	for _, target := range f.sentTargets()[before:] {
		if target == leaving {
			t.Errorf("%s got new work after revision %s took effect", leaving, revision)
		}
	}
	f.expectCompletion(<-done, "a long decree", 400)
	f.expectNoInterruption()
	f.runOperator("wait", f.revisionOf(f.runOperator("label", leaving, "leaving-")))
	waitUntil(t, "the engine accepts work again", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 2 })
}

// testAgentDrain stops an agent during a completion, as the platform does when it replaces
// a VM. Callers must not be affected.
func testAgentDrain(t *testing.T, f *fleet) {
	f.t = t
	tokens := make(chan string, 1000)
	done := make(chan completion, 1)
	go func() { done <- f.streamChat("entry-1", "drain me", 300, tokens) }()
	<-tokens
	sent := f.sentTargets()
	agent := f.processes["agent of "+sent[len(sent)-1]]
	agent.signal(syscall.SIGTERM)
	for range 4 {
		f.expectCompletion(f.streamChat("entry-2", "meanwhile", 3, nil), "meanwhile", 3)
	}
	f.expectCompletion(<-done, "drain me", 300)
	f.expectNoInterruption()
	if err := agent.waitExit(); err != nil {
		t.Errorf("the agent exited with %v", err)
	}
	f.startAgent(sent[len(sent)-1], "engine")
	waitUntil(t, "the new agent accepts work", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 2 })
}

// testGatewayStop stops a gateway during a completion. The gateway must finish it, and
// still serve requests that the load balancer sends in the meantime.
func testGatewayStop(t *testing.T, f *fleet) {
	f.t = t
	tokens := make(chan string, 1000)
	done := make(chan completion, 1)
	go func() { done <- f.streamChat("entry-2", "stop the entry", 300, tokens) }()
	<-tokens
	gateway := f.processes["entry-2"]
	gateway.signal(syscall.SIGTERM)
	waitUntil(t, "the gateway reports that it is not ready", func() bool {
		response, err := http.Get(f.operatorURLs["entry-2"] + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	f.expectCompletion(f.streamChat("entry-2", "late", 3, nil), "late", 3)
	f.expectCompletion(<-done, "stop the entry", 300)
	if err := gateway.waitExit(); err != nil {
		t.Errorf("the gateway exited with %v", err)
	}
}

// engineRoles returns the current roles of the engines from the operators' status, separated
// by spaces.
func (f *fleet) engineRoles() string {
	f.t.Helper()
	var roles []string
	for _, line := range strings.Split(f.runOperator("status"), "\n") {
		if fields := strings.Fields(line); len(fields) > 4 && strings.HasPrefix(fields[0], "engine-") {
			roles = append(roles, fields[4])
		}
	}
	return strings.Join(roles, " ")
}

func TestPromptsAndOutputsRunOnDifferentEngines(t *testing.T) {
	f := newFleet(t)
	f.runOperator("selector", "set", "prompts", "--kind", model, "--role", "prefill", "--match", "pool=engines")
	f.runOperator("selector", "set", "outputs", "--kind", model, "--role", "decode", "--match", "pool=engines")
	f.runOperator("selector", "delete", "engines")
	waitUntil(t, "one engine runs prefill and one runs decode", func() bool {
		roles := f.engineRoles()
		return roles == "prefill decode" || roles == "decode prefill"
	})
	waitUntil(t, "both engines accept work", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 2 })
	before := len(f.sentTargets())
	long := strings.Repeat("a long decree text ", 120)
	f.expectCompletion(f.streamChat("entry-1", long, 40, nil), long, 40)
	sent := f.sentTargets()[before:]
	if len(sent) != 2 || sent[0] == sent[1] {
		t.Errorf("the request was sent to %v, want one engine and then the other:\n%s", sent, f.runOperator("timeline"))
	}
	f.testLeaseHandover(long)
}

// testLeaseHandover pauses the holder of the group's lease and then kills its successor.
// Each time another gateway must acquire the lease with a higher fencing token, and a
// holder that resumes must detect that it lost the lease: two holders that both send orders
// would switch the roles of engines back and forth.
func (f *fleet) testLeaseHandover(prompt string) {
	f.t.Helper()
	f.startGateway("entry-3")
	firstHolder, _ := f.waitForLeaseHolder("entry-3", "number 1")
	f.processes[firstHolder].signal(syscall.SIGSTOP)
	gateway := "entry-3"
	f.expectCompletion(f.streamChat(gateway, prompt, 20, nil), prompt, 20)
	secondHolder, _ := f.waitForLeaseHolder(gateway, "number 2")
	f.processes[firstHolder].signal(syscall.SIGCONT)
	waitUntil(f.t, "the resumed holder detects that it lost the lease", func() bool {
		return strings.Contains(f.timelineOf(gateway, firstHolder), "lease_lost")
	})
	if secondHolder == gateway {
		gateway = firstHolder
	}
	f.processes[secondHolder].signal(syscall.SIGKILL)
	f.expectCompletion(f.streamChat(gateway, prompt, 20, nil), prompt, 20)
	f.waitForLeaseHolder(gateway, "number 3")
	for _, name := range []string{"engine-1", "engine-2"} {
		f.expectFencesNeverDecrease(name)
	}
}

// waitForLeaseHolder waits until the timeline that a gateway prints shows that the lease was
// acquired with a fencing token, which it prints as "number N", and returns the holder and
// the line.
func (f *fleet) waitForLeaseHolder(gateway, token string) (name, line string) {
	f.t.Helper()
	waitUntil(f.t, "the lease is acquired with "+token, func() bool {
		for _, line = range strings.Split(f.timelineOf(gateway, ""), "\n") {
			if fields := strings.Fields(line); strings.Contains(line, "lease_taken") && strings.HasSuffix(strings.TrimSpace(line), token) {
				name = fields[2]
			}
		}
		return name != ""
	})
	return name, line
}

// timelineOf returns the lines about a node in the timeline that a gateway prints, or all
// lines if node is empty.
func (f *fleet) timelineOf(gateway, node string) string {
	f.t.Helper()
	var found []string
	for _, line := range strings.Split(f.mustRun("timeline", "--server", f.operatorURLs[gateway], "--operator-key", operatorKey), "\n") {
		if fields := strings.Fields(line); node == "" || (len(fields) > 3 && fields[2] == node) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "\n")
}

// expectFencesNeverDecrease checks that the fencing tokens of the orders which reached an
// engine never decrease and that no order interrupted a completion.
func (f *fleet) expectFencesNeverDecrease(engine string) {
	f.t.Helper()
	response, err := http.Get("http://" + f.targetAddrs[engine] + "/orders")
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
			f.t.Errorf("%s got an order with fencing token %d after %d, which interrupted %d completions", engine, o.Fence, highest, o.Cut)
		}
		highest = max(highest, o.Fence)
	}
}
