package ledger

import (
	"fmt"
	"math/rand"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// executeJob runs a job at the target and records the run.
func (s *simulation) executeJob(p *process, j *job) {
	a := j.attempt
	j.ran = true
	a.runs++
	j.responseBody = fmt.Sprintf("answer %d to %s of %s", len(s.runs[a.key]), a.body, a.key)
	era, ok := s.claimEras[j.ticket.claim]
	if !ok {
		era = s.era()
	}
	for _, other := range s.runs[a.key] {
		if era-other.era <= 1 && other.era-era <= 1 {
			s.recordViolation("%s ran twice, under claims of eras %d and %d", a.key, other.era, era)
		}
	}
	if a.outcome == "not-run" {
		s.recordViolation("attempt %d of %s ran after it was answered not-run", a.number, a.key)
	}
	s.runs[a.key] = append(s.runs[a.key], run{era: era, body: a.body, responseBody: j.responseBody})
	s.outcomeCounts["run"]++
}

// stepJob advances one job: it runs, ends, or is abandoned.
func (s *simulation) stepJob(p *process, r *rand.Rand) {
	if len(p.jobs) == 0 {
		return
	}
	i := r.Intn(len(p.jobs))
	j := p.jobs[i]
	if !j.ran && r.Intn(6) > 0 {
		s.executeJob(p, j)
		return
	}
	p.jobs = append(p.jobs[:i:i], p.jobs[i+1:]...)
	switch {
	case !j.ran:
		s.requireNoError(p.machine.abandon(j.ticket, kumquatlug.NotExecuted))
		s.deliverResponse(j.attempt, response{failure: p.machine.testFailure(kumquatlug.NotExecuted)}, r)
	case r.Intn(6) == 0:
		s.requireNoError(p.machine.abandon(j.ticket, kumquatlug.ExecutionUnknown))
		s.deliverResponse(j.attempt, response{failure: p.machine.testFailure(kumquatlug.ExecutionUnknown)}, r)
	default:
		s.finishJob(p, j, r)
	}
	s.handleResponses(p, r)
}

func (s *simulation) finishJob(p *process, j *job, r *rand.Rand) {
	large := r.Intn(3) == 0
	o := NewOutcome(200, nil, []byte(j.responseBody))
	s.requireNoError(p.machine.finish(j.ticket, o, large))
	if large {
		s.objects[j.ticket.claim] = j.responseBody
		p.uploads = append(p.uploads, j.ticket)
	}
	s.deliverResponse(j.attempt, response{decision: Decision{verdict: VerdictResponse, outcome: o}}, r)
}

func (s *simulation) completeUpload(p *process) {
	if len(p.uploads) > 0 {
		p.machine.uploaded(p.uploads[0], p.uploads[0].claim)
		p.uploads = p.uploads[1:]
	}
}

// stepTableOp starts or completes a table operation. Other events may happen in
// between; rows are read at either time.
func (s *simulation) stepTableOp(p *process, r *rand.Rand) {
	if p.op == nil {
		p.op = p.machine.nextOp(s.now)
		if p.op != nil {
			p.earlyRows = s.readRows(p.op.reads)
		}
	} else {
		op := p.op
		p.op = nil
		if op.isWrite() {
			p.machine.completeOp(tableResult{err: s.commitWithFaults(op.tx, r)}, s.now)
		} else {
			p.machine.completeOp(s.completeRead(p, op, r), s.now)
		}
	}
	s.handleResponses(p, r)
}
