package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// Rows of another writer: numbers of windows that are far from now, or that can't be read. Guards against a holder of the
// lease that counts through millions of windows until its memory is used up, and against windows that are not reported
// any more.
func TestOddRowsDoNotStopReports(t *testing.T) {
	const now = kumquatlug.Millis(1_767_225_600_000 + 2500)
	current := testWindows.At(now)
	far := []string{"-9223372036854775808", "-1", "1", "9223372036854775807", fmt.Sprint(current + 1000)}
	rows := map[string][2]string{
		"unreadable next window": {NextWindowKey, "{"}, "number out of range": {NextWindowKey, `{"window":1e400}`},
		"unreadable tally": {TallyPrefix + "x", "["}, "negative counts": {TallyPrefix + "x", fmt.Sprintf(`{"through_ms":%d,"counts":{"%d":{"north":-1000}}}`, now, current-1)},
	}
	for _, window := range far {
		rows["next window "+window] = [2]string{NextWindowKey, `{"window":` + window + `}`}
		rows["report "+window] = [2]string{ReportPrefix + window, `{"counts":{"north":1}}`}
		rows["tally with window "+window] = [2]string{TallyPrefix + "x", fmt.Sprintf(`{"through_ms":%d,"left":true,"counts":{"%s":{"north":1}}}`, now, window)}
		rows["tally after window "+window] = [2]string{TallyPrefix + "x", fmt.Sprintf(`{"through_ms":%d,"left":true,"next":%s,"counts":{}}`, now, window)}
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			done := make(chan Counts, 1)
			go func() { done <- reportBesideRow(now, kumquatlug.NewRow(row[0], []byte(row[1]), 7)) }()
			select {
			case counts := <-done:
				if counts["north"] != 5 {
					t.Errorf("the last window is reported with %v, want 5 requests", counts)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("not done within 10 s")
			}
		})
	}
}

// reportBesideRow returns the counts of the window before now that a new holder of the lease reports, beside an odd row
// and a gateway that has counted five requests in it.
func reportBesideRow(now kumquatlug.Millis, odd kumquatlug.Row) Counts {
	last := testWindows.At(now) - 1
	r := NewReporter(testWindows, "a")
	r.SetFencingToken(1)
	c := NewCounter(testWindows)
	for range 5 {
		c.Record(now-testWindows.Span, "north")
	}
	text, err := c.Tally(now, false).Encode()
	if err != nil {
		return nil
	}
	rows := []kumquatlug.Row{odd, kumquatlug.NewRow(TallyPrefix+"sound", text, 8)}
	with := func(prefix string) []kumquatlug.Row {
		var found []kumquatlug.Row
		for _, row := range rows {
			if len(row.Key()) >= len(prefix) && row.Key()[:len(prefix)] == prefix {
				found = append(found, row)
			}
		}
		return found
	}
	for range 10_000 {
		switch i := r.Next(now); i.Action() {
		case ActionScanReports:
			_ = r.ReportsScanned(now, with(ReportPrefix), nil)
		case ActionScanTallies:
			_ = r.TalliesScanned(now, with(TallyPrefix), nil)
		case ActionSend:
			r.Sent(now, i.Report(), nil)
		case ActionFinalize:
			if i.Report().Window() == last {
				return i.Report().Counts()
			}
			for _, condition := range i.Tx().Conditions() {
				for n, row := range rows {
					if row.Key() == condition.Key() && row.Version() == condition.Version() {
						rows[n] = kumquatlug.NewRow(row.Key(), i.Tx().Writes()[0].Value(), row.Version()+1)
					}
				}
			}
			r.Finalized(now, nil)
		default:
			now += 100
		}
	}
	return nil
}
