package streamversion

import (
	"fmt"
	"slices"
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A gateway that has no part in a stream must ask a peer that has its record, whichever gateway began it.
func TestAskedOwnersHaveTheRecord(t *testing.T) {
	var gateways []string
	for i := range 9 {
		gateways = append(gateways, fmt.Sprint("gateway-", i))
	}
	for n := range 300 {
		id := fmt.Sprint("stream-", n)
		for _, began := range gateways {
			recorded := Owners(id, began, gateways, RecordOwners)
			for _, asking := range gateways {
				asked := Owners(id, asking, gateways, AskedOwners)
				for _, owner := range recorded {
					if owner != asking && !slices.Contains(asked, owner) {
						t.Fatalf("%s began by %s: %s asks %v, recorded at %v", id, began, asking, asked, recorded)
					}
				}
			}
		}
	}
	if got := Owners("x", "a", []string{"a", "b"}, AskedOwners); !slices.Equal(got, []string{"b"}) {
		t.Errorf("owners of two gateways: %v", got)
	}
}

// A client uses an id again for a stream of another version. Neither is known then.
func TestIDOfTwoVersionsIsUnknown(t *testing.T) {
	r := NewRecords()
	r.Add(1000, "x", "v1")
	r.Add(2000, "x", "v1")
	if got := r.Find(3000, "x"); got != "v1" {
		t.Errorf("version %q, want v1", got)
	}
	r.Add(4000, "x", "v2")
	r.Add(5000, "x", "v2")
	if got := r.Find(6000, "x"); got != "" {
		t.Errorf("version %q, want none", got)
	}
}

// Records of streams that have ended must not fill the memory.
func TestRecordsAreBounded(t *testing.T) {
	r := NewRecords()
	for n := range 2 * maxRecords {
		r.Add(0, fmt.Sprint(n), "v1")
	}
	if n := r.Len(); n > maxRecords {
		t.Errorf("%d records, want at most %d", n, maxRecords)
	}
	r.Add(10_000, "late", "v1")
	if n := r.Find(Retention+5000, "late"); n != "v1" || r.Len() != 1 {
		t.Errorf("%q, %d records after the retention, want v1 and one", n, r.Len())
	}
	if got := r.Find(2*Retention, "late"); got != "" || len(r.order) != 0 {
		t.Errorf("%q is kept", got)
	}
}

// listing decodes a row, and write changes it as a gateway would.
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

func (h *listingHarness) add(now kumquatlug.Millis, version string) {
	h.t.Helper()
	text, err := h.read(now).Add(version)
	if err != nil {
		h.t.Fatal(err)
	}
	h.row = h.read(now).Written(text)
}

// A version whose workers have gone counts until its streams have ended, and one that comes back has to
// be listed again.
func TestGoneVersionCountsWhileItsStreamsMayBeResumed(t *testing.T) {
	h := &listingHarness{t: t}
	h.add(1000, "v1")
	if got := h.read(2000).Sole(); got != "v1" {
		t.Errorf("only version %q, want v1", got)
	}
	h.add(3000, "v2")
	if l := h.read(4000); l.Sole() != "" || !l.Has("v1") || !l.Has("v2") {
		t.Errorf("%+v", l)
	}
	text, err := h.read(5000).Retire(map[string]bool{"v2": true})
	if err != nil {
		t.Fatal(err)
	}
	h.row = h.read(5000).Written(text)
	if text, err = h.read(6000).Retire(map[string]bool{"v2": true}); text != nil || err != nil {
		t.Errorf("a version is retired twice: %s, %v", text, err)
	}
	if l := h.read(5000 + Retention - 1); l.Sole() != "" || l.Has("v1") {
		t.Errorf("before the retention: %+v", l)
	}
	if got := h.read(5000 + Retention).Sole(); got != "v2" {
		t.Errorf("only version %q after the retention, want v2", got)
	}
	h.add(5000+Retention, "v1")
	if got := h.read(6000 + Retention).Sole(); got != "" {
		t.Errorf("only version %q after the other one came back", got)
	}
}

// The store is restored from a copy in which a version is missing, or somebody else wrote the row, or a
// worker does not tell its version. Nobody may conclude then that all streams have one version.
func TestIncompleteListingNamesNoSoleVersion(t *testing.T) {
	h := &listingHarness{t: t}
	h.add(1000, "v1")
	old := h.row
	for name, row := range map[string]kumquatlug.Row{
		"older copy": old.WithEra(1), "no row in a restored store": kumquatlug.NewRow("", nil, 0).WithEra(2),
	} {
		h.row = row
		if l := h.read(2000); l.Sole() != "" || l.Has("v1") {
			t.Errorf("%s: %+v", name, l)
		}
		h.add(2000, "v1")
		if got := h.read(1999 + Retention).Sole(); got != "" {
			t.Errorf("%s: only version %q", name, got)
		}
		if got := h.read(2000 + Retention).Sole(); got != "v1" {
			t.Errorf("%s: only version %q after the retention", name, got)
		}
	}
	broken, err := DecodeListing(kumquatlug.NewRow("", []byte("x"), 4).WithReadAt(1000))
	if err == nil || broken.Sole() != "" {
		t.Errorf("invalid row: %+v, %v", broken, err)
	}
	h.row = kumquatlug.NewRow("", nil, 0)
	h.add(1000, "")
	if got := h.read(1000); got.Sole() != "" {
		t.Errorf("unknown version: %+v", got)
	}
}
