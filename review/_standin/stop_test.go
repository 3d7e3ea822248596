package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	prefillEngines, decodeEngines = 4, 2
	// chatEvents events of a chat take 5 s, so that all chats end well within grace_s.
	chatEvents = 200
	chats      = 40
	// chatsBefore is the time in which the chats begin, before SIGTERM.
	chatsBefore = 1 * time.Second
	// hupAfter is the time from SIGTERM to SIGHUP.
	hupAfter    = 1 * time.Second
	gracePeriod = 8 * time.Second
)

// runStop plays: a front is stopped, and meanwhile its settings file changes. No chat that it has passed on to
// an engine may be cut.
func runStop(c *caseRun) (bool, error) {
	if err := c.startSite(3); err != nil {
		return false, err
	}
	if err := c.startEngines(); err != nil {
		return false, err
	}
	p, err := c.startFront("edge-andina-a-1")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	c.log("trouble: %v", c.trouble)
	results := make([]chatResult, chats)
	var group sync.WaitGroup
	for n := range chats {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(chatsBefore * time.Duration(n) / chats)
			results[n] = c.chat(p, fmt.Sprintf("chat-%d", n))
		}()
	}
	time.Sleep(chatsBefore + 200*time.Millisecond)
	stopped := time.Now()
	c.log("planned work: SIGTERM to %s", p.name)
	p.signal(syscall.SIGTERM)
	if c.trouble {
		time.Sleep(hupAfter)
		if err := p.rewriteSettings(); err != nil {
			return false, err
		}
		c.log("planned work: the settings file has changed, SIGHUP to %s", p.name)
		p.signal(syscall.SIGHUP)
	}
	group.Wait()
	select {
	case <-p.done:
		c.log("%s ended %v after SIGTERM", p.name, time.Since(stopped).Round(time.Millisecond))
	case <-time.After(time.Until(stopped.Add(gracePeriod))):
		c.log("%s still runs at the end of grace_s", p.name)
	}
	return c.judgeChats(results, stopped), nil
}

// startEngines starts the engines, so many of each stage that no orders are due.
func (c *caseRun) startEngines() error {
	m := &memories{handles: map[string]*memory{}}
	for i := range prefillEngines + decodeEngines {
		stage := "prefill"
		if i >= prefillEngines {
			stage = "decode"
		}
		e, err := newEngine(c, fmt.Sprintf("i-%08x", 0x02d9e6b4+i), stage, m)
		if err != nil {
			return err
		}
		c.engines = append(c.engines, e)
		c.store.Put("servers", e.id, e.row("ready"))
	}
	return nil
}

// chatResult is what became of a chat.
type chatResult struct {
	id       string
	events   int
	complete bool
	err      error
	endedAt  time.Time
}

// chat sends a chat and reads its stream.
func (c *caseRun) chat(p *frontProcess, id string) chatResult {
	r := chatResult{id: id}
	k := &client{address: p.clients}
	defer k.drop()
	var text string
	if r.err = k.connect(); r.err == nil {
		_ = k.conn.SetDeadline(time.Now().Add(chatDeadlineMs * time.Millisecond))
		framing := fmt.Sprintf("Model: m\r\nToken-Count: 220,400\r\nPrefix-Hash: cc:79,%x:141\r\nContent-Length: 4", id)
		_, r.err = io.WriteString(k.conn, headWith(http.MethodPost, chatPrefix, id, chatDeadlineMs, framing)+"body")
		c.note("client: sent %s", id)
	}
	if r.err == nil {
		text, r.err = k.readStream()
	}
	r.endedAt = time.Now()
	r.events = strings.Count(text, "\n\n")
	r.complete = r.err == nil && r.events == chatEvents
	c.note("client: %s: %d events, complete %v, %v", id, r.events, r.complete, r.err)
	return r
}

// readStream reads a stream to its end.
func (k *client) readStream() (string, error) {
	response, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d %s", response.StatusCode, body)
	}
	return string(body), err
}

// judgeChats checks the rule LOST around planned work: a request that was passed on to a worker ends with a
// complete answer. One whose worker was still at work in the last sixth of grace_s isn't counted.
func (c *caseRun) judgeChats(results []chatResult, stopped time.Time) bool {
	lost, complete := 0, 0
	for _, r := range results {
		passedOn := false
		for _, e := range c.engines {
			passedOn = passedOn || e.began(r.id)
		}
		switch {
		case r.complete:
			complete++
		case passedOn && r.endedAt.Before(stopped.Add(gracePeriod*5/6)):
			lost++
			c.log("LOST: %s was passed on to an engine, its connection ended after %d of %d events, %v after SIGTERM: %v",
				r.id, r.events, chatEvents, r.endedAt.Sub(stopped).Round(time.Millisecond), r.err)
		default:
			c.log("%s: not counted: %d events, %v", r.id, r.events, r.err)
		}
	}
	c.log("%d chats: %d complete, %d lost", len(results), complete, lost)
	return lost > 0
}
