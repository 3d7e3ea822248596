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

// streaming starts a long answer through entry and returns once its first token
// is there, with the name of the engine that writes it.
func (f *fleet) streaming(entry, prompt string, maxTokens int64) (target string, done chan answer) {
	f.t.Helper()
	tokens := make(chan string, maxTokens+1)
	done = make(chan answer, 1)
	go func() { done <- f.stream(entry, prompt, maxTokens, tokens) }()
	<-tokens
	sent := f.sentTo()
	return sent[len(sent)-1], done
}

// post sends a posting and returns its status and what it says of the run; a
// broken connection says nothing.
func (f *fleet) post(entry, key string) (status int, ran string) {
	request, err := http.NewRequest(http.MethodPost, f.callers[entry]+"/services/gazette/postings", strings.NewReader("notice"))
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

// slowService makes each call of the service take so long before its effect.
func (f *fleet) slowService(millis string) {
	f.t.Helper()
	response, err := http.Post("http://"+f.targets["service-1"]+"/_config", "application/json", strings.NewReader(`{"delay_ms":`+millis+`}`))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func TestEngineCrashesInMidAnswer(t *testing.T) {
	// An engine loses its process while it writes. Its kernel closes the
	// connection in an orderly way, and a caller would see a short answer.
	f := newFleet(t)
	target, done := f.streaming("entry-1", "crash the engine", 300)
	f.processes[target].signal(syscall.SIGKILL)
	f.expectWhole(<-done, "crash the engine", 300)
}

func TestAgentIsKilledInMidAnswer(t *testing.T) {
	// The VM's slot is emptied without notice while an answer streams. The
	// caller's stream would end in the middle of a sentence.
	f := newFleet(t)
	target, done := f.streaming("entry-1", "kill the agent", 300)
	f.processes["agent of "+target].signal(syscall.SIGKILL)
	f.expectWhole(<-done, "kill the agent", 300)
}

func TestAgentIsPausedInMidAnswer(t *testing.T) {
	// A VM is frozen by its host. No connection closes, so that the caller's
	// stream would stand still for minutes; and when the VM wakes, what it still
	// had to say must not get into the answer that another engine finished.
	f := newFleet(t)
	target, done := f.streaming("entry-1", "pause the agent", 400)
	agent := f.processes["agent of "+target]
	agent.signal(syscall.SIGSTOP)
	f.expectWhole(<-done, "pause the agent", 400)
	agent.signal(syscall.SIGCONT)
	until(t, "the agent that woke takes work", func() bool { return strings.Count(f.operate("explain", model), "yes") == 2 })
	f.expectWhole(f.stream("entry-1", "after the pause", 20, nil), "after the pause", 20)
}

// link is a TCP connection between an entry and an agent that can be cut so
// that nothing passes and nothing closes.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	passes   *sync.Cond
	cut      bool
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, to: to}
	l.passes = sync.NewCond(&l.mu)
	t.Cleanup(func() { _ = listener.Close(); l.set(false) })
	go l.accept()
	return l
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.passes.Broadcast()
}

func (l *link) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.passes.Wait()
	}
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		go l.pass(near, far)
		go l.pass(far, near)
	}
}

func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		l.wait()
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

func TestLinkIsCutInMidAnswer(t *testing.T) {
	// A switch drops everything between the entries and one engine's VM. Both
	// sides think that the other is merely quiet.
	f := newFleet(t)
	cut := newLink(t, f.agents["engine-1"])
	f.enter("engine-1", kumquatlug.VMTarget, cut.listener.Addr().String())
	until(t, "the new address is in use", func() bool {
		return strings.Count(f.operate("explain", model), "yes") == 2 && strings.Contains(f.operate("status"), cut.listener.Addr().String()[9:])
	})
	f.operate("label", "engine-2", "leaving=true")
	until(t, "only one engine takes work", func() bool { return strings.Count(f.operate("explain", model), "yes") == 1 })
	target, done := f.streaming("entry-1", "cut the link", 400)
	f.operate("label", "engine-2", "leaving-")
	if target != "engine-1" {
		t.Fatalf("the answer is written by %s", target)
	}
	cut.set(true)
	f.expectWhole(<-done, "cut the link", 400)
	cut.set(false)
}

func TestPlatformIsOut(t *testing.T) {
	// The platform's table and list are out for a while. Reading and drafting
	// must go on; a posting can't be claimed, and must be refused at once and
	// truthfully, so that its sender can send it again.
	f := newFleet(t)
	f.faults(`{"down":true}`)
	f.expectWhole(f.stream("entry-1", "no platform", 20, nil), "no platform", 20)
	status, ran := f.post("entry-1", "posting-out")
	if status != http.StatusServiceUnavailable || ran != "not-run" {
		t.Errorf("posting without a table: status %d, ran %q", status, ran)
	}
	if got := strings.Count(f.operate("timeline"), "table_unavailable not-run"); got > 3 {
		t.Errorf("the posting was tried %d times, though no target could claim it", got)
	}
	f.faults(`{}`)
	until(t, "the posting is taken again", func() bool {
		status, _ := f.post("entry-2", "posting-out")
		return status == http.StatusOK
	})
	if got := f.runs("posting-out"); got != 1 {
		t.Errorf("the posting ran %d times", got)
	}
}

func TestClaimsAnswerIsLost(t *testing.T) {
	// The table writes a claim and its answer gets lost. Taken for a failure the
	// posting would never run under its key; taken for a success it could run
	// beside another.
	f := newFleet(t)
	f.faults(`{"lose_answers":1}`)
	until(t, "the posting is answered", func() bool {
		status, _ := f.post("entry-1", "posting-lost")
		return status == http.StatusOK
	})
	if got := f.runs("posting-lost"); got != 1 {
		t.Errorf("the posting ran %d times", got)
	}
}

func TestEntryIsKilledInMidPosting(t *testing.T) {
	// The caller's connection breaks while its posting runs, and it sends the
	// posting again through another entry, as it should.
	f := newFleet(t)
	f.slowService("700")
	first := make(chan int, 1)
	go func() { status, _ := f.post("entry-2", "posting-killed"); first <- status }()
	until(t, "the posting is at the service", func() bool { return strings.Contains(f.operate("timeline"), "service/gazette") })
	f.processes["entry-2"].signal(syscall.SIGKILL)
	<-first
	status, ran := f.post("entry-1", "posting-killed")
	if status != http.StatusOK || ran != "done" {
		t.Errorf("resend: status %d, ran %q", status, ran)
	}
	if got := f.runs("posting-killed"); got != 1 {
		t.Errorf("the posting ran %d times", got)
	}
}

func TestAgentIsKilledInMidPosting(t *testing.T) {
	// The agent dies between the run and the note of its outcome. Nobody can
	// know whether the posting stands, and running it again might double it.
	f := newFleet(t)
	f.slowService("700")
	first := make(chan string, 1)
	go func() { _, ran := f.post("entry-1", "posting-dead"); first <- ran }()
	until(t, "the posting is at the service", func() bool { return strings.Contains(f.operate("timeline"), "work_begun") })
	f.processes["agent of service-1"].signal(syscall.SIGKILL)
	f.startAgent("service-1", "service")
	if ran := <-first; ran != "unknown" {
		t.Errorf("the posting whose agent died is told as %q", ran)
	}
	until(t, "the new agent takes work", func() bool {
		return strings.Count(f.operate("explain", "gazette", "--protocol", "service"), "yes") == 1
	})
	if _, ran := f.post("entry-2", "posting-dead"); ran != "unknown" {
		t.Errorf("the resend is told as %q", ran)
	}
	if got := f.runs("posting-dead"); got > 1 {
		t.Errorf("the posting ran %d times", got)
	}
}

func TestPausedEntryWakesAfterALabelChange(t *testing.T) {
	// An entry is frozen while an operator takes an engine out through another
	// one. When it wakes it still believes in the old labels, for as long as its
	// first look takes, and must not give that engine new work.
	f := newFleet(t)
	asleep := f.processes["entry-2"]
	asleep.signal(syscall.SIGSTOP)
	revision := f.revisionOf(f.operate("label", "engine-1", "leaving=true"))
	until(t, "the agent has the change", func() bool {
		for _, line := range strings.Split(f.operate("status"), "\n") {
			if fields := strings.Fields(line); len(fields) > 5 && fields[0] == "engine-1" {
				return fields[5] == revision
			}
		}
		return false
	})
	before := len(f.workBegun("engine-1"))
	const sent = 16
	written, answers := make(chan bool, sent), make(chan string, sent)
	for range sent {
		go func() { answers <- f.complete("entry-2", "just woken", 3, written) }()
	}
	for range sent {
		<-written
	}
	asleep.signal(syscall.SIGCONT)
	for range sent {
		if got := <-answers; got != engine.AnswerText("just woken", 3) {
			t.Errorf("a caller of the woken entry got %q", got)
		}
	}
	if got := len(f.workBegun("engine-1")) - before; got != 0 {
		t.Errorf("the leaving engine began %d new answers", got)
	}
}

// complete asks for a whole completion and returns its text, or what went
// wrong; written is told once the request is on its way.
func (f *fleet) complete(entry, prompt string, maxTokens int, written chan<- bool) string {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, maxTokens)
	request, err := http.NewRequest(http.MethodPost, f.callers[entry]+"/v1/completions", strings.NewReader(body))
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
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || len(answer.Choices) != 1 {
		return fmt.Sprintf("status %d, %v", response.StatusCode, err)
	}
	return answer.Choices[0].Text
}

// workBegun returns the events with which the agent of target began work.
func (f *fleet) workBegun(target string) []string {
	f.t.Helper()
	var begun []string
	for _, line := range strings.Split(f.operate("timeline"), "\n") {
		if strings.Contains(line, target) && strings.Contains(line, "work_begun") {
			begun = append(begun, line)
		}
	}
	return begun
}

func TestTwoFailuresAtOnce(t *testing.T) {
	// The platform goes out and, while it is, an engine's agent is killed. The
	// answer in hand must still be finished elsewhere.
	f := newFleet(t)
	target, done := f.streaming("entry-1", "two at once", 300)
	f.faults(`{"down":true}`)
	f.processes["agent of "+target].signal(syscall.SIGKILL)
	f.expectWhole(<-done, "two at once", 300)
	f.faults(`{}`)
}

func TestRequestThatCrashesEnginesIsQuarantined(t *testing.T) {
	// One document makes every engine that reads it fall over. Its sender's
	// program tries again and again, through every entry; without a limit it
	// takes the whole group down, and everybody else's answers with it.
	f := newFleet(t)
	var neighbours []chan answer
	for range 4 {
		_, done := f.streaming("entry-1", "an innocent neighbour", 400)
		neighbours = append(neighbours, done)
	}
	for i := range 6 {
		entry := []string{"entry-1", "entry-2"}[i%2]
		if got := f.stream(entry, "CRASH", 20, nil); got.err == nil {
			t.Errorf("sending %d was answered", i)
		}
	}
	for _, done := range neighbours {
		f.expectWhole(<-done, "an innocent neighbour", 400)
	}
	if got := strings.Count(f.operate("timeline"), "target_crashed"); got > 2 {
		t.Errorf("the request crashed %d targets", got)
	}
	until(t, "the engines take work again", func() bool { return strings.Count(f.operate("explain", model), "yes") == 2 })
	var told *openai.Error
	if got := f.stream("entry-2", "CRASH", 20, nil); !errors.As(got.err, &told) || told.Code != "quarantined" {
		t.Errorf("a resend is told %v", got.err)
	}
	f.expectWhole(f.stream("entry-2", "all well", 5, nil), "all well", 5)
}
