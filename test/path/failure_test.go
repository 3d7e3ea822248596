package path

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/openai/openai-go/v3"

	"github.com/kumquatlug/kumquatlug/internal/standin/engine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// startStream starts a streamed completion through a gateway and returns after its first
// token, with the name of the engine that generates it.
func (f *fleet) startStream(gateway, prompt string, maxTokens int64) (target string, done chan completion) {
	f.t.Helper()
	tokens := make(chan string, maxTokens+1)
	done = make(chan completion, 1)
	go func() { done <- f.streamChat(gateway, prompt, maxTokens, tokens) }()
	<-tokens
	sent := f.sentTargets()
	return sent[len(sent)-1], done
}

// post sends a POST request to the plain service and returns the status and the
// Kumquatlug-Ran header of the response, or zero values if the connection breaks.
func (f *fleet) post(gateway, key string) (status int, ran string) {
	request, err := http.NewRequest(http.MethodPost, f.callerURLs[gateway]+"/services/gazette/postings", strings.NewReader("notice"))
	if err != nil {
		return 0, ""
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Kumquatlug-Ran")
}

// setServiceDelay sets the time in ms that the service waits before it executes a call.
func (f *fleet) setServiceDelay(delayMs string) {
	f.t.Helper()
	response, err := http.Post("http://"+f.targetAddrs["service-1"]+"/_config", "application/json", strings.NewReader(`{"delay_ms":`+delayMs+`}`))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func TestEngineCrashDuringStream(t *testing.T) {
	// An engine process is killed while it streams. The kernel closes the connection in an
	// orderly way, so that a caller would take the truncated completion for a complete one.
	f := newFleet(t)
	target, done := f.startStream("entry-1", "crash the engine", 300)
	f.processes[target].signal(syscall.SIGKILL)
	f.expectCompletion(<-done, "crash the engine", 300)
}

func TestAgentKilledDuringStream(t *testing.T) {
	// A VM is removed without notice while a completion streams. The caller's stream would
	// end in the middle of a sentence.
	f := newFleet(t)
	target, done := f.startStream("entry-1", "kill the agent", 300)
	f.processes["agent of "+target].signal(syscall.SIGKILL)
	f.expectCompletion(<-done, "kill the agent", 300)
}

func TestAgentPausedDuringStream(t *testing.T) {
	// A VM is paused by its host. No connection closes, so that the caller's stream would
	// stall for minutes. After the VM resumes, its remaining output must not get into the
	// completion that another engine finished.
	f := newFleet(t)
	target, done := f.startStream("entry-1", "pause the agent", 400)
	agent := f.processes["agent of "+target]
	agent.signal(syscall.SIGSTOP)
	f.expectCompletion(<-done, "pause the agent", 400)
	agent.signal(syscall.SIGCONT)
	waitUntil(t, "the resumed agent accepts work", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 2 })
	f.expectCompletion(f.streamChat("entry-1", "after the pause", 20, nil), "after the pause", 20)
}

// tcpProxy forwards TCP connections from gateways to an agent. While it is blocked, it
// forwards nothing and closes no connection, like a network partition.
type tcpProxy struct {
	listener  net.Listener
	upstream  string
	mu        sync.Mutex
	unblocked *sync.Cond
	blocked   bool
}

// newTCPProxy starts a proxy to the upstream address on a free loopback port.
func newTCPProxy(t *testing.T, upstream string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, upstream: upstream}
	p.unblocked = sync.NewCond(&p.mu)
	t.Cleanup(func() { _ = listener.Close(); p.setBlocked(false) })
	go p.accept()
	return p
}

func (p *tcpProxy) setBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	p.unblocked.Broadcast()
}

func (p *tcpProxy) waitUnblocked() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.blocked {
		p.unblocked.Wait()
	}
}

func (p *tcpProxy) accept() {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		go p.forward(downstream, upstream)
		go p.forward(upstream, downstream)
	}
}

func (p *tcpProxy) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		p.waitUnblocked()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

func TestNetworkPartitionDuringStream(t *testing.T) {
	// A switch drops all packets between the gateways and the VM of one engine. Neither side
	// can distinguish this from an idle peer.
	f := newFleet(t)
	proxy := newTCPProxy(t, f.agentAddrs["engine-1"])
	f.updateVM("engine-1", kumquatlug.VMTarget, proxy.listener.Addr().String())
	waitUntil(t, "the new address is in use", func() bool {
		return strings.Count(f.runOperator("explain", model), "yes") == 2 && strings.Contains(f.runOperator("status"), proxy.listener.Addr().String()[9:])
	})
	f.runOperator("label", "engine-2", "leaving=true")
	waitUntil(t, "only one engine accepts work", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 1 })
	target, done := f.startStream("entry-1", "cut the link", 400)
	f.runOperator("label", "engine-2", "leaving-")
	if target != "engine-1" {
		t.Fatalf("the completion is generated by %s, want engine-1", target)
	}
	proxy.setBlocked(true)
	f.expectCompletion(<-done, "cut the link", 400)
	proxy.setBlocked(false)
}

func TestPlatformOutage(t *testing.T) {
	// The platform's table and VM list are unavailable for a while. Lookups and completions
	// must still be served. A POST can't be claimed, so it must be refused at once as not
	// run, so that its sender can retry it.
	f := newFleet(t)
	f.setPlatformFaults(`{"down":true}`)
	f.expectCompletion(f.streamChat("entry-1", "no platform", 20, nil), "no platform", 20)
	status, ran := f.post("entry-1", "posting-out")
	if status != http.StatusServiceUnavailable || ran != "not-run" {
		t.Errorf("POST during the outage: status %d, ran %q", status, ran)
	}
	if got := strings.Count(f.runOperator("timeline"), "table_unavailable not-run"); got > 3 {
		t.Errorf("the POST was attempted %d times, want at most 3: no target could claim it", got)
	}
	f.setPlatformFaults(`{}`)
	waitUntil(t, "the POST is accepted after the outage", func() bool {
		status, _ := f.post("entry-2", "posting-out")
		return status == http.StatusOK
	})
	if got := f.runCount("posting-out"); got != 1 {
		t.Errorf("the POST ran %d times", got)
	}
}

func TestLostClaimResponse(t *testing.T) {
	// The table commits a claim and the response is lost. If that counted as a failure, the
	// POST would never run under its key; if it counted as a success, the POST could run
	// concurrently with another one.
	f := newFleet(t)
	f.setPlatformFaults(`{"lose_answers":1}`)
	waitUntil(t, "the POST succeeds", func() bool {
		status, _ := f.post("entry-1", "posting-lost")
		return status == http.StatusOK
	})
	if got := f.runCount("posting-lost"); got != 1 {
		t.Errorf("the POST ran %d times", got)
	}
}

func TestGatewayKilledDuringPost(t *testing.T) {
	// A gateway is killed while a POST runs, which breaks the caller's connection. The caller
	// correctly retries through another gateway.
	f := newFleet(t)
	f.setServiceDelay("700")
	first := make(chan int, 1)
	go func() { status, _ := f.post("entry-2", "posting-killed"); first <- status }()
	waitUntil(t, "the POST reaches the service", func() bool { return strings.Contains(f.runOperator("timeline"), "service/gazette") })
	f.processes["entry-2"].signal(syscall.SIGKILL)
	<-first
	status, ran := f.post("entry-1", "posting-killed")
	if status != http.StatusOK || ran != "done" {
		t.Errorf("retry: status %d, ran %q", status, ran)
	}
	if got := f.runCount("posting-killed"); got != 1 {
		t.Errorf("the POST ran %d times", got)
	}
}

func TestAgentKilledDuringPost(t *testing.T) {
	// The agent is killed after the POST started and before its outcome is recorded. Whether
	// the POST took effect is unknown, and running it again might duplicate it.
	f := newFleet(t)
	f.setServiceDelay("700")
	first := make(chan string, 1)
	go func() { _, ran := f.post("entry-1", "posting-dead"); first <- ran }()
	waitUntil(t, "the POST reaches the service", func() bool { return strings.Contains(f.runOperator("timeline"), "work_begun") })
	f.processes["agent of service-1"].signal(syscall.SIGKILL)
	f.startAgent("service-1", "service")
	if ran := <-first; ran != "unknown" {
		t.Errorf("POST whose agent was killed: ran %q, want \"unknown\"", ran)
	}
	waitUntil(t, "the new agent accepts work", func() bool {
		return strings.Count(f.runOperator("explain", "gazette", "--protocol", "service"), "yes") == 1
	})
	if _, ran := f.post("entry-2", "posting-dead"); ran != "unknown" {
		t.Errorf("retry: ran %q, want \"unknown\"", ran)
	}
	if got := f.runCount("posting-dead"); got > 1 {
		t.Errorf("the POST ran %d times", got)
	}
}

func TestGatewayPausedDuringLabelChange(t *testing.T) {
	// A gateway is paused while an operator labels an engine as leaving through another
	// gateway. After it resumes, it uses the old labels until its first config read completes
	// and must not start new work on that engine.
	f := newFleet(t)
	paused := f.processes["entry-2"]
	paused.signal(syscall.SIGSTOP)
	revision := f.revisionOf(f.runOperator("label", "engine-1", "leaving=true"))
	waitUntil(t, "the agent applies the change", func() bool {
		for _, line := range strings.Split(f.runOperator("status"), "\n") {
			if fields := strings.Fields(line); len(fields) > 5 && fields[0] == "engine-1" {
				return fields[5] == revision
			}
		}
		return false
	})
	before := len(f.workBegun("engine-1"))
	const sent = 16
	written, texts := make(chan bool, sent), make(chan string, sent)
	for range sent {
		go func() { texts <- f.complete("entry-2", "just woken", 3, written) }()
	}
	for range sent {
		<-written
	}
	paused.signal(syscall.SIGCONT)
	for range sent {
		if got := <-texts; got != engine.ResponseText("just woken", 3) {
			t.Errorf("a caller of the resumed gateway got %q", got)
		}
	}
	if got := len(f.workBegun("engine-1")) - before; got != 0 {
		t.Errorf("the leaving engine started %d new completions", got)
	}
}

// complete requests a completion without streaming and returns its text, or a description
// of the error. It sends to written once the request is written to the connection.
func (f *fleet) complete(gateway, prompt string, maxTokens int, written chan<- bool) string {
	requestBody := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, maxTokens)
	request, err := http.NewRequest(http.MethodPost, f.callerURLs[gateway]+"/v1/completions", strings.NewReader(requestBody))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { written <- true }}
	response, err := http.DefaultClient.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || len(body.Choices) != 1 {
		return fmt.Sprintf("status %d, %v", response.StatusCode, err)
	}
	return body.Choices[0].Text
}

// workBegun returns the lines of the timeline in which the agent of a target starts work.
func (f *fleet) workBegun(target string) []string {
	f.t.Helper()
	var events []string
	for _, line := range strings.Split(f.runOperator("timeline"), "\n") {
		if strings.Contains(line, target) && strings.Contains(line, "work_begun") {
			events = append(events, line)
		}
	}
	return events
}

func TestAgentKilledDuringPlatformOutage(t *testing.T) {
	// The platform becomes unavailable, and an engine's agent is killed during the outage.
	// Another engine must still finish the completion in flight.
	f := newFleet(t)
	target, done := f.startStream("entry-1", "two at once", 300)
	f.setPlatformFaults(`{"down":true}`)
	f.processes["agent of "+target].signal(syscall.SIGKILL)
	f.expectCompletion(<-done, "two at once", 300)
	f.setPlatformFaults(`{}`)
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	// One prompt crashes every engine that processes it, and its caller retries it through
	// every gateway. Without a limit it crashes the whole group, which also fails the
	// completions of all other callers.
	f := newFleet(t)
	var unrelated []chan completion
	for range 4 {
		_, done := f.startStream("entry-1", "an innocent neighbour", 400)
		unrelated = append(unrelated, done)
	}
	for i := range 6 {
		gateway := []string{"entry-1", "entry-2"}[i%2]
		if got := f.streamChat(gateway, "CRASH", 20, nil); got.err == nil {
			t.Errorf("attempt %d succeeded", i)
		}
	}
	for _, done := range unrelated {
		f.expectCompletion(<-done, "an innocent neighbour", 400)
	}
	if got := strings.Count(f.runOperator("timeline"), "target_crashed"); got > 2 {
		t.Errorf("the request crashed %d targets, want at most 2", got)
	}
	waitUntil(t, "the engines accept work again", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 2 })
	var apiError *openai.Error
	if got := f.streamChat("entry-2", "CRASH", 20, nil); !errors.As(got.err, &apiError) || apiError.Code != "quarantined" {
		t.Errorf("retry: got %v, want error code quarantined", got.err)
	}
	f.expectCompletion(f.streamChat("entry-2", "all well", 5, nil), "all well", 5)
}
