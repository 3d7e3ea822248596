package usage

import (
	"fmt"
	"slices"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// remember goes by what is known to be fixed where the store has forgotten it: the
// reports that this front fixed are sent as they were.
func (r *Reporter) remember() {
	if r.fixed == 0 {
		return
	}
	forgotten := r.next
	if r.version == 0 {
		forgotten = 0
	}
	for k, report := range r.kept {
		known := slices.ContainsFunc(r.unsent, func(one Report) bool { return one.window == k })
		if k >= forgotten && !known {
			r.unsent = append(r.unsent, report)
		}
	}
	r.next = max(forgotten, r.fixed)
}

// Again returns the transaction that writes the reports again that this front fixed or
// read and does not know to be sent, whoever holds the lease now. Ask for it when the store came
// back from an older copy; a row that is there already stays.
func (r *Reporter) Again(now kumquatlug.Millis, there []kumquatlug.Row) (kumquatlug.Tx, bool) {
	r.sequence++
	if now < r.doubtUntil {
		r.keep(r.fixing)
	}
	tx, due := kumquatlug.NewTx(fmt.Sprintf("%s/usage/%d", r.me, r.sequence)), false
	for k, report := range r.kept {
		if !slices.ContainsFunc(there, func(row kumquatlug.Row) bool { return row.Key() == reportKey(k) }) {
			tx, due = tx.If(reportKey(k), 0).Put(reportKey(k), encode(reportRow{Counts: report.counts})), true
		}
	}
	return tx, due
}

// keep notes a report that is fixed.
func (r *Reporter) keep(report Report) {
	r.fixed = max(r.fixed, report.window+1)
	r.kept[report.window] = report
	for k := range r.kept {
		if k+mostWindows < r.fixed {
			delete(r.kept, k)
		}
	}
}
