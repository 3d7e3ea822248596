package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/dispatch"
)

// admittedDelay is how long after an agent has admitted a continuation the target
// may still refuse it. A target that is full refuses at once; one that has not
// refused by then runs the request, and the first attempt is cancelled, so that
// two runs overlap only briefly.
const admittedDelay = 200 * time.Millisecond

// guardConfig configures a [guardedAttempt].
type guardConfig struct {
	// agentRequest returns the request that continues the response from the
	// position that the caller has reached. It is called on any goroutine.
	agentRequest func() (agentRequest, error)
	// usable reports whether a response can replace a suspected attempt.
	usable func(*http.Response) bool
	// resumable reports whether another target can continue a partial response.
	resumable bool
	// secondary attempts are cancelled when they become suspect, since the request does
	// not depend on them alone.
	secondary bool
	// settle, if set, determines the outcome of a call that must not be repeated,
	// in place of a continuation.
	settle func(ctx context.Context) (kumquatlug.TargetResponse, *refusal)
}

// guardedAttempt is an attempt that stays open while its target is suspected to be
// down. A paused target or a broken link often recovers after some seconds. If the
// attempt were cancelled first and the request could not continue elsewhere, for
// lack of a target, of retries or of capacity, the caller would lose a response that
// the first target was about to complete. A continuation is therefore secured first:
// the attempt is cancelled when another target has accepted the request, and the
// continuation is called off when the attempt receives anything before that.
type guardedAttempt struct {
	request *request
	ctx     context.Context
	attempt dispatch.Attempt
	c       guardConfig
	open    *openAttempt
	// suspected is set while a continuation is being secured.
	suspected atomic.Bool

	mu           sync.Mutex
	continuation *continuation
	// secondary is set while this attempt is itself a continuation that has not
	// been accepted.
	secondary bool
	// delivering is set once a part of the response was delivered that no other
	// target can continue.
	delivering bool
	closed     bool
}

// continuation is the attempt to continue a suspected attempt elsewhere.
type continuation struct {
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the goroutine that secures the continuation has ended, and
	// firstEnded when the suspected attempt has failed by itself.
	done       chan struct{}
	firstEnded chan struct{}
	// accepted is set when the first attempt was cancelled in favour of the
	// continuation, calledOff when the continuation was cancelled in favour of the
	// first attempt. At most one of them is set, under the lock of the first.
	accepted, calledOff bool
	// queued is set if the loop knows of the suspicion.
	queued bool
	// taken is set once the result takes the place of the first attempt.
	taken bool
	// The following are the result, valid once done is closed. next is the attempt at
	// the other target with its response or refusal. settled is set if settle had a
	// result. failure is the final failure if no continuation can be had.
	next     *guardedAttempt
	response *http.Response
	refused  *refusal
	settled  bool
	answer   kumquatlug.TargetResponse
	failure  error
}

// guard registers an attempt that ends with ctx.
func (r *request) guard(ctx context.Context, a dispatch.Attempt, c guardConfig) *guardedAttempt {
	g := &guardedAttempt{request: r, ctx: ctx, attempt: a, c: c, secondary: c.secondary}
	g.open = r.entry.attempts.start(ctx, a.Target(), g.suspect)
	return g
}

// send sends the request and returns the agent's response, whose body the caller must
// close, or a refusal.
func (g *guardedAttempt) send() (*http.Response, *refusal) {
	out, err := g.c.agentRequest()
	if err != nil {
		return nil, g.request.sendFailure(g.attempt, "bad_request", kumquatlug.NotExecuted, err)
	}
	response, refused := g.request.send(g.open.ctx, g.attempt, out)
	if refused != nil {
		return nil, refused
	}
	response.Body = guardedBody{g, response.Body}
	if !g.progress() {
		response.Body.Close()
		return nil, g.superseded()
	}
	return response, nil
}

func (g *guardedAttempt) superseded() *refusal {
	return g.request.sendFailure(g.attempt, reasonSilent, kumquatlug.ExecutionUnknown, errSuperseded)
}

// guardedBody is the body of a response. What it receives calls off a continuation.
type guardedBody struct {
	guard *guardedAttempt
	io.ReadCloser
}

// Read fails if another target has accepted the request in the meantime.
func (b guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.guard.progress() {
		return 0, errSuperseded
	}
	return n, err
}

// progress records that a part of the response arrived. It returns false if another
// target has accepted the request, so that the part must be dropped.
func (g *guardedAttempt) progress() bool {
	g.open.received.Add(1)
	return !g.suspected.Load() || g.callOff()
}

// callOff cancels the continuation, if there is one. It returns false if the
// continuation was accepted before.
func (g *guardedAttempt) callOff() bool {
	g.mu.Lock()
	c := g.continuation
	if c == nil || c.accepted {
		defer g.mu.Unlock()
		return c == nil
	}
	c.calledOff = true
	g.mu.Unlock()
	c.cancel()
	<-c.done
	if c.queued {
		g.request.resumeFirst(g.attempt.Number())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.continuation = nil
	g.suspected.Store(false)
	return true
}

// resumeFirst tells the loop that the suspected attempt goes on, and discards a
// decision about the continuation that was not read.
func (r *request) resumeFirst(number int) {
	done := make(chan struct{})
	r.entry.loop.post(attemptResumed{id: r.id, number: number, decisions: r.decisions, done: done})
	select {
	case <-done:
	case <-r.entry.loop.stopped:
	}
	select {
	case <-r.decisions:
	default:
	}
}

// deliver records that the response is delivered from here on, so that no other
// target can continue it. It returns false if another target has already accepted
// the request.
func (g *guardedAttempt) deliver() bool {
	for g.callOff() {
		g.mu.Lock()
		g.delivering = g.continuation == nil
		delivering := g.delivering
		g.mu.Unlock()
		if delivering {
			return true
		}
	}
	return false
}

// failed records that the attempt failed. It returns the continuation that takes its
// place once its result is known, or nil if the attempt was not suspected.
func (g *guardedAttempt) failed() *continuation {
	g.mu.Lock()
	g.closed = true
	c := g.continuation
	g.mu.Unlock()
	if c == nil {
		return nil
	}
	if c.queued {
		g.openEnded()
	}
	close(c.firstEnded)
	<-c.done
	c.taken = true
	return c
}

// close ends the attempt, after which it is no longer suspected, and its
// continuation unless that took its place.
func (g *guardedAttempt) close() {
	g.mu.Lock()
	g.closed = true
	c := g.continuation
	if c != nil && !c.accepted {
		c.calledOff = true
	}
	g.mu.Unlock()
	g.open.end()
	if c == nil || c.taken {
		// The result that was taken may depend on the context of the continuation, which
		// ends with the caller's.
		return
	}
	c.cancel()
	<-c.done
	c.discard()
}

// finalFailure returns the failure of a request whose attempt failed and which no other
// target continues.
func (r *request) finalFailure(c *continuation) error {
	if c.failure != nil {
		return c.failure
	}
	return r.callerDisconnected("wait", context.Canceled)
}

// openEnded tells the loop that the suspected attempt has ended.
func (g *guardedAttempt) openEnded() {
	g.request.entry.loop.post(openAttemptEnded{g.request.id, g.attempt.Number()})
}

// discard ends a continuation that was accepted but is not used.
func (c *continuation) discard() {
	if c.response != nil {
		c.response.Body.Close()
	}
	if c.next != nil {
		c.next.close()
	}
	if c.settled && c.refused == nil {
		discardAnswer(c.answer)
	}
}

// suspect is called when the target is down and the attempt is silent.
func (g *guardedAttempt) suspect() {
	g.mu.Lock()
	if g.closed || g.continuation != nil {
		g.mu.Unlock()
		return
	}
	if g.secondary && !g.delivering {
		// The first attempt is still open, so the next target can be tried.
		g.mu.Unlock()
		g.open.cancel(errTargetDown)
		return
	}
	c := &continuation{done: make(chan struct{}), firstEnded: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(g.ctx)
	c.queued = !g.delivering && g.c.settle == nil
	g.continuation = c
	g.suspected.Store(true)
	delivering := g.delivering
	g.mu.Unlock()
	defer close(c.done)
	switch {
	case delivering:
		g.waitForFirst(c)
	case g.c.settle != nil:
		g.settle(c)
	default:
		g.secure(c)
	}
}

// accept cancels the attempt in favour of the continuation. It returns false if the
// continuation was called off before.
func (g *guardedAttempt) accept(c *continuation, cause error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.calledOff {
		return false
	}
	if !c.accepted {
		c.accepted = true
		g.open.cancel(cause)
	}
	return true
}

// secure has the loop choose other targets until one accepts the request.
func (g *guardedAttempt) secure(c *continuation) {
	r := g.request
	suspected := r.sendFailure(g.attempt, reasonSilent, kumquatlug.ExecutionUnknown, errTargetDown).attemptFailure()
	suspected.Resumable = g.c.resumable
	r.recordFailure(g.attempt, suspected)
	r.entry.loop.post(attemptSuspected{r.id, g.attempt.Number(), suspected})
	for {
		d, err := r.nextDecision(c.ctx)
		if err != nil {
			return
		}
		if d.Verdict() == dispatch.VerdictRefuse {
			c.failure = d.Failure()
			g.waitForFirst(c)
			return
		}
		if g.trySecond(c, d.Attempt()) {
			return
		}
	}
}

// waitForFirst waits until the attempt goes on or ends, since no other target
// continues it, and cancels it at its deadline.
func (g *guardedAttempt) waitForFirst(c *continuation) {
	r := g.request
	limit := max(r.deadline-r.entry.cfg.Clock.Now(), 0)
	if g.open.received.Load() > 0 {
		// A partly delivered response may continue after its deadline.
		limit = max(limit, dispatch.ResumeTimeout)
	}
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-c.firstEnded:
	case <-timer.C:
		g.accept(c, errTargetDown)
	}
}

// settle determines the outcome of a call that must not be repeated, while the attempt
// stays open. An unknown outcome changes nothing. A call that has not run is revoked, after
// which the suspected target can't run it any more, so settle first waits for another
// target that can.
func (g *guardedAttempt) settle(c *continuation) {
	if !g.awaitOtherTarget(c) {
		return
	}
	answer, refused := g.c.settle(c.ctx)
	if refused != nil && refused.failure.Execution() == kumquatlug.ExecutionUnknown {
		g.waitForFirst(c)
		return
	}
	if !g.accept(c, errSuperseded) {
		if refused == nil {
			discardAnswer(answer)
		}
		return
	}
	c.settled, c.answer, c.refused = true, answer, refused
}

// otherTargetInterval is the interval between checks for another ready target. Reports
// arrive a second apart or less often.
const otherTargetInterval = 500 * time.Millisecond

// awaitOtherTarget waits until another target of the kind is ready. It returns false if the
// attempt goes on or ends before, or is cancelled at its deadline.
func (g *guardedAttempt) awaitOtherTarget(c *continuation) bool {
	r := g.request
	ticker := time.NewTicker(otherTargetInterval)
	defer ticker.Stop()
	for {
		ready := false
		_ = r.entry.loop.query(c.ctx, func(d *dispatch.Dispatcher) { ready = d.HasOtherTarget(r.kind, g.attempt.Target()) })
		if ready {
			return true
		}
		if r.entry.cfg.Clock.Now() >= r.deadline {
			g.accept(c, errTargetDown)
			return false
		}
		select {
		case <-c.ctx.Done():
			return false
		case <-c.firstEnded:
			return false
		case <-ticker.C:
		}
	}
}

// trySecond sends the request to another target. It returns false if that attempt
// failed without having been accepted, so that the loop must choose another one.
func (g *guardedAttempt) trySecond(c *continuation, a dispatch.Attempt) bool {
	r := g.request
	config := g.c
	config.secondary = true
	second := r.guard(g.ctx, a, config)
	stop := context.AfterFunc(c.ctx, func() { second.open.cancel(nil) })
	var once sync.Once
	accept := func() bool {
		if !g.accept(c, errSuperseded) {
			return false
		}
		once.Do(func() {
			stop()
			g.openEnded()
			second.mu.Lock()
			second.secondary = false
			second.mu.Unlock()
		})
		return true
	}
	response, refused := second.sendAsSecond(accept)
	switch {
	case g.isAccepted(c):
		c.next, c.response, c.refused = second, response, refused
		return true
	case response != nil:
		response.Body.Close()
	}
	second.close()
	if c.ctx.Err() != nil {
		return true
	}
	failed := refused.attemptFailure()
	failed.Resumable = g.c.resumable
	r.reportFailure(a, failed)
	return false
}

func (g *guardedAttempt) isAccepted(c *continuation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.accepted
}

// sendAsSecond sends the request as a continuation. It calls accept when the target has
// accepted it: with a usable response, or when it has not refused it for admittedDelay
// after its agent admitted it.
func (g *guardedAttempt) sendAsSecond(accept func() bool) (*http.Response, *refusal) {
	out, err := g.c.agentRequest()
	if err != nil {
		return nil, g.request.sendFailure(g.attempt, "bad_request", kumquatlug.NotExecuted, err)
	}
	out.announceAdmission = true
	var mu sync.Mutex
	var timer *time.Timer
	ctx := httptrace.WithClientTrace(g.open.ctx, &httptrace.ClientTrace{Got1xxResponse: func(code int, _ textproto.MIMEHeader) error {
		mu.Lock()
		defer mu.Unlock()
		if code == http.StatusProcessing && timer == nil {
			timer = time.AfterFunc(admittedDelay, func() { accept() })
		}
		return nil
	}})
	response, refused := g.request.send(ctx, g.attempt, out)
	mu.Lock()
	if timer != nil {
		timer.Stop()
	}
	mu.Unlock()
	if refused != nil {
		return nil, refused
	}
	if !g.c.usable(response) {
		response.Body.Close()
		return nil, g.request.sendFailure(g.attempt, reasonTargetFailed, kumquatlug.ExecutionUnknown, nil)
	}
	response.Body = guardedBody{g, response.Body}
	if accept() && !g.progress() {
		response.Body.Close()
		return nil, g.superseded()
	}
	return response, nil
}
