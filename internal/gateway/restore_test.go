package gateway

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// restoreStore has the store of the scripted feed come back with these rows.
func (w *watchHarness) restoreStore(rows map[string]string) {
	w.feed.rows = rows
	w.feed.era++
	w.feed.version++
	w.watcher.synced = false
	w.poll()
}

// The store comes back from a copy in which a worker that drained is ready, and one whose row
// had gone is there. Sent requests again, they would take them with them; a worker that is
// there after all writes its row again and must be used.
func TestRestoredStoreReadmitsNoWorker(t *testing.T) {
	w := newWatchHarness()
	w.poll()
	before := map[string]string{"a": `"prefill"`, "b": `"decode"`, "c": `""`}
	w.g.draining.note(w.now.Now(), "b", 0)
	w.feed.rows = map[string]string{"b": `"decode"`, "c": `""`}
	w.feed.version++
	w.watcher.synced = false
	w.poll()
	if w.currentWorkers() != "bc" {
		t.Fatalf("known: %s", w.currentWorkers())
	}
	w.restoreStore(before)
	if got := w.memberStates(); got["a"] != kumquatlug.MemberDraining || got["b"] != kumquatlug.MemberDraining || got["c"] != kumquatlug.MemberReady {
		t.Errorf("restored: %v", got)
	}
	w.feed.version++
	w.poll()
	if got := w.memberStates(); got["a"] != kumquatlug.MemberReady || got["b"] != kumquatlug.MemberDraining {
		t.Errorf("written again: %v", got)
	}
}
