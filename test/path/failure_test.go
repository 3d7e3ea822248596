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

// startStream starts a long answer through entry and returns once its first token
// is there, with the name of the engine that writes it.
func (f *fleet) startStream(gateway, prompt string, maxTokens int64) (target string, done chan completion) {
	f.t.Helper()
	tokens := make(chan string, maxTokens+1)
	done = make(chan completion, 1)
	go func() { done <- f.streamChat(gateway, prompt, maxTokens, tokens) }()
	<-tokens
	sent := f.sentTargets()
	return sent[len(sent)-1], done
}

// post sends a posting and returns its status and what it says of the run; a
// broken connection says nothing.
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

// setServiceDelay makes each call of the service take so long before its effect.
func (f *fleet) setServiceDelay(millis string) {
	f.t.Helper()
	response, err := http.Post("http://"+f.targetAddrs["service-1"]+"/_config", "application/json", strings.NewReader(`{"delay_ms":`+millis+`}`))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func TestEngineCrashDuringStream(t *testing.T) {
	// An engine loses its process while it writes. Its kernel closes the
	// connection in an orderly way, and a caller would see a short answer.
	f := newFleet(t)
	target, done := f.startStream("entry-1", "crash the engine", 300)
	f.processes[target].signal(syscall.SIGKILL)
	f.expectCompletion(<-done, "crash the engine", 300)
}

func TestAgentKilledDuringStream(t *testing.T) {
	// The VM's slot is emptied without notice while an answer streams. The
	// caller's stream would end in the middle of a sentence.
	f := newFleet(t)
	target, done := f.startStream("entry-1", "kill the agent", 300)
	f.processes["agent of "+target].signal(syscall.SIGKILL)
	f.expectCompletion(<-done, "kill the agent", 300)
}

func TestAgentPausedDuringStream(t *testing.T) {
	// A VM is frozen by its host. No connection closes, so that the caller's
	// stream would stand still for minutes; and when the VM wakes, what it still
	// had to say must not get into the answer that another engine finished.
	f := newFleet(t)
	target, done := f.startStream("entry-1", "pause the agent", 400)
	agent := f.processes["agent of "+target]
	agent.signal(syscall.SIGSTOP)
	f.expectCompletion(<-done, "pause the agent", 400)
	agent.signal(syscall.SIGCONT)
	waitUntil(t, "the agent that woke takes work", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 2 })
	f.expectCompletion(f.streamChat("entry-1", "after the pause", 20, nil), "after the pause", 20)
}

// tcpProxy is a TCP connection between an entry and an agent that can be cut so
// that nothing passes and nothing closes.
type tcpProxy struct {
	listener  net.Listener
	upstream  string
	mu        sync.Mutex
	unblocked *sync.Cond
	blocked   bool
}

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
	// A switch drops everything between the entries and one engine's VM. Both
	// sides think that the other is merely quiet.
	f := newFleet(t)
	proxy := newTCPProxy(t, f.agentAddrs["engine-1"])
	f.updateVM("engine-1", kumquatlug.VMTarget, proxy.listener.Addr().String())
	waitUntil(t, "the new address is in use", func() bool {
		return strings.Count(f.runOperator("explain", model), "yes") == 2 && strings.Contains(f.runOperator("status"), proxy.listener.Addr().String()[9:])
	})
	f.runOperator("label", "engine-2", "leaving=true")
	waitUntil(t, "only one engine takes work", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 1 })
	target, done := f.startStream("entry-1", "cut the link", 400)
	f.runOperator("label", "engine-2", "leaving-")
	if target != "engine-1" {
		t.Fatalf("the answer is written by %s", target)
	}
	proxy.setBlocked(true)
	f.expectCompletion(<-done, "cut the link", 400)
	proxy.setBlocked(false)
}

func TestPlatformOutage(t *testing.T) {
	// The platform's table and list are out for a while. Reading and drafting
	// must go on; a posting can't be claimed, and must be refused at once and
	// truthfully, so that its sender can send it again.
	f := newFleet(t)
	f.setPlatformFaults(`{"down":true}`)
	f.expectCompletion(f.streamChat("entry-1", "no platform", 20, nil), "no platform", 20)
	status, ran := f.post("entry-1", "posting-out")
	if status != http.StatusServiceUnavailable || ran != "not-run" {
		t.Errorf("posting without a table: status %d, ran %q", status, ran)
	}
	if got := strings.Count(f.runOperator("timeline"), "table_unavailable not-run"); got > 3 {
		t.Errorf("the posting was tried %d times, though no target could claim it", got)
	}
	f.setPlatformFaults(`{}`)
	waitUntil(t, "the posting is taken again", func() bool {
		status, _ := f.post("entry-2", "posting-out")
		return status == http.StatusOK
	})
	if got := f.runCount("posting-out"); got != 1 {
		t.Errorf("the posting ran %d times", got)
	}
}

func TestLostClaimResponse(t *testing.T) {
	// The table writes a claim and its answer gets lost. Taken for a failure the
	// posting would never run under its key; taken for a success it could run
	// beside another.
	f := newFleet(t)
	f.setPlatformFaults(`{"lose_answers":1}`)
	waitUntil(t, "the posting is answered", func() bool {
		status, _ := f.post("entry-1", "posting-lost")
		return status == http.StatusOK
	})
	if got := f.runCount("posting-lost"); got != 1 {
		t.Errorf("the posting ran %d times", got)
	}
}

func TestGatewayKilledDuringPost(t *testing.T) {
	// The caller's connection breaks while its posting runs, and it sends the
	// posting again through another entry, as it should.
	f := newFleet(t)
	f.setServiceDelay("700")
	first := make(chan int, 1)
	go func() { status, _ := f.post("entry-2", "posting-killed"); first <- status }()
	waitUntil(t, "the posting is at the service", func() bool { return strings.Contains(f.runOperator("timeline"), "service/gazette") })
	f.processes["entry-2"].signal(syscall.SIGKILL)
	<-first
	status, ran := f.post("entry-1", "posting-killed")
	if status != http.StatusOK || ran != "done" {
		t.Errorf("resend: status %d, ran %q", status, ran)
	}
	if got := f.runCount("posting-killed"); got != 1 {
		t.Errorf("the posting ran %d times", got)
	}
}

func TestAgentKilledDuringPost(t *testing.T) {
	// The agent dies between the run and the note of its outcome. Nobody can
	// know whether the posting stands, and running it again might double it.
	f := newFleet(t)
	f.setServiceDelay("700")
	first := make(chan string, 1)
	go func() { _, ran := f.post("entry-1", "posting-dead"); first <- ran }()
	waitUntil(t, "the posting is at the service", func() bool { return strings.Contains(f.runOperator("timeline"), "work_begun") })
	f.processes["agent of service-1"].signal(syscall.SIGKILL)
	f.startAgent("service-1", "service")
	if ran := <-first; ran != "unknown" {
		t.Errorf("the posting whose agent died is told as %q", ran)
	}
	waitUntil(t, "the new agent takes work", func() bool {
		return strings.Count(f.runOperator("explain", "gazette", "--protocol", "service"), "yes") == 1
	})
	if _, ran := f.post("entry-2", "posting-dead"); ran != "unknown" {
		t.Errorf("the resend is told as %q", ran)
	}
	if got := f.runCount("posting-dead"); got > 1 {
		t.Errorf("the posting ran %d times", got)
	}
}

func TestGatewayPausedDuringLabelChange(t *testing.T) {
	// An entry is frozen while an operator takes an engine out through another
	// one. When it wakes it still believes in the old labels, for as long as its
	// first look takes, and must not give that engine new work.
	f := newFleet(t)
	paused := f.processes["entry-2"]
	paused.signal(syscall.SIGSTOP)
	revision := f.revisionOf(f.runOperator("label", "engine-1", "leaving=true"))
	waitUntil(t, "the agent has the change", func() bool {
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
		if got := <-texts; got != engine.AnswerText("just woken", 3) {
			t.Errorf("a caller of the woken entry got %q", got)
		}
	}
	if got := len(f.workBegun("engine-1")) - before; got != 0 {
		t.Errorf("the leaving engine began %d new answers", got)
	}
}

// complete asks for a whole completion and returns its text, or what went
// wrong; written is told once the request is on its way.
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

// workBegun returns the events with which the agent of target began work.
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
	// The platform goes out and, while it is, an engine's agent is killed. The
	// answer in hand must still be finished elsewhere.
	f := newFleet(t)
	target, done := f.startStream("entry-1", "two at once", 300)
	f.setPlatformFaults(`{"down":true}`)
	f.processes["agent of "+target].signal(syscall.SIGKILL)
	f.expectCompletion(<-done, "two at once", 300)
	f.setPlatformFaults(`{}`)
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	// One document makes every engine that reads it fall over. Its sender's
	// program tries again and again, through every entry; without a limit it
	// takes the whole group down, and everybody else's answers with it.
	f := newFleet(t)
	var unrelated []chan completion
	for range 4 {
		_, done := f.startStream("entry-1", "an innocent neighbour", 400)
		unrelated = append(unrelated, done)
	}
	for i := range 6 {
		gateway := []string{"entry-1", "entry-2"}[i%2]
		if got := f.streamChat(gateway, "CRASH", 20, nil); got.err == nil {
			t.Errorf("sending %d was answered", i)
		}
	}
	for _, done := range unrelated {
		f.expectCompletion(<-done, "an innocent neighbour", 400)
	}
	if got := strings.Count(f.runOperator("timeline"), "target_crashed"); got > 2 {
		t.Errorf("the request crashed %d targets", got)
	}
	waitUntil(t, "the engines take work again", func() bool { return strings.Count(f.runOperator("explain", model), "yes") == 2 })
	var apiError *openai.Error
	if got := f.streamChat("entry-2", "CRASH", 20, nil); !errors.As(got.err, &apiError) || apiError.Code != "quarantined" {
		t.Errorf("a resend is told %v", got.err)
	}
	f.expectCompletion(f.streamChat("entry-2", "all well", 5, nil), "all well", 5)
}
