package ledger

import (
	"fmt"
	"math/rand"
	"strings"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// attempt is a caller's attempt to send a call through a gateway, and the
// outcome reported to the caller.
type attempt struct {
	number      int
	key         string
	body        string
	dispatch    Dispatch
	gateway     *process
	target      int
	unaccounted bool
	blocking    bool
	outcome     string
	runs        int
}

// message is a dispatch in flight to an agent.
type message struct {
	attempt  *attempt
	dispatch Dispatch
	target   int
}

// job is a run that an agent holds the ticket of.
type job struct {
	ticket       Ticket
	attempt      *attempt
	ran          bool
	responseBody string
}

// process is a gateway or an agent: a real state machine and the simulated work
// in flight.
type process struct {
	name      string
	target    int
	machine   *stateMachine
	op        *tableOp
	earlyRows []kumquatlug.Row
	waiting   map[int64]*attempt
	jobs      []*job
	uploads   []Ticket
	era       int64
}

// run is one execution of a call, as recorded by the oracle.
type run struct {
	era          int64
	body         string
	responseBody string
}

// simulation holds the table, two targets with their agents, two gateways, all
// messages in flight, and the state of the oracle.
type simulation struct {
	now               kumquatlug.Millis
	table             *memoryTable
	tableDown         bool
	faultFree         bool
	endedIncarnations map[string]bool
	agents            []*process
	replaced          []*process
	gateways          []*process
	attempts          []*attempt
	messages          []message
	delayedTxs        []kumquatlug.Tx
	objects           map[string]string
	runs              map[string][]run
	claimEras         map[string]int64
	resendDispatches  map[string]Dispatch
	starts            int
	outcomeCounts     map[string]int
	violation         string
}

const targetCount = 2

var simulatedKeys = []string{"k0", "k1"}

func newSimulation(counts map[string]int) *simulation {
	s := &simulation{
		table: newMemoryTable(), objects: map[string]string{}, runs: map[string][]run{},
		claimEras: map[string]int64{}, endedIncarnations: map[string]bool{}, resendDispatches: map[string]Dispatch{}, outcomeCounts: counts,
	}
	for i := range targetCount {
		s.agents = append(s.agents, s.start(fmt.Sprintf("target-%d", i), i))
		s.gateways = append(s.gateways, s.start(fmt.Sprintf("entry-%d", i), -1))
	}
	return s
}

func (s *simulation) start(name string, target int) *process {
	s.starts++
	c := Config{Target: name, Incarnation: fmt.Sprintf("%s.%d", name, s.starts), MaxCachedCalls: 2, BatchSize: 2}
	return &process{
		name: name, target: target, machine: newStateMachine(c.withDefaults()), waiting: map[int64]*attempt{}, era: s.era(),
	}
}

func (s *simulation) era() int64 {
	era, err := parseNumber(s.table.rows[eraKey])
	if err != nil {
		panic(err)
	}
	return era
}

func (s *simulation) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// processes returns all processes that can act, including replaced agents.
func (s *simulation) processes() []*process {
	return append(append(append([]*process(nil), s.agents...), s.gateways...), s.replaced...)
}

// busyProcess returns a process that has a table operation in flight or to
// start.
func (s *simulation) busyProcess(r *rand.Rand) *process {
	return pickProcess(s.processes(), r, func(p *process) bool {
		return p.op != nil || (p.machine.pending() > 0 && s.now >= p.machine.nextOpAt())
	})
}

// runningProcess returns a process that has a job.
func (s *simulation) runningProcess(r *rand.Rand) *process {
	return pickProcess(s.processes(), r, func(p *process) bool { return len(p.jobs) > 0 })
}

func pickProcess(all []*process, r *rand.Rand, fits func(*process) bool) *process {
	var some []*process
	for _, p := range all {
		if fits(p) {
			some = append(some, p)
		}
	}
	if len(some) == 0 {
		return all[r.Intn(len(all))]
	}
	return some[r.Intn(len(some))]
}

// apply applies a transaction and records the era of each claim.
func (s *simulation) apply(tx kumquatlug.Tx) error {
	err := s.table.apply(tx)
	if err != nil {
		return err
	}
	for _, write := range tx.Writes() {
		r := decodeRow(write.Value())
		if strings.HasPrefix(write.Key(), rowPrefix) && !write.Deleted() && r.State == stateClaimed {
			var era int64
			if _, err := fmt.Sscanf(write.Key(), rowPrefix+"%x/", &era); err != nil {
				panic(err)
			}
			s.claimEras[r.Claim] = era
		}
	}
	return nil
}

// sendRequest starts an attempt. A resend may have another body, and may use
// the dispatch that an earlier block returned.
func (s *simulation) sendRequest(r *rand.Rand) {
	e := s.gateways[r.Intn(len(s.gateways))]
	a := &attempt{
		number: len(s.attempts), key: simulatedKeys[r.Intn(len(simulatedKeys))], body: "body", gateway: e,
		dispatch: NewDispatch(e.era, 0), target: r.Intn(targetCount),
	}
	if r.Intn(6) == 0 {
		a.body = "other"
	}
	if d, ok := s.resendDispatches[a.key]; ok && r.Intn(2) == 0 {
		a.dispatch = d
	}
	s.attempts = append(s.attempts, a)
	s.sendDispatch(a)
}

func (s *simulation) sendDispatch(a *attempt) {
	s.messages = append(s.messages, message{attempt: a, dispatch: a.dispatch, target: a.target})
}

// deliverMessage delivers a random message to the current agent of its target,
// or to a replaced one that still has the connection.
func (s *simulation) deliverMessage(r *rand.Rand) {
	if len(s.messages) == 0 {
		return
	}
	i := r.Intn(len(s.messages))
	m := s.messages[i]
	s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
	p := s.agents[m.target]
	for _, old := range s.replaced {
		if old.target == m.target && r.Intn(3) == 0 {
			p = old
		}
	}
	p.submit(m.attempt, m.dispatch, false, s.now)
	s.handleResponses(p, r)
}

func (p *process) submit(a *attempt, d Dispatch, block bool, now kumquatlug.Millis) {
	c := NewCall(CallConfig{Caller: "registry", Key: a.key, Fingerprint: a.body, Dispatch: d})
	p.waiting[p.machine.begin(c, block, now)] = a
}

// handleResponses handles the responses of the state machine of p.
func (s *simulation) handleResponses(p *process, r *rand.Rand) {
	for _, resp := range p.machine.takeResponses() {
		a, ok := p.waiting[resp.waiterID]
		delete(p.waiting, resp.waiterID)
		switch {
		case !ok:
			s.recordViolation("%s answered a waiter twice", p.name)
		case p.target < 0:
			s.handleBlockResponse(a, resp)
		case resp.failure == nil && resp.decision.verdict == VerdictRun && r.Intn(8) == 0:
			// The caller has just disconnected.
			s.requireNoError(p.machine.abandon(resp.decision.ticket, kumquatlug.NotExecuted))
			s.deliverResponse(a, response{failure: p.machine.testFailure(kumquatlug.NotExecuted)}, r)
		case resp.failure == nil && resp.decision.verdict == VerdictRun:
			p.jobs = append(p.jobs, &job{ticket: resp.decision.ticket, attempt: a})
		default:
			s.deliverResponse(a, resp, r)
		}
	}
}

func (m *stateMachine) testFailure(ran kumquatlug.Execution) *kumquatlug.Failure {
	return kumquatlug.NewFailure(kumquatlug.FailureConfig{Step: "claim", Reason: "gave_up", Execution: ran})
}

func (s *simulation) requireNoError(err error) {
	if err != nil {
		s.recordViolation("%v", err)
	}
}

// deliverResponse delivers an agent's response to the gateway, which follows
// the rules in the package documentation. The response may be lost, or arrive
// after the gateway gave up.
func (s *simulation) deliverResponse(a *attempt, resp response, r *rand.Rand) {
	if a.outcome != "" || a.blocking || r.Intn(6) == 0 {
		return
	}
	if resp.failure != nil {
		s.handleRefusal(a, resp.failure.Execution())
		return
	}
	switch resp.decision.verdict {
	case VerdictStale:
		a.dispatch = resp.decision.dispatch
		a.target = r.Intn(targetCount)
		s.sendDispatch(a)
	case VerdictElsewhere:
		if r.Intn(2) == 0 {
			s.recordOutcome(a, "unknown")
			return
		}
		s.resend(a, r)
	default:
		s.handleDecision(a, resp.decision)
	}
}

// handleRefusal reports not-run only if no dispatch of the attempt is
// unaccounted for.
func (s *simulation) handleRefusal(a *attempt, ran kumquatlug.Execution) {
	switch {
	case ran != kumquatlug.NotExecuted:
		s.recordOutcome(a, "unknown")
	case a.unaccounted:
		s.startBlock(a)
	default:
		s.recordOutcome(a, "not-run")
	}
}

func (s *simulation) handleDecision(a *attempt, r Decision) {
	switch r.verdict {
	case VerdictResponse:
		responseBody := string(r.outcome.body)
		if r.outcome.object != "" {
			responseBody = s.objects[r.outcome.object]
		}
		s.recordResponse(a, responseBody)
	case VerdictBlocked:
		s.resendDispatches[a.key] = r.dispatch
		s.recordOutcome(a, "not-run")
	case VerdictConflict:
		s.recordOutcome(a, "conflict")
	default:
		s.recordOutcome(a, "unknown")
	}
}

// handleBlockResponse handles the response to a gateway's block.
func (s *simulation) handleBlockResponse(a *attempt, resp response) {
	if resp.failure != nil {
		s.recordOutcome(a, "unknown")
		return
	}
	s.handleDecision(a, resp.decision)
}

func (s *simulation) startBlock(a *attempt) {
	a.blocking = true
	a.gateway.submit(a, a.dispatch, true, s.now)
}

// resend sends the attempt to a random target while its first dispatch may
// still arrive.
func (s *simulation) resend(a *attempt, r *rand.Rand) {
	a.unaccounted = true
	a.target = r.Intn(targetCount)
	s.sendDispatch(a)
}

func (s *simulation) recordOutcome(a *attempt, outcome string) {
	a.outcome = outcome
	s.outcomeCounts[outcome]++
	if outcome == "not-run" && a.runs > 0 {
		s.recordViolation("attempt %d of %s was answered not-run but had run", a.number, a.key)
	}
}

func (s *simulation) recordResponse(a *attempt, responseBody string) {
	s.recordOutcome(a, "answer")
	for _, r := range s.runs[a.key] {
		if r.responseBody == responseBody && r.body == a.body {
			return
		}
	}
	s.recordViolation("attempt %d of %s with %q got %q", a.number, a.key, a.body, responseBody)
}
