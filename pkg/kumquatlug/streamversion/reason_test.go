package streamversion

import "testing"

// Guards against refusals of streams whose version is unknown that do not tell an unbound version from a change of epochs,
// a listing that may be incomplete or can't be read, and contradicting records.
func TestReasonOfUnknownVersion(t *testing.T) {
	h := &listingHarness{t: t}
	h.begin(1000, Weights{"v1": 1, "v2": 1})
	text, err := h.read(2000).Unbind("v1")
	if err != nil {
		t.Fatal(err)
	}
	h.row = h.read(2000).Written(text)
	unbound := h.read(3000)
	h.begin(3000, Weights{"v3": 1})
	for want, l := range map[Reason]Listing{ReasonUnboundVersion: unbound, ReasonEpochChange: h.read(4000), ReasonUncertainListing: {}} {
		id := "a"
		for l.Current() && unbound.Select(id) != "v1" {
			id += "a"
		}
		version, reason := l.Determine(id)
		if e := (Evidence{Read: true, Determined: version, Undetermined: reason}); version != "" || e.UnknownReason(true) != want {
			t.Errorf("%q, unknown for %q, want %q", version, e.UnknownReason(true), want)
		}
	}
	for want, e := range map[Reason]Evidence{ReasonConflictingRecords: {Read: true, Conflicting: true}, ReasonUnreadableListing: {Undetermined: ReasonEpochChange}, ReasonNone: {Record: "v1"}} {
		if got := e.UnknownReason(true); got != want {
			t.Errorf("unknown for %q, want %q", got, want)
		}
	}
	if got := (Evidence{Read: true}).UnknownReason(false); got != ReasonUnnamedStream {
		t.Errorf("unknown for %q although the client names no stream", got)
	}
}
