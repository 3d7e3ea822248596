package usage

import (
	"fmt"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// recoverFinalized goes by what is known to be fixed where the store has forgotten it: the
// reports that this front fixed are sent as they were.
func (r *Reporter) recoverFinalized() {
	if r.finalizedBefore == 0 {
		return
	}
	storedNext := r.nextWindow
	if r.nextVersion == 0 {
		storedNext = 0
	}
	for k, report := range r.unconfirmed {
		present := slices.ContainsFunc(r.unsent, func(unsent Report) bool { return unsent.window == k })
		if k >= storedNext && !present {
			r.unsent = append(r.unsent, report)
		}
	}
	r.nextWindow = max(storedNext, r.finalizedBefore)
}

// Again returns the transaction that writes the reports again that this front fixed or
// read and does not know to be sent, whoever holds the lease now. Ask for it when the store came
// back from an older copy; a row that is there already stays.
func (r *Reporter) Again(now kumquatlug.Millis, existing []kumquatlug.Row) (kumquatlug.Tx, bool) {
	r.txSequence++
	if now < r.pendingUntil {
		r.recordFinalized(r.pending)
	}
	tx, needed := kumquatlug.NewTx(fmt.Sprintf("%s/usage/%d", r.incarnation, r.txSequence)), false
	for k, report := range r.unconfirmed {
		if !slices.ContainsFunc(existing, func(row kumquatlug.Row) bool { return row.Key() == reportKey(k) }) {
			tx, needed = tx.If(reportKey(k), 0).Put(reportKey(k), encode(reportRow{Counts: report.counts})), true
		}
	}
	return tx, needed
}

// recordFinalized notes a report that is fixed.
func (r *Reporter) recordFinalized(report Report) {
	r.finalizedBefore = max(r.finalizedBefore, report.window+1)
	r.unconfirmed[report.window] = report
	for k := range r.unconfirmed {
		if k+maxTallyWindows < r.finalizedBefore {
			delete(r.unconfirmed, k)
		}
	}
}
