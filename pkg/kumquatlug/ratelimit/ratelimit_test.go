package ratelimit

import (
	"testing"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// A response sent before the worker advertised a limit can arrive after one that states the
// limit. It must not end the limit, since the worker is still overloaded.
func TestStaleResponseDoesNotEndLimit(t *testing.T) {
	var l Limit
	if !l.HandleResponse(100, Response{RateLimit: kumquatlug.NewRateLimit(8), SentAt: 50, Processed: true}) {
		t.Fatal("the first limit was not reported as a change")
	}
	if l.HandleResponse(110, Response{RateLimit: kumquatlug.NoRateLimit(), SentAt: 60, Processed: true}) || !l.Limited() {
		t.Error("the response to an older request ended the limit")
	}
	if l.HandleResponse(120, Response{RateLimit: kumquatlug.NewRateLimit(20), SentAt: 70, Processed: true}) || l.PerSecond() != 8 {
		t.Errorf("the response to an older request raised the limit to %v", l.PerSecond())
	}
	if !l.HandleResponse(130, Response{RateLimit: kumquatlug.NewRateLimit(3), SentAt: 70, Processed: true}) || l.PerSecond() != 3 {
		t.Errorf("limit %v, want the lower of two concurrent responses", l.PerSecond())
	}
	if !l.HandleResponse(200, Response{RateLimit: kumquatlug.NewRateLimit(20), SentAt: 140, Processed: true}) || l.PerSecond() != 20 {
		t.Errorf("limit %v, want the higher one of a newer response", l.PerSecond())
	}
	if !l.HandleResponse(300, Response{RateLimit: kumquatlug.NoRateLimit(), SentAt: 210, Processed: true}) || l.Limited() {
		t.Error("a newer response without a limit did not end it")
	}
}

// Refusals, failures and prefill-only responses may lack the limit. If they ended it, an
// overloaded worker would be flooded.
func TestOnlyComparableResponseEndsLimit(t *testing.T) {
	var l Limit
	l.HandleResponse(100, Response{RateLimit: kumquatlug.NewRateLimit(8), SentAt: 50, Processed: true, PrefillOnly: true})
	if !l.HandleResponse(210, Response{RateLimit: kumquatlug.NoRateLimit(), SentAt: 200, Processed: true}) || l.Limited() {
		t.Error("a decode response did not end a limit that a prefill-only response stated")
	}
	l.HandleResponse(1000, Response{RateLimit: kumquatlug.NewRateLimit(8), SentAt: 900, Processed: true})
	if !l.HandleResponse(1000+decodeLimitHold, Response{RateLimit: kumquatlug.NoRateLimit(), SentAt: 2000, Processed: true, PrefillOnly: true}) {
		t.Error("a limit stated during decode never ends at an engine that only runs prefill")
	}
	for name, a := range map[string]Response{
		"failure":      {RateLimit: kumquatlug.NoRateLimit(), SentAt: 200},
		"prefill only": {RateLimit: kumquatlug.NoRateLimit(), SentAt: 200, Processed: true, PrefillOnly: true},
		"unreadable":   {SentAt: 200, Processed: true},
	} {
		var l Limit
		l.HandleResponse(100, Response{RateLimit: kumquatlug.NewRateLimit(8), SentAt: 50, Processed: true})
		if l.HandleResponse(210, a) || !l.Limited() {
			t.Errorf("%s: the limit ended", name)
		}
	}
}
