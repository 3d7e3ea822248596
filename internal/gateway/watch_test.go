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

// scriptedFeed is a change feed whose table is set by a test.
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

// watchHarness runs the watch of a gateway on the scripted feed step by step.
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
		Zone: "z", RowDecoder: jsonRowDecoder{}, ChangeFeed: feed, Clock: now, BootClock: now, Logger: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	w := &tableWatcher{g: g, table: "members", pollWait: feedPollWait, rows: map[string]kumquatlug.Row{}}
	return &watchHarness{
		g: g, feed: feed, now: now, watcher: w,
		members: newMembers(g),
	}
}

// poll runs one round of the watch loop.
func (w *watchHarness) poll() {
	err := w.watcher.read(context.Background())
	if err != nil {
		w.watcher.readFailed(w.now.Now(), err)
	} else {
		w.watcher.readSucceeded(w.now.Now())
	}
	w.members.apply(w.now.Now(), w.watcher)
}

// currentWorkers returns the names of the known workers in order.
func (w *watchHarness) currentWorkers() string {
	var names []string
	for _, key := range []string{"a", "b", "c", "d"} {
		if _, kept := w.members.current[key]; kept {
			names = append(names, key)
		}
	}
	return strings.Join(names, "")
}

// The store was unavailable for so long that the rows of all workers expired, although
// the workers run. If they were removed at once, no worker would be left for seconds; if
// they were kept forever, requests to workers that did exit would be lost.
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
		t.Fatalf("right after the store returned: %q", w.currentWorkers())
	}
	w.feed.rows = map[string]string{"a": `"prefill"`, "c": `""`}
	w.feed.version++
	w.now.Advance(1900)
	w.poll()
	if w.currentWorkers() != "abc" {
		t.Fatalf("within storeReturnGrace: %q", w.currentWorkers())
	}
	w.now.Advance(400)
	w.poll()
	if w.currentWorkers() != "ac" {
		t.Errorf("after storeReturnGrace: %q, want b removed", w.currentWorkers())
	}
}

// In normal operation, a removed row means that its worker exits, even if it announced
// no shutdown. The worker must get no more requests.
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

// Another writer corrupts the row of a worker. That worker must be removed, and the
// others must stay.
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

// A lagging connection to the store returns an older version of the config after a newer
// one. If it were adopted, requests would go to services that may no longer receive
// them.
func TestOlderConfigIsIgnored(t *testing.T) {
	w := newWatchHarness()
	w.g.adoptRow(kumquatlug.NewRow("config", []byte("9"), 30))
	w.g.adoptRow(kumquatlug.NewRow("config", []byte("7"), 31))
	if v := w.g.table.Load().Version(); v != 9 {
		t.Errorf("version %d is in force, want 9", v)
	}
	w.g.adoptRow(kumquatlug.NewRow("config", []byte("{"), 32))
	if v := w.g.table.Load().Version(); v != 9 {
		t.Errorf("version %d is in force after an invalid one, want 9", v)
	}
}

// All workers of a site start together, 50 ms apart. If each row woke every gateway,
// half of the store calls of thirty gateways would be caused by that. A change after a
// quiet period must still be known at once, and one among others within maxGatherDelay.
func TestChangesAreBatched(t *testing.T) {
	w := &tableWatcher{minDelay: minGatherDelay, maxDelay: maxGatherDelay}
	now, calls, oldest := kumquatlug.Millis(0), 0, kumquatlug.Millis(0)
	for change := kumquatlug.Millis(0); change < 3200; change += 50 {
		if change < now {
			continue
		}
		w.updateGatherDelay(change - now)
		calls++
		now = change + w.gatherDelay
		oldest = max(oldest, w.gatherDelay)
	}
	if calls > 16 || oldest > maxGatherDelay {
		t.Errorf("%d calls for 64 changes, one known after %d ms", calls, oldest)
	}
	w.updateGatherDelay(5000) // No change for five seconds.
	if w.gatherDelay != minGatherDelay {
		t.Errorf("gather delay of %d ms after a quiet period", w.gatherDelay)
	}
}

// The store refused this gateway, and a worker exits without announcement two seconds
// after the store is back. Its removed row is ignored, since rows may come back late,
// and that grace period ends while further changes are gathered. With the usual poll
// wait, the worker would get requests for two and a half seconds more, which would be
// lost.
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
		t.Errorf("poll wait of %d ms while %q are kept", wait, w.currentWorkers())
	}
	w.poll()
	if w.currentWorkers() != "ac" {
		t.Errorf("workers %q", w.currentWorkers())
	}
	if wait := w.watcher.nextPollWait(w.now.Now()); wait != w.watcher.pollWait {
		t.Errorf("poll wait of %d ms after the grace period", wait)
	}
}
