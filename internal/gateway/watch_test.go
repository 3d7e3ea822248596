package gateway

import (
	"context"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/clock"
)

// scriptedFeed is a store whose table a test changes by hand.
type scriptedFeed struct {
	rows    map[string]string
	version int64
	era     int64
	err     error
}

func (f *scriptedFeed) Snapshot(context.Context, string) ([]kumquatlug.Row, int64, error) {
	var rows []kumquatlug.Row
	for key, value := range f.rows {
		rows = append(rows, kumquatlug.NewRow(key, []byte(value), f.version).WithEra(f.era))
	}
	return rows, f.version, f.err
}

func (f *scriptedFeed) Changes(ctx context.Context, table string, after int64, _ kumquatlug.Millis) ([]kumquatlug.Row, int64, error) {
	if f.err != nil || f.version <= after {
		return nil, f.version, f.err
	}
	return f.Snapshot(ctx, table)
}

func (f *scriptedFeed) Era() int64 { return f.era }

// watchHarness is a front that follows the scripted feed step by step.
type watchHarness struct {
	g       *Gateway
	feed    *scriptedFeed
	now     *clock.Manual
	watcher *tableWatcher
	members *members
}

func newWatchHarness() *watchHarness {
	now := clock.NewManual(100_000)
	feed := &scriptedFeed{rows: map[string]string{"a": `"prefill"`, "b": `"decode"`, "c": `""`}, version: 5}
	g := New(Config{
		Zone: "z", Directory: jsonDirectory{}, Feed: feed, Clock: now, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	f := &tableWatcher{g: g, table: "members", pollWait: feedPollWait, rows: map[string]kumquatlug.Row{}}
	return &watchHarness{
		g: g, feed: feed, now: now, watcher: f,
		members: newMembers(g),
	}
}

// poll is what follow does in one round.
func (w *watchHarness) poll() {
	err := w.watcher.read(context.Background())
	if err != nil {
		w.watcher.readFailed(w.now.Now(), err)
	} else {
		w.watcher.readSucceeded(w.now.Now())
	}
	w.members.apply(w.now.Now(), w.watcher)
}

// currentWorkers returns the known workers in order of their names.
func (w *watchHarness) currentWorkers() string {
	var names []string
	for _, key := range []string{"a", "b", "c", "d"} {
		if _, kept := w.members.current[key]; kept {
			names = append(names, key)
		}
	}
	return strings.Join(names, "")
}

// The store was away so long that all entries of workers lapsed, though the
// workers live. Dropped at once, they leave nobody to serve with, for seconds;
// kept for ever, those that did die get requests that are lost.
func TestExpiredRowsSurviveStoreOutage(t *testing.T) {
	w := newWatchHarness()
	w.poll()
	if w.currentWorkers() != "abc" {
		t.Fatal(w.currentWorkers())
	}
	w.feed.err = kumquatlug.ErrUnavailable
	w.poll()
	w.now.Advance(4000)
	w.poll()
	w.feed.err, w.feed.rows = nil, map[string]string{}
	w.feed.version++
	w.now.Advance(100)
	w.poll()
	if w.currentWorkers() != "abc" {
		t.Fatalf("right after the return: %q", w.currentWorkers())
	}
	w.feed.rows = map[string]string{"a": `"prefill"`, "c": `""`}
	w.feed.version++
	w.now.Advance(1900)
	w.poll()
	if w.currentWorkers() != "abc" {
		t.Fatalf("within the time of the workers: %q", w.currentWorkers())
	}
	w.now.Advance(400)
	w.poll()
	if w.currentWorkers() != "ac" {
		t.Errorf("after it: %q, want that b is gone", w.currentWorkers())
	}
}

// In calm times an entry that goes means that its worker leaves, though it never
// said so. It must get nothing from then on.
func TestRemovedRowRemovesWorker(t *testing.T) {
	w := newWatchHarness()
	w.poll()
	w.now.Advance(60_000)
	w.feed.rows = map[string]string{"a": `"prefill"`}
	w.watcher.synced = false
	w.poll()
	if w.currentWorkers() != "a" {
		t.Errorf("%q", w.currentWorkers())
	}
}

// Another writer spoils a row of a worker. It names no worker from then on, and
// the others stay.
func TestInvalidRowIsSkipped(t *testing.T) {
	w := newWatchHarness()
	w.poll()
	w.feed.rows["b"], w.feed.rows["d"] = "\xff", "[]"
	w.feed.version++
	w.poll()
	if w.currentWorkers() != "ac" {
		t.Errorf("%q", w.currentWorkers())
	}
}

// A connection to the store that lags brings an older version of the config after
// a newer one. Adopted, it would send requests to services that no longer may
// have them.
func TestOlderConfigIsIgnored(t *testing.T) {
	w := newWatchHarness()
	w.g.adoptRow(kumquatlug.NewRow("config", []byte("9"), 30))
	w.g.adoptRow(kumquatlug.NewRow("config", []byte("7"), 31))
	if v := w.g.table.Load().Version(); v != 9 {
		t.Errorf("version %d is in force, want 9", v)
	}
	w.g.adoptRow(kumquatlug.NewRow("config", []byte("{"), 32))
	if v := w.g.table.Load().Version(); v != 9 {
		t.Errorf("version %d is in force after one that can't be read, want 9", v)
	}
}

func TestCompleteEvents(t *testing.T) {
	for text, want := range map[string]int{
		"": 0, "id: 1\nda": 0, "id: 1\ndata: x\n\n": 15, "id: 1\ndata: x\n\nid: 2\n": 15, "id: 1\r\ndata: x\r\n\r\nid": 18, "\n\n": 2,
	} {
		if n := completeEvents([]byte(text)); n != want {
			t.Errorf("%q: %d, want %d", text, n, want)
		}
	}
	for text, want := range map[string]int64{
		"id: 1\ndata: x\n\nid: 27\ndata: id: 9\n\n": 27, "data: id: 4\n\n": 0, "id: x\n\n": 0, "id:3\n\n": 3,
	} {
		if id, _ := lastEventID([]byte(text)); id != want {
			t.Errorf("%q: %d, want %d", text, id, want)
		}
	}
}

// All workers of a site start together, fifty milliseconds after each other, and
// each row alone would wake every front: of thirty fronts' calls to the store half
// would go into that. A change after a quiet span must still be known at once, and
// one in the midst of others within maxGatherDelay.
func TestChangesAreBatched(t *testing.T) {
	f := &tableWatcher{minDelay: minGatherDelay, maxDelay: maxGatherDelay}
	now, calls, oldest := kumquatlug.Millis(0), 0, kumquatlug.Millis(0)
	for change := kumquatlug.Millis(0); change < 3200; change += 50 {
		if change < now {
			continue
		}
		f.updateGatherDelay(change - now)
		calls++
		now = change + f.gatherDelay
		oldest = max(oldest, f.gatherDelay)
	}
	if calls > 16 || oldest > maxGatherDelay {
		t.Errorf("%d calls for 64 changes, one known after %d ms", calls, oldest)
	}
	f.updateGatherDelay(5000) // nothing came for five seconds
	if f.gatherDelay != minGatherDelay {
		t.Errorf("after a quiet span changes gather for %d ms", f.gatherDelay)
	}
}

// The store turned this front away, and a worker leaves without a word two seconds
// after it is back: its row goes, and is kept since rows come back late. While the
// changes that came with it gather, that span ends. If the store were then asked to
// wait for the next change as usual, the worker would get requests for two and a
// half seconds more, and they would be cut off with it.
func TestRowRemovedDuringStoreReturnIsRechecked(t *testing.T) {
	w := newWatchHarness()
	w.poll()
	w.feed.err = kumquatlug.ErrUnavailable
	w.poll()
	w.feed.err = nil
	w.now.Advance(storeReturnGrace - 100)
	delete(w.feed.rows, "b")
	w.feed.version++
	w.poll()
	w.now.Advance(maxGatherDelay)
	if wait := w.watcher.nextPollWait(w.now.Now()); wait > returnPollWait {
		t.Errorf("the store is asked to wait for %d ms while %q are kept", wait, w.currentWorkers())
	}
	w.poll()
	if w.currentWorkers() != "ac" {
		t.Errorf("workers %q", w.currentWorkers())
	}
	if wait := w.watcher.nextPollWait(w.now.Now()); wait != w.watcher.pollWait {
		t.Errorf("later on it is asked to wait for %d ms", wait)
	}
}
