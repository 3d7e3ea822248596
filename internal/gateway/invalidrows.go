package gateway

import "github.com/kumquatlug/kumquatlug/pkg/kumquatlug"

// Limits of the log lines about invalid rows: another writer may write thousands of them, or one thousands of times.
const (
	invalidRowWindow = 60 * kumquatlug.Second
	maxInvalidRows   = 20
)

// invalidRows decides which invalid rows of a table are logged: each once until it is valid or removed, and
// maxInvalidRows in each window.
type invalidRows struct {
	// reported are the keys of the rows that were logged or left out.
	reported map[string]bool
	windowAt kumquatlug.Millis
	lines    int
	// omitted is the number of rows that were left out since the last line.
	omitted int
}

func newInvalidRows() *invalidRows { return &invalidRows{reported: map[string]bool{}} }

// report records an invalid row. It returns whether to log it, and how many were left out before.
func (r *invalidRows) report(now kumquatlug.Millis, key string) (log bool, omitted int) {
	if r.reported[key] {
		return false, 0
	}
	r.reported[key] = true
	if r.lines == 0 || now-r.windowAt >= invalidRowWindow {
		r.windowAt, r.lines = now, 0
	}
	if r.lines >= maxInvalidRows {
		r.omitted++
		return false, 0
	}
	r.lines++
	omitted, r.omitted = r.omitted, 0
	return true, omitted
}

// forget records that a row is valid or was removed.
func (r *invalidRows) forget(key string) { delete(r.reported, key) }
