package dispatch

import (
	"net/http"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/drain"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/limit"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/quarantine"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/retry"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/routing"
)

// RequestConfig describes a request that arrived.
type RequestConfig struct {
	ID     string
	Caller kumquatlug.Caller
	Kind   kumquatlug.Kind
	// Role is the part of the work asked for: RoleBoth of engines, RoleServe
	// of services.
	Role kumquatlug.Role
	// Prefix are the prompt's prefix keys; see routing.Query.
	Prefix []uint64
	// PrefillTokens and DecodeTokens are estimates.
	PrefillTokens int64
	DecodeTokens  int64
	// Arrival and Deadline are points in time.
	Arrival  kumquatlug.Millis
	Deadline kumquatlug.Millis
	Priority int
	// OnceKey names a call that may not be repeated, empty for all others. It
	// decides the target, so that a call sent again meets the agent that knows
	// of it.
	OnceKey string
	// Fingerprint is equal for equal requests of one caller; see package
	// quarantine.
	Fingerprint quarantine.Fingerprint
}

// request is one request in the dispatcher's hands.
type request struct {
	c        RequestConfig
	charged  bool
	attempts int
	failed   int
	refused  int
	exclude  []string
	target   string
	inHand   bool
	ticket   limit.Ticket
	sentAt   kumquatlug.Millis
	firstAt  kumquatlug.Millis
	stepAt   kumquatlug.Millis
	// stated is how long the answer was expected to take at the target.
	stated kumquatlug.Millis
	tokens int64
	cached int
	dueAt  kumquatlug.Millis
	last   *kumquatlug.Failure
	// heldUntil is how long a request that was near two crashes still waits.
	heldUntil kumquatlug.Millis
	// mayHaveRun says that some attempt may have run.
	mayHaveRun bool
}

func (r *request) cost() int64 {
	return max(1, r.c.PrefillTokens+r.c.DecodeTokens)
}

// expected is how long the work takes at the usual rates, in milliseconds.
func (r *request) expected() float64 {
	return workOf(r.c.PrefillTokens, r.c.DecodeTokens)
}

// workOf is how long so many tokens take at the usual rates, in milliseconds.
func workOf(prefill, decode int64) float64 {
	const millis = float64(kumquatlug.Second)
	return float64(prefill)*millis/prefillRate + float64(decode)*millis/decodeRate
}

// final is the answer to a request that is given up after attempts. What the
// last attempt said of the work stands.
func (r *request) final(reason string) *kumquatlug.Failure {
	c := kumquatlug.FailureConfig{
		Step: "send", Peer: r.target, Reason: reason, Ran: kumquatlug.RanNot, Status: http.StatusServiceUnavailable,
		RetryAfter: kumquatlug.Second,
	}
	if r.last != nil {
		c.Ran, c.Cause = r.last.Ran(), r.last
		c.RetryAfter = max(c.RetryAfter, r.last.RetryAfter())
	}
	return kumquatlug.NewFailure(c)
}

// truthful keeps a refusal from saying "not run" for the sake of its last
// attempt alone, when an earlier one was cut or lost from sight.
func (r *request) truthful(f *kumquatlug.Failure) *kumquatlug.Failure {
	if !r.mayHaveRun || f.Ran() != kumquatlug.RanNot {
		return f
	}
	return f.WithRan(kumquatlug.RanUnknown)
}

// roomFor asks the limits on behalf of one request.
type roomFor struct {
	targets *limit.Targets
	cost    int64
}

// Room reports whether target may take the request now.
func (r roomFor) Room(target string) bool { return r.targets.Room(target, r.cost) }

// send makes the next attempt of r if some target may take it.
func (d *Dispatcher) send(now kumquatlug.Millis, r *request) bool {
	target, cached, stated, found := d.choose(now, r)
	if !found {
		return false
	}
	member, known := d.members.Get(target)
	if !known {
		return false
	}
	r.attempts++
	r.target, r.cached, r.inHand, r.stated = target, cached, true, stated
	r.sentAt, r.firstAt = now, 0
	r.ticket = d.targets.Begin(now, target, r.cost())
	d.router.Sent(now, target, routing.Call{
		ID: r.c.ID, Prefix: r.c.Prefix, PrefillTokens: int(r.c.PrefillTokens) - cached, DecodeTokens: int(r.c.DecodeTokens),
	})
	attempt := Attempt{target: target, address: member.VM().Address(), number: r.attempts, revision: d.revision, role: r.c.Role}
	attempt.notice, attempt.suspect = d.register.Notice(now, r.fingerprint())
	d.out = append(d.out, Decision{id: r.c.ID, verdict: VerdictSend, attempt: attempt})
	return true
}

func (d *Dispatcher) choose(now kumquatlug.Millis, r *request) (target string, cached int, stated kumquatlug.Millis, found bool) {
	if r.c.OnceKey != "" {
		target, found = d.chooseOnce(r)
		return target, 0, 0, found
	}
	query := routing.Query{
		Kind: r.c.Kind, Role: r.c.Role, Prefix: r.c.Prefix, PrefillTokens: int(r.c.PrefillTokens),
		DecodeTokens: int(r.c.DecodeTokens), Exclude: r.exclude,
	}
	choice, found := d.router.Pick(now, query, roomFor{d.targets, r.cost()})
	if !found && d.triedAll(r) {
		// One that failed before is better than none. As long as another one
		// is left, though, its room is waited for: a target that just failed
		// would fail again at once, and use up the request's tries.
		query.Exclude = nil
		choice, found = d.router.Pick(now, query, roomFor{d.targets, r.cost()})
	}
	return choice.Target(), choice.Cached(), choice.Stated(), found
}

// triedAll reports whether every target that takes new work was tried.
func (d *Dispatcher) triedAll(r *request) bool {
	if len(r.exclude) == 0 {
		return false
	}
	for _, name := range d.ready(r.c.Kind) {
		if !contains(r.exclude, name) {
			return false
		}
	}
	return true
}

// chooseOnce takes the first target in the key's order that is ready, so that
// every entry sends the key to the same agent. A full one is waited for: the
// next in the order would be right too, but then a resend meets another agent
// and costs a read of the table.
func (d *Dispatcher) chooseOnce(r *request) (string, bool) {
	order := routing.ServiceOrder(r.c.OnceKey, d.ready(r.c.Kind))
	for _, name := range order {
		if !contains(r.exclude, name) {
			return name, d.targets.Room(name, r.cost())
		}
	}
	if len(order) == 0 {
		return "", false
	}
	// Every target refused it once. The first may only have asked for a newer
	// run-once mark.
	return order[0], d.targets.Room(order[0], r.cost())
}

func (d *Dispatcher) ready(kind kumquatlug.Kind) []string {
	k, known := d.kinds[kind]
	if !known {
		return nil
	}
	return k.ready
}

func contains(list []string, one string) bool {
	for _, s := range list {
		if s == one {
			return true
		}
	}
	return false
}

// Failed is how an attempt failed.
type Failed struct {
	// Failure says what is known; its Ran decides whether there is another.
	Failure *kumquatlug.Failure
	// Refused says that the agent refused the work before it began.
	Refused bool
	// Notices are what the agent told of requests in hand at a crash.
	Notices []quarantine.Notice
	// Final says that no other attempt can fare better, as when the request
	// itself is at fault: the failure is the caller's answer as it stands.
	Final bool
	// Resumable says that the answer can go on elsewhere from what was sent.
	Resumable bool
}

// AttemptFailed takes the failure of the attempt in hand: another one follows,
// or the final answer.
func (d *Dispatcher) AttemptFailed(now kumquatlug.Millis, id string, f Failed) []Decision {
	d.begin()
	r, kept := d.requests[id]
	if !kept {
		return d.serve(now)
	}
	d.release(now, r, endOf(f))
	d.register.Merge(now, f.Notices)
	r.last = f.Failure
	r.mayHaveRun = r.mayHaveRun || f.Failure.Ran() != kumquatlug.RanNot
	if f.Final {
		d.giveUp(now, id, f.Failure)
		return d.serve(now)
	}
	if f.Refused && f.Failure.Reason() == ReasonSuspect {
		d.waitTurn(now, r)
		return d.serve(now)
	}
	d.judgeFailure(now, r, f)
	next := d.retries.Next(now, retry.Attempt{
		Ran: f.Failure.Ran(), Repeatable: r.c.OnceKey == "", Resumable: f.Resumable, Refused: f.Refused,
		Attempts: r.failed, Refusals: r.refused, Deadline: r.c.Deadline - r.c.Arrival, Elapsed: now - r.c.Arrival,
	})
	if next.Verdict() == retry.VerdictStop {
		d.giveUp(now, id, r.final(string(next.Reason())))
		return d.serve(now)
	}
	r.exclude = append(r.exclude, r.target)
	r.dueAt = now + next.Wait()
	d.due = append(d.due, r)
	return d.serve(now)
}

// judgeFailure counts the failure for the request and for its target's health.
// A refusal says nothing against the target's health.
func (d *Dispatcher) judgeFailure(now kumquatlug.Millis, r *request, f Failed) {
	if f.Refused {
		r.refused++
		d.noteAway(now, r.target, f.Failure.Reason())
		return
	}
	r.failed++
	d.outcome(now, r, false, 0)
	d.noteAway(now, r.target, f.Failure.Reason())
}

// Reasons with which an agent refuses work because its target goes away or has
// no room.
const (
	ReasonLabel    = string(drain.ReasonLabel)
	ReasonList     = string(drain.ReasonList)
	ReasonStopping = string(drain.ReasonStop)
	ReasonOrder    = string(drain.ReasonOrder)
	ReasonFull     = "engine_refused"
	// ReasonUnreachable: no connection to the agent could be made.
	ReasonUnreachable = "agent_unreachable"
	// ReasonSuspect: another request that was in hand at a crash runs there.
	ReasonSuspect = "suspect_in_hand"
)

// noteAway takes a failure for what it tells of the target. Until the next
// heartbeat every other request would go there and fare alike.
func (d *Dispatcher) noteAway(now kumquatlug.Millis, target, reason string) {
	report := d.reports[target]
	switch reason {
	case ReasonLabel, ReasonList:
		report.State = TargetLeaving
	case ReasonStopping:
		report.State = TargetStopping
	case ReasonOrder:
		report.State = TargetChanging
	case ReasonUnreachable:
		report.State = TargetDown
	default:
		return
	}
	d.reports[target] = report
	d.place(now)
}

func (d *Dispatcher) outcome(now kumquatlug.Millis, r *request, ok bool, ratio float64) {
	group, known := d.health[r.c.Kind]
	if !known {
		return
	}
	group.Outcome(now, r.target, ok, ratio)
	d.router.SetWeight(r.target, group.Weight(now, r.target))
}

// release gives the target's place back.
func (d *Dispatcher) release(now kumquatlug.Millis, r *request, o limit.Outcome) {
	r.inHand = false
	d.targets.End(now, r.ticket, o)
	d.router.Finished(now, r.target, r.c.ID)
}

// endOf tells a target that was full from one that failed otherwise.
func endOf(f Failed) limit.Outcome {
	if f.Failure.Reason() == ReasonFull {
		return limit.OutcomeOverload
	}
	return limit.OutcomeEnded
}

// Progress takes that a request's caller has received tokens of output in all.
func (d *Dispatcher) Progress(now kumquatlug.Millis, id string, tokens int64) []Decision {
	d.begin()
	r, kept := d.requests[id]
	if !kept {
		return d.out
	}
	portion := tokens - r.tokens
	work := workOf(0, portion)
	if r.firstAt == 0 {
		r.firstAt, r.stepAt = now, r.sentAt
		portion += r.c.PrefillTokens
		work = workOf(r.c.PrefillTokens, 1)
	}
	d.targets.Sample(now, &r.ticket, now-r.stepAt, work)
	r.stepAt = now
	r.tokens = tokens
	d.router.Progress(now, r.target, id, int(tokens))
	d.queue.Served(now, r.c.Kind, portion)
	return d.out
}

// Done is how a request was answered.
type Done struct {
	// Tokens is the length of the answer; Cached is how many tokens of the
	// prompt the target had in its cache.
	Tokens int64
	Cached int64
}

// Finished takes the end of a request whose answer is whole.
func (d *Dispatcher) Finished(now kumquatlug.Millis, id string, o Done) []Decision {
	d.begin()
	r, kept := d.requests[id]
	if !kept {
		return d.serve(now)
	}
	served := max(0, o.Tokens-r.tokens)
	if r.firstAt == 0 {
		served += r.c.PrefillTokens
	}
	if r.c.Kind.Protocol() == kumquatlug.ProtocolService {
		d.targets.Sample(now, &r.ticket, now-r.sentAt, 1)
	}
	d.release(now, r, limit.OutcomeEnded)
	d.queue.Served(now, r.c.Kind, served)
	if len(r.c.Prefix) > 0 {
		d.router.Hit(r.target, r.cached, int(o.Cached))
	}
	d.register.Finished(now, r.fingerprint())
	d.learnPace(now, r, o)
	d.drop(now, r, r.c.PrefillTokens+o.Tokens)
	return d.serve(now)
}

// learnPace compares how long the answer took with what its tokens made expect.
func (d *Dispatcher) learnPace(now kumquatlug.Millis, r *request, o Done) {
	k, known := d.kinds[r.c.Kind]
	actual := *r
	actual.c.DecodeTokens = o.Tokens
	expected := actual.expected()
	if !known || expected <= 0 {
		d.outcome(now, r, true, 1)
		return
	}
	took := float64(now - r.sentAt)
	k.pace += paceGain * (took/expected - k.pace)
	if r.stated <= 0 {
		d.outcome(now, r, true, 1)
		return
	}
	// The statement was made for the estimated tokens.
	stated := float64(r.stated) * expected / r.expected()
	d.outcome(now, r, true, took/stated)
}

// used is what the caller is charged for a request that it gave up.
func (r *request) used() int64 {
	if r.firstAt == 0 {
		return 0
	}
	return r.c.PrefillTokens + r.tokens
}

// Cancelled takes that a caller gave up a request, wherever it stands.
func (d *Dispatcher) Cancelled(now kumquatlug.Millis, id string) []Decision {
	d.begin()
	r, kept := d.requests[id]
	if !kept {
		return d.out
	}
	if r.inHand {
		d.release(now, r, limit.OutcomeEnded)
	}
	d.queue.Cancel(now, id)
	d.due = without(d.due, r)
	d.drop(now, r, r.used())
	return d.serve(now)
}

func without(list []*request, one *request) []*request {
	left := list[:0]
	for _, r := range list {
		if r != one {
			left = append(left, r)
		}
	}
	return left
}
