package streamversion

import (
	"fmt"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// releaseView is a view of a service whose last epoch began at 100 s, as of 140 s. Its workers have the weights of the last
// epoch.
func releaseView(t *testing.T, epochs ...Weights) *View {
	t.Helper()
	const lastAt = 100 * kumquatlug.Second
	row := kumquatlug.NewRow("versions", nil, 0).WithReadAt(lastAt - kumquatlug.Millis(len(epochs)-1)*minEpochInterval)
	for _, weights := range epochs {
		l, _ := DecodeListing(row)
		text, err := l.Begin(weights)
		if err != nil || text == nil {
			t.Fatalf("no epoch: %v", err)
		}
		row = l.Written(text).WithReadAt(row.ReadAt() + minEpochInterval)
	}
	l, err := DecodeListing(row.WithReadAt(lastAt + EpochLag + 10*kumquatlug.Second))
	if err != nil {
		t.Fatal(err)
	}
	v := NewView()
	v.SetWorkers(epochs[len(epochs)-1], epochs[len(epochs)-1])
	v.SetListing(l, 2000)
	return v
}

// next returns the next write and how many records it adds, and applies it.
func next(t *testing.T, r *RunningStreams, now kumquatlug.Millis, v *View) (StoredWrite, int) {
	t.Helper()
	w, needed, err := r.Next(now, func(string) *View { return v })
	if err != nil {
		t.Fatal(err)
	}
	if needed {
		r.Written(now, w)
	}
	return w, w.Records()
}

// Guards against writes for streams whose versions the listing tells, that have ended, or whose records are stored, and against
// streams without a record once a release begins.
func TestOnlyUndeterminedRunningStreamsAreStored(t *testing.T) {
	v := releaseView(t, Weights{"v1": 1}, Weights{"v1": 1, "v2": 1})
	l, _ := v.Listing()
	r, undetermined := NewRunningStreams("p/"), 0
	for n := range 100 {
		id := fmt.Sprint("stream-", n)
		r.Begin(2000, "chat", id, l.Select(id))
		if l.Determined(id) == "" {
			undetermined++
		}
	}
	r.Begin(2000, "chat", "ended", "v2")
	r.End("ended", "v2")
	w, stored := next(t, r, 2000, v)
	if stored != undetermined || stored == 0 {
		t.Errorf("%d records stored, want %d", stored, undetermined)
	}
	if _, again := next(t, r, 2100, v); again != 0 {
		t.Errorf("%d records stored again", again)
	}
	v.SetWorkers(Weights{"v2": 1}, Weights{"v2": 1})
	if _, rest := next(t, r, 3000, v); rest != 100-undetermined {
		t.Errorf("%d records stored once the workers change, want the other %d", rest, 100-undetermined)
	}
	records := DecodeStoredRecords([]kumquatlug.Row{kumquatlug.NewRow(w.Key(), w.Value(), 1)})
	for n := range 100 {
		id := fmt.Sprint("stream-", n)
		if version, conflicting := records.Find("chat", id); conflicting || version != "" && version != l.Select(id) || (version == "") != (l.Determined(id) != "") {
			t.Errorf("%s has a record of %q", id, version)
		}
	}
	if version, _ := records.Find("other", "stream-1"); version != "" {
		t.Errorf("another service has a record of %q", version)
	}
}

// Guards against records that are used after their time, that contradict each other, or that can't be read.
func TestStoredRecordsThatDoNotCount(t *testing.T) {
	v := releaseView(t, Weights{"v1": 1}, Weights{"v2": 1})
	row := func(prefix, version string, at kumquatlug.Millis) kumquatlug.Row {
		r := NewRunningStreams(prefix)
		r.Begin(2000, "chat", "s", version)
		w, _ := next(t, r, 2000, v)
		return kumquatlug.NewRow(w.Key(), w.Value(), 1).WithReadAt(at)
	}
	until := v.storeTime(2000) + Retention
	for name, c := range map[string]struct {
		rows        []kumquatlug.Row
		version     string
		conflicting bool
		expired     int
	}{
		"one": {rows: []kumquatlug.Row{row("a/", "v1", until-1)}, version: "v1"}, "expired": {rows: []kumquatlug.Row{row("a/", "v1", until)}, expired: 1},
		"two of a version": {rows: []kumquatlug.Row{row("a/", "v1", 0), row("b/", "v1", 0)}, version: "v1"},
		"conflicting":      {rows: []kumquatlug.Row{row("a/", "v1", 0), row("b/", "v2", 0)}, conflicting: true},
		"unreadable":       {rows: []kumquatlug.Row{kumquatlug.NewRow("c/1", []byte("?"), 1), row("a/", "v1", 0)}, version: "v1", expired: 1},
	} {
		records := DecodeStoredRecords(c.rows)
		if version, conflicting := records.Find("chat", "s"); version != c.version || conflicting != c.conflicting || len(records.Expired()) != c.expired {
			t.Errorf("%s: %q, conflicting %t, expired %v", name, version, conflicting, records.Expired())
		}
	}
}

// Guards against a stream that goes on at the version of another one with its id.
func TestStoredRecordsOfAnIDThatIsUsedTwiceConflict(t *testing.T) {
	v, r := releaseView(t, Weights{"v1": 1}, Weights{"v2": 1}), NewRunningStreams("p/")
	r.Begin(2000, "chat", "s", "v1")
	r.Begin(2000, "chat", "s", "v2")
	w, _ := next(t, r, 2000, v)
	r.Begin(2100, "chat", "s", "v1")
	if _, again := next(t, r, 2100, v); again != 0 {
		t.Errorf("%d records stored again", again)
	}
	records := DecodeStoredRecords([]kumquatlug.Row{kumquatlug.NewRow(w.Key(), w.Value(), 1)})
	if version, conflicting := records.Find("chat", "s"); version != "" || !conflicting {
		t.Errorf("the stream began at %q, conflicting %t", version, conflicting)
	}
}

// Guards against rows that grow without bound, or that their gateway never removes.
func TestStoredRowsAreBounded(t *testing.T) {
	v := releaseView(t, Weights{"v1": 1}, Weights{"v2": 1})
	r, rows := NewRunningStreams("p/"), map[string]int{}
	for now := kumquatlug.Millis(2000); now < 200*kumquatlug.Second; now += minStoreInterval {
		for n := range 40 {
			r.Begin(now, "chat", fmt.Sprint(now, "-", n), "v1")
		}
		v.readAt, v.listing.now = now, now+100*kumquatlug.Second
		w, stored := next(t, r, now, v)
		for _, key := range w.Expired() {
			delete(rows, key)
		}
		rows[w.Key()] = len(w.Value())
		if stored == 0 || len(w.Value()) > 2*maxRowRecords*hashBytes || len(rows) > maxStoredRows || len(r.streams) > maxRecords {
			t.Fatalf("at %d: %d records in %d bytes, %d rows, %d streams", now, stored, len(w.Value()), len(rows), len(r.streams))
		}
	}
}
