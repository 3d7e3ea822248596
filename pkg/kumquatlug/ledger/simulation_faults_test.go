package ledger

import (
	"math/rand"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

func (s *simulation) readRows(keys []string) []kumquatlug.Row {
	rows := make([]kumquatlug.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.table.rows[key]
	}
	return rows
}

func (s *simulation) completeRead(p *process, op *tableOp, r *rand.Rand) tableResult {
	if s.tableDown || (!s.faultFree && r.Intn(24) == 0) {
		return tableResult{err: errors.Mark(errors.New("down"), kumquatlug.ErrUnavailable)}
	}
	rows := s.readRows(op.reads)
	for i := range rows {
		if r.Intn(3) == 0 {
			rows[i] = p.earlyRows[i]
		}
	}
	return tableResult{rows: rows}
}

// commitWithFaults commits tx with one of the results that the platform may
// produce.
func (s *simulation) commitWithFaults(tx kumquatlug.Tx, r *rand.Rand) error {
	lost := errors.Mark(errors.New("timeout"), kumquatlug.ErrLost)
	fault := r.Intn(16)
	if s.tableDown && fault > 3 {
		fault = 0
	}
	if s.faultFree {
		fault = 15
	}
	switch fault {
	case 0:
		return errors.Mark(errors.New("down"), kumquatlug.ErrUnavailable)
	case 1:
		_ = s.apply(tx)
		return lost
	case 2:
		return lost
	case 3:
		s.delayedTxs = append(s.delayedTxs, tx)
		return lost
	default:
		return s.apply(tx)
	}
}

// applyDelayedTx applies a write long after its writer gave it up.
func (s *simulation) applyDelayedTx(r *rand.Rand) {
	if len(s.delayedTxs) == 0 {
		return
	}
	i := r.Intn(len(s.delayedTxs))
	_ = s.apply(s.delayedTxs[i])
	s.delayedTxs = append(s.delayedTxs[:i:i], s.delayedTxs[i+1:]...)
}

// restartProcess restarts an agent or a gateway. Its transaction in flight may
// still take effect. A replaced agent is either dead, or paused and may resume.
func (s *simulation) restartProcess(r *rand.Rand, killed bool) {
	i := r.Intn(targetCount)
	if r.Intn(4) == 0 {
		s.keepInFlightTx(s.gateways[i], r)
		s.abandonGateway(s.gateways[i])
		s.gateways[i] = s.start(s.gateways[i].name, -1)
		return
	}
	if killed {
		s.keepInFlightTx(s.agents[i], r)
		s.endedIncarnations[s.agents[i].machine.config.Incarnation] = true
	} else {
		s.replaced = append(s.replaced, s.agents[i])
	}
	s.agents[i] = s.start(s.agents[i].name, i)
}

func (s *simulation) keepInFlightTx(p *process, r *rand.Rand) {
	if p.op != nil && p.op.isWrite() && r.Intn(2) == 0 {
		s.delayedTxs = append(s.delayedTxs, p.op.tx)
	}
}

func (s *simulation) abandonGateway(p *process) {
	for _, a := range s.attempts {
		if a.gateway == p && a.outcome == "" {
			a.outcome = "nothing"
		}
	}
}

// advanceEra advances the era and sweeps expired rows.
func (s *simulation) advanceEra() {
	era := s.era() + 1
	tx := kumquatlug.NewTx("era").Put(eraKey, formatNumber(era))
	for key := range s.table.rows {
		if strings.HasPrefix(key, rowPrefix) && key < eraPrefix(era-1) {
			tx = tx.Delete(key)
		}
	}
	s.requireNoError(s.table.apply(tx))
}

// giveUp makes a gateway time out on an attempt: it resends the attempt or
// blocks it.
func (s *simulation) giveUp(r *rand.Rand) {
	var open []*attempt
	for _, a := range s.attempts {
		if a.outcome == "" && !a.blocking {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return
	}
	a := open[r.Intn(len(open))]
	if r.Intn(3) == 0 {
		s.resend(a, r)
		return
	}
	s.startBlock(a)
	s.handleResponses(a.gateway, r)
}

// disconnectWaiter closes the connection of a waiter at an agent.
func (s *simulation) disconnectWaiter(p *process, r *rand.Rand) {
	for waiterID := int64(1); waiterID <= p.machine.lastWaiterID; waiterID++ {
		a, ok := p.waiting[waiterID]
		if !ok || p.target < 0 {
			continue
		}
		ran, open := p.machine.cancelWaiter(waiterID)
		if !open {
			s.recordViolation("%s lost a waiter", p.name)
		}
		delete(p.waiting, waiterID)
		s.deliverResponse(a, response{failure: p.machine.testFailure(ran)}, r)
		return
	}
}

// quiesce ends all faults, runs all processes until they are idle, and checks
// that nothing is pending and that no claim lacks a process that runs it.
func (s *simulation) quiesce(r *rand.Rand) {
	s.tableDown, s.faultFree = false, true
	for len(s.delayedTxs) > 0 {
		s.applyDelayedTx(r)
	}
	for range 1000 {
		s.now += DefaultBackoff
		for _, p := range s.processes() {
			s.stepJob(p, r)
			s.completeUpload(p)
			s.stepTableOp(p, r)
		}
		if s.idle() {
			break
		}
	}
	s.faultFree = false
	for _, p := range s.processes() {
		if n := p.machine.pending(); n > 0 || len(p.waiting) > 0 {
			s.recordViolation("%s has %d pending calls and %d open waiters", p.name, n, len(p.waiting))
		}
	}
	s.checkClaims()
}

func (s *simulation) idle() bool {
	for _, p := range s.processes() {
		if p.op != nil || len(p.jobs) > 0 || p.machine.pending() > 0 {
			return false
		}
	}
	return true
}

func (s *simulation) checkClaims() {
	for _, key := range simulatedKeys {
		id := NewCall(CallConfig{Caller: "registry", Key: key}).id
		for _, era := range []int64{s.era(), s.era() - 1} {
			stored := s.table.rows[rowKey(era, id)]
			if !stored.Exists() {
				continue
			}
			if r := decodeRow(stored.Value()); r.State == stateClaimed && !s.endedIncarnations[r.Incarnation] {
				s.recordViolation("%s is claimed by %s, which is alive but does not run it", key, r.Incarnation)
			}
		}
	}
}
