package gateway

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// restoreStore restores the store of the scripted feed from a copy with these rows.
func (w *watchHarness) restoreStore(rows map[string]string) {
	w.feed.rows = rows
	w.feed.era++
	w.feed.version++
	w.watcher.synced = false
	w.poll()
}

// The store is restored from a copy in which a worker that is shutting down is ready
// and a removed one exists. Requests sent to them would be lost. A worker that does
// still run writes its row again and must then be used.
func TestRestoredStoreReadmitsNoWorker(t *testing.T) {
	w := newWatchHarness()
	w.poll()
	before := map[string]string{"a": `"prefill"`, "b": `"decode"`, "c": `""`}
	w.g.shuttingDownWorkers.note(w.now.Now(), "b", 0)
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
		t.Errorf("rewritten: %v", got)
	}
}
