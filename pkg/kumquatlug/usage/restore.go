package usage

import (
	"fmt"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// recoverFinalized restores finalized windows that the store has lost: reports that
// this gateway finalized or read are sent unchanged, and no window is finalized twice.
func (r *Reporter) recoverFinalized() {
	if r.finalizedBefore == 0 {
		return
	}
	storedNext := r.nextWindow
	if r.nextVersion == 0 || r.nextInvalid {
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

// RestoreTx returns the transaction that rewrites the reports that this gateway finalized
// or read and does not know to be sent, and whether there is anything to write. It is
// needed after the store was restored from an older copy, whichever gateway holds the
// lease now. existing holds the rows under [ReportPrefix]; they are left unchanged.
func (r *Reporter) RestoreTx(now kumquatlug.Millis, existing []kumquatlug.Row) (kumquatlug.Tx, bool) {
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

// recordFinalized records the report of a finalized window and drops the reports of
// windows that are too old to be in a tally.
func (r *Reporter) recordFinalized(report Report) {
	r.finalizedBefore = max(r.finalizedBefore, report.window+1)
	r.unconfirmed[report.window] = report
	for k := range r.unconfirmed {
		if k+maxTallyWindows < r.finalizedBefore {
			delete(r.unconfirmed, k)
		}
	}
}
