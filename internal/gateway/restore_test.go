package gateway

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// restore has the store of the scripted feed come back with these rows.
func (w *watched) restore(rows map[string]string) {
	w.feed.rows = rows
	w.feed.era++
	w.feed.version++
	w.follower.known = false
	w.step()
}

// The store comes back from a copy in which a worker that drained is ready, and one whose row
// had gone is there. Sent requests again, they would take them with them; a worker that is
// there after all writes its row again and must be used.
func TestARestoredStoreBringsNoWorkerBack(t *testing.T) {
	w := newWatched()
	w.step()
	before := map[string]string{"a": `"prefill"`, "b": `"decode"`, "c": `""`}
	w.g.departures.note(w.now.Now(), "b", 0)
	w.feed.rows = map[string]string{"b": `"decode"`, "c": `""`}
	w.feed.version++
	w.follower.known = false
	w.step()
	if w.names() != "bc" {
		t.Fatalf("known: %s", w.names())
	}
	w.restore(before)
	if got := w.states(); got["a"] != kumquatlug.MemberDraining || got["b"] != kumquatlug.MemberDraining || got["c"] != kumquatlug.MemberReady {
		t.Errorf("restored: %v", got)
	}
	w.feed.version++
	w.step()
	if got := w.states(); got["a"] != kumquatlug.MemberReady || got["b"] != kumquatlug.MemberDraining {
		t.Errorf("written again: %v", got)
	}
}
