package streamversion

import (
	"fmt"
	"slices"
	"testing"
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

// Records that are sent to the wrong gateway are not found: a gateway that joins or leaves must own the same ids by
// Owns as by Owners.
func TestGatewayOwnsWhatOwnersSay(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("gateway-", i))
	}
	all := NewGateways(names)
	for n := range 300 {
		id, name, without := fmt.Sprint("stream-", n), names[n%40], names[(n+7)%40]
		for _, set := range []Gateways{all, all.Without(name)} {
			if got, want := set.Owns(name, id, "", RecordOwners), slices.Contains(set.With(name).Owners(id, RecordOwners), name); got != want {
				t.Fatalf("%s owns %s: %v, want %v", name, id, got, want)
			}
			if got, want := set.Owns(name, id, without, AskedOwners), slices.Contains(Owners(id, without, names, AskedOwners), name); got != want {
				t.Fatalf("%s owns %s without %s: %v, want %v", name, id, without, got, want)
			}
		}
	}
	if left := all.Without(names[3]); left.Has(names[3]) || left.Len() != 39 || !all.Has(names[3]) || left.With(names[3]).Len() != 40 {
		t.Errorf("%d gateways without one", left.Len())
	}
}

// A client uses an id again for a stream of another version. Neither is known then.
func TestIDOfTwoVersionsIsUnknown(t *testing.T) {
	r := NewRecords()
	r.Add(1000, "chat", "x", "v1")
	r.Add(2000, "chat", "x", "v1")
	if got := r.Find(3000, "x"); got != "v1" {
		t.Errorf("version %q, want v1", got)
	}
	r.Add(4000, "chat", "x", "v2")
	r.Add(5000, "chat", "x", "v2")
	if got := r.Find(6000, "x"); got != "" || !r.Conflicting(6000, "x") {
		t.Errorf("version %q, want none and a conflict", got)
	}
}

// Records of streams that have ended must not fill the memory.
func TestRecordsAreBounded(t *testing.T) {
	r := NewRecords()
	for n := range 2 * maxRecords {
		r.Add(0, "chat", fmt.Sprint(n), "v1")
	}
	if n := r.Len(); n > maxRecords {
		t.Errorf("%d records, want at most %d", n, maxRecords)
	}
	r.Add(10_000, "chat", "late", "v1")
	if n := r.Find(Retention+5000, "late"); n != "v1" || r.Len() != 1 {
		t.Errorf("%q, %d records after the retention, want v1 and one", n, r.Len())
	}
	if got := r.Find(2*Retention, "late"); got != "" || len(r.order) != 0 {
		t.Errorf("%q is kept", got)
	}
}
