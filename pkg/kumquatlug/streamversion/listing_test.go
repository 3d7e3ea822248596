package streamversion

import (
	"fmt"
	"math"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// listingHarness is the row of a service, which gateways read and write.
type listingHarness struct {
	t   *testing.T
	row kumquatlug.Row
}

func (h *listingHarness) read(now kumquatlug.Millis) Listing {
	h.t.Helper()
	l, err := DecodeListing(h.row.WithReadAt(now))
	if err != nil {
		h.t.Fatal(err)
	}
	return l
}

func (h *listingHarness) begin(now kumquatlug.Millis, weights Weights) {
	h.t.Helper()
	text, err := h.read(now).Begin(weights)
	if err != nil || text == nil {
		h.t.Fatalf("no epoch begins: %v", err)
	}
	h.row = h.read(now).Written(text)
}

// Guards against streams that go to a version out of proportion to its workers, and against ids that move
// between two versions whose shares have not changed relative to each other.
func TestStreamsFollowTheWeights(t *testing.T) {
	const streams = 20_000
	before, after := Weights{"v1": 6, "v2": 2}, Weights{"v1": 6, "v2": 2, "v3": 2}
	count := map[string]int{}
	for n := range streams {
		id := fmt.Sprint("stream-", n)
		count[before.Select(id)]++
		if was, is := before.Select(id), after.Select(id); was != is && is != "v3" {
			t.Fatalf("%s moves from %s to %s", id, was, is)
		}
	}
	if share := float64(count["v1"]) / streams; math.Abs(share-0.75) > 0.02 {
		t.Errorf("%.3f of the streams begin at v1, want 0.75", share)
	}
	if got := (Weights{"": 3, "v1": 0}).Select("x"); got != "" {
		t.Errorf("%q is selected without a known version", got)
	}
}

// A version whose workers have gone counts until its streams have ended.
func TestGoneVersionCountsWhileItsStreamsMayBeResumed(t *testing.T) {
	h := &listingHarness{t: t}
	h.begin(1000, Weights{"v1": 2})
	if got := h.read(2000).Sole(); got != "v1" {
		t.Errorf("only version %q, want v1", got)
	}
	h.begin(3000, Weights{"v2": 2})
	for _, now := range []kumquatlug.Millis{3000, 3000 + epochWindow - 1} {
		if l := h.read(now); l.Sole() != "" || l.Determined("x") != "" || l.Select("x") != "v2" {
			t.Errorf("at %d, before the window has passed: %+v", now, l)
		}
	}
	if l := h.read(3000 + epochWindow); l.Sole() != "v2" || l.Determined("x") != "v2" {
		t.Errorf("after the window: %+v", l)
	}
	h.begin(3000+epochWindow, Weights{"v1": 2, "v2": 2})
	if got := h.read(4000 + epochWindow).Sole(); got != "" {
		t.Errorf("only version %q after the other one came back", got)
	}
}

// Guards against a stream whose version counts as determined although an epoch that may still be in use
// selects another one.
func TestOnlyIDsOnWhichEpochsAgreeAreDetermined(t *testing.T) {
	h := &listingHarness{t: t}
	epochs := []Weights{{"v1": 4}, {"v1": 3, "v2": 1}, {"v1": 1, "v2": 3}}
	for n, weights := range epochs {
		h.begin(kumquatlug.Millis(1000+2000*n), weights)
	}
	l, determined := h.read(9000), 0
	for n := range 1000 {
		id := fmt.Sprint("stream-", n)
		version := l.Determined(id)
		if version == "" {
			continue
		}
		determined++
		for _, weights := range epochs {
			if weights.Select(id) != version {
				t.Fatalf("%s counts as begun at %s, %v selects %s", id, version, weights, weights.Select(id))
			}
		}
	}
	if determined < 200 || determined > 300 {
		t.Errorf("%d of 1000 ids are determined, want some 250", determined)
	}
}

// Guards against epochs that follow one another without end where gateways see different workers.
func TestEpochsDoNotFollowAtOnce(t *testing.T) {
	h := &listingHarness{t: t}
	h.begin(1000, Weights{"v1": 4})
	if text, err := h.read(1000 + minEpochInterval - 1).Begin(Weights{"v2": 1}); text != nil || err != nil {
		t.Errorf("a second epoch begins at once: %s, %v", text, err)
	}
	h.begin(1000+minEpochInterval, Weights{"v2": 1})
	if text, err := h.read(9000).Begin(Weights{"": 3}); text != nil || err != nil {
		t.Errorf("an epoch without a version begins: %s, %v", text, err)
	}
}

// The store is restored from a copy in which an epoch is missing, or somebody else wrote the row, or no worker
// tells its version. Nobody may conclude then which version a stream has.
func TestIncompleteListingDeterminesNoVersion(t *testing.T) {
	h := &listingHarness{t: t}
	h.begin(1000, Weights{"v1": 2})
	old := h.row
	for name, row := range map[string]kumquatlug.Row{
		"older copy": old.WithEra(1), "no row in a restored store": kumquatlug.NewRow("", nil, 0).WithEra(2),
	} {
		h.row = row
		if l := h.read(2000); l.Sole() != "" || l.Select("x") != "" || l.Determined("x") != "" || !l.Lacks(Weights{"v1": 1}) {
			t.Errorf("%s: %+v", name, l)
		}
		h.begin(2000, Weights{"v1": 2})
		if l := h.read(1999 + epochWindow); l.Sole() != "" || l.Determined("x") != "" || l.Select("x") != "v1" {
			t.Errorf("%s: %+v", name, l)
		}
		if l := h.read(2000 + epochWindow); l.Sole() != "v1" || l.Determined("x") != "v1" {
			t.Errorf("%s, after the window: %+v", name, l)
		}
	}
	for _, text := range []string{"x", `{"era":0,"versions":[{"version":"v1"}]}`} {
		broken, err := DecodeListing(kumquatlug.NewRow("", []byte(text), 4).WithReadAt(1000))
		if err == nil || broken.Sole() != "" || broken.Select("x") != "" {
			t.Errorf("invalid row %s: %+v, %v", text, broken, err)
		}
	}
}

// Guards against a stream that joins two versions because the listing determines the selected one although its engines
// were full and the stream began elsewhere, also by a listing that was read before.
func TestStreamsOfUnboundVersionAreNotDetermined(t *testing.T) {
	h := &listingHarness{t: t}
	h.begin(1000, Weights{"v1": 1, "v2": 1})
	before := h.read(2000)
	id := "x"
	for n := 0; before.Determined(id) != "v2"; n++ {
		id = fmt.Sprint(n)
	}
	text, err := before.Unbind("v2")
	if err != nil || text == nil {
		t.Fatalf("not unbound: %v", err)
	}
	h.row = before.Written(text)
	l := h.read(2010)
	if got := l.Determined(id); got != "" || !l.Unbound(2010, "v2") || l.Unbound(2010, "v1") || l.ChangedAt() <= before.ChangedAt() {
		t.Errorf("determined %q, changed at %d after %d; want none, and a later change", got, l.ChangedAt(), before.ChangedAt())
	}
	if text, err := l.Unbind("v2"); text != nil || err != nil {
		t.Errorf("written again at once: %v", err)
	}
	end := 2000 + unboundTime
	if l := h.read(end); l.Unbound(end, "v2") || l.Determined(id) != "" {
		t.Error("bound too late, or determined while such streams may be resumed")
	}
	if got := h.read(end + epochWindow).Determined(id); got != "v2" {
		t.Errorf("determined %q long after, want v2", got)
	}
}

// Guards against streams of a version that nobody can take up after a loss of all gateways because a few prompts under
// quarantine, which may run at one version only, unbound it for all ids, and against one of these that joins two versions.
func TestFewStreamsThatBeginElsewhereLeaveOthersDetermined(t *testing.T) {
	h := &listingHarness{t: t}
	h.begin(1000, Weights{"v1": 1, "v2": 1})
	const streams = 2000
	var elsewhere []string
	for n := 0; len(elsewhere) < maxUnboundSlices/2; n++ {
		id := fmt.Sprint("quarantined-", n)
		if h.read(2000).Select(id) != "v2" {
			continue
		}
		text, err := h.read(2000).UnbindID("v2", id)
		if err != nil {
			t.Fatal(err)
		}
		if text != nil {
			h.row = h.read(2000).Written(text)
		}
		elsewhere = append(elsewhere, id)
	}
	l, determined := h.read(3000), 0
	for _, id := range elsewhere {
		if got := l.Determined(id); got != "" || !l.UnboundID(3000, "v2", id) || l.ChangedAt() != 2000 {
			t.Fatalf("%s: determined %q, changed at %d", id, got, l.ChangedAt())
		}
	}
	for n := range streams {
		if l.Determined(fmt.Sprint("stream-", n)) != "" {
			determined++
		}
	}
	if determined < streams*95/100 {
		t.Errorf("%d of %d other streams are determined", determined, streams)
	}
	end := 2000 + unboundTime
	if l := h.read(end); l.UnboundID(end, "v2", elsewhere[0]) || l.Determined(elsewhere[0]) != "" {
		t.Error("bound too late, or determined while such streams may be resumed")
	}
	if got := h.read(end + epochWindow).Determined(elsewhere[0]); got != "v2" {
		t.Errorf("determined %q long after, want v2", got)
	}
	for n := 0; !h.read(4000).Unbound(4000, "v2"); n++ {
		if text, err := h.read(4000).UnbindID("v2", fmt.Sprint("more-", n)); err != nil || n > streams {
			t.Fatalf("the version is not unbound after %d streams: %v", n, err)
		} else if text != nil {
			h.row = h.read(4000).Written(text)
		}
	}
}
